"""When requests with a feature last completed."""

import collections
import math
import typing as t

# Bounds the memory; those that completed longest ago are forgotten first.
MAX_ENTRIES = 4096


class Completions:
    """Times of the last completions, by feature.

    Parameters
    ----------
    clock : callable
        Seconds; continues while the VM is suspended.
    """

    def __init__(self, clock: t.Callable[[], float]):
        self.clock = clock
        self.times: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def note(self, features: t.Iterable[str], age: float = 0.0) -> None:
        """Record that a request with `features` completed.

        Parameters
        ----------
        age : float
            Seconds since then.
        """
        at = self.clock() - age
        for feature in features:
            self.times[feature] = max(at, self.times.get(feature, at))
            self.times.move_to_end(feature)
        while len(self.times) > MAX_ENTRIES:
            self.times.popitem(last=False)

    def age(self, feature: str) -> float:
        """Return the seconds since then; infinite if none is known."""
        at = self.times.get(feature)
        return math.inf if at is None else self.clock() - at
