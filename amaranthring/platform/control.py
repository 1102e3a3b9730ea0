"""Handles the platform's calls of targets and operators to a keeper."""

import json
import typing as t

from amaranthring import errors
from amaranthring import routing
from amaranthring.core import endpoints
from amaranthring.core import numerals
from amaranthring.core import validation
from amaranthring.keepers import plans
from amaranthring.platform import documents
from amaranthring.policy import route_history
from amaranthring.registry import hub as hubs
from amaranthring.registry import messages

MILLISECONDS = 1e3

REPLACE = "/Configuration.Replace"
FETCH = "/Configuration.Fetch"
HEARTBEAT = "/Replicas.Heartbeat/"
DEREGISTER = "/Replicas.Deregister/"

MAX_PORT = 65535
# Of each text in a record; longer ones would fill the links to all routers.
MAX_TEXT_CHARACTERS = 512
# Of what was refused, in log lines.
MAX_SHOWN_CHARACTERS = 64
MAX_GIVEN_CHARACTERS = 200

# Greater ones are no time that anything takes.
MAX_COLD_MILLISECONDS = 1e9

EMPTY_OBJECT = b"{}"
# States that a target reports; any other state is invalid.
STATES = {
    "ready": messages.State.READY,
    "draining": messages.State.DRAINING,
}


class ServiceNames:
    """Names of the services in the plan that a keeper holds.

    Attributes
    ----------
    version : int
        Version of the plan that `names` comes from; -1 before the first.
    """

    def __init__(self, hub: hubs.Hub):
        self.hub = hub
        self.version = -1
        self.names: frozenset[str] = frozenset()

    def has(self, name: str) -> bool:
        """Return whether the plan names the service, or no plan is held."""
        version = self.hub.machine.version
        if version != self.version:
            plan = json.loads(plans.decompress(self.hub.machine.body))
            self.names = frozenset(
                backend["name"] for backend in plan["backends"]
            )
            self.version = version
        return version < 0 or name in self.names


def make_handler(hub: hubs.Hub) -> endpoints.Handler:
    """Return the handler of the platform's calls to `hub`."""
    services = ServiceNames(hub)

    async def handle(request: endpoints.Request) -> endpoints.Response:
        if (request.method, request.path) == ("POST", REPLACE):
            return await _replace(hub, request)
        if (request.method, request.path) == ("GET", FETCH):
            return await _fetch(hub)
        if request.method == "POST" and request.path.startswith(HEARTBEAT):
            return await _announce(hub, services, request)
        if request.method == "POST" and request.path.startswith(DEREGISTER):
            return await _leave(hub, request)
        raise errors.NotFoundError(
            "unknown call", given=f"{request.method} {request.path[:64]}"
        )

    return handle


def read_routes(document: bytes) -> route_history.PlanRoutes:
    """Return where the routes of an acknowledged plan lead."""
    plan = documents.decode_acknowledged(document)
    return route_history.PlanRoutes.of(plan.routes)


async def _announce(
    hub: hubs.Hub, services: ServiceNames, request: endpoints.Request
) -> endpoints.Response:
    try:
        record = read_heartbeat(request.path, request.body)
    except errors.BadRequestError as error:
        hub.refuse(error)
        raise
    entry = hub.table.entries.get(record.id)
    is_known = entry is not None and entry.record.service == record.service
    if (
        is_known
        or services.has(record.service)
        or record.state is not messages.State.READY
    ):
        hub.announce(record)
        if record.state is not messages.State.READY:
            await hub.confirm_departure(record.id)
    else:
        # Acknowledged, since no router sends to it; once a plan names the
        # service, the target's next heartbeat is accepted.
        hub.refuse(
            errors.NotFoundError(
                "unknown service", given=record.service[:MAX_SHOWN_CHARACTERS]
            )
        )
    return endpoints.Response(body=EMPTY_OBJECT)


async def _leave(
    hub: hubs.Hub, request: endpoints.Request
) -> endpoints.Response:
    try:
        name = read_name(request.path)
        born = read_start_time(request.body)
    except errors.BadRequestError as error:
        hub.refuse(error)
        raise
    left = hub.leave(name, born)
    if left is not None:
        await hub.confirm_departure(left.id)
    return endpoints.Response(body=EMPTY_OBJECT)


