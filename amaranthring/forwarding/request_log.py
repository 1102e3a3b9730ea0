"""The line in the log and the figures that each request leaves."""

import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.core import metrics as metrics_module
from amaranthring.forwarding import records
from amaranthring.forwarding import responses

log = logbook.Logger(__name__)


def record(
    metrics: metrics_module.Metrics,
    incoming: records.Incoming,
    passage: records.RequestContext | None,
    reply: responses.ResponseWriter,
    fault: BaseException | None,
) -> None:
    """Log and count how a request ended.

    Parameters
    ----------
    passage : Passage or None
        None if the request was refused before it had a route.
    fault : exception or None
        Why it has no answer of a target.
    """
    seconds = time.monotonic() - incoming.arrived
    outcome = _outcome(fault)
    metrics.count(f"request.{outcome}")
    if passage is not None:
        metrics.record(
            "request.seconds", seconds, passage.account, passage.route.kind
        )
    logs.event(
        log,
        "request",
        id=incoming.request_id,
        outcome=outcome,
        status=reply.status,
        ms=round(seconds * 1e3, 1),
        first_ms=_milliseconds(incoming.arrived, reply.started_at),
        **_inputs(passage),
    )


def _outcome(fault: BaseException | None) -> str:
    if fault is None:
        return "answered"
    if isinstance(fault, errors.AmaranthringError):
        return fault.code
    return "caller-gone"


def _inputs(passage: records.RequestContext | None) -> dict[str, t.Any]:
    """Return what decided on the request."""
    if passage is None:
        return {}
    parts = passage.incoming.parts
    return {
        "route": passage.route.name,
        "account": passage.account,
        "service": passage.service,
        "plan": passage.version,
        "sent": passage.sent,
        "trail": ",".join(passage.trail),
        "copies": ",".join(passage.copies),
        "prompt": ",".join(f"{part.id}:{part.tokens}" for part in parts),
    }


def _milliseconds(since: float, until: float) -> float | None:
    return round((until - since) * 1e3, 1) if until else None
