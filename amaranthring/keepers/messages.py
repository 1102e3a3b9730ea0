"""Messages between keepers, and between routers and keepers.

Every message names its group, so that one process can serve several. Peer
messages also carry the disk identity of the sender and the one that the
sender believes the receiver has: a keeper whose disk was lost or swapped
under its old name is told apart from its predecessor at each message.
"""

import dataclasses
import typing as t

from amaranthring.core import wire


@dataclasses.dataclass
class Member:
    """One disk that takes part in a group.

    Attributes
    ----------
    disk : str
        Identity of the disk, drawn when its folder was first used.
    name : str
        Keeper that holds the disk.
    address : str
        ``host:port`` of the keeper's fleet listener.
    data_centre : str
        Where the keeper runs.
    """

    disk: str
    name: str
    address: str
    data_centre: str


@wire.message("keeper-members")
class Members:
    """Configuration of a group; also the first entry of each leader."""

    voters: list[Member] = dataclasses.field(default_factory=list)
    learners: list[Member] = dataclasses.field(default_factory=list)


@wire.message("keeper-greet")
class Greet:
    """Asks a keeper for its disk and for the group that it knows.

    Attributes
    ----------
    address, data_centre : str
        Where the keeper that asks is reached; a group that admits keepers
        by itself takes it in there.
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
    """Asks for a vote, or with `pre` whether a vote would be given."""

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
    """Entries of the leader's log after `prev_index`; none is a heartbeat."""

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
        Whether the log agrees up to `match`, all of it synced.
    match : int
        Highest index known to agree and to be synced.
    hint : int
        Where to go on after a refusal.
    wall : float
        Wall clock of the follower in seconds.
    held : float
        Seconds from taking the message until this reply, for its disk.
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
    """One piece of a snapshot file for a follower far behind."""

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
    """Reply to :class:`Chunk`: `offset` is the next byte wanted."""

    term: int
    ok: bool
    disk: str
    offset: int = 0


@wire.message("keeper-propose")
class Propose:
    """A router's command for the log; the reply is the command's result."""

    group: str
    tag: str
    body: t.Any
    timeout: float


@wire.message("keeper-change")
class Change:
    """Adds keeper `name` as a learner to be voted in, or removes it."""

    group: str
    add: bool
    name: str
    address: str = ""
    data_centre: str = ""
    timeout: float = 10.0


@wire.message("keeper-ping")
class Ping:
    """Asks whether the link works; the reply is the same."""

    group: str


@wire.message("keeper-status-query")
class StatusQuery:
    """Asks any keeper for its :class:`Status`."""

    group: str


@dataclasses.dataclass
class MemberStatus:
    """What the answering keeper knows of one member.

    `lag` counts entries behind the log's end and `silent_seconds` the time
    since its last reply under this leader; only the leader knows them.
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
        a quorum. Known to the leader only, else -2.
    fault : str
        Why this keeper stopped taking part, or empty.
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
