"""Callers' connections: which wait for a request, and which still send."""

import asyncio
import socket
import time
import typing as t

# A caller that has just connected sends its request within this time, also
# on a slow line; one that was answered has read by then that it shall close.
MIN_IDLE_SECONDS = 1.0
POLL_SECONDS = 0.1


class IdleConnections:
    """Connections of one HTTP server on which the next request is awaited.

    Attributes
    ----------
    since : dict
        Connection, as tornado's HTTP server names it, to the monotonic
        seconds from which on it has waited.
    """

    def __init__(self):
        self.idle_since: dict[t.Any, float] = {}

    def __len__(self) -> int:
        return len(self.idle_since)

    def __iter__(self) -> t.Iterator[t.Any]:
        return iter(self.idle_since)

    def add(self, server_conn: t.Any) -> None:
        """Take in a connection that is new, or whose request has ended."""
        self.idle_since[server_conn] = time.monotonic()

    def discard(self, server_conn: t.Any) -> None:
        """Forget a connection whose request has come or that has closed."""
        self.idle_since.pop(server_conn, None)

    def close_idle(self) -> None:
        """Close the connections that have waited for long.

        A caller that keeps one open would send its next request into the
        end of the process. One whose request has come already is left to be
        read: closed now, it would be reset without an answer.
        """
        longest = time.monotonic() - MIN_IDLE_SECONDS
        for server_conn, since in list(self.idle_since.items()):
            stream = server_conn.stream
            if since <= longest and not _has_input(stream):
                stream.close()

    async def drain(
        self, until: float, running: t.Callable[[], int] = lambda: 0
    ) -> None:
        """Close them as they get idle, until none has a request.

        Parameters
        ----------
        until : float
            Monotonic seconds after which what is left is left.
        running : callable
            Returns how many requests are in progress.
        """
        while time.monotonic() < until:
            self.close_idle()
            if not self.idle_since and not running():
                return
            await asyncio.sleep(POLL_SECONDS)


def _has_input(stream) -> bool:
    """Return whether the start of a request has come."""
    if stream.closed():
        return False
    # Headers that were read and not yet handed on end the reading; of those
    # that have only begun, what tornado has buffered is the only sign.
    if not stream.reading() or stream._read_buffer_size > 0:
        return True
    try:
        # Of the plain socket: one with TLS cannot be looked into.
        return bool(socket.socket.recv(stream.socket, 1, socket.MSG_PEEK))
    except OSError:
        return False


def call_when_sent(connection: t.Any, call: t.Callable[[], None]) -> None:
    """Call `call` once all that was written to a caller has been sent.

    At once if nothing waits to be sent; also when the connection breaks. An
    answer in the process's own buffer is lost with the process.

    Parameters
    ----------
    connection : tornado.httputil.HTTPConnection
        The caller's.
    """
    stream = getattr(connection, "stream", None)
    if stream is None or not stream.writing():
        call()
        return
    # Writes are done in order.
    stream.write(b"").add_done_callback(lambda _: call())
