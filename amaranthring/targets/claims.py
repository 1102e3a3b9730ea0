"""What a target may claim: its incarnation, name, address and sequence.

All targets share the same keys, so a claim cannot be proved; it is refused
when it contradicts a target that is heard now.
"""

import typing as t

from amaranthring import errors
from amaranthring.core import records
from amaranthring.targets import entries


def check_incarnation(
    entry: entries.Entry, target: records.Target, holder_lives: bool
) -> None:
    """Check a target that announces a name which `entry` has.

    Parameters
    ----------
    holder_lives : bool
        Whether the target of `entry` is heard now.

    Raises
    ------
    errors.StaleIncarnationError
        If the incarnation is older, or has left: a late or replayed
        announcement of a predecessor must not bring it back.
    errors.NameTakenError
        If a live target elsewhere holds the name.
    """
    known = entry.target
    older = target.incarnation < known.incarnation
    same = target.incarnation == known.incarnation
    if older or (same and entry.version.leaving):
        raise errors.StaleIncarnationError(
            f"target {target.name}: this incarnation is past",
            given=target.incarnation,
            expected=f"{known.incarnation + same} or above",
        )
    if target.address != known.address and holder_lives:
        raise errors.NameTakenError(
            f"target {target.name} lives at {known.address}",
            given=target.address,
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
        If one does: two names for one process would double its bound.
    """
    for other in live:
        held = other.target
        if held.address == target.address and held.name != target.name:
            raise errors.AddressTakenError(
                f"address of live target {held.name}",
                given=target.address,
                expected="an address of its own",
                retry_after=1.0,
            )


def check_sequence(entry: entries.Entry, incarnation: int, given: int) -> None:
    """Check that a message is not a replay of an earlier one.

    A recorded renewal, sent again after the target died, would keep it in
    the table. A target that numbers its messages is safe from that; once it
    has, an unnumbered message is refused too.

    Raises
    ------
    errors.ReplayedError
        If the sequence is not above the highest seen.
    """
    if entry.target.incarnation != incarnation or not entry.last_sequence:
        return
    if given <= entry.last_sequence:
        raise errors.ReplayedError(
            f"message of target {entry.target.name} came again or late",
            given=given,
            expected=f"a sequence above {entry.last_sequence}",
        )
