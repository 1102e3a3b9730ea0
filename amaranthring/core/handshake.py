"""Mutual authentication of the two ends of a stream.

Both ends exchange nonces and prove knowledge of a fleet key with a MAC over
both nonces, so a recorded handshake cannot be replayed. Several keys are
accepted at once, which allows rotation.
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
# Greatest length of a frame of the handshake, which takes some hundred bytes.
# The peer may send on once it has sent its proof, and that is read ahead.
MAX_FRAME_BYTES = 64 * 1024


@dataclasses.dataclass
class Identity:
    """Identity that a process claims.

    Attributes
    ----------
    name : str
        Unique name of the process in the fleet.
    role : str
        ``router`` or ``keeper``.
    data_centre : str
        Data centre from its settings.
    incarnation : int
        Grows with every start, to tell a restarted process apart.
    """

    name: str
    role: str
    data_centre: str
    incarnation: int = 0


@wire.message("hello")
class Hello:
    """First frame of each end; `nonce` is its challenge to the other."""

    version: int
    nonce: bytes


@wire.message("proof")
class Proof:
    """Second frame of each end: its identity with a MAC under `key_id`."""

    identity: Identity
    key_id: str
    mac: bytes


@dataclasses.dataclass
class Keys:
    """Fleet keys by ID; the first one signs, all are accepted."""

    by_id: dict[str, bytes]

    @property
    def signing(self) -> tuple[str, bytes]:
        """Return the ID and the bytes of the signing key."""
        return next(iter(self.by_id.items()))


def _mac(
    key: bytes, side: str, identity: Identity, own_nonce, peer_nonce
) -> bytes:
    payload = wire.encode_value((side, identity, own_nonce, peer_nonce))
    return hmac.new(key, payload, hashlib.sha256).digest()


async def _next_frame(stream, unpacker, message_class: type) -> t.Any:
    received = 0
    while True:
        for parts in unpacker:
            frame = wire.decode(parts)
            if not isinstance(frame.message, message_class):
                raise errors.HandshakeError(
                    "unexpected frame",
                    given=type(frame.message).__name__,
                    expected=message_class.__name__,
                )
            return frame.message
        if received >= MAX_FRAME_BYTES:
            raise errors.HandshakeError(
                "too long a frame",
                given=f"{received} bytes without its end",
                expected=f"less than {MAX_FRAME_BYTES}",
            )
        data = await stream.read_bytes(READ_BYTES, partial=True)
        received += len(data)
        unpacker.feed(data)


async def authenticate(
    stream, identity: Identity, keys: Keys, side: str, unpacker
) -> Identity:
    """Authenticate both ends of `stream` and return the peer's identity.

    Parameters
    ----------
    side : str
        ``client`` for the end that connected, else ``server``.

    Raises
    ------
    errors.HandshakeError
        If the peer sends an unexpected frame, another protocol version or
        an invalid proof.
    """
    nonce = os.urandom(NONCE_BYTES)
    hello = Hello(wire.VERSION, nonce)
    await stream.write(wire.encode(wire.ONE_WAY, 0, hello))
    peer_hello = await _next_frame(stream, unpacker, Hello)
    if peer_hello.version != wire.VERSION:
        raise errors.HandshakeError(
            "protocol version mismatch",
            given=peer_hello.version,
            expected=wire.VERSION,
        )
    key_id, key = keys.signing
    mac = _mac(key, side, identity, nonce, peer_hello.nonce)
    proof = Proof(identity, key_id, mac)
    await stream.write(wire.encode(wire.ONE_WAY, 0, proof))
    peer_proof = await _next_frame(stream, unpacker, Proof)
    peer_side = "server" if side == "client" else "client"
    peer_key = keys.by_id.get(peer_proof.key_id, b"")
    expected_mac = _mac(
        peer_key, peer_side, peer_proof.identity, peer_hello.nonce, nonce
    )
    if not peer_key or not hmac.compare_digest(expected_mac, peer_proof.mac):
        raise errors.HandshakeError(
            "invalid proof from the peer",
            given=peer_proof.key_id,
            expected=f"one of {sorted(keys.by_id)}",
        )
    return peer_proof.identity
