"""Elections while the keepers' disks are slow."""

import asyncio
import collections
import random
import tempfile
import time
import unittest
from unittest import mock

from amaranthring import errors
from amaranthring.core import wire
from amaranthring.keepers import disk
from amaranthring.keepers import election
from amaranthring.keepers import messages
from amaranthring.keepers import replication
from amaranthring.keepers import roles
from amaranthring.registry import hub
from amaranthring.registry import keeper as keepers
from amaranthring.testing import plan_keepers
from tests import keepers_case

# Links are dialled again within half a second; the rest is for the machine.
MACHINE_SECONDS = 1.0


def bound(syncs, lost_ballots=1):
    """Return the seconds in which restarted keepers have a usable leader.

    Parameters
    ----------
    syncs : list of float
        Seconds of the syncs that are needed one after the other. With no
        ballot lost there are two: all write their votes at the same time,
        then the first entry. Each lost ballot adds one.
    lost_ballots : int
        How many candidates may fail before one succeeds. Each wait for a
        candidate takes two election timeouts at most.
    """
    waits = 2 * (1 + lost_ballots) * keepers.ELECTION_SECONDS
    return sum(syncs) + waits + MACHINE_SECONDS


def hard_state(group):
    """Return what the disk holds of the group's hard state."""
    path = group.store.folder / disk.HARD_STATE_FILE
    return wire.decode_value(disk.verify_checksum(path.read_bytes(), path))


def vote_request(group, candidate, term, pre=False):
    """Return a request of `candidate` for the vote of `group`'s keeper."""
    return messages.Vote(
        group.name,
        term,
        candidate.disk_id,
        group.disk_id,
        candidate.log.last_index,
        candidate.log.last_term,
        pre,
    )


