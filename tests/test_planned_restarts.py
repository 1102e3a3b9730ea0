"""Shares of the retry budget of routers that are restarted by plan.

``PLANNED_SEED`` is the first seed of the series, ``PLANNED_SEEDS`` the number
of them.
"""

import asyncio
import collections
import itertools
import json
import os
import random
import time
import unittest
import uuid

from amaranthring import errors
from amaranthring.core import clocks
from amaranthring.core import links
from amaranthring.core import wire
from amaranthring.platform import headers
from amaranthring.policy import budgets
from amaranthring.registry import messages
from amaranthring.registry import spending
from amaranthring.registry import subscriber
from amaranthring.testing import plan_keepers
from amaranthring.testing import retry_timeline
from amaranthring.testing import scripted_target
from tests import keepers_case
from tests import platform_case
from tests import test_retry_shares

WINDOW = retry_timeline.Rule().window
FIRST_SEED = int(os.environ.get("PLANNED_SEED", "0"))
SEEDS = range(
    FIRST_SEED, FIRST_SEED + int(os.environ.get("PLANNED_SEEDS", "8"))
)

# Longer than a router waits for the next event of the route.
SILENT_SECONDS = 2.0
CALLERS = 12
# From this long after a start its process has served long enough to need a
# retry.
RETRYING_SECONDS = 5.0


def identity(incarnation, name="router-0"):
    """Return the identity of a router process."""
    return links.Identity(name, messages.ROUTER_ROLE, "here", incarnation)


def record(**services):
    """Return a record of what a router has spent."""
    return messages.Spending(WINDOW, 1, 0.0, services)


class TestBudget(unittest.TestCase):
    """What a process goes on with after the one before it."""

    def setUp(self):
        self.now = 100.0

    def budget(self, **parameters):
        return budgets.WindowBudget(
            0.2, 100.0, WINDOW, lambda: self.now, **parameters
        )

    def test_what_was_spent_counts_until_it_is_out_of_the_window(self):
        """Guards against retries that are forgotten at a restart."""
        before = self.budget()
        for _ in range(10):
            before.count_request()
            self.assertTrue(before.take(1.0))
            self.now += 0.5
        after = self.budget()
        after.inherit(before.spending(), self.now, self.now)
        self.assertEqual(10, len(after.retries))
        self.assertLessEqual(after.left(1.0), before.left(1.0))
        self.now += WINDOW - 0.6
        self.assertLessEqual(after.left(1.0), before.left(1.0))
        self.assertEqual(1, len(before.retries))
        self.now += 1.2
        after.left(1.0)
        self.assertEqual(0, len(after.retries))

    def test_unknown_delay_never_adds_to_the_budget(self):
        """Guards against a record that seems younger or older than it is."""
        rng = random.Random(1)
        for _ in range(200):
            before, after = self.budget(), self.budget()
            for _ in range(rng.randrange(60)):
                self.now += rng.expovariate(4.0)
                before.count_request()
                if rng.random() < 0.4:
                    before.take(rng.random())
            made_at = self.now
            told = before.spending()
            self.now += rng.uniform(0, 3)
            earliest = made_at - rng.uniform(0, 1)
            latest = rng.uniform(made_at, self.now)
            after.inherit(told, earliest, latest)
            while self.now < made_at + WINDOW + 1:
                self.assertLessEqual(after.left(0.3), before.left(0.3) + 1e-6)
                self.now += 0.1

    def test_requests_counted_meanwhile_stay(self):
        """Guards against a start whose own requests are forgotten."""
        after = self.budget()
        after.count_request()
        after.inherit(budgets.Spending([0, 2], [1]), self.now, self.now)
        self.assertEqual(3, len(after.requests))
        self.assertEqual(sorted(after.requests), list(after.requests))


