"""Settling claims whose fate the ledger could not be told at once.

A router that was cut off while it asked for a claim gives its caller an
answer and sends nothing. But its command may reach the keepers when the
network heals: then the claim is held by an attempt that has ended, and every
resend would be told ``unknown`` for good, though nothing ran. So what this
router knows about its own attempts is repeated until the ledger has it.
"""

import asyncio
import collections
import typing as t

from amaranthring import errors
from amaranthring.core import metrics as figures
from amaranthring.core import records

MAX_PENDING = 10_000
RETRY_INTERVAL_SECONDS = 0.5
BATCH_SIZE = 50

Settle = t.Callable[
    [records.Request, str, errors.Outcome, records.StoredAnswer | None],
    t.Awaitable[None],
]


class Settlements:
    """What is still to be told to the ledger, oldest first.

    Parameters
    ----------
    settle : callable
        Tells the ledger; raises while it cannot be reached.
    metrics : Metrics
        Counters.

    Attributes
    ----------
    pending : OrderedDict
        Attempt to what is to be told. Bounded: what does not fit stays
        ``unknown``, which is safe.
    """

    def __init__(self, settle: Settle, metrics: figures.Metrics):
        self.settle = settle
        self.metrics = metrics
        self.pending: collections.OrderedDict[str, tuple] = (
            collections.OrderedDict()
        )
        self.task: asyncio.Task | None = None

    def add(
        self,
        request: records.Request,
        attempt: str,
        outcome: errors.Outcome,
        answer: records.StoredAnswer | None = None,
    ) -> None:
        """Tell the ledger about `attempt` as soon as it can be reached."""
        if len(self.pending) >= MAX_PENDING:
            self.metrics.count("settlements.dropped")
            return
        self.pending[attempt] = (request, attempt, outcome, answer)
        self.metrics.gauge("settlements.pending", len(self.pending))
        if self.task is None or self.task.done():
            self.task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        while self.pending:
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
            await self._round()
            self.metrics.gauge("settlements.pending", len(self.pending))

    async def _round(self) -> None:
        """Tell some; while the first cannot be told, leave out the rest."""
        for attempt in list(self.pending)[:BATCH_SIZE]:
            try:
                await self.settle(*self.pending[attempt])
            except (errors.LinkError, errors.NoQuorumError):
                return
            except errors.CommitUnknownError:
                return
            except errors.AmaranthringError:
                # The ledger answered: it holds another truth about this
                # attempt already, such as a settlement that came through.
                self.metrics.count("settlements.refused")
            else:
                self.metrics.count("settlements.told")
            self.pending.pop(attempt, None)

    def stop(self) -> None:
        """End the task; what is pending stays ``unknown``."""
        if self.task:
            self.task.cancel()
