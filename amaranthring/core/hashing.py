"""Rendezvous hashing and digests.

Source: D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to
increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import collections.abc
import hashlib


def weight(key: str, node: str) -> int:
    """Return the 64-bit rendezvous weight of `node` for `key`."""
    digest = hashlib.blake2b(f"{key}\0{node}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def order(key: str, nodes: collections.abc.Iterable[str]) -> list[str]:
    """Return `nodes` by descending weight for `key`, alike on every router."""
    return sorted(nodes, key=lambda node: (-weight(key, node), node))


def first(key: str, nodes: collections.abc.Iterable[str]) -> str | None:
    """Return the node with the highest weight for `key`, or None."""
    return max(nodes, key=lambda node: (weight(key, node), node), default=None)


def digest(*parts: bytes | str) -> str:
    """Return a 128-bit hex digest of length-prefixed `parts`."""
    hasher = hashlib.blake2b(digest_size=16)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        hasher.update(len(data).to_bytes(8, "big"))
        hasher.update(data)
    return hasher.hexdigest()


def token_hash(token: str) -> str:
    """Return the hash under which a bearer token is stored."""
    return hashlib.sha256(token.encode()).hexdigest()
