"""Counts and prompt locations that routers share through keepers."""

import asyncio
import collections
import dataclasses
import pathlib
import random
import tempfile
import unittest

import logbook

from amaranthring.core import links
from amaranthring.core import pacing
from amaranthring.core import wire
from amaranthring.keepers import disk
from amaranthring.policy import bindings
from amaranthring.policy import crash_evidence
from amaranthring.registry import crash_ledger
from amaranthring.registry import hint_file
from amaranthring.registry import messages
from amaranthring.registry import reporting
from amaranthring.registry import sharing
from amaranthring.registry import stream_ledger
from amaranthring.registry import targets

SEED = 20261203


class RecordingLink:
    """Records what is sent to a router."""

    def __init__(self, name):
        self.peer = links.Identity(name, "router", "here")
        self.closed = False
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class LoopbackDialler:
    """Passes messages directly to another keeper's exchange."""

    def __init__(self, name, exchange):
        self.link = RecordingLink(name)
        self.exchange = exchange

    def send(self, message):
        self.exchange().handlers.by_class[sharing.Sums](self.link, message)


class TestExchange(unittest.TestCase):
    """Two keepers, with two routers at one and one at the other."""

    def setUp(self):
        self.now = 100.0
        self.one = self.exchange("one", lambda: self.two)
        self.two = self.exchange("two", lambda: self.one)
        self.routers = [RecordingLink(f"r{n}") for n in range(3)]

    def exchange(self, name, other):
        handlers = links.Handlers()
        dialler = LoopbackDialler(name, other)
        exchange = sharing.Exchange(
            handlers, lambda: [dialler], lambda: self.now
        )
        exchange.handlers = handlers
        return exchange

    def report(self, router, counts, locations=(), unreached=()):
        home = self.two if router == 2 else self.one
        message = sharing.Report(
            counts, [list(p) for p in locations], list(unreached)
        )
        home.handlers.by_class[sharing.Report](self.routers[router], message)

    def step(self):
        # A keeper receives sums in one step and forwards them in the next.
        for exchange in (self.one, self.two, self.one, self.two):
            exchange.step()

    def test_router_receives_the_counts_of_all_others(self):
        self.report(0, {"a": 1})
        self.report(1, {"a": 2, "b": 1})
        self.report(2, {"b": 4})
        self.step()
        last = [router.sent[-1].counts for router in self.routers]
        self.assertEqual({"a": 2, "b": 5}, last[0])
        self.assertEqual({"a": 1, "b": 4}, last[1])
        self.assertEqual({"a": 3, "b": 1}, last[2])

    def test_counts_of_lost_keepers_and_routers_are_dropped(self):
        self.report(0, {"a": 1})
        self.report(1, {"a": 2})
        self.report(2, {"b": 4})
        self.step()
        self.now += sharing.STALE_SECONDS
        self.routers[1].closed = True
        self.one.step()
        self.assertEqual({}, self.routers[0].sent[-1].counts)

    def test_keeper_logs_whose_sums_are_missing(self):
        self.report(2, {"b": 4})
        with logbook.TestHandler() as handler:
            self.step()
            self.now += sharing.STALE_SECONDS
            self.one.step()
            self.one.step()
        logged = [
            (r.message.partition(" ")[0], r.extra["fields"]["keeper"])
            for r in handler.records
        ]
        self.assertEqual(
            [("sums.heard", "two"), ("sums.missing", "two")],
            [line for line in logged if line[1] == "two"],
        )

    def test_router_that_reports_to_another_keeper_counts_once(self):
        """The keeper that a router has left must drop its last report."""
        self.report(0, {"a": 3})
        self.report(1, {})
        self.step()
        self.now += sharing.STALE_SECONDS + 0.1
        self.report(1, {})
        self.report(2, {})
        self.step()
        self.assertEqual({}, self.routers[1].sent[-1].counts)
        self.assertNotIn(self.routers[0], self.one.routers)

    def test_router_receives_how_many_others_could_not_reach_a_target(self):
        self.report(0, {}, unreached=["a"])
        self.report(1, {}, unreached=["a", "b"])
        self.report(2, {})
        self.step()
        last = [router.sent[-1].unreached for router in self.routers]
        self.assertEqual({"a": 1, "b": 1}, last[0])
        self.assertEqual({"a": 1}, last[1])
        self.assertEqual({"a": 2, "b": 1}, last[2])

    def test_router_receives_how_old_the_counts_are(self):
        """Counts behind a keeper that is late looked like new ones."""
        self.report(2, {"a": 3})
        self.two.step()
        self.now += 0.5
        self.report(0, {})
        self.report(1, {"a": 1})
        self.now += 0.1
        self.one.step()
        others = self.routers[0].sent[-1]
        self.assertEqual(3, others.routers)
        # Of the two others, one reported 0.6 s ago, one 0.1 s ago.
        self.assertAlmostEqual(0.7 / 2, others.age)

    def test_counts_of_idle_routers_have_an_age(self):
        """Guards against a first burst that all routers send to one target."""
        self.report(2, {})
        self.two.step()
        self.report(1, {})
        self.now += 0.6
        self.report(0, {})
        self.one.step()
        self.assertAlmostEqual(0.6, self.routers[0].sent[-1].age)

    def test_locations_are_sent_in_batches_the_newest_first(self):
        """Sent all at once to many routers, locations delay heartbeats."""
        limit = sharing.LOCATIONS_PER_MESSAGE
        pairs = [(f"p{n}", "a") for n in range(3 * limit)]
        self.report(0, {}, pairs)
        self.report(1, {})
        sizes = []
        for _ in range(4):
            sizes.append(len(self.routers[1].sent[-1].places))
            self.one.step()
        self.assertEqual([limit, limit, limit, 0], sizes)
        first = self.routers[1].sent[0].places
        self.assertEqual([f"p{3 * limit - 1}", "a"], first[-1])

    def test_small_fleet_gets_all_locations_at_once(self):
        """A link with room must not be limited to a fixed batch.

        7 routers reconnect to 3 keepers on 6 Mbit/s, with about 1,000
        locations.
        """
        self.one.pacer = pacing.Pacer({}, lambda: self.now, 0.75e6)
        for router in (1, 2):
            self.report(router, {})
        self.report(0, {}, [(f"p{n}", "a") for n in range(1000)])
        for _ in range(2):
            self.one.step()
        received = sum(len(m.places) for m in self.routers[1].sent)
        self.assertEqual(1000, received)
        pairs_a_second = received / sharing.REPORT_SECONDS
        bytes_a_second = 2 * pairs_a_second * sharing.PAIR_BYTES
        self.assertLess(bytes_a_second, 2 * 0.25 * 0.75e6)

    def test_keeper_that_lost_its_disk_gets_the_locations_again(self):
        """Routers that report to it must get the known locations too."""
        self.report(0, {}, [("part", "a"), ("part", "b")])
        self.step()
        self.two = self.exchange("two", lambda: self.one)
        self.report(2, {})
        self.assertEqual([], self.routers[2].sent[-1].places)
        self.one.sync_keeper(next(iter(self.one.peers())))
        self.step()
        received = [p for m in self.routers[2].sent for p in m.places]
        self.assertEqual([["part", "a"], ["part", "b"]], sorted(received))
        self.step()
        again = [p for m in self.routers[2].sent for p in m.places]
        self.assertEqual(len(received), len(again))

    def test_locations_reach_every_other_router_once(self):
        for router in range(3):
            self.report(router, {})
        self.report(0, {}, [("part", "a")])
        self.step()
        self.step()
        received = [
            [
                location
                for message in router.sent
                for location in message.places
            ]
            for router in self.routers
        ]
        self.assertEqual([[], [["part", "a"]], [["part", "a"]]], received)

    def test_router_that_starts_is_answered_at_once(self):
        self.report(1, {"a": 2})
        self.report(0, {})
        self.assertEqual({"a": 2}, self.routers[0].sent[-1].counts)

    def test_router_that_starts_gets_the_recent_locations(self):
        """A restarted router must not have known prompts computed again."""
        self.report(2, {}, [("part", "a")])
        self.step()
        self.report(0, {})
        self.assertEqual([["part", "a"]], self.routers[0].sent[-1].places)
        self.one.step()
        self.assertEqual([], self.routers[0].sent[-1].places)
        self.now += sharing.RETENTION_SECONDS + 1
        self.report(1, {})
        self.assertEqual([], self.routers[1].sent[-1].places)


