"""Whether this process has more to do than its processor time allows."""

import asyncio
import collections
import statistics
import typing as t

import logbook

from amaranthring.core import clocks
from amaranthring.core import logs

log = logbook.Logger(__name__)

CHECK_SECONDS = 0.02
# Time over which the delay is averaged; a single stall does not count.
MEAN_SECONDS = 0.3
# A request waits for several turns of the event loop, so callers with an
# objective of half a second notice longer ones.
MAX_DELAY_SECONDS = 0.1
# Checks of which one may be late while the others are not.
USUAL_CHECKS = 3


class LoopDelay:
    """Mean delay of the turns of the event loop.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.

    Attributes
    ----------
    mean : float
        Seconds by which a timer fires late.
    recent : deque of float
        The latest delays.
    """

    def __init__(self, clock: t.Callable[[], float] = clocks.boottime):
        self.clock = clock
        self.mean = 0.0
        self.recent: collections.deque[float] = collections.deque(
            [0.0] * USUAL_CHECKS, USUAL_CHECKS
        )
        self.checked_at = clock()
        self.was_overloaded = False

    @property
    def is_overloaded(self) -> bool:
        """Return whether new work would only delay what was begun."""
        return self.mean > MAX_DELAY_SECONDS

    @property
    def usual(self) -> float:
        """Return the delay to expect of the next turns."""
        return min(self.mean, statistics.median(self.recent))

    def check(self) -> None:
        """Take the delay of a timer of :data:`CHECK_SECONDS`."""
        now = self.clock()
        passed = now - self.checked_at
        self.checked_at = now
        delay = max(0.0, passed - CHECK_SECONDS)
        self.recent.append(delay)
        weight = min(1.0, passed / MEAN_SECONDS)
        self.mean += (delay - self.mean) * weight
        if self.is_overloaded != self.was_overloaded:
            self.was_overloaded = self.is_overloaded
            name = "overload.began" if self.is_overloaded else "overload.ended"
            logs.event(log, name, delay=round(self.mean, 3))

    async def run(self) -> None:
        """Check regularly."""
        self.checked_at = self.clock()
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            self.check()
