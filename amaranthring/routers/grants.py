"""Grants that an entry router holds, and their reports to the owners.

Every second, and whenever the list of routers changes, a router reports to
each owner all its grants in the owner's cell. The report renews leases,
repairs lost releases and replies, and gives a new owner its counts.
"""

import asyncio
import collections
import dataclasses

from amaranthring.core import records
from amaranthring.routers import admission_messages as messages
from amaranthring.routers import owner_client

RENEW_SECONDS = 1.0


@dataclasses.dataclass
class HeldGrant:
    """A grant that this router holds.

    Attributes
    ----------
    cell : str
        Cell of the target.
    owner : str
        Router that counts it; empty if decided from local estimates.
    grant : Grant
        The grant itself.
    request : Request
        Request that it admits.
    suspect : bool
        Whether the request is suspected of crashing targets.
    """

    cell: str
    owner: str
    grant: records.Grant
    request: records.Request
    suspect: bool = False


class HeldGrants:
    """Grants of one entry router, by serial.

    Parameters
    ----------
    name : str
        This router.
    calls : OwnerClient
        Client of the cell owners.
    next_serial : callable
        Returns the next serial to be assigned.

    Attributes
    ----------
    by_serial : dict
        Grants by serial.
    running : Counter
        Number of grants by target.
    """

    def __init__(
        self, name: str, calls: owner_client.OwnerClient, next_serial
    ):
        self.name = name
        self.calls = calls
        self.next_serial = next_serial
        self.by_serial: dict[int, HeldGrant] = {}
        # The deputy of an unresponsive owner needs the current grants to
        # keep to the bound, so report them at the first timeout.
        calls.on_unresponsive = self.renew_cell
        self.running: collections.Counter[str] = collections.Counter()

    def add_handlers(self, handlers) -> None:
        """Register this module's message handlers."""
        handlers.add(messages.Granted, self.on_granted)
        handlers.add(messages.Dropped, self.on_dropped)
        handlers.add(messages.NotOwner, self.on_not_owner)
        handlers.add(messages.GrantReportRequest, self.on_grant_report_request)

    def add(self, serial: int, held_grant: HeldGrant) -> None:
        """Add a grant."""
        self.by_serial[serial] = held_grant
        self.running[held_grant.grant.target.name] += 1

    def remove(self, serial: int) -> HeldGrant | None:
        """Remove and return a grant, or None if it is not held."""
        held_grant = self.by_serial.pop(serial, None)
        if held_grant is not None:
            target = held_grant.grant.target.name
            self.running[target] -= 1
            if not self.running[target]:
                del self.running[target]
        return held_grant

    async def run(self) -> None:
        """Report grants to their owners periodically, until cancelled."""
        while True:
            await asyncio.sleep(RENEW_SECONDS)
            self.renew()

    def renew(self) -> None:
        """Report the grants of every cell to its owner."""
        active = [*self.by_serial.values(), *self.calls.waiting.values()]
        for cell in {item.cell for item in active}:
            self.renew_cell(cell)

    def renew_cell(self, cell: str, forced: bool = False) -> None:
        """Report the grants of `cell` to its owner."""
        first = self.calls.owners_to_ask(cell)[:1]
        if not first:
            return
        owner = first[0]
        grants = {s: h for s, h in self.by_serial.items() if h.cell == cell}
        report = self._report(cell, grants)
        report.forced = forced or not self.calls.is_rendezvous_owner(
            cell, owner
        )
        for serial, waiting in self.calls.waiting.items():
            if waiting.cell == cell and waiting.owner == owner:
                report.waiting.append(report.next_serial - serial)
        if not self.calls.mesh.send(owner, report):
            return
        previous_owners = {held_grant.owner for held_grant in grants.values()}
        for held_grant in grants.values():
            held_grant.owner = owner
        for other in previous_owners - {owner, ""}:
            self._clear_grants_at(cell, other)

    def on_granted(self, link, message: messages.Granted) -> None:
        """Wake the queued request; release the grant if none waits."""
        waiting = self.calls.waiting.get(message.serial)
        if waiting is not None:
            self.calls.resolve(waiting, message)
        elif message.serial not in self.by_serial:
            self.calls.release(
                link.peer.name,
                message.cell,
                message.serial,
                records.AttemptEnd.NOT_SENT,
            )

    def on_dropped(self, _link, message: messages.Dropped) -> None:
        """Wake the queued request with the owner's message."""
        waiting = self.calls.waiting.get(message.serial)
        if waiting is not None:
            self.calls.resolve(waiting, message)

    def on_not_owner(self, _link, message: messages.NotOwner) -> None:
        """Report the grants to the router named in the redirect."""
        asked = self.calls.owners_to_ask(message.cell)[:1]
        redirected = bool(self.calls.redirect_for(message.cell))
        followed = self.calls.follow_redirect(message.asked, message)
        # Two routers may redirect to each other: force the second to accept.
        forced = redirected or asked == [followed]
        self.renew_cell(message.cell, forced)

    def on_grant_report_request(
        self, _link, message: messages.GrantReportRequest
    ) -> None:
        """Report grants to a deputy without changing their owner."""
        cell = message.cell
        grants = {s: h for s, h in self.by_serial.items() if h.cell == cell}
        if grants:
            report = self._report(cell, grants)
            report.forced = True
            report.partial = True
            self.calls.mesh.send(message.deputy, report)

    def _report(
        self, cell: str, grants: dict[int, HeldGrant]
    ) -> messages.GrantReport:
        report = messages.GrantReport(cell, self.name, self.next_serial(), {})
        for serial, held_grant in grants.items():
            self._add_to_report(report, serial, held_grant)
        return report

    def _clear_grants_at(self, cell: str, owner: str) -> None:
        # A grant counted by two owners wastes capacity; an empty report
        # makes the previous owner drop it.
        report = messages.GrantReport(cell, self.name, self.next_serial(), {})
        report.forced = True
        self.calls.mesh.send(owner, report)

    def _add_to_report(
        self, report, serial: int, held_grant: HeldGrant
    ) -> None:
        distance = report.next_serial - serial
        target = held_grant.grant.target.name
        report.held.setdefault(target, []).append(distance)
        if held_grant.suspect:
            report.suspects.append(distance)
