"""The keeper's service: takes announcements, distributes plan and targets."""

import asyncio
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import background
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.core import pacing
from amaranthring.core import periodic
from amaranthring.core import wire
from amaranthring.keepers import dispatch
from amaranthring.keepers import messages as keeper_messages
from amaranthring.keepers import plans
from amaranthring.registry import accepted
from amaranthring.registry import crash_ledger
from amaranthring.registry import departures
from amaranthring.registry import messages
from amaranthring.registry import plan_source
from amaranthring.registry import publisher
from amaranthring.registry import router_census
from amaranthring.registry import sharing
from amaranthring.registry import spending
from amaranthring.registry import stream_ledger
from amaranthring.registry import targets

log = logbook.Logger(__name__)

# In announcement intervals. One lost or late announcement is ordinary, so a
# target counts as silent after three.
SILENT_INTERVALS = 3.5
FRESH_INTERVALS = 1.5
# Interval at which keepers tell each other which targets they have heard from.
GOSSIP_SECONDS = 0.4
# Longer than a partition is likely to delay an announcement.
RETENTION_SECONDS = 60.0
# An operator allows a keeper one second for an answer, then asks another.
ANSWER_SECONDS = 0.9
RETRY_SECONDS = 0.05


class Hub:
    """Serves targets, operators and routers on one keeper.

    Parameters
    ----------
    group : consensus.Group
        The group that replicates the plan.
    machine : plans.PlanStateMachine
        The state machine of the group.
    handlers : links.Handlers
        Of this keeper's listener.
    announce_seconds : float
        How often targets announce themselves.
    clock : callable
        Seconds; continues while the VM is suspended.
    pacer : pacing.Pacer
        Of this VM's link.
    retry_window : float
        Seconds over which routers count retries.

    Attributes
    ----------
    routers : dict of links.Link to str
        Linked routers and their names.
    accepted : accepted.AcceptedLinks
        All links that this keeper accepted.
    on_departure : list of callable
        Called when targets have announced that they leave, or have left.
    """

    def __init__(
        self,
        group: t.Any,
        machine: plans.PlanStateMachine,
        handlers: links.Handlers,
        announce_seconds: float,
        clock: t.Callable[[], float],
        pacer: pacing.Pacer,
        retry_window: float = router_census.DEFAULT_WINDOW_SECONDS,
    ):
        self.group = group
        self.machine = machine
        self.announce_seconds = announce_seconds
        self.table = targets.TargetTable(
            clock, FRESH_INTERVALS * announce_seconds
        )
        self.routers: dict[links.Link, str] = {}
        self.census = router_census.RouterCensus(
            self.routers.values, retry_window, clock
        )
        self.routers_told_at = float("-inf")
        self.spending = spending.SpendingRecords(retry_window, clock)
        self.accepted = accepted.AcceptedLinks(time.monotonic())
        self.streams = stream_ledger.StreamLedger(
            handlers, self.table, FRESH_INTERVALS * announce_seconds, clock
        )
        self.streams.keeper_names = lambda: [group.keeper.name, *group.peers]
        self.exchange = sharing.Exchange(
            handlers,
            lambda: [peer.dialler for peer in group.peers.values()],
            clock,
            pacer,
            self.streams,
        )
        self.crashes = crash_ledger.CrashLedger(
            handlers, lambda: self.routers, clock
        )
        self.on_departure: list[t.Callable[[], None]] = []
        # Sequences that the other keepers were told of, by target.
        self.gossiped: dict[str, int] = {}
        # Links to other keepers on which these got the whole state.
        self.synced: dict[str, links.Link] = {}
        self.tasks: list[asyncio.Task] = []
        self.plan_source = plan_source.PlanSource(machine, pacer)
        self.publisher = publisher.TargetPublisher(
            lambda: self.routers, self.table.records, pacer
        )
        self.departures = departures.Departures(
            group, self.table, self.publisher
        )
        self.notified_version = machine.version
        self.notice_due = False
        group.on_applied.append(self._on_applied)
        group.on_leader.append(self._on_leader)
        handlers.add(messages.Renew, self._on_renew)
        handlers.add(messages.FetchPlan, self._on_fetch)
        handlers.add(messages.PlanTaken, self._on_plan_taken)
        handlers.add(messages.Targets, self._on_targets)
        handlers.add(messages.AllTargets, self._on_all_targets)
        handlers.add(messages.Heard, self._on_heard)

    def start(self) -> None:
        """Start the background tasks."""
        for name, run in (
            ("targets", self._run),
            ("exchange", self.exchange.run),
            ("publisher", self.publisher.run),
        ):
            self.tasks.append(background.keep_running(name, run))

    def stop(self) -> None:
        """Cancel the background tasks."""
        self.crashes.stop()
        for task in self.tasks:
            task.cancel()

    # -- targets -----------------------------------------------------

    def announce(self, record: messages.TargetRecord) -> None:
        """Merge the announcement of a target.

        Raises
        ------
        errors.NotReadyError
            If this keeper can pass it on to nobody; the target then asks
            another keeper.
        """
        self._require_connected()
        self.streams.will_announce(record)
        if self.table.merge(record):
            merged = self.table.entries[record.id].record
            targets.log_change(merged)
            self._note_departures([merged])
            self._broadcast([merged])

    def refuse(self, error: errors.AmaranthringError) -> None:
        """Record a refused announcement.

        It may come from a sender other than the target, so the known targets
        stay as they are.
        """
        self.group.metrics.count("announcement.refused")
        logs.event(log, "announcement.refused", fault=str(error))

    def leave(self, name: str, born: int = 0) -> messages.TargetRecord | None:
        """Mark a target as gone.

        Returns its record, or None if a later incarnation is known.

        Parameters
        ----------
        born : int
            As in :class:`messages.TargetRecord`.

        Raises
        ------
        errors.NotReadyError
            As :meth:`announce`.
        """
        self._require_connected()
        record = self.table.mark_gone_by_name(name, born)
        if record is not None:
            logs.event(log, "target.left", target=record.id)
            self._note_departures([record])
            self._broadcast([record])
        return record

    async def confirm_departure(self, target_id: str) -> None:
        """Wait until the departure of a target is known to a quorum.

        Raises
        ------
        errors.NotReadyError
            As :meth:`departures.Departures.confirm`.
        """
        await self.departures.confirm(target_id)

    def _note_departures(self, records: list[messages.TargetRecord]) -> None:
        if any(map(messages.leaves, records)):
            for callback in self.on_departure:
                callback()

    def _require_connected(self) -> None:
        # A partitioned keeper would acknowledge that a target leaves while the
        # routers continue to send to it.
        if not self.routers and not self.group.leader():
            raise errors.NotReadyError(
                "this keeper is cut off from the others and from all routers"
            )

    def _broadcast(self, records: list[messages.TargetRecord]) -> None:
        self.publisher.publish(records)
        message = messages.Targets(records)
        for peer in self.group.peers.values():
            peer.dialler.send(message)

    def _on_all_targets(
        self, link: links.Link, message: messages.AllTargets
    ) -> None:
        _require_keeper(link)
        self._merge(messages.unpack_targets(message))

    def _on_targets(
        self, link: links.Link, message: messages.Targets
    ) -> t.Awaitable[None] | None:
        _require_keeper(link)
        self._merge(message.records)
        if any(map(messages.leaves, message.records)):
            # The reply tells the other keeper that the routers are told.
            return self.publisher.flush()
        return None

    def _merge(self, records: list[messages.TargetRecord]) -> None:
        for record in records:
            self.streams.will_announce(record)
        changed = [
            self.table.entries[record.id].record
            for record in records
            if self.table.adopt(record)
        ]
        if changed:
            self._note_departures(changed)
            self.publisher.publish(changed)

    def _on_heard(self, link: links.Link, message: messages.Heard) -> None:
        _require_keeper(link)
        self.census.record_told(message.routers)
        for target_id, sequence in message.sequences.items():
            if self.table.record_heartbeat(target_id, sequence):
                self._broadcast([self.table.entries[target_id].record])

    async def _run(self) -> None:
        steps = (
            self._gossip_heard,
            self._sync_new_peers,
            self._mark_silent,
            self._withdraw_living,
            self.streams.refresh_releases,
            self._remove_expired,
            self._close_silent_links,
        )
        while True:
            await asyncio.sleep(GOSSIP_SECONDS)
            for step in steps:
                # One that fails must not keep the others from being done.
                periodic.run_step(step, step.__name__, self.group.metrics)

    def _mark_silent(self) -> None:
        if not self.group.leader():
            return
        silent = self.table.mark_silent(
            SILENT_INTERVALS * self.announce_seconds
        )
        for record in silent:
            logs.event(log, "target.silent", target=record.id)
        if silent:
            self._broadcast(silent)

    def _withdraw_living(self) -> None:
        self.crashes.withdraw_living(self.table, self.announce_seconds)

    def _remove_expired(self) -> None:
        self.table.remove_expired(RETENTION_SECONDS)
        self.departures.forget_removed()

    def _close_silent_links(self) -> None:
        self.accepted.close_silent(time.monotonic())

    def _gossip_heard(self) -> None:
        current = {r.id: r.sequence for r in self.table.records()}
        advanced = {
            i: s for i, s in current.items() if s > self.gossiped.get(i, -1)
        }
        routers = self._take_routers_to_tell()
        if advanced or routers:
            for peer in self.group.peers.values():
                peer.dialler.send(messages.Heard(advanced, routers))
        self.gossiped = current

    def _take_routers_to_tell(self) -> list[str]:
        """Return the linked routers if the other keepers are to be told."""
        now = time.monotonic()
        if now - self.routers_told_at < self.census.tell_seconds:
            return []
        self.routers_told_at = now
        return sorted(set(self.routers.values()))

    def _sync_new_peers(self) -> None:
        # A keeper gets the whole state on each new link; what was sent on the
        # one before may be lost, also if there was always a link.
        current = {
            name: peer.dialler.link
            for name, peer in self.group.peers.items()
            if peer.dialler.link is not None
        }
        records = self.table.records()
        for name, link in current.items():
            if self.synced.get(name) is link:
                continue
            dialler = self.group.peers[name].dialler
            self.exchange.sync_keeper(dialler)
            if records:
                dialler.send(messages.pack_targets(records))
        self.synced = current

    # -- plan --------------------------------------------------------

    async def put(self, version: int, document: bytes) -> int:
        """Commit a plan and return the version in force afterwards.

        Raises
        ------
        errors.NoQuorumError, errors.NotLeaderError
            Nothing was accepted.
        errors.CommitUnknownError, errors.LinkError
            The plan may still be committed.
        """
        if self.machine.version >= version:
            # Committed already, for example by a call whose caller got no
            # answer. Another entry would only have to wait for the disks.
            return self.machine.version
        in_force = await self._propose(
            self.machine.put_command(version, document)
        )
        if in_force.version < version:
            # The delta was made against a plan of this keeper that is not the
            # one in force, so the whole plan is proposed.
            full_plan = plans.PutPlan(version, plans.compress(document))
            in_force = await self._propose(full_plan)
        logs.event(log, "plan.put", version=version, in_force=in_force.version)
        return in_force.version

    async def _propose(self, command: t.Any) -> plans.PlanVersion:
        tag = wire.tag_of(type(command))
        return await self._call_leader(
            lambda seconds: self.group.propose(command, seconds),
            lambda seconds: keeper_messages.Propose(
                self.group.name, tag, command, seconds
            ),
        )

    async def read(self) -> messages.PlanBody:
        """Return the newest plan that any keeper has acknowledged.

        Raises
        ------
        errors.AmaranthringError
            If this keeper cannot establish which plan that is.
        """
        return await self._call_leader(
            self._read_here, lambda _: messages.FetchPlan(newest=True)
        )

    async def _read_here(self, seconds: float) -> messages.PlanBody:
        await self.group.read_barrier(seconds)
        return messages.PlanBody(self.machine.version, self.machine.body)

    async def _call_leader(self, local_call, make_request):
        """Run `local_call` if this keeper leads, else ask the leader.

        Both are idempotent, so a change of leader is retried until the
        deadline instead of failing the operator's call.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + ANSWER_SECONDS
        last_error: errors.AmaranthringError = errors.NoQuorumError(
            "the keepers have no leader", retry_after=1.0
        )
        while (remaining := deadline - loop.time()) > RETRY_SECONDS:
            try:
                if self.group.leading:
                    return await local_call(remaining)
                peer = self.group.peers.get(self.group.leader())
                if peer is not None:
                    return await peer.dialler.call(
                        make_request(remaining), remaining
                    )
            except (
                errors.NotLeaderError,
                errors.NoQuorumError,
                errors.LinkClosedError,
            ) as error:
                last_error = error
            await asyncio.sleep(RETRY_SECONDS)
        raise last_error

    def _on_applied(self, _index: int) -> None:
        if self.machine.version <= self.notified_version:
            return
        self.notified_version = self.machine.version
        self.plan_source.record_version()
        self.streams.plan_moves.add(self.machine.document)
        if not self.notice_due:
            # A follower that catches up applies many plans in one pass;
            # routers get one notice for all of them.
            self.notice_due = True
            asyncio.get_running_loop().call_soon(self._notify_routers)

    def _on_leader(self, _term: int) -> None:
        # Lets routers without a confirmed plan ask at once; their next renewal
        # may be half a second away.
        self._notify_routers()

    def _notify_routers(self) -> None:
        self.notice_due = False
        notice = messages.PlanNotice(self.machine.version, self.group.leading)
        publisher.broadcast(self.routers, notice)

    # -- routers -----------------------------------------------------

    def on_link(self, link: links.Link) -> None:
        """Register a process that has just linked."""
        self.accepted.add(link)
        if link.peer.role != messages.ROUTER_ROLE:
            return
        logs.event(log, "router.linked", router=link.peer.name)
        self.routers[link] = link.peer.name
        self.census.update()
        self.publisher.add_router(link)
        self.crashes.add_router(link)

    def on_unlink(self, link: links.Link) -> None:
        """Remove a process whose link has closed."""
        self.accepted.remove(link)
        self.plan_source.forget(link)
        if self.routers.pop(link, None) is not None:
            self.census.update()
            logs.event(log, "router.unlinked", router=link.peer.name)

    async def _on_renew(self, link: t.Any, message: messages.Renew):
        confirmed = False
        if message.ends:
            await self.spending.fetch(link)
        elif self.group.leading:
            try:
                await self.group.read_barrier(ANSWER_SECONDS)
                confirmed = True
            except errors.RefusedError:
                # Deposed or partitioned meanwhile: the router asks another
                # keeper.
                pass
        peers = self.group.peers.values()
        known = [self.group.keeper.address, *(peer.address for peer in peers)]
        return messages.Renewed(
            self.machine.version,
            confirmed,
            self.census.count(),
            sorted(set(known)),
            self.census.counted_seconds(link.peer.name),
            self.spending.give(link.peer) if message.takes else None,
        )

    async def _on_fetch(self, link, message: messages.FetchPlan):
        if message.newest:
            return await self._read_here(ANSWER_SECONDS)
        return await self.plan_source.fetch(message.held, link)

    def _on_plan_taken(
        self, link: links.Link, message: messages.PlanTaken
    ) -> None:
        self.plan_source.note_held(link, message.version)


def _require_keeper(link: links.Link) -> None:
    if link.peer.role != dispatch.KEEPER_ROLE:
        raise errors.ForbiddenError(
            "only keepers may send target records",
            given=link.peer.role,
            expected="a keeper",
        )
