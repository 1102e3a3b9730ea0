"""Minimal HTTP server that buffers whole requests and responses.

It serves health checks, metrics, announcements and operators' documents,
where tornado's web framework would double a process's start time and memory.
"""

import asyncio
import dataclasses
import http.client
import time
import typing as t

import logbook
import tornado.httputil
import tornado.iostream

from amaranthring import errors
from amaranthring.core import connections
from amaranthring.core import drain as drains
from amaranthring.core import http_servers
from amaranthring.core import intake as intakes
from amaranthring.core import listeners
from amaranthring.core import logs
from amaranthring.core import metrics as metrics_module

log = logbook.Logger(__name__)

MAX_BODY_BYTES = 16 * 1024 * 1024
# Where no body is expected.
NO_BODY_BYTES = 16 * 1024
BODY_SECONDS = 20.0
IDLE_SECONDS = 60.0
# Time to send errors to the calls that a stop cuts off, on a busy processor.
CUT_OFF_SECONDS = 0.2
# Another process may be asked at once.
RETRY_SECONDS = 0.0


@dataclasses.dataclass
class Request:
    """One request with its whole body."""

    method: str
    path: str
    body: bytes = b""


@dataclasses.dataclass
class Response:
    """Response to one request."""

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    retry_after: float | None = None


Handler = t.Callable[[Request], t.Awaitable[Response]]


class _HTTPServer(http_servers.BoundedServer):
    """HTTP server that tells its delegate of closed connections."""

    def on_close(self, server_conn):
        super().on_close(server_conn)
        self.request_callback.on_close(server_conn)


class Server(tornado.httputil.HTTPServerConnectionDelegate):
    """Answers every request with the response of `handler`.

    Parameters
    ----------
    handler : callable
        Returns the response to a request, or raises an
        ``AmaranthringError`` that supplies the status of the response.
    intake : intake.Intake, optional
        Of the process.
    body_bytes : int
        Greatest size of a body.

    Attributes
    ----------
    drain : drain.Drain
        Counts the calls; tells whether this server is closing.
    calls : set of _Call
        Calls whose head has arrived and whose response has not been sent.
    idle : connections.IdleConnections
        Connections without a call.
    """

    def __init__(
        self,
        handler: Handler,
        intake: intakes.Intake | None = None,
        body_bytes: int = MAX_BODY_BYTES,
    ):
        self.handler = handler
        self.drain = drains.Drain()
        self.calls: set[_Call] = set()
        self.idle = connections.IdleConnections()
        self.listener: listeners.Listener | None = None
        self.server = _HTTPServer(
            self,
            intake=intake or intakes.Intake(),
            max_body_size=body_bytes,
            body_timeout=BODY_SECONDS,
            idle_connection_timeout=IDLE_SECONDS,
        )

    def listen(self, sockets: list) -> None:
        """Serve on the listening `sockets`."""
        self.server.add_sockets(sockets)
        self.listener = listeners.Listener(self.server, sockets)

    def start_request(self, server_conn, request_conn):
        """Return the delegate that reads one request."""
        self.idle.add(server_conn)
        return _Call(self, server_conn, request_conn)

    def on_close(self, server_conn):
        """Forget a closed connection."""
        self.idle.discard(server_conn)

    async def close(self, seconds: float) -> None:
        """Stop listening; leave no call unanswered and no connection open.

        Calls are answered, and callers told to close their connections, for
        up to `seconds`. A call that has no response by then gets an error.
        """
        deadline = time.monotonic() + seconds
        self.drain.leaving = True
        await self.listener.close()
        await self.idle.drain(deadline, lambda: self.drain.in_flight)
        if self.calls or self.idle:
            await self._cut_off()

    async def _cut_off(self) -> None:
        """Answer what is running or still arrives; close every connection."""
        logs.event(
            log,
            "calls.cut-off",
            running=self.drain.in_flight,
            idle=len(self.idle),
        )
        self.drain.close()
        for call in list(self.calls):
            call.cut_off()
        await asyncio.sleep(CUT_OFF_SECONDS)
        for server_conn in [*self.idle, *(c.server_conn for c in self.calls)]:
            server_conn.stream.close()


