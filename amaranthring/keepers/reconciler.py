"""Gives targets the orders that lead to the desired state; leader only.

Every order is committed to the log before it is sent and its end after. The
lease is checked right before an order goes out. A new leader finds the open
orders of the one before in the log: where the target checks fencing numbers
it orders again at once under a higher one; where it does not, it first waits
until whatever the old leader may have sent has ended.
"""

import asyncio
import dataclasses
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.core import records
from amaranthring.keepers import commands
from amaranthring.keepers import orders
from amaranthring.keepers import planner
from amaranthring.targets import orders as target_orders

log = logbook.Logger(__name__)

PROPOSE_SECONDS = 5.0


@dataclasses.dataclass
class Options:
    """Timing and limits.

    Attributes
    ----------
    step_seconds : float
        Pause between two looks at the state.
    patience_seconds : float
        Time for which a step must be wanted before it is taken, so that a
        target that flaps or a report that is late orders nothing.
    order_seconds : float
        Longest time of one order.
    lease_seconds : float
        Longest lease of an earlier leader, with a margin.
    know_seconds : float
        Time in which a new leader hears from every data centre.
    show_seconds : float
        Time in which a target shows what a finished order changed.
    stale_seconds : float
        Age at which what a data centre reported counts no more.
    at_once : int
        Orders sent at the same time.
    loads_at_once, loads_per_minute : int
        Limits of the weight store.
    """

    step_seconds: float = 1.0
    debounce_seconds: float = 10.0
    order_seconds: float = 60.0
    lease_seconds: float = 2.0
    discovery_seconds: float = 35.0
    show_seconds: float = 20.0
    stale_seconds: float = 600.0
    at_once: int = 16
    loads_at_once: int = 4
    loads_per_minute: int = 30


def _after(target: records.Target, order: orders.Order) -> records.Target:
    """Return `target` as `order` leaves it, an open load left out."""
    if order.kind == commands.OrderKind.ROLE:
        return dataclasses.replace(target, role=order.wanted)
    serves = [model for model in target.serves if model != order.wanted]
    finished = order.state == commands.OrderState.DONE
    if order.kind == commands.OrderKind.LOAD and finished:
        serves.append(order.wanted)
    return dataclasses.replace(target, serves=tuple(serves))


@dataclasses.dataclass
class Sighting:
    """Ready targets of one data centre and when they were reported."""

    targets: list[records.Target]
    heard: float


