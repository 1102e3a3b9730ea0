"""Entry-router side of admission: find a place for a request and ask for it.

The way: ask the directory where the chat ran last; order the cells by the
chat's preference; ask the first cell's owner, its deputy when the owner is
silent, and decide from local estimates when both are. A request that has to
wait at its own cell is offered to cells that have room.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import time

import logbook

from amaranthring import errors
from amaranthring.core import fleet
from amaranthring.core import hashing
from amaranthring.core import metrics as counters
from amaranthring.core import records
from amaranthring.policy import admission
from amaranthring.policy import bounds
from amaranthring.policy import cells
from amaranthring.routers import admission_messages as messages

log = logbook.Logger(__name__)

ASK_SECONDS = 0.4
DESCRIBE_SECONDS = 0.4
SILENT_SECONDS = 1.0
RENEW_SECONDS = 2.0
REDIRECT_SECONDS = 3.0
OWNERS_KEPT = 3
CELLS_MOST = 4096
ELSEWHERE_MOST = 3
ASKS_MOST = 8
RETRY_AFTER_SECONDS = 1.0
SERIAL_PER_SECOND = 1000


@dataclasses.dataclass
class Holding:
    """A grant that this router holds.

    Attributes
    ----------
    cell : str
        Its cell.
    owner : str
        Router that counts it; empty for one from local estimates.
    grant : Grant
        What the way was given.
    request : Request
        Whom it is for.
    suspect : bool
        Whether the request may be what crashed a target.
    """

    cell: str
    owner: str
    grant: records.Grant
    request: records.Request
    suspect: bool = False


@dataclasses.dataclass
class Waiting:
    """A request that waits at an owner."""

    cell: str
    owner: str
    answer: asyncio.Future


@dataclasses.dataclass
class Search:
    """What is known while a place is looked for.

    Attributes
    ----------
    request : Request
        Whom it is for.
    remembered : str
        Where the chat ran last, or empty.
    suspect : bool
        Whether a target died while the request ran there.
    excluded : set of str
        Targets not to take.
    """

    request: records.Request
    remembered: str
    suspect: bool
    excluded: set[str]


class Placer:
    """Finds places for the requests of one entry router.

    Parameters
    ----------
    name, data_centre, region : str
        This router.
    table : object
        Target table, as in ``docs/INTERNALS.md``.
    mesh : object
        Links to the other routers, as there.
    directory : Directory
        Remembered places.
    suspicion : Suspicion
        Requests that may crash their targets.
    config : callable
        Returns the revision in force.
    metrics : Metrics, optional
        Counters of this process.
    clock : callable
        Seconds on the clock of request deadlines.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        region: str,
        table,
        mesh,
        directory,
        suspicion,
        config: collections.abc.Callable[[], fleet.FleetConfig],
        metrics: counters.Metrics | None = None,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ):
        self.name = name
        self.data_centre = data_centre
        self.region = region
        self.table = table
        self.mesh = mesh
        self.directory = directory
        self.suspicion = suspicion
        self.config = config
        self.metrics = metrics or counters.Metrics()
        self.clock = clock
        # Grows over restarts, so that an owner never takes a grant of this
        # process for one of its predecessor.
        self.serial = int(time.time() * SERIAL_PER_SECOND)
        self.holdings: dict[int, Holding] = {}
        self.waiting: dict[int, Waiting] = {}
        self.silent: dict[str, float] = {}
        self.orders: dict[str, list[str]] = {}
        self.pointed: dict[str, tuple[str, float]] = {}
        self.running: collections.Counter[str] = collections.Counter()
        mesh.subscribe(self.routers_changed)
        table.subscribe(self.target_changed)

    def add_handlers(self, handlers) -> None:
        """Answer this module's messages from `handlers`."""
        handlers.add(messages.Granted, self.on_granted)
        handlers.add(messages.Dropped, self.on_dropped)
        handlers.add(messages.NotOwner, self.on_not_owner)

    # -- the contract with the way --

    async def admit(
        self, request: records.Request, excluded: set[str]
    ) -> records.Grant:
        """Return leave to send `request` to one target.

        Parameters
        ----------
        request : Request
            Whom it is for; its deadline bounds the waiting.
        excluded : set of str
            Targets not to take, such as those that failed it.

        Raises
        ------
        errors.NoTargetError, errors.QueueFullError, errors.DeadlineError
            With ``retry_after``.
        errors.QuarantinedError
            If two targets died while it ran there.
        """
        began = self.clock()
        found = await self.directory.find(
            request.chat or request.body_digest, request.body_digest
        )
        if found.condemned:
            raise errors.QuarantinedError(
                "targets crashed while this request ran there"
            )
        search = Search(
            request,
            found.target,
            bool(found.deaths),
            excluded | set(found.deaths),
        )
        grant = await self._search(search)
        grant.queued_seconds = self.clock() - began
        return grant

    def release(self, grant: records.Grant, end: records.End) -> None:
        """Give `grant` back; never blocks. A second release does nothing."""
        serial = int(grant.grant_id.rpartition(":")[2])
        holding = self.holdings.pop(serial, None)
        if holding is None:
            return
        self.running[grant.target.name] -= 1
        if not self.running[grant.target.name]:
            del self.running[grant.target.name]
        if holding.owner:
            self._release(holding.owner, holding.cell, serial, end)
        request = holding.request
        ran = end in (records.End.DONE, records.End.CANCELLED)
        if holding.suspect and end == records.End.DONE:
            self.suspicion.ended(request)
        if ran and request.chat and not grant.remembered:
            self.directory.remember(request.chat, grant.target.name)

    # -- messages from owners --

    def on_granted(self, link, message: messages.Granted) -> None:
        """Wake the request that waited; give back what nobody waits for."""
        waiting = self.waiting.get(message.serial)
        if waiting is not None and not waiting.answer.done():
            waiting.answer.set_result(message)
        elif message.serial not in self.holdings and link is not None:
            self._release(
                link.peer.name,
                message.cell,
                message.serial,
                records.End.NOT_SENT,
            )

    def on_dropped(self, _link, message: messages.Dropped) -> None:
        """Wake the request that waited, with what the owner says."""
        waiting = self.waiting.get(message.serial)
        if waiting is not None and not waiting.answer.done():
            waiting.answer.set_result(message)

    def on_not_owner(self, _link, message: messages.NotOwner) -> None:
        """Tell this router's holdings to whom the asked one points."""
        known = self._redirected(message.cell)
        self._redirect(message.cell, message.owner)
        # Two routers may point at each other; then the second must take it.
        self._renew_cell(message.cell, forced=bool(known))

    # -- renewing --

    async def run(self) -> None:
        """Tell owners again and again what this router holds."""
        while True:
            await asyncio.sleep(RENEW_SECONDS)
            self.renew()

    def renew(self) -> None:
        """Tell each owner everything that this router holds in its cells.

        This renews leases and heals lost messages. A cell whose owner
        changed is told to the new one, so that its count is whole.
        """
        for cell in {each.cell for each in self._all()}:
            self._renew_cell(cell)

    def _all(self):
        return [*self.holdings.values(), *self.waiting.values()]

    def _renew_cell(self, cell: str, forced: bool = False) -> None:
        first = self._owner_order(cell)[:1]
        if not first:
            return
        owner = first[0]
        forced = forced or owner != self._natural_order(cell)[0]
        told = messages.Holdings(
            cell, self.name, self.serial + 1, {}, forced=forced
        )
        for serial, holding in self.holdings.items():
            if holding.cell == cell:
                self._note_holding(told, serial, holding)
        for serial, waiting in self.waiting.items():
            if waiting.cell == cell and waiting.owner == owner:
                told.waiting.append(told.next_serial - serial)
        if self.mesh.send(owner, told):
            for holding in self.holdings.values():
                if holding.cell == cell:
                    holding.owner = owner

    def _note_holding(self, told, serial: int, holding: Holding) -> None:
        back = told.next_serial - serial
        target = holding.grant.target.name
        told.held.setdefault(target, []).append(back)
        if holding.suspect:
            told.suspects.append(back)

    def target_changed(self, _name: str) -> None:
        """Work out anew who owns which cell."""
        self.orders.clear()

    def routers_changed(self) -> None:
        """Tell new owners at once, and ask again what waited at lost ones."""
        live = set(self.mesh.live())
        self.orders.clear()
        self.pointed.clear()
        for waiting in list(self.waiting.values()):
            gone = waiting.owner not in live
            if gone and not waiting.answer.done():
                waiting.answer.set_result(messages.Dropped(0, moved=True))
        for router in [r for r in self.silent if r not in live]:
            del self.silent[router]
        self.renew()

    # -- searching --

    async def _search(self, search: Search) -> records.Grant:
        fault: errors.RefusedError | None = None
        for _ in range(ASKS_MOST):
            order = self._cells(search)
            if not order:
                raise self._no_target(search)
            try:
                grant = await self._try(search, order)
            except errors.RefusedError as error:
                fault = await self._offer(search, order[1:], error)
                if isinstance(fault, records.Grant):
                    return fault
                raise error
            if grant is not None:
                return grant
        raise fault or errors.QueueFullError(
            "owners kept moving", retry_after=RETRY_AFTER_SECONDS
        )

    async def _offer(self, search, others, error):
        for cell in others[:ELSEWHERE_MOST]:
            grant = await self._at_once(search, cell)
            if grant is not None:
                return grant
        return error

    def _no_target(self, search: Search) -> errors.NoTargetError:
        return errors.NoTargetError(
            "no target is known that may take this",
            given=search.request.serves,
            expected="a ready target",
            retry_after=self.config().preset.lease_seconds,
        )

    def _cells(self, search: Search) -> list[str]:
        request = search.request
        eligible = [
            target
            for target in self.table.eligible(request.kind, request.serves)
            if target.region == self.region
        ]
        grouped = cells.group(eligible)
        usable = {
            name: [t for t in members if t.name not in search.excluded]
            for name, members in grouped.items()
        }
        chat = request.chat or request.request_id
        ranks = {}
        for name, members in usable.items():
            if members:
                ranks[name] = self._rank(search, chat, name, members)
        return sorted(ranks, key=ranks.__getitem__)

    def _rank(self, search, chat, name, members):
        remembered = any(t.name == search.remembered for t in members)
        centre = cells.parse(name).data_centre
        near = centre in ("", self.data_centre)
        best = max(hashing.weight(chat, target.name) for target in members)
        return (not remembered, not near, -best, name)

    async def _try(self, search, order) -> records.Grant | None:
        """Ask the first cell; return None if it has to be asked again."""
        cell = order[0]
        serial = self._next_serial()
        owner, answer = await self._ask(search, cell, serial, False)
        if owner == "":
            return self._local(search, cell, serial)
        if isinstance(answer, messages.Queued):
            answer = await self._wait(search, cell, serial, owner, answer)
        if isinstance(answer, records.Grant):
            return answer
        if isinstance(answer, messages.Granted):
            return await self._accept(search, owner, answer)
        if answer.moved:
            return None
        raise errors.from_record(answer.error)

    async def _ask(self, search, cell, serial, at_once):
        """Return who answered and what; an empty name if nobody did."""
        natural = self._natural_order(cell)[:1]
        for owner in self._owner_order(cell)[:2]:
            if self.silent.get(owner, 0.0) > self.clock():
                continue
            ask = self._message(search, cell, serial, at_once)
            ask.forced = [owner] != natural
            try:
                return await self._ask_owner(owner, ask)
            except errors.LinkError:
                self.metrics.count("placing.owner-silent")
                self.silent[owner] = self.clock() + SILENT_SECONDS
                self._release(owner, cell, serial, records.End.NOT_SENT)
        return "", None

    async def _ask_owner(self, owner, ask):
        answer = await self._call(owner, ask)
        if isinstance(answer, messages.NotOwner):
            owner = answer.owner
            # Whom it points at may point back; it has to decide.
            ask.forced = True
            answer = await self._call(owner, ask)
            self._redirect(ask.cell, owner)
        return owner, answer

    async def _call(self, owner, ask):
        waiting = Waiting(
            ask.cell, owner, asyncio.get_running_loop().create_future()
        )
        self.waiting[ask.serial] = waiting
        answer = None
        try:
            answer = await self.mesh.call(owner, ask, ASK_SECONDS)
            return answer
        except asyncio.CancelledError:
            self._release(owner, ask.cell, ask.serial, records.End.CANCELLED)
            raise
        finally:
            if not isinstance(answer, messages.Queued):
                self.waiting.pop(ask.serial, None)

    def _message(self, search, cell, serial, at_once) -> messages.Admit:
        request = search.request
        return messages.Admit(
            cell,
            self.name,
            serial,
            request.account,
            request.cls,
            request.priority,
            request.chat,
            max(0.0, request.deadline - self.clock()),
            search.remembered,
            sorted(search.excluded),
            search.suspect,
            at_once,
        )

    async def _wait(self, search, cell, serial, owner, queued):
        waiting = self.waiting[serial]
        granted = False
        try:
            usable = self._cells(search)
            others = [each for each in queued.elsewhere if each in usable]
            if search.suspect:
                # It waits for a target without a suspect, which says
                # nothing about load: any cell may have one.
                others = usable
            for other in [c for c in others if c != cell][:ELSEWHERE_MOST]:
                if waiting.answer.done():
                    break
                grant = await self._at_once(search, other)
                if grant is not None:
                    return grant
            left = max(0.0, search.request.deadline - self.clock())
            answer = await asyncio.wait_for(waiting.answer, left)
            granted = True
            return answer
        except TimeoutError as error:
            raise errors.DeadlineError(
                "the deadline passed while waiting",
                retry_after=RETRY_AFTER_SECONDS,
            ) from error
        finally:
            del self.waiting[serial]
            if not granted:
                end = records.End.CANCELLED
                self._release(owner, cell, serial, end)

    async def _at_once(self, search, cell) -> records.Grant | None:
        serial = self._next_serial()
        try:
            owner, answer = await self._ask(search, cell, serial, True)
        except errors.RefusedError:
            return None
        if not isinstance(answer, messages.Granted):
            return None
        return await self._accept(search, owner, answer)

    async def _accept(self, search, owner, granted):
        target = self.table.get(granted.target)
        if target is None:
            target = await self._describe(owner, granted)
        if target is None:
            self._release(
                owner, granted.cell, granted.serial, records.End.NOT_SENT
            )
            return None
        return self._hold(search, granted.cell, granted.serial, owner, target)

    async def _describe(self, owner, granted) -> records.Target | None:
        ask = messages.DescribeTarget(granted.target)
        try:
            answer = await self.mesh.call(owner, ask, DESCRIBE_SECONDS)
        except errors.AmaranthringError:
            return None
        return answer.target

    def _hold(self, search, cell, serial, owner, target) -> records.Grant:
        grant = records.Grant(
            f"{self.name}:{serial}",
            owner,
            target,
            remembered=target.name == search.remembered,
            import_from=self._import_from(search, target),
        )
        self.holdings[serial] = Holding(
            cell, owner, grant, search.request, search.suspect
        )
        self.running[target.name] += 1
        if search.suspect:
            self.suspicion.began(search.request, target.name)
        return grant

    def _import_from(self, search, target) -> records.Target | None:
        """Return where the chat's KV cache may still be had."""
        if not search.remembered or search.remembered == target.name:
            return None
        if self.table.state(search.remembered) == records.TargetState.LOST:
            return None
        return self.table.get(search.remembered)

    # -- without an owner --

    def _local(self, search, cell, serial) -> records.Grant:
        """Decide from this router's own count and the lagging reports.

        Both the own part and the estimate of the whole keep the tighter
        bound; parts of several routers then add up below the bound.
        """
        scope = cells.parse(cell)
        request = search.request
        members = {
            target.name: target
            for target in self.table.eligible(request.kind, request.serves)
            if scope.holds(target) and target.name not in search.excluded
        }
        self.metrics.count("placing.local")
        bound = bounds.tighter(self.config().preset.load_bound)
        estimate = {name: self._estimate(name) for name in members}
        count = len(members)
        own = sum(self.running[name] for name in members)
        own_most = bounds.most(bound, own + 1, count)
        all_most = bounds.most(bound, sum(estimate.values()) + 1, count)

        def room(name: str) -> int:
            if self.running[name] >= own_most:
                return 0
            return min(all_most, members[name].capacity)

        order = hashing.order(request.chat or request.request_id, members)
        if search.remembered in members:
            order.insert(0, search.remembered)
        best = bounds.first_with_room(order, estimate.__getitem__, room)
        if best is None:
            raise errors.QueueFullError(
                "no owner answers and the estimates leave no room",
                retry_after=admission.RETRY_AFTER_SECONDS,
            )
        return self._hold(search, cell, serial, "", members[best])

    def _estimate(self, name: str) -> int:
        report = self.table.report(name)
        reported = 0 if report is None else report.running + report.waiting
        return max(self.running[name], reported)

    # -- helpers --

    def _next_serial(self) -> int:
        self.serial += 1
        return self.serial

    def _natural_order(self, cell: str) -> list[str]:
        order = self.orders.get(cell)
        if order is not None:
            return order
        scope = cells.parse(cell)
        members = [
            target
            for target in self.table.eligible(scope.kind, scope.serves[0])
            if scope.holds(target)
        ]
        order = cells.owners(cell, members, self.mesh.live)[:OWNERS_KEPT]
        if not order:
            order = hashing.order(cell, self.mesh.live(self.data_centre))
        if len(self.orders) >= CELLS_MOST:
            self.orders.clear()
        self.orders[cell] = order
        return order

    def _owner_order(self, cell: str) -> list[str]:
        """Return whom to ask, silent ones last."""
        now = self.clock()
        order = self._natural_order(cell)
        pointed = self._redirected(cell)
        if pointed:
            order = [pointed, *(r for r in order if r != pointed)]
        return sorted(order, key=lambda r: self.silent.get(r, 0.0) > now)

    def _redirected(self, cell: str) -> str:
        owner, until = self.pointed.get(cell, ("", 0.0))
        return owner if until > self.clock() else ""

    def _redirect(self, cell: str, owner: str) -> None:
        if len(self.pointed) >= CELLS_MOST:
            self.pointed.clear()
        self.pointed[cell] = (owner, self.clock() + REDIRECT_SECONDS)

    def _release(self, owner, cell, serial, end) -> None:
        message = messages.Release(cell, self.name, serial, str(end))
        if not self.mesh.send(owner, message):
            # The next holdings message leaves it out, which ends it.
            self.metrics.count("placing.release-unsent")
