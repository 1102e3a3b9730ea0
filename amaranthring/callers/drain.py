"""Counts requests in progress, so that a stop cuts off none of them."""

import asyncio


class Drain:
    """Requests in progress of one router.

    Attributes
    ----------
    closing : bool
        Whether new requests are refused.
    running : int
        Requests in progress.
    """

    def __init__(self):
        self.closing = False
        self.running = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def enter(self) -> None:
        """Count a request in."""
        self.running += 1
        self._idle.clear()

    def leave(self) -> None:
        """Count a request out."""
        self.running -= 1
        if not self.running:
            self._idle.set()

    def close(self) -> None:
        """Refuse new requests from now on."""
        self.closing = True

    async def wait_idle(self, seconds: float) -> bool:
        """Wait until none is in progress; return whether that was reached."""
        try:
            await asyncio.wait_for(self._idle.wait(), seconds)
        except TimeoutError:
            return False
        return True
