"""Inquiry whether a target runs after it broke off a request."""

import asyncio
import time
import unittest

from amaranthring.core import records
from amaranthring.targets import liveness


class TestInquiry(unittest.IsolatedAsyncioTestCase):
    """A listener that is asked after it dropped a connection."""

    async def start_target(self, on_connection):
        server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        self.server = server
        host, port = server.sockets[0].getsockname()
        return records.Target(
            name="engine-1",
            kind=records.TargetKind.ENGINE,
            serves=("m1",),
            data_centre="here",
            region="here",
            address=f"{host}:{port}",
            capacity=1,
            incarnation=1,
        )

    async def ask(self, on_connection):
        target = await self.start_target(on_connection)
        inquiry = liveness.Inquiry(target)
        self.addCleanup(inquiry.stop)
        return inquiry

    async def test_ending_process_is_dead(self):
        """A crashed engine's listener still accepts connections for a moment.

        The kernel closes it last; the engine must not count as alive, or its
        request is sent to the next engine and crashes that as well.
        """

        async def ending(_, writer):
            await asyncio.sleep(0.02)
            writer.close()
            self.server.close()

        inquiry = await self.ask(ending)
        verdict = await inquiry.wait(liveness.ANSWER_SECONDS)
        self.assertEqual(verdict, liveness.Verdict.DEAD)

    async def test_accepted_connection_without_answer_is_silent(self):
        """The kernel accepts connections for a process that is ending."""
        writers = []

        async def accepting(_, writer):
            writers.append(writer)

        inquiry = await self.ask(accepting)
        verdict = await inquiry.wait(liveness.ANSWER_SECONDS)
        self.assertEqual(verdict, liveness.Verdict.SILENT)
        writers[0].close()

    async def test_process_that_ends_later_is_dead(self):
        """A crashed engine can take seconds to end, as it writes a core."""

        async def ending(_, writer):
            await asyncio.sleep(0.4)
            self.server.close()
            writer.transport.abort()

        inquiry = await self.ask(ending)
        verdict = await inquiry.wait(liveness.ANSWER_SECONDS)
        self.assertEqual(verdict, liveness.Verdict.SILENT)
        self.assertEqual(
            await asyncio.wait_for(inquiry.settle(), 5.0),
            liveness.Verdict.DEAD,
        )

    async def test_any_answer_shows_life_at_once(self):
        """A caller whose target dropped a connection must not wait."""

        async def answering(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 405 Method Not Allowed\r\n\r\n")
            await writer.drain()
            writer.close()

        inquiry = await self.ask(answering)
        started = time.monotonic()
        verdict = await inquiry.wait(liveness.ANSWER_SECONDS)
        self.assertEqual(verdict, liveness.Verdict.ALIVE)
        self.assertLess(time.monotonic() - started, 0.1)

    async def test_stalled_process_is_alive_later(self):
        """A stopped process accepts connections and answers when resumed."""

        async def stalled(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.4)
            writer.write(b"HTTP/1.1 404 Not Found\r\n\r\n")
            await writer.drain()
            writer.close()

        inquiry = await self.ask(stalled)
        verdict = await inquiry.wait(liveness.ANSWER_SECONDS)
        self.assertEqual(verdict, liveness.Verdict.SILENT)
        self.assertEqual(
            await asyncio.wait_for(inquiry.settle(), 5.0),
            liveness.Verdict.ALIVE,
        )

    async def test_connection_limit_is_no_crash(self):
        """A target at its limit closes connections without an answer."""

        async def closing(_, writer):
            writer.close()

        inquiry = await self.ask(closing)
        verdict = await inquiry.wait(liveness.ANSWER_SECONDS)
        self.assertEqual(verdict, liveness.Verdict.SILENT)

    async def test_closed_port_is_dead(self):
        target = await self.start_target(lambda _reader, _writer: None)
        self.server.close()
        await self.server.wait_closed()
        inquiry = liveness.Inquiry(target)
        verdict = await inquiry.wait(liveness.ANSWER_SECONDS)
        self.assertEqual(verdict, liveness.Verdict.DEAD)
