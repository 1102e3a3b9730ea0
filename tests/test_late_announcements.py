"""Announcements and leaves that arrive late, at a real fleet."""

import asyncio

from tests import crash_case
from tests import platform_case

ANNOUNCEMENTS = 6


class TestLateAnnouncements(crash_case.CrashCase):
    """One replica, of which processes that have ended say something late."""

    routers = 1
    replicas = 1

    async def wait_for_announcements(self):
        """Wait until a living replica has announced itself a few times."""
        await asyncio.sleep(ANNOUNCEMENTS * platform_case.HEARTBEAT_SECONDS)

    async def test_living_replica_gets_its_address_back(self):
        """Guards against a dead incarnation that keeps an address."""
        [replica] = self.all_replicas
        dead = self.make_replica("dead")
        dead.address = replica.address
        await self.heartbeat(dead, self.heartbeat_body(dead, 1))
        await self.wait_for_announcements()
        await self.restart("router-0")
        answer = await self.send("/b/x")
        self.assertEqual(200, answer.status)

    async def test_leave_before_the_first_announcement_counts(self):
        """Guards against requests to a replica whose leave was confirmed."""
        leaving = self.make_replica("leaving")
        await leaving.start()
        self.addCleanup(leaving.stop)
        keeper = f"http://{self.ip('keeper')}:{self.port}"
        left = await self.fetch(f"{keeper}/Replicas.Deregister/leaving", {})
        self.assertEqual(200, left)
        for sequence in range(1, 4):
            body = self.heartbeat_body(leaving, sequence)
            await self.heartbeat(leaving, body)
        for number in range(20):
            answer = await self.send(f"/b/{number}")
            self.assertEqual(200, answer.status)
        self.assertEqual([], leaving.requests)
