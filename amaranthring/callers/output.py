"""Writes to a caller, with backpressure and without a future per write.

tornado's ``write`` and ``flush`` create three futures and a callback for each
chunk. Here a chunk goes straight to the socket. Only what the socket does not
accept goes through the stream's buffer, whose future then applies
backpressure. ``docs/design/way.md`` has the measurements.
"""

import asyncio

import tornado.iostream
import tornado.web

from amaranthring import errors


class BodyWriter:
    """Writes the body of one streamed response.

    Parameters
    ----------
    handler : tornado.web.RequestHandler
        Handler whose headers have been flushed.
    idle_seconds : float
        Time in which a slow caller must read the buffered data, which is at
        most one read of the engine's stream.
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
            If the caller has disconnected.
        """
        stream = self.stream
        if self.chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        if not stream.writing() and not stream.closed():
            sent = self._write_now(data)
            if sent == len(data):
                return None
            data = data[sent:]
        try:
            pending = stream.write(data)
        except tornado.iostream.StreamClosedError:
            raise errors.CallerDisconnectedError(
                "the caller disconnected"
            ) from None
        return None if pending.done() else self._wait_drained(pending)

    def _write_now(self, data: bytes) -> int:
        """Return how many bytes of `data` the socket accepted at once."""
        try:
            return self.stream.write_to_fd(memoryview(data))
        except OSError:
            # Full or broken; ``stream.write`` tells which.
            return 0

    async def _wait_drained(self, pending: asyncio.Future) -> None:
        # ``wait_for`` would cancel a future that tornado still uses.
        done, _ = await asyncio.wait([pending], timeout=self.idle_seconds)
        if not done:
            self.stream.close()
            raise errors.CallerTooSlowError(
                "the caller read too slowly",
                given=f"unread data after {self.idle_seconds:g} s",
                expected="a faster reader; it may resume with Last-Event-ID",
            )
        if pending.exception():
            raise errors.CallerDisconnectedError("the caller disconnected")
