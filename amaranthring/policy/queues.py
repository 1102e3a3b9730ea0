"""Weighted fair queue over client accounts, by priority.

Within a priority, accounts are served by start-time fair queueing (P. Goyal,
H. Vin, H. Cheng, "Start-time fair queuing", IEEE/ACM Transactions on
Networking 5(5), 1997): an account that floods the queue delays only its own
requests. Lower priority numbers are served first; each higher number is
guaranteed :data:`LOW_PRIORITY_SHARE` of the turns, so that batch work is not
starved.
"""

import collections
import collections.abc
import dataclasses
import itertools
import math

LOW_PRIORITY_SHARE = 0.05
MAX_SCAN = 16
SPEED_WINDOW_SECONDS = 10.0


@dataclasses.dataclass(eq=False)
class Waiter:
    """A queued request.

    Attributes
    ----------
    key : tuple
        Entry router and serial number.
    request : object
        The request for admission.
    account : str
        Client account.
    weight : float
        Weight of the account.
    priority : int
        Lower numbers are served first.
    since, deadline : float
        Time queued and latest time to be served, on the owner's clock.
    start : float
        Start tag in virtual time, set by the queue.
    """

    key: tuple[str, int]
    request: object
    account: str
    weight: float
    priority: int
    since: float
    deadline: float
    start: float = 0.0


class PriorityLevel:
    """Queued requests of one priority, with its virtual time.

    Attributes
    ----------
    accounts : dict of str to deque of Waiter
        Queued requests of each account, oldest first.
    finish : dict of str to float
        Finish tag of the last request of each account.
    now : float
        Virtual time.
    credit : float
        Turns accrued while lower priority numbers were served.
    gained : float
        Recent progress of virtual time, decayed to `gained_at`.
    gained_at, started_at : float
        Time of the last and of the first turn, on the owner's clock;
        `started_at` is negative before the first.
    """

    def __init__(self):
        self.accounts: dict[str, collections.deque[Waiter]] = {}
        self.finish: dict[str, float] = {}
        self.now = 0.0
        self.credit = 0.0
        self.length = 0
        self.gained = 0.0
        self.gained_at = 0.0
        self.started_at = -1.0

    def push(self, waiter: Waiter) -> None:
        """Append `waiter` to the queue of its account."""
        waiter.start = max(self.now, self.finish.get(waiter.account, 0.0))
        self.finish[waiter.account] = waiter.start + 1 / waiter.weight
        queue = self.accounts.setdefault(waiter.account, collections.deque())
        queue.append(waiter)
        self.length += 1

    def candidates(self) -> collections.abc.Iterator[Waiter]:
        """Yield requests that may be served, in the order of their turns.

        Several of each account are yielded, so that a request that waits for
        one particular target does not block those behind it.
        """
        queues = sorted(
            self.accounts.values(),
            key=lambda queue: (queue[0].start, queue[0].since),
        )
        for queue in queues:
            yield from itertools.islice(queue, MAX_SCAN)

    def speed(self, now: float) -> float:
        """Return the recent progress of virtual time per second."""
        age = now - self.started_at
        if self.started_at < 0 or age <= 0:
            return 0.0
        decay = math.exp(-(now - self.gained_at) / SPEED_WINDOW_SECONDS)
        window = SPEED_WINDOW_SECONDS * (
            1 - math.exp(-age / SPEED_WINDOW_SECONDS)
        )
        return self.gained * decay / window

    def serve(self, waiter: Waiter, now: float) -> None:
        """Remove `waiter` as served, and advance virtual time to it."""
        if self.started_at < 0:
            self.started_at = self.gained_at = now
        gain = max(0.0, waiter.start - self.now)
        decay = math.exp(-(now - self.gained_at) / SPEED_WINDOW_SECONDS)
        self.gained = self.gained * decay + gain
        self.gained_at = now
        self.take(waiter, served=True)

    def take(self, waiter: Waiter, served: bool) -> None:
        """Remove `waiter`; advance virtual time if it was `served`."""
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
            # No request is queued, so the tags are no longer needed.
            self.finish.clear()
            self.now = 0.0

    def _close_gap(self, queue, waiter: Waiter) -> None:
        # A request that leaves unserved must not cost its account a turn.
        step = 1 / waiter.weight
        self.finish[waiter.account] -= step
        for later in queue:
            if later.start > waiter.start:
                later.start -= step


