"""Streams while replicas of several software versions serve, as processes."""

import asyncio
import itertools
import signal
import time

from tests import platform_case
from tests import version_case

SECONDS = 7.0


class TestCrashes(version_case.VersionCase):
    """Replicas crash, and their routers go on with the streams."""

    async def test_streams_go_on_at_the_version_that_began_them(self):
        """Guards against a router's retry at another software version."""
        crashes = asyncio.ensure_future(self.crash_replicas(SECONDS))
        await self.read_streams(SECONDS)
        await crashes
        self.check()


class TestCallers(version_case.VersionCase):
    """Callers break streams off and take them up at any router."""

    needs_tries = True

    async def test_streams_go_on_at_the_version_that_began_them(self):
        """Guards against a caller's try that goes on at another version."""
        await self.read_streams(SECONDS, break_share=0.4)
        self.check()


class TestKilledRouters(version_case.VersionCase):
    """Routers are killed, and callers take their streams up at others."""

    needs_tries = True

    async def test_streams_go_on_at_the_version_that_began_them(self):
        """Guards against versions that only the killed router knew."""
        kills = asyncio.ensure_future(self.kill_routers())
        await self.read_streams(SECONDS)
        kills.cancel()
        self.check()


class TestRollingUpgrade(version_case.VersionCase):
    """Replicas of one version are replaced by others, one after the other."""

    versions = {"v1": 4}

    async def replace_replicas(self):
        """Start each new replica a second before the old one ends."""
        for old in list(self.all_replicas):
            await self.add("v1.1")
            await asyncio.sleep(1.0)
            old.crash()
            await asyncio.sleep(0.5)

    async def test_streams_go_on_at_the_version_that_began_them(self):
        """Guards against streams of the old version that go on at the new."""
        replacing = asyncio.ensure_future(self.replace_replicas())
        await self.read_streams(SECONDS)
        await replacing
        self.check()


class TestRoutersKilledTogether(version_case.VersionCase):
    """Most routers are killed at the same moment."""

    routers = 4
    needs_tries = True

    async def kill_most(self):
        """Kill all routers but one again and again."""
        for spared in itertools.cycle(self.router_names):
            await asyncio.sleep(1.5)
            await asyncio.gather(
                *(
                    self.restart(name, signal.SIGKILL)
                    for name in self.router_names
                    if name != spared
                )
            )

    async def test_streams_go_on_at_the_version_that_began_them(self):
        """Guards against versions that only routers know."""
        kills = asyncio.ensure_future(self.kill_most())
        await self.read_streams(SECONDS)
        kills.cancel()
        self.check()


class TestStoppedRouter(version_case.VersionCase):
    """Routers stand still while their callers go elsewhere, and come back."""

    needs_tries = True

    async def stop_routers(self):
        """Stop one router after the other for longer than callers wait."""
        for name in self.router_names[:2]:
            await self.freeze(name, version_case.MOST_PAUSE_SECONDS + 0.5)

    async def test_streams_go_on_at_the_version_that_began_them(self):
        """Guards against a router that goes on as if nothing had been."""
        stops = asyncio.ensure_future(self.stop_routers())
        await self.read_streams(SECONDS, break_share=0.3)
        await stops
        self.check()


class TestSeveredRouter(version_case.VersionCase):
    """A router reaches no replica, and hands its streams over."""

    needs_tries = True

    async def sever(self):
        """Cut one router off from all replicas for a while."""
        await asyncio.sleep(1.0)
        self.severed.add(self.router_names[0])
        await asyncio.sleep(4.0)
        self.severed.clear()

    async def test_streams_go_on_at_the_version_that_began_them(self):
        """Guards against helpers that take any version."""
        cut = asyncio.ensure_future(self.sever())
        await self.read_streams(SECONDS, break_share=0.4)
        await cut
        self.check()


