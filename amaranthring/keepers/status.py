"""Status of a keeper and, on the leader, of the other members."""

from amaranthring.keepers import election
from amaranthring.keepers import membership
from amaranthring.keepers import messages
from amaranthring.keepers import options
from amaranthring.keepers import replication


def role(group) -> options.Role:
    """Return the current role of this keeper."""
    if group.leading:
        return options.Role.LEADER
    if membership.is_voter(group.members, group.disk_id):
        voted_for_self = group.vote == group.disk_id and not group.leader_disk
        return (
            options.Role.CANDIDATE if voted_for_self else options.Role.FOLLOWER
        )
    if group.members.voters:
        return options.Role.LEARNER
    return options.Role.EMPTY


def describe(group) -> messages.Status:
    """Return the status of this keeper in `group`."""
    losses = membership.NOT_KNOWN
    if group.leading:
        losses = membership.safe_losses(group)
    members = group.members.voters + group.members.learners
    return messages.Status(
        group=group.name,
        keeper=group.keeper.name,
        disk=group.disk_id,
        role=str(role(group)),
        term=group.term,
        leader=group.leader(),
        first_index=group.log.base_index + 1,
        last_index=group.log.last_index,
        commit_index=group.commit_index,
        applied_index=group.applied_index,
        snapshot_index=group.store.snapshot_index,
        safe_losses=losses,
        fault=str(group.fault or ""),
        stamp=group.log.last_stamp,
        members=[_member(group, member) for member in members],
    )


def _member(group, member: messages.Member) -> messages.MemberStatus:
    lag = 0
    silent_seconds = 0.0
    if group.leading:
        match = replication.match_index_of(group, member)
        lag = group.log.last_index - match
        last_heard = max(election.acked_at(group, member), group.leader_since)
        silent_seconds = round(
            max(0.0, group.clocks.monotonic() - last_heard), 3
        )
    return messages.MemberStatus(
        name=member.name,
        disk=member.disk,
        address=member.address,
        data_centre=member.data_centre,
        voter=membership.is_voter(group.members, member.disk),
        live=group.leading and election.is_live(group, member),
        lag=lag,
        silent_seconds=silent_seconds,
    )
