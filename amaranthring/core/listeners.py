"""Listening sockets, for streams and for HTTP."""

import tornado.netutil

from amaranthring import errors


def listening(address: str) -> list:
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
