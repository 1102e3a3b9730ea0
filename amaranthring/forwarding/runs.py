"""Runs of one request at targets, until one of them has answered it."""

import dataclasses
import functools
import time
import typing as t

from amaranthring import errors
from amaranthring.core import metrics as metrics_module
from amaranthring.forwarding import answer_memory
from amaranthring.forwarding import attempts
from amaranthring.forwarding import crash_guard
from amaranthring.forwarding import events
from amaranthring.forwarding import failures
from amaranthring.forwarding import hedges
from amaranthring.forwarding import placement
from amaranthring.forwarding import records
from amaranthring.forwarding import responses
from amaranthring.forwarding import retries as retries_module
from amaranthring.forwarding import room_queue
from amaranthring.forwarding import stream_bindings
from amaranthring.forwarding import target_notices
from amaranthring.policy import bindings
from amaranthring.policy import response_times as times_module
from amaranthring.registry import messages
from amaranthring.routing import plan as plans
from amaranthring.targets import pool

__all__ = ["Dependencies", "Runs"]

# While response times are unknown, a safe request goes to a second target
# after this multiple of its objective.
SAFE_TIMEOUT_FACTOR = 1.6
# A resumable stream is late after this multiple of the route's longest pause
# without an event; callers give up after eight times the pause.
PAUSE_FACTOR = 4.0
# Minimum timeout between two events, in seconds.
MIN_EVENT_TIMEOUT = 1.2
# Shortest timeout of a request that tries the path to targets which were not
# reached; a helper can still serve it afterwards.
PATH_TRIAL_SECONDS = 0.3
# Outcomes of an attempt in the request log: nothing was sent.
UNREACHED = "target-unreached"
NOT_LISTENING = "target-not-listening"


@dataclasses.dataclass
class Dependencies:
    """What runs of all requests use.

    Attributes
    ----------
    may_trust_keys : callable
        Returns whether the plan is recent enough to trust its keys.
    check_keys : callable
        Raises if it is not.
    has_helper : callable
        Returns whether another router may send a request on.
    """

    dialect: records.Dialect
    placer: placement.Placer
    connections: pool.Pool
    crashes: crash_guard.CrashGuard
    answers: answer_memory.AnswerMemory
    streams: stream_bindings.StreamBindings
    retries: retries_module.Retries
    queue: room_queue.RoomQueue
    metrics: metrics_module.Metrics
    may_trust_keys: t.Callable[[], bool]
    check_keys: t.Callable[[], None]
    has_helper: t.Callable[[records.RequestContext], bool]
    response_times: times_module.ResponseTimes = dataclasses.field(
        default_factory=times_module.ResponseTimes
    )


