"""Decides when a starting router has enough state to take requests.

A router with an empty target table would refuse chats for models that it
does not know yet; until then the health check fails and the balancer uses
other routers. After :data:`MAX_WAIT_SECONDS` the router serves with what it
has: it may be cut off, and by then all live targets have announced themselves.
"""

import time
import typing as t

MAX_WAIT_SECONDS = 4.0


class Readiness:
    """Tracks whether the target table is in sync with other routers.

    Parameters
    ----------
    mesh, table, target_sync : object
        Mesh, target table and target sync of this router.
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        mesh,
        table,
        target_sync,
        clock: t.Callable[[], float] = time.monotonic,
    ):
        self.mesh = mesh
        self.table = table
        self.target_sync = target_sync
        self.clock = clock
        self.started_at = clock()
        self.is_complete = False

    def missing(self) -> str:
        """Return what is missing, or empty; stays empty once complete."""
        if self.is_complete:
            return ""
        waited = self.clock() - self.started_at
        missing = [
            data_centre
            for data_centre in self.mesh.data_centres()
            if not self._is_synced(data_centre)
        ]
        if missing and waited < MAX_WAIT_SECONDS:
            return f"targets of {', '.join(missing)} not known yet"
        self.is_complete = True
        return ""

    def _is_synced(self, data_centre: str) -> bool:
        if data_centre != self.mesh.data_centre:
            return data_centre in self.table.vouched
        digest = self.table.digests.get(data_centre, 0)
        neighbours = [
            peer for peer in self.mesh.neighbours() if peer.link is not None
        ]
        return any(
            self.target_sync.peer_digests.get(peer.name) == digest
            for peer in neighbours
        )
