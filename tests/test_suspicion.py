"""Quarantine of requests that crash their targets."""

import asyncio
import dataclasses
import unittest
import unittest.mock

from amaranthring import errors
from amaranthring.core import records
from amaranthring.policy import suspects
from amaranthring.routers import suspicion
from amaranthring.targets import liveness
from amaranthring.testing import fake_network
from amaranthring.testing import in_process_routers


class TestSuspicion(unittest.IsolatedAsyncioTestCase):
    """Six routers in three data centres and eight engines."""

    def setUp(self):
        self.fleet = in_process_routers.Routers(
            6, 8, data_centres=("dc1", "dc2", "dc3")
        )

    async def admit(self, body, router, excluded=()):
        return await self.fleet.admit(
            1, router, excluded, chat=body, body_digest=body
        )

    async def crash(self, name):
        """Kill engine `name`; routers report the requests that ran there."""
        ran = [
            (router, grant)
            for router, grant in list(self.fleet.grants.values())
            if grant.target.name == name
        ]
        for router, grant in ran:
            serial = int(grant.grant_id.rpartition(":")[2])
            request = router.placer.held.by_serial[serial].request
            self.fleet.release(grant, records.AttemptEnd.TARGET_LOST)
            router.suspicion.target_lost(name)
            await router.suspicion.report_crash(request, grant.target)
            await asyncio.gather(*router.suspicion.tasks)
        self.fleet.set_state(name, records.TargetState.LOST)
        self.fleet.clock.now += 10.0

    async def test_second_crash_condemns_through_any_router(self):
        # A retry through another router must not crash engine after engine.
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

    async def test_suspect_survives_the_loss_of_a_router(self):
        first = await self.admit("bad", "r0")
        await self.crash(first.target.name)
        holder = self.fleet.routers[0].directory.shards.holders_of("bad")[0]
        self.fleet.stop(holder)
        router = self.fleet.live()[0].name
        second = await self.admit("bad", router)
        await self.crash(second.target.name)
        self.assertIn("bad", self.fleet.quarantined)

    async def test_request_beside_the_culprit_is_cleared(self):
        # A request that only ran beside the culprit must not be condemned.
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

    async def test_rack_failure_makes_no_suspects(self):
        # Deaths of many targets at once must not make their requests
        # suspects.
        grants = [await self.admit(f"body-{n}", "r0") for n in range(8)]
        router = self.fleet.by_name["r0"]
        for grant in grants:
            router.suspicion.target_lost(grant.target.name)
        for number, grant in enumerate(grants):
            serial = int(grant.grant_id.rpartition(":")[2])
            request = router.placer.held.by_serial[serial].request
            await router.suspicion.report_crash(request, grant.target)
            entries = [
                r.suspicion.suspect_of(f"body-{number}")
                for r in self.fleet.live()
            ]
            self.assertEqual(set(entries), {None})

    async def test_run_without_isolation_never_condemns(self):
        # Two concurrent copies of a body each run beside a culprit; neither
        # run was isolated, so the body must not be condemned.
        one = await self.admit("twin", "r0")
        two = await self.fleet.admit(
            7, "r1", [one.target.name], chat="twin", body_digest="twin"
        )
        await self.crash(one.target.name)
        await self.crash(two.target.name)
        self.assertEqual(self.fleet.quarantined, [])


LEASE_SECONDS = 0.1


class ScriptedInquiry:
    """An inquiry whose verdict the test sets."""

    def __init__(self, verdict=liveness.Verdict.SILENT):
        self.verdict = verdict
        self.decided = asyncio.Event()

    def decide(self, verdict):
        self.verdict = verdict
        self.decided.set()

    async def wait(self, _seconds):
        return self.verdict

    async def settle(self):
        await self.decided.wait()
        return self.verdict

    def stop(self):
        self.decided.set()


