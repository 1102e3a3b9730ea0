"""Notices that this very process stood still.

A process that was frozen, or whose VM was, finds on waking that all its
timers are overdue. Whoever judges others by their silence must first ask
whether it was itself that did not listen.
"""

import typing as t

DOUBT_SECONDS = 0.3


class Pauses:
    """Watches one task that should run every so often.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.
    longest : float
        Seconds between two notices above which this process stood still.

    Attributes
    ----------
    woke_at : float
        When the last pause was noticed; 0 if there was none.
    began_at : float
        When that pause began, at the earliest.
    """

    def __init__(self, clock: t.Callable[[], float], longest: float):
        self.clock = clock
        self.longest = longest
        self.noticed_at = clock()
        self.woke_at = 0.0
        self.began_at = 0.0

    def notice(self) -> bool:
        """Return whether the process stood still since the last notice."""
        now = self.clock()
        began, self.noticed_at = self.noticed_at, now
        if now - began <= self.longest:
            return False
        self.woke_at = now
        self.began_at = began
        return True

    def arrived(self) -> float:
        """Return the latest moment at which a message read now is trusted.

        What is read right after a pause may have waited in the socket since
        before it; it counts as come when the pause began.
        """
        now = self.clock()
        if now - self.noticed_at > self.longest:
            return self.noticed_at
        if self.woke_at and now - self.woke_at < DOUBT_SECONDS:
            return self.began_at
        return now
