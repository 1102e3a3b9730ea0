"""Token buckets for the rates of client accounts."""

import dataclasses


@dataclasses.dataclass
class Bucket:
    """Token bucket whose rate may be changed at any time.

    Attributes
    ----------
    tokens : float
        Tokens that are there.
    filled : float
        When they were last worked out, in seconds.
    """

    tokens: float
    refilled_at: float

    def refill(self, rate: float, burst: float, now: float) -> None:
        """Add what came in since the last time.

        Parameters
        ----------
        rate : float
            Tokens a second.
        burst : float
            Most tokens that may gather.
        now : float
            Seconds on any steady clock.
        """
        gained = max(0.0, now - self.refilled_at) * rate
        self.tokens = min(burst, self.tokens + gained)
        self.refilled_at = now

    def take(self, wanted: int) -> int:
        """Take up to `wanted` whole tokens and return how many."""
        taken = max(0, min(wanted, int(self.tokens + 1e-9)))
        self.tokens -= taken
        return taken

    def until_next(self, rate: float) -> float:
        """Return seconds until a whole token is there."""
        return max(0.0, 1 - self.tokens) / rate


def rate_share(live: int, configured: int) -> float:
    """Return the part of an account's rate that this side may give.

    With more than half of the routers in sight it is the whole rate;
    otherwise the fleet may be cut and the rate is split, so that all sides
    together stay below one and a half times the rate.
    """
    if configured <= 0 or 2 * live > configured:
        return 1.0
    return live / configured
