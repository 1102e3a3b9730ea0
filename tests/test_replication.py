"""Task cancellation, and the link of a silent follower."""

import asyncio
import concurrent.futures
import types
import unittest

from amaranthring.keepers import consensus
from amaranthring.keepers import log as logfile
from amaranthring.keepers import messages
from amaranthring.keepers import options
from amaranthring.keepers import replication
from amaranthring.testing import plan_keepers

MEMBER = messages.Member("old-disk", "k2", "h:2", "dc")
# Several heartbeat intervals.
ROUND_TRIP_SECONDS = 0.25


class TestCancelTasks(unittest.IsolatedAsyncioTestCase):
    """Tasks of a group that is stopped."""

    async def test_task_that_swallows_a_cancellation_ends(self):
        """A swallowed cancellation must not block the stop forever."""
        swallowed = []

        async def work():
            while True:
                try:
                    await asyncio.sleep(60)
                except asyncio.CancelledError:
                    if swallowed:
                        raise
                    swallowed.append(True)

        task = asyncio.ensure_future(work())
        await asyncio.sleep(0)
        async with asyncio.timeout(5):
            await consensus.cancel_tasks([task])
        self.assertTrue(task.cancelled())


class SlowDialler:
    """A link that never replies in time; it counts calls and closes."""

    def __init__(self):
        self.link = self
        self.closed = 0
        self.calls = 0

    async def call(self, _message, _timeout):
        self.calls += 1
        await asyncio.sleep(60)

    def close(self):
        self.closed += 1


class TestSilentFollower(unittest.IsolatedAsyncioTestCase):
    """A follower that replies late, or not at all."""

    async def asyncSetUp(self):
        self.now = 100.0
        log = logfile.Log()
        log.append([logfile.make_entry(1, 1, 0.0, "x", b"body")])
        self.group = types.SimpleNamespace(
            name="g",
            term=1,
            disk_id="own",
            commit_index=0,
            log=log,
            members=messages.Members([MEMBER]),
            options=options.Options(),
            clocks=types.SimpleNamespace(monotonic=lambda: self.now),
            pacer=None,
        )
        self.dialler = SlowDialler()
        self.peer = replication.Peer("k2", "h:2", "dc", self.dialler)
        self.peer.disk = "old-disk"
        self.peer.reset(1, self.now)
        self.addCleanup(self.end)

    def end(self):
        for task in self.peer.tasks:
            task.cancel()

    async def send_due(self):
        await replication._send_due(self.group, self.peer)

    async def test_returning_follower_gets_time_for_its_first_reply(self):
        """Silence before a new link must not count against that link.

        Otherwise the leader closes each new link before its first reply, and
        the keeper never rejoins.
        """
        self.now += 10 * self.group.options.peer_timeout_seconds
        await self.send_due()
        self.assertEqual(1, self.peer.in_flight)
        self.now += self.group.options.heartbeat_seconds
        await self.send_due()
        self.assertEqual(0, self.dialler.closed)

    def lack_snapshot(self):
        self.group.log.reset(5, 1, 0.0)
        reader = types.SimpleNamespace(index=5, total=10)
        transfer = replication.Transfer(reader, 1, self.peer.epoch)
        chunk = replication._send_chunk(
            self.group, self.peer, transfer, b"data"
        )
        self.peer.tasks.add(asyncio.ensure_future(chunk))

    async def test_snapshot_does_not_wait_on_a_silent_link(self):
        """A link that goes silent during a snapshot must be closed.

        The wait for a chunk's reply must not hide the silence.
        """
        self.lack_snapshot()
        await self.send_due()
        await asyncio.sleep(0)
        self.assertEqual(2, self.dialler.calls)
        self.now += self.group.options.peer_timeout_seconds * 1.1
        await self.send_due()
        self.assertEqual(1, self.dialler.closed)

    async def test_slow_chunk_closes_no_link(self):
        """A follower that answers heartbeats must keep its link.

        Its disk may take long for a chunk, and longer for the last one.
        """

        async def call(message, _timeout):
            if isinstance(message, messages.Chunk):
                await asyncio.sleep(60)
            self.assertEqual((0, 0), (message.prev_index, message.prev_term))
            return messages.Appended(1, True, "old-disk")

        self.dialler.call = call
        self.group.leading = False
        self.group.lease_changed = asyncio.Event()
        self.lack_snapshot()
        for _ in range(100):
            await self.send_due()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertEqual(self.now, self.peer.acked_at)
            self.now += self.group.options.heartbeat_seconds
        self.assertEqual(0, self.dialler.closed)
        self.assertEqual(0, self.peer.match_index)

    async def test_link_without_replies_is_closed(self):
        await self.send_due()
        self.now += self.group.options.peer_timeout_seconds * 1.1
        await self.send_due()
        self.assertEqual(1, self.dialler.closed)
        self.assertEqual(0, self.peer.in_flight)


