"""Memory of this process for answers that are held until they are whole.

An answer is forwarded once it is whole, so that a broken one can be repeated.
Many answers at once share one limit: each bounded by itself, they could fill
the memory of a small VM together.
"""

import asyncio
import collections
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import logs

log = logbook.Logger(__name__)

MAX_BYTES = 32 * 1024 * 1024
# Share of a process's memory for answers, if that is less: what is sent is
# copied once behind its head.
MEMORY_SHARE = 1 / 6
# The first bytes of each answer are not counted, so that small ones never
# wait for large ones; the limits on requests in flight bound them.
FREE_BYTES = 64 * 1024

Abort = t.Callable[[errors.AmaranthringError], None]


class AnswerMemory:
    """Limit on the bytes of all answers that are held.

    Answers of known length wait until they fit. Those of unknown length take
    memory as they grow, and the largest one is given up when it runs out, or
    when the next one that waits then fits: it is the most likely to have no
    end.

    Attributes
    ----------
    used : int
        Bytes that are taken, without the free ones of each answer.
    growing : set of AnswerShare
        Answers of unknown length.
    """

    def __init__(self, most: int = MAX_BYTES):
        self.most = most
        self.used = 0
        self.growing: set[AnswerShare] = set()
        self.waiting: collections.deque[tuple[asyncio.Future, int]] = (
            collections.deque()
        )

    def share(self, abort: Abort) -> "AnswerShare":
        """Return the share of a new answer.

        Parameters
        ----------
        abort : callable
            Gives the answer up with an error.
        """
        return AnswerShare(self, abort)

    def give_up_largest(self) -> bool:
        """Give up the largest growing answer; return whether there is one."""
        largest = max(
            self.growing, key=lambda share: share.counted, default=None
        )
        if largest is None or not largest.counted:
            return False
        logs.event(
            log,
            "answer.given-up",
            bytes=largest.size,
            used=self.used,
            answers=len(self.growing),
        )
        largest.give_back()
        largest.abort(
            errors.UpstreamError(
                "the answer has no length, and no memory is left for it",
                given=f"{largest.size} bytes",
                expected="a length, or a shorter answer",
            )
        )
        return True

    def wake_waiting(self) -> None:
        """Let answers go on that fit now, in the order of their arrival."""
        while self.waiting:
            future, size = self.waiting[0]
            if not future.done():
                if not self._make_room(size):
                    return
                self.used += size
                future.set_result(None)
            self.waiting.popleft()

    def _make_room(self, size: int) -> bool:
        """Return whether `size` bytes fit, and give growing answers up for it.

        None is given up if the others alone leave too little.
        """
        growing = sum(share.counted for share in self.growing)
        kept = self.used - growing
        if kept and kept + size > self.most:
            return False
        while self.used and self.used + size > self.most:
            if not self.give_up_largest():
                break
        return True


def for_process(memory: float) -> AnswerMemory:
    """Return the limit of a process that may use `memory` bytes, or 0."""
    return AnswerMemory(
        int(min(MAX_BYTES, memory * MEMORY_SHARE or MAX_BYTES))
    )


class AnswerShare:
    """What one answer takes.

    Attributes
    ----------
    size : int
        Bytes of the answer so far, or its known length.
    counted : int
        Bytes that it takes of the limit.
    """

    def __init__(self, memory: AnswerMemory, abort: Abort):
        self.memory = memory
        self.abort = abort
        self.size = 0
        self.counted = 0

    async def reserve(self, size: int) -> None:
        """Take memory for an answer of known length, once there is some."""
        self.size = size
        counted = max(0, size - FREE_BYTES)
        if not counted:
            return
        memory = self.memory
        future = asyncio.get_running_loop().create_future()
        memory.waiting.append((future, counted))
        memory.wake_waiting()
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.counted = counted
                self.release()
            else:
                # Those behind it may be smaller.
                memory.wake_waiting()
            raise
        self.counted = counted

    def grow(self, size: int) -> None:
        """Take memory for `size` more bytes of an answer of unknown length."""
        self.hold(self.size + size)

    def hold(self, size: int) -> None:
        """Take memory for `size` bytes in all, of unknown length."""
        self.size = size
        counted = max(0, size - FREE_BYTES)
        if counted == self.counted:
            return
        memory = self.memory
        memory.growing.add(self)
        memory.used += counted - self.counted
        self.counted = counted
        if memory.used > memory.most:
            memory.give_up_largest()
            memory.wake_waiting()

    def release(self) -> None:
        """Give back what the answer takes, to those that wait."""
        self.give_back()
        self.memory.wake_waiting()

    def give_back(self) -> None:
        """Give back what the answer takes."""
        memory = self.memory
        memory.growing.discard(self)
        memory.used -= self.counted
        self.counted = 0
