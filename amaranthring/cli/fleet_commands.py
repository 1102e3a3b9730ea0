"""Commands that call a running fleet."""

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

# Without this, fire parses arguments as Python values: 1e3 would become a
# float, and a,b a tuple.
parse_as_text = fire.decorators.SetParseFns


def _quote(name: str) -> str:
    return urllib.parse.quote(str(name), safe="")


class CommandGroup:
    """Base of the command groups; reads operator settings on first use."""

    def __init__(self, operator: str = ""):
        self._operator = operator

    def _client(self) -> router_client.RouterClient:
        path = self._operator or os.environ.get(OPERATOR_VARIABLE, "")
        path = path or os.path.expanduser(DEFAULT_OPERATOR_FILE)
        model = settings_module.OperatorSettings
        return router_client.RouterClient(settings_module.read(path, model))

    def _send_command(
        self, method, path, body, command_id, revision=None
    ) -> str:
        command_id = str(command_id or uuid.uuid4().hex)
        client = self._client()
        if revision is None:
            revision = client.get("/operators/status")["revision"]
        try:
            response = client.send_command(
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
        return f"accepted as revision {response['revision']}"


class PresetCommands(CommandGroup):
    """Show, change and switch presets; exactly one is in force."""

    def list(self, json: bool = False) -> str:
        """List presets; the one in force is marked."""
        response = self._client().get("/operators/presets")
        return output.render(response, json, views.presets)

    @parse_as_text(name=str)
    def show(self, name: str, json: bool = False) -> str:
        """Show preset NAME."""
        response = self._client().get(f"/operators/presets/{_quote(name)}")
        return output.render(response, json, output.format_mapping)

    @parse_as_text(name=str, file=str, command_id=str)
    def put(
        self,
        name: str,
        file: str,
        revision: int | None = None,
        command_id: str = "",
    ) -> str:
        """Create or replace preset NAME from the JSON in FILE.

        With --revision, the change is refused if the configuration has
        another revision by then. A repeated --command-id gets the first
        answer.
        """
        body = _read_json_file(file)
        path = f"/operators/presets/{_quote(name)}"
        return self._send_command("PUT", path, body, command_id, revision)

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
        return self._send_command("POST", path, body, command_id, revision)

    def history(self, json: bool = False) -> str:
        """List accepted changes, newest last."""
        response = self._client().get("/operators/history")
        return output.render(response, json, views.history)

    @parse_as_text(command_id=str)
    def restore(
        self,
        to_revision: int,
        revision: int | None = None,
        command_id: str = "",
    ) -> str:
        """Restore presets, and which is in force, from TO_REVISION."""
        body = {"revision": to_revision}
        path = "/operators/restore"
        return self._send_command("POST", path, body, command_id, revision)


class TargetCommands(CommandGroup):
    """Show and drain targets."""

    def list(self, json: bool = False) -> str:
        """List targets with state and load."""
        response = self._client().get("/operators/targets")
        return output.render(response, json, views.targets)

    @parse_as_text(name=str)
    def show(self, name: str, json: bool = False) -> str:
        """Show target NAME."""
        response = self._client().get(f"/operators/targets/{_quote(name)}")
        return output.render(response, json, output.format_mapping)

    @parse_as_text(name=str, reason=str, command_id=str)
    def drain(
        self,
        name: str,
        reason: str = "operator",
        revision: int | None = None,
        command_id: str = "",
    ) -> str:
        """Drain target NAME: it gets no new requests, running ones finish."""
        path = f"/operators/targets/{_quote(name)}/drain"
        body = {"reason": reason}
        return self._send_command("POST", path, body, command_id, revision)

    @parse_as_text(name=str, command_id=str)
    def undrain(
        self,
        name: str,
        revision: int | None = None,
        command_id: str = "",
    ) -> str:
        """Undrain target NAME: it gets new requests again."""
        path = f"/operators/targets/{_quote(name)}/undrain"
        return self._send_command("POST", path, {}, command_id, revision)


class AccountCommands(CommandGroup):
    """Show and change client accounts."""

    def list(self, json: bool = False) -> str:
        """List client accounts with their limits in the preset in force."""
        response = self._client().get("/operators/accounts")
        columns = ("name", "weight", "rate_per_second", "burst")
        return output.render(
            response,
            json,
            lambda a: output.format_table(a["accounts"], columns),
        )

    @parse_as_text(name=str)
    def show(self, name: str, json: bool = False) -> str:
        """Show client account NAME."""
        response = self._client().get(f"/operators/accounts/{_quote(name)}")
        return output.render(response, json, output.format_mapping)

    @parse_as_text(name=str, file=str, command_id=str)
    def put(
        self,
        name: str,
        file: str,
        revision: int | None = None,
        command_id: str = "",
    ) -> str:
        """Create or replace client account NAME from the JSON in FILE.

        It may hold two token hashes while a token is being replaced.
        """
        body = _read_json_file(file)
        path = f"/operators/accounts/{_quote(name)}"
        return self._send_command("PUT", path, body, command_id, revision)

    @parse_as_text(name=str, command_id=str)
    def remove(
        self,
        name: str,
        revision: int | None = None,
        command_id: str = "",
    ) -> str:
        """Remove client account NAME; its callers are refused afterwards."""
        path = f"/operators/accounts/{_quote(name)}"
        return self._send_command("DELETE", path, None, command_id, revision)


class QuarantineCommands(CommandGroup):
    """Show and lift the quarantine of requests that crashed targets."""

    def list(self, json: bool = False) -> str:
        """List quarantined requests by fingerprint."""
        response = self._client().get("/operators/quarantine")
        return output.render(response, json, views.quarantine)

    @parse_as_text(fingerprint=str, command_id=str)
    def lift(
        self,
        fingerprint: str,
        revision: int | None = None,
        command_id: str = "",
    ) -> str:
        """Lift the quarantine of the request with FINGERPRINT."""
        path = f"/operators/quarantine/{_quote(fingerprint)}"
        return self._send_command("DELETE", path, None, command_id, revision)


class KeeperCommands(CommandGroup):
    """Run a keeper with --settings FILE; show and change the keepers."""

    def __init__(self, operator: str = ""):
        super().__init__(operator)
        # For a callable object, fire looks up the parse functions on the
        # object itself, not on ``__call__``.
        parse_as_text(settings=str)(self)

    def __call__(self, settings: str) -> None:
        """Run a keeper with the settings file SETTINGS until stopped."""
        app = importlib.import_module("amaranthring.app")
        app.run("keeper", settings_module.read(settings))

    def status(self, json: bool = False) -> str:
        """Show leader, members and how many more losses are safe."""
        response = self._client().get("/operators/keepers")
        return output.render(response, json, views.keepers)

    @parse_as_text(name=str, address=str, data_centre=str, command_id=str)
    def add(
        self, name: str, data_centre: str, address: str, command_id: str = ""
    ) -> str:
        """Add keeper NAME as a learner; it votes once it has caught up."""
        body = {"name": name, "data_centre": data_centre, "address": address}
        path = "/operators/keepers/add"
        return self._send_command("POST", path, body, command_id)

    @parse_as_text(name=str, command_id=str)
    def remove(self, name: str, command_id: str = "") -> str:
        """Remove keeper NAME."""
        path = "/operators/keepers/remove"
        return self._send_command("POST", path, {"name": name}, command_id)


class OrderCommands(CommandGroup):
    """Show orders to targets."""

    def list(self, json: bool = False) -> str:
        """List orders with their progress."""
        response = self._client().get("/operators/orders")
        columns = ("order", "target", "action", "state", "fencing", "detail")
        return output.render(
            response, json, lambda a: output.format_table(a["orders"], columns)
        )

    @parse_as_text(order=str)
    def show(self, order: str, json: bool = False) -> str:
        """Show ORDER."""
        response = self._client().get(f"/operators/orders/{_quote(order)}")
        return output.render(response, json, output.format_mapping)


class FleetCommands(CommandGroup):
    """Commands that call the fleet, at the top level of the program."""

    def __init__(self, operator: str = ""):
        super().__init__(operator)
        self.preset = PresetCommands(operator)
        self.target = TargetCommands(operator)
        self.account = AccountCommands(operator)
        self.keeper = KeeperCommands(operator)
        self.order = OrderCommands(operator)
        self.quarantine = QuarantineCommands(operator)

    def status(self, json: bool = False) -> str:
        """Show the revision in force and that of every router."""
        response = self._client().get("/operators/status")
        return output.render(response, json, views.status)

    @parse_as_text(request_id=str)
    def explain(self, request_id: str, json: bool = False) -> str:
        """Show the decisions about REQUEST_ID and their inputs."""
        path = f"/operators/explain/{_quote(request_id)}"
        return output.render(self._client().get(path), json, views.explanation)


def _read_json_file(path: str):
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
