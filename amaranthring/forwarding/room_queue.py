"""Requests that wait until a brittle target has room for them."""

import asyncio
import collections
import math
import random
import time

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.forwarding import placement
from amaranthring.forwarding import records

log = logbook.Logger(__name__)

# Share of the time to the objective, and of that to the deadline, that a
# request may wait; the rest is for its run.
OBJECTIVE_SHARE = 0.5
DEADLINE_SHARE = 0.25
# Bounds of ``Retry-After`` in seconds; callers come back spread over half as
# much again.
MIN_RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 2.0
RETRY_SPREAD = 0.5


class RoomQueue:
    """Waiting requests of each service, in the order of their arrival.

    Attributes
    ----------
    waiting : dict of str to deque of asyncio.Future
        By service.
    """

    def __init__(self, placer: placement.Placer):
        self.placer = placer
        self.waiting: dict[str, collections.deque[asyncio.Future]] = (
            collections.defaultdict(collections.deque)
        )
        placer.room.on_room.append(self.wake)

    def must_wait(self, context: records.RequestContext) -> bool:
        """Return whether others wait that came before."""
        return bool(self.waiting.get(context.service)) and (
            context.waited_since is None
        )

    async def wait(self, context: records.RequestContext) -> None:
        """Wait for room at a target.

        Raises
        ------
        errors.NoRoomError
            If there is none in time, or none can be expected.
        """
        queue = self.waiting[context.service]
        now = time.monotonic()
        is_first = context.waited_since is None
        if is_first:
            context.waited_since = now
        left = context.waited_since + _patience(context) - now
        expected = self._expected_wait(context.service, len(queue) + is_first)
        if left <= 0 or (is_first and expected > left):
            raise self._no_room(context, expected)
        future = asyncio.get_running_loop().create_future()
        # A request that found no room after all keeps its position.
        if is_first:
            queue.append(future)
        else:
            queue.appendleft(future)
        try:
            async with asyncio.timeout(left):
                await future
        except TimeoutError:
            raise self._no_room(context, expected) from None
        finally:
            if future in queue:
                queue.remove(future)

    def wake(self, service: str, places: int) -> None:
        """Wake as many requests as there may be places."""
        queue = self.waiting.get(service)
        while queue and places > 0:
            future = queue.popleft()
            if not future.done():
                future.set_result(None)
                places -= 1

    def _expected_wait(self, service: str, ahead: int) -> float:
        """Return the seconds until `ahead` requests have found room."""
        allowed = self.placer.room.allowed_requests(service)
        if not allowed:
            return MAX_RETRY_SECONDS
        return ahead * self.placer.room.limits.duration(service) / allowed

    def _no_room(
        self, context: records.RequestContext, expected: float
    ) -> errors.NoRoomError:
        seconds = min(max(expected, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
        seconds *= 1 + RETRY_SPREAD * random.random()
        logs.event(
            log,
            "request.without-room",
            id=context.incoming.request_id,
            service=context.service,
            waited=round(time.monotonic() - context.waited_since, 3),
            waiting=len(self.waiting[context.service]),
            allowed=self.placer.room.allowed_requests(context.service),
            expected=round(expected, 3),
        )
        return errors.NoRoomError(
            f"the targets of service {context.service} have no room",
            retry_after=math.ceil(seconds * 10) / 10,
        )


def _patience(context: records.RequestContext) -> float:
    """Return for how many seconds a request may wait."""
    arrived = context.incoming.arrived
    spent = context.waited_since - arrived
    objective_left = context.route.objective - spent
    deadline_left = context.deadline - context.waited_since
    return max(
        0.0,
        min(OBJECTIVE_SHARE * objective_left, DEADLINE_SHARE * deadline_left),
    )
