"""The writer of a keeper's disk."""

import asyncio
import threading
import unittest

from amaranthring import errors
from amaranthring.keepers import disk
from amaranthring.testing import plan_keepers

WAIT_SECONDS = 2.0


class TestCancelled(unittest.IsolatedAsyncioTestCase):
    """A writer that is cancelled while its disk is busy."""

    async def asyncSetUp(self):
        self.disk_goes_on = threading.Event()
        self.faults = []
        self.synced = []
        self.writer = disk.Writer(
            lambda: None, self.synced.append, self.faults.append
        )
        self.addCleanup(self.writer.close)
        self.addCleanup(self.disk_goes_on.set)
        self.running = asyncio.ensure_future(self.writer.run())

    async def flush_while_busy(self):
        """Return a task that waits for a batch in progress."""
        self.writer.submit(self.disk_goes_on.wait, "marker")
        flush = asyncio.ensure_future(self.writer.flush())
        await plan_keepers.wait_until(
            lambda: self.writer.batch_started_at is not None, WAIT_SECONDS
        )
        return flush

    async def stop_while_busy(self):
        """Cancel the writer in a batch that somebody waits for."""
        flush = await self.flush_while_busy()
        self.running.cancel()
        await asyncio.wait([self.running, flush], timeout=WAIT_SECONDS)
        flush.cancel()
        await asyncio.gather(flush, return_exceptions=True)

    async def test_those_who_wait_for_the_batch_are_told(self):
        """Guards against waits that nothing ends once the writer stops."""
        in_batch = await self.flush_while_busy()
        queued = asyncio.ensure_future(self.writer.flush())
        await asyncio.sleep(0)
        self.running.cancel()
        for flush in (in_batch, queued):
            with self.assertRaises(errors.StorageError):
                await asyncio.wait_for(flush, WAIT_SECONDS)
        self.assertEqual([], self.synced)

    async def test_later_waits_are_refused(self):
        """Guards against waits for a writer that has stopped."""
        await self.stop_while_busy()
        with self.assertRaises(errors.StorageError):
            await asyncio.wait_for(self.writer.flush(), WAIT_SECONDS)

    async def test_stop_is_no_fault_of_the_disk(self):
        """Guards against keepers that report a failed disk when they stop."""
        await self.stop_while_busy()
        self.assertTrue(self.running.cancelled())
        self.assertEqual([], self.faults)
