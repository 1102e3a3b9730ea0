"""Counts and prompt places that routers share through keepers."""

import asyncio
import collections
import dataclasses
import pathlib
import random
import tempfile
import unittest

from amaranthring.core import links
from amaranthring.core import pacing
from amaranthring.core import wire
from amaranthring.keepers import disk
from amaranthring.registry import hint_file
from amaranthring.registry import messages
from amaranthring.registry import reporting
from amaranthring.registry import sharing
from amaranthring.registry import targets

SEED = 20261203


class FakeLink:
    """Keeps what is sent to a router."""

    def __init__(self, name):
        self.peer = links.Identity(name, "router", "here")
        self.closed = False
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class FakeDialler:
    """Hands messages to another keeper's exchange."""

    def __init__(self, name, exchange):
        self.link = FakeLink(name)
        self.exchange = exchange

    def send(self, message):
        self.exchange().handlers.by_class[sharing.Sums](self.link, message)


class TestExchange(unittest.TestCase):
    """Two keepers, with two routers at one and one at the other."""

    def setUp(self):
        self.now = 100.0
        self.one = self.exchange("one", lambda: self.two)
        self.two = self.exchange("two", lambda: self.one)
        self.routers = [FakeLink(f"r{n}") for n in range(3)]

    def exchange(self, name, other):
        handlers = links.Handlers()
        dialler = FakeDialler(name, other)
        made = sharing.Exchange(handlers, lambda: [dialler], lambda: self.now)
        made.handlers = handlers
        return made

    def report(self, router, counts, places=(), unreached=()):
        home = self.two if router == 2 else self.one
        message = sharing.Report(
            counts, [list(p) for p in places], list(unreached)
        )
        home.handlers.by_class[sharing.Report](self.routers[router], message)

    def step(self):
        # Sums go over once before they are handed on.
        for exchange in (self.one, self.two, self.one, self.two):
            exchange.step()

    def test_each_router_hears_the_counts_of_all_others(self):
        self.report(0, {"a": 1})
        self.report(1, {"a": 2, "b": 1})
        self.report(2, {"b": 4})
        self.step()
        last = [router.sent[-1].counts for router in self.routers]
        self.assertEqual({"a": 2, "b": 5}, last[0])
        self.assertEqual({"a": 1, "b": 4}, last[1])
        self.assertEqual({"a": 3, "b": 1}, last[2])

    def test_counts_of_a_lost_keeper_and_a_lost_router_end(self):
        self.report(0, {"a": 1})
        self.report(1, {"a": 2})
        self.report(2, {"b": 4})
        self.step()
        self.now += sharing.STALE_SECONDS
        self.routers[1].closed = True
        self.one.step()
        self.assertEqual({}, self.routers[0].sent[-1].counts)

    def test_router_that_reports_to_another_keeper_counts_once(self):
        """A router finds the keeper of its own data centre a moment later.

        The first one went on counting what it had said, and targets seemed
        to hold requests that were long answered.
        """
        self.report(0, {"a": 3})
        self.report(1, {})
        self.step()
        self.now += sharing.STALE_SECONDS + 0.1
        self.report(1, {})
        self.report(2, {})
        self.step()
        self.assertEqual({}, self.routers[1].sent[-1].counts)
        self.assertNotIn(self.routers[0], self.one.routers)

    def test_each_router_hears_who_else_could_not_reach_a_target(self):
        self.report(0, {}, unreached=["a"])
        self.report(1, {}, unreached=["a", "b"])
        self.report(2, {})
        self.step()
        last = [router.sent[-1].unreached for router in self.routers]
        self.assertEqual({"a": 1, "b": 1}, last[0])
        self.assertEqual({"a": 1}, last[1])
        self.assertEqual({"a": 2, "b": 1}, last[2])

    def test_places_come_a_part_at_a_time_the_newest_first(self):
        """A data centre's cut heals, and its routers come back together.

        Each got all places at once, 80 KB, over links that carry the
        keepers' heartbeats as well; the leader was lost again.
        """
        most = sharing.LOCATIONS_PER_MESSAGE
        pairs = [(f"p{n}", "a") for n in range(3 * most)]
        self.report(0, {}, pairs)
        self.report(1, {})
        sizes = []
        for _ in range(4):
            sizes.append(len(self.routers[1].sent[-1].places))
            self.one.step()
        self.assertEqual([most, most, most, 0], sizes)
        first = self.routers[1].sent[0].places
        self.assertEqual([f"p{3 * most - 1}", "a"], first[-1])

    def test_small_fleet_hears_all_places_at_once(self):
        """All VMs lose power; 7 routers return to 3 keepers on 6 Mbit/s.

        About 1,000 pairs are known: 34 beginnings of 10,000 tokens and 230
        shorter ones, each kept by three or four engines. At 100 a message
        they took 2.5 s, and the callers that had waited for the plan had
        170,000 tokens read again meanwhile.
        """
        self.one.pacer = pacing.Pacer({}, lambda: self.now, 0.75e6)
        for router in (1, 2):
            self.report(router, {})
        self.report(0, {}, [(f"p{n}", "a") for n in range(1000)])
        for _ in range(2):
            self.one.step()
        heard = sum(len(m.places) for m in self.routers[1].sent)
        self.assertEqual(1000, heard)
        pairs_a_second = heard / sharing.REPORT_SECONDS
        bytes_a_second = 2 * pairs_a_second * sharing.PAIR_BYTES
        self.assertLess(bytes_a_second, 2 * 0.25 * 0.75e6)

    def test_keeper_that_lost_its_disk_is_told_what_it_knew(self):
        """A keeper's disk is wiped, and all VMs lose their power.

        The routers that report to it read each prompt again where they
        found no place for it, for ten seconds and more.
        """
        self.report(0, {}, [("part", "a"), ("part", "b")])
        self.step()
        self.two = self.exchange("two", lambda: self.one)
        self.report(2, {})
        self.assertEqual([], self.routers[2].sent[-1].places)
        self.one.sync_keeper(next(iter(self.one.peers())))
        self.step()
        heard = [p for m in self.routers[2].sent for p in m.places]
        self.assertEqual([["part", "a"], ["part", "b"]], sorted(heard))
        self.step()
        again = [p for m in self.routers[2].sent for p in m.places]
        self.assertEqual(len(heard), len(again))

    def test_places_reach_every_other_router_once(self):
        for router in range(3):
            self.report(router, {})
        self.report(0, {}, [("part", "a")])
        self.step()
        self.step()
        heard = [
            [place for message in router.sent for place in message.places]
            for router in self.routers
        ]
        self.assertEqual([[], [["part", "a"]], [["part", "a"]]], heard)

    def test_router_that_starts_is_answered_at_once(self):
        self.report(1, {"a": 2})
        self.report(0, {})
        self.assertEqual({"a": 2}, self.routers[0].sent[-1].counts)

    def test_router_that_starts_hears_what_is_known(self):
        """All routers are restarted in turn during a busy day.

        One that knows no place sends each long prompt to a target that has
        to read it again.
        """
        self.report(2, {}, [("part", "a")])
        self.step()
        self.report(0, {})
        self.assertEqual([["part", "a"]], self.routers[0].sent[-1].places)
        self.one.step()
        self.assertEqual([], self.routers[0].sent[-1].places)
        self.now += sharing.RETENTION_SECONDS + 1
        self.report(1, {})
        self.assertEqual([], self.routers[1].sent[-1].places)


