"""The router's side of sharing request counts and prompt locations."""

import asyncio
import collections
import typing as t

from amaranthring.core import clocks
from amaranthring.core import links
from amaranthring.registry import sharing

# Until it has heard from a keeper, a router retries at this interval.
FIRST_REPORT_SECONDS = 0.02


class Reporter:
    """Reports to the router's home keeper and receives the others' totals.

    Parameters
    ----------
    home_link : callable
        Returns the link to the keeper that it reports to, or None.
    report : callable
        Returns the next report; it contains each new location once.
    on_others : callable
        Called with the totals of the other routers. Their `age` then covers
        the way to the keeper and back, too.
    clock : callable
        Seconds; continues while the VM is suspended.
    on_switch : callable, optional
        Called before the first report to another keeper than before.

    Attributes
    ----------
    has_heard : bool
        Whether a keeper has sent the totals of the other routers.
    """

    def __init__(
        self,
        handlers: links.Handlers,
        home_link: t.Callable[[], links.Link | None],
        report: t.Callable[[], sharing.Report],
        on_others: t.Callable[[sharing.Others], None],
        clock: t.Callable[[], float] = clocks.boottime,
        on_switch: t.Callable[[], None] | None = None,
    ):
        self.on_switch = on_switch
        self.home_link = home_link
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
            interval = (
                sharing.REPORT_SECONDS
                if self.has_heard
                else FIRST_REPORT_SECONDS
            )
            await asyncio.sleep(interval)

    def report(self) -> None:
        """Send a report to the home keeper."""
        link = self.home_link()
        if link is None:
            return
        self._switch_to(link)
        report = self.make_report()
        now = self.clock()
        if self.synced_at is not None:
            report.told_all_ago = now - self.synced_at
        report.sent_at = now
        self.reported_at.append(now)
        sharing.send_if_open(link, report)

    def _switch_to(self, link: links.Link) -> None:
        """Tell the previous home keeper that this router has left it."""
        previous, self.reported_to = self.reported_to, link
        if previous is not link and self.on_switch is not None:
            self.on_switch()
        if previous not in (None, link):
            sharing.send_if_open(previous, sharing.Left())

    def _on_others(self, link: links.Link, others: sharing.Others) -> None:
        self.has_heard = True
        if others.all_told and link is self.reported_to:
            # After a freeze, this process may read the message only after its
            # next report; the message then holds only as of the report before
            # that one.
            self.synced_at = self.reported_at[0]
        others.age = self._age(others)
        self.on_others(others)

    def _age(self, others: sharing.Others) -> float:
        """Return the mean age of the counts in `others`, in seconds.

        The round trip of this router's report stands for the delay of all
        others. It includes the time that messages wait at a busy keeper or
        router, and needs no comparison of the clocks of two VMs.
        """
        if others.report_sent_at < 0:
            return others.age
        since = self.clock() - others.report_sent_at
        return others.age + max(0.0, since - others.report_held)
