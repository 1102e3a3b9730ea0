"""Choice of a target by cached prompt prefix and load.

The cost of recomputing the part of a prompt that a target has not cached is
weighed against its load, and the load of a target is bounded by a multiple
of the mean, so that a popular prefix spreads over several targets. Where no
target has the prefix, rendezvous hashing makes all routers choose the same
target without coordination.

Counts of other routers' requests lag. The requests that they do not show yet
most likely went to the target that looks best, so a choice is drawn from as
many of the best targets as together have room for these. The number that
arrives varies, so fewer are expected at a target than fit below its bound.

Sources: D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase
Hit Rates", IEEE/ACM ToN 6(1), 1998; V. Mirrokni, M. Thorup and
M. Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018.
"""

import dataclasses
import math
import random
import typing as t

from amaranthring.core import hashing

# Maximum load of a target: this multiple of the mean, plus the slack. Kept
# below the overload limit (twice the mean plus three), as counts lag and the
# number of requests that they do not show is an estimate.
LOAD_BOUND = 1.5
LOAD_SLACK = 3.0
# Standard deviations by which more requests may reach a target than expected.
# Arrivals are Poisson distributed: their variance is their expected number.
ARRIVAL_DEVIATIONS = 1.0
# Cost of prefilling 1,000 tokens, in requests at the target. An engine
# prefills 48 tokens per millisecond. A request that runs there adds 0.12 ms to
# each token of the others: 36 ms over 300 tokens, the prefill of 1,700 tokens.
# Prefill also delays all tokens of the other requests, hence several times
# that.
REQUESTS_PER_1000_TOKENS = 5.0
# Cost of copying 1,000 cached tokens from another target, in requests: a
# seventh of the cost of prefill, in a hundredth of the time.
REQUESTS_PER_1000_COPIED = 0.7
# Loads up to this many requests above the mean count as equal. While no
# cache locations are known, hashing then decides, and all routers agree.
EVEN_LOAD = 1.0
# Cost of 1,000 tokens queued for prefill at the target, in requests: 10,000
# tokens delay the first token by 0.2 s. To avoid that delay, a prompt of 400
# tokens is prefilled again elsewhere, one of 2,000 is not.
REQUESTS_PER_1000_PENDING = 0.2
# Targets with the same cached prefix share its requests while their cost
# exceeds that of the cheapest one by at most this many requests.
SPREAD_COST = 3.0
# Such targets have at most this many more tokens queued for prefill than the
# cheapest one (50 ms), so that random choice delays no request.
SPREAD_PENDING_TOKENS = 2_500
# Extra load per slot at which a request without a prompt goes to another
# data centre: the round trip takes a millisecond, and traffic is paid for.
REMOTE_LOAD_PENALTY = 0.25


@dataclasses.dataclass
class Candidate:
    """A target that may be chosen.

    Attributes
    ----------
    load : float
        Requests at the target, as far as this router knows.
    slots : int
        Requests that it runs concurrently.
    local : bool
        Whether it is in this router's data centre.
    uncached_tokens : int
        Tokens of the prompt that are not in its prefix cache.
    pending_tokens : int
        Tokens of other requests that it has yet to prefill.
    copied_tokens : int
        Uncached tokens that it would copy from another target.
    """

    id: str
    load: float
    slots: int = 1
    local: bool = True
    uncached_tokens: int = 0
    pending_tokens: int = 0
    copied_tokens: int = 0


