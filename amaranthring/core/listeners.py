"""Listening sockets, for streams and for HTTP, and their orderly end."""

import array
import asyncio
import dataclasses
import socket
import struct

import logbook
import tornado.netutil
import tornado.tcpserver

from amaranthring import errors
from amaranthring.core import logs

log = logbook.Logger(__name__)

# A connection whose first packet came before new ones are ignored is there
# after one more way to the peer and back, also across regions.
SETTLE_SECONDS = 0.1

# ``SO_ATTACH_FILTER`` of Linux, which Python has no name for.
SO_ATTACH_FILTER = 26
# A filter in the kernel's packet filter language (code, jump if true, jump
# if false, operand) on a TCP header: a packet that opens a connection has
# SYN and not ACK in its flags; it is dropped and all others pass.
TCP_FLAGS_OFFSET = 13
SYN, ACK = 0x02, 0x10
DROP_SYN_FILTER = (
    (0x30, 0, 0, TCP_FLAGS_OFFSET),  # load the byte with the flags
    (0x54, 0, 0, SYN | ACK),  # keep these two
    (0x15, 0, 1, SYN),  # if it is SYN alone:
    (0x06, 0, 0, 0),  # drop the packet
    (0x06, 0, 0, 0xFFFFFFFF),  # else take all of it
)


@dataclasses.dataclass
class Listener:
    """A server and the sockets on which it takes connections.

    Attributes
    ----------
    server : tornado.tcpserver.TCPServer
        Already serving on `sockets`.
    sockets : list of socket.socket
        Listening; closed with the server.
    """

    server: tornado.tcpserver.TCPServer
    sockets: list[socket.socket]

    async def close(self) -> None:
        """Stop listening; serve every connection that was opened before.

        The kernel opens connections on its own. Those that it has opened and
        the process has not taken are reset when the listening socket closes:
        their callers may have sent a whole request, get no answer, and can't
        tell whether it ran. So connections are kept from being opened first,
        then the loop takes what is open, then the socket closes. A caller
        who comes in between is refused as soon as it tries again, with
        nothing sent.
        """
        for sock in self.sockets:
            _ignore_opening(sock)
        await asyncio.sleep(SETTLE_SECONDS)
        self.server.stop()


def _ignore_opening(sock: socket.socket) -> None:
    """Let the kernel open no more connections on `sock`."""
    codes = b"".join(struct.pack("HBBI", *code) for code in DROP_SYN_FILTER)
    held = array.array("B", codes)
    address, _ = held.buffer_info()
    program = struct.pack("HP", len(DROP_SYN_FILTER), address)
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError as error:
        # Connections opened within the last step of the loop may be lost.
        logs.event(log, "listener.unfiltered", fault=error.strerror)


def bind_sockets(address: str) -> list[socket.socket]:
    """Return listening sockets on ``host:port``.

    Raises
    ------
    errors.ListenError
        If the address is taken or not of this VM.
    """
    host, port = address.rsplit(":", 1)
    try:
        return tornado.netutil.bind_sockets(int(port), host.strip("[]"))
    except OSError as error:
        raise errors.ListenError(
            f"cannot listen on {address}",
            given=error.strerror,
            expected="a free address of this VM",
        ) from error


def serve(server: tornado.tcpserver.TCPServer, address: str) -> Listener:
    """Let `server` take connections on ``host:port``.

    Raises
    ------
    errors.ListenError
        As in :func:`listening`.
    """
    sockets = bind_sockets(address)
    server.add_sockets(sockets)
    return Listener(server, sockets)
