"""Active configuration revision of this router, and its distribution.

The relays of each data centre fetch changes from the keepers by long polling
and broadcast them to their data centre. Every second each router compares
its revision with a relay's (anti-entropy), which repairs lost messages. The
relays report to the keepers which router runs which revision.

A router is ready when the keepers have confirmed that its revision is the
highest. If they cannot be reached, it takes the highest revision of its data
centre. Its own file alone is not enough while it has neighbours: they may have
advanced while it was down.
"""

import asyncio
import random
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import background
from amaranthring.core import config_parts
from amaranthring.core import fleet
from amaranthring.core import hashing
from amaranthring.core import logs
from amaranthring.keepers import commands
from amaranthring.routers import revision_file
from amaranthring.routers import revision_messages

log = logbook.Logger(__name__)

# Must be shorter than KeeperClient's timeout for one attempt.
WATCH_SECONDS = 0.7
PULL_SECONDS = 2.0
COMPARE_SECONDS = 1.0
REPORT_SECONDS = 10.0
RETRY_SECONDS = 0.2
CUT_OFF_SECONDS = 3.0
STALE_SECONDS = 3600.0
RELAYS = 2

RELAY_KEY = "revisions "
KEEPERS = "keepers"
Query = t.Callable[[t.Any, float], t.Awaitable[t.Any]]
Callback = t.Callable[[fleet.FleetConfig], None]


