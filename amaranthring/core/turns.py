"""Turns of the event loop, divided among connections by work.

tornado handles all that has arrived on a connection in one turn, up to a
bound of its own for each. With many connections, whose bytes come in the
smallest pieces, one turn would last for seconds.
"""

import asyncio
import collections

__all__ = ["FIRST_STEPS", "STEPS", "Turns"]

# Steps that a request has before it waits, so that ordinary ones never do.
FIRST_STEPS = 16
# Steps that it has each time that it has waited.
STEPS = 64
# How many connections go on with their steps in one turn.
GRANTS = 4


class Turns:
    """Lets a few connections go on in each turn, in the order they came.

    Attributes
    ----------
    waiting : deque of asyncio.Future
        One for each connection that has used up its steps.
    """

    def __init__(self):
        self.waiting: collections.deque[asyncio.Future] = collections.deque()

    def ask(self) -> asyncio.Future:
        """Ask for a turn, in which to do :data:`STEPS` steps.

        Returns
        -------
        asyncio.Future
            Has a result once it is the turn. Whoever no longer waits sets
            the result.
        """
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        if not self.waiting:
            loop.call_soon(self._grant)
        self.waiting.append(turn)
        return turn

    def _grant(self) -> None:
        granted = 0
        while self.waiting and granted < GRANTS:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                granted += 1
        if self.waiting:
            asyncio.get_running_loop().call_soon(self._grant)
