"""Engines and replicas that ask for rest or leave, on the own interface."""

import asyncio
import dataclasses
import time

from amaranthring import errors
from amaranthring.core import records
from amaranthring.targets import notices
from amaranthring.targets import table as tables
from amaranthring.testing import in_process_callers
from tests import test_chats
from tests import test_services


def plan(stand_in, fault, **more):
    stand_in.planned_fault = {"fault": fault, "at": 0, "times": 1} | more


class TestEngine(test_chats.ChatCase):
    """Chats while an engine rests or leaves."""

    async def test_resting_engine_gets_no_request(self):
        """Guards against sending on to an engine that asked for rest."""
        other = self.local.add_engine("e2")
        router = self.local.add_router()
        plan(self.engine, "rest", seconds=30)
        for stream in (True, False, True):
            body = in_process_callers.chat_body(stream=stream)
            self.assertEqual(200, (await router.chat(body)).code)
        self.assertEqual((1, 3), (self.engine.received, len(other.runs)))
        self.assert_idle(router)

    async def test_engine_is_used_again_after_its_rest(self):
        router = self.local.add_router()
        plan(self.engine, "rest", seconds=0.3)
        body = in_process_callers.chat_body()
        await router.chat(body)
        self.assertEqual(1, self.engine.received)
        await asyncio.sleep(0.35)
        self.assert_complete(await router.chat(body), body)

    async def test_engine_that_starts_again_does_not_rest(self):
        """Guards against a rest that outlives its process."""
        router = self.local.add_router()
        plan(self.engine, "rest", seconds=30)
        body = in_process_callers.chat_body()
        await router.chat(body)
        targets = router.fakes.targets
        targets["e1"] = dataclasses.replace(targets["e1"], incarnation=2)
        self.assert_complete(await router.chat(body), body)

    async def test_callers_hear_when_all_engines_rest(self):
        """Guards against a time to come back that is too short."""
        self.local.add_engine("e2")
        router = self.local.add_router()
        for seconds, stand_in in zip(
            (20, 40), self.local.engines.values(), strict=True
        ):
            plan(stand_in, "rest", seconds=seconds)
        for _ in range(3):
            started = time.monotonic()
            got = await router.chat(in_process_callers.chat_body())
            self.assertLess(time.monotonic() - started, 1.0)
            self.assertEqual(503, got.code)
            self.assertEqual("not-run", got.headers["Amaranthring-Outcome"])
            self.assertIn(float(got.headers["Retry-After"]), (19.0, 20.0))
        received = [e.received for e in self.local.engines.values()]
        self.assertEqual([1, 1], received)

    async def test_stream_is_not_resumed_at_a_resting_engine(self):
        """Guards against resuming or cancelling at a resting engine."""
        other = self.local.add_engine("e2")
        router = self.local.add_router()
        plan(self.engine, "drop")
        self.engine.planned_fault["at"] = 3
        self.engine.token_seconds = 0.05
        body = in_process_callers.chat_body()
        chat = asyncio.ensure_future(router.chat(body))
        await in_process_callers.wait_until(lambda: self.engine.runs)
        router.fakes.needs.notices.rests.begin("e1.1", 30.0, "another")
        self.assert_complete(await chat, body)
        self.assertEqual(1, self.engine.received)
        self.assertEqual(3, other.runs[0]["start"])

    async def test_leaving_engine_gets_no_request(self):
        """Guards against departures that only announcements tell."""
        other = self.local.add_engine("e2")
        router = self.local.add_router()
        left = []
        router.fakes.needs.notices.mark_leaving = lambda *who: left.append(who)
        self.engine.leaving = True
        for stream in (False, True, False):
            body = in_process_callers.chat_body(stream=stream)
            self.assertEqual(200, (await router.chat(body)).code)
        self.assertEqual((1, 2), (len(self.engine.runs), len(other.runs)))
        self.assertEqual([("e1", 1)], left)

    async def test_stream_of_a_leaving_engine_is_resumed_there(self):
        """Guards against cutting off streams of a leaving engine."""
        self.local.add_engine("e2")
        router = self.local.add_router()
        self.engine.leaving = True
        plan(self.engine, "drop")
        self.engine.planned_fault["at"] = 3
        body = in_process_callers.chat_body()
        self.assert_complete(await router.chat(body), body)
        self.assertEqual(1, router.fakes.needs.metrics.counters["way.resumed"])

    async def test_malformed_headers_keep_no_chat_away(self):
        """Guards against losing an engine to a malformed header."""
        router = self.local.add_router()
        for seconds in ("soon", "-1", "1e9", ""):
            plan(self.engine, "rest", seconds=seconds)
            await router.chat(in_process_callers.chat_body())
            body = in_process_callers.chat_body()
            self.assert_complete(await router.chat(body), body)

    async def test_account_leaves_engines_for_others(self):
        """Guards against one account that makes all engines rest."""
        for name in ("e2", "e3"):
            self.local.add_engine(name)
        router = self.local.add_router()
        odd = in_process_callers.chat_body(
            stand_in={"fault": "rest", "seconds": 30}
        )
        for _ in range(3):
            refused = await router.chat(odd)
            self.assertIn(refused.code, (502, 503))
            self.assertEqual(
                "not-run", refused.headers["Amaranthring-Outcome"]
            )
            self.assertGreater(float(refused.headers["Retry-After"]), 25.0)
            got = await router.post(
                "/v1/chat/completions",
                in_process_callers.chat_body(),
                in_process_callers.fakes.OTHER_TOKEN,
            )
            self.assertEqual(200, got.code)


