"""Which requests are handed over to another router, and how they end.

See ``docs/design/handover.md``.
"""

import asyncio
import functools
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.core import metrics as metrics_module
from amaranthring.forwarding import answer_memory
from amaranthring.forwarding import attempts
from amaranthring.forwarding import events
from amaranthring.forwarding import path_trials
from amaranthring.forwarding import placement
from amaranthring.forwarding import records
from amaranthring.forwarding import responses
from amaranthring.handover import client as handover_client
from amaranthring.handover import messages
from amaranthring.policy import bindings

log = logbook.Logger(__name__)

# A request is offered to so many helpers, then refused.
MAX_HELPERS_TRIED = 2
# ``Retry-After`` in seconds where no helper takes a request.
RETRY_HELPERS = 0.5
# For so long after a request that needed one, helpers are sought.
SEEK_SECONDS = 5.0
# Errors of a helper after which another one may take the request.
HELPER_UNFIT = (
    errors.NoTargetError,
    errors.NoQuorumError,
    errors.QueueFullError,
    errors.ShuttingDownError,
    errors.LinkError,
)


class HandingOver:
    """Hands requests over while this router reaches no target.

    Parameters
    ----------
    client : HandoverClient
        Links to the helpers.
    answers : AnswerMemory
        Limit on the answers that are held until they are whole.
    retries_left : callable
        Returns how many retries the budget of a service leaves.

    Attributes
    ----------
    needed_at : dict of str to float
        Monotonic seconds at which a helper was last needed, by service.
    """

    def __init__(
        self,
        client: handover_client.HandoverClient,
        placer: placement.Placer,
        metrics: metrics_module.Metrics,
        answers: answer_memory.AnswerMemory,
        retries_left: t.Callable[[str], float],
    ):
        self.answers = answers
        self.client = client
        self.retries_left = retries_left
        self.placer = placer
        self.metrics = metrics
        self.trials = path_trials.PathTrials(placer)
        self.needed_at: dict[str, float] = {}

    def sought_services(self) -> list[str]:
        """Return the services for which this router needs a helper."""
        oldest = time.monotonic() - SEEK_SECONDS
        self.needed_at = {
            service: at
            for service, at in self.needed_at.items()
            if at > oldest
        }
        return sorted(
            self.placer.paths.unreached_services | set(self.needed_at)
        )

    def helper_for(
        self, context: records.RequestContext
    ) -> handover_client.Helper | None:
        """Return the helper that gets a request, or None to try targets.

        Raises
        ------
        errors.NoTargetError
            If no target is reached and no helper takes the request.
        """
        service = context.service
        if context.handover or not self.placer.paths.is_unreached(service):
            return None
        self.needed_at[service] = time.monotonic()
        idempotent = context.route.idempotent
        is_new = not (context.helpers_tried or context.attempts_sent)
        context.is_path_trial = is_new and self.trials.may_try(
            service, idempotent
        )
        if context.is_path_trial:
            logs.event(
                log,
                "path.tried",
                id=context.incoming.request_id,
                service=service,
            )
            return None
        if not self.client.has_offers(service):
            return None
        helper = self._choose(context)
        if helper is None:
            raise errors.NoTargetError(
                f"no target of service {service} is reached, and no other"
                " router takes the request",
                given=f"{len(context.helpers_tried)} routers asked",
                retry_after=RETRY_HELPERS,
            )
        return helper

    def last_helper(
        self, context: records.RequestContext
    ) -> handover_client.Helper | None:
        """Return the helper for a request that is left without a target."""
        if context.handover:
            return None
        if not (
            context.silent_data_centres or self.placer.reaches_none(context)
        ):
            return None
        if context.attempts_sent and not context.route.idempotent:
            return None
        self.needed_at[context.service] = time.monotonic()
        return self._choose(context)

    def has_helper(self, context: records.RequestContext) -> bool:
        """Return whether a helper may take a request now."""
        return (
            context.handover is None
            and self.client.has_offers(context.service)
            and self._choose(context) is not None
        )

    def _choose(
        self, context: records.RequestContext
    ) -> handover_client.Helper | None:
        if len(context.helpers_tried) >= MAX_HELPERS_TRIED:
            return None
        if context.binding is not None and not context.binding.release:
            # No helper can keep to a version that is not known.
            return None
        return self.client.choose(context.service, context.helpers_tried)

    async def run(
        self,
        context: records.RequestContext,
        helper: handover_client.Helper,
        splitter: events.EventSplitter,
        writer: responses.ResponseWriter,
        on_events: t.Callable[[bindings.Binding], None],
    ) -> None:
        """Have a helper send a request on, and pass its answer back.

        Parameters
        ----------
        on_events : callable
            Called with the binding of the stream before events are passed on.

        Raises
        ------
        errors.HelperRefusedError
            If the helper did not take it; another one may.
        errors.AmaranthringError
            As for an attempt at a target.
        """
        context.helpers_tried.add(helper.address)
        self.metrics.count("request.handed-over")
        answer = None
        memory = None
        outcome = "unfinished"
        try:
            answer = await self._begin(context, helper, splitter)
            memory = self.answers.share(answer.abort)
            head = await answer.read_head()
            outcome = str(head.status)
            await _pass_on(answer, memory, head, splitter, writer, on_events)
        except errors.AmaranthringError as error:
            outcome = error.code
            meaning = self._interpret(context, answer, error)
            if meaning.outcome != errors.Outcome.NOT_RUN:
                # A target of the helper may have ended under it.
                context.broke_off = True
            raise meaning from error
        except asyncio.CancelledError:
            # The deadline has passed, or the caller has left.
            context.attempts_sent += 1
            raise
        finally:
            context.attempt_outcomes.append(f"{helper.address}:{outcome}")
            if memory is not None:
                memory.release()
            if answer is not None:
                self.client.end(answer)

    async def _begin(
        self,
        context: records.RequestContext,
        helper: handover_client.Helper,
        splitter: events.EventSplitter,
    ) -> handover_client.Answer:
        resume_after = context.incoming.resume_after
        if splitter.last_id is not None:
            resume_after = str(splitter.last_id)
        left = context.deadline - time.monotonic()
        context.sent_after.append(time.monotonic() - context.incoming.arrived)
        return await self.client.begin(
            helper,
            context,
            left,
            resume_after,
            functools.partial(self._may_follow, context),
        )

    def _may_follow(self, context: records.RequestContext) -> bool:
        """Return whether another helper may get the request now."""
        attempts_left = context.route.attempts_most - context.attempts_sent
        return (
            context.route.idempotent
            and attempts_left >= 2
            and self._choose(context) is not None
            and self.retries_left(context.service) >= 1
        )

    def _interpret(
        self,
        context: records.RequestContext,
        answer: handover_client.Answer | None,
        error: errors.AmaranthringError,
    ) -> errors.AmaranthringError:
        """Return the error for this router's own handling of a request."""
        if isinstance(error, errors.CallerDisconnectedError):
            return error
        if error.outcome == errors.Outcome.NOT_RUN:
            if isinstance(error, HELPER_UNFIT):
                return errors.HelperRefusedError(
                    error.detail,
                    given=error.code,
                    expected="a router that reaches the targets",
                    retry_after=error.retry_after or RETRY_HELPERS,
                )
            return error
        sent = answer.attempts_sent if answer is not None else 0
        context.attempts_sent = max(context.attempts_sent + 1, sent)
        if isinstance(error, errors.UpstreamError):
            return error
        return errors.TruncatedResponseError(
            "what became of a request that was handed over is not known",
            given=error.code,
        )


async def _pass_on(
    answer: handover_client.Answer,
    memory: answer_memory.AnswerShare,
    head: messages.Head,
    splitter: events.EventSplitter,
    writer: responses.ResponseWriter,
    on_events: t.Callable[[bindings.Binding], None],
) -> None:
    """Pass the answer of a helper on to the caller."""
    headers = messages.unpack_headers(head.headers)
    content_type = headers.get("Content-Type", "")
    if head.status != 200 or not content_type.startswith(
        attempts.EVENT_STREAM
    ):
        body = await answer.read_all(memory.grow)
        if writer.status:
            raise errors.UpstreamError(
                "the response does not resume the stream"
            )
        await writer.send(head.status, headers, body)
        return
    while data := await answer.read():
        complete = splitter.feed(data)
        memory.hold(len(splitter.partial))
        if complete:
            on_events(bindings.Binding(head.service, head.release))
        if complete and writer.status:
            await writer.write(complete)
        elif complete:
            await writer.start_stream(head.status, headers, complete)
    if not writer.status:
        await writer.start_stream(head.status, headers, b"")
    writer.finish()
