"""Second attempts that are begun while a target is late with its answer.

The first attempt stays open until the second target answers, so that an
answer is lost neither if nobody else may run the request nor if whoever does
cannot. Only for a bounded time do two targets run one request.

Source: J. Dean and L. Barroso, "The Tail at Scale", CACM 56(2), 2013 (hedged
requests).
"""

import asyncio
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.forwarding import attempts
from amaranthring.forwarding import records
from amaranthring.registry import messages

__all__ = ["Hedge", "Steps"]

log = logbook.Logger(__name__)

# From sending to the second target until one of the two is closed. They may
# run one request for 0.4 s; the rest is for the way to the first target, and
# for a late event loop.
OVERLAP_SECONDS = 0.25
# Interval at which a hedge that was refused is asked for again.
ASK_SECONDS = 0.25
# With less time left, another target is not worth a retry.
MIN_SECONDS_LEFT = 0.1
# Refusal that stays: no further target may get the request.
NO_ATTEMPT = "attempts"


class Steps(t.Protocol):
    """What a hedge needs of the forwarding of its request."""

    def may_repeat(self) -> bool:
        """Return whether one more target may run the request."""

    def refusal(self) -> str:
        """Return why no target may run it beside the first, or nothing."""

    def may_use(self, target: messages.TargetRecord) -> bool:
        """Return whether `target` takes the request."""

    def patience(self, attempt: attempts.Attempt) -> float:
        """Return after how many seconds the target of an attempt is late."""

    def describe(self, attempt: attempts.Attempt) -> dict[str, t.Any]:
        """Return what may follow an attempt, for the log."""

    def gives_way(self, attempt: attempts.Attempt) -> bool:
        """Return whether the attempt ends for another router's."""

    def lacks_retry(self) -> str:
        """Return why no retry may be taken now, or nothing."""

    def late(self, attempt: attempts.Attempt) -> None:
        """Record that the target of an attempt is late."""

    def on_time(self, attempt: attempts.Attempt) -> None:
        """Record that the target of an attempt goes on."""

    def choose(self) -> messages.TargetRecord | None:
        """Return a target that was not tried, or None."""

    def take_retry(self) -> bool:
        """Take a retry from the budget; return whether one was left."""

    def give_retry_back(self) -> None:
        """Give back a retry that was not sent."""

    def begin(self, target: messages.TargetRecord) -> attempts.Attempt:
        """Return a new attempt at `target`."""

    async def open(self, attempt: attempts.Attempt, overlap: float) -> None:
        """Send the request, and read until the answer is under way.

        Parameters
        ----------
        overlap : float
            Seconds after which the attempt is late while it is a hedge.
        """

    def flaw(self, attempt: attempts.Attempt) -> errors.UpstreamError | None:
        """Return why the answer of an opened attempt must not take over."""

    def is_unusual(self, attempt: attempts.Attempt, seconds: float) -> bool:
        """Return whether its target would usually have answered by now.

        Parameters
        ----------
        seconds : float
            Since the request was sent.
        """

    def failed(
        self, attempt: attempts.Attempt, error: errors.UpstreamError
    ) -> None:
        """Record that an attempt has failed."""

    def end(self, attempt: attempts.Attempt) -> None:
        """Close an attempt without a whole answer."""