async def _replace(
    hub: hubs.Hub, request: endpoints.Request
) -> endpoints.Response:
    plan = documents.decode(request.body)
    # What routers do with a plan must not fail once it is acknowledged.
    routing.RouteTable(plan)
    route_history.PlanRoutes.of(plan.routes)
    version = await hub.put(plan.version, request.body)
    return endpoints.Response(body=json.dumps({"version": version}).encode())


async def _fetch(hub: hubs.Hub) -> endpoints.Response:
    plan = await hub.read()
    if plan.version < 0:
        raise errors.NotFoundError("no configuration yet")
    return endpoints.Response(body=plans.decompress(plan.body))


def read_heartbeat(path: str, body: bytes) -> messages.TargetRecord:
    """Return the record in a target's heartbeat.

    Raises
    ------
    errors.BadRequestError
        If the heartbeat is invalid.
    """
    try:
        data = json.loads(body)
        record = _record(path.removeprefix(HEARTBEAT), data)
        _check_lengths(record)
        return validation.validator(messages.TargetRecord)(record)
    except (errors.FrameError, *validation.DECODING_ERRORS) as error:
        raise errors.BadRequestError(
            "invalid heartbeat",
            given=repr(error)[:MAX_GIVEN_CHARACTERS],
            expected="a heartbeat",
        ) from error


def read_name(path: str) -> str:
    """Return the name of the target that a call to deregister names.

    Raises
    ------
    errors.BadRequestError
        If it is empty or too long.
    """
    name = path.removeprefix(DEREGISTER)
    if not 0 < len(name) <= MAX_TEXT_CHARACTERS:
        raise errors.BadRequestError(
            "invalid name of a target",
            given=f"{len(name)} characters",
            expected=f"1 to {MAX_TEXT_CHARACTERS}",
        )
    return name


def read_start_time(body: bytes) -> int:
    """Return the start time of a target that deregisters, or 0.

    Raises
    ------
    errors.BadRequestError
        If the body is invalid.
    """
    try:
        return _start_time(json.loads(body)) if body else 0
    except validation.DECODING_ERRORS as error:
        raise errors.BadRequestError(
            "invalid deregistration",
            given=repr(error)[:MAX_GIVEN_CHARACTERS],
            expected="an object",
        ) from error


def _start_time(data: dict) -> int:
    # Start of the target in Unix milliseconds; optional.
    born = data.get("born", 0)
    if isinstance(born, bool) or not isinstance(born, int) or born < 0:
        raise TypeError(f"born {born!r}")
    return _bounded(born)


def _bounded(number: int) -> int:
    """Return `number`, which other processes can read."""
    if abs(number) > documents.MAX_INTEGER:
        raise ValueError("an integer is out of range")
    return number


def _address(data: dict) -> str:
    address = data["address"]
    host, _, port = address.rpartition(":")
    number = numerals.read(port)
    is_name = host.isascii() and host.isprintable() and " " not in host
    if not host or not is_name or number is None or number > MAX_PORT:
        raise ValueError(f"address {address!r}")
    return address


def _check_lengths(record: dict[str, t.Any]) -> None:
    for name, value in record.items():
        if isinstance(value, str) and len(value) > MAX_TEXT_CHARACTERS:
            raise ValueError(f"{name} has {len(value)} characters")


def _slots(data: dict) -> int:
    slots = _bounded(data.get("batch_slots", 1))
    if slots < 0:
        raise ValueError(f"batch_slots {slots}")
    return slots


def _cold_seconds(data: dict) -> float:
    left = data.get("cold_left_ms", 0)
    if not -MAX_COLD_MILLISECONDS <= left <= MAX_COLD_MILLISECONDS:
        raise ValueError("cold_left_ms is out of range")
    return left / MILLISECONDS


def _record(target_id: str, data: dict) -> dict[str, t.Any]:
    born = _start_time(data)
    if not target_id:
        raise ValueError("no id")
    return {
        # The platform's id may stay the same after a restart.
        "id": messages.incarnation_id(target_id, born),
        "name": target_id,
        "born": born,
        # The platform calls a service a back end.
        "service": data["backend"],
        "address": _address(data),
        "data_centre": data.get("zone", ""),
        "release": data.get("version", ""),
        "slots": _slots(data),
        "state": STATES[data["state"]],
        "sequence": _bounded(data["sequence"]),
        "cold_seconds": _cold_seconds(data),
    }
