"""Choice of a target: where the prompt is cached, unless it is loaded.

What a target would have to read again is weighed against the requests that
are there already; the load of a target is bounded against the mean of its
service, so that a much wanted beginning spreads over several. Where nothing
is known, rendezvous hashing lets all routers find the same target without
talking.

Sources: D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase
Hit Rates", IEEE/ACM ToN 6(1), 1998; V. Mirrokni, M. Thorup and
M. Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018.
"""

import dataclasses
import random
import typing as t

from amaranthring.core import hashing

# A target may hold this multiple of the mean, plus a few, before requests go
# elsewhere. Above twice the mean and three targets count as overloaded;
# counts are up to 0.7 s old, in which 84 routers send it more than one knows.
LOAD_BOUND = 1.5
LOAD_SLACK = 3.0
# Requests at a target for which it is worth reading a thousand tokens again
# elsewhere. An engine reads 48 tokens in a millisecond, and each request
# that runs there adds 0.12 ms to each token of the others: over 300 tokens
# 36 ms, as much as reading 1,700 tokens. Reading also holds up all tokens
# of the other requests there, hence several times that.
REQUESTS_PER_1000_TOKENS = 5.0
# The same for a thousand tokens that are copied from another target. Memory
# that moves is paid for with a seventh of what reading costs and takes a
# hundredth of the time.
REQUESTS_PER_1000_COPIED = 0.7
# Loads up to this many requests above the mean count as equal. Where places
# are not known (after a start, or while no keeper passes them on) hashing
# then decides, and routers agree without talking.
EVEN_LOAD = 1.0
# Requests at a target for which a thousand tokens that it has yet to read for
# others count. It reads them first, 48 in a millisecond: 10,000 delay the
# first token by 0.2 s, for which a prompt of 400 tokens is better read again
# elsewhere, one of 2,000 is not.
REQUESTS_PER_1000_WAITING = 0.2
# Targets that keep as much of a prompt share its requests if they cost no more
# than the best one and so many requests.
SPREAD_COST = 3.0
# And if they have at most so many tokens more to read for others, 50 ms: a
# draw must not make a caller wait.
SPREAD_WAITING = 2_500
# Another data centre's target is taken for a plain request only if it has
# this much less work per slot: a round trip costs a millisecond and its
# bytes are paid for.
ELSEWHERE_WORK = 0.25


@dataclasses.dataclass
class Candidate:
    """A target that may be chosen.

    Attributes
    ----------
    load : float
        Requests at the target, as far as this router knows.
    slots : int
        Requests that it runs at once.
    near : bool
        Whether it is in this router's data centre.
    missing : int
        Tokens of the prompt that it would have to read.
    waiting : int
        Tokens that it has yet to read for other requests.
    copied : int
        Those of the missing tokens that it would copy from another target.
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
    """Return the target for a request whose prompt begins with `key`.

    Parameters
    ----------
    key : str
        Names the longest beginning that other requests share; decides where
        nobody keeps any of the prompt.
    tokens : int
        Length of the prompt.
    draw : callable
        Decides between targets that keep as much of it.
    """
    if not candidates:
        return None
    mean = sum(one.load for one in candidates) / len(candidates)
    bound = LOAD_BOUND * mean + LOAD_SLACK
    free = [one for one in candidates if one.load + 1 <= bound]

    def cost(one: Candidate) -> tuple[float, int]:
        reading = (
            (one.uncached_tokens - one.copied_tokens)
            / 1000
            * REQUESTS_PER_1000_TOKENS
        )
        reading += one.copied_tokens / 1000 * REQUESTS_PER_1000_COPIED
        extra = max(0.0, one.load - mean - EVEN_LOAD)
        extra += one.pending_tokens / 1000 * REQUESTS_PER_1000_WAITING
        return reading + extra, -hashing.weight(key, one.id)

    if not free:
        return min(candidates, key=lambda one: one.load)
    best = min(free, key=cost)
    if best.uncached_tokens == tokens:
        return best
    # Counts are old, so all routers would find the same one of several that
    # keep the prompt, and send it far more than its share until the next
    # counts come. Halves the requests above the bound while a third of all
    # ask for one beginning (simulated: 84 routers, 34 engines).
    most = cost(best)[0] + SPREAD_COST
    keeping = [
        one
        for one in free
        if one.uncached_tokens <= best.uncached_tokens
        and one.pending_tokens <= best.pending_tokens + SPREAD_WAITING
        and cost(one)[0] <= most
    ]
    return _by_headroom(keeping, bound, draw)


def _by_headroom(
    candidates: t.Sequence[Candidate],
    bound: float,
    draw: t.Callable[[], float],
) -> Candidate:
    """Return one of `candidates`, drawn by the load that each can take."""
    point = draw() * sum(bound - one.load for one in candidates)
    for one in candidates:
        point -= bound - one.load
        if point < 0:
            return one
    return candidates[-1]


def least_loaded(
    candidates: t.Sequence[Candidate],
    draw: t.Callable[[], float] = random.random,
) -> Candidate | None:
    """Return the target with the least work for each of its slots.

    Parameters
    ----------
    draw : callable
        Decides between equals, so that routers do not all choose the same.
    """
    if not candidates:
        return None

    def work(one: Candidate) -> tuple[float, float]:
        extra = 0.0 if one.local else ELSEWHERE_WORK
        return one.load / max(1, one.slots) + extra, draw()

    return min(candidates, key=work)
