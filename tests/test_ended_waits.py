"""Waits whose end leaves something open, or that use what has changed."""

import asyncio
import socket
import time
import unittest
from unittest import mock

import tornado.httputil

from amaranthring import errors
from amaranthring import plan_router
from amaranthring import routing
from amaranthring.core import endpoints
from amaranthring.core import links
from amaranthring.forwarding import frontend
from amaranthring.forwarding import records
from amaranthring.forwarding import room_queue
from amaranthring.registry import messages
from amaranthring.targets import pool
from amaranthring.testing import scripted_target
from tests import test_forwarding
from tests import test_unanswered_requests


class TestStalledStop(unittest.IsolatedAsyncioTestCase):
    """A stopping router that stalls once, or all the time."""

    grace = 6.0

    async def asyncSetUp(self):
        self.router, address = test_unanswered_requests.make_router(self.grace)
        # The head that never ends must last for the whole stop.
        bounds = routing.Bounds(header_seconds=2 * self.grace)
        self.router.front.bounds = lambda: bounds
        self.router.start()
        self.partial = test_unanswered_requests.connect(address)
        self.partial.sendall(test_unanswered_requests.REQUEST[:20])
        self.addCleanup(self.end)
        await asyncio.sleep(0.3)

    def end(self):
        self.partial.close()
        for task in self.router.tasks:
            task.cancel()

    @mock.patch.object(plan_router, "ROTATION_SECONDS", 0.5)
    async def test_single_stall_does_not_cut_requests(self):
        """Guards against streams that one long turn ends seconds early."""
        began = time.monotonic()
        stopping = asyncio.ensure_future(self.router.stop())
        await asyncio.sleep(3.0)
        time.sleep(1.0)  # noqa: ASYNC251
        await stopping
        seconds = time.monotonic() - began
        self.assertGreater(seconds, self.grace - 2 * plan_router.CLOSE_SECONDS)

    @mock.patch.object(plan_router, "ROTATION_SECONDS", 0.1)
    async def test_late_router_refuses_what_it_would_cut(self):
        """Guards against requests that a late router takes and cuts."""
        delay = self.router.loop_delay
        delay.mean = 0.2
        delay.recent = [0.2] * 3
        with mock.patch.object(type(delay), "check"):
            began = time.monotonic()
            stopping = asyncio.ensure_future(self.router.stop())
            await asyncio.sleep(0.5)
            cut_at = self.router._latest_start(
                began + self.grace,
                plan_router.EXIT_SECONDS,
                plan_router.EXIT_DELAYS,
            )
            shutdown_at = self.router.front.shutdown_at
            self.partial.close()
            await stopping
        self.assertLess(shutdown_at - began, cut_at - began)

    @mock.patch.object(plan_router, "ROTATION_SECONDS", 0.1)
    async def test_grace_period_begins_with_the_signal(self):
        """Guards against a router that is killed as it saw the signal late."""
        began = time.monotonic()
        await self.router.stop(began - self.grace / 2)
        self.assertLess(time.monotonic() - began, self.grace / 2)


class TestTakenConnections(unittest.IsolatedAsyncioTestCase):
    """Kept connections on which something arrives as they are taken."""

    async def test_connection_with_bytes_is_not_taken(self):
        """Guards against bytes of no request before an answer."""
        connections = pool.Pool()
        reader, writer = asyncio.StreamReader(), mock.Mock()
        connections.release("t0", reader, writer, 60.0)
        await asyncio.sleep(0)
        reader.feed_data(b"HTTP/1.1 408 Request Timeout\r\n\r\n")
        self.assertIsNone(await connections.acquire("t0", 60.0))
        writer.transport.abort.assert_called()


