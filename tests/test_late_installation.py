"""A snapshot that is installed late, as the disk is slow."""

import asyncio
import threading
from unittest import mock

from amaranthring.keepers import messages
from amaranthring.keepers import replication
from amaranthring.keepers import snapshots
from amaranthring.testing import plan_keepers
from tests import keepers_case

VERSIONS = 8


class TestLateInstallation(keepers_case.KeepersCase):
    """A follower gets a snapshot of one leader, then entries of the next."""

    async def prepare(self):
        self.keepers.auto_admit = False
        self.keepers.kept_entries = 1000

    async def asyncSetUp(self):
        await super().asyncSetUp()
        own = self.leader.config.address
        self.address, other = [a for a in self.keepers.running if a != own]
        await self.keepers.stop(self.address)
        for version in range(1, VERSIONS + 1):
            await self.keepers.put(version, b"plan %d" % version, own)
        leader = self.leader.group
        await plan_keepers.wait_until(lambda: leader.store.snapshot_index >= 5)
        self.index = leader.store.snapshot_index
        path = snapshots.path_of(leader.store.folder, self.index)
        self.snapshot = path.read_bytes()
        self.first, self.log = leader.disk_id, leader.log
        self.second = self.keepers.running[other].group.disk_id
        await self.keepers.stop(other)
        await self.keepers.stop(own)
        self.group = self.keepers.start(self.address).group

    def chunk(self):
        total = len(self.snapshot)
        return messages.Chunk(
            self.group.name,
            self.log.last_term,
            self.first,
            self.group.disk_id,
            self.index,
            0,
            total,
            self.snapshot,
        )

    def append(self):
        base = self.group.log.last_index
        return messages.Append(
            self.group.name,
            self.log.last_term + 1,
            self.second,
            self.group.disk_id,
            base,
            self.group.log.term_at(base),
            self.group.commit_index,
            [e.payload for e in self.log.entries if e.index > base],
        )

    async def test_acknowledged_entries_are_kept(self):
        """Installing a snapshot late must not drop acknowledged entries.

        A newer leader's entries may have come while the disk was busy.
        """
        finish = snapshots.Receiver.finish
        acknowledged = threading.Event()

        def finish_late(receiver):
            acknowledged.wait(5)
            return finish(receiver)

        with mock.patch.object(snapshots.Receiver, "finish", finish_late):
            installing = asyncio.ensure_future(
                replication.on_chunk(self.group, self.chunk())
            )
            await asyncio.sleep(0.1)
            reply = await replication.on_append(self.group, self.append())
            self.assertEqual(self.log.last_index, reply.match)
            self.assertLess(self.group.commit_index, self.index)
            acknowledged.set()
            await installing
        self.assertEqual(self.log.last_index, self.group.log.last_index)
        self.assertEqual(self.index, self.group.store.snapshot_index)
        self.assertGreaterEqual(self.group.commit_index, self.index)
        await self.group.writer.flush()
        await self.keepers.stop(self.address)
        group = self.keepers.start(self.address).group
        self.assertEqual(self.log.last_index, group.log.last_index)
