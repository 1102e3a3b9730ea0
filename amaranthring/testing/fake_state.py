"""Fakes for the state of the fleet: a group of one, a mesh in one process."""

import asyncio
import itertools
import time
import types
import typing as t

from amaranthring import errors
from amaranthring.core import fleet
from amaranthring.core import links
from amaranthring.core import metrics
from amaranthring.core import wire
from amaranthring.keepers import commands
from amaranthring.keepers import queries
from amaranthring.keepers import state_machine as machines
from amaranthring.routers import revisions


def round_trip(message: t.Any) -> t.Any:
    """Return `message` as it comes out of a stream."""
    if message is None:
        return None
    return wire.decode_message(*wire.encode_message(message))


class FakeGroup:
    """Keepers in one process: every proposal is committed at once.

    Attributes
    ----------
    cut : bool
        While true, nothing is accepted and no query answered.
    lose_answers : int
        So many answers to proposals are lost after the command took hold.
    """

    def __init__(self, machine: machines.StateMachine | None = None):
        self.machine = machine or machines.StateMachine()
        self.queries = queries.Queries(self.machine)
        self.cut = False
        self.lost_replies = 0
        self.skew = 0.0
        self.index = itertools.count(1)

    async def propose(self, command: t.Any, _timeout: float = 1.0) -> t.Any:
        """Apply `command` as a committed entry of the log."""
        self._reachable()
        result = self.apply(command)
        if self.lost_replies:
            self.lost_replies -= 1
            raise errors.LinkTimeoutError("the answer was lost")
        return round_trip(result)

    def apply(self, command: t.Any) -> t.Any:
        """Apply `command` at the wall time now, moved by `skew`."""
        stamp = time.time() + self.skew
        return self.machine.apply(next(self.index), stamp, round_trip(command))

    async def query(self, message: t.Any, _timeout: float = 1.0) -> t.Any:
        """Answer a query."""
        self._reachable()
        answer = await self.queries.answer(round_trip(message))
        self._reachable()
        return round_trip(answer)

    def restart(self) -> None:
        """Go on from a snapshot, in another machine."""
        data = self.machine.snapshot()
        self.machine = machines.StateMachine()
        self.machine.restore(data)
        self.queries = queries.Queries(self.machine)

    def _reachable(self) -> None:
        if self.cut:
            raise errors.NoQuorumError("no keepers", retry_after=1.0)


class FakeMesh:
    """The mesh as one router sees it; all share `routers`.

    Parameters
    ----------
    routers : dict
        Name to the mesh of each live router.
    allowed : callable
        Of two names; false while the link between them is cut.
    """

    def __init__(self, name, data_centre, routers, allowed=None):
        self.name = name
        self.data_centre = data_centre
        self.routers = routers
        self.allowed = allowed or (lambda _one, _other: True)
        self.handlers = links.Handlers()
        self.drop_next = 0
        self.sent_bytes = 0
        routers[name] = self

    def live(self, data_centre=None) -> list[str]:
        """Return names of the live routers that this one reaches."""
        return sorted(
            name
            for name, mesh in self.routers.items()
            if data_centre in (None, mesh.data_centre)
            and (name == self.name or self.allowed(self.name, name))
        )

    def data_centre_of(self, name) -> str:
        """Return the data centre of router `name`."""
        return self.routers[name].data_centre

    def send(self, name, message) -> bool:
        """Deliver `message` soon, unless it is to be dropped."""
        other = self.routers.get(name)
        if other is None or not self.allowed(self.name, name):
            return False
        self.sent_bytes += len(wire.encode(wire.ONE_WAY, 0, message))
        if self.drop_next:
            self.drop_next -= 1
            return True
        loop = asyncio.get_running_loop()
        loop.call_soon(other.handle, self.name, round_trip(message))
        return True

    def broadcast(self, message) -> None:
        """Send `message` to the other routers of this data centre."""
        for name in self.live(self.data_centre):
            if name != self.name:
                self.send(name, message)

    async def call(self, name, message, _timeout):
        """Call router `name`."""
        await asyncio.sleep(0)
        other = self.routers.get(name)
        if other is None or not self.allowed(self.name, name):
            raise errors.LinkClosedError(f"no link to {name}")
        self.sent_bytes += len(wire.encode(wire.REQUEST, 1, message))
        return round_trip(other.handle(self.name, round_trip(message)))

    def handle(self, source, message):
        """Hand `message` to this router's handler."""
        link = types.SimpleNamespace(peer=types.SimpleNamespace(name=source))
        return self.handlers.by_class[type(message)](link, message)


def make_revisions(name, data_centre, group, routers, **more):
    """Return the revisions of a router in a fake fleet, and its mesh."""
    neighbours = more.pop("neighbours", [])
    path = more.pop("path", "")
    mesh = FakeMesh(name, data_centre, routers, **more)
    made = revisions.Revisions(
        name,
        data_centre,
        group.query,
        mesh,
        mesh.handlers,
        metrics.Metrics(),
        [other for other in neighbours if other != name],
        path,
    )
    return made, mesh


def bootstrap(accounts: int = 3, policies: bool = False) -> t.Any:
    """Return a first configuration with so many accounts."""
    presets = [fleet.Preset("ordinary"), fleet.Preset("peak", 1.5)]
    named = [
        fleet.Account(f"account-{number}", [f"{number:064x}"])
        for number in range(accounts)
    ]
    if policies:
        for preset in presets:
            for account in named:
                preset.accounts[account.name] = fleet.AccountPolicy(2.0, 20.0)
    return commands.Bootstrap("ordinary", presets, named)


async def wait_until(condition: t.Callable[[], bool], seconds: float = 20.0):
    """Wait until `condition` holds, at most `seconds`."""
    ends = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > ends:
            raise AssertionError("the condition did not come to hold")
        await asyncio.sleep(0.01)