class Runs:
    """Runs of one request.

    Parameters
    ----------
    splitter : EventSplitter
        Knows which events the caller has.
    writer : ResponseWriter
        Writes the caller's response.
    """

    def __init__(
        self,
        deps: Dependencies,
        context: records.RequestContext,
        splitter: events.EventSplitter,
        writer: responses.ResponseWriter,
    ):
        self.deps = deps
        self.context = context
        self.splitter = splitter
        self.writer = writer

    async def run(self, target: messages.TargetRecord) -> None:
        """Run the request at `target`, or where a hedge takes over from it.

        Raises
        ------
        errors.UpstreamError
            If there is no whole answer and nobody has taken over.
        """
        attempt = self.begin(target)
        while attempt is not None:
            attempt = await self._follow(attempt)

    async def _follow(
        self, attempt: attempts.Attempt
    ) -> attempts.Attempt | None:
        """Pass an answer on; return the attempt that takes over, if any."""
        hedge = hedges.Hedge(self.context, self, attempt)
        complete = False
        try:
            await self._deliver(attempt, hedge)
            complete = True
            return None
        except errors.UpstreamError as error:
            self.failed(attempt, error)
            successor = hedge.take_successor()
            if successor is None:
                raise
            self.deps.metrics.count("request.repeated")
            self.splitter.discard_partial()
            return successor
        finally:
            hedge.stop()
            self.end(attempt, complete)

    async def _deliver(
        self, attempt: attempts.Attempt, hedge: hedges.Hedge
    ) -> None:
        """Read the answer of an attempt, and pass it on to the caller."""
        deps, context = self.deps, self.context
        try:
            attempt.in_charge = True
            if attempt.opening is None:
                await self._await_head(
                    attempt, lambda: self._head_timeout(attempt)
                )
            else:
                self._limit_opening(attempt)
                await attempt.opening
            failures.request_accepted(deps.placer, context)
            if attempt.is_event_stream:
                timeout = self._event_timeout()
                hedge.on_progress(timeout)
                await self._relay_events(attempt, hedge, timeout)
            else:
                await self._relay_body(attempt, hedge)
            failures.request_accepted(deps.placer, context)
            deps.placer.record_success(attempt.target)
            deps.crashes.completed(context, attempt.head.status)
            failures.record_refusals(deps.placer, context)
            attempt.outcome = str(attempt.head.status)
        except errors.AmaranthringError as error:
            self._note_outcome(attempt, error)
            raise

    def _note_outcome(
        self, attempt: attempts.Attempt, error: errors.AmaranthringError
    ) -> None:
        attempt.outcome = error.code
        if isinstance(error, errors.NotListeningError):
            attempt.outcome = NOT_LISTENING
            self.deps.crashes.note_refused(attempt.target)
        elif isinstance(error, errors.TargetUnreachableError):
            attempt.outcome = UNREACHED
        elif isinstance(error, errors.WrongTargetError):
            self.deps.crashes.note_replaced(attempt.target)

    # -- attempts ----------------------------------------------------

    def begin(self, target: messages.TargetRecord) -> attempts.Attempt:
        """Return a new attempt at `target`, which is counted there."""
        deps, context = self.deps, self.context
        resume_after = context.incoming.resume_after
        if self.splitter.last_id is not None:
            resume_after = str(self.splitter.last_id)
        copy = deps.placer.copy_for(context, target)
        if copy is not None:
            context.copies.append(f"{copy.source}>{target.id}")
        attempt = attempts.Attempt(
            context,
            target,
            deps.dialect,
            resume_after,
            deps.connections,
            copy_from=deps.placer.source_address(copy),
            reuse_connection=not deps.placer.failed_recently(target),
            before_send=functools.partial(self._before_send, target),
            on_notice=functools.partial(
                target_notices.observe,
                deps.placer,
                deps.metrics,
                context,
                target,
            ),
            answers=deps.answers,
        )
        attempt.run = deps.placer.begin(target, context, copy)
        context.releases.append(target.release)
        return attempt

    async def open(self, attempt: attempts.Attempt, overlap: float) -> None:
        """Send the request, and read until the answer is under way.

        Parameters
        ----------
        overlap : float
            Seconds after which the attempt is late while it is a hedge.

        Raises
        ------
        errors.UpstreamError
            If the answer cannot take the place of an earlier one.
        """

        def timeout() -> float:
            return (
                self._head_timeout(attempt) if attempt.in_charge else overlap
            )

        try:
            await self._await_head(attempt, timeout)
            self._check_fits(attempt)
            if attempt.in_charge:
                self._limit_opening(attempt)
            await attempt.read_ahead()
        except errors.AmaranthringError as error:
            self._note_outcome(attempt, error)
            raise

    def _limit_opening(self, attempt: attempts.Attempt) -> None:
        """Limit the time until the answer of an attempt is under way."""
        left = self.context.deadline - time.monotonic()
        timeout = left
        if attempt.head is None:
            timeout = min(left, self._head_timeout(attempt))
        elif attempt.is_event_stream:
            timeout = min(left, self._event_timeout())
        attempt.exchange.set_timeout(max(0.0, timeout))

    def flaw(self, attempt: attempts.Attempt) -> errors.UpstreamError | None:
        """Return why the answer of an opened attempt must not take over.

        It is kept if it is a failure.
        """
        if attempt.head.status < 500:
            return None
        self._keep(attempt, attempt.ahead)
        return _failed_error(attempt.head)

    async def _await_head(
        self, attempt: attempts.Attempt, timeout: t.Callable[[], float]
    ) -> records.ResponseHead:
        """Return the head of the response, and record the time it took."""
        placer = self.deps.placer
        started_at = time.monotonic()
        key = self.context.service, attempt.run.prefill_tokens
        times = self.deps.response_times
        try:
            head = await attempt.open(timeout)
        except errors.HedgeDroppedError:
            # It says nothing of how long targets take.
            raise
        except errors.UpstreamTimeoutError:
            times.record_timeout(*key, time.monotonic() - started_at)
            raise
        times.record(*key, time.monotonic() - started_at)
        placer.record_contact(attempt.target)
        placer.prefill_done(attempt.run, self.context)
        if head.load is not None:
            placer.update_load(attempt.target, head.load)
        return head

    def end(self, attempt: attempts.Attempt, complete: bool = False) -> None:
        """Close an attempt, and count it as ended.

        Parameters
        ----------
        complete : bool
            Whether its answer is whole.
        """
        deps, context = self.deps, self.context
        target = attempt.target
        context.attempt_outcomes.append(f"{target.id}:{attempt.outcome}")
        seconds = time.monotonic() - attempt.sent_at
        if attempt.is_unanswered and time.monotonic() >= context.deadline:
            deps.placer.paths.record_failure(target, is_timeout=True)
        if attempt.exchange.broken_off:
            deps.crashes.broke_off(context, target, seconds)
        elif not complete and _was_given_up(attempt):
            deps.crashes.gave_up(context, target, seconds)
        attempt.close(complete)
        deps.placer.end(attempt.run, context)
        if attempt.exchange.sent and not _was_refused(attempt):
            context.attempts_sent += 1
        if context.handover is not None:
            context.handover.attempts_after = context.attempts_sent

    def failed(
        self, attempt: attempts.Attempt, error: errors.UpstreamError
    ) -> None:
        """Record that an attempt has failed."""
        deps, context = self.deps, self.context
        context.tried.add(attempt.target.id)
        if isinstance(error, errors.SupersededError):
            context.superseded.add(attempt.target.id)
        if attempt.was_late and isinstance(error, errors.SupersededError):
            return
        failures.record(
            deps.placer, deps.connections, context, attempt.target, error
        )

    def late(self, attempt: attempts.Attempt) -> None:
        """Record that the target of an attempt is late."""
        error = errors.UpstreamTimeoutError("the target is late")
        self.failed(attempt, error)
        attempt.was_late = True

    def on_time(self, attempt: attempts.Attempt) -> None:
        """Record that the target of an attempt goes on."""
        context, target = self.context, attempt.target
        context.tried.discard(target.id)
        context.silent_data_centres.discard(target.data_centre)
        self.deps.placer.record_contact(target)
        attempt.was_late = False

    # -- answers -----------------------------------------------------

    async def _relay_events(
        self, attempt: attempts.Attempt, hedge: hedges.Hedge, timeout: float
    ) -> None:
        binding = bindings.of_target(attempt.target)

        def on_events() -> None:
            hedge.on_progress(timeout)
            self.deps.streams.passed_on(self.context, binding)

        writer = self.writer
        await attempt.relay_events(self.splitter, writer, timeout, on_events)
        if not writer.status:
            head = attempt.head
            await writer.start_stream(head.status, head.headers, b"")
        writer.finish()

    async def _relay_body(
        self, attempt: attempts.Attempt, hedge: hedges.Hedge
    ) -> None:
        head = attempt.head
        if head.status < 500:
            hedge.on_progress(self.context.deadline - time.monotonic())
        body = await attempt.read_body()
        if head.status >= 500:
            self._keep(attempt, body)
            if hedge.second is not None or self._may_replace(attempt):
                raise _failed_error(head)
        self._check_fits(attempt)
        await self.writer.send(head.status, head.headers, body)

    def _keep(self, attempt: attempts.Attempt, body: bytes) -> None:
        """Keep a failure for a caller that gets no better answer."""
        context = self.context
        if context.kept_answer is not None:
            context.kept_answer.release()
        memory = attempt.keep_memory()
        context.kept_answer = records.KeptAnswer(
            attempt.head.status, attempt.head.headers, body, memory.release
        )

    def _may_replace(self, attempt: attempts.Attempt) -> bool:
        """Return whether another target may answer in the place of one."""
        context = self.context
        return (
            self.may_repeat()
            and self.deps.placer.may_follow(context, attempt.target)
            and not self.deps.retries.lacking(context)
        )

    def _check_fits(self, attempt: attempts.Attempt) -> None:
        """Check that an answer fits to what the caller has of it.

        Raises
        ------
        errors.UpstreamError
            If it has the beginning of a stream, and this is none.
        """
        if self.writer.status and not attempt.is_event_stream:
            raise errors.UpstreamError(
                "the response does not resume the stream"
            )

    # -- what may follow ---------------------------------------------

    def refusal(self) -> str:
        """Return why no target may run it beside the first, or nothing."""
        deps, context = self.deps, self.context
        if context.account and not deps.may_trust_keys():
            return "keys"
        if not deps.crashes.may_run_twice(context):
            return "suspected"
        if deps.queue.others_wait(context):
            return "queue"
        return ""

    def may_use(self, target: messages.TargetRecord) -> bool:
        """Return whether `target` takes the request."""
        placer, context = self.deps.placer, self.context
        usable = {
            record.id for record in placer.eligibility.of_request(context)
        }
        return (
            target.id in usable
            and not placer.rests.left(target.id)
            and placer.room.has_room(target, context.binding)
        )

    def patience(self, attempt: attempts.Attempt) -> float:
        """Return after how many seconds the target of an attempt is late.

        It does not depend on how many targets may still get the request.
        """
        route = self.context.route
        if attempt.head is not None:
            return max(PAUSE_FACTOR * route.pause_most, MIN_EVENT_TIMEOUT)
        usual = self.deps.response_times.usual(
            self.context.service, attempt.run.prefill_tokens
        )
        return max(usual or 0.0, route.objective)

    def choose(self) -> messages.TargetRecord | None:
        """Return a target that was not tried, or None."""
        return self.deps.placer.choose(self.context)

    def describe(self, attempt: attempts.Attempt) -> dict[str, int]:
        """Return what may follow an attempt, for the log."""
        others = self.deps.placer.eligibility.after(
            self.context, attempt.target
        )
        return {
            "attempts_left": retries_module.attempts_left(self.context) - 1,
            "others": len(others),
        }

    def gives_way(self, attempt: attempts.Attempt) -> bool:
        """Return whether the attempt ends for another router's.

        The path to the targets is lost, and other routers reach them.
        """
        context = self.context
        unreached = self.deps.placer.paths.is_unreached(context.service)
        return (
            (context.is_path_trial or unreached)
            and attempt.head is None
            and not self.writer.status
            and self.deps.has_helper(context)
            and not self.lacks_retry()
        )

    def lacks_retry(self) -> str:
        """Return why no retry may be taken now, or nothing."""
        return self.deps.retries.lacking(self.context)

    def take_retry(self) -> bool:
        """Take a retry from the budget; return whether one was left."""
        return self.deps.retries.take(self.context)

    def give_retry_back(self) -> None:
        """Give back a retry that was not sent."""
        self.deps.retries.give_back(self.context)

    def is_unusual(self, attempt: attempts.Attempt, seconds: float) -> bool:
        """Return whether its target would usually have answered by now.

        Parameters
        ----------
        seconds : float
            Since the request was sent.
        """
        usual = self.deps.response_times.usual(
            self.context.service, attempt.run.prefill_tokens
        )
        return usual is not None and usual < seconds

    def may_repeat(self) -> bool:
        """Return whether another attempt may follow the current one."""
        left = retries_module.attempts_left(self.context)
        return self.context.route.idempotent and left >= 2

    def _before_send(self, target: messages.TargetRecord) -> None:
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
        context = self.context
        self.deps.crashes.check_send(context)
        rests = self.deps.placer.rests
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
            self.deps.check_keys()

    # -- timeouts ----------------------------------------------------

    def _head_timeout(self, attempt: attempts.Attempt) -> float:
        """Return after how many seconds without a head a target is late.

        Infinite if no other target may run the request beside it.
        """
        context = self.context
        route = context.route
        if not self.may_repeat():
            return float("inf")
        if context.is_path_trial:
            # A helper may take it, if no target does.
            return max(PATH_TRIAL_SECONDS, route.objective / 2)
        objective_at = context.incoming.arrived + route.objective
        objective_left = objective_at - time.monotonic()
        learned = self.deps.response_times.timeout(
            context.service, attempt.run.prefill_tokens, objective_left
        )
        if learned is not None:
            return learned
        safe = route.kind == plans.Kind.SAFE
        return route.objective * SAFE_TIMEOUT_FACTOR if safe else float("inf")

    def _event_timeout(self) -> float:
        """Return after how many seconds without an event a target is late."""
        if not self.may_repeat():
            return self.context.deadline - time.monotonic()
        pause = self.context.route.pause_most
        return max(PAUSE_FACTOR * pause, MIN_EVENT_TIMEOUT)


def _failed_error(head: records.ResponseHead) -> errors.TargetFailedError:
    return errors.TargetFailedError("the target failed", given=head.status)


def _was_refused(attempt: attempts.Attempt) -> bool:
    head = attempt.head
    return head is not None and (head.refused or head.other_target)


def _was_given_up(attempt: attempts.Attempt) -> bool:
    """Return whether a run was left to itself before its answer was whole."""
    exchange = attempt.exchange
    if not exchange.sent or exchange.broken_off:
        return False
    return attempt.head is None or (
        attempt.run.is_accepted and not exchange.body.ended
    )
