"""Formation of a group, and discovery of an existing one by an empty disk.

A group is formed once, when every keeper in the settings is up with an empty
disk: the first keeper by name records all their disks as the initial voters,
and the others adopt that configuration. Once any keeper knows a group, an
empty disk that is not a voter has no vote until the leader has added it as a
learner and promoted it. So a keeper that lost its disk can neither form a
second group nor vote twice under its old name.
"""

import asyncio

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.keepers import election
from amaranthring.keepers import membership
from amaranthring.keepers import messages

log = logbook.Logger(__name__)

GREET_TIMEOUT_SECONDS = 0.5
RETRY_INTERVAL_SECONDS = 0.1
# A missing voter weakens the quorum, so a removed keeper asks often.
REJOIN_INTERVAL_SECONDS = 1.0


async def join(group) -> None:
    """Form or find the group; return once this disk knows its members."""
    while not _has_joined(group):
        replies = await _greet_all(group)
        known = [reply.members for reply in replies.values() if reply.members]
        for members in known:
            # Only the leader can add this disk, and it may not be among the
            # keepers in the settings.
            _add_voters_as_peers(group, members)
        listed = [m for m in known if membership.is_voter(m, group.disk_id)]
        if listed and not group.members.voters:
            await _save_genesis(group, listed[0])
            return
        if (
            not known
            and not group.members.voters
            and _may_bootstrap(group, replies)
        ):
            await _bootstrap(group, replies)
            return
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)


async def rejoin(group) -> None:
    """Ask to be added again whenever no leader sends to this keeper.

    A leader removes silent members and then sends them nothing, so a keeper
    that returns has to announce itself.
    """
    while True:
        await asyncio.sleep(REJOIN_INTERVAL_SECONDS)
        if not group.options.auto_admit or not _has_joined(group):
            continue
        if group.leading or election.hears_leader(group):
            continue
        replies = await _greet_all(group)
        for reply in replies.values():
            if reply.members:
                _add_voters_as_peers(group, reply.members)


def _has_joined(group) -> bool:
    if not group.members.voters:
        return False
    if not group.options.auto_admit:
        return True
    # A keeper that was removed while it was down still finds its disk in its
    # own configuration, so only messages of a leader prove membership.
    return group.leading or bool(group.leader_disk)


def _may_bootstrap(group, replies) -> bool:
    if not group.options.may_bootstrap:
        # A group exists or existed; a new disk must not form a second one.
        return False
    everyone = {peer.name for peer in group.configured_peers}
    first = min(everyone | {group.keeper.name})
    # Keepers that are not in the settings may answer too; they join later.
    return everyone <= set(replies) and first == group.keeper.name


async def _bootstrap(group, replies) -> None:
    keeper = group.keeper
    disks = {name: reply.disk for name, reply in replies.items()}
    disks[keeper.name] = group.disk_id
    voters = [
        messages.Member(
            disks[peer.name], peer.name, peer.address, peer.data_centre
        )
        for peer in [keeper, *group.configured_peers]
    ]
    await _save_genesis(group, messages.Members(voters, []))
    logs.event(log, "keeper.genesis", group=group.name, voters=len(voters))


def _add_voters_as_peers(group, members: messages.Members) -> None:
    if not group.options.auto_admit:
        return
    for member in members.voters:
        if member.name != group.keeper.name:
            group.add_peer(member.name, member.address, member.data_centre)


async def _save_genesis(group, members: messages.Members) -> None:
    group.store.save_hard_state(genesis=members)
    await group.writer.flush()
    if not group.members.voters:
        group.store.member_history = [(0, members)]
        group.members_changed()


async def _greet_all(group) -> dict[str, messages.Greeted]:
    names = list(group.peers)
    answers = await asyncio.gather(*(_greet(group, name) for name in names))
    pairs = zip(names, answers, strict=True)
    return {name: reply for name, reply in pairs if reply is not None}


async def _greet(group, name: str) -> messages.Greeted | None:
    keeper = group.keeper
    message = messages.Greet(
        group.name, group.disk_id, keeper.address, keeper.data_centre
    )
    try:
        return await group.peers[name].dialler.call(
            message, GREET_TIMEOUT_SECONDS
        )
    except errors.AmaranthringError:
        return None


def on_greet(group, name: str, message: messages.Greet) -> messages.Greeted:
    """Reply to keeper `name` with this disk and the group it knows, if any."""
    if group.options.auto_admit and message.address:
        group.add_peer(name, message.address, message.data_centre)
    known = group.members if group.members.voters else None
    return messages.Greeted(group.disk_id, known)
