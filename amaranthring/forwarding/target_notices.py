"""Observance of what targets say about themselves."""

import logbook

from amaranthring.core import logs
from amaranthring.core import metrics as metrics_module
from amaranthring.core import notices
from amaranthring.forwarding import placement
from amaranthring.forwarding import records
from amaranthring.registry import messages

log = logbook.Logger(__name__)


def observe(
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
    refused = status == notices.UNAVAILABLE
    if notice.max_refused is not None:
        placer.room.record_notice(target, notice.max_refused, refused)
    if notice.max_refused is not None and refused:
        logs.event(
            log,
            "target.turned-away",
            target=target.id,
            service=target.service,
            request=context.incoming.request_id,
            max_refused=notice.max_refused,
        )
    if notice.rest_seconds:
        placer.rests.begin(target.id, notice.rest_seconds, context.caller)
        context.asked_for_rest.add(target.id)
    newly_leaving = notice.leaving and placer.table.mark_draining(target.id)
    notices.report(
        notice,
        metrics,
        newly_leaving,
        target=target.id,
        service=target.service,
        request=context.incoming.request_id,
        status=status,
    )
