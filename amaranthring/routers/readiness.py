"""When a router that started knows enough to take requests.

A router whose table of targets is still empty would refuse chats for models
that it has not heard of; the balancer sees the failing health check and
sends them elsewhere. After :data:`PATIENCE_SECONDS` it takes what it knows:
cut off, it has to serve what it can, and every target that lives has
announced itself again by then.
"""

import time
import typing as t

PATIENCE_SECONDS = 4.0


class Readiness:
    """Whether the table of targets has been compared with others.

    Parameters
    ----------
    mesh, table, spread
        Of this router.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        mesh,
        table,
        spread,
        clock: t.Callable[[], float] = time.monotonic,
    ):
        self.mesh = mesh
        self.table = table
        self.spread = spread
        self.clock = clock
        self.began = clock()
        self.reached = False

    def missing(self) -> str:
        """Return what is not known yet, or an empty string for good."""
        if self.reached:
            return ""
        waited = self.clock() - self.began
        missing = [
            place
            for place in self.mesh.data_centres()
            if not self._knows(place)
        ]
        if missing and waited < PATIENCE_SECONDS:
            return f"targets of {', '.join(missing)} not known yet"
        self.reached = True
        return ""

    def _knows(self, place: str) -> bool:
        if place != self.mesh.data_centre:
            return place in self.table.vouched
        mark = self.table.digests.get(place, 0)
        neighbours = [
            peer for peer in self.mesh.neighbours() if peer.link is not None
        ]
        return any(
            self.spread.marks.get(peer.name) == mark for peer in neighbours
        )
