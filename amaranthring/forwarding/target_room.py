"""What this router may still send to brittle targets."""

import collections
import typing as t

import logbook

from amaranthring.core import logs
from amaranthring.policy import bindings
from amaranthring.policy import brittleness
from amaranthring.registry import messages

log = logbook.Logger(__name__)


class TargetRoom:
    """Room for requests of this router at brittle targets.

    Parameters
    ----------
    ready : callable
        Returns the targets of a service that are ready.
    count : callable
        Returns the brittleness.Counts of a target.
    clock : callable
        Monotonic seconds.

    Attributes
    ----------
    limits : brittleness.BrittleLimits
        Which services are brittle, and the allowances at their targets.
    on_room : list of callable
        Called with a target and the number of places that have become free.
    awaited : Counter of Binding
        Number of streams that wait for a place where they may go on.
    """

    def __init__(
        self,
        ready: t.Callable[[str], list[messages.TargetRecord]],
        count: t.Callable[[messages.TargetRecord], brittleness.Counts],
        clock: t.Callable[[], float],
    ):
        self.ready = ready
        self.count = count
        self.limits = brittleness.BrittleLimits(clock)
        self.on_room: list[t.Callable[[messages.TargetRecord, int], None]] = []
        self.awaited: collections.Counter[bindings.Binding] = (
            collections.Counter()
        )

    def is_brittle(self, service: str) -> bool:
        """Return whether the targets of the service fall over easily."""
        return self.limits.max_refused(service) is not None

    def has_room(
        self,
        target: messages.TargetRecord,
        binding: bindings.Binding | None = None,
    ) -> bool:
        """Return whether `target` may be sent another request.

        Parameters
        ----------
        binding : Binding, optional
            Of the request's stream. Others leave the places alone for which
            streams wait that may go on nowhere else.
        """
        if not self.is_brittle(target.service):
            return True
        if binding is None and self.awaited[bindings.of_target(target)]:
            return False
        counts = self.count(target)
        return self.limits.has_room(target.service, target.id, counts)

    def allowed_requests(
        self, targets: t.Iterable[messages.TargetRecord]
    ) -> int:
        """Return how many requests this router may have at `targets`."""
        return sum(
            self.limits.allowed.get(target.id, (0, 0.0))[0]
            for target in targets
        )

    def renew(self) -> None:
        """Renew all allowances, as the counts are new."""
        for service in {*self.limits.seen, *self.limits.told}:
            if self.is_brittle(service):
                self._renew_service(service)

    def _renew_service(self, service: str) -> None:
        for target in self.ready(service):
            counts = self.count(target)
            self.limits.update(target.id, counts)
            allowed, _ = self.limits.allowed[target.id]
            self._announce(target, max(0, allowed - counts.own))

    def request_ended(
        self, target: messages.TargetRecord, seconds: float | None
    ) -> None:
        """Record the end of a request.

        Parameters
        ----------
        seconds : float or None
            Time that it took; None if the target did not run it.
        """
        if not self.is_brittle(target.service):
            return
        if seconds is not None:
            self.limits.record_duration(target.service, seconds)
        self._announce(target, 1)

    def _announce(self, target: messages.TargetRecord, places: int) -> None:
        for callback in self.on_room if places else ():
            callback(target, places)

    def record_notice(
        self, target: messages.TargetRecord, max_refused: int, refused: bool
    ) -> None:
        """Record that a target says it is brittle.

        Parameters
        ----------
        refused : bool
            Whether it has turned the request away.
        """
        if refused:
            self.limits.record_refusal(target.id)
        if self.limits.record_seen(target.service, max_refused):
            logs.event(
                log,
                "service.brittle",
                service=target.service,
                target=target.id,
                max_refused=max_refused,
            )

    def fell_over(self, target: messages.TargetRecord) -> bool:
        """Return whether a target that ended has turned requests away."""
        brittle = self.is_brittle(target.service)
        return brittle and self.limits.has_refused(target.id)
