"""Placement without an owner, from local counts and lagging load reports.

The tighter bound applies both to the router's own requests and to the
estimated total. Decisions of several routers then add up to a load below the
bound: parts that are each below a multiple of their own mean sum to less
than that multiple of the overall mean, apart from rounding.
"""

import collections.abc
import dataclasses

from amaranthring.core import records
from amaranthring.policy import bounds


@dataclasses.dataclass
class LoadEstimate:
    """Load of a target as one router knows it.

    Attributes
    ----------
    own : int
        Requests of this router in flight there.
    reported : int
        Running and waiting requests that the target last reported.
    """

    own: int
    reported: int

    @property
    def load(self) -> int:
        """Return the larger of both, as each covers only a part."""
        return max(self.own, self.reported)


def choose_target(
    order: collections.abc.Iterable[str],
    members: dict[str, records.Target],
    estimates: dict[str, LoadEstimate],
    bound: float,
) -> str | None:
    """Return the first target in `order` within the tighter bound.

    Parameters
    ----------
    order : iterable of str
        Names of targets, preferred first.
    members : dict
        Targets of the cell by name.
    estimates : dict
        Estimated load by name.
    bound : float
        Multiple of the mean, before tightening.
    """
    tight = bounds.tighter(bound)
    count = len(members)
    own = sum(each.own for each in estimates.values())
    total = sum(each.load for each in estimates.values())
    max_own = bounds.max_load(tight, own + 1, count)
    max_total = bounds.max_load(tight, total + 1, count)

    def limit(name: str) -> int:
        if estimates[name].own >= max_own:
            return 0
        return min(max_total, members[name].capacity)

    return bounds.first_with_room(
        order, lambda name: estimates[name].load, limit
    )
