"""Keepers as processes that lose power among many changes.

``POWER_PLAY_SEED`` chooses what each loss leaves, ``POWER_PLAY_LOSSES`` their
number.
"""

import asyncio
import os
import pathlib
import random
import tempfile
import time
import unittest

from amaranthring.testing import operator_calls
from amaranthring.testing import plan_changes
from amaranthring.testing import slow_disks
from amaranthring.testing import soak_fleet

SEED = os.environ.get("POWER_PLAY_SEED", "1")
LOSSES = int(os.environ.get("POWER_PLAY_LOSSES", "6"))
# As many changes at a time as operators may have in progress.
OPERATORS = 8
SYNC_SECONDS = 0.05
CHANGES_BEFORE_LOSS = 20
RECOVER_SECONDS = 12.0


class TestLossOfPower(unittest.IsolatedAsyncioTestCase):
    """All keepers lose power while eight operators change the plan."""

    async def test_acknowledged_plan_comes_back(self):
        """Guards against keepers that take a lost write for damage."""
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        rng = random.Random(SEED)
        fleet = soak_fleet.Fleet(pathlib.Path(folder.name), 3, [1], False)
        self.addAsyncCleanup(fleet.stop)
        await fleet.start()
        fleet.set_disks(
            fleet.names, slow_disks.Mode(SYNC_SECONDS, SYNC_SECONDS)
        )
        operators = plan_changes.Operators(fleet.controls, rng)
        reader = operator_calls.Operator(fleet.controls)
        self.addCleanup(reader.close_all)
        for loss in range(LOSSES):
            changes = [
                asyncio.ensure_future(operators.change_many(1000, 30.0))
                for _ in range(OPERATORS)
            ]
            await self.until_acknowledged(operators, CHANGES_BEFORE_LOSS)
            await asyncio.sleep(rng.uniform(0.0, 0.1))
            fleet.lose_power(fleet.names, rng)
            for change in changes:
                change.cancel()
            await asyncio.gather(*changes, return_exceptions=True)
            for name in fleet.names:
                fleet.restart_keeper(name)
            await self.until_read(operators, reader, fleet, f"loss {loss}")
        self.assertEqual([], operators.problems)

    async def until_acknowledged(self, operators, count):
        most = len(operators.acknowledged) + count
        async with asyncio.timeout(RECOVER_SECONDS):
            while len(operators.acknowledged) < most:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def until_read(self, operators, reader, fleet, what):
        end = time.monotonic() + RECOVER_SECONDS
        while time.monotonic() < end:
            for address in fleet.controls:
                if await operators.read(reader, address):
                    return
            await asyncio.sleep(0.1)
        self.fail(f"no plan after {what}, ended: {fleet.ended()}")
