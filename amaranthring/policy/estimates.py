"""Placement without an owner, from one router's count and lagging reports.

Both the router's own part and the estimate of the whole keep the tighter
bound, so that what several routers decide this way adds up below the bound:
parts that are each below a multiple of their own mean sum to one below that
multiple of the whole mean, but for the rounding.
"""

import collections.abc
import dataclasses

from amaranthring.core import records
from amaranthring.policy import bounds


@dataclasses.dataclass
class LoadEstimate:
    """What one router knows of a target's load.

    Attributes
    ----------
    own : int
        Requests that this router runs there.
    reported : int
        What the target last reported as running and waiting.
    """

    own: int
    reported: int

    @property
    def load(self) -> int:
        """Return the larger of both: reports lag, routers see a part."""
        return max(self.own, self.reported)


def choose_target(
    order: collections.abc.Iterable[str],
    members: dict[str, records.Target],
    estimates: dict[str, LoadEstimate],
    bound: float,
) -> str | None:
    """Return the first of `order` within the tighter bound, or None.

    Parameters
    ----------
    order : iterable of str
        Names of targets, best first.
    members : dict
        Targets of the cell by name.
    estimates : dict
        What is known of each of them.
    bound : float
        Multiple of the mean, before it is made tighter.
    """
    tight = bounds.tighter(bound)
    count = len(members)
    own = sum(each.own for each in estimates.values())
    whole = sum(each.load for each in estimates.values())
    own_most = bounds.max_load(tight, own + 1, count)
    whole_most = bounds.max_load(tight, whole + 1, count)

    def room(name: str) -> int:
        if estimates[name].own >= own_most:
            return 0
        return min(whole_most, members[name].capacity)

    return bounds.first_with_room(
        order, lambda name: estimates[name].load, room
    )
