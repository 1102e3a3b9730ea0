"""Leader election with pre-vote, and the leader's quorum lease.

Sources: D. Ongaro and J. Ousterhout, "In Search of an Understandable
Consensus Algorithm", USENIX ATC 2014; D. Ongaro, "Consensus: Bridging Theory
and Practice", 2014, sections 4.2.3 (voters with a live leader refuse), 6.4
(leases and reads) and 9.6 (pre-vote); L. Lamport, "The Part-Time
Parliament", ACM TOCS 16(2), 1998.
"""

import asyncio
import dataclasses
import enum
import math

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.keepers import membership
from amaranthring.keepers import messages
from amaranthring.keepers import roles

log = logbook.Logger(__name__)

# Shares of the election timeout.
LEASE_SHARE = 0.9
# Average wait of a candidate without a majority before it retries.
RETRY_SHARE = 0.3
# How long a pre-vote is reserved for another candidate: longer than its
# pre-votes take where keepers are a millisecond apart (0.01 to 0.1 s), but
# shorter than most retry waits, so that a candidate that cannot win does not
# block the others.
PRE_VOTE_GRANT_SHARE = 0.15
# How long a pre-vote may take; it waits for no disk. With a longer round trip
# an elected leader would lose its quorum at once.
PRE_VOTE_TIMEOUT_SHARE = 1.0
# Seconds. A vote is answered once the voter's disk has it; after this time it
# is requested again.
VOTE_TIMEOUT_SECONDS = 30.0
# Spread of the first campaigns of keepers that start together.
FIRST_CAMPAIGN_SHARE = 0.5


class VoteOutcome(enum.StrEnum):
    """Outcome of a vote request."""

    GRANTED = "granted"
    REFUSED = "refused"
    LATE = "late"
    NO_LINK = "no-link"
    OTHER_DISK = "other-disk"
    FAILED = "failed"


# Outcomes after which a vote is requested again in the same term.
UNANSWERED = (VoteOutcome.LATE, VoteOutcome.NO_LINK)


@dataclasses.dataclass
class PreVoteGrant:
    """A pre-vote granted to a candidate, possibly to this keeper itself.

    Attributes
    ----------
    rank : tuple
        The candidate with the lower rank is preferred: the one with the
        more complete log, then the one with the lower disk identity.
    until : float
        Monotonic time in seconds until which the grant holds.
    """

    rank: tuple[int, int, str]
    until: float


async def run(group) -> None:
    """Campaign when no leader is live; step down when the quorum is lost."""
    try:
        await _watch(group)
    finally:
        end_ballot(group)


async def _watch(group) -> None:
    options = group.options
    min_sleep = options.heartbeat_seconds / 2
    while True:
        if group.ballot is not None and group.ballot.done():
            _take_ballot(group)
        now = group.clocks.monotonic()
        if group.leading:
            # A partitioned leader must not keep accepting proposals that
            # it cannot commit.
            heard = max(quorum_acked_at(group), group.leader_since)
            due = heard + options.election_seconds
            if now > due:
                roles.step_down(group, "lost its quorum")
        else:
            due = group.election_deadline
            if now >= due and may_campaign(group):
                await _campaign(group)
        await asyncio.sleep(max(min_sleep, due - now))


def may_campaign(group) -> bool:
    """Return whether this keeper may request votes."""
    if group.fault is not None or is_writing(group):
        return False
    return membership.is_voter(group.members, group.disk_id)


def is_writing(group) -> bool:
    """Return whether a term or vote of this keeper is not on disk yet.

    A vote counts as being written until the election timer has been reset.
    Otherwise a voter whose timer ran out meanwhile would campaign at the
    moment in which its vote elects a leader.
    """
    return group.votes_being_written > 0 or not group.store.hard_state_saved


def reset_election_timer(group) -> None:
    """Postpone the next campaign by one to two election timeouts."""
    wait = group.options.election_seconds * group.random.uniform(1, 2)
    group.election_deadline = group.clocks.monotonic() + wait


def schedule_first_campaign(group) -> None:
    """Schedule the first campaign after a start.

    It is due once the vote promise of the previous process has expired. No
    full election timeout is added: if a leader is live, the other keepers
    refuse, and after a power loss of all keepers the wait would only
    prolong the outage.
    """
    options = group.options
    if options.process_started_at is None:
        reset_election_timer(group)
        return
    spread = options.election_seconds * FIRST_CAMPAIGN_SHARE
    due = max(
        group.clocks.monotonic(), group.heard_at + options.election_seconds
    )
    group.election_deadline = due + spread * group.random.random()


def quorum_acked_at(group) -> float:
    """Return the send time of the last message that a quorum answered."""
    times = [acked_at(group, member) for member in group.members.voters]
    times.sort(reverse=True)
    needed = membership.quorum(group.members)
    return times[needed - 1] if times else 0.0


def lease_until(group) -> float:
    """Return the monotonic time until which no other leader can exist.

    A follower refuses its vote for an election timeout after it received a
    message of the leader, so at least that long after the message was sent;
    a restarted keeper does so after its start. `LEASE_SHARE` allows for
    clocks that run at different rates.
    """
    share = group.options.election_seconds * LEASE_SHARE
    return quorum_acked_at(group) + share


