"""Validates plain decoded values against data classes.

Messages, files and snapshots arrive as maps and lists. :func:`validator`
returns a function that checks such a value against a type hint and converts it
to the data class. Validators are built at their first use, which keeps imports
fast: a restarted keeper must listen again within a fraction of a second, also
on a small VM.
"""

import dataclasses
import enum
import functools
import types
import typing as t

from amaranthring import errors
from amaranthring.core import text

Validator = t.Callable[[t.Any], t.Any]

MAX_SHOWN_CHARACTERS = 80
# Range of integers in msgpack.
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**64 - 1
# What reading a document that is no JSON, or has other fields, may raise.
DECODING_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
_ABSENT = object()


def _invalid(value: t.Any, expected: str) -> errors.FrameError:
    try:
        form = str(value)
    except ValueError:
        # Python writes no decimal form of an integer of thousands of digits.
        form = "that is very long"
    shown = f"{type(value).__name__} {form[:MAX_SHOWN_CHARACTERS]}"
    return errors.FrameError("invalid value", given=shown, expected=expected)


@functools.cache
def validator(hint: t.Any) -> Validator:
    """Return a function that validates plain values against `hint`.

    Parameters
    ----------
    hint : type or typing construct
        A data class, an enumeration, a scalar, or a list, set, tuple, map,
        union or literal of those.

    Returns
    -------
    callable
        Takes a plain value and returns it converted to `hint`. Raises
        :class:`errors.FrameError` if the value is invalid.

    Raises
    ------
    TypeError
        If `hint` is not supported.
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
    raise TypeError(f"unsupported type hint {hint!r}")


def _scalar(cls: t.Any) -> Validator:
    if cls in (None, type(None)):
        return _none
    if cls is float:
        return _float
    if cls is int:
        return _int
    if cls is str:
        return _str

    def validate(value):
        if isinstance(value, cls):
            return value
        raise _invalid(value, cls.__name__)

    return validate


def _none(value: t.Any) -> None:
    if value is not None:
        raise _invalid(value, "nothing")


def _float(value: t.Any) -> float:
    if isinstance(value, float):
        return value
    if isinstance(value, int) and not isinstance(value, bool):
        try:
            return float(value)
        except OverflowError as error:
            raise _invalid(value, "a number in range") from error
    raise _invalid(value, "float")


def _int(value: t.Any) -> int:
    # bool is a subclass of int but not a valid int in a message.
    if isinstance(value, int) and not isinstance(value, bool):
        if MIN_INTEGER <= value <= MAX_INTEGER:
            return value
        raise _invalid(value, "an integer in range")
    raise _invalid(value, "int")


def _str(value: t.Any) -> str:
    if not isinstance(value, str):
        raise _invalid(value, "str")
    if not text.is_encodable(value):
        raise _invalid(value, "text that can be encoded")
    return value


def _union(hints: tuple) -> Validator:
    validators = [validator(hint) for hint in hints]
    if type(None) in hints:
        validators.insert(0, validators.pop(hints.index(type(None))))

    def validate(value):
        for validate_item in validators:
            try:
                return validate_item(value)
            except errors.FrameError as error:
                last = error
        raise last

    return validate


def _literal(allowed: tuple) -> Validator:
    def validate(value):
        if value in allowed:
            return value
        raise _invalid(value, f"one of {allowed}")

    return validate


def _collection(cls: type, hint: t.Any) -> Validator:
    validate_item = validator(hint)

    def validate(value):
        if not isinstance(value, list | tuple | set | frozenset):
            raise _invalid(value, "list")
        return cls(map(validate_item, value))

    return validate


def _tuple(hints: tuple) -> Validator:
    if len(hints) == 2 and hints[1] is Ellipsis:
        return _collection(tuple, hints[0])
    validators = [validator(hint) for hint in hints]

    def validate(value):
        if not isinstance(value, list | tuple) or len(value) != len(
            validators
        ):
            raise _invalid(value, f"list of {len(validators)}")
        pairs = zip(validators, value, strict=True)
        return tuple(validate_item(item) for validate_item, item in pairs)

    return validate


def _named_tuple(cls: t.Any) -> Validator:
    hints = t.get_type_hints(cls)
    validators = [validator(hints[name]) for name in cls._fields]
    min_length = len(validators) - len(cls._field_defaults)

    def validate(value):
        if not isinstance(value, list | tuple):
            raise _invalid(value, f"values of {cls.__name__}")
        if not min_length <= len(value) <= len(validators):
            raise _invalid(value, f"{min_length} to {len(validators)} values")
        return cls(
            *(
                validate_item(item)
                for validate_item, item in zip(validators, value, strict=False)
            )
        )

    return validate


def _mapping(key_hint: t.Any, value_hint: t.Any) -> Validator:
    validate_key = validator(key_hint)
    validate_value = validator(value_hint)

    def validate(value):
        if not isinstance(value, dict):
            raise _invalid(value, "map")
        return {
            validate_key(key): validate_value(item)
            for key, item in value.items()
        }

    return validate


def _enumeration(cls: type[enum.Enum]) -> Validator:
    def validate(value):
        try:
            return cls(value)
        except ValueError as error:
            raise _invalid(value, f"one of {[str(e) for e in cls]}") from error

    return validate


def _record(cls: type) -> Validator:
    # Built at the first use, as a data class may contain itself.
    @functools.cache
    def fields() -> list[tuple[str, Validator, bool]]:
        hints = t.get_type_hints(cls)
        return [
            (field.name, validator(hints[field.name]), _is_required(field))
            for field in dataclasses.fields(cls)
            if field.init
        ]

    def validate(value):
        if isinstance(value, cls):
            return value
        if not isinstance(value, dict):
            raise _invalid(value, f"fields of {cls.__name__}")
        values = {}
        for name, validate_field, required in fields():
            field_value = value.get(name, _ABSENT)
            if field_value is _ABSENT:
                if required:
                    raise _invalid("nothing", f"{cls.__name__}.{name}")
                continue
            try:
                values[name] = validate_field(field_value)
            except errors.FrameError as error:
                raise _at_field(error, f"{cls.__name__}.{name}") from error
        return cls(**values)

    return validate


def _is_required(field: dataclasses.Field) -> bool:
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _at_field(error: errors.FrameError, location: str) -> errors.FrameError:
    return errors.FrameError(
        f"{location}: {error.detail}",
        given=error.given,
        expected=error.expected,
    )
