"""HTTP server for callers, with one task per request."""

import asyncio
import time
import typing as t

import logbook
import tornado.httputil
import tornado.iostream

from amaranthring import errors
from amaranthring.core import bounded_streams
from amaranthring.core import connections
from amaranthring.core import http_servers
from amaranthring.core import intake as intakes
from amaranthring.core import listeners
from amaranthring.core import logs
from amaranthring.core import numerals
from amaranthring.forwarding import caller_stream
from amaranthring.forwarding import records
from amaranthring.forwarding import refusals
from amaranthring.forwarding import responses
from amaranthring.routing import plan as plans

log = logbook.Logger(__name__)

Serve = t.Callable[
    [records.Incoming, responses.ResponseWriter], t.Awaitable[None]
]

# Limits of the HTTP server, above any that a plan may set. The limits of the
# plan are checked per request, with an error code of their own.
MAX_HEADER_BYTES = 256 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
# A request that is refused is read to its end if no more than this is left,
# so that its caller can keep the connection.
DISCARD_BYTES = 64 * 1024
# Greatest length of a request line, which no limit of the plan covers.
MAX_REQUEST_LINE_BYTES = 128 * 1024
# Greatest time for a body, whatever its caller says that it waits.
MAX_BODY_SECONDS = 120.0
# Longer than the idle time of any plan, so that a connection is not closed
# while a caller that observes the idle time of the plan sends a request.
IDLE_SECONDS = 120.0
# Time for answering the last requests before all connections are closed.
END_SECONDS = 0.1
END_POLL_SECONDS = 0.01
# Turns of the event loop that answering a last request takes: to accept its
# connection, and to read, parse and refuse it. They may last longer than
# END_SECONDS.
END_TURNS = 8


def _is_never_full() -> bool:
    return False


def _check_nothing(_incoming: records.Incoming) -> None:
    """Leave all checks to the time when the request is whole."""


class _Server(http_servers.BoundedServer):
    """Server that turns new connections away while it is asked to."""

    def initialize(self, front, *args, **kwargs):
        super().initialize(front, *args, intake=front.intake, **kwargs)
        self.is_full = front.is_full
        self.turn_away = front.turn_away
        self.on_half_closed = front.on_half_closed
        self.head_seconds = lambda: front.bounds().header_seconds
        self.streams: set[tornado.iostream.IOStream] = set()

    def handle_stream(self, stream, address):
        if self.is_full():
            self.turn_away(stream)
            return
        super().handle_stream(stream, address)

    def accept(self, stream):
        accepted = bounded_streams.accept(
            stream, self.intake, caller_stream.CallerStream
        )
        if accepted is None:
            self.turn_away(stream)
            return None
        accepted.on_half_closed = self.on_half_closed
        accepted.share.head_seconds = self.head_seconds
        self.streams.add(accepted)
        return accepted

    def on_close(self, server_conn):
        self.streams.discard(server_conn.stream)
        super().on_close(server_conn)
        # tornado's server does not tell its delegate of closed connections.
        self.request_callback.on_close(server_conn)


