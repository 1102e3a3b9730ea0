"""HTTP towards callers: routes, and a server with bounded headers."""

import asyncio
import json
import socket
import typing as t

import tornado.httpserver
import tornado.httputil
import tornado.web

from amaranthring import errors
from amaranthring.callers import codec
from amaranthring.callers import execution
from amaranthring.callers import handlers
from amaranthring.core import connections
from amaranthring.settings import models as settings_models

Routes = list[tuple[str, type, dict[str, t.Any]]]


class _Watched(tornado.httputil.HTTPMessageDelegate):
    """Passes a request on, and watches that its headers come in time."""

    def __init__(self, delegate, connection, seconds: float, on_headers):
        self.delegate = delegate
        self.connection = connection
        self.seconds = seconds
        self.on_headers = on_headers
        self.begun = False
        self._arm()

    def _arm(self) -> None:
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(self.seconds, self._look)

    def _look(self) -> None:
        stream = self.connection.stream
        if stream is None or stream.closed():
            return
        # tornado tells of no first byte; what it buffered while waiting for
        # the end of the headers is the only sign that they were begun.
        waiting = stream._read_buffer_size > 0
        if waiting and self.begun:
            stream.write(_late_answer(self.seconds))
            stream.close()
            return
        self.begun = waiting
        self._arm()

    def headers_received(self, start_line, headers):
        """End the watch."""
        self.timer.cancel()
        self.on_headers()
        return self.delegate.headers_received(start_line, headers)

    def data_received(self, chunk):
        """Pass on."""
        return self.delegate.data_received(chunk)

    def finish(self):
        """Pass on."""
        return self.delegate.finish()

    def on_connection_close(self):
        """Pass on."""
        self.timer.cancel()
        return self.delegate.on_connection_close()


def _late_answer(seconds: float) -> bytes:
    error = errors.HeadersTimeoutError(
        "the headers came too slowly",
        given=f"no end after {seconds:g} s",
        expected="whole headers",
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


class Server(tornado.httpserver.HTTPServer):
    """An HTTP server whose headers must come in time.

    tornado has one timeout for an idle connection and for slow headers. A
    connection may idle for a minute between requests, so a caller that
    sends a byte now and then would hold it as long. Here headers that were
    begun and not ended within ``header_seconds`` to twice that are refused.
    """

    header_seconds = 5.0

    def initialize(self, *args, **kwargs):
        """Keep account of the connections that wait for a request."""
        super().initialize(*args, **kwargs)
        self.waiting = connections.IdleConnections()

    def start_request(self, server_conn, request_conn):
        """Watch the headers of the request."""
        self.waiting.add(server_conn)
        delegate = super().start_request(server_conn, request_conn)
        return _Watched(
            delegate,
            request_conn,
            self.header_seconds,
            lambda: self.waiting.discard(server_conn),
        )

    def on_close(self, server_conn):
        """Forget a connection that has closed."""
        self.waiting.discard(server_conn)
        super().on_close(server_conn)


def make_app(
    needs: execution.Dependencies,
    settings: settings_models.CallersSection,
    others: Routes | None = None,
) -> tornado.web.Application:
    """Return the HTTP application towards callers.

    Parameters
    ----------
    others : list
        Further routes on the same listener, such as the health check.
    """
    given = {
        "needs": needs,
        "settings": settings,
        "accounts": codec.Accounts(),
    }
    service = r"/services/([A-Za-z0-9._-]{1,64})/?(.*)"
    routes = [
        *(others or []),
        (r"/v1/chat/completions", handlers.ChatHandler, given),
        (r"/v1/models", handlers.ModelsHandler, given),
        (service, handlers.ServiceHandler, given),
    ]
    return tornado.web.Application(
        routes,
        default_handler_class=handlers.UnknownHandler,
        default_handler_args=given,
        log_function=lambda _: None,
    )


def listen(
    app: tornado.web.Application,
    sockets: list[socket.socket],
    settings: settings_models.CallersSection,
    ssl_options=None,
) -> Server:
    """Serve `app` on `sockets` within the bounds of ``[callers]``."""
    # The handlers check the bounds themselves, with typed answers. Above
    # twice the bound of the headers, tornado closes with no answer.
    server = Server(
        app,
        ssl_options=ssl_options,
        idle_connection_timeout=settings.idle_seconds,
        max_header_size=2 * settings.header_bytes_most,
        max_body_size=settings.body_bytes_most + handlers.MAX_DISCARDED_BYTES,
        max_buffer_size=4 * settings.header_bytes_most + 128 * 1024,
    )
    server.header_seconds = settings.header_seconds
    server.add_sockets(sockets)
    return server
