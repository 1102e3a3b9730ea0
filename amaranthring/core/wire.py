"""Typed messages and their msgpack frames.

A message is a data class registered under a short tag with :func:`message`. A
frame is one msgpack array ``[kind, call_id, tag, body]``; msgpack is
self-delimiting, so a stream needs no length prefix. Bodies are maps by field
name, unless compact, so that a newer peer may add fields with defaults.
Incoming messages are validated here against the data class.
"""

import dataclasses
import typing as t
import zlib

import msgpack

from amaranthring import errors
from amaranthring.core import validation

VERSION = 1
MAX_FRAME_BYTES = 8 * 1024 * 1024
# Fastest level of zlib; repeated names compress well at every level.
COMPRESSION_LEVEL = 1

# Header of a msgpack array with four items.
ARRAY_OF_FOUR = b"\x94"

ONE_WAY = 0
REQUEST = 1
REPLY = 2
ERROR = 3

_CLASS_BY_TAG: dict[str, type] = {}
_TAG_BY_CLASS: dict[type, str] = {}
_COMPACT_FIELDS: dict[str, list[str]] = {}
_COMPRESSED_TAGS: set[str] = set()

C = t.TypeVar("C", bound=type)


@dataclasses.dataclass
class Frame:
    """One decoded frame.

    Attributes
    ----------
    kind : int
        ``ONE_WAY``, ``REQUEST``, ``REPLY`` or ``ERROR``.
    call_id : int
        Matches a reply to its request; 0 for one-way messages.
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
        Encode fields by position instead of by name, for small, frequent
        messages. A newer peer may add fields at the end.
    compressed : bool
        Compress the body, for repetitive messages sent to many peers over
        a slow link.
    """

    def register(cls: C) -> C:
        # Generates only __init__ for each class: a process defines all its
        # messages before it can listen, so this shortens its startup.
        message_class = dataclasses.dataclass(
            repr=False, eq=False, match_args=False
        )(cls)
        message_class.__repr__ = _repr
        message_class.__eq__ = _equal
        message_class.__hash__ = None
        if tag in _CLASS_BY_TAG:
            raise ValueError(f"message tag {tag!r} is already registered")
        if compressed:
            _COMPRESSED_TAGS.add(tag)
        if compact:
            _COMPACT_FIELDS[tag] = [
                field.name for field in dataclasses.fields(message_class)
            ]
        _CLASS_BY_TAG[tag] = message_class
        _TAG_BY_CLASS[message_class] = tag
        return message_class

    return register


def tag_of(message_class: type) -> str:
    """Return the tag under which `message_class` is registered."""
    return _TAG_BY_CLASS[message_class]


def _to_plain(value: t.Any) -> t.Any:
    if dataclasses.is_dataclass(value):
        return vars(value)
    if isinstance(value, set | frozenset):
        return sorted(value)
    raise TypeError(f"cannot encode {type(value).__name__}")


def encode_value(value: t.Any) -> bytes:
    """Return the msgpack bytes of a message, data class or plain value."""
    return msgpack.packb(value, default=_to_plain)


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
    tag, fields = ("", None) if body is None else _body_of(body)
    return encode_value((kind, call_id, tag, fields))


def _body_of(message: t.Any) -> tuple[str, t.Any]:
    """Return the tag of `message` and what a frame holds of it."""
    tag = _TAG_BY_CLASS[type(message)]
    body = message
    if tag in _COMPACT_FIELDS:
        body = [getattr(message, name) for name in _COMPACT_FIELDS[tag]]
    if tag in _COMPRESSED_TAGS:
        body = zlib.compress(encode_value(body), COMPRESSION_LEVEL)
    return tag, body


def encode_body(message: t.Any) -> tuple[str, bytes]:
    """Return the tag and the encoded body of `message`, for many frames."""
    tag, body = _body_of(message)
    return tag, encode_value(body)


def encode_frame(kind: int, call_id: int, tag: str, body: bytes) -> bytes:
    """Return the bytes of a frame whose body is encoded already."""
    parts = (kind, call_id, tag)
    # Items follow the header of an array without separators.
    return b"".join([ARRAY_OF_FOUR, *map(encode_value, parts), body])


def decode_message(tag: str, body: t.Any) -> t.Any:
    """Return the validated message with `tag` and `body`.

    Raises
    ------
    errors.FrameError
        If the tag is unknown or the body is invalid for its class.
    """
    message_class = _CLASS_BY_TAG.get(tag)
    if message_class is None:
        raise errors.FrameError(
            "unknown message", given=tag, expected="a known message tag"
        )
    if tag in _COMPRESSED_TAGS:
        body = decode_value(_decompress(tag, body))
    if tag in _COMPACT_FIELDS and isinstance(body, list):
        # Ignores fields that a newer peer has added at the end.
        body = dict(zip(_COMPACT_FIELDS[tag], body, strict=False))
    try:
        return validation.validator(message_class)(body)
    except errors.FrameError as error:
        raise errors.FrameError(
            f"invalid message {tag}: {error.detail}",
            given=error.given,
            expected=error.expected,
        ) from error


def _decompress(tag: str, data: t.Any) -> bytes:
    """Return `data` decompressed, up to the size limit of a frame."""
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, MAX_FRAME_BYTES)
    except (zlib.error, TypeError) as error:
        raise errors.FrameError(
            f"message {tag} cannot be decompressed",
            given=type(data).__name__,
            expected="compressed bytes",
        ) from error
    if not decompressor.eof:
        raise errors.FrameError(
            f"message {tag} is truncated or too long",
            given=f"{len(decompressed)} bytes without end of stream",
            expected=f"{MAX_FRAME_BYTES} bytes at most",
        )
    return decompressed


def encode_message(body: t.Any) -> tuple[str, dict[str, t.Any]]:
    """Return the tag and the plain fields of message `body`."""
    return _TAG_BY_CLASS[type(body)], decode_value(encode_value(body))


def decode(parts: t.Any) -> Frame:
    """Return the frame decoded from the unpacked array `parts`."""
    if not isinstance(parts, list) or len(parts) != 4:
        raise errors.FrameError(
            "malformed frame",
            given=type(parts).__name__,
            expected="[kind, call_id, tag, body]",
        )
    kind, call_id, tag, body = parts
    if not isinstance(call_id, int) or kind not in (0, 1, 2, 3):
        raise errors.FrameError(
            "malformed frame",
            given=f"{kind!r}, {call_id!r}",
            expected="integers",
        )
    if kind == ERROR:
        if not isinstance(body, dict):
            raise errors.FrameError("malformed error record")
        return Frame(kind, call_id, errors.from_record(body))
    if tag == "":
        return Frame(kind, call_id, None)
    return Frame(kind, call_id, decode_message(tag, body))


def unpacker() -> msgpack.Unpacker:
    """Return a streaming unpacker with a bounded buffer."""
    return msgpack.Unpacker(
        max_buffer_size=MAX_FRAME_BYTES, strict_map_key=False
    )
