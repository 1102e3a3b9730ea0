"""Engines that copy prompts from each other instead of reading them.

The load pattern is a day on which the engines of a service are replaced one
after the other while callers return to long beginnings that they share: 5
engines, 23 requests a second, a fifth of them with one of 16 beginnings of
10,000 tokens, the rest with one of 85 beginnings of about 1,000. Rates are
those of the engines that run today: 48 tokens read and 5,000 tokens copied
in a millisecond.
"""

import collections
import dataclasses
import random
import unittest

from amaranthring import routing
from amaranthring.forwarding import placement
from amaranthring.forwarding import prompts
from amaranthring.forwarding import records
from amaranthring.policy import copies
from amaranthring.registry import messages
from amaranthring.registry import targets
from amaranthring.testing import scripted
from tests import test_forwarding

ENGINE = routing.Engine(64, 423_882, 18_432.0, 92.5e9)
SLOW_LINKS = routing.Engine(64, 423_882, 18_432.0, 0.3e9)
REQUESTS_PER_SECOND = 23.0
LONG_SHARE = 0.2
# Each engine announces that it leaves, goes on for two seconds, and the next
# one follows some seconds later.
REPLACE_EVERY = 5.0
DRAIN_SECONDS = 2.0


def route():
    return routing.Route(
        "r", "h", "/", routing.Kind.STREAM, 5.0, 0.5, 0, (),
        with_prompt=True,
    )  # fmt: skip


class Service:
    """Engines as one router knows them, and what they really keep.

    Attributes
    ----------
    read_again : int
        Tokens of shared parts read though an engine that is there, or was
        within the last ten seconds, had read them.
    copied : int
        Tokens of shared parts that were copied.
    """

    def __init__(self, engine: routing.Engine, seed: int):
        self.now = 1000.0
        self.random = random.Random(seed)
        self.engine = engine
        self.table = targets.TargetTable(lambda: self.now, 0.0)
        self.placer = placement.Placer(self.table, "here", lambda: self.now)
        self.keeps: dict[str, set[str]] = collections.defaultdict(set)
        self.used: dict[str, float] = {}
        self.read_again = 0
        self.copied = 0
        self.names = 0
        self.running: list[
            tuple[float, messages.TargetRecord, records.RequestContext]
        ] = []

    def add(self) -> None:
        """Start an engine with an empty memory."""
        self.names += 1
        name = f"e{self.names}"
        self.table.merge(
            messages.TargetRecord(name, "s", f"{name}:1", "here", slots=64)
        )

    def drain_oldest(self) -> None:
        """Let the oldest engine announce that it leaves."""
        oldest = next(
            record
            for record in self.table.active()
            if record.state == messages.State.READY
        )
        oldest.state = messages.State.DRAINING

    def end_drained(self) -> None:
        """End the engines that have announced it."""
        for record in list(self.table.active()):
            if record.state == messages.State.DRAINING:
                self.table.mark_gone(record.id)

    def parts(self):
        """Return the parts of the next prompt."""
        if self.random.random() < LONG_SHARE:
            shared = (f"long{self.random.randrange(16)}", 10_000)
        else:
            shared = (f"short{self.random.randrange(85)}", 1_000)
        own = records.PromptPart(f"own{self.random.random()}", 200)
        return (records.PromptPart(*shared), own)

    def ask(self) -> None:
        """Place one request."""
        self.end_requests()
        incoming = records.Incoming(
            "r", "POST", "/", "/", "h", None, self.now, parts=self.parts()
        )
        passage = records.RequestContext(
            incoming, route(), "", "s", 1, self.now + 10, self.engine
        )
        target = self.placer.choose(passage)
        copy = self.placer.copy_for(passage, target)
        self.placer.begin(target, passage, copy)
        self.account(incoming.parts[0], target.id, copy)
        ends = self.now + self.random.expovariate(1 / 0.9)
        self.running.append((ends, target, passage))

    def account(self, part, name, copy) -> None:
        """Count what the engine `name` reads again or copies."""
        recent = self.now - self.used.get(part.id, -100.0) < 10.0
        if part.id not in self.keeps[name] and recent:
            if copy is not None and part.id in self.keeps[copy.source]:
                self.copied += part.tokens
            else:
                self.read_again += part.tokens
        self.keeps[name].add(part.id)
        self.used[part.id] = self.now

    def end_requests(self) -> None:
        """End the requests whose time has come."""
        for ends, target, passage in list(self.running):
            if ends <= self.now:
                self.placer.prefill_done(target, passage)
                self.placer.end(target, passage)
                self.running.remove((ends, target, passage))

    def play(self, engines: int, seconds: float) -> None:
        """Replace all engines one after the other under load."""
        for _ in range(engines):
            self.add()
        end = self.now + seconds
        replace_at = self.now + REPLACE_EVERY
        end_at = float("inf")
        while self.now < end:
            self.now += self.random.expovariate(REQUESTS_PER_SECOND)
            if self.now >= replace_at:
                self.add()
                self.drain_oldest()
                replace_at += REPLACE_EVERY
                end_at = self.now + DRAIN_SECONDS
            if self.now >= end_at:
                self.end_drained()
                end_at = float("inf")
            self.ask()