class TestService(test_services.ServiceCase):
    """Calls while a replica rests or leaves."""

    async def test_resting_replica_gets_no_call(self):
        """Guards against sending on to a replica that asked for rest."""
        other = self.local.add_booking("b2")
        self.start_routers()
        refused = await self.one.book("a", "k", fault="rest", seconds=30)
        self.assert_response(refused, 503, "not-run")
        received = self.replica.received + other.received
        self.assertEqual(2, received)
        for key in ("", "k2"):
            got = await self.one.book("b", key)
            self.assert_response(got, 503, "not-run")
            self.assertGreater(float(got.headers["Retry-After"]), 25)
        self.assertEqual(received, self.replica.received + other.received)

    async def test_stored_answer_while_all_replicas_rest(self):
        """Guards against refusing a resend that needs no replica."""
        first = await self.one.book("a", "k")
        await self.one.book("b", "k2", fault="rest", seconds=30)
        again = await self.one.book("a", "k")
        self.assert_response(again, 200, "ran")
        self.assertEqual(first.body, again.body)

    async def test_rests_are_of_one_router(self):
        """Guards against a rest kept by routers that were not asked."""
        await self.one.book("a", "k", fault="rest", seconds=30)
        self.assert_response(await self.two.book("b", "k2"), 200, "ran")

    async def test_leaving_replica_gets_no_call(self):
        """Guards against departures that only announcements tell."""
        other = self.local.add_booking("b2")
        self.start_routers()
        self.replica.leaving = True
        for number in range(4):
            got = await self.one.book("a", f"k{number}")
            self.assert_response(got, 200, "ran")
        self.assertEqual((1, 3), (self.replica.received, other.received))


class TestIncarnations(test_chats.ChatCase):
    """Notices concern one incarnation of a target."""

    async def test_next_incarnation_neither_rests_nor_leaves(self):
        """Guards against notices that outlive their process."""
        target = self.local.targets[0]
        observer = notices.TargetNotices()
        observer.rests.begin("e1.1", 30.0, "acme")
        observer.left_at["e1.1"] = 0.0
        with self.assertRaises(errors.TargetRestingError):
            observer.check(target)
        observer.check(dataclasses.replace(target, incarnation=2))

    async def test_table_marks_the_incarnation_that_leaves(self):
        """Guards against a late departure of a former process."""
        table = tables.TargetTable("dc1")
        target = self.local.targets[0]
        table.announce(target)
        table.mark_leaving("e1", 0)
        self.assertEqual(records.TargetState.READY, table.state("e1"))
        table.mark_leaving("e1", 1)
        self.assertEqual(records.TargetState.LEAVING, table.state("e1"))
        self.assertEqual([], table.eligible(target.kind, "m1"))
