"""Targets that entry routers cannot reach, as an admission owner sees them.

A target that died stays in every list until its lease ends, seconds later.
Until then each grant to it costs its request a retry, and with them the
retry budget of innocent accounts. Entry routers tell how each grant ended;
the owner closes an unreachable target for a short time, lets a single
request try it afterwards, and opens it on the first success.
"""

import collections.abc
import dataclasses

FIRST_SECONDS = 0.3
MOST_SECONDS = 3.0
WITNESS_SECONDS = 5.0
WITNESSES_MOST = 1024
FAULTS_IN_A_ROW = 3


@dataclasses.dataclass
class OpenBreaker:
    """One target that could not be reached.

    Attributes
    ----------
    failures : int
        Failures since the last success.
    closed_until : float
        No grant before that time, in seconds on the owner's clock.
    """

    failures: int
    open_until: float


class CircuitBreakers:
    """Outages of the targets of one cell."""

    def __init__(self):
        self.by_target: dict[str, OpenBreaker] = {}
        self.witnesses: dict[str, dict[str, float]] = {}
        self.faults: dict[str, int] = {}

    def record_error(
        self, target: str, targets: collections.abc.Collection[str], now: float
    ) -> bool:
        """Note that `target` took a request and failed it.

        Returns
        -------
        bool
            Whether the target is closed by it.

        Notes
        -----
        A target that fails fast always has room and draws all requests to
        it. Several failures in a row, of as many requests, with no answer
        between them speak of the target and not of one bad request; that
        many bad requests at every target must not close the whole cell, so
        half of it stays open.
        """
        in_a_row = self.faults.get(target, 0) + 1
        self.faults[target] = in_a_row
        known = self.by_target.get(target)
        if known is not None and now < known.open_until:
            return False
        closed = len(self.by_target.keys() - {target})
        if in_a_row < FAULTS_IN_A_ROW or closed + 1 > len(targets) // 2:
            return False
        self._close(target, known, now)
        return True

    def record_unreachable(
        self,
        target: str,
        router: str,
        targets: collections.abc.Collection[str],
        now: float,
    ) -> bool:
        """Note that `router` could not reach `target`.

        Returns
        -------
        bool
            Whether the target is closed by it.

        Notes
        -----
        A router whose own network broke fails everywhere. Its word alone,
        about more than half of the cell, must not close the cell for all
        others: then another router has to have failed there too.
        """
        seen = self._witnessed(router, now)
        seen[target] = now
        alone = not self._others_failed(target, router, now)
        if alone and len(seen) > max(1, len(targets) // 2):
            return False
        known = self.by_target.get(target)
        if known is not None and now < known.open_until:
            # Grants made before the first failure fail one after another;
            # they say nothing new.
            return False
        self._close(target, known, now)
        return True

    def record_success(self, target: str, router: str) -> None:
        """Note that `router` had an answer from `target`."""
        self.by_target.pop(target, None)
        self.faults.pop(target, None)
        self.witnesses.get(router, {}).pop(target, None)

    def forget(self, target: str) -> None:
        """Forget a target that started anew or went."""
        self.by_target.pop(target, None)
        self.faults.pop(target, None)
        for seen in self.witnesses.values():
            seen.pop(target, None)

    def limit(self, target: str, now: float, most: int) -> int:
        """Return how many requests `target` may run, `most` if it is well."""
        outage = self.by_target.get(target)
        if outage is None:
            return most
        return 0 if now < outage.open_until else min(1, most)

    def _close(
        self, target: str, known: OpenBreaker | None, now: float
    ) -> None:
        failures = known.failures + 1 if known else 1
        wait = min(FIRST_SECONDS * 2 ** (failures - 1), MOST_SECONDS)
        self.by_target[target] = OpenBreaker(failures, now + wait)

    def _witnessed(self, router: str, now: float) -> dict[str, float]:
        if len(self.witnesses) >= WITNESSES_MOST:
            self.witnesses.clear()
        seen = self.witnesses.setdefault(router, {})
        for name, at in list(seen.items()):
            if now - at > WITNESS_SECONDS:
                del seen[name]
        return seen

    def _others_failed(self, target: str, router: str, now: float) -> bool:
        return any(
            now - seen.get(target, -WITNESS_SECONDS) < WITNESS_SECONDS
            for other, seen in self.witnesses.items()
            if other != router
        )