class CrashCase(unittest.IsolatedAsyncioTestCase):
    """Six routers in three data centres and eight engines."""

    def setUp(self):
        self.fleet = in_process_routers.Routers(
            6, 8, data_centres=("dc1", "dc2", "dc3")
        )
        self.fleet.config.preset.lease_seconds = LEASE_SECONDS
        self.patch(suspicion, "RESTART_SECONDS", 0.0)
        self.patch(suspicion, "REPEAT_SECONDS", 0.0)

    def patch(self, module, name, value):
        patcher = unittest.mock.patch.object(module, name, value)
        patcher.start()
        self.addCleanup(patcher.stop)

    async def admit(self, body, router, excluded=()):
        return await self.fleet.admit(
            1, router, excluded, chat=body, body_digest=body
        )

    async def break_off(self, grant, inquiry=None, seconds=0.0):
        """Let the target break off the request, as its router sees it."""
        router, _ = self.fleet.grants[grant.grant_id]
        serial = int(grant.grant_id.rpartition(":")[2])
        request = router.placer.held.by_serial[serial].request
        await router.suspicion.report_crash(
            request, grant.target, inquiry, seconds
        )
        self.fleet.release(grant, records.AttemptEnd.TARGET_LOST)
        return router

    async def settle(self):
        """Wait until no router has a report left to settle."""
        while tasks := [
            task
            for router in self.fleet.live()
            for task in router.suspicion.tasks
        ]:
            await asyncio.gather(*tasks)


class TestUnprovenCrash(CrashCase):
    """Targets that broke off and are silent, but may not have crashed."""

    async def crash_twice(self):
        inquiries = [ScriptedInquiry(), ScriptedInquiry()]
        for router, inquiry in zip(("r0", "r4"), inquiries, strict=True):
            grant = await self.admit("bad", router)
            await self.break_off(grant, inquiry)
        self.assertEqual(self.fleet.quarantined, [])
        return inquiries

    async def test_request_waits_for_proof(self):
        """A third engine must not crash before the first two have ended."""
        first, second = await self.crash_twice()
        for router in self.fleet.live():
            with self.assertRaises(errors.SuspectedError) as caught:
                await self.admit("bad", router.name)
            self.assertGreater(caught.exception.retry_after, 0)
        first.decide(liveness.Verdict.DEAD)
        second.decide(liveness.Verdict.DEAD)
        await self.settle()
        self.assertEqual(self.fleet.quarantined, ["bad"])

    async def test_stopped_targets_condemn_nothing(self):
        """Processes that were only stopped answer when they are resumed."""
        first, second = await self.crash_twice()
        first.decide(liveness.Verdict.DEAD)
        second.decide(liveness.Verdict.ALIVE)
        await self.settle()
        self.assertEqual(self.fleet.quarantined, [])
        grant = await self.admit("bad", "r2")
        self.fleet.release(grant)

    async def test_restarted_process_has_crashed(self):
        """Another process answers at the address of the one that crashed."""
        first, second = await self.crash_twice()
        for target in list(self.fleet.targets):
            for router in self.fleet.live():
                router.table.put(dataclasses.replace(target, incarnation=2))
        first.decide(liveness.Verdict.ALIVE)
        second.decide(liveness.Verdict.ALIVE)
        await self.settle()
        self.assertEqual(self.fleet.quarantined, ["bad"])

    async def test_target_that_crashes_after_its_answer(self):
        """A stopped engine is resumed, answers, and goes on with the request.

        It crashes although its lease had run out and nobody waits for it.
        """
        await self.break_off(await self.admit("bad", "r0"))
        inquiry = ScriptedInquiry()
        second = await self.admit("bad", "r4")
        await self.break_off(second, inquiry)
        inquiry.decide(liveness.Verdict.ALIVE)
        await asyncio.sleep(LEASE_SECONDS / 2)
        for router in self.fleet.live():
            target = dataclasses.replace(second.target, incarnation=2)
            router.table.put(target)
        await self.settle()
        self.assertEqual(self.fleet.quarantined, ["bad"])

    async def test_completed_run_is_not_suspected_again(self):
        """Proof that comes after a completed run must not undo it."""
        inquiry = ScriptedInquiry()
        await self.break_off(await self.admit("good", "r0"), inquiry)
        self.fleet.release(await self.admit("good", "r1"))
        inquiry.decide(liveness.Verdict.DEAD)
        await self.settle()
        entries = [r.suspicion.suspect_of("good") for r in self.fleet.live()]
        self.assertEqual(set(entries), {None})

    async def test_crash_that_shows_later_is_blamed(self):
        """The target answered an inquiry while its process was ending."""
        grant = await self.admit("bad", "r0")
        router, _ = self.fleet.grants[grant.grant_id]
        self.fleet.config.presets["ordinary"].lease_seconds = 0.0
        request = fake_network.request(chat="bad", body_digest="bad")
        inquiry = ScriptedInquiry(liveness.Verdict.ALIVE)
        router.suspicion.watch_target(request, grant.target, inquiry)
        replaced = dataclasses.replace(grant.target, incarnation=2)
        router.table.put(replaced)
        await self.settle()
        again = await self.admit("bad", "r3")
        self.assertNotEqual(again.target.name, grant.target.name)