class TestPlacesOfThoseThatLeft(unittest.IsolatedAsyncioTestCase):
    """Places in the room queue that were given to a request that has ended."""

    async def test_place_goes_to_the_next_request(self):
        """Guards against requests that wait while a place is free."""
        await self.check(lambda first, wake: (wake(), first.cancel()))

    async def test_place_is_not_given_to_a_request_that_is_ending(self):
        """Guards against a place that is lost with a cancelled request."""
        await self.check(lambda first, wake: (first.cancel(), wake()))

    async def test_place_that_comes_with_the_end_of_the_wait_is_used(self):
        """Guards against a refusal of a request that has just got a place."""
        self.begin()
        waiting = self.wait(seconds=0.2)
        await asyncio.sleep(0)
        loop = asyncio.get_running_loop()
        loop.call_later(0.19, lambda: self.queue.wake(self.target, 1))
        # The place and the end of the wait are due in the same step.
        loop.call_later(0.15, time.sleep, 0.1)
        await asyncio.wait_for(waiting, 1.0)

    async def check(self, end_first):
        """Check that the place of a request that ends is not lost."""
        self.begin()
        first, second = self.wait(), self.wait()
        await asyncio.sleep(0)
        end_first(first, lambda: self.queue.wake(self.target, 1))
        await asyncio.wait({second}, timeout=0.5)
        self.assertTrue(second.done())

    def begin(self):
        self.placer = mock.Mock()
        self.placer.room.awaited = {}
        self.placer.room.allowed_requests.return_value = 10
        self.placer.room.limits.duration.return_value = 0.1
        self.queue = room_queue.RoomQueue(self.placer)
        self.target = mock.Mock(spec=messages.TargetRecord, service="s")

    def wait(self, seconds=2.5):
        """Have a request wait for a place for at most `seconds`."""
        context = mock.Mock(
            spec=records.RequestContext,
            service="s",
            binding=None,
            waited_since=None,
            route=mock.Mock(
                spec=routing.Route,
                objective=seconds / room_queue.OBJECTIVE_SHARE,
            ),
            deadline=time.monotonic() + 20.0,
            incoming=mock.Mock(arrived=time.monotonic()),
        )
        return asyncio.ensure_future(self.queue.wait(context))


class TestInterruptedWaits(test_forwarding.RouterCase):
    """Waits that end in the moment in which their task is cancelled."""

    async def test_request_whose_caller_left_as_the_plan_came_does_not_run(
        self,
    ):
        """Guards against work for callers that have left."""
        for steps in range(5):
            with self.subTest(steps=steps):
                await self.check_not_run(steps)

    async def check_not_run(self, steps):
        await self.begin(scripted_target.never_respond())
        table, self.router.table = self.router.table, None
        self.router.first_plan.clear()
        asked = asyncio.ensure_future(
            self.ask("/b/x", "POST", Test_Patience="10")
        )
        self.addCleanup(asked.cancel)
        await self.until(lambda: self.router.front.in_flight)
        await asyncio.sleep(0.05)
        self.router.table = table
        self.router.first_plan.set()
        for _ in range(steps):
            await asyncio.sleep(0)
        [request] = self.router.front.requests.values()
        request.interrupt(errors.CallerDisconnectedError("left"))
        await asyncio.sleep(0.1)
        self.assertEqual(0, self.ran())
        self.assertEqual(0, self.router.front.in_flight)

    async def test_cancelled_call_ends_though_its_reply_arrives(self):
        """Guards against requests that outlive their deadline or caller."""
        peer = mock.Mock()
        link = links.Link(mock.Mock(), peer, links.Handlers())
        calling = asyncio.ensure_future(link.call(messages.Renew(0), 1.0))
        await asyncio.sleep(0)
        [reply] = link._pending.values()
        reply.set_result(None)
        calling.cancel()
        await asyncio.wait({calling})
        self.assertTrue(calling.cancelled())


def is_closed(sock):
    """Return whether the other side has closed the connection."""
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False


