"""Routers that hold nothing but mesh, spread and table, in one process.

For tests and benchmarks of the membership: the same parts as in a router,
wired the same way, with a :class:`cuts.Cut` before any listener.
"""

import asyncio
import itertools
import time
import typing as t

import tornado.netutil
import tornado.testing

from amaranthring import settings
from amaranthring.core import fleet
from amaranthring.core import links
from amaranthring.core import metrics
from amaranthring.core import records
from amaranthring.routers import mesh
from amaranthring.routers import target_sync
from amaranthring.targets import table
from amaranthring.testing import tcp_relay

KEYS = links.Keys({"a": b"k" * 32})

_incarnations = itertools.count(time.time_ns())


def target(name: str, data_centre: str, **fields: t.Any) -> records.Target:
    """Return an engine for tests whose address is its own."""
    made = {
        "name": name,
        "incarnation": 1,
        "kind": records.TargetKind.ENGINE,
        "address": f"{name}.test:80",
        "data_centre": data_centre,
        "region": "default",
        "serves": ("m",),
    }
    return records.Target(**(made | fields))


class Member:
    """Mesh, spread and table of one router.

    Parameters
    ----------
    name : str
        Name of this router.
    peers : list of settings.PeerAddress
        Every router, this one included.
    socks : list of socket
        Listening sockets of its fleet listener.
    """

    def __init__(self, name, peers, socks, config=fleet.FleetConfig):
        peer = next(one for one in peers if one.name == name)
        self.name = name
        self.metrics = metrics.Metrics()
        self.handlers = links.Handlers()
        identity = links.Identity(
            peer.name, "router", peer.data_centre, next(_incarnations)
        )
        self.mesh = mesh.Mesh(
            identity, peers, KEYS, self.handlers, self.metrics
        )
        self.table = table.TargetTable(peer.data_centre, config, self.metrics)
        self.target_sync = target_sync.TargetSync(
            self.mesh, self.table, self.metrics
        )
        self.server = links.LinkServer(
            identity,
            KEYS,
            self.handlers,
            on_link=self.mesh.accept,
            on_close=self.mesh.remove_link,
        )
        self.server.add_sockets(socks)

    def start(self) -> None:
        """Start every task."""
        self.mesh.start()
        self.table.start()
        self.target_sync.start()

    def stop(self) -> None:
        """End as a killed process does: without a word."""
        self.target_sync.stop()
        self.table.stop()
        self.mesh.stop()
        self.server.close_all()

    def eligible(self) -> list[str]:
        """Return names of engines that this router gives work to."""
        found = self.table.eligible(records.TargetKind.ENGINE, "m")
        return [one.name for one in found]


class Fleet:
    """Several members over loopback, each behind cuts of its own.

    Parameters
    ----------
    places : list of str
        Data centre of each member; members are named ``r0``, ``r1``, ...

    Attributes
    ----------
    near, far : list of Cut
        Before each member's listener, for the routers of its own data
        centre and for the others. The lower name dials.
    """

    def __init__(self, places: list[str], config=fleet.FleetConfig):
        self.data_centres = places
        self.config = config
        self.local_relays: list[tcp_relay.Relay] = []
        self.remote_relays: list[tcp_relay.Relay] = []
        self.members: list[Member] = []
        self.renewals: dict[str, asyncio.Task] = {}

    def peers_of(self, place: str) -> list[settings.PeerAddress]:
        """Return every router as those of data centre `place` see it."""
        made = []
        for number, there in enumerate(self.data_centres):
            cut = (
                self.local_relays if there == place else self.remote_relays
            )[number]
            made.append(
                settings.PeerAddress(
                    name=f"r{number}", data_centre=there, address=cut.address
                )
            )
        return made

    async def start(self) -> None:
        """Start every member."""
        socks = []
        for _ in self.data_centres:
            sock, port = tornado.testing.bind_unused_port()
            socks.append(sock)
            for side in (self.local_relays, self.remote_relays):
                side.append(tcp_relay.Relay(f"127.0.0.1:{port}"))
                await side[-1].start()
        for number, place in enumerate(self.data_centres):
            peers = self.peers_of(place)
            made = Member(f"r{number}", peers, [socks[number]], self.config)
            self.members.append(made)
        for member in self.members:
            member.start()

    async def stop(self) -> None:
        """End members, cuts and renewals."""
        for task in self.renewals.values():
            task.cancel()
        for member in self.members:
            member.stop()
        for cut in self.local_relays + self.remote_relays:
            await cut.stop()

    def restart(self, number: int) -> Member:
        """End a member and start its successor at the same place."""
        self.members[number].stop()
        host, port = self.local_relays[number].upstream.rsplit(":", 1)
        socks = tornado.netutil.bind_sockets(int(port), host)
        peers = self.peers_of(self.data_centres[number])
        made = Member(f"r{number}", peers, socks, self.config)
        self.members[number] = made
        made.start()
        return made

    def isolate(self, place: str) -> None:
        """Part data centre `place` from all others."""
        for number, there in enumerate(self.data_centres):
            if there == place:
                self.remote_relays[number].block()
        for member, there in zip(self.members, self.data_centres, strict=True):
            # What this place dialled itself lies behind the others' cuts.
            for peer in member.mesh.peers.values():
                crosses = place in (there, peer.data_centre)
                if crosses and peer.data_centre != there:
                    self.remote_relays[int(peer.name[1:])].block()

    def heal(self) -> None:
        """End every cut."""
        for cut in self.local_relays + self.remote_relays:
            cut.heal()

    def renew(self, one: records.Target, numbers: list[int]) -> None:
        """Announce a target and renew it at the first member that lives."""
        self.renewals[one.name] = asyncio.ensure_future(
            self._renew(one, numbers)
        )

    def stop_renewing(self, name: str) -> None:
        """Stop renewing: the target died."""
        self.renewals.pop(name).cancel()

    async def _renew(self, one: records.Target, numbers: list[int]) -> None:
        sequence = 0
        while True:
            sequence += 1
            report = records.LoadReport(
                one.name, one.incarnation, sequence, 1, 0
            )
            at = self.members[numbers[0]].table
            if at.get(one.name) != one:
                at.announce(one)
            at.update_report(report)
            await asyncio.sleep(0.5)


async def wait_until(
    condition: t.Callable[[], bool], seconds: float = 20
) -> float:
    """Wait until `condition()` holds and return how long that took.

    Raises
    ------
    AssertionError
        If it does not hold within `seconds`.
    """
    began = time.monotonic()
    while not condition():
        if time.monotonic() - began > seconds:
            raise AssertionError(f"not within {seconds} s")
        await asyncio.sleep(0.01)
    return time.monotonic() - began