class Revisions:
    """Holds, applies and distributes configuration revisions.

    Parameters
    ----------
    name, data_centre : str
        This router.
    query : callable
        ``KeeperClient.query``.
    mesh : object
        The mesh of routers.
    handlers : links.Handlers
        Message handlers of the mesh.
    metrics : metrics.Metrics
        Metrics of this process.
    neighbours : list of str
        Other routers of this data centre, from the settings.
    path : str
        File that stores the last revision; empty if there is no disk.

    Attributes
    ----------
    current : fleet.FleetConfig
        The active revision of this router.
    ready : bool
        Whether requests may be served under `current`.
    confirmed_at : float
        Monotonic time at which the keepers last confirmed that there is no
        higher revision; only relays ask them.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        query: Query,
        mesh: t.Any,
        handlers: t.Any,
        metrics: t.Any,
        neighbours: list[str],
        path: str = "",
    ):
        self.name = name
        self.data_centre = data_centre
        self.query = query
        self.mesh = mesh
        self.metrics = metrics
        self.neighbours = neighbours
        self.file = revision_file.RevisionFile(path, metrics)
        self.parts = config_parts.Parts()
        self.current = fleet.FleetConfig()
        self.ready = False
        self.confirmed_at = 0.0
        self.callbacks: list[Callback] = []
        self.tasks: list[asyncio.Task] = []
        self.pulls: dict[str, asyncio.Task] = {}
        # Revision and time of the last report of each local router.
        self.revision_by_router: dict[str, tuple[int, float]] = {}
        self.last_report: dict[str, int] = {}
        self.reported_at = 0.0
        self.needs_full_state = False
        handlers.add(config_parts.Delta, self._on_delta)
        handlers.add(commands.ConfigSince, self._on_config_since)
        handlers.add(
            revision_messages.RunningRevision, self._on_running_revision
        )

    def subscribe(self, callback: Callback) -> None:
        """Call `callback` with each new revision once it is active."""
        self.callbacks.append(callback)

    def start(self) -> None:
        """Load the stored revision and start the tasks."""
        loaded = self.file.load()
        if loaded is not None:
            self.parts = loaded
            self._activate(loaded.config())
        for run in (
            self._become_ready,
            self._run_relay,
            self._compare,
            self._report_to_keepers,
        ):
            self.tasks.append(background.keep_running(run.__name__, run))

    async def stop(self) -> None:
        """Stop the tasks and flush the file."""
        for task in [*self.tasks, *self.pulls.values()]:
            task.cancel()
        await self.file.flush()

    @property
    def is_relay(self) -> bool:
        """Return whether this router is a relay of its data centre."""
        return self.name in self.relays()

    def relays(self) -> list[str]:
        """Return the routers of this data centre that ask the keepers.

        There are two, by rendezvous order, so that one remains while a dead
        one is still listed. Lists that differ add a third for a while,
        which is harmless.
        """
        live = self.mesh.live(self.data_centre)
        return hashing.order(RELAY_KEY + self.data_centre, live)[:RELAYS]

    def apply_delta(self, delta: config_parts.Delta, source: str) -> bool:
        """Apply `delta` if it raises the revision; return whether it did."""
        try:
            advanced = self.parts.apply(delta)
        except errors.FrameError as error:
            self.metrics.count("revisions.refused")
            log.warning("revisions.refused source={} fault={}", source, error)
            # The same delta would fail again; request the full state, which
            # does not depend on the local state.
            if source == KEEPERS:
                self.needs_full_state = True
            else:
                self._pull(source, -1)
            return False
        if advanced:
            self.metrics.count("revisions.applied")
            base = fleet.FleetConfig() if delta.whole else self.current
            self._activate(
                config_parts.apply_changes(
                    base, delta.revision, delta.changed, delta.removed
                )
            )
            self.file.save(self.parts)
        return advanced

    def _activate(self, config: fleet.FleetConfig) -> None:
        self.current = config
        self.metrics.gauge("revisions.revision", self.parts.revision)
        logs.event(
            log,
            "revision.in-force",
            revision=self.parts.revision,
            preset=self.current.in_force,
        )
        for callback in self.callbacks:
            callback(self.current)

    # -- updates from the keepers ------------------------------------------

    async def _run_relay(self) -> None:
        """While a relay, fetch keeper changes and broadcast them."""
        while True:
            if not self.is_relay:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            try:
                await self._fetch_from_keepers()
            except errors.AmaranthringError:
                self.metrics.count("revisions.keepers-unreachable")
                await asyncio.sleep(RETRY_SECONDS * random.uniform(0.5, 1.5))

    async def _fetch_from_keepers(self) -> None:
        revision = -1 if self.needs_full_state else self.parts.revision
        ask = commands.ConfigSince(revision, WATCH_SECONDS)
        self.needs_full_state = False
        delta = await self.query(ask, WATCH_SECONDS + PULL_SECONDS)
        if self.apply_delta(delta, KEEPERS):
            self.mesh.broadcast(delta)
        elif delta.revision > self.parts.revision:
            # The delta was refused; back off to spare the leader.
            await asyncio.sleep(RETRY_SECONDS)
        self._confirm_highest(delta.revision)

    def _confirm_highest(self, revision: int) -> None:
        if revision < self.parts.revision:
            # Keepers that lost their state must not roll routers back.
            self.metrics.count("revisions.keepers-behind")
            return
        self.confirmed_at = time.monotonic()
        if not self.ready and revision > 0:
            self._set_ready(KEEPERS)

    async def _report_to_keepers(self) -> None:
        """While a relay, report the routers' revisions to the keepers."""
        while True:
            await asyncio.sleep(COMPARE_SECONDS)
            if not self.is_relay:
                continue
            try:
                await self._report()
            except errors.AmaranthringError:
                self.metrics.count("revisions.report-failed")

    async def _report(self) -> None:
        now = time.monotonic()
        self.revision_by_router[self.name] = (self.parts.revision, now)
        for name in [
            name
            for name, entry in self.revision_by_router.items()
            if _is_stale(entry, now)
        ]:
            del self.revision_by_router[name]
        routers = {
            name: entry[0] for name, entry in self.revision_by_router.items()
        }
        due = now - self.reported_at >= REPORT_SECONDS
        if routers == self.last_report and not due:
            return
        ages = {
            name: round(now - entry[1], 1)
            for name, entry in self.revision_by_router.items()
        }
        message = commands.RouterRevisions(self.data_centre, routers, ages)
        await self.query(message, PULL_SECONDS)
        self.last_report = routers
        self.reported_at = now

    # -- between routers ---------------------------------------------------

    async def _compare(self) -> None:
        """Compare revisions with another router about every second."""
        while True:
            wait = COMPARE_SECONDS * random.uniform(0.8, 1.2)
            await asyncio.sleep(wait)
            for name in self._compare_peers():
                try:
                    await self._compare_with(name)
                except errors.AmaranthringError:
                    self.metrics.count("revisions.compare-failed")

    def _compare_peers(self) -> list[str]:
        """Return the routers to compare revisions with.

        A local relay; if this router is a relay without contact to the
        keepers, also a router of another data centre, which may have newer
        revisions.
        """
        relays = [name for name in self.relays() if name != self.name]
        peers = random.sample(relays, min(1, len(relays)))
        unconfirmed_seconds = time.monotonic() - self.confirmed_at
        if self.is_relay and unconfirmed_seconds > CUT_OFF_SECONDS:
            remote = [
                name
                for name in self.mesh.live()
                if self.mesh.data_centre_of(name) != self.data_centre
            ]
            peers += random.sample(remote, min(1, len(remote)))
        return peers

    async def _compare_with(self, name: str) -> None:
        ours = revision_messages.RunningRevision(
            self.name, self.parts.revision
        )
        theirs = await self.mesh.call(name, ours, PULL_SECONDS)
        if theirs.revision > self.parts.revision:
            self._pull(name, self.parts.revision)

    def _on_running_revision(self, _link, message):
        if message.router in self.neighbours:
            self.revision_by_router[message.router] = (
                message.revision,
                time.monotonic(),
            )
        if message.revision > self.parts.revision:
            self._pull(message.router, self.parts.revision)
        return revision_messages.RunningRevision(
            self.name, self.parts.revision
        )

    def _on_config_since(self, _link, message):
        return self.parts.delta_since(message.revision)

    def _on_delta(self, link, delta):
        source = link.peer.name
        if not delta.whole and delta.since > self.parts.revision:
            # An earlier change was lost.
            self._pull(source, self.parts.revision)
            return
        self.apply_delta(delta, source)

    def _pull(self, name: str, revision: int) -> None:
        if name in self.pulls or name == KEEPERS:
            return
        task = background.start("pull", self._pull_from(name, revision))
        self.pulls[name] = task
        task.add_done_callback(lambda _: self.pulls.pop(name, None))

    async def _pull_from(self, name: str, revision: int) -> None:
        try:
            ask = commands.ConfigSince(revision)
            delta = await self.mesh.call(name, ask, PULL_SECONDS)
        except errors.AmaranthringError:
            self.metrics.count("revisions.pull-failed")
            return
        self.metrics.count("revisions.pulled")
        if self.apply_delta(delta, name) and self.is_relay:
            self.mesh.broadcast(delta)

    # -- readiness -----------------------------------------------------------

    async def _become_ready(self) -> None:
        """Ask keepers and neighbours until this router is ready."""
        started = time.monotonic()
        while not self.ready:
            answers = await asyncio.gather(
                self._ask_keepers(), self._ask_neighbours()
            )
            if self.ready:
                return
            neighbours_answered = answers[1] > 0 or not self.neighbours
            cut_off = time.monotonic() - started >= CUT_OFF_SECONDS
            if cut_off and neighbours_answered and self.parts.revision > 0:
                self._set_ready("neighbours" if self.neighbours else "file")
                return
            await asyncio.sleep(RETRY_SECONDS)

    def _set_ready(self, source: str) -> None:
        self.ready = True
        revision = self.parts.revision
        logs.event(log, "revisions.ready", source=source, revision=revision)

    async def _ask_keepers(self) -> None:
        try:
            ask = commands.ConfigSince(self.parts.revision)
            delta = await self.query(ask, PULL_SECONDS)
        except errors.AmaranthringError:
            return
        self.apply_delta(delta, KEEPERS)
        self._confirm_highest(delta.revision)

    async def _ask_neighbours(self) -> int:
        """Adopt the neighbours' highest revision; count those that answer."""
        live = set(self.mesh.live(self.data_centre))
        asked = [name for name in self.neighbours if name in live]
        calls = [self._ask_one(name) for name in asked]
        return sum(await asyncio.gather(*calls))

    async def _ask_one(self, name: str) -> bool:
        ask = commands.ConfigSince(self.parts.revision)
        try:
            delta = await self.mesh.call(name, ask, PULL_SECONDS)
        except errors.AmaranthringError:
            return False
        self.apply_delta(delta, name)
        return True


def _is_stale(entry: tuple[int, float], now: float) -> bool:
    return now - entry[1] > STALE_SECONDS
