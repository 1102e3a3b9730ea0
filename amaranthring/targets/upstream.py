"""One request to one target, over a connection of its own.

Unless a call allows keep-alive, a connection carries one request and is closed
after it: a late or repeated response is then never taken for that of a later
request, and a connection that could not be made proves that no byte was sent.
Bytes arrive through asyncio's streams, on which tornado runs, and tornado
parses the head; ``docs/design/way.md`` compares the alternatives.

The timeout costs one timer for each request, not one for each read: when it
fires, it checks when the last token came and restarts itself.
"""

import asyncio
import dataclasses
import re
import time
import typing as t

import tornado.httputil

from amaranthring import errors
from amaranthring.core import numerals
from amaranthring.core import records
from amaranthring.core import timeouts
from amaranthring.targets import http_body

READ_BYTES = 64 * 1024
CONNECT_SECONDS = 1.0
OUTCOME_HEADER = "Amaranthring-Outcome"
REQUEST_ID_HEADER = "Amaranthring-Request-Id"
# "1" in all responses of a target that leaves.
LEAVING_HEADER = "Server-Leaving"

MAX_INFORMATIONAL = 5
# Source: RFC 9110, section 15.
INFORMATIONAL_STATUSES = range(100, 200)
FINAL_STATUSES = range(200, 600)
# Answers an upgrade, for which no call asks.
SWITCHING_PROTOCOLS = 101
# Source: RFC 9110, section 5.5. Tabs, and bytes of any encoding, are allowed.
CONTROLS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
CONNECTION_ERRORS = (
    OSError,
    ValueError,
    EOFError,
    TimeoutError,
    asyncio.LimitOverrunError,
)


@dataclasses.dataclass
class Call:
    """Request to a target.

    Attributes
    ----------
    method, path : str
        Of the HTTP request.
    headers : mapping
        In addition to those of the connection; ``Host`` defaults to the
        target's address.
    body : bytes
        The whole body.
    keep_alive : bool
        Whether the connection may carry other calls after it.
    """

    method: str
    path: str
    headers: t.Mapping[str, str]
    body: bytes = b""
    keep_alive: bool = False


def _do_nothing() -> None:
    return


def _ignore(_size: int) -> None:
    return


def _end_at_timeout(_silent: float, _late: float) -> float | None:
    return None


