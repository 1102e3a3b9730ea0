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
    usable_from : float
        Time before which no retry is allowed: a window after the start, as
        the process before this one may have spent the budget by requests of
        which this one does not know.
    """

    def __init__(
        self,
        ratio: float,
        allowance: float,
        window: float,
        clock: t.Callable[[], float],
        usable_from: float = float("-inf"),
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
        if self.clock() < self.usable_from:
            return 0.0
        own = self.ratio * len(self.requests) + self.allowance * fraction
        return own * USED_SHARE - len(self.retries)

    def _expire(self) -> None:
        oldest = self.clock() - self.window
        for times in (self.requests, self.retries):
            while times and times[0] < oldest:
                times.popleft()
