"""Answers of many targets at once in the memory of one router."""

import asyncio
import gc
import time
import tracemalloc
import unittest
import uuid

from amaranthring.forwarding import answer_memory
from amaranthring.platform import headers
from amaranthring.testing import scripted_target
from tests import platform_case
from tests import test_forwarding

FREE = answer_memory.FREE_BYTES
PART_BYTES = 65536
BROKEN_BYTES = 4 * 1024 * 1024
# Traffic before the trouble, in it and after it.
CALM_SECONDS = 1.5
TROUBLE_SECONDS = 7.0
RECOVERY_SECONDS = 0.5
MIN_AFTER = 50
MAX_GROWTH_BYTES = 64e6
MIN_SERVED_SHARE = 0.95
# A caller's patience, and what its answer may be late by.
PATIENCE_SECONDS = 3.0
SLACK_SECONDS = 0.2


class TestAnswerMemory(unittest.IsolatedAsyncioTestCase):
    """Which answers get memory."""

    def setUp(self):
        self.memory = answer_memory.AnswerMemory(most=1000)
        self.given_up = []

    def share(self, name):
        return self.memory.share(lambda _: self.given_up.append(name))

    async def test_largest_of_unknown_length_is_given_up(self):
        """Guards against an endless answer that ends the process."""
        self.share("small").grow(FREE + 100)
        endless = self.share("endless")
        endless.grow(FREE + 500)
        self.share("other").grow(FREE + 300)
        self.assertEqual([], self.given_up)
        endless.grow(300)
        self.assertEqual(["endless"], self.given_up)
        self.assertEqual(400, self.memory.used)

    async def test_small_answers_are_not_counted(self):
        """Guards against small answers that wait for large ones."""
        self.share("endless").grow(FREE + 1000)
        for _ in range(100):
            await asyncio.wait_for(self.share("small").reserve(FREE), 1.0)
        self.assertEqual([], self.given_up)

    async def test_known_length_comes_before_unknown(self):
        """Guards against whole answers that wait for endless ones."""
        self.share("endless").grow(FREE + 800)
        await asyncio.wait_for(self.share("whole").reserve(FREE + 600), 1.0)
        self.assertEqual(["endless"], self.given_up)

    async def test_known_lengths_wait_in_order(self):
        """Guards against large answers that fill the memory together."""
        first = self.share("first")
        await first.reserve(FREE + 900)
        waiting = [
            asyncio.ensure_future(self.share(name).reserve(FREE + 400))
            for name in ("second", "third", "fourth")
        ]
        await asyncio.sleep(0.01)
        self.assertFalse(any(task.done() for task in waiting))
        waiting[0].cancel()
        first.release()
        await asyncio.wait_for(asyncio.gather(*waiting[1:]), 1.0)
        self.assertEqual(800, self.memory.used)

    async def test_next_gets_what_one_that_ended_waited_for(self):
        """Guards against an answer that waits though there is memory."""
        await self.share("first").reserve(FREE + 600)
        large = asyncio.ensure_future(self.share("large").reserve(FREE + 800))
        small = asyncio.ensure_future(self.share("small").reserve(FREE + 100))
        await asyncio.sleep(0.01)
        self.assertFalse(small.done())
        large.cancel()
        await asyncio.wait_for(small, 1.0)
        self.assertEqual(700, self.memory.used)

    async def test_answer_above_the_limit_gets_it_alone(self):
        """Guards against an answer that waits for ever."""
        await asyncio.wait_for(self.share("large").reserve(FREE + 5000), 1.0)

    async def test_nothing_is_given_up_in_vain(self):
        """Guards against an answer let go for one that waits all the same."""
        await self.share("whole").reserve(FREE + 800)
        growing = self.share("growing")
        growing.grow(FREE + 100)
        waiting = asyncio.ensure_future(self.share("next").reserve(FREE + 500))
        await asyncio.sleep(0.01)
        self.assertEqual([], self.given_up)
        self.assertFalse(waiting.done())
        waiting.cancel()

    async def test_nothing_is_given_up_for_one_that_waits_in_line(self):
        """Guards against an answer let go for one that is not next."""
        whole = self.share("whole")
        await whole.reserve(FREE + 600)
        growing = self.share("growing")
        growing.grow(FREE + 300)
        waiting = [
            asyncio.ensure_future(self.share(name).reserve(FREE + size))
            for name, size in (("large", 900), ("small", 200))
        ]
        await asyncio.sleep(0.01)
        self.assertEqual([], self.given_up)
        growing.release()
        whole.release()
        await asyncio.wait_for(waiting[0], 1.0)
        waiting[1].cancel()

    async def test_growing_answers_are_given_up_once_that_is_enough(self):
        """Guards against a whole answer that waits for an endless one."""
        first = self.share("first")
        await first.reserve(FREE + 600)
        self.share("endless").grow(FREE + 300)
        waiting = asyncio.ensure_future(
            self.share("whole").reserve(FREE + 900)
        )
        await asyncio.sleep(0.01)
        self.assertEqual([], self.given_up)
        first.release()
        await asyncio.wait_for(waiting, 1.0)
        self.assertEqual(["endless"], self.given_up)
        self.assertEqual(900, self.memory.used)

    async def test_waiting_answer_gets_what_growing_ones_took(self):
        """Guards against an answer that waits for one that grows slowly."""
        first = self.share("first")
        await first.reserve(FREE + 950)
        waiting = asyncio.ensure_future(
            self.share("whole").reserve(FREE + 900)
        )
        await asyncio.sleep(0.01)
        endless = self.share("endless")
        endless.grow(FREE + 40)
        self.assertEqual([], self.given_up)
        first.release()
        endless.grow(80)
        await asyncio.wait_for(waiting, 1.0)


