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
# Bytes of a turn where two kinds of urgent data share; a piece of a snapshot.
TURN_BYTES = 32 * 1024
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

    Attributes
    ----------
    urgent_waiters : int
        Callers of `acquire_urgent` that wait.
    urgent_lead : float
        Bytes granted to callers of `acquire_urgent` beyond those granted by
        `reserve`, bounded.
    polled_until : float
        Time until which a caller of `reserve` is expected again.
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
        self.urgent_waiters = 0
        self.urgent_lead = 0.0
        self.reserved_until = self.polled_until = float("-inf")
        self._balance = self.rate * BURST_SECONDS
        self._seen_total = self._total()
        self._updated_at = clock()

    def available(self) -> float:
        """Return how many bytes may be sent now; 0 while others wait."""
        return 0.0 if self.waiters else max(0.0, self._update())

    def reserve(self, size: int = TURN_BYTES) -> float:
        """Return how many bytes may be sent now, ahead of all waiters.

        If there are none, waiters are held back until the caller has had time
        to retry. Otherwise a caller that polls would starve, as waiters would
        use the budget between its polls. While callers of `acquire_urgent`
        wait, both kinds share, and a turn here is at least `TURN_BYTES`.

        Parameters
        ----------
        size : int
            Bytes that the caller sends if its turn allows.
        """
        balance = max(0.0, self._update())
        contended = self.urgent_waiters > 0
        self.polled_until = self._updated_at + RESERVE_SECONDS
        if not balance or (contended and self.urgent_lead <= 0):
            self._hold_back()
            return 0.0
        # A small size counts as a whole turn: a caller with little to send
        # would otherwise hold back urgent data for many polls.
        self._shift_lead(-max(size, TURN_BYTES))
        return max(balance, TURN_BYTES) if contended else balance

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

    async def acquire_urgent(self, size: int = TURN_BYTES) -> None:
        """Wait until bulk data may be sent, ahead of callers of `acquire`.

        For bulk data that the quorum may need. Otherwise as :meth:`acquire`;
        the others are held back only while a caller waits here. Callers of
        `reserve` get as many bytes.

        Parameters
        ----------
        size : int
            Bytes that the caller sends.
        """
        self.urgent_waiters += 1
        try:
            async with self.urgent_lock:
                while (delay := self._urgent_delay()) > 0:  # noqa: ASYNC110
                    # Renews the reservation before it ends.
                    await asyncio.sleep(min(delay, RESERVE_SECONDS / 2))
                self._shift_lead(size)
        finally:
            self.urgent_waiters -= 1

    def _urgent_delay(self) -> float:
        delay = self._refill_delay() if self._update() <= 0 else 0.0
        if self.urgent_lead > 0:
            delay = max(delay, self.polled_until - self._updated_at)
        if delay > 0:
            self._hold_back()
        return delay

    def _hold_back(self) -> None:
        self.reserved_until = self._updated_at + RESERVE_SECONDS

    def _shift_lead(self, size: int) -> None:
        # Bounded, so that what one kind sent while the other had nothing to
        # send does not count for long. A single entry counts in full, however
        # large it is.
        lead = self.urgent_lead + size
        least = min(size, -self.rate * MAX_DEBT_SECONDS, self.urgent_lead)
        self.urgent_lead = min(max(least, lead), TURN_BYTES)

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