class TestUnacknowledgedReport(CrashCase):
    """Reports that reach no holder of the suspect."""

    async def report_in_vain(self):
        """Report a crash while no holder answers; return the router."""
        self.holders = self.fleet.routers[0].directory.shards.holders_of("bad")
        names = [router.name for router in self.fleet.live()]
        name = next(name for name in names if name not in self.holders)
        self.grant = await self.admit("bad", name)
        self.fleet.network.pause = self.no_pause
        self.fleet.network.frozen.update(self.holders)
        await self.break_off(self.grant)
        self.fleet.network.frozen.clear()
        return self.fleet.by_name[name]

    async def test_own_router_isolates_the_retry(self):
        """Stalled holders must not let a culprit run as an ordinary request.

        It would crash its next engine beside suspects that did nothing.
        """
        router = await self.report_in_vain()
        again = await self.admit("bad", router.name)
        self.assertNotEqual(again.target.name, self.grant.target.name)
        held = router.placer.held.by_serial.values()
        self.assertTrue(all(h.suspect for h in held))

    async def test_report_is_repeated(self):
        """A report that is dropped must not make the request unsuspected."""
        await self.report_in_vain()
        await self.settle()
        holder = self.fleet.by_name[self.holders[0]]
        entry = holder.suspicion.suspect_of("bad")
        self.assertEqual(entry.targets, [self.grant.target.name])

    async def test_report_is_not_repeated_after_a_completed_run(self):
        """It would make a suspect of a request that has been cleared."""
        router = await self.report_in_vain()
        self.fleet.release(await self.admit("bad", router.name))
        await self.settle()
        entries = [r.suspicion.suspect_of("bad") for r in self.fleet.live()]
        self.assertFalse(any(entries))

    async def no_pause(self, _seconds):
        await asyncio.sleep(0)


