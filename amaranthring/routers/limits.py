"""Rates of client accounts over the whole fleet.

Each account has an owner, by rendezvous over live routers, with its token
bucket. A router takes tokens in batches for about a second of what it sees
of the account: at most one call is on its way per account, and an account
without a rate costs nothing. When the owner is silent, a router lets through
its own fraction of the rate.
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

ASK_SECONDS = 0.3
SILENT_SECONDS = 1.0
LEASE_SECONDS = 2.0
PAUSE_SECONDS = 0.25
RATE_SECONDS = 1.0
ACCOUNTS_MOST = 4096
OWNED_MOST = 16384


@dataclasses.dataclass
class Leased:
    """What this router holds of one account's rate.

    Attributes
    ----------
    tokens : int
        Tokens left.
    expires : float
        When they are worth nothing any more.
    closed_until : float
        No asking before; the owner had none.
    seen : float
        Requests seen lately, fading over :data:`RATE_SECONDS`.
    seen_at : float
        When `seen` was worked out.
    asking : Task, optional
        The call on its way; requests share it.
    own : Bucket, optional
        Fraction used while the owner is silent.
    """

    tokens: int = 0
    expires: float = 0.0
    closed_until: float = 0.0
    seen: float = 0.0
    seen_at: float = 0.0
    asking: asyncio.Task | None = None
    own: limits.Bucket | None = None

    def take(self, now: float) -> bool:
        """Take one token if there is one."""
        if self.tokens < 1 or now >= self.expires:
            return False
        self.tokens -= 1
        return True

    def note(self, now: float) -> None:
        """Count one request."""
        fade = math.exp(-(now - self.seen_at) / RATE_SECONDS)
        self.seen = self.seen * fade + 1
        self.seen_at = now


class AccountLimits:
    """Rates of all accounts, as seen and as owned by this router.

    Parameters
    ----------
    name : str
        This router.
    mesh : object
        Links to the other routers.
    config : callable
        Returns the revision in force.
    configured : callable
        Returns how many routers the fleet has by its settings.
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
        self.leased: collections.OrderedDict[str, Leased] = (
            collections.OrderedDict()
        )
        self.owned: collections.OrderedDict[str, limits.Bucket] = (
            collections.OrderedDict()
        )
        self.owners: dict[str, str] = {}
        self.silent: dict[str, float] = {}
        mesh.subscribe(self.routers_changed)

    def add_handlers(self, handlers) -> None:
        """Answer this module's messages from `handlers`."""
        handlers.add(messages.TokenRequest, self.on_ask)

    async def check_limits(self, request: records.Request) -> None:
        """Let `request` pass or refuse it by its account's rate.

        Raises
        ------
        errors.RateLimitedError
            With ``retry_after``.
        """
        policy = self.config().preset.account_policy(request.account)
        if policy.rate_per_second <= 0:
            return
        now = self.clock()
        leased = self._leased(request.account)
        leased.note(now)
        if leased.take(now):
            return
        if now >= leased.closed_until:
            await self._refill(request.account, leased)
            if leased.take(self.clock()):
                return
        self.metrics.count("limits.refused")
        left = max(leased.closed_until - self.clock(), 0.0)
        raise errors.RateLimitedError(
            f"account {request.account} is above its rate",
            given="one request more",
            expected=f"at most {policy.rate_per_second:g} a second",
            retry_after=max(left, 1 / policy.rate_per_second),
        )

    def on_ask(self, _link, ask: messages.TokenRequest) -> messages.TokenGrant:
        """Give tokens of an account that this router owns."""
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
        """Forget who owned what."""
        self.owners.clear()
        self.silent.clear()

    async def _refill(self, account: str, leased: Leased) -> None:
        if leased.asking is None:
            leased.asking = asyncio.ensure_future(self._ask(account, leased))
        # Shielded: one caller that leaves must not fail the others.
        await asyncio.shield(leased.asking)

    async def _ask(self, account: str, leased: Leased) -> None:
        wanted = max(1, math.ceil(leased.seen))
        try:
            given = await self._answer(account, leased, wanted)
        finally:
            leased.asking = None
        now = self.clock()
        if now >= leased.expires:
            leased.tokens = 0
        leased.tokens += given.tokens
        leased.expires = now + given.seconds
        if given.tokens < wanted:
            # Above its rate an account would cost a call per request.
            wait = max(given.retry_after, PAUSE_SECONDS)
            leased.closed_until = now + wait

    async def _answer(self, account, leased, wanted) -> messages.TokenGrant:
        ask = messages.TokenRequest(account, self.name, wanted)
        owner = self._owner(account)
        self.metrics.count("limits.asked")
        if owner == self.name:
            return self.on_ask(None, ask)
        if self.silent.get(owner, 0.0) <= self.clock():
            try:
                return await self.mesh.call(owner, ask, ASK_SECONDS)
            except errors.AmaranthringError:
                self.metrics.count("limits.owner-silent")
                self.silent[owner] = self.clock() + SILENT_SECONDS
        return self._own_fraction(account, leased, wanted)

    def _own_fraction(self, account, leased, wanted) -> messages.TokenGrant:
        policy = self.config().preset.account_policy(account)
        routers = max(len(self.mesh.live()), self.configured(), 1)
        rate = policy.rate_per_second / routers
        burst = max(1.0, policy.burst / routers)
        now = self.clock()
        if leased.own is None:
            leased.own = limits.Bucket(burst, now)
        leased.own.refill(rate, burst, now)
        tokens = leased.own.take(wanted)
        wait = 0.0 if tokens else leased.own.until_next(rate)
        return messages.TokenGrant(tokens, LEASE_SECONDS, wait)

    def _owner(self, account: str) -> str:
        owner = self.owners.get(account)
        if owner is None:
            live = self.mesh.live()
            owner = hashing.first(f"account {account}", live) or self.name
            if len(self.owners) >= ACCOUNTS_MOST:
                self.owners.clear()
            self.owners[account] = owner
        return owner

    def _leased(self, account: str) -> Leased:
        leased = self.leased.get(account)
        if leased is None:
            leased = self.leased[account] = Leased()
            if len(self.leased) > ACCOUNTS_MOST:
                self.leased.popitem(last=False)
        self.leased.move_to_end(account)
        return leased

    def _bucket(self, account: str, policy) -> limits.Bucket:
        bucket = self.owned.get(account)
        if bucket is None:
            # A new owner does not know what its predecessor gave out: it
            # starts with a second's worth and not with the whole burst.
            start = min(policy.burst, policy.rate_per_second)
            bucket = limits.Bucket(max(1.0, start), self.clock())
            self.owned[account] = bucket
            if len(self.owned) > OWNED_MOST:
                self.owned.popitem(last=False)
        self.owned.move_to_end(account)
        return bucket