class TestMovedRoute(version_case.VersionCase):
    """A plan splits a route over two services, and another one moves it."""

    versions = {"v1": 3}
    services = ("booking", "other")

    async def move(self):
        """Move the route to the second service."""
        await asyncio.sleep(3.0)
        self.services = ("other",)
        await self.configure()

    async def test_streams_go_on_at_the_service_that_began_them(self):
        """Guards against services that are drawn anew for each try."""
        for _ in range(3):
            await self.add("v1", "other")
        await asyncio.sleep(1.0)
        move = asyncio.ensure_future(self.move())
        await self.read_streams(SECONDS, break_share=0.4)
        await move
        self.check()


class TestOneVersion(version_case.VersionCase):
    """All processes lose power while one version serves.

    Callers name no first attempt, and nobody knows any stream any more.
    """

    versions = {"v1": 4}
    names_first = False

    async def lose_power(self):
        """Kill all processes, and start them again."""
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            await asyncio.to_thread(process.wait)
        for name in ("keeper", *self.router_names):
            self.start(name)

    async def test_streams_go_on_after_a_loss_of_power(self):
        """Guards against refusals where nothing can be mixed."""
        streams = [version_case.Stream() for _ in range(12)]
        for stream in streams:
            await self.try_once(self.router_names[0], stream, break_after=3)
        await asyncio.sleep(2.5)
        await self.lose_power()
        for name in self.router_names:
            await self.wait_ready(name)
        for number, stream in enumerate(streams):
            router = self.router_names[number % self.routers]
            await self.try_once(router, stream)
        self.assertEqual([True] * 12, [stream.whole for stream in streams])


class TestNewVersionAtALossOfPower(version_case.VersionCase):
    """All processes lose power right after a version has come or left."""

    versions = {"v1": 2}

    async def test_no_stream_goes_on_at_a_version_that_did_not_begin_it(self):
        """Guards against an old version that is forgotten with all power."""
        streams = [version_case.Stream() for _ in range(6)]
        for stream in streams:
            await self.try_once(self.router_names[0], stream, break_after=3)
        old = list(self.all_replicas)
        await self.add("v2")
        await asyncio.sleep(platform_case.HEARTBEAT_SECONDS)
        for replica in old:
            self.heartbeats[replica.name].cancel()
            replica.crash()
            url = f"http://{self.ip('keeper')}:{self.port}"
            await self.fetch(f"{url}/Replicas.Deregister/{replica.name}", {})
        await asyncio.sleep(2.5)
        await TestOneVersion.lose_power(self)
        for name in self.router_names:
            await self.wait_ready(name)
        for stream in streams:
            stream.first = ""
            started_at = time.monotonic()
            await self.try_once(self.router_names[1], stream)
            self.assertLess(time.monotonic() - started_at, 1.0)
        self.assertEqual([], [s.events for s in streams if s.is_mixed])
        fresh = version_case.Stream()
        await self.try_once(self.router_names[1], fresh)
        self.assertEqual("booking:v2", fresh.label)


class TestNewRouterAfterAMove(TestMovedRoute):
    """A router and the keeper start right after a route was moved."""

    versions = {"v1": 2}
    services = ("booking",)

    async def test_streams_go_on_at_the_service_that_began_them(self):
        """Guards against a router that knows the newest plan only."""
        await self.add("v1", "other")
        streams = [version_case.Stream() for _ in range(4)]
        for stream in streams:
            await self.try_once(self.router_names[0], stream, break_after=3)
        self.services = ("other",)
        await self.configure()
        await asyncio.sleep(1.0)
        await self.restart("keeper", signal.SIGKILL)
        await self.restart(self.router_names[1], signal.SIGKILL)
        await asyncio.sleep(1.0)
        for stream in streams:
            await self.try_once(self.router_names[1], stream)
        self.assertEqual([], [s.events for s in streams if s.is_mixed])
        fresh = version_case.Stream()
        await self.try_once(self.router_names[1], fresh)
        self.assertEqual("other:v1", fresh.label)
