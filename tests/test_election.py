"""Elections among keepers that all campaign at the same moment."""

import asyncio
from unittest import mock

from amaranthring.keepers import election
from amaranthring.keepers import messages
from amaranthring.keepers import roles
from tests import keepers_case


class TestCandidates(keepers_case.KeepersCase):
    """Keepers that have all lost their power and start together."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        leader = self.leader
        await self.keepers.put(1, b"one")
        others = [k for k in self.keepers.running.values() if k is not leader]
        self.group, self.other = others[0].group, others[1].group
        for one in (self.group, self.other):
            # Only the campaign of the test.
            one.campaign_at = float("inf")
        await self.keepers.stop(leader.config.address)

    async def test_who_voted_meanwhile_does_not_campaign(self):
        """Two keepers ask for pre-votes at once, and both may campaign.

        The first is elected with the second one's vote. The second, whose
        own pre-vote ends a moment later, went on in the term after that: the
        leader saw a higher term 0.1 s after it had begun to lead, and the
        group was without one again. Ballots of two keepers 20 ms apart in
        the logs, the later one in a term that nobody had asked about, showed
        it.
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
        asked = []

        async def ballot(group, term, pre):
            asked.append((term, pre))
            group.heard_at = 0.0
            if pre:
                given = await election.on_vote(group, rival)
                self.assertTrue(given.granted)
            return pre

        self.group.heard_at = 0.0
        with mock.patch.object(election, "_ballot", ballot):
            await election._campaign(self.group)
        self.assertEqual([(rival.term, True)], asked)
        self.assertEqual(rival.term, self.group.term)
        self.assertEqual(self.other.disk_id, self.group.vote)

    async def test_two_candidates_settle_it_in_their_first_ballot(self):
        """Two of three keepers are left and campaign at the same moment.

        Each granted the other's pre-vote, voted for itself and refused the
        other: just as many voters were left as decide, so a vote for oneself
        was a vote too few. Three rounds, 1.9 s, went by so in which all
        keepers answered within 0.03 s.
        """
        for _ in range(5):
            for group in (self.group, self.other):
                group.heard_at = 0.0
                roles.step_down(group, "the test")
                group.campaign_at = float("inf")
            await asyncio.gather(
                election._campaign(self.group), election._campaign(self.other)
            )
            leading = [self.group.leading, self.other.leading]
            self.assertEqual([False, True], sorted(leading))
            await asyncio.sleep(0.15)
