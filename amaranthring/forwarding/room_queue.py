"""Requests that wait until a brittle target has room for them."""

import asyncio
import collections
import dataclasses
import math
import random
import time

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.forwarding import placement
from amaranthring.forwarding import records
from amaranthring.registry import messages

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


@dataclasses.dataclass(eq=False)
class Waiting:
    """A request that waits.

    Attributes
    ----------
    woken : asyncio.Future
        Done once a target may have room for it.
    target : TargetRecord or None
        That target.
    """

    context: records.RequestContext
    woken: asyncio.Future
    target: messages.TargetRecord | None = None

    def may_use(self, target: messages.TargetRecord) -> bool:
        """Return whether the request may be sent to `target`."""
        binding = self.context.binding
        return binding is None or binding.fits(target)


class RoomQueue:
    """Waiting requests of each service, in the order of their arrival.

    Streams that may go on at some targets only go before new requests, which
    may use any.

    Attributes
    ----------
    waiting : dict of str to deque of Waiting
        By service.
    """

    def __init__(self, placer: placement.Placer):
        self.placer = placer
        self.waiting: dict[str, collections.deque[Waiting]] = (
            collections.defaultdict(collections.deque)
        )
        placer.room.on_room.append(self.wake)

    def must_wait(self, context: records.RequestContext) -> bool:
        """Return whether others wait that came before."""
        return context.waited_since is None and self.others_wait(context)

    def others_wait(self, context: records.RequestContext) -> bool:
        """Return whether others wait for room that the request may take."""
        return bool(self._rivals(context))

    def _rivals(self, context: records.RequestContext) -> int:
        """Return how many requests wait that go before a new one."""
        binding = context.binding
        return sum(
            waiting.context.binding == binding
            for waiting in self.waiting.get(context.service, ())
        )

    async def wait(self, context: records.RequestContext) -> None:
        """Wait for room at a target.

        Raises
        ------
        errors.NoRoomError
            If there is none in time, or none can be expected.
        """
        queue = self.waiting[context.service]
        room = self.placer.room
        now = time.monotonic()
        is_first = context.waited_since is None
        if is_first:
            context.waited_since = now
        left = context.waited_since + _patience(context) - now
        expected = self._expected_wait(
            context, self._rivals(context) + is_first
        )
        if left <= 0 or (is_first and expected > left):
            raise self._no_room(context, expected)
        future = asyncio.get_running_loop().create_future()
        waiting = Waiting(context, future)
        # A request that found no room after all keeps its position.
        if is_first:
            queue.append(waiting)
        else:
            queue.appendleft(waiting)
        if context.binding is not None:
            room.awaited[context.binding] += 1
        has_place = False
        try:
            async with asyncio.timeout(left):
                await future
            has_place = True
        except TimeoutError:
            # A place may have come in the step in which the time ran out.
            has_place = waiting.target is not None
            if not has_place:
                raise self._no_room(context, expected) from None
        finally:
            if waiting in queue:
                queue.remove(waiting)
            if context.binding is not None:
                room.awaited[context.binding] -= 1
            if waiting.target is not None and not has_place:
                # It ended when it had been woken: the next one may go.
                self.wake(waiting.target, 1)

    def wake(self, target: messages.TargetRecord, places: int) -> None:
        """Wake as many requests as there may be places at `target`."""
        queue = self.waiting.get(target.service, collections.deque())
        able = [
            waiting
            for waiting in queue
            # One that was cancelled leaves the queue in its next step.
            if not waiting.woken.done() and waiting.may_use(target)
        ]
        able.sort(key=lambda waiting: waiting.context.binding is None)
        for waiting in able[:places]:
            queue.remove(waiting)
            waiting.target = target
            waiting.woken.set_result(None)

    def _expected_wait(
        self, context: records.RequestContext, ahead: int
    ) -> float:
        """Return the seconds until `ahead` requests have found room."""
        allowed = self._allowed(context)
        if not allowed:
            return MAX_RETRY_SECONDS
        duration = self.placer.room.limits.duration(context.service)
        return ahead * duration / allowed

    def _allowed(self, context: records.RequestContext) -> int:
        """Return how many requests this router may have at its targets."""
        targets = self.placer.eligibility.of_request(context)
        return self.placer.room.allowed_requests(targets)

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
            allowed=self._allowed(context),
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
