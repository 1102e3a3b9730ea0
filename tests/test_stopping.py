"""Graceful shutdown of routers that callers still use."""

import asyncio
import pathlib
import re
import signal
import socket
import tempfile
import time
import unittest
from unittest import mock

from amaranthring import app
from amaranthring import plan_router
from amaranthring import settings
from amaranthring.core import links
from amaranthring.core import signals
from amaranthring.testing import fake_dependencies
from amaranthring.testing import in_process_callers
from amaranthring.testing import local_fleet
from amaranthring.testing import scripted_target
from tests import fleet_case

REQUEST = b"GET /v1/models HTTP/1.1\r\nHost: router\r\n\r\n"
CLOSING_REQUEST = REQUEST.replace(
    b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"
)
# Event loop iterations that each open one connection; a listener that does not
# drain its backlog closes within them.
ITERATIONS = 6


def open_and_send(address, request=REQUEST):
    """Open a connection and send a request; None if it is refused.

    Blocks the event loop, so that only the kernel accepts the connection.
    """
    host, port = address.rsplit(":", 1)
    try:
        sock = socket.create_connection((host, int(port)), 0.2)
    except OSError:
        return None
    sock.sendall(request)
    return sock


async def send_each_step(address):
    """Send a request in each of several event loop iterations."""
    sockets = []
    for _ in range(ITERATIONS):
        sockets.append(open_and_send(address))
        await asyncio.sleep(0)
    return [sock for sock in sockets if sock is not None]


def read_response(sock):
    """Return the start of a response or the error, blocking the loop."""
    sock.settimeout(0.5)
    try:
        return sock.recv(64)
    except OSError as error:
        return repr(error).encode()
    finally:
        sock.close()


