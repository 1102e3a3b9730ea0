"""Load bound: no target runs more than a multiple of the mean load.

Source: V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent hashing with
bounded loads", SODA 2018. The number of requests in flight includes the new
one.
"""

import collections.abc
import math

ROUNDING = 1e-9


def max_load(bound: float, in_flight: int, targets: int) -> int:
    """Return the maximum number of requests that one target may run.

    Parameters
    ----------
    bound : float
        Multiple of the mean, at least 1.
    in_flight : int
        Requests in flight at all targets, including the new one.
    targets : int
        Number of targets.
    """
    if targets < 1:
        return 0
    return math.ceil(bound * in_flight / targets - ROUNDING)


def tighter(bound: float) -> float:
    """Return the bound for decisions based on local estimates.

    Estimates of several routers are off in the same direction at the same
    time; half of the margin is reserved for that error.
    """
    return 1 + (bound - 1) / 2


def first_with_room(
    order: collections.abc.Iterable[str],
    load: collections.abc.Callable[[str], int],
    limit: collections.abc.Callable[[str], int],
) -> str | None:
    """Return the first name in `order` whose load is below its limit."""
    for name in order:
        if load(name) < limit(name):
            return name
    return None
