"""Routes incoming messages to their group, and refuses strangers."""

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import wire
from amaranthring.keepers import election
from amaranthring.keepers import genesis
from amaranthring.keepers import membership
from amaranthring.keepers import messages
from amaranthring.keepers import replication

KEEPER_ROLE = "keeper"
PROPOSE_SECONDS_MOST = 60.0


def register(handlers: links.Handlers, groups: dict) -> None:
    """Add the handlers of all keeper messages.

    Parameters
    ----------
    handlers : links.Handlers
        Shared by the process.
    groups : dict of str to consensus.Group
        Groups of this process by name.
    """

    def add(kind, answer, peers_only):
        def handle(link, message):
            group = _group(groups, message)
            if peers_only:
                _check_peer(group, link)
            return answer(group, message)

        handlers.add(kind, handle)

    def greet(link, message):
        group = _group(groups, message)
        if not group.options.auto_admit or link.peer.role != KEEPER_ROLE:
            _check_peer(group, link)
        return genesis.on_greet(group, link.peer.name, message)

    handlers.add(messages.Greet, greet)
    add(messages.Vote, election.on_vote, True)
    add(messages.Append, replication.on_append, True)
    add(messages.Chunk, replication.on_chunk, True)
    add(messages.Propose, _on_propose, False)
    add(messages.Change, membership.change, False)
    add(messages.Ping, lambda _, message: message, False)
    add(messages.StatusQuery, lambda group, _: group.status(), False)


def _group(groups, message):
    group = groups.get(message.group)
    if group is None:
        raise errors.NotFoundError(
            "unknown group", given=message.group, expected=sorted(groups)
        )
    return group


def _check_peer(group, link) -> None:
    peer = link.peer
    if peer.role != KEEPER_ROLE or peer.name not in group.peers:
        # A router with the fleet's key, or a keeper that was removed, must
        # not be able to win votes or write to the log.
        raise errors.ForbiddenError(
            "message of an unknown keeper",
            given=f"{peer.role} {peer.name}",
            expected=f"one of {sorted(group.peers)}",
        )


async def _on_propose(group, message: messages.Propose):
    command = wire.decode_message(message.tag, message.body)
    timeout = min(max(message.timeout, 0.0), PROPOSE_SECONDS_MOST)
    if isinstance(command, messages.Members):
        raise errors.ForbiddenError(
            "command",
            given=message.tag,
            expected="a change of members by its own message",
        )
    return await group.propose(command, timeout)
