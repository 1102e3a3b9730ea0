"""Allowances at targets that fall over when they turn requests away."""

import asyncio
import itertools
import time
import unittest
from unittest import mock

from amaranthring.forwarding import room_queue
from amaranthring.policy import bindings
from amaranthring.policy import brittleness
from amaranthring.testing import scripted_target
from tests import test_forwarding


def counts(own, others=0, routers=1, told=None, age=0.3, slots=8):
    told = routers if told is None else told
    return brittleness.Counts(slots, own, others, routers, told, age)


class TestAllowance(unittest.TestCase):
    """Allowances of all routers at one target."""

    def test_they_add_up_to_the_places(self):
        """Guards against routers that all take the same free places."""
        for owns in ((0, 0, 0), (2, 2, 2), (8, 0, 0), (5, 1, 0), (1, 0, 6)):
            total = sum(owns)
            allowed = [
                brittleness.allowance(counts(own, total - own, 3))
                for own in owns
            ]
            self.assertAlmostEqual(8, sum(allowed))
            self.assertGreaterEqual(min(allowed), 0)

    def test_proportions_stay_above_the_places(self):
        """Guards against a target that stays too full."""
        allowed = [
            brittleness.allowance(counts(own, 16 - own, 2)) for own in (12, 4)
        ]
        self.assertEqual([6.0, 2.0], allowed)

    def test_one_that_sends_much_gets_what_others_leave(self):
        """Guards against places that stay empty for routers without use."""
        own = 0.0
        for _ in range(60):
            own = brittleness.allowance(counts(own, 0, 3))
        self.assertLess(0.85 * 8, own)

    def test_no_router_is_shut_out(self):
        """Guards against a router that keeps all places for ever."""
        first, second = 8.0, 0.0
        for _ in range(60):
            first, second = (
                brittleness.allowance(counts(first, second, 2)),
                brittleness.allowance(counts(second, first, 2)),
            )
        self.assertAlmostEqual(4.0, first, delta=0.5)

    def test_missing_counts_stand_for_an_equal_share(self):
        """Guards against taking the counts that are missing for none."""
        with_all = brittleness.allowance(counts(0, 0, 4))
        with_half = brittleness.allowance(counts(0, 0, 4, told=2))
        self.assertEqual(2.0, with_all)
        self.assertAlmostEqual(1.0, with_half, delta=0.1)

    def test_unknown_number_of_routers_is_not_one(self):
        """Guards against a router that has just started and takes all."""
        for age in (0.3, float("inf")):
            allowed = brittleness.allowance(counts(0, 0, 0, told=0, age=age))
            self.assertEqual(1.0, allowed)

    def test_old_counts_show_nothing(self):
        """Guards against allowances from counts of long ago."""
        allowed = brittleness.allowance(counts(8, 0, 4, age=2.0))
        self.assertEqual(2.0, allowed)
        allowed = brittleness.allowance(counts(0, 0, 4, age=float("inf")))
        self.assertEqual(2.0, allowed)


class TestLimits(unittest.TestCase):
    """What one router knows, and what it may send."""

    def setUp(self):
        self.now = 100.0
        self.limits = brittleness.BrittleLimits(lambda: self.now, lambda: 0.5)

    def has_room(self, own=0, routers=1, target="t"):
        return self.limits.has_room("s", target, counts(own, routers=routers))

    def test_only_brittle_services_are_limited(self):
        """Guards against limits for targets that have not asked for them."""
        self.assertTrue(self.has_room(own=50))
        self.limits.record_seen("s", 5)
        self.assertFalse(self.has_room(own=8))
        self.assertTrue(self.has_room(own=7))
        self.assertTrue(self.limits.has_room("other", "t2", counts(own=50)))

    def test_limit_ends_once_targets_no_longer_say_so(self):
        """Guards against a limit for ever."""
        self.limits.record_seen("s", 5)
        self.now += brittleness.BRITTLE_SECONDS + 0.1
        self.assertIsNone(self.limits.max_refused("s"))

    def test_zero_is_a_limit(self):
        """Guards against taking no tolerated refusal for no limit."""
        self.limits.record_seen("s", 0)
        self.assertEqual(0, self.limits.max_refused("s"))
        self.limits.record_refusal("t")
        self.now += 1.0
        self.assertFalse(self.has_room())

    def test_what_was_told_is_not_passed_on(self):
        """Guards against routers that remind one another for ever."""
        self.limits.record_told({"s": 3})
        self.assertEqual(3, self.limits.max_refused("s"))
        self.assertEqual({}, self.limits.seen_here())
        self.now += brittleness.TOLD_SECONDS + 0.1
        self.assertIsNone(self.limits.max_refused("s"))

    def test_refusal_pauses_by_the_number_of_routers(self):
        """Guards against refusals that add up over all routers."""
        self.limits.record_seen("s", 5)
        self.limits.record_refusal("t")
        for routers, seconds in ((3, 1.2), (7, 2.8)):
            self.limits.refused_at["t"][0] = self.now - seconds + 0.1
            self.assertFalse(self.has_room(routers=routers))
            self.limits.refused_at["t"][0] = self.now - seconds - 0.1
            self.limits.allowed.clear()
            self.assertTrue(self.has_room(routers=routers))

    def test_refusals_elsewhere_pause_too(self):
        """Guards against a target that is at its limit by others' requests."""
        self.limits.record_seen("s", 5)
        self.limits.refused_others = {"t": 3}
        self.assertFalse(self.has_room())
        self.limits.refused_others = {"t": 2}
        self.assertTrue(self.has_room())

    def test_fractions_are_used_now_and_then(self):
        """Guards against many routers that each round down to nothing."""
        draws = itertools.cycle((0.1, 0.9))
        limits = brittleness.BrittleLimits(
            lambda: self.now, lambda: next(draws)
        )
        limits.record_seen("s", 5)
        found = []
        for _ in range(4):
            limits.update("t", counts(0, routers=16))
            found.append(limits.has_room("s", "t", counts(0, routers=16)))
        self.assertEqual([True, False, True, False], found)