class TestTurningAway(unittest.TestCase):
    """A router that reports to one keeper after the other.

    All routers come back after a loss of power, or a cut begins: they report
    to the first keeper that they reach, and a moment later to that of their
    data centre, or to one that is left. The first keeper went on telling
    them places for 1.5 s, the next one began with all places anew.
    ``places.behind`` of keepers showed up to 3,000 pairs waiting for each
    router, half of them at keepers that it had turned away from; meanwhile
    routers sent prompts where they were read again.
    """

    def setUp(self):
        self.now = 100.0
        self.keepers = [self.keeper(name) for name in ("one", "two")]
        self.links = [FakeLink(name) for name in ("one", "two")]
        self.home = 0
        self.others = []
        handlers = links.Handlers()
        self.member = reporting.Reporter(
            handlers,
            lambda: self.links[self.home],
            lambda: sharing.Report({"a": 1}, []),
            self.others.append,
            lambda: self.now,
        )
        self.on_others = handlers.by_class[sharing.Others]

    def keeper(self, name):
        handlers = links.Handlers()
        made = sharing.Exchange(
            handlers, lambda: self.diallers(name), lambda: self.now
        )
        made.handlers = handlers
        return made

    def diallers(self, name):
        if name == "one":
            return [FakeDialler("one", lambda: self.keepers[1])]
        return [FakeDialler("two", lambda: self.keepers[0])]

    def turn(self, home=None):
        """Let the router report, and the keepers hear it and answer."""
        if home is not None:
            self.home = home
        self.member.report()
        for number, link in enumerate(self.links):
            # What the router sent comes on the keeper's end of the link.
            said, link.sent = link.sent, []
            for message in said:
                handlers = self.keepers[number].handlers
                handlers.by_class[type(message)](link, message)
        for keeper in self.keepers:
            keeper.step()
        self.now += sharing.REPORT_SECONDS
        return self.hear()

    def hear(self):
        """Return the pairs that the router was told, by keeper."""
        heard = []
        for link in self.links:
            said, link.sent = link.sent, []
            for message in said:
                self.on_others(link, message)
            heard.append([pair for one in said for pair in one.places])
        return heard

    def keep(self, names):
        for keeper in self.keepers:
            keeper.store_locations([[name, "a"] for name in names])

    def test_keeper_that_it_left_tells_it_nothing_more(self):
        self.keep([f"p{n}" for n in range(10 * sharing.LOCATIONS_PER_MESSAGE)])
        self.turn()
        [left, right] = self.turn(home=1)
        self.assertEqual([], left)
        self.assertNotEqual([], right)
        self.assertNotIn(self.links[0], self.keepers[0].routers)

    def test_router_that_knows_all_is_told_only_what_is_new(self):
        self.keep(["old"])
        for _ in range(3):
            self.turn()
        self.now += 5.0
        for _ in range(3):
            self.turn()
        self.keep(["new"])
        [_, right] = self.turn(home=1)
        self.assertEqual([["new", "a"]], right)

    def test_router_that_was_behind_is_told_all(self):
        self.keep([f"p{n}" for n in range(10 * sharing.LOCATIONS_PER_MESSAGE)])
        self.turn()
        heard = []
        for _ in range(12):
            heard += self.turn(home=1)[1]
        self.assertEqual(10 * sharing.LOCATIONS_PER_MESSAGE, len(heard))

    def test_keeper_that_hears_no_other_says_not_that_it_told_all(self):
        """A router reports to a keeper that is cut off from the others.

        What they learned meanwhile must come whole when it turns to them.
        """
        self.diallers = lambda name: [FakeDialler(name, self.lost)]
        self.keep(["old"])
        for _ in range(8):
            self.turn()
        self.keepers[1].store_locations([["unheard", "a"]])
        self.now += 5.0
        for _ in range(8):
            self.turn()
        [_, right] = self.turn(home=1)
        self.assertEqual([["old", "a"], ["unheard", "a"]], sorted(right))

    def lost(self):
        """Return a keeper to which all that is sent is lost."""
        return self.keeper("lost")