def acked_at(group, member: messages.Member) -> float:
    """Return the send time of the last message that `member` answered."""
    if member.disk == group.disk_id:
        return group.clocks.monotonic()
    peer = group.peers.get(member.name)
    return peer.acked_at if peer and peer.disk == member.disk else 0.0


def ack_ages(group) -> dict[str, float]:
    """Return the age in seconds of each voter's last answered message.

    Keyed by name; -1 for a voter that has answered none under this leader.
    """
    now = group.clocks.monotonic()
    heard = {m.name: acked_at(group, m) for m in group.members.voters}
    return {
        name: round(max(0.0, now - at), 3) if at else -1
        for name, at in heard.items()
    }


def is_live(group, member: messages.Member) -> bool:
    """Return whether `member` answers and its disk takes what it is sent.

    A member with a disk that hangs still answers heartbeats.
    """
    since = group.clocks.monotonic() - acked_at(group, member)
    answers = since < 2 * group.options.election_seconds
    return answers and not _disk_hangs(group, member)


def _disk_hangs(group, member: messages.Member) -> bool:
    if member.disk == group.disk_id:
        return group.writer.batch_age() > group.options.replace_seconds
    peer = group.peers[member.name]
    since = group.clocks.monotonic() - peer.synced_at
    return since > group.options.replace_seconds


async def _campaign(group) -> None:
    retry = group.options.election_seconds * RETRY_SHARE
    wait = retry * group.random.uniform(0.5, 1.5)
    _postpone_campaign(group, wait)
    term = group.term + 1
    rank = _rank(group.log.last_term, group.log.last_index, group.disk_id)
    # A candidate whose process stands still must not grant its own pre-vote
    # to another before it knows the outcome: both would yield.
    grant = _grant_pre_vote(group, rank, math.inf)
    if grant is None:
        return
    # A partitioned keeper gets no majority here and does not raise its term,
    # so it does not depose the leader when it returns.
    try:
        won = await _ballot(group, term, pre=True)
    finally:
        grant.until = group.clocks.monotonic()
    if not won:
        # Between its ballots it leaves its pre-vote to the others.
        _postpone_campaign(group, wait)
        return
    if group.leading or hears_leader(group):
        return
    if group.term + 1 != term:
        # The pre-vote was for an older term: this keeper has voted for another
        # candidate meanwhile, and would depose it by campaigning further.
        return
    if group.pre_vote_grant.rank != rank:
        # A better candidate got this keeper's pre-vote meanwhile. If only a
        # quorum of voters is left, competing would make both lose.
        return
    roles.set_term(group, term, group.disk_id)
    reset_election_timer(group)
    group.ballot = asyncio.ensure_future(_request_votes(group, term))


def _postpone_campaign(group, wait: float) -> None:
    due = group.clocks.monotonic() + wait
    group.election_deadline = max(group.election_deadline, due)


def _rank(last_term: int, last_index: int, disk: str) -> tuple:
    return (-last_term, -last_index, disk)


def _grant_pre_vote(group, rank: tuple, until: float) -> PreVoteGrant | None:
    """Grant the pre-vote to `rank`, unless a better candidate holds it.

    Prevents split votes: otherwise each of two simultaneous candidates gets
    the other's pre-vote, votes for itself and refuses the other.
    """
    now = group.clocks.monotonic()
    grant = group.pre_vote_grant
    if grant is not None and now < grant.until and grant.rank < rank:
        return None
    group.pre_vote_grant = PreVoteGrant(rank, until)
    return group.pre_vote_grant


async def _request_votes(group, term: int) -> None:
    """Become the leader of `term` once a quorum has synced its votes.

    There is no time limit: a vote takes as long as the voter's disk. Until
    the ballot is won or ended by :func:`end_ballot`, this keeper may campaign
    for the next term; only a majority of pre-votes ends this one.
    """
    won = await _ballot(group, term, pre=False)
    if won and _is_open(group, term):
        roles.become_leader(group)


def _is_open(group, term: int) -> bool:
    if group.fault is not None or group.leading or group.leader_disk:
        return False
    return group.term == term


def end_ballot(group) -> None:
    """Stop requesting votes: term or voters changed, or a leader was heard."""
    if group.ballot is not None:
        group.ballot.cancel()


def _take_ballot(group) -> None:
    """Forget the ballot that has ended; raise what it raised."""
    ballot, group.ballot = group.ballot, None
    if not ballot.cancelled():
        ballot.result()


