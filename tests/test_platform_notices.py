"""Replicas that rest and leave, before a fleet on the platform's protocol.

``PLATFORM_SOAK_SEED`` chooses the series of faults, ``PLATFORM_SOAK_SECONDS``
its length and ``PLATFORM_SOAK_ROUTERS`` the number of routers.
"""

import asyncio
import collections
import os
import random
import time

from amaranthring.testing import compliance
from tests import platform_case

SEED = os.environ.get("PLATFORM_SOAK_SEED", "1")
SECONDS = float(os.environ.get("PLATFORM_SOAK_SECONDS", "15"))
ROUTERS = int(os.environ.get("PLATFORM_SOAK_ROUTERS", "3"))
CALLERS = 4 * ROUTERS
RESTS = ("0.5", "1", "2.5", "4", "soon", "-1", "1e9")


class TestSeries(platform_case.FaultCase):
    """Rests, departures, signals and changes that come in series."""

    routers = ROUTERS
    replicas = 4

    async def asyncSetUp(self):
        self.rng = random.Random(SEED)
        self.names = 0
        await super().asyncSetUp()
        self.active = list(self.all_replicas)

    async def test_rests_and_departures_are_observed(self):
        """Guards against requests to resting and leaving replicas."""
        callers = [
            asyncio.ensure_future(self.call_until_stopped(number))
            for number in range(CALLERS)
        ]
        await self.inject_faults()
        self.stopped = True
        await asyncio.wait_for(asyncio.gather(*callers), 20.0)
        for replica in self.all_replicas:
            for router, told in replica.told.items():
                stops = self.frozen[router]
                self.assertLessEqual(
                    told.most_during_rests(stops),
                    compliance.MAX_DURING_REST,
                    router,
                )
                self.assertEqual(0, told.after_departure(stops), router)
        ran = sum((r.ran for r in self.all_replicas), collections.Counter())
        self.assertEqual(set(), self.refused & set(ran))
        twice = [name for name, n in ran.items() if n > 1 and "unsafe" in name]
        self.assertEqual([], twice)
        conclusive = compliance.is_conclusive(self.statuses)
        self.assertTrue(conclusive, self.statuses)

    # -- faults ----------------------------------------------------------

    async def inject_faults(self):
        kinds = (
            self.rest, self.rest, self.rest, self.leave, self.restart_router,
            self.freeze_router, self.freeze_keeper, self.configure,
        )  # fmt: skip
        await self.inject(kinds, SECONDS)

    async def rest(self):
        """Let one, two or all replicas refuse requests for a while."""
        count = self.rng.choice((1, 1, 2, len(self.active)))
        for replica in self.rng.sample(
            self.active, min(count, len(self.active))
        ):
            replica.rest = self.rng.choice(RESTS)
            seconds = self.rng.uniform(0.1, 1.5)
            replica.rest_until = time.monotonic() + seconds

    async def leave(self):
        """Replace a replica; its answers alone tell that it leaves."""
        staying = [r for r in self.active if not r.leaving]
        if len(staying) < 3:
            return
        replica = self.rng.choice(staying)
        replica.leaving = True
        self.names += 1
        self.active.append(await self.add_replica(f"n{self.names}"))
        await asyncio.sleep(self.rng.uniform(3.0, 5.0))
        self.active.remove(replica)
        self.heartbeats[replica.name].cancel()
        replica.stop()
