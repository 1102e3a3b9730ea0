"""Streams that are taken up after all routers, or all processes, were killed.

``REJOINED_SEED`` chooses the series of kills, ``REJOINED_SECONDS`` its length.
"""

import asyncio
import os
import random
import shutil
import signal
import time

from tests import platform_case
from tests import version_case

SEED = os.environ.get("REJOINED_SEED", "1")
SECONDS = float(os.environ.get("REJOINED_SECONDS", "9"))
# Targets that send no heartbeats count as silent after 3.5 of them; the hints
# are written within 2 s.
SILENT_SECONDS = 3.5 * platform_case.HEARTBEAT_SECONDS + 2.5
DATA_CENTRES = ("here", "there", "beyond")


class RejoinedCase(version_case.VersionCase):
    """Several keepers, and routers that are killed together.

    Attributes
    ----------
    keeper_count : int
        Number of keepers, each in a data centre of its own.
    """

    keeper_count = 1
    versions = {"v1": 3}

    async def asyncSetUp(self):
        self.keepers = ["keeper"] + [
            f"keeper-{number}" for number in range(1, self.keeper_count)
        ]
        await super().asyncSetUp()

    def ip(self, name):
        role, _, number = name.partition("-")
        first = 1 if role == "keeper" else 10
        return f"127.{self.network}.{first + int(number or 0)}"

    def start(self, name):
        """Start a process; the first keeper's first start brings others."""
        super().start(name)
        if name == "keeper" and self.starts[name] == 1:
            for other in self.keepers[1:]:
                super().start(other)

    def settings(self, name):
        number = int(name.partition("-")[2] or 0)
        return super().settings(name) | {
            "zone": DATA_CENTRES[number % self.keeper_count],
            "seeds": [f"{self.ip(each)}:{self.port}" for each in self.keepers],
            "bootstrap": self.starts[name] == 1,
        }

    async def heartbeat(self, replica, body):
        await asyncio.gather(
            *(self.announce_to(name, replica, body) for name in self.keepers)
        )

    def leave(self, replica):
        """End a replica that has said so."""
        self.heartbeats[replica.name].cancel()
        replica.crash()
        return asyncio.gather(
            *(
                self.fetch(
                    f"http://{self.ip(name)}:{self.port}"
                    f"/Replicas.Deregister/{replica.name}",
                    {},
                )
                for name in self.keepers
            )
        )

    async def kill(self, names):
        """Kill processes at the same moment."""
        for name in names:
            self.processes[name].send_signal(signal.SIGKILL)
        for name in names:
            await asyncio.to_thread(self.processes[name].wait)

    async def bring_up(self, names):
        """Start processes; wait for the routers."""
        for name in names:
            self.start(name)
        for name in names:
            if name in self.router_names:
                await self.wait_ready(name)

    async def begin_streams(self, number=6):
        """Begin streams that their callers break off."""
        streams = [version_case.Stream() for _ in range(number)]
        for stream in streams:
            await self.try_once(self.router_names[0], stream, break_after=3)
        await asyncio.sleep(0.3)
        return streams

    async def take_up(self, streams, break_after=0):
        """Take streams up, each at another router than the one before."""
        for number, stream in enumerate(streams):
            router = self.router_names[number % self.routers]
            await self.try_once(router, stream, break_after)

    def check_not_mixed(self, streams):
        """Check that no stream holds events of two versions."""
        mixed = [s.events for s in streams if s.is_mixed]
        self.assertEqual([], mixed, f"{len(mixed)} of {len(streams)}")


class TestCrashedVersion(RejoinedCase):
    """All processes lose power after the targets of a version crashed."""

    async def test_crashed_version_is_not_forgotten(self):
        """Guards against a version whose targets fell silent before."""
        streams = await self.begin_streams()
        await self.add("v1.1")
        await asyncio.sleep(platform_case.HEARTBEAT_SECONDS)
        for replica in self.all_replicas[:3]:
            replica.crash()
        await asyncio.sleep(SILENT_SECONDS)
        names = [*self.keepers, *self.router_names]
        await self.kill(names)
        await self.bring_up(names)
        await asyncio.sleep(1.0)
        await self.take_up(streams)
        self.check_not_mixed(streams)


