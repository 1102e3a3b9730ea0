"""Calls from an entry router to admission owners.

Candidates are asked in this order: the router named by a recent redirect, the
owner by this router's list, its deputy. One that does not answer is skipped
for a second, so that a frozen owner costs one timeout and not one per request.
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

ASK_TIMEOUT_SECONDS = 0.4
BACKOFF_SECONDS = 1.0
REDIRECT_SECONDS = 3.0
OWNERS_KEPT = 3
OWNERS_ASKED = 2
MAX_CELLS = 4096


@dataclasses.dataclass
class PendingAdmission:
    """An admission request that is in flight or queued at its owner.

    Attributes
    ----------
    cell, owner : str
        Requested cell, and the router that was asked.
    answer : Future
        Resolves with ``Granted`` or ``Dropped`` if the request was queued.
    """

    cell: str
    owner: str
    answer: asyncio.Future


class OwnerClient:
    """Asks cell owners for grants and tracks queued requests.

    Parameters
    ----------
    name, data_centre : str
        This router.
    table, mesh : object
        Target table and links, see ``docs/INTERNALS.md``.
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
        self.backoff_until: dict[str, float] = {}
        self.owners_by_cell: dict[str, list[str]] = {}
        self.redirects: dict[str, tuple[str, float]] = {}
        self.on_unresponsive: collections.abc.Callable[[str], None] = (
            _do_nothing
        )
        table.subscribe(self.target_changed)

    # -- owner lookup --

    def members(self, cell: str) -> list[records.Target]:
        """Return the eligible targets of `cell`."""
        scope = cells.parse(cell)
        eligible = self.table.eligible(scope.kind, scope.serves[0])
        return [target for target in eligible if scope.holds(target)]

    def natural_order(self, cell: str) -> list[str]:
        """Return owner and deputies of `cell`, ignoring redirects."""
        order = self.owners_by_cell.get(cell)
        if order is not None:
            return order
        order = cells.owners(cell, self.members(cell), self.mesh.live)
        if not order:
            order = hashing.order(cell, self.mesh.live(self.data_centre))
        if len(self.owners_by_cell) >= MAX_CELLS:
            self.owners_by_cell.clear()
        self.owners_by_cell[cell] = order[:OWNERS_KEPT]
        return self.owners_by_cell[cell]

    def owners_to_ask(self, cell: str) -> list[str]:
        """Return the routers to ask about `cell`, unresponsive ones last."""
        now = self.clock()
        order = self.natural_order(cell)
        redirect = self.redirect_for(cell)
        if redirect:
            order = [redirect, *(r for r in order if r != redirect)]
        return sorted(
            order, key=lambda r: self.backoff_until.get(r, 0.0) > now
        )

    def is_rendezvous_owner(self, cell: str, owner: str) -> bool:
        """Return whether `owner` owns `cell` by this router's lists."""
        return self.natural_order(cell)[:1] == [owner]

    def redirect_for(self, cell: str) -> str:
        """Return the owner named by a recent redirect, or empty."""
        owner, until = self.redirects.get(cell, ("", 0.0))
        return owner if until > self.clock() else ""

    def record_redirect(self, cell: str, owner: str) -> None:
        """Record a redirect of `cell` to `owner`."""
        if len(self.redirects) >= MAX_CELLS:
            self.redirects.clear()
        self.redirects[cell] = (owner, self.clock() + REDIRECT_SECONDS)

    def target_changed(self, _name: str) -> None:
        """Clear the cached owners."""
        self.owners_by_cell.clear()

    def routers_changed(self) -> None:
        """Clear cached owners; repeat requests queued at lost routers."""
        live = set(self.mesh.live())
        self.owners_by_cell.clear()
        self.redirects.clear()
        self.backoff_until = {
            r: at for r, at in self.backoff_until.items() if r in live
        }
        for waiting in self.waiting.values():
            if waiting.owner not in live:
                self.resolve(waiting, messages.Dropped(0, moved=True))

    # -- calls --

    async def ask(
        self, ask: messages.Admit
    ) -> tuple[str, messages.Granted | messages.Queued | None]:
        """Ask the owner, or its deputy if it does not answer.

        Returns
        -------
        str
            The router that answered; empty if none did.
        Granted, Queued or None
            The reply. After ``Queued``, call `wait`.

        Raises
        ------
        errors.RefusedError
            If the owner refused the request.
        """
        now = self.clock()
        for owner in self.owners_to_ask(ask.cell)[:OWNERS_ASKED]:
            if self.backoff_until.get(owner, 0.0) > now:
                continue
            ask.forced = not self.is_rendezvous_owner(ask.cell, owner)
            try:
                return await self._call_with_redirect(owner, ask)
            except errors.LinkError:
                self.metrics.count("placing.owner-silent")
                self.backoff_until[owner] = self.clock() + BACKOFF_SECONDS
                self.on_unresponsive(ask.cell)
                # It may have granted the request and the reply was lost.
                self.release(
                    owner, ask.cell, ask.serial, records.AttemptEnd.NOT_SENT
                )
        return "", None

    async def wait(
        self, serial: int, seconds: float
    ) -> messages.Granted | messages.Dropped:
        """Return the owner's reply to queued request `serial`.

        Raises
        ------
        TimeoutError
            After `seconds`.
        """
        answer = self.waiting[serial].answer
        return await asyncio.wait_for(asyncio.shield(answer), seconds)

    def release(
        self, owner: str, cell: str, serial: int, end: records.AttemptEnd
    ) -> None:
        """Release a grant or withdraw a queued request."""
        message = messages.Release(cell, self.name, serial, end)
        if not self.mesh.send(owner, message):
            # The next grant report omits it, which ends it.
            self.metrics.count("placing.release-unsent")

    def resolve(self, waiting: PendingAdmission, message: t.Any) -> None:
        """Resolve the future of a queued request, unless it is done."""
        if not waiting.answer.done():
            waiting.answer.set_result(message)

    async def _call_with_redirect(self, owner: str, ask: messages.Admit):
        answer = await self._call(owner, ask)
        if isinstance(answer, messages.NotOwner):
            # Two routers may redirect to each other: force the second to
            # decide.
            ask.forced = True
            owner = self.follow_redirect(owner, answer)
            answer = await self._call(owner, ask)
        return owner, answer

    def follow_redirect(self, asked: str, answer: messages.NotOwner) -> str:
        """Record a redirect from `asked`; return the router to use next.

        A redirect to a router that is not live here is ignored: `asked` has
        not noticed its loss yet and has to decide itself.
        """
        if answer.owner not in self.mesh.live():
            return asked
        self.record_redirect(answer.cell, answer.owner)
        return answer.owner

    async def _call(self, owner: str, ask: messages.Admit):
        future = asyncio.get_running_loop().create_future()
        # Recorded before the call: a grant report sent meanwhile must not
        # make the owner drop this request.
        self.waiting[ask.serial] = PendingAdmission(ask.cell, owner, future)
        answer = None
        try:
            answer = await self.mesh.call(owner, ask, ASK_TIMEOUT_SECONDS)
            return answer
        except asyncio.CancelledError:
            self.release(
                owner, ask.cell, ask.serial, records.AttemptEnd.CANCELLED
            )
            raise
        finally:
            if not isinstance(answer, messages.Queued):
                del self.waiting[ask.serial]


def _do_nothing(_cell: str) -> None:
    """Default callback: there are no grants to report."""
