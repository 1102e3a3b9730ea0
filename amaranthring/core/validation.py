"""Checks plain decoded values against data classes.

Messages, files and snapshots arrive as maps and lists. :func:`reader`
returns a function that checks such a value against a type hint and makes
the data class of it. A reader is built when it is first used, so a message
type costs nothing at import: a keeper that is restarted while others are
down must listen again within a fraction of a second, and on a small VM
building pydantic's validators for all messages took longer than that
(1.34 s of imports on a quarter of a core, 0.5 s without).
"""

import dataclasses
import enum
import functools
import types
import typing as t

from amaranthring import errors

Validator = t.Callable[[t.Any], t.Any]

SHOWN_CHARACTERS = 80
_ABSENT = object()


def _fault(value: t.Any, expected: str) -> errors.FrameError:
    shown = f"{type(value).__name__} {str(value)[:SHOWN_CHARACTERS]}"
    return errors.FrameError("value", given=shown, expected=expected)


@functools.cache
def validator(hint: t.Any) -> Validator:
    """Return a function that checks a plain value against `hint`.

    Parameters
    ----------
    hint : type or typing construct
        A data class, an enumeration, a scalar, or a list, set, tuple, map,
        union or literal of those.

    Returns
    -------
    callable
        Takes the plain value and returns it as `hint` says. It raises
        :class:`errors.FrameError` with what was given and expected.

    Raises
    ------
    TypeError
        If `hint` is of a kind that no message uses yet.
    """
    origin = t.get_origin(hint)
    if hint is t.Any:
        return lambda value: value
    if origin in (t.Union, types.UnionType):
        return _union(t.get_args(hint))
    if origin is t.Literal:
        return _literal(t.get_args(hint))
    if origin in (list, set, frozenset):
        return _collection(origin, t.get_args(hint)[0])
    if origin is tuple:
        return _tuple(t.get_args(hint))
    if origin is dict:
        return _mapping(*t.get_args(hint))
    if dataclasses.is_dataclass(hint):
        return _record(hint)
    if (
        isinstance(hint, type)
        and issubclass(hint, tuple)
        and hint is not tuple
    ):
        return _named_tuple(hint)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _enumeration(hint)
    if hint in (list, dict, set, tuple):
        return _scalar(hint)
    if hint in (int, float, str, bytes, bool, None, type(None)):
        return _scalar(hint)
    raise TypeError(f"no reader for {hint!r}")


def _scalar(kind: t.Any) -> Validator:
    if kind in (None, type(None)):
        return _none
    if kind is float:
        return _float
    if kind is int:
        return _int

    def read(value):
        if isinstance(value, kind):
            return value
        raise _fault(value, kind.__name__)

    return read


def _none(value: t.Any) -> None:
    if value is not None:
        raise _fault(value, "nothing")


def _float(value: t.Any) -> float:
    if isinstance(value, float):
        return value
    if isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    raise _fault(value, "float")


def _int(value: t.Any) -> int:
    # A bool is an int to Python; in a message it is a field mixed up.
    if isinstance(value, int) and not isinstance(value, bool):
        return value
    raise _fault(value, "int")


def _union(hints: tuple) -> Validator:
    readers = [validator(hint) for hint in hints]
    if type(None) in hints:
        readers.insert(0, readers.pop(hints.index(type(None))))

    def read(value):
        for one in readers:
            try:
                return one(value)
            except errors.FrameError as error:
                last = error
        raise last

    return read


def _literal(allowed: tuple) -> Validator:
    def read(value):
        if value in allowed:
            return value
        raise _fault(value, f"one of {allowed}")

    return read


def _collection(kind: type, hint: t.Any) -> Validator:
    item = validator(hint)

    def read(value):
        if not isinstance(value, list | tuple | set | frozenset):
            raise _fault(value, "list")
        return kind(map(item, value))

    return read


def _tuple(hints: tuple) -> Validator:
    if len(hints) == 2 and hints[1] is Ellipsis:
        return _collection(tuple, hints[0])
    items = [validator(hint) for hint in hints]

    def read(value):
        if not isinstance(value, list | tuple) or len(value) != len(items):
            raise _fault(value, f"list of {len(items)}")
        pairs = zip(items, value, strict=True)
        return tuple(item(one) for item, one in pairs)

    return read


def _named_tuple(kind: t.Any) -> Validator:
    hints = t.get_type_hints(kind)
    items = [validator(hints[name]) for name in kind._fields]
    least = len(items) - len(kind._field_defaults)

    def read(value):
        if not isinstance(value, list | tuple):
            raise _fault(value, f"values of {kind.__name__}")
        if not least <= len(value) <= len(items):
            raise _fault(value, f"{least} to {len(items)} values")
        return kind(
            *(item(one) for item, one in zip(items, value, strict=False))
        )

    return read


def _mapping(key_hint: t.Any, value_hint: t.Any) -> Validator:
    read_key = validator(key_hint)
    read_value = validator(value_hint)

    def read(value):
        if not isinstance(value, dict):
            raise _fault(value, "map")
        return {read_key(key): read_value(of) for key, of in value.items()}

    return read


def _enumeration(kind: type[enum.Enum]) -> Validator:
    def read(value):
        try:
            return kind(value)
        except ValueError as error:
            raise _fault(value, f"one of {[str(e) for e in kind]}") from error

    return read


def _record(kind: type) -> Validator:
    # Built at its first use: a data class may hold itself.
    @functools.cache
    def fields() -> list[tuple[str, Validator, bool]]:
        hints = t.get_type_hints(kind)
        return [
            (field.name, validator(hints[field.name]), _is_required(field))
            for field in dataclasses.fields(kind)
            if field.init
        ]

    def read(value):
        if isinstance(value, kind):
            return value
        if not isinstance(value, dict):
            raise _fault(value, f"fields of {kind.__name__}")
        given = {}
        for name, read_field, required in fields():
            found = value.get(name, _ABSENT)
            if found is _ABSENT:
                if required:
                    raise _fault("nothing", f"{kind.__name__}.{name}")
                continue
            try:
                given[name] = read_field(found)
            except errors.FrameError as error:
                raise _within(error, f"{kind.__name__}.{name}") from error
        return kind(**given)

    return read


def _is_required(field: dataclasses.Field) -> bool:
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _within(error: errors.FrameError, where: str) -> errors.FrameError:
    return errors.FrameError(
        f"{where}: {error.detail}", given=error.given, expected=error.expected
    )
