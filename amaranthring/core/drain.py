"""Tracks requests in flight for a graceful shutdown."""

import asyncio
import time


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
    """

    def __init__(self):
        self.leaving = False
        self.closing = False
        self.in_flight = 0
        self.last_request_at = time.monotonic()
        self._idle = asyncio.Event()
        self._idle.set()

    def request_started(self) -> None:
        """Count a new request as in flight."""
        self.in_flight += 1
        self.last_request_at = time.monotonic()
        self._idle.clear()

    def request_finished(self) -> None:
        """Count a request as finished."""
        self.in_flight -= 1
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
