"""Leader election with pre-vote, and the leader's quorum lease.

Sources: D. Ongaro and J. Ousterhout, "In Search of an Understandable
Consensus Algorithm", USENIX ATC 2014; D. Ongaro, "Consensus: Bridging Theory
and Practice", 2014, sections 4.2.3 (voters that hear a leader refuse), 6.4
(leases and reads) and 9.6 (pre-vote); L. Lamport, "The Part-Time
Parliament", ACM TOCS 16(2), 1998.
"""

import asyncio
import dataclasses
import enum

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.keepers import membership
from amaranthring.keepers import messages
from amaranthring.keepers import roles

log = logbook.Logger(__name__)

LEASE_SHARE = 0.9
# Of the election time, around which a candidate that found no majority asks
# again.
RETRY_SHARE = 0.3
# Of the election time, for which a candidate is favoured before others: a
# ballot takes 0.01 to 0.1 s where keepers are a millisecond apart. Shorter
# than most waits before asking again, so that one that cannot win does not
# keep those from voting who decide for another.
FAVOUR_SHARE = 0.15
# Keepers that start together campaign at random moments in this share of the
# election time, so that mostly one of them asks first.
FIRST_SHARE = 0.5


class VoteOutcome(enum.StrEnum):
    """What became of a request for a vote."""

    GRANTED = "granted"
    REFUSED = "refused"
    LATE = "late"
    NO_LINK = "no-link"
    OTHER_DISK = "other-disk"
    FAILED = "failed"


@dataclasses.dataclass
class PreVoteGrant:
    """The candidate that a keeper gave its pre-vote to, itself perhaps.

    Attributes
    ----------
    rank : tuple
        Of two candidates the lower one is favoured: who knows more, and
        between equals the lower disk.
    until : float
        Monotonic time in seconds.
    """

    rank: tuple[int, int, str]
    until: float


async def run(group) -> None:
    """Campaign when no leader is heard; step down when no quorum is."""
    options = group.options
    shortest = options.heartbeat_seconds / 2
    while True:
        now = group.clocks.monotonic()
        if group.leading:
            # Without this a leader behind a cut would go on taking
            # proposals that nobody can ever commit.
            heard = max(quorum_acked_at(group), group.leader_since)
            due = heard + options.election_seconds
            if now > due:
                roles.step_down(group, "lost its quorum")
        else:
            due = group.campaign_at
            if now >= due and may_campaign(group):
                await _campaign(group)
        await asyncio.sleep(max(shortest, due - now))


def may_campaign(group) -> bool:
    """Return whether this keeper may ask for votes."""
    if group.fault is not None:
        return False
    return membership.is_voter(group.members, group.disk_id)


def reset_election_timer(group) -> None:
    """Put the next campaign off by a whole random election time."""
    wait = group.options.election_seconds * group.random.uniform(1, 2)
    group.campaign_at = group.clocks.monotonic() + wait


def schedule_first_campaign(group) -> None:
    """Set the first campaign after a start.

    Once the promise of the process before this one has run out, nobody is
    left to wait for: a leader that lives is heard by the others, who then
    refuse. Where all processes had lost power, keepers on a quarter of a
    core took 0.85 s to load and then sat out a whole election time, 0.45 to
    0.9 s, in which every caller was refused.
    """
    options = group.options
    if options.process_started_at is None:
        reset_election_timer(group)
        return
    spread = options.election_seconds * FIRST_SHARE
    due = max(
        group.clocks.monotonic(), group.heard_at + options.election_seconds
    )
    group.campaign_at = due + spread * group.random.random()


def quorum_acked_at(group) -> float:
    """Return when the last message left that a quorum has answered."""
    times = [acked_at(group, member) for member in group.members.voters]
    times.sort(reverse=True)
    needed = membership.quorum(group.members)
    return times[needed - 1] if times else 0.0


def lease_until(group) -> float:
    """Return the monotonic time up to which no other leader can exist.

    Every follower that answered refuses its vote for an election time after
    it heard the leader, which is not before the message left; a keeper that
    restarts refuses as long from its start. The share below one covers
    clocks that run at different rates; wall clocks play no part.
    """
    share = group.options.election_seconds * LEASE_SHARE
    return quorum_acked_at(group) + share


def acked_at(group, member: messages.Member) -> float:
    """Return when the last message left that `member` has answered."""
    if member.disk == group.disk_id:
        return group.clocks.monotonic()
    peer = group.peers.get(member.name)
    return peer.acked_at if peer and peer.disk == member.disk else 0.0


def ack_ages(group) -> dict[str, float]:
    """Return for each voter how old the last message is that it answered.

    In seconds by name; -1 if it has answered none under this leader.
    """
    now = group.clocks.monotonic()
    heard = {m.name: acked_at(group, m) for m in group.members.voters}
    return {
        name: round(max(0.0, now - at), 3) if at else -1
        for name, at in heard.items()
    }


def is_live(group, member: messages.Member) -> bool:
    """Return whether `member` answered within two election times."""
    since = group.clocks.monotonic() - acked_at(group, member)
    return since < 2 * group.options.election_seconds


