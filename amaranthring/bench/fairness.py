"""Fairness: how a surge of a few accounts changes the others' waiting.

One cell under load that its capacity just carries; then two accounts send
ten times their share. The others' waiting time is compared with the same
arrivals without the surge. Waiting for a free target counts, as the queue
is where the accounts meet.
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
PER_SECOND = 15.0
SURGE_PER_SECOND = 60.0
SECONDS = 300.0
DEADLINE = 30.0
RATIO_MOST = 1.5
TICK_SECONDS = 0.1


@dataclasses.dataclass
class Outcome:
    """What became of one kind of accounts.

    Attributes
    ----------
    waits : list of float
        Seconds each granted request waited.
    refused : int
        Requests refused at once.
    expired : int
        Requests that waited in vain.
    """

    waits: list[float] = dataclasses.field(default_factory=list)
    refused: int = 0
    expired: int = 0


class Queueing:
    """One cell, its arrivals and its targets.

    Parameters
    ----------
    seed : int
        Seeds arrivals and lengths of answers.
    surge : bool
        Whether two accounts surge.
    """

    def __init__(self, seed: int, surge: bool):
        self.random = random.Random(seed)
        self.lengths = random.Random(seed + 1)
        self.noise = random.Random(seed + 2)
        self.cell = admission.Cell("cell", 0.0)
        self.cell.set_targets(
            fakes.target(f"e{i}", capacity=CAPACITY) for i in range(TARGETS)
        )
        self.surge = surge
        self.events = []
        self.order = itertools.count()
        self.now = 0.0
        self.accounts: dict[tuple, str] = {}
        self.outcomes = {"others": Outcome(), "surging": Outcome()}

    def run(self) -> "Queueing":
        """Run to the end and return itself."""
        self._after(0.0, self._ordinary)
        self._after(0.0, self._tick)
        if self.surge:
            self._after(SECONDS / 3, self._surging)
        while self.events and self.events[0][0] < SECONDS:
            self.now, _, act = heapq.heappop(self.events)
            act()
        return self

    def _after(self, seconds: float, act) -> None:
        event = (self.now + seconds, next(self.order), act)
        heapq.heappush(self.events, event)

    def _ordinary(self) -> None:
        self._after(self.random.expovariate(PER_SECOND), self._ordinary)
        self._ask(f"account-{self.random.randrange(ACCOUNTS)}")

    def _surging(self) -> None:
        rate = SURGE_PER_SECOND
        self._after(self.noise.expovariate(rate), self._surging)
        self._ask(f"surge-{self.noise.randrange(2)}")

    def _ask(self, account: str) -> None:
        key = ("r", next(self.order))
        self.accounts[key] = account
        ask = admission.Request(key, account, 1, str(key), DEADLINE)
        try:
            placed = self.cell.admit(ask, admission.Policy(), self.now)
        except errors.RefusedError:
            self._outcome(key).refused += 1
            return
        if placed is not None:
            self._start(placed)
        self._settle()

    def _start(self, placed: admission.Grant) -> None:
        outcome = self._outcome(placed.key)
        if self.now > SECONDS / 3:
            outcome.waits.append(placed.queued_seconds)
        length = self.lengths.gammavariate(2.0, ANSWER_SECONDS / 2)
        self._after(length, lambda: self._end(placed.key))

    def _end(self, key) -> None:
        self.cell.release(key, self.now)
        self._settle()

    def _settle(self) -> None:
        placed, self.cell.granted = self.cell.granted, []
        for each in placed:
            self._start(each)
        gone, self.cell.evicted = self.cell.evicted, []
        for waiter in gone:
            self._outcome(waiter.key).refused += 1

    def _tick(self) -> None:
        self._after(TICK_SECONDS, self._tick)
        for held in self.cell.counts.held.values():
            held.expires = self.now + 100.0
        for waiter in self.cell.expire(self.now):
            self._outcome(waiter.key).expired += 1
        self.cell.serve(self.now)
        self._settle()

    def _outcome(self, key) -> Outcome:
        surging = self.accounts[key].startswith("surge")
        return self.outcomes["surging" if surging else "others"]


def run(seed: int = 1) -> report.Report:
    """Return the others' waiting with and without a surge.

    Parameters
    ----------
    seed : int
        Seeds arrivals and lengths of answers.
    """
    made = report.Report(f"fairness under a surge, seed {seed}")
    calm = Queueing(seed, surge=False).run().outcomes["others"]
    full = Queueing(seed, surge=True).run()
    others = full.outcomes["others"]
    surging = full.outcomes["surging"]
    for share in (0.5, 0.95, 0.99):
        name = f"others' wait p{share * 100:g}"
        made.add(f"{name}, calm", model.quantile(calm.waits, share), "s")
        made.add(f"{name}, surge", model.quantile(others.waits, share), "s")
    made.add("others' mean wait, calm", _mean(calm.waits), "s")
    made.add("others' mean wait, surge", _mean(others.waits), "s")
    served = ANSWER_SECONDS
    ratio = (_mean(others.waits) + served) / (_mean(calm.waits) + served)
    made.add("others' whole time, surge over calm", ratio, most=RATIO_MOST)
    made.add("others refused", others.refused, most=calm.refused)
    made.add("others expired", others.expired, most=calm.expired)
    made.add("surging granted", len(surging.waits))
    made.add("surging refused", surging.refused)
    made.add("surging expired in the queue", surging.expired)
    return made


def _mean(values: list[float]) -> float:
    return sum(values) / max(len(values), 1)
