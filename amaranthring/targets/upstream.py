"""One request to one target, on a connection of its own.

A connection carries one request and is closed after it. An answer that comes
late, twice or for another request can therefore never be taken for the
answer of a later request, and a connection that could not be made is proof
that no byte left. Bytes come by asyncio's streams, on which tornado runs,
and tornado parses the head; ``docs/design/way.md`` has the ways weighed.

Watching costs one timer for each request, not one for each read: the timer
looks when the last token came and sets itself again.
"""

import asyncio
import dataclasses
import time
import typing as t

import tornado.httputil

from amaranthring import errors
from amaranthring.core import records
from amaranthring.core import timeouts
from amaranthring.targets import http_body

READ_BYTES = 64 * 1024
CONNECT_SECONDS = 1.0
# A process that is ended beside others on a busy machine has closed its
# sockets within some tens of milliseconds; a caller whose attempt failed
# waits as long.
KEPT_SECONDS = 0.15
OUTCOME_HEADER = "Amaranthring-Outcome"
REQUEST_ID_HEADER = "Amaranthring-Request-Id"

INFORMATIONAL_MOST = 5
CONNECTION_ERRORS = (
    OSError,
    ValueError,
    EOFError,
    TimeoutError,
    asyncio.LimitOverrunError,
)


@dataclasses.dataclass
class Call:
    """What is sent to a target.

    Attributes
    ----------
    method, path : str
        Of the HTTP request.
    headers : mapping
        Beside those of the connection itself; ``Host`` is the target's
        address if it is not among them.
    body : bytes
        Sent whole.
    keep : bool
        Whether the connection may carry other calls after it.
    """

    method: str
    path: str
    headers: t.Mapping[str, str]
    body: bytes = b""
    keep_alive: bool = False


