"""Entry-router side of admission: find a place for a request and ask for it.

The way: ask the directory where the chat ran last; order the cells by the
chat's preference; ask the first cell's owner, its deputy when the owner is
silent, and decide from local estimates when both are. A request for which
its own cell has no room is offered to cells that have.
"""

import collections.abc
import dataclasses
import time

from amaranthring import errors
from amaranthring.core import fleet
from amaranthring.core import hashing
from amaranthring.core import metrics as counters
from amaranthring.core import records
from amaranthring.policy import cells
from amaranthring.policy import estimates
from amaranthring.routers import admission_messages as messages
from amaranthring.routers import grants
from amaranthring.routers import owner_client

DESCRIBE_SECONDS = 0.4
ELSEWHERE_MOST = 3
ASKS_MOST = 8
RETRY_AFTER_SECONDS = 1.0
# Damped, silent and drained targets change without a word from the table.
GROUPED_SECONDS = 0.5
GROUPS_MOST = 1024
SERIAL_PER_SECOND = 1000


@dataclasses.dataclass
class Search:
    """What is known while a place is looked for.

    Attributes
    ----------
    request : Request
        Whom it is for.
    remembered : list of str
        Where the chat ran, the last place first.
    suspect : bool
        Whether a target died while the request ran there.
    excluded : set of str
        Targets not to take.
    """

    request: records.Request
    remembered: list[str]
    suspect: bool
    excluded: set[str]

    @property
    def chat(self) -> str:
        """Return what rendezvous orders by."""
        return self.request.chat or self.request.request_id


