"""Time limits under stalls of this very process."""

import asyncio
import time
import unittest

from amaranthring.core import timeouts


class TestTimeouts(unittest.IsolatedAsyncioTestCase):
    """Limits that end all the same when nothing comes."""

    async def ended_after(self, limit):
        began = time.monotonic()
        with self.assertRaises(TimeoutError):
            async with limit:
                await asyncio.sleep(60)
        return time.monotonic() - began

    def stall_again_and_again(self):
        """Stand still in each step that is not waited for."""
        loop = asyncio.get_running_loop()
        time.sleep(0.06)
        self.timer = loop.call_later(0.001, self.stall_again_and_again)

    async def test_silence_ends_after_the_seconds(self):
        seconds = await self.ended_after(timeouts.timeout(0.1))
        self.assertGreaterEqual(seconds, 0.1)

    async def test_process_that_always_stalls_comes_to_an_end(self):
        self.stall_again_and_again()
        self.addCleanup(lambda: self.timer.cancel())
        seconds = await self.ended_after(timeouts.timeout(0.1))
        self.assertLess(seconds, 5.0)

    async def test_stall_at_the_end_gives_time_to_read_only(self):
        loop = asyncio.get_running_loop()
        loop.call_soon(time.sleep, 0.3)
        seconds = await self.ended_after(
            timeouts.timeout_at(loop.time() + 0.1)
        )
        self.assertGreaterEqual(seconds, 0.3 + timeouts.READ_SECONDS)
        self.assertLess(seconds, 2.0)

    async def test_what_ends_in_time_is_left_alone(self):
        for limit in (
            timeouts.timeout(0.2),
            timeouts.timeout_at(time.monotonic() + 0.2),
        ):
            async with limit:
                pass
        await asyncio.sleep(0.3)
