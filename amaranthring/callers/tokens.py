"""Resume tokens: where a caller's stream runs, signed by the fleet.

A token names account, target with incarnation, stream and expiry, under an
HMAC of a fleet key. Any router can check it, so a caller resumes through any
router with no shared state. The number behind it is not signed: it chooses
nothing but a place within the caller's own stream. So one signature serves a
whole stream, however long its answer.
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
    """Where a stream runs.

    Attributes
    ----------
    account : str
        Client account that may resume it.
    target : str
        Engine that holds it.
    incarnation : int
        Of the engine; a restarted one has lost the stream.
    stream : str
        Its name at the engine.
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
    made = hmac.digest(key, b"resume\0" + payload, hashlib.sha256)
    return made[:MAC_BYTES]


def _text(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


def _bytes(text: str) -> bytes:
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))


def sign(place: StreamReference, keys: links.Keys) -> str:
    """Return the token of `place`, without a number."""
    key_id, key = keys.signing
    payload = msgpack.packb((key_id, *vars(place).values()))
    return f"{_text(payload)}.{_text(_mac(key, payload))}"


def read(
    text: str, account: str, keys: links.Keys, now: float | None = None
) -> tuple[StreamReference, int]:
    """Return the place in `text` and the number of the event after it.

    Raises
    ------
    errors.ResumeError
        If it is malformed, forged, another account's, or expired.
    """
    parts = text.split(".")
    if len(parts) != 3 or len(text) > MAX_TOKEN_CHARACTERS:
        raise _refused("malformed")
    try:
        payload, mac = _bytes(parts[0]), _bytes(parts[1])
        key_id, *fields = msgpack.unpackb(payload)
        number = int(parts[2])
        known = keys.by_id.get(key_id, b"")
    except (ValueError, TypeError, binascii.Error, msgpack.UnpackException):
        raise _refused("malformed") from None
    if not known or not hmac.compare_digest(_mac(known, payload), mac):
        raise _refused("forged, or signed with a key that is gone")
    place = StreamReference(*fields)
    if place.account != account:
        raise _refused("another account's")
    if place.expires < (time.time() if now is None else now):
        raise _refused("expired")
    if not 0 <= number < 1 << 31:
        raise _refused("malformed")
    return place, number + 1


def _refused(given: str) -> errors.ResumeError:
    return errors.ResumeError(
        "Last-Event-ID cannot be followed; send the whole request again",
        given=given,
        expected="the id of the last event of a stream of this account",
        outcome=errors.Outcome.NOT_RUN,
    )
