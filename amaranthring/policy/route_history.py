"""Which routes led to other services a short while ago.

A stream that began before such a change belongs to another service than its
route leads to now.
"""

import collections.abc
import dataclasses
import typing as t

from amaranthring.core import hashing
from amaranthring.policy import bindings
from amaranthring.routing import plan as plans

__all__ = ["PlanRoutes", "RouteHistory", "moved_routes", "route_key"]

# Routes that were moved; the oldest are forgotten first.
MAX_MOVED = 2000
KEY_CHARACTERS = 16


def route_key(host: str, prefix: str) -> str:
    """Return a short name of a route, alike on all processes."""
    place = plans.place_of(host, prefix)
    return hashing.digest(*place)[:KEY_CHARACTERS]


class Share(t.Protocol):
    """A part of the requests of a route."""

    service: str


class Route(t.Protocol):
    """A route of a plan."""

    host: str
    prefix: str
    shares: collections.abc.Sequence[Share]


@dataclasses.dataclass
class PlanRoutes:
    """Where the routes of a plan lead.

    Attributes
    ----------
    services : dict of str to frozenset of str
        Services of each route, by key.
    shorter : dict of str to tuple of str
        Keys that shorter prefixes of each route have, the longest first.
    """

    services: dict[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    shorter: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )

    @classmethod
    def of(cls, routes: collections.abc.Iterable[Route]) -> "PlanRoutes":
        """Return where `routes` lead."""
        found = cls()
        for route in routes:
            key = route_key(route.host, route.prefix)
            found.services[key] = frozenset(s.service for s in route.shares)
            found.shorter[key] = tuple(
                route_key(route.host, prefix)
                for prefix in _shorter_prefixes(route.prefix)
            )
        return found


def _shorter_prefixes(prefix: str) -> t.Iterator[str]:
    # Prefixes end with a slash.
    end = len(prefix) - 1
    while (end := prefix.rfind("/", 0, end)) >= 0:
        yield prefix[: end + 1]


def moved_routes(before: PlanRoutes, after: PlanRoutes) -> set[str]:
    """Return the keys of routes whose requests had other services.

    A new route may take requests of a shorter one, and what a route served
    that is gone goes to the longest one of its shorter prefixes.
    """
    moved = {
        key
        for key, names in after.services.items()
        if before.services.get(key) != names
    }
    for key in before.services.keys() - after.services.keys():
        heirs = (k for k in before.shorter.get(key, ()) if k in after.services)
        moved.update(list(heirs)[:1])
    return moved


class RouteHistory:
    """Routes whose services have changed, with the time of it.

    Parameters
    ----------
    clock : callable
        Seconds; continues while the VM is suspended.

    Attributes
    ----------
    plan : PlanRoutes
        Where the routes of the last plan lead.
    moved_at : dict of str to float
        When the services of a route last changed, by key, in that order.
    untold : dict of str to float
        Those changes that no keeper was told of.
    """

    def __init__(self, clock: t.Callable[[], float]):
        self.clock = clock
        self.plan = PlanRoutes()
        self.moved_at: dict[str, float] = {}
        self.untold: dict[str, float] = {}

    def record(self, plan: PlanRoutes) -> None:
        """Note which routes lead to other services than before.

        Parameters
        ----------
        plan : PlanRoutes
            Where the routes of the plan in force lead.
        """
        now = self.clock()
        if self.plan.services:
            moved = dict.fromkeys(moved_routes(self.plan, plan), 0.0)
            self.merge(moved)
            self.untold.update((key, now) for key in moved)
        self.plan = plan

    def merge(self, ages: collections.abc.Mapping[str, float]) -> None:
        """Note the changes that another process knows, by their ages."""
        now = self.clock()
        for key, age in ages.items():
            moved_at = max(now - age, self.moved_at.pop(key, float("-inf")))
            self.moved_at[key] = moved_at
        oldest = now - bindings.HISTORY_SECONDS
        recent = [item for item in self.moved_at.items() if item[1] >= oldest]
        self.moved_at = dict(recent[-MAX_MOVED:])

    def has_moved(self, key: str) -> bool:
        """Return whether the route led to other services of late."""
        moved_at = self.moved_at.get(key, float("-inf"))
        return self.clock() - moved_at < bindings.HISTORY_SECONDS

    def ages(self) -> dict[str, float]:
        """Return for how many seconds each change has been known."""
        now = self.clock()
        return {
            key: now - moved_at
            for key, moved_at in self.moved_at.items()
            if now - moved_at < bindings.HISTORY_SECONDS
        }

    def take_untold(self) -> dict[str, float]:
        """Return the ages of the changes that no keeper was told of."""
        now = self.clock()
        ages = {key: now - at for key, at in self.untold.items()}
        self.untold.clear()
        return ages

    def tell_again(self) -> None:
        """Tell the next keeper of all changes."""
        self.untold.update(self.moved_at)
