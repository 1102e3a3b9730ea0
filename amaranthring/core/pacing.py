"""Rate limit for bulk data on a network link shared with urgent traffic.

Bulk data that a process sends to all its peers grows with their number and
would delay heartbeats and votes queued behind it. A :class:`Pacer` grants bulk
data what other traffic leaves unused of a share of the link.
"""

import asyncio
import collections.abc
import typing as t

# Share of the link for all counted traffic; the rest is for headers,
# handshakes and replies.
LINK_SHARE = 0.5
# Largest burst, as time at the limited rate. One burst delays a heartbeat by
# half of this; two stay below the election timeout (0.45 s).
BURST_SECONDS = 0.2
# Caps the debt, so that bulk data waits no longer than this after a burst of
# other traffic.
MAX_DEBT_SECONDS = 1.0
# Exceeds the heartbeat interval (0.1 s), at which the caller retries.
RESERVE_SECONDS = 0.15
# Bytes a second if the rate is not given: 6 Mbit/s.
DEFAULT_LINK_RATE = 0.75e6


class Pacer:
    """Token bucket for bulk data that also debits all other traffic.

    Parameters
    ----------
    sent : Counter
        Bytes sent so far by message tag; all of them are debited.
    clock : callable
        Returns seconds.
    link_rate : float
        Bytes a second that the link carries; 0 if unknown.
    """

    def __init__(
        self,
        sent: collections.abc.Mapping[str, int],
        clock: t.Callable[[], float],
        link_rate: float = 0.0,
    ):
        self.sent = sent
        self.clock = clock
        self.rate = LINK_SHARE * (link_rate or DEFAULT_LINK_RATE)
        self.lock = asyncio.Lock()
        self.urgent_lock = asyncio.Lock()
        self.waiters = 0
        self.reserved_until = float("-inf")
        self._balance = self.rate * BURST_SECONDS
        self._seen_total = self._total()
        self._updated_at = clock()

    def available(self) -> float:
        """Return how many bytes may be sent now; 0 while others wait."""
        return 0.0 if self.waiters else max(0.0, self._update())

    def reserve(self) -> float:
        """Return how many bytes may be sent now, ahead of all waiters.

        If there are none, waiters are held back until the caller has had time
        to retry. Otherwise a caller that polls would starve, as waiters would
        use the budget between its polls.
        """
        balance = max(0.0, self._update())
        if not balance:
            self.reserved_until = self._updated_at + RESERVE_SECONDS
        return balance

    async def acquire(self) -> None:
        """Wait until bulk data may be sent; callers are served in order.

        The caller must send before it next awaits. It may exceed the available
        bytes, for which the next caller waits longer.
        """
        self.waiters += 1
        try:
            async with self.lock:
                while (delay := self._delay()) > 0:  # noqa: ASYNC110
                    await asyncio.sleep(delay)
        finally:
            self.waiters -= 1

    async def acquire_urgent(self) -> None:
        """Wait until bulk data may be sent, ahead of callers of `acquire`.

        For bulk data that the quorum may need. Otherwise as :meth:`acquire`;
        the others are held back only while a caller waits here.
        """
        async with self.urgent_lock:
            while not self.reserve():
                # Renews the reservation before it ends.
                delay = min(self._refill_delay(), RESERVE_SECONDS / 2)
                await asyncio.sleep(delay)

    def _refill_delay(self) -> float:
        return (1.0 - self._balance) / self.rate

    def _delay(self) -> float:
        balance = self._update()
        reserved = self.reserved_until - self._updated_at
        return max(reserved, self._refill_delay() if balance <= 0 else 0.0)

    def _update(self) -> float:
        now, total = self.clock(), self._total()
        balance = self._balance + (now - self._updated_at) * self.rate
        balance = min(balance, self.rate * BURST_SECONDS) - (
            total - self._seen_total
        )
        self._balance = max(balance, -self.rate * MAX_DEBT_SECONDS)
        self._updated_at, self._seen_total = now, total
        return self._balance

    def _total(self) -> int:
        return sum(self.sent.values())
