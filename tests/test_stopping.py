"""Routers that are told to stop while callers go on using them."""

import asyncio
import pathlib
import re
import signal
import socket
import tempfile
import unittest
from unittest import mock

from amaranthring import app
from amaranthring import plan_router
from amaranthring import settings
from amaranthring.core import links
from amaranthring.core import signals
from amaranthring.testing import local
from amaranthring.testing import local_fleet
from amaranthring.testing import needs
from amaranthring.testing import scripted
from tests import fleet_case

REQUEST = b"GET /v1/models HTTP/1.1\r\nHost: router\r\n\r\n"
ENDING = REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
# Steps of the loop in which a caller opens a connection each; a listener
# that closes at once closes within them.
STEPS = 6


def open_and_ask(address, request=REQUEST):
    """Open a connection and send a request; None if it is refused.

    All in one step of the loop: the kernel opens the connection alone.
    """
    host, port = address.rsplit(":", 1)
    try:
        sock = socket.create_connection((host, int(port)), 0.2)
    except OSError:
        return None
    sock.sendall(request)
    return sock


async def ask_each_step(address):
    """Ask once in each of some steps of the loop."""
    asked = []
    for _ in range(STEPS):
        asked.append(open_and_ask(address))
        await asyncio.sleep(0)
    return [sock for sock in asked if sock is not None]


def answer(sock):
    """Return what came of an answer, with the loop at a standstill."""
    sock.settimeout(0.5)
    try:
        return sock.recv(64)
    except OSError as error:
        return repr(error).encode()
    finally:
        sock.close()


class TestRouterStops(unittest.IsolatedAsyncioTestCase):
    """A router, from its start to its end in this process."""

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
        """Operators replace a router that callers still come to.

        The kernel opens a caller's connection, the caller sends its request;
        the router closes its listener before it has taken the connection,
        and the kernel resets it. The caller has no answer and can't tell
        whether its request ran. Seen were resets within 11 ms of the
        listener's end, all of connections opened just before, and none of
        a request that had begun to be served.
        """
        running = await self.run_router()
        self.stop.set()
        asked = await ask_each_step(self.address)
        await running
        self.assertTrue(asked)
        for sock in asked:
            self.assertIn(b"HTTP/1.1 ", answer(sock))

    async def test_kept_connections_are_told_to_close(self):
        """A caller keeps its connection to a router that is stopping.

        Told so with its answer, it sends the next request elsewhere, instead
        of into the end of the process.
        """
        running = await self.run_router()
        self.stop.set()
        asked = await ask_each_step(self.address)
        await running
        for sock in asked:
            self.assertIn(b"close", _whole(sock).lower())


def _whole(sock):
    sock.settimeout(0.5)
    found = b""
    while data := sock.recv(4096):
        found += data
    sock.close()
    return found


class TestPlanRouterStops(unittest.IsolatedAsyncioTestCase):
    """A router that forwards by plan, to its end in this process."""

    async def asyncSetUp(self):
        ports = local_fleet.free_ports(3)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        place = plan_router.RouterConfig(
            "r1", "here", *addresses, [], 0.0, 2.0, 0.2, 10.0, 10.0
        )
        keys = links.Keys({"k": b"secret"})
        self.router = plan_router.PlanRouter(
            place, keys, scripted.DIALECT, lambda document: None
        )
        self.address = place.callers
        self.router.start()
        self.addCleanup(self.end)

    def end(self):
        for task in self.router.tasks:
            task.cancel()

    @mock.patch.object(plan_router, "ROTATION_SECONDS", 0.0)
    async def test_open_connections_are_answered(self):
        """The balancer has nobody else and sends callers until the end.

        As with any listener: what the kernel has opened is answered before
        the process ends.
        """
        stopping = asyncio.ensure_future(self.router.stop())
        asked = await ask_each_step(self.address)
        await stopping
        self.assertTrue(asked)
        for sock in asked:
            self.assertIn(b"HTTP/1.1 ", answer(sock))

    @mock.patch.object(plan_router, "ROTATION_SECONDS", 0.0)
    async def test_new_connection_is_not_idle(self):
        """A caller's request follows its connection 0.3 s later.

        A stopping router took such a connection for an idle one and closed
        it, with the request on its way.
        """
        stopping = asyncio.ensure_future(self.router.stop())
        await asyncio.sleep(0)
        sock = open_and_ask(self.address, b"")
        await asyncio.sleep(0.3)
        sock.sendall(REQUEST)
        await stopping
        self.assertIn(b"HTTP/1.1 ", answer(sock))

    @mock.patch.object(plan_router, "ROTATION_SECONDS", 0.0)
    async def test_request_that_has_come_is_not_idle(self):
        """A request comes on a kept connection as that is closed as idle.

        It was reset, unread; now it is read and answered.
        """
        sock = open_and_ask(self.address, b"")
        await asyncio.sleep(1.2)
        stopping = asyncio.ensure_future(self.router.stop())
        sock.sendall(REQUEST)
        await stopping
        self.assertIn(b"HTTP/1.1 ", answer(sock))


