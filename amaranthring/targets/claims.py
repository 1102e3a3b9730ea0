"""Checks of what a target claims: incarnation, name, address and sequence.

All targets share the same keys, so a claim cannot be proved; it is refused
when it contradicts a live target.
"""

import typing as t

from amaranthring import errors
from amaranthring.core import records
from amaranthring.targets import entries


def check_incarnation(
    entry: entries.Entry, announced: records.Target, holder_alive: bool
) -> None:
    """Check an announcement under a name that `entry` already has.

    Parameters
    ----------
    holder_alive : bool
        Whether the target of `entry` is currently heard from.

    Raises
    ------
    errors.StaleIncarnationError
        If the incarnation is older or has left: a late or replayed
        announcement must not revive it.
    errors.NameTakenError
        If a live target at another address holds the name.
    """
    known = entry.target
    is_older = announced.incarnation < known.incarnation
    is_same = announced.incarnation == known.incarnation
    if is_older or (is_same and entry.version.leaving):
        raise errors.StaleIncarnationError(
            f"target {announced.name}: this incarnation has ended",
            given=announced.incarnation,
            expected=f"{known.incarnation + is_same} or above",
        )
    if announced.address != known.address and holder_alive:
        raise errors.NameTakenError(
            f"target {announced.name} is live at {known.address}",
            given=announced.address,
            expected="another name, or the end of the other's lease",
            retry_after=1.0,
        )


def check_address(
    target: records.Target, live: t.Iterable[entries.Entry]
) -> None:
    """Check that no other live target holds the address.

    Raises
    ------
    errors.AddressTakenError
        If one does: under two names, one process would get twice its
        concurrency bound.
    """
    for other in live:
        holder = other.target
        if holder.address == target.address and holder.name != target.name:
            raise errors.AddressTakenError(
                f"address is held by live target {holder.name}",
                given=target.address,
                expected="an address of its own",
                retry_after=1.0,
            )


def check_sequence(entry: entries.Entry, incarnation: int, given: int) -> None:
    """Check that a message is not a replay of an earlier one.

    A recorded renewal, replayed after the target died, would keep it in the
    table. Numbered messages prevent that; once a target has numbered a
    message, unnumbered ones are refused too.

    Raises
    ------
    errors.ReplayedError
        If the sequence is not above the highest seen.
    """
    if entry.target.incarnation != incarnation or not entry.last_sequence:
        return
    if given <= entry.last_sequence:
        raise errors.ReplayedError(
            f"message of target {entry.target.name} is repeated or late",
            given=given,
            expected=f"a sequence above {entry.last_sequence}",
        )