class TestBrokenAnswers(test_forwarding.RouterCase):
    """Large answers that their targets break off."""

    async def test_their_memory_is_free_at_once(self):
        """Guards against broken answers that are kept for the collector.

        The traceback of an error keeps the frames that it passed through.
        """

        async def break_off(seen, writer):
            writer.write(scripted_target.response_head(seen))
            for _ in range(BROKEN_BYTES // PART_BYTES):
                writer.write(b"x" * PART_BYTES)
                await writer.drain()
            scripted_target.abort_connection(writer)

        await self.begin(break_off)
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(6):
            self.assertEqual(502, (await self.ask("/b/x")).status)
        kept, _ = tracemalloc.get_traced_memory()
        self.assertLess(kept, BROKEN_BYTES)


class Replica(platform_case.Replica):
    """A replica that sends bytes without end while it is in trouble."""

    case = None

    async def answer(self, seen, writer):
        """Answer a request, or send bytes until the router closes."""
        if not self.case.is_in_trouble(self):
            await super().answer(seen, writer)
            return
        self.case.endless += 1
        request_id = seen.headers.get(headers.REQUEST_ID, "")
        lines = [
            "HTTP/1.1 200 OK",
            f"{headers.REQUEST_ID}: {request_id}",
            f"{headers.SIGNATURE}: {self.name}",
        ]
        start, part = self.case.endless_bytes("\r\n".join(lines).encode())
        writer.write(start)
        try:
            while not writer.is_closing():
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0)
        except OSError:
            # The router has closed the connection.
            return


