"""Base of the tests that run keepers of a plan in this process."""

import asyncio
import os
import pathlib
import tempfile
import unittest

from amaranthring.testing import plan_keepers

# Votes wait for a sync. Where the machine's disk stalled, syncs took longer
# than an election, in all processes at one moment, and three keepers had no
# leader for seconds: the tests of these cases are not about disks.
SHARED_MEMORY = pathlib.Path("/dev/shm")
MEMORY = SHARED_MEMORY if os.access(SHARED_MEMORY, os.W_OK) else None


class KeepersCase(unittest.IsolatedAsyncioTestCase):
    """Three keepers that have begun a group.

    Attributes
    ----------
    snapshot_entries : int or None
        Entries after which a keeper takes a snapshot, where not the usual.
    """

    snapshot_entries = None

    async def asyncSetUp(self):
        # The debug mode of this test case makes calls ten times as slow.
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory(dir=MEMORY)
        self.addCleanup(folder.cleanup)
        self.keepers = plan_keepers.PlanKeepers(folder.name)
        if self.snapshot_entries:
            self.keepers.snapshot_entries = self.snapshot_entries
            self.keepers.kept_entries = self.snapshot_entries
        self.addAsyncCleanup(self.keepers.stop_all)
        self.keepers.start_all()
        self.leader = await plan_keepers.until(self.keepers.leader)
