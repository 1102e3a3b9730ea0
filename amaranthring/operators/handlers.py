"""HTTP for operators, served by every router.

Any router answers: it passes commands and queries to the keepers' leader
itself, so that a redirect never shows. A command whose answer was lost is
answered as ``unknown``; sent again under its id, here or elsewhere, it gets
the first answer.
"""

import dataclasses
import hmac
import typing as t

import tornado.web

from amaranthring import errors
from amaranthring.core import fleet
from amaranthring.core import hashing
from amaranthring.core import parts
from amaranthring.keepers import commands
from amaranthring.operators import conventions

COMMAND_SECONDS = 5.0
QUERY_SECONDS = 3.0
RETRY_AFTER_SECONDS = 1.0
NAMES_SHOWN = 50


@dataclasses.dataclass
class Operators:
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
        Coroutine of whether to add, and of a ``conventions.KeeperModel``.
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


class Handler(tornado.web.RequestHandler):
    """Base: authenticates, validates, and answers in one JSON form."""

    def initialize(self, operators: Operators) -> None:
        """Take over what the composition root gathered."""
        self.operators = operators

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
        for name, known in self.operators.tokens.items():
            if hmac.compare_digest(known, digest):
                found = name
        return found

    def answer(self, body: t.Any, revision: int | None = None) -> None:
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

    def body(self) -> dict[str, t.Any]:
        """Return the JSON object sent."""
        return conventions.json_body(self.request.body)

    def operated(self) -> dict[str, t.Any]:
        """Return what every command of an operator carries."""
        headers = self.request.headers
        return {
            "command_id": conventions.command_id(
                headers.get(conventions.COMMAND_ID_HEADER)
            ),
            "operator": self.operator,
            "if_match": conventions.if_match(headers.get("If-Match")),
        }

    async def propose(self, command: commands.Operated) -> None:
        """Propose `command` and answer with what was accepted."""
        try:
            done = await self.operators.propose(command, COMMAND_SECONDS)
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
        self.answer(body, done.revision)

    async def view(self, what: str, name: str = "") -> t.Any:
        """Return a view of the state from the leader."""
        ask = commands.StateQuery(what, name)
        return (await self.operators.query(ask, QUERY_SECONDS)).view

    async def config(self) -> fleet.FleetConfig:
        """Return the configuration in force, from the leader.

        Without keepers it is the one that this router runs, and the header
        ``Amaranthring-Source`` says so.
        """
        try:
            found = await self.view("config")
        except (errors.NoQuorumError, errors.LinkError):
            self.set_header("Amaranthring-Source", "router")
            return self.operators.revisions.current
        self.set_header("Amaranthring-Source", "keepers")
        return parts.compose(found["revision"], found["items"])


def _typed(status: int) -> errors.AmaranthringError:
    if status == 404:
        return errors.NotFoundError("no such path")
    if status == 405:
        return errors.BadRequestError("method not allowed here")
    if status == 400:
        return errors.BadRequestError("malformed request")
    return errors.InternalError("failed")


def named(found: dict[str, t.Any], kind: str, name: str) -> t.Any:
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
            expected=f"one of {sorted(found)[:NAMES_SHOWN]}",
        )
    return found[name]


class Status(Handler):
    """``/operators/status``: who runs which revision."""

    async def get(self) -> None:
        """Answer with the revision in force and every router's."""
        revisions = self.operators.revisions
        try:
            found = await self.view("status")
            found["source"] = "keepers"
        except (errors.NoQuorumError, errors.LinkError):
            found = {
                "source": "router",
                "revision": revisions.parts.revision,
                "in_force": revisions.current.in_force,
                "routers": {},
            }
        found["answered_by"] = revisions.name
        found["not_confirmed"] = self._not_confirmed(found)
        self.answer(found, found["revision"])

    def _not_confirmed(self, found: dict[str, t.Any]) -> list[str]:
        known = found["routers"]
        configured = self.operators.routers
        for name, data_centre in configured.items():
            unheard = {
                "data_centre": data_centre,
                "revision": None,
                "age_seconds": None,
            }
            known.setdefault(name, unheard)
        return sorted(
            name
            for name, row in known.items()
            if row["revision"] != found["revision"]
        )