class Exchange:
    """One call to one target and its answer.

    Attributes
    ----------
    sent : bool
        Whether a byte may have left; false is certain.
    target : object
        Has an address and a name.
    status : int
        HTTP status, once the head came.
    headers : HTTPHeaders
        Of the answer.
    kept : bool
        Whether its connection carried other calls before.
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
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.call: Call | None = None
        self.abort_error: errors.AmaranthringError | None = None
        self.body: http_body.Decoder | None = None
        self.paused = False
        self._allowed = connect_seconds
        self.progress_at = time.monotonic()
        self._timer: asyncio.TimerHandle | None = None
        self._due = 0.0
        self._may_look_again = False

    def set_timeout(self, seconds: float) -> None:
        """Give the target `seconds` from now, until the next :meth:`came`."""
        self._allowed = seconds
        self.progress_at = time.monotonic()
        if self._timer:
            self._timer.cancel()
        self._may_look_again = True
        self._arm(seconds)

    def note_progress(self, now: float) -> None:
        """Note that what was waited for came at monotonic time `now`.

        Bytes alone are not it: a target that sends comments, or a byte now
        and then, would hold its caller for ever.
        """
        self.progress_at = now

    def abort(self, cause: errors.AmaranthringError) -> None:
        """Close the connection; whoever reads gets `cause`."""
        self.abort_error = self.abort_error or cause
        self.close()

    def reuse(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Use a connection that is there already."""
        self.reader, self.writer = reader, writer
        self.reused = True

    def release(self):
        """Return reader and writer if they may carry another call.

        The connection is then no longer this exchange's; None if it may
        not be used again.
        """
        body = self.body
        closing = self.headers.get("Connection", "").lower()
        if (
            body is None
            or not body.ended
            or not body.clean
            or self.abort_error
        ):
            return None
        # An answer can come before the target has read the whole request;
        # what is still to be written belongs to that one.
        unsent = self.writer.transport.get_write_buffer_size()
        if "close" in closing or unsent or self.writer.is_closing():
            return None
        held = self.reader, self.writer
        if self._timer:
            self._timer.cancel()
            self._timer = None
        self.reader = self.writer = None
        return held

    def close(self) -> None:
        """Close the connection."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self.writer:
            # Not closed in good order: what was not sent need not be, and
            # an answer that still comes is of no use.
            self.writer.transport.abort()

    async def open(self, call: Call, seconds: float) -> None:
        """Send `call` and read the head of its answer; see both."""
        await self.send(call, seconds)
        await self.read_head()

    async def send(self, call: Call, seconds: float) -> None:
        """Connect and send `call`.

        Parameters
        ----------
        seconds : float
            Time from sending to the head.

        Raises
        ------
        errors.UpstreamError
            With outcome ``not-run`` if no byte left.
        """
        await self.connect()
        self.write_call(call, seconds)

    async def connect(self) -> None:
        """Connect, or say that nothing was sent.

        Raises
        ------
        errors.UpstreamError
            With outcome ``not-run``.
        """
        try:
            await self.open_connection()
        except CONNECTION_ERRORS as error:
            self.close()
            raise errors.TargetUnreachedError(
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
            Time from sending to the head.

        Raises
        ------
        errors.BadRequestError
            If a header cannot be sent; nothing was.
        """
        head = encode_head(call, self.target.address)
        self.set_timeout(seconds)
        self.sent = True
        self.call = call
        self.writer.write(head + call.body)

    async def open_connection(self) -> None:
        """Connect to the target.

        Raises
        ------
        OSError, ValueError, TimeoutError
            If it cannot be reached in time; no byte left.
        """
        host, _, port = self.target.address.rpartition(":")
        # A stall of this process must not make a target count as unreached:
        # its callers got 503 for a target that was there.
        async with timeouts.running(self.connect_seconds):
            self.reader, self.writer = await asyncio.open_connection(
                host.strip("[]"), int(port), limit=READ_BYTES
            )
        if self.abort_error:
            # Broken off while it was being made.
            self.close()
            raise ConnectionAbortedError

    async def read_head(self) -> None:
        """Read the head of the answer; informational ones are passed over.

        Raises
        ------
        errors.UpstreamError
            If the connection broke or the head is malformed.
        """
        for _ in range(INFORMATIONAL_MOST):
            try:
                data = await self.reader.readuntil(b"\r\n\r\n")
                text = data.decode("latin1")
                line, _, rest = text.partition("\r\n")
                start = tornado.httputil.parse_response_start_line(line)
                headers = tornado.httputil.HTTPHeaders.parse(rest)
            except (
                *CONNECTION_ERRORS,
                tornado.httputil.HTTPInputError,
            ) as error:
                raise self._broken(error) from error
            if start.code >= 200:
                break
        else:
            raise self._broken()
        self.status, self.headers = start.code, headers
        self.body = http_body.decoder_for(
            headers, start.code, self.call.method
        )

    async def skip_body(self, most: int) -> None:
        """Pass over an answer to an earlier call, and nothing behind it.

        Raises
        ------
        errors.UpstreamError
            If its length is not given or above `most` bytes.
        """
        length = self.headers.get("Content-Length", "")
        if not length.isdigit() or int(length) > most:
            raise self._broken()
        try:
            await self.reader.readexactly(int(length))
        except CONNECTION_ERRORS as error:
            raise self._broken(error) from error

    async def read(self) -> bytes:
        """Return what came, or nothing at the proper end of the body.

        Raises
        ------
        errors.UpstreamError
            If the connection broke, or was broken off, before the end.
        """
        while not self.body.ended:
            try:
                data = await self.reader.read(READ_BYTES)
            except CONNECTION_ERRORS as error:
                raise self._broken(error) from error
            if not data:
                if self.body.ends_by_close and not self.abort_error:
                    return b""
                raise self._broken()
            data = self.body.take(data)
            if data:
                return data
        return b""

    async def read_all(self, most: int, unframed: bool = False) -> bytes:
        """Return the whole body.

        Parameters
        ----------
        unframed : bool
            Whether the target proves its answers otherwise, so that a
            close in good order may end one.

        Raises
        ------
        errors.UpstreamError
            As :meth:`read`, if the body is above `most` bytes, or if its
            end cannot be told from a connection that broke.
        """
        if self.body.ends_by_close and not unframed:
            # A process that dies closes its connections in good order, so
            # the first half of an answer would pass for the whole.
            raise errors.UpstreamError(
                "an answer of unknown length",
                given="neither Content-Length nor chunks",
                expected="one of them",
            )
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

    def _broken(
        self, error: BaseException | None = None
    ) -> errors.AmaranthringError:
        self.close()
        # The system's own timeout on what is sent: the connection has gone
        # silent, or the target's VM has no power.
        silent = isinstance(error, TimeoutError)
        kind = errors.TruncatedAnswerError
        if silent:
            kind = errors.TargetSilentError
        return self.abort_error or kind(
            "the connection broke before the answer was whole",
            given=self.target.name,
            expected="a whole answer",
        )

    def _arm(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._due = loop.time() + seconds
        self._timer = loop.call_at(self._due, self._look)

    def _look(self) -> None:
        now = time.monotonic()
        if self.paused:
            # The caller reads slowly; the target is not at fault.
            self.progress_at = now
        left = self.progress_at + self._allowed - now
        if left <= 0 and self._may_look_again and timeouts.is_late(self._due):
            # This process stood still. What the target sent meanwhile is
            # read after this step of the loop; broken off now, the target
            # would count as silent with its answer in the socket.
            self._may_look_again = False
            left = timeouts.READ_SECONDS
        if left > 0:
            self._arm(left)
            return
        self._timer = None
        self.abort(
            errors.UpstreamTimeoutError(
                "the target took too long",
                given=f"{self._allowed:g} s",
                expected="a token, or the whole answer, earlier",
                retry_after=1.0,
            )
        )


def encode_head(call: Call, address: str) -> bytes:
    """Return the head of the request.

    Raises
    ------
    errors.BadRequestError
        If a value would end its line, and so forge another header.
    """
    lines = [f"{call.method} {call.path} HTTP/1.1"]
    if "Host" not in call.headers:
        lines.append(f"Host: {address}")
    lines += [f"{name}: {value}" for name, value in call.headers.items()]
    if not call.keep_alive:
        lines.append("Connection: close")
    lines.append(f"Content-Length: {len(call.body)}")
    for line in lines:
        if not line.isprintable():
            raise errors.BadRequestError(
                "a header cannot be sent on",
                given=repr(line[:64]),
                expected="printable characters",
            )
    return "\r\n".join([*lines, "", ""]).encode("latin1", "replace")


async def is_reachable(target: records.Target) -> bool:
    """Return whether `target` takes a connection and keeps it.

    While the kernel ends a process, its listener still takes connections
    for a moment, which are reset with it: such a target is dead.
    """
    exchange = Exchange(target)
    try:
        await exchange.open_connection()
    except CONNECTION_ERRORS:
        exchange.close()
        return False
    try:
        async with timeouts.running(KEPT_SECONDS):
            return bool(await exchange.reader.read(1))
    except TimeoutError:
        return True
    except CONNECTION_ERRORS:
        return False
    finally:
        exchange.close()
