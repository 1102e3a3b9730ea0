"""Streams while replicas of several software versions serve, as processes."""

import asyncio

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

    async def test_streams_go_on_at_the_version_that_began_them(self):
        """Guards against a caller's try that goes on at another version."""
        await self.read_streams(SECONDS, break_share=0.4)
        self.assertGreaterEqual(len(self.resumed), version_case.MIN_TRIES)
        self.check()


class TestKilledRouters(version_case.VersionCase):
    """Routers are killed, and callers take their streams up at others."""

    async def test_streams_go_on_at_the_version_that_began_them(self):
        """Guards against versions that only the killed router knew."""
        kills = asyncio.ensure_future(self.kill_routers(SECONDS))
        await self.read_streams(SECONDS)
        await kills
        self.assertGreaterEqual(len(self.resumed), version_case.MIN_TRIES)
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
