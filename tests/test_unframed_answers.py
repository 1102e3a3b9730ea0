"""Answers without length or chunks, which end with their connection."""

import asyncio
import enum
import unittest

from amaranthring import errors
from amaranthring.targets import upstream
from amaranthring.testing import scripted_target
from tests import test_forwarding
from tests import test_handover

LAST = 5
WHOLE = b"".join(scripted_target.event(n) for n in range(1, LAST + 1))


class End(enum.Enum):
    """How a target ends its connection."""

    CLOSE = enum.auto()
    RESET = enum.auto()
    WITHIN_EVENT = enum.auto()


def stream(last=LAST, end=End.CLOSE):
    """Return a script that streams the events after the caller's last."""

    async def script(seen, writer):
        writer.write(
            scripted_target.response_head(
                seen, Content_Type="text/event-stream"
            )
        )
        first = int(seen.headers.get(scripted_target.LAST_EVENT_ID, "0")) + 1
        for number in range(first, last + 1):
            writer.write(scripted_target.event(number))
        if end is End.WITHIN_EVENT:
            writer.write(scripted_target.event(last + 1)[:5])
        await writer.drain()
        await asyncio.sleep(0.05)
        if end is End.RESET:
            scripted_target.abort_connection(writer)

    return script


class TestStreams(test_forwarding.RouterCase):
    """Streams of targets that this router reaches."""

    async def start(self, *scripts):
        """Start targets; a request reaches the first one first."""
        await self.begin(*scripts)
        for number in range(1, len(scripts)):
            self.router.placer.views[f"t{number}"].running = number

    async def test_stream_that_is_closed_is_whole(self):
        """Guards against a whole stream that counts as broken off."""
        await self.start(stream())
        for path in ("/c/x", "/d/x"):
            got = await self.ask(path, "POST")
            self.assertEqual(
                (200, WHOLE, True), (got.status, got.body, got.complete)
            )

    async def test_stream_that_is_broken_off_is_not_whole(self):
        """Guards against a part of a stream that looks whole."""
        for end in (End.RESET, End.WITHIN_EVENT):
            with self.subTest(end=end):
                await self.start(stream(2, end))
                got = await self.ask("/d/x", "POST")
                self.assertFalse(got.complete)
                self.assertTrue(WHOLE.startswith(got.body))

    async def test_stream_that_is_broken_off_is_resumed(self):
        """Guards against events that are missing, doubled or joined."""
        for end in (End.RESET, End.WITHIN_EVENT):
            with self.subTest(end=end):
                await self.start(stream(2, end), stream())
                got = await self.ask("/c/x", "POST")
                self.assertEqual((WHOLE, True), (got.body, got.complete))
                self.assertEqual(2, self.ran())

    async def test_caller_takes_a_stream_up_again(self):
        """Guards against a resumed stream whose end is not told."""
        await self.start(stream())
        got = await self.ask("/c/x", "POST", Last_Event_ID="2")
        rest = b"".join(scripted_target.event(n) for n in range(3, LAST + 1))
        self.assertEqual((rest, True), (got.body, got.complete))


class TestHandedOver(test_handover.HandoverCase):
    """Answers of targets that only a helper reaches."""

    async def test_stream_that_is_closed_is_whole(self):
        """Guards against a whole stream that a helper takes for broken."""
        await self.begin_both(stream())
        got = await self.ask("/d/x", "POST")
        self.assertEqual((WHOLE, True), (got.body, got.complete))

    async def test_stream_that_is_broken_off_is_not_whole(self):
        """Guards against a helper that ends a part like a whole stream."""
        for end in (End.RESET, End.WITHIN_EVENT):
            with self.subTest(end=end):
                await self.begin_both(stream(2, end))
                got = await self.ask("/d/x", "POST")
                self.assertFalse(got.complete)

    async def test_body_that_is_closed_is_whole(self):
        """Guards against a body that a helper takes for broken."""
        await self.begin_both(
            scripted_target.raw(
                lambda seen: scripted_target.response_head(seen) + b"all"
            )
        )
        got = await self.ask("/a/x")
        self.assertEqual((200, b"all"), (got.status, got.body))


class Target:
    """Address of a server."""

    name = "t"

    def __init__(self, address):
        self.address = address


class TestEarlyAnswers(unittest.IsolatedAsyncioTestCase):
    """Answers without a length that come while a call is being sent."""

    body = bytes(16 * 1024 * 1024)

    async def ask(self, go_on):
        """Return the answer of a server that goes on in a way."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\npart")
            writer.write_eof()
            await asyncio.sleep(0.1)
            await go_on(reader, writer)
            served.set()

        served = asyncio.Event()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        exchange = upstream.Exchange(Target(f"{host}:{port}"))
        self.addCleanup(exchange.close)
        call = upstream.Call("POST", "/", {}, self.body)
        await exchange.open(call, 5.0)
        try:
            return await exchange.read_all(1000, unframed=True)
        finally:
            await served.wait()

    async def test_answer_before_a_reset_is_not_whole(self):
        """Guards against a part that looks whole as its sender goes."""

        async def reset(_reader, writer):
            scripted_target.abort_connection(writer)

        with self.assertRaises(errors.TruncatedResponseError):
            await self.ask(reset)

    async def test_answer_is_whole_once_the_call_is_taken(self):
        """Guards against refusing an answer that came early."""

        async def read_on(reader, writer):
            await reader.readexactly(len(self.body))
            writer.close()

        self.assertEqual(b"part", await self.ask(read_on))
