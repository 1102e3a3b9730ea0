"""Departures of targets, and who must know of one before it is acknowledged.

A target that has been told that its departure is known stops a short while
later. Each router is linked to all keepers, so it hears of a departure from
any keeper that passes it on. A keeper whose own links are down, or that ends
right after its answer, is not enough: a departure counts as known once a
quorum of the keepers has it and has passed it on to the routers that each of
them is linked to.
"""

import asyncio
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.keepers import membership
from amaranthring.registry import messages
from amaranthring.registry import publisher as publishers
from amaranthring.registry import targets

__all__ = ["Departures"]

log = logbook.Logger(__name__)

# A target allows a keeper one second for an answer, then asks another.
CONFIRM_SECONDS = 0.8


class Departures:
    """Confirms that departures are known to a quorum of the keepers.

    Parameters
    ----------
    group : consensus.Group
        The keepers.
    table : targets.TargetTable
        Of this keeper.
    publisher : publisher.TargetPublisher
        Tells this keeper's routers.

    Attributes
    ----------
    known : dict of str to State
        State of each target that a quorum has passed on, by the target's id.
    """

    def __init__(
        self,
        group: t.Any,
        table: targets.TargetTable,
        publisher: publishers.TargetPublisher,
    ):
        self.group = group
        self.table = table
        self.publisher = publisher
        self.known: dict[str, messages.State] = {}

    async def confirm(self, target_id: str) -> None:
        """Wait until the departure of a target is known to a quorum.

        Raises
        ------
        errors.NotReadyError
            If it is not in time. The target then asks another keeper; what
            this one could tell is told all the same.
        """
        entry = self.table.entries.get(target_id)
        if entry is None:
            # A later incarnation of the target is known.
            return
        record = entry.record
        if self.known.get(target_id) == record.state:
            return
        began = time.monotonic()
        needed = membership.quorum(self.group.members)
        passed_on = await self._pass_on(record, needed)
        logs.event(
            log,
            "departure.passed-on",
            target=target_id,
            state=record.state,
            keepers=sorted(passed_on),
            needed=needed,
            seconds=round(time.monotonic() - began, 3),
        )
        if not self._suffices(passed_on, needed):
            raise errors.NotReadyError(
                "too few keepers know of the departure",
                given=len(passed_on),
                expected=needed,
            )
        self.known[target_id] = record.state

    def forget_removed(self) -> None:
        """Forget targets that the table holds no longer."""
        for target_id in self.known.keys() - self.table.entries.keys():
            del self.known[target_id]

    def _suffices(self, passed_on: set[str], needed: int) -> bool:
        own = self.group.keeper.name
        voters = {member.name for member in self.group.members.voters}
        return own in passed_on and len(passed_on & voters) >= needed

    async def _pass_on(
        self, record: messages.TargetRecord, needed: int
    ) -> set[str]:
        """Return the names of the keepers that have passed `record` on."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CONFIRM_SECONDS
        names = {member.name for member in self.group.members.voters}
        waiting = {
            asyncio.ensure_future(self._tell(name, record))
            for name in names | {self.group.keeper.name}
        }
        passed_on: set[str] = set()
        try:
            while waiting and not self._suffices(passed_on, needed):
                ended, waiting = await asyncio.wait(
                    waiting,
                    timeout=deadline - loop.time(),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not ended:
                    break
                passed_on.update(filter(None, (t.result() for t in ended)))
        finally:
            for task in waiting:
                task.cancel()
        return passed_on

    async def _tell(self, name: str, record: messages.TargetRecord) -> str:
        """Return `name` once that keeper has passed `record` on, or ``""``."""
        if name == self.group.keeper.name:
            await self.publisher.flush()
            return name
        peer = self.group.peers.get(name)
        if peer is None:
            return ""
        try:
            await peer.dialler.call(
                messages.Targets([record]), CONFIRM_SECONDS
            )
        except errors.AmaranthringError as error:
            logs.event(
                log,
                "departure.not-taken",
                target=record.id,
                keeper=name,
                fault=str(error),
            )
            return ""
        return name
