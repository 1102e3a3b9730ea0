"""Forwarding of one request: routing, authentication, attempts, response."""

import asyncio
import collections
import functools
import math
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.core import metrics as metrics_module
from amaranthring.core import timeouts
from amaranthring.forwarding import answer_memory
from amaranthring.forwarding import attempts
from amaranthring.forwarding import crash_guard
from amaranthring.forwarding import events
from amaranthring.forwarding import failures
from amaranthring.forwarding import handing_over as handing_over_module
from amaranthring.forwarding import placement
from amaranthring.forwarding import records
from amaranthring.forwarding import request_log
from amaranthring.forwarding import responses
from amaranthring.forwarding import room_queue
from amaranthring.forwarding import startup
from amaranthring.forwarding import stream_bindings
from amaranthring.forwarding import target_notices
from amaranthring.handover import client as handover_client
from amaranthring.policy import bindings
from amaranthring.policy import budgets
from amaranthring.policy import response_times
from amaranthring.registry import messages
from amaranthring.routing import plan as plans
from amaranthring.routing import table as route_tables
from amaranthring.targets import pool

log = logbook.Logger(__name__)

# While response times are unknown, a safe request goes to a second target
# after this multiple of its objective.
SAFE_TIMEOUT_FACTOR = 1.6
# A resumable stream moves to another target after this multiple of the route's
# longest pause without an event; callers give up after eight times the pause.
# Other streams wait, as only the same target can continue them.
PAUSE_FACTOR = 4.0
# Minimum timeout between two events, in seconds.
MIN_EVENT_TIMEOUT = 1.2
# Shortest timeout of a request that tries the path to targets which were not
# reached; a helper can still serve it afterwards.
PATH_TRIAL_SECONDS = 0.3
# Seconds before the caller's timeout at which the final response is sent.
RESPONSE_MARGIN = 0.02
# ``Retry-After`` in seconds. Targets announce themselves about every second;
# a full target frees a slot sooner, but all callers wait for it.
RETRY_NO_TARGET = 0.5
RETRY_REFUSED = 0.3
# The same where no target has the version of a stream: one that crashed is
# back after some seconds.
RETRY_RELEASE = 1.0
# Outcomes of an attempt in the request log: nothing was sent.
UNREACHED = "target-unreached"
NOT_LISTENING = "target-not-listening"


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
        self.share = share
        self.metrics = metrics
        self.log_request = functools.partial(request_log.record, metrics)
        self.startup = start or startup.StartupGate(metrics)
        self.response_times = response_times.ResponseTimes()
        self.queue = room_queue.RoomQueue(placer)
        self.budgets: dict[str, budgets.WindowBudget] = (
            collections.defaultdict(budget)
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
        route = table.match(incoming.host, incoming.path)
        if route is None:
            raise errors.NotFoundError("no route for this host and path")
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
                self.budgets[context.service].count_request()

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
                    await self._attempt(context, target, splitter, writer)
                return
            except errors.UpstreamError as error:
                if helper is None:
                    context.tried.add(target.id)
                    failures.record(
                        self.placer, self.connections, context, target, error
                    )
                if not self._may_retry(context, error):
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
        while target is None and self._may_wait(context):
            await self.queue.wait(context)
            target = self.placer.choose(context)
        return target

    def _may_wait(self, context: records.RequestContext) -> bool:
        return context.lacks_room or self.queue.must_wait(context)

    def _helper_for(
        self, context: records.RequestContext
    ) -> handover_client.Helper | None:
        """Return the helper for a request whose targets are not reached."""
        if self.handing_over is None:
            return None
        return self.handing_over.helper_for(context)

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

    async def _attempt(self, context, target, splitter, writer) -> None:
        resume_after = context.incoming.resume_after
        if splitter.last_id is not None:
            resume_after = str(splitter.last_id)
        copy = self.placer.copy_for(context, target)
        if copy is not None:
            context.copies.append(f"{copy.source}>{target.id}")
        attempt = attempts.Attempt(
            context,
            target,
            self.dialect,
            resume_after,
            self.connections,
            copy_from=self.placer.source_address(copy),
            reuse_connection=not self.placer.failed_recently(target),
            before_send=functools.partial(self._before_send, context, target),
            on_notice=functools.partial(
                target_notices.observe,
                self.placer,
                self.metrics,
                context,
                target,
            ),
            answers=self.answers,
        )
        attempt.exchange.on_timeout = functools.partial(
            self._log_silence, context, attempt
        )
        complete = False
        # Logged if the request is cancelled during this attempt.
        outcome = "unfinished"
        self.placer.begin(target, context, copy)
        context.releases.append(target.release)
        try:
            head = await self._open(context, attempt)
            failures.request_accepted(self.placer, context)
            self.placer.record_contact(target)
            self.placer.prefill_done(target, context)
            if head.load is not None:
                self.placer.update_load(target, head.load)
            if attempt.is_event_stream:
                await attempt.relay_events(
                    splitter,
                    writer,
                    functools.partial(self._event_timeout, context, target),
                    functools.partial(
                        self.streams.passed_on,
                        context,
                        bindings.of_target(target),
                    ),
                )
                if not writer.status:
                    await writer.start_stream(head.status, head.headers, b"")
                writer.finish()
            else:
                await self._relay_body(context, attempt, writer)
            complete = True
            self.placer.record_success(target)
            self.crashes.completed(context, head.status)
            failures.record_refusals(self.placer, context)
            outcome = str(head.status)
        except errors.NotListeningError:
            outcome = NOT_LISTENING
            self.crashes.note_refused(target)
            raise
        except errors.TargetUnreachableError:
            outcome = UNREACHED
            raise
        except errors.WrongTargetError as error:
            outcome = error.code
            self.crashes.note_replaced(target)
            raise
        except errors.AmaranthringError as error:
            outcome = error.code
            raise
        finally:
            context.attempt_outcomes.append(f"{target.id}:{outcome}")
            if attempt.is_unanswered and time.monotonic() >= context.deadline:
                self.placer.paths.record_failure(target, is_timeout=True)
            if attempt.exchange.broken_off:
                seconds = time.monotonic() - attempt.sent_at
                self.crashes.broke_off(context, target, seconds)
            elif not complete and _was_given_up(context, attempt):
                seconds = time.monotonic() - attempt.sent_at
                self.crashes.gave_up(context, target, seconds)
            attempt.close(complete)
            self.placer.end(target, context)
            if attempt.exchange.sent and not _was_refused(attempt):
                context.attempts_sent += 1
            if context.handover is not None:
                context.handover.attempts_after = context.attempts_sent

    def _log_silence(
        self,
        context: records.RequestContext,
        attempt: attempts.Attempt,
        silent: float,
        late: float,
    ) -> None:
        """Log that a target has been silent for as long as it may be.

        Parameters
        ----------
        silent : float
            Seconds since its last event, or since the request was sent.
        late : float
            Seconds by which this was noticed late.
        """
        others = self.placer.eligibility.after(
            context, attempt.target, context.binding is not None
        )
        logs.event(
            log,
            "run.silent",
            id=context.incoming.request_id,
            target=attempt.target.id,
            silent=round(silent, 3),
            late=round(late, 3),
            answered=attempt.head is not None,
            writing=attempt.is_writing,
            attempts_left=self._attempts_left(context) - 1,
            others=len(others),
        )

    async def _open(
        self, context: records.RequestContext, attempt: attempts.Attempt
    ) -> records.ResponseHead:
        """Return the head of the response, and record the time it took."""
        started_at = time.monotonic()
        key = context.service, context.prefill_tokens
        try:
            timeout = self._head_timeout(context, attempt.target)
            head = await attempt.open(timeout)
        except errors.UpstreamTimeoutError:
            self.response_times.record_timeout(
                *key, time.monotonic() - started_at
            )
            raise
        self.response_times.record(*key, time.monotonic() - started_at)
        return head

    async def _relay_body(self, context, attempt, writer) -> None:
        body = await attempt.read_body()
        head = attempt.head
        if head.status >= 500 and context.route.idempotent:
            left = context.route.attempts_most - context.attempts_sent - 1
            if left > 0 and self._take_retry(context):
                raise errors.TargetFailedError(
                    "the target failed", given=head.status
                )
        if writer.status:
            # The stream was to be resumed, but the response is not a stream.
            raise errors.UpstreamError(
                "the response does not resume the stream"
            )
        await writer.send(head.status, head.headers, body)

    def _before_send(
        self, context: records.RequestContext, target: messages.TargetRecord
    ) -> None:
        """Check that the request may still be sent to `target`.

        Raises
        ------
        errors.SuspectedError
            If it became known meanwhile that it crashes targets.
        errors.TargetRestingError
            If the target has asked for rest during the connect.
        errors.NoQuorumError
            If the request's key is no longer trusted.
        """
        self.crashes.check_send(context)
        rests = self.placer.rests
        left = rests.left(target.id)
        if left:
            tried = context.is_trial and rests.may_try(
                target.id, context.caller
            )
            if not tried:
                raise errors.TargetRestingError(
                    "the target has asked for rest", given=f"{left:.3f} s left"
                )
            rests.count_trial(target.id)
        if context.account:
            self._check_keys_trusted()

    def _head_timeout(
        self, context: records.RequestContext, target: messages.TargetRecord
    ) -> float:
        """Return the timeout for the head of a response, in seconds.

        It is finite only if another target may run the request too. Without
        it, callers would wait for TCP to give up when a data centre is
        partitioned off.
        """
        route = context.route
        if not self._may_repeat(context):
            return float("inf")
        if context.is_path_trial:
            # A helper may take it, if no target does.
            return max(PATH_TRIAL_SECONDS, route.objective / 2)
        if not self.placer.may_follow(context, target):
            return float("inf")
        objective_at = context.incoming.arrived + route.objective
        objective_left = objective_at - time.monotonic()
        learned = self.response_times.timeout(
            context.service, context.prefill_tokens, objective_left
        )
        if learned is not None:
            return learned
        safe = route.kind == plans.Kind.SAFE
        return route.objective * SAFE_TIMEOUT_FACTOR if safe else float("inf")

    def _event_timeout(
        self, context: records.RequestContext, target: messages.TargetRecord
    ) -> float:
        """Return the most seconds between two events.

        A silent target is left only if another one may go on with the stream.
        """
        has_begun = context.binding is not None
        if not (
            self._may_repeat(context)
            and self.placer.may_follow(context, target, has_begun)
        ):
            return context.deadline - time.monotonic()
        timeout = PAUSE_FACTOR * context.route.pause_most
        return max(timeout, MIN_EVENT_TIMEOUT)

    def _may_repeat(self, context: records.RequestContext) -> bool:
        """Return whether another attempt may follow the current one."""
        return context.route.idempotent and self._attempts_left(context) >= 2

    def _attempts_left(self, context: records.RequestContext) -> int:
        return context.route.attempts_most - context.attempts_sent

    def _may_retry(
        self, context: records.RequestContext, error: errors.UpstreamError
    ) -> bool:
        if isinstance(error, errors.TargetFailedError):
            return True
        if error.outcome == errors.Outcome.NOT_RUN:
            refused = isinstance(error, errors.TargetRefusedError)
            return not refused or self._take_retry(context)
        if not context.route.idempotent:
            return False
        if self._attempts_left(context) < 1:
            return False
        return self._take_retry(context)

    def _take_retry(self, context: records.RequestContext) -> bool:
        budget = self.budgets[context.service]
        share = self.share()
        allowed = budget.take(share.fraction)
        logs.event(
            log,
            "retry.decided",
            id=context.incoming.request_id,
            service=context.service,
            allowed=allowed,
            routers=share.routers,
            without_share=share.reason,
            requests=len(budget.requests),
            retries=len(budget.retries),
            left=round(budget.left(share.fraction), 2),
        )
        return allowed

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

    def _not_run_error(self, context, error) -> errors.AmaranthringError:
        if isinstance(error, errors.RefusedError):
            return error
        rest = _round_up(self.placer.rest_left(context))
        return errors.NoTargetError(
            f"no target took the request: {error.detail}",
            retry_after=max(RETRY_REFUSED, rest),
        )


def _round_up(seconds: float) -> float:
    """Return `seconds` in whole milliseconds, none too few."""
    return math.ceil(seconds * 1e3) / 1e3


def _was_refused(attempt: attempts.Attempt) -> bool:
    head = attempt.head
    return head is not None and (head.refused or head.other_target)


def _was_given_up(
    context: records.RequestContext, attempt: attempts.Attempt
) -> bool:
    """Return whether a run was left to itself before its answer was whole."""
    exchange = attempt.exchange
    if not exchange.sent or exchange.broken_off:
        return False
    return attempt.head is None or (
        context.is_accepted and not exchange.body.ended
    )