class TestHomeChange(unittest.TestCase):
    """A router that moves from one home keeper to another.

    The previous keeper must stop sending to it at once, and the next one must
    not start again with all locations: both delay locations for other routers.
    """

    def setUp(self):
        self.now = 100.0
        self.keepers = [self.keeper(name) for name in ("one", "two")]
        self.links = [RecordingLink(name) for name in ("one", "two")]
        self.home = 0
        self.others = []
        handlers = links.Handlers()
        self.reporter = reporting.Reporter(
            handlers,
            lambda: self.links[self.home],
            lambda: sharing.Report({"a": 1}, []),
            self.others.append,
            lambda: self.now,
        )
        self.on_others = handlers.by_class[sharing.Others]

    def keeper(self, name):
        handlers = links.Handlers()
        exchange = sharing.Exchange(
            handlers, lambda: self.diallers(name), lambda: self.now
        )
        exchange.handlers = handlers
        return exchange

    def diallers(self, name):
        if name == "one":
            return [LoopbackDialler("one", lambda: self.keepers[1])]
        return [LoopbackDialler("two", lambda: self.keepers[0])]

    def turn(self, home=None):
        """Let the router report, and the keepers receive it and answer."""
        if home is not None:
            self.home = home
        self.reporter.report()
        for number, link in enumerate(self.links):
            # What the router sent arrives at the keeper's end of the link.
            sent, link.sent = link.sent, []
            for message in sent:
                handlers = self.keepers[number].handlers
                handlers.by_class[type(message)](link, message)
        for keeper in self.keepers:
            keeper.step()
        self.now += sharing.REPORT_SECONDS
        return self.receive()

    def receive(self):
        """Return the locations sent to the router, by keeper."""
        received = []
        for link in self.links:
            sent, link.sent = link.sent, []
            for message in sent:
                self.on_others(link, message)
            received.append(
                [pair for message in sent for pair in message.places]
            )
        return received

    def store(self, names):
        for keeper in self.keepers:
            keeper.store_locations([[name, "a"] for name in names])

    def test_previous_keeper_sends_nothing_more(self):
        self.store(
            [f"p{n}" for n in range(10 * sharing.LOCATIONS_PER_MESSAGE)]
        )
        self.turn()
        [from_previous, from_new] = self.turn(home=1)
        self.assertEqual([], from_previous)
        self.assertNotEqual([], from_new)
        self.assertNotIn(self.links[0], self.keepers[0].routers)

    def test_synced_router_gets_only_new_locations(self):
        self.store(["old"])
        for _ in range(3):
            self.turn()
        self.now += 5.0
        for _ in range(3):
            self.turn()
        self.store(["new"])
        [_, from_new] = self.turn(home=1)
        self.assertEqual([["new", "a"]], from_new)

    def test_age_covers_the_way_to_the_keeper_and_back(self):
        """Counts that waited for a stopped process looked like new ones."""
        received = []
        self.reporter.on_others = received.append
        self.turn()
        self.reporter.report()
        [report] = self.links[0].sent
        self.links[0].sent = []
        self.now += 0.3
        on_report = self.keepers[0].handlers.by_class[sharing.Report]
        on_report(self.links[0], report)
        on_report(RecordingLink("other"), sharing.Report({"b": 1}, []))
        self.now += 0.1
        self.keepers[0].step()
        self.now += 2.0
        self.receive()
        # 0.3 s and 2 s on the way, and 0.1 s at the keeper.
        self.assertAlmostEqual(2.4, received[-1].age)

    def test_unsynced_router_gets_all_locations(self):
        self.store(
            [f"p{n}" for n in range(10 * sharing.LOCATIONS_PER_MESSAGE)]
        )
        self.turn()
        received = []
        for _ in range(12):
            received += self.turn(home=1)[1]
        self.assertEqual(10 * sharing.LOCATIONS_PER_MESSAGE, len(received))

    def test_partitioned_keeper_does_not_report_all_told(self):
        """What other keepers learned in a partition must be sent after it."""
        self.diallers = lambda name: [LoopbackDialler(name, self.lost)]
        self.store(["old"])
        for _ in range(8):
            self.turn()
        self.keepers[1].store_locations([["unheard", "a"]])
        self.now += 5.0
        for _ in range(8):
            self.turn()
        [_, from_new] = self.turn(home=1)
        self.assertEqual([["old", "a"], ["unheard", "a"]], sorted(from_new))

    def lost(self):
        """Return a keeper that loses everything sent to it."""
        return self.keeper("lost")