class TestRecords(unittest.TestCase):
    """One keeper's records of what routers have spent."""

    def setUp(self):
        self.now = 100.0
        self.records = spending.SpendingRecords(WINDOW, lambda: self.now)

    def keep(self, incarnation=1, delay=0.0, name="router-0"):
        asked_at = self.now
        self.now += delay
        self.records.keep(identity(incarnation, name), asked_at, record())

    def test_record_is_given_once(self):
        """Guards against two processes that go on from one record."""
        self.keep()
        self.assertIsNotNone(self.records.give(identity(2)))
        self.assertIsNone(self.records.give(identity(2)))
        self.assertIsNone(self.records.give(identity(3)))

    def test_process_does_not_take_its_own_record(self):
        """Guards against a late request of the process that has stopped."""
        self.keep()
        self.assertIsNone(self.records.give(identity(1)))
        self.assertIsNotNone(self.records.give(identity(2)))

    def test_other_routers_do_not_get_it(self):
        """Guards against a record under another router's name."""
        self.keep()
        self.assertIsNone(self.records.give(identity(2, "router-1")))

    def test_record_expires_before_another_process_may_spend(self):
        """Guards against a record from before a process that never asked."""
        self.keep()
        self.now += WINDOW
        self.assertIsNone(self.records.give(identity(3)))
        self.assertEqual({}, self.records.kept)

    def test_record_that_comes_late_is_refused(self):
        """Guards against a record that waited while a keeper stood still."""
        self.keep(delay=spending.FETCH_SECONDS + 0.1)
        self.assertIsNone(self.records.give(identity(2)))

    def test_age_tells_the_delay(self):
        """Guards against ages that leave out the time on the way."""
        self.keep(delay=0.5)
        self.now += 2.0
        given = self.records.give(identity(2))
        self.assertEqual(2.0, given.least_seconds)
        self.assertEqual(2.5, given.most_seconds)

    def test_records_are_bounded_in_time(self):
        """Guards against records of routers that never return."""
        for number in range(100):
            self.keep(name=f"router-{number}")
        self.now += WINDOW
        self.keep()
        self.assertEqual(1, len(self.records.kept))


