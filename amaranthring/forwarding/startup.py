"""Handling of requests before a router has a confirmed plan.

After a restart of the whole fleet, routers accept connections up to a second
before the keepers have elected a leader.
"""

import asyncio
import time
import typing as t

from amaranthring.core import metrics as metrics_module
from amaranthring.forwarding import records

# Time after its start within which a router expects its first plan: about 1 s
# after all processes were killed, and as much again for keepers that link
# late.
START_SECONDS = 3.0
# Time within which the plan usually arrives. A request waits at least that
# long if it takes no more than this share of its timeout.
USUAL_SECONDS = 1.3
USUAL_SHARE = 0.75
# Otherwise a request may wait for the plan for this share of its timeout: a
# stream with 10 s left is better served 1 s late than refused, and a booking
# with 2.5 s left fails for good when refused twice. One that could wait less
# than the minimum is refused at once, to be retried when there is a plan.
START_SHARE = 0.45
MIN_WAIT_SECONDS = 0.6
# ``Retry-After`` in seconds: from a router that has just started.
RETRY_STARTING = 0.4
# From one that is isolated from the keepers, so that callers switch to another
# router at once. With 2 s, each caller of such a router was served 2.1 s late.
RETRY_ELSEWHERE = 0.0
# While the keepers have no quorum.
RETRY_NO_PLAN = 2.0


class StartupGate:
    """Delays requests until there is a plan, and sets ``Retry-After``.

    Parameters
    ----------
    first_plan : asyncio.Event, optional
        Set once there is a confirmed plan. Without it, requests never wait.
    cut_off : callable
        Returns whether this router is isolated from the keepers while other
        routers reach them.

    Attributes
    ----------
    started_at : float
        Monotonic seconds at which the router started.
    """

    def __init__(
        self,
        metrics: metrics_module.Metrics,
        first_plan: asyncio.Event | None = None,
        cut_off: t.Callable[[], bool] = lambda: False,
    ):
        self.metrics = metrics
        self.first_plan = first_plan
        self.cut_off = cut_off
        self.started_at = time.monotonic()

    def seconds_left(self) -> float:
        """Return the seconds within which the first plan is expected."""
        return self.started_at + START_SECONDS - time.monotonic()

    def _seconds_to_wait(self, timeout: float) -> float:
        left = self.seconds_left()
        usual = left - START_SECONDS + USUAL_SECONDS
        if usual > timeout * USUAL_SHARE:
            usual = 0.0
        return min(left, max(usual, timeout * START_SHARE))

    async def wait_for_plan(self, incoming: records.Incoming) -> None:
        """Wait for the first plan, if the router has just started."""
        if self.first_plan is None or self.first_plan.is_set():
            return
        seconds = self._seconds_to_wait(incoming.timeout)
        if seconds < MIN_WAIT_SECONDS:
            return
        self.metrics.count("request.awaited-plan")
        try:
            # wait_for would swallow a cancellation in the step in which the
            # plan arrives.
            async with asyncio.timeout(seconds):
                await self.first_plan.wait()
        except TimeoutError:
            # The request is then refused, as there is no plan.
            return

    def retry_after(self) -> float:
        """Return when a refused caller should retry, in seconds."""
        if self.seconds_left() > 0:
            return RETRY_STARTING
        return RETRY_ELSEWHERE if self.cut_off() else RETRY_NO_PLAN
