"""Resume tokens: signed references to a caller's stream.

A token holds account, target with incarnation, stream and expiry, with an
HMAC under a fleet key. Any router can verify it, so a caller can resume
through any router without shared state. The event number that follows is not
signed: it only selects a position in the caller's own stream. So one
signature serves a whole stream.
"""

import base64
import binascii
import dataclasses
import hashlib
import hmac
import time

import msgpack

from amaranthring import errors
from amaranthring.core import links

MAC_BYTES = 16
MAX_TOKEN_CHARACTERS = 1024
LIFETIME_SECONDS = 600.0


@dataclasses.dataclass
class StreamReference:
    """A stream and the account that may resume it.

    Attributes
    ----------
    account : str
        Client account that may resume it.
    target : str
        Engine that holds it.
    incarnation : int
        Incarnation of the engine; a restarted engine has lost the stream.
    stream : str
        Name of the stream at the engine.
    serves : str
        Model.
    expires : float
        Wall time in seconds.
    """

    account: str
    target: str
    incarnation: int
    stream: str
    serves: str
    expires: float


def _mac(key: bytes, payload: bytes) -> bytes:
    digest = hmac.digest(key, b"resume\0" + payload, hashlib.sha256)
    return digest[:MAC_BYTES]


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


def _decode(text: str) -> bytes:
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))


def sign(reference: StreamReference, keys: links.Keys) -> str:
    """Return the token of `reference`, without an event number."""
    key_id, key = keys.signing
    payload = msgpack.packb((key_id, *vars(reference).values()))
    return f"{_encode(payload)}.{_encode(_mac(key, payload))}"


def read(
    text: str, account: str, keys: links.Keys, now: float | None = None
) -> tuple[StreamReference, int]:
    """Return the reference in `text` and the number of the next event.

    Raises
    ------
    errors.ResumeError
        If the token is malformed, forged, expired or another account's.
    """
    parts = text.split(".")
    if len(parts) != 3 or len(text) > MAX_TOKEN_CHARACTERS:
        raise _resume_error("malformed")
    try:
        payload, mac = _decode(parts[0]), _decode(parts[1])
        key_id, *fields = msgpack.unpackb(payload)
        number = int(parts[2])
        key = keys.by_id.get(key_id, b"")
    except (ValueError, TypeError, binascii.Error, msgpack.UnpackException):
        raise _resume_error("malformed") from None
    if not key or not hmac.compare_digest(_mac(key, payload), mac):
        raise _resume_error("forged, or signed with a key that is gone")
    reference = StreamReference(*fields)
    if reference.account != account:
        raise _resume_error("another account's")
    if reference.expires < (time.time() if now is None else now):
        raise _resume_error("expired")
    if not 0 <= number < 1 << 31:
        raise _resume_error("malformed")
    return reference, number + 1


def _resume_error(given: str) -> errors.ResumeError:
    return errors.ResumeError(
        "Last-Event-ID is not valid; send the whole request again",
        given=given,
        expected="the id of the last event of a stream of this account",
        outcome=errors.Outcome.NOT_RUN,
    )
