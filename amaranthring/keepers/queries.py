"""Answers read-only queries of routers and operators.

:meth:`Queries.answer` is called only after the read barrier of the leader,
so that answers reflect every accepted change.
"""

import asyncio
import dataclasses
import time
import typing as t

from amaranthring import errors
from amaranthring.core import config_parts
from amaranthring.keepers import commands
from amaranthring.keepers import quarantine
from amaranthring.keepers import state_machine

MAX_WAIT_SECONDS = 10.0
MAX_ROUTERS = 5000
MAX_HISTORY_ROWS = 200


@dataclasses.dataclass
class RouterState:
    """Last reported revision of a router, and the time of the report."""

    data_centre: str
    revision: int
    reported_at: float


class Queries:
    """Answers queries from the state of `machine`.

    Attributes
    ----------
    routers : dict
        Last reported revision of each router. Kept in memory only: a new
        leader receives it within one reporting period of the routers.
    views : dict
        Function that builds each view, called with the ``name`` of the
        query.
    """

    def __init__(
        self, machine: state_machine.StateMachine, clock=time.monotonic
    ):
        self.machine = machine
        self.clock = clock
        self.routers: dict[str, RouterState] = {}
        self.waiters: set[asyncio.Future] = set()
        self.views: dict[str, t.Callable[[str], t.Any]] = {
            "config": self._config,
            "status": self._status,
            "history": self._history,
            "quarantine": self._quarantine,
            "orders": self._orders,
        }
        self.handlers: dict[type, t.Callable[[t.Any], t.Any]] = {
            commands.StateQuery: self._view,
            commands.RouterRevisions: self._update_routers,
        }
        machine.on_revision.append(self._wake_waiters)

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

    async def _config_since(self, message) -> config_parts.Delta:
        wait = min(message.wait_seconds, MAX_WAIT_SECONDS)
        if self.machine.book.parts.revision <= message.revision and wait > 0:
            future = asyncio.get_running_loop().create_future()
            self.waiters.add(future)
            try:
                await asyncio.wait([future], timeout=wait)
            finally:
                self.waiters.discard(future)
        return self.machine.config_since(message.revision)

    def _wake_waiters(self) -> None:
        for future in self.waiters:
            if not future.done():
                future.set_result(None)

    def _update_routers(
        self, message: commands.RouterRevisions
    ) -> commands.StateView:
        now = self.clock()
        for name, revision in message.routers.items():
            reported_at = now - message.ages.get(name, 0.0)
            current = self.routers.get(name)
            if current is None and len(self.routers) >= MAX_ROUTERS:
                continue
            if current is None or reported_at >= current.reported_at:
                self.routers[name] = RouterState(
                    message.data_centre, revision, reported_at
                )
        return commands.StateView(None)

    def _view(self, message: commands.StateQuery) -> commands.StateView:
        build_view = self.views.get(message.what)
        if build_view is None:
            raise errors.NotFoundError(
                "no such view",
                given=message.what,
                expected=f"one of {sorted(self.views)}",
            )
        return commands.StateView(build_view(message.name))

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
                    "data_centre": router.data_centre,
                    "revision": router.revision,
                    "age_seconds": round(now - router.reported_at, 1),
                }
                for name, router in sorted(self.routers.items())
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
            for entry in entries[-MAX_HISTORY_ROWS:]
        ]

    def _quarantine(self, _: str) -> t.Any:
        return quarantine.entries(self.machine.book)

    def _orders(self, name: str) -> t.Any:
        rows = self.machine.orders.view()
        return [row for row in rows if name in ("", row["order"])]
