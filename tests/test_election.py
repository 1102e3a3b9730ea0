"""Elections with simultaneous candidates."""

import asyncio
from unittest import mock

from amaranthring.keepers import election
from amaranthring.keepers import messages
from amaranthring.keepers import roles
from tests import keepers_case


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
            for group in (self.group, self.other):
                group.heard_at = 0.0
                roles.step_down(group, "the test")
                group.election_deadline = float("inf")
            await asyncio.gather(
                election._campaign(self.group), election._campaign(self.other)
            )
            leading = [self.group.leading, self.other.leading]
            self.assertEqual([False, True], sorted(leading))
            await asyncio.sleep(0.15)
