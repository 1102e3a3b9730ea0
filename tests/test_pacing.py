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

    async def test_urgent_data_takes_precedence_over_waiters(self):
        """A snapshot for a voter must not wait for the plans of routers.

        Each of its chunks would stand behind all of them.
        """
        self.sent["plans"] += int(BULK_RATE)
        served = []

        async def routers():
            while True:
                await self.pacer.acquire()
                served.append("router")
                self.sent["plans"] += 200_000

        async def snapshot():
            for _ in range(10):
                await self.pacer.acquire_urgent()
                served.append("chunk")
                self.sent["chunks"] += 32_768
                await asyncio.sleep(0.001)

        async def sleep(seconds):
            self.now += min(seconds, 0.001)
            await original(0)

        original, asyncio.sleep = asyncio.sleep, sleep
        waiting = [asyncio.ensure_future(routers()) for _ in range(90)]
        try:
            await sleep(0.001)
            await snapshot()
            until = self.now + 1.0
            while self.now < until:
                await sleep(0.001)
        finally:
            asyncio.sleep = original
            for task in waiting:
                task.cancel()
        # A router may be served between two chunks, while none waits.
        last_chunk = len(served) - served[::-1].index("chunk")
        self.assertLessEqual(served[:last_chunk].count("router"), 1)
        self.assertIn("router", served[last_chunk:])

    async def share(self, entry_bytes):
        """Return the bytes of chunks and of entries sent in a while."""
        sent = self.sent

        async def snapshot():
            while True:
                await self.pacer.acquire_urgent()
                sent["chunks"] += 32_768
                await asyncio.sleep(0.01)

        async def entries():
            while True:
                if self.pacer.reserve(entry_bytes):
                    sent["entries"] += entry_bytes
                await asyncio.sleep(0.1)

        async def sleep(seconds):
            until = self.now + seconds
            while self.now < until:
                await original(0)

        original, asyncio.sleep = asyncio.sleep, sleep
        tasks = [asyncio.ensure_future(f()) for f in (snapshot, entries)]
        try:
            while self.now < 20.0:
                self.now += 0.001
                await original(0)
        finally:
            asyncio.sleep = original
            for task in tasks:
                task.cancel()
        return sent["chunks"], sent["entries"]

    async def check_shares(self, entry_bytes):
        chunks, entries = await self.share(entry_bytes)
        total = chunks + entries
        self.assertGreater(total, 0.8 * 20.0 * BULK_RATE)
        self.assertGreaterEqual(chunks, total / 3)
        self.assertGreaterEqual(entries, total / 3)

    async def test_snapshot_and_entries_share(self):
        """One voter's snapshot must not starve the entries for another."""
        await self.check_shares(32_768)

    async def test_snapshot_and_large_entries_share(self):
        """One voter's large entries must not starve another's snapshot."""
        await self.check_shares(200_000)

    async def test_snapshot_and_huge_entries_share(self):
        """The pacer's debt is capped, but not the turns after one entry."""
        await self.check_shares(1_000_000)

    async def test_small_entries_hold_no_snapshot_back(self):
        """A poll for few bytes must count as a whole turn."""
        chunks, entries = await self.share(100)
        self.assertGreaterEqual(chunks, 0.5 * 20.0 * BULK_RATE)
        self.assertGreater(entries, 0)
