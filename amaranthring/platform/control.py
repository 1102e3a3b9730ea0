"""Calls of targets and operators to a keeper, as the platform makes them."""

import json
import typing as t

from amaranthring import errors
from amaranthring.core import endpoints
from amaranthring.core import validation
from amaranthring.keepers import plans
from amaranthring.platform import documents
from amaranthring.registry import hub as hubs
from amaranthring.registry import messages

MILLISECONDS = 1e3

REPLACE = "/Configuration.Replace"
FETCH = "/Configuration.Fetch"
HEARTBEAT = "/Replicas.Heartbeat/"
DEREGISTER = "/Replicas.Deregister/"

EMPTY_OBJECT = b"{}"
# What a target says of itself; any other state is another writer's.
STATES = {
    "ready": messages.State.READY,
    "draining": messages.State.DRAINING,
}


class ServiceNames:
    """Names of the services in the plan that a keeper holds.

    Attributes
    ----------
    version : int
        Of the plan from which `names` are; -1 before the first.
    """

    def __init__(self, hub: hubs.Hub):
        self.hub = hub
        self.version = -1
        self.names: frozenset[str] = frozenset()

    def has(self, name: str) -> bool:
        """Return whether there is such a service, or no plan to tell."""
        held = self.hub.machine.version
        if held != self.version:
            found = json.loads(plans.decompress(self.hub.machine.body))
            self.names = frozenset(one["name"] for one in found["backends"])
            self.version = held
        return held < 0 or name in self.names


def make_handler(hub: hubs.Hub) -> endpoints.Handler:
    """Return the function that answers the platform's calls from `hub`."""
    services = ServiceNames(hub)

    async def answer(call: endpoints.Request) -> endpoints.Response:
        if (call.method, call.path) == ("POST", REPLACE):
            return await _replace(hub, call)
        if (call.method, call.path) == ("GET", FETCH):
            return await _fetch(hub)
        if call.method == "POST" and call.path.startswith(HEARTBEAT):
            return _announce(hub, services, call)
        if call.method == "POST" and call.path.startswith(DEREGISTER):
            return _leave(hub, call)
        raise errors.NotFoundError(
            "no such call", given=f"{call.method} {call.path[:64]}"
        )

    return answer


def _announce(
    hub: hubs.Hub, services: ServiceNames, call: endpoints.Request
) -> endpoints.Response:
    try:
        record = read_heartbeat(call.path, call.body)
    except errors.BadRequestError as error:
        hub.refuse(error)
        raise
    if record.id in hub.table.entries or services.has(record.service):
        hub.announce(record)
    else:
        # Acknowledged, since no router sends to it; a plan that names the
        # service later finds it at its next announcement.
        hub.refuse(errors.NotFoundError("service", given=record.service))
    return endpoints.Response(body=EMPTY_OBJECT)


def _leave(hub: hubs.Hub, call: endpoints.Request) -> endpoints.Response:
    try:
        born = read_start_time(call.body)
    except errors.BadRequestError as error:
        hub.refuse(error)
        raise
    hub.leave(call.path.removeprefix(DEREGISTER), born)
    return endpoints.Response(body=EMPTY_OBJECT)


async def _replace(
    hub: hubs.Hub, call: endpoints.Request
) -> endpoints.Response:
    plan = documents.decode(call.body)
    held = await hub.put(plan.version, call.body)
    return endpoints.Response(body=json.dumps({"version": held}).encode())


async def _fetch(hub: hubs.Hub) -> endpoints.Response:
    found = await hub.read()
    if found.version < 0:
        raise errors.NotFoundError("no configuration yet")
    return endpoints.Response(body=plans.decompress(found.body))


def read_heartbeat(path: str, body: bytes) -> messages.TargetRecord:
    """Return the record in a target's heartbeat.

    Raises
    ------
    errors.BadRequestError
        If it is not usable.
    """
    try:
        found = json.loads(body)
        plain = _record(path.removeprefix(HEARTBEAT), found)
        return validation.validator(messages.TargetRecord)(plain)
    except (
        errors.FrameError,
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
    ) as error:
        raise errors.BadRequestError(
            "heartbeat", given=repr(error), expected="a heartbeat"
        ) from error


def read_start_time(body: bytes) -> int:
    """Return when the target was born that says that it is gone.

    Raises
    ------
    errors.BadRequestError
        If it cannot be read.
    """
    try:
        return _born(json.loads(body)) if body else 0
    except (ValueError, TypeError, AttributeError) as error:
        raise errors.BadRequestError(
            "leave", given=repr(error), expected="an object"
        ) from error


def _born(found: dict) -> int:
    # Unix milliseconds of the target's start; not told on all deployments.
    born = found.get("born", 0)
    if isinstance(born, bool) or not isinstance(born, int) or born < 0:
        raise TypeError(f"born {born!r}")
    return born


def _address(found: dict) -> str:
    address = found["address"]
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"address {address!r}")
    return address


def _record(target_id: str, found: dict) -> dict[str, t.Any]:
    born = _born(found)
    if not target_id:
        raise ValueError("no id")
    return {
        # The platform's id may be the same after a start.
        "id": messages.incarnation_id(target_id, born),
        "name": target_id,
        "born": born,
        # The platform's back end is our service.
        "service": found["backend"],
        "address": _address(found),
        "data_centre": found.get("zone", ""),
        "release": found.get("version", ""),
        "slots": found.get("batch_slots", 1),
        "state": STATES[found["state"]],
        "sequence": found["sequence"],
        "cold_seconds": found.get("cold_left_ms", 0) / MILLISECONDS,
    }
