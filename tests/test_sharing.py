"""Counts and prompt places that routers share through keepers."""

import asyncio
import pathlib
import tempfile
import unittest

from amaranthring.core import links
from amaranthring.keepers import disk
from amaranthring.registry import place_file
from amaranthring.registry import sharing


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
        made = sharing.Exchange(
            handlers, lambda: [FakeDialler(name, other)], lambda: self.now
        )
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
        most = sharing.PLACES_A_MESSAGE
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
        self.now += sharing.KEPT_SECONDS + 1
        self.report(1, {})
        self.assertEqual([], self.routers[1].sent[-1].places)


class TestPlaceFile(unittest.IsolatedAsyncioTestCase):
    """Places on a keeper's disk."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "places"

    def exchange(self):
        return sharing.Exchange(links.Handlers(), list, lambda: 100.0)

    def opened(self, files=None):
        made = place_file.PlaceFile(self.path, self.exchange(), files)
        self.addCleanup(made.close)
        return made

    async def write(self, made):
        made._note(made._write(sorted(made.exchange.all_kept())))

    async def test_whole_fleet_loses_power(self):
        """All VMs lose power; the engines run on with their prompts.

        Routers and keepers that start know nothing, and the first request
        for each long beginning reads it at another engine.
        """
        before = self.opened()
        before.exchange.keep([["part", "a"], ["part", "b"]])
        await self.write(before)
        after = self.opened()
        after.load()
        self.assertEqual(
            [["part", "a"], ["part", "b"]], after.exchange.all_kept()
        )

    async def test_damaged_file_is_no_file(self):
        made = self.opened()
        for data in (b"", b"torn", disk.with_checksum(b"\xc1")):
            self.path.write_bytes(data)
            made.load()
        self.assertEqual([], made.exchange.all_kept())

    async def test_full_disk_stops_nothing(self):
        def write(_fd, _data):
            raise OSError(28, "No space left on device")

        made = self.opened(disk.Files(write=write))
        made.exchange.keep([["part", "a"]])
        await self.write(made)
        self.assertTrue(made.faulty)
        await asyncio.sleep(0)
