"""Detection of targets that are lost while they run a request."""

import asyncio
import time
import typing as t

from amaranthring import errors
from amaranthring.core import records
from amaranthring.targets import liveness
from amaranthring.targets import upstream

if t.TYPE_CHECKING:
    from amaranthring.callers import execution


class AbortOnTargetLoss:
    """Aborts an exchange when its target is lost.

    Without it, a request to a frozen target would wait for the token
    timeout, although membership has already declared the target lost.
    """

    def __init__(
        self, deps: "execution.Dependencies", exchange: upstream.Exchange
    ):
        self.lost_future = deps.when_lost(exchange.target.name)
        self.exchange = exchange
        self.lost_future.add_done_callback(self._abort)

    def __enter__(self) -> upstream.Exchange:
        return self.exchange

    def __exit__(self, *_) -> None:
        self.lost_future.remove_done_callback(self._abort)
        self.exchange.close()

    def _abort(self, _) -> None:
        self.exchange.abort(
            errors.UpstreamError(
                "the target was lost",
                given=self.exchange.target.name,
                expected="a target that renews its lease",
                retry_after=1.0,
            )
        )


async def examine_target(
    deps: "execution.Dependencies",
    request: records.Request,
    attempt: "execution.Attempt",
    broke_off: bool = True,
) -> None:
    """Ask whether the target of a failed attempt runs; report its loss.

    A broken connection alone is no crash: a target that only dropped this
    connection answers an inquiry. Called before the grant is released, so
    that the next isolated run there starts after the report.

    Parameters
    ----------
    broke_off : bool
        Whether the target broke the connection. A target that only took too
        long may be overloaded; silence does not show that it is lost.
    """
    if not attempt.target_lost:
        await _inquire(deps, request, attempt, broke_off)
    if attempt.target_lost and attempt.sent:
        await report_crash(deps, request, attempt)


async def _inquire(deps, request, attempt, broke_off) -> None:
    """Ask the target, and record in the attempt whether it is lost."""
    attempt.inquiry = inquiry = liveness.Inquiry(attempt.target)
    seconds = time.monotonic() - attempt.started

    def watch() -> None:
        if broke_off:
            deps.watch_target(request, attempt.target, inquiry, seconds)

    try:
        verdict = await inquiry.wait(liveness.ANSWER_SECONDS)
    except asyncio.CancelledError:
        # The caller may send the request again through another router.
        watch()
        raise
    if verdict is liveness.Verdict.ALIVE:
        watch()
    elif verdict is liveness.Verdict.DEAD:
        attempt.target_lost = True
    elif broke_off:
        attempt.silent = attempt.target_lost = True
    else:
        inquiry.stop()


async def report_crash(
    deps: "execution.Dependencies",
    request: records.Request,
    attempt: "execution.Attempt",
) -> None:
    """Report, once, that a target was lost while it ran the request.

    The request is retried only after it is known as a suspect, so that it
    runs isolated from others.
    """
    if attempt.reported:
        return
    attempt.reported = True
    deps.metrics.count("way.target-lost")
    if attempt.inquiry is None:
        attempt.inquiry = liveness.Inquiry(attempt.target)
    seconds = time.monotonic() - attempt.started
    try:
        await deps.report_crash(
            request, attempt.target, attempt.inquiry, seconds
        )
    except errors.AmaranthringError:
        attempt.retryable = False
    if deps.is_quarantined(request.body_digest):
        attempt.retryable = False
