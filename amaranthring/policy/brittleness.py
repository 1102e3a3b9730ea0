"""How many requests this router may have at targets that fall over easily.

See ``docs/design/brittle-targets.md``.
"""

import collections
import dataclasses
import random
import time
import typing as t

# A service counts as brittle for this time after a target said so.
BRITTLE_SECONDS = 5.0
# What other routers know holds until they would have told again.
TOLD_SECONDS = 1.0
# Older counts show nothing of what a target holds.
MAX_COUNTS_AGE_SECONDS = 1.0
# Share of its requests at a target that a router keeps; the rest goes to all.
KEPT_SHARE = 0.95
# Requests at a target while the number of routers is not known.
UNKNOWN_ALLOWANCE = 1.0
# All routers together are turned away this share of what a target tolerates.
REFUSED_SHARE = 0.5
MAX_PAUSE_SECONDS = 10.0
# Refusals are told, and remembered in case that the target falls.
REFUSED_SECONDS = 2.0
# Weight of the newest duration in the mean.
DURATION_WEIGHT = 0.1
FIRST_DURATION_SECONDS = 0.1


@dataclasses.dataclass
class Counts:
    """What this router knows of the requests at one target.

    Attributes
    ----------
    slots : int
        Requests that the target runs at once.
    own, others : int
        Requests of this router and of those that told theirs.
    routers : int
        Number of routers that may be at work, with this one; 0 if unknown.
    told : int
        Number of routers whose requests are counted, with this one.
    age : float
        Of the others' counts, in seconds.
    """

    slots: int
    own: int
    others: int
    routers: int
    told: int
    age: float


def allowance(counts: Counts) -> float:
    """Return how many requests this router may have at a target."""
    slots, routers = float(counts.slots), counts.routers
    if not routers:
        return min(UNKNOWN_ALLOWANCE, slots)
    share = slots / routers
    if routers > 1 and counts.age > MAX_COUNTS_AGE_SECONDS:
        return share
    missing = max(0, routers - max(1, counts.told))
    total = counts.own + counts.others + missing * share
    if total > slots:
        return counts.own * slots / total
    kept = KEPT_SHARE * counts.own
    return kept + (slots - KEPT_SHARE * total) / routers


class BrittleLimits:
    """Allowances of this router at the targets of brittle services.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.
    draw : callable
        Random number below 1, for fractions of a request.

    Attributes
    ----------
    seen : dict of str to tuple
        By service, the number of refusals that its targets tolerate in a
        second, and when one said so.
    told : dict of str to tuple
        The same, as other routers know it.
    allowed : dict of str to tuple
        Requests allowed at each target, and since when.
    refused_at : dict of str to deque of float
        Times of the refusals of this router's requests, by target.
    refused_others : dict of str to int
        Refusals of other routers' requests in the last seconds, by target.
    durations : dict of str to float
        Mean seconds that a request takes, by service.
    """

    def __init__(
        self,
        clock: t.Callable[[], float] = time.monotonic,
        draw: t.Callable[[], float] = random.random,
    ):
        self.clock = clock
        self.draw = draw
        self.seen: dict[str, tuple[int, float]] = {}
        self.told: dict[str, tuple[int, float]] = {}
        self.allowed: dict[str, tuple[int, float]] = {}
        self.refused_at: dict[str, collections.deque[float]] = {}
        self.refused_others: dict[str, int] = {}
        self.durations: dict[str, float] = {}

    # -- which services are brittle ----------------------------------

    def record_seen(self, service: str, max_refused: int) -> bool:
        """Record what a target says; return whether that was not known."""
        before = self.max_refused(service)
        self.seen[service] = max_refused, self.clock()
        return before != self.max_refused(service)

    def record_told(self, brittle: dict[str, int]) -> None:
        """Record what other routers know."""
        now = self.clock()
        self.told.update((name, (n, now)) for name, n in brittle.items())

    def max_refused(self, service: str) -> int | None:
        """Return how many refusals a second are tolerated; None for any."""
        if not self.seen and not self.told:
            return None
        known = [
            self._current(self.seen, service, BRITTLE_SECONDS),
            self._current(self.told, service, TOLD_SECONDS),
        ]
        return min((n for n in known if n is not None), default=None)

    def seen_here(self) -> dict[str, int]:
        """Return the brittle services by what this router has seen itself."""
        return {
            service: n
            for service in self.seen
            if (n := self._current(self.seen, service, BRITTLE_SECONDS))
            is not None
        }

    def _current(
        self, known: dict[str, tuple[int, float]], service: str, seconds: float
    ) -> int | None:
        number, at = known.get(service, (None, 0.0))
        return number if self.clock() - at <= seconds else None

    # -- refusals ----------------------------------------------------

    def record_refusal(self, target_id: str) -> None:
        """Record that a target turned a request of this router away."""
        times = self.refused_at.setdefault(target_id, collections.deque())
        times.append(self.clock())

    def refused_here(self) -> dict[str, int]:
        """Return the recent refusals of this router's requests by target."""
        oldest = self.clock() - REFUSED_SECONDS
        for target_id, times in list(self.refused_at.items()):
            while times and times[0] < oldest:
                times.popleft()
            if not times:
                del self.refused_at[target_id]
        return {name: len(times) for name, times in self.refused_at.items()}

    def has_refused(self, target_id: str) -> bool:
        """Return whether a target has turned requests away recently."""
        here = self.refused_here().get(target_id, 0)
        return bool(here or self.refused_others.get(target_id))

    def _is_paused(
        self, target_id: str, max_refused: int, routers: int
    ) -> bool:
        tolerated = REFUSED_SHARE * max_refused
        if self.refused_others.get(target_id, 0) > tolerated:
            return True
        times = self.refused_at.get(target_id)
        if not times:
            return False
        pause = MAX_PAUSE_SECONDS
        if tolerated and routers:
            pause = min(routers / tolerated, MAX_PAUSE_SECONDS)
        return self.clock() - times[-1] < pause

    # -- room --------------------------------------------------------

    def update(self, target_id: str, counts: Counts) -> None:
        """Renew the allowance at a target."""
        limit = allowance(counts)
        whole = int(limit)
        whole += self.draw() < limit - whole
        self.allowed[target_id] = whole, self.clock()

    def has_room(self, service: str, target_id: str, counts: Counts) -> bool:
        """Return whether this router may send a target another request."""
        max_refused = self.max_refused(service)
        if max_refused is None:
            return True
        _, renewed_at = self.allowed.get(target_id, (0, float("-inf")))
        if self.clock() - renewed_at > MAX_COUNTS_AGE_SECONDS:
            self.update(target_id, counts)
        allowed, _ = self.allowed[target_id]
        if counts.own >= allowed:
            return False
        return not self._is_paused(target_id, max_refused, counts.routers)

    def record_duration(self, service: str, seconds: float) -> None:
        """Record how long a target took for a request."""
        mean = self.durations.get(service, seconds)
        mean += DURATION_WEIGHT * (seconds - mean)
        self.durations[service] = mean

    def duration(self, service: str) -> float:
        """Return the mean seconds that a request of the service takes."""
        return self.durations.get(service, FIRST_DURATION_SECONDS)

    def prune(self, targets: t.Container[str]) -> None:
        """Forget all targets but these."""
        self.allowed = {
            name: kept
            for name, kept in self.allowed.items()
            if name in targets
        }