class TestLongPartsFirst(unittest.TestCase):
    """A link that has no room for all that routers have yet to be told.

    All routers come back after a loss of power, and some are cut off: 1,000
    to 3,000 pairs wait for each (``places.behind``). The newest went first,
    and engines read long beginnings again whose places came seconds later:
    a tenth of the parts holds half of all tokens asked for. With the longest
    parts first as much was read again: a part is found only behind those
    before it, which are short and came last.
    """

    def setUp(self):
        handlers = links.Handlers()
        self.now = 100.0
        self.keeper = sharing.Exchange(handlers, list, lambda: self.now)
        self.on_report = handlers.by_class[sharing.Report]
        self.router = FakeLink("r0")

    def report(self, link, lengths):
        pairs = [[name, "a"] for name in lengths]
        self.on_report(link, sharing.Report({}, pairs, tokens=lengths))

    def heard(self):
        return [p for m in self.router.sent for p, _ in m.places]

    def lengths(self, kind, tokens):
        count = sharing.LOCATIONS_PER_MESSAGE
        return {f"{kind}{n}": tokens for n in range(count)}

    def test_router_that_starts(self):
        long = self.lengths("long", 20_000)
        self.report(FakeLink("r1"), long)
        self.report(FakeLink("r1"), self.lengths("short", 300))
        self.report(self.router, {})
        self.assertCountEqual(long, self.heard())

    def test_news(self):
        self.report(FakeLink("r1"), self.lengths("old", 300))
        self.report(self.router, {})
        long = self.lengths("long", 20_000)
        self.report(FakeLink("r1"), long)
        self.report(FakeLink("r1"), self.lengths("short", 300))
        self.router.sent.clear()
        self.keeper.step()
        self.assertCountEqual(long, self.heard())

    def test_nothing_is_left_out(self):
        for kind, tokens in (("a", 9), ("b", 20_000), ("c", 300)):
            self.report(FakeLink("r1"), self.lengths(kind, tokens))
        self.report(self.router, {})
        self.report(FakeLink("r1"), self.lengths("d", 1000))
        for _ in range(6):
            self.keeper.step()
        self.assertEqual(4 * sharing.LOCATIONS_PER_MESSAGE, len(self.heard()))
        self.assertEqual(len(set(self.heard())), len(self.heard()))


