"""The keeper's side of what streams are bound to.

Routers report the streams that they pass on; keepers tell each other. A router
that does not know a stream asks all keepers.
"""

import collections
import typing as t

from amaranthring.core import links
from amaranthring.policy import bindings
from amaranthring.policy import route_history
from amaranthring.registry import messages
from amaranthring.registry import stream_messages
from amaranthring.registry import targets

__all__ = ["StreamLedger"]

# Streams of all routers in one generation of bindings.
MAX_STREAMS = 120_000
# Told to the other keepers at once.
MAX_TOLD = 20_000


class StreamLedger:
    """Bindings that routers and other keepers have told of.

    Parameters
    ----------
    handlers : links.Handlers
        Of the keeper's listener.
    table : targets.TargetTable
        Targets, with those that have left of late.
    settle_seconds : float
        Within this time after the start all targets announce themselves.
    clock : callable
        Seconds; continues while the VM is suspended.

    Attributes
    ----------
    routes : route_history.RouteHistory
        Routes that led to other services of late, as routers have told.
    hears_all_keepers : callable
        Returns whether no other keeper is silent.
    is_restored : bool
        Whether this keeper knows the targets of before its start.
    on_new_release : list of callable
        Called when a target announces a version that is new in its service.
    """

    def __init__(
        self,
        handlers: links.Handlers,
        table: targets.TargetTable,
        settle_seconds: float,
        clock: t.Callable[[], float],
    ):
        self.table = table
        self.clock = clock
        self.settled_at = clock() + settle_seconds
        self.bindings = bindings.BindingTable(clock, MAX_STREAMS)
        self.untold: collections.deque[tuple[bytes, bindings.Binding]] = (
            collections.deque(maxlen=MAX_TOLD)
        )
        self.routes = route_history.RouteHistory(clock)
        self.hears_all_keepers: t.Callable[[], bool] = lambda: False
        self.is_restored = False
        self.on_new_release: list[t.Callable[[], None]] = []
        handlers.add(stream_messages.FindStream, self._on_find)
        handlers.add(stream_messages.StreamsBound, self._on_bound)

    def add(self, groups: list[stream_messages.BoundStreams]) -> None:
        """Record the streams of a router's report."""
        for key, binding in stream_messages.unpack(groups):
            self.bindings.record(key, binding)
            self.untold.append((key, binding))

    def _on_bound(
        self, _link: links.Link, message: stream_messages.StreamsBound
    ) -> None:
        self.add(message.streams)

    def merge(self, groups: list[stream_messages.BoundStreams]) -> None:
        """Record the streams that another keeper tells of."""
        for key, binding in stream_messages.unpack(groups):
            self.bindings.record(key, binding)

    def take_untold(self) -> list[stream_messages.BoundStreams]:
        """Return the streams that the other keepers are to be told of."""
        by_binding = collections.defaultdict(list)
        for key, binding in self.untold:
            by_binding[binding].append(key)
        self.untold.clear()
        return stream_messages.pack(by_binding)

    def will_announce(self, record: messages.TargetRecord) -> None:
        """Note a target whose record is about to be merged."""
        if record.id in self.table.entries:
            return
        if record.release not in self._releases(record.service):
            for callback in self.on_new_release:
                callback()

    def _releases(self, service: str) -> set[str]:
        entries = self.table.entries.values()
        return {
            entry.record.release
            for entry in entries
            if entry.record.service == service
        }

    def _on_find(
        self, _link: links.Link, message: stream_messages.FindStream
    ) -> stream_messages.StreamFound:
        found = self.bindings.find(message.key)
        if found is not None:
            binding = found.binding
            return stream_messages.StreamFound(
                True, binding.service, binding.release, found.age
            )
        is_settled = self.is_restored or self.clock() >= self.settled_at
        return stream_messages.StreamFound(
            False,
            releases=sorted(self._releases(message.service)),
            complete=is_settled and self.hears_all_keepers(),
            moved=self.routes.has_moved(message.route),
        )
