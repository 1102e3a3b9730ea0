"""Features that were on all lost requests of another feature.

Nothing tells them apart: each crash of the one may as well be that of the
other.
"""

import collections
import typing as t

# Bounds the memory; the oldest entries are forgotten first.
MAX_ENTRIES = 20000


class Companions:
    """Companions by feature."""

    def __init__(self):
        self.entries: collections.OrderedDict[str, frozenset[str]] = (
            collections.OrderedDict()
        )

    def of(self, feature: str) -> frozenset[str]:
        """Return the companions of `feature`."""
        return self.entries.get(feature, frozenset())

    def add(self, feature: str, beside: t.Iterable[str]) -> bool:
        """Add a lost request that had `feature` and those `beside` it.

        Returns
        -------
        bool
            Whether `feature` has lost a companion by it.
        """
        found = frozenset(beside)
        known = self.entries.get(feature)
        self.entries[feature] = found if known is None else known & found
        while len(self.entries) > MAX_ENTRIES:
            self.entries.popitem(last=False)
        return known is not None and not known <= found

    def discard(self, feature: str, companion: str) -> None:
        """Remove one companion of `feature`."""
        if companion in self.of(feature):
            self.entries[feature] -= {companion}

    def clear(self, feature: str) -> None:
        """Forget the companions of `feature`."""
        self.entries.pop(feature, None)