class CountedLink(FakeLink):
    """Counts the bytes that a router or keeper is sent."""

    def __init__(self, name, sent):
        super().__init__(name)
        self.bytes = sent

    def send(self, message):
        frame = wire.encode(wire.ONE_WAY, 0, message)
        self.bytes[wire.tag_of(type(message))] += len(frame)
        super().send(message)


class TestBusyLink(unittest.TestCase):
    """A keeper on 6 Mbit/s with a fifth of 87 routers, before 93 targets."""

    routers = 17
    targets = 93
    link_rate = 0.75e6
    # A quarter of a second's news: 430 requests a second, most of them with
    # a part that is new at its target or with none.
    news = 60

    def setUp(self):
        self.now = 100.0
        self.chance = random.Random(SEED)
        self.sent = collections.Counter()
        self.pacer = pacing.Pacer(self.sent, lambda: self.now, self.link_rate)
        handlers = links.Handlers()
        self.peers = [CountedLink(f"k{n}", self.sent) for n in range(5)]
        self.keeper = sharing.Exchange(
            handlers, lambda: self.peers, lambda: self.now, self.pacer
        )
        self.on_report = handlers.by_class[sharing.Report]
        self.ids = [f"i-{self.hexadecimal(40)}" for _ in range(self.targets)]
        self.links = []
        self.told = [0] * self.routers
        self.heard = [{} for _ in range(self.routers)]

    def hexadecimal(self, bits):
        return f"{self.chance.getrandbits(bits):0{bits // 4}x}"

    def add_routers(self):
        for number in range(self.routers):
            self.links.append(CountedLink(f"r{number}", self.sent))
            self.report(number, [])

    def report(self, number, pairs):
        counts = {name: self.chance.randint(1, 3) for name in self.ids}
        reading = {name: self.chance.randint(1, 9999) for name in self.ids}
        message = sharing.Report(counts, pairs, reading=reading)
        self.on_report(self.links[number], message)

    def step(self, news):
        """Let a quarter of a second pass in which `news` pairs come."""
        pairs = [
            [self.hexadecimal(32), self.chance.choice(self.ids)]
            for _ in range(news)
        ]
        for number in range(self.routers):
            self.report(number, pairs[number :: self.routers])
        self.now += sharing.REPORT_SECONDS
        self.keeper.step()
        for number, link in enumerate(self.links):
            for message in link.sent[self.told[number] :]:
                for part, _ in message.places:
                    self.heard[number].setdefault(part, self.now)
            self.told[number] = len(link.sent)
        return [part for part, _ in pairs]

    def test_news_reach_every_router_at_once(self):
        """Routers send prompts where they are read again, on a calm day.

        Keepers told each router what it does, counts of 93 targets, four
        times a second; that took the half of the link that places share,
        and what was left went to those routers that came first. Others
        were 500 pairs behind (``places.behind``) and read 12 million tokens
        again in a day where the code without the bound read 5 million.
        """
        self.add_routers()
        came = {}
        for _ in range(40):
            began = self.now
            came |= dict.fromkeys(self.step(self.news), began)
        for _ in range(2):
            self.step(0)
        for number, heard in enumerate(self.heard):
            reported = set(came) - self.reported_by(number, came)
            self.assertEqual(reported - set(heard), set(), number)
            late = max(heard[part] - came[part] for part in reported)
            self.assertLessEqual(late, 2 * sharing.REPORT_SECONDS, number)

    def reported_by(self, number, came):
        """Return the parts that router `number` reported itself."""
        parts = list(came)
        steps = [
            parts[first : first + self.news]
            for first in range(0, len(parts), self.news)
        ]
        return {
            part for step in steps for part in step[number :: self.routers]
        }

    def test_routers_that_come_back_are_told_in_turn(self):
        """All routers lose power while 1,400 pairs are known.

        What the link has left is shared alike: none waits for the others.
        Half of the link stays for heartbeats.
        """
        known = [
            [self.hexadecimal(32), self.chance.choice(self.ids)]
            for _ in range(1400)
        ]
        self.keeper.store_locations(known)
        self.add_routers()
        before = sum(self.sent.values())
        began = self.now
        while self.now < began + 1.5:
            self.step(0)
        for number, heard in enumerate(self.heard):
            self.assertEqual(len(heard), 1400, number)
        used = sum(self.sent.values()) - before
        burst = pacing.BURST_SECONDS
        most = pacing.SHARE * self.link_rate * (1.5 + 2 * burst)
        self.assertLess(used, most)


