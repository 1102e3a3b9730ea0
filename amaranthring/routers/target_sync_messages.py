"""Messages by which routers spread what they know of targets."""

import typing as t

from amaranthring.core import wire
from amaranthring.targets import entries


class TargetHeartbeat(t.NamedTuple):
    """Evidence that a target lives, with its last report.

    Attributes
    ----------
    key : int
        64-bit digest of the target's name and incarnation.
    age_ms : int
        Milliseconds from the evidence to the sending of the message.
    spoken : int
        Highest sequence of the target's own messages.
    sequence : int
        Of the report; 0 if there is none.
    kv_percent : int
        KV memory in use, in hundredths.
    """

    key: int
    age_ms: int
    spoken: int = 0
    sequence: int = 0
    running: int = 0
    waiting: int = 0
    kv_percent: int = 0


class KnownVersion(t.NamedTuple):
    """Name and version of a record that the asker has."""

    name: str
    incarnation: int
    leaving: bool
    revision: int
    fingerprint: int


class RelayedDigest(t.NamedTuple):
    """Word of another data centre, passed on by a relay; see Digest."""

    data_centre: str
    age_ms: int
    mark: int
    routers_mark: int
    stale: list[str]


@wire.message("sb", compact=True)
class Batch:
    """One router's news for its data centre, once a second.

    Attributes
    ----------
    clock_ms : int
        Sender's monotonic clock, which shows the lateness of the message.
    mark : int
        Digest of the sender's records of the data centre.
    beats : list of Beat
        Targets that renewed at the sender since its last batch.
    records : list of Record
        Records that changed of late.
    passed : list of Passed
        Digests of other data centres, from a relay.
    """

    clock_ms: int
    mark: int
    beats: list[TargetHeartbeat]
    records: list[entries.Record]
    passed: list[RelayedDigest]


@wire.message("sd", compact=True)
class Digest:
    """A data centre's word for its targets and routers, between relays.

    Attributes
    ----------
    clock_ms : int
        Sender's monotonic clock.
    mark : int
        Digest of the records of `data_centre`.
    routers_mark : int
        Digest of its list of live routers.
    stale : list of str
        Targets that have not been heard there for a while.
    chosen : bool
        Whether sender and receiver are relays by the sender's list. Else it
        only answers digests, and must not be answered: two routers that are
        relays no more would go on for ever.
    """

    data_centre: str
    clock_ms: int
    mark: int
    routers_mark: int
    stale: list[str]
    chosen: bool


@wire.message("spread-pull")
class Pull:
    """Asks for every record of `data_centre` that is newer than `known`."""

    data_centre: str
    known: list[KnownVersion]


@wire.message("spread-pulled")
class PullReply:
    """Answer to a pull: newer records, ages of the rest, live routers.

    Attributes
    ----------
    age_ms : int
        Milliseconds since the data centre asked for vouched for them.
    """

    clock_ms: int
    age_ms: int
    records: list[entries.Record]
    beats: list[TargetHeartbeat]
    routers: list[str]
