"""Commands that ask a running fleet."""

import importlib
import json as json_module
import os
import urllib.parse
import uuid

import fire.decorators

from amaranthring import errors
from amaranthring import settings as settings_module
from amaranthring.cli import output
from amaranthring.cli import router_client
from amaranthring.cli import views

OPERATOR_VARIABLE = "AMARANTHRING_OPERATOR"
DEFAULT_OPERATOR_FILE = "~/.config/amaranthring/operator.ini"

# Names and ids must reach the fleet as they were typed; fire would make a
# number of 007 and a list of a,b.
parse_as_text = fire.decorators.SetParseFns


def _quoted(name: str) -> str:
    return urllib.parse.quote(str(name), safe="")


class CommandGroup:
    """Base of the command groups: reaches the fleet when first asked."""

    def __init__(self, operator: str = ""):
        self._operator = operator

    def _fleet(self) -> router_client.RouterClient:
        path = self._operator or os.environ.get(OPERATOR_VARIABLE, "")
        path = path or os.path.expanduser(DEFAULT_OPERATOR_FILE)
        model = settings_module.OperatorSettings
        return router_client.RouterClient(settings_module.read(path, model))

    def _change(self, method, path, body, command_id, revision=None) -> str:
        command_id = str(command_id or uuid.uuid4().hex)
        fleet = self._fleet()
        if revision is None:
            revision = fleet.get("/operators/status")["revision"]
        try:
            answer = fleet.send_command(
                method, path, body, command_id, revision
            )
        except errors.AmaranthringError as error:
            if error.outcome != errors.Outcome.NOT_RUN:
                error.detail += (
                    f"; it may have been accepted: repeat the command with "
                    f"--command-id {command_id} --revision {revision} to "
                    "learn its answer"
                )
            raise
        return f"accepted as revision {answer['revision']}"


class PresetCommands(CommandGroup):
    """See, change and switch presets; exactly one is in force."""

    def list(self, json: bool = False) -> str:
        """List presets; the one in force is marked."""
        answer = self._fleet().get("/operators/presets")
        return output.render(answer, json, views.presets)

    @parse_as_text(name=str)
    def show(self, name: str, json: bool = False) -> str:
        """Show preset NAME."""
        answer = self._fleet().get(f"/operators/presets/{_quoted(name)}")
        return output.render(answer, json, output.format_mapping)

    @parse_as_text(name=str, file=str, command_id=str)
    def put(
        self,
        name: str,
        file: str,
        revision: int | None = None,
        command_id: str = "",
    ) -> str:
        """Create or adjust preset NAME from the JSON in FILE.

        With --revision the change is refused if another came first; a
        repeated --command-id gets the first answer.
        """
        body = _json_file(file)
        path = f"/operators/presets/{_quoted(name)}"
        return self._change("PUT", path, body, command_id, revision)

    @parse_as_text(name=str, command_id=str)
    def switch(
        self,
        name: str,
        revision: int | None = None,
        command_id: str = "",
    ) -> str:
        """Put preset NAME in force on every router."""
        body = {"preset": name}
        path = "/operators/switch"
        return self._change("POST", path, body, command_id, revision)

    def history(self, json: bool = False) -> str:
        """List accepted changes, newest last."""
        answer = self._fleet().get("/operators/history")
        return output.render(answer, json, views.history)

    @parse_as_text(command_id=str)
    def restore(
        self,
        to_revision: int,
        revision: int | None = None,
        command_id: str = "",
    ) -> str:
        """Take the content of TO_REVISION again, as a new revision."""
        body = {"revision": to_revision}
        path = "/operators/restore"
        return self._change("POST", path, body, command_id, revision)


class TargetCommands(CommandGroup):
    """See and drain targets."""

    def list(self, json: bool = False) -> str:
        """List targets with state and load."""
        answer = self._fleet().get("/operators/targets")
        return output.render(answer, json, views.targets)

    @parse_as_text(name=str)
    def show(self, name: str, json: bool = False) -> str:
        """Show target NAME."""
        answer = self._fleet().get(f"/operators/targets/{_quoted(name)}")
        return output.render(answer, json, output.format_mapping)

    @parse_as_text(name=str, reason=str, command_id=str)
    def drain(
        self,
        name: str,
        reason: str = "operator",
        revision: int | None = None,
        command_id: str = "",
    ) -> str:
        """Give target NAME no new work; what it runs ends whole."""
        path = f"/operators/targets/{_quoted(name)}/drain"
        body = {"reason": reason}
        return self._change("POST", path, body, command_id, revision)

    @parse_as_text(name=str, command_id=str)
    def undrain(
        self,
        name: str,
        revision: int | None = None,
        command_id: str = "",
    ) -> str:
        """Give target NAME work again."""
        path = f"/operators/targets/{_quoted(name)}/undrain"
        return self._change("POST", path, {}, command_id, revision)


