"""Streams before replicas of several versions, disturbed in series.

``VERSIONS_SOAK_SEED`` chooses the series of faults, ``VERSIONS_SOAK_SECONDS``
its length and ``VERSIONS_SOAK_ROUTERS`` the number of routers.
"""

import asyncio
import os
import random

from tests import version_case

SEED = os.environ.get("VERSIONS_SOAK_SEED", "1")
SECONDS = float(os.environ.get("VERSIONS_SOAK_SECONDS", "12"))
ROUTERS = int(os.environ.get("VERSIONS_SOAK_ROUTERS", "4"))
CALLERS = 5 * ROUTERS
BREAK_SHARE = 0.3
CUT_SECONDS = 0.5, 3.0
KEEPER_PAUSE_SECONDS = 5.0, 9.0
# From this long after the last fault on, routers and keepers are in touch.
CALM_SECONDS = 3.5
CHECKED_SECONDS = 4.0


class TestSeries(version_case.VersionCase):
    """Crashes, signals, cuts and changes that come in series and overlap."""

    routers = ROUTERS
    versions = {"v1": 3, "v1.1": 3}
    services = ("booking",)

    async def asyncSetUp(self):
        self.seed = SEED
        await super().asyncSetUp()
        self.rng = random.Random(SEED)
        for _ in range(2):
            await self.add("v1", "other")

    async def crash_one(self):
        """Crash a replica; it is back after a while."""
        able = [r for r in self.all_replicas if not r.crashed]
        if len(able) > 2:
            replica = self.rng.choice(able)
            replica.crash()
            await self.bring_back(replica)

    async def replace_one(self):
        """Replace a replica by one of another version."""
        able = [r for r in self.all_replicas if not r.crashed]
        if len(able) > 2:
            replica = self.rng.choice(able)
            version = self.rng.choice(("v1", "v1.1", "v1.2"))
            await self.add(version, replica.service)
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            replica.crash()

    async def sever(self):
        """Cut some routers off from all replicas for a while."""
        names = self.rng.sample(
            self.router_names, self.rng.randrange(1, self.routers)
        )
        self.severed.update(names)
        await asyncio.sleep(self.rng.uniform(*CUT_SECONDS))
        self.severed.difference_update(names)

    async def change_plan(self):
        """Let the route lead to one service, the other or both."""
        self.services = self.rng.choice(
            (("booking",), ("other",), ("booking", "other"))
        )
        if "keeper" not in self.busy:
            await self.configure()

    async def disturb_keeper_at_times(self):
        """Stop the keeper, or kill it, every few seconds."""
        for _ in range(int(SECONDS // KEEPER_PAUSE_SECONDS[1])):
            await asyncio.sleep(self.rng.uniform(*KEEPER_PAUSE_SECONDS))
            await self.rng.choice((self.freeze_keeper, self.restart_keeper))()

    async def wait_in_force(self):
        """Wait until the keeper takes plans again."""
        self.services = ("booking",)
        await self.configure()
        await asyncio.sleep(CALM_SECONDS)

    async def test_streams_are_whole_and_go_on_afterwards(self):
        """Guards against mixed streams, lost events and lasting harm."""
        callers = [
            asyncio.ensure_future(self.read_until_stopped(BREAK_SHARE))
            for _ in range(CALLERS)
        ]
        keeper_faults = asyncio.ensure_future(self.disturb_keeper_at_times())
        kinds = (
            self.crash_one,
            self.replace_one,
            self.sever,
            self.change_plan,
            self.restart_router,
            self.freeze_router,
        )
        await self.inject(kinds, SECONDS)
        await keeper_faults
        await self.wait_in_force()
        self.begun.clear()
        self.resumed.clear()
        await asyncio.sleep(CHECKED_SECONDS)
        self.stopped = True
        await asyncio.wait_for(asyncio.gather(*callers), 30.0)
        self.check()
        self.assertGreater(sum(self.begun), 0.9 * len(self.begun))
