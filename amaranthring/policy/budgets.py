"""The retry budget of a service, shared by all routers without talking.

Every router keeps its own part: the ratio of its own requests, and an equal
share of the allowance. The parts add up to no more than the whole, however
requests are spread over the routers.
"""

import collections
import typing as t

# Retries are counted where they leave and judged where they arrive; this
# much of the budget is left for those that cross the edge of a window, and
# for a router that the others do not count yet.
USED_SHARE = 0.85


class WindowBudget:
    """Repeats of one router to one service in a sliding window.

    Parameters
    ----------
    ratio : float
        Repeats for each request.
    allowance : float
        Repeats of all routers in a window beside those.
    window : float
        Seconds.
    clock : callable
        Seconds.
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
        self.repeats: collections.deque[float] = collections.deque()

    def count_request(self) -> None:
        """Count a caller's request for the service."""
        self.requests.append(self.clock())
        self._expire()

    def take(self, routers: int) -> bool:
        """Return whether one more repeat fits, and count it if so.

        Parameters
        ----------
        routers : int
            How many routers share the allowance.
        """
        self._expire()
        own = self.ratio * len(self.requests) + self.allowance / routers
        if len(self.repeats) + 1 > own * USED_SHARE:
            return False
        self.repeats.append(self.clock())
        return True

    def _expire(self) -> None:
        oldest = self.clock() - self.window
        for times in (self.requests, self.repeats):
            while times and times[0] < oldest:
                times.popleft()
