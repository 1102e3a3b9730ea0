"""HTTP for operators, served by every router.

Any router answers: it passes commands and queries to the keepers' leader
itself, so that a redirect never shows. A command whose answer was lost is
answered as ``unknown``; sent again under its id, here or elsewhere, it gets
the first answer.
"""

import typing as t

from amaranthring import errors
from amaranthring.core import config_parts
from amaranthring.core import fleet
from amaranthring.keepers import commands
from amaranthring.operators import base
from amaranthring.operators import schemas


class Status(base.Handler):
    """``/operators/status``: who runs which revision."""

    async def get(self) -> None:
        """Answer with the revision in force and every router's."""
        revisions = self.dependencies.revisions
        try:
            found = await self.fetch_view("status")
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
        self.respond(found, found["revision"])

    def _not_confirmed(self, found: dict[str, t.Any]) -> list[str]:
        known = found["routers"]
        configured = self.dependencies.routers
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
                name: _figures(preset)
                for name, preset in sorted(config.presets.items())
            },
        }
        self.respond(body, config.revision)


class Preset(base.Handler):
    """``/operators/presets/NAME``."""

    async def get(self, name: str) -> None:
        """Show the preset."""
        config = await self.fetch_config()
        found = base.get_or_404(config.presets, "preset", name)
        body = {
            "revision": config.revision,
            "in_force": config.in_force == name,
            "preset": config_parts.to_plain(found),
        }
        body["preset"].pop("name")
        self.respond(body, config.revision)

    async def put(self, name: str) -> None:
        """Create or replace the preset."""
        made = schemas.parse_preset(name, self.json_body())
        await self.propose(commands.PutPreset(made, **self.command_fields()))

    async def delete(self, name: str) -> None:
        """Remove the preset."""
        await self.propose(
            commands.RemovePreset(name, **self.command_fields())
        )


class Restore(base.Handler):
    """``/operators/restore``."""

    async def post(self) -> None:
        """Take what presets held at an earlier revision again."""
        made = schemas.validate(schemas.RestoreModel, self.json_body())
        command = commands.RestorePresets(
            made.revision, made.preset, **self.command_fields()
        )
        await self.propose(command)


class Switch(base.Handler):
    """``/operators/switch``."""

    async def post(self) -> None:
        """Put another preset in force."""
        made = schemas.validate(schemas.SwitchModel, self.json_body())
        command = commands.SwitchPreset(made.preset, **self.command_fields())
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
        """Show the account, without anything that lets one in."""
        config = await self.fetch_config()
        found = base.get_or_404(config.accounts, "account", name)
        body = {
            "revision": config.revision,
            "name": name,
            "default_class": found.default_class,
            "tokens": [digest[:8] for digest in found.token_hashes],
            "policy": config_parts.to_plain(
                config.preset.account_policy(name)
            ),
        }
        self.respond(body, config.revision)

    async def put(self, name: str) -> None:
        """Create or replace the account."""
        made = schemas.parse_account(name, self.json_body())
        await self.propose(commands.PutAccount(made, **self.command_fields()))

    async def delete(self, name: str) -> None:
        """Remove the account."""
        await self.propose(
            commands.RemoveAccount(name, **self.command_fields())
        )


class Targets(base.Handler):
    """``/operators/targets``: as this router sees them."""

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
        """Give the target no new work."""
        made = schemas.validate(schemas.DrainModel, self.json_body())
        command = commands.DrainTarget(
            schemas.validate_name(name), made.reason, **self.command_fields()
        )
        await self.propose(command)


class Undrain(base.Handler):
    """``/operators/targets/NAME/undrain``."""

    async def post(self, name: str) -> None:
        """Give the target work again."""
        await self.propose(
            commands.UndrainTarget(name, **self.command_fields())
        )


class StateView(base.Handler):
    """A view of the keepers' state as it is; `what` names it."""

    def initialize(self, operators: base.Dependencies, what: str = "") -> None:
        """Take over the name of the view."""
        super().initialize(operators)
        self.view_name = what

    async def get(self) -> None:
        """Show the view, narrowed by the argument ``name``."""
        name = self.get_query_argument("name", "")
        self.respond(
            {self.view_name: await self.fetch_view(self.view_name, name)}
        )


class QuarantineEntry(base.Handler):
    """``/operators/quarantine/FINGERPRINT``."""

    async def delete(self, fingerprint: str) -> None:
        """Take the request off the list."""
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
        """Show the status of the group of keepers."""
        if self.dependencies.keepers is None:
            raise errors.NotFoundError("no keepers here")
        self.respond(config_parts.to_plain(await self.dependencies.keepers()))


class ChangeKeepers(base.Handler):
    """``/operators/keepers/add`` and ``/operators/keepers/remove``."""

    async def post(self, action: str) -> None:
        """Add a keeper as a learner to be voted in, or remove one."""
        if self.dependencies.change_keepers is None:
            raise errors.NotFoundError("no keepers here")
        made = schemas.validate(schemas.KeeperModel, self.json_body())
        adds = action == "add"
        if adds and not (made.address and made.data_centre):
            raise errors.BadRequestError(
                "a keeper to add",
                given=made.name,
                expected="also data_centre and address",
            )
        await self.dependencies.change_keepers(adds, made)
        revision = self.dependencies.revisions.parts.revision
        self.respond({"revision": revision, "keeper": made.name})


class Explain(base.Handler):
    """``/operators/explain/REQUEST_ID``."""

    async def get(self, request_id: str) -> None:
        """Show what was decided on the request's way."""
        if self.dependencies.explain is None:
            raise errors.NotFoundError("explain is off")
        self.respond(await self.dependencies.explain(request_id))


class NotFound(base.Handler):
    """Any other path below ``/operators``."""

    def prepare(self) -> None:
        """Refuse, to those with a token and to those without."""
        super().prepare()
        raise errors.NotFoundError("no such path", given=self.request.path)


def routes(operators: base.Dependencies) -> list[t.Any]:
    """Return the routes for the internal listener."""
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