class TestEnginesReplaced(unittest.TestCase):
    """All engines of a service are replaced under load."""

    def play(self, engine):
        again = copied = 0
        for seed in (1, 2, 3):
            service = Service(engine, seed)
            service.play(5, 35.0)
            again += service.read_again
            copied += service.copied
        return again, copied

    def test_half_of_what_was_read_again_is_copied(self):
        """Each engine that leaves takes a fifth of all beginnings along.

        Every caller that returns to one of them waits until another engine
        has read it again: 0.2 s for 10,000 tokens, and everybody who runs
        there waits as well.
        """
        without, nothing = self.play(SLOW_LINKS)
        again, copied = self.play(ENGINE)
        self.assertEqual(0, nothing)
        self.assertGreater(copied, 0)
        self.assertLess(again, without / 2)


class TestWhenCopyPays(unittest.TestCase):
    """Copying against reading."""

    def test_long_parts_over_fast_links(self):
        self.assertTrue(copies.is_worthwhile(10_000, ENGINE.copy_rate))
        self.assertTrue(copies.is_worthwhile(500, ENGINE.copy_rate))

    def test_few_tokens_are_read_before_a_copy_begins(self):
        self.assertFalse(copies.is_worthwhile(100, ENGINE.copy_rate))
        self.assertFalse(copies.is_worthwhile(0, ENGINE.copy_rate))

    def test_slow_links_or_none(self):
        self.assertFalse(copies.is_worthwhile(10_000, SLOW_LINKS.copy_rate))
        self.assertFalse(copies.is_worthwhile(10_000, 0.0))
        self.assertEqual(0.0, routing.Engine(64, 1000).copy_rate)

    def test_the_engine_that_keeps_most_then_a_near_one(self):
        asked = copies.Holder("a", "here", 0)
        far = copies.Holder("far", "there", 5_000)
        near = copies.Holder("near", "here", 5_000)
        most = copies.Holder("most", "there", 9_000)
        rate = ENGINE.copy_rate
        self.assertEqual(
            "near", copies.choose([far, near], asked, rate).source
        )
        best = copies.choose([far, most, near], asked, rate)
        self.assertEqual(copies.Copy("most", 9_000), best)

    def test_nobody_keeps_more(self):
        asked = copies.Holder("a", "here", 5_000)
        same = copies.Holder("b", "here", 5_000)
        self.assertIsNone(
            copies.choose([asked, same], asked, ENGINE.copy_rate)
        )
        self.assertIsNone(copies.choose([], asked, ENGINE.copy_rate))