class TestRestart(unittest.IsolatedAsyncioTestCase):
    """Keepers that are restarted together, with the product's timing."""

    async def asyncSetUp(self):
        # asyncio's debug mode, which this test case enables, is slow.
        asyncio.get_running_loop().set_debug(False)

    async def new_group(self):
        folder = tempfile.TemporaryDirectory(dir=keepers_case.MEMORY)
        self.addCleanup(folder.cleanup)
        group = plan_keepers.PlanKeepers(folder.name)
        self.addAsyncCleanup(group.stop_all)
        group.start_all()
        await plan_keepers.wait_until(group.leader)
        await group.put(1, b"one")
        return group

    async def restart(self, sync_seconds, gone=0):
        """Return the keepers after a restart of all but `gone` of them."""
        group = await self.new_group()
        await group.stop_all()
        group.sync_seconds = sync_seconds
        group.use_product_timing()
        for address in group.seeds[gone:]:
            group.start(address)
        return group

    async def lead(self, sync_seconds, seconds, gone=0):
        """Require a leader in `seconds` and that it goes on in its term."""
        group = await self.restart(sync_seconds, gone)
        began_at = time.monotonic()
        leader = await plan_keepers.wait_until(group.leader, 30)
        elapsed = time.monotonic() - began_at
        term = leader.group.term
        await asyncio.sleep(3 * keepers.ELECTION_SECONDS)
        self.assertIs(leader, group.leader())
        self.assertEqual(term, leader.group.term)
        self.assertLess(elapsed, seconds)
        read = await leader.hub.read()
        self.assertEqual(1, read.version)

    async def lead_both(self, make_sync_seconds, seconds):
        """Require a leader of three keepers, and of two of three.

        More keepers in one process would make each other late.
        """
        await asyncio.gather(
            *(
                self.lead(make_sync_seconds(), bound([seconds] * 3), gone)
                for gone in (0, 1)
            )
        )

    async def test_all_disks_are_slow(self):
        """Keepers whose votes take longer than a ballot must get a leader."""
        for seconds in (0.2, 0.3, 0.6):
            await self.lead_both(lambda s=seconds: lambda _: s, seconds)

    async def test_random_sync_times(self):
        """Disks that are fast and slow in turn must not prevent a leader."""

        def draw(seed):
            source = random.Random(seed)
            return lambda _: source.uniform(0.0, 0.6)

        for seed in range(4):
            await self.lead_both(lambda s=seed: draw(s), 0.6)

    async def test_one_disk_is_slow(self):
        """A slow disk that no quorum needs must not delay the others."""

        async def play(number):
            group = await self.new_group()
            slow = group.seeds[number]
            await group.stop_all()
            group.sync_seconds = lambda address: 2.0 * (address == slow)
            group.use_product_timing()
            for address in group.seeds:
                group.start(address)
            # The keeper with the slow disk may be the first candidate.
            await plan_keepers.wait_until(group.leader, bound([0.0]))

        await asyncio.gather(*(play(number) for number in range(3)))

    async def test_first_syncs_hang(self):
        """Votes that hang must elect a leader when the disks go on."""

        def hang():
            hung = set()

            def seconds(address):
                if address in hung:
                    return 0.0
                hung.add(address)
                return 1.5

            return seconds

        await asyncio.gather(
            *(self.lead(hang(), bound([1.5]), gone) for gone in (0, 1, 1))
        )

    async def test_read_after_an_election(self):
        """A read that the first entry delays is refused; a later one works."""
        seconds = 1.3
        group = await self.restart(lambda _: seconds)

        def elected():
            return [k for k in group.running.values() if k.group.leading]

        (leader,) = await plan_keepers.wait_until(elected, 30)
        began_at = time.monotonic()
        with self.assertRaises(errors.NoQuorumError):
            await leader.hub.read()
        await plan_keepers.wait_until(group.leader, 2 * seconds)
        self.assertLess(time.monotonic() - began_at, 2 * seconds)
        self.assertEqual(1, (await leader.hub.read()).version)


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

    async def test_late_vote_counts(self):
        """A vote that is synced after a long time must still elect."""
        await self.lose_leader()
        term = self.group.term + 1
        self.slow[self.other.keeper.address] = 0.5
        await election._campaign(self.group)
        await plan_keepers.wait_until(lambda: self.group.leading, 2)
        self.assertEqual(term, self.group.term)

    async def test_vote_is_requested_again_over_the_next_link(self):
        """A link that breaks must not cost the vote that is being written."""
        await self.lose_leader()
        term = self.group.term + 1
        self.slow[self.other.keeper.address] = 0.5
        campaign = asyncio.ensure_future(election._campaign(self.group))
        await plan_keepers.wait_until(lambda: self.other.term == term, 1)
        self.group.peers[self.other.keeper.name].dialler.link.close()
        await campaign
        await plan_keepers.wait_until(lambda: self.group.leading, 2)
        self.assertEqual(term, self.group.term)

    async def test_changed_voters_end_a_ballot(self):
        """Votes must count among the voters that were asked.

        Counted among others, two candidates could have a quorum in one term.
        """
        await self.lose_leader()
        self.slow[self.other.keeper.address] = 0.3
        await election._campaign(self.group)
        voters = [
            member
            for member in self.group.members.voters
            if member.disk == self.group.disk_id
        ]
        index = self.group.log.last_index
        changed = (index, messages.Members(voters, []))
        self.group.store.member_history.append(changed)
        self.group.members_changed()
        self.group.election_deadline = float("inf")
        await asyncio.sleep(0.6)
        self.assertEqual(self.group.vote, self.group.disk_id)
        self.assertFalse(self.group.leading)

    async def test_own_vote_counts_when_synced(self):
        """Others' votes alone must not elect, nor free the next term."""
        await self.lose_leader()
        term = self.group.term + 1
        self.slow[self.group.keeper.address] = 0.5
        campaign = asyncio.ensure_future(election._campaign(self.group))
        await plan_keepers.wait_until(
            lambda: hard_state(self.other)["term"] == term, 0.4
        )
        self.assertFalse(self.group.leading)
        rival = vote_request(self.group, self.other, term + 1, pre=True)
        reply = await election.on_vote(self.group, rival)
        self.assertFalse(reply.granted)
        await campaign
        await plan_keepers.wait_until(lambda: self.group.leading, 2)
        state = hard_state(self.group)
        self.assertEqual(
            (term, self.group.disk_id), (state["term"], state["vote"])
        )

    async def test_voter_that_writes_opens_no_next_term(self):
        """While a vote is written, its keeper must not help another term.

        Otherwise each term is left before the disks have written its votes.
        """
        await self.lose_leader()
        term = self.group.term + 1
        self.slow[self.group.keeper.address] = 0.3
        voting = asyncio.ensure_future(
            election.on_vote(
                self.group, vote_request(self.group, self.other, term)
            )
        )
        await plan_keepers.wait_until(lambda: self.group.term == term)
        next_term = vote_request(self.group, self.other, term + 1, pre=True)
        self.assertFalse(election.may_campaign(self.group))
        reply = await election.on_vote(self.group, next_term)
        self.assertFalse(reply.granted)
        self.assertTrue((await voting).granted)
        self.assertTrue(election.may_campaign(self.group))
        self.assertTrue(
            (await election.on_vote(self.group, next_term)).granted
        )
        wait = self.group.election_deadline - self.group.clocks.monotonic()
        self.assertGreater(wait, 0.9 * self.group.options.election_seconds)

    async def test_voter_does_not_campaign_as_its_vote_is_synced(self):
        """A voter must not depose the leader that its vote elects.

        Its election timer may have run out while the vote was written.
        """
        await self.lose_leader()
        term = self.group.term + 1
        flush = self.group.writer.flush
        synced, answered = asyncio.Event(), asyncio.Event()

        async def flush_and_wait():
            await flush()
            synced.set()
            await answered.wait()

        request = vote_request(self.group, self.other, term)
        with mock.patch.object(self.group.writer, "flush", flush_and_wait):
            voting = asyncio.ensure_future(
                election.on_vote(self.group, request)
            )
            await synced.wait()
            self.assertEqual(term, hard_state(self.group)["term"])
            self.group.election_deadline = 0.0
            self.assertFalse(election.may_campaign(self.group))
            answered.set()
            self.assertTrue((await voting).granted)
        wait = self.group.election_deadline - self.group.clocks.monotonic()
        self.assertGreater(wait, 0.9 * self.group.options.election_seconds)

    async def test_repeated_request_costs_no_write(self):
        """A vote that is on disk must be granted again without a write."""
        await self.lose_leader()
        request = vote_request(self.group, self.other, self.group.term + 1)
        self.assertTrue((await election.on_vote(self.group, request)).granted)
        with mock.patch.object(self.group.store.data_folder, "save") as save:
            reply = await election.on_vote(self.group, request)
        self.assertTrue(reply.granted)
        save.assert_not_called()

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


