"""What every handler of the operators' HTTP shares.

Authentication, validation, the passing on to the keepers' leader, and one
JSON form of every answer and error.
"""

import dataclasses
import hmac
import typing as t

import tornado.web

from amaranthring import errors
from amaranthring.core import config_parts
from amaranthring.core import connections
from amaranthring.core import drain as drains
from amaranthring.core import fleet
from amaranthring.core import hashing
from amaranthring.keepers import commands
from amaranthring.operators import schemas

COMMAND_SECONDS = 5.0
QUERY_SECONDS = 3.0
RETRY_AFTER_SECONDS = 1.0
MAX_NAMES_SHOWN = 50


@dataclasses.dataclass
class Dependencies:
    """What the handlers need, gathered by the composition root.

    Attributes
    ----------
    tokens : dict
        Operator's name to the SHA-256 of the bearer token.
    propose, query : callable
        ``KeeperClient.propose`` and ``KeeperClient.query``.
    revisions : revisions.Revisions
        The revision in force on this router.
    routers : dict
        Name of every configured router to its data centre.
    targets : callable
        Returns plain rows of the targets known here.
    explain : callable
        Coroutine of a request id that returns plain data.
    keepers : callable
        Coroutine that returns the status of the group of keepers.
    change_keepers : callable
        Coroutine of whether to add, and of a ``schemas.KeeperModel``.
    drain : drain.Drain
        Requests in progress, so that a router that stops ends them first.
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
    """Base: authenticates, validates, and answers in one JSON form."""

    def initialize(self, operators: Dependencies) -> None:
        """Take over what the composition root gathered."""
        self.dependencies = operators
        self.dependencies.drain.request_started()

    def on_finish(self) -> None:
        """Count the request out once its answer is sent."""
        leave = self.dependencies.drain.request_finished
        connections.call_when_sent(self.request.connection, leave)

    def prepare(self) -> None:
        """Refuse whoever holds no operator's token."""
        header = self.request.headers.get("Authorization", "")
        scheme, _, token = header.partition(" ")
        self.operator = ""
        if scheme.lower() == "bearer" and token:
            self.operator = self._named(hashing.token_hash(token.strip()))
        if not self.operator:
            raise errors.UnauthenticatedError(
                "operators only",
                given="no or unknown token",
                expected="Authorization: Bearer TOKEN",
            )

    def _named(self, digest: str) -> str:
        found = ""
        for name, known in self.dependencies.tokens.items():
            if hmac.compare_digest(known, digest):
                found = name
        return found

    def respond(self, body: t.Any, revision: int | None = None) -> None:
        """Answer 200 with `body`, and the revision as ``ETag``."""
        if revision is not None:
            self.set_header("ETag", f'"{revision}"')
        self.finish(body if isinstance(body, dict) else {"items": body})

    def write_error(self, status_code: int, **kwargs) -> None:
        """Answer a failure as one typed JSON form."""
        error = kwargs.get("exc_info", (None, None))[1]
        if not isinstance(error, errors.AmaranthringError):
            error = _typed(status_code)
        self.set_status(error.status)
        self.set_header("Amaranthring-Outcome", str(error.outcome))
        if isinstance(error, errors.RevisionConflictError):
            self.set_header("ETag", f'"{error.expected}"')
        after = error.retry_after
        if after is None and error.status in (429, 503, 504):
            after = RETRY_AFTER_SECONDS
        if after is not None:
            self.set_header("Retry-After", str(max(1, round(after))))
        self.finish({"error": error.to_record()})

    def log_exception(self, typ, value, tb) -> None:
        """Log only what is a fault of our own."""
        if not isinstance(value, errors.AmaranthringError):
            super().log_exception(typ, value, tb)

    def compute_etag(self) -> None:
        """Make no ETag of the body; it is the revision."""
        return

    def json_body(self) -> dict[str, t.Any]:
        """Return the JSON object sent."""
        return schemas.parse_json_body(self.request.body)

    def command_fields(self) -> dict[str, t.Any]:
        """Return what every command of an operator carries."""
        headers = self.request.headers
        return {
            "command_id": schemas.parse_command_id(
                headers.get(schemas.COMMAND_ID_HEADER)
            ),
            "operator": self.operator,
            "if_match": schemas.parse_if_match(headers.get("If-Match")),
        }

    async def propose(self, command: commands.OperatorCommand) -> None:
        """Propose `command` and answer with what was accepted."""
        try:
            done = await self.dependencies.propose(command, COMMAND_SECONDS)
        except (errors.LinkError, errors.CommitUnknownError) as error:
            if error.outcome == errors.Outcome.NOT_RUN:
                raise
            # The answer was lost, not the command: it may be in force.
            raise errors.CommitUnknownError(
                f"the answer was lost; send it again under the command id "
                f"{command.command_id}",
                retry_after=RETRY_AFTER_SECONDS,
            ) from error
        body = {"revision": done.revision, "in_force": done.in_force}
        self.respond(body, done.revision)

    async def fetch_view(self, what: str, name: str = "") -> t.Any:
        """Return a view of the state from the leader."""
        ask = commands.StateQuery(what, name)
        return (await self.dependencies.query(ask, QUERY_SECONDS)).view

    async def fetch_config(self) -> fleet.FleetConfig:
        """Return the configuration in force, from the leader.

        Without keepers it is the one that this router runs, and the header
        ``Amaranthring-Source`` says so.
        """
        try:
            found = await self.fetch_view("config")
        except (errors.NoQuorumError, errors.LinkError):
            self.set_header("Amaranthring-Source", "router")
            return self.dependencies.revisions.current
        self.set_header("Amaranthring-Source", "keepers")
        return config_parts.build_config(found["revision"], found["items"])


def _typed(status: int) -> errors.AmaranthringError:
    if status == 404:
        return errors.NotFoundError("no such path")
    if status == 405:
        return errors.BadRequestError("method not allowed here")
    if status == 400:
        return errors.BadRequestError("malformed request")
    return errors.InternalError("failed")


def get_or_404(found: dict[str, t.Any], kind: str, name: str) -> t.Any:
    """Return `found[name]`.

    Raises
    ------
    errors.NotFoundError
        If there is none.
    """
    if name not in found:
        raise errors.NotFoundError(
            f"no such {kind}",
            given=name,
            expected=f"one of {sorted(found)[:MAX_NAMES_SHOWN]}",
        )
    return found[name]
