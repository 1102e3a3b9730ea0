"""Routes that were moved by plans which perhaps no router has seen.

Routers report the routes that a new plan moves. A plan that is committed while
none runs is the first one of all that start later, so it moves nothing for
them. Each keeper has the plans before it.
"""

import typing as t

import logbook

from amaranthring import errors
from amaranthring.policy import bindings
from amaranthring.policy import route_history

__all__ = ["PlanMoves"]

log = logbook.Logger(__name__)

# Plans that are kept until a stream is taken up whose binding is not known.
MAX_PLANS = 8
# Time after which no further plan is read at once, as a keeper that leads must
# not fall silent. Routers ask again while plans are left.
READ_SECONDS = 0.02

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
    first : route_history.PlanRoutes, optional
        Where the routes of the first of them lead, if it has been read.
    """

    def __init__(self, clock: t.Callable[[], float]):
        self.clock = clock
        self.read_routes: ReadRoutes | None = None
        self.plans: list[tuple[float, bytes]] = []
        self.first: route_history.PlanRoutes | None = None

    def add(self, document: bytes) -> None:
        """Keep a plan that was applied."""
        now = self.clock()
        self.plans.append((now, document))
        oldest = now - bindings.HISTORY_SECONDS
        while len(self.plans) > 1 and self.plans[1][0] < oldest:
            del self.plans[0]
            self.first = None
        if len(self.plans) > MAX_PLANS:
            # Only plans that some router has seen matter, and the routers
            # have told what those moved.
            del self.plans[1]

    def is_behind(self) -> bool:
        """Return whether there are plans that have not been compared."""
        return len(self.plans) > 1

    def take(self) -> dict[str, float]:
        """Return for how many seconds each route has been moved.

        Each move is returned once. Compares some of the plans only if reading
        them takes long; the next call goes on.
        """
        if self.read_routes is None or not self.is_behind():
            return {}
        began = now = self.clock()
        ages: dict[str, float] = {}
        if self.first is None:
            self.first = self._read(self.plans[0][1])
        while self.is_behind() and now - began < READ_SECONDS:
            del self.plans[0]
            applied_at, document = self.plans[0]
            routes = self._read(document)
            moved = route_history.moved_routes(self.first, routes)
            ages.update((key, now - applied_at) for key in moved)
            self.first = routes
            now = self.clock()
        return ages

    def _read(self, document: bytes) -> route_history.PlanRoutes:
        """Return where the routes lead; nowhere if no router reads the plan.

        It may have been accepted by an earlier build.
        """
        try:
            return self.read_routes(document)
        except errors.InvalidPlanError as error:
            log.warning("plan.unreadable fault={}", error)
            return self.first or route_history.PlanRoutes()
