"""Forwarding of one request: routing, authentication, attempts, response."""

import asyncio
import functools
import math
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import metrics as metrics_module
from amaranthring.core import timeouts
from amaranthring.forwarding import answer_memory
from amaranthring.forwarding import crash_guard
from amaranthring.forwarding import events
from amaranthring.forwarding import failures
from amaranthring.forwarding import handing_over as handing_over_module
from amaranthring.forwarding import placement
from amaranthring.forwarding import records
from amaranthring.forwarding import request_log
from amaranthring.forwarding import responses
from amaranthring.forwarding import retries
from amaranthring.forwarding import room_queue
from amaranthring.forwarding import runs
from amaranthring.forwarding import startup
from amaranthring.forwarding import stream_bindings
from amaranthring.handover import client as handover_client
from amaranthring.policy import budgets
from amaranthring.registry import messages
from amaranthring.routing import plan as plans
from amaranthring.routing import table as route_tables
from amaranthring.targets import pool

log = logbook.Logger(__name__)

# Seconds before the caller's timeout at which the final response is sent.
RESPONSE_MARGIN = 0.02
# ``Retry-After`` in seconds. Targets announce themselves about every second;
# a full target frees a slot sooner, but all callers wait for it.
RETRY_NO_TARGET = 0.5
RETRY_REFUSED = 0.3
# The same where no target has the version of a stream: one that crashed is
# back after some seconds.
RETRY_RELEASE = 1.0


