"""Requests that are still open when a process has waited long enough."""

import asyncio
import json
import pathlib
import tempfile
import time
import unittest
from unittest import mock

import tornado.httpserver
import tornado.web

from amaranthring import app
from amaranthring import settings
from amaranthring.core import endpoints
from amaranthring.core import hashing
from amaranthring.core import listeners
from amaranthring.core import signals
from amaranthring.operators import base
from amaranthring.operators import handlers
from amaranthring.testing import fake_dependencies
from amaranthring.testing import fake_state
from amaranthring.testing import in_process_callers
from amaranthring.testing import local_fleet
from tests import test_services

HEAD = b"POST /services/booking/x HTTP/1.1\r\nHost: router\r\n"
TOKEN = b"Authorization: Bearer %b\r\n" % fake_dependencies.TOKEN.encode()
MODELS = b"GET /v1/models HTTP/1.1\r\nHost: router\r\n\r\n"
# A late turn of the event loop, and how many connections are then open.
TURN_SECONDS = 0.05
CONNECTIONS = 20
# Time within which whatever was open has ended when a stop has.
AT_ONCE_SECONDS = 0.2


async def hang(*_args):
    await asyncio.sleep(60.0)


class TestCalls(test_services.ServiceCase):
    """Calls of services, by what is known about their run."""

    async def interrupt(self, condition, *call, **more):
        """Interrupt a call once `condition` holds; return its response."""
        asked = asyncio.ensure_future(self.one.book(*call, **more))
        await in_process_callers.wait_until(condition)
        async with asyncio.timeout(1.0):
            await self.one.fakes.needs.drain.end_requests()
            response = await asked
        self.assertEqual("close", response.headers["Connection"])
        self.assertEqual("shutting-down", test_services.error_code(response))
        return response

    async def test_call_that_waits_for_a_target(self):
        """Guards against calls that end unanswered, or as perhaps run."""
        waits = asyncio.Event()

        async def admit(*_):
            waits.set()
            await hang()

        self.one.fakes.needs.admit = admit
        got = await self.interrupt(waits.is_set, "a")
        self.assert_response(got, 503, test_services.NOT_RUN)

    async def test_call_that_was_sent(self):
        """Guards against calls that end unanswered, or as not run."""
        got = await self.interrupt(
            lambda: self.replica.running, "a", fault="slow", seconds=60
        )
        self.assert_response(got, 503, test_services.UNKNOWN)

    async def test_claim_that_nothing_was_sent_for_is_released(self):
        """Guards against keys that a stopped router blocks for hours."""
        needs = self.one.fakes.needs

        async def claim(*parameters):
            await self.ledger.claim(*parameters)
            await hang()

        needs.claim = claim
        got = await self.interrupt(lambda: self.ledger.claims, "a", "k")
        self.assert_response(got, 503, test_services.UNKNOWN)
        await needs.settlements.stop(1.0)
        again = await self.two.book("a", "k")
        self.assert_response(again, 200, test_services.RAN)
        self.assertEqual(1, self.run_count())

    async def test_answer_that_is_not_stored_yet_is_kept(self):
        """Guards against answers of bookings that are lost with a router."""
        needs = self.one.fakes.needs
        settles = asyncio.Event()

        async def settle(*_):
            settles.set()
            await hang()

        needs.settle = settle
        got = await self.interrupt(settles.is_set, "a", "k")
        self.assert_response(got, 503, test_services.UNKNOWN)
        needs.settle = self.ledger.settle
        await needs.settlements.stop(1.0)
        again = await self.two.book("a", "k")
        self.assert_response(again, 200, test_services.RAN)
        self.assertEqual(1, self.run_count())

    async def test_resend_to_a_target_may_run(self):
        """Guards against a promise for a call that was sent once more."""
        self.local.add_booking("b2", honours_keys=True)
        await self.local.stop("b1")
        self.start_routers()
        await self.one.book("a", "k", fault="crash-after")
        needs = self.one.fakes.needs
        send = asyncio.Event()

        async def open_exchange(*_):
            send.set()
            await hang()

        with mock.patch(
            "amaranthring.targets.upstream.Exchange.open", open_exchange
        ):
            got = await self.interrupt(
                send.is_set,
                "a",
                "k",
                fault="crash-after",
            )
        self.assert_response(got, 503, test_services.UNKNOWN)
        self.assertFalse(needs.settlements.pending)

    async def test_request_whose_body_has_not_arrived(self):
        """Guards against slow callers that get a reset for an answer."""
        request = HEAD + TOKEN + b"Content-Length: 50\r\n\r\nhalf"
        async with self.one.raw(request) as stream:
            drain = self.one.fakes.needs.drain
            await in_process_callers.wait_until(lambda: drain.in_flight)
            await drain.end_requests()
            answer = await stream.read_until_close()
        self.assertIn(b"HTTP/1.1 503 ", answer)
        self.assertIn(b"Amaranthring-Outcome: not-run", answer)


