"""Detection of a dead target after it broke off a request."""

import asyncio
import unittest

from amaranthring.core import records
from amaranthring.targets import upstream


class TestReachable(unittest.IsolatedAsyncioTestCase):
    """A listener that is probed after it dropped a connection."""

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

    async def test_ending_process_is_unreachable(self):
        """A crashed engine's listener still accepts connections for a moment.

        The kernel closes it last; the engine must not count as alive, or its
        request is sent to the next engine and crashes that as well.
        """

        async def ending(_, writer):
            await asyncio.sleep(0.02)
            writer.close()
            self.server.close()

        self.assertFalse(
            await upstream.is_reachable(await self.start_target(ending))
        )

    async def test_kept_connection_is_reachable(self):
        writers = []

        async def living(_, writer):
            writers.append(writer)

        self.assertTrue(
            await upstream.is_reachable(await self.start_target(living))
        )
        writers[0].close()

    async def test_closed_port_is_unreachable(self):
        target = await self.start_target(lambda _reader, _writer: None)
        self.server.close()
        await self.server.wait_closed()
        self.assertFalse(await upstream.is_reachable(target))
