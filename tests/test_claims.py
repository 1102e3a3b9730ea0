"""Claims of a router whose keepers do not answer."""

import asyncio
import time
import unittest

from amaranthring import errors
from amaranthring.core import metrics
from amaranthring.core import records
from amaranthring.routers import claims
from amaranthring.testing import state

STATES = records.ClaimState


def request(key="k"):
    return records.Request(
        "r1",
        "shop",
        "interactive",
        1,
        "booking",
        records.TargetKind.SERVICE,
        "",
        b"",
        "ab" * 16,
        time.monotonic() + 30,
        False,
        key,
    )


class TestClaims(unittest.IsolatedAsyncioTestCase):
    """One router before a group whose answers can be lost."""

    async def asyncSetUp(self):
        self.group = state.FakeGroup()
        self.claims = claims.Claims(self.group.propose, metrics.Metrics())
        self.task = asyncio.ensure_future(self.claims.run())
        self.addCleanup(self.task.cancel)

    async def claim(self, attempt):
        return (await self.claims.claim(request(), attempt, "b1")).state

    async def test_lost_answer_is_not_run_and_frees_the_key(self):
        # The claim was committed but its answer lost. The caller is told
        # that nothing ran. When it comes back, its key must not be held by
        # the attempt that was given up: it would read as unknown for ever.
        self.group.lose_answers = 1
        with self.assertRaises(errors.NoQuorumError) as caught:
            await self.claim("a")
        self.assertEqual(caught.exception.outcome, errors.Outcome.NOT_RUN)
        await state.until(lambda: not self.claims.given_up)
        self.assertEqual(await self.claim("b"), STATES.GRANTED)

    async def test_claim_that_is_committed_after_it_was_given_up(self):
        # The claim lies in a slow connection. The router gives it up and
        # tells the keepers before they ever saw it; then it is committed.
        # It must be refused, or it would hold the key with nobody behind.
        held = []

        async def slow(command, timeout):
            if not held:
                held.append(command)
                raise errors.CommitUnknownError("no answer")
            return await self.group.propose(command, timeout)

        self.claims.propose = slow
        with self.assertRaises(errors.NoQuorumError):
            await self.claim("a")
        await state.until(lambda: not self.claims.given_up)
        late = self.group.apply(held[0]).claim
        self.assertNotEqual(late.state, STATES.GRANTED)
        self.assertEqual(await self.claim("b"), STATES.GRANTED)

    async def test_given_up_claims_are_settled_when_keepers_return(self):
        self.group.lose_answers = 1
        with self.assertRaises(errors.NoQuorumError):
            await self.claim("a")
        self.group.cut = True
        with self.assertRaises(errors.NoQuorumError):
            await self.claim("b")
        self.group.cut = False
        await state.until(lambda: not self.claims.given_up)
        self.assertEqual(await self.claim("c"), STATES.GRANTED)

    async def test_caller_that_leaves_while_claiming(self):
        async def never(command, timeout):
            await self.group.propose(command, timeout)
            await asyncio.sleep(60)

        self.claims.propose = never
        task = asyncio.ensure_future(self.claim("a"))
        await state.until(lambda: len(self.group.machine.ledger) == 1)
        self.claims.propose = self.group.propose
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await state.until(lambda: not self.claims.given_up)
        self.assertEqual(await self.claim("b"), STATES.GRANTED)
