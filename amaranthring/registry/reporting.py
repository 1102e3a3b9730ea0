"""A router's part in sharing counts and prompt places."""

import asyncio
import collections
import typing as t

from amaranthring.core import clocks
from amaranthring.core import links
from amaranthring.registry import sharing

# A router that has just started reports as soon as it has a link.
FIRST_SECONDS = 0.02


class Reporter:
    """Tells the router's keeper, and hears of the others from it.

    Parameters
    ----------
    home : callable
        Returns the link to the keeper that it reports to, or None.
    report : callable
        Returns what the others should know, each thing that is new once.
    on_others : callable
        Called with what the other routers said.
    clock : callable
        Seconds that go on while the VM is suspended.

    Attributes
    ----------
    heard : bool
        Whether a keeper has said what the other routers do.
    """

    def __init__(
        self,
        handlers: links.Handlers,
        home: t.Callable[[], links.Link | None],
        report: t.Callable[[], sharing.Report],
        on_others: t.Callable[[sharing.Others], None],
        clock: t.Callable[[], float] = clocks.boottime,
    ):
        self.home_link = home
        self.clock = clock
        self.reported_to: links.Link | None = None
        self.synced_at: float | None = None
        self.reported_at: collections.deque[float] = collections.deque(
            maxlen=2
        )
        self.make_report = report
        self.on_others = on_others
        self.has_heard = False
        handlers.add(sharing.Others, self._on_others)

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            self.report()
            pause = sharing.REPORT_SECONDS if self.has_heard else FIRST_SECONDS
            await asyncio.sleep(pause)

    def report(self) -> None:
        """Tell the home keeper what this router does."""
        link = self.home_link()
        if link is None:
            return
        self._leave_for(link)
        report = self.make_report()
        now = self.clock()
        if self.synced_at is not None:
            report.told_all_ago = now - self.synced_at
        self.reported_at.append(now)
        sharing.send_if_open(link, report)

    def _leave_for(self, link: links.Link) -> None:
        """Tell the keeper reported to before that it is `link`'s turn."""
        before, self.reported_to = self.reported_to, link
        if before not in (None, link):
            sharing.send_if_open(before, sharing.Left())

    def _on_others(self, link: links.Link, others: sharing.Others) -> None:
        self.has_heard = True
        if others.all_told and link is self.reported_to:
            # A process that was frozen reads late what was sent to it
            # before, perhaps after its next report; it knew no more then
            # than when it made the one before that.
            self.synced_at = self.reported_at[0]
        self.on_others(others)
