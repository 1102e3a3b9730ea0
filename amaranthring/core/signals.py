"""Orderly end of a process by signal."""

import asyncio
import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def reload_event() -> asyncio.Event:
    """Return an event that each SIGHUP sets.

    Without a handler SIGHUP ends the process.
    """
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, event.set)
    return event


def stop_event() -> asyncio.Event:
    """Return an event that the first SIGTERM or SIGINT sets.

    Notes
    -----
    From then on both signals are ignored, so an impatient operator does not
    cut off what the first signal lets end. The loop's own signal handling
    will not do: closing the loop restores the default, and a second signal
    between that and the end of the process would kill it.
    """
    event = asyncio.Event()
    loop = asyncio.get_running_loop()

    def stop(_number, _frame) -> None:
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        loop.call_soon_threadsafe(event.set)

    for number in STOP_SIGNALS:
        signal.signal(number, stop)
    return event