async def _ballot(group, term: int, pre: bool) -> bool:
    """Return whether a quorum, which includes this keeper, grants its vote.

    The voters are those at the start.
    """
    began_at = group.clocks.monotonic()
    needed = membership.quorum(group.members)
    answers: dict[str, VoteOutcome] = {}
    if pre:
        answers[group.keeper.name] = VoteOutcome.GRANTED
    waiting = {
        asyncio.ensure_future(
            _record_outcome(answers, group, voter, term, pre)
        )
        for voter in group.members.voters
        if voter.disk != group.disk_id or not pre
    }
    try:
        while waiting and not _has_quorum(group, answers, needed):
            _, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
        return _has_quorum(group, answers, needed)
    finally:
        for task in waiting:
            task.cancel()
        # Shows why a group has no leader: no vote requests, no replies, or
        # refusals.
        logs.event(
            log,
            "keeper.ballot",
            group=group.name,
            term=term,
            pre=pre,
            votes=_granted(answers),
            needed=needed,
            seconds=round(group.clocks.monotonic() - began_at, 3),
            answers=answers,
            end=_ballot_end(group, term, answers, needed, waiting),
        )


def _granted(answers: dict[str, VoteOutcome]) -> int:
    return list(answers.values()).count(VoteOutcome.GRANTED)


def _has_quorum(group, answers: dict[str, VoteOutcome], needed: int) -> bool:
    own = answers.get(group.keeper.name)
    return _granted(answers) >= needed and own == VoteOutcome.GRANTED


def _ballot_end(group, term: int, answers, needed: int, waiting) -> str:
    if _has_quorum(group, answers, needed):
        return "won"
    if not waiting:
        return "lost"
    if group.fault is not None:
        return "fault"
    if group.term > term:
        return "term"
    return "leader" if group.leader_disk else "stopped"


async def _record_outcome(answers, group, voter, term: int, pre: bool) -> None:
    if voter.disk == group.disk_id:
        answers[voter.name] = await _give_own_vote(group, term)
        return
    outcome = await _request_vote(group, voter, term, pre)
    answers[voter.name] = outcome
    while not pre and outcome in UNANSWERED:
        # Granting a vote again to the same candidate changes nothing.
        await asyncio.sleep(group.options.heartbeat_seconds)
        outcome = await _request_vote(group, voter, term, pre)
        answers[voter.name] = outcome


async def _give_own_vote(group, term: int) -> VoteOutcome:
    try:
        await _write_vote(group, term, group.disk_id)
    except errors.StorageError:
        return VoteOutcome.FAILED
    return VoteOutcome.GRANTED


async def _request_vote(group, voter, term: int, pre: bool) -> VoteOutcome:
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
    timeout = VOTE_TIMEOUT_SECONDS
    if pre:
        timeout = group.options.election_seconds * PRE_VOTE_TIMEOUT_SHARE
    try:
        reply = await peer.dialler.call(message, timeout)
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
    """Return whether a leader was heard from within the election timeout."""
    since = group.clocks.monotonic() - group.heard_at
    return since < group.options.election_seconds


def _must_refuse(group, message: messages.Vote) -> bool:
    if message.to_disk != group.disk_id:
        # The request is for a disk that was replaced. Which votes that disk
        # gave is not known here.
        return True
    if group.leading and group.clocks.monotonic() < lease_until(group):
        return True
    if not group.leading and hears_leader(group):
        return True
    own = (group.log.last_term, group.log.last_index)
    return (message.last_term, message.last_index) < own


async def _write_vote(group, term: int, candidate: str) -> None:
    """Wait until the vote for disk `candidate` is synced.

    The candidate gets a whole election timeout from then on.

    Raises
    ------
    errors.StorageError
        If the disk fails.
    """
    began_at = group.clocks.monotonic()
    group.votes_being_written += 1
    try:
        await group.writer.flush()
    finally:
        group.votes_being_written -= 1
        reset_election_timer(group)
    logs.event(
        log,
        "keeper.voted",
        group=group.name,
        term=term,
        candidate=candidate,
        seconds=round(group.clocks.monotonic() - began_at, 3),
    )


async def on_vote(group, message: messages.Vote) -> messages.Voted:
    """Answer a vote request; a granted vote is synced before the reply."""
    if group.fault is not None:
        raise group.fault
    refusal = messages.Voted(group.term, False, group.disk_id)
    if _must_refuse(group, message):
        return refusal
    if message.pre:
        granted = _answer_pre_vote(group, message)
        return messages.Voted(group.term, granted, group.disk_id)
    if message.term > group.term:
        roles.set_term(group, message.term)
    voted_for_other = group.vote not in ("", message.disk)
    if message.term < group.term or voted_for_other:
        return messages.Voted(group.term, False, group.disk_id)
    roles.set_term(group, message.term, message.disk)
    reset_election_timer(group)
    await _write_vote(group, message.term, message.disk)
    return messages.Voted(message.term, True, group.disk_id)


def _answer_pre_vote(group, message: messages.Vote) -> bool:
    if message.term <= group.term:
        return False
    if is_writing(group):
        # The vote in progress may still elect a leader; a next term would
        # have to wait for the same disk. So terms follow the disks' speed.
        logs.event(
            log,
            "keeper.still-writing",
            group=group.name,
            term=group.term,
            asked=message.term,
            candidate=message.disk,
            seconds=round(group.writer.batch_age(), 3),
        )
        return False
    now = group.clocks.monotonic()
    until = now + PRE_VOTE_GRANT_SHARE * group.options.election_seconds
    rank = _rank(message.last_term, message.last_index, message.disk)
    return _grant_pre_vote(group, rank, until) is not None
