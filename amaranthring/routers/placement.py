"""Entry-router side of admission: choose a cell and ask its owner.

The router looks up the chat's prefix-cache locations, ranks the cells and
asks the owner of the best one, or its deputy if the owner does not answer. If
neither answers, it decides from local load estimates. If the cell is full, it
asks the owners of cells with capacity.
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

DESCRIBE_TIMEOUT_SECONDS = 0.4
MAX_OTHER_CELLS = 3
MAX_ATTEMPTS = 8
RETRY_AFTER_SECONDS = 1.0
# Damped, silent and drained targets change without a table event.
CELLS_CACHE_SECONDS = 0.5
MAX_CACHED_SERVICES = 1024
SERIALS_PER_SECOND = 1000


@dataclasses.dataclass
class Search:
    """Inputs for placing one request.

    Attributes
    ----------
    request : Request
        Request to place.
    remembered : list of str
        Targets that ran the chat, most recent first.
    suspect : bool
        Whether a target died while the request ran there.
    excluded : set of str
        Targets that must not be used.
    """

    request: records.Request
    remembered: list[str]
    suspect: bool
    excluded: set[str]

    @property
    def chat(self) -> str:
        """Return the rendezvous key."""
        return self.request.chat or self.request.request_id


class Placer:
    """Places the requests of one entry router on targets.

    Parameters
    ----------
    name, data_centre, region : str
        This router.
    table, mesh : object
        Target table and links, see ``docs/INTERNALS.md``.
    directory : Directory
        Prefix-cache locations of chats.
    suspicion : CrashTracker
        Tracks requests that are suspected of crashing targets.
    config : callable
        Returns the active configuration revision.
    metrics : Metrics, optional
        Metrics of this process.
    clock : callable
        Clock of request deadlines, in seconds.
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
        # Keeps growing across restarts, so that an owner cannot confuse
        # grants of this process with those of its predecessor.
        self.serial = int(time.time() * SERIALS_PER_SECOND)
        self.calls = owner_client.OwnerClient(
            name, data_centre, table, mesh, self.metrics, clock
        )
        self.held = grants.HeldGrants(
            name, self.calls, lambda: self.serial + 1
        )
        self.cells_by_service: dict[tuple, tuple[float, dict[str, list]]] = {}
        mesh.subscribe(self.routers_changed)
        table.subscribe(self.target_changed)

    def add_handlers(self, handlers) -> None:
        """Register this module's message handlers."""
        self.held.add_handlers(handlers)

    async def run(self) -> None:
        """Renew held grants until cancelled."""
        await self.held.run()

    # -- interface to the request pipeline --

    async def admit(
        self, request: records.Request, excluded: set[str]
    ) -> records.Grant:
        """Return a grant to send `request` to one target.

        Parameters
        ----------
        request : Request
            Request to place; its deadline bounds the wait.
        excluded : set of str
            Targets that must not be used, such as those where it failed.

        Raises
        ------
        errors.NoTargetError, errors.QueueFullError, errors.DeadlineError
            With ``retry_after``.
        errors.QuarantinedError
            If two targets died while the request ran there.
        errors.SuspectedError
            If two targets may have died while the request ran there.
        """
        started = self.clock()
        locations = await self.directory.find(
            request.chat or request.body_digest, request.body_digest
        )
        if locations.condemned:
            raise errors.QuarantinedError(
                "targets crashed while this request ran there"
            )
        if locations.pending:
            raise errors.SuspectedError(
                "two targets broke off while this request ran there; whether "
                "they crashed is not known yet",
                given=request.body_digest,
                expected="a request whose targets have answered",
                retry_after=self.config().preset.lease_seconds,
            )
        search = Search(
            request,
            locations.targets,
            bool(locations.deaths),
            excluded | set(locations.deaths),
        )
        grant = await self._place(search)
        grant.queued_seconds = self.clock() - started
        return grant

    def release(self, grant: records.Grant, end: records.AttemptEnd) -> None:
        """Release `grant` without blocking. Idempotent."""
        serial = int(grant.grant_id.rpartition(":")[2])
        held_grant = self.held.remove(serial)
        if held_grant is None:
            return
        if held_grant.owner:
            self.calls.release(held_grant.owner, held_grant.cell, serial, end)
        request = held_grant.request
        if held_grant.suspect and end == records.AttemptEnd.DONE:
            self.suspicion.suspect_finished(request)

    def routers_changed(self) -> None:
        """Report grants to new owners; retry requests queued at lost ones."""
        self.calls.routers_changed()
        self.held.renew()

    # -- placement --

    async def _place(self, search: Search) -> records.Grant:
        for _ in range(MAX_ATTEMPTS):
            order = self._ranked_cells(search)
            if not order:
                raise self._no_target(search)
            try:
                grant = await self._ask_cell(search, order[0])
            except errors.RefusedError:
                grant = await self._first_immediate(search, order[1:])
                if grant is None:
                    raise
            if grant is not None:
                return grant
        raise errors.QueueFullError(
            "the owner kept changing", retry_after=RETRY_AFTER_SECONDS
        )

    def _no_target(self, search: Search) -> errors.NoTargetError:
        return errors.NoTargetError(
            "no known target can serve this request",
            given=search.request.serves,
            expected="a ready target",
            retry_after=self.config().preset.lease_seconds,
        )

    def _ranked_cells(self, search: Search) -> list[str]:
        """Return the cells that can serve the request, best first."""
        ranks = {}
        for name, members in self._cells_of(search.request).items():
            usable = [t for t in members if t.name not in search.excluded]
            if usable:
                ranks[name] = self._rank(search, name, usable)
        return sorted(ranks, key=ranks.__getitem__)

    def _cells_of(self, request) -> dict[str, list[records.Target]]:
        """Return the cells of this region that serve `request`."""
        service = (request.kind, request.serves)
        expires, grouped = self.cells_by_service.get(service, (0.0, {}))
        if expires > self.clock():
            return grouped
        eligible = [
            target
            for target in self.table.eligible(*service)
            if target.region == self.region
        ]
        grouped = cells.group(eligible)
        if len(self.cells_by_service) >= MAX_CACHED_SERVICES:
            self.cells_by_service.clear()
        self.cells_by_service[service] = (
            self.clock() + CELLS_CACHE_SECONDS,
            grouped,
        )
        return grouped

    def target_changed(self, _name: str) -> None:
        """Clear the cached cells."""
        self.cells_by_service.clear()

    def _rank(self, search: Search, name: str, members: list):
        names = {target.name for target in members}
        remembered = [name in names for name in search.remembered]
        centre = cells.parse(name).data_centre
        local = centre in ("", self.data_centre)
        best = max(hashing.weight(search.chat, t.name) for t in members)
        return ([not match for match in remembered], not local, -best, name)

    async def _ask_cell(
        self, search: Search, cell: str
    ) -> records.Grant | None:
        """Ask one cell; return None if the caller should ask again."""
        ask = self._admit_message(search, cell)
        owner, answer = await self.calls.ask(ask)
        if isinstance(answer, messages.CellFull):
            grant = await self._ask_other_cells(search, cell, answer.cells)
            if grant is not None:
                return grant
            ask = self._admit_message(search, cell, alone=True)
            owner, answer = await self.calls.ask(ask)
        if owner == "":
            return self._place_locally(search, ask)
        if isinstance(answer, messages.Queued):
            answer = await self._wait_in_queue(search, ask, owner)
        if isinstance(answer, messages.Granted):
            return await self._accept(search, owner, answer)
        if answer.moved:
            return None
        raise errors.from_record(answer.error)

    def _admit_message(
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

    async def _wait_in_queue(self, search, ask, owner: str):
        """Wait for the owner's reply to a queued request."""
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
                end = records.AttemptEnd.CANCELLED
                self.calls.release(owner, ask.cell, ask.serial, end)

    async def _ask_other_cells(self, search, cell: str, candidates: list[str]):
        usable = self._ranked_cells(search)
        others = [c for c in candidates if c in usable and c != cell]
        return await self._first_immediate(search, others)

    async def _first_immediate(self, search, others) -> records.Grant | None:
        for cell in others[:MAX_OTHER_CELLS]:
            ask = self._admit_message(search, cell, at_once=True)
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
            target = await self._fetch_target(owner, granted.target)
        if target is None:
            end = records.AttemptEnd.NOT_SENT
            self.calls.release(owner, granted.cell, granted.serial, end)
            return None
        grant = self._add_grant(
            search, granted.cell, granted.serial, owner, target
        )
        grant.load = granted.load
        grant.in_flight = granted.in_flight
        grant.targets = granted.targets
        return grant

    async def _fetch_target(self, owner: str, name: str):
        """Ask the owner for a target record that this router lacks."""
        ask = messages.DescribeTarget(name)
        try:
            answer = await self.mesh.call(owner, ask, DESCRIBE_TIMEOUT_SECONDS)
        except errors.AmaranthringError:
            return None
        return answer.target

    def _add_grant(self, search, cell, serial, owner, target) -> records.Grant:
        grant = records.Grant(
            f"{self.name}:{serial}",
            owner,
            target,
            remembered=search.remembered[:1] == [target.name],
            import_from=self._import_from(search, target),
            cell=cell,
        )
        held_grant = grants.HeldGrant(
            cell, owner, grant, search.request, search.suspect
        )
        self.held.add(serial, held_grant)
        if search.suspect:
            self.suspicion.suspect_started(search.request, target.name, owner)
        if search.request.chat and not grant.remembered:
            # Stored before the answer ends: the prefix is cached early, and
            # the chat may already return through another router.
            self.directory.remember(search.request.chat, target.name)
        return grant

    def _import_from(self, search, target) -> records.Target | None:
        """Return a target that may still hold the chat's KV cache."""
        if target.name in search.remembered:
            return None
        known = [self.table.get(name) for name in search.remembered]
        return next((record for record in known if record is not None), None)

    def _place_locally(self, search, ask: messages.Admit) -> records.Grant:
        """Choose a target by this router's own counts and load reports."""
        self.metrics.count("placing.local")
        members = {
            target.name: target
            for target in self.calls.members(ask.cell)
            if target.name not in search.excluded
        }
        known = [name for name in search.remembered if name in members]
        order = known + hashing.order(search.chat, members)
        loads = {name: self._estimate(name) for name in members}
        bound = self.config().preset.load_bound
        best = estimates.choose_target(order, members, loads, bound)
        if best is None:
            raise errors.QueueFullError(
                "no owner answers and all targets are at their bound",
                retry_after=RETRY_AFTER_SECONDS,
            )
        return self._add_grant(search, ask.cell, ask.serial, "", members[best])

    def _estimate(self, name: str) -> estimates.LoadEstimate:
        report = self.table.report(name)
        reported = 0 if report is None else report.running + report.waiting
        return estimates.LoadEstimate(self.held.running[name], reported)