class Relay:
    """Forwards requests from callers to targets.

    Parameters
    ----------
    table : callable
        Returns the active RouteTable, or None.
    may_trust_keys : callable
        Returns whether the plan is recent enough to trust its keys.
    budget : callable
        Returns a new WindowBudget; called once per service.
    share : callable
        Returns this router's budgets.Share of the retry allowances.
    connections : Pool, optional
        Pool of connections to targets.
    start : StartupGate, optional
        Delays requests until there is a plan.
    crashes : CrashGuard, optional
        Refuses requests that crash targets.
    handing_over : HandingOver, optional
        Hands requests to other routers while no target is reached.
    streams : StreamBindings, optional
        Knows which versions began streams.
    answers : AnswerMemory, optional
        Limit on the answers that are held until they are whole.
    """

    def __init__(
        self,
        dialect: records.Dialect,
        table: t.Callable[[], route_tables.RouteTable | None],
        may_trust_keys: t.Callable[[], bool],
        placer: placement.Placer,
        budget: t.Callable[[], budgets.WindowBudget],
        share: t.Callable[[], budgets.Share],
        metrics: metrics_module.Metrics,
        connections: pool.Pool | None = None,
        start: startup.StartupGate | None = None,
        crashes: crash_guard.CrashGuard | None = None,
        handing_over: handing_over_module.HandingOver | None = None,
        streams: stream_bindings.StreamBindings | None = None,
        answers: answer_memory.AnswerMemory | None = None,
    ):
        self.connections = connections or pool.Pool()
        self.dialect = dialect
        self.table = table
        self.may_trust_keys = may_trust_keys
        self.placer = placer
        self.crashes = crashes or crash_guard.CrashGuard(
            "", placer, self.connections
        )
        self.handing_over = handing_over
        self.answers = answers or answer_memory.AnswerMemory()
        self.streams = streams or stream_bindings.StreamBindings(placer.table)
        self.retries = retries.Retries(budget, share)
        self.metrics = metrics
        self.log_request = functools.partial(request_log.record, metrics)
        self.startup = start or startup.StartupGate(metrics)
        self.queue = room_queue.RoomQueue(placer)
        self.deps = runs.Dependencies(
            dialect,
            placer,
            self.connections,
            self.crashes,
            self.answers,
            self.streams,
            self.retries,
            self.queue,
            metrics,
            may_trust_keys,
            self._check_keys_trusted,
            self._has_helper,
        )

    async def serve(
        self,
        incoming: records.Incoming,
        writer: responses.ResponseWriter,
        handover: records.Handover | None = None,
    ) -> None:
        """Handle one request, of a caller or handed over by another router.

        Cancelled when the caller disconnects. The connection to the target
        is then closed at once, which makes the target stop its work.
        """
        context = None
        failure: BaseException | None = None
        try:
            await self.startup.wait_for_plan(incoming)
            context = self.resolve(incoming, handover)
            # A response that arrived while this process was stalled is
            # delivered even after the deadline.
            async with timeouts.timeout_at(self._loop_time(context.deadline)):
                await self._admit(context)
                await self._run_attempts(context, writer)
        except TimeoutError:
            failure = errors.UpstreamTimeoutError(
                "no response before the deadline of the request"
            )
            await self._send_failure(context, writer, failure)
        except errors.CallerDisconnectedError as error:
            failure = error
            writer.abort()
        except errors.AmaranthringError as error:
            failure = error
            await self._send_failure(context, writer, error)
        except asyncio.CancelledError as error:
            failure = incoming.interruption or error
            await self._end_interrupted(context, incoming, writer)
            raise
        finally:
            if context is not None:
                failures.request_ended(self.placer, context)
                self.crashes.request_ended(context)
                if context.kept_answer is not None:
                    context.kept_answer.release()
            self.log_request(incoming, context, writer, failure)

    @staticmethod
    def _loop_time(deadline: float) -> float:
        loop = asyncio.get_running_loop()
        return loop.time() + deadline - time.monotonic()

    # -- routing -----------------------------------------------------

    def resolve(
        self,
        incoming: records.Incoming,
        handover: records.Handover | None = None,
    ) -> records.RequestContext:
        """Return the request with its route, account and service.

        A request that was handed over keeps its service if its route allows
        it, and is counted by the router that received it.

        Raises
        ------
        errors.RefusedError
            If the request may not be forwarded.
        """
        table = self.table()
        if table is None:
            raise errors.NoTargetError(
                "this router has no plan yet",
                retry_after=self.startup.retry_after(),
            )
        route = _route_of(table, incoming)
        account = self._account(table, route, incoming)
        service = route_tables.draw_service(route)
        if handover is not None and route.leads_to(handover.service):
            service = handover.service
        seconds = min(incoming.timeout - RESPONSE_MARGIN, route.timeout)
        return records.RequestContext(
            incoming,
            route,
            account.name if account else "",
            service,
            table.version,
            incoming.arrived + seconds,
            table.services[service].engine,
            attempts_sent=handover.attempts_sent if handover else 0,
            binding=handover.binding if handover else None,
            handover=handover,
        )

    def check_head(self, incoming: records.Incoming) -> None:
        """Check what the head of a request decides under the active plan.

        Raises
        ------
        errors.NotFoundError, errors.UnauthenticatedError
            If the request cannot be forwarded, whatever its body is.
        """
        table = self.table()
        if table is None:
            return
        route = _route_of(table, incoming)
        if self.may_trust_keys():
            self._account(table, route, incoming)

    async def _admit(self, context: records.RequestContext) -> None:
        """Bind a request that takes a stream up again, and count it.

        Raises
        ------
        errors.RefusedError
            If it is not known what may go on with the stream, or the route
            no longer leads there.
        """
        try:
            await self.streams.bind(context)
            self._follow_binding(context)
        finally:
            if context.handover is None:
                self.retries.count_request(context.service)

    def _follow_binding(self, context: records.RequestContext) -> None:
        binding = context.binding
        if binding is None or binding.service == context.service:
            return
        # The plan may have changed while keepers were asked.
        table = self.table()
        service = table.services.get(binding.service)
        if not context.route.leads_to(binding.service) or service is None:
            raise errors.NoTargetError(
                "the route no longer leads to the service of the stream",
                given=context.service,
                expected=binding.service,
                retry_after=RETRY_RELEASE,
            )
        context.service = service.name
        context.engine = service.engine

    def _account(
        self,
        table: route_tables.RouteTable,
        route: plans.Route,
        incoming: records.Incoming,
    ) -> plans.Account | None:
        if route.public or not table.needs_key:
            return None
        self._check_keys_trusted()
        account = table.account_of(incoming.key)
        if account is None:
            raise errors.UnauthenticatedError("unknown key")
        return account

    def _check_keys_trusted(self) -> None:
        if not self.may_trust_keys():
            # A key may have been revoked since: keys are not trusted unless
            # a keeper with a quorum confirms the plan.
            raise errors.NoQuorumError(
                "no keeper confirms the active plan",
                retry_after=self.startup.retry_after(),
            )

    # -- attempts ----------------------------------------------------

    async def _run_attempts(
        self, context: records.RequestContext, writer: responses.ResponseWriter
    ) -> None:
        resume_after = context.incoming.resume_after
        splitter = events.EventSplitter(
            int(resume_after) if resume_after.isdigit() else None
        )
        request_runs = runs.Runs(self.deps, context, splitter, writer)
        while True:
            self.crashes.check_repeat(context)
            helper = self._helper_for(context)
            if helper is None:
                await self.crashes.check(context)
                target = await self._choose(context)
                if target is None:
                    helper = self._last_helper(context)
            try:
                if helper is not None:
                    await self.handing_over.run(
                        context,
                        helper,
                        splitter,
                        writer,
                        functools.partial(self.streams.passed_on, context),
                    )
                else:
                    await request_runs.run(target)
                return
            except errors.UpstreamError as error:
                if not self.retries.may_follow(context, error):
                    raise
                self.metrics.count("request.repeated")
                splitter.discard_partial()

    async def _choose(
        self, context: records.RequestContext
    ) -> messages.TargetRecord | None:
        """Return the target for an attempt, once one has room, or None."""
        target = None
        if not self.queue.must_wait(context):
            target = self.placer.choose(context)
            target = target or self._choose_superseded(context)
        while target is None and self._may_wait(context):
            await self.queue.wait(context)
            target = self.placer.choose(context)
        return target

    def _choose_superseded(
        self, context: records.RequestContext
    ) -> messages.TargetRecord | None:
        """Return a target that was late only, if whoever took over refused."""
        if not context.superseded:
            return None
        context.tried -= context.superseded
        context.superseded.clear()
        return self.placer.choose(context)

    def _may_wait(self, context: records.RequestContext) -> bool:
        return context.lacks_room or self.queue.must_wait(context)

    def _helper_for(
        self, context: records.RequestContext
    ) -> handover_client.Helper | None:
        """Return the helper for a request whose targets are not reached."""
        if self.handing_over is None:
            return None
        return self.handing_over.helper_for(context)

    def _has_helper(self, context: records.RequestContext) -> bool:
        if self.handing_over is None:
            return False
        return self.handing_over.has_helper(context)

    def _last_helper(
        self, context: records.RequestContext
    ) -> handover_client.Helper:
        """Return the helper for a request without a target.

        Raises
        ------
        errors.AmaranthringError
            If there is none.
        """
        helper = None
        if self.handing_over is not None:
            helper = self.handing_over.last_helper(context)
        if helper is None:
            raise self._no_target_error(context)
        return helper

    # -- failures ----------------------------------------------------

    def _no_target_error(self, context) -> errors.AmaranthringError:
        if context.may_have_run:
            return errors.UpstreamError("no other target is left")
        held_back = self.placer.held_back(context)
        if held_back:
            return errors.CallerHeldBackError(
                "a target rests on account of requests of this caller",
                retry_after=_round_up(held_back),
            )
        rest = self.placer.rest_left(context)
        if rest:
            return errors.AllTargetsRestingError(
                f"all targets of service {context.service} rest",
                retry_after=_round_up(rest),
            )
        if context.binding and not self.placer.eligibility.of_request(context):
            return errors.NoTargetError(
                "no target may go on with the stream",
                expected=str(context.binding),
                retry_after=RETRY_RELEASE,
            )
        return errors.NoTargetError(
            f"no target of service {context.service} is ready",
            retry_after=RETRY_NO_TARGET,
        )

    async def _end_interrupted(self, context, incoming, writer) -> None:
        """Answer a request whose task was cancelled, if its caller listens."""
        error = incoming.interruption
        if error is None or isinstance(error, errors.CallerDisconnectedError):
            writer.abort()
            return
        writer.closing = True
        await self._send_failure(context, writer, error)

    async def _send_failure(self, context, writer, error) -> None:
        if writer.status:
            writer.abort()
            return
        kept = context.kept_answer if context is not None else None
        if kept is not None:
            await self._send_kept(kept, writer)
            return
        reported = error
        if context is not None and not context.may_have_run:
            reported = self._not_run_error(context, error)
        elif isinstance(error, errors.RefusedError) and context is not None:
            # A target may have run it before it was refused.
            reported = errors.UpstreamError(error.detail)
        if isinstance(reported, errors.NoQuorumError):
            # Further requests on this connection would fail likewise.
            writer.closing = True
        try:
            await writer.send_error(reported)
        except errors.CallerDisconnectedError:
            writer.abort()

    async def _send_kept(
        self,
        kept: records.KeptAnswer,
        writer: responses.ResponseWriter,
    ) -> None:
        try:
            await writer.send(kept.status, kept.headers, kept.body)
        except errors.CallerDisconnectedError:
            writer.abort()

    def _not_run_error(self, context, error) -> errors.AmaranthringError:
        if isinstance(error, errors.RefusedError):
            return error
        rest = _round_up(self.placer.rest_left(context))
        return errors.NoTargetError(
            f"no target took the request: {error.detail}",
            retry_after=max(RETRY_REFUSED, rest),
        )


def _route_of(
    table: route_tables.RouteTable, incoming: records.Incoming
) -> plans.Route:
    route = table.match(incoming.host, incoming.path)
    if route is None:
        raise errors.NotFoundError("no route for this host and path")
    return route


def _round_up(seconds: float) -> float:
    """Return `seconds` in whole milliseconds, none too few."""
    return math.ceil(seconds * 1e3) / 1e3
