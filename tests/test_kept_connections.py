"""Reuse of pooled connections to targets."""

import asyncio
import unittest
from unittest import mock

from amaranthring import plan_router
from amaranthring.targets import pool
from amaranthring.testing import scripted_target
from tests import test_forwarding


class KeepAliveTestCase(test_forwarding.RouterCase):
    """Base class: a router and targets that keep their connections open."""

    async def begin(self, *scripts, allowance=10.0):
        await super().begin(*scripts, allowance=allowance)
        for target in self.targets:
            target.keep_alive = True

    @property
    def target(self):
        return self.targets[0]


class TestReuse(KeepAliveTestCase):
    """Connections that carry several requests."""

    async def test_requests_share_a_connection(self):
        await self.begin(scripted_target.respond(b"good"))
        for _ in range(5):
            got = await self.ask("/b/x", "POST", b"text")
            self.assertEqual((200, b"good"), (got.status, got.body))
        self.assertEqual((5, 1), (self.ran(), self.target.connections))

    async def test_streams_share_a_connection(self):
        await self.begin(scripted_target.stream_events(3))
        for _ in range(3):
            got = await self.ask("/d/x", "POST")
            self.assertTrue(got.complete)
        self.assertEqual(1, self.target.connections)

    async def test_idle_connections_are_bounded(self):
        async def slow(seen, writer):
            await asyncio.sleep(0.1)
            await scripted_target.respond()(seen, writer)

        await self.begin(slow)
        self.router.relay.connections.max_idle = lambda: 2
        await asyncio.gather(*(self.ask("/b/x", "POST") for _ in range(6)))
        idle = self.router.relay.connections.idle["t0"]
        self.assertEqual(2, len(idle))

    async def test_idle_connections_expire(self):
        await self.begin(scripted_target.respond())
        await self.ask("/b/x", "POST")
        pool = self.router.relay.connections
        now = pool.clock()
        pool.clock = lambda: now + 60
        await self.ask("/b/x", "POST")
        self.assertEqual(2, self.target.connections)


class TestOneUser(unittest.IsolatedAsyncioTestCase):
    """Connections that are taken while others expire."""

    async def asyncSetUp(self):
        self.pool = pool.Pool()
        self.good, self.ended = (
            (asyncio.StreamReader(), mock.Mock()) for _ in range(2)
        )
        for connection in (self.good, self.ended):
            self.pool.release("t0", *connection, 60.0)
        await asyncio.sleep(0)

    async def begin(self):
        """Begin to take the connection that just ends; expire others."""
        taking = asyncio.ensure_future(self.pool.acquire("t0", 60.0))
        await asyncio.sleep(0)
        self.ended[0].feed_eof()
        self.pool.expire()
        return taking

    async def test_connection_goes_to_one_request(self):
        """Guards against two requests on one connection, one unanswered."""
        for steps in range(4):
            with self.subTest(steps=steps):
                await self.asyncSetUp()
                first = await self.begin()
                for _ in range(steps):
                    await asyncio.sleep(0)
                other = asyncio.ensure_future(self.pool.acquire("t0", 60.0))
                got = await asyncio.gather(first, other)
                self.assertEqual(1, got.count(self.good))

    async def test_connection_in_use_is_not_closed(self):
        """Guards against answers of sound targets that the pool cuts."""
        first = await self.begin()
        self.assertEqual(self.good, await first)
        self.pool.expire()
        self.assertIsNone(await self.pool.acquire("t0", 60.0))
        self.good[1].transport.abort.assert_not_called()

    async def test_connection_of_a_cancelled_request_is_closed(self):
        """Guards against open connections that nobody uses."""
        taking = await self.begin()
        taking.cancel()
        await asyncio.wait({taking})
        self.ended[1].transport.abort.assert_called()


