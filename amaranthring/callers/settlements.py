"""Retries settlements of claims until the ledger confirms them.

A router that loses its connection while it requests a claim sends nothing to
a target. But its command may still reach the keepers later: the claim is then
held by an attempt that has ended, and every resend would get ``unknown``
permanently, although nothing ran. So a router resends the outcome of its own
attempts until the ledger confirms it.
"""

import asyncio
import collections
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import background
from amaranthring.core import logs
from amaranthring.core import metrics as metrics_module
from amaranthring.core import records

log = logbook.Logger(__name__)

MAX_PENDING = 10_000
RETRY_INTERVAL_SECONDS = 0.5
# Pause between two tries to settle while the router stops.
LAST_INTERVAL_SECONDS = 0.1
BATCH_SIZE = 50

Settle = t.Callable[
    [records.Request, str, errors.Outcome, records.StoredAnswer | None],
    t.Awaitable[None],
]


class Settlements:
    """Settlements that the ledger has not confirmed, oldest first.

    Parameters
    ----------
    settle : callable
        Settles a claim; raises while the ledger cannot be reached.
    metrics : Metrics
        Counters.

    Attributes
    ----------
    pending : OrderedDict
        Settlement by attempt. Bounded: a claim that does not fit stays
        ``unknown``, which is safe.
    """

    def __init__(self, settle: Settle, metrics: metrics_module.Metrics):
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
        """Settle `attempt` as soon as the ledger can be reached."""
        if len(self.pending) >= MAX_PENDING:
            self.metrics.count("settlements.dropped")
            return
        self.pending[attempt] = (request, attempt, outcome, answer)
        self.metrics.gauge("settlements.pending", len(self.pending))
        if self.task is None or self.task.done():
            self.task = background.keep_running("settlements", self._run)

    async def _run(self) -> None:
        while self.pending:
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
            await self._settle_batch()
            self.metrics.gauge("settlements.pending", len(self.pending))

    async def _settle_batch(self) -> None:
        """Settle a batch; stop if the ledger cannot be reached."""
        for attempt in list(self.pending)[:BATCH_SIZE]:
            try:
                await self.settle(*self.pending[attempt])
            except (errors.LinkError, errors.NoQuorumError):
                return
            except errors.CommitUnknownError:
                return
            except errors.AmaranthringError:
                # The ledger replied: it already has a result for this
                # attempt, such as an earlier settlement.
                self.metrics.count("settlements.refused")
            else:
                self.metrics.count("settlements.told")
            self.pending.pop(attempt, None)

    async def stop(self, seconds: float) -> None:
        """Settle what is pending; claims that remain stay ``unknown``.

        Parameters
        ----------
        seconds : float
            Time that this may take.
        """
        if self.task:
            self.task.cancel()
        try:
            async with asyncio.timeout(seconds):
                while self.pending:
                    await self._settle_batch()
                    await asyncio.sleep(LAST_INTERVAL_SECONDS)
        except TimeoutError:
            logs.event(log, "settlements.left", pending=len(self.pending))
