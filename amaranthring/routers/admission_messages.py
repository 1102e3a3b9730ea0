"""Messages between entry routers, admission owners and directory shards.

The entry router chooses serial numbers, which keep growing across restarts.
A grant is identified by its router and serial.
"""

import dataclasses
import typing as t

from amaranthring.core import records
from amaranthring.core import wire
from amaranthring.policy import suspects


@wire.message("admit", compact=True)
class Admit:
    """Asks the owner of `cell` for a grant.

    Attributes
    ----------
    wait_seconds : float
        Seconds that the request may still wait.
    suspect : bool
        Whether the request ran at a target that died; it must run apart from
        other suspects.
    at_once : bool
        Whether to refuse instead of queueing.
    alone : bool
        Whether other cells were full: decide by this cell's mean only.
    forced : bool
        Whether to decide even if another router appears to be the owner.
    """

    cell: str
    router: str
    serial: int
    account: str
    cls: str
    priority: int
    chat: str
    wait_seconds: float
    remembered: list[str] = dataclasses.field(default_factory=list)
    excluded: list[str] = dataclasses.field(default_factory=list)
    suspect: bool = False
    at_once: bool = False
    forced: bool = False
    alone: bool = False


@wire.message("granted", compact=True)
class Granted:
    """Permission to send request `serial` to `target`.

    Attributes
    ----------
    load, in_flight, targets : int
        Inputs of the decision, for ``explain``.
    """

    cell: str
    serial: int
    target: str
    queued_seconds: float = 0.0
    load: int = 0
    in_flight: int = 0
    targets: int = 0


@wire.message("queued")
class Queued:
    """The request is queued; `Granted` or `Dropped` follows one-way."""


@wire.message("elsewhere")
class CellFull:
    """The cell is at its bound; `cells` recently had capacity.

    The request is not queued. The entry router asks those cells and, if
    they are full too, asks this one again with `alone` set.
    """

    cells: list[str]


@wire.message("not-owner")
class NotOwner:
    """Redirect: router `asked` takes `owner` for the owner of `cell`."""

    cell: str
    asked: str
    owner: str


@wire.message("dropped")
class Dropped:
    """A queued request is dropped, for the reason in `error`.

    With `moved`, the cell has a new owner and the entry router asks again.
    """

    serial: int
    error: dict[str, t.Any] = dataclasses.field(default_factory=dict)
    moved: bool = False


@wire.message("release", compact=True)
class Release:
    """Releases a grant or withdraws a queued request."""

    cell: str
    router: str
    serial: int
    end: records.AttemptEnd


@wire.message("holdings", compact=True)
class GrantReport:
    """All grants of `router` in `cell`.

    Renews leases and repairs lost releases and replies.

    Attributes
    ----------
    next_serial : int
        Serials from this one on were assigned after this message.
    held : dict
        Target to the serials running there, encoded compactly as distances
        below `next_serial`.
    waiting : list of int
        Serials of queued requests, as distances.
    suspects : list of int
        Those of `held` that are suspects, as distances.
    partial : bool
        Whether grants that are not listed stay valid.
    forced : bool
        Whether to accept it even if another router appears to be the owner.
    """

    cell: str
    router: str
    next_serial: int
    held: dict[str, list[int]]
    waiting: list[int] = dataclasses.field(default_factory=list)
    suspects: list[int] = dataclasses.field(default_factory=list)
    partial: bool = False
    forced: bool = False


@wire.message("tell-holdings")
class GrantReportRequest:
    """Asks all routers for their grants in `cell`, sent by a deputy."""

    cell: str
    deputy: str


@wire.message("cell-digest", compact=True)
class CellDigest:
    """Load of `cell`, sent to the owner of its sibling `to`."""

    to: str
    cell: str
    in_flight: int
    targets: int
    room: int
    waiting: int


@wire.message("describe-target")
class DescribeTarget:
    """Asks an owner for a target record that the entry router lacks."""

    name: str


@wire.message("target-described")
class TargetDescribed:
    """The target record, if the owner has one."""

    target: records.Target | None


@wire.message("place-find", compact=True)
class FindLocations:
    """Asks a directory shard for the prefix-cache locations of `chat`."""

    chat: str
    fingerprint: str = ""


@wire.message("place-found", compact=True)
class LocationsFound:
    """Targets that ran the chat, most recent first.

    `deaths` lists targets that died while this request ran there. A
    `condemned` request must not run again; a `pending` one not before its
    crashes are proven or withdrawn.
    """

    targets: list[str] = dataclasses.field(default_factory=list)
    deaths: list[str] = dataclasses.field(default_factory=list)
    condemned: bool = False
    pending: bool = False


@wire.message("place-remember", compact=True)
class StoreLocations:
    """Stores the locations of chats in a directory shard, latest first."""

    places: dict[str, list[str]]


@wire.message("suspect-crashed")
class SuspectCrashed:
    """Reports a crash while request `fingerprint` ran on the target."""

    key: str
    fingerprint: str
    crash: suspects.Crash


@wire.message("crash-settled")
class CrashSettled:
    """Replaces what was reported about a crash, if it is still known."""

    key: str
    fingerprint: str
    crash: suspects.Crash


@wire.message("suspect-updated")
class SuspectUpdated:
    """Reply: all crashes of the request, and whether this condemned it."""

    condemned: bool = False
    crashes: list[suspects.Crash] = dataclasses.field(default_factory=list)


@wire.message("crash-withdrawn")
class CrashWithdrawn:
    """Reports that a target whose crash was not proven is alive."""

    key: str
    fingerprint: str
    target: str


@wire.message("cleared")
class SuspectCleared:
    """Reports that a suspect request completed without a crash."""

    key: str
    fingerprint: str


@wire.message("running-at-crash")
class RunningAtCrash:
    """Reports a request that ran on a process when it crashed.

    `seconds` is the time since the request was sent.
    """

    crash: suspects.Crash
    fingerprint: str
    seconds: float


@wire.message("running-recorded")
class RunningRecorded:
    """Reply: whether the request may have caused the crash."""

    plausible: bool = True


@wire.message("crash-record-ask")
class CrashRecordRequest:
    """Asks which requests ran on a process when it crashed."""

    target: str
    incarnation: int


@wire.message("crash-record")
class CrashRecordFound:
    """Reply: fingerprints of the requests that ran there.

    `cause` is the one that was condemned for the crash, if any.
    """

    fingerprints: list[str] = dataclasses.field(default_factory=list)
    cause: str = ""


@wire.message("crash-explained")
class CrashExplained:
    """Reports that request `fingerprint` was condemned for a crash."""

    crash: suspects.Crash
    fingerprint: str


@wire.message("crash-record-withdrawn")
class CrashRecordWithdrawn:
    """Reports that a process whose crash was not proven is alive."""

    target: str
    incarnation: int


@dataclasses.dataclass
class SuspectEntry:
    """State of one suspect, copied between shards."""

    key: str
    fingerprint: str
    crashes: list[suspects.Crash]
    condemned: bool = False


@wire.message("suspects")
class Suspects:
    """Suspects whose shard moved to the receiver."""

    entries: list[SuspectEntry]


@wire.message("rate-ask")
class TokenRequest:
    """Asks the account's owner for rate-limit tokens."""

    account: str
    router: str
    wanted: int


@wire.message("rate-given")
class TokenGrant:
    """Tokens that are valid for `seconds`, or none until `retry_after`."""

    tokens: int
    seconds: float
    retry_after: float = 0.0
