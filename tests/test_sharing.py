"""Counts and prompt places that routers share through keepers."""

import unittest

from amaranthring.core import links
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

    def report(self, router, counts, places=()):
        home = self.two if router == 2 else self.one
        message = sharing.Report(counts, [list(p) for p in places])
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

    def test_router_that_starts_hears_what_is_known(self):
        """All routers are restarted in turn during a busy day.

        One that knows no place sends each long prompt to a target that has
        to read it again.
        """
        self.report(2, {}, [("part", "a")])
        self.step()
        self.report(0, {})
        self.one.step()
        self.assertEqual([["part", "a"]], self.routers[0].sent[-1].places)
        self.now += sharing.KEPT_SECONDS + 1
        self.report(1, {})
        self.one.step()
        self.assertEqual([], self.routers[1].sent[-1].places)
