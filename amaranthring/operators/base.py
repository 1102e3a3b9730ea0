"""Base of the handlers of the operators' HTTP API.

Provides authentication, validation, calls to the keepers' leader, and a
common JSON format of responses and errors.
"""

import dataclasses
import hmac
import math
import typing as t

import tornado.web

from amaranthring import errors
from amaranthring.core import config_parts
from amaranthring.core import connections
from amaranthring.core import drain as drains
from amaranthring.core import fleet
from amaranthring.core import hashing
from amaranthring.core import text
from amaranthring.keepers import commands
from amaranthring.operators import schemas

COMMAND_SECONDS = 5.0
QUERY_SECONDS = 3.0
RETRY_AFTER_SECONDS = 1.0
MAX_NAMES_SHOWN = 50


@dataclasses.dataclass
class Dependencies:
    """Dependencies of the handlers, passed in by the router.

    Attributes
    ----------
    tokens : dict
        Operator names to the SHA-256 of their bearer tokens.
    propose, query : callable
        ``KeeperClient.propose`` and ``KeeperClient.query``.
    revisions : revisions.Revisions
        The configuration revisions of this router.
    routers : dict
        Names of all configured routers to their data centres.
    targets : callable
        Returns the targets that this router knows, one dict each.
    explain : callable
        Coroutine that takes a request id and returns its decisions.
    keepers : callable
        Coroutine that returns the status of the keepers.
    change_keepers : callable
        Coroutine that takes whether to add, and a ``schemas.KeeperModel``.
    drain : drain.Drain
        Counts requests in flight, so that a shutdown can wait for them.
    """

    tokens: dict[str, str]
    propose: t.Callable[[t.Any, float], t.Awaitable[t.Any]]
    query: t.Callable[[t.Any, float], t.Awaitable[t.Any]]
    revisions: t.Any
    routers: dict[str, str] = dataclasses.field(default_factory=dict)
    targets: t.Callable[[], list[dict]] = list
    explain: t.Callable[[str], t.Awaitable[t.Any]] | None = None
    keepers: t.Callable[[], t.Awaitable[t.Any]] | None = None
    change_keepers: t.Callable[[bool, t.Any], t.Awaitable[t.Any]] | None = None
    drain: drains.Drain = dataclasses.field(default_factory=drains.Drain)


