"""Rate limit of bulk data on a link shared with other traffic."""

import asyncio
import collections
import unittest

from amaranthring.core import pacing

LINK_RATE = 0.75e6  # bytes a second, 6 Mbit/s
BULK_RATE = LINK_RATE / 2


class TestPacer(unittest.IsolatedAsyncioTestCase):
    """Pacer with a simulated clock."""

    def setUp(self):
        self.now = 0.0
        self.sent = collections.Counter()
        self.pacer = pacing.Pacer(self.sent, lambda: self.now, LINK_RATE)

    def test_all_sent_bytes_are_debited(self):
        burst = BULK_RATE * pacing.BURST_SECONDS
        self.assertEqual(burst, self.pacer.available())
        self.sent["heartbeats"] += int(burst)
        self.assertEqual(0.0, self.pacer.available())
        self.now += 0.1
        self.assertAlmostEqual(BULK_RATE * 0.1, self.pacer.available())

    def test_unused_bytes_are_capped_at_the_burst(self):
        self.now += 60.0
        self.assertEqual(
            BULK_RATE * pacing.BURST_SECONDS, self.pacer.available()
        )

    def test_debt_is_capped(self):
        self.sent["handshakes"] += int(100 * LINK_RATE)
        self.assertEqual(0.0, self.pacer.available())
        self.now += pacing.MAX_DEBT_SECONDS + 0.1
        self.assertGreater(self.pacer.available(), 0.0)

    def test_default_link_rate(self):
        pacer = pacing.Pacer(self.sent, lambda: self.now)
        self.assertEqual(pacing.DEFAULT_LINK_RATE / 2, pacer.rate)

    async def test_reserve_takes_precedence_over_waiters(self):
        """Routers that fetch plans must not starve a lagging voter.

        The leader polls for bytes at each heartbeat; waiting routers would
        use them up between the polls.
        """
        self.sent["plans"] += int(BULK_RATE)
        served_at = []

        async def routers():
            for _ in range(40):
                await self.pacer.acquire()
                served_at.append(self.now)
                self.sent["plans"] += 20_000

        async def sleep(seconds):
            self.now += min(seconds, 0.01)
            await original(0)

        original, asyncio.sleep = asyncio.sleep, sleep
        task = asyncio.ensure_future(routers())
        try:
            polls = 0
            while not self.pacer.reserve():
                polls += 1
                next_poll = self.now + 0.1
                while self.now < next_poll:
                    await sleep(0.01)
        finally:
            asyncio.sleep = original
            task.cancel()
        # Ten polls cover the maximum debt of one second; one more succeeds.
        self.assertLessEqual(polls, 11)
        self.assertLessEqual(len(served_at), 1)
