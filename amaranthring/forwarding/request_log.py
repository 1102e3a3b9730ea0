"""Log line and metrics of each request."""

import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.core import metrics as metrics_module
from amaranthring.forwarding import records
from amaranthring.forwarding import responses

log = logbook.Logger(__name__)


def record(
    metrics: metrics_module.Metrics,
    incoming: records.Incoming,
    context: records.RequestContext | None,
    writer: responses.ResponseWriter,
    failure: BaseException | None,
) -> None:
    """Log and count the outcome of a request.

    Parameters
    ----------
    context : RequestContext or None
        None if the request was refused before it was routed.
    failure : exception or None
        Why the request has no response from a target.
    """
    seconds = time.monotonic() - incoming.arrived
    outcome = _outcome(failure)
    handed_over = context is not None and context.handover is not None
    # The router that received it counts it as a request.
    metrics.count(f"{'handover' if handed_over else 'request'}.{outcome}")
    if context is not None and not handed_over:
        metrics.record(
            "request.seconds", seconds, context.account, context.route.kind
        )
    logs.event(
        log,
        "request",
        id=incoming.request_id,
        outcome=outcome,
        status=writer.status,
        ms=round(seconds * 1e3, 1),
        first_ms=_milliseconds(incoming.arrived, writer.started_at),
        **_context_fields(context),
    )


def _outcome(failure: BaseException | None) -> str:
    if failure is None:
        return "answered"
    if isinstance(failure, errors.HalfClosedError):
        # Most of these callers have closed the connection.
        return errors.CallerDisconnectedError.code
    if isinstance(failure, errors.AmaranthringError):
        return failure.code
    return "caller-gone"


def _context_fields(
    context: records.RequestContext | None,
) -> dict[str, t.Any]:
    """Return the log fields of a routed request."""
    if context is None:
        return {}
    parts = context.incoming.parts
    return {
        "route": context.route.name,
        "account": context.account,
        "service": context.service,
        "plan": context.version,
        "handed_over_by": context.handover.router if context.handover else "",
        "fingerprint": context.fingerprint,
        "sent": context.attempts_sent,
        "trail": ",".join(context.attempt_outcomes),
        "releases": ",".join(context.releases),
        "resume_after": context.incoming.resume_after,
        "resumes": context.incoming.resumes,
        "sent_ms": ",".join(f"{s * 1e3:.1f}" for s in context.sent_after),
        "resting": ",".join(sorted(context.resting)),
        "copies": ",".join(context.copies),
        "placed": ",".join(map(_describe, context.placements)),
        "prompt": ",".join(f"{part.id}:{part.tokens}" for part in parts),
    }


def _describe(placement: records.Placement) -> str:
    """Return a summary of `placement` in one word or a few.

    ``load/mean@age told/routers of candidates``, and what was left out.
    """
    described = (
        f"{placement.load:.1f}/{placement.mean:.1f}"
        f"@{placement.counts_age:.2f} {placement.told}/{placement.routers}"
        f" of {placement.candidates}"
    )
    for reason, number in placement.left_out.items():
        described += f" {reason}={number}"
    return described


def _milliseconds(since: float, until: float) -> float | None:
    return round((until - since) * 1e3, 1) if until else None