class TestRepeatedChange(keepers_case.KeepersCase):
    """A change that is sent again, as its caller got no answer in time."""

    async def test_committed_change_is_acknowledged(self):
        """A change must be acknowledged when it is sent again.

        On disks that take longer than a call waits, each repetition would
        only add an entry that is not committed in time either.
        """
        self.keepers.sync_seconds = lambda _: 1.3 * hub.ANSWER_SECONDS
        with self.assertRaises(errors.CommitUnknownError):
            await self.leader.hub.put(7, b"seven")
        for keeper in self.keepers.running.values():
            await plan_keepers.wait_until(
                lambda k=keeper: k.machine.version == 7
            )
            last = self.leader.group.log.last_index
            self.assertEqual(7, await keeper.hub.put(7, b"seven"))
            self.assertEqual(last, self.leader.group.log.last_index)


class TestSpareLearner(keepers_case.KeepersCase):
    """Three voters and a learner that could replace one."""

    async def test_voter_stays_while_another_disk_hangs(self):
        """A voter must not be removed if the rest depends on a hanging disk.

        The removal could not be committed, and its return would not help.
        """
        own = self.leader.config.address
        hanging, away = [a for a in self.keepers.running if a != own]
        self.keepers.start(self.keepers.new_address())
        group = self.leader.group
        await plan_keepers.wait_until(lambda: group.members.learners)
        await self.keepers.put(1, b"one", own)
        self.addCleanup(lambda: self.keepers.crashed[hanging].set())
        self.keepers.sync_seconds = lambda a: 60.0 if a == hanging else 0.0
        await self.keepers.put(2, b"two", own)
        await asyncio.sleep(2 * group.options.replace_seconds)
        await self.keepers.stop(away)
        await asyncio.sleep(4 * group.options.replace_seconds)
        self.keepers.start(away)
        await plan_keepers.wait_until(
            lambda: self.keepers.leader() is not None
        )
        self.assertEqual(3, await self.keepers.put(3, b"three", own))