class Exchange:
    """One call to one target and its response.

    Attributes
    ----------
    sent : bool
        Whether a byte may have been sent; false is certain.
    target : object
        Has an address and a name.
    status : int
        HTTP status, once the head has arrived.
    headers : HTTPHeaders
        Of the response.
    reused : bool
        Whether its connection carried other calls before.
    broken_off : bool
        Whether the target closed the connection before the answer was whole.
    before_write : callable
        Called right before a call is written; raises to prevent it.
    on_head : callable
        Called when the head of the response has arrived.
    on_timeout : callable
        Called when the timeout has passed, with the seconds since the last
        progress and those by which the timer fired late. Returns the seconds
        to wait on, or None to end the exchange.
    """

    def __init__(
        self,
        target: records.Target,
        connect_seconds: float = CONNECT_SECONDS,
    ):
        self.target = target
        self.connect_seconds = connect_seconds
        self.sent = False
        self.status = 0
        self.headers = tornado.httputil.HTTPHeaders()
        self.reused = False
        self.broken_off = False
        self.before_write: t.Callable[[], None] = _do_nothing
        self.on_head: t.Callable[[], None] = _do_nothing
        self.on_timeout: t.Callable[[float, float], float | None] = (
            _end_at_timeout
        )
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.call: Call | None = None
        self.abort_error: errors.AmaranthringError | None = None
        self.body: http_body.Decoder | None = None
        self.paused = False
        self._timeout = connect_seconds
        self.progress_at = time.monotonic()
        self._timer: asyncio.TimerHandle | None = None
        self._check_at = 0.0
        self._may_extend = False

    def set_timeout(self, seconds: float) -> None:
        """Restart the timeout; :meth:`note_progress` extends it."""
        self._timeout = seconds
        self.progress_at = time.monotonic()
        if self._timer:
            self._timer.cancel()
        self._may_extend = True
        self._start_timer(seconds)

    def note_progress(self, now: float) -> None:
        """Record that a token or response came at monotonic time `now`.

        Bytes alone do not count: a target that sends comments, or a byte now
        and then, would hold its caller forever.
        """
        self.progress_at = now

    def abort(self, cause: errors.AmaranthringError) -> None:
        """Close the connection; pending reads raise `cause`."""
        self.abort_error = self.abort_error or cause
        self.close()

    def reuse(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Use a connection that is already open."""
        self.reader, self.writer = reader, writer
        self.reused = True

    def release(self):
        """Detach and return reader and writer if they may carry another call.

        Returns None if the connection must not be reused.
        """
        body = self.body
        connection_header = self.headers.get("Connection", "").lower()
        if (
            body is None
            or not body.ended
            or not body.clean
            or self.abort_error
        ):
            return None
        # The response can precede the target's reading of the whole request;
        # unsent bytes belong to that request.
        unsent = self.writer.transport.get_write_buffer_size()
        if "close" in connection_header or unsent or self.writer.is_closing():
            return None
        connection = self.reader, self.writer
        if self._timer:
            self._timer.cancel()
            self._timer = None
        self.reader = self.writer = None
        return connection

    def close(self) -> None:
        """Close the connection."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self.writer:
            # Aborted, not closed: unsent bytes are not needed, and a late
            # response is of no use.
            self.writer.transport.abort()

    async def open(self, call: Call, seconds: float) -> None:
        """Send `call` and read the head of its response."""
        await self.send(call, seconds)
        await self.read_head()

    async def send(self, call: Call, seconds: float) -> None:
        """Connect and send `call`.

        Parameters
        ----------
        seconds : float
            Timeout from sending to the head.

        Raises
        ------
        errors.UpstreamError
            With outcome ``not-run`` if no byte was sent.
        """
        await self.connect()
        self.write_call(call, seconds)

    async def connect(self) -> None:
        """Connect, or raise an error stating that nothing was sent.

        Raises
        ------
        errors.UpstreamError
            With outcome ``not-run``.
        """
        try:
            await self.open_connection()
        except CONNECTION_ERRORS as error:
            self.close()
            if self.abort_error:
                raise self.abort_error from error
            refused = isinstance(error, ConnectionRefusedError)
            kind = errors.TargetUnreachableError
            if refused:
                kind = errors.NotListeningError
            raise kind(
                "the target cannot be reached",
                given=self.target.address,
                expected="a listening target",
                retry_after=1.0,
            ) from error

    def write_call(self, call: Call, seconds: float) -> None:
        """Write `call` to the connection.

        Parameters
        ----------
        seconds : float
            Timeout from sending to the head.

        Raises
        ------
        errors.BadRequestError
            If a header cannot be sent; nothing was.
        errors.AmaranthringError
            What `before_write` raised, or why the exchange was aborted;
            nothing was sent.
        """
        head = encode_head(call, self.target.address)
        if self.abort_error:
            raise self.abort_error
        self.before_write()
        self.set_timeout(seconds)
        self.sent = True
        self.call = call
        self.writer.write(head + call.body)

    async def open_connection(self) -> None:
        """Connect to the target.

        Raises
        ------
        OSError, ValueError, TimeoutError
            If it cannot be reached in time; no byte was sent.
        """
        host, _, port = self.target.address.rpartition(":")
        # A stall of this process must not count as an unreachable target.
        async with timeouts.timeout(self.connect_seconds):
            self.reader, self.writer = await asyncio.open_connection(
                host.strip("[]"), int(port), limit=READ_BYTES
            )
        if self.abort_error:
            # Aborted while connecting.
            self.close()
            raise ConnectionAbortedError

    async def read_head(self) -> None:
        """Read the head of the response, skipping informational ones.

        Raises
        ------
        errors.UpstreamError
            If the connection broke, or the head is malformed or has a status
            that no request of this process can get.
        """
        for _ in range(MAX_INFORMATIONAL):
            try:
                data = await self.reader.readuntil(b"\r\n\r\n")
                if self.abort_error:
                    raise self.abort_error
                text = data.decode("latin1")
                line, _, rest = text.partition("\r\n")
                start = tornado.httputil.parse_response_start_line(line)
                headers = tornado.httputil.HTTPHeaders.parse(rest)
            except (
                *CONNECTION_ERRORS,
                tornado.httputil.HTTPInputError,
            ) as error:
                raise self._connection_error(error) from error
            if start.code in FINAL_STATUSES:
                break
            if (
                start.code not in INFORMATIONAL_STATUSES
                or start.code == SWITCHING_PROTOCOLS
            ):
                # No other head need follow, and to wait for one would take
                # all the time that the caller has.
                self.close()
                raise invalid_status(start.code)
        else:
            raise self._connection_error()
        self.status, self.headers = start.code, headers
        self.body = http_body.decoder_for(
            headers, start.code, self.call.method
        )
        self.on_head()

    @property
    def length(self) -> int | None:
        """Return the length of the body, or None if it is not known."""
        if isinstance(self.body, http_body.FixedLength):
            return self.body.remaining
        return None

    async def skip_body(self, max_bytes: int) -> None:
        """Skip exactly the body of a response to an earlier call.

        Raises
        ------
        errors.UpstreamError
            If its length is not given or above `max_bytes`.
        """
        left = numerals.read(self.headers.get("Content-Length", ""))
        if left is None or left > max_bytes:
            raise self._connection_error()
        try:
            while left:
                data = await self.reader.read(min(left, READ_BYTES))
                if not data:
                    raise EOFError
                left -= len(data)
        except CONNECTION_ERRORS as error:
            raise self._connection_error(error) from error

    async def read(self) -> bytes:
        """Return the next bytes of the body, or nothing at its proper end.

        Raises
        ------
        errors.UpstreamError
            If the connection broke, or was aborted, before the end.
        """
        while not self.body.ended:
            try:
                data = await self.reader.read(READ_BYTES)
            except CONNECTION_ERRORS as error:
                raise self._connection_error(error) from error
            if self.abort_error:
                raise self.abort_error
            if not data:
                if not self.body.ends_by_close:
                    raise self._connection_error(EOFError())
                await self._finish_sending()
                return b""
            data = self.body.take(data)
            if data:
                return data
        return b""

    async def _finish_sending(self) -> None:
        """Wait until the target has taken the whole call.

        A target that ends while a call is being sent closes its connection
        in order and resets it only as more arrives.

        Raises
        ------
        errors.UpstreamError
            If the connection is reset before, so that the answer, which ends
            with the connection, cannot be told from a part of it.
        """
        try:
            # Nothing more may be left to send.
            self.writer.transport.set_write_buffer_limits(0)
            await self.writer.drain()
        except CONNECTION_ERRORS as error:
            raise self._connection_error(error) from error

    async def read_all(
        self,
        max_bytes: int,
        unframed: bool = False,
        on_data: t.Callable[[int], None] = _ignore,
    ) -> bytes:
        """Return the whole body.

        Parameters
        ----------
        unframed : bool
            Whether a close may end the body, because the caller can tell in
            another way that the response is complete.
        on_data : callable
            Called with the number of bytes of each part.

        Raises
        ------
        errors.UpstreamError
            As :meth:`read`, if the body is above `max_bytes`, or if its end
            cannot be told from a broken connection.
        """
        if self.body.ends_by_close and not unframed:
            # The kernel closes a dead process's connections in order, so half
            # a response would pass for the whole.
            raise errors.UpstreamError(
                "the length of the answer is unknown",
                given="neither Content-Length nor chunks",
                expected="one of them",
            )
        body = bytearray()
        try:
            while data := await self.read():
                body += data
                on_data(len(data))
                if len(body) > max_bytes:
                    raise errors.UpstreamError(
                        "the answer is too large",
                        given=f"{len(body)} bytes",
                        expected=f"{max_bytes} bytes at most",
                    )
            return bytes(body)
        finally:
            # The traceback of an error that the exchange keeps holds this
            # frame until the next garbage collection.
            body.clear()

    def _connection_error(
        self, error: BaseException | None = None
    ) -> errors.AmaranthringError:
        self.close()
        closed = isinstance(error, (EOFError, ConnectionError))
        self.broken_off = closed and self.abort_error is None
        # The kernel's timeout for unacknowledged bytes: the connection went
        # silent, or the target's VM lost power.
        timed_out = isinstance(error, TimeoutError)
        kind = errors.TruncatedResponseError
        if timed_out:
            kind = errors.TargetUnresponsiveError
        return self.abort_error or kind(
            "the connection broke before the answer was whole",
            given=self.target.name,
            expected="a whole answer",
        )

    def _start_timer(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._check_at = loop.time() + seconds
        self._timer = loop.call_at(self._check_at, self._check_progress)

    def _check_progress(self) -> None:
        now = time.monotonic()
        if self.paused:
            # The caller reads slowly; the target is not at fault.
            self.progress_at = now
        remaining = self.progress_at + self._timeout - now
        if (
            remaining <= 0
            and self._may_extend
            and timeouts.is_late(self._check_at)
        ):
            # This process was paused. The socket may hold the target's
            # response, which is read after this loop iteration; aborted now,
            # the target would count as silent.
            self._may_extend = False
            remaining = timeouts.READ_SECONDS
        if remaining > 0:
            self._start_timer(remaining)
            return
        self._timer = None
        late = asyncio.get_running_loop().time() - self._check_at
        more = self.on_timeout(now - self.progress_at, late)
        if more is not None:
            self._may_extend = True
            self._start_timer(more)
            return
        self.abort(
            errors.UpstreamTimeoutError(
                "the target took too long",
                given=f"{self._timeout:g} s",
                expected="a token, or the whole answer, earlier",
                retry_after=1.0,
            )
        )


def invalid_status(status: int) -> errors.InvalidStatusError:
    """Return the error of a response with a status that no call can get."""
    return errors.InvalidStatusError(
        "the target answered with an invalid status",
        given=f"{status:03}",
        expected=f"{FINAL_STATUSES.start} to {FINAL_STATUSES.stop - 1}",
    )


def encode_head(call: Call, address: str) -> bytes:
    """Return the head of the request.

    Raises
    ------
    errors.BadRequestError
        If a value would end its line, and so forge another header.
    """
    request_line = f"{call.method} {call.path} HTTP/1.1"
    lines = [request_line]
    if "Host" not in call.headers:
        lines.append(f"Host: {address}")
    lines += [f"{name}: {value}" for name, value in call.headers.items()]
    if not call.keep_alive:
        lines.append("Connection: close")
    lines.append(f"Content-Length: {len(call.body)}")
    controls = (line for line in lines if CONTROLS.search(line))
    refused = next(controls, None)
    if not request_line.isprintable():
        refused = request_line
    if refused is not None:
        raise errors.BadRequestError(
            "a header cannot be forwarded",
            given=repr(refused[:64]),
            expected="no control characters",
        )
    return "\r\n".join([*lines, "", ""]).encode("latin1", "replace")
