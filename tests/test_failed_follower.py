"""A follower whose disk has failed, as the leader treats it."""

import asyncio
import os

from amaranthring.testing import plan_keepers
from tests import keepers_case

PLAN_BYTES = 100_000
SECONDS = 2.0


class TestFailedFollower(keepers_case.KeepersCase):
    """One of three keepers cannot write, and refuses every entry."""

    # The entries stay in the log.
    snapshot_entries = 50

    async def test_refused_entries_are_not_sent_again_and_again(self):
        """A follower that refuses entries must not use up the link.

        Catch-up entries go ahead of the plans that routers wait for.
        """
        own = self.leader.config.address
        failed = next(a for a in self.keepers.running if a != own)
        self.keepers.full_disks.add(failed)
        for version in range(1, 4):
            await self.keepers.put(version, os.urandom(PLAN_BYTES), own)
        group = self.keepers.running[failed].group
        await plan_keepers.wait_until(lambda: group.fault)
        self.assertTrue(group.recoverable)
        await asyncio.sleep(0.5)
        sent = self.leader.handlers.sent
        before = sent["keeper-append"]
        await asyncio.sleep(SECONDS)
        self.assertLess(sent["keeper-append"] - before, PLAN_BYTES)
        self.assertTrue(self.leader.group.leading)
        self.keepers.full_disks.clear()
        machine = self.keepers.running[failed].machine
        await plan_keepers.wait_until(lambda: machine.version == 3)
