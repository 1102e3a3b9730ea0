"""HTTP handlers of the internal listener for the messages of targets.

``POST /targets/announce``, ``renew``, ``report`` and ``leave``; see
``docs/targets-announcing.md``.
"""

import json
import math
import typing as t

import tornado.web

from amaranthring import errors
from amaranthring.core import metrics as metrics_module
from amaranthring.targets import protocol
from amaranthring.targets import table as table_module


class AnnounceHandler(tornado.web.RequestHandler):
    """Handles one message of a target; `act` applies it to the table."""

    def initialize(self, table, keys, metrics, model, act):
        """Store the arguments given by :func:`routes`."""
        self.table = table
        self.keys = keys
        self.metrics = metrics
        self.model = model
        self.act = act

    def post(self):
        """Apply a valid message; answer with the lease or an error."""
        try:
            header = self.request.headers.get(protocol.KEY_HEADER, "")
            protocol.verify(self.keys, header, self.request.body)
            self.act(protocol.decode(self.model, self.request.body))
        except errors.AmaranthringError as error:
            self.refuse(error)
            return
        lease = self.table.config().preset.lease_seconds
        answer = {
            "lease_seconds": lease,
            "renew_seconds": round(self.table.renew_in(), 3),
        }
        self.finish(answer)

    def refuse(self, error: errors.AmaranthringError) -> None:
        """Answer with `error` as JSON."""
        self.metrics.count(f"targets.refused.{error.code}")
        self.set_status(error.status)
        if error.retry_after is not None:
            seconds = max(1, math.ceil(error.retry_after))
            self.set_header("Retry-After", str(seconds))
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps({"error": error.to_record()}))


def routes(
    table: table_module.TargetTable,
    keys: dict[str, bytes],
    metrics: metrics_module.Metrics,
) -> list[tuple[str, type, dict[str, t.Any]]]:
    """Return the routes for a ``tornado.web.Application``.

    Parameters
    ----------
    keys : dict
        Shared keys by id; all of them are accepted.
    """

    def announce(body):
        table.announce(body.target(), body.sequence)

    def renew(body):
        table.renew(body.name, body.incarnation, body.sequence)

    def report(body):
        table.update_report(body.report())

    def leave(body):
        table.leave(body.name, body.incarnation, body.sequence)

    routes_by_name = {
        "announce": (protocol.Announcement, announce),
        "renew": (protocol.Renewal, renew),
        "report": (protocol.LoadReport, report),
        "leave": (protocol.Renewal, leave),
    }
    return [
        (
            f"/targets/{name}",
            AnnounceHandler,
            {
                "table": table,
                "keys": keys,
                "metrics": metrics,
                "model": model,
                "act": act,
            },
        )
        for name, (model, act) in routes_by_name.items()
    ]
