"""Callers' connections: idle ones and those with unsent data."""

import asyncio
import socket
import time
import typing as t

# Idle time after which a connection may be closed: a new caller on a slow line
# needs time to send its request, and a served one to read that the connection
# is to be closed.
MIN_IDLE_SECONDS = 1.0
POLL_SECONDS = 0.1


class IdleConnections:
    """Connections of one HTTP server that wait for their next request.

    Attributes
    ----------
    idle_since : dict
        Connection object of tornado's HTTP server to the monotonic seconds
        since which it has been idle.
    """

    def __init__(self):
        self.idle_since: dict[t.Any, float] = {}

    def __len__(self) -> int:
        return len(self.idle_since)

    def __iter__(self) -> t.Iterator[t.Any]:
        return iter(self.idle_since)

    def add(self, server_conn: t.Any) -> None:
        """Add a connection that is new or whose request has ended."""
        self.idle_since[server_conn] = time.monotonic()

    def discard(self, server_conn: t.Any) -> None:
        """Remove a connection that got a request or has closed."""
        self.idle_since.pop(server_conn, None)

    def close_idle(self) -> None:
        """Close connections that have been idle for the minimum time.

        A connection kept open could receive a request just as the process
        exits. One with unread input stays open: closing it would reset a
        request that has already arrived.
        """
        idle_before = time.monotonic() - MIN_IDLE_SECONDS
        for server_conn, since in list(self.idle_since.items()):
            stream = server_conn.stream
            if since <= idle_before and not has_input(stream):
                stream.close()

    async def drain(
        self, deadline: float, running: t.Callable[[], int] = lambda: 0
    ) -> None:
        """Close connections as they become idle, until none is left.

        Parameters
        ----------
        deadline : float
            Monotonic seconds at which to give up on the remaining ones.
        running : callable
            Returns the number of requests in flight.
        """
        while time.monotonic() < deadline:
            self.close_idle()
            if not self.idle_since and not running():
                return
            await asyncio.sleep(POLL_SECONDS)


def has_input(stream) -> bool:
    """Return whether part of a request has arrived."""
    if stream.closed():
        return False
    # Complete headers end the pending read; incomplete ones show only in
    # the size of the read buffer, which tornado keeps private.
    if not stream.reading() or stream._read_buffer_size > 0:
        return True
    try:
        # Peeks at the plain socket, as TLS sockets do not support MSG_PEEK.
        return bool(socket.socket.recv(stream.socket, 1, socket.MSG_PEEK))
    except OSError:
        return False


def is_waiting(stream) -> bool:
    """Return whether all that was read is answered, and the answer sent."""
    if stream.closed() or stream.writing():
        return False
    return stream.reading() and stream._read_buffer_size == 0


def call_when_sent(connection: t.Any, callback: t.Callable[[], None]) -> None:
    """Call `callback` once everything written to a caller has been sent.

    It is called at once if nothing is buffered, and also if the connection
    breaks. A buffered response is lost if the process exits first.

    Parameters
    ----------
    connection : tornado.httputil.HTTPConnection
        Connection to the caller.
    """
    stream = getattr(connection, "stream", None)
    if stream is None or not stream.writing():
        callback()
        return
    # Writes complete in order, so an empty one ends last.
    stream.write(b"").add_done_callback(lambda _: callback())
