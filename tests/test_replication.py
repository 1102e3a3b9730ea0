"""When a leader gives a silent follower's link up."""

import asyncio
import types
import unittest

from amaranthring import errors
from amaranthring.keepers import consensus
from amaranthring.keepers import log as logfile
from amaranthring.keepers import messages
from amaranthring.keepers import options
from amaranthring.keepers import replication

MEMBER = messages.Member("old-disk", "k2", "h:2", "dc")


class TestEndOfTasks(unittest.IsolatedAsyncioTestCase):
    """Tasks of a group that is stopped."""

    async def test_task_that_swallows_a_cancellation_ends(self):
        """A keeper is stopped in the step in which a reply comes.

        The task that waited for it goes on with its loop, and the keeper
        waits for the task until it is killed.
        """
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
    """A link on which every answer takes long; it notes its end."""

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
    """A follower that answers late, or not at all."""

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

    async def due(self):
        await replication._send_due(self.group, self.peer)

    async def test_one_that_comes_back_gets_time_for_its_first_answer(self):
        """A keeper was without power and comes back with an empty disk.

        The leader had heard nothing for seconds, and so closed each new
        link a heartbeat after its first message. With plans of many routes
        the answer takes longer than that: the keeper was never taken in,
        and the next lost disk was one too many.
        """
        self.now += 10 * self.group.options.silent_seconds
        await self.due()
        self.assertEqual(1, self.peer.in_flight)
        self.now += self.group.options.heartbeat_seconds
        await self.due()
        self.assertEqual(0, self.dialler.closed)

    async def test_snapshot_does_not_wait_on_a_silent_link(self):
        """A link goes silent while a snapshot is sent over it.

        The task that would notice is the one that waits.
        """

        async def call(_message, _timeout):
            raise errors.LinkTimeoutError("no reply")

        self.dialler.call = call
        reader = types.SimpleNamespace(index=1, total=10)
        sent = await replication._send_chunk(
            self.group, self.peer, reader, 0, b"data"
        )
        self.assertIsNone(sent)
        self.assertEqual(1, self.dialler.closed)

    async def test_link_on_which_nothing_is_answered_is_closed(self):
        await self.due()
        self.now += self.group.options.silent_seconds * 1.1
        await self.due()
        self.assertEqual(1, self.dialler.closed)
        self.assertEqual(0, self.peer.in_flight)
