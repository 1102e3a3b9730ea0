"""Which routes led to other services a short while ago.

A stream that began before such a change belongs to another service than its
route leads to now.
"""

import collections.abc
import typing as t

from amaranthring.core import hashing
from amaranthring.policy import bindings

__all__ = ["RouteHistory", "route_key"]

# Routes that were moved; the oldest are forgotten first.
MAX_MOVED = 2000
KEY_CHARACTERS = 16


def route_key(host: str, prefix: str) -> str:
    """Return a short name of a route, alike on all processes."""
    return hashing.digest(host.lower(), prefix)[:KEY_CHARACTERS]


class RouteHistory:
    """Routes whose services have changed, with the time of it.

    Parameters
    ----------
    clock : callable
        Seconds; continues while the VM is suspended.

    Attributes
    ----------
    services : dict of str to frozenset of str
        Services of each route of the last plan, by key.
    moved_at : dict of str to float
        When the services of a route last changed, by key, in that order.
    untold : dict of str to float
        Those changes that no keeper was told of.
    """

    def __init__(self, clock: t.Callable[[], float]):
        self.clock = clock
        self.services: dict[str, frozenset[str]] = {}
        self.moved_at: dict[str, float] = {}
        self.untold: dict[str, float] = {}

    def record(self, services: dict[str, frozenset[str]]) -> None:
        """Note which routes lead to other services than before.

        Parameters
        ----------
        services : dict of str to frozenset of str
            Services of each route of the plan in force, by key.
        """
        now = self.clock()
        if self.services:
            moved = {
                key: 0.0
                for key, names in services.items()
                if self.services.get(key) != names
            }
            self.merge(moved)
            self.untold.update((key, now) for key in moved)
        self.services = services

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
