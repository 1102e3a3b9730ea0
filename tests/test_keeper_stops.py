"""Graceful stop of keepers and of the minimal HTTP server."""

import asyncio
import pathlib
import signal
import socket
import tempfile
import time
import unittest

from amaranthring.core import endpoints
from amaranthring.testing import local_fleet
from amaranthring.testing import soak_fleet

FETCH = b"GET / HTTP/1.1\r\nHost: keeper\r\n\r\n"
UNFINISHED = b"POST / HTTP/1.1\r\nHost: keeper\r\nContent-Length: 9\r\n\r\n1"
STARTED_SECONDS = 10.0
# A stop that leaves a part of the grace period of the deployments.
STOP_SECONDS = 6.0
# The time that an operator allows a keeper, whose answer may take 0.9 s.
CALL_SECONDS = 1.0


class Caller:
    """A caller on a kept connection that heeds ``Connection: close``.

    Attributes
    ----------
    sent, answered : int
        Number of calls.
    """

    def __init__(self, address, request=FETCH, pause=0.02):
        self.address = address
        self.request = request
        self.pause = pause
        self.sent = self.answered = 0

    async def run(self):
        """Call until told to close; return whether that was said."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            while True:
                self.sent += 1
                writer.write(self.request)
                head, _ = await read_answer(reader)
                self.answered += 1
                if b"connection: close" in head.lower():
                    return True
                await asyncio.sleep(self.pause)
        except (OSError, EOFError):
            return False
        finally:
            writer.close()


async def read_answer(reader):
    """Return head and body of an answer."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = head.lower().partition(b"content-length:")[2].split()[0]
    return head, await reader.readexactly(int(length))


class TestKeeperStops(unittest.IsolatedAsyncioTestCase):
    """Keeper processes that stop while operators and targets call them."""

    async def start(self, count, others=0):
        """Start keepers; `others` further ones of the fleet stay down."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name)
        self.fleet = soak_fleet.Fleet(path, count + others, [], False)
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start()
        for name in self.fleet.names[count:]:
            self.fleet.kill([name])
        async with asyncio.timeout(STARTED_SECONDS):
            for address in self.fleet.controls[:count]:
                while not await is_open(address):  # noqa: ASYNC110
                    await asyncio.sleep(0.05)

    async def stop(self, name):
        """Send SIGTERM; check that the keeper ends well in time."""
        process = self.fleet.processes[name]
        began = time.monotonic()
        process.signal(signal.SIGTERM)
        code = await asyncio.to_thread(process.popen.wait, 20)
        self.assertEqual(0, code)
        self.assertLess(time.monotonic() - began, STOP_SECONDS)

    async def test_calls_in_progress_are_answered(self):
        """Guards against calls that a stopping keeper ends in silence."""
        await self.start(1, others=2)
        callers = [Caller(self.fleet.controls[0], pause=0.0) for _ in range(8)]
        # Without a quorum each call waits for a leader.
        calls = [asyncio.ensure_future(each.run()) for each in callers]
        await asyncio.sleep(0.1)
        await self.stop("k1")
        told = await asyncio.gather(*calls)
        lost = sum(each.sent - each.answered for each in callers)
        self.assertEqual((8, 0), (sum(told), lost), "told to close, lost")

    async def test_kept_connections_are_told_to_close(self):
        """Guards against calls on connections that end with the process."""
        await self.start(3)
        callers = [
            Caller(address, pause=pause)
            for address in self.fleet.controls
            for pause in (0.0, 0.02, 0.1, 0.3)
        ]
        calls = [asyncio.ensure_future(each.run()) for each in callers]
        await asyncio.sleep(1.0)
        for name in self.fleet.names:
            await self.stop(name)
        told = await asyncio.gather(*calls)
        lost = sum(each.sent - each.answered for each in callers)
        self.assertEqual((12, 0), (sum(told), lost), "told to close, lost")


class TestServerCloses(unittest.IsolatedAsyncioTestCase):
    """A server in this process, closed while callers are connected."""

    async def asyncSetUp(self):
        self.address = f"127.0.0.1:{local_fleet.free_ports(1)[0]}"
        self.answer = asyncio.Event()
        self.server = endpoints.serve(self.address, self.handle)

    async def handle(self, _request):
        await self.answer.wait()
        return endpoints.Response(body=b"done")

    async def connect(self, data):
        """Open a connection and send `data`."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(data)
        await asyncio.sleep(0.02)
        return reader

    async def close(self, seconds=0.3):
        began = time.monotonic()
        await self.server.close(seconds)
        self.assertLess(time.monotonic() - began, seconds + 1.0)

    async def test_an_unfinished_call_gets_an_error(self):
        """Guards against callers that wait for a process that has ended."""
        reader = await self.connect(FETCH)
        await self.close()
        async with asyncio.timeout(CALL_SECONDS):
            head, _ = await read_answer(reader)
            self.assertEqual(b"", await reader.read())
        self.assertIn(b" 503 ", head)
        self.assertIn(b"Retry-After: ", head)

    async def test_an_unfinished_body_gets_an_error(self):
        """Guards against uploads that end without a word."""
        reader = await self.connect(UNFINISHED)
        await self.close()
        async with asyncio.timeout(CALL_SECONDS):
            head, _ = await read_answer(reader)
            self.assertEqual(b"", await reader.read())
        self.assertIn(b" 503 ", head)

    async def test_a_body_may_come_while_it_closes(self):
        """Guards against a server that waits for whole requests only."""
        self.answer.set()
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(UNFINISHED)
        await asyncio.sleep(0.02)
        closing = asyncio.ensure_future(self.server.close(5.0))
        await asyncio.sleep(0.3)
        self.assertFalse(closing.done())
        writer.write(b"23456789")
        head, body = await read_answer(reader)
        self.assertEqual(b"done", body)
        self.assertIn(b"connection: close", head.lower())
        await closing

    async def test_a_close_takes_no_longer_than_its_callers(self):
        """Guards against closed connections that are taken for idle ones."""
        self.answer.set()
        reader = await self.connect(FETCH)
        await read_answer(reader)
        began = time.monotonic()
        await self.server.close(8.0)
        self.assertLess(time.monotonic() - began, 3.0)
        self.assertEqual(0, len(self.server.idle))

    async def test_idle_connections_are_closed(self):
        """Guards against connections that end with the process only."""
        readers = [await self.connect(b""), await self.connect(FETCH[:9])]
        await self.close()
        async with asyncio.timeout(CALL_SECONDS):
            for reader in readers:
                self.assertEqual(b"", await reader.read())


async def is_open(address):
    """Return whether something listens at an address."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), 0.5):
            return True
    except OSError:
        return False
