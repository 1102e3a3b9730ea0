"""Choice of a target: the one that has the prompt, unless it is loaded.

Requests that share a long beginning go to the same target, so that it is
read there once. All routers find the same target without talking, by
rendezvous hashing. The load of a target is bounded against the mean of its
service, so that a much wanted beginning spreads over several.

Sources: D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase
Hit Rates", IEEE/ACM ToN 6(1), 1998; V. Mirrokni, M. Thorup and
M. Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018.
"""

import dataclasses
import hashlib
import random
import typing as t

# A target may hold this multiple of the mean, plus a few, before requests
# go to the next one. The few keep a calm fleet from spreading prompts for
# nothing; the multiple stays below the one at which targets count as
# overloaded (2, plus 3).
LOAD_BOUND = 1.5
LOAD_SLACK = 2.0
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
    """

    id: str
    load: float
    slots: int = 1
    near: bool = True


def rank(key: str, target_id: str) -> int:
    """Return the place of a target for `key`; the highest is first."""
    text = f"{key} {target_id}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def with_prompt(
    candidates: t.Sequence[Candidate], key: str
) -> Candidate | None:
    """Return the target for a request whose prompt begins with `key`.

    Parameters
    ----------
    key : str
        Names the longest beginning that other requests share.
    """
    if not candidates:
        return None
    mean = sum(one.load for one in candidates) / len(candidates)
    bound = LOAD_BOUND * mean + LOAD_SLACK
    ordered = sorted(candidates, key=lambda one: -rank(key, one.id))
    for one in ordered:
        if one.load + 1 <= bound:
            return one
    return min(ordered, key=lambda one: one.load)


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
        extra = 0.0 if one.near else ELSEWHERE_WORK
        return one.load / max(1, one.slots) + extra, draw()

    return min(candidates, key=work)