class FairQueue:
    """Bounded weighted fair queue of one cell.

    Attributes
    ----------
    waiters : dict
        All queued requests by key.
    """

    def __init__(self):
        self.levels: dict[int, PriorityLevel] = {}
        self.waiters: dict[tuple[str, int], Waiter] = {}

    def __len__(self) -> int:
        return len(self.waiters)

    def push(self, waiter: Waiter, max_length: int) -> Waiter | None:
        """Queue `waiter`; return the request evicted for it, if any.

        If more than `max_length` requests of this priority are queued, the
        last one of the account with the longest queue for its weight is
        evicted, possibly `waiter` itself. A surging account thus cannot keep
        others out.
        """
        level = self.levels.setdefault(waiter.priority, PriorityLevel())
        level.push(waiter)
        self.waiters[waiter.key] = waiter
        if level.length <= max_length:
            return None
        longest = max(
            level.accounts.values(),
            key=lambda queue: (len(queue) / queue[-1].weight, queue[-1].since),
        )
        last = longest[-1]
        self.remove(last.key)
        return last

    def remove(self, key: tuple[str, int]) -> Waiter | None:
        """Remove the request with `key` unserved; return it, if any."""
        waiter = self.waiters.pop(key, None)
        if waiter is not None:
            self.levels[waiter.priority].take(waiter, served=False)
            self._remove_if_empty(waiter.priority)
        return waiter

    def pop(
        self,
        find_target: collections.abc.Callable[[Waiter], str | None],
        now: float,
    ) -> tuple[Waiter, str] | None:
        """Serve the next request for which `find_target` returns a target.

        Parameters
        ----------
        find_target : callable
            Returns the target for a request, or None if there is none yet.
        now : float
            Time on the owner's clock, in seconds.
        """
        for priority in self._priority_order():
            level = self.levels[priority]
            for waiter in level.candidates():
                target = find_target(waiter)
                if target is None:
                    continue
                del self.waiters[waiter.key]
                level.serve(waiter, now)
                self._remove_if_empty(priority)
                self._update_credit(priority)
                return waiter, target
        return None

    def requests_ahead(self, account: str, priority: int) -> float:
        """Return how many requests go before a new one of `account`."""
        count = 0.0
        for other, level in self.levels.items():
            if other < priority:
                count += level.length
            elif other == priority:
                count += self._ahead_in_level(level, account)
        return count

    def virtual_wait(self, account: str, priority: int, now: float) -> float:
        """Return the seconds until virtual time reaches a new request.

        The speed of virtual time accounts for later requests of other
        accounts that are served first. Returns 0 while it is unknown.
        """
        level = self.levels.get(priority)
        if level is None:
            return 0.0
        gap = level.finish.get(account, 0.0) - level.now
        speed = level.speed(now)
        return gap / speed if gap > 0 and speed > 0 else 0.0

    def expired(self, now: float) -> list[Waiter]:
        """Remove and return requests whose deadline has passed."""
        expired = [w for w in self.waiters.values() if w.deadline <= now]
        for waiter in expired:
            self.remove(waiter.key)
        return expired

    def _ahead_in_level(self, level: PriorityLevel, account: str) -> float:
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

    def _priority_order(self) -> list[int]:
        waiting = sorted(p for p, level in self.levels.items() if level.length)
        due = [p for p in waiting[1:] if self.levels[p].credit >= 1]
        return due + [p for p in waiting if p not in due]

    def _update_credit(self, served: int) -> None:
        level = self.levels.get(served)
        if level is not None and level.credit >= 1:
            level.credit -= 1
        for priority, other in self.levels.items():
            if priority > served and other.length:
                other.credit += LOW_PRIORITY_SHARE

    def _remove_if_empty(self, priority: int) -> None:
        if not self.levels[priority].length:
            del self.levels[priority]
