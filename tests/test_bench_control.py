"""Extrapolation of the control benchmark, and a paused router process."""

import asyncio
import os
import signal
import unittest

from amaranthring.bench import control


class TestExtrapolation(unittest.TestCase):
    """Extrapolation to full size."""

    def test_extrapolates_linearly(self):
        self.assertAlmostEqual(
            control.extrapolate([2, 6, 24], [3, 7, 25], 53), 54
        )

    def test_digests_at_full_size(self):
        # Forwarded: 6 * 52 / 53; exchanged: 6 * 4 / 53; sent and received.
        self.assertAlmostEqual(
            control.digests_per_second(53, 7), 12.679, places=3
        )

    def test_bounds_are_half_of_the_requirement(self):
        self.assertEqual(control.MAX_BYTES_PER_SECOND, 25_000 / 2)
        self.assertEqual(control.MAX_PROCESSOR_PERCENT, 3.6 / 2)


class TestProcesses(unittest.IsolatedAsyncioTestCase):
    """Three router processes and their targets."""

    async def test_resumed_router_keeps_its_targets(self):
        """A router that was paused must not take its targets for lost.

        The process is stopped for longer than any lease, as when a VM is
        paused, while the other routers drop it from their live lists. It must
        know all routers and targets again within seconds.
        """
        workers = control.Workers(control.Layout(3, 1))
        try:
            await workers.start()
            await workers.wait_converged()
            paused = workers.processes[0].pid
            os.kill(paused, signal.SIGSTOP)
            try:
                await asyncio.sleep(5.0)
                others = control.Workers(workers.layout)
                others.processes = workers.processes[1:]
                other_figures = await others.figures()
            finally:
                os.kill(paused, signal.SIGCONT)
            await workers.wait_converged()
            figures = await workers.figures()
        finally:
            await workers.stop()
        self.assertEqual([one["live"] for one in other_figures], [2, 2])
        counters = figures[0]["counters"]
        self.assertEqual(counters["targets.own_pauses"], 1)
        self.assertEqual(counters.get("targets.lost", 0), 0)
