"""Retries: amplification while half of the targets fail, and recovery.

Requests use the product's admission cell and retry budget as request
execution does: a failed attempt is retried on another target if the budget
allows. Targets fail at once, which is the worst case, as a target that fails
fast always has capacity left. Half of them fail during the second third of
the simulated time.
"""

import collections
import functools
import heapq
import itertools
import random

from amaranthring import errors
from amaranthring.bench import report
from amaranthring.core import records
from amaranthring.policy import admission
from amaranthring.policy import retries
from amaranthring.testing import fake_network as fakes

TARGETS = 10
ACCOUNTS = 20
REQUESTS_PER_SECOND = 50.0
ANSWER_SECONDS = 2.0
PHASE_SECONDS = 40.0
RETRY_SHARE = 0.1
MAX_ATTEMPTS = 4
MAX_AMPLIFICATION = 1.25


class Retrying:
    """Simulation of one cell, one retry budget and its callers.

    Parameters
    ----------
    seed : int
        Seed of arrivals.
    end : AttemptEnd
        How an attempt at a failing target ends.
    budget : bool
        Whether retries need the budget's permission.
    """

    def __init__(
        self, seed: int, end: records.AttemptEnd, budget: bool = True
    ):
        self.random = random.Random(seed)
        self.end = end
        self.now = 0.0
        self.cell = admission.Cell("cell", 0.0)
        self.cell.set_targets(
            fakes.target(f"e{i}", capacity=64) for i in range(TARGETS)
        )
        self.budget = retries.RetryBudget(
            lambda: RETRY_SHARE, lambda: self.now
        )
        self.budget_enabled = budget
        self.events = []
        self.sequence = itertools.count()
        self.counts = [collections.Counter() for _ in range(3)]

    def run(self) -> "Retrying":
        """Run all three phases and return this simulation."""
        self._call_later(0.0, self._arrive)
        while self.events and self.events[0][0] < 3 * PHASE_SECONDS:
            self.now, _, callback = heapq.heappop(self.events)
            callback()
        return self

    def _call_later(self, seconds: float, callback) -> None:
        event = (self.now + seconds, next(self.sequence), callback)
        heapq.heappush(self.events, event)

    @property
    def phase(self) -> int:
        """Return the current third of the simulated time, 0 to 2."""
        return min(2, int(self.now / PHASE_SECONDS))

    def _arrive(self) -> None:
        self._call_later(
            self.random.expovariate(REQUESTS_PER_SECOND), self._arrive
        )
        account = f"account-{self.random.randrange(ACCOUNTS)}"
        counts = self.counts[self.phase]
        counts["requests"] += 1
        excluded: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            key, name = self._attempt(account, excluded)
            if name is None:
                counts["refused"] += 1
                return
            counts["attempts"] += 1
            if not self._is_failing(name):
                counts["succeeded"] += 1
                succeed = functools.partial(self._succeed, key, account)
                self._call_later(ANSWER_SECONDS, succeed)
                return
            self.cell.release(key, self.now, self.end)
            excluded.add(name)
            if self.budget_enabled and not self.budget.may_retry(account):
                break
        counts["failed"] += 1

    def _attempt(self, account: str, excluded: set[str]):
        key = ("r", next(self.sequence))
        request = admission.Request(
            key, account, 1, str(key), 0.0, excluded=frozenset(excluded)
        )
        request.at_once = True
        try:
            grant = self.cell.admit(request, admission.Policy(), self.now)
        except errors.RefusedError:
            return key, None
        return key, grant.target

    def _is_failing(self, name: str) -> bool:
        return self.phase == 1 and int(name[1:]) < TARGETS // 2

    def _succeed(self, key, account: str) -> None:
        self.cell.release(key, self.now)
        self.budget.record_success(account)


def run(seed: int = 1) -> report.Report:
    """Measure amplification and success while half of the targets fail.

    Parameters
    ----------
    seed : int
        Seed of arrivals.
    """
    results = report.Report(f"retries at half of the targets failing, {seed}")
    cases = {
        "unreachable": (records.AttemptEnd.UNREACHABLE, True),
        "failing": (records.AttemptEnd.FAILED, True),
        "failing, no budget": (records.AttemptEnd.FAILED, False),
    }
    for name, (end, budget) in cases.items():
        simulation = Retrying(seed, end, budget).run()
        failing, recovered = simulation.counts[1], simulation.counts[2]
        amplification = failing["attempts"] / failing["requests"]
        most = MAX_AMPLIFICATION if budget else None
        results.add(f"{name}: attempts a request", amplification, most=most)
        share = failing["succeeded"] / failing["requests"]
        results.add(f"{name}: succeeded meanwhile", share)
        share = recovered["succeeded"] / recovered["requests"]
        results.add(f"{name}: succeeded afterwards", share, least=0.99)
    return results
