"""Tells the keepers which targets of this data centre are ready.

The keepers' leader orders models from what all data centres report. Only
the relays of revisions report; each report is whole, so that a lost one
costs nothing but time.
"""

import asyncio
import time
import typing as t

from amaranthring import errors
from amaranthring.core import records
from amaranthring.keepers import commands

LOOK_SECONDS = 1.0
REPORT_SECONDS = 30.0
QUERY_SECONDS = 2.0


class TargetReporter:
    """Reports on change, and now and then without one.

    Parameters
    ----------
    data_centre : str
        Of this router.
    query : callable
        ``KeeperClient.query``.
    may_report : callable
        Whether this router is the one to report.
    ready : callable
        Returns every ready target that this router knows.
    metrics : metrics.Metrics
        Counters.
    leader : callable
        Returns the keeper that answered last.
    """

    def __init__(
        self,
        data_centre: str,
        query: t.Callable[[t.Any, float], t.Awaitable[t.Any]],
        may_report: t.Callable[[], bool],
        ready: t.Callable[[], list[records.Target]],
        metrics: t.Any,
        leader: t.Callable[[], str] = str,
        clock: t.Callable[[], float] = time.monotonic,
    ):
        self.data_centre = data_centre
        self.query = query
        self.may_report = may_report
        self.ready = ready
        self.metrics = metrics
        self.clock = clock
        self.leader = leader
        self.told_leader = ""
        self.told: list[records.Target] | None = None
        self.told_at = 0.0

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            try:
                await self.report()
            except errors.AmaranthringError:
                self.metrics.count("targets.report-failed")
                self.told = None
            await asyncio.sleep(LOOK_SECONDS)

    async def report(self) -> None:
        """Report if it is this router's turn and there is reason to."""
        if not self.may_report():
            self.told = None
            return
        found = sorted(
            (t for t in self.ready() if t.data_centre == self.data_centre),
            key=lambda target: target.name,
        )
        due = self.clock() - self.told_at >= REPORT_SECONDS
        # What the keepers' leader knows of targets it keeps in memory; the
        # next one starts with nothing.
        if self.leader() != self.told_leader:
            due = True
        if found == self.told and not due:
            return
        message = commands.ReadyTargets(self.data_centre, found)
        await self.query(message, QUERY_SECONDS)
        self.told = found
        self.told_leader = self.leader()
        self.told_at = self.clock()