class TestSlowReader(unittest.IsolatedAsyncioTestCase):
    """A router's way before a booking service with long answers."""

    async def test_answer_that_is_not_sent_yet_holds_up_the_end(self):
        """A caller on a slow line has read a part of its answer.

        The request was counted out as soon as its answer was written into
        the router's own buffer; the process ended and the rest with it.
        """
        made = local.Local()
        self.addAsyncCleanup(made.close)
        router = made.add_router()
        drain = router.fakes.needs.drain
        many = {f"model-{number:06}" for number in range(200_000)}
        router.fakes.needs.serves = lambda kind: many
        async with router.raw(_ask_models()) as stream:
            head = await stream.read_bytes(1000)
            await asyncio.sleep(0.1)
            self.assertEqual(drain.running, 1)
            rest = await stream.read_until(b"model-199999")
            self.assertGreater(len(head + rest), 1_000_000)
            await local.until(lambda: not drain.running)


def _ask_models():
    return b"GET /v1/models HTTP/1.1\r\nHost: router\r\n%b\r\n" % (
        b"Authorization: Bearer %b\r\n" % needs.TOKEN.encode()
    )


class TestUsedUntilGone(unittest.IsolatedAsyncioTestCase):
    """Routers that callers go on using until the process is gone."""

    callers = 40
    routers = 3

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name)
        extra = "[callers]\nleave_seconds = 1.5\n"
        local_fleet.write_settings(path, self.routers, extra=extra)
        self.fleet = local_fleet.LocalFleet(path, path / "logs")
        self.addCleanup(self.fleet.end)
        await asyncio.to_thread(self.bring_up)
        self.answered = 0
        self.lost = []

    def bring_up(self):
        names = self.fleet.names("router")
        for name in [*self.fleet.names("keeper"), *names]:
            self.fleet.start(name)
        self.fleet.wait_ready(names)

    async def test_no_request_that_was_sent_is_lost(self):
        """Callers without a balancer use a router to its very end.

        Half open a connection for each request, half keep theirs as long as
        they are not told to close it. Connections opened in the step of the
        loop in which the listener closed were reset, requests and all: one
        to four callers in a quarter of all stops.
        """
        for name in self.fleet.names("router"):
            with self.subTest(router=name):
                await self.stop_in_use(name)
        self.assertEqual(self.lost, [])
        self.assertGreater(self.answered, 300)

    async def stop_in_use(self, name):
        address = self.fleet.settings[name].listen.callers.rsplit(":", 1)
        using = [
            asyncio.ensure_future(self.use(address, keeps=number % 2 == 0))
            for number in range(self.callers)
        ]
        await asyncio.sleep(0.3)
        process = self.fleet.processes.pop(name)
        code = await asyncio.to_thread(process.stop)
        await asyncio.gather(*using)
        self.assertEqual(code, 0)

    async def use(self, address, keeps):
        """Send one request after the other until connections are refused."""
        head = REQUEST if keeps else ENDING
        while True:
            try:
                reader, writer = await asyncio.open_connection(*address)
            except OSError:
                return
            more = True
            while more:
                more = await self.ask(reader, writer, head) and keeps
            writer.close()

    async def ask(self, reader, writer, head):
        """Ask once; return whether the connection may be used again."""
        try:
            writer.write(head)
            found = await reader.readuntil(b"\r\n\r\n")
            size = re.search(rb"(?i)content-length: (\d+)", found)
            await reader.readexactly(int(size[1]))
        except (OSError, asyncio.IncompleteReadError) as error:
            self.lost.append(repr(error))
            return False
        self.answered += 1
        return b"connection: close" not in found.lower()


class TestLateBalancer(fleet_case.FleetCase):
    """A balancer that is late to leave out a router that stops."""

    routers = 3
    # More than the least time between the failing check and the end.
    late_seconds = 2.5

    async def test_callers_who_still_come_are_served(self):
        """A busy balancer goes on sending callers to a stopping router.

        Its round of health checks waits for the slowest. The router closed
        its listener a second after its check had begun to fail; callers who
        opened a connection in that step lost it with their request sent,
        later ones were refused.
        """
        chats = asyncio.ensure_future(self.keep_chatting(max_tokens=10))
        name = self.names[0]
        process = self.fleet.processes.pop(name)
        process.signal(signal.SIGTERM)
        await asyncio.sleep(self.late_seconds)
        self.callers.drop(self.fleet.callers(name))
        code = await self.blocking(process.stop)
        self.chatting = False
        await chats
        self.assertEqual(code, 0)
        self.assertEqual(self.tally.refused, {})
        self.assertEqual((self.tally.cut, self.tally.wrong), (0, 0))
        self.assertGreater(self.tally.whole, 50)
