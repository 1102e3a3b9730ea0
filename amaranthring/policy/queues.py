"""Weighted fair queue over client accounts, by priority.

Within a priority, accounts are served by start-time fair queueing (P. Goyal,
H. Vin, H. Cheng, "Start-time fair queuing", IEEE/ACM Transactions on
Networking 5(5), 1997): an account that never waits loses nothing, one that
floods waits behind its own requests only. Lower priorities are served first;
each higher one is sure of :data:`SHARE_OF_LATER` of the turns, so that batch
work goes on.
"""

import collections
import collections.abc
import dataclasses
import itertools
import math

SHARE_OF_LATER = 0.05
SCAN_MOST = 16
SPEED_SECONDS = 10.0


@dataclasses.dataclass(eq=False)
class Waiter:
    """One waiting request.

    Attributes
    ----------
    key : tuple
        Entry router and serial.
    ask : object
        The message that asked.
    account : str
        Client account.
    weight : float
        The account's share.
    priority : int
        Lower is served earlier.
    since, deadline : float
        On the owner's clock, in seconds.
    start : float
        Start tag in virtual time, set by the queue.
    """

    key: tuple[str, int]
    ask: object
    account: str
    weight: float
    priority: int
    since: float
    deadline: float
    start: float = 0.0


class Level:
    """Waiting requests of one priority."""

    def __init__(self):
        self.accounts: dict[str, collections.deque[Waiter]] = {}
        self.finish: dict[str, float] = {}
        self.now = 0.0
        self.credit = 0.0
        self.length = 0
        self.gained = 0.0
        self.gained_at = 0.0
        self.began = -1.0

    def push(self, waiter: Waiter) -> None:
        """Add `waiter` behind its account's others."""
        waiter.start = max(self.now, self.finish.get(waiter.account, 0.0))
        self.finish[waiter.account] = waiter.start + 1 / waiter.weight
        queue = self.accounts.setdefault(waiter.account, collections.deque())
        queue.append(waiter)
        self.length += 1

    def in_turn(self) -> collections.abc.Iterator[Waiter]:
        """Yield who may be served, next in turn first.

        One that waits for a certain target must not hold up those behind
        it, so a few of each account are offered.
        """
        queues = sorted(
            self.accounts.values(),
            key=lambda queue: (queue[0].start, queue[0].since),
        )
        for queue in queues:
            yield from itertools.islice(queue, SCAN_MOST)

    def speed(self, now: float) -> float:
        """Return how fast virtual time moved lately, a second."""
        age = now - self.began
        if self.began < 0 or age <= 0:
            return 0.0
        fade = math.exp(-(now - self.gained_at) / SPEED_SECONDS)
        filled = SPEED_SECONDS * (1 - math.exp(-age / SPEED_SECONDS))
        return self.gained * fade / filled

    def serve(self, waiter: Waiter, now: float) -> None:
        """Take `waiter` out as served: virtual time moves on to it."""
        if self.began < 0:
            self.began = self.gained_at = now
        gain = max(0.0, waiter.start - self.now)
        fade = math.exp(-(now - self.gained_at) / SPEED_SECONDS)
        self.gained = self.gained * fade + gain
        self.gained_at = now
        self.take(waiter, served=True)

    def take(self, waiter: Waiter, served: bool) -> None:
        """Take `waiter` out; `served` moves virtual time on."""
        queue = self.accounts[waiter.account]
        queue.remove(waiter)
        self.length -= 1
        if served:
            self.now = max(self.now, waiter.start)
        else:
            self._close_gap(queue, waiter)
        if not queue:
            del self.accounts[waiter.account]
        if not self.accounts:
            # Nobody waits: old tags would only grow the table.
            self.finish.clear()
            self.now = 0.0

    def _close_gap(self, queue, waiter: Waiter) -> None:
        # One that leaves unserved must not cost its account a turn.
        step = 1 / waiter.weight
        self.finish[waiter.account] -= step
        for later in queue:
            if later.start > waiter.start:
                later.start -= step


