"""Retry budgets: retries are limited to a share of recent successes.

When most requests fail, there are few successes and hence few retries, which
prevents retry storms. A small reserve lets accounts with little traffic
retry at all.
"""

import collections
import collections.abc
import dataclasses
import math

WINDOW_SECONDS = 10.0
ACCOUNT_RESERVE = 1.0
ROUTER_RESERVE = 5.0
MAX_ACCOUNTS = 4096


@dataclasses.dataclass
class DecayingCounts:
    """Recent successes and retries, decaying exponentially."""

    successes: float = 0.0
    retries: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        """Decay the counts to time `now`."""
        factor = math.exp(-max(0.0, now - self.at) / WINDOW_SECONDS)
        self.successes *= factor
        self.retries *= factor
        self.at = now

    def remaining(self, share: float, reserve: float) -> float:
        """Return the number of retries left."""
        return share * self.successes + reserve - self.retries


class RetryBudget:
    """Retry budgets of this router and of each client account.

    Parameters
    ----------
    share : callable
        Returns the preset's retries per success, 0 to 1.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        share: collections.abc.Callable[[], float],
        clock: collections.abc.Callable[[], float],
    ):
        self.share = share
        self.clock = clock
        self.router = DecayingCounts()
        self.accounts: collections.OrderedDict[str, DecayingCounts] = (
            collections.OrderedDict()
        )

    def record_success(self, account: str) -> None:
        """Count a successful request of `account`."""
        for counts in self._counts(account):
            counts.successes += 1

    def has_retry(self, account: str) -> bool:
        """Return whether a retry is left, without taking it."""
        share = self.share()
        own, router = self._counts(account)
        return (
            own.remaining(share, ACCOUNT_RESERVE) >= 1
            and router.remaining(share, ROUTER_RESERVE) >= 1
        )

    def may_retry(self, account: str) -> bool:
        """Take one retry from the budget; return whether one was left."""
        if not self.has_retry(account):
            return False
        own, router = self._counts(account)
        own.retries += 1
        router.retries += 1
        return True

    def _counts(self, account: str) -> tuple[DecayingCounts, DecayingCounts]:
        now = self.clock()
        own = self.accounts.get(account)
        if own is None:
            own = self.accounts[account] = DecayingCounts(at=now)
            if len(self.accounts) > MAX_ACCOUNTS:
                self.accounts.popitem(last=False)
        self.accounts.move_to_end(account)
        own.decay(now)
        self.router.decay(now)
        return own, self.router
