"""The keeper's side of what streams are bound to.

Routers report the streams that they pass on; keepers tell each other. A router
that does not know a stream asks all keepers.
"""

import collections
import typing as t

import logbook

from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.policy import bindings
from amaranthring.policy import release_history
from amaranthring.policy import route_history
from amaranthring.registry import messages
from amaranthring.registry import plan_moves
from amaranthring.registry import stream_messages
from amaranthring.registry import targets

__all__ = ["StreamLedger"]

log = logbook.Logger(__name__)

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
        Routes that led to other services of late, as routers have told, or
        by the plans of this keeper.
    plan_moves : plan_moves.PlanMoves
        Plans that were not compared yet.
    releases : release_history.ReleaseHistory
        Releases that have served of late.
    hears_all_keepers : callable
        Returns whether no other keeper is silent, and each has told its
        history.
    keeper_names : callable
        Returns the names of all keepers, with this one.
    knows_history : bool
        Whether `releases` and `routes` reach back to before the start of
        this process, or nothing served then.
    on_history : list of callable
        Called when a release or the move of a route is new.
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
        self.started_at = clock()
        self.settled_at = self.started_at + settle_seconds
        self.bindings = bindings.BindingTable(clock, MAX_STREAMS)
        self.untold: collections.deque[tuple[bytes, bindings.Binding]] = (
            collections.deque(maxlen=MAX_TOLD)
        )
        self.routes = route_history.RouteHistory(clock)
        self.plan_moves = plan_moves.PlanMoves(clock)
        self.releases = release_history.ReleaseHistory(clock)
        self.hears_all_keepers: t.Callable[[], bool] = lambda: False
        self.keeper_names: t.Callable[[], list[str]] = list
        self.knows_history = False
        self.on_history: list[t.Callable[[], None]] = []
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
        self.add_moved(message.moved)

    def add_moved(self, ages: dict[str, float]) -> None:
        """Record routes that have been moved."""
        is_new = any(not self.routes.has_moved(key) for key in ages)
        self.routes.merge(ages)
        if is_new:
            self._tell_history()

    def _tell_history(self) -> None:
        for callback in self.on_history:
            callback()

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
        if not record.service:
            # It left before any keeper knew it.
            return
        if self.releases.record(record.service, record.release):
            logs.event(
                log,
                "release.new",
                service=record.service,
                release=record.release,
                target=record.id,
            )
            self._tell_history()

    def refresh_releases(self) -> None:
        """Record that the releases of all targets that are left serve."""
        serving = {
            (entry.record.service, entry.record.release)
            for entry in self.table.entries.values()
            if not entry.gone_at
        }
        for service, release in serving:
            self.releases.record(service, release)

    def history(self) -> stream_messages.History:
        """Return what the other keepers may not know."""
        self.refresh_releases()
        return stream_messages.History(
            self.releases.ages(), self.routes.ages(), self.knows_history
        )

    def merge_history(
        self, keeper: str, history: stream_messages.History
    ) -> None:
        """Record what another keeper knows."""
        self.releases.merge(history.releases)
        self.routes.merge(history.moved)
        if history.is_known:
            self.learn_history(keeper)

    def _releases(self, service: str) -> set[str]:
        serving = {
            entry.record.release
            for entry in self.table.entries.values()
            if entry.record.service == service
        }
        return serving | self.releases.releases(service)

    def learn_history(self, source: str) -> None:
        """Note that what was before the start of this process is known."""
        if not self.knows_history:
            self.knows_history = True
            logs.event(log, "history.known", source=source)

    def _settles_in(self) -> float:
        """Return the seconds until this keeper's answers may be complete."""
        if not self.knows_history:
            return 0.0
        return max(0.0, self.settled_at - self.clock())

    def _is_complete(self) -> bool:
        """Return whether no release can have served that is not known."""
        now = self.clock()
        if now - self.started_at >= bindings.HISTORY_SECONDS:
            self.learn_history("uptime")
        return (
            self.knows_history
            and not self._settles_in()
            and not self.plan_moves.is_behind()
            and self.hears_all_keepers()
        )

    def _on_find(
        self, _link: links.Link, message: stream_messages.FindStream
    ) -> stream_messages.StreamFound:
        found = self.bindings.find(message.key)
        if found is not None:
            binding = found.binding
            return stream_messages.StreamFound(
                True, binding.service, binding.release, found.age
            )
        self.add_moved(self.plan_moves.take())
        return stream_messages.StreamFound(
            False,
            releases=sorted(self._releases(message.service)),
            complete=self._is_complete(),
            moved=self.routes.has_moved(message.route),
            settles_in=self._settles_in(),
            keepers=self.keeper_names(),
        )
