"""A voter that the quorum needs and that lacks a snapshot."""

import asyncio
import os
import time
from unittest import mock

from amaranthring.core import pacing
from amaranthring.keepers import snapshots
from amaranthring.registry import keeper as keepers
from amaranthring.testing import plan_keepers
from tests import keepers_case

# More than three election timeouts.
DISK_SECONDS = 2.0
PLAN_BYTES = 200_000
VERSIONS = 12
# Time in which a router asks again, in seconds.
ROUTER_SECONDS = 0.01
# A returning voter is dialled, and a leader elected, within this many
# election timeouts.
START_TIMEOUTS = 4


class TestLaggingVoter(keepers_case.KeepersCase):
    """Leader and lagging voter are a quorum; routers fetch the plan."""

    async def prepare(self):
        self.keepers.heartbeat_seconds = keepers.HEARTBEAT_SECONDS
        self.keepers.election_seconds = keepers.ELECTION_SECONDS
        self.keepers.auto_admit = False
        self.routers = []
        self.addCleanup(lambda: [task.cancel() for task in self.routers])

    async def lag(self):
        """Commit plans that the returned keeper, stopped, does not have.

        The other follower is stopped afterwards.
        """
        own = self.leader.config.address
        lagging, other = [a for a in self.keepers.running if a != own]
        await self.keepers.stop(lagging)
        for version in range(1, VERSIONS + 1):
            await self.keepers.put(version, os.urandom(PLAN_BYTES), own)
        store = self.leader.group.store
        await plan_keepers.wait_until(lambda: store.log.base_index > 2)
        return lagging, other

    async def fetch(self, pacer, sent):
        while True:
            await pacer.acquire()
            sent["router-plan"] += PLAN_BYTES
            await asyncio.sleep(ROUTER_SECONDS)

    def bytes_to_send(self):
        """Return the bytes of the snapshot and of the entries after it."""
        store = self.leader.group.store
        path = next(store.folder.glob("snapshot-*"))
        entries = store.log.batch(store.snapshot_index + 1, 1 << 30)
        return path.stat().st_size + sum(map(len, entries))

    async def check(self, routers, extra_seconds=0.0):
        lagging, other = await self.lag()
        for _ in range(routers):
            fetch = self.fetch(self.leader.pacer, self.leader.handlers.sent)
            self.routers.append(asyncio.ensure_future(fetch))
        await asyncio.sleep(0.3)
        size, rate = self.bytes_to_send(), self.leader.pacer.rate
        await self.keepers.stop(other)
        group = self.keepers.start(lagging).group
        machine = self.keepers.running[lagging].machine
        seconds = (
            START_TIMEOUTS * keepers.ELECTION_SECONDS
            + pacing.MAX_DEBT_SECONDS
            + 1.5 * size / rate
            + extra_seconds
        )
        terms = set()

        def caught_up():
            if self.leader.group.leading:
                terms.add(self.leader.group.term)
            self.assertFalse(group.leading)
            return machine.version == VERSIONS

        await plan_keepers.wait_until(caught_up, seconds)
        # The leader may have lost its quorum once, while there was none.
        self.assertLessEqual(len(terms), 2)

    async def test_seven_routers(self):
        """A snapshot must not cost the leader its quorum.

        A voter that gets no heartbeat while its snapshot waits behind the
        plans of routers costs the leader its quorum; the next one begins
        again.
        """
        await self.check(7)

    async def test_thirty_routers(self):
        await self.check(30)

    async def test_ninety_routers(self):
        await self.check(90)

    async def test_slow_installation(self):
        """A slow disk at the last chunk must not cost the leader its quorum.

        The last chunk is answered once the snapshot is synced and restored.
        """
        finish = snapshots.Receiver.finish

        def slow(receiver):
            time.sleep(DISK_SECONDS)
            return finish(receiver)

        with mock.patch.object(snapshots.Receiver, "finish", slow):
            await self.check(0, DISK_SECONDS)
