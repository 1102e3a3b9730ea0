"""Listening sockets for streams and HTTP, and their graceful shutdown."""

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

# Covers one round trip, also across regions, so that TCP handshakes complete
# whose SYN arrived before the filter was attached.
SETTLE_SECONDS = 0.1
# What the kernel holds unread for each connection, with its own structures;
# it would let one that is not read grow to some megabytes.
RECEIVE_BUFFER_BYTES = 128 * 1024
# Time for the tasks of closed connections to end.
CLOSE_SECONDS = 0.5

# Socket option of Linux that the socket module does not define.
SO_ATTACH_FILTER = 26
# Classic BPF program on the TCP header: (code, jump if true, jump if false,
# operand). It drops packets with SYN but not ACK, which open connections,
# and passes all others.
TCP_FLAGS_OFFSET = 13
SYN, ACK = 0x02, 0x10
DROP_SYN_FILTER = (
    (0x30, 0, 0, TCP_FLAGS_OFFSET),  # load the flags byte
    (0x54, 0, 0, SYN | ACK),  # mask SYN and ACK
    (0x15, 0, 1, SYN),  # if only SYN is set:
    (0x06, 0, 0, 0),  # drop the packet
    (0x06, 0, 0, 0xFFFFFFFF),  # else pass the whole packet
)


@dataclasses.dataclass
class Listener:
    """A server and the sockets on which it accepts connections.

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
        """Stop listening without resetting connections already established.

        The kernel establishes connections before the process accepts them,
        and resets those still in the backlog when the listening socket
        closes; a caller could not tell whether its request ran. So a filter
        first drops new SYN packets, then the event loop accepts the backlog,
        then the sockets close. Callers that connect in between retransmit
        their SYN and are refused with nothing sent.
        """
        for sock in self.sockets:
            _drop_new_connections(sock)
        await asyncio.sleep(SETTLE_SECONDS)
        self.server.stop()

    async def close_connections(self) -> None:
        """Close all connections of an HTTP server.

        A request that is sent on one that is left to the exit of the process
        gets neither an answer nor a close until the process has gone.
        """
        # All at once: tornado's own method awaits the end of each in turn.
        closing = [
            asyncio.ensure_future(connection.close())
            for connection in list(self.server._connections)
        ]
        if not closing:
            return
        _, left = await asyncio.wait(closing, timeout=CLOSE_SECONDS)
        if left:
            logs.event(log, "connections.left-open", connections=len(left))


def _drop_new_connections(sock: socket.socket) -> None:
    """Make the kernel drop packets that open connections to `sock`."""
    instructions = b"".join(
        struct.pack("HBBI", *instruction) for instruction in DROP_SYN_FILTER
    )
    buffer = array.array("B", instructions)
    address, _ = buffer.buffer_info()
    program = struct.pack("HP", len(DROP_SYN_FILTER), address)
    try:
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    except OSError as error:
        # Without the filter, connections in the backlog may be reset.
        logs.event(log, "listener.unfiltered", fault=error.strerror)


def bind_sockets(address: str) -> list[socket.socket]:
    """Return sockets that listen on ``host:port``.

    Raises
    ------
    errors.ListenError
        If the address is in use or not an address of this VM.
    """
    host, port = address.rsplit(":", 1)
    try:
        sockets = tornado.netutil.bind_sockets(int(port), host.strip("[]"))
        for sock in sockets:
            # Linux doubles the value; accepted connections inherit it.
            sock.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_RCVBUF,
                RECEIVE_BUFFER_BYTES // 2,
            )
        return sockets
    except OSError as error:
        raise errors.ListenError(
            f"cannot listen on {address}",
            given=error.strerror,
            expected="a free address of this VM",
        ) from error


def serve(server: tornado.tcpserver.TCPServer, address: str) -> Listener:
    """Make `server` accept connections on ``host:port``.

    Raises
    ------
    errors.ListenError
        As in :func:`bind_sockets`.
    """
    sockets = bind_sockets(address)
    server.add_sockets(sockets)
    return Listener(server, sockets)
