"""HTTP API for operators, served by every router.

Each router forwards commands and queries to the keepers' leader, so that
operators never see a redirect. If the answer to a command is lost, the
outcome is ``unknown``; a resend with the same command id, through any
router, gets the first answer.
"""

import typing as t

from amaranthring import errors
from amaranthring.core import config_parts
from amaranthring.core import fleet
from amaranthring.keepers import commands
from amaranthring.operators import base
from amaranthring.operators import schemas


class Status(base.Handler):
    """``/operators/status``: the revision that each router runs."""

    async def get(self) -> None:
        """Show the revision in force and that of every router."""
        revisions = self.dependencies.revisions
        try:
            status = await self.fetch_view("status")
            status["source"] = "keepers"
        except (errors.NoQuorumError, errors.LinkError):
            status = {
                "source": "router",
                "revision": revisions.parts.revision,
                "in_force": revisions.current.in_force,
                "routers": {},
            }
        status["answered_by"] = revisions.name
        status["not_confirmed"] = self._not_confirmed(status)
        self.respond(status, status["revision"])

    def _not_confirmed(self, status: dict[str, t.Any]) -> list[str]:
        known = status["routers"]
        configured = self.dependencies.routers
        for name, data_centre in configured.items():
            not_reported = {
                "data_centre": data_centre,
                "revision": None,
                "age_seconds": None,
            }
            known.setdefault(name, not_reported)
        return sorted(
            name
            for name, row in known.items()
            if row["revision"] != status["revision"]
        )


def _preset_values(preset: fleet.Preset) -> dict[str, t.Any]:
    """Return the values of `preset` as plain data, without its policies."""
    return config_parts.preset_parts(preset)[f"preset/{preset.name}"]


class Presets(base.Handler):
    """``/operators/presets``."""

    async def get(self) -> None:
        """List the presets."""
        config = await self.fetch_config()
        body = {
            "revision": config.revision,
            "in_force": config.in_force,
            "presets": {
                name: _preset_values(preset)
                for name, preset in sorted(config.presets.items())
            },
        }
        self.respond(body, config.revision)


class Preset(base.Handler):
    """``/operators/presets/NAME``."""

    async def get(self, name: str) -> None:
        """Show the preset."""
        config = await self.fetch_config()
        preset = base.get_or_404(config.presets, "preset", name)
        body = {
            "revision": config.revision,
            "in_force": config.in_force == name,
            "preset": config_parts.to_plain(preset),
        }
        body["preset"].pop("name")
        self.respond(body, config.revision)

    async def put(self, name: str) -> None:
        """Create or replace the preset."""
        preset = schemas.parse_preset(name, self.json_body())
        await self.propose(commands.PutPreset(preset, **self.command_fields()))

    async def delete(self, name: str) -> None:
        """Remove the preset."""
        await self.propose(
            commands.RemovePreset(name, **self.command_fields())
        )


class Restore(base.Handler):
    """``/operators/restore``."""

    async def post(self) -> None:
        """Restore the content that presets had at an earlier revision."""
        body = schemas.validate(schemas.RestoreModel, self.json_body())
        command = commands.RestorePresets(
            body.revision, body.preset, **self.command_fields()
        )
        await self.propose(command)


class Switch(base.Handler):
    """``/operators/switch``."""

    async def post(self) -> None:
        """Put another preset in force."""
        body = schemas.validate(schemas.SwitchModel, self.json_body())
        command = commands.SwitchPreset(body.preset, **self.command_fields())
        await self.propose(command)


class Accounts(base.Handler):
    """``/operators/accounts``."""

    async def get(self) -> None:
        """List the client accounts."""
        config = await self.fetch_config()
        body = {
            "revision": config.revision,
            "accounts": [
                {"name": name}
                | config_parts.to_plain(config.preset.account_policy(name))
                for name in sorted(config.accounts)
            ],
        }
        self.respond(body, config.revision)


class Account(base.Handler):
    """``/operators/accounts/NAME``."""

    async def get(self, name: str) -> None:
        """Show the account; token hashes are truncated."""
        config = await self.fetch_config()
        account = base.get_or_404(config.accounts, "account", name)
        body = {
            "revision": config.revision,
            "name": name,
            "default_class": account.default_class,
            "tokens": [digest[:8] for digest in account.token_hashes],
            "policy": config_parts.to_plain(
                config.preset.account_policy(name)
            ),
        }
        self.respond(body, config.revision)

    async def put(self, name: str) -> None:
        """Create or replace the account."""
        account = schemas.parse_account(name, self.json_body())
        fields = self.command_fields()
        config = await self.fetch_config()
        # Keepers accept no change of another revision; they only acknowledge
        # again one that they have made.
        if config.revision == fields["if_match"]:
            schemas.check_tokens(account, config.accounts.values())
        await self.propose(commands.PutAccount(account, **fields))

    async def delete(self, name: str) -> None:
        """Remove the account."""
        await self.propose(
            commands.RemoveAccount(name, **self.command_fields())
        )


class Targets(base.Handler):
    """``/operators/targets``: the targets known to this router."""

    async def get(self) -> None:
        """List the targets."""
        drained = self.dependencies.revisions.current.drained
        rows = self.dependencies.targets()
        for row in rows:
            row["drained"] = drained.get(row["name"])
        self.respond({"targets": rows, "drained": drained})


