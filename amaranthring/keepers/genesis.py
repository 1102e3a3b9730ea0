"""How a group begins, and how an empty disk finds the group that exists.

A group begins once, when every keeper of the settings is up with an empty
disk: the first by name then writes down all their disks as voters, and the
others take that over. As soon as one keeper knows a group, an empty disk
that isn't among its voters stays without a vote until the leader brings it
in as a learner. So a keeper that lost its disk cannot begin a second group
beside the first, nor vote a second time under its old name.
"""

import asyncio

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.keepers import election
from amaranthring.keepers import membership
from amaranthring.keepers import messages

log = logbook.Logger(__name__)

GREET_SECONDS = 0.5
RETRY_SECONDS = 0.1
# A keeper that was taken out asks this often. Two more losses of three voters
# end the quorum, so a voter that is missing is wanted back within seconds.
REJOIN_SECONDS = 1.0


async def join(group) -> None:
    """Begin the group or find it; return once this disk knows its members."""
    while not _settled(group):
        replies = await _greet_all(group)
        known = [reply.members for reply in replies.values() if reply.members]
        for members in known:
            # The leader, which alone can take this disk in, may be none of
            # the keepers that the settings name.
            _meet(group, members)
        listed = [m for m in known if membership.is_voter(m, group.disk_id)]
        if listed and not group.members.voters:
            await _save(group, listed[0])
            return
        if (
            not known
            and not group.members.voters
            and _may_bootstrap(group, replies)
        ):
            await _begin(group, replies)
            return
        await asyncio.sleep(RETRY_SECONDS)


async def rejoin(group) -> None:
    """Ask to be taken in again whenever no leader sends to this keeper.

    A leader takes out who is silent for a while. A keeper that comes back
    after that is sent nothing, and has to say that it is there.
    """
    while True:
        await asyncio.sleep(REJOIN_SECONDS)
        if not group.options.auto_admit or not _settled(group):
            continue
        if group.leading or election.hears_leader(group):
            continue
        replies = await _greet_all(group)
        for reply in replies.values():
            if reply.members:
                _meet(group, reply.members)


def _settled(group) -> bool:
    if not group.members.voters:
        return False
    if not group.options.auto_admit:
        return True
    # A keeper that was taken out while it was down finds its own disk in
    # the old list; it asks to be taken in again until a leader sends to it.
    return group.leading or bool(group.leader_disk)


def _may_bootstrap(group, replies) -> bool:
    if not group.options.may_bootstrap:
        # Others hold the group, or lost it: a disk that came later must not
        # begin an empty one beside them.
        return False
    everyone = {peer.name for peer in group.configured}
    first = min(everyone | {group.keeper.name})
    # Others that found this one already answer too; they join later.
    return everyone <= set(replies) and first == group.keeper.name


async def _begin(group, replies) -> None:
    keeper = group.keeper
    disks = {name: reply.disk for name, reply in replies.items()}
    disks[keeper.name] = group.disk_id
    voters = [
        messages.Member(
            disks[peer.name], peer.name, peer.address, peer.data_centre
        )
        for peer in [keeper, *group.configured]
    ]
    await _save(group, messages.Members(voters, []))
    logs.event(log, "keeper.genesis", group=group.name, voters=len(voters))


def _meet(group, members: messages.Members) -> None:
    if not group.options.auto_admit:
        return
    for member in members.voters:
        if member.name != group.keeper.name:
            group.add_peer(member.name, member.address, member.data_centre)


async def _save(group, members: messages.Members) -> None:
    group.store.save_hard(genesis=members)
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
        return await group.peers[name].dialler.call(message, GREET_SECONDS)
    except errors.AmaranthringError:
        return None


def on_greet(group, name: str, message: messages.Greet) -> messages.Greeted:
    """Answer keeper `name` with this disk and the group that it knows."""
    if group.options.auto_admit and message.address:
        group.add_peer(name, message.address, message.data_centre)
    known = group.members if group.members.voters else None
    return messages.Greeted(group.disk_id, known)
