"""Decoders for the body of an HTTP response, from the bytes of its connection.

tornado's own chunked reader creates three futures for each chunk; this one
decodes all chunks of one read at once. ``docs/design/way.md`` has the figures.

Source: RFC 9112, section 7.1.
"""

import re
import typing as t

from amaranthring import errors
from amaranthring.core import numerals

MAX_SIZE_LINE_BYTES = 64
MAX_CHUNK_BYTES = 16 * 1024 * 1024
SIZE_LINE = re.compile(rb"([0-9a-fA-F]{1,8})[ \t]*(?:;.*)?")


class Decoder(t.Protocol):
    """Decodes one body.

    Attributes
    ----------
    ended : bool
        Whether the body is complete.
    ends_by_close : bool
        Whether closing the connection ends it properly.
    clean : bool
        Whether nothing followed the body: only then may the connection carry
        another request.
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
    """A body that ends when the target closes the connection."""

    ends_by_close = True
    ended = False
    clean = False

    def take(self, data: bytes) -> bytes:
        """Return `data`."""
        return data


class Chunked:
    """A chunked body; a close before the last chunk truncates it."""

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
            # Trailers are ignored.
            return b""
        if self.buffer:
            data = self.buffer + data
            self.buffer = b""
        parts = []
        position = 0
        while position < len(data):
            if self.remaining > 2:
                part = data[position : position + self.remaining - 2]
                parts.append(part)
                position += len(part)
                self.remaining -= len(part)
            elif self.remaining:
                position = self._line_end(data, position)
            else:
                line_end = data.find(b"\r\n", position)
                if line_end < 0:
                    self._keep(data[position:])
                    break
                size = _parse_size(data[position:line_end])
                if size == 0:
                    self.ended = True
                    # Trailers are not distinguished from foreign bytes; with
                    # either, the connection is not reused.
                    self.clean = data[line_end + 2 :] == b"\r\n"
                    break
                position = line_end + 2
                end = position + size
                if data[end : end + 2] == b"\r\n":
                    # Fast path: the whole chunk has arrived.
                    parts.append(data[position:end])
                    position = end + 2
                else:
                    self.remaining = size + 2
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _line_end(self, data: bytes, position: int) -> int:
        """Skip the rest of the CRLF after a chunk."""
        part = data[position : position + self.remaining]
        if part != b"\r\n"[2 - self.remaining :][: len(part)]:
            raise _malformed(part)
        self.remaining -= len(part)
        return position + len(part)

    def _keep(self, rest: bytes) -> None:
        if len(rest) > MAX_SIZE_LINE_BYTES:
            raise _malformed(rest)
        self.buffer = rest


def _parse_size(line: bytes) -> int:
    match = SIZE_LINE.fullmatch(line)
    size = int(match[1], 16) if match else MAX_CHUNK_BYTES + 1
    if size > MAX_CHUNK_BYTES:
        raise _malformed(line)
    return size


def _malformed(data: bytes) -> errors.UpstreamError:
    return errors.UpstreamError(
        "malformed chunked body",
        given=repr(data[:MAX_SIZE_LINE_BYTES]),
        expected="RFC 9112 chunks",
    )


def decoder_for(headers, status: int, method: str) -> Decoder:
    """Return the decoder for the body that follows the head of a response.

    Raises
    ------
    errors.UpstreamError
        If the length is invalid or ambiguous.
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
    size = numerals.read(length)
    if size is None:
        shown = length[:MAX_SIZE_LINE_BYTES]
        raise _malformed(f"Content-Length: {shown}".encode())
    return FixedLength(size)