class FairQueue:
    """Bounded fair queue of one cell.

    Attributes
    ----------
    waiters : dict
        Every waiting request by its key.
    """

    def __init__(self):
        self.levels: dict[int, Level] = {}
        self.waiters: dict[tuple[str, int], Waiter] = {}

    def __len__(self) -> int:
        return len(self.waiters)

    def push(self, waiter: Waiter, most: int) -> Waiter | None:
        """Queue `waiter`; return the one that has to go for it, if any.

        When `most` requests of this priority wait already, the last request
        of the account that has most of them for its weight goes, which may
        be `waiter` itself. One surging account so cannot keep others out.
        """
        level = self.levels.setdefault(waiter.priority, Level())
        level.push(waiter)
        self.waiters[waiter.key] = waiter
        if level.length <= most:
            return None
        longest = max(
            level.accounts.values(),
            key=lambda queue: (len(queue) / queue[-1].weight, queue[-1].since),
        )
        last = longest[-1]
        self.remove(last.key)
        return last

    def remove(self, key: tuple[str, int]) -> Waiter | None:
        """Take out the waiter under `key`, unserved."""
        waiter = self.waiters.pop(key, None)
        if waiter is not None:
            self.levels[waiter.priority].take(waiter, served=False)
            self._tidy(waiter.priority)
        return waiter

    def pop(
        self,
        place: collections.abc.Callable[[Waiter], str | None],
        now: float,
    ) -> tuple[Waiter, str] | None:
        """Serve the next waiter in turn that `place` finds a target for.

        Parameters
        ----------
        place : callable
            Returns the target for a waiter, or None if it has to wait on.
        now : float
            On the owner's clock, in seconds.
        """
        for priority in self._turns():
            level = self.levels[priority]
            for waiter in level.in_turn():
                target = place(waiter)
                if target is None:
                    continue
                del self.waiters[waiter.key]
                level.serve(waiter, now)
                self._tidy(priority)
                self._credit(priority)
                return waiter, target
        return None

    def requests_ahead(self, account: str, priority: int) -> float:
        """Return how many are served before a new request of `account`."""
        count = 0.0
        for each, level in self.levels.items():
            if each < priority:
                count += level.length
            elif each == priority:
                count += self._ahead_in(level, account)
        return count

    def virtual_wait(self, account: str, priority: int, now: float) -> float:
        """Return seconds until virtual time reaches a new request's turn.

        The speed of virtual time tells of requests of other accounts that
        come later and still go first. Unknown, it gives 0.
        """
        level = self.levels.get(priority)
        if level is None:
            return 0.0
        gap = level.finish.get(account, 0.0) - level.now
        speed = level.speed(now)
        return gap / speed if gap > 0 and speed > 0 else 0.0

    def expired(self, now: float) -> list[Waiter]:
        """Take out and return those whose deadline has passed."""
        late = [w for w in self.waiters.values() if w.deadline <= now]
        for waiter in late:
            self.remove(waiter.key)
        return late

    def _ahead_in(self, level: Level, account: str) -> float:
        own = level.accounts.get(account)
        start = max(level.now, level.finish.get(account, 0.0))
        count = float(len(own)) if own else 0.0
        for other, queue in level.accounts.items():
            if other == account:
                continue
            first = queue[0]
            turns = (start - first.start) * first.weight + 1
            count += min(max(turns, 0.0), len(queue))
        return count

    def _turns(self) -> list[int]:
        waiting = sorted(p for p, level in self.levels.items() if level.length)
        due = [p for p in waiting[1:] if self.levels[p].credit >= 1]
        return due + [p for p in waiting if p not in due]

    def _credit(self, served: int) -> None:
        level = self.levels.get(served)
        if level is not None and level.credit >= 1:
            level.credit -= 1
        for priority, other in self.levels.items():
            if priority > served and other.length:
                other.credit += SHARE_OF_LATER

    def _tidy(self, priority: int) -> None:
        if not self.levels[priority].length:
            del self.levels[priority]
