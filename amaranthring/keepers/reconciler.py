"""Sends orders to targets to reach the desired state; leader only.

Every order is committed to the log before it is sent, and its result
afterwards. The lease is checked right before an order is sent. A new leader
takes over the open orders in the log: if the target checks fencing numbers,
the order is sent again at once under a higher number; otherwise only after
any order that the previous leader may have sent has certainly ended.
"""

import asyncio
import dataclasses
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import background
from amaranthring.core import logs
from amaranthring.core import records
from amaranthring.keepers import commands
from amaranthring.keepers import orders
from amaranthring.keepers import planner
from amaranthring.targets import orders as target_orders

log = logbook.Logger(__name__)

PROPOSE_TIMEOUT_SECONDS = 5.0


@dataclasses.dataclass
class Options:
    """Timing and limits.

    Attributes
    ----------
    interval_seconds : float
        Pause between two reconciliation rounds.
    debounce_seconds : float
        Time for which a step must be planned before it is executed, so that
        flapping targets and late reports cause no orders.
    order_seconds : float
        Timeout of one order.
    lease_seconds : float
        Upper bound of the lease of a previous leader, with a margin.
    discovery_seconds : float
        Time for which a new leader waits for reports of all data centres.
    report_lag_seconds : float
        Time until reports reflect the effect of a finished order.
    stale_seconds : float
        Age at which the report of a data centre is ignored.
    max_in_flight : int
        Maximum number of orders in flight.
    loads_at_once, loads_per_minute : int
        Concurrency and rate limit of loads from the weight store.
    """

    interval_seconds: float = 1.0
    debounce_seconds: float = 10.0
    order_seconds: float = 60.0
    lease_seconds: float = 2.0
    discovery_seconds: float = 35.0
    report_lag_seconds: float = 20.0
    stale_seconds: float = 600.0
    max_in_flight: int = 16
    loads_at_once: int = 4
    loads_per_minute: int = 30


def _apply_order(
    target: records.Target, order: orders.Order
) -> records.Target:
    """Return `target` after `order`; a load counts only once it is done."""
    if order.kind == commands.OrderKind.ROLE:
        return dataclasses.replace(target, role=order.wanted)
    serves = [model for model in target.serves if model != order.wanted]
    finished = order.state == commands.OrderState.DONE
    if order.kind == commands.OrderKind.LOAD and finished:
        serves.append(order.wanted)
    return dataclasses.replace(target, serves=tuple(serves))


@dataclasses.dataclass
class TargetReport:
    """Ready targets of one data centre, and the time of the report."""

    targets: list[records.Target]
    received_at: float


