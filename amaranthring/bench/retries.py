"""Retries: amplification while half of the targets fail, and recovery.

Requests go through the product's cell and retry budget as the way uses
them: an attempt that fails is tried elsewhere if the budget allows. Targets
fail at once, which is the worst case: a target that fails fast always has
room. Half of them begin to fail after a third of the time and are well
again after two thirds.
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
PER_SECOND = 50.0
ANSWER_SECONDS = 2.0
PHASE_SECONDS = 40.0
SHARE = 0.1
ATTEMPTS_MOST = 4
AMPLIFICATION_MOST = 1.25


class Retrying:
    """One cell, one retry budget, and callers.

    Parameters
    ----------
    seed : int
        Seeds arrivals.
    end : End
        How an attempt at a failing target ends.
    budget : bool
        Whether the budget is asked, or every failure is retried.
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
        self.budget = retries.RetryBudget(lambda: SHARE, lambda: self.now)
        self.asked = budget
        self.events = []
        self.order = itertools.count()
        self.counts = [collections.Counter() for _ in range(3)]

    def run(self) -> "Retrying":
        """Run all three phases and return itself."""
        self._after(0.0, self._arrive)
        while self.events and self.events[0][0] < 3 * PHASE_SECONDS:
            self.now, _, act = heapq.heappop(self.events)
            act()
        return self

    def _after(self, seconds: float, act) -> None:
        event = (self.now + seconds, next(self.order), act)
        heapq.heappush(self.events, event)

    @property
    def phase(self) -> int:
        """Return which third of the time it is."""
        return min(2, int(self.now / PHASE_SECONDS))

    def _arrive(self) -> None:
        self._after(self.random.expovariate(PER_SECOND), self._arrive)
        account = f"account-{self.random.randrange(ACCOUNTS)}"
        count = self.counts[self.phase]
        count["requests"] += 1
        excluded: set[str] = set()
        for _ in range(ATTEMPTS_MOST):
            key, name = self._attempt(account, excluded)
            if name is None:
                count["refused"] += 1
                return
            count["attempts"] += 1
            if not self._fails(name):
                count["succeeded"] += 1
                done = functools.partial(self._done, key, account)
                self._after(ANSWER_SECONDS, done)
                return
            self.cell.release(key, self.now, self.end)
            excluded.add(name)
            if self.asked and not self.budget.may_retry(account):
                break
        count["failed"] += 1

    def _attempt(self, account: str, excluded: set[str]):
        key = ("r", next(self.order))
        ask = admission.Request(
            key, account, 1, str(key), 0.0, excluded=frozenset(excluded)
        )
        ask.at_once = True
        try:
            placed = self.cell.admit(ask, admission.Policy(), self.now)
        except errors.RefusedError:
            return key, None
        return key, placed.target

    def _fails(self, name: str) -> bool:
        return self.phase == 1 and int(name[1:]) < TARGETS // 2

    def _done(self, key, account: str) -> None:
        self.cell.release(key, self.now)
        self.budget.record_success(account)


def run(seed: int = 1) -> report.Report:
    """Return amplification and success with half of the targets failing.

    Parameters
    ----------
    seed : int
        Seeds arrivals.
    """
    made = report.Report(f"retries at half of the targets failing, {seed}")
    cases = {
        "unreachable": (records.AttemptEnd.UNREACHABLE, True),
        "failing": (records.AttemptEnd.FAILED, True),
        "failing, no budget": (records.AttemptEnd.FAILED, False),
    }
    for name, (end, budget) in cases.items():
        done = Retrying(seed, end, budget).run()
        bad, after = done.counts[1], done.counts[2]
        amplified = bad["attempts"] / bad["requests"]
        most = AMPLIFICATION_MOST if budget else None
        made.add(f"{name}: attempts a request", amplified, most=most)
        share = bad["succeeded"] / bad["requests"]
        made.add(f"{name}: succeeded meanwhile", share)
        share = after["succeeded"] / after["requests"]
        made.add(f"{name}: succeeded afterwards", share, least=0.99)
    return made
