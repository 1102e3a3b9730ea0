"""The answer to one caller, over tornado's HTTP connection."""

import json
import time
import typing as t

import tornado.httputil
import tornado.iostream

from amaranthring import errors
from amaranthring.core import endpoints

RETRY_AFTER_HEADER = "Retry-After"


class ResponseWriter:
    """Writes one answer.

    Parameters
    ----------
    connection : tornado.httputil.HTTPConnection
        The caller's.
    stopping : callable
        Returns whether callers are told to close their connections, as the
        router stops.

    Attributes
    ----------
    status : int
        What was answered; 0 before the head was written.
    began_at : float
        Monotonic seconds at which its head was written.
    ended : bool
        Whether the answer is whole or broken off.
    closing : bool
        Whether this caller is told to close its connection.
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
        self.closing = False

    async def whole(
        self, status: int, headers: tornado.httputil.HTTPHeaders, body: bytes
    ) -> None:
        """Write an answer at once."""
        headers = headers.copy()
        if status not in (204, 304):
            headers["Content-Length"] = str(len(body))
        await self._head(status, headers, body)
        self.finish()

    async def begin(
        self, status: int, headers: tornado.httputil.HTTPHeaders, data: bytes
    ) -> None:
        """Write the head of a stream and its first bytes."""
        await self._head(status, headers.copy(), data)

    async def _head(self, status, headers, data: bytes) -> None:
        self.status = status
        self.started_at = time.monotonic()
        if self.closing or self.stopping():
            headers["Connection"] = "close"
        line = endpoints.start_line(status)
        try:
            await self.connection.write_headers(line, headers, data)
        except tornado.iostream.StreamClosedError as error:
            raise _gone() from error

    async def write(self, data: bytes) -> None:
        """Write more of a stream.

        Raises
        ------
        errors.CallerGoneError
            If the caller has closed.
        """
        try:
            await self.connection.write(data)
        except tornado.iostream.StreamClosedError as error:
            raise _gone() from error

    def finish(self) -> None:
        """End the answer in good order."""
        if not self.finished:
            self.finished = True
            self.connection.finish()

    def break_off(self) -> None:
        """Close the connection, so that the answer cannot pass for whole."""
        if not self.finished:
            self.finished = True
            stream = getattr(self.connection, "stream", None)
            if stream is not None:
                stream.close()

    async def refuse(self, error: errors.AmaranthringError) -> None:
        """Write an answer of the router's own."""
        headers = tornado.httputil.HTTPHeaders()
        headers["Content-Type"] = "application/json"
        if error.retry_after is not None:
            headers[RETRY_AFTER_HEADER] = f"{error.retry_after:g}"
        record = {"code": error.code, "detail": error.detail}
        body = json.dumps({"error": record}).encode()
        await self.whole(error.status, headers, body)


def _gone() -> errors.CallerGoneError:
    return errors.CallerGoneError("the caller has closed its connection")
