"""Routes that were moved by plans which perhaps no router has seen.

Routers report the routes that a new plan moves. A plan that is committed while
none runs is the first one of all that start later, so it moves nothing for
them. Each keeper has the plans before it.
"""

import typing as t

from amaranthring.policy import bindings
from amaranthring.policy import route_history

__all__ = ["PlanMoves"]

# Plans that are kept until a stream is taken up whose binding is not known.
MAX_PLANS = 8

ReadRoutes = t.Callable[[bytes], route_history.PlanRoutes]


class PlanMoves:
    """The plans of a keeper until they are compared.

    They are compared when it matters only, as reading a large one takes time.

    Parameters
    ----------
    clock : callable
        Seconds; continues while the VM is suspended.

    Attributes
    ----------
    read_routes : callable, optional
        Returns where the routes in a document lead.
    plans : list of tuple of float and bytes
        When each document was applied, in that order.
    """

    def __init__(self, clock: t.Callable[[], float]):
        self.clock = clock
        self.read_routes: ReadRoutes | None = None
        self.plans: list[tuple[float, bytes]] = []

    def add(self, document: bytes) -> None:
        """Keep a plan that was applied."""
        now = self.clock()
        self.plans.append((now, document))
        oldest = now - bindings.HISTORY_SECONDS
        while len(self.plans) > 1 and self.plans[1][0] < oldest:
            del self.plans[0]
        if len(self.plans) > MAX_PLANS:
            # Only plans that some router has seen matter, and the routers
            # have told what those moved.
            del self.plans[1]

    def may_be_unknown(self) -> bool:
        """Return whether there are plans that cannot be compared yet."""
        return self.read_routes is None and len(self.plans) > 1

    def take(self) -> dict[str, float]:
        """Return for how many seconds each route has been moved.

        Each move is returned once.
        """
        if self.read_routes is None or len(self.plans) < 2:
            return {}
        now = self.clock()
        ages = {}
        before = self.read_routes(self.plans[0][1])
        for applied_at, document in self.plans[1:]:
            routes = self.read_routes(document)
            moved = route_history.moved_routes(before, routes)
            ages.update((key, now - applied_at) for key in moved)
            before = routes
        del self.plans[:-1]
        return ages
