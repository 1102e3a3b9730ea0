"""The body of an HTTP answer, from raw bytes of its connection.

tornado's own reading of a chunked body makes three futures for each chunk;
this takes all chunks of one read at once. ``docs/design/way.md`` has the
figures.

Source: RFC 9112, section 7.1.
"""

import re
import typing as t

from amaranthring import errors

SIZE_LINE_BYTES_MOST = 64
CHUNK_BYTES_MOST = 16 * 1024 * 1024
SIZE_LINE = re.compile(rb"([0-9a-fA-F]{1,8})[ \t]*(?:;.*)?")


class Decoder(t.Protocol):
    """Decodes one body.

    Attributes
    ----------
    ended : bool
        Whether the body is whole.
    ends_by_close : bool
        Whether a close is its proper end.
    clean : bool
        Whether nothing followed the body: only then may the connection
        carry another request.
    """

    ended: bool
    ends_by_close: bool
    clean: bool

    def take(self, data: bytes) -> bytes:
        """Return the part of the body in `data`."""


class FixedLength:
    """A body of known length."""

    ends_by_close = False

    def __init__(self, length: int):
        self.remaining = length
        self.ended = length == 0
        self.clean = True

    def take(self, data: bytes) -> bytes:
        """Return the part of the body in `data`."""
        self.clean = len(data) <= self.remaining
        data = data[: self.remaining]
        self.remaining -= len(data)
        self.ended = self.remaining == 0
        return data


class UntilClose:
    """A body that ends when the target closes."""

    ends_by_close = True
    ended = False
    clean = False

    def take(self, data: bytes) -> bytes:
        """Return `data`."""
        return data


class Chunked:
    """A body in chunks; a close before the last one is no proper end."""

    ends_by_close = False

    def __init__(self):
        self.ended = False
        self.clean = False
        self.buffer = b""
        self.remaining = 0

    def take(self, data: bytes) -> bytes:
        """Return the part of the body in `data`.

        Raises
        ------
        errors.UpstreamError
            If the framing is malformed.
        """
        if self.ended:
            # What follows the last chunk are trailers; nobody reads them.
            return b""
        if self.buffer:
            data = self.buffer + data
            self.buffer = b""
        parts = []
        at = 0
        while at < len(data):
            if self.remaining > 2:
                part = data[at : at + self.remaining - 2]
                parts.append(part)
                at += len(part)
                self.remaining -= len(part)
            elif self.remaining:
                at = self._line_end(data, at)
            else:
                found = data.find(b"\r\n", at)
                if found < 0:
                    self._keep(data[at:])
                    break
                size = _size(data[at:found])
                if size == 0:
                    self.ended = True
                    # Trailers, or bytes that are no part of it, are not
                    # told apart: such a connection is not used again.
                    self.clean = data[found + 2 :] == b"\r\n"
                    break
                at = found + 2
                end = at + size
                if data[end : end + 2] == b"\r\n":
                    # The whole chunk is here, as it nearly always is.
                    parts.append(data[at:end])
                    at = end + 2
                else:
                    self.remaining = size + 2
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _line_end(self, data: bytes, at: int) -> int:
        """Pass over what is left of the CRLF after a chunk."""
        part = data[at : at + self.remaining]
        if part != b"\r\n"[2 - self.remaining :][: len(part)]:
            raise _malformed(part)
        self.remaining -= len(part)
        return at + len(part)

    def _keep(self, rest: bytes) -> None:
        if len(rest) > SIZE_LINE_BYTES_MOST:
            raise _malformed(rest)
        self.buffer = rest


def _size(line: bytes) -> int:
    found = SIZE_LINE.fullmatch(line)
    size = int(found[1], 16) if found else CHUNK_BYTES_MOST + 1
    if size > CHUNK_BYTES_MOST:
        raise _malformed(line)
    return size


def _malformed(found: bytes) -> errors.UpstreamError:
    return errors.UpstreamError(
        "malformed chunked body",
        given=repr(found[:SIZE_LINE_BYTES_MOST]),
        expected="RFC 9112 chunks",
    )


def decoder_for(headers, status: int, method: str) -> Decoder:
    """Return the decoder that the head of an answer asks for.

    Raises
    ------
    errors.UpstreamError
        If the length is given wrongly or twice.
    """
    if method == "HEAD" or status in (204, 304):
        return FixedLength(0)
    coding = headers.get("Transfer-Encoding", "").strip().lower()
    length = headers.get("Content-Length")
    if coding == "chunked" and length is None:
        return Chunked()
    if coding:
        raise _malformed(f"Transfer-Encoding: {coding}".encode())
    if length is None:
        return UntilClose()
    if not length.isdigit():
        raise _malformed(f"Content-Length: {length}".encode())
    return FixedLength(int(length))
