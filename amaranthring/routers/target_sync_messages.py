"""Messages that synchronise target records between routers."""

import typing as t

from amaranthring.core import wire
from amaranthring.targets import entries


class TargetHeartbeat(t.NamedTuple):
    """Last heartbeat of a target, with its last load report.

    Attributes
    ----------
    key : int
        64-bit digest of the target's name and incarnation.
    age_ms : int
        Age of the heartbeat when the message was sent, in milliseconds.
    spoken : int
        Highest sequence number of the target's own messages.
    sequence : int
        Sequence number of the report; 0 if there is none.
    kv_percent : int
        KV memory in use, in percent.
    """

    key: int
    age_ms: int
    spoken: int = 0
    sequence: int = 0
    running: int = 0
    waiting: int = 0
    kv_percent: int = 0


class KnownVersion(t.NamedTuple):
    """Name and version of a record that the requester has."""

    name: str
    incarnation: int
    leaving: bool
    revision: int
    fingerprint: int


class RelayedDigest(t.NamedTuple):
    """Digest of another data centre, forwarded by a relay; see Digest."""

    data_centre: str
    age_ms: int
    mark: int
    routers_mark: int
    stale: list[str]


@wire.message("sb", compact=True)
class Batch:
    """Updates of one router for its data centre, sent every second.

    Attributes
    ----------
    clock_ms : int
        Sender's monotonic clock, used to estimate the message's delay.
    mark : int
        Digest of the sender's records of the data centre.
    beats : list of TargetHeartbeat
        Targets that renewed at the sender since its last batch.
    records : list of Record
        Recently changed records.
    passed : list of RelayedDigest
        Digests of other data centres, from a relay.
    """

    clock_ms: int
    mark: int
    beats: list[TargetHeartbeat]
    records: list[entries.Record]
    passed: list[RelayedDigest]


@wire.message("sd", compact=True)
class Digest:
    """State of a data centre's targets and routers, sent between relays.

    Attributes
    ----------
    clock_ms : int
        Sender's monotonic clock.
    mark : int
        Digest of the records of `data_centre`.
    routers_mark : int
        Digest of its list of live routers.
    stale : list of str
        Targets without a recent heartbeat there.
    chosen : bool
        Whether sender and receiver are relays by the sender's list. If not,
        the digest is a reply and must not be answered: two former relays
        would otherwise answer each other forever.
    """

    data_centre: str
    clock_ms: int
    mark: int
    routers_mark: int
    stale: list[str]
    chosen: bool


@wire.message("spread-pull")
class Pull:
    """Requests the records of `data_centre` that are newer than `known`."""

    data_centre: str
    known: list[KnownVersion]


@wire.message("spread-pulled")
class PullReply:
    """Reply to a pull: newer records, heartbeats and live routers.

    Attributes
    ----------
    age_ms : int
        Milliseconds since the data centre last confirmed its records.
    """

    clock_ms: int
    age_ms: int
    records: list[entries.Record]
    beats: list[TargetHeartbeat]
    routers: list[str]
