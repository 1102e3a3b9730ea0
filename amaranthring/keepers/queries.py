"""What a keeper answers to questions that change nothing.

The keeper's process calls :meth:`Queries.answer` only after it made sure
that it leads, so that what it answers is not older than any accepted change.
"""

import asyncio
import dataclasses
import time
import typing as t

from amaranthring import errors
from amaranthring.core import parts
from amaranthring.keepers import commands
from amaranthring.keepers import quarantine
from amaranthring.keepers import state_machine as machines

WAIT_SECONDS_MOST = 10.0
ROUTERS_MOST = 5000
HISTORY_SHOWN = 200


@dataclasses.dataclass
class Seen:
    """Last word of one router: its revision, and when it was heard."""

    data_centre: str
    revision: int
    heard: float


class Queries:
    """Answers queries from the state of `machine`.

    Attributes
    ----------
    routers : dict
        What each router last confirmed. It lives in memory only: a new
        leader knows it again within the routers' reporting period.
    views : dict
        Name of a view to the function of a name that makes it; other parts
        of the keeper add theirs.
    """

    def __init__(self, machine: machines.StateMachine, clock=time.monotonic):
        self.machine = machine
        self.clock = clock
        self.routers: dict[str, Seen] = {}
        self.waiting: set[asyncio.Future] = set()
        self.views: dict[str, t.Callable[[str], t.Any]] = {
            "config": self._config,
            "status": self._status,
            "history": self._history,
            "quarantine": self._quarantine,
            "orders": self._orders,
        }
        self.handlers: dict[type, t.Callable[[t.Any], t.Any]] = {
            commands.StateQuery: self._view,
            commands.RouterRevisions: self._confirmed,
        }
        machine.on_revision.append(self._wake)

    async def answer(self, message: t.Any) -> t.Any:
        """Return the answer to `message`.

        Raises
        ------
        errors.BadRequestError
            If it is not a query.
        """
        if isinstance(message, commands.ConfigSince):
            return await self._config_since(message)
        handler = self.handlers.get(type(message))
        if handler is None:
            raise errors.BadRequestError(
                "not a query",
                given=type(message).__name__,
                expected="a query",
            )
        return handler(message)

    async def _config_since(self, message) -> parts.Delta:
        wait = min(message.wait_seconds, WAIT_SECONDS_MOST)
        if self.machine.book.parts.revision <= message.revision and wait > 0:
            future = asyncio.get_running_loop().create_future()
            self.waiting.add(future)
            try:
                await asyncio.wait([future], timeout=wait)
            finally:
                self.waiting.discard(future)
        return self.machine.config_since(message.revision)

    def _wake(self) -> None:
        for future in self.waiting:
            if not future.done():
                future.set_result(None)

    def _confirmed(
        self, message: commands.RouterRevisions
    ) -> commands.StateView:
        now = self.clock()
        for name, revision in message.routers.items():
            heard = now - message.ages.get(name, 0.0)
            known = self.routers.get(name)
            if known is None and len(self.routers) >= ROUTERS_MOST:
                continue
            if known is None or heard >= known.heard:
                self.routers[name] = Seen(message.data_centre, revision, heard)
        return commands.StateView(None)

    def _view(self, message: commands.StateQuery) -> commands.StateView:
        make = self.views.get(message.what)
        if make is None:
            raise errors.NotFoundError(
                "no such view",
                given=message.what,
                expected=f"one of {sorted(self.views)}",
            )
        return commands.StateView(make(message.name))

    def _config(self, _: str) -> t.Any:
        book = self.machine.book
        return {"revision": book.parts.revision, "items": book.parts.items}

    def _status(self, _: str) -> t.Any:
        now = self.clock()
        book = self.machine.book
        return {
            "revision": book.parts.revision,
            "in_force": book.in_force,
            "index": self.machine.index,
            "claims": len(self.machine.ledger),
            "routers": {
                name: {
                    "data_centre": seen.data_centre,
                    "revision": seen.revision,
                    "age_seconds": round(now - seen.heard, 1),
                }
                for name, seen in sorted(self.routers.items())
            },
        }

    def _history(self, name: str) -> t.Any:
        entries = [
            entry
            for entry in self.machine.book.history
            if not name or entry.subject == name
        ]
        return [
            {
                "revision": entry.revision,
                "at": entry.stamp,
                "operator": entry.operator,
                "change": f"{entry.action} {entry.subject}".rstrip(),
            }
            for entry in entries[-HISTORY_SHOWN:]
        ]

    def _quarantine(self, _: str) -> t.Any:
        return quarantine.entries(self.machine.book)

    def _orders(self, name: str) -> t.Any:
        rows = self.machine.orders.view()
        return [row for row in rows if name in ("", row["order"])]