class TestChats(unittest.IsolatedAsyncioTestCase):
    """Chats that an engine has begun."""

    async def asyncSetUp(self):
        self.local = in_process_callers.Harness()
        self.addAsyncCleanup(self.local.close)
        self.engine = self.local.add_engine(token_seconds=0.05)
        self.router = self.local.add_router()

    async def interrupt(self, **more):
        body = in_process_callers.chat_body(tokens=400, **more)
        asked = asyncio.ensure_future(self.router.chat(body))
        await asyncio.sleep(0.3)
        async with asyncio.timeout(1.0):
            await self.router.fakes.needs.drain.end_requests()
            return await asked

    async def test_stream_ends_with_an_error_event(self):
        """Guards against streams that break off without a reason."""
        got = await self.interrupt()
        self.assertEqual(200, got.code)
        events = in_process_callers.parse_events(got.body)
        self.assertLess(1, len(events))
        record = json.loads(events[-1].data)["error"]
        self.assertEqual(
            ("error", "shutting-down", "unknown"),
            (events[-1].kind, record["code"], record["outcome"]),
        )

    async def test_whole_answer(self):
        """Guards against chats that end without an answer."""
        got = await self.interrupt(stream=False)
        self.assertEqual(503, got.code)
        self.assertEqual("unknown", got.headers["Amaranthring-Outcome"])


class TestRouterStop(unittest.IsolatedAsyncioTestCase):
    """What is open at a router when it exits."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name)
        extra = "[callers]\nhealth_grace_seconds = 0\nshutdown_seconds = 0.3\n"
        local_fleet.write_settings(path, routers=1, keepers=1, extra=extra)
        self.settings = settings.read(str(path / "router-1.ini"))
        self.stop = asyncio.Event()
        with mock.patch.object(signals, "stop_event", lambda: self.stop):
            self.running = asyncio.ensure_future(app.run_router(self.settings))
            await asyncio.sleep(0.1)

    async def open(self, address, data=b""):
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(data)
        return reader

    async def rest(self, reader):
        """Return what came until the connection ended, which it has."""
        async with asyncio.timeout(AT_ONCE_SECONDS):
            return await reader.read()

    async def test_every_connection_has_ended(self):
        """Guards against connections that are left to the exit."""
        callers = self.settings.listen.callers
        internal = self.settings.listen.internal
        # Without a revision no token is known: the request is refused, once
        # its body has arrived.
        running = HEAD + TOKEN + b"Content-Length: 50\r\n\r\nhalf"
        opened = {
            "running": await self.open(callers, running),
            "half a head": await self.open(callers, HEAD),
            "internal": await self.open(internal),
            "half an internal head": await self.open(internal, HEAD),
        }
        await asyncio.sleep(0.1)
        self.stop.set()
        await self.running
        got = {name: await self.rest(r) for name, r in opened.items()}
        self.assertIn(b"HTTP/1.1 ", got.pop("running"))
        self.assertEqual({b""}, set(got.values()))

    async def test_request_that_comes_last_is_answered_whole(self):
        """Guards against a reset in the middle of the last requests."""
        callers = self.settings.listen.callers
        host, port = callers.rsplit(":", 1)
        self.stop.set()
        # The only connection; its request is read when the wait for idle
        # ones has ended, and its body comes later.
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        body = b"x" * 50
        await asyncio.sleep(0.2)
        writer.write(HEAD + TOKEN + b"Content-Length: 50\r\n\r\n")
        for _ in range(5):
            await asyncio.sleep(0.1)
            writer.write(body[:10])
        answer = await reader.read()
        self.assertIn(b"HTTP/1.1 503 ", answer)
        await self.running


class TestLateLoop(TestRouterStop):
    """The same with an event loop that is late."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.loop = asyncio.get_running_loop()
        self.loop.call_soon(self.stall)

    def stall(self):
        """Make each turn late until the router has stopped."""
        if self.running.done():
            return
        if self.stop.is_set():
            time.sleep(TURN_SECONDS)
        self.loop.call_soon(self.stall)

    async def test_many_connections_have_ended(self):
        """Guards against connections that are closed one after the other."""
        addresses = (
            self.settings.listen.callers,
            self.settings.listen.internal,
        )
        opened = [
            await self.open(address, HEAD)
            for address in addresses
            for _ in range(CONNECTIONS)
        ]
        await asyncio.sleep(0.1)
        self.stop.set()
        await self.running
        got = [await self.rest(reader) for reader in opened]
        self.assertEqual({b""}, set(got))


