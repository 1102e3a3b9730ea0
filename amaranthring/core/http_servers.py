"""HTTP server whose connections the intake of the process counts."""

import tornado.httpserver
import tornado.httputil
import tornado.iostream

from amaranthring.core import bounded_streams
from amaranthring.core import intake as intakes

__all__ = ["MAX_BUFFER_BYTES", "BoundedServer"]

# What a parsed line of a head takes: its name, its value and their places.
HEAD_LINE_BYTES = 512
# Of a connection, beside the body: requests behind the one that is answered.
MAX_BUFFER_BYTES = 1024 * 1024


class BoundedServer(tornado.httpserver.HTTPServer):
    """HTTP server that counts what it takes in.

    Parameters
    ----------
    intake : intake.Intake
        Of the process.
    """

    def initialize(self, *args, intake: intakes.Intake, **kwargs):
        """Set up the server."""
        kwargs.setdefault("max_buffer_size", MAX_BUFFER_BYTES)
        super().initialize(*args, **kwargs)
        self.intake = intake

    def handle_stream(self, stream, address):
        """Serve a new connection, unless there are too many."""
        bounded = self.accept(stream)
        if bounded is not None:
            super().handle_stream(bounded, address)

    def accept(
        self, stream: tornado.iostream.IOStream
    ) -> bounded_streams.BoundedStream | None:
        """Return the new connection, or None if it is turned away."""
        bounded = bounded_streams.accept(stream, self.intake)
        if bounded is None:
            stream.close()
        return bounded

    def start_request(self, server_conn, request_conn):
        """Return the delegate that receives one request."""
        share = server_conn.stream.share
        share.begin(server_conn.stream._read_buffer_size)
        delegate = super().start_request(server_conn, request_conn)
        # Too much may have been read ahead already, and nothing more arrive.
        server_conn.stream.check_head()
        return _Counted(delegate, share)

    def on_close(self, server_conn):
        """Let go of what the closed connection was reading."""
        super().on_close(server_conn)
        server_conn.stream.forget_errors()


class _Counted(tornado.httputil.HTTPMessageDelegate):
    """Passes a request on, and tells its share how far it is."""

    def __init__(self, delegate, share: intakes.Share):
        self.delegate = delegate
        self.share = share
        self.has_begun = False

    def headers_received(self, start_line, headers):
        lines = sum(1 for _ in headers.get_all())
        if not self.share.take(lines * HEAD_LINE_BYTES):
            return None
        self.has_begun = True
        self.share.drop = self.drop
        return self.delegate.headers_received(start_line, headers)

    def data_received(self, chunk):
        return self.delegate.data_received(chunk)

    def finish(self):
        if not self.has_begun:
            return None
        self.share.drop = intakes.do_nothing
        self.share.hold()
        return self.delegate.finish()

    def drop(self) -> None:
        """Let go of the body, whichever delegate collects it."""
        holder = self.delegate
        while holder is not None:
            for collector in (holder, getattr(holder, "handler", None)):
                chunks = getattr(collector, "chunks", None)
                if chunks:
                    chunks.clear()
            holder = getattr(holder, "delegate", None)

    def on_connection_close(self):
        return self.delegate.on_connection_close()
