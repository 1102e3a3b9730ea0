"""Publishes targets to a keeper's routers: the whole table, then changes."""

import asyncio
import collections
import typing as t

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import pacing
from amaranthring.core import wire
from amaranthring.registry import messages

# From this many records on, compression makes the message smaller.
MIN_PACKED_RECORDS = 3


class TargetPublisher:
    """Sends the latest record of each changed target to the routers.

    Records wait while the link is busy and are then sent together: sent one
    by one, a whole table would take many times the bytes of its compressed
    form. Routers that have just linked are queued for the whole table.

    Parameters
    ----------
    routers : callable
        Returns the links to send to.
    table : callable
        Returns all records.
    pacer : pacing.Pacer
        Of the keeper's link.
    """

    def __init__(
        self,
        routers: t.Callable[[], t.Iterable[links.Link]],
        table: t.Callable[[], list[messages.TargetRecord]],
        pacer: pacing.Pacer,
    ):
        self.routers = routers
        self.table = table
        self.pacer = pacer
        self.pending: dict[str, messages.TargetRecord] = {}
        self.new_routers: collections.deque[links.Link] = collections.deque()
        self.wake = asyncio.Event()

    def publish(self, records: list[messages.TargetRecord]) -> None:
        """Send `records` to all routers as soon as there is room."""
        self.pending.update((record.id, record) for record in records)
        self.wake.set()

    def add_router(self, router: links.Link) -> None:
        """Send `router` all targets as soon as there is room."""
        self.new_routers.append(router)
        self.wake.set()

    async def run(self) -> None:
        """Publish until cancelled."""
        while True:
            await self.wake.wait()
            await self.pacer.acquire()
            if self.pending:
                self._send_changes()
            elif self.new_routers:
                self._send_table()
            else:
                self.wake.clear()

    def _send_changes(self) -> None:
        records, self.pending = list(self.pending.values()), {}
        message: t.Any = messages.Targets(records)
        if len(records) >= MIN_PACKED_RECORDS:
            message = messages.pack_targets(records)
        broadcast(self.routers(), message)

    def _send_table(self) -> None:
        message = messages.pack_targets(self.table())
        frame = wire.encode(wire.ONE_WAY, 0, message)
        while self.new_routers:
            _send(self.new_routers.popleft(), frame, type(message))
            if not self.pacer.available():
                return


def broadcast(routers: t.Iterable[links.Link], message: t.Any) -> None:
    """Send `message`, encoded once, to all `routers`."""
    frame = wire.encode(wire.ONE_WAY, 0, message)
    for link in list(routers):
        _send(link, frame, type(message))


def _send(link: links.Link, frame: bytes, kind: type) -> None:
    try:
        link.send_encoded(frame, wire.tag_of(kind))
    except errors.LinkError:
        # A router gets the whole table again on its next link.
        link.close()