class TestCrashedVersionAtThreeKeepers(TestCrashedVersion):
    """The same in three data centres."""

    keeper_count = 3


class TestTwoLossesOfPower(RejoinedCase):
    """Two losses of power; the old version leaves during the first."""

    async def test_version_that_left_unheard_is_not_forgotten(self):
        """Guards against a version that only the hints before name."""
        streams = await self.begin_streams()
        await asyncio.sleep(2.5)
        names = [*self.keepers, *self.router_names]
        await self.kill(names)
        for replica in list(self.all_replicas):
            await self.leave(replica)
        await self.add("v1.1")
        await self.bring_up(names)
        await asyncio.sleep(SILENT_SECONDS)
        await self.kill(names)
        await self.bring_up(names)
        await asyncio.sleep(1.0)
        await self.take_up(streams)
        self.check_not_mixed(streams)


class TestLostHints(RejoinedCase):
    """All processes lose power, and no keeper has hints afterwards."""

    async def test_keepers_without_hints_do_not_guess(self):
        """Guards against a keeper that takes what it hears for all."""
        streams = await self.begin_streams()
        await self.add("v1.1")
        await asyncio.sleep(platform_case.HEARTBEAT_SECONDS)
        for replica in self.all_replicas[:3]:
            await self.leave(replica)
        names = [*self.keepers, *self.router_names]
        await self.kill(names)
        for name in self.keepers:
            for path in (self.folder / name).rglob("hints"):
                path.write_bytes(b"damaged")
        await self.bring_up(names)
        await asyncio.sleep(2.0)
        await self.take_up(streams)
        self.check_not_mixed(streams)
        fresh = version_case.Stream()
        await self.try_once(self.router_names[1], fresh)
        self.assertEqual("booking:v1.1", fresh.label)


class TestMovedRoute(RejoinedCase):
    """All processes lose power right after a route was moved."""

    async def test_move_is_not_forgotten(self):
        """Guards against the one release of a service that did not begin."""
        await self.add("v1", "other")
        streams = await self.begin_streams()
        await asyncio.sleep(2.5)
        self.services = ("other",)
        await self.configure()
        await asyncio.sleep(0.35)
        names = [*self.keepers, *self.router_names]
        await self.kill(names)
        await self.bring_up(names)
        await asyncio.sleep(1.0)
        await self.take_up(streams)
        self.check_not_mixed(streams)
        fresh = version_case.Stream()
        await self.try_once(self.router_names[1], fresh)
        self.assertEqual("other:v1", fresh.label)


class TestRouteMovedUnseen(RejoinedCase):
    """All processes lose power; a route is moved before routers run again."""

    async def test_move_that_no_router_saw_is_noticed(self):
        """Guards against a first plan that is taken for the only one."""
        await self.add("v1", "other")
        streams = await self.begin_streams()
        await asyncio.sleep(2.5)
        await self.kill([*self.keepers, *self.router_names])
        await self.bring_up(self.keepers)
        self.services = ("other",)
        await self.configure()
        await self.bring_up(self.router_names)
        await asyncio.sleep(1.0)
        await self.take_up(streams)
        self.check_not_mixed(streams)
        fresh = version_case.Stream()
        await self.try_once(self.router_names[1], fresh)
        self.assertEqual("other:v1", fresh.label)


class TestOneVersion(RejoinedCase):
    """All processes lose power while one version serves."""

    keeper_count = 3

    async def test_streams_go_on_after_a_loss_of_power(self):
        """Guards against keepers that never call their knowledge complete."""
        streams = await self.begin_streams(12)
        await asyncio.sleep(2.5)
        names = [*self.keepers, *self.router_names]
        await self.kill(names)
        await self.bring_up(names)
        await self.take_up(streams)
        self.assertEqual([True] * 12, [stream.whole for stream in streams])