class AccountCommands(CommandGroup):
    """See client accounts."""

    def list(self, json: bool = False) -> str:
        """List client accounts with their limits in the preset in force."""
        answer = self._fleet().get("/operators/accounts")
        columns = ("name", "weight", "rate_per_second", "burst")
        return output.render(
            answer, json, lambda a: output.format_table(a["accounts"], columns)
        )

    @parse_as_text(name=str)
    def show(self, name: str, json: bool = False) -> str:
        """Show client account NAME."""
        answer = self._fleet().get(f"/operators/accounts/{_quoted(name)}")
        return output.render(answer, json, output.format_mapping)

    @parse_as_text(name=str, file=str, command_id=str)
    def put(
        self,
        name: str,
        file: str,
        revision: int | None = None,
        command_id: str = "",
    ) -> str:
        """Create or replace client account NAME from the JSON in FILE.

        Two token hashes may stand in it while a token is changed.
        """
        body = _json_file(file)
        path = f"/operators/accounts/{_quoted(name)}"
        return self._change("PUT", path, body, command_id, revision)

    @parse_as_text(name=str, command_id=str)
    def remove(
        self,
        name: str,
        revision: int | None = None,
        command_id: str = "",
    ) -> str:
        """Remove client account NAME; its callers are refused from then."""
        path = f"/operators/accounts/{_quoted(name)}"
        return self._change("DELETE", path, None, command_id, revision)


class QuarantineCommands(CommandGroup):
    """See and lift the quarantine of requests that crashed targets."""

    def list(self, json: bool = False) -> str:
        """List quarantined requests by fingerprint."""
        answer = self._fleet().get("/operators/quarantine")
        return output.render(answer, json, views.quarantine)

    @parse_as_text(fingerprint=str, command_id=str)
    def lift(
        self,
        fingerprint: str,
        revision: int | None = None,
        command_id: str = "",
    ) -> str:
        """Let the request with FINGERPRINT run again."""
        path = f"/operators/quarantine/{_quoted(fingerprint)}"
        return self._change("DELETE", path, None, command_id, revision)


class KeeperCommands(CommandGroup):
    """Run a keeper with --settings FILE; see and change the group."""

    def __init__(self, operator: str = ""):
        super().__init__(operator)
        # fire reads how to parse the words of a callable object from the
        # object itself, not from its method.
        parse_as_text(settings=str)(self)

    def __call__(self, settings: str) -> None:
        """Run a keeper with the file SETTINGS until it is stopped."""
        app = importlib.import_module("amaranthring.app")
        app.run("keeper", settings_module.read(settings))

    def status(self, json: bool = False) -> str:
        """Show leader, members and how many more losses are safe."""
        answer = self._fleet().get("/operators/keepers")
        return output.render(answer, json, views.keepers)

    @parse_as_text(name=str, address=str, data_centre=str, command_id=str)
    def add(
        self, name: str, data_centre: str, address: str, command_id: str = ""
    ) -> str:
        """Add keeper NAME as a learner; it votes once it has caught up."""
        body = {"name": name, "data_centre": data_centre, "address": address}
        path = "/operators/keepers/add"
        return self._change("POST", path, body, command_id)

    @parse_as_text(name=str, command_id=str)
    def remove(self, name: str, command_id: str = "") -> str:
        """Remove keeper NAME from the group."""
        path = "/operators/keepers/remove"
        return self._change("POST", path, {"name": name}, command_id)


class OrderCommands(CommandGroup):
    """See orders to targets."""

    def list(self, json: bool = False) -> str:
        """List orders with their progress."""
        answer = self._fleet().get("/operators/orders")
        columns = ("order", "target", "action", "state", "fencing", "detail")
        return output.render(
            answer, json, lambda a: output.format_table(a["orders"], columns)
        )

    @parse_as_text(order=str)
    def show(self, order: str, json: bool = False) -> str:
        """Show ORDER."""
        answer = self._fleet().get(f"/operators/orders/{_quoted(order)}")
        return output.render(answer, json, output.format_mapping)


class FleetCommands(CommandGroup):
    """Commands that ask the fleet, gathered under the program's name."""

    def __init__(self, operator: str = ""):
        super().__init__(operator)
        self.preset = PresetCommands(operator)
        self.target = TargetCommands(operator)
        self.account = AccountCommands(operator)
        self.keeper = KeeperCommands(operator)
        self.order = OrderCommands(operator)
        self.quarantine = QuarantineCommands(operator)

    def status(self, json: bool = False) -> str:
        """Show revision, routers, targets and keepers at a glance."""
        answer = self._fleet().get("/operators/status")
        return output.render(answer, json, views.status)

    @parse_as_text(request_id=str)
    def explain(self, request_id: str, json: bool = False) -> str:
        """Show what was decided about REQUEST_ID, and on what grounds."""
        path = f"/operators/explain/{_quoted(request_id)}"
        return output.render(self._fleet().get(path), json, views.explanation)


def _json_file(path: str):
    try:
        with open(path, encoding="utf-8") as file:
            return json_module.load(file)
    except OSError as error:
        raise errors.UsageError(
            f"{path}: cannot be read",
            given=error.strerror,
            expected="a JSON file",
        ) from error
    except ValueError as error:
        raise errors.UsageError(
            f"{path}: not JSON", given=str(error), expected="a JSON object"
        ) from error
