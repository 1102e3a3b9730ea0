"""The control benchmark's arithmetic, and a router process that freezes."""

import asyncio
import os
import signal
import unittest

from amaranthring.bench import control


class TestArithmetic(unittest.TestCase):
    """What is carried to full size."""

    def test_line_through_sizes(self):
        self.assertAlmostEqual(control.carried([2, 6, 24], [3, 7, 25], 53), 54)

    def test_digests_at_full_size(self):
        # Passed on: 6 * 52 / 53; exchanged: 6 * 4 / 53; sent and received.
        self.assertAlmostEqual(control.digests(53, 7), 12.679, places=3)

    def test_bound_is_half_of_the_letter(self):
        self.assertEqual(control.BYTES_MOST, 25_000 / 2)
        self.assertEqual(control.PROCESSOR_PERCENT_MOST, 3.6 / 2)


class TestProcesses(unittest.IsolatedAsyncioTestCase):
    """Three real processes and their targets."""

    async def test_frozen_router_gives_up_no_target_on_waking(self):
        """Every request through a router fails after a VM stood still.

        The process is stopped for longer than any lease; on waking it must
        not hold the targets for lost, and must serve again within seconds.
        The others take it off their list meanwhile.
        """
        workers = control.Workers(control.Layout(3, 1))
        try:
            await workers.start()
            await workers.settle()
            frozen = workers.processes[0].pid
            os.kill(frozen, signal.SIGSTOP)
            try:
                await asyncio.sleep(5.0)
                others = control.Workers(workers.layout)
                others.processes = workers.processes[1:]
                seen = await others.figures()
            finally:
                os.kill(frozen, signal.SIGCONT)
            await workers.settle()
            found = await workers.figures()
        finally:
            await workers.stop()
        self.assertEqual([one["live"] for one in seen], [2, 2])
        counters = found[0]["counters"]
        self.assertEqual(counters["targets.own_pauses"], 1)
        self.assertEqual(counters.get("targets.lost", 0), 0)
