"""HTTP server for callers: routes, and a time limit for headers."""

import asyncio
import json
import socket
import typing as t

import tornado.httputil
import tornado.web

from amaranthring import errors
from amaranthring.callers import codec
from amaranthring.callers import execution
from amaranthring.callers import handlers
from amaranthring.core import connections
from amaranthring.core import http_servers
from amaranthring.core import intake as intakes
from amaranthring.settings import models as settings_models

Routes = list[tuple[str, type, dict[str, t.Any]]]


class _HeaderTimeout(tornado.httputil.HTTPMessageDelegate):
    """Forwards a request and limits the time for its headers."""

    def __init__(self, delegate, connection, seconds: float, on_headers):
        self.delegate = delegate
        self.connection = connection
        self.seconds = seconds
        self.on_headers = on_headers
        self.headers_begun = False
        self._start_timer()

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(self.seconds, self._check)

    def _check(self) -> None:
        stream = self.connection.stream
        if stream is None or stream.closed():
            return
        # tornado does not report the first byte; only buffered bytes show
        # that the headers have begun.
        has_input = stream._read_buffer_size > 0
        if has_input and self.headers_begun:
            stream.write(_timeout_response(self.seconds))
            stream.close()
            return
        self.headers_begun = has_input
        self._start_timer()

    def headers_received(self, start_line, headers):
        """Stop the timer and forward the headers."""
        self.timer.cancel()
        self.on_headers()
        return self.delegate.headers_received(start_line, headers)

    def data_received(self, chunk):
        """Forward a chunk of the body."""
        return self.delegate.data_received(chunk)

    def finish(self):
        """Forward the end of the request."""
        return self.delegate.finish()

    def on_connection_close(self):
        """Stop the timer and forward the close."""
        self.timer.cancel()
        return self.delegate.on_connection_close()


def _timeout_response(seconds: float) -> bytes:
    error = errors.HeadersTimeoutError(
        "the headers arrived too slowly",
        given=f"incomplete after {seconds:g} s",
        expected="complete headers",
    )
    record = codec.error_record(error, error.outcome, "")
    body = json.dumps(record)
    head = (
        f"HTTP/1.1 {error.status} Request Timeout\r\n"
        "Content-Type: application/json\r\nConnection: close\r\n"
        f"{codec.OUTCOME_HEADER}: {error.outcome}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return (head + body).encode()


class Server(http_servers.BoundedServer):
    """An HTTP server that limits the time for headers.

    tornado has one timeout for idle connections and for slow headers. As a
    connection may stay idle for a minute between requests, a caller that
    sends a byte now and then could hold one that long. Here headers that
    are incomplete after one to two times ``header_seconds`` are rejected.
    """

    header_seconds = 5.0

    def initialize(self, *args, **kwargs):
        """Set up the registry of idle connections."""
        super().initialize(*args, **kwargs)
        self.waiting = connections.IdleConnections()

    def start_request(self, server_conn, request_conn):
        """Limit the time for the headers of the request."""
        self.waiting.add(server_conn)
        delegate = super().start_request(server_conn, request_conn)
        return _HeaderTimeout(
            delegate,
            request_conn,
            self.header_seconds,
            lambda: self.waiting.discard(server_conn),
        )

    def on_close(self, server_conn):
        """Remove a closed connection."""
        self.waiting.discard(server_conn)
        super().on_close(server_conn)


def make_app(
    deps: execution.Dependencies,
    settings: settings_models.CallersSection,
    extra_routes: Routes | None = None,
) -> tornado.web.Application:
    """Return the HTTP application for callers.

    Parameters
    ----------
    extra_routes : list
        Further routes on the same listener, such as the health check.
    """
    handler_args = {
        "needs": deps,
        "settings": settings,
        "accounts": codec.Accounts(),
    }
    service = r"/services/([A-Za-z0-9._-]{1,64})/?(.*)"
    routes = [
        *(extra_routes or []),
        (r"/v1/chat/completions", handlers.ChatHandler, handler_args),
        (r"/v1/models", handlers.ModelsHandler, handler_args),
        (service, handlers.ServiceHandler, handler_args),
    ]
    return tornado.web.Application(
        routes,
        default_handler_class=handlers.UnknownHandler,
        default_handler_args=handler_args,
        log_function=lambda _: None,
    )


def listen(
    app: tornado.web.Application,
    sockets: list[socket.socket],
    settings: settings_models.CallersSection,
    ssl_options=None,
    intake: intakes.Intake | None = None,
) -> Server:
    """Serve `app` on `sockets` within the limits of ``[callers]``."""
    # The handlers check the limits and send typed errors. tornado's limits are
    # higher, since it closes the connection without a response.
    server = Server(
        app,
        intake=intake or intakes.Intake(),
        ssl_options=ssl_options,
        idle_connection_timeout=settings.idle_seconds,
        max_header_size=2 * settings.header_bytes_most,
        max_body_size=settings.body_bytes_most + handlers.MAX_DISCARDED_BYTES,
        max_buffer_size=4 * settings.header_bytes_most + 128 * 1024,
    )
    server.header_seconds = settings.header_seconds
    server.add_sockets(sockets)
    return server
