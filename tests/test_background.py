"""Background work that goes on after a failure, and is heard."""

import asyncio
import unittest

import logbook

from amaranthring.core import background
from amaranthring.testing import plan_keepers
from tests import keepers_case


class TestKeptWork(unittest.IsolatedAsyncioTestCase):
    """Work that lasts as long as its process."""

    async def asyncSetUp(self):
        self.lines = logbook.TestHandler()
        self.lines.push_application()
        self.addCleanup(self.lines.pop_application)

    async def test_it_goes_on_after_failures(self):
        """Guards against duties that end with their first failure."""
        runs = []

        async def run():
            runs.append(len(runs))
            if len(runs) < 3:
                raise RuntimeError(f"failure {len(runs)}")
            await asyncio.Event().wait()

        task = background.keep_running("duty", run)
        self.addCleanup(task.cancel)
        await plan_keepers.wait_until(lambda: len(runs) == 3, 3.0)
        failed = [r.message for r in self.lines.records]
        self.assertEqual(2, len(failed))
        for line in failed:
            self.assertIn("task.failed task=duty fault=RuntimeError", line)

    async def test_it_ends_when_cancelled(self):
        """Guards against work that outlives its process's stop."""
        task = background.keep_running("duty", asyncio.Event().wait)
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait({task}, timeout=1.0)
        self.assertTrue(task.cancelled())

    async def test_unhandled_errors_are_logged(self):
        """Guards against callbacks that fail in silence."""
        loop = asyncio.get_running_loop()
        background.log_unhandled(loop)

        def fail():
            raise RuntimeError("a failure of the test")

        loop.call_soon(fail)
        await asyncio.sleep(0.01)
        [line] = self.lines.records
        self.assertTrue(line.message.startswith("loop.error"))
        self.assertIn("a failure of the test", line.formatted_exception)


class TestDutiesOfAGroup(keepers_case.KeepersCase):
    """Duties of a keeper in its group that fail once."""

    async def check_takes_part_again(self, keeper):
        """Check that a keeper that has failed applies plans again."""
        await plan_keepers.wait_until(lambda: keeper.group.fault is not None)
        await plan_keepers.wait_until(lambda: keeper.group.fault is None)
        version = await self.keepers.put(5, b"five")
        self.assertEqual(5, version)
        await plan_keepers.wait_until(lambda: keeper.machine.version == 5)
        # The writer of the files that were open before has ended.
        writers = [t for t in asyncio.all_tasks() if self.writes(t, keeper)]
        self.assertEqual([keeper.group.writer_task], writers)

    def writes(self, task, keeper):
        """Return whether `task` is a writer of `keeper`."""
        return task in keeper.group.tasks and "writer" in task.get_name()

    async def test_leader_that_fails_to_tell_takes_part_again(self):
        """Guards against a keeper that is out for good after one failure."""
        keeper = self.leader

        def fail(_index):
            keeper.group.on_applied.remove(fail)
            raise RuntimeError("a failure of the test")

        keeper.group.on_applied.append(fail)
        await self.keepers.put(4, b"four", keeper.config.address)
        await self.check_takes_part_again(keeper)

    async def test_follower_that_fails_takes_part_again(self):
        """Guards against a keeper that is out for good after one failure."""
        others = [
            k for k in self.keepers.running.values() if k is not self.leader
        ]
        keeper = others[0]

        def fail(_index):
            keeper.group.on_applied.remove(fail)
            raise RuntimeError("a failure of the test")

        keeper.group.on_applied.append(fail)
        await self.keepers.put(4, b"four", self.leader.config.address)
        await self.check_takes_part_again(keeper)
