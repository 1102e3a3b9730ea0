"""Whether a target that broke a request off still lives."""

import asyncio
import unittest

from amaranthring.core import records
from amaranthring.targets import upstream


class TestReachable(unittest.IsolatedAsyncioTestCase):
    """A listener that is asked after it dropped a connection."""

    async def target(self, taken):
        server = await asyncio.start_server(taken, "127.0.0.1", 0)
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

    async def test_process_that_is_ending_is_dead(self):
        """A request crashes an engine on a machine that is busy.

        The kernel closes the engine's sockets one after the other, the
        listener last. A router whose connection broke found the listener
        there, took the engine to be alive and blamed nobody. The caller sent
        the request again through other routers, and each engine died. Logs
        of a fleet beside load showed no report for deaths that others, whose
        connections broke a moment later, did report.
        """

        async def ending(_, writer):
            await asyncio.sleep(0.02)
            writer.close()
            self.server.close()

        self.assertFalse(
            await upstream.is_reachable(await self.target(ending))
        )

    async def test_one_that_keeps_the_connection_lives(self):
        kept = []

        async def living(_, writer):
            kept.append(writer)

        self.assertTrue(await upstream.is_reachable(await self.target(living)))
        kept[0].close()

    async def test_nobody_listens(self):
        target = await self.target(lambda _reader, _writer: None)
        self.server.close()
        await self.server.wait_closed()
        self.assertFalse(await upstream.is_reachable(target))
