"""The revision in force on this router, and its spread over the fleet.

The keepers hand changes to the few relays of each data centre, which hold a
query open; a relay sends them on to its data centre at once. Once a second
each router compares its number with a relay's (anti-entropy), so that a lost
message costs a second; the relays tell the keepers who runs what.

A router is ready when the keepers told it the highest revision. When they
cannot be reached, it takes the highest that it and the other routers of its
data centre hold, but not its own file alone while it has such neighbours:
they may have moved on while it was down.
"""

import asyncio
import random
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import fleet
from amaranthring.core import hashing
from amaranthring.core import logs
from amaranthring.core import parts
from amaranthring.keepers import commands
from amaranthring.routers import revision_file
from amaranthring.routers import revision_messages

log = logbook.Logger(__name__)

# Below the time that KeeperClient gives one keeper for one try.
WATCH_SECONDS = 0.7
PULL_SECONDS = 2.0
COMPARE_SECONDS = 1.0
REPORT_SECONDS = 10.0
RETRY_SECONDS = 0.2
CUT_OFF_SECONDS = 3.0
FORGET_SECONDS = 3600.0
RELAYS = 2

RELAY_KEY = "revisions "
KEEPERS = "keepers"
Query = t.Callable[[t.Any, float], t.Awaitable[t.Any]]
Callback = t.Callable[[fleet.FleetConfig], None]