class TestSuccession(unittest.TestCase):
    """One router process after the other, and what a keeper gives it."""

    def setUp(self):
        self.now = 100.0
        self.keeper = retry_timeline.SimulatedKeeper(
            "a", retry_timeline.Rule(), lambda: self.now
        )
        self.incarnations = itertools.count(1)

    def start(self, first_start=False, **rule):
        return retry_timeline.SimulatedRouter(
            identity(next(self.incarnations)),
            "a",
            retry_timeline.Rule(**rule),
            first_start,
            lambda: self.now,
        )

    def start_first(self):
        """Return a router that has its share."""
        router = self.start(first_start=True)
        self.keeper.linked.add(router.identity.name)
        self.keeper.census.update()
        for _ in range(5):
            self.renew(router)
            self.now += 0.5
        self.assertEqual("", router.sharers.share().reason)
        return router

    def renew(self, router):
        takes = router.succession.takes()
        reply = self.keeper.answer(router.identity, True, takes)
        router.sharers.record("a", reply, self.now)
        router.succession.accept("a", reply, self.now)

    def stop(self, router):
        """Stop a router by plan; return why it has no record."""
        reason = router.succession.end()
        if not reason:
            given = router.succession.give()
            self.keeper.spending.keep(router.identity, self.now, given)
        return reason

    def serve(self, router, number=20):
        """Let requests come that all need a retry; return the retries."""
        taken = 0
        for _ in range(number):
            router.budget.count_request()
            taken += router.take()
        return taken

    def test_next_process_has_the_rest_of_the_share(self):
        """Guards against a window without retries after a planned restart."""
        first = self.start_first()
        spent = self.serve(first)
        left = first.budget.left(1.0)
        self.stop(first)
        second = self.start()
        self.renew(second)
        self.assertEqual("", second.sharers.share().reason)
        self.assertEqual(spent, len(second.budget.retries))
        self.assertAlmostEqual(left, second.budget.left(1.0))

    def test_process_that_has_ended_takes_no_retry(self):
        """Guards against retries that the record leaves out."""
        first = self.start_first()
        first.succession.end()
        self.assertEqual(0, self.serve(first))
        self.now += 3 * WINDOW
        self.renew(first)
        self.assertEqual(0, self.serve(first))

    def test_record_leaves_the_process_once(self):
        """Guards against a keeper that asks again, or a second keeper."""
        first = self.start_first()
        self.assertRaises(errors.RefusedError, first.succession.give)
        first.succession.end()
        first.succession.give()
        self.assertRaises(errors.RefusedError, first.succession.give)

    def test_killed_in_between(self):
        """Guards against a record that a killed process had taken."""
        self.stop(self.start_first())
        second = self.start()
        self.renew(second)
        self.assertGreater(self.serve(second), 0)
        third = self.start()
        self.renew(third)
        self.assertEqual(0, self.serve(third))
        self.assertEqual("starting", third.sharers.share().reason)

    def test_reply_is_lost(self):
        """Guards against a record that is kept until it is acknowledged."""
        self.stop(self.start_first())
        second = self.start()
        self.keeper.answer(second.identity, True, True)
        self.renew(second)
        self.assertEqual(0, self.serve(second))

    def test_process_without_a_record_leaves_none(self):
        """Guards against a record without what the process before spent."""
        self.stop(self.start_first())
        self.keeper.spending.kept.clear()
        second = self.start()
        self.renew(second)
        self.assertEqual("starting", self.stop(second))
        third = self.start()
        self.renew(third)
        self.assertEqual(0, self.serve(third))

    def test_process_that_waited_a_window_leaves_one(self):
        """Guards against routers that wait at each start after a kill."""
        first = self.start_first()
        first.budget.usable_from = lambda: 0.0
        second = self.start()
        self.now += WINDOW
        self.renew(second)
        self.assertEqual("", self.stop(second))

    def test_chain_of_restarts_keeps_what_the_first_spent(self):
        """Guards against a record that tells only of its own process."""
        first = self.start_first()
        spent = self.serve(first)
        self.stop(first)
        for _ in range(3):
            self.now += 1.0
            router = self.start()
            self.renew(router)
            self.assertEqual(spent, len(router.budget.retries))
            self.assertEqual("", self.stop(router))

    def test_record_that_comes_after_the_wait_is_refused(self):
        """Guards against a reply that a process gets once it has spent."""
        self.stop(self.start_first())
        second = self.start()
        reply = self.keeper.answer(second.identity, True, True)
        asked_at = self.now
        self.now += WINDOW
        spent = self.serve(second)
        second.succession.accept("a", reply, asked_at)
        self.assertEqual(spent, len(second.budget.retries))
        self.assertFalse(second.succession.succeeded)

    def test_other_window_is_refused(self):
        """Guards against a record that tells of a shorter window."""
        self.stop(self.start_first())
        second = self.start(window=2 * WINDOW)
        self.renew(second)
        self.assertFalse(second.succession.succeeded)
        self.assertEqual(0, self.serve(second))

    def test_number_of_routers_outlives_the_process(self):
        """Guards against a leader that has just started and counts few."""
        self.keeper.linked = {f"router-{number}" for number in range(5)}
        first = self.start_first()
        self.assertEqual(5, first.sharers.routers)
        self.keeper = retry_timeline.SimulatedKeeper(
            "a", retry_timeline.Rule(), lambda: self.now
        )
        self.keeper.linked = {"router-0"}
        self.keeper.census.update()
        self.stop(first)
        second = self.start()
        self.renew(second)
        self.assertEqual(1 / 5, second.sharers.share().fraction)

    def test_router_that_was_out_of_touch_leaves_no_share(self):
        """Guards against a share that the keepers may have given away."""
        first = self.start_first()
        self.now += first.sharers.held - 1
        self.assertEqual("", self.stop(first))
        self.now += 2
        second = self.start()
        self.renew(second)
        self.assertTrue(second.succession.succeeded)
        self.now += second.sharers.settle_seconds
        self.renew(second)
        self.assertEqual("not-admitted", second.sharers.share().reason)


