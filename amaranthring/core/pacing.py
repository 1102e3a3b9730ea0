"""Keeps bulk from filling a link that also carries what cannot wait.

What a process tells all who link to it grows with their number; heartbeats
and votes on the same link do not, and they are late when bulk queues before
them. A :class:`Pacer` leaves bulk what the rest of the traffic does not use
of a share of the link.
"""

import asyncio
import collections.abc
import typing as t

# Of the link, to all traffic that is counted. The rest is for headers,
# handshakes and answers to those who ask.
LINK_SHARE = 0.5
# Bulk that was held back may come at once up to so much time's worth: it
# queues for half of that before a heartbeat, and two keepers' queues together
# stay below an election time (0.45 s).
BURST_SECONDS = 0.2
# Debt beyond this is forgotten, so that bulk never waits longer for the
# traffic of a burst that is over.
MAX_DEBT_SECONDS = 1.0
# A claim lasts for one and a half of the heartbeats (0.1 s) at which whoever
# claims looks again.
RESERVE_SECONDS = 0.15
# Where nobody said what the link carries: 6 Mbit/s, the thinnest known.
DEFAULT_LINK_RATE = 0.75e6


class Pacer:
    """Says how many bytes of bulk may go now.

    Parameters
    ----------
    sent : Counter
        Bytes sent so far, by kind; all of them count.
    clock : callable
        Seconds.
    link_rate : float
        Bytes a second that the link carries; 0 if not told.
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
        self.waiters = 0
        self.reserved_until = float("-inf")
        self._room = self.rate * BURST_SECONDS
        self._seen = self._total()
        self._at = clock()

    def available(self) -> float:
        """Return how many bytes may go now; none while others wait."""
        return 0.0 if self.waiters else max(0.0, self._update())

    def reserve(self) -> float:
        """Return how many bytes may go now, before those who wait.

        If none, nobody else gets a turn for a moment, in which the caller
        asks again: one that looks only now and then would never find room
        while others wait for it.
        """
        room = max(0.0, self._update())
        if not room:
            self.reserved_until = self._at + RESERVE_SECONDS
        return room

    async def acquire(self) -> None:
        """Return once something may go, to one caller after the other.

        The caller sends before it next awaits. What goes may be larger than
        the room: the next one waits the longer.
        """
        self.waiters += 1
        try:
            async with self.lock:
                while (wait := self._wait()) > 0:  # noqa: ASYNC110
                    await asyncio.sleep(wait)
        finally:
            self.waiters -= 1

    def _wait(self) -> float:
        room = self._update()
        claimed = self.reserved_until - self._at
        return max(claimed, (1.0 - room) / self.rate if room <= 0 else 0.0)

    def _update(self) -> float:
        now, total = self.clock(), self._total()
        room = self._room + (now - self._at) * self.rate
        room = min(room, self.rate * BURST_SECONDS) - (total - self._seen)
        self._room = max(room, -self.rate * MAX_DEBT_SECONDS)
        self._at, self._seen = now, total
        return self._room

    def _total(self) -> int:
        return sum(self.sent.values())
