"""Dispatches incoming messages to their group, after checking the peer."""

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import wire
from amaranthring.keepers import election
from amaranthring.keepers import genesis
from amaranthring.keepers import membership
from amaranthring.keepers import messages
from amaranthring.keepers import replication

KEEPER_ROLE = "keeper"
MAX_PROPOSE_SECONDS = 60.0


def register(handlers: links.Handlers, groups: dict) -> None:
    """Register the handlers of all keeper messages.

    Parameters
    ----------
    handlers : links.Handlers
        Handlers of this process.
    groups : dict of str to consensus.Group
        Groups of this process by name.
    """

    def add(message_class, handler, peers_only):
        def handle(link, message):
            group = _find_group(groups, message)
            if peers_only:
                _check_peer(group, link)
            return handler(group, message)

        handlers.add(message_class, handle)

    def greet(link, message):
        group = _find_group(groups, message)
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


def _find_group(groups, message):
    group = groups.get(message.group)
    if group is None:
        raise errors.NotFoundError(
            "unknown group", given=message.group, expected=sorted(groups)
        )
    return group


def _check_peer(group, link) -> None:
    peer = link.peer
    if peer.role != KEEPER_ROLE or peer.name not in group.peers:
        # Routers, which have the fleet key too, and removed keepers must
        # not be able to win votes or write to the log.
        raise errors.ForbiddenError(
            "message from a process that is not a member",
            given=f"{peer.role} {peer.name}",
            expected=f"one of {sorted(group.peers)}",
        )


async def _on_propose(group, message: messages.Propose):
    command = wire.decode_message(message.tag, message.body)
    timeout = min(max(message.timeout, 0.0), MAX_PROPOSE_SECONDS)
    if isinstance(command, messages.Members):
        raise errors.ForbiddenError(
            "membership cannot be changed by a proposal",
            given=message.tag,
            expected="a membership change message",
        )
    return await group.propose(command, timeout)
