"""Suspected requests that run one at a time, over all routers."""

import asyncio
import unittest

from amaranthring import errors
from amaranthring.forwarding import suspect_trials
from amaranthring.policy import trials
from amaranthring.registry import crash_messages

NAME = "fingerprint"


class FakeKeeper:
    """A link to a keeper that answers from a table of its own."""

    def __init__(self, clock):
        self.table = trials.TrialTable(clock)
        self.peer = self
        self.name = "keeper"
        self.error = None
        self.answered = asyncio.Event()
        self.answered.set()

    async def call(self, message, _timeout):
        await self.answered.wait()
        if self.error is not None:
            raise self.error
        begins = self.table.begin(
            message.fingerprint, message.holder, message.seconds
        )
        return crash_messages.TrialBegun(begins)

    def send(self, message):
        self.table.end(
            message.fingerprint, message.holder, message.hold_seconds
        )


class TrialCase(unittest.IsolatedAsyncioTestCase):
    """Five routers and three keepers."""

    def setUp(self):
        self.now = 100.0
        self.keepers = [FakeKeeper(self.clock) for _ in range(3)]
        self.routers = [
            suspect_trials.SuspectTrials(
                f"router-{n}", lambda: self.keepers, self.clock
            )
            for n in range(5)
        ]

    def clock(self):
        return self.now

    async def begin_everywhere(self):
        """Return the holders of the trials that all routers may begin."""
        begun = await asyncio.gather(
            *(router.begin(NAME, 3.0) for router in self.routers)
        )
        return [holder for holder in begun if holder]


class TestOneAtATime(TrialCase):
    """Routers that reach the same keepers."""

    async def test_one_router_runs_it(self):
        """Guards against one run in each router after a pause."""
        self.assertEqual(1, len(await self.begin_everywhere()))

    async def test_silent_keepers_do_not_count(self):
        """Guards against keepers that do not answer and block a request."""
        for keeper in self.keepers[1:]:
            keeper.error = errors.LinkTimeoutError("no reply")
        self.assertEqual(1, len(await self.begin_everywhere()))

    async def test_failing_keepers_do_not_count(self):
        """Guards against requests that end by a keeper's own error."""
        for keeper in self.keepers[1:]:
            keeper.error = errors.InternalError("handler failed")
        self.assertEqual(1, len(await self.begin_everywhere()))

    async def test_router_without_keepers_runs_it_once(self):
        """Guards against a router that needs its keepers to run a request."""
        self.keepers.clear()
        self.assertTrue(await self.routers[0].begin(NAME, 3.0))
        self.assertFalse(await self.routers[0].begin(NAME, 3.0))

    async def test_next_run_waits_until_a_crash_is_judged(self):
        """Guards against a send that follows before the crash counts."""
        [first, other] = self.routers[:2]
        holder = await first.begin(NAME, 3.0)
        first.end(NAME, holder, broke_off=True)
        self.now += suspect_trials.JUDGED_SECONDS / 2
        self.assertFalse(await other.begin(NAME, 3.0))
        self.now += suspect_trials.JUDGED_SECONDS
        self.assertTrue(await other.begin(NAME, 3.0))

    async def test_completed_run_lets_others_run_at_once(self):
        """Guards against innocent requests that wait for nothing."""
        [first, other] = self.routers[:2]
        holder = await first.begin(NAME, 3.0)
        first.end(NAME, holder, broke_off=False)
        self.assertTrue(await other.begin(NAME, 3.0))

    async def test_lost_router_ends_its_trial(self):
        """Guards against a trial whose router is gone for good."""
        self.assertTrue(await self.routers[0].begin(NAME, 60.0))
        self.now += suspect_trials.MAX_TRIAL_SECONDS + 0.1
        self.assertTrue(await self.routers[1].begin(NAME, 3.0))

    async def test_caller_that_leaves_ends_its_trial(self):
        """Guards against a trial of a request that is no longer there."""
        for keeper in self.keepers:
            keeper.answered.clear()
        asked = asyncio.ensure_future(self.routers[0].begin(NAME, 3.0))
        await asyncio.sleep(0)
        asked.cancel()
        await asyncio.gather(asked, return_exceptions=True)
        for keeper in self.keepers:
            keeper.answered.set()
        self.assertTrue(await self.routers[0].begin(NAME, 3.0))