class EndlessCase(platform_case.PlatformCase):
    """Half of the replicas send bytes without end for some seconds."""

    routers = 1
    replicas = 8
    rate = 80.0

    async def asyncSetUp(self):
        self.trouble_at = float("inf")
        self.endless = 0
        self.results = []
        await super().asyncSetUp()

    def make_replica(self, name):
        replica = Replica(name)
        replica.case = self
        return replica

    def is_in_trouble(self, replica):
        """Return whether `replica` sends bytes without end now."""
        seconds = time.monotonic() - self.trouble_at
        is_faulty = int(replica.name[1:]) < self.replicas / 2
        return is_faulty and 0 < seconds < TROUBLE_SECONDS

    async def send(self):
        """Send one request, and note its answer."""
        begun = time.monotonic()
        connection = await asyncio.open_connection(
            self.ip("router-0"), self.port
        )
        try:
            got = await scripted_target.send_on(
                *connection,
                f"/a/{uuid.uuid4().hex}",
                "POST",
                **{
                    headers.REQUEST_ID: uuid.uuid4().hex[:16],
                    headers.DEADLINE: f"{PATIENCE_SECONDS * 1e3:.0f}",
                    headers.AUTHORIZATION: "Bearer key-alba",
                    platform_case.ROUTER: "r",
                    platform_case.SENT: "0",
                },
            )
        finally:
            connection[1].close()
        self.results.append((begun, time.monotonic() - begun, got))

    def memory_bytes(self):
        """Return the resident memory of the router."""
        pid = self.processes["router-0"].pid
        with open(f"/proc/{pid}/statm") as fields:
            return int(fields.read().split()[1]) * 4096

    async def play(self):
        """Send requests regularly; return the most memory of the router."""
        began = time.monotonic()
        self.trouble_at = began + CALM_SECONDS
        tasks, most = [], 0
        recovered_at = self.trouble_at + TROUBLE_SECONDS + RECOVERY_SECONDS
        left = MIN_AFTER
        while time.monotonic() < recovered_at + CALM_SECONDS or left > 0:
            left -= time.monotonic() > recovered_at
            tasks.append(asyncio.ensure_future(self.send()))
            most = max(most, self.memory_bytes())
            await asyncio.sleep(1 / self.rate)
        await asyncio.gather(*tasks)
        return most

    def check_answers(self):
        """Check that callers got whole answers or failures, in time."""
        self.assertLess(4, self.endless)
        for _, seconds, got in self.results:
            self.assertLess(seconds, PATIENCE_SECONDS + SLACK_SECONDS)
            if got.status == 200:
                self.assertLess(len(got.body), 20)
        recovered_at = self.trouble_at + TROUBLE_SECONDS + RECOVERY_SECONDS
        after = [
            got.status == 200
            for begun, _, got in self.results
            if begun > recovered_at
        ]
        self.assertLessEqual(MIN_AFTER, len(after))
        self.assertLessEqual(MIN_SERVED_SHARE * len(after), sum(after))


class TestBodyWithoutLength(EndlessCase):
    """Bodies that end with their connection, and never do."""

    def endless_bytes(self, head):
        """Return the first bytes, and those that are repeated."""
        return head + b"\r\n\r\n", b"x" * PART_BYTES

    async def test_memory_is_bounded_over_all_answers(self):
        """Guards against answers that fill a VM's memory together."""
        before = self.memory_bytes()
        most = await self.play()
        self.assertLess(most - before, MAX_GROWTH_BYTES)
        self.check_answers()


class TestBodyInChunks(TestBodyWithoutLength):
    """Chunked bodies without a last chunk."""

    def endless_bytes(self, head):
        """Return the first bytes, and those that are repeated."""
        part = b"%x\r\n%b\r\n" % (PART_BYTES, b"x" * PART_BYTES)
        return head + b"\r\nTransfer-Encoding: chunked\r\n\r\n", part


class TestHeaders(TestBodyWithoutLength):
    """Heads without an end."""

    def endless_bytes(self, head):
        """Return the first bytes, and those that are repeated."""
        return head + b"\r\n", b"X-More: " + b"y" * 500 + b"\r\n"


class TestInformationalResponses(TestBodyWithoutLength):
    """Responses of which none is the last one."""

    def endless_bytes(self, head):
        """Return the first bytes, and those that are repeated."""
        return b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100
