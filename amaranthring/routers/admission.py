"""Owner side of admission: the cells whose load this router counts.

Grants are answered in the handler itself, with no task per request; what
has to wait is answered by a one-way message when its turn comes. One task
per router does what time alone brings about.
"""

import asyncio
import collections.abc
import time

import logbook

from amaranthring import errors
from amaranthring.core import fleet
from amaranthring.core import logs
from amaranthring.core import metrics as counters
from amaranthring.policy import admission
from amaranthring.policy import cells
from amaranthring.policy import leases
from amaranthring.routers import admission_messages as messages

log = logbook.Logger(__name__)

TICK_SECONDS = 0.1
DIGEST_SECONDS = 0.5
REFRESH_SECONDS = 0.5
IDLE_SECONDS = 30.0
CELLS_MOST = 4096


class Controller:
    """All cells that this router owns.

    Parameters
    ----------
    name : str
        This router.
    table : object
        Target table, as in ``docs/INTERNALS.md``.
    mesh : object
        Links to the other routers, as there.
    config : callable
        Returns the revision in force.
    metrics : Metrics, optional
        Counters of this process.
    clock : callable
        Seconds on a monotonic clock.
    """

    def __init__(
        self,
        name: str,
        table,
        mesh,
        config: collections.abc.Callable[[], fleet.FleetConfig],
        metrics: counters.Metrics | None = None,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ):
        self.name = name
        self.table = table
        self.mesh = mesh
        self.config = config
        self.metrics = metrics or counters.Metrics()
        self.clock = clock
        self.cells: dict[str, admission.Cell] = {}
        self.used: dict[str, float] = {}
        self.orders: dict[str, str] = {}
        self.known_live: set[str] = set()
        self.closing = False
        self.ready: collections.abc.Callable[[], bool] = _always
        table.subscribe(self.target_changed)
        mesh.subscribe(self.routers_changed)

    def add_handlers(self, handlers) -> None:
        """Answer this module's messages from `handlers`."""
        handlers.add(messages.Admit, self.on_admit)
        handlers.add(messages.Release, self.on_release)
        handlers.add(messages.GrantReport, self.on_grant_report)
        handlers.add(messages.CellDigest, self.on_digest)
        handlers.add(messages.DescribeTarget, self.on_describe)

    # -- messages --

    def on_admit(self, _link, ask: messages.Admit):
        """Answer `Granted`, `Queued` or `NotOwner`, or raise the refusal."""
        if not self.ready():
            # A router that restarted is an owner by everybody's list as soon
            # as its links are up, with its table of targets still empty. It
            # would refuse what others can place; so the deputy is asked.
            raise errors.NotReadyError(
                f"{self.name} does not know its targets yet", retry_after=1.0
            )
        scope = _scope(ask.cell)
        owner = self._other_owner(ask.cell, scope)
        if owner and (self.closing or not ask.forced):
            return messages.NotOwner(ask.cell, self.name, owner)
        if owner and ask.cell not in self.cells:
            self._ask_holdings(ask.cell, scope)
        cell = self._cell(ask.cell)
        wanted = admission.Request(
            (ask.router, ask.serial),
            ask.account,
            ask.priority,
            ask.chat,
            ask.wait_seconds,
            tuple(ask.remembered),
            frozenset(ask.excluded),
            ask.suspect,
            ask.at_once,
            ask.alone,
        )
        try:
            placed = cell.admit(wanted, self._policy(ask), self.clock())
        except errors.RefusedError as error:
            self.metrics.count(f"admission.refused.{error.code}")
            raise
        finally:
            self._tell(cell)
        if placed is not None:
            self.metrics.count("admission.granted")
            return _granted(ask.cell, ask.serial, placed)
        if wanted.key in cell.queue.waiters:
            self.metrics.count("admission.queued")
            return messages.Queued()
        self.metrics.count("admission.elsewhere")
        return messages.CellFull(cell.cells_with_room(wanted, self.clock()))

    def on_release(self, _link, message: messages.Release) -> None:
        """Take a grant back or withdraw a waiting request."""
        cell = self.cells.get(message.cell)
        if cell is None:
            return
        key = (message.router, message.serial)
        cell.release(key, self.clock(), message.end)
        self._tell(cell)

    def on_grant_report(self, _link, message: messages.GrantReport) -> None:
        """Renew leases, take up grants, and heal what was lost."""
        scope = _scope(message.cell)
        owner = self._other_owner(message.cell, scope)
        if owner and (self.closing or not message.forced):
            answer = messages.NotOwner(message.cell, self.name, owner)
            self._send(message.router, answer)
            return
        empty = not message.held and not message.waiting
        if empty and message.cell not in self.cells:
            return
        if owner and message.cell not in self.cells and not message.partial:
            self._ask_holdings(message.cell, scope)
        cell = self._cell(message.cell)
        now = self.clock()
        held = _held(message)
        waiting = {message.next_serial - back for back in message.waiting}
        cell.counts.renew(message.router, held, now)
        if not message.partial:
            known = waiting | set(held)
            cell.release_unknown(message.router, message.next_serial, known)
            self._remind(cell, message.router, waiting)
        cell.serve(now)
        self._tell(cell)

    def _remind(self, cell, router: str, waiting: set[int]) -> None:
        # The answer to a waiting request may have been lost, or the queue
        # that it waits in went with its owner.
        for serial in waiting:
            key = (router, serial)
            held = cell.counts.held.get(key)
            if held is not None:
                answer = messages.Granted(cell.name, serial, held.target)
                self._send(router, answer)
            elif key not in cell.queue.waiters:
                self._send(router, messages.Dropped(serial, moved=True))

    def on_digest(self, _link, message: messages.CellDigest) -> None:
        """Note how a sibling of the cell `message.to` is loaded.

        A cell that nobody asked yet comes into being by it, so that its
        siblings hear that it has room.
        """
        if self._other_owner(message.to, _scope(message.to)):
            return
        now = self.clock()
        heard = admission.SiblingLoad(
            message.in_flight,
            message.targets,
            message.room,
            message.waiting,
            now,
        )
        self._cell(message.to).update_sibling(message.cell, heard)
        self.used[message.to] = now

    def on_describe(self, _link, message: messages.DescribeTarget):
        """Tell an entry router about a target that it has not heard of."""
        return messages.TargetDescribed(self.table.get(message.name))

    # -- changes --

    def target_changed(self, name: str) -> None:
        """Take the members of the cells of target `name` anew."""
        now = self.clock()
        target = self.table.get(name)
        self.orders.clear()
        for cell in self.cells.values():
            inside = target is not None and _scope(cell.name).holds(target)
            if inside or name in cell.targets:
                self._refresh(cell)
                cell.serve(now)
                self._tell(cell)

    def config_changed(self) -> None:
        """Take the members of all cells anew: drains changed, perhaps."""
        self.orders.clear()
        for cell in self.cells.values():
            self._refresh(cell)
            cell.serve(self.clock())
            self._tell(cell)

    def routers_changed(self) -> None:
        """Shorten leases of lost routers; hand on cells owned elsewhere."""
        live = set(self.mesh.live())
        now = self.clock()
        self.orders.clear()
        for router in self.known_live - live:
            for cell in self.cells.values():
                cell.router_lost(router, now)
        self.known_live = live
        for name in list(self.cells):
            owner = self._other_owner(name, _scope(name))
            if owner:
                self._move(self.cells.pop(name), owner)

    async def run(self) -> None:
        """Do what time brings: leases, deadlines, digests. Runs for ever."""
        told = self.clock()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self.clock()
            self.tick(now)
            if now - told >= DIGEST_SECONDS:
                told = now
                self.tell_siblings(now)

    def tick(self, now: float) -> None:
        """End leases and waiting that ran out; forget idle cells."""
        for name, cell in list(self.cells.items()):
            for waiter in cell.expire(now):
                error = errors.DeadlineError(
                    "the deadline passed while waiting",
                    retry_after=cell.queue_full_error().retry_after,
                )
                self.metrics.count("admission.expired")
                self._drop(waiter.key, error)
            if now - cell.refreshed_at >= REFRESH_SECONDS:
                # Damped and silent targets change by time alone.
                self._refresh(cell)
            cell.serve(now)
            self._tell(cell)
            if cell.counts.held or len(cell.queue):
                self.used[name] = now
            elif now - self.used.get(name, now) > IDLE_SECONDS:
                del self.cells[name]
                self.used.pop(name, None)

    def tell_siblings(self, now: float) -> None:
        """Send the digest of each cell to the owners of its siblings."""
        for name, cell in list(self.cells.items()):
            digest = cell.digest(now)
            for other, owner in self._sibling_owners(name).items():
                message = messages.CellDigest(
                    other,
                    name,
                    digest.in_flight,
                    digest.targets,
                    digest.room,
                    digest.waiting,
                )
                self._send(owner, message)

    def hand_over(self) -> None:
        """Give every cell to its next owner; waiting requests ask again.

        Called on a graceful stop. Entry routers repeat their holdings to
        the new owner; this only spares it the gap.
        """
        self.closing = True
        self.orders.clear()
        for name in list(self.cells):
            owner = self._other_owner(name, _scope(name))
            if owner:
                self._move(self.cells.pop(name), owner)
        logs.event(log, "admission.handed-over")

    # -- inside --

    def _move(self, cell: admission.Cell, owner: str) -> None:
        self._bequeath(cell, owner)
        for router, serial in list(cell.queue.waiters):
            self._send(router, messages.Dropped(serial, moved=True))

    def _ask_holdings(self, name: str, scope: cells.Scope) -> None:
        # A deputy that knows only what its first asker holds would grant
        # beyond the bound until every other router has noticed too.
        message = messages.GrantReportRequest(name, self.name)
        near = {target.data_centre for target in self._members(scope)}
        for centre in sorted(near):
            for router in self.mesh.live(centre):
                self._send(router, message)

    def _bequeath(self, cell: admission.Cell, heir: str) -> None:
        by_router: dict[str, dict[str, list[int]]] = {}
        newest: dict[str, int] = {}
        for router, serial in cell.counts.held:
            newest[router] = max(newest.get(router, 0), serial + 1)
        suspects: dict[str, list[int]] = {}
        for (router, serial), held in cell.counts.held.items():
            back = newest[router] - serial
            targets = by_router.setdefault(router, {})
            targets.setdefault(held.target, []).append(back)
            if held.suspect:
                suspects.setdefault(router, []).append(back)
        for router, targets in by_router.items():
            message = messages.GrantReport(
                cell.name,
                router,
                newest[router],
                targets,
                suspects=suspects.get(router, []),
                partial=True,
                forced=True,
            )
            self._send(heir, message)

    def _cell(self, name: str) -> admission.Cell:
        cell = self.cells.get(name)
        if cell is None:
            if len(self.cells) >= CELLS_MOST:
                raise errors.QueueFullError(
                    "too many cells", retry_after=IDLE_SECONDS
                )
            cell = admission.Cell(name, self.clock())
            self.cells[name] = cell
            self.used[name] = self.clock()
            self._refresh(cell)
        return cell

    def _refresh(self, cell: admission.Cell) -> None:
        cell.set_targets(self._members(_scope(cell.name)))
        cell.refreshed_at = self.clock()

    def _members(self, scope: cells.Scope):
        found = self.table.eligible(scope.kind, scope.serves[0])
        drained = self.config().drained
        return [
            target
            for target in found
            if scope.holds(target) and target.name not in drained
        ]

    def _policy(self, ask: messages.Admit) -> admission.Policy:
        preset = self.config().preset
        return admission.Policy(
            preset.load_bound,
            preset.account_policy(ask.account).weight,
            preset.class_policy(ask.cls).queue_most,
        )

    def _other_owner(self, name: str, scope: cells.Scope) -> str:
        owner = self.orders.get(name)
        if owner is None:
            members = self._members(scope)
            order = cells.owners(name, members, self.mesh.live)
            if self.closing:
                order = [router for router in order if router != self.name]
            owner = order[0] if order else ""
            if len(self.orders) >= CELLS_MOST:
                self.orders.clear()
            self.orders[name] = owner
        return "" if owner == self.name else owner

    def _sibling_owners(self, name: str) -> dict[str, str]:
        scope = _scope(name)
        found = {}
        for serves in scope.serves:
            near = self.table.eligible(scope.kind, serves)
            for other, members in cells.group(near).items():
                if other != name and _siblings(_scope(other), scope):
                    order = cells.owners(other, members, self.mesh.live)
                    found.update({other: order[0]} if order else {})
        return found

    def _tell(self, cell: admission.Cell) -> None:
        for placed in cell.granted:
            router, serial = placed.key
            self.metrics.count("admission.granted")
            answer = _granted(cell.name, serial, placed)
            self._send(router, answer)
        cell.granted.clear()
        for waiter in cell.evicted:
            self.metrics.count("admission.evicted")
            self._drop(waiter.key, cell.queue_full_error())
        cell.evicted.clear()

    def _drop(self, key: leases.Key, error) -> None:
        self._send(key[0], messages.Dropped(key[1], error.to_record()))

    def _send(self, router: str, message) -> None:
        if not self.mesh.send(router, message):
            # The entry router repeats its holdings; what it should have
            # heard now, it learns then.
            self.metrics.count("admission.unsent")


def _granted(cell: str, serial: int, placed) -> messages.Granted:
    return messages.Granted(
        cell,
        serial,
        placed.target,
        placed.queued_seconds,
        placed.load,
        placed.in_flight,
        placed.targets,
    )


def _always() -> bool:
    return True


def _scope(name: str) -> cells.Scope:
    try:
        return cells.parse(name)
    except ValueError as error:
        raise errors.FrameError(
            "malformed cell", given=name, expected="the name of a cell"
        ) from error


def _held(message: messages.GrantReport) -> dict[int, tuple[str, bool]]:
    suspects = set(message.suspects)
    return {
        message.next_serial - back: (target, back in suspects)
        for target, serials in message.held.items()
        for back in serials
    }


def _siblings(one: cells.Scope, other: cells.Scope) -> bool:
    return (one.kind, one.region) == (other.kind, other.region) and bool(
        set(one.serves) & set(other.serves)
    )
