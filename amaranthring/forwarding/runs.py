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
# A failure of a target that is larger goes to the caller at once.
MAX_KEPT_BYTES = 64 * 1024
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
            successor = hedge.successor()
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
            timeout = self._head_timeout(attempt)
            if attempt.opening is None:
                await self._open(attempt, timeout)
            else:
                left = context.deadline - time.monotonic()
                attempt.exchange.set_timeout(max(0.0, min(timeout, left)))
                await attempt.opening
            failures.request_accepted(deps.placer, context)
            timeout = self._event_timeout()
            hedge.on_progress(timeout)
            if attempt.is_event_stream:
                await self._relay_events(attempt, hedge, timeout)
            else:
                await self._relay_body(attempt)
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

    async def open(self, attempt: attempts.Attempt, seconds: float) -> None:
        """Send the request, and read until the answer is under way.

        Raises
        ------
        errors.UpstreamError
            If the answer cannot take the place of an earlier one.
        """
        try:
            head = await self._open(attempt, seconds)
            self._check_fits(attempt)
            if head.status >= 500:
                raise _failed_error(head)
            await attempt.read_ahead()
        except errors.AmaranthringError as error:
            self._note_outcome(attempt, error)
            raise

    async def _open(
        self, attempt: attempts.Attempt, timeout: float
    ) -> records.ResponseHead:
        """Return the head of the response, and record the time it took."""
        placer = self.deps.placer
        started_at = time.monotonic()
        key = self.context.service, attempt.run.prefill_tokens
        times = self.deps.response_times
        try:
            head = await attempt.open(timeout)
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
        failures.record(
            deps.placer, deps.connections, context, attempt.target, error
        )

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

    async def _relay_body(self, attempt: attempts.Attempt) -> None:
        body = await attempt.read_body()
        head = attempt.head
        if head.status >= 500 and self._may_better(attempt, body):
            self.context.kept_answer = records.KeptAnswer(
                head.status, head.headers, body
            )
            raise _failed_error(head)
        self._check_fits(attempt)
        await self.writer.send(head.status, head.headers, body)

    def _may_better(self, attempt: attempts.Attempt, body: bytes) -> bool:
        """Return whether another target may answer in the place of one."""
        context = self.context
        return (
            len(body) <= MAX_KEPT_BYTES
            and self.may_repeat()
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

    def refusal(self, attempt: attempts.Attempt) -> str:
        """Return why no other target may run the request now, or nothing."""
        deps, context = self.deps, self.context
        if not self.may_repeat():
            return hedges.NO_ATTEMPT
        if context.account and not deps.may_trust_keys():
            return "keys"
        if not deps.crashes.may_run_twice(context):
            return "suspected"
        if deps.queue.must_wait(context):
            return "queue"
        if not deps.placer.may_follow(context, attempt.target):
            return "no-target"
        return ""

    def choose(self) -> messages.TargetRecord | None:
        """Return a target that was not tried, or None."""
        return self.deps.placer.choose(self.context)

    def gives_way(self) -> bool:
        """Return whether the attempt ends for another router's.

        It tries a path that was lost, and other routers reach the targets.
        """
        context = self.context
        return (
            context.is_path_trial
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
        timeout = PAUSE_FACTOR * self.context.route.pause_most
        return max(timeout, MIN_EVENT_TIMEOUT)


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
