"""Base class of tests that run plan keepers in this process."""

import asyncio
import os
import pathlib
import tempfile
import unittest

from amaranthring.testing import plan_keepers

# Votes wait for a sync; on a stalled disk that can take longer than an
# election, which these tests are not about.
SHARED_MEMORY = pathlib.Path("/dev/shm")
MEMORY = SHARED_MEMORY if os.access(SHARED_MEMORY, os.W_OK) else None


class KeepersCase(unittest.IsolatedAsyncioTestCase):
    """Three keepers that have formed a group.

    Attributes
    ----------
    snapshot_entries : int or None
        Number of entries after which a keeper takes a snapshot, if not the
        default.
    retry_window : float
        Seconds over which routers count retries.
    """

    snapshot_entries = None
    retry_window = plan_keepers.RETRY_WINDOW_SECONDS

    async def asyncSetUp(self):
        # asyncio's debug mode, which this test case enables, is slow.
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory(dir=MEMORY)
        self.addCleanup(folder.cleanup)
        self.keepers = plan_keepers.PlanKeepers(folder.name)
        self.keepers.retry_window = self.retry_window
        if self.snapshot_entries:
            self.keepers.snapshot_entries = self.snapshot_entries
            self.keepers.kept_entries = self.snapshot_entries
        self.addAsyncCleanup(self.keepers.stop_all)
        await self.prepare()
        self.keepers.start_all()
        self.leader = await plan_keepers.wait_until(self.keepers.leader)

    async def prepare(self):
        """Change how the keepers start."""
