"""Connections of callers, on which the end of a caller's sending side shows.

tornado closes a connection as soon as nothing more can be read from it. A
caller that shuts its sending side after its request could then not be
answered, and nothing tells it from one that has closed the connection.
"""

import asyncio
import typing as t

from amaranthring.core import bounded_streams

__all__ = ["CallerStream"]

# Time for reading and answering a request that arrived together with the end
# of the sending side.
PARSE_SECONDS = 0.05


class CallerStream(bounded_streams.BoundedStream):
    """Stream that reports the end of the peer's sending side.

    Attributes
    ----------
    is_half_closed : bool
        Whether the peer has shut its sending side, or closed the connection.
    on_half_closed : callable, optional
        Called with this stream once that is read. It must see to it that the
        stream is closed soon, as the event loop reports it as readable until
        then.
    """

    def __init__(self, *args, **kwargs):
        self.is_half_closed = False
        self.on_half_closed: t.Callable[[CallerStream], None] | None = None
        super().__init__(*args, **kwargs)

    def read_from_fd(self, buf):
        """Read; the end of the input counts as no input."""
        try:
            size = super().read_from_fd(buf)
        finally:
            # The traceback of a reset would keep it.
            del buf
        if size != 0 or self.on_half_closed is None:
            return size
        if not self.is_half_closed:
            self.is_half_closed = True
            asyncio.get_running_loop().call_soon(self._report)
        return None

    def _report(self) -> None:
        if self.closed():
            return
        self.on_half_closed(self)
        self._close_soon()

    def _close_soon(self) -> None:
        """Close the stream once what was read may have been answered."""
        if not self.closed():
            loop = asyncio.get_running_loop()
            loop.call_later(PARSE_SECONDS, self._close)

    def _close(self) -> None:
        """Close the stream, or else once all that was written is sent."""
        if self.closed():
            return
        if self.writing():
            # Writes complete in order, so an empty one ends last.
            self.write(b"").add_done_callback(lambda _: self._close_soon())
        else:
            self.close()
