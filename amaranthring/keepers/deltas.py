"""What changed between two documents of a plan.

Most plans differ from the one before in one route, and a plan with hundreds
of routes is 100 KB: sent whole to 84 routers it fills the thin links of the
keepers for a second and holds up their heartbeats. A delta names the pieces
that the receiver has and brings the others.
"""

import re
import zlib

from amaranthring import errors
from amaranthring.core import wire

# Pieces end where an object of the document does; any document can be cut
# so, a piece without an end is one as well.
PIECE = re.compile(rb"[^}]*}+|[^}]+")


def _pieces(document: bytes) -> list[bytes]:
    return PIECE.findall(document)


def diff(old: bytes, new: bytes) -> bytes:
    """Return what turns `old` into `new`, compressed."""
    held = _pieces(old)
    first_at = {piece: at for at, piece in reversed(list(enumerate(held)))}
    runs: list[list[int] | bytes] = []
    for piece in _pieces(new):
        last = runs[-1] if runs else None
        if isinstance(last, list) and _follows(held, last, piece):
            last[1] += 1
        elif piece in first_at:
            runs.append([first_at[piece], 1])
        elif isinstance(last, bytes):
            runs[-1] = last + piece
        else:
            runs.append(piece)
    return zlib.compress(wire.encode_value([zlib.crc32(new), runs]))


def _follows(held: list[bytes], run: list[int], piece: bytes) -> bool:
    after = run[0] + run[1]
    return after < len(held) and held[after] == piece


def apply(old: bytes, delta: bytes) -> bytes:
    """Return the document that `delta` makes of `old`.

    Raises
    ------
    errors.FrameError
        If `delta` was not made for `old`.
    """
    held = _pieces(old)
    try:
        checksum, runs = wire.decode_value(zlib.decompress(delta))
        made = b"".join(
            run if isinstance(run, bytes) else _run(held, *run) for run in runs
        )
    except (zlib.error, TypeError, ValueError) as error:
        raise errors.FrameError(
            "delta of a plan", given=str(error), expected="runs of pieces"
        ) from error
    if zlib.crc32(made) != checksum:
        raise errors.FrameError(
            "delta of a plan", given="another document", expected="its own"
        )
    return made


def _run(held: list[bytes], first: int, count: int) -> bytes:
    return b"".join(held[first : first + count])
