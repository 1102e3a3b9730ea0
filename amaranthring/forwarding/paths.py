"""Which services this router reaches, from the requests that it sends."""

import typing as t

import logbook

from amaranthring.core import logs
from amaranthring.policy import reach
from amaranthring.registry import messages

log = logbook.Logger(__name__)


class Paths:
    """The paths from this router to the targets of each service.

    Parameters
    ----------
    announced : callable
        Returns the targets of a service that announce themselves.

    Attributes
    ----------
    unreached_services : set of str
        Services of which this router reached no target when it last tried.
    """

    def __init__(
        self,
        announced: t.Callable[[str], list[messages.TargetRecord]],
        clock: t.Callable[[], float],
    ):
        self.announced = announced
        self.reach = reach.Reach(clock)
        self.unreached_services: set[str] = set()

    def record_failure(
        self, target: messages.TargetRecord, is_timeout: bool
    ) -> None:
        """Record a failure that a lost path to `target` may have caused."""
        if is_timeout:
            self.reach.record_timeout(target.service, target.id)
        else:
            self.reach.record_failure(target.service, target.id)
        self._log_change(target.service)

    def record_answer(self, target: messages.TargetRecord) -> None:
        """Record that `target` sent data."""
        self.reach.record_answer(target.service)
        if target.service in self.unreached_services:
            self._log_change(target.service)

    def is_unreached(self, service: str) -> bool:
        """Return whether this router reaches no target of the service."""
        if service not in self.reach.failed:
            return False
        announced = [record.id for record in self.announced(service)]
        return self.reach.is_unreached(service, announced)

    def is_lost(self, service: str) -> bool:
        """Return whether every target announces itself and none is reached.

        The only target of a service may as well have ended.
        """
        announced = {record.id for record in self.announced(service)}
        failed = self.reach.failed.get(service, set())
        return len(announced) > 1 and announced <= failed

    def update(self) -> None:
        """Follow changes of the targets that announce themselves."""
        for service in list(self.unreached_services):
            self._log_change(service)

    def _log_change(self, service: str) -> None:
        is_unreached = self.is_unreached(service)
        if is_unreached == (service in self.unreached_services):
            return
        if is_unreached:
            self.unreached_services.add(service)
        else:
            self.unreached_services.discard(service)
        logs.event(
            log,
            "service.unreached" if is_unreached else "service.reached",
            service=service,
            failed=len(self.reach.failed.get(service, ())),
            targets=len(self.announced(service)),
        )