class TestWaiting(test_forwarding.RouterCase):
    """Requests of callers for a brittle target with one place."""

    async def begin_brittle(self, seconds):
        self.order = []

        async def answer(seen, writer):
            self.order.append(seen.uri)
            await asyncio.sleep(seconds if len(self.order) > 1 else 0.0)
            script = scripted_target.respond(Test_Brittle="5")
            await script(seen, writer)

        await self.begin(answer)
        await self.ask("/a/first")

    async def ask_later(self, path, seconds):
        await asyncio.sleep(seconds)
        return await self.ask(path)

    async def test_requests_run_in_the_order_of_their_arrival(self):
        """Guards against new requests that overtake waiting ones."""
        await self.begin_brittle(0.005)
        got = await asyncio.gather(
            *(self.ask_later(f"/c/{n}", 0.002 * n) for n in range(4))
        )
        self.assertEqual([200] * 4, [answer.status for answer in got])
        self.assertEqual([f"/c/{n}" for n in range(4)], self.order[1:])

    async def test_callers_hear_at_once_when_to_come_back(self):
        """Guards against requests that wait in vain."""
        await self.begin_brittle(0.5)
        self.router.placer.room.limits.record_duration("s", 5.0)
        first = asyncio.ensure_future(self.ask("/b/x", "POST"))
        await asyncio.sleep(0.05)
        started = time.monotonic()
        got = await self.ask("/b/y", "POST")
        self.assertEqual(503, got.status)
        self.assertLess(time.monotonic() - started, 0.1)
        retry_after = float(got.headers["Retry-After"])
        self.assertLessEqual(room_queue.MIN_RETRY_SECONDS, retry_after)
        self.assertEqual(200, (await first).status)
        self.assertEqual(["/a/first", "/b/x"], self.order)

    async def begin_versions(self):
        """Begin with one brittle target of each of two versions."""
        self.order = []

        def answer_of(name):
            async def answer(seen, writer):
                self.order.append((name, seen.uri))
                await asyncio.sleep(0.03 if len(self.order) > 1 else 0.0)
                script = scripted_target.respond(Test_Brittle="5")
                await script(seen, writer)

            return answer

        await self.begin(answer_of("v1"), answer_of("v2"))
        self.router.targets.entries["t1"].record.release = "v2"
        await self.ask("/a/first")
        self.router.relay.streams.known.record(
            bindings.stream_key("", "stream"), bindings.Binding("s", "v1")
        )

    async def ask_on(self, path, seconds):
        """Take the stream of the first version up."""
        await asyncio.sleep(seconds)
        return await self.ask(
            path, "POST", Test_Resumes="stream", Last_Event_Id="1"
        )

    async def test_streams_go_before_requests_that_may_go_elsewhere(self):
        """Guards against streams that new requests keep from their places."""
        await self.begin_versions()
        got = await asyncio.gather(
            self.ask("/c/1"),
            self.ask_later("/c/2", 0.002),
            self.ask_later("/c/3", 0.004),
            self.ask_on("/c/on", 0.006),
            self.ask_later("/c/4", 0.008),
        )
        self.assertEqual([200] * 5, [answer.status for answer in got])
        placed = [(name, path) for name, path in self.order[1:]]
        first = [path for name, path in placed if name == "v1"]
        self.assertEqual("/c/on", first[1])

    async def test_place_elsewhere_wakes_no_stream(self):
        """Guards against a place that is spent on who may not use it."""
        # The stream must wait for as long as the other requests take.
        patch = mock.patch.object(room_queue, "OBJECTIVE_SHARE", 4.0)
        patch.start()
        self.addCleanup(patch.stop)
        await self.begin_versions()
        self.router.placer.views["t0"].running += 1
        on = asyncio.ensure_future(self.ask_on("/c/on", 0.0))
        await self.until(lambda: self.router.relay.queue.waiting["s"])
        for number in range(3):
            got = await self.ask(f"/c/{number}")
            self.assertEqual(200, got.status)
        self.assertEqual({"v2"}, {name for name, _ in self.order[1:]})
        self.router.placer.views["t0"].running -= 1
        self.router.placer.room.renew()
        self.assertEqual(200, (await on).status)

    async def test_caller_that_leaves_frees_its_place_in_the_queue(self):
        """Guards against a queue that callers who left keep full."""
        await self.begin_brittle(0.03)
        first = asyncio.ensure_future(self.ask("/a/x"))
        await asyncio.sleep(0.005)
        second = asyncio.ensure_future(self.ask("/a/y"))
        await asyncio.sleep(0.005)
        second.cancel()
        await first
        queue = self.router.relay.queue.waiting["s"]
        await self.until(lambda: not queue)
        self.assertEqual(200, (await self.ask("/a/z")).status)
        self.assertNotIn("/a/y", self.order)
