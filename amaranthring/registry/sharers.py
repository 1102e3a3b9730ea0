"""The number of routers that share the retry budgets, as one router knows it.

The shares of all routers must never add up to more than the whole, also while
routers are cut off, restart or are added, and while keepers restart:

- A higher number from any keeper holds at once, a lower one from a leader only
  after :data:`router_census.RETENTION_WINDOWS`.
- A router that no leader confirms gives up its share after
  :data:`router_census.HELD_WINDOWS`, before others count without it.
- A router takes its share only when the leader has counted it for so long that
  every other router knows of it or has given up its own share.
"""

import dataclasses
import typing as t

import logbook

from amaranthring.core import logs
from amaranthring.policy import budgets
from amaranthring.registry import messages
from amaranthring.registry import router_census

log = logbook.Logger(__name__)


@dataclasses.dataclass(frozen=True)
class Standing:
    """What a router leaves to the next process of its name.

    Attributes
    ----------
    routers : int
        Number of routers by which it divided; 0 if it had no share.
    confirmed_at : float
        As in :class:`Sharers`.
    """

    routers: int
    confirmed_at: float


class Sharers:
    """Follows what keepers tell about the number of routers.

    Parameters
    ----------
    window : float
        Seconds over which retries are counted.
    first_start : bool
        Whether the whole fleet starts for the first time, so that no router
        can have spent anything.
    settle_seconds : float
        Within this time all routers that reach a leader have asked it.
    clock : callable
        Seconds; continues while the VM is suspended.

    Attributes
    ----------
    counts : list of tuple
        When a number was told, and the number; the highest holds. Empty
        before a leader has told one.
    confirmed_at : float
        When a leader was last asked that answered.
    first_confirmed_at : float or None
        When a leader was first asked that answered.
    admitted : bool
        Whether all routers know of this one, or have given up their shares
        since.
    spendable_from : float
        Before this time the process before this one may have spent what this
        one does not know.
    ended : bool
        Whether this router may spend no more, as it stops.
    """

    def __init__(
        self,
        window: float,
        first_start: bool,
        settle_seconds: float,
        clock: t.Callable[[], float],
    ):
        self.window = window
        self.retention = router_census.RETENTION_WINDOWS * window
        self.held = router_census.HELD_WINDOWS * window
        self.first_start = first_start
        self.settle_seconds = settle_seconds
        self.clock = clock
        self.counts: list[tuple[float, int]] = []
        self.confirmed_at = float("-inf")
        self.first_confirmed_at: float | None = None
        self.started_at = clock()
        self.admitted = first_start
        self.spendable_from = self.started_at + (0 if first_start else window)
        self.ended = False

    @property
    def routers(self) -> int:
        """Return the number of routers; 0 while unknown."""
        return max((count for _, count in self.counts), default=0)

    def record(
        self, keeper: str, told: messages.Renewed, asked_at: float
    ) -> None:
        """Record what `keeper` has told when asked at `asked_at`."""
        before = self.routers
        if told.confirmed:
            self._record_confirmed(told, asked_at)
        if self.counts and told.routers > self.routers:
            self.counts.append((self.clock(), told.routers))
        if self.routers != before:
            logs.event(
                log,
                "routers.counted",
                keeper=keeper,
                routers=self.routers,
                before=before,
                confirmed=told.confirmed,
            )

    def _record_confirmed(
        self, told: messages.Renewed, asked_at: float
    ) -> None:
        now = self.clock()
        if self.first_confirmed_at is None:
            self.first_confirmed_at = asked_at
        elif asked_at - self.confirmed_at > self.held:
            # The keepers may have forgotten this router meanwhile.
            self.admitted = False
        self.confirmed_at = max(self.confirmed_at, asked_at)
        if told.counted_seconds >= self.retention:
            self.admitted = True
        oldest = now - self.retention
        self.counts = [c for c in self.counts if c[0] >= oldest]
        self.counts.append((now, told.routers))

    def usable_from(self) -> float:
        """Return the time before which this router may send no retry."""
        return float("inf") if self.ended else self.spendable_from

    def knows_spending(self) -> bool:
        """Return whether what this name spent in the window is known."""
        return self.clock() >= self.spendable_from

    def end(self) -> Standing:
        """Give up the share for good; return what the next process has."""
        share = self.share()
        self.ended = True
        return Standing(
            0 if share.reason else share.routers, self.confirmed_at
        )

    def succeed(self, routers: int, confirmed_at: float) -> None:
        """Go on as the process before, whose spending is counted.

        This router is then as one that stood still in between.

        Parameters
        ----------
        routers : int
            As in :class:`Standing`.
        confirmed_at : float
            Earliest time at which a leader can have confirmed that process.
        """
        self.spendable_from = min(self.spendable_from, self.clock())
        asked_at = self.first_confirmed_at
        if not routers or (
            # The keepers may have forgotten this router meanwhile.
            asked_at is not None and asked_at - confirmed_at > self.held
        ):
            return
        self.admitted = True
        self.first_confirmed_at = confirmed_at - self.settle_seconds
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        self.counts.append((self.clock(), routers))

    def share(self) -> budgets.Share:
        """Return this router's share of an allowance."""
        reason = self._reason_without_share()
        if reason or not self.routers:
            return budgets.Share(0.0, self.routers, reason or "not-counted")
        return budgets.Share(1 / self.routers, self.routers)

    def _reason_without_share(self) -> str:
        """Return why this router may take no share; empty if it may."""
        if self.ended:
            return "ended"
        if self.first_confirmed_at is None:
            return "not-counted"
        now = self.clock()
        settled_at = self.first_confirmed_at + self.settle_seconds
        if now < max(settled_at, self.usable_from()):
            return "starting"
        if not self.admitted:
            return "not-admitted"
        if now - self.confirmed_at > self.held:
            return "unconfirmed"
        return ""
