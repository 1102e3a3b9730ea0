"""Which keepers a router has stopped hearing from.

A network partition drops what is sent and says nothing. A call into it has
an unknown fate, and costs its caller the whole timeout. So a keeper that let
a call run out is passed over until it is heard again: the calls that follow
are refused at once, and certainly not run. It is probed meanwhile.
"""

import asyncio
import dataclasses
import typing as t

from amaranthring import errors
from amaranthring.core import links

PROBE_SECONDS = 0.5


@dataclasses.dataclass
class Mark:
    """What a silent keeper's link had received when it fell silent."""

    link: links.Link | None
    received: int


class Silence:
    """Silent keepers of one client.

    Parameters
    ----------
    link_of : callable
        Returns the link to a keeper, or None.
    probe : callable
        Coroutine that asks a keeper anything.
    """

    def __init__(
        self,
        link_of: t.Callable[[str], links.Link | None],
        probe: t.Callable[[str], t.Awaitable[t.Any]],
    ):
        self.link_of = link_of
        self.probe = probe
        self.marks: dict[str, Mark] = {}
        self.task: asyncio.Task | None = None

    def note(self, name: str) -> None:
        """Note that a call to keeper `name` ran out."""
        link = self.link_of(name)
        self.marks[name] = Mark(link, link.received_bytes if link else 0)
        if self.task is None or self.task.done():
            self.task = asyncio.ensure_future(self._run())

    def holds(self, name: str) -> bool:
        """Return whether keeper `name` has not been heard since."""
        mark = self.marks.get(name)
        if mark is None:
            return False
        link = self.link_of(name)
        if link is None:
            return True
        before = mark.received if link is mark.link else 0
        if link.received_bytes == before:
            return True
        del self.marks[name]
        return False

    def stop(self) -> None:
        """End the probing."""
        if self.task:
            self.task.cancel()

    async def _run(self) -> None:
        while self.marks:
            await asyncio.sleep(PROBE_SECONDS)
            silent = [name for name in list(self.marks) if self.holds(name)]
            asked = [self._ask(name) for name in silent]
            await asyncio.gather(*asked)

    async def _ask(self, name: str) -> None:
        try:
            await self.probe(name)
        except errors.AmaranthringError:
            return
