"""Records of targets, their versions, and the entries of the table."""

import dataclasses
import typing as t

from amaranthring.core import hashing
from amaranthring.core import records
from amaranthring.core import wire
from amaranthring.policy import flap_damping

# Evidence of life within this time after a leave is not yet a renewal.
RENEWED_SECONDS = 0.5


class Version(t.NamedTuple):
    """Version of a record; on every router the highest wins.

    Attributes
    ----------
    incarnation : int
        Incarnation of the target that the record describes.
    leaving : bool
        Final within an incarnation, so it outranks every revision.
    revision : int
        Grows when the incarnation announces other properties, or returns
        after it was lost.
    fingerprint : int
        Hash of the target's properties; breaks ties between equal revisions
        made at two routers.
    """

    incarnation: int
    leaving: bool
    revision: int
    fingerprint: int


@dataclasses.dataclass
class Record:
    """State of one target, as routers send it to each other.

    Attributes
    ----------
    target : Target
        As it announced itself.
    revision : int
        Number of the announcement within the incarnation.
    leaving : bool
        Whether it has left or is leaving.
    age : float
        Seconds between the last evidence of life and the sending.
    spoken : int
        Highest sequence of the target's own messages; 0 if unnumbered.
    """

    target: records.Target
    revision: int
    leaving: bool
    age: float = 0.0
    spoken: int = 0

    @property
    def version(self) -> Version:
        """Return the version of this record."""
        data = wire.encode_value(self.target)
        fingerprint = int(hashing.digest(data)[:8], 16)
        return Version(
            self.target.incarnation, self.leaving, self.revision, fingerprint
        )


def target_key(target: records.Target) -> int:
    """Return the 64-bit key of a target's name and incarnation."""
    digest = hashing.digest(target.name, str(target.incarnation))
    return int(digest[:16], 16)


@dataclasses.dataclass
class Entry:
    """One target in the table.

    Attributes
    ----------
    heard_at : float
        Last evidence of life, on this router's monotonic clock.
    left_at : float
        Last evidence of life when it announced its leave.
    lost : bool
        Whether the lease has expired; the entry is then a tombstone.
    ready_at : float
        When flap damping allows it new work again.
    last_sequence : int
        Highest sequence of its own messages, to refuse replays.
    heard_here_at : float
        When it last sent a message to this router itself.
    """

    target: records.Target
    version: Version
    heard_at: float
    left_at: float = 0.0
    lost: bool = False
    ready_at: float = 0.0
    last_sequence: int = 0
    heard_here_at: float = 0.0
    history: flap_damping.History = dataclasses.field(
        default_factory=flap_damping.History
    )
    report: records.LoadReport | None = None

    def record(self, now: float) -> Record:
        """Return the record to send to other routers at time `now`."""
        return Record(
            self.target,
            self.version.revision,
            self.version.leaving,
            max(0.0, now - self.heard_at),
            self.last_sequence,
        )

    def lease(self, lease_seconds: float, drain_seconds: float) -> float:
        """Return how long this target may go unheard.

        One that announced its leave and no longer renews gets the time to
        drain: if it were lost sooner, its requests would be cut off.
        """
        silent = self.heard_at <= self.left_at + RENEWED_SECONDS
        if self.version.leaving and silent:
            return max(lease_seconds, drain_seconds)
        return lease_seconds

    @property
    def digest_part(self) -> int:
        """Return this entry's part of the digest of its data centre.

        Tombstones are left out: routers lose a target, and remove tombstones,
        at slightly different times.
        """
        if self.lost:
            return 0
        text = f"{self.target.name} {tuple(self.version)}"
        return int(hashing.digest(text)[:16], 16)
