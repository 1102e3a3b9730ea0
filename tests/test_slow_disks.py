"""Keepers whose disks are slow."""

import asyncio
import time

from amaranthring.core import wire
from amaranthring.keepers import disk
from amaranthring.keepers import messages
from amaranthring.keepers import replication
from amaranthring.keepers import roles
from amaranthring.testing import plan_keepers
from tests import keepers_case


def hard_state(group):
    """Return what the disk holds of the group's hard state."""
    path = group.store.folder / disk.HARD_STATE_FILE
    return wire.decode_value(disk.verify_checksum(path.read_bytes(), path))


class TestVotes(keepers_case.KeepersCase):
    """Votes that are still being written."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.keepers.put(1, b"one")
        groups = [k.group for k in self.keepers.running.values()]
        await plan_keepers.wait_until(
            lambda: all(g.store.durable_index >= 2 for g in groups)
        )
        others = [k.group for k in self.keepers.running.values()]
        others.remove(self.leader.group)
        self.group, self.other = others
        self.slow = {}
        self.keepers.sync_seconds = lambda a: self.slow.get(a, 0.0)
        for group in groups:
            # Only campaigns that the test starts.
            group.election_deadline = float("inf")

    async def lose_leader(self):
        await self.keepers.stop(self.leader.config.address)
        self.forget_leader()

    def forget_leader(self):
        for keeper in self.keepers.running.values():
            keeper.group.heard_at = 0.0

    async def test_heartbeat_of_a_new_term_waits_for_no_disk(self):
        """A leader must not lose its quorum while its term is written."""
        await self.lose_leader()
        self.slow[self.group.keeper.address] = 0.5
        last = self.group.log.last_index
        message = messages.Append(
            self.group.name,
            self.group.term + 1,
            self.other.disk_id,
            self.group.disk_id,
            last,
            self.group.log.last_term,
            self.group.commit_index,
        )
        began_at = time.monotonic()
        reply = await replication.on_append(self.group, message)
        self.group.election_deadline = float("inf")
        self.assertLess(time.monotonic() - began_at, 0.3)
        self.assertEqual((True, 0), (reply.ok, reply.match))
        self.assertLess(hard_state(self.group)["term"], message.term)
        await self.group.writer.flush()
        reply = await replication.on_append(self.group, message)
        self.assertEqual((True, last), (reply.ok, reply.match))
        self.assertEqual(message.term, hard_state(self.group)["term"])

    async def test_entries_of_a_new_term_are_acknowledged_when_synced(self):
        """Entries must not count before they and their term are on disk."""
        await self.lose_leader()
        self.slow[self.group.keeper.address] = 0.2
        term = self.group.term + 1
        roles.set_term(self.other, term, self.other.disk_id)
        roles.become_leader(self.other)
        index = self.other.term_start_index
        await plan_keepers.wait_until(
            lambda: self.group.log.last_index == index, 1
        )
        peer = self.other.peers[self.group.keeper.name]
        async with asyncio.timeout(2):
            while peer.match_index < index:
                self.assertLess(self.other.commit_index, index)
                await asyncio.sleep(0.01)
        self.assertGreaterEqual(self.group.store.durable_index, index)
        self.assertEqual(term, hard_state(self.group)["term"])
