"""Accepted connections whose bytes the intake of the process counts."""

import asyncio
import re
import typing as t

import tornado.iostream

from amaranthring import errors
from amaranthring.core import intake as intakes
from amaranthring.core import listeners
from amaranthring.core import refusals

__all__ = [
    "BoundedLinkStream",
    "BoundedSSLStream",
    "BoundedStream",
    "accept",
]

# End of the line with the length of a chunk.
LINE_END = b"\r\n"
# End of a head, as tornado finds it.
HEAD_END = re.compile(rb"\r?\n\r?\n")


class _Bounded:
    """Counts what is read, and what may be read in one turn of the loop.

    Attributes
    ----------
    share : intake.Share
        What this connection takes.
    lingering : refusals.Lingering
        Ends connections whose requests are refused.
    last_read : asyncio.Future, optional
        The last part of a body to be read.
    """

    share: intakes.Share
    lingering: refusals.Lingering
    last_read: asyncio.Future | None = None

    def read_from_fd(self, buf):
        """Read, and count what was read."""
        try:
            size = super().read_from_fd(buf)
        finally:
            # The traceback of a reset would keep it.
            del buf
        if size and not self.share.take(size):
            return None
        return size

    def _read_to_buffer(self):
        size = super()._read_to_buffer()
        if size:
            self.check_head()
        return size

    def check_head(self) -> None:
        """Refuse the request whose head has not ended within its bound.

        Only what precedes the end of the head counts: tornado reads ahead,
        so that much of a body may have arrived before its head is parsed.
        """
        most = self.share.head_most
        received = self._read_buffer_size
        if received <= most:
            return
        if HEAD_END.search(self._read_buffer, 0, int(most)) is None:
            # As it closes, tornado completes a read that the buffer satisfies.
            self._forget_buffer()
            self.share.intake.refuse_head(self.share, received)

    def close_fd(self):
        """Close the socket, and give back what the connection took."""
        self.share.end()
        super().close_fd()
        # Whoever still refers to the closed stream must not keep its bytes.
        self._forget_buffer()

    def _forget_buffer(self) -> None:
        self._read_buffer = bytearray()
        self._read_buffer_size = 0

    def forget_errors(self) -> None:
        """Break the cycles of a closed stream and the errors of its reads.

        Their tracebacks hold parts of bodies.
        """
        last, self.last_read = self.last_read, None
        failures = [self.error]
        if last is not None and last.done() and not last.cancelled():
            failures.append(last.exception())
        for failure in failures:
            if failure is not None:
                failure.__traceback__ = None

    def read_bytes(self, num_bytes, partial=False):
        """Read bytes."""
        self.last_read = super().read_bytes(num_bytes, partial)
        return self.last_read

    def write(self, data):
        """Write, and note what the client has not taken yet."""
        future = super().write(data)
        if self.writing():
            self.share.note_unsent()
        return future

    def write_to_fd(self, data):
        """Write to the socket, and note what the client has taken."""
        size = super().write_to_fd(data)
        if size and self.share.has_unsent:
            self.share.note_unsent()
        return size

    def _handle_write(self):
        super()._handle_write()
        if self.share.has_unsent and not self.writing():
            self.share.note_sent()

    def read_until(self, delimiter, max_bytes=None):
        """Read a line, once it is the turn of this connection."""
        self.share.steps -= 1
        if self.share.steps >= 0 or delimiter != LINE_END:
            self.last_read = super().read_until(delimiter, max_bytes)
        else:
            self.last_read = asyncio.ensure_future(
                self._read_in_turn(delimiter, max_bytes)
            )
        return self.last_read

    async def _read_in_turn(self, delimiter, max_bytes):
        await self.share.wait(listeners.RECEIVE_BUFFER_BYTES)
        return await super().read_until(delimiter, max_bytes)

    def refuse(
        self, error: errors.AmaranthringError, is_for_head: bool = False
    ) -> None:
        """Answer the request that is being received, and close.

        Parameters
        ----------
        is_for_head : bool
            Whether it is a HEAD, whose answer has no body.
        """
        if self.closed():
            return
        if self.share.state is intakes.State.RECEIVING:
            response = refusals.encode(error, is_for_head)
            self.lingering.refuse(self.socket, response)
        self.close()


class BoundedStream(_Bounded, tornado.iostream.IOStream):
    """Accepted connection."""


class _Unanswered(_Bounded):
    """Ends without an answer, which its client could not read."""

    def refuse(
        self, error: errors.AmaranthringError, is_for_head: bool = False
    ) -> None:
        """Close the connection."""
        del error, is_for_head
        self.close()


class BoundedLinkStream(_Unanswered, tornado.iostream.IOStream):
    """Accepted connection of a peer that speaks no HTTP."""


class BoundedSSLStream(_Unanswered, tornado.iostream.SSLIOStream):
    """Accepted connection with TLS: an answer would wait for encryption."""


def accept(
    stream: tornado.iostream.IOStream,
    intake: intakes.Intake,
    make: t.Callable[..., BoundedStream] = BoundedStream,
) -> BoundedStream | None:
    """Return a counted stream on the socket of the new `stream`.

    Returns
    -------
    BoundedStream or None
        None if there is no place for it; `stream` is then left as it is.
    """
    streams: list[t.Any] = []
    share = intake.admit(lambda error: streams[0].refuse(error))
    if share is None:
        return None
    if isinstance(stream, tornado.iostream.SSLIOStream):
        # Its handshake has begun to wait for the socket.
        stream.io_loop.remove_handler(stream.fileno())
        make = BoundedSSLStream
    bounded = make(
        stream.socket,
        max_buffer_size=stream.max_buffer_size,
        read_chunk_size=stream.read_chunk_size,
    )
    bounded.share = share
    bounded.lingering = intake.lingering
    streams.append(bounded)
    return bounded
