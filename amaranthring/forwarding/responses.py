"""Responses to callers, over tornado's HTTP connections."""

import json
import time
import typing as t

import tornado.httputil
import tornado.iostream

from amaranthring import errors
from amaranthring.core import endpoints

RETRY_AFTER_HEADER = "Retry-After"
# Longer data is written by itself.
MAX_COPIED_BYTES = 64 * 1024


class ResponseWriter:
    """Writes the response to one request.

    Parameters
    ----------
    connection : tornado.httputil.HTTPConnection
        Connection to the caller.
    stopping : callable
        Returns whether the router is shutting down, so that callers should
        close their connections.

    Attributes
    ----------
    status : int
        HTTP status; 0 before the head is written.
    started_at : float
        Monotonic seconds at which the head was written.
    finished : bool
        Whether the response is complete or was aborted.
    is_whole : bool
        Whether a complete response was given to the connection, which may
        not have sent all of it.
    closing : bool
        Whether this caller should close its connection.
    is_for_head : bool
        Whether the request is a HEAD, whose response has no body.
    """

    def __init__(
        self,
        connection: tornado.httputil.HTTPConnection,
        stopping: t.Callable[[], bool],
    ):
        self.connection = connection
        self.stopping = stopping
        self.status = 0
        self.started_at = 0.0
        self.finished = False
        self.is_whole = False
        self.closing = False
        self.is_for_head = False

    async def send(
        self, status: int, headers: tornado.httputil.HTTPHeaders, body: bytes
    ) -> None:
        """Send a complete response."""
        headers = headers.copy()
        if status not in (204, 304):
            headers["Content-Length"] = str(len(body))
        self.is_whole = True
        await self._write_head(
            status, headers, b"" if self.is_for_head else body
        )
        self.finish()

    async def start_stream(
        self, status: int, headers: tornado.httputil.HTTPHeaders, data: bytes
    ) -> None:
        """Write the head and the first bytes of a streamed response."""
        await self._write_head(status, headers.copy(), data)

    async def _write_head(self, status, headers, data: bytes) -> None:
        self.status = status
        self.started_at = time.monotonic()
        if self.closing or self.stopping():
            headers["Connection"] = "close"
        line = endpoints.status_line(status)
        # tornado would copy the data behind the head.
        is_long = len(data) > MAX_COPIED_BYTES
        try:
            sent = self.connection.write_headers(
                line, headers, b"" if is_long else data
            )
            if is_long:
                sent = self.connection.write(data)
            await sent
        except tornado.iostream.StreamClosedError as error:
            raise _disconnected_error() from error

    async def write(self, data: bytes) -> None:
        """Write more bytes of a streamed response.

        Raises
        ------
        errors.CallerDisconnectedError
            If the caller has closed its connection.
        """
        try:
            await self.connection.write(data)
        except tornado.iostream.StreamClosedError as error:
            raise _disconnected_error() from error

    def finish(self) -> None:
        """End the response."""
        if not self.finished:
            self.finished = True
            self.connection.finish()

    def abort(self) -> None:
        """Close the connection, so that the response is seen as incomplete."""
        if not self.finished:
            self.finished = True
            stream = getattr(self.connection, "stream", None)
            if stream is not None:
                stream.close()

    async def send_error(self, error: errors.AmaranthringError) -> None:
        """Send an error response of the router itself."""
        headers = tornado.httputil.HTTPHeaders()
        headers["Content-Type"] = "application/json"
        if error.retry_after is not None:
            headers[RETRY_AFTER_HEADER] = f"{error.retry_after:g}"
        record = {"code": error.code, "detail": error.detail}
        body = json.dumps({"error": record}).encode()
        await self.send(error.status, headers, body)


def _disconnected_error() -> errors.CallerDisconnectedError:
    return errors.CallerDisconnectedError(
        "the caller has closed its connection"
    )
