"""Retry budget of a service, divided among routers without coordination.

Each router may spend a ratio of its own requests and an equal share of the
fixed allowance. However requests are distributed over routers, the shares
add up to no more than the budget of the service.
"""

import collections
import typing as t

# Share of the budget that is used. The rest covers retries that arrive in
# another window than they were sent in, and routers not yet counted by all.
USED_SHARE = 0.85


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
        Returns the time in seconds.
    """

    def __init__(
        self,
        ratio: float,
        allowance: float,
        window: float,
        clock: t.Callable[[], float],
    ):
        self.ratio = ratio
        self.allowance = allowance
        self.window = window
        self.clock = clock
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def count_request(self) -> None:
        """Count a caller's request for the service."""
        self.requests.append(self.clock())
        self._expire()

    def take(self, routers: int) -> bool:
        """Take one retry from the budget; return whether one was left.

        Parameters
        ----------
        routers : int
            Number of routers that share the allowance.
        """
        self._expire()
        own = self.ratio * len(self.requests) + self.allowance / routers
        if len(self.retries) + 1 > own * USED_SHARE:
            return False
        self.retries.append(self.clock())
        return True

    def _expire(self) -> None:
        oldest = self.clock() - self.window
        for times in (self.requests, self.retries):
            while times and times[0] < oldest:
                times.popleft()
