"""Circuit breakers for the targets of one cell.

A crashed target stays listed until its lease ends, seconds later. Until then
every grant to it would cost a retry and use up the retry budget of accounts
that did nothing wrong. Entry routers report how each grant ended. The owner
opens the breaker of a failing target for a short time, then lets a single
request through, and closes it on the first success.
"""

import collections.abc
import dataclasses

INITIAL_OPEN_SECONDS = 0.3
MAX_OPEN_SECONDS = 3.0
REPORT_SECONDS = 5.0
# Time after which any request may be the trial of a target.
DOUBT_SECONDS = 3.0
MAX_REPORTERS = 1024
CONSECUTIVE_ERRORS = 3


@dataclasses.dataclass
class OpenBreaker:
    """State of an open circuit breaker.

    Attributes
    ----------
    failures : int
        Failures since the last success.
    open_until : float
        Time before which no request is granted, on the owner's clock.
    """

    failures: int
    open_until: float


class CircuitBreakers:
    """Circuit breakers of the targets of one cell."""

    def __init__(self):
        self.by_target: dict[str, OpenBreaker] = {}
        self.unreachable_at: dict[str, dict[str, float]] = {}
        self.faults: dict[str, int] = {}

    def record_error(
        self, target: str, targets: collections.abc.Collection[str], now: float
    ) -> bool:
        """Record that `target` accepted a request and failed it.

        Returns
        -------
        bool
            Whether this opened the breaker.

        Notes
        -----
        A target that fails fast always has room and attracts all requests,
        so several consecutive errors open its breaker. Malformed requests
        fail at every target, though, and must not take down the whole cell:
        at most half of the breakers are opened this way.
        """
        in_a_row = self.faults.get(target, 0) + 1
        self.faults[target] = in_a_row
        known = self.by_target.get(target)
        if known is not None and now < known.open_until:
            return False
        opened = len(self.by_target.keys() - {target})
        if in_a_row < CONSECUTIVE_ERRORS or opened + 1 > len(targets) // 2:
            return False
        self._open(target, known, now)
        return True

    def record_unreachable(
        self,
        target: str,
        router: str,
        targets: collections.abc.Collection[str],
        now: float,
    ) -> bool:
        """Record that `router` could not reach `target`.

        Returns
        -------
        bool
            Whether this opened the breaker.

        Notes
        -----
        A router whose own network failed reports every target. Once it has
        reported more than half of the cell, its reports count only if
        another router could not reach the target either.
        """
        seen = self._reported_by(router, now)
        seen[target] = now
        alone = not self._others_reported(target, router, now)
        if alone and len(seen) > max(1, len(targets) // 2):
            return False
        known = self.by_target.get(target)
        if known is not None and now < known.open_until:
            # Requests granted before the breaker opened fail one by one;
            # they must not extend the open time.
            return False
        self._open(target, known, now)
        return True

    def record_success(self, target: str, router: str) -> None:
        """Record that `router` got a response from `target`."""
        self.by_target.pop(target, None)
        self.faults.pop(target, None)
        self.unreachable_at.get(router, {}).pop(target, None)

    def forget(self, target: str) -> None:
        """Reset the state of a target that restarted or left."""
        self.by_target.pop(target, None)
        self.faults.pop(target, None)
        for seen in self.unreachable_at.values():
            seen.pop(target, None)

    def limit(self, target: str, now: float, capacity: int) -> int:
        """Return how many requests `target` may run, up to `capacity`."""
        breaker = self.by_target.get(target)
        if breaker is None:
            return capacity
        return 0 if now < breaker.open_until else min(1, capacity)

    def is_doubtful(self, target: str, now: float) -> bool:
        """Return whether `target` failed and has not succeeded since.

        It ends by itself after a time, so that a target gets its trial
        request although no other requests arrive.
        """
        breaker = self.by_target.get(target)
        return breaker is not None and (
            now < breaker.open_until + DOUBT_SECONDS
        )

    def _open(
        self, target: str, known: OpenBreaker | None, now: float
    ) -> None:
        failures = known.failures + 1 if known else 1
        wait = min(
            INITIAL_OPEN_SECONDS * 2 ** (failures - 1), MAX_OPEN_SECONDS
        )
        self.by_target[target] = OpenBreaker(failures, now + wait)

    def _reported_by(self, router: str, now: float) -> dict[str, float]:
        if len(self.unreachable_at) >= MAX_REPORTERS:
            self.unreachable_at.clear()
        seen = self.unreachable_at.setdefault(router, {})
        for name, at in list(seen.items()):
            if now - at > REPORT_SECONDS:
                del seen[name]
        return seen

    def _others_reported(self, target: str, router: str, now: float) -> bool:
        return any(
            now - seen.get(target, -REPORT_SECONDS) < REPORT_SECONDS
            for other, seen in self.unreachable_at.items()
            if other != router
        )
