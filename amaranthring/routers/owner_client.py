"""Calls from an entry router to admission owners.

Whom to ask: the router that an asked one pointed at, the owner by this
router's list, its deputy. One that stays silent is passed over for a second,
so that a frozen owner costs one timeout and not one per request.
"""

import asyncio
import collections.abc
import dataclasses
import time
import typing as t

from amaranthring import errors
from amaranthring.core import hashing
from amaranthring.core import metrics as counters
from amaranthring.core import records
from amaranthring.policy import cells
from amaranthring.routers import admission_messages as messages

ASK_SECONDS = 0.4
SILENT_SECONDS = 1.0
REDIRECT_SECONDS = 3.0
OWNERS_KEPT = 3
OWNERS_ASKED = 2
CELLS_MOST = 4096


@dataclasses.dataclass
class PendingAdmission:
    """A request that an owner was asked for and that is not settled.

    Attributes
    ----------
    cell, owner : str
        Who was asked about what.
    answer : Future
        Resolves with ``Granted`` or ``Dropped`` if the request had to wait.
    """

    cell: str
    owner: str
    answer: asyncio.Future


class OwnerClient:
    """Asks owners and keeps what waits at them.

    Parameters
    ----------
    name, data_centre : str
        This router.
    table, mesh : object
        Target table and links, as in ``docs/INTERNALS.md``.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        table,
        mesh,
        metrics: counters.Metrics,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ):
        self.name = name
        self.data_centre = data_centre
        self.table = table
        self.mesh = mesh
        self.metrics = metrics
        self.clock = clock
        self.waiting: dict[int, PendingAdmission] = {}
        self.silent: dict[str, float] = {}
        self.orders: dict[str, list[str]] = {}
        self.pointed: dict[str, tuple[str, float]] = {}
        self.on_unresponsive: collections.abc.Callable[[str], None] = _nothing
        table.subscribe(self.target_changed)

    # -- whom to ask --

    def members(self, cell: str) -> list[records.Target]:
        """Return the eligible targets of `cell`."""
        scope = cells.parse(cell)
        near = self.table.eligible(scope.kind, scope.serves[0])
        return [target for target in near if scope.holds(target)]

    def natural_order(self, cell: str) -> list[str]:
        """Return owner and deputies of `cell` by this router's lists."""
        order = self.orders.get(cell)
        if order is not None:
            return order
        order = cells.owners(cell, self.members(cell), self.mesh.live)
        if not order:
            order = hashing.order(cell, self.mesh.live(self.data_centre))
        if len(self.orders) >= CELLS_MOST:
            self.orders.clear()
        self.orders[cell] = order[:OWNERS_KEPT]
        return self.orders[cell]

    def owners_to_ask(self, cell: str) -> list[str]:
        """Return whom to ask about `cell`, silent ones last."""
        now = self.clock()
        order = self.natural_order(cell)
        pointed = self.redirect_for(cell)
        if pointed:
            order = [pointed, *(r for r in order if r != pointed)]
        return sorted(order, key=lambda r: self.silent.get(r, 0.0) > now)

    def is_natural(self, cell: str, owner: str) -> bool:
        """Return whether `owner` is the owner by this router's lists."""
        return self.natural_order(cell)[:1] == [owner]

    def redirect_for(self, cell: str) -> str:
        """Return the owner that an asked router lately named, or empty."""
        owner, until = self.pointed.get(cell, ("", 0.0))
        return owner if until > self.clock() else ""

    def point(self, cell: str, owner: str) -> None:
        """Note that an asked router named `owner`."""
        if len(self.pointed) >= CELLS_MOST:
            self.pointed.clear()
        self.pointed[cell] = (owner, self.clock() + REDIRECT_SECONDS)

    def target_changed(self, _name: str) -> None:
        """Work out anew who owns which cell."""
        self.orders.clear()

    def routers_changed(self) -> None:
        """Work out owners anew; ask again what waited at lost ones."""
        live = set(self.mesh.live())
        self.orders.clear()
        self.pointed.clear()
        self.silent = {r: at for r, at in self.silent.items() if r in live}
        for waiting in self.waiting.values():
            if waiting.owner not in live:
                self.resolve(waiting, messages.Dropped(0, moved=True))

    # -- asking --

    async def ask(
        self, ask: messages.Admit
    ) -> tuple[str, messages.Granted | messages.Queued | None]:
        """Ask the owner, or its deputy when it is silent.

        Returns
        -------
        str
            Who answered; empty if nobody did.
        Granted, Queued or None
            The answer. After ``Queued``, `wait` has to follow.

        Raises
        ------
        errors.RefusedError
            As the owner refused.
        """
        now = self.clock()
        for owner in self.owners_to_ask(ask.cell)[:OWNERS_ASKED]:
            if self.silent.get(owner, 0.0) > now:
                continue
            ask.forced = not self.is_natural(ask.cell, owner)
            try:
                return await self._follow(owner, ask)
            except errors.LinkError:
                self.metrics.count("placing.owner-silent")
                self.silent[owner] = self.clock() + SILENT_SECONDS
                self.on_unresponsive(ask.cell)
                # It may have granted and only its answer is lost.
                self.release(owner, ask.cell, ask.serial, records.End.NOT_SENT)
        return "", None

    async def wait(
        self, serial: int, seconds: float
    ) -> messages.Granted | messages.Dropped:
        """Return what the owner says of queued request `serial`.

        Raises
        ------
        TimeoutError
            After `seconds`.
        """
        answer = self.waiting[serial].answer
        return await asyncio.wait_for(asyncio.shield(answer), seconds)

    def release(
        self, owner: str, cell: str, serial: int, end: records.End
    ) -> None:
        """Give back a grant or withdraw a waiting request."""
        message = messages.Release(cell, self.name, serial, end)
        if not self.mesh.send(owner, message):
            # The next holdings message leaves it out, which ends it.
            self.metrics.count("placing.release-unsent")

    def resolve(self, waiting: PendingAdmission, message: t.Any) -> None:
        """Wake the request that waits, unless it is awake."""
        if not waiting.answer.done():
            waiting.answer.set_result(message)

    async def _follow(self, owner: str, ask: messages.Admit):
        answer = await self._call(owner, ask)
        if isinstance(answer, messages.NotOwner):
            # Whom it points at may point back: that one has to decide.
            ask.forced = True
            owner = self.follow_redirect(owner, answer)
            answer = await self._call(owner, ask)
        return owner, answer

    def follow_redirect(self, asked: str, answer: messages.NotOwner) -> str:
        """Return whom to tell or ask next, after `asked` pointed on.

        A router that this one knows to be gone or leaving is not followed:
        `asked` has not heard of that yet and has to decide itself.
        """
        if answer.owner not in self.mesh.live():
            return asked
        self.point(answer.cell, answer.owner)
        return answer.owner

    async def _call(self, owner: str, ask: messages.Admit):
        future = asyncio.get_running_loop().create_future()
        # Noted before the call: holdings sent meanwhile must not make the
        # owner believe that this request was given up.
        self.waiting[ask.serial] = PendingAdmission(ask.cell, owner, future)
        answer = None
        try:
            answer = await self.mesh.call(owner, ask, ASK_SECONDS)
            return answer
        except asyncio.CancelledError:
            self.release(owner, ask.cell, ask.serial, records.End.CANCELLED)
            raise
        finally:
            if not isinstance(answer, messages.Queued):
                del self.waiting[ask.serial]


def _nothing(_cell: str) -> None:
    """Do nothing: no grants are held."""
