"""Which targets may take a request.

All who place requests, wait, time out, hand over or tell callers when to come
back ask here, so that none of them counts on a target that another one leaves
out.
"""

import dataclasses

from amaranthring.forwarding import records
from amaranthring.policy import bindings
from amaranthring.registry import messages
from amaranthring.registry import targets as tables

__all__ = ["Eligibility"]


@dataclasses.dataclass
class Eligibility:
    """Targets by what a request requires of them.

    Parameters
    ----------
    table : registry.targets.TargetTable
        Targets as known to the keepers.
    """

    table: tables.TargetTable

    def ready(self, service: str) -> list[messages.TargetRecord]:
        """Return the targets of the service that take requests."""
        return [
            record
            for record in self.table.active()
            if record.service == service
            and record.state == messages.State.READY
            and not self.table.is_replaced(record.id)
        ]

    def of_request(
        self, context: records.RequestContext
    ) -> list[messages.TargetRecord]:
        """Return the targets that may take a request."""
        return self._allowed(context, context.binding)

    def left_out(
        self, context: records.RequestContext
    ) -> list[messages.TargetRecord]:
        """Return the ready targets that the request's stream rules out."""
        if context.binding is None:
            return []
        ready = self.ready(context.service)
        return [r for r in ready if not context.binding.fits(r)]

    def after(
        self, context: records.RequestContext, target: messages.TargetRecord
    ) -> list[messages.TargetRecord]:
        """Return the targets that may take a request after `target`."""
        return [
            record
            for record in self.of_request(context)
            if record.id != target.id and record.id not in context.tried
        ]

    def _allowed(
        self,
        context: records.RequestContext,
        binding: bindings.Binding | None,
    ) -> list[messages.TargetRecord]:
        ready = self.ready(context.service)
        if binding is None:
            return ready
        return [record for record in ready if binding.fits(record)]