class TestOtherCauses(CrashCase):
    """Requests that another request made look guilty."""

    async def test_suspect_beside_an_unsuspected_culprit(self):
        """Two copies of a culprit run at once, and a suspect beside them.

        The suspect ran isolated, but the second copy was no suspect when it
        was sent; it may have caused both crashes.
        """
        others = [f"e{number}" for number in range(2, 8)]
        first = ["e0", *others]
        second = ["e1", *others]
        good = await self.admit("good", "r0", first)
        bad = await self.admit("bad", "r1", first)
        copy = await self.admit("bad", "r2", second)
        self.assertEqual(good.target, bad.target)
        await self.break_off(good)
        again = await self.admit("good", "r3", second)
        self.assertEqual(again.target, copy.target)
        await self.break_off(bad)
        await self.break_off(again)
        await self.break_off(copy)
        await self.settle()
        self.assertEqual(self.fleet.quarantined, [])
        self.fleet.release(await self.admit("good", "r5"))

    async def test_crash_that_another_request_explains(self):
        """A suspect of one culprit runs beside the first run of another.

        It was on both crashed targets, but the first crash is explained.
        """
        others = [f"e{number}" for number in range(3, 8)]
        first = ["e1", "e2", *others]
        bad = await self.admit("bad", "r1", first)
        good = await self.admit("good", "r0", first)
        await self.break_off(bad)
        await self.break_off(good)
        bad = await self.admit("bad", "r1", ["e0", "e2", *others])
        await self.break_off(bad)
        await self.settle()
        good = await self.admit("good", "r0", ["e0", "e1", *others])
        worse = await self.admit("worse", "r2", ["e0", "e1", *others])
        self.assertEqual(good.target, worse.target)
        await self.break_off(worse)
        await self.break_off(good)
        await self.settle()
        self.assertEqual(self.fleet.quarantined, ["bad"])
        self.fleet.release(await self.admit("good", "r4"))

    async def test_copy_does_not_prove_the_crash_of_an_isolated_run(self):
        """Another router saw the same process end under a copy.

        It did not look for other causes of the crash.
        """
        await self.break_off(await self.admit("good", "r0"))
        again = await self.admit("good", "r1")
        request = fake_network.request(chat="good", body_digest="good")
        await self.break_off(again, ScriptedInquiry())
        tracker = self.fleet.by_name["r2"].suspicion
        await tracker.report_crash(request, again.target)
        await asyncio.gather(*tracker.tasks)
        self.assertEqual(self.fleet.quarantined, [])

    async def test_request_sent_after_the_crash(self):
        """The kernel accepts requests for a process that has crashed."""
        grant = await self.admit("bad", "r0")
        late = await self.admit("late", "r1", self.all_but(grant))
        await self.break_off(grant, ScriptedInquiry())
        self.fleet.clock.now += 2.0
        await self.break_off(late, None, seconds=1.0)
        entries = [r.suspicion.suspect_of("late") for r in self.fleet.live()]
        self.assertEqual(set(entries), {None})

    async def test_target_that_crashes_after_a_stall(self):
        """A stall that looked like a crash must not excuse later requests."""
        inquiry = ScriptedInquiry()
        grant = await self.admit("good", "r0")
        await self.break_off(grant, inquiry)
        inquiry.decide(liveness.Verdict.ALIVE)
        await asyncio.sleep(LEASE_SECONDS / 2)
        self.fleet.clock.now += 2.0
        bad = await self.admit("bad", "r1", self.all_but(grant))
        await self.break_off(bad)
        entry = self.holder("bad").suspicion.suspect_of("bad")
        self.assertEqual(entry.targets, [grant.target.name])

    async def test_target_that_crashes_long_after_a_report(self):
        """A target that is still given requests had not crashed."""
        grant = await self.admit("good", "r0")
        await self.break_off(grant, ScriptedInquiry())
        self.fleet.clock.now += 2 * suspects.CRASH_SECONDS
        bad = await self.admit("bad", "r1", self.all_but(grant))
        await self.break_off(bad)
        entry = self.holder("bad").suspicion.suspect_of("bad")
        self.assertEqual(entry.targets, [grant.target.name])

    async def test_targets_that_come_back_after_a_partition(self):
        """Many targets are lost at once and return with their processes."""
        grants = [await self.admit(f"body-{n}", "r0") for n in range(3)]
        tracker = self.fleet.by_name["r0"].suspicion
        for grant in grants:
            tracker.target_lost(grant.target.name)
        for grant in grants:
            await self.break_off(grant, ScriptedInquiry())
        self.fleet.clock.now += suspects.CORRELATION_SECONDS + 1.0
        bad = await self.admit("bad", "r0", self.all_but(grants[0]))
        await self.break_off(bad)
        entry = self.holder("bad").suspicion.suspect_of("bad")
        self.assertEqual(entry.targets, [grants[0].target.name])

    def holder(self, body):
        holders = self.fleet.routers[0].directory.shards.holders_of(body)
        return self.fleet.by_name[holders[0]]

    async def test_run_without_an_owner_is_not_isolated(self):
        """Without an owner, nothing keeps other suspects off the target."""
        await self.break_off(await self.admit("bad", "r0"))
        router = self.fleet.by_name["r1"]
        request = fake_network.request(chat="bad", body_digest="bad")
        router.suspicion.suspect_started(request, "e5", "")
        target = fake_network.target("e5")
        await router.suspicion.report_crash(request, target)
        await self.settle()
        self.assertEqual(self.fleet.quarantined, [])

    def all_but(self, grant):
        names = [target.name for target in self.fleet.targets]
        return [name for name in names if name != grant.target.name]
