"""How the two ends of a stream prove to each other who they are.

The handshake is a challenge in both directions: each end proves knowledge of
a fleet key over both nonces, so that a recorded hello is worth nothing, and
two keys may be held at once while keys are changed.
"""

import dataclasses
import hashlib
import hmac
import os
import typing as t

from amaranthring import errors
from amaranthring.core import wire

NONCE_BYTES = 16
READ_BYTES = 64 * 1024


@dataclasses.dataclass
class Identity:
    """Who a process says it is.

    Attributes
    ----------
    name : str
        Unique name of the process in the fleet.
    role : str
        ``router`` or ``keeper``.
    data_centre : str
        Data centre from its settings.
    incarnation : int
        Grows with every start, so a restarted process is told apart.
    """

    name: str
    role: str
    data_centre: str
    incarnation: int = 0


@wire.message("hello")
class Hello:
    """First frame of either end; `nonce` is the challenge to the other."""

    version: int
    nonce: bytes


@wire.message("proof")
class Proof:
    """Second frame of either end: identity, and its proof under `key_id`."""

    identity: Identity
    key_id: str
    mac: bytes


@dataclasses.dataclass
class Keys:
    """Fleet keys by id; the first signs, all are accepted."""

    by_id: dict[str, bytes]

    @property
    def signing(self) -> tuple[str, bytes]:
        """Return id and bytes of the key that signs."""
        return next(iter(self.by_id.items()))


def _mac(key: bytes, side: str, identity: Identity, ours, theirs) -> bytes:
    text = wire.encode_value((side, identity, ours, theirs))
    return hmac.new(key, text, hashlib.sha256).digest()


async def _next_frame(stream, unpacker, kind: type) -> t.Any:
    while True:
        for parts in unpacker:
            frame = wire.decode(parts)
            if not isinstance(frame.message, kind):
                raise errors.HandshakeError(
                    "unexpected frame",
                    given=type(frame.message).__name__,
                    expected=kind.__name__,
                )
            return frame.message
        unpacker.feed(await stream.read_bytes(READ_BYTES, partial=True))


async def authenticate(
    stream, identity: Identity, keys: Keys, side: str, unpacker
) -> Identity:
    """Authenticate both ends of `stream` and return who the other is.

    Parameters
    ----------
    side : str
        ``client`` for the end that dialled, else ``server``.

    Raises
    ------
    errors.HandshakeError
        If the other end cannot prove itself.
    """
    nonce = os.urandom(NONCE_BYTES)
    hello = Hello(wire.VERSION, nonce)
    await stream.write(wire.encode(wire.ONE_WAY, 0, hello))
    theirs = await _next_frame(stream, unpacker, Hello)
    if theirs.version != wire.VERSION:
        raise errors.HandshakeError(
            "version", given=theirs.version, expected=wire.VERSION
        )
    key_id, key = keys.signing
    mac = _mac(key, side, identity, nonce, theirs.nonce)
    proof = Proof(identity, key_id, mac)
    await stream.write(wire.encode(wire.ONE_WAY, 0, proof))
    answer = await _next_frame(stream, unpacker, Proof)
    other = "server" if side == "client" else "client"
    known = keys.by_id.get(answer.key_id, b"")
    expected = _mac(known, other, answer.identity, theirs.nonce, nonce)
    if not known or not hmac.compare_digest(expected, answer.mac):
        raise errors.HandshakeError(
            "peer's proof is wrong",
            given=answer.key_id,
            expected=f"one of {sorted(keys.by_id)}",
        )
    return answer.identity