class TestPriority(unittest.TestCase):
    """A link without room for all locations that are still to be sent.

    The locations of long parts go first: a tenth of the parts holds half of
    all requested tokens, and engines recompute parts whose locations come
    late.
    """

    def setUp(self):
        handlers = links.Handlers()
        self.now = 100.0
        self.keeper = sharing.Exchange(handlers, list, lambda: self.now)
        self.on_report = handlers.by_class[sharing.Report]
        self.router = RecordingLink("r0")

    def report(self, link, lengths):
        pairs = [[name, "a"] for name in lengths]
        self.on_report(link, sharing.Report({}, pairs, tokens=lengths))

    def received(self):
        return [p for m in self.router.sent for p, _ in m.places]

    def lengths(self, kind, tokens):
        count = sharing.LOCATIONS_PER_MESSAGE
        return {f"{kind}{n}": tokens for n in range(count)}

    def test_long_parts_are_sent_first_to_a_new_router(self):
        long = self.lengths("long", 20_000)
        self.report(RecordingLink("r1"), long)
        self.report(RecordingLink("r1"), self.lengths("short", 300))
        self.report(self.router, {})
        self.assertCountEqual(long, self.received())

    def test_long_parts_are_sent_first_among_updates(self):
        self.report(RecordingLink("r1"), self.lengths("old", 300))
        self.report(self.router, {})
        long = self.lengths("long", 20_000)
        self.report(RecordingLink("r1"), long)
        self.report(RecordingLink("r1"), self.lengths("short", 300))
        self.router.sent.clear()
        self.keeper.step()
        self.assertCountEqual(long, self.received())

    def test_every_location_is_sent_once(self):
        for kind, tokens in (("a", 9), ("b", 20_000), ("c", 300)):
            self.report(RecordingLink("r1"), self.lengths(kind, tokens))
        self.report(self.router, {})
        self.report(RecordingLink("r1"), self.lengths("d", 1000))
        for _ in range(6):
            self.keeper.step()
        self.assertEqual(
            4 * sharing.LOCATIONS_PER_MESSAGE, len(self.received())
        )
        self.assertEqual(len(set(self.received())), len(self.received()))