class DistantDialler:
    """A link to a follower whose answers take a round trip."""

    def __init__(self):
        self.link = self
        self.last_index = 0
        self.batches = 0
        self.open_batches = 0
        self.most_open = 0

    async def call(self, message, _timeout):
        reply = self.append(message)
        carries = bool(message.entries)
        self.batches += carries
        self.open_batches += carries
        self.most_open = max(self.most_open, self.open_batches)
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        self.open_batches -= carries
        return reply

    def append(self, message):
        if message.prev_index > self.last_index:
            hint = self.last_index + 1
            return messages.Appended(1, False, "old-disk", 0, hint)
        end = message.prev_index + len(message.entries)
        self.last_index = max(self.last_index, end)
        return messages.Appended(1, True, "old-disk", end)


class TestDistantFollower(unittest.IsolatedAsyncioTestCase):
    """A follower whose answers take several heartbeat intervals."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        log = logfile.Log()
        self.body = bytes(replication.BATCH_BYTES)
        for index in range(1, 9):
            log.append([logfile.make_entry(index, 1, 0.0, "x", self.body)])
        self.dialler = DistantDialler()
        self.peer = replication.Peer("k2", "h:2", "dc", self.dialler)
        self.peer.disk = "old-disk"
        self.group = types.SimpleNamespace(
            name="g",
            term=1,
            disk_id="own",
            leading=True,
            commit_index=8,
            commit=self.commit,
            log=log,
            members=messages.Members([MEMBER]),
            peers={"k2": self.peer},
            options=options.Options(heartbeat_seconds=0.05),
            clocks=options.Clocks(),
            pacer=types.SimpleNamespace(reserve=lambda _: 1e9),
            lease_changed=asyncio.Event(),
        )
        self.peer.reset(9, self.group.clocks.monotonic())
        self.addCleanup(self.end)

    def commit(self, index):
        self.group.commit_index = index

    def start(self):
        sending = replication._send_log(self.group, self.peer)
        self.peer.main_task = asyncio.ensure_future(sending)

    def end(self):
        for task in [self.peer.main_task, *self.peer.tasks]:
            task.cancel()

    async def until_matched(self, seconds):
        last = self.group.log.last_index
        await plan_keepers.wait_until(
            lambda: self.peer.match_index >= last, seconds
        )

    async def test_lagging_follower_gets_all_entries(self):
        """Heartbeats on their way must not keep entries from a follower.

        With a long round trip one of them is always unanswered.
        """
        self.start()
        # One more round trip finds where the follower's log ends.
        await self.until_matched(1.5 * (8 + 1) * ROUND_TRIP_SECONDS)
        self.assertEqual(8, self.dialler.batches)
        self.assertEqual(1, self.dialler.most_open)

    async def test_pipelining_is_bounded_in_batches(self):
        """New entries wait behind eight batches, whatever the heartbeats."""
        self.dialler.last_index = 8
        self.start()
        await self.until_matched(4 * ROUND_TRIP_SECONDS)
        for index in range(9, 33):
            entry = logfile.make_entry(index, 1, 0.0, "x", bytes(10))
            self.group.log.append([entry])
            self.peer.wake.set()
            await asyncio.sleep(0.01)
        await self.until_matched(8 * ROUND_TRIP_SECONDS)
        self.assertEqual(
            replication.MAX_IN_FLIGHT_BATCHES, self.dialler.most_open
        )


class RecordingPacer:
    """A pacer that records in which queue each caller waits."""

    def __init__(self):
        self.queues = []

    async def acquire(self):
        self.queues.append("all")

    async def acquire_urgent(self, *_size):
        self.queues.append("urgent")


class TestSnapshotTurn(unittest.IsolatedAsyncioTestCase):
    """Where a snapshot waits before it is sent."""

    async def queues(self, members):
        pacer = RecordingPacer()
        thread = concurrent.futures.ThreadPoolExecutor(1)
        self.addCleanup(thread.shutdown)
        group = types.SimpleNamespace(
            term=1,
            leading=False,
            members=members,
            clocks=options.Clocks(),
            pacer=pacer,
            store=types.SimpleNamespace(snapshot_thread=thread),
        )
        peer = replication.Peer("k2", "h:2", "dc", None)
        peer.disk = "old-disk"
        reader = types.SimpleNamespace(
            index=5, total=10, read=lambda _offset: b"data"
        )
        transfer = replication.Transfer(reader, 1, peer.epoch)
        await replication._send_chunks(group, peer, transfer)
        return pacer.queues

    async def test_snapshot_for_a_voter_goes_ahead(self):
        queues = await self.queues(messages.Members([MEMBER]))
        self.assertEqual(["urgent"], queues)

    async def test_snapshot_for_a_learner_waits_its_turn(self):
        """A spare keeper's snapshot must not hold up voters and routers."""
        queues = await self.queues(messages.Members([], [MEMBER]))
        self.assertEqual(["all"], queues)
