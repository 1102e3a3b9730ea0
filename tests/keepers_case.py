"""Base of the tests that run keepers of a plan in this process."""

import asyncio
import tempfile
import unittest

from amaranthring.testing import plan_keepers


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
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.keepers = plan_keepers.PlanKeepers(folder.name)
        if self.snapshot_entries:
            self.keepers.snapshot_entries = self.snapshot_entries
            self.keepers.kept_entries = self.snapshot_entries
        self.addAsyncCleanup(self.keepers.stop_all)
        self.keepers.start_all()
        self.leader = await plan_keepers.until(self.keepers.leader)