class Hedge:
    """The second attempt behind one attempt.

    Parameters
    ----------
    context : RequestContext
        The request.
    steps : Steps
        Its forwarding.
    first : Attempt
        The attempt whose target may be late.

    Attributes
    ----------
    second : Attempt or None
        The other attempt, while there is one.
    is_late : bool
        Whether the first target is late.
    is_settled : bool
        Whether the second attempt takes over.
    has_retry : bool
        Whether a retry was taken that has not been sent.
    dropped : TargetRecord or None
        Target of the last second attempt that was late itself. It may get the
        request again, as it is none more, and then takes over.
    refusal : str
        Why the hedge was last refused.
    """

    def __init__(
        self,
        context: records.RequestContext,
        steps: Steps,
        first: attempts.Attempt,
    ):
        self.context = context
        self.steps = steps
        self.first = first
        self.second: attempts.Attempt | None = None
        self.is_late = False
        self.is_settled = False
        self.has_retry = False
        self.dropped: messages.TargetRecord | None = None
        self.refusal = ""
        self.task: asyncio.Task | None = None
        self.overlap_ended = asyncio.Event()
        first.exchange.on_timeout = self.on_timeout

    def on_timeout(self, silent: float, late: float) -> float | None:
        """Begin the hedge if it may be; called while the target is late.

        Returns
        -------
        float or None
            Seconds until this is to be called again; None at the deadline.
        """
        left = self.context.deadline - time.monotonic()
        if left <= 0:
            return None
        if self.task is not None or left < MIN_SECONDS_LEFT:
            return left
        if not self.is_late:
            self._log_silence(silent, late)
            self.steps.late(self.first)
        self.is_late = True
        if self.steps.gives_way(self.first):
            return None
        target = self._permit(self.dropped)
        if target is None:
            is_final = self.refusal == NO_ATTEMPT and self.dropped is None
            return left if is_final else ASK_SECONDS
        self.task = asyncio.ensure_future(self._run(target))
        self.task.add_done_callback(self._on_task_done)
        return left

    def on_progress(self, timeout: float) -> None:
        """Go on with the first target, which has sent something.

        Parameters
        ----------
        timeout : float
            Seconds for which it may be silent from now on.
        """
        if not self.is_late or self.is_settled:
            return
        self.is_late = False
        self.refusal = ""
        self.steps.on_time(self.first)
        self._drop("first-goes-on")
        self.first.exchange.set_timeout(timeout)

    def take_successor(self) -> attempts.Attempt | None:
        """Return the attempt that takes over from the first one, if any.

        Its `opening` may not have ended.
        """
        second = self.second
        if second is None:
            return None
        self.is_settled = True
        self.second = None
        self.has_retry = False
        if self.task is not None:
            self.task.cancel()
        return second

    def stop(self) -> None:
        """End what does not take over."""
        self._drop("request-ended")
        self.first.exchange.on_timeout = _give_up

    def _permit(
        self, dropped: messages.TargetRecord | None = None
    ) -> messages.TargetRecord | None:
        """Return the target for the hedge; the retry is taken then.

        Parameters
        ----------
        dropped : TargetRecord, optional
            Target that may get the request again if no other one may.
        """
        target = None
        refusal = self.steps.refusal()
        if self.context.deadline - time.monotonic() < MIN_SECONDS_LEFT:
            refusal = "deadline"
        if not refusal and not self.has_retry:
            refusal = self.steps.lacks_retry()
        if not refusal:
            target, refusal = self._choose(dropped)
        if target and not self.has_retry:
            self.has_retry = self.steps.take_retry()
            refusal = "" if self.has_retry else "retries"
        if refusal and refusal != self.refusal:
            self._log("hedge.refused", reason=refusal)
        self.refusal = refusal
        return None if refusal else target

    def _choose(
        self, dropped: messages.TargetRecord | None
    ) -> tuple[messages.TargetRecord | None, str]:
        """Return a target, or None and why there is none."""
        may_repeat = self.steps.may_repeat()
        target = self.steps.choose() if may_repeat else None
        if target is not None:
            return target, ""
        if dropped is not None and self.steps.may_use(dropped):
            return dropped, ""
        return None, "no-target" if may_repeat else NO_ATTEMPT

    async def _run(self, target: messages.TargetRecord | None) -> None:
        """Try targets until one takes over or none may."""
        while target is not None:
            error = await self._try(target)
            if error is None:
                return
            tried, target = target, None
            if isinstance(error, errors.UpstreamError):
                target = self._permit()
            if isinstance(error, errors.HedgeDroppedError):
                self.dropped = tried
        self.task = None
        wait = ASK_SECONDS
        if self.dropped is not None:
            wait = self.steps.patience(self.first)
        self.first.exchange.set_timeout(wait)

    async def _try(
        self, target: messages.TargetRecord
    ) -> errors.AmaranthringError | None:
        """Have `target` take over; return why it does not, or None."""
        self._log("hedge.begun", target=target.id)
        second = self.second = self.steps.begin(target)
        second.exchange.on_timeout = self._on_overlap
        self.overlap_ended.clear()
        opening = self.steps.open(second, OVERLAP_SECONDS)
        second.opening = asyncio.ensure_future(opening)
        second.opening.add_done_callback(_retrieve_error)
        ended = asyncio.ensure_future(self.overlap_ended.wait())
        try:
            await asyncio.wait(
                {second.opening, ended}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            ended.cancel()
        if second.exchange.sent:
            self.has_retry = False
        error = None
        if second.opening.done():
            error = second.opening.exception() or self.steps.flaw(second)
        if error is None:
            self._take_over(second)
            return None
        self.second = None
        self.steps.end(second)
        if not isinstance(error, errors.AmaranthringError):
            raise error
        self._log("hedge.ended", target=target.id, outcome=error.code)
        if isinstance(error, errors.UpstreamError):
            self.steps.failed(second, error)
        return error

    def _on_overlap(self, silent: float, _late: float) -> float | None:
        """Decide for one target while neither answers."""
        second = self.second
        left = self.context.deadline - time.monotonic()
        if second is None or left <= 0:
            return None
        is_new = self.dropped is None or second.target.id != self.dropped.id
        is_late = second.head is None and self.steps.is_unusual(second, silent)
        if is_late and is_new:
            # It is late itself; the first one has run the request for longer.
            second.exchange.abort(
                errors.HedgeDroppedError(
                    "the second target is late, too",
                    given=f"{silent:.3f} s",
                    expected="an answer as early as usual",
                )
            )
            return left
        self.overlap_ended.set()
        return left

    def _take_over(self, second: attempts.Attempt) -> None:
        self.is_settled = True
        self._log(
            "hedge.ended",
            target=second.target.id,
            outcome="takes-over",
            answered=second.head is not None,
        )
        self.first.exchange.abort(
            errors.SupersededError(
                "another target goes on with the request",
                given=self.first.target.id,
                expected="an answer in time",
            )
        )

    def _drop(self, reason: str) -> None:
        """End the second attempt, and give back a retry that was not sent."""
        if self.task is not None:
            self.task.cancel()
            self.task = None
        second = self.second
        if second is not None:
            self.second = None
            second.opening.cancel()
            if second.exchange.sent:
                self.has_retry = False
            self.steps.end(second)
            self._log("hedge.ended", target=second.target.id, outcome=reason)
        if self.has_retry:
            self.has_retry = False
            self.steps.give_retry_back()

    def _on_task_done(self, task: asyncio.Task) -> None:
        """Log an error that has ended the hedge, and ask anew."""
        if task.cancelled() or task.exception() is None:
            return
        log.error("task.failed fault={!r}", task.exception())
        self._drop("task-failed")
        self.first.exchange.set_timeout(ASK_SECONDS)

    def _log_silence(self, silent: float, late: float) -> None:
        self._log(
            "run.silent",
            silent=round(silent, 3),
            late=round(late, 3),
            answered=self.first.head is not None,
            **self.steps.describe(self.first),
        )

    def _log(self, event: str, **fields: t.Any) -> None:
        logs.event(
            log,
            event,
            id=self.context.incoming.request_id,
            first=self.first.target.id,
            **fields,
        )


def _give_up(_silent: float, _late: float) -> None:
    return None


def _retrieve_error(task: asyncio.Task) -> None:
    """Keep the loop from reporting an error that nobody waits for."""
    if not task.cancelled():
        task.exception()
