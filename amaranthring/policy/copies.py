"""Choice of the engine to copy a cached prompt prefix from.

Copying a cached prefix from another engine takes about a hundredth of the
time of prefill. Prefixes that many requests share thus move cheaply away
from an engine that is leaving, to one that has just started, or to a second
one under load.
"""

import dataclasses
import typing as t

# Tokens per second that an otherwise idle engine prefills.
PREFILL_RATE = 48_000.0
# Time until the first token of a copy arrives.
SETUP_SECONDS = 0.0025
# Copies share the links of both engines with other copies. One is made only
# if it takes at most this share of the prefill time.
MAX_TIME_SHARE = 0.5


@dataclasses.dataclass
class Holder:
    """An engine that has cached a prefix of a prompt.

    Attributes
    ----------
    cached_tokens : int
        Length of the cached prefix.
    stays : bool
        Whether the engine is not draining.
    """

    id: str
    data_centre: str
    cached_tokens: int
    stays: bool = True


@dataclasses.dataclass
class Copy:
    """Copy of a cached prefix, made before prefill of the rest.

    Attributes
    ----------
    source : str
        Id of the engine to copy from.
    tokens : int
        Number of tokens copied.
    """

    source: str
    tokens: int


def is_worthwhile(tokens: int, rate: float) -> bool:
    """Return whether copying `tokens` is sufficiently faster than prefill.

    Parameters
    ----------
    rate : float
        Tokens per second that the engines copy; 0 if they cannot.
    """
    if rate <= 0 or tokens <= 0:
        return False
    copy_seconds = SETUP_SECONDS + tokens / rate
    return copy_seconds <= MAX_TIME_SHARE * tokens / PREFILL_RATE


def choose(
    holders: t.Iterable[Holder], receiver: Holder, rate: float
) -> Copy | None:
    """Return the copy to make, or None if none is worthwhile.

    Among engines with equally long prefixes, one in the same data centre is
    preferred: copies between data centres take twice the time.

    Parameters
    ----------
    receiver : Holder
        The engine that copies, with the prefix it already has.
    rate : float
        As for :func:`is_worthwhile`.
    """

    def preference(holder: Holder) -> tuple:
        local = holder.data_centre == receiver.data_centre
        return holder.cached_tokens, local, holder.stays, holder.id

    others = [holder for holder in holders if holder.id != receiver.id]
    source = max(others, key=preference, default=None)
    if source is None or not is_worthwhile(
        source.cached_tokens - receiver.cached_tokens, rate
    ):
        return None
    return Copy(source.id, source.cached_tokens - receiver.cached_tokens)
