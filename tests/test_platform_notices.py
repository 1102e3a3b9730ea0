"""Replicas that rest and leave, before a fleet on the platform's protocol.

``PLATFORM_SOAK_SEED`` chooses the series of faults, ``PLATFORM_SOAK_SECONDS``
its length and ``PLATFORM_SOAK_ROUTERS`` the number of routers.
"""

import asyncio
import collections
import contextlib
import os
import random
import signal
import time

from amaranthring.testing import compliance
from tests import platform_case

SEED = os.environ.get("PLATFORM_SOAK_SEED", "1")
SECONDS = float(os.environ.get("PLATFORM_SOAK_SECONDS", "15"))
ROUTERS = int(os.environ.get("PLATFORM_SOAK_ROUTERS", "3"))
CALLERS = 4 * ROUTERS
RESTS = ("0.5", "1", "2.5", "4", "soon", "-1", "1e9")


class TestSeries(platform_case.PlatformCase):
    """Rests, departures, signals and changes that come in series."""

    routers = ROUTERS
    replicas = 4

    async def asyncSetUp(self):
        self.rng = random.Random(SEED)
        self.stopped = False
        self.statuses = collections.Counter()
        self.refused = set()
        self.busy = set()
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
        faults = []
        end = time.monotonic() + SECONDS
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.uniform(0.1, 0.7))
            faults.append(asyncio.ensure_future(self.rng.choice(kinds)()))
        await asyncio.gather(*faults)

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

    async def restart_router(self):
        async with self.undisturbed_router() as name:
            if name:
                how = self.rng.choice((signal.SIGTERM, signal.SIGKILL))
                await self.restart(name, how)

    async def freeze_router(self):
        async with self.undisturbed_router() as name:
            if name:
                await self.freeze(name, self.rng.uniform(0.2, 1.5))

    @contextlib.asynccontextmanager
    async def undisturbed_router(self):
        """Yield a router without a fault, unless it is the last one."""
        free = sorted(set(self.router_names) - self.busy)
        name = self.rng.choice(free) if len(free) > 1 else ""
        self.busy.add(name)
        try:
            yield name
        finally:
            self.busy.discard(name)

    async def freeze_keeper(self):
        """Cut all routers from their only keeper."""
        if "keeper" in self.busy:
            return
        self.busy.add("keeper")
        await self.freeze("keeper", self.rng.uniform(0.5, 3.0))
        self.busy.discard("keeper")

    # -- callers ---------------------------------------------------------

    async def call_until_stopped(self, number):
        sent = 0
        while not self.stopped:
            name = self.rng.choice(self.router_names)
            incarnation = self.incarnation(name)
            try:
                connection = await asyncio.wait_for(
                    asyncio.open_connection(self.ip(name), self.port), 1.0
                )
            except (OSError, TimeoutError):
                await asyncio.sleep(0.05)
                continue
            while not self.stopped and self.incarnation(name) == incarnation:
                sent += 1
                kind = self.rng.choice(tuple(platform_case.ROUTES))
                account = self.rng.choice(("alba", "bela"))
                request_id = f"{account}-{kind}-{number}-{sent}"
                response = await self.call_once(
                    connection, incarnation, request_id, kind
                )
                if response is None or not response.status:
                    break
                if response.headers.get("Connection") == "close":
                    break
            connection[1].close()

    async def call_once(self, connection, incarnation, request_id, kind):
        """Return the response, or None if the connection broke."""
        try:
            response = await asyncio.wait_for(
                self.call(connection, incarnation, request_id, kind), 8.0
            )
        except (OSError, TimeoutError):
            return None
        self.statuses[response.status] += 1
        if response.status == 503:
            self.refused.add(request_id)
            self.assertIn("Retry-After", response.headers)
            # Impatient: it comes back before it is told to.
            await asyncio.sleep(0.02)
        return response