class TestSources(unittest.TestCase):
    """From which engines a router lets another one copy."""

    def setUp(self):
        self.now = 100.0
        self.table = targets.TargetTable(lambda: self.now, 0.0)
        for name in ("e0", "e1"):
            self.table.merge(
                messages.TargetRecord(name, "s", f"{name}:1", "here")
            )
        self.placer = placement.Placer(self.table, "here", lambda: self.now)
        self.parts = (
            records.PromptPart("a", 10_000),
            records.PromptPart("own", 10),
        )
        self.old = self.table.entries["e0"].record
        self.new = self.table.entries["e1"].record
        self.placer.prefixes.record_sent(self.parts, "e0")

    def passage(self, engine=ENGINE):
        incoming = records.Incoming(
            "r", "POST", "/", "/", "h", None, self.now, parts=self.parts
        )
        return records.RequestContext(
            incoming, route(), "", "s", 1, 200.0, engine
        )

    def copy(self, engine=ENGINE):
        return self.placer.copy_for(self.passage(engine), self.new)

    def test_only_what_was_read(self):
        """A long prompt has just been sent to an engine.

        Another engine that copies from it at once finds nothing there, and
        the prompt is read twice.
        """
        self.assertIsNone(self.copy())
        self.now += prompts.PREFILL_SECONDS
        self.assertEqual("e0", self.copy().source)
        self.assertEqual("e0:1", self.placer.source_address(self.copy()))

    def test_first_event_shows_that_it_was_read(self):
        self.placer.begin(self.old, passage := self.passage())
        self.placer.end(self.old, passage)
        self.assertIsNone(self.copy())
        self.placer.prefill_done(self.old, passage)
        self.assertEqual("e0", self.copy().source)

    def test_engine_that_drains_is_a_source_until_it_is_gone(self):
        """An engine has drained, says that it is gone and ends at once.

        Others that were told to copy from it waited a third of a second for
        nobody, and then read the whole prompt.
        """
        self.now += 1.0
        self.old.state = messages.State.DRAINING
        self.assertEqual("e0", self.copy().source)
        self.table.mark_gone("e0")
        self.assertIsNone(self.copy())

    def test_engine_that_leaves_without_draining_goes_on_for_a_while(self):
        self.now += 1.0
        gone = dataclasses.replace(self.old, state=messages.State.GONE)
        self.table.merge(gone)
        self.assertEqual("e0", self.copy().source)
        self.now += placement.LINGER_SECONDS
        self.assertIsNone(self.copy())

    def test_engine_whose_address_another_has_is_none(self):
        self.now += 1.0
        self.placer.record_replaced(self.old)
        self.assertIsNone(self.copy())

    def test_engine_that_cannot_be_reached_is_none(self):
        self.now += 1.0
        self.placer.record_failure(self.old, reached=False)
        self.assertIsNone(self.copy())

    def test_engines_that_do_not_copy(self):
        self.now += 1.0
        self.assertIsNone(self.copy(routing.Engine(64, 1000)))
        self.assertIsNone(self.copy(None))


class TestCopiesOnTheWire(test_forwarding.RouterCase):
    """What a target is told."""

    async def test_target_learns_where_to_copy_from(self):
        plan = routing.Plan(
            1,
            (
                routing.Route(
                    "r", "h", "/a/", routing.Kind.STREAM, 5.0, 0.5, 0,
                    (routing.Share("s", 1),), public=True, with_prompt=True,
                ),
            ),
            (routing.Service("s", "/health", 10, ENGINE),),
        )  # fmt: skip
        await self.begin(scripted.events(3), scripted.events(3))
        self.router.table = routing.RouteTable(plan)
        prompt = {"Test_Prompt": "long:10000,own:10"}
        await self.ask("/a/x", "POST", **prompt)
        first = next(one for one in self.targets if one.seen)
        other = next(one for one in self.targets if not one.seen)
        self.assertNotIn(scripted.COPY, first.seen[0].headers)
        entry = self.router.targets.entries[first.name]
        entry.record.state = messages.State.DRAINING
        await self.ask("/a/x", "POST", **prompt)
        self.assertEqual(first.address, other.seen[0].headers[scripted.COPY])
