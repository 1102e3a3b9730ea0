"""Typed messages and their msgpack frames.

A message is a data class registered under a short tag with
:func:`message`. A frame is one msgpack array ``[kind, call_id, tag, body]``;
msgpack delimits itself, so a stream needs no length prefix. Bodies are maps
of field names, so that a newer peer may add fields with defaults. What comes
in is validated once, here, against the data class.
"""

import dataclasses
import typing as t
import zlib

import msgpack

from amaranthring import errors
from amaranthring.core import validation

VERSION = 1
MAX_FRAME_BYTES = 8 * 1024 * 1024
# The fastest of zlib's: names that come again are found at every level.
COMPRESSION_LEVEL = 1

ONE_WAY = 0
REQUEST = 1
REPLY = 2
ERROR = 3

_CLASSES: dict[str, type] = {}
_TAGS: dict[type, str] = {}
_COMPACT: dict[str, list[str]] = {}
_COMPRESSED: set[str] = set()

C = t.TypeVar("C", bound=type)


@dataclasses.dataclass
class Frame:
    """One decoded frame.

    Attributes
    ----------
    kind : int
        ``ONE_WAY``, ``REQUEST``, ``REPLY`` or ``ERROR``.
    call_id : int
        Ties a reply to its request; 0 for one-way messages.
    message : object
        The validated message, or the error of an ``ERROR`` frame.
    """

    kind: int
    call_id: int
    message: t.Any


def _repr(self: t.Any) -> str:
    fields = ", ".join(f"{k}={v!r}" for k, v in vars(self).items())
    return f"{type(self).__qualname__}({fields})"


def _equal(self: t.Any, other: t.Any) -> bool:
    if type(self) is not type(other):
        return NotImplemented
    return vars(self) == vars(other)


def message(
    tag: str, compact: bool = False, compressed: bool = False
) -> t.Callable[[C], C]:
    """Register the decorated class as a message under `tag`.

    Parameters
    ----------
    compact : bool
        Send its fields by position instead of by name: for small messages
        that are sent every second. A newer peer may add fields at the end.
    compressed : bool
        Send it compressed: for messages that repeat the same names and go
        to many over a thin link.
    """

    def register(cls: C) -> C:
        # One method generated for each class instead of four: a process
        # defines some sixty messages before it can listen.
        made = dataclasses.dataclass(repr=False, eq=False, match_args=False)(
            cls
        )
        made.__repr__ = _repr
        made.__eq__ = _equal
        made.__hash__ = None
        if tag in _CLASSES:
            raise ValueError(f"message tag {tag!r} is taken")
        if compressed:
            _COMPRESSED.add(tag)
        if compact:
            _COMPACT[tag] = [one.name for one in dataclasses.fields(made)]
        _CLASSES[tag] = made
        _TAGS[made] = tag
        return made

    return register


def tag_of(kind: type) -> str:
    """Return the tag under which message class `kind` is registered."""
    return _TAGS[kind]


def _plain(value: t.Any) -> t.Any:
    if dataclasses.is_dataclass(value):
        return vars(value)
    if isinstance(value, set | frozenset):
        return sorted(value)
    raise TypeError(f"cannot encode {type(value).__name__}")


def encode_value(value: t.Any) -> bytes:
    """Return msgpack bytes of a message, data class or plain value."""
    return msgpack.packb(value, default=_plain)


def decode_value(data: bytes) -> t.Any:
    """Return the plain value in `data`.

    Raises
    ------
    errors.FrameError
        If `data` is not exactly one msgpack value.
    """
    try:
        return msgpack.unpackb(data, strict_map_key=False)
    except Exception as error:
        raise errors.FrameError("malformed msgpack") from error


def encode(kind: int, call_id: int, body: t.Any) -> bytes:
    """Return the bytes of one frame."""
    if kind == ERROR:
        return encode_value((kind, call_id, "", body.to_record()))
    tag = "" if body is None else _TAGS[type(body)]
    if tag in _COMPACT:
        body = [getattr(body, name) for name in _COMPACT[tag]]
    if tag in _COMPRESSED:
        body = zlib.compress(encode_value(body), COMPRESSION_LEVEL)
    return encode_value((kind, call_id, tag, body))


def decode_message(tag: str, body: t.Any) -> t.Any:
    """Return the validated message of `tag` made from `body`.

    Raises
    ------
    errors.FrameError
        If the tag is unknown or the body does not fit its class.
    """
    kind = _CLASSES.get(tag)
    if kind is None:
        raise errors.FrameError(
            "unknown message", given=tag, expected="a known message tag"
        )
    if tag in _COMPRESSED:
        body = decode_value(_decompressed(tag, body))
    if tag in _COMPACT and isinstance(body, list):
        # Fields that a newer peer added at the end are passed over.
        body = dict(zip(_COMPACT[tag], body, strict=False))
    try:
        return validation.validator(kind)(body)
    except errors.FrameError as error:
        raise errors.FrameError(
            f"message {tag} does not fit: {error.detail}",
            given=error.given,
            expected=error.expected,
        ) from error


def _decompressed(tag: str, data: t.Any) -> bytes:
    """Return what `data` was before it was compressed, if it fits a frame."""
    inflater = zlib.decompressobj()
    try:
        found = inflater.decompress(data, MAX_FRAME_BYTES)
    except (zlib.error, TypeError) as error:
        raise errors.FrameError(
            f"message {tag} is not compressed",
            given=type(data).__name__,
            expected="compressed bytes",
        ) from error
    if not inflater.eof:
        raise errors.FrameError(
            f"message {tag} is cut or too long",
            given=f"{len(found)} bytes without an end",
            expected=f"{MAX_FRAME_BYTES} bytes at most",
        )
    return found


def encode_message(body: t.Any) -> tuple[str, dict[str, t.Any]]:
    """Return tag and plain fields of message `body`."""
    return _TAGS[type(body)], decode_value(encode_value(body))


def decode(parts: t.Any) -> Frame:
    """Return the frame made from the unpacked array `parts`."""
    if not isinstance(parts, list) or len(parts) != 4:
        raise errors.FrameError(
            "malformed frame",
            given=type(parts).__name__,
            expected="[kind, call_id, tag, body]",
        )
    kind, call_id, tag, body = parts
    if not isinstance(call_id, int) or kind not in (0, 1, 2, 3):
        raise errors.FrameError(
            "malformed frame", given=f"{kind!r}, {call_id!r}", expected="ints"
        )
    if kind == ERROR:
        if not isinstance(body, dict):
            raise errors.FrameError("malformed error record")
        return Frame(kind, call_id, errors.from_record(body))
    if tag == "":
        return Frame(kind, call_id, None)
    return Frame(kind, call_id, decode_message(tag, body))


def unpacker() -> msgpack.Unpacker:
    """Return a streaming unpacker whose buffer is bounded."""
    return msgpack.Unpacker(
        max_buffer_size=MAX_FRAME_BYTES, strict_map_key=False
    )
