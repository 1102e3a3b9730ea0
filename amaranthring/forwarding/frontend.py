"""The HTTP server towards callers: one task for each request."""

import asyncio
import time
import typing as t

import logbook
import tornado.httpserver
import tornado.httputil

from amaranthring import errors
from amaranthring.core import connections
from amaranthring.core import listeners
from amaranthring.forwarding import records
from amaranthring.forwarding import responses
from amaranthring.routing import plan as plans

log = logbook.Logger(__name__)

Serve = t.Callable[
    [records.Incoming, responses.ResponseWriter], t.Awaitable[None]
]

# Bounds of the server itself, above any that a plan may set: the plan's own
# are checked for each request and answered with their type.
HEADER_BYTES_MOST = 256 * 1024
BODY_BYTES_MOST = 64 * 1024 * 1024
# Idle connections are closed only after any plan's idle time, so that no
# request of a caller that keeps to it crosses the close.
IDLE_SECONDS = 120.0


class Frontend(tornado.httputil.HTTPServerConnectionDelegate):
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
    ends_at : float
        Monotonic seconds at which the process ends; a request that may take
        longer is refused.
    waiting : connections.Waiting
        Connections on which no request has come yet, or none since the
        last.
    listener : listeners.Listener, optional
        On which callers come, once it listens.
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
        self.in_flight = 0
        self.closing = False
        self.shutdown_at = float("inf")
        self.idle = connections.Waiting()
        self.server: tornado.httpserver.HTTPServer | None = None
        self.listener: listeners.Listener | None = None

    def listen(self, sockets: list) -> None:
        """Serve on the listening `sockets`."""
        self.server = tornado.httpserver.HTTPServer(
            self,
            max_header_size=HEADER_BYTES_MOST,
            max_body_size=BODY_BYTES_MOST,
            idle_connection_timeout=IDLE_SECONDS,
        )
        self.server.add_sockets(sockets)
        self.listener = listeners.Listener(self.server, sockets)

    def start_request(self, server_conn, request_conn):
        """Return what takes in one request."""
        self.idle.add(server_conn)
        return _Request(self, server_conn, request_conn)

    def on_close(self, server_conn):
        """Forget a connection that has closed."""
        self.idle.discard(server_conn)

    async def drain(self, until: float) -> None:
        """Close connections as they get idle, until none has a request.

        Parameters
        ----------
        until : float
            Monotonic seconds after which what still runs is left.
        """
        await self.idle.end(until, lambda: self.in_flight)

    def check_deadline(self, incoming: records.Incoming) -> None:
        """Check that a request can end before this process does.

        Raises
        ------
        errors.ShuttingDownError
            If it may take longer.
        """
        if incoming.arrived + incoming.timeout > self.shutdown_at:
            raise errors.ShuttingDownError(
                "this router is being stopped", retry_after=0.0
            )

    def count(self, step: int) -> None:
        """Count a request in or out."""
        self.in_flight += step


class _Request(tornado.httputil.HTTPMessageDelegate):
    """One request while it is read, and then its task."""

    def __init__(self, front: Frontend, server_conn, connection):
        self.front = front
        self.server_conn = server_conn
        self.connection = connection
        self.reply = responses.ResponseWriter(
            connection, lambda: front.closing
        )
        self.incoming: records.Incoming | None = None
        self.fault: errors.AmaranthringError | None = None
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.task: asyncio.Task | None = None

    def headers_received(self, start_line, headers):
        """Read the head; a fault is answered when the body has come."""
        self.front.idle.discard(self.server_conn)
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
        if self.server_conn.stream.closed():
            # Its bytes were read in the very step in which the connection
            # was closed as idle. The caller sees a close without an answer
            # and sends it again, so it must not run here as well.
            return
        self.front.count(+1)
        # While an answer is awaited tornado tells of a close here only.
        self.connection.set_close_callback(self.on_connection_close)
        self.task = asyncio.ensure_future(self._run())

    def on_connection_close(self):
        """Stop all work on the request: its caller has gone."""
        if self.task is not None:
            self.task.cancel()

    async def _refuse(self, error: errors.AmaranthringError) -> None:
        try:
            await self.reply.refuse(error)
        except errors.CallerGoneError:
            self.reply.break_off()

    async def _run(self) -> None:
        try:
            if self.fault is not None:
                await self._refuse(self.fault)
                return
            self.incoming.body = b"".join(self.body)
            self.body.clear()
            self.front.check_deadline(self.incoming)
            await self.front.serve(self.incoming, self.reply)
        except errors.ShuttingDownError as error:
            await self._refuse(error)
        except errors.CallerGoneError:
            self.reply.break_off()
        except asyncio.CancelledError:
            self.reply.break_off()
        except Exception:
            log.exception("request.failed")
            self.reply.break_off()
        finally:
            connections.when_sent(
                self.connection, lambda: self.front.count(-1)
            )
