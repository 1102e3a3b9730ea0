"""Counts requests in progress, so that a stop cuts off none of them."""

import asyncio
import typing as t

BACKGROUND_MOST = 1000


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
        self._background: set[asyncio.Task] = set()
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

    def background(self, work: t.Coroutine) -> bool:
        """Do `work` beside the requests; a stop waits for it too.

        Returns
        -------
        bool
            Whether there was room for it; else it is not done.
        """
        if len(self._background) >= BACKGROUND_MOST:
            work.close()
            return False
        self.enter()
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._ended)
        return True

    def _ended(self, task: asyncio.Task) -> None:
        self._background.discard(task)
        self.leave()

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
