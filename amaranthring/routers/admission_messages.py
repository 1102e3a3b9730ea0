"""Messages between entry routers, admission owners and directory shards.

Serial numbers are chosen by the entry router and grow over its restarts; a
grant is named by its router and serial.
"""

import dataclasses
import typing as t

from amaranthring.core import records
from amaranthring.core import wire


@wire.message("admit", compact=True)
class Admit:
    """Asks the owner of `cell` for a grant.

    Attributes
    ----------
    wait_seconds : float
        How long the request may still wait.
    suspect : bool
        It ran at a target that died; it must run apart from other suspects.
    at_once : bool
        Do not queue it here.
    alone : bool
        Cells with room were asked in vain: decide by this cell's own mean.
    forced : bool
        Decide even if another router seems to be the owner.
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
    """Leave to send request `serial` to `target`.

    Attributes
    ----------
    load, in_flight, targets : int
        What it was decided on, for ``explain``.
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
    """The request waits; `Granted` or `Dropped` follows by itself."""


@wire.message("elsewhere")
class CellFull:
    """No room within the bound here; `cells` lately had room.

    The request is not queued. The entry router asks these at once, and if
    they have none, asks here again, `alone`.
    """

    cells: list[str]


@wire.message("not-owner")
class NotOwner:
    """Router `asked` sees `owner` as the live owner of `cell`."""

    cell: str
    asked: str
    owner: str


@wire.message("dropped")
class Dropped:
    """A waiting request is given up; `error` says why.

    `moved` tells that the owner goes away and the request should be asked
    for again.
    """

    serial: int
    error: dict[str, t.Any] = dataclasses.field(default_factory=dict)
    moved: bool = False


@wire.message("release", compact=True)
class Release:
    """Gives back a grant or withdraws a waiting request."""

    cell: str
    router: str
    serial: int
    end: records.End


@wire.message("holdings", compact=True)
class GrantReport:
    """Everything that `router` holds in `cell`: renews leases, heals losses.

    Attributes
    ----------
    next_serial : int
        Serials from here on are younger than this message.
    held : dict
        Target to the serials running there, each as distance below
        `next_serial`, which packs small.
    waiting : list of int
        Serials that wait, as distances too.
    suspects : list of int
        Those of `held` that are suspects.
    partial : bool
        Told by an earlier owner: ends nothing that it leaves out.
    forced : bool
        To be taken even if another router seems to be the owner.
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
    """A deputy that stands in for an owner asks what runs in `cell`."""

    cell: str
    deputy: str


@wire.message("cell-digest", compact=True)
class CellDigest:
    """What one owner tells the owner of sibling cell `to` about its own."""

    to: str
    cell: str
    in_flight: int
    targets: int
    room: int
    waiting: int


@wire.message("describe-target")
class DescribeTarget:
    """Asks an owner about a target that the entry router has not heard of."""

    name: str


@wire.message("target-described")
class TargetDescribed:
    """What the owner knows about the target."""

    target: records.Target | None


@wire.message("place-find", compact=True)
class FindLocations:
    """Asks a directory shard where `chat` ran last."""

    chat: str
    fingerprint: str = ""


@wire.message("place-found", compact=True)
class LocationsFound:
    """Targets that ran the chat, the last one first, and what is known.

    `deaths` names the targets that died while this very request ran there;
    a condemned one is not run again.
    """

    targets: list[str] = dataclasses.field(default_factory=list)
    deaths: list[str] = dataclasses.field(default_factory=list)
    condemned: bool = False


@wire.message("place-remember", compact=True)
class StoreLocations:
    """Tells a directory shard where chats ran, the last place first."""

    places: dict[str, list[str]]


@wire.message("crashed")
class TargetCrashed:
    """The run of request `fingerprint` coincided with a target's death.

    `apart` tells that it ran as a suspect, apart from others.
    """

    key: str
    fingerprint: str
    target: str
    apart: bool = False


@wire.message("crash-noted")
class CrashRecorded:
    """Whether this death condemned the request."""

    condemned: bool


@wire.message("cleared")
class SuspectCleared:
    """A suspect request ran to its end; its target lives."""

    key: str
    fingerprint: str


@dataclasses.dataclass
class SuspectEntry:
    """What one shard tells another about a suspect."""

    key: str
    fingerprint: str
    deaths: list[str]
    condemned: bool = False


@wire.message("suspects")
class Suspects:
    """Suspects whose shard is the receiver now."""

    entries: list[SuspectEntry]


@wire.message("rate-ask")
class TokenRequest:
    """Asks the account's owner for request tokens."""

    account: str
    router: str
    wanted: int


@wire.message("rate-given")
class TokenGrant:
    """Tokens granted for `seconds`, or none until `retry_after`."""

    tokens: int
    seconds: float
    retry_after: float = 0.0
