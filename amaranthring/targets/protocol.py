"""Announcement protocol of targets: decoding, validation and signatures.

Each message is a JSON object with the header ``Amaranthring-Key: ID MAC``,
where MAC is the hex HMAC-SHA256 of the raw body under the shared key ID.
Keys are rotated by accepting two at once.
"""

import hashlib
import hmac
import typing as t

import pydantic

from amaranthring import errors
from amaranthring.core import records

KEY_HEADER = "Amaranthring-Key"
MAX_BODY_BYTES = 16 * 1024
MAX_SERVES = 64
MAX_NAME_LENGTH = 64
MAX_CAPACITY = 100_000
MAX_NUMBER = 2**63 - 1

Name = t.Annotated[
    str,
    pydantic.Field(
        pattern=r"^[0-9A-Za-z][0-9A-Za-z_.\-]*$", max_length=MAX_NAME_LENGTH
    ),
]
Served = t.Annotated[str, pydantic.Field(min_length=1, max_length=128)]
Address = t.Annotated[
    str,
    pydantic.Field(pattern=r"^[0-9A-Za-z_.\-\[\]:]+:\d{1,5}$", max_length=128),
]
Number = t.Annotated[int, pydantic.Field(ge=0, le=MAX_NUMBER)]


class Body(pydantic.BaseModel):
    """Base of all bodies: unknown keys are errors, types are strict.

    Attributes
    ----------
    name : str
        Name of the sending target.
    incarnation : int
        Its incarnation.
    sequence : int
        Grows with every announcement, renewal and leave of the incarnation;
        0 if the target does not number its messages.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    name: Name
    incarnation: Number
    sequence: Number = 0


class Renewal(Body):
    """Body of ``/targets/renew`` and ``/targets/leave``."""


class Announcement(Body):
    """Body of ``/targets/announce``: the fields of ``records.Target``."""

    kind: records.TargetKind
    address: Address
    data_centre: Name
    region: Name = "default"
    serves: list[Served] = pydantic.Field(min_length=1, max_length=MAX_SERVES)
    capacity: int = pydantic.Field(64, ge=1, le=MAX_CAPACITY)
    fencing: bool = False
    honours_keys: bool = False
    role: t.Literal["mixed", "prefill", "decode"] = "mixed"

    def target(self) -> records.Target:
        """Return the target described by the announcement."""
        fields = dict(self)
        del fields["sequence"]
        fields["serves"] = tuple(self.serves)
        return records.Target(**fields)


class LoadReport(pydantic.BaseModel):
    """Body of ``/targets/report``: the fields of ``records.LoadReport``."""

    model_config = pydantic.ConfigDict(extra="forbid")

    target: Name
    incarnation: Number
    sequence: Number
    running: int = pydantic.Field(ge=0, le=MAX_CAPACITY)
    waiting: int = pydantic.Field(0, ge=0, le=MAX_CAPACITY)
    kv_used: float = pydantic.Field(0.0, ge=0.0, le=1.0)

    def report(self) -> records.LoadReport:
        """Return the report."""
        return records.LoadReport(**dict(self))


Model = t.TypeVar("Model", bound=pydantic.BaseModel)


def sign(key_id: str, key: bytes, body: bytes) -> str:
    """Return the value of the key header for `body`."""
    return f"{key_id} {hmac.new(key, body, hashlib.sha256).hexdigest()}"


def verify(keys: dict[str, bytes], header: str, body: bytes) -> None:
    """Check the key header of `body`.

    Raises
    ------
    errors.UnauthenticatedError
        If the header is missing, names an unknown key, or does not match.
    """
    key_id, _, given = header.partition(" ")
    key = keys.get(key_id)
    if key is None:
        raise errors.UnauthenticatedError(
            "announcement has no known key",
            given=key_id[:MAX_NAME_LENGTH] or "no key header",
            expected=f"{KEY_HEADER}: ID MAC, ID one of {sorted(keys)}",
        )
    expected = sign(key_id, key, body).partition(" ")[2]
    if not hmac.compare_digest(expected.encode(), given.strip().encode()):
        raise errors.UnauthenticatedError(
            "the announcement's MAC does not match its body",
            given=f"key {key_id}",
            expected="hex HMAC-SHA256 of the raw body",
        )


def decode(model: type[Model], body: bytes) -> Model:
    """Return the validated `model` in the JSON of `body`.

    Raises
    ------
    errors.TooLargeError, errors.BadRequestError
        If the body is above the bound, not JSON, or does not fit.
    """
    if len(body) > MAX_BODY_BYTES:
        raise errors.TooLargeError(
            "the announcement is too large",
            given=f"{len(body)} bytes",
            expected=f"at most {MAX_BODY_BYTES} bytes",
        )
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"]) or "body"
        raise errors.BadRequestError(
            f"announcement: {where}",
            given=str(first["input"])[:80],
            expected=first["msg"],
        ) from error