class Reconciler:
    """Executes the planned steps while its keeper is the leader.

    Parameters
    ----------
    machine : state_machine.StateMachine
        The replicated state.
    propose : callable
        ``Group.propose``.
    has_lease : callable
        ``Group.has_lease``.
    send : callable, optional
        Has the signature of ``targets.orders.send``.

    Attributes
    ----------
    reports : dict
        Latest report of each data centre, in memory only.
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
        self.reports: dict[str, TargetReport] = {}
        self.planned_since: dict[planner.Step, float] = {}
        self.in_flight: dict[int, asyncio.Task] = {}
        # Results that are not committed to the log yet.
        self.uncommitted: dict[int, target_orders.Result] = {}
        self.task: asyncio.Task | None = None
        self.leader_since = 0.0

    def update_targets(self, message: commands.ReadyTargets) -> None:
        """Store the latest report of a data centre."""
        report = TargetReport(message.targets, self.clock())
        self.reports[message.data_centre] = report

    def start(self) -> None:
        """Start reconciling, after this keeper became leader."""
        self.stop()
        self.leader_since = self.clock()
        self.planned_since.clear()
        self.uncommitted.clear()
        self.task = background.keep_running("reconciler", self._run)

    def stop(self) -> None:
        """Stop reconciling and cancel the orders in flight."""
        if self.task is not None:
            self.task.cancel()
            self.task = None
        for task in self.in_flight.values():
            task.cancel()
        self.in_flight.clear()

    async def _run(self) -> None:
        while True:
            try:
                await self._resolve_open_orders()
                await self._execute_plan()
            except errors.AmaranthringError as error:
                log.debug("orders.step-failed fault={}", error)
            await asyncio.sleep(self.options.interval_seconds)

    # -- orders of a previous leader ---------------------------------------

    async def _resolve_open_orders(self) -> None:
        for fencing, result in list(self.uncommitted.items()):
            await self._end_order(fencing, result)
        for order in list(self.machine.orders.open.values()):
            if order.fencing in self.in_flight:
                continue
            if not self._can_resolve(order):
                continue
            target = self._find_target(order.target)
            if target is None or target.incarnation != order.incarnation:
                await self._end_order(
                    order.fencing,
                    target_orders.Result(False, "the target is gone"),
                )
                continue
            step = planner.Step(
                target, commands.OrderKind(order.kind), order.wanted
            )
            if self._is_desired(step):
                await self._begin_order(step, order.fencing)
            else:
                result = target_orders.Result(False, "no longer wanted")
                await self._end_order(order.fencing, result)

    def _can_resolve(self, order: orders.Order) -> bool:
        """Return whether an order of a previous leader can be resolved now.

        A target that checks fencing numbers rejects late orders. Another one
        could execute a late order after a new one, so wait until the order
        has certainly ended: the previous leader sends nothing after its
        lease, and no order exceeds its timeout.
        """
        leading_seconds = self.clock() - self.leader_since
        if leading_seconds < self.options.discovery_seconds:
            return False
        target = self._find_target(order.target)
        if target is not None and target.fencing:
            return True
        options = self.options
        return leading_seconds >= options.lease_seconds + options.order_seconds

    def _is_desired(self, step: planner.Step) -> bool:
        preset = self.machine.book.parts.config().preset
        if step.kind == commands.OrderKind.ROLE:
            return preset.desired_roles.get(step.target.name) == step.wanted
        return step.wanted in preset.desired_models

    # -- the plan ------------------------------------------------------------

    async def _execute_plan(self) -> None:
        now = self.clock()
        if now - self.leader_since < self.options.discovery_seconds:
            return
        steps = self._plan()
        self.planned_since = {
            step: self.planned_since.get(step, now) for step in steps
        }
        for step, since in self.planned_since.items():
            if now - since < self.options.debounce_seconds:
                continue
            if len(self.in_flight) >= self.options.max_in_flight:
                return
            try:
                await self._begin_order(step, 0)
            except errors.RateLimitedError:
                # Only loads are limited; other orders may proceed.
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
            return state.blocked_reason(
                stamp, target.name, target.incarnation, kind, wanted
            )

        targets = [self._expected(target) for target in self._targets()]
        return planner.plan(
            config.preset, targets, config.drained, busy, blocked
        )

    def _expected(self, target: records.Target) -> records.Target:
        """Return `target` as it will be after its recent orders.

        Reports reflect the effect of an order only after a delay. Without
        this correction, a replica that is being unloaded would still count,
        and the next step could unload the last remaining one.
        """
        state = self.machine.orders
        since = max(self.machine.stamp, self.wall())
        since -= self.options.report_lag_seconds
        done = commands.OrderState.DONE
        recent = [
            order
            for order in state.finished
            if order.state == done and order.ended > since
        ]
        for order in [*recent, *state.open.values()]:
            if (order.target, order.incarnation) == (
                target.name,
                target.incarnation,
            ):
                target = _apply_order(target, order)
        return target

    def _targets(self) -> list[records.Target]:
        now = self.clock()
        return [
            target
            for report in self.reports.values()
            if now - report.received_at < self.options.stale_seconds
            for target in report.targets
        ]

    def _find_target(self, name: str) -> records.Target | None:
        for target in self._targets():
            if target.name == name:
                return target
        return None

    # -- one order -----------------------------------------------------------

    async def _begin_order(self, step: planner.Step, supersedes: int) -> None:
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
            PROPOSE_TIMEOUT_SECONDS,
        )
        task = asyncio.ensure_future(self._send_order(step, begun.fencing))
        self.in_flight[begun.fencing] = task
        task.add_done_callback(lambda _: self._on_sent(begun.fencing, task))

    def _on_sent(self, fencing: int, task: asyncio.Task) -> None:
        if self.in_flight.get(fencing) is task:
            del self.in_flight[fencing]
        if not task.cancelled() and task.exception() is not None:
            log.warning("order.not-ended fault={}", task.exception())

    async def _send_order(self, step: planner.Step, fencing: int) -> None:
        body = target_orders.order_body(str(step.kind), step.wanted, fencing)
        fields = {
            "target": step.target.name,
            "order": fencing,
            "action": f"{step.kind}:{step.wanted}",
        }
        logs.event(log, "order.begun", **fields)
        try:
            result = await self.send(
                step.target,
                body,
                self._check_lease,
                self.options.order_seconds,
            )
        except errors.NotLeaderError as error:
            result = target_orders.Result(False, f"not sent: {error.detail}")
        event = "order.done" if result.done else "order.failed"
        logs.event(log, event, detail=result.detail, **fields)
        await self._end_order(fencing, result)

    def _check_lease(self) -> None:
        if not self.has_lease():
            raise errors.NotLeaderError("the lease ran out")

    async def _end_order(
        self, fencing: int, result: target_orders.Result
    ) -> None:
        self.uncommitted[fencing] = result
        quiet_seconds = self.options.order_seconds if result.unknown else 0.0
        quiet_seconds = max(quiet_seconds, result.rest_seconds)
        end = commands.EndOrder(
            fencing,
            result.done,
            result.detail,
            quiet_seconds,
            result.newer_fencing,
        )
        try:
            await self.propose(end, PROPOSE_TIMEOUT_SECONDS)
        except errors.NotFoundError:
            # An earlier proposal was committed, but its answer was lost.
            pass
        # Others may have ended it meanwhile.
        self.uncommitted.pop(fencing, None)
