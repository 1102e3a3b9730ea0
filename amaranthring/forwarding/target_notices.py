"""Observance and logging of what targets say about themselves."""

import functools

import logbook

from amaranthring.core import logs
from amaranthring.core import metrics as metrics_module
from amaranthring.core import notices
from amaranthring.forwarding import placement
from amaranthring.forwarding import records
from amaranthring.registry import messages

log = logbook.Logger(__name__)


def take(
    placer: placement.Placer,
    metrics: metrics_module.Metrics,
    context: records.RequestContext,
    target: messages.TargetRecord,
    status: int,
    notice: notices.Notice,
) -> None:
    """Observe a notice of `target` from now on.

    Parameters
    ----------
    context : RequestContext
        Request in whose exchange the notice arrived.
    status : int
        HTTP status of the response that carried it.
    """
    if notice is notices.NOTHING:
        return
    event = functools.partial(
        logs.event,
        log,
        target=target.id,
        service=target.service,
        request=context.incoming.request_id,
        status=status,
    )
    for fault in notice.faults:
        metrics.count("target.invalid-header")
        event("target.invalid-header", fault=str(fault))
    if notice.rest_seconds:
        metrics.count("target.rest-asked")
        event("target.rest-asked", seconds=notice.rest_seconds)
        placer.rests.begin(target.id, notice.rest_seconds, context.caller)
        context.asked_for_rest.add(target.id)
    if notice.leaving:
        metrics.count("target.leaving-answers")
        if placer.table.mark_draining(target.id):
            event("target.says-leaving")
