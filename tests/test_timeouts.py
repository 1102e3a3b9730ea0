"""Timeouts while this process stalls."""

import asyncio
import time
import unittest

from amaranthring.core import timeouts


class TestTimeouts(unittest.IsolatedAsyncioTestCase):
    """Timeouts expire despite stalls, but not early."""

    async def seconds_until_timeout(self, limit):
        started = time.monotonic()
        with self.assertRaises(TimeoutError):
            async with limit:
                await asyncio.sleep(60)
        return time.monotonic() - started

    def keep_stalling(self):
        """Block the event loop again and again."""
        loop = asyncio.get_running_loop()
        time.sleep(0.06)
        self.timer = loop.call_later(0.001, self.keep_stalling)

    async def test_timeout_expires(self):
        seconds = await self.seconds_until_timeout(timeouts.timeout(0.1))
        self.assertGreaterEqual(seconds, 0.1)

    async def test_timeout_expires_despite_constant_stalls(self):
        self.keep_stalling()
        self.addCleanup(lambda: self.timer.cancel())
        seconds = await self.seconds_until_timeout(timeouts.timeout(0.1))
        self.assertLess(seconds, 5.0)

    async def test_stall_past_the_end_leaves_time_to_read(self):
        loop = asyncio.get_running_loop()
        loop.call_soon(time.sleep, 0.3)
        seconds = await self.seconds_until_timeout(
            timeouts.timeout_at(loop.time() + 0.1)
        )
        self.assertGreaterEqual(seconds, 0.3 + timeouts.READ_SECONDS)
        self.assertLess(seconds, 2.0)

    async def test_block_that_ends_in_time_is_not_cancelled(self):
        for limit in (
            timeouts.timeout(0.2),
            timeouts.timeout_at(time.monotonic() + 0.2),
        ):
            async with limit:
                pass
        await asyncio.sleep(0.3)
