"""State machine interface, clocks, timing options and roles of a group."""

import dataclasses
import enum
import time
import typing as t

from amaranthring.core import clocks


class StateMachine(t.Protocol):
    """Deterministic state machine driven by the log."""

    def apply(self, index: int, stamp: float, command: t.Any) -> t.Any:
        """Apply one command and return its result message or None."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the state by one returned by `snapshot`."""


@dataclasses.dataclass
class Clocks:
    """Sources of time in seconds, replaceable in tests."""

    wall: t.Callable[[], float] = time.time
    monotonic: t.Callable[[], float] = clocks.boottime


@dataclasses.dataclass
class Options:
    """Timing and limits of a group.

    Attributes
    ----------
    heartbeat_seconds : float
        Interval between a leader's heartbeats.
    election_seconds : float
        Silence of a leader after which another may be elected.
    snapshot_entries : int
        Number of entries after which a snapshot is taken.
    kept_entries : int
        Number of entries kept in memory and on disk behind a snapshot, for
        followers that lag slightly.
    may_bootstrap : bool
        Whether this keeper may form a group if it finds none.
    auto_admit : bool
        Whether keepers that are not in the settings are added, and replace
        silent voters, without an operator.
    replace_seconds : float
        Silence after which a voter is replaced if another disk is ready.
    max_voters : int
        Number of voters to which a group with `auto_admit` grows.
    process_started_at : float, optional
        Monotonic seconds at which this process started, if it has one group
        for its whole life; vote promises of the previous process were made
        before then. Otherwise the group's creation time counts.
    """

    heartbeat_seconds: float = 0.1
    election_seconds: float = 0.6
    snapshot_entries: int = 5000
    kept_entries: int = 1000
    may_bootstrap: bool = True
    auto_admit: bool = False
    replace_seconds: float = 2.0
    max_voters: int = 7
    process_started_at: float | None = None

    @property
    def peer_timeout_seconds(self) -> float:
        """Return how long a peer may be silent before its link is closed."""
        return 3 * self.election_seconds


class Role(enum.StrEnum):
    """Role of a keeper in a group."""

    LEADER = "leader"
    CANDIDATE = "candidate"
    FOLLOWER = "follower"
    LEARNER = "learner"
    EMPTY = "empty"