class TestRouterStops(unittest.IsolatedAsyncioTestCase):
    """A router that starts and stops in this process."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name)
        extra = "[callers]\nhealth_grace_seconds = 0\n"
        local_fleet.write_settings(path, routers=1, keepers=1, extra=extra)
        self.settings = settings.read(str(path / "router-1.ini"))
        self.address = self.settings.listen.callers
        self.stop = asyncio.Event()

    async def run_router(self):
        with mock.patch.object(signals, "stop_event", lambda: self.stop):
            running = asyncio.ensure_future(app.run_router(self.settings))
            await asyncio.sleep(0.1)
        return running

    async def test_open_connections_are_answered(self):
        """Connections in the accept backlog must be served before closing.

        Otherwise the kernel resets them when the listener closes, and the
        caller cannot tell whether its request ran.
        """
        running = await self.run_router()
        self.stop.set()
        sockets = await send_each_step(self.address)
        await running
        self.assertTrue(sockets)
        for sock in sockets:
            self.assertIn(b"HTTP/1.1 ", read_response(sock))

    async def test_kept_connections_are_told_to_close(self):
        """Responses of a stopping router must ask to close the connection.

        Otherwise the next request is lost when the process exits.
        """
        running = await self.run_router()
        self.stop.set()
        sockets = await send_each_step(self.address)
        await running
        for sock in sockets:
            self.assertIn(b"close", _read_all(sock).lower())


def _read_all(sock):
    sock.settimeout(0.5)
    received = b""
    while data := sock.recv(4096):
        received += data
    sock.close()
    return received


class TestPlanRouterStops(unittest.IsolatedAsyncioTestCase):
    """A plan router that stops in this process."""

    async def asyncSetUp(self):
        ports = local_fleet.free_ports(3)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        config = plan_router.RouterConfig(
            "r1", "here", *addresses, [], 0.0, 2.0, 0.2, 10.0, 10.0
        )
        keys = links.Keys({"k": b"secret"})
        self.router = plan_router.PlanRouter(
            config, keys, scripted_target.DIALECT, lambda document: None
        )
        self.address = config.callers
        self.router.start()
        self.addCleanup(self.end)

    def end(self):
        for task in self.router.tasks:
            task.cancel()

    @mock.patch.object(plan_router, "ROTATION_SECONDS", 0.0)
    async def test_open_connections_are_answered(self):
        """Connections that the kernel has accepted must be answered."""
        stopping = asyncio.ensure_future(self.router.stop())
        sockets = await send_each_step(self.address)
        await stopping
        self.assertTrue(sockets)
        for sock in sockets:
            self.assertIn(b"HTTP/1.1 ", read_response(sock))

    @mock.patch.object(plan_router, "ROTATION_SECONDS", 0.5)
    async def test_long_requests_are_refused_in_time_if_it_stops_late(self):
        """Guards against requests cut at the end of a stop that began late."""
        asked_at = time.monotonic() - 0.5
        stopping = asyncio.ensure_future(self.router.stop(asked_at))
        await asyncio.sleep(0.1)
        self.assertLess(self.router.front.shutdown_at, asked_at + 2.0)
        await stopping

    @mock.patch.object(plan_router, "ROTATION_SECONDS", 0.0)
    async def test_new_connection_is_not_idle(self):
        """A request that follows its connection 0.3 s later is answered.

        A new connection must not be closed as idle.
        """
        stopping = asyncio.ensure_future(self.router.stop())
        await asyncio.sleep(0)
        sock = open_and_send(self.address, b"")
        await asyncio.sleep(0.3)
        sock.sendall(REQUEST)
        await stopping
        self.assertIn(b"HTTP/1.1 ", read_response(sock))

    @mock.patch.object(plan_router, "ROTATION_SECONDS", 0.0)
    async def test_arrived_request_is_not_idle(self):
        """A request arriving while an idle connection closes is answered."""
        sock = open_and_send(self.address, b"")
        await asyncio.sleep(1.2)
        stopping = asyncio.ensure_future(self.router.stop())
        sock.sendall(REQUEST)
        await stopping
        self.assertIn(b"HTTP/1.1 ", read_response(sock))


class TestSlowReader(unittest.IsolatedAsyncioTestCase):
    """A router that sends a long response."""

    async def test_unsent_response_delays_shutdown(self):
        """A request counts as in flight until its response is sent completely.

        Otherwise shutdown cuts off a response in the router's send buffer.
        """
        harness = in_process_callers.Harness()
        self.addAsyncCleanup(harness.close)
        router = harness.add_router()
        drain = router.fakes.needs.drain
        many = {f"model-{number:06}" for number in range(200_000)}
        router.fakes.needs.served_names = lambda kind: many
        async with router.raw(_models_request()) as stream:
            head = await stream.read_bytes(1000)
            await asyncio.sleep(0.1)
            self.assertEqual(drain.in_flight, 1)
            rest = await stream.read_until(b"model-199999")
            self.assertGreater(len(head + rest), 1_000_000)
            await in_process_callers.wait_until(lambda: not drain.in_flight)


def _models_request():
    return b"GET /v1/models HTTP/1.1\r\nHost: router\r\n%b\r\n" % (
        b"Authorization: Bearer %b\r\n" % fake_dependencies.TOKEN.encode()
    )


class TestUseUntilExit(unittest.IsolatedAsyncioTestCase):
    """Routers that callers use until the process exits."""

    callers = 40
    routers = 3

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name)
        extra = "[callers]\nleave_seconds = 1.5\n"
        local_fleet.write_settings(path, self.routers, extra=extra)
        self.fleet = local_fleet.LocalFleet(path, path / "logs")
        self.addCleanup(self.fleet.stop_all)
        await asyncio.to_thread(self.start_processes)
        self.answered = 0
        self.lost = []

    def start_processes(self):
        names = self.fleet.names("router")
        for name in [*self.fleet.names("keeper"), *names]:
            self.fleet.start(name)
        self.fleet.wait_ready(names)

    async def test_no_sent_request_is_lost(self):
        """Callers without a balancer must not lose a sent request.

        Half of them open a connection for each request, half keep theirs.
        Connections opened while the listener closes must not be reset.
        """
        for name in self.fleet.names("router"):
            with self.subTest(router=name):
                await self.stop_in_use(name)
        self.assertEqual(self.lost, [])
        self.assertGreater(self.answered, 300)

    async def stop_in_use(self, name):
        address = self.fleet.settings[name].listen.callers.rsplit(":", 1)
        tasks = [
            asyncio.ensure_future(
                self.use(address, keep_alive=number % 2 == 0)
            )
            for number in range(self.callers)
        ]
        await asyncio.sleep(0.3)
        process = self.fleet.processes.pop(name)
        code = await asyncio.to_thread(process.stop)
        await asyncio.gather(*tasks)
        self.assertEqual(code, 0)

    async def use(self, address, keep_alive):
        """Send requests one by one until connections are refused."""
        head = REQUEST if keep_alive else CLOSING_REQUEST
        while True:
            try:
                reader, writer = await asyncio.open_connection(*address)
            except OSError:
                return
            more = True
            while more:
                more = await self.send(reader, writer, head) and keep_alive
            writer.close()

    async def send(self, reader, writer, head):
        """Send one request; return whether the connection can be reused."""
        try:
            writer.write(head)
            response_head = await reader.readuntil(b"\r\n\r\n")
            size = re.search(rb"(?i)content-length: (\d+)", response_head)
            await reader.readexactly(int(size[1]))
        except (OSError, asyncio.IncompleteReadError) as error:
            self.lost.append(repr(error))
            return False
        self.answered += 1
        return b"connection: close" not in response_head.lower()


class TestSlowBalancer(fleet_case.FleetCase):
    """A balancer that is slow to remove a stopping router."""

    routers = 3
    # Longer than the minimum time from the failing health check to the exit.
    late_seconds = 2.5

    async def test_late_callers_are_served(self):
        """A stopping router must serve callers of a slow balancer.

        If it closed its listener a second after its health check began to
        fail, their requests would be lost or refused.
        """
        chats = asyncio.ensure_future(self.chat_until_stopped(max_tokens=10))
        name = self.names[0]
        process = self.fleet.processes.pop(name)
        process.signal(signal.SIGTERM)
        await asyncio.sleep(self.late_seconds)
        self.callers.remove_router(self.fleet.callers_url(name))
        code = await self.blocking(process.stop)
        self.chatting = False
        await chats
        self.assertEqual(code, 0)
        self.assertEqual(self.tally.refused, {})
        self.assertEqual((self.tally.truncated, self.tally.mismatched), (0, 0))
        self.assertGreater(self.tally.complete, 50)
