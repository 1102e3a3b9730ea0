"""Pool of idle connections to targets, for reuse.

A new connection costs a target a millisecond and occupies one of its slots.
An idle one may be stale: just closed by the target, silent since a partition,
or with bytes on it that belong to no request. Each idle connection is
therefore watched, and closed if it ends or receives anything. The user of the
pool decides how long an idle time it accepts.
"""

import asyncio
import collections
import dataclasses
import socket
import time
import typing as t

# Share of the keep-alive time that a target states for which a connection is
# used: a request sent near its end may cross the close.
USABLE_SHARE = 0.6
# Assumed if a target states no keep-alive time.
DEFAULT_KEEP_ALIVE_SECONDS = 2.0
EXPIRY_INTERVAL_SECONDS = 1.0
# Bytes unacknowledged for this time mean a dead connection or VM. A sound
# target may be silent for a second and go on.
UNACKED_MILLISECONDS = 1500


@dataclasses.dataclass
class IdleConnection:
    """An idle connection.

    Attributes
    ----------
    idle_since : float
        Monotonic seconds at which it became idle.
    expires_at : float
        Monotonic seconds after which it must not be used.
    watcher : asyncio.Task
        Ends when the target closes the connection or sends anything.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    idle_since: float
    expires_at: float
    watcher: asyncio.Task


class Pool:
    """Idle connections by target.

    Parameters
    ----------
    max_idle : callable
        Returns how many connections to one target may be idle.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        max_idle: t.Callable[[], int] = lambda: 8,
        clock: t.Callable[[], float] = time.monotonic,
    ):
        self.max_idle = max_idle
        self.clock = clock
        self.idle: dict[str, list[IdleConnection]] = collections.defaultdict(
            list
        )

    async def acquire(self, name: str, max_idle_seconds: float):
        """Return an idle connection to target `name`, or None.

        Parameters
        ----------
        max_idle_seconds : float
            Longest acceptable idle time in seconds.
        """
        now = self.clock()
        # Looked up each time: while this waits, the list may be replaced, and
        # what is left in the old one is given to others too.
        while idle := self.idle.get(name):
            # The one used last is the least likely to be stale.
            connection = idle.pop()
            usable = (
                not connection.watcher.done() and now < connection.expires_at
            )
            if not usable or now - connection.idle_since > max_idle_seconds:
                _close(connection)
            elif await _stop_watching(connection):
                return connection.reader, connection.writer
        return None

    def release(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        keep_alive_seconds: float | None,
    ) -> None:
        """Keep a connection whose last response ended properly.

        Parameters
        ----------
        keep_alive_seconds : float, optional
            Time for which the target said that it keeps the connection.
        """
        idle = self.idle[name]
        seconds = (
            DEFAULT_KEEP_ALIVE_SECONDS
            if keep_alive_seconds is None
            else keep_alive_seconds
        )
        if len(idle) >= self.max_idle() or seconds <= 0:
            writer.transport.abort()
            return
        now = self.clock()
        watcher = asyncio.ensure_future(_watch_idle(reader))
        expires_at = now + USABLE_SHARE * seconds
        idle.append(IdleConnection(reader, writer, now, expires_at, watcher))

    def is_connected(self, name: str) -> bool:
        """Return whether an idle connection to target `name` is open."""
        idle = self.idle.get(name, [])
        return any(not connection.watcher.done() for connection in idle)

    def drop(self, name: str) -> None:
        """Close all idle connections to target `name`."""
        for connection in self.idle.pop(name, []):
            _close(connection)

    def expire(self) -> None:
        """Close connections that are unusable or were idle for too long."""
        now = self.clock()
        for name, idle in list(self.idle.items()):
            usable = []
            for connection in idle:
                if connection.watcher.done() or now >= connection.expires_at:
                    _close(connection)
                else:
                    usable.append(connection)
            if usable:
                self.idle[name] = usable
            else:
                del self.idle[name]

    async def run(self) -> None:
        """Expire connections until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
            self.expire()


async def _watch_idle(reader: asyncio.StreamReader) -> None:
    try:
        await reader.read(1)
    except OSError:
        # A reset ends the connection like a close.
        return


async def _stop_watching(connection: IdleConnection) -> bool:
    """Return whether the connection is still usable; it is closed if not."""
    connection.watcher.cancel()
    try:
        await asyncio.wait({connection.watcher})
    except asyncio.CancelledError:
        _close(connection)
        raise
    # A watcher that is cancelled in the moment in which bytes arrive has not
    # read them.
    usable = connection.watcher.cancelled() and not _has_input(
        connection.reader
    )
    if not usable:
        _close(connection)
    return usable


def _has_input(reader: asyncio.StreamReader) -> bool:
    """Return whether unread bytes or the end have arrived."""
    # asyncio keeps the buffer private.
    return reader.at_eof() or bool(reader._buffer)


def _close(connection: IdleConnection) -> None:
    connection.watcher.cancel()
    connection.writer.transport.abort()


def set_ack_timeout(writer: asyncio.StreamWriter) -> None:
    """Make a connection fail when sent bytes are not acknowledged in time."""
    sock = writer.get_extra_info("socket")
    if sock is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MILLISECONDS
        )
