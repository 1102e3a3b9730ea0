"""The HTTP server towards callers: one task for each request."""

import asyncio
import time
import typing as t

import logbook
import tornado.httpserver
import tornado.httputil

from amaranthring import errors
from amaranthring.forwarding import records
from amaranthring.forwarding import replies
from amaranthring.routing import plan as plans

log = logbook.Logger(__name__)

Serve = t.Callable[[records.Incoming, replies.Reply], t.Awaitable[None]]

# Bounds of the server itself, above any that a plan may set: the plan's own
# are checked for each request and answered with their type.
HEADER_BYTES_MOST = 256 * 1024
BODY_BYTES_MOST = 64 * 1024 * 1024
# Idle connections are closed only after any plan's idle time, so that no
# request of a caller that keeps to it crosses the close.
IDLE_SECONDS = 120.0


class Front(tornado.httputil.HTTPServerConnectionDelegate):
    """Takes requests from callers and hands each to `serve`.

    Parameters
    ----------
    dialect : records.Dialect
        Reads the head of a request.
    serve : callable
        Answers one request.
    bounds : callable
        Returns the bounds in force.

    Attributes
    ----------
    running : int
        Requests that were read and have no final answer yet.
    closing : bool
        Whether callers are told that their connections close.
    """

    def __init__(
        self,
        dialect: records.Dialect,
        serve: Serve,
        bounds: t.Callable[[], plans.Bounds],
    ):
        self.dialect = dialect
        self.serve = serve
        self.bounds = bounds
        self.running = 0
        self.closing = False
        self.idle = asyncio.Event()
        self.idle.set()
        self.server: tornado.httpserver.HTTPServer | None = None

    def listen(self, sockets: list) -> None:
        """Serve on the listening `sockets`."""
        self.server = tornado.httpserver.HTTPServer(
            self,
            max_header_size=HEADER_BYTES_MOST,
            max_body_size=BODY_BYTES_MOST,
            idle_connection_timeout=IDLE_SECONDS,
        )
        self.server.add_sockets(sockets)

    def start_request(self, server_conn, request_conn):
        """Return what takes in one request."""
        del server_conn
        return _Request(self, request_conn)

    def count(self, step: int) -> None:
        """Count a request in or out."""
        self.running += step
        if self.running:
            self.idle.clear()
        else:
            self.idle.set()


class _Request(tornado.httputil.HTTPMessageDelegate):
    """One request while it is read, and then its task."""

    def __init__(self, front: Front, connection):
        self.front = front
        self.reply = replies.Reply(connection)
        self.incoming: records.Incoming | None = None
        self.fault: errors.AmaranthringError | None = None
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.task: asyncio.Task | None = None

    def headers_received(self, start_line, headers):
        """Read the head; a fault is answered when the body has come."""
        try:
            self._check_headers(headers)
            self.incoming = self.front.dialect.read_request(
                start_line, headers, time.monotonic()
            )
        except errors.AmaranthringError as error:
            self.fault = error

    def _check_headers(self, headers) -> None:
        most = self.front.bounds().header_bytes
        size = sum(len(n) + len(v) + 4 for n, v in headers.get_all())
        if size > most:
            raise errors.HeadersTooLargeError(
                "headers", given=size, expected=f"{most} bytes at most"
            )

    def data_received(self, chunk):
        """Keep the body, up to the bound."""
        self.body_bytes += len(chunk)
        most = self.front.bounds().body_bytes
        if self.body_bytes > most:
            self.body.clear()
            self.fault = self.fault or errors.TooLargeError(
                "body", given=self.body_bytes, expected=f"{most} bytes at most"
            )
        else:
            self.body.append(chunk)

    def finish(self):
        """Answer the request, which is whole now."""
        self.reply.closing = self.front.closing
        self.front.count(+1)
        self.task = asyncio.ensure_future(self._run())

    def on_connection_close(self):
        """Stop all work on the request: its caller has gone."""
        if self.task is not None:
            self.task.cancel()

    async def _run(self) -> None:
        try:
            if self.fault is not None:
                await self.reply.refuse(self.fault)
                return
            self.incoming.body = b"".join(self.body)
            self.body.clear()
            await self.front.serve(self.incoming, self.reply)
        except errors.CallerGoneError:
            self.reply.break_off()
        except asyncio.CancelledError:
            self.reply.break_off()
        except Exception:
            log.exception("request.failed")
            self.reply.break_off()
        finally:
            self.front.count(-1)