class CountingLink(RecordingLink):
    """Counts the bytes sent to a router or keeper."""

    def __init__(self, name, sent):
        super().__init__(name)
        self.bytes = sent
        # Used as a dialler, too.
        self.link = self

    def send(self, message):
        frame = wire.encode(wire.ONE_WAY, 0, message)
        self.bytes[wire.tag_of(type(message))] += len(frame)
        super().send(message)


class TestBusyLink(unittest.TestCase):
    """A keeper on 6 Mbit/s with a fifth of 87 routers and 93 targets."""

    routers = 17
    targets = 93
    link_rate = 0.75e6
    # New locations per interval: 430 requests a second, most of them with one
    # part that is new at its target or with none.
    report_count = 60

    def setUp(self):
        self.now = 100.0
        self.random = random.Random(SEED)
        self.sent = collections.Counter()
        self.pacer = pacing.Pacer(self.sent, lambda: self.now, self.link_rate)
        handlers = links.Handlers()
        self.peers = [CountingLink(f"k{n}", self.sent) for n in range(5)]
        self.keeper = sharing.Exchange(
            handlers, lambda: self.peers, lambda: self.now, self.pacer
        )
        self.on_report = handlers.by_class[sharing.Report]
        self.ids = [f"i-{self.hexadecimal(40)}" for _ in range(self.targets)]
        self.links = []
        self.read_counts = [0] * self.routers
        self.received = [{} for _ in range(self.routers)]

    def hexadecimal(self, bits):
        return f"{self.random.getrandbits(bits):0{bits // 4}x}"

    def add_routers(self):
        for number in range(self.routers):
            self.links.append(CountingLink(f"r{number}", self.sent))
            self.report(number, [])

    def report(self, number, pairs):
        counts = {name: self.random.randint(1, 3) for name in self.ids}
        reading = {name: self.random.randint(1, 9999) for name in self.ids}
        message = sharing.Report(counts, pairs, reading=reading)
        self.on_report(self.links[number], message)

    def step(self, report_count):
        """Advance one interval; `report_count` locations are reported."""
        pairs = [
            [self.hexadecimal(32), self.random.choice(self.ids)]
            for _ in range(report_count)
        ]
        for number in range(self.routers):
            self.report(number, pairs[number :: self.routers])
        self.now += sharing.REPORT_SECONDS
        self.keeper.step()
        for number, link in enumerate(self.links):
            for message in link.sent[self.read_counts[number] :]:
                for part, _ in message.places:
                    self.received[number].setdefault(part, self.now)
            self.read_counts[number] = len(link.sent)
        return [part for part, _ in pairs]

    def test_new_locations_reach_every_router_in_time(self):
        """Counts must not take up the bandwidth that new locations need.

        A router that learns of a location late has the prompt computed again.
        """
        self.add_routers()
        reported_at = {}
        for _ in range(40):
            started_at = self.now
            reported_at |= dict.fromkeys(
                self.step(self.report_count), started_at
            )
        for _ in range(2):
            self.step(0)
        for number, received in enumerate(self.received):
            reported = set(reported_at) - self.reported_by(number, reported_at)
            self.assertEqual(reported - set(received), set(), number)
            delay = max(
                received[part] - reported_at[part] for part in reported
            )
            self.assertLessEqual(delay, 2 * sharing.REPORT_SECONDS, number)

    def reported_by(self, number, reported_at):
        """Return the parts that router `number` reported itself."""
        parts = list(reported_at)
        steps = [
            parts[first : first + self.report_count]
            for first in range(0, len(parts), self.report_count)
        ]
        return {
            part for step in steps for part in step[number :: self.routers]
        }

    def test_reconnecting_routers_share_the_bandwidth(self):
        """Routers that reconnect together get 1,400 locations equally fast.

        Half of the link stays free for heartbeats.
        """
        locations = [
            [self.hexadecimal(32), self.random.choice(self.ids)]
            for _ in range(1400)
        ]
        self.keeper.store_locations(locations)
        self.add_routers()
        before = sum(self.sent.values())
        started_at = self.now
        while self.now < started_at + 1.5:
            self.step(0)
        for number, received in enumerate(self.received):
            self.assertEqual(len(received), 1400, number)
        used = sum(self.sent.values()) - before
        burst = pacing.BURST_SECONDS
        limit = pacing.LINK_SHARE * self.link_rate * (1.5 + 2 * burst)
        self.assertLess(used, limit)