class Frontend(tornado.httputil.HTTPServerConnectionDelegate):
    """Receives requests from callers and passes each to `serve`.

    Parameters
    ----------
    dialect : records.Dialect
        Parses the head of a request.
    serve : callable
        Handles one request.
    bounds : callable
        Returns the limits of the active plan.
    is_full : callable, optional
        Returns whether one more connection is turned away.
    intake : intake.Intake, optional
        Of the process.
    check_head : callable, optional
        Raises what the head of a request already decides.

    Attributes
    ----------
    in_flight : int
        Requests without a final response, with those of other routers.
    requests : dict
        Request without a final response by the stream that it came on.
    closing : bool
        Whether callers are told to close their connections.
    shutdown_at : float
        Monotonic seconds at which the process ends; requests that may take
        longer are refused.
    idle : connections.IdleConnections
        Connections without a request.
    listener : listeners.Listener, optional
        Listener for callers, once started.
    """

    def __init__(
        self,
        dialect: records.Dialect,
        serve: Serve,
        bounds: t.Callable[[], plans.Bounds],
        is_full: t.Callable[[], bool] = _is_never_full,
        intake: intakes.Intake | None = None,
        check_head: t.Callable[[records.Incoming], None] = _check_nothing,
    ):
        self.is_full = is_full
        self.intake = intake or intakes.Intake()
        self.check_head = check_head
        self.dialect = dialect
        self.serve = serve
        self.bounds = bounds
        self.in_flight = 0
        self.requests: dict[tornado.iostream.IOStream, _Request] = {}
        self.closing = False
        self.shutdown_at = float("inf")
        self.idle = connections.IdleConnections()
        self.server: _Server | None = None
        self.listener: listeners.Listener | None = None

    def listen(self, sockets: list) -> None:
        """Serve on the listening `sockets`."""
        self.server = _Server(
            self,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            idle_connection_timeout=IDLE_SECONDS,
        )
        self.server.add_sockets(sockets)
        self.listener = listeners.Listener(self.server, sockets)

    def start_request(self, server_conn, request_conn):
        """Return the delegate that receives one request."""
        self.idle.add(server_conn)
        return _Request(self, server_conn, request_conn)

    def on_close(self, server_conn):
        """Forget a closed connection."""
        self.idle.discard(server_conn)

    async def drain(self, until: t.Callable[[], float]) -> None:
        """Close connections as they become idle, until none is open.

        Parameters
        ----------
        until : callable
            Returns the monotonic seconds at which to stop waiting.
        """
        while time.monotonic() < until():
            self.idle.close_idle()
            if not self.in_flight and not self.server.streams:
                return
            await asyncio.sleep(connections.POLL_SECONDS)

    async def end_connections(self) -> None:
        """Answer the remaining requests, then close all connections.

        What is left open until the process exits gets neither an answer nor
        a close before, so a caller that sends a request meanwhile waits in
        vain and does not learn whether it ran.
        """
        self.shutdown_at = float("-inf")
        for request in list(self.requests.values()):
            if not request.writer.is_whole:
                request.interrupt(_shutting_down())
        give_up_at = time.monotonic() + END_SECONDS
        closed = len(self.server.streams)
        turns = 0
        while turns < END_TURNS or time.monotonic() < give_up_at:
            self._close_waiting()
            if not self.server.streams:
                break
            # What was being read is answered in the next turns.
            await asyncio.sleep(0 if turns < END_TURNS else END_POLL_SECONDS)
            turns += 1
        left = list(self.server.streams)
        for stream in left:
            stream.close()
        logs.event(
            log,
            "router.closed",
            connections=closed,
            unread=len(left),
            running=len(self.requests),
        )

    def _close_waiting(self) -> None:
        """Close connections of which nothing is unanswered that was read."""
        for stream in filter(
            connections.is_waiting, list(self.server.streams)
        ):
            # Callers that go on sending may have just sent a request.
            refusals.refuse_arrived(stream.socket, _shutting_down())
            stream.close()

    def log_open_connections(self) -> None:
        """Log what is open when a stop no longer waits for callers."""
        streams = self.server.streams
        logs.event(
            log,
            "router.closing",
            connections=len(streams),
            unread=sum(connections.has_input(stream) for stream in streams),
            running=self.in_flight,
        )

    def turn_away(self, stream: tornado.iostream.IOStream) -> None:
        """Close a new connection unread.

        Callers of a stopping router may have waited for it for some time, so
        those whose requests have arrived are answered.
        """
        if self.closing:
            refusals.refuse_arrived(stream.socket, _shutting_down())
        stream.close()

    def on_half_closed(self, stream: caller_stream.CallerStream) -> None:
        """End what a caller that sends nothing more still waits for.

        It cannot be told from one that has closed its connection, whose work
        must end. So its request is answered, but not with its own result,
        unless that is already being sent.
        """
        request = self.requests.get(stream)
        if request is not None:
            if not request.writer.is_whole:
                request.interrupt(_half_closed())
        elif not connections.has_input(stream):
            stream.close()

    def check_deadline(self, incoming: records.Incoming) -> None:
        """Check that a request can finish before shutdown.

        Raises
        ------
        errors.ShuttingDownError
            If it may take longer.
        """
        if incoming.arrived + incoming.timeout > self.shutdown_at:
            raise _shutting_down()

    def count(self, step: int) -> None:
        """Change the number of requests in flight by `step`."""
        self.in_flight += step


def _shutting_down() -> errors.ShuttingDownError:
    return errors.ShuttingDownError(
        "this router is being stopped", retry_after=0.0
    )


def _headers_too_large(size: int, limit: int) -> errors.HeadersTooLargeError:
    return errors.HeadersTooLargeError(
        "headers", given=size, expected=f"{limit} bytes at most"
    )


def _half_closed() -> errors.HalfClosedError:
    return errors.HalfClosedError(
        "the caller has closed its sending side before its answer",
        retry_after=0.0,
    )


