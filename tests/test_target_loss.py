"""Examination of a target that broke off an attempt."""

import asyncio
import unittest

from amaranthring.callers import execution
from amaranthring.callers import target_loss
from amaranthring.core import records
from amaranthring.testing import fake_dependencies
from amaranthring.testing import fake_network


class TestExamination(unittest.IsolatedAsyncioTestCase):
    """An attempt whose connection broke, and the listener of its target."""

    async def asyncSetUp(self):
        self.writers = []
        self.connected = asyncio.Event()
        self.server = await asyncio.start_server(
            self.on_connection, "127.0.0.1", 0
        )
        self.addCleanup(self.close)
        host, port = self.server.sockets[0].getsockname()
        address = f"{host}:{port}"
        self.target = records.Target(
            "e1", 1, records.TargetKind.ENGINE, address, "dc1", "r", ("m",)
        )
        self.fakes = fake_dependencies.Fakes(self.target)
        self.deps = self.fakes.needs
        self.watched = []
        self.deps.watch_target = lambda *call: self.watched.append(call)
        self.request = fake_network.request(body_digest="body")
        grant = records.Grant("g1", "r1", self.target)
        self.attempt = execution.Attempt(0, grant, sent=True)

    def close(self):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        if self.attempt.inquiry:
            self.attempt.inquiry.stop()

    async def on_connection(self, reader, writer):
        self.writers.append(writer)
        self.connected.set()
        await self.answer(reader, writer)

    async def answer(self, reader, writer):
        """Do not answer: the kernel accepted the connection."""

    async def examine(self):
        await target_loss.examine_target(self.deps, self.request, self.attempt)

    async def test_silent_target_is_reported_before_the_grant_is_released(
        self,
    ):
        """Another isolated run must not start there before the report."""
        await self.examine()
        self.assertTrue(self.attempt.target_lost)
        self.assertEqual(self.fakes.crash_reports, [("body", "e1")])

    async def test_answering_target_is_not_lost(self):
        """It is watched, as it may be ending while it answers."""

        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 404 Not Found\r\n\r\n")

        self.answer = answer
        await self.examine()
        self.assertFalse(self.attempt.target_lost)
        self.assertEqual(self.fakes.crash_reports, [])
        self.assertEqual(len(self.watched), 1)

    async def test_caller_that_leaves_meanwhile(self):
        """The caller may resend at once, through a router that knows nothing.

        The crash is reported although nobody waits for it.
        """
        examination = asyncio.ensure_future(self.examine())
        await self.connected.wait()
        examination.cancel()
        await asyncio.wait({examination})
        self.assertTrue(examination.cancelled())
        self.assertEqual(len(self.watched), 1)

    async def test_slow_target_is_not_lost(self):
        """An overloaded target exceeds the timeout and the inquiry's alike.

        If it counted as lost, retries would not be charged to the budget and
        add to the overload.
        """
        await target_loss.examine_target(
            self.deps, self.request, self.attempt, broke_off=False
        )
        self.assertFalse(self.attempt.target_lost)
        self.assertEqual(self.fakes.crash_reports, [])

    async def test_request_that_was_not_sent_is_not_reported(self):
        """It cannot have crashed a target that it did not reach."""
        self.attempt.sent = False
        self.attempt.target_lost = True
        await self.examine()
        self.assertEqual(self.fakes.crash_reports, [])