class Placer:
    """Finds places for the requests of one entry router.

    Parameters
    ----------
    name, data_centre, region : str
        This router.
    table, mesh : object
        Target table and links, as in ``docs/INTERNALS.md``.
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
        self.calls = owner_client.OwnerClient(
            name, data_centre, table, mesh, self.metrics, clock
        )
        self.held = grants.HeldGrants(
            name, self.calls, lambda: self.serial + 1
        )
        self.groups: dict[tuple, tuple[float, dict[str, list]]] = {}
        mesh.subscribe(self.routers_changed)
        table.subscribe(self.target_changed)

    def add_handlers(self, handlers) -> None:
        """Answer this module's messages from `handlers`."""
        self.held.add_handlers(handlers)

    async def run(self) -> None:
        """Renew what is held. Runs for ever."""
        await self.held.run()

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
            found.targets,
            bool(found.deaths),
            excluded | set(found.deaths),
        )
        grant = await self._search(search)
        grant.queued_seconds = self.clock() - began
        return grant

    def release(self, grant: records.Grant, end: records.End) -> None:
        """Give `grant` back; never blocks. A second release does nothing."""
        serial = int(grant.grant_id.rpartition(":")[2])
        holding = self.held.remove(serial)
        if holding is None:
            return
        if holding.owner:
            self.calls.release(holding.owner, holding.cell, serial, end)
        request = holding.request
        if holding.suspect and end == records.End.DONE:
            self.suspicion.ended(request)

    def routers_changed(self) -> None:
        """Tell new owners at once; ask again what waited at lost ones."""
        self.calls.routers_changed()
        self.held.renew()

    # -- searching --

    async def _search(self, search: Search) -> records.Grant:
        for _ in range(ASKS_MOST):
            order = self._cells(search)
            if not order:
                raise self._no_target(search)
            try:
                grant = await self._try(search, order[0])
            except errors.RefusedError:
                grant = await self._first_at_once(search, order[1:])
                if grant is None:
                    raise
            if grant is not None:
                return grant
        raise errors.QueueFullError(
            "owners kept moving", retry_after=RETRY_AFTER_SECONDS
        )

    def _no_target(self, search: Search) -> errors.NoTargetError:
        return errors.NoTargetError(
            "no target is known that may take this",
            given=search.request.serves,
            expected="a ready target",
            retry_after=self.config().preset.lease_seconds,
        )

    def _cells(self, search: Search) -> list[str]:
        """Return the cells that may take the request, best first."""
        ranks = {}
        for name, members in self._grouped(search.request).items():
            usable = [t for t in members if t.name not in search.excluded]
            if usable:
                ranks[name] = self._rank(search, name, usable)
        return sorted(ranks, key=ranks.__getitem__)

    def _grouped(self, request) -> dict[str, list[records.Target]]:
        """Return the cells of this region that serve `request`."""
        wanted = (request.kind, request.serves)
        expires, found = self.groups.get(wanted, (0.0, {}))
        if expires > self.clock():
            return found
        eligible = [
            target
            for target in self.table.eligible(*wanted)
            if target.region == self.region
        ]
        found = cells.group(eligible)
        if len(self.groups) >= GROUPS_MOST:
            self.groups.clear()
        self.groups[wanted] = (self.clock() + GROUPED_SECONDS, found)
        return found

    def target_changed(self, _name: str) -> None:
        """Group the targets anew."""
        self.groups.clear()

    def _rank(self, search: Search, name: str, members: list):
        names = {target.name for target in members}
        places = [name in names for name in search.remembered]
        centre = cells.parse(name).data_centre
        near = centre in ("", self.data_centre)
        best = max(hashing.weight(search.chat, t.name) for t in members)
        return ([not place for place in places], not near, -best, name)

    async def _try(self, search: Search, cell: str) -> records.Grant | None:
        """Ask one cell; return None if it has to be asked again."""
        ask = self._message(search, cell)
        owner, answer = await self.calls.ask(ask)
        if isinstance(answer, messages.CellFull):
            grant = await self._elsewhere(search, cell, answer.cells)
            if grant is not None:
                return grant
            ask = self._message(search, cell, alone=True)
            owner, answer = await self.calls.ask(ask)
        if owner == "":
            return self._local(search, ask)
        if isinstance(answer, messages.Queued):
            answer = await self._wait(search, ask, owner)
        if isinstance(answer, messages.Granted):
            return await self._accept(search, owner, answer)
        if answer.moved:
            return None
        raise errors.from_record(answer.error)

    def _message(
        self, search, cell: str, at_once=False, alone=False
    ) -> messages.Admit:
        request = search.request
        self.serial += 1
        return messages.Admit(
            cell,
            self.name,
            self.serial,
            request.account,
            request.cls,
            request.priority,
            request.chat,
            max(0.0, request.deadline - self.clock()),
            search.remembered,
            sorted(search.excluded),
            search.suspect,
            at_once,
            alone=alone,
        )

    async def _wait(self, search, ask, owner: str):
        """Wait for the owner's word on a queued request."""
        answer = None
        try:
            left = max(0.0, search.request.deadline - self.clock())
            answer = await self.calls.wait(ask.serial, left)
            return answer
        except TimeoutError as error:
            raise errors.DeadlineError(
                "the deadline passed while waiting",
                retry_after=RETRY_AFTER_SECONDS,
            ) from error
        finally:
            del self.calls.waiting[ask.serial]
            if answer is None:
                end = records.End.CANCELLED
                self.calls.release(owner, ask.cell, ask.serial, end)

    async def _elsewhere(self, search, cell: str, roomy: list[str]):
        usable = self._cells(search)
        others = [c for c in roomy if c in usable and c != cell]
        return await self._first_at_once(search, others)

    async def _first_at_once(self, search, others) -> records.Grant | None:
        for cell in others[:ELSEWHERE_MOST]:
            ask = self._message(search, cell, at_once=True)
            try:
                owner, answer = await self.calls.ask(ask)
            except errors.RefusedError:
                continue
            if isinstance(answer, messages.Granted):
                grant = await self._accept(search, owner, answer)
                if grant is not None:
                    return grant
        return None

    async def _accept(self, search, owner: str, granted: messages.Granted):
        target = self.table.get(granted.target)
        if target is None:
            target = await self._describe(owner, granted.target)
        if target is None:
            end = records.End.NOT_SENT
            self.calls.release(owner, granted.cell, granted.serial, end)
            return None
        grant = self._hold(search, granted.cell, granted.serial, owner, target)
        grant.load = granted.load
        grant.in_flight = granted.in_flight
        grant.targets = granted.targets
        return grant

    async def _describe(self, owner: str, name: str):
        """Ask the owner about a target that this router has not heard of."""
        ask = messages.DescribeTarget(name)
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
            remembered=search.remembered[:1] == [target.name],
            import_from=self._import_from(search, target),
            cell=cell,
        )
        held = grants.HeldGrant(
            cell, owner, grant, search.request, search.suspect
        )
        self.held.add(serial, held)
        if search.suspect:
            self.suspicion.began(search.request, target.name)
        if search.request.chat and not grant.remembered:
            # At once: the prefix is computed first, long before the answer
            # ends, and the chat may return meanwhile through any router.
            self.directory.remember(search.request.chat, target.name)
        return grant

    def _import_from(self, search, target) -> records.Target | None:
        """Return where the chat's KV cache may still be had."""
        if target.name in search.remembered:
            return None
        known = [self.table.get(name) for name in search.remembered]
        return next((each for each in known if each is not None), None)

    def _local(self, search, ask: messages.Admit) -> records.Grant:
        """Decide from this router's own count and the lagging reports."""
        self.metrics.count("placing.local")
        members = {
            target.name: target
            for target in self.calls.members(ask.cell)
            if target.name not in search.excluded
        }
        known = [name for name in search.remembered if name in members]
        order = known + hashing.order(search.chat, members)
        seen = {name: self._estimate(name) for name in members}
        bound = self.config().preset.load_bound
        best = estimates.choose_target(order, members, seen, bound)
        if best is None:
            raise errors.QueueFullError(
                "no owner answers and the estimates leave no room",
                retry_after=RETRY_AFTER_SECONDS,
            )
        return self._hold(search, ask.cell, ask.serial, "", members[best])

    def _estimate(self, name: str) -> estimates.LoadEstimate:
        report = self.table.report(name)
        reported = 0 if report is None else report.running + report.waiting
        return estimates.LoadEstimate(self.held.running[name], reported)
