"""Requests that end their targets, before a fleet that is disturbed itself.

``CRASH_PLAN_SEED`` chooses the series of faults, ``CRASH_PLAN_SECONDS`` its
length and ``CRASH_PLAN_ROUTERS`` the number of routers.
"""

import asyncio
import os
import random
import time

from amaranthring.policy import crash_evidence
from tests import crash_case

SEED = os.environ.get("CRASH_PLAN_SEED", "1")
SECONDS = float(os.environ.get("CRASH_PLAN_SECONDS", "15"))
ROUTERS = int(os.environ.get("CRASH_PLAN_ROUTERS", "3"))
CALLERS = 4 * ROUTERS
CAUSES = 2
MAX_LATE_RUNS = 3
# Longer pauses are refusals for good.
PAUSE_SECONDS = 2 * crash_evidence.PAUSE_SECONDS
CHECKS = 30
SENDS_AT_ONCE = (1, 1, 2, 5)
# Seconds for which a replica that has ended keeps its listener.
LINGERS = (0.0, 0.3, 1.2)


class TestCrashSeries(crash_case.SeriesCase):
    """Causes, lost targets, signals and changes that come in series."""

    routers = ROUTERS
    replicas = 5

    async def asyncSetUp(self):
        self.rng = random.Random(SEED)
        self.linger = random.Random(f"linger {SEED}").choice(LINGERS)
        self.turned_away = []
        await super().asyncSetUp()

    async def test_only_causes_are_refused(self):
        """Guards against refusing others, or sending a cause on."""
        callers = [
            self.begin(self.call_until_stopped(number, number % 4 == 0))
            for number in range(CALLERS)
        ]
        paths = [f"/{'ab'[n % 2]}/crash{n}" for n in range(CAUSES)]
        callers += [self.begin(self.cause(path)) for path in paths]
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
        await asyncio.wait_for(asyncio.gather(*callers), 30.0)
        for path in paths:
            self.assertLessEqual(len(self.late(path)), MAX_LATE_RUNS, path)
        self.assertEqual([], self.turned_away)
        await asyncio.sleep(crash_case.CALM_SECONDS)
        answers = await self.send_regularly(
            lambda number: f"/a/check{number}", 0.02, CHECKS
        )
        self.assertEqual({200}, {answer.status for answer in answers})

    async def cause(self, path):
        """Send a crashing request again and again."""
        await asyncio.sleep(self.rng.uniform(0.0, SECONDS / 4))
        while not self.stopped:
            at_once = self.rng.choice(SENDS_AT_ONCE)
            await asyncio.gather(*(self.send(path) for _ in range(at_once)))
            await asyncio.sleep(self.rng.uniform(0.2, 1.2))

    async def call_once(self, connection, incarnation, request_id, path):
        """Note who is refused for good."""
        response = await super().call_once(
            connection, incarnation, request_id, path
        )
        answer = crash_case.read_answer(path, time.monotonic(), response)
        seconds = float(answer.retry_after or 0.0)
        if answer.code == "suspected" and seconds > PAUSE_SECONDS:
            self.turned_away.append(path)
        return response

    def late(self, path):
        """Return the runs after three crashes while the keeper was calm."""
        crashed = [
            replica.crashed_at
            for replica in self.all_replicas
            if replica.cause == path
        ]
        if len(crashed) < crash_evidence.MIN_CRASHES:
            return []
        third = sorted(crashed)[crash_evidence.MIN_CRASHES - 1]
        return [
            at
            for at in self.runs(path)
            if at > third + crash_case.CALM_SECONDS and self.was_calm(at)
        ]
