"""Tells a keeper's routers which targets are new or have changed."""

import asyncio
import typing as t

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import pacing
from amaranthring.core import wire
from amaranthring.registry import messages

# From so many records on, compressing them makes the message smaller.
PACKED_FROM = 3


class TargetNews:
    """The latest record of each target that routers have not been told.

    Records wait while the link has no room and then go together: a keeper
    that had lost its disk told 84 routers of 60 targets one by one, 1.2 MB,
    where all of them fit into 1 KB a router.

    Parameters
    ----------
    routers : callable
        Returns the links to tell.
    pacer : pacing.Pacer
        Of the keeper's link.
    """

    def __init__(
        self,
        routers: t.Callable[[], t.Iterable[links.Link]],
        pacer: pacing.Pacer,
    ):
        self.routers = routers
        self.pacer = pacer
        self.waiting: dict[str, messages.TargetRecord] = {}
        self.due = asyncio.Event()

    def add(self, records: list[messages.TargetRecord]) -> None:
        """Tell all routers of `records` as soon as there is room."""
        self.waiting.update((record.id, record) for record in records)
        self.due.set()

    async def run(self) -> None:
        """Tell until cancelled."""
        while True:
            await self.due.wait()
            await self.pacer.turn()
            self.due.clear()
            records, self.waiting = list(self.waiting.values()), {}
            message: t.Any = messages.Targets(records)
            if len(records) >= PACKED_FROM:
                message = messages.pack_targets(records)
            tell_all(self.routers(), message)


def tell_all(routers: t.Iterable[links.Link], message: t.Any) -> None:
    """Send `message` to all `routers`, encoded once."""
    frame = wire.encode(wire.ONE_WAY, 0, message)
    tag = wire.tag_of(type(message))
    for link in list(routers):
        try:
            link.send_encoded(frame, tag)
        except errors.LinkError:
            # It hears everything again on its next link.
            link.close()
