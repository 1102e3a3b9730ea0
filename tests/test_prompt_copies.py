"""Engines that copy cached prefixes from each other instead of prefilling.

In the scenario the engines of a service are replaced one after the other
under load: 5 engines and 23 requests per second, a fifth of them with one of
16 prefixes of 10,000 tokens, the rest with one of 85 prefixes of 1,000. An
engine prefills 48 tokens and copies 5,000 tokens per millisecond.
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
from amaranthring.testing import scripted_target
from tests import test_forwarding

ENGINE = routing.Engine(64, 423_882, 18_432.0, 92.5e9)
SLOW_LINKS = routing.Engine(64, 423_882, 18_432.0, 0.3e9)
REQUESTS_PER_SECOND = 23.0
LONG_SHARE = 0.2
# Interval between replacements, and time that an engine still serves after it
# has started to drain.
REPLACE_SECONDS = 5.0
DRAIN_SECONDS = 2.0


def route():
    return routing.Route(
        "r", "h", "/", routing.Kind.STREAM, 5.0, 0.5, 0, (),
        with_prompt=True,
    )  # fmt: skip


class Service:
    """Engines as known to one router, and the prefixes they have cached.

    Attributes
    ----------
    recomputed_tokens : int
        Tokens of shared parts that were prefilled although an engine had
        cached them within the last ten seconds.
    copied_tokens : int
        Tokens of shared parts that were copied.
    """

    def __init__(self, engine: routing.Engine, seed: int):
        self.now = 1000.0
        self.random = random.Random(seed)
        self.engine = engine
        self.table = targets.TargetTable(lambda: self.now, 0.0)
        self.placer = placement.Placer(self.table, "here", lambda: self.now)
        self.cached: dict[str, set[str]] = collections.defaultdict(set)
        self.last_used: dict[str, float] = {}
        self.recomputed_tokens = 0
        self.copied_tokens = 0
        self.started = 0
        self.running: list[
            tuple[float, messages.TargetRecord, records.RequestContext]
        ] = []

    def add(self) -> None:
        """Start an engine with an empty cache."""
        self.started += 1
        name = f"e{self.started}"
        self.table.merge(
            messages.TargetRecord(
                name, "s", f"{name}:1", "here", "v1", slots=64
            )
        )

    def drain_oldest(self) -> None:
        """Let the oldest engine start to drain."""
        oldest = next(
            record
            for record in self.table.active()
            if record.state == messages.State.READY
        )
        oldest.state = messages.State.DRAINING

    def stop_drained(self) -> None:
        """Stop the engines that drain."""
        for record in list(self.table.active()):
            if record.state == messages.State.DRAINING:
                self.table.mark_gone(record.id)

    def next_parts(self):
        """Return the parts of the next prompt."""
        if self.random.random() < LONG_SHARE:
            shared = (f"long{self.random.randrange(16)}", 10_000)
        else:
            shared = (f"short{self.random.randrange(85)}", 1_000)
        own = records.PromptPart(f"own{self.random.random()}", 200)
        return (records.PromptPart(*shared), own)

    def place(self) -> None:
        """Place one request."""
        self.end_requests()
        incoming = records.Incoming(
            "r", "POST", "/", "/", "h", None, self.now, parts=self.next_parts()
        )
        context = records.RequestContext(
            incoming, route(), "", "s", 1, self.now + 10, self.engine
        )
        target = self.placer.choose(context)
        copy = self.placer.copy_for(context, target)
        run = self.placer.begin(target, context, copy)
        self.record(incoming.parts[0], target.id, copy)
        ends_at = self.now + self.random.expovariate(1 / 0.9)
        self.running.append((ends_at, run, context))

    def record(self, part, name, copy) -> None:
        """Record what the engine `name` recomputes or copies."""
        recent = self.now - self.last_used.get(part.id, -100.0) < 10.0
        if part.id not in self.cached[name] and recent:
            if copy is not None and part.id in self.cached[copy.source]:
                self.copied_tokens += part.tokens
            else:
                self.recomputed_tokens += part.tokens
        self.cached[name].add(part.id)
        self.last_used[part.id] = self.now

    def end_requests(self) -> None:
        """End the requests that are complete."""
        for ends_at, run, context in list(self.running):
            if ends_at <= self.now:
                self.placer.prefill_done(run, context)
                self.placer.end(run, context)
                self.running.remove((ends_at, run, context))

    def run(self, engines: int, seconds: float) -> None:
        """Replace the engines one after the other under load."""
        for _ in range(engines):
            self.add()
        run_until = self.now + seconds
        replace_at = self.now + REPLACE_SECONDS
        stop_at = float("inf")
        while self.now < run_until:
            self.now += self.random.expovariate(REQUESTS_PER_SECOND)
            if self.now >= replace_at:
                self.add()
                self.drain_oldest()
                replace_at += REPLACE_SECONDS
                stop_at = self.now + DRAIN_SECONDS
            if self.now >= stop_at:
                self.stop_drained()
                stop_at = float("inf")
            self.place()


class TestEnginesReplaced(unittest.TestCase):
    """All engines of a service are replaced under load."""

    def run_service(self, engine):
        recomputed = copied = 0
        for seed in (1, 2, 3):
            service = Service(engine, seed)
            service.run(5, 35.0)
            recomputed += service.recomputed_tokens
            copied += service.copied_tokens
        return recomputed, copied

    def test_copying_halves_recomputed_tokens(self):
        """A fifth of all cached prefixes is lost with each engine that leaves.

        Recomputing one takes 0.2 s for 10,000 tokens and delays all other
        requests at that engine.
        """
        without_copies, none_copied = self.run_service(SLOW_LINKS)
        recomputed, copied = self.run_service(ENGINE)
        self.assertEqual(0, none_copied)
        self.assertGreater(copied, 0)
        self.assertLess(recomputed, without_copies / 2)


class TestIsWorthwhile(unittest.TestCase):
    """Whether a copy is faster than prefill."""

    def test_many_tokens_over_fast_links(self):
        self.assertTrue(copies.is_worthwhile(10_000, ENGINE.copy_rate))
        self.assertTrue(copies.is_worthwhile(500, ENGINE.copy_rate))

    def test_few_tokens_are_not_worth_the_setup(self):
        self.assertFalse(copies.is_worthwhile(100, ENGINE.copy_rate))
        self.assertFalse(copies.is_worthwhile(0, ENGINE.copy_rate))

    def test_slow_links_or_none(self):
        self.assertFalse(copies.is_worthwhile(10_000, SLOW_LINKS.copy_rate))
        self.assertFalse(copies.is_worthwhile(10_000, 0.0))
        self.assertEqual(0.0, routing.Engine(64, 1000).copy_rate)

    def test_longest_prefix_then_same_data_centre_is_preferred(self):
        receiver = copies.Holder("a", "here", 0)
        far = copies.Holder("far", "there", 5_000)
        near = copies.Holder("near", "here", 5_000)
        most = copies.Holder("most", "there", 9_000)
        rate = ENGINE.copy_rate
        self.assertEqual(
            "near", copies.choose([far, near], receiver, rate).source
        )
        best = copies.choose([far, most, near], receiver, rate)
        self.assertEqual(copies.Copy("most", 9_000), best)

    def test_no_copy_if_no_engine_has_a_longer_prefix(self):
        receiver = copies.Holder("a", "here", 5_000)
        same = copies.Holder("b", "here", 5_000)
        self.assertIsNone(
            copies.choose([receiver, same], receiver, ENGINE.copy_rate)
        )
        self.assertIsNone(copies.choose([], receiver, ENGINE.copy_rate))


class TestSources(unittest.TestCase):
    """Engines that others may copy from."""

    def setUp(self):
        self.now = 100.0
        self.table = targets.TargetTable(lambda: self.now, 0.0)
        for name in ("e0", "e1"):
            self.table.merge(
                messages.TargetRecord(name, "s", f"{name}:1", "here", "v1")
            )
        self.placer = placement.Placer(self.table, "here", lambda: self.now)
        self.parts = (
            records.PromptPart("a", 10_000),
            records.PromptPart("own", 10),
        )
        self.old = self.table.entries["e0"].record
        self.new = self.table.entries["e1"].record
        self.placer.prefixes.record_sent(self.parts, "e0")

    def context(self, engine=ENGINE):
        incoming = records.Incoming(
            "r", "POST", "/", "/", "h", None, self.now, parts=self.parts
        )
        return records.RequestContext(
            incoming, route(), "", "s", 1, 200.0, engine
        )

    def copy(self, engine=ENGINE):
        return self.placer.copy_for(self.context(engine), self.new)

    def test_only_prefilled_tokens_are_copied(self):
        """A long prompt has just been sent to an engine.

        Another engine that copies from it at once would find nothing.
        """
        self.assertIsNone(self.copy())
        self.now += prompts.PREFILL_SECONDS
        self.assertEqual("e0", self.copy().source)
        self.assertEqual("e0:1", self.placer.source_address(self.copy()))

    def test_first_event_shows_that_prefill_is_done(self):
        run = self.placer.begin(self.old, context := self.context())
        self.placer.end(run, context)
        self.assertIsNone(self.copy())
        self.placer.prefill_done(run, context)
        self.assertEqual("e0", self.copy().source)

    def test_draining_engine_is_a_source_until_it_is_gone(self):
        """An engine that has drained stops at once when it is gone.

        Copying from it would only delay the prefill.
        """
        self.now += 1.0
        self.old.state = messages.State.DRAINING
        self.assertEqual("e0", self.copy().source)
        self.table.mark_gone("e0")
        self.assertIsNone(self.copy())

    def test_engine_gone_without_draining_remains_a_source_for_a_while(self):
        self.now += 1.0
        gone = dataclasses.replace(self.old, state=messages.State.GONE)
        self.table.merge(gone)
        self.assertEqual("e0", self.copy().source)
        self.now += placement.LINGER_SECONDS
        self.assertIsNone(self.copy())

    def test_engine_of_another_version_is_not_a_source(self):
        """Guards against memory of a version that may not fit."""
        self.now += 1.0
        self.old.release = "v2"
        self.assertIsNone(self.copy())
        self.old.release = self.new.release = ""
        self.assertIsNone(self.copy())

    def test_replaced_engine_is_not_a_source(self):
        self.now += 1.0
        self.placer.record_replaced(self.old)
        self.assertIsNone(self.copy())

    def test_unreachable_engine_is_not_a_source(self):
        self.now += 1.0
        self.placer.record_failure(self.old, reached=False)
        self.assertIsNone(self.copy())

    def test_engines_without_copy_support(self):
        self.now += 1.0
        self.assertIsNone(self.copy(routing.Engine(64, 1000)))
        self.assertIsNone(self.copy(None))

    def test_engine_that_was_left_is_not_a_source(self):
        """Guards against a second run that waits for the first one's engine.

        An engine that was silent, or failed, still holds the prefix.
        """
        self.now += 1.0
        context = self.context()
        context.tried.add("e0")
        self.placer.record_failure(self.old, reached=True)
        self.assertIsNone(self.placer.copy_for(context, self.new))

    def test_engine_that_refused_remains_a_source(self):
        """Guards against prefill of what a full engine can still copy."""
        self.now += 1.0
        context = self.context()
        context.tried.add("e0")
        context.refused_by.append(self.old)
        copy = self.placer.copy_for(context, self.new)
        self.assertEqual("e0", copy.source)

    def test_source_of_a_failed_run_is_not_used_again(self):
        """Guards against two runs that are late by the same source."""
        self.now += 1.0
        context = self.context()
        context.tried.add("e2")
        context.copies.append("e0>e2")
        self.assertIsNone(self.placer.copy_for(context, self.new))


class TestCopiesOnTheWire(test_forwarding.RouterCase):
    """Source of a copy in requests to targets."""

    async def test_request_names_the_source_of_the_copy(self):
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
        await self.begin(
            scripted_target.stream_events(3), scripted_target.stream_events(3)
        )
        self.router.table = routing.RouteTable(plan)
        prompt = {"Test_Prompt": "long:10000,own:10"}
        await self.ask("/a/x", "POST", **prompt)
        first = next(one for one in self.targets if one.requests)
        other = next(one for one in self.targets if not one.requests)
        self.assertNotIn(scripted_target.COPY, first.requests[0].headers)
        entry = self.router.targets.entries[first.name]
        entry.record.state = messages.State.DRAINING
        await self.ask("/a/x", "POST", **prompt)
        self.assertEqual(
            first.address, other.requests[0].headers[scripted_target.COPY]
        )
