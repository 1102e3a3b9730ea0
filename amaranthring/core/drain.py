"""Tracks requests in flight for a graceful shutdown."""

import asyncio
import time
import typing as t

import logbook

from amaranthring.core import logs

log = logbook.Logger(__name__)

# Time for writing the answers of requests that are interrupted.
END_SECONDS = 0.5


class Drain:
    """Requests in flight and shutdown state of one router.

    Attributes
    ----------
    leaving : bool
        Whether callers are told to close their connections.
    closing : bool
        Whether new requests are refused.
    in_flight : int
        Number of requests in flight.
    last_request_at : float
        Monotonic seconds at which the latest request arrived.
    interrupts : set of callable
        Each answers one of the requests in flight at once.
    """

    def __init__(self):
        self.leaving = False
        self.closing = False
        self.in_flight = 0
        self.last_request_at = time.monotonic()
        self.interrupts: set[t.Callable[[], None]] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    def request_started(self, interrupt: t.Callable[[], None]) -> None:
        """Count a new request as in flight.

        Parameters
        ----------
        interrupt : callable
            Answers it at once that it is not finished.
        """
        self.in_flight += 1
        self.interrupts.add(interrupt)
        self.last_request_at = time.monotonic()
        self._idle.clear()

    def request_finished(self, interrupt: t.Callable[[], None]) -> None:
        """Count a request as finished."""
        self.in_flight -= 1
        self.interrupts.discard(interrupt)
        if not self.in_flight:
            self._idle.set()

    async def wait_for_quiet_period(
        self, seconds: float, timeout: float
    ) -> bool:
        """Tell callers to close; wait until no request came for `seconds`.

        Returns
        -------
        bool
            Whether that was reached within `timeout` seconds.
        """
        self.leaving = True
        started = time.monotonic()
        while True:
            now = time.monotonic()
            quiet_at = max(self.last_request_at, started) + seconds
            if quiet_at <= now:
                return True
            if started + timeout <= now:
                return False
            await asyncio.sleep(min(quiet_at, started + timeout) - now)

    def close(self) -> None:
        """Refuse new requests from now on."""
        self.leaving = True
        self.closing = True

    async def wait_idle(self, seconds: float) -> bool:
        """Wait until no request is in flight; return False on a timeout."""
        try:
            await asyncio.wait_for(self._idle.wait(), seconds)
        except TimeoutError:
            return False
        return True

    async def end_requests(self) -> None:
        """Answer what is still in flight; call when nothing waits longer.

        A request that is left to the exit of the process gets no answer, so
        its caller does not learn whether it ran.
        """
        if not self.interrupts:
            return
        logs.event(log, "requests.interrupted", running=len(self.interrupts))
        for interrupt in list(self.interrupts):
            interrupt()
        if not await self.wait_idle(END_SECONDS):
            logs.event(log, "requests.cut-off", running=self.in_flight)
