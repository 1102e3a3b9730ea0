"""Several routers' decision parts in one process, joined by fakes."""

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
    """A clock that tests move."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        """Return the time."""
        return self.now


@dataclasses.dataclass
class Router:
    """Decision parts of one router."""

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
        How many; spread over `data_centres` in turn.
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
        near = regions.Regions("north", mesh, table.all)
        held = suspicion.CrashTracker(
            name,
            mesh,
            near,
            self._quarantine,
            lambda: self.config,
            clock=self.clock,
        )
        held.confirm_seconds = 0.0
        places = directory.Directory(
            name, mesh, near.own, held, clock=self.clock
        )
        rates = limits.AccountLimits(
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
            places,
            held,
            lambda: self.config,
            clock=self.clock,
        )
        for part in (owners, places, placer, held, rates):
            part.add_handlers(mesh.handlers)
        return Router(name, mesh, table, owners, places, placer, held, rates)

    async def _quarantine(self, fingerprint):
        self.quarantined.append(fingerprint)

    def live(self):
        """Return the routers that run, those that leave included."""
        return [
            each for each in self.routers if each.name in self.network.meshes
        ]

    def accepting(self):
        """Return the routers that take new requests."""
        leaving = self.network.leaving
        return [each for each in self.live() if each.name not in leaving]

    async def admit(self, number, router=None, excluded=(), **fields):
        """Admit request `number` at the router in turn, or at `router`."""
        live = self.accepting()
        at = self.by_name[router] if router else live[number % len(live)]
        request = fakes.request(number, **fields)
        grant = await at.placer.admit(request, set(excluded))
        self.grants[grant.grant_id] = (at, grant)
        at.directory.flush()
        return grant

    def release(self, grant, end=records.AttemptEnd.DONE):
        """End `grant`."""
        at, _ = self.grants.pop(grant.grant_id)
        at.placer.release(grant, end)

    def in_flight(self):
        """Return requests in flight by target, as they really are."""
        return collections.Counter(
            grant.target.name for _, grant in self.grants.values()
        )

    def counted_in_flight(self):
        """Return requests in flight as all owners count them."""
        return sum(
            len(cell.counts.held)
            for router in self.live()
            for cell in router.owners.cells.values()
        )

    def owner(self):
        """Return the router that owns the only cell."""
        return next(each for each in self.accepting() if each.owners.cells)

    def state_of(self, name):
        """Return the state that the target is in, whoever knows it."""
        return self.states.get(name, records.TargetState.READY)

    def stop(self, name):
        """Kill router `name`; return the grants that it ran."""
        lost = [grant for at, grant in self.grants.values() if at.name == name]
        for grant in lost:
            del self.grants[grant.grant_id]
        self.network.frozen.discard(name)
        self.network.stop(name)
        return lost

    def leave(self, name):
        """Let router `name` hand over and leave."""
        self.by_name[name].owners.hand_over()
        self.by_name[name].directory.hand_over()
        self.network.leave(name)

    def set_state(self, name, state):
        """Change the state of a target at every router."""
        self.states[name] = state
        for router in self.live():
            router.table.set_state(name, state)

    def add(self, target):
        """Let `target` join at every router."""
        self.targets.append(target)
        for router in self.live():
            router.table.put(target)

    def renew_leases(self):
        """Let routers tell owners what they hold."""
        for router in self.live():
            if router.name not in self.network.frozen:
                router.placer.held.renew()

    def send_digests(self):
        """Let owners tell their siblings how they are loaded."""
        for router in self.live():
            router.owners.tell_siblings(self.clock())

    def advance(self, seconds):
        """Move the clock and do what time brings."""
        self.clock.now += seconds
        for router in self.live():
            if router.name not in self.network.frozen:
                router.owners.tick(self.clock())
