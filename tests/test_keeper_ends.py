"""Keepers that end right after an acknowledgement, among many changes.

``KEEPER_ENDS_SEED`` chooses the disks and the moments, ``KEEPER_ENDS_ROUNDS``
how often each way is played.
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

SEED = os.environ.get("KEEPER_ENDS_SEED", "1")
ROUNDS = int(os.environ.get("KEEPER_ENDS_ROUNDS", "1"))
# As many changes at a time as operators may have in progress.
OPERATORS = 8
CHANGES_BEFORE_END = 12
SYNC_SECONDS = (0.0, 0.005, 0.05, 0.2)
RECOVER_SECONDS = 12.0
# What tells a slow start from an election without an end.
LOG_EVENTS = (
    "history.known",
    "keeper.listening",
    "keeper.ballot",
    "keeper.voted",
    "keeper.leads",
    "keeper.follows",
    "keeper.steps-down",
    "keeper.fault",
    "keeper.failed",
)
LOG_LINES = 40


class TestKeepersEnd(unittest.IsolatedAsyncioTestCase):
    """Keepers that all end while eight operators change the plan."""

    async def asyncSetUp(self):
        # Debug mode slows the relays, which share this loop, several times.
        asyncio.get_running_loop().set_debug(False)
        self.rng = random.Random(SEED)

    async def test_acknowledged_plan_comes_back(self):
        """Guards against plans that are lost once they are acknowledged."""
        ways = (self.terminate, self.kill, self.lose_power, self.lose_a_disk)
        for count in (1, 3):
            for way in ways:
                if count == 1 and way == self.lose_a_disk:
                    # Nobody else has the plan.
                    continue
                with self.subTest(keepers=count, way=way.__name__, seed=SEED):
                    await self.play(count, way)

    async def play(self, count, way):
        """End all keepers of a new fleet in one way, several times."""
        with tempfile.TemporaryDirectory() as folder:
            fleet = soak_fleet.Fleet(pathlib.Path(folder), count, [1], False)
            operators = plan_changes.Operators(fleet.controls, self.rng)
            try:
                await fleet.start()
                # Two lost disks of three are more than are replaced.
                rounds = 1 if way == self.lose_a_disk else ROUNDS
                for number in range(rounds):
                    await self.end_once(fleet, operators, way, number)
            finally:
                operators.running = False
                await fleet.stop()
        self.assertEqual([], operators.problems)

    async def end_once(self, fleet, operators, way, number):
        """End all keepers after an acknowledgement; read the plan back."""
        seconds = self.rng.choice(SYNC_SECONDS)
        fleet.set_disks(fleet.names, slow_disks.Mode(seconds, seconds))
        changes = [
            asyncio.ensure_future(operators.change_many(1000, 60.0))
            for _ in range(OPERATORS)
        ]
        try:
            async with asyncio.timeout(2 * RECOVER_SECONDS):
                for _ in range(CHANGES_BEFORE_END):
                    operators.changed.clear()
                    await operators.changed.wait()
                await asyncio.sleep(self.rng.choice((0.0, 0.03, 0.1)))
                await way(fleet)
        finally:
            for change in changes:
                change.cancel()
            await asyncio.gather(*changes, return_exceptions=True)
        for name in fleet.names:
            fleet.restart_keeper(name)
        await self.until_read(fleet, operators, f"{seconds} s, end {number}")

    async def terminate(self, fleet):
        await asyncio.gather(*(fleet.terminate(name) for name in fleet.names))

    async def kill(self, fleet):
        fleet.kill(fleet.names)

    async def lose_power(self, fleet):
        fleet.lose_power(fleet.names, self.rng)

    async def lose_a_disk(self, fleet):
        """All lose power, and one loses its disk."""
        fleet.lose_power(fleet.names, self.rng)
        fleet.lose_disk(self.rng.choice(fleet.names))

    async def until_read(self, fleet, operators, what):
        reader = operator_calls.Operator(fleet.controls)
        self.addCleanup(reader.close_all)
        end = time.monotonic() + RECOVER_SECONDS
        while time.monotonic() < end:
            for address in fleet.controls:
                if await operators.read(reader, address):
                    return
            await asyncio.sleep(0.1)
        self.fail(
            f"no plan after syncs of {what}; ended: {fleet.ended()}; "
            f"logs:\n{fleet.last_lines(LOG_EVENTS, LOG_LINES)}"
        )
