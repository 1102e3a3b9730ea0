"""Membership of a group, and changes to it one disk at a time.

Source: D. Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapter 4
(single-server changes, which a leader may propose only after an entry of its
own term is committed).

A member is identified by its disk, not by its name. A keeper that lost its
disk returns under the same name with a new disk: the leader adds the new disk
as a learner, lets it catch up, removes the lost one, and then promotes the
new one to voter.
"""

import asyncio
import dataclasses

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.keepers import election
from amaranthring.keepers import messages

log = logbook.Logger(__name__)

REPAIR_INTERVAL_SECONDS = 0.2
MAX_CAUGHT_UP_LAG = 64
NO_QUORUM = -1
NOT_KNOWN = -2


def quorum(members: messages.Members) -> int:
    """Return the number of voters that form a quorum."""
    return len(members.voters) // 2 + 1


def find(members: messages.Members, disk: str) -> messages.Member | None:
    """Return the member with `disk`, or None."""
    for member in members.voters + members.learners:
        if member.disk == disk:
            return member
    return None


def is_voter(members: messages.Members, disk: str) -> bool:
    """Return whether `disk` is a voter."""
    return any(member.disk == disk for member in members.voters)


def names(members: messages.Members) -> set[str]:
    """Return the names of all members."""
    return {member.name for member in members.voters + members.learners}


def disk_of(members: messages.Members, name: str) -> str:
    """Return the disk of keeper `name`, preferably a voter's, or ""."""
    for member in members.voters + members.learners:
        if member.name == name:
            return member.disk
    return ""


def with_learner(members, member) -> messages.Members:
    """Return `members` with `member` as the only learner of its name."""
    others = [m for m in members.learners if m.name != member.name]
    return messages.Members(list(members.voters), [*others, member])


def without(members, disk: str) -> messages.Members:
    """Return `members` without `disk`."""
    return messages.Members(
        [m for m in members.voters if m.disk != disk],
        [m for m in members.learners if m.disk != disk],
    )


def promoted(members, disk: str) -> messages.Members:
    """Return `members` with learner `disk` promoted to voter."""
    learner = find(members, disk)
    rest = without(members, disk)
    return dataclasses.replace(rest, voters=[*rest.voters, learner])


def next_step(group) -> messages.Members | None:
    """Return the configuration after the next repair step, or None."""
    members = group.members
    for peer in group.peers.values():
        known = find(members, peer.disk)
        expected = peer.name in names(members) or (
            group.options.auto_admit and peer.dialler.link is not None
        )
        if known is None and peer.disk and expected:
            member = messages.Member(
                peer.disk, peer.name, peer.address, peer.data_centre
            )
            return with_learner(members, member)
    for learner in members.learners:
        if not _is_caught_up(group, learner):
            continue
        for voter in members.voters:
            if voter.name == learner.name:
                return _without_lost_voter(group, voter)
        if not group.options.auto_admit:
            return promoted(members, learner.disk)
        step = _promotion_step(group, learner)
        if step is not None:
            return step
    return _without_silent_learner(group) if group.options.auto_admit else None


def _promotion_step(group, learner) -> messages.Members | None:
    """Return the next step in promoting `learner`, or None."""
    members = group.members
    for voter in members.voters:
        if _is_silent(group, voter):
            return _without_lost_voter(group, voter)
    ready = sum(_is_caught_up(group, other) for other in members.learners)
    voter_count = len(members.voters)
    # An even number of voters tolerates no more losses than one fewer; the
    # spare learner can replace a lost voter at once.
    wanted = min(group.options.max_voters, (voter_count + ready - 1) | 1)
    return promoted(members, learner.disk) if voter_count < wanted else None


def _without_silent_learner(group) -> messages.Members | None:
    for learner in group.members.learners:
        peer = group.peers.get(learner.name)
        replaced = peer is None or peer.disk not in ("", learner.disk)
        if replaced or _is_silent(group, learner):
            if peer is not None:
                # Added again only after it has answered again.
                peer.disk = ""
            return without(group.members, learner.disk)
    return None


def _is_silent(group, member: messages.Member) -> bool:
    if member.disk == group.disk_id:
        return False
    heard = max(
        election.acked_at(group, member),
        group.leader_since,
        group.members_changed_at,
    )
    now = group.clocks.monotonic()
    return now - heard > group.options.replace_seconds


