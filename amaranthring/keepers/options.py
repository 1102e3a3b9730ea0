"""What a group is made with: its machine, clocks, timing; and its roles."""

import dataclasses
import enum
import time
import typing as t

from amaranthring.core import clocks


class StateMachine(t.Protocol):
    """Deterministic state that the log drives."""

    def apply(self, index: int, stamp: float, command: t.Any) -> t.Any:
        """Apply one command and return its result message or None."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the state by one that `snapshot` returned."""


@dataclasses.dataclass
class Clocks:
    """Sources of time, in seconds; seams for tests."""

    wall: t.Callable[[], float] = time.time
    monotonic: t.Callable[[], float] = clocks.boottime


@dataclasses.dataclass
class Options:
    """Timing and bounds of a group.

    Attributes
    ----------
    heartbeat_seconds : float
        Longest silence of a leader.
    election_seconds : float
        Silence after which another leader may be elected.
    snapshot_entries : int
        Entries after which a snapshot is taken.
    kept_entries : int
        Entries kept in memory and on disk behind a snapshot, for followers
        that lag a little.
    may_bootstrap : bool
        Whether this keeper may begin a group where it finds none.
    auto_admit : bool
        Whether keepers that nobody named are taken in, and voters that
        stay silent are replaced by them, without an operator.
    replace_seconds : float
        Silence after which a voter is replaced if another disk is ready.
    voters_most : int
        Voters that a group with `auto_admit` grows to.
    process_started_at : float, optional
        Monotonic seconds at which this process began. Given where the
        process holds a single group for its whole life: what its
        predecessor promised was promised before. Otherwise a group counts
        from when it is made.
    """

    heartbeat_seconds: float = 0.1
    election_seconds: float = 0.6
    snapshot_entries: int = 5000
    kept_entries: int = 1000
    may_bootstrap: bool = True
    auto_admit: bool = False
    replace_seconds: float = 2.0
    voters_most: int = 7
    process_started_at: float | None = None

    @property
    def silent_seconds(self) -> float:
        """Return how long a peer may be silent before its link is cut."""
        return 3 * self.election_seconds


class Role(enum.StrEnum):
    """What a keeper is in a group."""

    LEADER = "leader"
    CANDIDATE = "candidate"
    FOLLOWER = "follower"
    LEARNER = "learner"
    EMPTY = "empty"
