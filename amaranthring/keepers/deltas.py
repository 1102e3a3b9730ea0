"""Binary deltas between two versions of a plan document.

Consecutive plans usually differ in one route. Sending whole plans of up to
100 KB to all routers would saturate the links of the keepers and delay their
heartbeats. A delta refers to the pieces that the receiver has and contains
only the others.
"""

import re
import zlib

from amaranthring import errors
from amaranthring.core import wire

# Pieces end at the closing braces of JSON objects. Any document can be split
# this way; the rest after the last brace is a piece too.
PIECE = re.compile(rb"[^}]*}+|[^}]+")


def _split(document: bytes) -> list[bytes]:
    return PIECE.findall(document)


def diff(old: bytes, new: bytes) -> bytes:
    """Return a compressed delta from `old` to `new`."""
    old_pieces = _split(old)
    first_index = {
        piece: index for index, piece in reversed(list(enumerate(old_pieces)))
    }
    runs: list[list[int] | bytes] = []
    for piece in _split(new):
        last = runs[-1] if runs else None
        if isinstance(last, list) and _extends(old_pieces, last, piece):
            last[1] += 1
        elif piece in first_index:
            runs.append([first_index[piece], 1])
        elif isinstance(last, bytes):
            runs[-1] = last + piece
        else:
            runs.append(piece)
    return zlib.compress(wire.encode_value([zlib.crc32(new), runs]))


def _extends(pieces: list[bytes], run: list[int], piece: bytes) -> bool:
    next_index = run[0] + run[1]
    return next_index < len(pieces) and pieces[next_index] == piece


def apply(old: bytes, delta: bytes) -> bytes:
    """Return the document that results from applying `delta` to `old`.

    Raises
    ------
    errors.FrameError
        If `delta` was not made for `old`.
    """
    old_pieces = _split(old)
    try:
        checksum, runs = wire.decode_value(zlib.decompress(delta))
        document = b"".join(
            run if isinstance(run, bytes) else _expand_run(old_pieces, *run)
            for run in runs
        )
    except (zlib.error, TypeError, ValueError) as error:
        raise errors.FrameError(
            "malformed plan delta", given=str(error), expected="runs of pieces"
        ) from error
    if zlib.crc32(document) != checksum:
        raise errors.FrameError(
            "plan delta for another document",
            given="a different checksum",
            expected="the checksum in the delta",
        )
    return document


def _expand_run(pieces: list[bytes], first: int, count: int) -> bytes:
    return b"".join(pieces[first : first + count])