def _figures(preset: fleet.Preset) -> dict[str, t.Any]:
    """Return the plain figures of `preset`, without what it nests."""
    return parts.of_preset(preset)[f"preset/{preset.name}"]


class Presets(Handler):
    """``/operators/presets``."""

    async def get(self) -> None:
        """List the presets."""
        config = await self.config()
        body = {
            "revision": config.revision,
            "in_force": config.in_force,
            "presets": {
                name: _figures(preset)
                for name, preset in sorted(config.presets.items())
            },
        }
        self.answer(body, config.revision)


class Preset(Handler):
    """``/operators/presets/NAME``."""

    async def get(self, name: str) -> None:
        """Show the preset."""
        config = await self.config()
        found = named(config.presets, "preset", name)
        body = {
            "revision": config.revision,
            "in_force": config.in_force == name,
            "preset": parts.plain(found),
        }
        body["preset"].pop("name")
        self.answer(body, config.revision)

    async def put(self, name: str) -> None:
        """Create or replace the preset."""
        made = conventions.preset(name, self.body())
        await self.propose(commands.PutPreset(made, **self.operated()))

    async def delete(self, name: str) -> None:
        """Remove the preset."""
        await self.propose(commands.RemovePreset(name, **self.operated()))


class Restore(Handler):
    """``/operators/restore``."""

    async def post(self) -> None:
        """Take what presets held at an earlier revision again."""
        made = conventions.model(conventions.RestoreModel, self.body())
        command = commands.RestorePresets(
            made.revision, made.preset, **self.operated()
        )
        await self.propose(command)


class Switch(Handler):
    """``/operators/switch``."""

    async def post(self) -> None:
        """Put another preset in force."""
        made = conventions.model(conventions.SwitchModel, self.body())
        command = commands.SwitchPreset(made.preset, **self.operated())
        await self.propose(command)


class Accounts(Handler):
    """``/operators/accounts``."""

    async def get(self) -> None:
        """List the client accounts."""
        config = await self.config()
        body = {
            "revision": config.revision,
            "accounts": [
                {"name": name}
                | parts.plain(config.preset.account_policy(name))
                for name in sorted(config.accounts)
            ],
        }
        self.answer(body, config.revision)


class Account(Handler):
    """``/operators/accounts/NAME``."""

    async def get(self, name: str) -> None:
        """Show the account, without anything that lets one in."""
        config = await self.config()
        found = named(config.accounts, "account", name)
        body = {
            "revision": config.revision,
            "name": name,
            "default_class": found.default_class,
            "tokens": [digest[:8] for digest in found.token_hashes],
            "policy": parts.plain(config.preset.account_policy(name)),
        }
        self.answer(body, config.revision)

    async def put(self, name: str) -> None:
        """Create or replace the account."""
        made = conventions.account(name, self.body())
        await self.propose(commands.PutAccount(made, **self.operated()))

    async def delete(self, name: str) -> None:
        """Remove the account."""
        await self.propose(commands.RemoveAccount(name, **self.operated()))


class Targets(Handler):
    """``/operators/targets``: as this router sees them."""

    async def get(self) -> None:
        """List the targets."""
        drained = self.operators.revisions.current.drained
        rows = self.operators.targets()
        for row in rows:
            row["drained"] = drained.get(row["name"])
        self.answer({"targets": rows, "drained": drained})


class Target(Handler):
    """``/operators/targets/NAME``."""

    async def get(self, name: str) -> None:
        """Show the target."""
        rows = {row["name"]: row for row in self.operators.targets()}
        row = dict(named(rows, "target", name))
        drained = self.operators.revisions.current.drained
        row["drained"] = drained.get(name)
        self.answer(row)


class Drain(Handler):
    """``/operators/targets/NAME/drain``."""

    async def post(self, name: str) -> None:
        """Give the target no new work."""
        made = conventions.model(conventions.DrainModel, self.body())
        command = commands.DrainTarget(
            conventions.name(name), made.reason, **self.operated()
        )
        await self.propose(command)


