"""Distribution of plans to routers: deltas, whole plans and pacing."""

import asyncio
import collections
import json
import random
import unittest

from amaranthring import errors
from amaranthring.core import pacing
from amaranthring.keepers import deltas
from amaranthring.keepers import plans
from amaranthring.registry import plan_source

LINK_RATE = 0.75e6  # bytes a second: 6 Mbit/s


def document(version, routes):
    return json.dumps(
        {
            "version": version,
            "routes": [{"name": n, "timeout": s} for n, s in routes],
            "accounts": [{"name": "alba", "keys": ["k1", "k2"]}],
        }
    ).encode()


class TestDeltas(unittest.TestCase):
    """Deltas between two plan documents."""

    def test_delta_of_one_route_is_small(self):
        """Whole plans of 100 KB would delay the heartbeats of the keepers."""
        routes = [(f"route-{n}", 1000 + n) for n in range(2000)]
        old = document(7, routes)
        routes[300] = ("route-300", 5)
        new = document(8, routes)
        delta = deltas.diff(old, new)
        self.assertEqual(new, deltas.apply(old, delta))
        self.assertLess(len(delta), len(plans.compress(new)) / 100)

    def test_delta_between_any_documents(self):
        rng = random.Random(5)
        documents = [b"", b"}", b"no end", b"}}{", document(1, [])]
        for version in range(30):
            size = rng.randrange(12)
            names = [f"r{rng.randrange(9)}" for _ in range(size)]
            documents.append(document(version, [(n, 1) for n in names]))
        for old in documents:
            for new in documents:
                self.assertEqual(new, deltas.apply(old, deltas.diff(old, new)))

    def test_delta_for_another_document_is_rejected(self):
        routes = [("a", 1), ("b", 2)]
        delta = deltas.diff(document(1, routes), document(2, routes))
        for other in (b"", document(1, [("c", 3)]), document(1, routes[1:])):
            with self.assertRaises(errors.FrameError):
                deltas.apply(other, delta)
        for broken in (b"", delta[:-5], b"x" * 40):
            with self.assertRaises(errors.FrameError):
                deltas.apply(document(1, routes), broken)


class TestMachine(unittest.TestCase):
    """Plan changes that are replicated as deltas."""

    def setUp(self):
        self.machine = plans.PlanStateMachine()
        self.routes = [(f"r{n}", n) for n in range(200)]
        self.put(1)

    def put(self, version, machine=None):
        self.routes[version] = (f"r{version}", 900)
        plan = document(version, self.routes)
        command = (machine or self.machine).put_command(version, plan)
        self.applied_version = self.machine.apply(
            version, 0.0, command
        ).version
        return plan, command

    def test_change_reproduces_document(self):
        plan, command = self.put(2)
        self.assertIsInstance(command, plans.ChangePlan)
        self.assertEqual((2, 2), (self.applied_version, self.machine.version))
        self.assertEqual(plan, plans.decompress(self.machine.body))
        other = plans.PlanStateMachine()
        other.restore(self.machine.snapshot())
        self.assertEqual((2, plan), (other.version, other.document))

    def test_change_with_outdated_base_is_ignored(self):
        """A delta made by a lagging keeper has an outdated base."""
        lagging = plans.PlanStateMachine()
        lagging.restore(self.machine.snapshot())
        self.put(2)
        before = self.machine.document
        self.put(3, lagging)
        self.assertEqual((2, 2), (self.applied_version, self.machine.version))
        self.assertEqual(before, self.machine.document)

    def test_change_of_another_document_is_ignored(self):
        other = plans.PlanStateMachine()
        body = plans.compress(document(1, [("other", 1)] * 200))
        other.apply(1, 0.0, plans.PutPlan(1, body))
        plan = document(5, [("other", 1)] * 200 + [("new", 2)])
        command = other.put_command(5, plan)
        self.assertIsInstance(command, plans.ChangePlan)
        reply = self.machine.apply(2, 0.0, command)
        self.assertEqual((1, 1), (reply.version, self.machine.version))

    def test_older_version_is_ignored(self):
        self.put(3)
        _, command = self.put(2)
        self.assertEqual((3, 3), (self.applied_version, self.machine.version))
        self.assertIsInstance(command, plans.PutPlan)


class TestPlanSource(unittest.IsolatedAsyncioTestCase):
    """Choice and pacing of the bodies that a keeper sends."""

    def setUp(self):
        self.now = 10.0
        self.machine = plans.PlanStateMachine()
        self.sent = collections.Counter()
        pacer = pacing.Pacer(self.sent, lambda: self.now, LINK_RATE)
        self.source = plan_source.PlanSource(self.machine, pacer)

    def put(self, version, size=3):
        plan = document(version, [(f"r{n}", n) for n in range(size)])
        put = plans.PutPlan(version, plans.compress(plan))
        self.machine.apply(version, 0.0, put)
        self.source.record_version()
        return plan

    def test_router_slightly_behind_gets_delta(self):
        old = self.put(1)
        self.put(2)
        new = self.put(5)
        body = self.source.body_for(1)
        self.assertEqual((5, 1), (body.version, body.base))
        self.assertEqual(new, deltas.apply(old, body.body))

    def test_other_routers_get_whole_plan(self):
        self.put(1)
        for version in range(2, 3 + plan_source.MAX_HISTORY):
            new = self.put(version)
        for router_version in (-1, 1, 77, version):
            body = self.source.body_for(router_version)
            self.assertEqual(-1, body.base)
            self.assertEqual(new, plans.decompress(body.body))

    async def test_whole_plans_are_paced(self):
        """Plans fetched by all routers at once must not delay heartbeats.

        The group would otherwise lose its leader again.
        """
        self.put(1, 4000)
        began = self.now
        size = len(self.machine.body)

        async def sleep(seconds):
            self.now += seconds

        original, asyncio.sleep = asyncio.sleep, sleep
        try:
            for _ in range(14):
                body = await self.source.fetch(-1)
                self.sent["plan"] += len(body.body)
        finally:
            asyncio.sleep = original
        rate = LINK_RATE / 2
        burst = rate * pacing.BURST_SECONDS
        took = self.now - began
        self.assertGreater(took, (13 * size - burst) / rate)
        self.assertLess(took, 13 * size / rate)
