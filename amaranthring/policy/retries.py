"""Retry budgets: retries are a share of recent successes.

When much fails, successes run dry and with them the retries, so that trying
again never grows into a storm. A small reserve lets accounts with little
traffic retry at all.
"""

import collections
import collections.abc
import dataclasses
import math

WINDOW_SECONDS = 10.0
ACCOUNT_RESERVE = 1.0
ROUTER_RESERVE = 5.0
ACCOUNTS_MOST = 4096


@dataclasses.dataclass
class Tally:
    """Recent successes and retries, fading over the window."""

    successes: float = 0.0
    retries: float = 0.0
    at: float = 0.0

    def fade(self, now: float) -> None:
        """Let what was counted fade up to `now`."""
        factor = math.exp(-max(0.0, now - self.at) / WINDOW_SECONDS)
        self.successes *= factor
        self.retries *= factor
        self.at = now

    def left(self, share: float, reserve: float) -> float:
        """Return how many retries are left."""
        return share * self.successes + reserve - self.retries


class RetryBudget:
    """Budgets of this router and of each account.

    Parameters
    ----------
    share : callable
        Returns the preset's share of successes, 0 to 1.
    clock : callable
        Seconds on a monotonic clock.
    """

    def __init__(
        self,
        share: collections.abc.Callable[[], float],
        clock: collections.abc.Callable[[], float],
    ):
        self.share = share
        self.clock = clock
        self.router = Tally()
        self.accounts: collections.OrderedDict[str, Tally] = (
            collections.OrderedDict()
        )

    def record_success(self, account: str) -> None:
        """Note that a request of `account` succeeded."""
        for tally in self._tallies(account):
            tally.successes += 1

    def may_retry(self, account: str) -> bool:
        """Take a retry out of the budget; return whether there was one."""
        share = self.share()
        own, router = self._tallies(account)
        if own.left(share, ACCOUNT_RESERVE) < 1:
            return False
        if router.left(share, ROUTER_RESERVE) < 1:
            return False
        own.retries += 1
        router.retries += 1
        return True

    def _tallies(self, account: str) -> tuple[Tally, Tally]:
        now = self.clock()
        own = self.accounts.get(account)
        if own is None:
            own = self.accounts[account] = Tally(at=now)
            if len(self.accounts) > ACCOUNTS_MOST:
                self.accounts.popitem(last=False)
        self.accounts.move_to_end(account)
        own.fade(now)
        self.router.fade(now)
        return own, self.router