class Undrain(Handler):
    """``/operators/targets/NAME/undrain``."""

    async def post(self, name: str) -> None:
        """Give the target work again."""
        await self.propose(commands.UndrainTarget(name, **self.operated()))


class View(Handler):
    """A view of the keepers' state as it is; `what` names it."""

    def initialize(self, operators: Operators, what: str = "") -> None:
        """Take over the name of the view."""
        super().initialize(operators)
        self.what = what

    async def get(self) -> None:
        """Show the view, narrowed by the argument ``name``."""
        name = self.get_query_argument("name", "")
        self.answer({self.what: await self.view(self.what, name)})


class Quarantined(Handler):
    """``/operators/quarantine/FINGERPRINT``."""

    async def delete(self, fingerprint: str) -> None:
        """Take the request off the list."""
        command = commands.LiftQuarantine(fingerprint, **self.operated())
        await self.propose(command)


class Order(Handler):
    """``/operators/orders/NUMBER``."""

    async def get(self, number: str) -> None:
        """Show one order."""
        rows = {row["order"]: row for row in await self.view("orders")}
        self.answer(named(rows, "order", number))


class Keepers(Handler):
    """``/operators/keepers``."""

    async def get(self) -> None:
        """Show the status of the group of keepers."""
        if self.operators.keepers is None:
            raise errors.NotFoundError("no keepers here")
        self.answer(parts.plain(await self.operators.keepers()))


class ChangeKeepers(Handler):
    """``/operators/keepers/add`` and ``/operators/keepers/remove``."""

    async def post(self, action: str) -> None:
        """Add a keeper as a learner to be voted in, or remove one."""
        if self.operators.change_keepers is None:
            raise errors.NotFoundError("no keepers here")
        made = conventions.model(conventions.KeeperModel, self.body())
        adds = action == "add"
        if adds and not (made.address and made.data_centre):
            raise errors.BadRequestError(
                "a keeper to add",
                given=made.name,
                expected="also data_centre and address",
            )
        await self.operators.change_keepers(adds, made)
        revision = self.operators.revisions.parts.revision
        self.answer({"revision": revision, "keeper": made.name})


class Explain(Handler):
    """``/operators/explain/REQUEST_ID``."""

    async def get(self, request_id: str) -> None:
        """Show what was decided on the request's way."""
        if self.operators.explain is None:
            raise errors.NotFoundError("explain is off")
        self.answer(await self.operators.explain(request_id))


class Missing(Handler):
    """Any other path below ``/operators``."""

    def prepare(self) -> None:
        """Refuse, to those with a token and to those without."""
        super().prepare()
        raise errors.NotFoundError("no such path", given=self.request.path)


def routes(operators: Operators) -> list[t.Any]:
    """Return the routes for the internal listener."""
    shared = {"operators": operators}
    name = r"([^/]+)"
    base = r"/operators"

    def view(what: str) -> tuple:
        return (f"{base}/{what}", View, shared | {"what": what})

    return [
        (f"{base}/status", Status, shared),
        (f"{base}/presets", Presets, shared),
        (f"{base}/presets/{name}", Preset, shared),
        (f"{base}/restore", Restore, shared),
        (f"{base}/switch", Switch, shared),
        (f"{base}/accounts", Accounts, shared),
        (f"{base}/accounts/{name}", Account, shared),
        (f"{base}/targets", Targets, shared),
        (f"{base}/targets/{name}", Target, shared),
        (f"{base}/targets/{name}/drain", Drain, shared),
        (f"{base}/targets/{name}/undrain", Undrain, shared),
        view("history"),
        view("quarantine"),
        view("orders"),
        (f"{base}/orders/{name}", Order, shared),
        (f"{base}/quarantine/{name}", Quarantined, shared),
        (f"{base}/keepers", Keepers, shared),
        (f"{base}/keepers/(add|remove)", ChangeKeepers, shared),
        (f"{base}/explain/{name}", Explain, shared),
        (f"{base}/.*", Missing, shared),
    ]
