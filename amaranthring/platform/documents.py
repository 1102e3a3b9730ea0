"""Configurations of the operator, decoded into routing plans."""

import json
import typing as t

from amaranthring import errors
from amaranthring import routing

MILLISECONDS = 1e3
MEGABIT_BYTES = 1e6 / 8

# What the platform's types of route allow.
KINDS = {
    "safe": routing.Kind.SAFE,
    "unsafe": routing.Kind.UNSAFE,
    "streaming": routing.Kind.STREAM,
}


def decode(document: bytes) -> routing.Plan:
    """Return the checked plan in `document`.

    Raises
    ------
    errors.InvalidPlanError
        If it cannot be read in full or cannot be put in force.
    """
    try:
        found = json.loads(document)
        plan = _plan(found)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise errors.InvalidPlanError(
            "the document cannot be read", given=repr(error), expected="a plan"
        ) from error
    routing.check(plan)
    return plan


def _plan(found: dict) -> routing.Plan:
    version = found["version"]
    if isinstance(version, bool) or not isinstance(version, int):
        raise TypeError(f"version {version!r}")
    return routing.Plan(
        version=version,
        routes=tuple(map(_route, found["routes"])),
        # The platform's back ends are our services: sets of targets.
        services=tuple(map(_service, found["backends"])),
        # Its tenants are our client accounts.
        accounts=tuple(map(_account, found.get("tenants") or ())),
        bounds=_bounds(found.get("limits") or {}),
    )


def _route(found: dict) -> routing.Route:
    if "split" in found:
        shares = tuple(
            routing.Share(_text(one["backend"]), _number(one["weight"]))
            for one in found["split"]
        )
    else:
        shares = (routing.Share(_text(found["backend"]), 1),)
    return routing.Route(
        name=_text(found["name"]),
        host=_text(found["hostname"]),
        prefix=_text(found["path_prefix"]),
        kind=KINDS[found["route_type"]],
        timeout=_number(found["timeout_ms"]) / MILLISECONDS,
        objective=_number(found.get("latency_target_ms", 0)) / MILLISECONDS,
        priority=int(found.get("priority", 0)),
        shares=shares,
        attempts_most=int(found.get("max_attempts", 1)),
        public=bool(found.get("public", False)),
        # Set for requests that name their prompt, not for sessions as such.
        with_prompt=bool(found.get("sticky", False)),
        resumable=bool(found.get("resumable", False)),
        pause_most=_number(found.get("itl_target_ms", 0)) / MILLISECONDS,
    )


def _service(found: dict) -> routing.Service:
    engine = found.get("engine")
    return routing.Service(
        name=_text(found["name"]),
        health_path=str(found.get("health_path", "/")),
        connections_most=int(found.get("max_conns", 0)),
        engine=_engine(engine) if engine else None,
    )


def _engine(found: dict) -> routing.Engine:
    return routing.Engine(
        slots=int(found.get("batch_slots", 1)),
        kv_tokens=int(found.get("kv_capacity", 0)),
        token_bytes=_number(found.get("kv_bytes", 0)),
        # In megabits a second.
        link_rate=_number(found.get("link_mbps", 0)) * MEGABIT_BYTES,
    )


def _account(found: dict) -> routing.Account:
    priority = found.get("priority")
    return routing.Account(
        name=_text(found["name"]),
        keys=tuple(map(_text, found.get("api_keys") or ())),
        priority=None if priority is None else int(priority),
    )


def _bounds(found: dict) -> routing.Bounds:
    usual = routing.Bounds()
    return routing.Bounds(
        header_bytes=int(found.get("max_header_bytes", usual.header_bytes)),
        body_bytes=int(found.get("max_body_bytes", usual.body_bytes)),
        header_seconds=_seconds(
            found, "header_timeout_ms", usual.header_seconds
        ),
        idle_seconds=_seconds(found, "idle_timeout_ms", usual.idle_seconds),
    )


def _seconds(found: dict, name: str, usual: float) -> float:
    return _number(found[name]) / MILLISECONDS if name in found else usual


def _text(value: t.Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r} is no text")
    return value


def _number(value: t.Any) -> t.Any:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r} is no number")
    return value