class _Call(tornado.httputil.HTTPMessageDelegate):
    """Reads one request and writes its response.

    Attributes
    ----------
    handling : asyncio.Task, optional
        Runs the handler.
    task : asyncio.Task, optional
        Writes the response.
    """

    def __init__(self, server: Server, server_conn, connection):
        self.server = server
        self.server_conn = server_conn
        self.connection = connection
        self.request: Request | None = None
        self.chunks: list[bytes] = []
        self.handling: asyncio.Task | None = None
        self.task: asyncio.Task | None = None

    def headers_received(self, start_line, headers):
        del headers
        path = start_line.path.partition("?")[0]
        self.request = Request(start_line.method, path)
        self.server.idle.discard(self.server_conn)
        self.server.calls.add(self)
        self.server.drain.request_started(self.cut_off)

    def data_received(self, chunk):
        self.chunks.append(chunk)

    def finish(self):
        if self.server_conn.stream.closed():
            # Read in the same step of the event loop in which the connection
            # was closed as idle: the caller sends the request again.
            self._end()
            return
        self.request.body = b"".join(self.chunks)
        self.chunks.clear()
        if self.server.drain.closing:
            self.cut_off()
            return
        self.task = asyncio.ensure_future(self._respond(self._response()))

    def on_connection_close(self):
        # Called before the request is whole only. A handler runs to its end:
        # what it changes must not depend on whether the client still waits
        # for the response.
        self.chunks.clear()
        if self.task is None:
            self._end()

    def cut_off(self) -> None:
        """Answer with an error unless there is a response."""
        if self.task is None:
            self.task = asyncio.ensure_future(self._respond(_refuse()))
        elif self.handling is not None:
            self.handling.cancel()

    def _end(self) -> None:
        if self in self.server.calls:
            self.server.calls.remove(self)
            self.server.drain.request_finished(self.cut_off)

    async def _respond(self, response: t.Awaitable[Response]) -> None:
        try:
            await self._write(await response)
        finally:
            connections.call_when_sent(self.connection, self._end)

    async def _response(self) -> Response:
        try:
            self.handling = asyncio.ensure_future(
                self.server.handler(self.request)
            )
            return await self.handling
        except errors.AmaranthringError as error:
            return _error_response(error)
        except asyncio.CancelledError:
            if not self.server.drain.closing:
                raise
            return _error_response(
                errors.CommitUnknownError(
                    "this process stops before the call has ended",
                    retry_after=RETRY_SECONDS,
                )
            )
        except Exception:
            log.exception("call.failed path={}", self.request.path)
            return Response(500)

    async def _write(self, response: Response) -> None:
        headers = tornado.httputil.HTTPHeaders()
        headers["Content-Type"] = response.content_type
        headers["Content-Length"] = str(len(response.body))
        if response.retry_after is not None:
            headers["Retry-After"] = f"{response.retry_after:g}"
        if self.server.drain.leaving:
            headers["Connection"] = "close"
        line = status_line(response.status)
        try:
            await self.connection.write_headers(line, headers, response.body)
            self.connection.finish()
        except tornado.iostream.StreamClosedError:
            # The client has disconnected.
            return


def _error_response(error: errors.AmaranthringError) -> Response:
    return Response(
        error.status, str(error).encode(), "text/plain", error.retry_after
    )


async def _refuse() -> Response:
    """Return the response to a call that has not begun."""
    return _error_response(
        errors.ShuttingDownError(
            "this process is being stopped", retry_after=RETRY_SECONDS
        )
    )


def status_line(status: int) -> tornado.httputil.ResponseStartLine:
    """Return the status line of a response with `status`."""
    reason = http.client.responses.get(status, "Unknown")
    return tornado.httputil.ResponseStartLine("HTTP/1.1", status, reason)


def serve(
    address: str,
    handler: Handler,
    intake: intakes.Intake | None = None,
    body_bytes: int = MAX_BODY_BYTES,
) -> Server:
    """Answer requests on `address` with `handler`."""
    server = Server(handler, intake, body_bytes)
    server.listen(listeners.bind_sockets(address))
    return server


def metrics_handler(metrics: metrics_module.Metrics) -> Handler:
    """Return a handler that renders `metrics` as text."""

    async def handler(_request: Request) -> Response:
        text = "".join(f"{line}\n" for line in metrics.text_lines())
        return Response(body=text.encode(), content_type="text/plain")

    return handler
