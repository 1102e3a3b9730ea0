"""Routers that lose and regain their paths to targets, disturbed besides.

``SEVERED_SOAK_SEED`` chooses the series of faults, ``SEVERED_SOAK_SECONDS``
its length and ``SEVERED_SOAK_ROUTERS`` the number of routers.
"""

import asyncio
import collections
import os
import random

from tests import platform_case
from tests import test_severed_routers

SEED = os.environ.get("SEVERED_SOAK_SEED", "1")
SECONDS = float(os.environ.get("SEVERED_SOAK_SECONDS", "12"))
ROUTERS = int(os.environ.get("SEVERED_SOAK_ROUTERS", "4"))
CALLERS = 2 * ROUTERS
CUT_SECONDS = 1.0, 5.0
KEEPER_PAUSE_SECONDS = 5.0, 9.0
CALM_SECONDS = 3.0
CHECKS = 30


class TestSeries(test_severed_routers.SeveredCase, platform_case.FaultCase):
    """Cuts, signals and changes that come in series and overlap."""

    routers = ROUTERS

    async def asyncSetUp(self):
        self.rng = random.Random(SEED)
        await super().asyncSetUp()

    async def sever(self):
        """Cut some routers off from all targets for a while."""
        names = self.rng.sample(
            self.router_names, self.rng.randrange(1, self.routers)
        )
        self.how = self.rng.choice(("reset", "refuse"))
        self.severed.update(names)
        await asyncio.sleep(self.rng.uniform(*CUT_SECONDS))
        self.severed.difference_update(names)

    async def disturb_keeper_at_times(self):
        for _ in range(int(SECONDS // KEEPER_PAUSE_SECONDS[1])):
            await asyncio.sleep(self.rng.uniform(*KEEPER_PAUSE_SECONDS))
            await self.rng.choice((self.freeze_keeper, self.restart_keeper))()

    async def test_requests_run_once_and_callers_are_served_afterwards(self):
        """Guards against second runs, broken promises and lasting harm."""
        callers = [
            asyncio.ensure_future(self.call_until_stopped(n, is_same=False))
            for n in range(CALLERS)
        ]
        keeper_faults = asyncio.ensure_future(self.disturb_keeper_at_times())
        await self.inject(
            (self.sever, self.restart_router, self.freeze_router), SECONDS
        )
        await keeper_faults
        self.stopped = True
        await asyncio.wait_for(asyncio.gather(*callers), 30.0)
        runs = collections.Counter()
        for replica in self.all_replicas:
            runs.update(replica.ran)
        doubled = [
            name for name, n in runs.items() if n > 1 and "-unsafe-" in name
        ]
        self.assertEqual([], doubled)
        promised = [name for name in self.refused if "-unsafe-" in name]
        self.assertEqual([], [name for name in promised if runs[name]])
        await asyncio.sleep(CALM_SECONDS)
        self.answers.clear()
        await self.call_all(CHECKS / self.routers / test_severed_routers.RATE)
        await asyncio.gather(*self.calls)
        self.assertEqual(1.0, self.served(self.router_names, 0.0))
