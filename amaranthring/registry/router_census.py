"""The routers that may be at work, as one keeper counts them."""

import collections.abc
import dataclasses
import typing as t

# In retry windows: how long a router that no leader confirms keeps its share,
# and how long one without a link is counted. What it spent last is then out
# of the window.
HELD_WINDOWS = 2.0
RETENTION_WINDOWS = HELD_WINDOWS + 1.0
# In retry windows: interval at which keepers tell each other which routers
# they have links to.
TELL_WINDOWS = 0.2
# Assumed if the deployment sets no window.
DEFAULT_WINDOW_SECONDS = 10.0


@dataclasses.dataclass
class Presence:
    """When a router was counted.

    Attributes
    ----------
    since : float
        When it was counted first without a break, in seconds.
    until : float
        When its last link closed, or when another keeper last told of it;
        infinite while one is open.
    """

    since: float
    until: float = float("inf")


class RouterCensus:
    """Counts routers by name, also those whose links closed recently.

    Open links alone would say that routers behind a partition, those that
    have not linked again after a keeper's restart, and those that reach only
    other keepers do not exist.

    Parameters
    ----------
    linked : callable
        Returns the names of the routers with an open link.
    window : float
        Seconds over which routers count retries.
    clock : callable
        Seconds; continues while the VM is suspended.
    """

    def __init__(
        self,
        linked: t.Callable[[], collections.abc.Iterable[str]],
        window: float,
        clock: t.Callable[[], float],
    ):
        self.retention = RETENTION_WINDOWS * window
        self.tell_seconds = TELL_WINDOWS * window
        self.linked = linked
        self.clock = clock
        self.presences: dict[str, Presence] = {}

    def update(self) -> None:
        """Follow the links; called when one has opened or closed."""
        now = self.clock()
        self._forget(now)
        linked = set(self.linked())
        for name in linked:
            self.presences.setdefault(name, Presence(now)).until = float("inf")
        for name, presence in self.presences.items():
            if name not in linked:
                presence.until = min(presence.until, now)

    def record_told(self, names: collections.abc.Iterable[str]) -> None:
        """Count the routers that another keeper has links to."""
        now = self.clock()
        self._forget(now)
        for name in names:
            presence = self.presences.setdefault(name, Presence(now, now))
            presence.until = max(presence.until, now)

    def count(self) -> int:
        """Return the number of routers that may be at work."""
        self._forget(self.clock())
        return len(self.presences)

    def counted_seconds(self, name: str) -> float:
        """Return for how long router `name` has been counted."""
        presence = self.presences.get(name)
        return self.clock() - presence.since if presence else 0.0

    def _forget(self, now: float) -> None:
        oldest = now - self.retention
        self.presences = {
            name: presence
            for name, presence in self.presences.items()
            if presence.until > oldest
        }
