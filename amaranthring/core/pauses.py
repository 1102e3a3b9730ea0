"""Detects pauses of this process.

After a freeze of the process or its VM all timers are overdue. Code that
declares peers lost after a timeout must first check whether this process
itself was paused.
"""

import typing as t

# Messages read this soon after a pause may have arrived before it.
BACKLOG_SECONDS = 0.3


class PauseDetector:
    """Detects pauses from the times at which a periodic task runs.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.
    max_interval : float
        Seconds between two checks beyond which the process was paused.

    Attributes
    ----------
    resumed_at : float
        Time at which the last pause was detected; 0 if there was none.
    paused_at : float
        Time of the last check before that pause.
    """

    def __init__(self, clock: t.Callable[[], float], max_interval: float):
        self.clock = clock
        self.max_interval = max_interval
        self.checked_at = clock()
        self.resumed_at = 0.0
        self.paused_at = 0.0

    def check(self) -> bool:
        """Return whether the process was paused since the last check."""
        now = self.clock()
        previous_check, self.checked_at = self.checked_at, now
        if now - previous_check <= self.max_interval:
            return False
        self.resumed_at = now
        self.paused_at = previous_check
        return True

    def trusted_arrival(self) -> float:
        """Return the arrival time to assume for a message that is read now.

        A message read right after a pause may have waited in the socket since
        before it, so it counts as received at the last check before the pause.
        """
        now = self.clock()
        if now - self.checked_at > self.max_interval:
            return self.checked_at
        if self.resumed_at and now - self.resumed_at < BACKLOG_SECONDS:
            return self.paused_at
        return now
