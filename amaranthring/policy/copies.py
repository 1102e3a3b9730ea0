"""Where an engine copies a prompt from that it would have to read.

An engine can copy from another one what that keeps of a prompt. With the
links of today's engines this takes a hundredth of the time of reading it, so
that a beginning that many requests share moves nearly for free: away from an
engine that leaves, to one that has just started, or to a second one when
many ask for it at once.
"""

import dataclasses
import typing as t

# Tokens that an engine reads in a second; today's engines read 48 in a
# millisecond when nothing else runs there.
READ_RATE = 48_000.0
# A copy begins this many seconds late, as measured on idle engines.
SETUP_SECONDS = 0.0025
# A copy waits behind others on the links of both engines; it is asked for
# only where it takes at most this share of the time of reading.
TIME_SHARE = 0.5


@dataclasses.dataclass
class Holder:
    """An engine that keeps the beginning of a prompt.

    Attributes
    ----------
    kept : int
        Tokens from the beginning of the prompt that it has read.
    stays : bool
        Whether it is not about to leave.
    """

    id: str
    data_centre: str
    cached_tokens: int
    stays: bool = True


@dataclasses.dataclass
class Copy:
    """What an engine is to copy before it reads.

    Attributes
    ----------
    source : str
        Id of the engine to copy from.
    tokens : int
        Tokens of the prompt that it has more.
    """

    source: str
    tokens: int


def is_worthwhile(tokens: int, rate: float) -> bool:
    """Return whether copying `tokens` is worth it.

    Parameters
    ----------
    rate : float
        Tokens a second that the engines copy; 0 if they do not.
    """
    if rate <= 0 or tokens <= 0:
        return False
    copying = SETUP_SECONDS + tokens / rate
    return copying <= TIME_SHARE * tokens / READ_RATE


def choose(
    holders: t.Iterable[Holder], asked: Holder, rate: float
) -> Copy | None:
    """Return the copy to make, or None if reading is as good.

    Among engines that keep as much, one in the same data centre is taken:
    a copy from another takes twice the time.

    Parameters
    ----------
    asked : Holder
        The engine that copies, and what it keeps itself.
    rate : float
        As for :func:`pays`.
    """

    def order(one: Holder) -> tuple:
        near = one.data_centre == asked.data_centre
        return one.cached_tokens, near, one.stays, one.id

    others = [one for one in holders if one.id != asked.id]
    found = max(others, key=order, default=None)
    if found is None or not is_worthwhile(
        found.cached_tokens - asked.cached_tokens, rate
    ):
        return None
    return Copy(found.id, found.cached_tokens - asked.cached_tokens)
