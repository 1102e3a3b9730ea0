"""The bound on load: no target above a multiple of the mean.

Source of the bound: V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent
hashing with bounded loads", SODA 2018. The count of requests in flight
includes the one that asks.
"""

import collections.abc
import math

ROUNDING = 1e-9


def max_load(bound: float, in_flight: int, targets: int) -> int:
    """Return how many requests one target may run.

    Parameters
    ----------
    bound : float
        Multiple of the mean, at least 1.
    in_flight : int
        Requests running at all of the targets, the new one included.
    targets : int
        Number of targets.
    """
    if targets < 1:
        return 0
    return math.ceil(bound * in_flight / targets - ROUNDING)


def tighter(bound: float) -> float:
    """Return the bound for decisions from local estimates.

    Estimates of several routers err the same way at the same time, and half
    of the margin is what they may err by.
    """
    return 1 + (bound - 1) / 2


def first_with_room(
    order: collections.abc.Iterable[str],
    load: collections.abc.Callable[[str], int],
    room: collections.abc.Callable[[str], int],
) -> str | None:
    """Return the first of `order` whose load is below its room."""
    for name in order:
        if load(name) < room(name):
            return name
    return None
