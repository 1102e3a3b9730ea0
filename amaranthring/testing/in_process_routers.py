"""Routers' decision components in one process, over a fake network."""

import collections
import dataclasses

from amaranthring.core import fleet
from amaranthring.core import records
from amaranthring.routers import admission
from amaranthring.routers import directory
from amaranthring.routers import limits
from amaranthring.routers import placement
from amaranthring.routers import regions
from amaranthring.routers import suspicion
from amaranthring.testing import fake_network as fakes


class Clock:
    """A clock that tests set."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        """Return the time."""
        return self.now


@dataclasses.dataclass
class Router:
    """Decision components of one router."""

    name: str
    mesh: fakes.Mesh
    table: fakes.Table
    owners: admission.Controller
    directory: directory.Directory
    placer: placement.Placer
    suspicion: suspicion.CrashTracker
    limits: limits.AccountLimits


class Routers:
    """Routers ``r0``, ``r1``, ... over engines ``e0``, ``e1``, ...

    Parameters
    ----------
    routers, engines : int
        Numbers of each; assigned to `data_centres` in turn.
    """

    def __init__(
        self,
        routers=3,
        engines=5,
        data_centres=("dc1",),
        plain=False,
        **fields,
    ):
        self.clock = Clock()
        self.config = fleet.FleetConfig(
            presets={"ordinary": fleet.Preset("ordinary")}
        )
        centres = data_centres
        self.network = fakes.Network(
            {f"r{i}": centres[i % len(centres)] for i in range(routers)},
            plain,
        )
        self.targets = [
            fakes.target(f"e{i}", centres[i % len(centres)], **fields)
            for i in range(engines)
        ]
        self.configured = routers
        self.quarantined = []
        self.states = {}
        self.routers = [self._router(name) for name in self.network.meshes]
        self.by_name = {router.name: router for router in self.routers}
        self.grants = {}

    def _router(self, name):
        mesh = self.network.meshes[name]
        table = fakes.Table(self.targets)
        owners = admission.Controller(
            name, table, mesh, lambda: self.config, clock=self.clock
        )
        region = regions.Regions("north", mesh, table.all)
        crash_tracker = suspicion.CrashTracker(
            name,
            mesh,
            region,
            self._quarantine,
            lambda: self.config,
            clock=self.clock,
            get_target=table.get,
        )
        crash_tracker.confirm_seconds = 0.0
        chat_directory = directory.Directory(
            name, mesh, region.own, crash_tracker, clock=self.clock
        )
        account_limits = limits.AccountLimits(
            name,
            mesh,
            lambda: self.config,
            lambda: self.configured,
            clock=self.clock,
        )
        placer = placement.Placer(
            name,
            mesh.data_centre_of(name),
            "north",
            table,
            mesh,
            chat_directory,
            crash_tracker,
            lambda: self.config,
            clock=self.clock,
        )
        for component in (
            owners,
            chat_directory,
            placer,
            crash_tracker,
            account_limits,
        ):
            component.add_handlers(mesh.handlers)
        return Router(
            name,
            mesh,
            table,
            owners,
            chat_directory,
            placer,
            crash_tracker,
            account_limits,
        )

    async def _quarantine(self, fingerprint):
        self.quarantined.append(fingerprint)

    def live(self):
        """Return the running routers, including those that are leaving."""
        return [
            router
            for router in self.routers
            if router.name in self.network.meshes
        ]

    def accepting(self):
        """Return the routers that accept new requests."""
        leaving = self.network.leaving
        return [router for router in self.live() if router.name not in leaving]

    async def admit(self, number, router=None, excluded=(), **fields):
        """Admit request `number` at `router`, or at the next in turn."""
        live = self.accepting()
        admitting_router = (
            self.by_name[router] if router else live[number % len(live)]
        )
        request = fakes.request(number, **fields)
        grant = await admitting_router.placer.admit(request, set(excluded))
        self.grants[grant.grant_id] = (admitting_router, grant)
        admitting_router.directory.flush()
        return grant

    def release(self, grant, end=records.AttemptEnd.DONE):
        """Release `grant`."""
        admitting_router, _ = self.grants.pop(grant.grant_id)
        admitting_router.placer.release(grant, end)

    def in_flight(self):
        """Return the actual number of requests in flight by target."""
        return collections.Counter(
            grant.target.name for _, grant in self.grants.values()
        )

    def counted_in_flight(self):
        """Return the number of requests in flight that owners count."""
        return sum(
            len(cell.counts.held)
            for router in self.live()
            for cell in router.owners.cells.values()
        )

    def owner(self):
        """Return the router that owns the only cell."""
        return next(
            router for router in self.accepting() if router.owners.cells
        )

    def state_of(self, name):
        """Return the state of target `name` as last set."""
        return self.states.get(name, records.TargetState.READY)

    def stop(self, name):
        """Kill router `name`; return the grants that it held."""
        lost = [
            grant
            for router, grant in self.grants.values()
            if router.name == name
        ]
        for grant in lost:
            del self.grants[grant.grant_id]
        self.network.frozen.discard(name)
        self.network.stop(name)
        return lost

    def leave(self, name):
        """Let router `name` hand over its state and leave."""
        self.by_name[name].owners.hand_over()
        self.by_name[name].directory.hand_over()
        self.network.leave(name)

    def set_state(self, name, state):
        """Change the state of a target at every router."""
        self.states[name] = state
        for router in self.live():
            router.table.set_state(name, state)

    def add(self, target):
        """Add `target` at every router."""
        self.targets.append(target)
        for router in self.live():
            router.table.put(target)

    def renew_leases(self):
        """Let routers report the grants that they hold to the owners."""
        for router in self.live():
            if router.name not in self.network.frozen:
                router.placer.held.renew()

    def send_digests(self):
        """Let owners send load digests to their siblings."""
        for router in self.live():
            router.owners.tell_siblings(self.clock())

    def advance(self, seconds):
        """Advance the clock and run the timers of the owners."""
        self.clock.now += seconds
        for router in self.live():
            if router.name not in self.network.frozen:
                router.owners.tick(self.clock())
