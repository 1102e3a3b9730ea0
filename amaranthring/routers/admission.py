"""Owner side of admission control: the cells whose load this router counts.

Requests are granted or refused in the message handler, without a task per
request. A queued request is answered later by a one-way message. One
periodic task per router handles lease expiry, deadlines and digests.
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
MAX_CELLS = 4096


class Controller:
    """Admission control for the cells that this router owns.

    Parameters
    ----------
    name : str
        This router.
    table : object
        Target table, see ``docs/INTERNALS.md``.
    mesh : object
        Links to the other routers, see ``docs/INTERNALS.md``.
    config : callable
        Returns the active configuration revision.
    metrics : Metrics, optional
        Metrics of this process.
    clock : callable
        Monotonic clock, in seconds.
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
        self.last_used: dict[str, float] = {}
        self.owner_by_cell: dict[str, str] = {}
        self.known_live: set[str] = set()
        self.closing = False
        self.ready: collections.abc.Callable[[], bool] = _always_ready
        table.subscribe(self.target_changed)
        mesh.subscribe(self.routers_changed)

    def add_handlers(self, handlers) -> None:
        """Register this module's message handlers."""
        handlers.add(messages.Admit, self.on_admit)
        handlers.add(messages.Release, self.on_release)
        handlers.add(messages.GrantReport, self.on_grant_report)
        handlers.add(messages.CellDigest, self.on_digest)
        handlers.add(messages.DescribeTarget, self.on_describe)

    # -- messages --

    def on_admit(self, _link, ask: messages.Admit):
        """Grant, queue, redirect or refuse one request."""
        if not self.ready():
            # A restarted router counts as an owner once its links are up,
            # while its target table is still empty. It would refuse
            # requests that others can place; this error makes the entry
            # router ask the deputy.
            raise errors.NotReadyError(
                f"{self.name} does not know its targets yet", retry_after=1.0
            )
        scope = _scope(ask.cell)
        owner = self._other_owner(ask.cell, scope)
        if owner and (self.closing or not ask.forced):
            return messages.NotOwner(ask.cell, self.name, owner)
        if owner and ask.cell not in self.cells:
            self._request_grant_reports(ask.cell, scope)
        cell = self._cell(ask.cell)
        request = admission.Request(
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
            placed = cell.admit(request, self._policy(ask), self.clock())
        except errors.RefusedError as error:
            self.metrics.count(f"admission.refused.{error.code}")
            raise
        finally:
            self._send_results(cell)
        if placed is not None:
            self.metrics.count("admission.granted")
            return _granted(ask.cell, ask.serial, placed)
        if request.key in cell.queue.waiters:
            self.metrics.count("admission.queued")
            return messages.Queued()
        self.metrics.count("admission.elsewhere")
        return messages.CellFull(cell.cells_with_room(request, self.clock()))

    def on_release(self, _link, message: messages.Release) -> None:
        """Release a grant or withdraw a queued request."""
        cell = self.cells.get(message.cell)
        if cell is None:
            return
        key = (message.router, message.serial)
        cell.release(key, self.clock(), message.end)
        self._send_results(cell)

    def on_grant_report(self, _link, message: messages.GrantReport) -> None:
        """Renew leases, adopt grants and repair lost messages."""
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
            self._request_grant_reports(message.cell, scope)
        cell = self._cell(message.cell)
        now = self.clock()
        held = _decode_held(message)
        waiting = {
            message.next_serial - distance for distance in message.waiting
        }
        cell.counts.renew(message.router, held, now)
        if not message.partial:
            known = waiting | set(held)
            cell.release_unknown(message.router, message.next_serial, known)
            self._resend_replies(cell, message.router, waiting)
        cell.serve(now)
        self._send_results(cell)

    def _resend_replies(self, cell, router: str, waiting: set[int]) -> None:
        # The reply to a queued request may have been lost, or its queue
        # may have been lost with the previous owner.
        for serial in waiting:
            key = (router, serial)
            grant = cell.counts.held.get(key)
            if grant is not None:
                answer = messages.Granted(cell.name, serial, grant.target)
                self._send(router, answer)
            elif key not in cell.queue.waiters:
                self._send(router, messages.Dropped(serial, moved=True))

    def on_digest(self, _link, message: messages.CellDigest) -> None:
        """Record the load of a sibling of the cell `message.to`.

        Creates the cell if no request has reached it yet, so that its
        siblings learn that it has capacity.
        """
        if self._other_owner(message.to, _scope(message.to)):
            return
        now = self.clock()
        sibling = admission.SiblingLoad(
            message.in_flight,
            message.targets,
            message.room,
            message.waiting,
            now,
        )
        self._cell(message.to).update_sibling(message.cell, sibling)
        self.last_used[message.to] = now

    def on_describe(self, _link, message: messages.DescribeTarget):
        """Return the record of a target that an entry router lacks."""
        return messages.TargetDescribed(self.table.get(message.name))

    # -- changes --

    def target_changed(self, name: str) -> None:
        """Refresh the cells that contain target `name`."""
        now = self.clock()
        target = self.table.get(name)
        self.owner_by_cell.clear()
        for cell in self.cells.values():
            is_member = target is not None and _scope(cell.name).holds(target)
            if is_member or name in cell.targets:
                self._refresh(cell)
                cell.serve(now)
                self._send_results(cell)

    def config_changed(self) -> None:
        """Refresh all cells, since the drained targets may have changed."""
        self.owner_by_cell.clear()
        for cell in self.cells.values():
            self._refresh(cell)
            cell.serve(self.clock())
            self._send_results(cell)

    def routers_changed(self) -> None:
        """Shorten leases of lost routers; transfer cells to new owners."""
        live = set(self.mesh.live())
        now = self.clock()
        self.owner_by_cell.clear()
        for router in self.known_live - live:
            for cell in self.cells.values():
                cell.router_lost(router, now)
        self.known_live = live
        for name in list(self.cells):
            owner = self._other_owner(name, _scope(name))
            if owner:
                self._transfer_cell(self.cells.pop(name), owner)

    async def run(self) -> None:
        """Expire leases and deadlines and send digests, until cancelled."""
        sent_at = self.clock()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = self.clock()
            self.tick(now)
            if now - sent_at >= DIGEST_SECONDS:
                sent_at = now
                self.tell_siblings(now)

    def tick(self, now: float) -> None:
        """Expire leases and queued requests; drop idle cells."""
        for name, cell in list(self.cells.items()):
            for waiter in cell.expire(now):
                error = errors.DeadlineError(
                    "the deadline passed while waiting",
                    retry_after=cell.queue_full_error().retry_after,
                )
                self.metrics.count("admission.expired")
                self._drop(waiter.key, error)
            if now - cell.refreshed_at >= REFRESH_SECONDS:
                # Eligibility of damped and silent targets changes with time.
                self._refresh(cell)
            cell.serve(now)
            self._send_results(cell)
            if cell.counts.held or len(cell.queue):
                self.last_used[name] = now
            elif now - self.last_used.get(name, now) > IDLE_SECONDS:
                del self.cells[name]
                self.last_used.pop(name, None)

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
        """Transfer every cell to its next owner on a graceful stop.

        Entry routers are told to ask the new owner for their queued
        requests. They report their grants to it as well; the transfer covers
        the time until then.
        """
        self.closing = True
        self.owner_by_cell.clear()
        for name in list(self.cells):
            owner = self._other_owner(name, _scope(name))
            if owner:
                self._transfer_cell(self.cells.pop(name), owner)
        logs.event(log, "admission.handed-over")

    # -- internals --

    def _transfer_cell(self, cell: admission.Cell, owner: str) -> None:
        self._transfer_grants(cell, owner)
        for router, serial in list(cell.queue.waiters):
            self._send(router, messages.Dropped(serial, moved=True))

    def _request_grant_reports(self, name: str, scope: cells.Scope) -> None:
        # A deputy that knows only the grants of the first router that asks
        # would exceed the bound until all routers have reported.
        message = messages.GrantReportRequest(name, self.name)
        data_centres = {target.data_centre for target in self._members(scope)}
        for centre in sorted(data_centres):
            for router in self.mesh.live(centre):
                self._send(router, message)

    def _transfer_grants(self, cell: admission.Cell, new_owner: str) -> None:
        by_router: dict[str, dict[str, list[int]]] = {}
        next_serials: dict[str, int] = {}
        for router, serial in cell.counts.held:
            next_serials[router] = max(next_serials.get(router, 0), serial + 1)
        suspects: dict[str, list[int]] = {}
        for (router, serial), grant in cell.counts.held.items():
            distance = next_serials[router] - serial
            targets = by_router.setdefault(router, {})
            targets.setdefault(grant.target, []).append(distance)
            if grant.suspect:
                suspects.setdefault(router, []).append(distance)
        for router, targets in by_router.items():
            message = messages.GrantReport(
                cell.name,
                router,
                next_serials[router],
                targets,
                suspects=suspects.get(router, []),
                partial=True,
                forced=True,
            )
            self._send(new_owner, message)

    def _cell(self, name: str) -> admission.Cell:
        cell = self.cells.get(name)
        if cell is None:
            if len(self.cells) >= MAX_CELLS:
                raise errors.QueueFullError(
                    "too many cells", retry_after=IDLE_SECONDS
                )
            cell = admission.Cell(name, self.clock())
            self.cells[name] = cell
            self.last_used[name] = self.clock()
            self._refresh(cell)
        return cell

    def _refresh(self, cell: admission.Cell) -> None:
        cell.set_targets(self._members(_scope(cell.name)))
        cell.refreshed_at = self.clock()

    def _members(self, scope: cells.Scope):
        eligible = self.table.eligible(scope.kind, scope.serves[0])
        drained = self.config().drained
        return [
            target
            for target in eligible
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
        """Return the owner of cell `name`; empty if it is this router."""
        owner = self.owner_by_cell.get(name)
        if owner is None:
            members = self._members(scope)
            order = cells.owners(name, members, self.mesh.live)
            if self.closing:
                order = [router for router in order if router != self.name]
            owner = order[0] if order else ""
            if len(self.owner_by_cell) >= MAX_CELLS:
                self.owner_by_cell.clear()
            self.owner_by_cell[name] = owner
        return "" if owner == self.name else owner

    def _sibling_owners(self, name: str) -> dict[str, str]:
        scope = _scope(name)
        owner_by_sibling = {}
        for serves in scope.serves:
            eligible = self.table.eligible(scope.kind, serves)
            for other, members in cells.group(eligible).items():
                if other != name and _are_siblings(_scope(other), scope):
                    order = cells.owners(other, members, self.mesh.live)
                    owner_by_sibling.update({other: order[0]} if order else {})
        return owner_by_sibling

    def _send_results(self, cell: admission.Cell) -> None:
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
            # Repaired by the entry router's next grant report.
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


def _always_ready() -> bool:
    return True


def _scope(name: str) -> cells.Scope:
    try:
        return cells.parse(name)
    except ValueError as error:
        raise errors.FrameError(
            "malformed cell", given=name, expected="the name of a cell"
        ) from error


def _decode_held(message: messages.GrantReport) -> dict[int, tuple[str, bool]]:
    suspects = set(message.suspects)
    return {
        message.next_serial - distance: (target, distance in suspects)
        for target, serials in message.held.items()
        for distance in serials
    }


def _are_siblings(one: cells.Scope, other: cells.Scope) -> bool:
    return (one.kind, one.region) == (other.kind, other.region) and bool(
        set(one.serves) & set(other.serves)
    )
