"""What a router that stops has spent of the retry budgets, for its successor.

A router that stops gives one keeper a record, when it can spend no more. The
next process of its name gets the record from that keeper and goes on where the
one before it ended. There is never more than one copy: the router gives it
once, the keeper holds it in memory only, and deletes it as it gives it away.
See docs/design/retry-shares.md.
"""

import collections.abc
import dataclasses
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.policy import budgets
from amaranthring.registry import messages
from amaranthring.registry import sharers as sharers_module

log = logbook.Logger(__name__)

# Longest time in which a keeper gets a record; bounds how much its age is
# unknown, also if the keeper or the network stood still.
FETCH_SECONDS = 1.0
# In retry windows: how long a record is given away. A process that did not get
# it may spend by itself after one window; the rest covers the drift of clocks.
USABLE_WINDOWS = 0.9


@dataclasses.dataclass
class Kept:
    """A record that a keeper holds.

    Attributes
    ----------
    incarnation : int
        Of the process that it is from.
    asked_at, received_at : float
        It was made between these, in seconds.
    """

    incarnation: int
    asked_at: float
    received_at: float
    record: messages.Spending


class SpendingRecords:
    """The records that one keeper holds.

    Parameters
    ----------
    window : float
        Seconds over which routers count retries.
    clock : callable
        Seconds; continues while the VM is suspended.

    Attributes
    ----------
    kept : dict of str to Kept
        By the names of the routers.
    """

    def __init__(self, window: float, clock: t.Callable[[], float]):
        self.usable_seconds = USABLE_WINDOWS * window
        self.clock = clock
        self.kept: dict[str, Kept] = {}

    async def fetch(self, link: links.Link) -> None:
        """Get the record of a router that stops.

        The keeper asks for it, rather than being sent it, so that it knows
        the earliest moment at which it can have been made.
        """
        asked_at = self.clock()
        try:
            record = await link.call(messages.FetchSpending(), FETCH_SECONDS)
        except errors.AmaranthringError as error:
            self._log_refused(link.peer, type(error).__name__)
            return
        self.keep(link.peer, asked_at, record)

    def keep(
        self, peer: links.Identity, asked_at: float, record: messages.Spending
    ) -> None:
        """Hold the `record` of `peer`, which was asked for at `asked_at`."""
        now = self.clock()
        self._forget(now)
        if now - asked_at > FETCH_SECONDS:
            self._log_refused(peer, "late")
            return
        self.kept[peer.name] = Kept(peer.incarnation, asked_at, now, record)
        logs.event(
            log,
            "spending.kept",
            router=peer.name,
            incarnation=peer.incarnation,
            seconds=round(now - asked_at, 3),
        )

    def give(self, peer: links.Identity) -> messages.GivenSpending | None:
        """Return the record for `peer` and delete it; None if there is none.

        A process never gets its own record.
        """
        now = self.clock()
        self._forget(now)
        kept = self.kept.get(peer.name)
        if kept is None:
            return None
        if kept.incarnation == peer.incarnation:
            self._log_refused(peer, "same-process")
            return None
        del self.kept[peer.name]
        logs.event(
            log,
            "spending.given",
            router=peer.name,
            incarnation=peer.incarnation,
            before=kept.incarnation,
            seconds=round(now - kept.asked_at, 3),
        )
        return messages.GivenSpending(
            kept.record, now - kept.received_at, now - kept.asked_at
        )

    def _forget(self, now: float) -> None:
        for name, kept in list(self.kept.items()):
            if now - kept.asked_at > self.usable_seconds:
                del self.kept[name]
                logs.event(
                    log,
                    "spending.expired",
                    router=name,
                    incarnation=kept.incarnation,
                )

    def _log_refused(self, peer: links.Identity, reason: str) -> None:
        logs.event(
            log,
            "spending.refused",
            router=peer.name,
            incarnation=peer.incarnation,
            reason=reason,
        )