class TestControl(unittest.IsolatedAsyncioTestCase):
    """Calls of a small server that change something."""

    async def asyncSetUp(self):
        self.begun = asyncio.Event()
        self.address = f"127.0.0.1:{local_fleet.free_ports(1)[0]}"
        self.server = endpoints.serve(self.address, self.handle)

    async def handle(self, _request):
        self.begun.set()
        await hang()

    async def open(self, data):
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(data)
        return reader

    async def test_call_in_progress_is_answered(self):
        """Guards against operators who hear nothing of their change."""
        idle = await self.open(b"")
        reader = await self.open(MODELS)
        await self.begun.wait()
        async with asyncio.timeout(2.0):
            await self.server.close(0.05)
            answer = await reader.read()
            self.assertEqual(b"", await idle.read())
        self.assertIn(b"HTTP/1.1 503 ", answer)
        self.assertIn(b"stops before the call has ended", answer)
        self.assertEqual(0, self.server.drain.in_flight)


class TestOperators(unittest.IsolatedAsyncioTestCase):
    """Commands of operators that wait for the keepers."""

    async def test_command_in_progress_is_answered(self):
        """Guards against operators who hear nothing of their command."""
        group = fake_state.FakeGroup()
        revisions, _ = fake_state.make_revisions("r1", "dc1", group, {})
        begun = asyncio.Event()

        async def propose(*_):
            begun.set()
            await hang()

        needs = base.Dependencies(
            {"ana": hashing.token_hash("t")}, propose, hang, revisions
        )
        address = f"127.0.0.1:{local_fleet.free_ports(1)[0]}"
        server = tornado.httpserver.HTTPServer(
            tornado.web.Application(
                handlers.routes(needs), log_function=lambda _: None
            )
        )
        listener = listeners.serve(server, address)
        body = b'{"preset": "p"}'
        reader, writer = await asyncio.open_connection(*address.split(":"))
        self.addCleanup(writer.close)
        writer.write(
            b"POST /operators/switch HTTP/1.1\r\nHost: r\r\n"
            b"Authorization: Bearer t\r\n"
            b"Amaranthring-Command-Id: change-1\r\n"
            b'If-Match: "1"\r\nContent-Length: %d\r\n\r\n%b'
            % (len(body), body)
        )
        async with asyncio.timeout(2.0):
            await begun.wait()
            await listener.close()
            await needs.drain.end_requests()
            await listener.close_connections()
            answer = await reader.read()
        self.assertIn(b"HTTP/1.1 503 ", answer)
        self.assertIn(b"commit-unknown", answer)
        self.assertIn(b"Retry-After", answer)
        self.assertEqual(0, needs.drain.in_flight)


if __name__ == "__main__":
    unittest.main()
