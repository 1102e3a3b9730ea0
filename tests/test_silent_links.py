"""Links that carry nothing any more but stay open."""

import asyncio
import tempfile
import unittest

import tornado.testing

from amaranthring.registry import hub
from amaranthring.registry import messages
from amaranthring.testing import plan_keepers
from amaranthring.testing import tcp_relay
from tests import keepers_case


class TestKeepers(unittest.IsolatedAsyncioTestCase):
    """Three keepers; each is reached through a relay."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory(dir=keepers_case.MEMORY)
        self.addCleanup(folder.cleanup)
        self.keepers = plan_keepers.PlanKeepers(folder.name)
        self.relays = []
        for address in self.keepers.seeds:
            await self.relay(address)
        self.addAsyncCleanup(self.keepers.stop_all)
        self.keepers.start_all()
        self.leader = await plan_keepers.wait_until(self.keepers.leader)
        await plan_keepers.wait_until(self.are_linked)

    async def relay(self, address):
        """Put a relay in front of the keeper at `address`."""
        for sock in self.keepers.sockets.pop(address):
            sock.close()
        hidden, port = tornado.testing.bind_unused_port()
        self.keepers.sockets[address] = [hidden]
        relay = tcp_relay.Relay(f"127.0.0.1:{port}")
        relay.port = int(address.rpartition(":")[2])
        await relay.start()
        self.addAsyncCleanup(relay.stop)
        self.relays.append(relay)

    def dialled(self):
        """Return the dialled links between keepers."""
        return [
            peer.dialler.link
            for keeper in self.keepers.running.values()
            for peer in keeper.group.peers.values()
        ]

    def are_linked(self):
        return all(self.dialled())

    async def test_leader_is_found_after_all_links_fall_silent(self):
        """Keepers whose links are silent must find a leader again.

        A leader steps down before it closes a silent link, and a candidate
        asks over such links for ever.
        """
        silenced = [relay.silence() for relay in self.relays]
        self.assertEqual([2, 2, 2], silenced)
        await plan_keepers.wait_until(lambda: not self.keepers.leader())
        await plan_keepers.wait_until(self.keepers.leader, 5.0)

    async def test_followers_find_the_silence_between_them(self):
        """A link between two followers must be dialled again too.

        It carries almost nothing until they need each other's vote.
        """
        before = {id(link): link for link in self.dialled()}
        for relay in self.relays:
            relay.silence()
        timeout = self.leader.group.options.election_seconds
        await asyncio.sleep(2 * timeout)
        await plan_keepers.wait_until(
            lambda: (
                self.are_linked()
                and not set(before) & {id(link) for link in self.dialled()}
            ),
            2.0,
        )

    async def test_target_announced_during_the_silence_becomes_known(self):
        """What was sent on a silent link must be sent again on the next.

        Otherwise the other keepers never learn of the target.
        """
        for keeper in self.keepers.running.values():
            # Keepers tell each other of a target that falls silent.
            keeper.hub.announce_seconds = 60.0
        # Lets each keeper see its links before they are replaced.
        await asyncio.sleep(2 * hub.GOSSIP_SECONDS)
        for relay in self.relays:
            relay.silence()
        record = messages.TargetRecord("a", "s", "v:1", "here", sequence=1)
        self.leader.hub.announce(record)
        for keeper in self.keepers.running.values():
            table = keeper.hub.table
            await plan_keepers.wait_until(lambda t=table: "a" in t.entries)
