"""Validation of routing plans, independent of their encoding."""

import collections

from amaranthring import errors
from amaranthring.core import text
from amaranthring.routing import plan as plans


def check(plan: plans.Plan) -> None:
    """Check that `plan` is valid.

    Raises
    ------
    errors.InvalidPlanError
        For the first error found.
    """
    service_names = {service.name for service in plan.services}
    _check_unique([service.name for service in plan.services], "service")
    _check_unique([route.place for route in plan.routes], "route's place")
    _check_unique(
        [key for account in plan.accounts or () for key in set(account.keys)],
        "key of an account",
        show=False,
    )
    for account in plan.accounts or ():
        _check_keys(account)
    for route in plan.routes:
        _check_route(route, service_names)


def shadowed_routes(plan: plans.Plan) -> list[plans.Route]:
    """Return the routes whose requests a later one at their place takes.

    No plan that :func:`check` accepts has any.
    """
    last = {route.place: route for route in plan.routes}
    return [route for route in plan.routes if last[route.place] is not route]


def _check_unique(values: list, what: str, show: bool = True) -> None:
    counts = collections.Counter(values)
    for value, count in counts.items():
        if count > 1:
            # Keys are secrets and must not appear in responses or logs.
            given = f"{value} {count} times" if show else f"one {count} times"
            raise errors.InvalidPlanError(what, given=given, expected="once")


def _check_keys(account: plans.Account) -> None:
    if not all(map(text.can_be_header, account.keys)):
        raise errors.InvalidPlanError(
            f"key of account {account.name}",
            given="one that no header can carry",
            expected="no blanks around it, and no control characters",
        )


def _check_route(route: plans.Route, service_names: set[str]) -> None:
    for share in route.shares:
        if share.service not in service_names:
            raise errors.InvalidPlanError(
                f"service of route {route.name}",
                given=share.service,
                expected="a service of the plan",
            )
        if share.weight < 0:
            raise errors.InvalidPlanError(
                f"weight of route {route.name}",
                given=share.weight,
                expected="0 or more",
            )
    if sum(share.weight for share in route.shares) <= 0:
        raise errors.InvalidPlanError(
            f"weights of route {route.name}", given=0, expected="a sum above 0"
        )
    if route.timeout <= 0:
        raise errors.InvalidPlanError(
            f"timeout of route {route.name}",
            given=route.timeout,
            expected="above 0 s",
        )
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        raise errors.InvalidPlanError(
            f"prefix of route {route.name}",
            given=route.prefix,
            expected="a path that begins and ends with /",
        )
