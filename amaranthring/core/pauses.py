"""Notices that this very process stood still.

A process that was frozen, or whose VM was, finds on waking that all its
timers are overdue. Whoever judges others by their silence must first ask
whether it was itself that did not listen.
"""

import typing as t

BACKLOG_SECONDS = 0.3


class PauseDetector:
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
        self.max_interval = longest
        self.checked_at = clock()
        self.resumed_at = 0.0
        self.paused_at = 0.0

    def check(self) -> bool:
        """Return whether the process stood still since the last notice."""
        now = self.clock()
        began, self.checked_at = self.checked_at, now
        if now - began <= self.max_interval:
            return False
        self.resumed_at = now
        self.paused_at = began
        return True

    def trusted_arrival(self) -> float:
        """Return the latest moment at which a message read now is trusted.

        What is read right after a pause may have waited in the socket since
        before it; it counts as come when the pause began.
        """
        now = self.clock()
        if now - self.checked_at > self.max_interval:
            return self.checked_at
        if self.resumed_at and now - self.resumed_at < BACKLOG_SECONDS:
            return self.paused_at
        return now
