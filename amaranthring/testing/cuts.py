"""A TCP proxy for tests that cuts or freezes a stream between two processes.

A cut loses what is sent, as a broken network does: the connections stay
open and no end is told. A freeze holds the bytes back and lets them go later,
as a process that stood still does.
"""

import asyncio

import tornado.iostream
import tornado.tcpclient
import tornado.tcpserver
import tornado.testing

READ_BYTES = 64 * 1024


class Cut(tornado.tcpserver.TCPServer):
    """Stands before one listener.

    Parameters
    ----------
    address : str
        ``host:port`` behind it.

    Attributes
    ----------
    address : str
        Where it listens itself.
    forward, backward : bool
        Whether bytes pass towards the listener, and back from it.
    refuse : bool
        Whether new connections are closed at once.
    dropped_bytes : int
        What the cuts lost.
    """

    def __init__(self, address: str):
        super().__init__()
        self.behind = address
        self.forward = True
        self.backward = True
        self.refuse = False
        self.dropped_bytes = 0
        self.streams: set[tornado.iostream.IOStream] = set()
        self._thawed = asyncio.Event()
        self._thawed.set()
        sock, port = tornado.testing.bind_unused_port()
        self.add_sockets([sock])
        self.address = f"127.0.0.1:{port}"

    def cut(self, forward: bool = True, backward: bool = True) -> None:
        """Lose what goes in the named directions from now on."""
        self.forward = not forward
        self.backward = not backward

    def heal(self) -> None:
        """Pass bytes again; connections that lost some are closed."""
        if not (self.forward and self.backward):
            self.close_streams()
        self.forward = True
        self.backward = True
        self.refuse = False
        self._thawed.set()

    def freeze(self) -> None:
        """Hold every byte back until :meth:`heal`."""
        self._thawed.clear()

    def close_streams(self) -> None:
        """Close every connection that passes now."""
        for stream in list(self.streams):
            stream.close()

    def stop_all(self) -> None:
        """Stop listening and close every connection."""
        self.stop()
        self.close_streams()

    async def handle_stream(self, stream, _address):
        """Pass one connection in both directions until it ends."""
        if self.refuse:
            stream.close()
            return
        host, port = self.behind.rsplit(":", 1)
        client = tornado.tcpclient.TCPClient()
        try:
            other = await client.connect(host, int(port))
        except OSError:
            stream.close()
            return
        both = {stream, other}
        self.streams |= both
        await asyncio.gather(
            self._pass(stream, other, lambda: self.forward),
            self._pass(other, stream, lambda: self.backward),
        )
        self.streams -= both

    async def _pass(self, source, sink, open_now) -> None:
        try:
            while True:
                data = await source.read_bytes(READ_BYTES, partial=True)
                await self._thawed.wait()
                if open_now():
                    await sink.write(data)
                else:
                    self.dropped_bytes += len(data)
        except tornado.iostream.StreamClosedError:
            source.close()
            sink.close()
