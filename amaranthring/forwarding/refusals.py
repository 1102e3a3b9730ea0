"""Refusals of requests on connections that are not served.

They cost a few system calls, so that a router that has too much to do can
still send them.
"""

import re
import socket

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.core import refusals

__all__ = ["refuse_arrived"]

log = logbook.Logger(__name__)

# Requests of which more than this has to arrive are not recognized as whole.
MAX_BYTES = 65536
HEAD = b"HEAD "
CONTENT_LENGTH = re.compile(
    rb"\r\nContent-Length: *(\d{1,15}) *\r\n", re.IGNORECASE
)
TRANSFER_ENCODING = re.compile(rb"\r\nTransfer-Encoding:", re.IGNORECASE)


def refuse_arrived(
    sock: socket.socket, error: errors.AmaranthringError
) -> bool:
    """Answer the first request that has arrived on a connection.

    Nothing is read if it is not whole, so the caller learns from the close of
    the connection that it was not read. Requests behind the first are not
    answered, as its answer ends the connection.

    Parameters
    ----------
    sock : socket.socket
        Does not block. The caller of this function closes it.

    Returns
    -------
    bool
        Whether there was one.
    """
    try:
        data = sock.recv(MAX_BYTES, socket.MSG_PEEK)
        if not _starts_with_whole(data):
            return False
        sock.recv(MAX_BYTES)
        sock.send(refusals.encode(error, is_for_head=data.startswith(HEAD)))
    except BlockingIOError:
        return False
    except OSError as fault:
        logs.event(log, "connection.lost", fault=fault.strerror)
        return False
    return True


def _starts_with_whole(data: bytes) -> bool:
    """Return whether `data` is one request, or more behind the first."""
    head, end, body = data.partition(b"\r\n\r\n")
    head += b"\r\n"
    if not end or TRANSFER_ENCODING.search(head):
        return False
    length = CONTENT_LENGTH.search(head)
    return len(body) >= (int(length[1]) if length else 0)
