"""Admission when owners freeze, die or disagree, or messages are lost."""

import asyncio
import unittest

from amaranthring import errors
from amaranthring.core import records
from amaranthring.policy import leases
from amaranthring.testing import in_process_routers


async def skip_timeout(_seconds):
    """Skip the timeout of an unanswered call."""


class TestOwnerChanges(unittest.IsolatedAsyncioTestCase):
    """Four routers in one data centre, four engines."""

    def setUp(self):
        self.fleet = in_process_routers.Routers(4, 4, capacity=2)
        self.fleet.network.pause = skip_timeout

    def other(self):
        owner = self.fleet.owner()
        return next(each for each in self.fleet.live() if each is not owner)

    async def fill(self, count=8, router=None):
        for number in range(count):
            await self.fleet.admit(number, router, chat=str(number))

    async def test_frozen_owner_costs_one_timeout(self):
        # Only the first request may wait for a frozen owner's timeout.
        await self.fill(1)
        at = self.other()
        self.fleet.network.frozen.add(self.fleet.owner().name)
        for number in range(5):
            await self.fleet.admit(number + 1, at.name, chat="c")
        silent = at.placer.metrics.counters["placing.owner-silent"]
        self.assertEqual(silent, 1)

    async def test_deputy_of_a_frozen_owner_respects_capacity(self):
        # A deputy that does not know the held grants would overload engines.
        await self.fill(1)
        at = self.other().name
        await self.fill(7, at)
        self.fleet.network.frozen.add(self.fleet.owner().name)
        full = asyncio.ensure_future(self.fleet.admit(9, at, chat="x"))
        await asyncio.sleep(0.01)
        self.assertFalse(full.done())
        self.assertLessEqual(max(self.fleet.in_flight().values()), 2)
        full.cancel()

    async def test_queued_request_is_repeated_when_its_owner_dies(self):
        # A request queued at an owner that dies must be asked again.
        await self.fill(1)
        await self.fill(7, self.other().name)
        owner = self.fleet.owner()
        at = self.other()
        pending = asyncio.ensure_future(
            self.fleet.admit(20, at.name, chat="w")
        )
        await asyncio.sleep(0.01)
        self.fleet.stop(owner.name)
        await asyncio.sleep(0.01)
        for _, grant in list(self.fleet.grants.values()):
            self.fleet.release(grant)
        self.assertIsNotNone(await asyncio.wait_for(pending, 5))

    async def test_lost_release_is_repaired(self):
        # A lost release must not keep an engine's capacity in use.
        await self.fill(4)
        self.fleet.network.is_dropped = lambda *_: True
        for _, grant in list(self.fleet.grants.values()):
            self.fleet.release(grant)
        self.fleet.network.is_dropped = lambda *_: False
        self.fleet.renew_leases()
        self.fleet.advance(leases.LEASE_SECONDS)
        self.assertEqual(self.fleet.counted_in_flight(), 0)

    async def test_lost_grant_message_is_repeated(self):
        # A lost grant message must not leave the request queued until its
        # deadline.
        await self.fill(1)
        at = self.other()
        await self.fill(7, at.name)
        pending = asyncio.ensure_future(self.fleet.admit(9, at.name, chat="w"))
        await asyncio.sleep(0.01)
        _, grant = next(iter(self.fleet.grants.values()))
        self.fleet.network.is_dropped = lambda _from, to, _message: (
            to == at.name
        )
        self.fleet.release(grant)
        self.fleet.network.is_dropped = lambda *_: False
        self.assertFalse(pending.done())
        self.fleet.renew_leases()
        self.assertIsNotNone(await asyncio.wait_for(pending, 5))

    async def test_leases_of_a_dead_entry_router_expire(self):
        await self.fill(1)
        at = self.other()
        await self.fill(7, at.name)
        self.fleet.network.frozen.add(at.name)
        self.fleet.advance(leases.LEASE_SECONDS + 0.1)
        self.assertEqual(len(self.fleet.owner().owners.cells), 1)
        self.assertEqual(self.fleet.counted_in_flight(), 0)

    async def test_leaving_owner_transfers_its_counts(self):
        await self.fill(8)
        owner = self.fleet.owner()
        self.fleet.leave(owner.name)
        self.assertEqual(owner.owners.cells, {})
        self.assertEqual(self.fleet.counted_in_flight(), 8)
        for _, grant in list(self.fleet.grants.values()):
            self.fleet.release(grant)
        self.assertEqual(self.fleet.counted_in_flight(), 0)

    async def test_cancelled_caller_leaves_the_queue(self):
        await self.fill(8)
        pending = asyncio.ensure_future(self.fleet.admit(9, chat="w"))
        await asyncio.sleep(0.01)
        pending.cancel()
        await asyncio.sleep(0.01)
        cell = next(iter(self.fleet.owner().owners.cells.values()))
        self.assertEqual(len(cell.queue), 0)

    async def test_deadline_ends_queueing(self):
        await self.fill(8)
        soon = self.fleet.clock.now + 0.05
        with self.assertRaises(errors.DeadlineError) as caught:
            await self.fleet.admit(9, chat="w", deadline=soon)
        self.assertEqual(caught.exception.outcome, errors.Outcome.NOT_RUN)
        self.assertIsNotNone(caught.exception.retry_after)

    async def test_drained_target_gets_no_new_work(self):
        # An engine drained by an operator must not get new requests.
        await self.fill(1)
        self.fleet.config.drained["e0"] = "maintenance"
        for router in self.fleet.live():
            router.owners.config_changed()
        await self.fill(5)
        self.assertLessEqual(self.fleet.in_flight()["e0"], 1)


