"""Writes to a caller, with backpressure and no future for each write.

tornado's way through ``write`` and ``flush`` makes three futures and a
callback for each chunk. Here a chunk goes straight to the socket, and only
what the socket does not take goes through the stream's buffer, whose future
is then the backpressure. ``docs/design/way.md`` has the figures.
"""

import asyncio

import tornado.iostream
import tornado.web

from amaranthring import errors


class BodyWriter:
    """The body of one streamed answer.

    Parameters
    ----------
    handler : tornado.web.RequestHandler
        Whose headers have been flushed.
    idle_seconds : float
        Time in which a slow caller must take what is buffered; at most one
        read of the engine's stream is.
    """

    def __init__(
        self, handler: tornado.web.RequestHandler, idle_seconds: float
    ):
        self.stream = handler.request.connection.stream
        self.chunked = handler.request.version == "HTTP/1.1"
        self.idle_seconds = idle_seconds
        self.stream.set_nodelay(True)

    def send(self, data: bytes):
        """Send `data`; return an awaitable if the caller reads slowly.

        Raises
        ------
        errors.CallerDisconnectedError
            If the caller has left.
        """
        stream = self.stream
        if self.chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        if not stream.writing() and not stream.closed():
            sent = self._try(data)
            if sent == len(data):
                return None
            data = data[sent:]
        try:
            pending = stream.write(data)
        except tornado.iostream.StreamClosedError:
            raise errors.CallerDisconnectedError("the caller left") from None
        return None if pending.done() else self._drained(pending)

    def _try(self, data: bytes) -> int:
        """Return how much of `data` the socket took at once."""
        try:
            return self.stream.write_to_fd(memoryview(data))
        except OSError:
            # Full, or broken; the stream's own write finds out which.
            return 0

    async def _drained(self, pending: asyncio.Future) -> None:
        # Not ``wait_for``: it would cancel a future that tornado still uses.
        done, _ = await asyncio.wait([pending], timeout=self.idle_seconds)
        if not done:
            self.stream.close()
            raise errors.CallerTooSlowError(
                "the caller read too slowly",
                given=f"nothing in {self.idle_seconds:g} s",
                expected="a reader; it may resume with Last-Event-ID",
            )
        if pending.exception():
            raise errors.CallerDisconnectedError("the caller left")
