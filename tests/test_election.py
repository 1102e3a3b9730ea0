"""Elections with simultaneous candidates."""

import asyncio
import time
from unittest import mock

from amaranthring.keepers import election
from amaranthring.keepers import messages
from amaranthring.keepers import roles
from amaranthring.testing import plan_keepers
from tests import keepers_case

# Longer than a pre-vote is kept for another candidate with this election
# timeout, and much shorter than a pre-vote request waits.
STANDSTILL_SECONDS = 0.2
STANDSTILL_ELECTION_SECONDS = 1.2
# Longer than a ballot that ends.
BALLOT_SECONDS = 2.0


def stand_still():
    """Let the whole process wait."""
    time.sleep(STANDSTILL_SECONDS)


class TestCandidates(keepers_case.KeepersCase):
    """Two keepers that campaign after they have lost their leader."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        leader = self.leader
        await self.keepers.put(1, b"one")
        others = [k for k in self.keepers.running.values() if k is not leader]
        self.group, self.other = others[0].group, others[1].group
        for group in (self.group, self.other):
            # Only campaigns that the test starts.
            group.election_deadline = float("inf")
        await self.keepers.stop(leader.config.address)

    def prepare_standstill(self):
        """Let pre-vote requests wait longer than the process stands still."""
        for group in (self.group, self.other):
            group.options.election_seconds = STANDSTILL_ELECTION_SECONDS

    async def forget_leader(self):
        """End the leadership; wait out its messages, which would renew it."""
        groups = (self.group, self.other)
        for group in groups:
            roles.step_down(group, "the test")
        peers = [peer for group in groups for peer in group.peers.values()]
        await plan_keepers.wait_until(
            lambda: not any(peer.tasks for peer in peers)
        )
        # A keeper that still writes its last vote gives no pre-vote.
        await plan_keepers.wait_until(
            lambda: all(map(election.may_campaign, groups))
        )
        for group in groups:
            group.heard_at = 0.0
            group.election_deadline = float("inf")

    async def campaign(self, group):
        """Campaign until the ballot has ended, if one was begun."""
        await election._campaign(group)
        if group.ballot is not None:
            await asyncio.wait([group.ballot], timeout=BALLOT_SECONDS)

    async def test_candidate_that_voted_for_another_does_not_campaign(self):
        """A candidate that votes for another must not campaign.

        Otherwise it continues in the next term once its own pre-vote ends,
        and deposes the leader that it has just elected.
        """
        rival = messages.Vote(
            self.group.name,
            self.group.term + 1,
            self.other.disk_id,
            self.group.disk_id,
            self.group.log.last_index,
            self.group.log.last_term,
            pre=False,
        )
        ballots = []

        async def ballot(group, term, pre):
            ballots.append((term, pre))
            group.heard_at = 0.0
            if pre:
                reply = await election.on_vote(group, rival)
                self.assertTrue(reply.granted)
            return pre

        self.group.heard_at = 0.0
        with mock.patch.object(election, "_ballot", ballot):
            await election._campaign(self.group)
        self.assertEqual([(rival.term, True)], ballots)
        self.assertEqual(rival.term, self.group.term)
        self.assertEqual(self.other.disk_id, self.group.vote)

    async def test_two_candidates_settle_it_in_their_first_ballot(self):
        """Two simultaneous candidates of three keepers must not split votes.

        Otherwise each grants the other's pre-vote, votes for itself and
        refuses the other, round after round.
        """
        for _ in range(5):
            await self.forget_leader()
            await asyncio.gather(
                self.campaign(self.group), self.campaign(self.other)
            )
            leading = [self.group.leading, self.other.leading]
            self.assertEqual([False, True], sorted(leading))
            await asyncio.sleep(0.15)

    async def test_candidate_keeps_its_favour_while_its_ballot_is_open(self):
        """A candidate must not favour another before its ballot has ended.

        Otherwise a process that stands still while two candidates ask lets
        both grant the other's pre-vote, and both yield.
        """
        self.prepare_standstill()
        first, second = sorted(
            (self.group, self.other), key=lambda group: group.disk_id
        )
        term = first.term + 1
        rival = messages.Vote(
            first.name,
            term,
            second.disk_id,
            first.disk_id,
            second.log.last_index,
            second.log.last_term,
            pre=True,
        )
        replies = []

        async def ballot(group, term, pre):
            del term
            if pre:
                stand_still()
                replies.append(await election.on_vote(group, rival))
            return pre

        first.heard_at = 0.0
        with mock.patch.object(election, "_ballot", ballot):
            await election._campaign(first)
        self.assertEqual([False], [reply.granted for reply in replies])
        self.assertEqual((term, first.disk_id), (first.term, first.vote))

    async def test_process_that_stands_still_while_two_ask(self):
        """Two candidates must settle it although their process stands still.

        Otherwise the favour that each gives itself runs out, and both yield.
        """
        self.prepare_standstill()
        loop = asyncio.get_running_loop()
        for _ in range(5):
            await self.forget_leader()
            # After both have asked, before either hears an answer.
            loop.call_later(0, loop.call_soon, stand_still)
            await asyncio.gather(
                self.campaign(self.group), self.campaign(self.other)
            )
            leading = [self.group.leading, self.other.leading]
            self.assertEqual([False, True], sorted(leading))
            await asyncio.sleep(0.15)
