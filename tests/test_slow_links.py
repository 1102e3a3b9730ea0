"""Keepers whose links take long, although nothing is lost."""

import asyncio
from unittest import mock

from amaranthring.registry import keeper as keepers
from amaranthring.testing import plan_keepers
from amaranthring.testing import tcp_relay
from tests import test_silent_links


class SlowRelay(tcp_relay.Relay):
    """A relay that passes bytes on after `delay` seconds."""

    delay = 0.0

    async def _relay(self, reader, writer, unblocked, connection):
        loop = asyncio.get_running_loop()
        late = asyncio.Queue()

        async def write():
            while data := await late.get():
                await asyncio.sleep(max(0.0, data[0] - loop.time()))
                writer.write(data[1])

        writing = asyncio.ensure_future(write())
        try:
            while data := await reader.read(tcp_relay.READ_BYTES):
                late.put_nowait((loop.time() + self.delay, data))
        except OSError:
            pass
        finally:
            writing.cancel()


class TestElection(test_silent_links.RelayedKeepersCase):
    """Two of three keepers, with the product's timing."""

    async def prepare(self):
        self.keepers.use_product_timing()
        with mock.patch.object(tcp_relay, "Relay", SlowRelay):
            await super().prepare()

    async def elect(self, round_trip):
        for relay in self.relays:
            relay.delay = round_trip / 2
        await self.keepers.stop(self.leader.config.address)
        groups = [k.group for k in self.keepers.running.values()]
        await plan_keepers.wait_until(
            lambda: any(group.leading for group in groups), 10.0
        )

    async def test_short_round_trip(self):
        await self.elect(keepers.ELECTION_SECONDS / 3)

    async def test_round_trip_above_half_an_election_timeout(self):
        """A leader must be found while round trips are shorter than a lease.

        Pre-votes that are given up earlier elect nobody.
        """
        await self.elect(0.8 * keepers.ELECTION_SECONDS)