def _without_lost_voter(group, voter) -> messages.Members | None:
    # The lost disk is removed before the new one votes: changing both at
    # once could create two majorities without a common disk.
    remaining = without(group.members, voter.disk)
    live = sum(election.is_live(group, member) for member in remaining.voters)
    return remaining if live >= quorum(remaining) else None


def _is_caught_up(group, member) -> bool:
    peer = group.peers.get(member.name)
    if peer is None or peer.disk != member.disk:
        return False
    lag = group.log.last_index - peer.match_index
    return election.is_live(group, member) and lag <= MAX_CAUGHT_UP_LAG


def safe_losses(group) -> int:
    """Return how many more voters the quorum tolerates losing.

    Only meaningful on the leader. Learners do not count: they cannot vote
    until they have caught up.
    """
    live = sum(
        election.is_live(group, member) for member in group.members.voters
    )
    return max(NO_QUORUM, live - quorum(group.members))


def may_change(group) -> bool:
    """Return whether a membership change may be proposed.

    The previous change and an entry of the leader's own term must be
    committed: otherwise two leaders, each with an uncommitted change, could
    have majorities without a common disk.
    """
    if not group.has_lease():
        return False
    last_change = group.store.member_history[-1][0]
    return group.commit_index >= max(last_change, group.term_start_index)


async def repair(group) -> None:
    """While leading, replace lost disks by new voters, step by step."""
    while True:
        await asyncio.sleep(REPAIR_INTERVAL_SECONDS)
        if not may_change(group):
            continue
        members = next_step(group)
        if members is None:
            continue
        logs.event(
            log,
            "keeper.members",
            group=group.name,
            voters=",".join(m.name for m in members.voters),
            learners=",".join(m.name for m in members.learners),
        )
        try:
            await group.propose(members, group.options.election_seconds * 4)
        except errors.AmaranthringError as error:
            log.warning("keeper.members-failed fault={}", error)


async def change(group, message: messages.Change) -> messages.Members:
    """Add a keeper as a learner to be promoted later, or remove one.

    Raises
    ------
    errors.NotLeaderError, errors.NoQuorumError, errors.CommitUnknownError
        As ``propose``.
    errors.RefusedError
        If another change is in progress, or a new keeper does not answer.
    errors.BadRequestError
        If the change does not apply to the current members.
    """
    await group.read_barrier(message.timeout)
    if not may_change(group):
        raise errors.RefusedError(
            "another membership change is in progress", retry_after=1.0
        )
    known = message.name in names(group.members)
    if known == message.add:
        raise errors.BadRequestError(
            "membership change",
            given=message.name,
            expected="a new keeper" if message.add else "a member",
        )
    if message.add:
        return await _add(group, message)
    return await _remove(group, message)


async def _add(group, message) -> messages.Members:
    if not message.address:
        raise errors.BadRequestError(
            "membership change", given="no address", expected="host:port"
        )
    peer = group.add_peer(message.name, message.address, message.data_centre)
    loop = asyncio.get_running_loop()
    deadline = loop.time() + message.timeout
    while not peer.disk:
        if loop.time() > deadline:
            group.drop_unknown_peers()
            raise errors.RefusedError(
                "new keeper does not answer",
                given=message.address,
                expected="a running keeper with an empty disk",
            )
        await asyncio.sleep(REPAIR_INTERVAL_SECONDS / 4)
    member = messages.Member(
        peer.disk, peer.name, peer.address, peer.data_centre
    )
    members = with_learner(group.members, member)
    await group.propose(members, message.timeout)
    return members


async def _remove(group, message) -> messages.Members:
    members = group.members
    voters = [m for m in members.voters if m.name == message.name]
    if voters:
        remaining = without(members, voters[0].disk)
        live = sum(
            election.is_live(group, member) for member in remaining.voters
        )
        if live < quorum(remaining):
            raise errors.BadRequestError(
                "the rest would have no quorum",
                given=f"{live} live of {len(remaining.voters)}",
                expected=f"{quorum(remaining)} live voters",
            )
        members = remaining
    else:
        learners = [m for m in members.learners if m.name == message.name]
        members = without(members, learners[0].disk)
    await group.propose(members, message.timeout)
    return members