class TestHintFile(unittest.IsolatedAsyncioTestCase):
    """Places and targets on a keeper's disk."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "hints"
        self.now = 100.0
        self.time_of_day = 1e9

    def opened(self, files=None):
        made = hint_file.HintFile(
            self.path,
            sharing.Exchange(links.Handlers(), list, lambda: self.now),
            targets.TargetTable(lambda: self.now, 1.8),
            2.0,
            files,
            lambda: self.time_of_day,
        )
        self.addCleanup(made.close)
        return made

    async def write(self, made):
        made._note(made._write(made._hints()))

    async def test_whole_fleet_loses_power(self):
        """All VMs lose power; the engines run on with their prompts.

        Routers and keepers that start know nothing, and the first request
        for each long beginning reads it at another engine.
        """
        before = self.opened()
        before.exchange.store_locations([["part", "b"], ["part", "a"]])
        before.exchange.tokens = {"part": 20_000, "gone": 300}
        await self.write(before)
        after = self.opened()
        after.load()
        self.assertEqual({"part": 20_000}, after.exchange.tokens)
        # The newest last, as they are sent from there.
        self.assertEqual(
            [["part", "b"], ["part", "a"]], after.exchange.recent_locations()
        )

    async def test_targets_are_known_before_they_announce_themselves(self):
        """All VMs lose power; targets announce themselves within a beat.

        Until then the first one that did so got every request.
        """
        before = self.opened()
        before.table.merge(record("a", 5))
        quiet = record("quiet", 5, silent=True)
        before.table.merge(dataclasses.replace(quiet, address="v:2"))
        await self.write(before)
        after = self.opened()
        after.load()
        self.assertEqual(["a"], [one.id for one in after.table.active()])
        # One that has ended meanwhile does not count for long.
        self.now += 2.3
        self.assertEqual(["a"], [r.id for r in after.table.mark_silent(4.2)])
        self.assertTrue(after.table.merge(record("a", 6)))

    async def test_target_that_took_an_address_meanwhile_gets_it(self):
        before = self.opened()
        before.table.merge(record("a", 5))
        await self.write(before)
        after = self.opened()
        after.load()
        self.assertTrue(after.table.merge(record("b", 9)))
        self.assertEqual(["b"], [one.id for one in after.table.active()])

    async def test_targets_of_an_old_file_are_not_believed(self):
        before = self.opened()
        before.table.merge(record("a", 5))
        await self.write(before)
        self.time_of_day += hint_file.MAX_TARGETS_AGE_SECONDS + 1
        after = self.opened()
        after.load()
        self.assertEqual([], list(after.table.active()))

    async def test_damaged_file_is_no_file(self):
        made = self.opened()
        for data in (b"", b"torn", disk.with_checksum(b"\xc1")):
            self.path.write_bytes(data)
            made.load()
        self.assertEqual([], made.exchange.recent_locations())

    async def test_full_disk_stops_nothing(self):
        def write(_fd, _data):
            raise OSError(28, "No space left on device")

        made = self.opened(disk.FileOps(write=write))
        made.exchange.store_locations([["part", "a"]])
        await self.write(made)
        self.assertTrue(made.faulty)
        await asyncio.sleep(0)


def record(name, sequence, **fields):
    return messages.TargetRecord(
        name, "s", "v:1", "here", sequence=sequence, **fields
    )
