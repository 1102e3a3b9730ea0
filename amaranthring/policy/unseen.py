"""Requests of other routers that a router's counts do not show yet.

A router places requests by counts that other routers sent some time ago. All
of them see the same cheapest target meanwhile, so the requests that they have
placed since then are most likely there. How many these are is estimated from
this router's own requests, which are a sample of those of all routers.
"""

import collections
import math
import typing as t

# Time over which this router's own requests are counted.
SAMPLE_SECONDS = 3.0
# Number of like requests that each router may have sent in that time although
# this one has sent none, and as many again per second of the counts' age: that
# more were sent shows in the counts, but later the older these are.
MISSED_REQUESTS = 0.15
# Standard deviations by which each router may have sent more requests than
# this one, whose requests are a small sample.
SAMPLE_DEVIATIONS = 1.5
# Age assumed for counts that are missing, to estimate what was sent since.
MISSING_SECONDS = 4.0
# Weight of one request in the mean duration of its kind.
DURATION_WEIGHT = 0.05
# Kinds of requests whose duration is kept.
MAX_KINDS = 1000
# Assumed until a request has ended.
FIRST_DURATION_SECONDS = 1.0


class UnseenRequests:
    """Estimates how many requests the other routers' counts do not show.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    sent : deque of tuple
        Time and key of this router's recent requests.
    sent_by_key : Counter
        Number of these requests by key.
    durations : dict of str to float
        Mean duration of this router's requests by kind, in seconds; the kind
        that ended last is the last one.
    """

    def __init__(self, clock: t.Callable[[], float]):
        self.clock = clock
        self.sent: collections.deque[tuple[float, str]] = collections.deque()
        self.sent_by_key: collections.Counter = collections.Counter()
        self.durations: dict[str, float] = {}

    def record_sent(self, key: str) -> None:
        """Record a request; those with the same key prefer one target."""
        self._forget()
        self.sent.append((self.clock(), key))
        self.sent_by_key[key] += 1

    def record_duration(self, kind: str, seconds: float) -> None:
        """Record how long a target took for a request of `kind`."""
        before = self.durations.pop(kind, seconds)
        self.durations[kind] = before + DURATION_WEIGHT * (seconds - before)
        if len(self.durations) > MAX_KINDS:
            del self.durations[next(iter(self.durations))]

    def expected(
        self,
        key: str,
        kind: str,
        routers: int,
        age: float,
        told: int | None = None,
    ) -> float:
        """Return how many requests with `key` the counts may not show.

        Parameters
        ----------
        kind : str
            Kind of these requests; those of one kind take similarly long.
        routers : int
            Number of routers, with this one.
        age : float
            Mean age of the other routers' counts in seconds; infinite if
            there are none.
        told : int, optional
            Number of routers that the counts are of, with this one. All, if
            not given.
        """
        duration = self.durations.get(kind, FIRST_DURATION_SECONDS)
        if routers < 2 or duration <= 0:
            return 0.0
        if math.isinf(age):
            return math.inf
        self._forget()
        others = routers - 1
        counted = others if told is None else min(max(0, told - 1), others)
        missing = others - counted
        unseen_seconds = duration * -math.expm1(-age / duration)
        return (
            counted * self._rate(key, age) * unseen_seconds
            + missing * self._rate(key, MISSING_SECONDS) * duration
        )

    def _rate(self, key: str, age: float) -> float:
        """Return how many requests with `key` one router sends per second."""
        sent = self.sent_by_key[key]
        sent += SAMPLE_DEVIATIONS * math.sqrt(sent)
        return (sent + MISSED_REQUESTS * (1 + age)) / SAMPLE_SECONDS

    def _forget(self) -> None:
        oldest = self.clock() - SAMPLE_SECONDS
        while self.sent and self.sent[0][0] < oldest:
            _, key = self.sent.popleft()
            self.sent_by_key[key] -= 1
            if not self.sent_by_key[key]:
                del self.sent_by_key[key]
