"""Retry budget of a service, divided among routers without coordination.

Each router may spend a ratio of its own requests and an equal share of the
fixed allowance. However requests are distributed over routers, the shares
add up to no more than the budget of the service.
"""

import collections
import dataclasses
import typing as t

# Share of the budget that is used. The rest covers retries that arrive in
# another window than they were sent in.
USED_SHARE = 0.85
# Parts of a window by which ages are told to another process.
AGE_PARTS = 20


@dataclasses.dataclass
class Spending:
    """Requests and retries of one router for one service in a window.

    Attributes
    ----------
    requests, retries : list of int
        Numbers in each part of the window, the youngest first.
    """

    requests: list[int]
    retries: list[int]


@dataclasses.dataclass(frozen=True)
class Share:
    """One router's share of the allowance, and how it came about.

    Attributes
    ----------
    fraction : float
        Of the allowance, 0 to 1.
    routers : int
        Number of routers that share it; 0 while unknown.
    reason : str
        Why this router may take no share; empty if it may.
    """

    fraction: float
    routers: int
    reason: str = ""


class WindowBudget:
    """Retry budget of one router for one service over a sliding window.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    allowance : float
        Retries that all routers together may add to that in a window.
    window : float
        Length of the window in seconds.
    clock : callable
        Returns the time in seconds; continues while the VM is suspended.
    usable_from : callable
        Returns the time before which no retry is allowed, as the process
        before this one may have spent the budget by requests of which this
        one does not know.
    """

    def __init__(
        self,
        ratio: float,
        allowance: float,
        window: float,
        clock: t.Callable[[], float],
        usable_from: t.Callable[[], float] = lambda: float("-inf"),
    ):
        self.ratio = ratio
        self.allowance = allowance
        self.window = window
        self.clock = clock
        self.usable_from = usable_from
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def count_request(self) -> None:
        """Count a caller's request for the service."""
        self.requests.append(self.clock())
        self._expire()

    def take(self, fraction: float) -> bool:
        """Take one retry from the budget; return whether one was left.

        Parameters
        ----------
        fraction : float
            This router's share of the allowance, 0 to 1.
        """
        if self.left(fraction) < 1:
            return False
        self.retries.append(self.clock())
        return True

    def give_back(self) -> None:
        """Give back the retry that was taken last; it was not sent."""
        if self.retries:
            self.retries.pop()

    def left(self, fraction: float) -> float:
        """Return how many retries are left; negative if a share has shrunk.

        Parameters
        ----------
        fraction : float
            As in :meth:`take`.
        """
        self._expire()
        if self.clock() < self.usable_from():
            return 0.0
        own = self.ratio * len(self.requests) + self.allowance * fraction
        return own * USED_SHARE - len(self.retries)

    def spending(self) -> Spending:
        """Return what was spent in the window, for the next process."""
        self._expire()
        return Spending(
            self._count_by_age(self.requests), self._count_by_age(self.retries)
        )

    def inherit(
        self, spending: Spending, earliest: float, latest: float
    ) -> None:
        """Count what the process before has spent.

        Parameters
        ----------
        earliest, latest : float
            `spending` was counted between these times, in seconds. Requests
            expire as early, and retries as late, as these allow.
        """
        part = self.window / AGE_PARTS
        requests = [
            earliest - (index + 1) * part
            for index, number in enumerate(spending.requests)
            for _ in range(number)
        ]
        retries = [
            latest - index * part
            for index, number in enumerate(spending.retries)
            for _ in range(number)
        ]
        self.requests = collections.deque(sorted([*requests, *self.requests]))
        self.retries = collections.deque(sorted([*retries, *self.retries]))
        self._expire()

    def _count_by_age(self, times: collections.deque[float]) -> list[int]:
        now, part = self.clock(), self.window / AGE_PARTS
        counts = [0] * AGE_PARTS
        for at in times:
            counts[min(int((now - at) / part), AGE_PARTS - 1)] += 1
        while counts and not counts[-1]:
            counts.pop()
        return counts

    def _expire(self) -> None:
        oldest = self.clock() - self.window
        for times in (self.requests, self.retries):
            while times and times[0] < oldest:
                times.popleft()
