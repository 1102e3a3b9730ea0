"""What a router does before it has a plan that keepers confirm.

The pattern is a loss of power of all VMs: routers listen again after 0.3 s,
keepers and a leader are back 0.7 to 0.9 s later, while callers whose
connections broke return all the while.
"""

import asyncio
import time
import typing as t

from amaranthring.core import metrics as metrics_module
from amaranthring.forwarding import records

# A router that has just started expects its first plan within this time: 0.9
# to 1.1 s after all processes were killed at once, as measured from its
# start, and as much again for keepers that find each other late.
START_SECONDS = 3.0
# Mostly it is there by now; whose time reaches so far, with a quarter to
# spare, waits for it and is not refused a tenth of a second before.
USUAL_SECONDS = 1.3
USUAL_SHARE = 0.75
# Until then a request may wait for the plan, for this share of its caller's
# time. A stream with 10 s to go is better served 1 s late than refused, and
# a booking with 2.5 s finds the plan where two refusals at once are its end.
# One that could wait less than the least is refused at once, to come back
# when there is a plan.
START_SHARE = 0.45
START_WAIT_LEAST = 0.6
# When to come back, in seconds: to a router that has just started;
RETRY_STARTING = 0.4
# to a router that alone is cut off, since callers return by another one: with
# 2 s instead, every request that met one of three such routers of seven was
# answered, and 2.1 s late;
RETRY_ELSEWHERE = 0.0
# and to a fleet whose keepers have no quorum.
RETRY_NO_PLAN = 2.0


class StartupGate:
    """Holds requests back until there is a plan, and says when to return.

    Parameters
    ----------
    first_plan : asyncio.Event, optional
        Set once there is a plan that keepers confirm; without one there is
        nothing to wait for.
    cut_off : callable
        Whether this router is cut off from the keepers that others reach.

    Attributes
    ----------
    began_at : float
        Monotonic seconds.
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
        """Return within which time the first plan is expected."""
        return self.started_at + START_SECONDS - time.monotonic()

    def _seconds_to_wait(self, patience: float) -> float:
        left = self.seconds_left()
        usual = left - START_SECONDS + USUAL_SECONDS
        if usual > patience * USUAL_SHARE:
            usual = 0.0
        return min(left, max(usual, patience * START_SHARE))

    async def wait_for_plan(self, incoming: records.Incoming) -> None:
        """Let a request wait for the plan of a router that has just begun."""
        if self.first_plan is None or self.first_plan.is_set():
            return
        seconds = self._seconds_to_wait(incoming.timeout)
        if seconds < START_WAIT_LEAST:
            return
        self.metrics.count("request.awaited-plan")
        try:
            await asyncio.wait_for(self.first_plan.wait(), seconds)
        except TimeoutError:
            # It is refused for want of a plan.
            return

    def retry_after(self) -> float:
        """Return when a refused caller finds a plan, in seconds."""
        if self.seconds_left() > 0:
            return RETRY_STARTING
        return RETRY_ELSEWHERE if self.cut_off() else RETRY_NO_PLAN