class TestSecondTakeUp(RejoinedCase):
    """Streams break twice, each time as all routers are killed."""

    versions = {"v1": 2, "v1.1": 2}
    keeper_count = 3

    async def test_second_take_up_keeps_the_first_binding(self):
        """Guards against a binding that ends with the second kill."""
        streams = await self.begin_streams(12)
        for _ in range(2):
            await self.kill(self.router_names)
            await self.bring_up(self.router_names)
            await self.take_up(streams, break_after=6)
            await asyncio.sleep(0.3)
        await self.take_up(streams)
        self.check_not_mixed(streams)
        self.assertEqual(12, sum(stream.whole for stream in streams))


class TestSeries(RejoinedCase):
    """Series of changes, each followed by a kill of all routers.

    With them none, one or all of the keepers are killed, the one perhaps with
    its disk, or all but one stand still.
    """

    versions = {"v1": 2}
    keeper_count = 3

    async def asyncSetUp(self):
        self.seed = SEED
        await super().asyncSetUp()
        self.rng = random.Random(SEED)
        self.held = []
        await self.add("v1", "other")

    async def end(self, replicas):
        """End replicas, some of them without a word."""
        crashed = self.rng.random() < 0.5
        for replica in replicas:
            if crashed or self.rng.random() < 0.3:
                replica.crash()
            else:
                await self.leave(replica)

    async def change_version(self):
        """Replace all targets by others, perhaps of a release of before."""
        old = [r for r in self.all_replicas if not r.crashed]
        version = self.rng.choice(("v1", "v1.1", "v1.2"))
        for service in (platform_case.SERVICE, platform_case.SERVICE, "other"):
            await self.add(version, service)
        await asyncio.sleep(self.rng.choice((0.0, 0.3, 1.0)))
        await self.end(old)

    async def add_version(self):
        """Let a target of perhaps another release serve as well."""
        await self.add(self.rng.choice(("v1", "v1.1", "v1.2")))

    async def change_plan(self):
        """Let the route lead to one service, the other or both."""
        self.services = self.rng.choice(
            (("booking",), ("other",), ("booking", "other"))
        )
        await self.configure()

    async def kill_together(self):
        """Kill all routers, with some keepers; bring them back."""
        how = self.rng.choice(("routers", "one", "wiped", "all", "all", "cut"))
        keepers = {
            "one": self.rng.sample(self.keepers, 1),
            "wiped": self.rng.sample(self.keepers, 1),
            "all": self.keepers,
        }.get(how, [])
        stops = []
        if how == "cut":
            seconds = self.rng.uniform(0.5, 3.0)
            for name in self.rng.sample(self.keepers, 2):
                stop = self.freeze(name, seconds)
                stops.append(asyncio.ensure_future(stop))
        names = [*keepers, *self.router_names]
        await self.kill(names)
        if how == "wiped":
            shutil.rmtree(self.folder / keepers[0])
        if self.rng.random() < 0.3:
            await self.change_version()
        await asyncio.sleep(self.rng.uniform(0.0, 0.8))
        await self.bring_up(names)
        await asyncio.gather(*stops)

    async def step(self):
        """Begin streams, make a change, kill, and take the streams up."""
        new = [version_case.Stream() for _ in range(6)]
        for stream in new:
            router = self.rng.choice(self.router_names)
            await self.try_once(router, stream, break_after=3)
        self.held += new
        await asyncio.sleep(self.rng.choice((0.0, 0.0, 0.3)))
        changes = self.change_version, self.add_version, self.change_plan
        await self.rng.choice(changes)()
        await asyncio.sleep(self.rng.choice((0.0, 0.1, 0.5, SILENT_SECONDS)))
        await self.kill_together()
        for _ in range(2):
            await asyncio.sleep(self.rng.uniform(0.0, 0.8))
            open_streams = [s for s in self.held if s.events and not s.whole]
            await asyncio.gather(
                *(self.take_up_later(stream) for stream in open_streams)
            )

    async def take_up_later(self, stream):
        """Take a stream up, perhaps to break it off again."""
        router = self.rng.choice(self.router_names)
        more = self.rng.choice((0, len(stream.events) + 2))
        await self.try_once(router, stream, more)

    async def test_no_answer_joins_two_versions(self):
        """Guards against versions known only to what dies together."""
        until = time.monotonic() + SECONDS
        while time.monotonic() < until:
            await self.step()
        self.check_not_mixed(self.held)
