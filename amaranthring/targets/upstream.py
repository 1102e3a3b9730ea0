"""One request to one target, on a connection of its own.

A connection carries one request and is closed after it. An answer that comes
late, twice or for another request can therefore never be taken for the
answer of a later request, and a connection that could not be made is proof
that no byte left. tornado writes the request and reads the head; see
``docs/design/way.md`` for the ways weighed.

Watching costs one timer for each request, not one for each read: the timer
looks when the last byte came and sets itself again.
"""

import asyncio
import dataclasses
import socket
import time

import tornado.http1connection
import tornado.httputil
import tornado.iostream

from amaranthring import errors
from amaranthring.core import records
from amaranthring.targets import chunks

READ_BYTES = 64 * 1024
HEADER_BYTES_MOST = 16 * 1024
CONNECT_SECONDS = 1.0
OUTCOME_HEADER = "Amaranthring-Outcome"
REQUEST_ID_HEADER = "Amaranthring-Request-Id"

STREAM_FAULTS = (tornado.iostream.StreamClosedError, OSError)


class _Head(tornado.httputil.HTTPMessageDelegate):
    """Takes the head of the answer and the connection with it."""

    def __init__(self, connection):
        self.connection = connection
        self.status = 0
        self.headers = tornado.httputil.HTTPHeaders()
        self.stream = None

    def headers_received(self, start_line, headers):
        """Keep a final head; informational ones are passed over."""
        if start_line.code < 200:
            return None
        self.status = start_line.code
        self.headers = headers
        self.stream = self.connection.detach()
        return None


@dataclasses.dataclass
class Call:
    """What is sent to a target.

    Attributes
    ----------
    method, path : str
        Of the HTTP request.
    headers : dict
        Beside those of the connection itself.
    body : bytes
        Sent whole.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""


class Exchange:
    """One call to one target and its answer.

    Attributes
    ----------
    sent : bool
        Whether a byte may have left; false is certain.
    status : int
        HTTP status, once the head came.
    headers : HTTPHeaders
        Of the answer.
    """

    def __init__(self, target: records.Target):
        self.target = target
        self.sent = False
        self.status = 0
        self.headers = tornado.httputil.HTTPHeaders()
        self.stream: tornado.iostream.IOStream | None = None
        self.cause: errors.AmaranthringError | None = None
        self.body: chunks.Body | None = None
        self.paused = False
        self._allowed = CONNECT_SECONDS
        self._last = time.monotonic()
        self._timer: asyncio.TimerHandle | None = None

    def allow(self, seconds: float) -> None:
        """Let the target be silent for `seconds` from now on."""
        self._allowed = seconds
        self._last = time.monotonic()
        if self._timer:
            self._timer.cancel()
        self._arm(seconds)

    def break_off(self, cause: errors.AmaranthringError) -> None:
        """Close the connection; whoever reads gets `cause`."""
        self.cause = self.cause or cause
        self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self.stream:
            self.stream.close()

    async def open(self, call: Call, seconds: float) -> None:
        """Connect, send `call` and read the head of its answer.

        Parameters
        ----------
        seconds : float
            Time from sending to the head.

        Raises
        ------
        errors.UpstreamError
            With outcome ``not-run`` if no byte left.
        """
        host, _, port = self.target.address.rpartition(":")
        self.allow(CONNECT_SECONDS)
        try:
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            self.stream = tornado.iostream.IOStream(socket.socket(family))
            await self.stream.connect((host.strip("[]"), int(port)))
        except (*STREAM_FAULTS, ValueError) as error:
            self.close()
            if isinstance(self.cause, errors.UpstreamTimeoutError):
                self.cause = None
            raise errors.UpstreamError(
                "the target cannot be reached",
                given=self.target.address,
                expected="a listening target",
                retry_after=1.0,
                outcome=errors.Outcome.NOT_RUN,
            ) from error
        self.stream.set_nodelay(True)
        self.allow(seconds)
        await self._head(call)

    async def _head(self, call: Call) -> None:
        parameters = tornado.http1connection.HTTP1ConnectionParameters(
            no_keep_alive=True, max_header_size=HEADER_BYTES_MOST
        )
        connection = tornado.http1connection.HTTP1Connection(
            self.stream, True, parameters
        )
        headers = tornado.httputil.HTTPHeaders(call.headers)
        headers["Host"] = self.target.address
        headers["Connection"] = "close"
        headers["Content-Length"] = str(len(call.body))
        start = tornado.httputil.RequestStartLine(
            call.method, call.path, "HTTP/1.1"
        )
        head = _Head(connection)
        self.sent = True
        try:
            connection.write_headers(start, headers, call.body)
            await connection.read_response(head)
        except (*STREAM_FAULTS, tornado.httputil.HTTPInputError) as error:
            raise self._broken() from error
        if head.stream is None:
            raise self._broken()
        self._last = time.monotonic()
        self.status, self.headers = head.status, head.headers
        self.body = chunks.body_of(head.headers, head.status, call.method)

    async def read(self) -> bytes:
        """Return what came, or nothing at the proper end of the body.

        Raises
        ------
        errors.UpstreamError
            If the connection broke, or was broken off, before the end.
        """
        while not self.body.ended:
            try:
                data = await self.stream.read_bytes(READ_BYTES, partial=True)
            except STREAM_FAULTS as error:
                if self.body.ends_by_close and not self.cause:
                    return b""
                raise self._broken() from error
            self._last = time.monotonic()
            data = self.body.take(data)
            if data:
                return data
        return b""

    async def whole(self, most: int) -> bytes:
        """Return the whole body.

        Raises
        ------
        errors.UpstreamError
            As :meth:`read`, or if the body is above `most` bytes.
        """
        parts = []
        size = 0
        while data := await self.read():
            parts.append(data)
            size += len(data)
            if size > most:
                raise errors.UpstreamError(
                    "an answer above the bound",
                    given=f"{size} bytes",
                    expected=f"{most} bytes at most",
                )
        return b"".join(parts)

    def _broken(self) -> errors.AmaranthringError:
        self.close()
        return self.cause or errors.TruncatedAnswerError(
            "the connection broke before the answer was whole",
            given=self.target.name,
            expected="a whole answer",
        )

    def _arm(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._look)

    def _look(self) -> None:
        now = time.monotonic()
        if self.paused:
            # The caller reads slowly; the target is not at fault.
            self._last = now
        left = self._last + self._allowed - now
        if left > 0:
            self._arm(left)
            return
        self._timer = None
        self.break_off(
            errors.UpstreamTimeoutError(
                "the target was silent",
                given=f"{self._allowed:g} s",
                expected="a byte earlier",
                retry_after=1.0,
            )
        )


async def reachable(target: records.Target) -> bool:
    """Return whether `target` takes connections."""
    exchange = Exchange(target)
    host, _, port = target.address.rpartition(":")
    exchange.allow(CONNECT_SECONDS)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    exchange.stream = tornado.iostream.IOStream(socket.socket(family))
    try:
        await exchange.stream.connect((host.strip("[]"), int(port)))
        return True
    except STREAM_FAULTS:
        return False
    finally:
        exchange.close()
