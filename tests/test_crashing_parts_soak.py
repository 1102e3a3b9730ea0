"""Crashing prompt parts before a fleet that is disturbed itself.

``CRASH_PARTS_SEED`` chooses the series of faults, ``CRASH_PARTS_SECONDS`` its
length and ``CRASH_PARTS_ROUTERS`` the number of routers.
"""

import asyncio
import os
import random

from amaranthring.policy import crash_evidence
from tests import crash_case
from tests import test_crashing_parts

SEED = os.environ.get("CRASH_PARTS_SEED", "1")
SECONDS = float(os.environ.get("CRASH_PARTS_SECONDS", "15"))
ROUTERS = int(os.environ.get("CRASH_PARTS_ROUTERS", "3"))
CALLERS = 4 * ROUTERS
# What a sound request may be refused for: a pause, not for good.
MAX_REFUSED_SECONDS = crash_evidence.MAX_PAUSE_SECONDS
CHECKS = 30


class TestPartSeries(test_crashing_parts.PartsCase, crash_case.SeriesCase):
    """Crashing parts, lost targets, signals and changes in series."""

    routers = ROUTERS
    replicas = 6
    parts = ("bad0", "bad1")

    async def asyncSetUp(self):
        self.turned_away = []
        await super().asyncSetUp()
        self.rng = random.Random(SEED)

    async def test_only_crashing_parts_are_refused(self):
        """Guards against refusing others, or sending a crashing part on."""
        callers = [
            self.begin(self.call_until_stopped(number, number % 4 == 0))
            for number in range(CALLERS)
        ]
        sender = self.begin(self.send_sound())
        causes = [self.begin(self.send_cause(part)) for part in self.parts]
        keeper_faults = self.begin(self.disturb_keeper_at_times(SECONDS))
        await self.inject(
            (
                self.restart_router, self.freeze_router, self.lose_replica,
                self.configure,
            ),
            SECONDS,
        )  # fmt: skip
        await keeper_faults
        self.stopped = True
        await asyncio.wait_for(asyncio.gather(*callers, *causes), 30.0)
        for part in self.parts:
            self.assertLessEqual(
                len(self.late(part)), test_crashing_parts.MAX_LATE_RUNS, part
            )
        await asyncio.sleep(crash_case.CALM_SECONDS)
        sender.cancel()
        refused = [
            answer
            for answer in self.sound
            if float(answer.retry_after or 0.0) > MAX_REFUSED_SECONDS
        ]
        self.assertEqual([], refused)
        answers = await asyncio.gather(
            *(self.send_with("/a/", "sys:800,g0:400") for _ in range(CHECKS))
        )
        self.assertEqual({200}, {answer.status for answer in answers})

    async def send_cause(self, part):
        """Send requests with a crashing part, no two alike."""
        await asyncio.sleep(self.rng.uniform(0.0, SECONDS / 4))
        while not self.stopped:
            beside = self.rng.choice(("sys:800", "sys:800,rare:90"))
            at_once = self.rng.choice((1, 1, 2, 5))
            await asyncio.gather(
                *(
                    self.send_with("/a/", f"{beside},{part}:400")
                    for _ in range(at_once)
                )
            )
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))

    def late(self, part):
        """Return the runs after five crashes while the keeper was calm."""
        crashes = self.crashed_by(part)
        if len(crashes) < test_crashing_parts.CRASHES:
            return []
        fifth = crashes[test_crashing_parts.CRASHES - 1]
        return [
            at
            for at in self.runs_with(part)
            if at > fifth + crash_case.CALM_SECONDS and self.was_calm(at)
        ]
