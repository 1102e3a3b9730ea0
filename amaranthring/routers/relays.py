"""Which routers link two data centres.

Chosen by rendezvous over the live routers of a data centre, a different few
for each pair of data centres, so that the work is spread and every router
that has the same list chooses the same. When a relay dies, the next in order
takes its place by itself. Lists that differ for seconds cost a link more or
a digest twice: whoever gets a digest from elsewhere acts as a relay.
"""

import typing as t

from amaranthring.core import hashing
from amaranthring.routers import peers

RELAYS = 2
DIAL_SECONDS = 3.0
SKIP_SECONDS = 10.0


def choose(names: t.Iterable[str], data_centre: str, other: str) -> list[str]:
    """Return the relays among `names` of `data_centre` to `other`."""
    key = "relay " + " ".join(sorted((data_centre, other)))
    return hashing.order(key, names)[:RELAYS]


def dial_candidates(there: list[peers.Peer], now: float) -> list[str]:
    """Return routers of a data centre of which nothing is known yet.

    One that was dialled for :data:`DIAL_SECONDS` without a link is passed
    over until :data:`SKIP_SECONDS` have gone by, so that dead routers at
    the head of the order do not keep a data centre apart.
    """
    fine = []
    for peer in there:
        waited = now - peer.dialled_at
        failed = peer.dialled_at and DIAL_SECONDS < waited < SKIP_SECONDS
        if peer.link is not None or not failed:
            fine.append(peer.name)
    return fine or [peer.name for peer in there]


def should_redial(peer: peers.Peer, now: float) -> bool:
    """Return whether dialling `peer` failed so long that it starts anew."""
    return peer.link is None and now - peer.dialled_at > SKIP_SECONDS
