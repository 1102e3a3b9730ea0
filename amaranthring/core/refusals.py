"""Refusals of requests that are written to a connection directly.

They cost a few system calls, so that a process that has too much to do can
still send them.
"""

import asyncio
import http
import json
import socket

import logbook

from amaranthring import errors
from amaranthring.core import logs

__all__ = ["Lingering", "encode"]

log = logbook.Logger(__name__)

# How long, and how much, is read and thrown away after a refusal: closing a
# connection with unread bytes resets it, and the refusal may be lost.
LINGER_SECONDS = 2.0
LINGER_BYTES = 16 * 1024 * 1024
# Connections that linger at the same time; the oldest is closed for the next.
MAX_LINGERING = 64
# Read at once of what is thrown away.
SCRATCH_BYTES = 64 * 1024


def encode(
    error: errors.AmaranthringError, is_for_head: bool = False
) -> bytes:
    """Return the response with `error`, after which the connection closes."""
    record = {"code": error.code, "detail": error.detail}
    body = json.dumps({"error": record})
    status = http.HTTPStatus(error.status)
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        "Content-Type: application/json",
        "Connection: close",
        f"Content-Length: {len(body)}",
    ]
    if error.retry_after is not None:
        lines.append(f"Retry-After: {error.retry_after:g}")
    head = "\r\n".join([*lines, "", ""])
    return (head if is_for_head else head + body).encode()


class Lingering:
    """Connections that are closed once their clients have read a refusal.

    Attributes
    ----------
    open : dict
        Socket of each to the timer that closes it, the oldest first.
    """

    def __init__(self):
        self.open: dict[socket.socket, asyncio.TimerHandle] = {}
        self.scratch = bytearray(SCRATCH_BYTES)

    def refuse(self, sock: socket.socket, response: bytes) -> None:
        """Send `response`, and close the connection once that is read.

        Parameters
        ----------
        sock : socket.socket
            Does not block. The caller of this method closes it as well.
        """
        try:
            sock.send(response)
            sock.shutdown(socket.SHUT_WR)
            # Whoever gave the socket closes its own descriptor of it.
            kept = sock.dup()
        except OSError as fault:
            logs.event(log, "refusal.lost", fault=fault.strerror)
            return
        kept.setblocking(False)
        if len(self.open) >= MAX_LINGERING:
            self.close_oldest()
        loop = asyncio.get_running_loop()
        self.open[kept] = loop.call_later(LINGER_SECONDS, self._close, kept)
        loop.add_reader(kept, self._discard, kept, _Count())

    def _discard(self, sock: socket.socket, count: "_Count") -> None:
        try:
            size = sock.recv_into(self.scratch)
        except BlockingIOError:
            return
        except OSError:
            # The client has reset the connection.
            size = 0
        count.size += size
        if not size or count.size > LINGER_BYTES:
            self._close(sock)

    def _close(self, sock: socket.socket) -> None:
        timer = self.open.pop(sock, None)
        if timer is not None:
            timer.cancel()
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()

    def close_oldest(self) -> bool:
        """Close the oldest connection now; return whether there was one."""
        if not self.open:
            return False
        self._close(next(iter(self.open)))
        return True


class _Count:
    """Bytes that were thrown away."""

    size = 0
