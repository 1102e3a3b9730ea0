"""Rate limits of client accounts across the fleet.

Rendezvous hashing over the live routers assigns each account an owner, which
keeps its token bucket. A router leases tokens in batches for about one
second of its traffic, with at most one call in flight per account. When the
owner does not answer, a router allows its own fraction of the rate.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import math
import time

from amaranthring import errors
from amaranthring.core import fleet
from amaranthring.core import hashing
from amaranthring.core import metrics as counters
from amaranthring.core import records
from amaranthring.policy import limits
from amaranthring.routers import admission_messages as messages

ASK_TIMEOUT_SECONDS = 0.3
BACKOFF_SECONDS = 1.0
LEASE_SECONDS = 2.0
PAUSE_SECONDS = 0.25
DECAY_SECONDS = 1.0
MAX_ACCOUNTS = 4096
MAX_BUCKETS = 16384


@dataclasses.dataclass
class TokenLease:
    """Rate-limit tokens that this router holds for one account.

    Attributes
    ----------
    tokens : int
        Tokens left.
    expires : float
        When the tokens expire.
    retry_at : float
        Earliest time to ask again after the owner had too few tokens.
    recent_requests : float
        Request count that decays over :data:`DECAY_SECONDS`.
    updated_at : float
        When `recent_requests` was last updated.
    pending_refill : Task, optional
        Call in flight, shared by all waiting requests.
    fallback_bucket : Bucket, optional
        This router's fraction, used while the owner does not answer.
    """

    tokens: int = 0
    expires: float = 0.0
    retry_at: float = 0.0
    recent_requests: float = 0.0
    updated_at: float = 0.0
    pending_refill: asyncio.Task | None = None
    fallback_bucket: limits.Bucket | None = None

    def take(self, now: float) -> bool:
        """Take one token; return whether one was left."""
        if self.tokens < 1 or now >= self.expires:
            return False
        self.tokens -= 1
        return True

    def count_request(self, now: float) -> None:
        """Add one request to the decaying count."""
        decay = math.exp(-(now - self.updated_at) / DECAY_SECONDS)
        self.recent_requests = self.recent_requests * decay + 1
        self.updated_at = now


class AccountLimits:
    """Rate limits of all accounts: leased tokens and owned buckets.

    Parameters
    ----------
    name : str
        This router.
    mesh : object
        Links to the other routers.
    config : callable
        Returns the active configuration revision.
    configured : callable
        Returns the number of routers in the settings.
    """

    def __init__(
        self,
        name: str,
        mesh,
        config: collections.abc.Callable[[], fleet.FleetConfig],
        configured: collections.abc.Callable[[], int],
        metrics: counters.Metrics | None = None,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ):
        self.name = name
        self.mesh = mesh
        self.config = config
        self.configured = configured
        self.metrics = metrics or counters.Metrics()
        self.clock = clock
        self.leases: collections.OrderedDict[str, TokenLease] = (
            collections.OrderedDict()
        )
        self.buckets: collections.OrderedDict[str, limits.Bucket] = (
            collections.OrderedDict()
        )
        self.owners: dict[str, str] = {}
        self.backoff_until: dict[str, float] = {}
        mesh.subscribe(self.routers_changed)

    def add_handlers(self, handlers) -> None:
        """Register this module's message handlers."""
        handlers.add(messages.TokenRequest, self.on_ask)

    async def check_limits(self, request: records.Request) -> None:
        """Refuse `request` if its account is above its rate.

        Raises
        ------
        errors.RateLimitedError
            With ``retry_after``.
        """
        policy = self.config().preset.account_policy(request.account)
        if policy.rate_per_second <= 0:
            return
        now = self.clock()
        lease = self._lease(request.account)
        lease.count_request(now)
        if lease.take(now):
            return
        if now >= lease.retry_at:
            await self._refill(request.account, lease)
            if lease.take(self.clock()):
                return
        self.metrics.count("limits.refused")
        left = max(lease.retry_at - self.clock(), 0.0)
        raise errors.RateLimitedError(
            f"account {request.account} is above its rate",
            given="one request more",
            expected=f"at most {policy.rate_per_second:g} a second",
            retry_after=max(left, 1 / policy.rate_per_second),
        )

    def on_ask(self, _link, ask: messages.TokenRequest) -> messages.TokenGrant:
        """Grant tokens from the bucket of an account that this router owns."""
        policy = self.config().preset.account_policy(ask.account)
        rate = policy.rate_per_second
        if rate <= 0:
            return messages.TokenGrant(ask.wanted, LEASE_SECONDS)
        share = limits.rate_share(len(self.mesh.live()), self.configured())
        bucket = self._bucket(ask.account, policy)
        burst = max(1.0, policy.burst * share)
        bucket.refill(rate * share, burst, self.clock())
        tokens = bucket.take(min(ask.wanted, math.ceil(burst)))
        wait = 0.0 if tokens else bucket.until_next(rate * share)
        return messages.TokenGrant(tokens, LEASE_SECONDS, wait)

    def routers_changed(self) -> None:
        """Clear the cached owners."""
        self.owners.clear()
        self.backoff_until.clear()

    async def _refill(self, account: str, lease: TokenLease) -> None:
        if lease.pending_refill is None:
            lease.pending_refill = asyncio.ensure_future(
                self._run_refill(account, lease)
            )
        # Shielded: a cancelled caller must not fail the others.
        await asyncio.shield(lease.pending_refill)

    async def _run_refill(self, account: str, lease: TokenLease) -> None:
        wanted = max(1, math.ceil(lease.recent_requests))
        try:
            granted = await self._request_tokens(account, lease, wanted)
        finally:
            lease.pending_refill = None
        now = self.clock()
        if now >= lease.expires:
            lease.tokens = 0
        lease.tokens += granted.tokens
        lease.expires = now + granted.seconds
        if granted.tokens < wanted:
            # Without the pause, an account above its rate would cost one
            # call per request.
            wait = max(granted.retry_after, PAUSE_SECONDS)
            lease.retry_at = now + wait

    async def _request_tokens(
        self, account, lease, wanted
    ) -> messages.TokenGrant:
        ask = messages.TokenRequest(account, self.name, wanted)
        owner = self._owner(account)
        self.metrics.count("limits.asked")
        if owner == self.name:
            return self.on_ask(None, ask)
        if self.backoff_until.get(owner, 0.0) <= self.clock():
            try:
                return await self.mesh.call(owner, ask, ASK_TIMEOUT_SECONDS)
            except errors.AmaranthringError:
                self.metrics.count("limits.owner-silent")
                self.backoff_until[owner] = self.clock() + BACKOFF_SECONDS
        return self._take_fallback(account, lease, wanted)

    def _take_fallback(self, account, lease, wanted) -> messages.TokenGrant:
        policy = self.config().preset.account_policy(account)
        routers = max(len(self.mesh.live()), self.configured(), 1)
        rate = policy.rate_per_second / routers
        burst = max(1.0, policy.burst / routers)
        now = self.clock()
        if lease.fallback_bucket is None:
            lease.fallback_bucket = limits.Bucket(burst, now)
        lease.fallback_bucket.refill(rate, burst, now)
        tokens = lease.fallback_bucket.take(wanted)
        wait = 0.0 if tokens else lease.fallback_bucket.until_next(rate)
        return messages.TokenGrant(tokens, LEASE_SECONDS, wait)

    def _owner(self, account: str) -> str:
        owner = self.owners.get(account)
        if owner is None:
            live = self.mesh.live()
            owner = hashing.first(f"account {account}", live) or self.name
            if len(self.owners) >= MAX_ACCOUNTS:
                self.owners.clear()
            self.owners[account] = owner
        return owner

    def _lease(self, account: str) -> TokenLease:
        lease = self.leases.get(account)
        if lease is None:
            lease = self.leases[account] = TokenLease()
            if len(self.leases) > MAX_ACCOUNTS:
                self.leases.popitem(last=False)
        self.leases.move_to_end(account)
        return lease

    def _bucket(self, account: str, policy) -> limits.Bucket:
        bucket = self.buckets.get(account)
        if bucket is None:
            # A new owner does not know what its predecessor granted: start
            # with one second of the rate, not with the whole burst.
            start = min(policy.burst, policy.rate_per_second)
            bucket = limits.Bucket(max(1.0, start), self.clock())
            self.buckets[account] = bucket
            if len(self.buckets) > MAX_BUCKETS:
                self.buckets.popitem(last=False)
        self.buckets.move_to_end(account)
        return bucket
