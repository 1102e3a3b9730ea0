"""Fairness: how a surge of a few accounts affects the waiting of others.

One cell runs at three quarters of its capacity; then two accounts together
send four times the load of all others. The waiting times of the others are
compared with a run of the same arrivals without the surge. Waiting time is
the time in the queue for a free target.
"""

import dataclasses
import heapq
import itertools
import random

from amaranthring import errors
from amaranthring.bench import model
from amaranthring.bench import report
from amaranthring.policy import admission
from amaranthring.testing import fake_network as fakes

TARGETS = 15
CAPACITY = 8
ANSWER_SECONDS = 6.0
ACCOUNTS = 30
REQUESTS_PER_SECOND = 15.0
SURGE_PER_SECOND = 60.0
SIMULATED_SECONDS = 300.0
DEADLINE_SECONDS = 30.0
MAX_TIME_RATIO = 1.5
TICK_SECONDS = 0.1


@dataclasses.dataclass
class Outcome:
    """Outcomes of the requests of one group of accounts.

    Attributes
    ----------
    waits : list of float
        Seconds in the queue of each request that was granted in the last
        two thirds of the simulated time, when the surge runs.
    refused : int
        Requests refused at once or evicted from the queue.
    expired : int
        Requests that expired in the queue.
    """

    waits: list[float] = dataclasses.field(default_factory=list)
    refused: int = 0
    expired: int = 0


class Queueing:
    """Simulation of one cell, its arrivals and its targets.

    Parameters
    ----------
    seed : int
        Seed of arrivals and answer lengths.
    surge : bool
        Whether two accounts send a surge of requests.
    """

    def __init__(self, seed: int, surge: bool):
        self.random = random.Random(seed)
        self.duration_random = random.Random(seed + 1)
        self.surge_random = random.Random(seed + 2)
        self.cell = admission.Cell("cell", 0.0)
        self.cell.set_targets(
            fakes.target(f"e{i}", capacity=CAPACITY) for i in range(TARGETS)
        )
        self.surge = surge
        self.events = []
        self.sequence = itertools.count()
        self.now = 0.0
        self.accounts: dict[tuple, str] = {}
        self.outcomes = {"others": Outcome(), "surging": Outcome()}

    def run(self) -> "Queueing":
        """Run to the end and return this simulation."""
        self._call_later(0.0, self._arrive)
        self._call_later(0.0, self._tick)
        if self.surge:
            self._call_later(SIMULATED_SECONDS / 3, self._arrive_surge)
        while self.events and self.events[0][0] < SIMULATED_SECONDS:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        return self

    def _call_later(self, seconds: float, callback) -> None:
        event = (self.now + seconds, next(self.sequence), callback)
        heapq.heappush(self.events, event)

    def _arrive(self) -> None:
        self._call_later(
            self.random.expovariate(REQUESTS_PER_SECOND), self._arrive
        )
        self._request(f"account-{self.random.randrange(ACCOUNTS)}")

    def _arrive_surge(self) -> None:
        rate = SURGE_PER_SECOND
        self._call_later(
            self.surge_random.expovariate(rate), self._arrive_surge
        )
        self._request(f"surge-{self.surge_random.randrange(2)}")

    def _request(self, account: str) -> None:
        key = ("r", next(self.sequence))
        self.accounts[key] = account
        request = admission.Request(
            key, account, 1, str(key), DEADLINE_SECONDS
        )
        try:
            grant = self.cell.admit(request, admission.Policy(), self.now)
        except errors.RefusedError:
            self._outcome(key).refused += 1
            return
        if grant is not None:
            self._start(grant)
        self._collect()

    def _start(self, grant: admission.Grant) -> None:
        outcome = self._outcome(grant.key)
        if self.now > SIMULATED_SECONDS / 3:
            outcome.waits.append(grant.queued_seconds)
        seconds = self.duration_random.gammavariate(2.0, ANSWER_SECONDS / 2)
        self._call_later(seconds, lambda: self._end(grant.key))

    def _end(self, key) -> None:
        self.cell.release(key, self.now)
        self._collect()

    def _collect(self) -> None:
        grants, self.cell.granted = self.cell.granted, []
        for grant in grants:
            self._start(grant)
        evicted, self.cell.evicted = self.cell.evicted, []
        for waiter in evicted:
            self._outcome(waiter.key).refused += 1

    def _tick(self) -> None:
        self._call_later(TICK_SECONDS, self._tick)
        for held in self.cell.counts.held.values():
            held.expires = self.now + 100.0
        for waiter in self.cell.expire(self.now):
            self._outcome(waiter.key).expired += 1
        self.cell.serve(self.now)
        self._collect()

    def _outcome(self, key) -> Outcome:
        surging = self.accounts[key].startswith("surge")
        return self.outcomes["surging" if surging else "others"]


def run(seed: int = 1) -> report.Report:
    """Compare the waiting times of others with and without a surge.

    Parameters
    ----------
    seed : int
        Seed of arrivals and answer lengths.
    """
    results = report.Report(f"fairness under a surge, seed {seed}")
    calm = Queueing(seed, surge=False).run().outcomes["others"]
    simulation = Queueing(seed, surge=True).run()
    others = simulation.outcomes["others"]
    surging = simulation.outcomes["surging"]
    for share in (0.5, 0.95, 0.99):
        name = f"others' wait p{share * 100:g}"
        results.add(f"{name}, calm", model.quantile(calm.waits, share), "s")
        results.add(f"{name}, surge", model.quantile(others.waits, share), "s")
    results.add("others' mean wait, calm", _mean(calm.waits), "s")
    results.add("others' mean wait, surge", _mean(others.waits), "s")
    served = ANSWER_SECONDS
    ratio = (_mean(others.waits) + served) / (_mean(calm.waits) + served)
    results.add(
        "others' whole time, surge over calm", ratio, most=MAX_TIME_RATIO
    )
    results.add("others refused", others.refused, most=calm.refused)
    results.add("others expired", others.expired, most=calm.expired)
    results.add("surging granted", len(surging.waits))
    results.add("surging refused", surging.refused)
    results.add("surging expired in the queue", surging.expired)
    return results


def _mean(values: list[float]) -> float:
    return sum(values) / max(len(values), 1)