class Handler(tornado.web.RequestHandler):
    """Base handler: authenticates operators and formats responses."""

    def initialize(self, operators: Dependencies) -> None:
        """Store the dependencies and count the request as started."""
        self.dependencies = operators
        self.dependencies.drain.request_started(self.interrupt)

    def on_finish(self) -> None:
        """Count the request as finished once its response is sent."""
        finished = self.dependencies.drain.request_finished
        connections.call_when_sent(
            self.request.connection, lambda: finished(self.interrupt)
        )

    def interrupt(self) -> None:
        """Answer the request at once, as the process is about to exit."""
        if self._finished:
            return
        self.set_header("Connection", "close")
        error = errors.CommitUnknownError(
            "this router has stopped before the keepers answered; resend "
            "with the same command id, through another router",
            retry_after=RETRY_AFTER_SECONDS,
        )
        self.write_error(error.status, exc_info=(type(error), error, None))

    def prepare(self) -> None:
        """Authenticate the operator by the bearer token."""
        header = self.request.headers.get("Authorization", "")
        scheme, _, token = header.partition(" ")
        self.operator = ""
        if scheme.lower() == "bearer" and token:
            self.operator = self._operator_with_token(
                hashing.token_hash(text.read_header(token))
            )
        if not self.operator:
            raise errors.UnauthenticatedError(
                "operators only",
                given="no or unknown token",
                expected="Authorization: Bearer TOKEN",
            )

    def _operator_with_token(self, digest: str) -> str:
        operator = ""
        for name, known_digest in self.dependencies.tokens.items():
            if hmac.compare_digest(known_digest, digest):
                operator = name
        return operator

    def respond(self, body: t.Any, revision: int | None = None) -> None:
        """Respond 200 with `body`, and with the revision as ``ETag``."""
        if revision is not None:
            self.set_header("ETag", f'"{revision}"')
        self.finish(body if isinstance(body, dict) else {"items": body})

    def write_error(self, status_code: int, **kwargs) -> None:
        """Respond with the error as a JSON record."""
        error = kwargs.get("exc_info", (None, None))[1]
        if not isinstance(error, errors.AmaranthringError):
            error = _error_for_status(status_code)
        self.set_status(error.status)
        self.set_header("Amaranthring-Outcome", str(error.outcome))
        if isinstance(error, errors.RevisionConflictError):
            self.set_header("ETag", f'"{error.expected}"')
        retry_after = error.retry_after
        if retry_after is None and error.status in (429, 503, 504):
            retry_after = RETRY_AFTER_SECONDS
        if retry_after is not None:
            self.set_header("Retry-After", str(max(1, math.ceil(retry_after))))
        self.finish({"error": error.to_record()})

    def log_exception(self, typ, value, tb) -> None:
        """Log unexpected exceptions only, not errors sent to operators."""
        if not isinstance(value, errors.AmaranthringError):
            super().log_exception(typ, value, tb)

    def compute_etag(self) -> None:
        """Compute no ETag from the body; the ETag is the revision."""
        return

    def json_body(self) -> dict[str, t.Any]:
        """Return the JSON object in the request body."""
        return schemas.parse_json_body(self.request.body)

    def command_fields(self) -> dict[str, t.Any]:
        """Return the common fields of operator commands."""
        headers = self.request.headers
        return {
            "command_id": schemas.parse_command_id(
                headers.get(schemas.COMMAND_ID_HEADER)
            ),
            "operator": self.operator,
            "if_match": schemas.parse_if_match(headers.get("If-Match")),
        }

    async def propose(self, command: commands.OperatorCommand) -> None:
        """Propose `command` and respond with the accepted revision."""
        try:
            answer = await self.dependencies.propose(command, COMMAND_SECONDS)
        except (errors.LinkError, errors.CommitUnknownError) as error:
            if error.outcome == errors.Outcome.NOT_RUN:
                raise
            # Only the answer was lost: the command may have been accepted.
            raise errors.CommitUnknownError(
                f"the answer was lost; resend with the same command id "
                f"{command.command_id}",
                retry_after=RETRY_AFTER_SECONDS,
            ) from error
        body = {"revision": answer.revision, "in_force": answer.in_force}
        self.respond(body, answer.revision)

    async def fetch_view(self, what: str, name: str = "") -> t.Any:
        """Query the keepers' leader for a view of its state."""
        query = commands.StateQuery(what, name)
        return (await self.dependencies.query(query, QUERY_SECONDS)).view

    async def fetch_config(self) -> fleet.FleetConfig:
        """Return the configuration in force, from the keepers' leader.

        If no leader answers, returns the configuration of this router. The
        header ``Amaranthring-Source`` names the source.
        """
        try:
            view = await self.fetch_view("config")
        except (errors.NoQuorumError, errors.LinkError):
            self.set_header("Amaranthring-Source", "router")
            return self.dependencies.revisions.current
        self.set_header("Amaranthring-Source", "keepers")
        return config_parts.build_config(view["revision"], view["items"])


def _error_for_status(status: int) -> errors.AmaranthringError:
    if status == 404:
        return errors.NotFoundError("no such path")
    if status == 405:
        return errors.BadRequestError("method not allowed")
    if status == 400:
        return errors.BadRequestError("malformed request")
    return errors.InternalError("internal error")


def get_or_404(rows: dict[str, t.Any], kind: str, name: str) -> t.Any:
    """Return `rows[name]`.

    Raises
    ------
    errors.NotFoundError
        If `name` is unknown; names `kind` and lists known names.
    """
    if name not in rows:
        raise errors.NotFoundError(
            f"no such {kind}",
            given=name,
            expected=f"one of {sorted(rows)[:MAX_NAMES_SHOWN]}",
        )
    return rows[name]