class Succession:
    """Takes over from the process before, and hands over to the next one.

    Parameters
    ----------
    handlers : links.Handlers
        Of the links to keepers.
    sharers : sharers.Sharers
        What this router knows of the number of routers.
    budgets : mapping of str to budgets.WindowBudget
        By service; creates missing ones.
    clock : callable
        Seconds; continues while the VM is suspended.

    Attributes
    ----------
    succeeded : bool
        Whether this process has taken the record of the one before.
    asked : set of str
        Keepers that had no record for this process.
    standing : sharers.Standing or None
        When this router can spend no more, what its successor has of it; None
        before, and once it has been given away.
    """

    def __init__(
        self,
        handlers: links.Handlers,
        sharers: sharers_module.Sharers,
        budgets: collections.abc.MutableMapping[str, budgets.WindowBudget],
        clock: t.Callable[[], float],
    ):
        self.sharers = sharers
        self.budgets = budgets
        self.clock = clock
        self.succeeded = False
        self.asked: set[str] = set()
        self.standing: sharers_module.Standing | None = None
        handlers.add(messages.FetchSpending, self._on_fetch)

    # -- start -------------------------------------------------------

    def takes(self) -> bool:
        """Return whether a record of the process before is of use."""
        return not self._reason_to_refuse()

    def accept(
        self, keeper: str, reply: messages.Renewed, asked_at: float
    ) -> None:
        """Go on where the process before ended, if the reply tells where.

        Parameters
        ----------
        asked_at : float
            When the keeper was asked, in seconds.
        """
        reason = self._reason_to_refuse()
        given = reply.spending
        if given is None:
            if not reason and keeper not in self.asked:
                self.asked.add(keeper)
                logs.event(
                    log, "spending.not-taken", keeper=keeper, reason="none"
                )
            return
        if not reason and given.record.window != self.sharers.window:
            reason = "other-window"
        if reason:
            logs.event(log, "spending.not-taken", keeper=keeper, reason=reason)
            return
        earliest = asked_at - given.most_seconds
        latest = self.clock() - given.least_seconds
        for service, spending in given.record.services.items():
            self.budgets[service].inherit(spending, earliest, latest)
        self.sharers.succeed(
            given.record.routers, earliest - given.record.confirmed_seconds
        )
        self.succeeded = True
        logs.event(
            log,
            "spending.taken",
            keeper=keeper,
            seconds=round(given.most_seconds, 3),
            after=round(self.clock() - self.sharers.started_at, 3),
            routers=given.record.routers,
            without_share=self.sharers.share().reason,
            **_totals(given.record),
        )

    def _reason_to_refuse(self) -> str:
        """Return why a record is of no use; empty if it is."""
        if self.sharers.ended:
            return "ended"
        if self.succeeded:
            return "taken"
        age = self.clock() - self.sharers.started_at
        return "late" if age >= self.sharers.window else ""

    # -- stop --------------------------------------------------------

    def end(self) -> str:
        """Make further retries impossible.

        Returns
        -------
        str
            Why there is no record for the next process; empty if there is.
        """
        complete = self.sharers.knows_spending()
        self.standing = self.sharers.end()
        if not complete:
            # The process before this one may have spent what this one does
            # not know.
            self.standing = None
            return "starting"
        return ""

    async def report(
        self,
        open_links: collections.abc.Iterable[links.Link],
        version: int,
        seconds: float,
    ) -> None:
        """Make further retries impossible, and let a keeper get the record.

        Parameters
        ----------
        open_links : iterable of links.Link
            To keepers, the one to ask first at the front.
        version : int
            Of the plan held.
        seconds : float
            Time that it may take.
        """
        reason = self.end()
        deadline = time.monotonic() + seconds
        for link in open_links:
            # Leaves time to ask another keeper.
            left = (deadline - time.monotonic()) / 2
            if self.standing is None or left <= 0:
                break
            try:
                await link.call(messages.Renew(version, ends=True), left)
            except errors.AmaranthringError as error:
                reason = type(error).__name__
        if reason or self.standing is not None:
            logs.event(
                log, "spending.not-reported", reason=reason or "not-fetched"
            )

    def _on_fetch(
        self, link: links.Link, _message: messages.FetchSpending
    ) -> messages.Spending:
        record = self.give()
        logs.event(
            log,
            "spending.reported",
            keeper=link.peer.name,
            routers=record.routers,
            **_totals(record),
        )
        return record

    def give(self) -> messages.Spending:
        """Return the record, once.

        Raises
        ------
        errors.RefusedError
            If this router has none, or has given it away.
        """
        standing, self.standing = self.standing, None
        if standing is None:
            raise errors.RefusedError("no record of what was spent")
        spending = {
            service: budget.spending()
            for service, budget in self.budgets.items()
        }
        return messages.Spending(
            self.sharers.window,
            standing.routers,
            self.clock() - standing.confirmed_at if standing.routers else 0.0,
            {s: e for s, e in spending.items() if e.requests or e.retries},
        )


def _totals(record: messages.Spending) -> dict[str, int]:
    """Return the numbers in `record` for a log line."""
    services = record.services.values()
    return {
        "requests": sum(sum(each.requests) for each in services),
        "retries": sum(sum(each.retries) for each in services),
    }