class Reconciler:
    """Takes the steps of the plan while its keeper leads.

    Parameters
    ----------
    machine : machine.Machine
        The state.
    propose : callable
        ``Group.propose``.
    has_lease : callable
        ``Group.has_lease``.
    send : callable, optional
        As ``targets.orders.send``.

    Attributes
    ----------
    sightings : dict
        Data centre to its targets, in memory only.
    """

    def __init__(
        self,
        machine: t.Any,
        propose: t.Callable[[t.Any, float], t.Awaitable[t.Any]],
        has_lease: t.Callable[[], bool],
        send: t.Callable[..., t.Awaitable[t.Any]] = target_orders.send,
        options: Options | None = None,
        clock: t.Callable[[], float] = time.monotonic,
        wall: t.Callable[[], float] = time.time,
    ):
        self.wall = wall
        self.machine = machine
        self.propose = propose
        self.has_lease = has_lease
        self.send = send
        self.options = options or Options()
        self.clock = clock
        self.sightings: dict[str, Sighting] = {}
        self.wanted_since: dict[planner.Step, float] = {}
        self.sending: dict[int, asyncio.Task] = {}
        # Ends that the log did not take yet.
        self.ended: dict[int, target_orders.Result] = {}
        self.task: asyncio.Task | None = None
        self.leader_since = 0.0

    def update_targets(self, message: commands.ReadyTargets) -> None:
        """Note what a data centre's router reports."""
        sighting = Sighting(message.targets, self.clock())
        self.sightings[message.data_centre] = sighting

    def start(self) -> None:
        """Begin to give orders; this keeper leads now."""
        self.stop()
        self.leader_since = self.clock()
        self.wanted_since.clear()
        self.ended.clear()
        self.task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Give no more orders; what is on its way is given up on."""
        if self.task is not None:
            self.task.cancel()
            self.task = None
        for task in self.sending.values():
            task.cancel()
        self.sending.clear()

    async def _run(self) -> None:
        while True:
            try:
                await self._settle_open()
                await self._take_steps()
            except errors.AmaranthringError as error:
                log.debug("orders.step-failed fault={}", error)
            await asyncio.sleep(self.options.step_seconds)

    # -- orders of an earlier leader ---------------------------------------

    async def _settle_open(self) -> None:
        for fencing, sent in list(self.ended.items()):
            await self._end(fencing, sent)
        for order in list(self.machine.orders.open.values()):
            if order.fencing in self.sending:
                continue
            if not self._has_ended(order):
                continue
            target = self._target(order.target)
            if target is None or target.incarnation != order.incarnation:
                await self._end(
                    order.fencing,
                    target_orders.Result(False, "the target is gone"),
                )
                continue
            step = planner.Step(
                target, commands.OrderKind(order.kind), order.wanted
            )
            if self._still_wanted(step):
                await self._begin(step, order.fencing)
            else:
                sent = target_orders.Result(False, "no longer wanted")
                await self._end(order.fencing, sent)

    def _has_ended(self, order: orders.Order) -> bool:
        """Return whether an order of an earlier leader is over for sure.

        A target that ignores fencing numbers would follow a late order of
        the old leader after one of ours. The old leader sent nothing after
        its lease, and no order takes longer than its bound.
        """
        led = self.clock() - self.leader_since
        if led < self.options.discovery_seconds:
            return False
        target = self._target(order.target)
        if target is not None and target.fencing:
            return True
        options = self.options
        return led >= options.lease_seconds + options.order_seconds

    def _still_wanted(self, step: planner.Step) -> bool:
        preset = self.machine.book.parts.config().preset
        if step.kind == commands.OrderKind.ROLE:
            return preset.desired_roles.get(step.target.name) == step.wanted
        return step.wanted in preset.desired_models

    # -- the plan ------------------------------------------------------------

    async def _take_steps(self) -> None:
        now = self.clock()
        if now - self.leader_since < self.options.discovery_seconds:
            return
        steps = self._plan()
        self.wanted_since = {
            step: self.wanted_since.get(step, now) for step in steps
        }
        for step, since in self.wanted_since.items():
            if now - since < self.options.debounce_seconds:
                continue
            if len(self.sending) >= self.options.at_once:
                return
            try:
                await self._begin(step, 0)
            except errors.RateLimitedError:
                # The weight store is busy; other kinds go on.
                continue

    def _plan(self) -> list[planner.Step]:
        state = self.machine.orders
        config = self.machine.book.parts.config()
        load = commands.OrderKind.LOAD
        busy = {
            name: order.wanted if order.kind == load else ""
            for name, order in state.open.items()
        }

        def blocked(target, kind, wanted) -> str:
            stamp = max(self.machine.stamp, self.wall())
            return state.blocked(
                stamp, target.name, target.incarnation, kind, wanted
            )

        targets = [self._expected(target) for target in self._targets()]
        return planner.plan(
            config.preset, targets, config.drained, busy, blocked
        )

    def _expected(self, target: records.Target) -> records.Target:
        """Return `target` as it will announce itself after its orders.

        A target shows what an order changed only with its next report. Taken
        as it looks now, a replica that is being unloaded would still count,
        and the next step would unload the last one that stays.
        """
        state = self.machine.orders
        since = max(self.machine.stamp, self.wall())
        since -= self.options.show_seconds
        done = commands.OrderState.DONE
        known = [
            order
            for order in state.finished
            if order.state == done and order.ended > since
        ]
        for order in [*known, *state.open.values()]:
            if (order.target, order.incarnation) == (
                target.name,
                target.incarnation,
            ):
                target = _after(target, order)
        return target

    def _targets(self) -> list[records.Target]:
        now = self.clock()
        return [
            target
            for sighting in self.sightings.values()
            if now - sighting.heard < self.options.stale_seconds
            for target in sighting.targets
        ]

    def _target(self, name: str) -> records.Target | None:
        for target in self._targets():
            if target.name == name:
                return target
        return None

    # -- one order -----------------------------------------------------------

    async def _begin(self, step: planner.Step, supersedes: int) -> None:
        begun = await self.propose(
            commands.BeginOrder(
                step.target.name,
                step.target.incarnation,
                step.kind,
                step.wanted,
                supersedes,
                self.options.loads_at_once,
                self.options.loads_per_minute,
            ),
            PROPOSE_SECONDS,
        )
        task = asyncio.ensure_future(self._give(step, begun.fencing))
        self.sending[begun.fencing] = task
        task.add_done_callback(lambda _: self._sent(begun.fencing, task))

    def _sent(self, fencing: int, task: asyncio.Task) -> None:
        if self.sending.get(fencing) is task:
            del self.sending[fencing]
        if not task.cancelled() and task.exception() is not None:
            log.warning("order.not-ended fault={}", task.exception())

    async def _give(self, step: planner.Step, fencing: int) -> None:
        body = target_orders.order_body(str(step.kind), step.wanted, fencing)
        fields = {
            "target": step.target.name,
            "order": fencing,
            "action": f"{step.kind}:{step.wanted}",
        }
        logs.event(log, "order.begun", **fields)
        try:
            sent = await self.send(
                step.target, body, self._check, self.options.order_seconds
            )
        except errors.NotLeaderError as error:
            sent = target_orders.Result(False, f"not sent: {error.detail}")
        event = "order.done" if sent.done else "order.failed"
        logs.event(log, event, detail=sent.detail, **fields)
        await self._end(fencing, sent)

    def _check(self) -> None:
        if not self.has_lease():
            raise errors.NotLeaderError("the lease ran out")

    async def _end(self, fencing: int, sent: target_orders.Result) -> None:
        self.ended[fencing] = sent
        quiet = self.options.order_seconds if sent.unknown else 0.0
        end = commands.EndOrder(
            fencing, sent.done, sent.detail, quiet, sent.newer_fencing
        )
        try:
            await self.propose(end, PROPOSE_SECONDS)
        except errors.NotFoundError:
            # An earlier try was committed although its answer was lost.
            pass
        del self.ended[fencing]
