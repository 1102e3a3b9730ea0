"""Choice of the routers that link two data centres.

Rendezvous hashing over the live routers of a data centre selects different
relays for each pair of data centres, which balances the load, and routers
with the same list agree. A dead relay is replaced by the next in order.
Lists that differ for seconds cost an extra link or a duplicate digest: any
router that receives a digest from another data centre acts as a relay.
"""

import typing as t

from amaranthring.core import hashing
from amaranthring.routers import peers

RELAYS = 2
DIAL_SECONDS = 3.0
RETRY_SECONDS = 10.0


def choose(names: t.Iterable[str], data_centre: str, other: str) -> list[str]:
    """Return the relays among `names` of `data_centre` to `other`."""
    key = "relay " + " ".join(sorted((data_centre, other)))
    return hashing.order(key, names)[:RELAYS]


def dial_candidates(candidates: list[peers.Peer], now: float) -> list[str]:
    """Return the routers to dial in a data centre without a live list.

    A router that was dialled for :data:`DIAL_SECONDS` without success is
    skipped until :data:`RETRY_SECONDS` have passed, so that dead routers at
    the head of the order cannot isolate a data centre.
    """
    names = []
    for peer in candidates:
        waited = now - peer.dialled_at
        failed = peer.dialled_at and DIAL_SECONDS < waited < RETRY_SECONDS
        if peer.link is not None or not failed:
            names.append(peer.name)
    return names or [peer.name for peer in candidates]


def should_redial(peer: peers.Peer, now: float) -> bool:
    """Return whether dialling `peer` failed for long enough to restart."""
    return peer.link is None and now - peer.dialled_at > RETRY_SECONDS
