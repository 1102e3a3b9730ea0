"""Streams that are let go of though nobody is at fault, or too early."""

import asyncio
import socket

from amaranthring import errors
from amaranthring.testing import scripted_target
from tests import test_forwarding
from tests import test_stream_versions

# Longer than the timeout between two events, shorter than the route's.
PAUSE_SECONDS = 1.5
# Together more than the buffers of both ends take.
EVENT_BYTES = 200 * 1024
EVENTS = 80
# Longer than a keeper is given to answer, shorter than a router may ask.
ANSWER_SECONDS = 0.38


def big_event(number):
    return b"id: %d\ndata: %b\n\n" % (number, b"x" * EVENT_BYTES)


def big_events(silence=0.0, silent_after=0):
    """Return a script of a stream of large events."""

    async def script(seen, writer):
        more = {
            "Content_Type": "text/event-stream",
            "Transfer_Encoding": "chunked",
        }
        writer.write(scripted_target.response_head(seen, **more))
        first = int(seen.headers.get(scripted_target.LAST_EVENT_ID, "0"))
        for number in range(first + 1, EVENTS + 1):
            data = big_event(number)
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            if number == silent_after:
                await asyncio.sleep(silence)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return script


class TestSlowCaller(test_forwarding.RouterCase):
    """Callers that read slowly, so that the router does not read either."""

    async def begin_stream(self, first):
        await self.begin(first, big_events())
        self.router.placer.views["t1"].running = 3

    async def read(self, pauses=1):
        """Return the body as a caller gets it that pauses while it reads."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
        sock.setblocking(False)
        self.addCleanup(sock.close)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, self.router.address)
        await loop.sock_sendall(
            sock,
            b"POST /c/x HTTP/1.1\r\nHost: h\r\nTest-Id: r1\r\n"
            b"Content-Length: 0\r\nConnection: close\r\n\r\n",
        )
        received = bytearray()
        pause_at = 0
        while data := await loop.sock_recv(sock, 256 * 1024):
            received += data
            if pauses and len(received) > pause_at:
                pauses -= 1
                pause_at = len(received) + EVENTS * EVENT_BYTES // 2
                await asyncio.sleep(PAUSE_SECONDS)
        return bytes(received)

    def assert_whole(self, received):
        places = [
            received.find(b"id: %d\ndata:" % number)
            for number in range(1, EVENTS + 1)
        ]
        self.assertNotIn(-1, places)
        self.assertEqual(sorted(places), places)
        self.assertGreater(len(received), EVENTS * EVENT_BYTES)
        self.assertTrue(received.endswith(b"0\r\n\r\n"))

    async def test_stream_goes_on_at_its_target(self):
        """Guards against a target taken for silent that nobody reads."""
        await self.begin_stream(big_events())
        self.assert_whole(await self.read())
        self.assertEqual([1, 0], [len(t.requests) for t in self.targets])

    async def test_several_pauses(self):
        """Guards against a bound that goes on after the first pause."""
        await self.begin_stream(big_events())
        self.assert_whole(await self.read(pauses=2))
        self.assertEqual([1, 0], [len(t.requests) for t in self.targets])

    async def test_silent_target_is_replaced_all_the_same(self):
        """Guards against a caller's pause that hides a silent target."""
        await self.begin_stream(big_events(60.0, silent_after=60))
        received = await asyncio.wait_for(self.read(), 5.0)
        self.assert_whole(received)
        self.assertEqual([1, 1], [len(t.requests) for t in self.targets])


class LateKeeper(scripted_target.ScriptedKeeper):
    """A keeper whose answers are late.

    Attributes
    ----------
    seconds : float
        Time that each answer takes.
    """

    def __init__(self, seconds):
        super().__init__()
        self.seconds = seconds

    async def call(self, message, timeout):
        """Answer a question, unless nobody waits for it any more."""
        await asyncio.sleep(min(self.seconds, timeout))
        if self.seconds > timeout:
            raise errors.LinkTimeoutError("no reply")
        return await super().call(message, timeout)


class TestResumed(test_stream_versions.ResumeCase):
    """Streams that callers take up again."""

    async def test_late_answer_counts(self):
        """Guards against a question dropped for one that is no faster."""
        await self.begin_mixed()
        self.keeper = LateKeeper(ANSWER_SECONDS)
        self.router.keepers[:] = [self.keeper]
        self.tell("v2")
        got = await self.resume()
        self.assertEqual(200, got.status)
        self.assertEqual([0, 1], self.asked())

    async def test_silent_keepers_are_given_up(self):
        """Guards against callers that wait for keepers that are gone."""
        await self.begin_mixed()
        self.router.keepers[:] = [LateKeeper(60.0)]
        got = await self.resume()
        self.assertEqual(503, got.status)
        self.assertLess(got.seconds, 1.0)
        self.assertEqual(0, self.ran())

    async def test_resting_target_goes_on_with_its_stream(self):
        """Guards against a refusal that outlasts the rest of the target."""
        await self.begin_mixed()
        self.tell("v2")
        rests = self.router.placer.rests
        rests.begin("t1", 0.5, ("s", "alba"))
        rests.by_target["t1"].charged_to = None
        got = await self.resume()
        self.assertEqual((503, 0), (got.status, self.ran()))
        pause = float(got.headers["Retry-After"])
        self.assertLessEqual(pause, 0.5)
        await asyncio.sleep(pause)
        got = await self.resume()
        self.assertEqual(200, got.status)
        self.assertEqual([0, 1], self.asked())
