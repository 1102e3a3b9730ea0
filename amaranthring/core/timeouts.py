"""Timeouts that do not count stalls of this process.

After a stall the event loop runs overdue timers before it resumes the tasks
whose input has arrived meanwhile, so a plain timeout would blame another
process for the stall of this one.
"""

import asyncio
import contextlib

# Unit in which running time is counted. A tick whose timer fires late is not
# counted.
TICK_SECONDS = 0.03
# Timers of a busy loop fire a few milliseconds late.
TIMER_TOLERANCE_SECONDS = 0.02
# Time for reading input that arrived during a stall.
READ_SECONDS = 0.01
# Stalls that one timeout does not count. The limit makes the timeout expire
# even if the process stalls all the time.
MAX_STALLS = 10


def is_late(due: float) -> bool:
    """Return whether a stall of this process delayed a timer.

    Parameters
    ----------
    due : float
        Scheduled time of the timer, in seconds of the running loop's clock.
    """
    return asyncio.get_running_loop().time() - due > TIMER_TOLERANCE_SECONDS


class _Countdown:
    """Expires `limit` after `seconds` of running time of this process."""

    def __init__(self, limit: asyncio.Timeout, seconds: float):
        self.limit = limit
        self.remaining = seconds
        self.stalls = 0
        self._schedule()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self.tick = min(self.remaining, TICK_SECONDS)
        self.due = loop.time() + self.tick
        self.timer = loop.call_at(self.due, self._on_timer)

    def _on_timer(self) -> None:
        if is_late(self.due) and self.stalls < MAX_STALLS:
            self.stalls += 1
        else:
            self.remaining -= self.tick
        if self.remaining > 0:
            self._schedule()
        else:
            self.limit.reschedule(self.due)


@contextlib.asynccontextmanager
async def timeout(seconds: float):
    """Limit a block to `seconds` of running time of this process.

    Suits waits whose end depends on work of this process, such as opening a
    connection.

    Raises
    ------
    TimeoutError
        When the time limit is exceeded.
    """
    async with asyncio.timeout(None) as limit:
        countdown = _Countdown(limit, seconds)
        try:
            yield
        finally:
            countdown.timer.cancel()


@contextlib.asynccontextmanager
async def timeout_at(due: float):
    """Limit a block to the time `due`.

    If a stall delays the timer, the block gets a short time to read input that
    arrived during the stall.

    Parameters
    ----------
    due : float
        Seconds of the running loop's clock.

    Raises
    ------
    TimeoutError
        When the time limit is exceeded.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as limit:

        def expire() -> None:
            read_time = READ_SECONDS if is_late(due) else 0.0
            limit.reschedule(loop.time() + read_time)

        timer = loop.call_at(due, expire)
        try:
            yield
        finally:
            timer.cancel()
