"""Time limits on others that this process's own stalls do not use up.

A process that is not scheduled for a while finds on waking that its timers
are due, and what it waited for may have come meanwhile. The event loop runs
its timers in the very step in which it reads, before those who wait are
resumed: a plain timeout then blames another process for the own stall.
"""

import asyncio
import contextlib

# Time that counts is counted in steps of this length. A step whose timer
# comes late counts as none.
TICK_SECONDS = 0.03
# Timers of a loop that has work to do come a few milliseconds late.
TIMER_TOLERANCE_SECONDS = 0.02
# Time for reading what came while this process stood still.
READ_SECONDS = 0.01
# Stalls that are forgiven while one thing is awaited, so that a process
# that stalls all the time still comes to an end.
MAX_STALLS = 10


def is_late(due: float) -> bool:
    """Return whether this process stood still when a timer was to run.

    Parameters
    ----------
    due : float
        When the timer was to run, in monotonic seconds.
    """
    return asyncio.get_running_loop().time() - due > TIMER_TOLERANCE_SECONDS


class _Countdown:
    """Ends `limit` after so much time in which this process ran."""

    def __init__(self, limit: asyncio.Timeout, seconds: float):
        self.limit = limit
        self.left = seconds
        self.stalls = 0
        self._arm()

    def _arm(self) -> None:
        loop = asyncio.get_running_loop()
        self.step = min(self.left, TICK_SECONDS)
        self.due = loop.time() + self.step
        self.timer = loop.call_at(self.due, self._tick)

    def _tick(self) -> None:
        if is_late(self.due) and self.stalls < MAX_STALLS:
            self.stalls += 1
        else:
            self.left -= self.step
        if self.left > 0:
            self._arm()
        else:
            self.limit.reschedule(self.due)


@contextlib.asynccontextmanager
async def timeout(seconds: float):
    """Limit a block to `seconds` in which this process ran.

    For what another process can only do after this one has: a connection
    that is begun late is also made late.

    Raises
    ------
    TimeoutError
        When the time has run out.
    """
    async with asyncio.timeout(None) as limit:
        countdown = _Countdown(limit, seconds)
        try:
            yield
        finally:
            countdown.timer.cancel()


@contextlib.asynccontextmanager
async def timeout_at(due: float):
    """Limit a block to the moment `due`, and to what has come by then.

    A process that wakes after that moment first reads what came while it
    stood still.

    Parameters
    ----------
    due : float
        In seconds of the running loop's clock.

    Raises
    ------
    TimeoutError
        When the time has run out.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as limit:

        def end() -> None:
            grace = READ_SECONDS if is_late(due) else 0.0
            limit.reschedule(loop.time() + grace)

        timer = loop.call_at(due, end)
        try:
            yield
        finally:
            timer.cancel()
