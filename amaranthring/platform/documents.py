"""Decodes the operator's configurations into routing plans."""

import contextlib
import json
import math
import re
import typing as t

from amaranthring import errors
from amaranthring import routing
from amaranthring.core import text
from amaranthring.core import validation

MILLISECONDS = 1e3
MEGABIT_BYTES = 1e6 / 8

# Greater ones do not fit into the messages between processes.
MAX_INTEGER = 2**63 - 1
# Longer names fit into no head of a request.
MAX_TEXT_CHARACTERS = 4096
# Would end the line of a header.
CONTROLS = re.compile(r"[\x00-\x1f\x7f]")

# Request kinds by the platform's route types.
KINDS = {
    "safe": routing.Kind.SAFE,
    "unsafe": routing.Kind.UNSAFE,
    "streaming": routing.Kind.STREAM,
}


def decode(document: bytes) -> routing.Plan:
    """Return the validated plan in a document that an operator sends.

    Raises
    ------
    errors.InvalidPlanError
        If it cannot be decoded or is not a valid plan.
    """
    with _decoding():
        data = json.loads(document)
        _check_lists(data)
        plan = _plan(data)
    routing.check(plan)
    return plan


def decode_acknowledged(document: bytes) -> routing.Plan:
    """Return the plan in a document that a keeper has acknowledged.

    An earlier release may have done so, by fewer checks, and what was
    acknowledged stays in force.

    Raises
    ------
    errors.InvalidPlanError
        If it cannot be decoded.
    """
    with _decoding():
        return _plan(json.loads(document))


@contextlib.contextmanager
def _decoding() -> t.Iterator[None]:
    try:
        yield
    except validation.DECODING_ERRORS as error:
        raise errors.InvalidPlanError(
            "the document cannot be decoded",
            given=repr(error),
            expected="a plan",
        ) from error


def _check_lists(data: dict) -> None:
    """Check that lists are lists.

    Other empty values would pass for empty lists, and text for a list of its
    characters.
    """
    lists = {"routes": [data["routes"]], "backends": [data["backends"]]}
    lists["split"] = [r["split"] for r in data["routes"] if "split" in r]
    if "tenants" in data:
        lists["tenants"] = [data["tenants"]]
        lists["api_keys"] = [
            tenant["api_keys"]
            for tenant in data["tenants"] or ()
            if "api_keys" in tenant
        ]
    for name, values in lists.items():
        for value in values:
            if not isinstance(value, list):
                kind = type(value).__name__
                raise TypeError(f"{name} is of type {kind}, not a list")


def _plan(data: dict) -> routing.Plan:
    version = data["version"]
    if isinstance(version, bool) or not isinstance(version, int):
        raise TypeError(f"version {version!r}")
    return routing.Plan(
        version=_integer(version),
        routes=tuple(map(_route, data["routes"])),
        # The platform calls services back ends.
        services=tuple(map(_service, data["backends"])),
        accounts=_accounts(data),
        bounds=_bounds(data.get("limits") or {}),
    )


def _route(data: dict) -> routing.Route:
    if "split" in data:
        shares = tuple(
            routing.Share(_text(share["backend"]), _number(share["weight"]))
            for share in data["split"]
        )
    else:
        shares = (routing.Share(_text(data["backend"]), 1),)
    return routing.Route(
        name=_text(data["name"]),
        host=_text(data["hostname"]),
        prefix=_text(data["path_prefix"]),
        kind=KINDS[data["route_type"]],
        timeout=_number(data["timeout_ms"]) / MILLISECONDS,
        objective=_number(data.get("latency_target_ms", 0)) / MILLISECONDS,
        priority=_integer(data.get("priority", 0)),
        shares=shares,
        attempts_most=_integer(data.get("max_attempts", 1)),
        public=bool(data.get("public", False)),
        # Applies to requests that name their prompt, not to sessions.
        with_prompt=bool(data.get("sticky", False)),
        resumable=bool(data.get("resumable", False)),
        pause_most=_number(data.get("itl_target_ms", 0)) / MILLISECONDS,
    )


def _service(data: dict) -> routing.Service:
    engine = data.get("engine")
    return routing.Service(
        name=_text(data["name"]),
        health_path=_encodable(str(data.get("health_path", "/"))),
        connections_most=_integer(data.get("max_conns", 0)),
        engine=_engine(engine) if engine else None,
    )


def _engine(data: dict) -> routing.Engine:
    return routing.Engine(
        slots=_integer(data.get("batch_slots", 1)),
        kv_tokens=_integer(data.get("kv_capacity", 0)),
        token_bytes=_number(data.get("kv_bytes", 0)),
        # Megabits per second.
        link_rate=_number(data.get("link_mbps", 0)) * MEGABIT_BYTES,
    )


def _accounts(data: dict) -> tuple[routing.Account, ...] | None:
    # The platform calls client accounts tenants.
    listed = data.get("tenants")
    if not listed and not isinstance(listed, list):
        # Absent; or null or another empty value, which only earlier releases
        # acknowledged, with this meaning.
        return None
    return tuple(map(_account, listed))


def _account(data: dict) -> routing.Account:
    name, priority = _text(data["name"]), data.get("priority")
    if CONTROLS.search(name):
        # Targets get the name in a header.
        raise ValueError(f"{name!r} has control characters")
    return routing.Account(
        name=name,
        keys=tuple(map(_text, data.get("api_keys") or ())),
        priority=None if priority is None else _integer(priority),
    )


def _bounds(data: dict) -> routing.Bounds:
    defaults = routing.Bounds()
    return routing.Bounds(
        header_bytes=_integer(
            data.get("max_header_bytes", defaults.header_bytes)
        ),
        body_bytes=_integer(data.get("max_body_bytes", defaults.body_bytes)),
        header_seconds=_seconds(
            data, "header_timeout_ms", defaults.header_seconds
        ),
        idle_seconds=_seconds(data, "idle_timeout_ms", defaults.idle_seconds),
    )


def _seconds(data: dict, name: str, default: float) -> float:
    return _number(data[name]) / MILLISECONDS if name in data else default


def _text(value: t.Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r} is not a non-empty string")
    return _encodable(value)


def _encodable(value: str) -> str:
    if len(value) > MAX_TEXT_CHARACTERS:
        raise ValueError(f"a text has {len(value)} characters")
    if not text.is_encodable(value):
        raise ValueError(f"{value!r} cannot be encoded")
    return value


def _integer(value: t.Any) -> int:
    number = int(value)
    if abs(number) > MAX_INTEGER:
        raise ValueError("an integer is out of range")
    return number


def _number(value: t.Any) -> t.Any:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r} is not a number")
    if not math.isfinite(value):
        raise ValueError(f"{value!r} is not finite")
    return value
