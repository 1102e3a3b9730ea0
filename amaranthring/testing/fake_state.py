"""Fakes of the keeper group and the mesh, for tests of fleet state."""

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
    """Return `message` encoded and decoded again."""
    if message is None:
        return None
    return wire.decode_message(*wire.encode_message(message))


class FakeGroup:
    """A keeper group in one process that commits proposals at once.

    Attributes
    ----------
    cut : bool
        While true, proposals and queries fail for lack of a quorum.
    lost_replies : int
        Number of replies to lose after their commands were applied.
    skew : float
        Seconds by which its clock is ahead.
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
        self._check_quorum()
        result = self.apply(command)
        if self.lost_replies:
            self.lost_replies -= 1
            raise errors.LinkTimeoutError("the reply was lost")
        return round_trip(result)

    def apply(self, command: t.Any) -> t.Any:
        """Apply `command` at the current wall time plus `skew`."""
        stamp = time.time() + self.skew
        return self.machine.apply(next(self.index), stamp, round_trip(command))

    async def query(self, message: t.Any, _timeout: float = 1.0) -> t.Any:
        """Answer a query."""
        self._check_quorum()
        answer = await self.queries.answer(round_trip(message))
        self._check_quorum()
        return round_trip(answer)

    def restart(self) -> None:
        """Restore a snapshot into a new state machine."""
        data = self.machine.snapshot()
        self.machine = machines.StateMachine()
        self.machine.restore(data)
        self.queries = queries.Queries(self.machine)

    def _check_quorum(self) -> None:
        if self.cut:
            raise errors.NoQuorumError("no keepers", retry_after=1.0)


class FakeMesh:
    """The mesh of one router; all meshes share `routers`.

    Parameters
    ----------
    routers : dict
        Mesh of each live router, by name.
    allowed : callable
        Returns whether two routers, given by name, are connected.
    """

    def __init__(self, name, data_centre, routers, allowed=None):
        self.name = name
        self.data_centre = data_centre
        self.routers = routers
        self.allowed = allowed or (lambda _sender, _receiver: True)
        self.handlers = links.Handlers()
        self.drop_next = 0
        self.sent_bytes = 0
        routers[name] = self

    def live(self, data_centre=None) -> list[str]:
        """Return names of the live routers that this one can reach."""
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
        """Deliver `message` asynchronously, unless it is dropped."""
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
        """Pass `message` to this router's handler."""
        link = types.SimpleNamespace(peer=types.SimpleNamespace(name=source))
        return self.handlers.by_class[type(message)](link, message)


def make_revisions(name, data_centre, group, routers, **more):
    """Return a router's :class:`revisions.Revisions` and its fake mesh."""
    neighbours = more.pop("neighbours", [])
    path = more.pop("path", "")
    mesh = FakeMesh(name, data_centre, routers, **more)
    router_revisions = revisions.Revisions(
        name,
        data_centre,
        group.query,
        mesh,
        mesh.handlers,
        metrics.Metrics(),
        [other for other in neighbours if other != name],
        path,
    )
    return router_revisions, mesh


def bootstrap(accounts: int = 3, policies: bool = False) -> t.Any:
    """Return a bootstrap command with a number of accounts."""
    presets = [fleet.Preset("ordinary"), fleet.Preset("peak", 1.5)]
    account_list = [
        fleet.Account(f"account-{number}", [f"{number:064x}"])
        for number in range(accounts)
    ]
    if policies:
        for preset in presets:
            for account in account_list:
                preset.accounts[account.name] = fleet.AccountPolicy(2.0, 20.0)
    return commands.Bootstrap("ordinary", presets, account_list)


async def wait_until(condition: t.Callable[[], bool], seconds: float = 20.0):
    """Wait until `condition` holds, at most `seconds`."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError("condition not met in time")
        await asyncio.sleep(0.01)