async def _campaign(group) -> None:
    short = group.options.election_seconds * RETRY_SHARE
    wait = short * group.random.uniform(0.5, 1.5)
    group.campaign_at = group.clocks.monotonic() + wait
    term = group.term + 1
    rank = _rank(group.log.last_term, group.log.last_index, group.disk_id)
    if not _favour(group, rank):
        return
    # A keeper that was cut off finds no majority here and does not raise
    # its term, so its return deposes nobody.
    if not await _ballot(group, term, pre=True):
        return
    if group.leading or hears_leader(group):
        return
    if group.term + 1 != term:
        # Another was voted for meanwhile: a campaign in the term after that,
        # for which nobody asked, would depose it 0.1 s after it was elected.
        return
    if group.favoured.rank != rank:
        # Yielded: where just as many voters are left as decide, a vote for
        # oneself is one too few for the other, and both lose.
        return
    roles.set_term(group, term, group.disk_id)
    reset_election_timer(group)
    try:
        await group.writer.flush()
    except errors.StorageError:
        return
    won = await _ballot(group, term, pre=False)
    if won and group.term == term and not group.leading:
        roles.become_leader(group)


def _rank(last_term: int, last_index: int, disk: str) -> tuple:
    return (-last_term, -last_index, disk)


def _favour(group, rank: tuple) -> bool:
    """Favour the candidate with `rank`, unless a better one is favoured.

    Candidates that meet settle it before anybody votes. Without it each of
    two got the other's pre-vote and refused its vote, again and again.
    """
    now = group.clocks.monotonic()
    held = group.favoured
    if held is not None and now < held.until and held.rank < rank:
        return False
    until = now + FAVOUR_SHARE * group.options.election_seconds
    group.favoured = PreVoteGrant(rank, until)
    return True


async def _ballot(group, term: int, pre: bool) -> bool:
    began_at = group.clocks.monotonic()
    needed = membership.quorum(group.members)
    voters = [m for m in group.members.voters if m.disk != group.disk_id]
    answers: dict[str, VoteOutcome] = {}
    waiting = {
        asyncio.ensure_future(_note(answers, group, voter, term, pre))
        for voter in voters
    }
    votes = 1
    try:
        while waiting and votes < needed:
            _, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            votes = 1 + list(answers.values()).count(VoteOutcome.GRANTED)
        return votes >= needed
    finally:
        for task in waiting:
            task.cancel()
        # A group without a leader says with this line whether nobody asks,
        # nobody answers, or who answers refuses.
        logs.event(
            log,
            "keeper.ballot",
            group=group.name,
            term=term,
            pre=pre,
            votes=votes,
            needed=needed,
            seconds=round(group.clocks.monotonic() - began_at, 3),
            answers=answers,
        )


async def _note(answers, group, voter, term: int, pre: bool) -> None:
    answers[voter.name] = await _ask(group, voter, term, pre)


async def _ask(group, voter, term: int, pre: bool) -> VoteOutcome:
    peer = group.peers.get(voter.name)
    if peer is None or peer.dialler.link is None:
        return VoteOutcome.NO_LINK
    message = messages.Vote(
        group.name,
        term,
        group.disk_id,
        voter.disk,
        group.log.last_index,
        group.log.last_term,
        pre,
    )
    try:
        reply = await peer.dialler.call(
            message, group.options.election_seconds * 0.5
        )
    except errors.LinkTimeoutError:
        return VoteOutcome.LATE
    except errors.LinkError:
        return VoteOutcome.NO_LINK
    except errors.AmaranthringError:
        return VoteOutcome.FAILED
    if reply.term > group.term:
        roles.set_term(group, reply.term)
    if reply.disk != voter.disk:
        return VoteOutcome.OTHER_DISK
    return VoteOutcome.GRANTED if reply.granted else VoteOutcome.REFUSED


def hears_leader(group) -> bool:
    """Return whether a leader was heard within the election time."""
    since = group.clocks.monotonic() - group.heard_at
    return since < group.options.election_seconds


def _refuses(group, message: messages.Vote) -> bool:
    if message.to_disk != group.disk_id:
        # The candidate counts on a disk that is no longer here: this one
        # does not know what that one voted.
        return True
    if group.leading and group.clocks.monotonic() < lease_until(group):
        return True
    if not group.leading and hears_leader(group):
        return True
    ours = (group.log.last_term, group.log.last_index)
    return (message.last_term, message.last_index) < ours


async def on_vote(group, message: messages.Vote) -> messages.Voted:
    """Answer a candidate; a granted vote is synced before the answer."""
    if group.fault is not None:
        raise group.fault
    no = messages.Voted(group.term, False, group.disk_id)
    if _refuses(group, message):
        return no
    if message.pre:
        rank = _rank(message.last_term, message.last_index, message.disk)
        granted = message.term > group.term and _favour(group, rank)
        return messages.Voted(group.term, granted, group.disk_id)
    if message.term > group.term:
        roles.set_term(group, message.term)
    taken = group.vote not in ("", message.disk)
    if message.term < group.term or taken:
        return messages.Voted(group.term, False, group.disk_id)
    roles.set_term(group, message.term, message.disk)
    reset_election_timer(group)
    logs.event(
        log,
        "keeper.voted",
        group=group.name,
        term=message.term,
        candidate=message.disk,
    )
    await group.writer.flush()
    return messages.Voted(message.term, True, group.disk_id)
