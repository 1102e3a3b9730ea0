"""Kept connections to targets, and what may be on them."""

import asyncio

from amaranthring.testing import scripted
from tests import test_forwarding


class KeepingCase(test_forwarding.RouterCase):
    """Base: a router before targets that keep their connections."""

    async def begin(self, *scripts, allowance=10.0):
        await super().begin(*scripts, allowance=allowance)
        for target in self.targets:
            target.keeps = True

    @property
    def target(self):
        return self.targets[0]


class TestReuse(KeepingCase):
    """Connections in good order carry many calls."""

    async def test_calls_share_a_connection(self):
        await self.begin(scripted.whole(b"good"))
        for _ in range(5):
            got = await self.ask("/b/x", "POST", b"text")
            self.assertEqual((200, b"good"), (got.status, got.body))
        self.assertEqual((5, 1), (self.ran(), self.target.connections))

    async def test_streams_share_a_connection(self):
        await self.begin(scripted.events(3))
        for _ in range(3):
            got = await self.ask("/d/x", "POST")
            self.assertTrue(got.whole)
        self.assertEqual(1, self.target.connections)

    async def test_number_of_idle_ones_is_bounded(self):
        async def slow(seen, writer):
            await asyncio.sleep(0.1)
            await scripted.whole()(seen, writer)

        await self.begin(slow)
        self.router.relay.connections.max_idle = lambda: 2
        await asyncio.gather(*(self.ask("/b/x", "POST") for _ in range(6)))
        held = self.router.relay.connections.idle["t0"]
        self.assertEqual(2, len(held))

    async def test_idle_ones_are_not_used_for_ever(self):
        await self.begin(scripted.whole())
        await self.ask("/b/x", "POST")
        pool = self.router.relay.connections
        now = pool.clock()
        pool.clock = lambda: now + 60
        await self.ask("/b/x", "POST")
        self.assertEqual(2, self.target.connections)


class TestDoubtfulOnes(KeepingCase):
    """Connections that must not carry another call."""

    async def check_not_reused(self, script, path="/b/x"):
        await self.begin(script)
        for _ in range(2):
            got = await self.ask(path, "POST")
            self.assertEqual(200, got.status)
            await asyncio.sleep(0.03)
        self.assertEqual(2, self.target.connections)

    async def test_target_says_that_it_closes(self):
        async def script(seen, writer):
            more = {"Content_Length": "2", "Connection": "close"}
            writer.write(scripted.head(seen, **more) + b"ok")

        await self.check_not_reused(script)

    async def test_target_states_that_it_keeps_none(self):
        async def script(seen, writer):
            more = {"Content_Length": "2", "Keep_Alive": "timeout=0"}
            writer.write(scripted.head(seen, **more) + b"ok")

        await self.check_not_reused(script)

    async def test_bytes_after_the_answer(self):
        """A target writes more than its answer is long.

        On a kept connection the rest would be read as the beginning of the
        next caller's answer.
        """

        async def script(seen, writer):
            more = {"Content_Length": "2"}
            writer.write(scripted.head(seen, **more) + b"ok and more")

        await self.check_not_reused(script)

    async def test_bytes_while_it_idles(self):
        async def script(seen, writer):
            await scripted.whole()(seen, writer)
            await asyncio.sleep(0.01)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        await self.check_not_reused(script)

    async def test_answer_that_ended_with_the_connection(self):
        async def script(seen, writer):
            writer.write(scripted.head(seen) + b"all")
            writer.close()

        await self.check_not_reused(script)

    async def test_target_closed_it_while_it_idled(self):
        async def script(seen, writer):
            await scripted.whole()(seen, writer)
            writer.close()

        await self.check_not_reused(script)

    async def test_second_answer_that_comes_with_the_next_call(self):
        """A target answers a call twice, the second time much later.

        The second answer stands where the next call's is expected. Passed
        on, a caller would get another one's booking.
        """
        late = []

        async def script(seen, writer):
            for data in late:
                writer.write(data)
            late.clear()
            body = seen.headers[scripted.ID].encode()
            size = str(len(body))
            data = scripted.head(seen, Content_Length=size) + body
            late.append(data)
            writer.write(data)

        await self.begin(script)
        for name in ("first", "second", "third"):
            got = await self.ask("/b/x", "POST", Test_Id=name)
            self.assertEqual((200, name.encode()), (got.status, got.body))
        self.assertEqual(3, self.ran())

    async def test_broken_answer_closes_it(self):
        calls = []

        async def script(seen, writer):
            calls.append(seen)
            if len(calls) == 2:
                scripted.break_off(writer)
            else:
                await scripted.whole()(seen, writer)

        await self.begin(script)
        statuses = [(await self.ask("/b/x", "POST")).status for _ in range(3)]
        self.assertEqual([200, 502, 200], statuses)
        self.assertEqual(3, self.ran())
