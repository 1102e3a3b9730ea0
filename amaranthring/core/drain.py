"""Counts requests in progress, so that a stop cuts off none of them."""

import asyncio
import time


class Drain:
    """Requests in progress of one router.

    Attributes
    ----------
    leaving : bool
        Whether callers are told to close their connections.
    closing : bool
        Whether new requests are refused.
    running : int
        Requests in progress.
    entered_at : float
        Monotonic seconds at which the last request came.
    """

    def __init__(self):
        self.leaving = False
        self.closing = False
        self.in_flight = 0
        self.last_request_at = time.monotonic()
        self._idle = asyncio.Event()
        self._idle.set()

    def request_started(self) -> None:
        """Count a request in."""
        self.in_flight += 1
        self.last_request_at = time.monotonic()
        self._idle.clear()

    def request_finished(self) -> None:
        """Count a request out."""
        self.in_flight -= 1
        if not self.in_flight:
            self._idle.set()

    async def wait_for_quiet_period(self, seconds: float, most: float) -> bool:
        """Tell callers to close; wait until none has come for `seconds`.

        Returns
        -------
        bool
            Whether that was reached within `most` seconds.
        """
        self.leaving = True
        began = time.monotonic()
        while True:
            now = time.monotonic()
            quiet_at = max(self.last_request_at, began) + seconds
            if quiet_at <= now:
                return True
            if began + most <= now:
                return False
            await asyncio.sleep(min(quiet_at, began + most) - now)

    def close(self) -> None:
        """Refuse new requests from now on."""
        self.leaving = True
        self.closing = True

    async def wait_idle(self, seconds: float) -> bool:
        """Wait until none is in progress; return whether that was reached."""
        try:
            await asyncio.wait_for(self._idle.wait(), seconds)
        except TimeoutError:
            return False
        return True
