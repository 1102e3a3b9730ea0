"""Grants that an entry router holds, and how owners come to know of them.

Every second, and at once when the list of routers changes, a router
tells each owner everything that it holds in the owner's cell. One message
so renews leases, heals lost releases and answers, and gives a new owner the
counts of its predecessor.
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
        Its cell.
    owner : str
        Router that counts it; empty for one from local estimates.
    grant : Grant
        What the way was given.
    request : Request
        Whom it is for.
    suspect : bool
        Whether the request may be what crashed a target.
    """

    cell: str
    owner: str
    grant: records.Grant
    request: records.Request
    suspect: bool = False


class HeldGrants:
    """Grants of one entry router by their serial.

    Parameters
    ----------
    name : str
        This router.
    calls : OwnerCalls
        The way to owners.
    next_serial : callable
        Returns the serial that will be used next.
    """

    def __init__(
        self, name: str, calls: owner_client.OwnerClient, next_serial
    ):
        self.name = name
        self.calls = calls
        self.next_serial = next_serial
        self.by_serial: dict[int, HeldGrant] = {}
        # The deputy of a silent owner grants as well as the owner only if it
        # knows what runs; it is told at the first sign.
        calls.on_unresponsive = self.renew_cell
        self.running: collections.Counter[str] = collections.Counter()

    def add_handlers(self, handlers) -> None:
        """Answer this module's messages from `handlers`."""
        handlers.add(messages.Granted, self.on_granted)
        handlers.add(messages.Dropped, self.on_dropped)
        handlers.add(messages.NotOwner, self.on_not_owner)
        handlers.add(messages.GrantReportRequest, self.on_grant_report_request)

    def add(self, serial: int, holding: HeldGrant) -> None:
        """Hold one more grant."""
        self.by_serial[serial] = holding
        self.running[holding.grant.target.name] += 1

    def remove(self, serial: int) -> HeldGrant | None:
        """Hold a grant no longer; return it if it was held."""
        holding = self.by_serial.pop(serial, None)
        if holding is not None:
            target = holding.grant.target.name
            self.running[target] -= 1
            if not self.running[target]:
                del self.running[target]
        return holding

    async def run(self) -> None:
        """Tell owners again and again what this router holds."""
        while True:
            await asyncio.sleep(RENEW_SECONDS)
            self.renew()

    def renew(self) -> None:
        """Tell the owner of each cell everything held there."""
        used = [*self.by_serial.values(), *self.calls.waiting.values()]
        for cell in {each.cell for each in used}:
            self.renew_cell(cell)

    def renew_cell(self, cell: str, forced: bool = False) -> None:
        """Tell the owner of `cell` everything held there."""
        first = self.calls.owners_to_ask(cell)[:1]
        if not first:
            return
        owner = first[0]
        here = {s: h for s, h in self.by_serial.items() if h.cell == cell}
        told = self._told(cell, here)
        told.forced = forced or not self.calls.is_natural(cell, owner)
        for serial, waiting in self.calls.waiting.items():
            if waiting.cell == cell and waiting.owner == owner:
                told.waiting.append(told.next_serial - serial)
        if not self.calls.mesh.send(owner, told):
            return
        earlier = {holding.owner for holding in here.values()}
        for holding in here.values():
            holding.owner = owner
        for other in earlier - {owner, ""}:
            self._leave(cell, other)

    def on_granted(self, link, message: messages.Granted) -> None:
        """Wake the request that waited; give back what nobody waits for."""
        waiting = self.calls.waiting.get(message.serial)
        if waiting is not None:
            self.calls.resolve(waiting, message)
        elif message.serial not in self.by_serial:
            self.calls.release(
                link.peer.name,
                message.cell,
                message.serial,
                records.End.NOT_SENT,
            )

    def on_dropped(self, _link, message: messages.Dropped) -> None:
        """Wake the request that waited, with what the owner says."""
        waiting = self.calls.waiting.get(message.serial)
        if waiting is not None:
            self.calls.resolve(waiting, message)

    def on_not_owner(self, _link, message: messages.NotOwner) -> None:
        """Tell what is held to whom the asked router points."""
        asked = self.calls.owners_to_ask(message.cell)[:1]
        pointed = bool(self.calls.redirect_for(message.cell))
        followed = self.calls.follow_redirect(message.asked, message)
        # Two routers may point at each other; then the second must take it.
        forced = pointed or asked == [followed]
        self.renew_cell(message.cell, forced)

    def on_grant_report_request(
        self, _link, message: messages.GrantReportRequest
    ) -> None:
        """Tell a deputy what is held, and stay with the owner."""
        cell = message.cell
        here = {s: h for s, h in self.by_serial.items() if h.cell == cell}
        if here:
            told = self._told(cell, here)
            told.forced = True
            told.partial = True
            self.calls.mesh.send(message.deputy, told)

    def _told(
        self, cell: str, here: dict[int, HeldGrant]
    ) -> messages.GrantReport:
        told = messages.GrantReport(cell, self.name, self.next_serial(), {})
        for serial, holding in here.items():
            self._note(told, serial, holding)
        return told

    def _leave(self, cell: str, owner: str) -> None:
        # Two owners that both count a grant grant too little for a while,
        # and unevenly; an owner that can be reached forgets it at once.
        nothing = messages.GrantReport(cell, self.name, self.next_serial(), {})
        nothing.forced = True
        self.calls.mesh.send(owner, nothing)

    def _note(self, told, serial: int, holding: HeldGrant) -> None:
        back = told.next_serial - serial
        target = holding.grant.target.name
        told.held.setdefault(target, []).append(back)
        if holding.suspect:
            told.suspects.append(back)