def choose_by_prefix(
    candidates: t.Sequence[Candidate],
    key: str,
    tokens: int,
    draw: t.Callable[[], float] = random.random,
    unseen: float = 0.0,
) -> Candidate | None:
    """Return the target for a request whose prompt begins with prefix `key`.

    Parameters
    ----------
    key : str
        Identifies the longest prefix shared with other requests. Hashed to
        choose a target if none has cached any of the prompt.
    tokens : int
        Length of the prompt.
    draw : callable
        Random number source for the choice between equally good targets.
    unseen : float
        Number of requests with this prefix that the loads may not show.
    """
    if not candidates:
        return None
    mean = sum(candidate.load for candidate in candidates) / len(candidates)
    bound = LOAD_BOUND * mean + LOAD_SLACK
    below_bound = [
        candidate for candidate in candidates if candidate.load + 1 <= bound
    ]

    def room(candidate: Candidate) -> float:
        return _expected_arrivals(bound - candidate.load)

    def cost(candidate: Candidate) -> tuple[float, int]:
        prefill = (
            (candidate.uncached_tokens - candidate.copied_tokens)
            / 1000
            * REQUESTS_PER_1000_TOKENS
        )
        prefill += candidate.copied_tokens / 1000 * REQUESTS_PER_1000_COPIED
        extra = max(0.0, candidate.load - mean - EVEN_LOAD)
        extra += candidate.pending_tokens / 1000 * REQUESTS_PER_1000_PENDING
        return prefill + extra, -hashing.weight(key, candidate.id)

    if not below_bound:
        return min(candidates, key=lambda candidate: candidate.load)
    best = min(below_bound, key=cost)
    preferred = [best]
    if best.uncached_tokens < tokens:
        max_cost = cost(best)[0] + SPREAD_COST
        preferred = [
            candidate
            for candidate in below_bound
            if candidate.uncached_tokens <= best.uncached_tokens
            and candidate.pending_tokens
            <= best.pending_tokens + SPREAD_PENDING_TOKENS
            and cost(candidate)[0] <= max_cost
        ]
    if sum(map(room, preferred)) < unseen:
        ranked = sorted(below_bound, key=cost)
        preferred = _with_room(preferred, ranked, room, unseen)
    return _draw_by_room(preferred, room, draw)


def _expected_arrivals(margin: float) -> float:
    """Return how many requests may be expected at a target.

    This number plus :data:`ARRIVAL_DEVIATIONS` times its standard deviation
    is `margin`, the number of requests that fit below the target's bound.
    """
    deviations = ARRIVAL_DEVIATIONS
    root = math.sqrt(deviations**2 + 4 * margin)
    return ((root - deviations) / 2) ** 2


def _with_room(
    preferred: t.Sequence[Candidate],
    ranked: t.Iterable[Candidate],
    room: t.Callable[[Candidate], float],
    unseen: float,
) -> list[Candidate]:
    """Return `preferred` and the first of `ranked`, with room for `unseen`.

    All are returned if they have less room together.
    """
    chosen = {candidate.id: candidate for candidate in preferred}
    total = sum(map(room, preferred))
    for candidate in ranked:
        if total >= unseen:
            break
        if candidate.id not in chosen:
            chosen[candidate.id] = candidate
            total += room(candidate)
    return list(chosen.values())


def _draw_by_room(
    candidates: t.Sequence[Candidate],
    room: t.Callable[[Candidate], float],
    draw: t.Callable[[], float],
) -> Candidate:
    """Return a random candidate, weighted by its room."""
    if len(candidates) == 1:
        return candidates[0]
    point = draw() * sum(map(room, candidates))
    for candidate in candidates:
        point -= room(candidate)
        if point < 0:
            return candidate
    return candidates[-1]


def least_loaded(
    candidates: t.Sequence[Candidate],
    draw: t.Callable[[], float] = random.random,
    unseen: float = 0.0,
) -> Candidate | None:
    """Return the target with the least load per slot, or one of the least.

    Parameters
    ----------
    draw : callable
        Random number source; breaks ties, so that routers do not all choose
        the same target.
    unseen : float
        Number of requests that the loads may not show, and that prefer the
        same targets.
    """
    if not candidates:
        return None

    def load_per_slot(candidate: Candidate) -> tuple[float, float]:
        penalty = 0.0 if candidate.local else REMOTE_LOAD_PENALTY
        return candidate.load / max(1, candidate.slots) + penalty, draw()

    slots = sum(max(1, candidate.slots) for candidate in candidates)
    mean_per_slot = sum(c.load for c in candidates) / slots

    def room(candidate: Candidate) -> float:
        mean = mean_per_slot * max(1, candidate.slots)
        bound = LOAD_BOUND * mean + LOAD_SLACK
        return _expected_arrivals(max(0.0, bound - candidate.load))

    best = min(candidates, key=load_per_slot)
    if room(best) >= unseen:
        return best
    ranked = sorted(candidates, key=load_per_slot)
    return _draw_by_room(
        _with_room([ranked[0]], ranked, room, unseen), room, draw
    )
