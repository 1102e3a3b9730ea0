"""Routers reduced to mesh, target sync and target table, in one process.

For tests and benchmarks of membership: the components of a router, wired the
same way, with a :class:`tcp_relay.Relay` in front of every listener.
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
    """Return the record of an engine with an address of its own."""
    defaults = {
        "name": name,
        "incarnation": 1,
        "kind": records.TargetKind.ENGINE,
        "address": f"{name}.test:80",
        "data_centre": data_centre,
        "region": "default",
        "serves": ("m",),
    }
    return records.Target(**(defaults | fields))


class Member:
    """Mesh, target sync and target table of one router.

    Parameters
    ----------
    name : str
        Name of this router.
    peers : list of settings.PeerAddress
        Every router, including this one.
    sockets : list of socket
        Listening sockets of its fleet listener.
    """

    def __init__(self, name, peers, sockets, config=fleet.FleetConfig):
        peer = next(candidate for candidate in peers if candidate.name == name)
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
        self.server.add_sockets(sockets)

    def start(self) -> None:
        """Start every task."""
        self.mesh.start()
        self.table.start()
        self.target_sync.start()

    def stop(self) -> None:
        """Stop as a killed process does, without announcing it."""
        self.target_sync.stop()
        self.table.stop()
        self.mesh.stop()
        self.server.close_all()

    def eligible(self) -> list[str]:
        """Return the names of the eligible engines."""
        targets = self.table.eligible(records.TargetKind.ENGINE, "m")
        return [engine.name for engine in targets]


class Fleet:
    """Several members on loopback, each behind relays of its own.

    Parameters
    ----------
    data_centres : list of str
        Data centre of each member; members are named ``r0``, ``r1``, ...

    Attributes
    ----------
    local_relays, remote_relays : list of Relay
        In front of each member's listener, for the routers of its own data
        centre and for the others. The lower name dials.
    """

    def __init__(self, data_centres: list[str], config=fleet.FleetConfig):
        self.data_centres = data_centres
        self.config = config
        self.local_relays: list[tcp_relay.Relay] = []
        self.remote_relays: list[tcp_relay.Relay] = []
        self.members: list[Member] = []
        self.renewals: dict[str, asyncio.Task] = {}

    def peers_of(self, data_centre: str) -> list[settings.PeerAddress]:
        """Return every router, with its address as seen from `data_centre`."""
        peers = []
        for number, other in enumerate(self.data_centres):
            relay = (
                self.local_relays
                if other == data_centre
                else self.remote_relays
            )[number]
            peers.append(
                settings.PeerAddress(
                    name=f"r{number}",
                    data_centre=other,
                    address=relay.address,
                )
            )
        return peers

    async def start(self) -> None:
        """Start every member."""
        sockets = []
        for _ in self.data_centres:
            sock, port = tornado.testing.bind_unused_port()
            sockets.append(sock)
            for side in (self.local_relays, self.remote_relays):
                side.append(tcp_relay.Relay(f"127.0.0.1:{port}"))
                await side[-1].start()
        for number, data_centre in enumerate(self.data_centres):
            peers = self.peers_of(data_centre)
            new_member = Member(
                f"r{number}", peers, [sockets[number]], self.config
            )
            self.members.append(new_member)
        for member in self.members:
            member.start()

    async def stop(self) -> None:
        """Stop members, relays and renewals."""
        for task in self.renewals.values():
            task.cancel()
        for member in self.members:
            member.stop()
        for relay in self.local_relays + self.remote_relays:
            await relay.stop()

    def restart(self, number: int) -> Member:
        """Stop a member and start a new one at the same address."""
        self.members[number].stop()
        host, port = self.local_relays[number].upstream.rsplit(":", 1)
        sockets = tornado.netutil.bind_sockets(int(port), host)
        peers = self.peers_of(self.data_centres[number])
        member = Member(f"r{number}", peers, sockets, self.config)
        self.members[number] = member
        member.start()
        return member

    def isolate(self, data_centre: str) -> None:
        """Isolate data centre `data_centre` from all others."""
        for number, other in enumerate(self.data_centres):
            if other == data_centre:
                self.remote_relays[number].block()
        for member, other in zip(self.members, self.data_centres, strict=True):
            # Links dialled from `data_centre` pass the relays of the others.
            for peer in member.mesh.peers.values():
                crosses = data_centre in (other, peer.data_centre)
                if crosses and peer.data_centre != other:
                    self.remote_relays[int(peer.name[1:])].block()

    def heal(self) -> None:
        """Unblock every relay."""
        for relay in self.local_relays + self.remote_relays:
            relay.heal()

    def renew(self, announced: records.Target, numbers: list[int]) -> None:
        """Announce a target and renew it at member `numbers[0]`."""
        self.renewals[announced.name] = asyncio.ensure_future(
            self._renew(announced, numbers)
        )

    def stop_renewing(self, name: str) -> None:
        """Stop renewing a target, as if it had died."""
        self.renewals.pop(name).cancel()

    async def _renew(
        self, announced: records.Target, numbers: list[int]
    ) -> None:
        sequence = 0
        while True:
            sequence += 1
            report = records.LoadReport(
                announced.name, announced.incarnation, sequence, 1, 0
            )
            target_table = self.members[numbers[0]].table
            if target_table.get(announced.name) != announced:
                target_table.announce(announced)
            target_table.update_report(report)
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
    started_at = time.monotonic()
    while not condition():
        if time.monotonic() - started_at > seconds:
            raise AssertionError(f"condition not met within {seconds} s")
        await asyncio.sleep(0.01)
    return time.monotonic() - started_at
