"""Requests that crash their targets, and those that ran beside them."""

import asyncio
import unittest

from amaranthring import errors
from amaranthring.core import records
from amaranthring.testing import assembled


class TestSuspicion(unittest.IsolatedAsyncioTestCase):
    """Six routers in three data centres and eight engines."""

    def setUp(self):
        self.fleet = assembled.Routers(
            6, 8, data_centres=("dc1", "dc2", "dc3")
        )

    async def admit(self, body, router, excluded=()):
        return await self.fleet.admit(
            1, router, excluded, chat=body, body_digest=body
        )

    async def crash(self, name):
        """Let engine `name` die; routers report what they ran there."""
        ran = [
            (at, grant)
            for at, grant in list(self.fleet.grants.values())
            if grant.target.name == name
        ]
        for at, grant in ran:
            serial = int(grant.grant_id.rpartition(":")[2])
            request = at.placer.held.by_serial[serial].request
            self.fleet.release(grant, records.End.TARGET_LOST)
            at.suspicion.target_lost(name)
            await at.suspicion.report_crash(request, grant.target)
            await asyncio.gather(*at.suspicion.tasks)
        self.fleet.set_state(name, records.TargetState.LOST)
        self.fleet.clock.now += 10.0

    async def test_second_death_condemns_through_any_router(self):
        # One request crashed engine after engine: its caller sent it again
        # through other routers, which knew nothing of it.
        first = await self.admit("bad", "r0")
        await self.crash(first.target.name)
        second = await self.admit("bad", "r4")
        self.assertNotEqual(second.target, first.target)
        self.assertEqual(self.fleet.quarantined, [])
        await self.crash(second.target.name)
        self.assertIn("bad", self.fleet.quarantined)
        for router in self.fleet.live():
            with self.assertRaises(errors.QuarantinedError):
                await self.admit("bad", router.name)

    async def test_suspicion_outlives_the_loss_of_a_router(self):
        first = await self.admit("bad", "r0")
        await self.crash(first.target.name)
        holder = self.fleet.routers[0].directory.shards.holders_of("bad")[0]
        self.fleet.stop(holder)
        at = self.fleet.live()[0].name
        second = await self.admit("bad", at)
        await self.crash(second.target.name)
        self.assertIn("bad", self.fleet.quarantined)

    async def test_innocent_beside_the_culprit_is_cleared(self):
        # Requests that only ran beside one that crashes engines were
        # refused for good with it.
        others = [f"e{number}" for number in range(1, 8)]
        bad = await self.admit("bad", "r0", others)
        good = await self.admit("good", "r1", others)
        self.assertEqual(good.target, bad.target)
        await self.crash(bad.target.name)
        again = await self.admit("good", "r2")
        bad = await self.admit("bad", "r3")
        self.assertNotEqual(again.target, bad.target)
        self.fleet.release(again)
        await self.crash(bad.target.name)
        third = await self.admit("good", "r5")
        self.assertIsNotNone(third)
        self.assertEqual(self.fleet.quarantined, ["bad"])

    async def test_death_of_a_rack_makes_no_suspects(self):
        # A rack lost its power twice; everything that ran there both times
        # was refused for good.
        grants = [await self.admit(f"body-{n}", "r0") for n in range(8)]
        at = self.fleet.by_name["r0"]
        for grant in grants:
            at.suspicion.target_lost(grant.target.name)
        for number, grant in enumerate(grants):
            serial = int(grant.grant_id.rpartition(":")[2])
            request = at.placer.held.by_serial[serial].request
            await at.suspicion.report_crash(request, grant.target)
            held = [
                r.suspicion.of(f"body-{number}") for r in self.fleet.live()
            ]
            self.assertEqual(set(held), {None})

    async def test_run_that_was_not_apart_never_condemns(self):
        # A caller had sent the same body twice at once; both copies ran
        # beside a culprit each, and the body was refused for good.
        one = await self.admit("twin", "r0")
        two = await self.fleet.admit(
            7, "r1", [one.target.name], chat="twin", body_digest="twin"
        )
        await self.crash(one.target.name)
        await self.crash(two.target.name)
        self.assertEqual(self.fleet.quarantined, [])