class TestIdleShare(unittest.TestCase):
    """How many idle connections to a target one router keeps."""

    def idle(self, routers):
        router = mock.Mock(table=None)
        router.sharers.routers = routers
        return plan_router.PlanRouter.max_idle_connections(router)

    def test_router_that_does_not_know_the_others_keeps_one(self):
        """Guards against routers that start and each keep the whole share."""
        self.assertEqual(1, self.idle(routers=0))
        self.assertEqual(4, self.idle(routers=1))
        self.assertEqual(2, self.idle(routers=2))


class TestUnusableConnections(KeepAliveTestCase):
    """Connections that must not carry another request."""

    async def check_not_reused(self, script, path="/b/x"):
        await self.begin(script)
        for _ in range(2):
            got = await self.ask(path, "POST")
            self.assertEqual(200, got.status)
            await asyncio.sleep(0.03)
        self.assertEqual(2, self.target.connections)

    async def test_connection_close_header(self):
        async def script(seen, writer):
            headers = {"Content_Length": "2", "Connection": "close"}
            writer.write(
                scripted_target.response_head(seen, **headers) + b"ok"
            )

        await self.check_not_reused(script)

    async def test_keep_alive_timeout_of_zero(self):
        async def script(seen, writer):
            headers = {"Content_Length": "2", "Keep_Alive": "timeout=0"}
            writer.write(
                scripted_target.response_head(seen, **headers) + b"ok"
            )

        await self.check_not_reused(script)

    async def test_bytes_after_the_response(self):
        """Surplus bytes must not become part of the next response."""

        async def script(seen, writer):
            headers = {"Content_Length": "2"}
            writer.write(
                scripted_target.response_head(seen, **headers) + b"ok and more"
            )

        await self.check_not_reused(script)

    async def test_bytes_on_an_idle_connection(self):
        async def script(seen, writer):
            await scripted_target.respond()(seen, writer)
            await asyncio.sleep(0.01)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        await self.check_not_reused(script)

    async def test_response_ended_by_close(self):
        async def script(seen, writer):
            writer.write(scripted_target.response_head(seen) + b"all")
            writer.close()

        await self.check_not_reused(script)

    async def test_idle_connection_closed_by_target(self):
        async def script(seen, writer):
            await scripted_target.respond()(seen, writer)
            writer.close()

        await self.check_not_reused(script)

    async def test_second_response_to_an_earlier_request(self):
        """A duplicate must not be forwarded for the next request."""
        repeated = []

        async def script(seen, writer):
            for data in repeated:
                writer.write(data)
            repeated.clear()
            body = seen.headers[scripted_target.ID].encode()
            size = str(len(body))
            data = (
                scripted_target.response_head(seen, Content_Length=size) + body
            )
            repeated.append(data)
            writer.write(data)

        await self.begin(script)
        for name in ("first", "second", "third"):
            got = await self.ask("/b/x", "POST", Test_Id=name)
            self.assertEqual((200, name.encode()), (got.status, got.body))
        self.assertEqual(3, self.ran())

    async def test_broken_response_closes_the_connection(self):
        calls = []

        async def script(seen, writer):
            calls.append(seen)
            if len(calls) == 2:
                scripted_target.abort_connection(writer)
            else:
                await scripted_target.respond()(seen, writer)

        await self.begin(script)
        statuses = [(await self.ask("/b/x", "POST")).status for _ in range(3)]
        self.assertEqual([200, 502, 200], statuses)
        self.assertEqual(3, self.ran())


class TestUnreached(KeepAliveTestCase):
    """Targets that take no new connection while kept ones live on."""

    async def test_request_in_progress_goes_on(self):
        """Guards against answers lost as another request found no way."""
        slow = scripted_target.respond_after(0.6, scripted_target.respond())
        await self.begin(slow)
        asked = asyncio.ensure_future(self.ask("/b/x", "POST"))
        await self.until(self.ran)
        self.target.stop()
        got = await self.ask("/b/x", "POST")
        self.assertEqual(503, got.status)
        got = await asked
        self.assertEqual((200, b"good"), (got.status, got.body))
        self.assertEqual(1, self.ran())
