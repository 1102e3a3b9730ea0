"""Calls of targets and operators to a keeper, as the platform makes them."""

import json
import typing as t

from amaranthring import errors
from amaranthring.core import endpoints
from amaranthring.core import fields
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


def answers(hub: hubs.Hub) -> endpoints.Answer:
    """Return the function that answers the platform's calls from `hub`."""

    async def answer(call: endpoints.Call) -> endpoints.Result:
        if (call.method, call.path) == ("POST", REPLACE):
            return await _replace(hub, call)
        if (call.method, call.path) == ("GET", FETCH):
            return await _fetch(hub)
        if call.method == "POST" and call.path.startswith(HEARTBEAT):
            hub.announce(read_heartbeat(call.path, call.body))
            return endpoints.Result(body=EMPTY_OBJECT)
        if call.method == "POST" and call.path.startswith(DEREGISTER):
            hub.leave(call.path.removeprefix(DEREGISTER))
            return endpoints.Result(body=EMPTY_OBJECT)
        raise errors.NotFoundError(
            "no such call", given=f"{call.method} {call.path[:64]}"
        )

    return answer


async def _replace(hub: hubs.Hub, call: endpoints.Call) -> endpoints.Result:
    plan = documents.decode(call.body)
    held = await hub.put(plan.version, call.body)
    return endpoints.Result(body=json.dumps({"version": held}).encode())


async def _fetch(hub: hubs.Hub) -> endpoints.Result:
    found = await hub.read()
    if found.version < 0:
        raise errors.NotFoundError("no configuration yet")
    return endpoints.Result(body=plans.unpacked(found.body))


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
        return fields.reader(messages.TargetRecord)(plain)
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


def _record(target_id: str, found: dict) -> dict[str, t.Any]:
    return {
        "id": target_id,
        # The platform's back end is our service.
        "service": found["backend"],
        "address": found["address"],
        "data_centre": found.get("zone", ""),
        "release": found.get("version", ""),
        "slots": found.get("batch_slots", 1),
        "state": found.get("state", "ready"),
        "sequence": found["sequence"],
        "cold_seconds": found.get("cold_left_ms", 0) / MILLISECONDS,
    }