class Target(base.Handler):
    """``/operators/targets/NAME``."""

    async def get(self, name: str) -> None:
        """Show the target."""
        rows = {row["name"]: row for row in self.dependencies.targets()}
        row = dict(base.get_or_404(rows, "target", name))
        drained = self.dependencies.revisions.current.drained
        row["drained"] = drained.get(name)
        self.respond(row)


class Drain(base.Handler):
    """``/operators/targets/NAME/drain``."""

    async def post(self, name: str) -> None:
        """Drain the target: it gets no new requests."""
        body = schemas.validate(schemas.DrainModel, self.json_body())
        command = commands.DrainTarget(
            schemas.validate_name(name), body.reason, **self.command_fields()
        )
        await self.propose(command)


class Undrain(base.Handler):
    """``/operators/targets/NAME/undrain``."""

    async def post(self, name: str) -> None:
        """Undrain the target: it gets new requests again."""
        await self.propose(
            commands.UndrainTarget(name, **self.command_fields())
        )


class StateView(base.Handler):
    """A view of the keepers' state, unchanged; `what` names the view."""

    def initialize(self, operators: base.Dependencies, what: str = "") -> None:
        """Store the dependencies and the name of the view."""
        super().initialize(operators)
        self.view_name = what

    async def get(self) -> None:
        """Show the view, filtered by the query argument ``name``."""
        name = self.get_query_argument("name", "")
        self.respond(
            {self.view_name: await self.fetch_view(self.view_name, name)}
        )


class QuarantineEntry(base.Handler):
    """``/operators/quarantine/FINGERPRINT``."""

    async def delete(self, fingerprint: str) -> None:
        """Lift the quarantine of the request."""
        command = commands.LiftQuarantine(fingerprint, **self.command_fields())
        await self.propose(command)


class Order(base.Handler):
    """``/operators/orders/NUMBER``."""

    async def get(self, number: str) -> None:
        """Show one order."""
        rows = {row["order"]: row for row in await self.fetch_view("orders")}
        self.respond(base.get_or_404(rows, "order", number))


class Keepers(base.Handler):
    """``/operators/keepers``."""

    async def get(self) -> None:
        """Show the status of the keepers."""
        if self.dependencies.keepers is None:
            raise errors.NotFoundError("keeper status is not available")
        self.respond(config_parts.to_plain(await self.dependencies.keepers()))


class ChangeKeepers(base.Handler):
    """``/operators/keepers/add`` and ``/operators/keepers/remove``."""

    async def post(self, action: str) -> None:
        """Add a keeper, as a learner at first, or remove one."""
        if self.dependencies.change_keepers is None:
            raise errors.NotFoundError("changing keepers is not available")
        body = schemas.validate(schemas.KeeperModel, self.json_body())
        adding = action == "add"
        if adding and not (body.address and body.data_centre):
            raise errors.BadRequestError(
                "keeper to add is incomplete",
                given=body.name,
                expected="name, data_centre and address",
            )
        await self.dependencies.change_keepers(adding, body)
        revision = self.dependencies.revisions.parts.revision
        self.respond({"revision": revision, "keeper": body.name})


class Explain(base.Handler):
    """``/operators/explain/REQUEST_ID``."""

    async def get(self, request_id: str) -> None:
        """Show the decisions made about the request."""
        if self.dependencies.explain is None:
            raise errors.NotFoundError("explain is disabled")
        self.respond(await self.dependencies.explain(request_id))


class NotFound(base.Handler):
    """Any other path below ``/operators``."""

    def prepare(self) -> None:
        """Authenticate, then respond 404."""
        super().prepare()
        raise errors.NotFoundError("no such path", given=self.request.path)


def routes(operators: base.Dependencies) -> list[t.Any]:
    """Return the routes of the operators' API."""
    shared = {"operators": operators}
    name = r"([^/]+)"
    root = r"/operators"

    def view(what: str) -> tuple:
        return (f"{root}/{what}", StateView, shared | {"what": what})

    return [
        (f"{root}/status", Status, shared),
        (f"{root}/presets", Presets, shared),
        (f"{root}/presets/{name}", Preset, shared),
        (f"{root}/restore", Restore, shared),
        (f"{root}/switch", Switch, shared),
        (f"{root}/accounts", Accounts, shared),
        (f"{root}/accounts/{name}", Account, shared),
        (f"{root}/targets", Targets, shared),
        (f"{root}/targets/{name}", Target, shared),
        (f"{root}/targets/{name}/drain", Drain, shared),
        (f"{root}/targets/{name}/undrain", Undrain, shared),
        view("history"),
        view("quarantine"),
        view("orders"),
        (f"{root}/orders/{name}", Order, shared),
        (f"{root}/quarantine/{name}", QuarantineEntry, shared),
        (f"{root}/keepers", Keepers, shared),
        (f"{root}/keepers/(add|remove)", ChangeKeepers, shared),
        (f"{root}/explain/{name}", Explain, shared),
        (f"{root}/.*", NotFound, shared),
    ]
