"""Requests while targets answer oddly and the plan changes under them."""

import asyncio
import collections
import dataclasses
import random
import unittest
from unittest import mock

import logbook

from amaranthring import routing
from amaranthring.platform import headers
from amaranthring.testing import odd_answers
from amaranthring.testing import scripted_target
from tests import test_forwarding

SEED = 4711
# Each round has a router and targets of its own, as a router soon avoids
# targets that answer oddly, and requests that seem to crash them.
ROUNDS = 12
CALLERS = 10
REQUESTS = 5
# Time that callers wait, and within which each request must have ended.
PATIENCE_SECONDS = 1.0
ANSWER_SECONDS = 4.0
# Requests of each route that are served all the same, so that the test does
# not pass because nothing runs.
MIN_SERVED = 20

SERVICES = ("s",) * 9 + ("s2",)
PATHS = ("/a/x", "/b/x", "/c/x", "/d/x")


class TestOddAnswers(test_forwarding.RouterCase):
    """Each request ends with a whole answer, whatever targets send."""

    def setUp(self):
        self.handler = self.enterContext(logbook.TestHandler())
        self.number = 0

    async def asyncSetUp(self):
        # The checks of debug mode take most of the time.
        asyncio.get_running_loop().set_debug(False)

    async def begin(self, *scripts):
        patch = mock.patch.object(
            scripted_target, "DIALECT", headers.dialect()
        )
        with patch:
            await super().begin(*scripts, allowance=1000.0)
        for target in self.targets:
            target.keep_alive = True
        return self.router, self.targets

    async def request(self, router, path, **more):
        """Return the id of a request, its answer and whether it is whole."""
        self.number += 1
        request_id = f"r{self.number}"
        sent = {
            headers.REQUEST_ID: request_id,
            headers.DEADLINE: str(int(PATIENCE_SECONDS * 1e3)),
        } | more
        async with asyncio.timeout(ANSWER_SECONDS):
            answer = await scripted_target.send_request(
                router.address, path, "POST", b"body", **sent
            )
        return request_id, answer

    def assert_none_failed(self):
        failed = [
            record.formatted_exception or record.message
            for record in self.handler.records
            if "request.failed" in record.message
            or record.level >= logbook.ERROR
        ]
        self.assertEqual([], failed[:3], f"{len(failed)} failed")


class TestChanges(TestOddAnswers):
    """Odd answers beside changes of the plan and of the targets."""

    async def test_each_request_ends_with_a_whole_answer(self):
        """Guards against requests that end by an error nobody expects."""
        self.statuses = collections.Counter()
        self.cut = []
        rounds = [
            await self.begin_round(random.Random(SEED + number))
            for number in range(ROUNDS)
        ]
        await asyncio.gather(*rounds)
        self.assert_none_failed()
        self.assertEqual([], self.cut)
        for path in PATHS:
            self.assertLess(MIN_SERVED, self.statuses[path, 200], path)

    async def begin_round(self, rng):
        """Start a router with its targets; return what sends requests."""
        seeds = [rng.random() for _ in range(4)]
        router, targets = await self.begin(*map(odd_answers.OddTarget, seeds))
        return self.play(rng, router, targets)

    async def play(self, rng, router, targets):
        """Send the requests of one round."""
        changing = asyncio.ensure_future(change(rng, router, targets))
        paths = [rng.choices(PATHS, k=REQUESTS) for _ in range(CALLERS)]
        await asyncio.gather(*(self.call(router, some) for some in paths))
        changing.cancel()

    async def call(self, router, paths):
        """Send requests one after the other."""
        for path in paths:
            request_id, answer = await self.request(router, path)
            self.statuses[path, answer.status] += 1
            # A stream that has begun may break off.
            is_stream = path.startswith(("/c/", "/d/")) and answer.status
            if not answer.complete and not is_stream:
                self.cut.append((path, request_id))


async def change(rng, router, targets):
    """Change the plan, the targets and the keepers again and again."""
    version = 1
    while True:
        await asyncio.sleep(rng.uniform(0.005, 0.03))
        version += 1
        service = rng.choice(SERVICES)
        routes = [
            dataclasses.replace(route, shares=(routing.Share(service, 1),))
            for route in test_forwarding.PLAN.routes
            if rng.random() < 0.97
        ]
        plan = dataclasses.replace(
            test_forwarding.PLAN,
            version=version,
            routes=tuple(routes),
            services=(routing.Service(service, "/health", 10),),
        )
        router.table = routing.RouteTable(plan)
        router.keepers[0].is_silent = rng.random() < 0.3
        record = rng.choice(targets).record(
            rng.choice(SERVICES), sequence=version
        )
        router.targets.merge(record)
        router.relay.connections.expire()
        for view in router.placer.views.values():
            view.backoff_until = 0.0


if __name__ == "__main__":
    unittest.main()
