"""Recording of failed attempts against their targets."""

from amaranthring import errors
from amaranthring.forwarding import placement
from amaranthring.forwarding import records
from amaranthring.registry import messages
from amaranthring.targets import pool

# Failures after which a target cannot be reached for other requests either.
UNREACHED = (errors.TargetUnreachableError, errors.TargetUnresponsiveError)
# Failures that a lost network path may cause.
PATH_FAILURES = (
    *UNREACHED,
    errors.TruncatedResponseError,
    errors.UpstreamTimeoutError,
)
# Errors that a partition between two data centres may cause.
SILENT = (*UNREACHED, errors.UpstreamTimeoutError)


def record(
    placer: placement.Placer,
    connections: pool.Pool,
    context: records.RequestContext,
    target: messages.TargetRecord,
    error: errors.UpstreamError,
) -> None:
    """Record a failed attempt against its target."""
    _record_path(placer, target, error)
    if isinstance(error, SILENT):
        context.silent_data_centres.add(target.data_centre)
    if isinstance(error, errors.WrongTargetError):
        placer.record_replaced(target)
    elif isinstance(error, errors.TargetRefusedError):
        # Counts only if another target accepts the request.
        context.refused_by.append(target)
    elif isinstance(error, errors.TargetRestingError):
        # It was not asked.
        return
    elif isinstance(error, UNREACHED):
        # Requests on its pooled connections would fail as well.
        connections.drop(target.id)
        placer.record_failure(target, reached=False)
    elif not isinstance(error, errors.TargetFailedError):
        placer.record_failure(target, reached=True)


def _record_path(
    placer: placement.Placer,
    target: messages.TargetRecord,
    error: errors.UpstreamError,
) -> None:
    """Record what the failure says of the network path to the target."""
    if isinstance(error, PATH_FAILURES):
        is_timeout = isinstance(error, errors.UpstreamTimeoutError)
        placer.paths.record_failure(target, is_timeout)
    elif not isinstance(error, errors.TargetRestingError):
        placer.record_contact(target)


def record_refusals(
    placer: placement.Placer, context: records.RequestContext
) -> None:
    """Record refusals of a request that another target has completed.

    A request that all targets refuse is itself the reason: too large for any
    of them, or with a header that none accepts. If its refusals counted, one
    caller could make a router avoid every target of a service.
    """
    for target in context.refused_by:
        placer.record_failure(target, reached=True)
    context.refused_by.clear()


def request_accepted(
    placer: placement.Placer, context: records.RequestContext
) -> None:
    """Record that a target runs a request for which others asked for rest."""
    if context.asked_for_rest:
        placer.rests.request_accepted(context.caller, context.asked_for_rest)
        context.asked_for_rest.clear()


def request_ended(
    placer: placement.Placer, context: records.RequestContext
) -> None:
    """Record the end of a request, which may still be charged with rests."""
    if context.asked_for_rest:
        placer.rests.request_failed(context.caller)