class TestSeries(test_retry_shares.TestSeries):
    """Random series with planned restarts among the other events."""

    SHARE_OF_PLANNED = 0.6
    # Steps by which messages are late at a time: none, some, or all are.
    DELAYS = ((0,), (0, 0, 0, 1, 5, 30, 90), (9,), (30, 90))
    RATES = (60.0, 200.0, 400.0)
    rule = retry_timeline.Rule(ratio=0.1, allowance=300.0)

    def one_event(self, timeline):
        rng = timeline.rng
        if rng.random() >= self.SHARE_OF_PLANNED:
            super().one_event(timeline)
            return
        names = sorted(timeline.routers)
        names = rng.sample(names, rng.choice((1, 2, len(names))))
        # Shares that are unused so far show at once if one is used twice.
        timeline.failing = rng.random() < 0.5
        timeline.run(rng.choice((1, 6, 12)))
        self.restart(timeline, names, timeline.end_router)
        timeline.failing = True
        for _ in range(rng.choice((0, 1, 2))):
            timeline.run(rng.choice((0.1, 0.5, 2, 4)))
            stop = rng.choice((timeline.stop_router, timeline.end_router))
            self.restart(timeline, names, stop)

    def restart(self, timeline, names, stop):
        """Stop routers, and start them a little later."""
        delays = timeline.rng.choice(self.DELAYS)
        timeline.delay_steps = lambda: timeline.rng.choice(delays)
        for name in names:
            stop(name)
        timeline.run(timeline.rng.choice((0.1, 0.5, 3)))
        for name in names:
            timeline.start_router(name)

    def test_no_window_exceeds_the_rule(self):
        """Guards against records used twice, late, or without a part."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                timeline = self.timeline(
                    seed,
                    router_count=2 + seed % 5,
                    rate=self.RATES[seed % len(self.RATES)],
                )
                for _ in range(20):
                    self.one_event(timeline)
                    timeline.run(timeline.rng.uniform(0.2, 8))
                self.check(timeline)


class TestRolls(test_retry_shares.TimelineCase):
    """Rolls over the fleet while every request needs a retry."""

    def roll(self, timeline):
        for name in sorted(timeline.routers):
            timeline.end_router(name)
            timeline.run(0.5)
            timeline.start_router(name)
            timeline.run(1)

    def test_no_window_exceeds_the_rule(self):
        """Guards against routers that spend their shares again in a roll."""
        for ratio, allowance in ((0.0, 500.0), (0.2, 0.0), (0.2, 54.0)):
            with self.subTest(ratio=ratio, allowance=allowance):
                rule = retry_timeline.Rule(ratio=ratio, allowance=allowance)
                timeline = self.timeline(rule=rule)
                for _ in range(4):
                    self.roll(timeline)
                timeline.run(30)
                self.check(timeline)

    def test_retries_go_on(self):
        """Guards against a fleet without retries during a roll."""
        timeline = self.timeline()
        self.roll(timeline)
        since = timeline.now()
        self.roll(timeline)
        calm = self.timeline()
        calm.run(20)
        self.assertGreater(
            timeline.most_since(since), 0.7 * calm.most_since(40)
        )


class TestLinks(keepers_case.KeepersCase):
    """Routers and three keepers on real links."""

    retry_window = 3.0

    def setUp(self):
        self.incarnations = itertools.count(1)

    def start(self, first_start=False, seeds=None):
        """Start a router process."""
        shared = plan_keepers.make_sharers(self.retry_window, first_start)
        router = subscriber.Subscriber(
            identity(next(self.incarnations)),
            plan_keepers.KEYS,
            lambda document: None,
            shared,
        )
        router.budgets = collections.defaultdict(
            lambda: budgets.WindowBudget(
                0.0,
                100.0,
                self.retry_window,
                clocks.boottime,
                shared.usable_from,
            )
        )
        router.succession = spending.Succession(
            router.handlers, shared, router.budgets, clocks.boottime
        )
        router.takes_spending = router.succession.takes
        router.on_renewed.append(router.succession.accept)
        router.use_seeds(seeds or self.keepers.seeds)
        self.addCleanup(router.stop)
        return router

    async def start_first(self):
        router = self.start(first_start=True)
        await plan_keepers.wait_until(
            lambda: (
                self.take(router)
                and len(router.open_links()) == len(self.keepers.seeds)
            )
        )
        return router

    def take(self, router):
        """Take a retry; return whether there was one."""
        fraction = router.sharers.share().fraction
        return router.budgets["service"].take(fraction)

    async def end(self, router):
        """Stop a router by plan."""
        await router.succession.report(router.open_links(), -1, 1.0)
        router.stop()

    def kept(self):
        return [
            keeper.hub.spending.kept
            for keeper in self.keepers.running.values()
        ]

    async def linked(self, router):
        """Wait until all keepers that run have answered a router."""
        await plan_keepers.wait_until(
            lambda: (
                router.succession.succeeded
                or len(router.succession.asked) == len(self.keepers.running)
            )
        )

    async def test_successor_may_spend_at_once(self):
        """Guards against a record that does not arrive."""
        first = await self.start_first()
        await self.end(first)
        spent = len(first.budgets["service"].retries)
        self.assertEqual(1, sum(map(len, self.kept())))
        second = self.start()
        await plan_keepers.wait_until(lambda: self.take(second), 1.0)
        self.assertEqual(spent + 1, len(second.budgets["service"].retries))
        self.assertEqual(0, sum(map(len, self.kept())))

    async def test_killed_in_between(self):
        """Guards against a keeper that did not hear who took the record."""
        await self.end(await self.start_first())
        second = self.start()
        await self.linked(second)
        second.stop()
        third = self.start()
        await self.linked(third)
        self.assertFalse(third.succession.succeeded)
        self.assertFalse(self.take(third))

    async def test_killed_before_it_has_reached_the_keeper(self):
        """Guards against a process between that has spent unseen."""
        await self.end(await self.start_first())
        await asyncio.sleep(self.retry_window)
        third = self.start()
        await self.linked(third)
        self.assertFalse(third.succession.succeeded)

    async def test_keeper_restarts(self):
        """Guards against records that outlive a keeper's process."""
        await self.end(await self.start_first())
        for address in list(self.keepers.running):
            await self.keepers.stop(address)
        for address in self.keepers.seeds:
            self.keepers.start(address)
        await plan_keepers.wait_until(self.keepers.leader)
        second = self.start()
        await self.linked(second)
        self.assertFalse(second.succession.succeeded)
        self.assertFalse(self.take(second))

    async def test_first_keeper_does_not_get_it(self):
        """Guards against a stop that asks one keeper only."""
        first = await self.start_first()
        first.open_links()[0].handlers = links.Handlers()
        await self.end(first)
        self.assertEqual(1, sum(map(len, self.kept())))

    async def test_no_keeper_is_reached(self):
        """Guards against a stop that waits for keepers that are gone."""
        first = await self.start_first()
        await self.keepers.stop_all()
        began = time.monotonic()
        await self.end(first)
        self.assertLess(time.monotonic() - began, 1.5)
        self.assertFalse(self.take(first))


