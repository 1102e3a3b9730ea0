"""Whether a request may be sent to a target once more."""

import collections
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.forwarding import records
from amaranthring.policy import budgets as budgets_module

__all__ = ["Retries", "attempts_left"]

log = logbook.Logger(__name__)


def attempts_left(context: records.RequestContext) -> int:
    """Return to how many more targets a request may be sent.

    An attempt that has not ended is not counted yet.
    """
    return context.route.attempts_most - context.attempts_sent


class Retries:
    """Retry budgets of all services, and this router's share of them.

    Parameters
    ----------
    budget : callable
        Returns a new WindowBudget; called once per service.
    share : callable
        Returns this router's budgets.Share of the retry allowances.
    """

    def __init__(
        self,
        budget: t.Callable[[], budgets_module.WindowBudget],
        share: t.Callable[[], budgets_module.Share],
    ):
        self.share = share
        self.budgets: dict[str, budgets_module.WindowBudget] = (
            collections.defaultdict(budget)
        )

    def count_request(self, service: str) -> None:
        """Count a caller's request for the service."""
        self.budgets[service].count_request()

    def left(self, service: str) -> float:
        """Return how many retries the budget of a service leaves."""
        return self.budgets[service].left(self.share().fraction)

    def lacking(self, context: records.RequestContext) -> str:
        """Return why no retry of the request is left, or nothing."""
        if self.left(context.service) >= 1:
            return ""
        return f"retries-{self.share().reason or 'spent'}"

    def take(self, context: records.RequestContext) -> bool:
        """Take a retry of the request; return whether one was left."""
        budget = self.budgets[context.service]
        share = self.share()
        allowed = budget.take(share.fraction)
        logs.event(
            log,
            "retry.decided",
            id=context.incoming.request_id,
            service=context.service,
            allowed=allowed,
            routers=share.routers,
            without_share=share.reason,
            requests=len(budget.requests),
            retries=len(budget.retries),
            left=round(budget.left(share.fraction), 2),
        )
        return allowed

    def give_back(self, context: records.RequestContext) -> None:
        """Give back a retry that was taken and not sent."""
        self.budgets[context.service].give_back()
        logs.event(
            log,
            "retry.given-back",
            id=context.incoming.request_id,
            service=context.service,
        )

    def may_follow(
        self, context: records.RequestContext, error: errors.UpstreamError
    ) -> bool:
        """Take what another attempt needs after `error`, if it is there."""
        if isinstance(error, errors.TargetFailedError):
            return attempts_left(context) >= 1 and self.take(context)
        if error.outcome == errors.Outcome.NOT_RUN:
            refused = isinstance(error, errors.TargetRefusedError)
            return not refused or self.take(context)
        if not context.route.idempotent or attempts_left(context) < 1:
            return False
        return self.take(context)
