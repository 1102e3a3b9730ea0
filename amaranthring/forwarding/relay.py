"""The way of one request: route, account, target, attempts, answer."""

import asyncio
import collections
import functools
import time
import typing as t

from amaranthring import errors
from amaranthring.core import metrics as metrics_module
from amaranthring.core import timeouts
from amaranthring.forwarding import attempts
from amaranthring.forwarding import events
from amaranthring.forwarding import failures
from amaranthring.forwarding import placement
from amaranthring.forwarding import records
from amaranthring.forwarding import request_log
from amaranthring.forwarding import responses
from amaranthring.forwarding import startup
from amaranthring.policy import budgets
from amaranthring.policy import response_times
from amaranthring.routing import plan as plans
from amaranthring.routing import table as route_tables
from amaranthring.targets import pool

# A safe request that has no answer after this multiple of its objective is
# sent to a second target, early enough to be on time by the deadline; as long
# as nothing was learned of how long answers take.
SAFE_PATIENCE = 1.6
# A target from which no event comes for so many of the route's longest
# pauses has broken down, and a stream that may go on elsewhere does; callers
# give up after eight. Another stream waits: it can only be continued there,
# and a cut that heals lets it go on.
STREAM_PAUSES = 4.0
STREAM_SECONDS_LEAST = 1.2
# The final answer leaves this many seconds before the caller gives up.
ANSWER_MARGIN = 0.02
# When a caller should come back after each kind of refusal, in seconds.
# Targets announce themselves about every second; a full target frees a
# slot within some tens of milliseconds, but all callers wait for it.
RETRY_NO_TARGET = 0.5
RETRY_REFUSED = 0.3
# In the trail of a request: no byte of it went to that target.
UNREACHED = "target-unreached"