class Revisions:
    """Holds, applies and spreads revisions.

    Parameters
    ----------
    name, data_centre : str
        This router.
    query : callable
        ``KeeperClient.query``.
    mesh : object
        The mesh of routers.
    handlers : links.Handlers
        Where incoming messages of the mesh are routed.
    metrics : metrics.Metrics
        Counters.
    neighbours : list of str
        Other routers of this data centre, from the settings.
    path : str
        File that keeps the last revision; empty where there is no disk.

    Attributes
    ----------
    current : fleet.FleetConfig
        The revision in force here.
    ready : bool
        Whether `current` may be served under.
    confirmed_at : float
        Monotonic time at which the keepers last said that no higher
        revision was accepted; only relays ask them.
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
        self.parts = parts.Parts()
        self.current = fleet.FleetConfig()
        self.ready = False
        self.confirmed_at = 0.0
        self.callbacks: list[Callback] = []
        self.tasks: list[asyncio.Task] = []
        self.pulls: dict[str, asyncio.Task] = {}
        # What the routers of this data centre told this one, as a relay.
        self.heard: dict[str, tuple[int, float]] = {}
        self.reported: dict[str, int] = {}
        self.reported_at = 0.0
        self.whole_wanted = False
        handlers.add(parts.Delta, self._on_delta)
        handlers.add(commands.ConfigSince, self._on_config_since)
        handlers.add(revision_messages.RunningRevision, self._on_number)

    def subscribe(self, callback: Callback) -> None:
        """Call `callback` with each new revision, after it took hold."""
        self.callbacks.append(callback)

    def start(self) -> None:
        """Read the file and start the tasks."""
        loaded = self.file.load()
        if loaded is not None:
            self.parts = loaded
            self._take_hold(loaded.config())
        for run in (
            self._become_ready,
            self._watch,
            self._compare,
            self._tell_keepers,
        ):
            self.tasks.append(asyncio.ensure_future(run()))

    async def stop(self) -> None:
        """End the tasks and write what is not on disk yet."""
        for task in [*self.tasks, *self.pulls.values()]:
            task.cancel()
        await self.file.flush()

    @property
    def is_relay(self) -> bool:
        """Return whether this router is a relay of its data centre."""
        return self.name in self.relays()

    def relays(self) -> list[str]:
        """Return the routers of this data centre that ask the keepers.

        Two by rendezvous among the live ones: while one that died is still
        listed, the other goes on. Lists that differ make a third relay for
        a while, which does no harm.
        """
        live = self.mesh.live(self.data_centre)
        return hashing.order(RELAY_KEY + self.data_centre, live)[:RELAYS]

    def apply_delta(self, delta: parts.Delta, source: str) -> bool:
        """Apply `delta` if it leads upward; return whether it did."""
        try:
            moved = self.parts.apply(delta)
        except errors.FrameError as error:
            self.metrics.count("revisions.refused")
            log.warning("revisions.refused source={} fault={}", source, error)
            # Asking for the same delta again would fail again; the whole
            # map does not depend on what is held here.
            if source == KEEPERS:
                self.whole_wanted = True
            else:
                self._pull(source, -1)
            return False
        if moved:
            self.metrics.count("revisions.applied")
            base = fleet.FleetConfig() if delta.whole else self.current
            self._take_hold(
                parts.advance(
                    base, delta.revision, delta.changed, delta.removed
                )
            )
            self.file.save(self.parts)
        return moved

    def _take_hold(self, config: fleet.FleetConfig) -> None:
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

    # -- from the keepers --------------------------------------------------

    async def _watch(self) -> None:
        """As a relay, follow the keepers and send changes on."""
        while True:
            if not self.is_relay:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            try:
                await self._follow()
            except errors.AmaranthringError:
                self.metrics.count("revisions.keepers-unreachable")
                await asyncio.sleep(RETRY_SECONDS * random.uniform(0.5, 1.5))

    async def _follow(self) -> None:
        revision = -1 if self.whole_wanted else self.parts.revision
        ask = commands.ConfigSince(revision, WATCH_SECONDS)
        self.whole_wanted = False
        delta = await self.query(ask, WATCH_SECONDS + PULL_SECONDS)
        if self.apply_delta(delta, KEEPERS):
            self.mesh.broadcast(delta)
        elif delta.revision > self.parts.revision:
            # Refused; asking on and on would load the leader.
            await asyncio.sleep(RETRY_SECONDS)
        self._confirm_highest(delta.revision)

    def _confirm_highest(self, revision: int) -> None:
        if revision < self.parts.revision:
            # Keepers that lost their state must not pull routers back.
            self.metrics.count("revisions.keepers-behind")
            return
        self.confirmed_at = time.monotonic()
        if not self.ready and revision > 0:
            self._set_ready(KEEPERS)

    async def _tell_keepers(self) -> None:
        """As a relay, tell the keepers who here runs which revision."""
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
        self.heard[self.name] = (self.parts.revision, now)
        for name in [n for n, h in self.heard.items() if _old(h, now)]:
            del self.heard[name]
        routers = {name: heard[0] for name, heard in self.heard.items()}
        due = now - self.reported_at >= REPORT_SECONDS
        if routers == self.reported and not due:
            return
        ages = {n: round(now - h[1], 1) for n, h in self.heard.items()}
        message = commands.RouterRevisions(self.data_centre, routers, ages)
        await self.query(message, PULL_SECONDS)
        self.reported = routers
        self.reported_at = now

    # -- between routers ---------------------------------------------------

    async def _compare(self) -> None:
        """Compare numbers with another router, once a second."""
        while True:
            wait = COMPARE_SECONDS * random.uniform(0.8, 1.2)
            await asyncio.sleep(wait)
            for name in self._compared():
                try:
                    await self._compare_with(name)
                except errors.AmaranthringError:
                    self.metrics.count("revisions.compare-failed")

    def _compared(self) -> list[str]:
        """Return whom to compare with: a relay, and one abroad if cut off.

        A data centre that lost the keepers still hears of changes from any
        other that it reaches; one that did not lose them need not ask.
        """
        relays = [name for name in self.relays() if name != self.name]
        found = random.sample(relays, min(1, len(relays)))
        silent = time.monotonic() - self.confirmed_at
        if self.is_relay and silent > CUT_OFF_SECONDS:
            abroad = [
                name
                for name in self.mesh.live()
                if self.mesh.data_centre_of(name) != self.data_centre
            ]
            found += random.sample(abroad, min(1, len(abroad)))
        return found

    async def _compare_with(self, name: str) -> None:
        ours = revision_messages.RunningRevision(
            self.name, self.parts.revision
        )
        theirs = await self.mesh.call(name, ours, PULL_SECONDS)
        if theirs.revision > self.parts.revision:
            self._pull(name, self.parts.revision)

    def _on_number(self, _link, message):
        if message.router in self.neighbours:
            self.heard[message.router] = (message.revision, time.monotonic())
        if message.revision > self.parts.revision:
            self._pull(message.router, self.parts.revision)
        return revision_messages.RunningRevision(
            self.name, self.parts.revision
        )

    def _on_config_since(self, _link, message):
        return self.parts.since(message.revision)

    def _on_delta(self, link, delta):
        source = link.peer.name
        if not delta.whole and delta.since > self.parts.revision:
            # A change before this one was lost on its way.
            self._pull(source, self.parts.revision)
            return
        self.apply_delta(delta, source)

    def _pull(self, name: str, revision: int) -> None:
        if name in self.pulls or name == KEEPERS:
            return
        task = asyncio.ensure_future(self._pull_from(name, revision))
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
        """Ask keepers and neighbours until one rule makes this one ready."""
        began = time.monotonic()
        while not self.ready:
            answers = await asyncio.gather(
                self._ask_keepers(), self._ask_neighbours()
            )
            if self.ready:
                return
            told = answers[1] > 0 or not self.neighbours
            cut_off = time.monotonic() - began >= CUT_OFF_SECONDS
            if cut_off and told and self.parts.revision > 0:
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
        """Take the highest of the neighbours; return how many answered."""
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


def _old(heard: tuple[int, float], now: float) -> bool:
    return now - heard[1] > FORGET_SECONDS
