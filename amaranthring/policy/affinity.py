"""Choice of a target by cached prompt prefix and load.

The cost of recomputing the part of a prompt that a target has not cached is
weighed against its load, and the load of a target is bounded by a multiple
of the mean, so that a popular prefix spreads over several targets. Where no
target has the prefix, rendezvous hashing makes all routers choose the same
target without coordination.

Sources: D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase
Hit Rates", IEEE/ACM ToN 6(1), 1998; V. Mirrokni, M. Thorup and
M. Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018.
"""

import dataclasses
import random
import typing as t

from amaranthring.core import hashing

# Maximum load of a target: this multiple of the mean, plus the slack. Kept
# below the overload limit (twice the mean plus three), as load counts are up
# to 0.7 s old and up to 84 routers add requests meanwhile.
LOAD_BOUND = 1.5
LOAD_SLACK = 3.0
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
    """
    if not candidates:
        return None
    mean = sum(candidate.load for candidate in candidates) / len(candidates)
    bound = LOAD_BOUND * mean + LOAD_SLACK
    below_bound = [
        candidate for candidate in candidates if candidate.load + 1 <= bound
    ]

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
    if best.uncached_tokens == tokens:
        return best
    # Load counts lag. If every router took the cheapest target that has the
    # prefix, it would be overloaded until the next counts arrive; a random
    # choice among nearly equal ones prevents that. In a simulation of 84
    # routers and 34 engines, with a third of all requests for one prefix, it
    # halves the requests above the bound.
    max_cost = cost(best)[0] + SPREAD_COST
    nearly_equal = [
        candidate
        for candidate in below_bound
        if candidate.uncached_tokens <= best.uncached_tokens
        and candidate.pending_tokens
        <= best.pending_tokens + SPREAD_PENDING_TOKENS
        and cost(candidate)[0] <= max_cost
    ]
    return _draw_by_headroom(nearly_equal, bound, draw)


def _draw_by_headroom(
    candidates: t.Sequence[Candidate],
    bound: float,
    draw: t.Callable[[], float],
) -> Candidate:
    """Return a random candidate, weighted by its room below `bound`."""
    point = draw() * sum(bound - candidate.load for candidate in candidates)
    for candidate in candidates:
        point -= bound - candidate.load
        if point < 0:
            return candidate
    return candidates[-1]


def least_loaded(
    candidates: t.Sequence[Candidate],
    draw: t.Callable[[], float] = random.random,
) -> Candidate | None:
    """Return the target with the least load per slot.

    Parameters
    ----------
    draw : callable
        Breaks ties, so that routers do not all choose the same target.
    """
    if not candidates:
        return None

    def load_per_slot(candidate: Candidate) -> tuple[float, float]:
        penalty = 0.0 if candidate.local else REMOTE_LOAD_PENALTY
        return candidate.load / max(1, candidate.slots) + penalty, draw()

    return min(candidates, key=load_per_slot)
