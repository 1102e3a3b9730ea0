"""Events set by process signals, for graceful shutdown and reload."""

import asyncio
import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def reload_event() -> asyncio.Event:
    """Return an event that every SIGHUP sets.

    Without a handler SIGHUP would terminate the process.
    """
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, event.set)
    return event


def stop_event() -> asyncio.Event:
    """Return an event that the first SIGTERM or SIGINT sets.

    Notes
    -----
    Both signals are ignored afterwards, so that a second one does not
    interrupt the graceful shutdown. The event loop's own signal handlers do
    not suffice: closing the loop restores the defaults, so a second signal
    before the process exits would kill it.
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
