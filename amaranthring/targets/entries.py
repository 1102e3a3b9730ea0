"""Records of targets, their versions, and the entries of the table."""

import dataclasses
import typing as t

from amaranthring.core import hashing
from amaranthring.core import records
from amaranthring.core import wire
from amaranthring.policy import flap_damping

RENEWED_SECONDS = 0.5


class Version(t.NamedTuple):
    """Version of a record; the highest wins on every router.

    Attributes
    ----------
    incarnation : int
        Start of the target that the record belongs to.
    leaving : bool
        Final within an incarnation, so it outranks every revision.
    revision : int
        Grows when the same incarnation announces other facts, or comes
        back after it was lost.
    fingerprint : int
        Of the facts; decides between equal revisions made at two routers.
    """

    incarnation: int
    leaving: bool
    revision: int
    fingerprint: int


@dataclasses.dataclass
class Record:
    """What routers tell each other of one target.

    Attributes
    ----------
    target : Target
        As it announced itself.
    revision : int
        Number of the announcement within the incarnation.
    leaving : bool
        Whether it has left or is leaving.
    age : float
        Seconds since the last evidence of life when the record was sent.
    spoken : int
        Highest sequence of the target's own messages; 0 if it numbers none.
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
    heard : float
        Last evidence of life, on this router's monotonic clock.
    left : float
        Evidence known when it said that it leaves.
    lost : bool
        Whether the lease ran out; the entry then is a tombstone.
    ready_at : float
        When flap damping lets it have work again.
    spoken : int
        Highest sequence of its own messages.
    here : float
        When it last spoke to this very router.
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
    report: records.Report | None = None

    def record(self, now: float) -> Record:
        """Return what other routers are told at time `now`."""
        return Record(
            self.target,
            self.version.revision,
            self.version.leaving,
            max(0.0, now - self.heard_at),
            self.last_sequence,
        )

    def lease(self, lease_seconds: float, drain_seconds: float) -> float:
        """Return how long this target may stay unheard.

        One that said it leaves and renews no more is left the time to end
        what it runs: to give it up at once would cut off its requests.
        """
        silent = self.heard_at <= self.left_at + RENEWED_SECONDS
        if self.version.leaving and silent:
            return max(lease_seconds, drain_seconds)
        return lease_seconds

    @property
    def digest_part(self) -> int:
        """Return this entry's part of the digest of its data centre.

        Tombstones are left out: routers give a target up at slightly
        different moments and forget tombstones at different moments.
        """
        if self.lost:
            return 0
        text = f"{self.target.name} {tuple(self.version)}"
        return int(hashing.digest(text)[:16], 16)
