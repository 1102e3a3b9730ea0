"""A small HTTP server for calls that are read whole and answered at once.

For health checks, figures, announcements and operators' documents, where
tornado's web framework would double a process's start time and memory.
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
    """One call, read whole."""

    method: str
    path: str
    body: bytes = b""


@dataclasses.dataclass
class Response:
    """The answer to one call."""

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    retry_after: float | None = None


Handler = t.Callable[[Request], t.Awaitable[Response]]


class Server(tornado.httputil.HTTPServerConnectionDelegate):
    """Answers every call with what `answer` returns.

    Parameters
    ----------
    answer : callable
        Returns the result of a call, or raises an ``AmaranthringError``,
        whose status is then the answer's.
    """

    def __init__(self, answer: Handler):
        self.handler = answer
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
        """Return what takes in one call."""
        del server_conn
        return _Reading(self.handler, request_conn, self.drain)

    async def close(self, seconds: float) -> None:
        """Take no more calls; end those in progress within `seconds`."""
        await self.listener.close()
        await self.drain.wait_idle(seconds)


class _Reading(tornado.httputil.HTTPMessageDelegate):
    """One call while it is read and answered."""

    def __init__(self, answer: Handler, connection, drain: drains.Drain):
        self.answer = answer
        self.connection = connection
        self.drain = drain
        self.call: Request | None = None
        self.parts: list[bytes] = []
        self.task: asyncio.Task | None = None

    def headers_received(self, start_line, headers):
        del headers
        path = start_line.path.partition("?")[0]
        self.call = Request(start_line.method, path)

    def data_received(self, chunk):
        self.parts.append(chunk)

    def finish(self):
        self.call.body = b"".join(self.parts)
        self.drain.request_started()
        self.task = asyncio.ensure_future(self._run())

    def on_connection_close(self):
        # The call goes on: what it changes must not depend on whether the
        # other end waits for the answer.
        pass

    async def _run(self) -> None:
        try:
            await self._write(await self._result())
        finally:
            connections.call_when_sent(
                self.connection, self.drain.request_finished
            )

    async def _result(self) -> Response:
        try:
            return await self.answer(self.call)
        except errors.AmaranthringError as error:
            return Response(
                error.status,
                str(error).encode(),
                "text/plain",
                error.retry_after,
            )
        except Exception:
            log.exception("call.failed path={}", self.call.path)
            return Response(500)

    async def _write(self, result: Response) -> None:
        headers = tornado.httputil.HTTPHeaders()
        headers["Content-Type"] = result.content_type
        headers["Content-Length"] = str(len(result.body))
        if result.retry_after is not None:
            headers["Retry-After"] = f"{result.retry_after:g}"
        line = status_line(result.status)
        try:
            await self.connection.write_headers(line, headers, result.body)
            self.connection.finish()
        except tornado.iostream.StreamClosedError:
            # Nobody waits for the answer any more.
            return


def status_line(status: int) -> tornado.httputil.ResponseStartLine:
    """Return the first line of an answer with `status`."""
    reason = http.client.responses.get(status, "Unknown")
    return tornado.httputil.ResponseStartLine("HTTP/1.1", status, reason)


def serve(address: str, answer: Handler) -> Server:
    """Serve small calls on `address`."""
    server = Server(answer)
    server.listen(listeners.bind_sockets(address))
    return server


def metrics_handler(metrics: metrics_module.Metrics) -> Handler:
    """Return the function that shows counters and histograms as text."""

    async def answer(_call: Request) -> Response:
        text = "".join(f"{line}\n" for line in metrics.text_lines())
        return Response(body=text.encode(), content_type="text/plain")

    return answer