class TestHintFile(unittest.IsolatedAsyncioTestCase):
    """Locations and targets on a keeper's disk."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "hints"
        self.now = 100.0
        self.time_of_day = 1e9

    def open_file(self, files=None):
        table = targets.TargetTable(lambda: self.now, 1.8)
        hints = hint_file.HintFile(
            self.path,
            sharing.Exchange(links.Handlers(), list, lambda: self.now),
            table,
            crash_ledger.CrashLedger(links.Handlers(), list, lambda: self.now),
            stream_ledger.StreamLedger(
                links.Handlers(), table, 0.0, lambda: self.now
            ),
            2.0,
            files,
            lambda: self.time_of_day,
        )
        self.addCleanup(hints.close)
        return hints

    async def write(self, hints):
        hints._record_result(hints._write(hints._hints()))

    async def test_moved_routes_survive_a_power_loss(self):
        """Guards against streams that go on at the service of today."""
        hints = self.open_file()
        hints.streams.routes.merge({"r1": 3.0})
        await self.write(hints)
        restored = self.open_file()
        restored.load()
        self.assertTrue(restored.streams.routes.has_moved("r1"))

    async def test_releases_survive_a_power_loss(self):
        """Guards against a release that is taken for the only one."""
        before = self.open_file()
        before.table.merge(record("quiet", 5, release="v1"))
        before.table.mark_silent(-1.0)
        # It takes the address of the one that crashed.
        before.table.merge(record("next", 1, release="v1.1"))
        before.streams.learn_history("first-start")
        await self.write(before)
        # The wall clock may have been set.
        self.time_of_day += 2 * bindings.HISTORY_SECONDS
        after = self.open_file()
        after.load()
        releases = after.streams.releases
        self.assertEqual({"v1", "v1.1"}, releases.releases("s"))
        self.assertTrue(after.streams.knows_history)

    async def test_gap_in_the_history_survives_a_restart(self):
        """Guards against a second start that makes a wiped keeper sure."""
        before = self.open_file()
        before.table.merge(record("next", 1, release="v1.1"))
        await self.write(before)
        after = self.open_file()
        after.load()
        self.assertFalse(after.streams.knows_history)

    async def test_crashing_requests_survive_a_power_loss(self):
        """Guards against causes that crash as many targets once more."""
        hints = self.open_file()
        evidence = hints.crashes.evidence
        for number in range(4):
            evidence.add(
                crash_evidence.Run("bad", f"t{number}", 0.1, 0.0, "r")
            )
            self.now += 1.0
        evidence.judge()
        evidence.add(crash_evidence.Run("chat", "t9", 0.1, 0.0, "r"))
        evidence.take_changes()
        await self.write(hints)
        self.time_of_day += 7.0
        found = self.open_file()
        found.load()
        evidence = found.crashes.evidence
        verdict = evidence.verdict("bad")
        self.assertTrue(verdict.condemned)
        self.assertAlmostEqual(1.0 + 7.0, verdict.crashes[-1].age)
        self.assertEqual(1, len(evidence.get("chat").crashes))
        self.time_of_day += 1000.0
        late = self.open_file()
        late.load()
        self.assertIsNone(late.crashes.evidence.get("bad"))

    async def test_locations_survive_a_power_loss(self):
        """Restarted keepers must know which engines hold which prompts."""
        before = self.open_file()
        before.exchange.store_locations([["part", "b"], ["part", "a"]])
        before.exchange.tokens = {"part": 20_000, "gone": 300}
        await self.write(before)
        after = self.open_file()
        after.load()
        self.assertEqual({"part": 20_000}, after.exchange.tokens)
        # The newest last, in the order in which they are sent.
        self.assertEqual(
            [["part", "b"], ["part", "a"]], after.exchange.recent_locations()
        )

    async def test_targets_survive_a_power_loss(self):
        """The first target to announce itself must not get all requests."""
        before = self.open_file()
        before.table.merge(record("a", 5))
        quiet = record("quiet", 5, silent=True)
        before.table.merge(dataclasses.replace(quiet, address="v:2"))
        await self.write(before)
        after = self.open_file()
        after.load()
        self.assertEqual(["a"], [r.id for r in after.table.active()])
        # A restored target that is not heard from soon counts as silent.
        self.now += 2.3
        self.assertEqual(["a"], [r.id for r in after.table.mark_silent(4.2)])
        self.assertTrue(after.table.merge(record("a", 6)))

    async def test_new_target_takes_a_restored_address(self):
        before = self.open_file()
        before.table.merge(record("a", 5))
        await self.write(before)
        after = self.open_file()
        after.load()
        self.assertTrue(after.table.merge(record("b", 9)))
        self.assertEqual(["b"], [r.id for r in after.table.active()])

    async def test_targets_of_an_old_file_are_ignored(self):
        before = self.open_file()
        before.table.merge(record("a", 5))
        await self.write(before)
        self.time_of_day += hint_file.MAX_TARGETS_AGE_SECONDS + 1
        after = self.open_file()
        after.load()
        self.assertEqual([], list(after.table.active()))

    async def test_damaged_file_is_ignored(self):
        hints = self.open_file()
        for data in (b"", b"torn", disk.with_checksum(b"\xc1")):
            self.path.write_bytes(data)
            hints.load()
        self.assertEqual([], hints.exchange.recent_locations())

    async def test_full_disk_is_tolerated(self):
        def write(_fd, _data):
            raise OSError(28, "No space left on device")

        hints = self.open_file(disk.FileOps(write=write))
        hints.exchange.store_locations([["part", "a"]])
        await self.write(hints)
        self.assertTrue(hints.faulty)
        await asyncio.sleep(0)


def record(name, sequence, **fields):
    return messages.TargetRecord(
        name, "s", "v:1", "here", sequence=sequence, **fields
    )
