"""Messages between keepers, and between routers and keepers.

Every message names its group, so that one process can serve several. Messages
between keepers also carry the disk identity of the sender and the one that it
expects at the receiver, so that a lost or swapped disk is detected at once.
"""

import dataclasses
import typing as t

from amaranthring.core import wire


@dataclasses.dataclass
class Member:
    """A disk that participates in a group.

    Attributes
    ----------
    disk : str
        Random identity of the disk, created when its folder was first used.
    name : str
        Keeper that owns the disk.
    address : str
        ``host:port`` of the keeper's fleet listener.
    data_centre : str
        Data centre of the keeper.
    """

    disk: str
    name: str
    address: str
    data_centre: str


@wire.message("keeper-members")
class Members:
    """Configuration of a group; also a new leader's first log entry."""

    voters: list[Member] = dataclasses.field(default_factory=list)
    learners: list[Member] = dataclasses.field(default_factory=list)


@wire.message("keeper-greet")
class Greet:
    """Asks a keeper for its disk and the members that it knows.

    Attributes
    ----------
    address, data_centre : str
        Location of the sender, used by groups that admit new keepers
        automatically.
    """

    group: str
    disk: str
    address: str = ""
    data_centre: str = ""


@wire.message("keeper-greeted")
class Greeted:
    """Reply to :class:`Greet`; `members` is None on an empty disk."""

    disk: str
    members: Members | None = None


@wire.message("keeper-vote")
class Vote:
    """Requests a vote, or with `pre` a pre-vote."""

    group: str
    term: int
    disk: str
    to_disk: str
    last_index: int
    last_term: int
    pre: bool


@wire.message("keeper-voted")
class Voted:
    """Reply to :class:`Vote`."""

    term: int
    granted: bool
    disk: str


@wire.message("keeper-append")
class Append:
    """Entries of the leader's log after `prev_index`; empty as a heartbeat."""

    group: str
    term: int
    disk: str
    to_disk: str
    prev_index: int
    prev_term: int
    commit: int
    entries: list[bytes] = dataclasses.field(default_factory=list)


@wire.message("keeper-appended")
class Appended:
    """Reply to :class:`Append`.

    Attributes
    ----------
    ok : bool
        Whether the entries were accepted; the log then agrees with the
        leader's up to `match`.
    match : int
        Highest index known to agree and to be synced.
    hint : int
        Index to resume from after a rejection.
    wall : float
        Wall clock of the follower in seconds.
    held : float
        Seconds from receipt of the message until this reply, including the
        sync.
    """

    term: int
    ok: bool
    disk: str
    match: int = 0
    hint: int = 0
    wall: float = 0.0
    held: float = 0.0


@wire.message("keeper-chunk")
class Chunk:
    """A chunk of a snapshot file, for a follower that lags far behind."""

    group: str
    term: int
    disk: str
    to_disk: str
    index: int
    offset: int
    total: int
    data: bytes


@wire.message("keeper-chunked")
class Chunked:
    """Reply to :class:`Chunk`; `offset` is the next expected byte."""

    term: int
    ok: bool
    disk: str
    offset: int = 0


@wire.message("keeper-propose")
class Propose:
    """A command from a router; the reply is the command's result."""

    group: str
    tag: str
    body: t.Any
    timeout: float


@wire.message("keeper-change")
class Change:
    """Adds keeper `name` as a learner to be promoted, or removes it."""

    group: str
    add: bool
    name: str
    address: str = ""
    data_centre: str = ""
    timeout: float = 10.0


@wire.message("keeper-ping")
class Ping:
    """Checks the link; the reply is the same message."""

    group: str


@wire.message("keeper-status-query")
class StatusQuery:
    """Asks any keeper for its :class:`Status`."""

    group: str


@dataclasses.dataclass
class MemberStatus:
    """Status of one member, as seen by the replying keeper.

    `lag` is the number of entries behind the end of the log, and
    `silent_seconds` the time since the last reply under this leader; only
    the leader knows them.
    """

    name: str
    disk: str
    address: str
    data_centre: str
    voter: bool
    live: bool
    lag: int
    silent_seconds: float


@wire.message("keeper-status")
class Status:
    """State of one keeper of a group.

    Attributes
    ----------
    role : str
        ``leader``, ``candidate``, ``follower``, ``learner`` or ``empty``.
    safe_losses : int
        Voters that may still be lost without losing the quorum; -1 without
        a quorum, -2 on keepers other than the leader.
    fault : str
        Why this keeper stopped participating, or empty.
    """

    group: str
    keeper: str
    disk: str
    role: str
    term: int
    leader: str
    first_index: int
    last_index: int
    commit_index: int
    applied_index: int
    snapshot_index: int
    safe_losses: int
    fault: str
    stamp: float
    members: list[MemberStatus] = dataclasses.field(default_factory=list)