class TestLastMoment(test_forwarding.RouterCase):
    """Connections that are in use until they are closed."""

    @mock.patch.object(frontend, "END_SECONDS", 2.0)
    async def test_whole_answers_are_sent_before_the_close(self):
        """Guards against answers that are cut though there is time left."""
        body = b"x" * (12 * 1024 * 1024)
        await self.begin(scripted_target.respond(body))
        sock = test_unanswered_requests.connect(
            "{}:{}".format(*self.router.address)
        )
        sock.sendall(b"GET /a/x HTTP/1.1\r\nHost: h\r\nTest-Id: i1\r\n\r\n")
        writers = self.router.front.requests
        await self.until(
            lambda: any(r.writer.status for r in writers.values())
        )
        reading = asyncio.ensure_future(
            test_unanswered_requests.read_all(sock)
        )
        await asyncio.sleep(0)
        await self.router.front.end_connections()
        self.assertEqual(len(body), len(await reading) - self.head(200))

    def head(self, status):
        """Return the length of the head of a target's response."""
        return len(
            f"HTTP/1.1 {status} OK\r\nTest-Id: i1\r\nTest-Signed: yes\r\n"
            f"Content-Length: {12 * 1024 * 1024}\r\n\r\n"
        )

    @mock.patch.object(frontend, "END_SECONDS", 0.0)
    async def test_requests_that_are_being_read_at_the_close_are_answered(
        self,
    ):
        """Guards against requests closed between their reading and answer."""
        await self.begin()
        sockets = [
            test_unanswered_requests.connect(
                "{}:{}".format(*self.router.address)
            )
            for _ in range(100)
        ]
        await asyncio.sleep(0.05)
        ending = asyncio.ensure_future(self.router.front.end_connections())
        sent = []
        while sockets and not ending.done():
            # One after the other: some are always between two steps.
            sock = sockets.pop()
            if not is_closed(sock):
                sock.sendall(test_unanswered_requests.REQUEST)
                sent.append(sock)
            await asyncio.sleep(0)
        await ending
        for sock in sockets:
            sock.close()
        for sock in sent:
            answer = await test_unanswered_requests.read_all(sock)
            self.assertIn(b" 503 ", answer)

    @mock.patch.object(frontend, "END_SECONDS", 0.0)
    async def test_requests_unread_at_the_close_are_answered(self):
        """Guards against requests closed unread as callers go on sending."""
        await self.begin()
        sock = test_unanswered_requests.connect(
            "{}:{}".format(*self.router.address)
        )
        await asyncio.sleep(0.05)
        sock.sendall(test_unanswered_requests.REQUEST)
        await self.router.front.end_connections()
        answer = await test_unanswered_requests.read_all(sock)
        self.assertIn(b" 503 ", answer)


class TestHalfClosedReaders(test_forwarding.RouterCase):
    """Callers that close their sending side, then read what is left."""

    async def test_connection_is_closed_once_its_answer_is_sent(self):
        """Guards against an event loop kept busy by an end of input."""
        await self.begin()
        size = 8 * 1024 * 1024

        async def serve(_incoming, writer):
            # As at the end of a stream, which does not wait for its last
            # bytes to be sent.
            headers = tornado.httputil.HTTPHeaders(
                {"Content-Length": str(size)}
            )
            writer.status = 200
            line = endpoints.status_line(200)
            writer.connection.write_headers(line, headers, b"x" * size)
            writer.finish()

        self.router.front.serve = serve
        sock = test_unanswered_requests.connect(
            "{}:{}".format(*self.router.address)
        )
        sock.sendall(test_unanswered_requests.REQUEST)
        await self.until(lambda: self.router.front.in_flight)
        sock.shutdown(socket.SHUT_WR)
        await asyncio.sleep(0.1)
        received = await test_unanswered_requests.read_all(sock)
        self.assertGreater(len(received), size)
        await asyncio.sleep(0.1)
        self.assertEqual(set(), self.router.front.server.streams)

    async def test_whole_answer_that_is_being_sent_is_not_cut(self):
        """Guards against answers of targets that end in the middle."""
        body = b"x" * (8 * 1024 * 1024)
        await self.begin(scripted_target.respond(body))
        sock = test_unanswered_requests.connect(
            "{}:{}".format(*self.router.address)
        )
        sock.sendall(b"GET /a/x HTTP/1.1\r\nHost: h\r\nTest-Id: i1\r\n\r\n")
        requests = self.router.front.requests
        await self.until(
            lambda: any(r.writer.is_whole for r in requests.values())
        )
        sock.shutdown(socket.SHUT_WR)
        await asyncio.sleep(0.1)
        received = await test_unanswered_requests.read_all(sock)
        self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received[:99])
        self.assertEqual(len(body), len(received.partition(b"\r\n\r\n")[2]))
        await self.until(lambda: not self.router.front.server.streams)
