"""Reports the ready targets of this data centre to the keepers.

The keepers' leader plans model orders from the reports of all data centres.
Only the routers that relay revisions report. Each report is complete, so that
the next one makes up for a lost one.
"""

import asyncio
import time
import typing as t

from amaranthring import errors
from amaranthring.core import records
from amaranthring.keepers import commands

CHECK_SECONDS = 1.0
REPORT_SECONDS = 30.0
QUERY_TIMEOUT_SECONDS = 2.0


class TargetReporter:
    """Reports ready targets on change, and periodically without one.

    Parameters
    ----------
    data_centre : str
        Data centre of this router.
    query : callable
        ``KeeperClient.query``.
    may_report : callable
        Returns whether this router should report.
    ready : callable
        Returns every ready target that this router knows.
    metrics : metrics.Metrics
        Metrics of this process.
    leader : callable
        Returns the keeper that answered last.
    clock : callable
        Monotonic clock, in seconds.
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
        self.last_leader = ""
        self.last_report: list[records.Target] | None = None
        self.reported_at = 0.0

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            try:
                await self.report()
            except errors.AmaranthringError:
                self.metrics.count("targets.report-failed")
                self.last_report = None
            await asyncio.sleep(CHECK_SECONDS)

    async def report(self) -> None:
        """Send a report if this router should report and one is due."""
        if not self.may_report():
            self.last_report = None
            return
        targets = sorted(
            (t for t in self.ready() if t.data_centre == self.data_centre),
            key=lambda target: target.name,
        )
        due = self.clock() - self.reported_at >= REPORT_SECONDS
        # The leader keeps reports in memory only; a new one has none.
        if self.leader() != self.last_leader:
            due = True
        if targets == self.last_report and not due:
            return
        message = commands.ReadyTargets(self.data_centre, targets)
        await self.query(message, QUERY_TIMEOUT_SECONDS)
        self.last_report = targets
        self.last_leader = self.leader()
        self.reported_at = self.clock()
