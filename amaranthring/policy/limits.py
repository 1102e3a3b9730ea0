"""Token buckets for the rate limits of client accounts."""

import dataclasses


@dataclasses.dataclass
class Bucket:
    """Token bucket whose rate may be changed at any time.

    Attributes
    ----------
    tokens : float
        Tokens available.
    refilled_at : float
        Time of the last refill, in seconds.
    """

    tokens: float
    refilled_at: float

    def refill(self, rate: float, burst: float, now: float) -> None:
        """Add the tokens accrued since the last refill.

        Parameters
        ----------
        rate : float
            Tokens per second.
        burst : float
            Capacity of the bucket.
        now : float
            Seconds on a monotonic clock.
        """
        accrued = max(0.0, now - self.refilled_at) * rate
        self.tokens = min(burst, self.tokens + accrued)
        self.refilled_at = now

    def take(self, wanted: int) -> int:
        """Take up to `wanted` whole tokens; return how many."""
        taken = max(0, min(wanted, int(self.tokens + 1e-9)))
        self.tokens -= taken
        return taken

    def until_next(self, rate: float) -> float:
        """Return the seconds until a whole token is available."""
        return max(0.0, 1 - self.tokens) / rate


def rate_share(live: int, configured: int) -> float:
    """Return the share of an account's rate that its owner may grant.

    With more than half of the configured routers live it is the full rate.
    Otherwise the network may be partitioned and the rate is divided, so that
    all partitions together stay below one and a half times the rate.
    """
    if configured <= 0 or 2 * live > configured:
        return 1.0
    return live / configured