class Record:
    """What keepers told each other, checked against what their disks hold.

    Attributes
    ----------
    votes : dict of (str, int) to set of str
        Candidates that a disk voted for in a term.
    leaders : dict of int to set of str
        Disks that led in a term.
    unsynced : list
        Votes that counted before they were on disk.
    """

    def __init__(self, source):
        self.source = source
        self.votes = collections.defaultdict(set)
        self.leaders = collections.defaultdict(set)
        self.unsynced = []
        self.late = 0

    def check_vote(self, group, term, candidate):
        self.votes[group.disk_id, term].add(candidate)
        state = hard_state(group)
        newer = state["term"] > term
        if not newer and (state["term"], state["vote"]) != (term, candidate):
            self.unsynced.append((group.disk_id, term, candidate, state))

    async def on_vote(self, original, group, message):
        """Answer as `original` does, but late or never at times."""
        reply = await original(group, message)
        if reply.granted and not message.pre:
            self.check_vote(group, message.term, message.disk)
        fate = self.source.random()
        if fate < 0.1:
            self.late += 1
            await asyncio.sleep(60)
        elif fate < 0.4:
            self.late += 1
            await asyncio.sleep(self.source.uniform(0, 0.3))
        return reply

    async def ballot(self, original, group, term, pre):
        """Let a candidate win its pre-votes at times without asking."""
        if pre and self.source.random() < 0.5:
            return True
        return await original(group, term, pre)

    def become_leader(self, original, group):
        self.check_vote(group, group.term, group.disk_id)
        self.leaders[group.term].add(group.disk_id)
        original(group)


class TestSafety(unittest.IsolatedAsyncioTestCase):
    """One vote for each disk and one leader in a term, whatever is slow."""

    SEEDS = range(12)
    ROUNDS = 16

    async def asyncSetUp(self):
        # asyncio's debug mode, which this test case enables, is slow.
        asyncio.get_running_loop().set_debug(False)
        self.records = {}
        ballot = election._ballot
        on_vote = election.on_vote
        become_leader = roles.become_leader

        async def answer(group, message):
            return await self.record(group).on_vote(on_vote, group, message)

        async def ask(group, term, pre):
            record = self.record(group)
            return await record.ballot(ballot, group, term, pre)

        def lead(group):
            self.record(group).become_leader(become_leader, group)

        for module, name, replacement in (
            (election, "on_vote", answer),
            (election, "_ballot", ask),
            (roles, "become_leader", lead),
        ):
            patch = mock.patch.object(module, name, replacement)
            patch.start()
            self.addCleanup(patch.stop)

    def record(self, group):
        """Return the record of the keepers that `group` belongs to."""
        return self.records[group.folder.parents[1]]

    async def test_no_second_vote_and_no_second_leader(self):
        """Late and lost answers, slow disks and crashes must elect no two.

        Crashes come also while a vote is being written.
        """
        records = await asyncio.gather(*map(self.play, self.SEEDS))
        for seed, record in zip(self.SEEDS, records, strict=True):
            with self.subTest(seed=seed):
                doubles = [v for v in record.votes.values() if len(v) > 1]
                self.assertEqual([], doubles)
                several = [d for d in record.leaders.values() if len(d) > 1]
                self.assertEqual([], several)
                self.assertEqual([], record.unsynced)
        self.assertGreater(sum(len(r.leaders) for r in records), 30)
        self.assertGreater(sum(r.late for r in records), 60)

    async def play(self, seed):
        source = random.Random(seed)
        record = Record(source)
        folder = tempfile.TemporaryDirectory(dir=keepers_case.MEMORY)
        self.addCleanup(folder.cleanup)
        group = plan_keepers.PlanKeepers(folder.name)
        self.addAsyncCleanup(group.stop_all)
        group.sync_seconds = lambda _: source.choice((0, 0, 0.05, 0.3))
        self.records[group.folder] = record
        group.start_all()
        await plan_keepers.wait_until(group.leader, 30)
        for _ in range(self.ROUNDS):
            await asyncio.sleep(source.uniform(0, 0.4))
            await self.disturb(group, source)
        await plan_keepers.wait_until(group.leader, 30)
        return record

    async def disturb(self, group, source):
        """Break a link, let several campaign at once, or crash one."""
        address = source.choice(group.seeds)
        keeper = group.running[address]
        kind = source.choice(("link", "rivals", "rivals", "crash"))
        if kind == "link":
            for peer in keeper.group.peers.values():
                if peer.dialler.link is not None:
                    peer.dialler.link.close()
        elif kind == "rivals":
            now = keeper.group.clocks.monotonic()
            for other in group.running.values():
                roles.step_down(other.group, "the test")
                other.group.heard_at = 0.0
                due = now + source.choice((0.0, 0.0, 0.1))
                other.group.election_deadline = due
        else:
            await group.crash(address)
            group.start(address)