class _Request(tornado.httputil.HTTPMessageDelegate):
    """Receives one request and runs its task."""

    def __init__(self, frontend: Frontend, server_conn, connection):
        self.frontend = frontend
        self.server_conn = server_conn
        self.stream = server_conn.stream
        self.connection = connection
        self.writer = responses.ResponseWriter(
            connection, lambda: frontend.closing
        )
        self.incoming: records.Incoming | None = None
        self.error: errors.AmaranthringError | None = None
        self.chunks: list[bytes] = []
        self.body_bytes = 0
        self.task: asyncio.Task | None = None
        self.has_begun = False
        limit = frontend.bounds().header_bytes
        self.stream.share.head_most = limit + MAX_REQUEST_LINE_BYTES

    def headers_received(self, start_line, headers):
        """Parse the head; refuse what it decides if a long body follows."""
        self.frontend.idle.discard(self.server_conn)
        self.stream.share.head_most = float("inf")
        self.writer.is_for_head = start_line.method == "HEAD"
        try:
            self._check_headers(headers)
            self.incoming = self.frontend.dialect.read_request(
                start_line, headers, time.monotonic()
            )
            self.incoming.origin = self.connection.context.remote_ip
            self._expect_body()
        except errors.AmaranthringError as error:
            self.error = error
        length = numerals.read(headers.get("Content-Length", "")) or 0
        self._check_length(length)
        if length > DISCARD_BYTES:
            self._refuse_if_certain()

    def _check_headers(self, headers) -> None:
        limit = self.frontend.bounds().header_bytes
        size = sum(len(n) + len(v) + 4 for n, v in headers.get_all())
        if size > limit:
            raise _headers_too_large(size, limit)

    def _expect_body(self) -> None:
        """Give the body the time for which its caller waits."""
        seconds = min(self.incoming.timeout, MAX_BODY_SECONDS)
        self.stream.share.expect(
            self.incoming.arrived + seconds,
            errors.BodyTimeoutError(
                "the body arrived too slowly",
                given=f"incomplete after {seconds:g} s",
                expected="the whole body",
                retry_after=0.0,
            ),
        )

    def _check_length(self, length: int) -> None:
        """Note an error if a body of `length` bytes is too large."""
        limit = self.frontend.bounds().body_bytes
        if length > limit and self.error is None:
            self.error = errors.TooLargeError(
                "body", given=length, expected=f"{limit} bytes at most"
            )

    def _refuse_if_certain(self) -> None:
        """Refuse a request with a long body, if its head decides that."""
        if self.error is None:
            try:
                self.frontend.check_head(self.incoming)
            except errors.AmaranthringError as error:
                self.error = error
        if self.error is not None:
            self._refuse_unread()

    def _refuse_unread(self) -> None:
        logs.event(
            log,
            "request.refused-unread",
            id=self.incoming.request_id if self.incoming else "",
            code=self.error.code,
            received=self.body_bytes,
        )
        self.chunks.clear()
        self.stream.refuse(self.error, self.writer.is_for_head)

    def data_received(self, chunk):
        """Collect the body, up to its limit."""
        was_long = self.body_bytes > DISCARD_BYTES
        self.body_bytes += len(chunk)
        self._check_length(self.body_bytes)
        if self.error is None:
            self.chunks.append(chunk)
        else:
            self.chunks.clear()
        is_long = self.body_bytes > DISCARD_BYTES
        if is_long and (self.error is not None or not was_long):
            self._refuse_if_certain()

    def finish(self):
        """Handle the request, which is now complete."""
        if self.stream.closed():
            # The request was read in the same event loop iteration in which
            # the connection was closed as idle. The caller sees it closed and
            # sends the request again, so it must not run here too.
            return
        if self.stream.is_half_closed:
            self.error = self.error or _half_closed()
            self.writer.closing = True
        self.frontend.count(+1)
        self.frontend.requests[self.stream] = self
        # While a response is pending, tornado reports a close only here.
        self.connection.set_close_callback(self.on_connection_close)
        self.task = asyncio.ensure_future(self._run())

    def on_connection_close(self):
        """Cancel the request, as its caller has disconnected."""
        self.chunks.clear()
        self.interrupt(
            errors.CallerDisconnectedError(
                "the caller has closed its connection"
            )
        )

    def interrupt(self, error: errors.AmaranthringError) -> None:
        """End the request with `error`, if it has not ended yet."""
        if self.task is None or self.error is not None:
            return
        if not self.has_begun:
            # A task that is cancelled before its first step never runs.
            self.error = error
            return
        self.incoming.interruption = error
        self.task.cancel()

    async def _send_error(self, error: errors.AmaranthringError) -> None:
        try:
            await self.writer.send_error(error)
        except errors.CallerDisconnectedError:
            self._abort("caller-gone")

    def _abort(self, reason: str) -> None:
        """Close the connection without an answer, or in the middle of it."""
        if self.writer.finished:
            return
        logs.event(
            log,
            "request.unanswered",
            id=self.incoming.request_id if self.incoming else "",
            reason=reason,
            status=self.writer.status,
            caller_gone=self.stream.closed(),
        )
        self.writer.abort()

    async def _run(self) -> None:
        self.has_begun = True
        try:
            if self.error is not None:
                await self._send_error(self.error)
                return
            self.incoming.body = b"".join(self.chunks)
            self.chunks.clear()
            self.frontend.check_deadline(self.incoming)
            await self.frontend.serve(self.incoming, self.writer)
        except errors.ShuttingDownError as error:
            await self._send_error(error)
        except errors.CallerDisconnectedError as error:
            self._abort(error.code)
        except asyncio.CancelledError:
            self._abort("cancelled")
        except Exception:
            log.exception("request.failed")
            if self.writer.status:
                self._abort("failed")
                return
            self.writer.closing = True
            await self._send_error(
                errors.AmaranthringError("the router failed on this request")
            )
        finally:
            connections.call_when_sent(self.connection, self._ended)

    def _ended(self) -> None:
        self.frontend.count(-1)
        self.frontend.requests.pop(self.stream, None)
