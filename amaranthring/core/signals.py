"""Events set by process signals, for graceful shutdown and reload.

The handlers outlive the event loop, unlike the loop's own: closing the loop
restores the defaults, so a signal before the process exits would kill it.
"""

import asyncio
import signal
import time
import typing as t

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopEvent(asyncio.Event):
    """Event that a stop signal sets.

    Attributes
    ----------
    asked_at : float
        Monotonic seconds of the signal; infinite before. A process that
        starts, or is late, notices it later, but has no more time to stop.
    """

    def __init__(self):
        super().__init__()
        self.asked_at = float("inf")


def ignore_hangup() -> None:
    """Ignore SIGHUP, whose default is to end the process."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def reload_event() -> asyncio.Event:
    """Return an event that every SIGHUP sets, until the process stops.

    Notes
    -----
    A daemon ignores SIGHUP from its first line on and calls this before it
    reads its settings, so that it misses no change of them.
    """
    event = asyncio.Event()
    set_event = _setter(event)
    signal.signal(signal.SIGHUP, lambda _number, _frame: set_event())
    return event


def stop_event() -> StopEvent:
    """Return an event that the first SIGTERM or SIGINT sets.

    Notes
    -----
    These signals and SIGHUP are ignored afterwards, so that none interrupts
    the graceful shutdown.
    """
    event = StopEvent()
    set_event = _setter(event)

    def stop(_number, _frame) -> None:
        event.asked_at = time.monotonic()
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        ignore_hangup()
        set_event()

    for number in STOP_SIGNALS:
        signal.signal(number, stop)
    return event


def _setter(event: asyncio.Event) -> t.Callable[[], None]:
    """Return a function that sets `event` from a signal handler."""
    loop = asyncio.get_running_loop()

    def set_event() -> None:
        # A daemon that ends by an error has closed its loop.
        if not loop.is_closed():
            loop.call_soon_threadsafe(event.set)

    return set_event