class TestDataCentres(unittest.IsolatedAsyncioTestCase):
    """Two data centres with twenty engines each, in separate cells."""

    def setUp(self):
        self.fleet = in_process_routers.Routers(
            4, 40, data_centres=("dc1", "dc2"), capacity=1
        )
        self.fleet.network.pause = skip_timeout

    def data_centre(self, grant):
        return grant.target.data_centre

    async def test_requests_stay_in_their_data_centre(self):
        grant = await self.fleet.admit(0, "r0", chat="c")
        self.assertEqual(self.data_centre(grant), "dc1")

    async def test_full_data_centre_spills(self):
        data_centres = []
        for number in range(30):
            self.fleet.send_digests()
            grant = await self.fleet.admit(number, "r0", chat=str(number))
            data_centres.append(self.data_centre(grant))
        self.assertEqual(data_centres.count("dc1"), 20)

    async def test_partitioned_data_centre_serves_from_its_engines(self):
        # Partitioned data centres must serve from their own free engines.
        names = ["r0", "r1", "r2", "r3"]
        sides = {"r0": 0, "r2": 0, "r1": 1, "r3": 1}
        self.fleet.network.cut = {
            (a, b) for a in names for b in names if sides[a] != sides[b]
        }
        for router in self.fleet.live():
            side = sides[router.name]
            router.mesh.hidden = {n for n in names if sides[n] != side}
            router.mesh.changed()
        for router in ("r0", "r1", "r2", "r3"):
            for number in range(5):
                grant = await self.fleet.admit(number, router, chat="c")
                here = self.fleet.network.data_centres[router]
                self.assertEqual(self.data_centre(grant), here)

    async def test_unreachable_owners_fall_back_to_local_estimates(self):
        # A router without any link must serve from local estimates.
        at = self.fleet.by_name["r0"]
        names = ["r1", "r2", "r3"]
        self.fleet.network.cut = {("r0", n) for n in names}
        grant = await self.fleet.admit(0, "r0", chat="c")
        self.assertIn(grant.owner, ("", "r0"))
        self.assertEqual(
            at.table.state(grant.target.name), records.TargetState.READY
        )


class TestDeputy(unittest.IsolatedAsyncioTestCase):
    """Six routers, five engines with three requests each."""

    async def test_deputy_knows_what_all_routers_hold(self):
        # A deputy that knows only the grants of the first router that asks
        # would exceed the bound.
        fleet = in_process_routers.Routers(6, 5)
        fleet.network.pause = skip_timeout
        for number in range(15):
            await fleet.admit(number, chat=str(number))
        owner = fleet.owner().name
        fleet.network.frozen.add(owner)
        at = next(r.name for r in fleet.live() if r.name != owner)
        await fleet.admit(20, at, chat="0")
        deputy = next(
            r for r in fleet.live() if r.name != owner and r.owners.cells
        )
        cell = next(iter(deputy.owners.cells.values()))
        frozen = sum(
            g.grant_id.startswith(owner) for _, g in fleet.grants.values()
        )
        self.assertEqual(len(cell.counts.held), 16 - frozen)
