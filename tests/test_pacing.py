"""What bulk gets of a link that others use too."""

import asyncio
import collections
import unittest

from amaranthring.core import pacing

LINK_RATE = 0.75e6  # bytes a second: 6 Mbit/s
HALF = LINK_RATE / 2


class TestPacer(unittest.IsolatedAsyncioTestCase):
    """A pacer whose clock is moved by hand, or by those who sleep."""

    def setUp(self):
        self.now = 0.0
        self.sent = collections.Counter()
        self.pacer = pacing.Pacer(self.sent, lambda: self.now, LINK_RATE)

    def test_everything_sent_counts(self):
        at_once = HALF * pacing.BURST_SECONDS
        self.assertEqual(at_once, self.pacer.available())
        self.sent["heartbeats"] += int(at_once)
        self.assertEqual(0.0, self.pacer.available())
        self.now += 0.1
        self.assertAlmostEqual(HALF * 0.1, self.pacer.available())

    def test_room_does_not_pile_up_while_nothing_is_sent(self):
        self.now += 60.0
        self.assertEqual(HALF * pacing.BURST_SECONDS, self.pacer.available())

    def test_debt_of_a_burst_is_forgotten(self):
        self.sent["handshakes"] += int(100 * LINK_RATE)
        self.assertEqual(0.0, self.pacer.available())
        self.now += pacing.MAX_DEBT_SECONDS + 0.1
        self.assertGreater(self.pacer.available(), 0.0)

    def test_rate_that_nobody_told_is_the_thinnest_known(self):
        pacer = pacing.Pacer(self.sent, lambda: self.now)
        self.assertEqual(pacing.DEFAULT_LINK_RATE / 2, pacer.rate)

    async def test_claim_goes_before_those_who_wait(self):
        """A voter that lags is brought up while routers fetch plans.

        Its leader looks for room at each heartbeat; routers that wait would
        take it each time it is there, and the group would stay without the
        voter for as long as they do.
        """
        self.sent["plans"] += int(HALF)
        served = []

        async def routers():
            for _ in range(40):
                await self.pacer.acquire()
                served.append(self.now)
                self.sent["plans"] += 20_000

        async def sleep(seconds):
            self.now += min(seconds, 0.01)
            await original(0)

        original, asyncio.sleep = asyncio.sleep, sleep
        task = asyncio.ensure_future(routers())
        try:
            looks = 0
            while not self.pacer.reserve():
                looks += 1
                due = self.now + 0.1
                while self.now < due:
                    await sleep(0.01)
        finally:
            asyncio.sleep = original
            task.cancel()
        # A second's debt of half the link, and one more look.
        self.assertLessEqual(looks, 11)
        self.assertLessEqual(len(served), 1)
