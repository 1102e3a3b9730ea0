"""Tells a keeper's routers of targets: all at first, then what changes."""

import asyncio
import collections
import typing as t

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import pacing
from amaranthring.core import wire
from amaranthring.registry import messages

# From so many records on, compressing them makes the message smaller.
PACKED_FROM = 3


class TargetPublisher:
    """The latest record of each target that routers have not been told.

    Records wait while the link has no room and then go together: a keeper
    that has lost its disk would tell all routers of each target one by one,
    many times the bytes of the compressed table. Routers that have just
    linked wait for the whole table in turn.

    Parameters
    ----------
    routers : callable
        Returns the links to tell.
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
        self.due = asyncio.Event()

    def publish(self, records: list[messages.TargetRecord]) -> None:
        """Tell all routers of `records` as soon as there is room."""
        self.pending.update((record.id, record) for record in records)
        self.due.set()

    def add_router(self, router: links.Link) -> None:
        """Tell `router` of all targets as soon as there is room."""
        self.new_routers.append(router)
        self.due.set()

    async def run(self) -> None:
        """Tell until cancelled."""
        while True:
            await self.due.wait()
            await self.pacer.turn()
            if self.pending:
                self._tell_changes()
            elif self.new_routers:
                self._tell_newcomers()
            else:
                self.due.clear()

    def _tell_changes(self) -> None:
        records, self.pending = list(self.pending.values()), {}
        message: t.Any = messages.Targets(records)
        if len(records) >= PACKED_FROM:
            message = messages.pack_targets(records)
        broadcast(self.routers(), message)

    def _tell_newcomers(self) -> None:
        message = messages.pack_targets(self.table())
        frame = wire.encode(wire.ONE_WAY, 0, message)
        while self.new_routers:
            _send(self.new_routers.popleft(), frame, type(message))
            if not self.pacer.room():
                return


def broadcast(routers: t.Iterable[links.Link], message: t.Any) -> None:
    """Send `message` to all `routers`, encoded once."""
    frame = wire.encode(wire.ONE_WAY, 0, message)
    for link in list(routers):
        _send(link, frame, type(message))


def _send(link: links.Link, frame: bytes, kind: type) -> None:
    try:
        link.send_encoded(frame, wire.tag_of(kind))
    except errors.LinkError:
        # It hears everything again on its next link.
        link.close()
