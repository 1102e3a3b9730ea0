"""Minimal HTTP server that buffers whole requests and responses.

It serves health checks, metrics, announcements and operators' documents,
where tornado's web framework would double a process's start time and memory.
"""

import asyncio
import dataclasses
import http.client
import typing as t

import logbook
import tornado.httpserver
import tornado.httputil
import tornado.iostream

from amaranthring import errors
from amaranthring.core import connections
from amaranthring.core import drain as drains
from amaranthring.core import listeners
from amaranthring.core import metrics as metrics_module

log = logbook.Logger(__name__)

MAX_BODY_BYTES = 16 * 1024 * 1024
BODY_SECONDS = 20.0
IDLE_SECONDS = 60.0


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


class Server(tornado.httputil.HTTPServerConnectionDelegate):
    """Answers every request with the response of `handler`.

    Parameters
    ----------
    handler : callable
        Returns the response to a request, or raises an
        ``AmaranthringError`` that supplies the status of the response.
    """

    def __init__(self, handler: Handler):
        self.handler = handler
        self.drain = drains.Drain()
        self.listener: listeners.Listener | None = None
        self.server = tornado.httpserver.HTTPServer(
            self,
            max_body_size=MAX_BODY_BYTES,
            body_timeout=BODY_SECONDS,
            idle_connection_timeout=IDLE_SECONDS,
        )

    def listen(self, sockets: list) -> None:
        """Serve on the listening `sockets`."""
        self.server.add_sockets(sockets)
        self.listener = listeners.Listener(self.server, sockets)

    def start_request(self, server_conn, request_conn):
        """Return the delegate that reads one request."""
        del server_conn
        return _RequestReader(self.handler, request_conn, self.drain)

    async def close(self, seconds: float) -> None:
        """Stop listening; wait up to `seconds` for requests in flight.

        What has not ended by then is answered that its outcome is unknown,
        and all connections are closed.
        """
        await self.listener.close()
        await self.drain.wait_idle(seconds)
        await self.drain.end_requests()
        await self.listener.close_connections()


class _RequestReader(tornado.httputil.HTTPMessageDelegate):
    """Reads one request and writes its response."""

    def __init__(self, handler: Handler, connection, drain: drains.Drain):
        self.handler = handler
        self.connection = connection
        self.drain = drain
        self.request: Request | None = None
        self.chunks: list[bytes] = []
        self.task: asyncio.Task | None = None
        self.interruption: asyncio.Task | None = None
        self.answered = False

    def headers_received(self, start_line, headers):
        del headers
        path = start_line.path.partition("?")[0]
        self.request = Request(start_line.method, path)

    def data_received(self, chunk):
        self.chunks.append(chunk)

    def finish(self):
        self.request.body = b"".join(self.chunks)
        self.drain.request_started(self.interrupt)
        self.task = asyncio.ensure_future(self._respond())

    def on_connection_close(self):
        # The handler runs to its end: what it changes must not depend on
        # whether the client still waits for the response.
        pass

    def interrupt(self) -> None:
        """Answer the request at once, as the process is about to exit."""
        error = errors.CommitUnknownError(
            "this process has stopped before it had the answer",
            expected="a resend to another one",
        )
        self.interruption = asyncio.ensure_future(
            self._answer(_error_response(error))
        )

    async def _respond(self) -> None:
        await self._answer(await self._response())

    async def _answer(self, response: Response) -> None:
        if self.answered:
            return
        self.answered = True
        try:
            await self._write(response)
        finally:
            finished = self.drain.request_finished
            connections.call_when_sent(
                self.connection, lambda: finished(self.interrupt)
            )

    async def _response(self) -> Response:
        try:
            return await self.handler(self.request)
        except errors.AmaranthringError as error:
            return _error_response(error)
        except Exception:
            log.exception("call.failed path={}", self.request.path)
            return Response(500)

    async def _write(self, response: Response) -> None:
        headers = tornado.httputil.HTTPHeaders()
        headers["Content-Type"] = response.content_type
        headers["Content-Length"] = str(len(response.body))
        if response.retry_after is not None:
            headers["Retry-After"] = f"{response.retry_after:g}"
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


def status_line(status: int) -> tornado.httputil.ResponseStartLine:
    """Return the status line of a response with `status`."""
    reason = http.client.responses.get(status, "Unknown")
    return tornado.httputil.ResponseStartLine("HTTP/1.1", status, reason)


def serve(address: str, handler: Handler) -> Server:
    """Answer requests on `address` with `handler`."""
    server = Server(handler)
    server.listen(listeners.bind_sockets(address))
    return server


def metrics_handler(metrics: metrics_module.Metrics) -> Handler:
    """Return a handler that renders `metrics` as text."""

    async def handler(_request: Request) -> Response:
        text = "".join(f"{line}\n" for line in metrics.text_lines())
        return Response(body=text.encode(), content_type="text/plain")

    return handler