class Relay:
    """Forwards requests of callers.

    Parameters
    ----------
    table : callable
        Returns the RouteTable in force, or None.
    may_admit : callable
        Whether the plan is known to be new enough to trust its keys.
    budget : callable
        ``(service) -> RetryBudget``, new for each service.
    routers : callable
        Returns how many routers share the budgets.
    connections : Pool, optional
        Kept connections to targets.
    start : Start, optional
        What holds requests back until there is a plan.
    """

    def __init__(
        self,
        dialect: records.Dialect,
        table: t.Callable[[], route_tables.RouteTable | None],
        may_admit: t.Callable[[], bool],
        placer: placement.Placer,
        budget: t.Callable[[], budgets.WindowBudget],
        routers: t.Callable[[], int],
        metrics: metrics_module.Metrics,
        connections: pool.Pool | None = None,
        start: startup.StartupGate | None = None,
    ):
        self.connections = connections or pool.Pool()
        self.dialect = dialect
        self.table = table
        self.may_admit = may_admit
        self.placer = placer
        self.routers = routers
        self.metrics = metrics
        self.note = functools.partial(request_log.record, metrics)
        self.startup = start or startup.StartupGate(metrics)
        self.response_times = response_times.ResponseTimes()
        self.budgets: dict[str, budgets.WindowBudget] = (
            collections.defaultdict(budget)
        )

    async def serve(
        self, incoming: records.Incoming, reply: responses.ResponseWriter
    ) -> None:
        """Answer one request.

        Cancelled when the caller has gone; the target's connection is then
        closed at once, so that it stops its work.
        """
        passage = None
        fault: BaseException | None = None
        try:
            await self.startup.wait_for_plan(incoming)
            passage = self.resolve(incoming)
            # An answer that is there when this process wakes from a stall
            # is delivered, also after the deadline.
            async with timeouts.until(self._loop_time(passage.deadline)):
                await self._attempt_all(passage, reply)
        except TimeoutError:
            fault = errors.UpstreamTimeoutError(
                "no answer within the request's time"
            )
            await self._give_up(passage, reply, fault)
        except errors.CallerGoneError as error:
            fault = error
            reply.break_off()
        except errors.AmaranthringError as error:
            fault = error
            await self._give_up(passage, reply, error)
        except asyncio.CancelledError as error:
            fault = error
            reply.break_off()
            raise
        finally:
            self.note(incoming, passage, reply, fault)

    @staticmethod
    def _loop_time(deadline: float) -> float:
        loop = asyncio.get_running_loop()
        return loop.time() + deadline - time.monotonic()

    # -- before the first attempt ------------------------------------

    def resolve(self, incoming: records.Incoming) -> records.RequestContext:
        """Return the request with its route and account.

        Raises
        ------
        errors.RefusedError
            If it may not pass.
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
        self.budgets[service].count_request()
        seconds = min(incoming.timeout - ANSWER_MARGIN, route.timeout)
        return records.RequestContext(
            incoming,
            route,
            account.name if account else "",
            service,
            table.version,
            incoming.arrived + seconds,
            table.services[service].engine,
        )

    def _account(
        self,
        table: route_tables.RouteTable,
        route: plans.Route,
        incoming: records.Incoming,
    ) -> plans.Account | None:
        if route.public or not table.needs_key:
            return None
        self._check_lease()
        account = table.account_of(incoming.key)
        if account is None:
            raise errors.UnauthenticatedError("unknown key")
        return account

    def _check_lease(self) -> None:
        if not self.may_admit():
            # A key may have been withdrawn since: while no keeper with a
            # quorum confirms the plan, it must not be trusted.
            raise errors.NoQuorumError(
                "no keeper confirms the plan in force",
                retry_after=self.startup.retry_after(),
            )

    # -- attempts ----------------------------------------------------

    async def _attempt_all(
        self, passage: records.RequestContext, reply: responses.ResponseWriter
    ) -> None:
        after = passage.incoming.resume_after
        cutter = events.EventSplitter(int(after) if after.isdigit() else None)
        while True:
            target = self.placer.choose(passage)
            if target is None:
                raise self._no_target(passage)
            try:
                await self._attempt(passage, target, cutter, reply)
                return
            except errors.UpstreamError as error:
                passage.tried.add(target.id)
                failures.record(
                    self.placer, self.connections, passage, target, error
                )
                if not self._may_repeat(passage, error):
                    raise
                self.metrics.count("request.repeated")
                cutter.discard_partial()

    async def _attempt(self, passage, target, cutter, reply) -> None:
        after = passage.incoming.resume_after
        if cutter.last is not None:
            after = str(cutter.last)
        copy = self.placer.copy_for(passage, target)
        if copy is not None:
            passage.copies.append(f"{copy.source}>{target.id}")
        attempt = attempts.Attempt(
            passage,
            target,
            self.dialect,
            after,
            self.connections,
            copy_from=self.placer.source_address(copy),
            trusts_kept=not self.placer.failed_recently(target),
            may_send=functools.partial(self._may_send, passage),
        )
        whole = False
        # Stands in the log if the request ends while this target is asked.
        outcome = "unfinished"
        self.placer.begin(target, passage, copy)
        try:
            answer = await self._open(passage, attempt)
            self.placer.record_contact(target)
            self.placer.prefill_done(target, passage)
            if answer.load is not None:
                self.placer.update_load(target, answer.load)
            if attempt.is_event_stream:
                await attempt.relay_events(cutter, reply, self._pause(passage))
                if not reply.status:
                    await reply.begin(answer.status, answer.headers, b"")
                reply.finish()
            else:
                await self._pass_whole(passage, attempt, reply)
            whole = True
            self.placer.record_success(target)
            failures.record_refusals(self.placer, passage)
            outcome = str(answer.status)
        except errors.TargetUnreachedError:
            outcome = UNREACHED
            raise
        except errors.AmaranthringError as error:
            outcome = error.code
            raise
        finally:
            passage.trail.append(f"{target.id}:{outcome}")
            attempt.close(whole)
            self.placer.end(target, passage)
            if attempt.exchange.sent and not _certainly_refused(attempt):
                passage.sent += 1

    async def _open(
        self, passage: records.RequestContext, attempt: attempts.Attempt
    ) -> records.ResponseHead:
        """Return the head of the answer, and learn how long it took."""
        began = time.monotonic()
        asked = passage.service, passage.prefill_tokens
        try:
            answer = await attempt.open(self._patience(passage))
        except errors.UpstreamTimeoutError:
            self.response_times.record_timeout(
                *asked, time.monotonic() - began
            )
            raise
        self.response_times.record(*asked, time.monotonic() - began)
        return answer

    async def _pass_whole(self, passage, attempt, reply) -> None:
        body = await attempt.whole()
        answer = attempt.answer
        if answer.status >= 500 and passage.route.idempotent:
            left = passage.route.attempts_most - passage.sent - 1
            if left > 0 and self._takes_budget(passage):
                raise errors.TargetFailedError(
                    "the target failed", given=answer.status
                )
        if reply.status:
            # A stream that was to go on here got something else.
            raise errors.UpstreamError("no stream to go on with")
        await reply.whole(answer.status, answer.headers, body)

    def _may_send(self, passage: records.RequestContext) -> None:
        if passage.account:
            self._check_lease()

    def _patience(self, passage: records.RequestContext) -> float:
        """Return how long to await the head of an answer, in seconds.

        Where the request may run elsewhere as well. Callers of streams were
        0.7 s late when a data centre was cut off, as long as it took to know
        that what was sent there was not acknowledged.
        """
        route = passage.route
        if not route.idempotent or self._attempts_left(passage) < 2:
            return float("inf")
        objective_at = passage.incoming.arrived + route.objective
        left = objective_at - time.monotonic()
        learned = self.response_times.timeout(
            passage.service, passage.prefill_tokens, left
        )
        if learned is not None:
            return learned
        safe = route.kind == plans.Kind.SAFE
        return route.objective * SAFE_PATIENCE if safe else float("inf")

    def _pause(self, passage: records.RequestContext) -> float:
        route = passage.route
        if not route.idempotent or self._attempts_left(passage) < 2:
            return passage.deadline - time.monotonic()
        longest = STREAM_PAUSES * route.pause_most
        return max(longest, STREAM_SECONDS_LEAST)

    def _attempts_left(self, passage: records.RequestContext) -> int:
        return passage.route.attempts_most - passage.sent

    def _may_repeat(
        self, passage: records.RequestContext, error: errors.UpstreamError
    ) -> bool:
        if isinstance(error, errors.TargetFailedError):
            return True
        if error.outcome == errors.Outcome.NOT_RUN:
            arrived = isinstance(error, errors.TargetRefusedError)
            return not arrived or self._takes_budget(passage)
        if not passage.route.idempotent:
            return False
        if self._attempts_left(passage) < 1:
            return False
        return self._takes_budget(passage)

    def _takes_budget(self, passage: records.RequestContext) -> bool:
        return self.budgets[passage.service].take(self.routers())

    # -- when it fails -----------------------------------------------

    def _no_target(self, passage) -> errors.AmaranthringError:
        if passage.sent:
            return errors.UpstreamError("no other target is left")
        return errors.NoTargetError(
            f"no target of service {passage.service} is ready",
            retry_after=RETRY_NO_TARGET,
        )

    async def _give_up(self, passage, reply, error) -> None:
        if reply.status:
            reply.break_off()
            return
        known = error
        if passage is not None and passage.sent == 0:
            known = self._not_run(error)
        elif isinstance(error, errors.RefusedError) and passage is not None:
            # It was refused only after a target may have begun it.
            known = errors.UpstreamError(error.detail)
        if isinstance(known, errors.NoQuorumError):
            # What follows on this connection would meet the same.
            reply.closing = True
        try:
            await reply.refuse(known)
        except errors.CallerGoneError:
            reply.break_off()

    @staticmethod
    def _not_run(error) -> errors.AmaranthringError:
        if isinstance(error, errors.RefusedError):
            return error
        return errors.NoTargetError(
            f"no target took the request: {error.detail}",
            retry_after=RETRY_REFUSED,
        )


def _certainly_refused(attempt: attempts.Attempt) -> bool:
    answer = attempt.answer
    return answer is not None and (answer.refused or answer.other_target)
