"""Routers that get more new connections than their processor time allows."""

import asyncio
import collections
import random
import signal
import threading
import time
import unittest
import uuid

from amaranthring.core import overload
from amaranthring.platform import headers
from amaranthring.testing import scripted_target
from tests import platform_case

RATE = 170.0
CALM_SECONDS = 3.0
DOOR_SECONDS = 8.0
# From then on requests are served nearly as often as before.
SETTLED_SECONDS = 3.0
MIN_SERVED_SHARE = 0.75
DOOR_SHARE = 0.9
# A processor quota: the process runs for this share of each period.
QUOTA = 0.25
PERIOD_SECONDS = 0.1
RUN_SECONDS = 0.2


class TestLoopDelay(unittest.TestCase):
    """When the event loop counts as overloaded."""

    def setUp(self):
        self.now = 100.0
        self.delay = overload.LoopDelay(lambda: self.now)

    def turns(self, seconds, count):
        for _ in range(count):
            self.now += overload.CHECK_SECONDS + seconds
            self.delay.check()

    def test_single_stall_is_no_overload(self):
        """Guards against connections that are closed for one long turn."""
        self.turns(0.0, 10)
        self.turns(0.12, 1)
        self.assertFalse(self.delay.is_overloaded)

    def test_long_turns_are_and_their_end_ends_it(self):
        """Guards against an overload that is not seen, or for ever."""
        self.turns(0.3, 3)
        self.assertTrue(self.delay.is_overloaded)
        self.turns(0.0, 50)
        self.assertFalse(self.delay.is_overloaded)


class Replica(platform_case.Replica):
    """A replica that takes some time for each request."""

    async def answer(self, seen, writer):
        """Answer a request a little later."""
        await asyncio.sleep(RUN_SECONDS)
        await super().answer(seen, writer)


class TestOneDoor(platform_case.PlatformCase):
    """Most new connections come to one router under a processor quota."""

    routers = 4
    replicas = 6

    async def asyncSetUp(self):
        self.rng = random.Random(1)
        self.first_tries = []
        self.later_tries = collections.Counter()
        await super().asyncSetUp()

    def make_replica(self, name):
        return Replica(name)

    def throttle(self, stopped):
        """Stop each router for a part of each period, until told."""
        processes = [self.processes[name] for name in self.router_names]
        while not stopped.is_set():
            for how, seconds in (
                (signal.SIGSTOP, PERIOD_SECONDS * (1 - QUOTA)),
                (signal.SIGCONT, PERIOD_SECONDS * QUOTA),
            ):
                for process in processes:
                    process.send_signal(how)
                time.sleep(seconds)

    async def send(self, router):
        """Return the status of a request on a new connection.

        It is 0 where the connection is closed without an answer.
        """
        try:
            connection = await asyncio.open_connection(
                self.ip(router), self.port
            )
        except OSError:
            return 0
        try:
            got = await scripted_target.send_on(
                *connection,
                f"/a/{uuid.uuid4().hex}",
                "POST",
                **{
                    headers.REQUEST_ID: uuid.uuid4().hex[:16],
                    headers.DEADLINE: "1500",
                    headers.AUTHORIZATION: "Bearer key-alba",
                    platform_case.ROUTER: router,
                    platform_case.SENT: "0",
                },
            )
        finally:
            connection[1].close()
        return got.status

    async def call(self, router):
        """Send a request, and once more elsewhere if it was not read."""
        sent_at = time.monotonic()
        status = await self.send(router)
        self.first_tries.append((sent_at, status))
        if not status:
            others = [name for name in self.router_names if name != router]
            self.later_tries[await self.send(self.rng.choice(others))] += 1

    def served_share(self, since, until):
        """Return the share that was served of the requests that were read."""
        read = [s for at, s in self.first_tries if since < at < until and s]
        self.assertLess(50, len(read))
        return read.count(200) / len(read)

    async def test_requests_that_are_read_are_served(self):
        """Guards against a router that reads more than it can serve."""
        stopped = threading.Event()
        throttler = threading.Thread(target=self.throttle, args=(stopped,))
        throttler.start()
        self.addCleanup(throttler.join)
        self.addCleanup(stopped.set)
        began = time.monotonic()
        door_at = began + CALM_SECONDS
        tasks = []
        while (now := time.monotonic()) < door_at + DOOR_SECONDS:
            router = self.rng.choice(self.router_names)
            if now > door_at and self.rng.random() < DOOR_SHARE:
                router = "router-0"
            tasks.append(asyncio.ensure_future(self.call(router)))
            due = began + len(tasks) / RATE
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        await asyncio.gather(*tasks)
        before = self.served_share(began + 0.5, door_at)
        after = self.served_share(door_at + SETTLED_SECONDS, now)
        self.assertLessEqual(MIN_SERVED_SHARE * before, after)
        # Those that were closed unread are read elsewhere.
        unread = self.later_tries.total()
        self.assertLess(self.later_tries[0], 0.1 * max(10, unread))