class TestMixedVersions(unittest.TestCase):
    """Routers and keepers of which one knows nothing of records."""

    def test_fields_may_be_missing(self):
        """Guards against links that close during an upgrade."""
        for tag, body in (
            ("registry-renew", {"version": 3}),
            (
                "registry-renewed",
                {
                    "version": 3,
                    "confirmed": True,
                    "routers": 1,
                    "keepers": [],
                    "counted_seconds": 1.0,
                },
            ),
        ):
            with self.subTest(tag=tag):
                message = wire.decode_message(tag, body)
                self.assertEqual(3, message.version)

    def test_record_survives_the_wire(self):
        """Guards against a record that the other end cannot read."""
        given = messages.GivenSpending(
            record(booking=budgets.Spending([1, 2], [3])), 0.5, 1.0
        )
        reply = messages.Renewed(1, True, 1, [], 0.0, given)
        decoded = wire.decode_message(*wire.encode_message(reply))
        self.assertEqual(given.record, decoded.spending.record)
        self.assertEqual(1.0, decoded.spending.most_seconds)


class SilentReplica(platform_case.Replica):
    """A replica that falls silent within each stream that begins at it."""

    async def answer(self, seen, writer):
        """Begin a stream and fall silent, or end one that began elsewhere."""
        request_id = seen.headers[headers.REQUEST_ID]
        head = [
            "HTTP/1.1 200 Status",
            f"{headers.REQUEST_ID}: {request_id}",
            f"{headers.SIGNATURE}: {self.name}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join([*head, "", ""]).encode())
        if "Last-Event-Id" not in seen.headers:
            writer.write(self.event(1))
            await asyncio.sleep(SILENT_SECONDS)
        writer.write(self.event(2) + b"0\r\n\r\n")

    def event(self, number):
        """Return the chunk of one event."""
        data = f"id: {number}\ndata: x\n\n".encode()
        return b"%x\r\n%s\r\n" % (len(data), data)


class TestRoll(platform_case.PlatformCase):
    """Routers that are restarted one after the other, as processes."""

    routers = 3

    def settings(self, name):
        return super().settings(name) | {"bootstrap": self.starts[name] == 1}

    def configuration(self):
        document = super().configuration()
        document["routes"][0].update(
            route_type="streaming",
            resumable=True,
            itl_target_ms=100,
            timeout_ms=6000,
        )
        return document

    def make_replica(self, name):
        return SilentReplica(name)

    async def send_streams(self, number):
        """Send streams to the routers until cancelled."""
        while True:
            number += 1
            name = self.router_names[number % self.routers]
            await self.send_stream(name)
            await asyncio.sleep(0.05)

    async def send_stream(self, router):
        """Send a stream that needs a retry; await its end."""
        try:
            reader, writer = await asyncio.open_connection(
                self.ip(router), self.port
            )
        except OSError:
            return
        try:
            await scripted_target.send_on(
                reader,
                writer,
                "/a/x",
                "POST",
                **{
                    headers.REQUEST_ID: uuid.uuid4().hex[:12],
                    headers.DEADLINE: "6000",
                    headers.AUTHORIZATION: "Bearer key-alba",
                },
            )
        except (OSError, EOFError, ValueError):
            return
        finally:
            writer.close()

    def decided(self, name, since=0.0):
        """Return the log lines about retries of a router."""
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        events = [json.loads(line) for line in lines if line.startswith("{")]
        return [
            event
            for event in events
            if event["event"] == "retry.decided" and event["time"] >= since
        ]

    async def test_restarted_routers_may_send_retries_at_once(self):
        """Guards against a roll in which no router may send a retry."""
        callers = [
            asyncio.ensure_future(self.send_streams(number))
            for number in range(CALLERS)
        ]
        await asyncio.sleep(RETRYING_SECONDS)
        started = {}
        for name in self.router_names:
            await self.restart(name)
            started[name] = time.time()
        await asyncio.sleep(RETRYING_SECONDS)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        for name in self.router_names:
            decided = self.decided(name, started[name])
            self.assertTrue(decided, name)
            refused = {
                event["without_share"]
                for event in decided
                if not event["allowed"]
            }
            self.assertEqual(set(), refused, name)
