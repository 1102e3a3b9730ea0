"""The keeper's side: announcements in, plan and targets out to routers."""

import asyncio
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.core import pacing
from amaranthring.core import wire
from amaranthring.keepers import dispatch
from amaranthring.keepers import messages as keeper_messages
from amaranthring.keepers import plans
from amaranthring.registry import messages
from amaranthring.registry import plan_source
from amaranthring.registry import publisher
from amaranthring.registry import sharing
from amaranthring.registry import targets

log = logbook.Logger(__name__)

# Targets announce themselves about every beat; one lost or late beat is
# ordinary, so silence begins after three.
SILENT_INTERVALS = 3.5
FRESH_INTERVALS = 1.5
# Keepers tell each other this often whom they heard.
GOSSIP_SECONDS = 0.4
# Longer than a beat held up by a cut is likely to be late.
RETENTION_SECONDS = 60.0
# An operator gives a keeper one second for an answer and then asks another.
ANSWER_SECONDS = 0.9
RETRY_SECONDS = 0.05


class Hub:
    """State of one keeper towards targets, operators and routers.

    Parameters
    ----------
    group : consensus.Group
        The group that holds the plan.
    machine : plans.PlanMachine
        Its state.
    handlers : links.Handlers
        Of this keeper's listener.
    beat_seconds : float
        How often targets announce themselves.
    clock : callable
        Seconds that go on while the VM is suspended.
    pacer : pacing.Pacer
        Of this VM's link.

    Attributes
    ----------
    routers : dict of links.Link to str
        Linked routers and their names.
    """

    def __init__(
        self,
        group: t.Any,
        machine: plans.PlanStateMachine,
        handlers: links.Handlers,
        beat_seconds: float,
        clock: t.Callable[[], float],
        pacer: pacing.Pacer,
    ):
        self.group = group
        self.machine = machine
        self.announce_seconds = beat_seconds
        self.table = targets.TargetTable(clock, FRESH_INTERVALS * beat_seconds)
        self.routers: dict[links.Link, str] = {}
        self.exchange = sharing.Exchange(
            handlers,
            lambda: [peer.dialler for peer in group.peers.values()],
            clock,
            pacer,
        )
        self.tasks: list[asyncio.Task] = []
        self.plan_source = plan_source.PlanSource(machine, pacer)
        self.publisher = publisher.TargetPublisher(
            lambda: self.routers, self.table.records, pacer
        )
        self.notified_version = machine.version
        self.notice_due = False
        group.on_applied.append(self._applied)
        group.on_leader.append(self._leads)
        handlers.add(messages.Renew, self._on_renew)
        handlers.add(messages.FetchPlan, self._on_fetch)
        handlers.add(messages.PlanTaken, self._on_held)
        handlers.add(messages.Targets, self._on_targets)
        handlers.add(messages.AllTargets, self._on_all_targets)
        handlers.add(messages.Heard, self._on_heard)

    def start(self) -> None:
        """Start telling the other keepers whom this one heard."""
        for work in (self._run(), self.exchange.run(), self.publisher.run()):
            self.tasks.append(asyncio.ensure_future(work))

    def stop(self) -> None:
        """End the tasks."""
        for task in self.tasks:
            task.cancel()

    # -- targets -----------------------------------------------------

    def announce(self, record: messages.TargetRecord) -> None:
        """Take the announcement of a target.

        Raises
        ------
        errors.NotReadyError
            If nobody would hear of it here; the target asks another keeper.
        """
        self._require_connected()
        if self.table.merge(record):
            held = self.table.entries[record.id].record
            targets.log_change(held)
            self._tell([held])

    def refuse(self, fault: errors.AmaranthringError) -> None:
        """Note an announcement that names no target to use.

        It may come from another writer than a target: the targets that are
        known stay as they are.
        """
        self.group.metrics.count("announcement.refused")
        logs.event(log, "announcement.refused", fault=str(fault))

    def leave(self, name: str, born: int = 0) -> None:
        """Take the notice that a target is gone.

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
            self._tell([record])

    def _require_connected(self) -> None:
        # A keeper that is cut off would acknowledge that a target leaves
        # while the routers go on sending to it.
        if not self.routers and not self.group.leader():
            raise errors.NotReadyError(
                "this keeper is cut off from the others and from all routers"
            )

    def _tell(self, records: list[messages.TargetRecord]) -> None:
        self.publisher.publish(records)
        message = messages.Targets(records)
        for peer in self.group.peers.values():
            peer.dialler.send(message)

    def _on_all_targets(
        self, link: links.Link, message: messages.AllTargets
    ) -> None:
        _require_keeper(link)
        self._merge(messages.unpack_targets(message))

    def _on_targets(self, link: links.Link, message: messages.Targets) -> None:
        _require_keeper(link)
        self._merge(message.records)

    def _merge(self, records: list[messages.TargetRecord]) -> None:
        changed = [
            self.table.entries[record.id].record
            for record in records
            if self.table.merge(record)
        ]
        if changed:
            self.publisher.publish(changed)

    def _on_heard(self, link: links.Link, message: messages.Heard) -> None:
        _require_keeper(link)
        for target_id, sequence in message.sequences.items():
            if self.table.record_heartbeat(target_id, sequence):
                self._tell([self.table.entries[target_id].record])

    async def _run(self) -> None:
        told: dict[str, int] = {}
        linked: set[str] = set()
        while True:
            await asyncio.sleep(GOSSIP_SECONDS)
            told = self._tell_heard(told)
            linked = self._greet_new_peers(linked)
            if self.group.leader():
                silent = SILENT_INTERVALS * self.announce_seconds
                marked = self.table.mark_silent(silent)
                if marked:
                    for record in marked:
                        logs.event(log, "target.silent", target=record.id)
                    self._tell(marked)
            self.table.remove_expired(RETENTION_SECONDS)

    def _tell_heard(self, told: dict[str, int]) -> dict[str, int]:
        now = {r.id: r.sequence for r in self.table.records()}
        news = {i: s for i, s in now.items() if s > told.get(i, -1)}
        if news:
            for peer in self.group.peers.values():
                peer.dialler.send(messages.Heard(news))
        return now

    def _greet_new_peers(self, linked: set[str]) -> set[str]:
        # A keeper that was away hears everything again on its new link.
        now = {
            name
            for name, peer in self.group.peers.items()
            if peer.dialler.link is not None
        }
        records = self.table.records()
        for name in now - linked:
            dialler = self.group.peers[name].dialler
            self.exchange.sync_keeper(dialler)
            if records:
                dialler.send(messages.pack_targets(records))
        return now

    # -- plan --------------------------------------------------------

    async def put(self, version: int, document: bytes) -> int:
        """Put a plan in force and return the version in force after it.

        Raises
        ------
        errors.NoQuorumError, errors.NotLeaderError
            Nothing was accepted.
        errors.CommitUnknownError, errors.LinkError
            It may come in force.
        """
        held = await self._propose(self.machine.put_command(version, document))
        if held.version < version:
            # The change was made from a plan that this keeper held and that
            # was not in force any more, or not yet.
            whole = plans.PutPlan(version, plans.compress(document))
            held = await self._propose(whole)
        logs.event(log, "plan.put", version=version, in_force=held.version)
        return held.version

    async def _propose(self, command: t.Any) -> plans.PlanVersion:
        tag = wire.tag_of(type(command))
        return await self._at_leader(
            lambda seconds: self.group.propose(command, seconds),
            lambda seconds: keeper_messages.Propose(
                self.group.name, tag, command, seconds
            ),
        )

    async def read(self) -> messages.PlanBody:
        """Return the newest plan that was acknowledged anywhere.

        Raises
        ------
        errors.AmaranthringError
            If this keeper cannot be sure which one is.
        """
        return await self._at_leader(
            self._read_here, lambda _: messages.FetchPlan(newest=True)
        )

    async def _read_here(self, seconds: float) -> messages.PlanBody:
        await self.group.read_barrier(seconds)
        return messages.PlanBody(self.machine.version, self.machine.body)

    async def _at_leader(self, here, message):
        """Do a thing here if this keeper leads, else ask the leader.

        Both things may be repeated, so a leader that has just changed is
        no reason to send the operator away while there is time.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + ANSWER_SECONDS
        fault: errors.AmaranthringError = errors.NoQuorumError(
            "the keepers have no leader", retry_after=1.0
        )
        while (left := deadline - loop.time()) > RETRY_SECONDS:
            try:
                if self.group.leading:
                    return await here(left)
                peer = self.group.peers.get(self.group.leader())
                if peer is not None:
                    return await peer.dialler.call(message(left), left)
            except (
                errors.NotLeaderError,
                errors.NoQuorumError,
                errors.LinkClosedError,
            ) as error:
                fault = error
            await asyncio.sleep(RETRY_SECONDS)
        raise fault

    def _applied(self, _index: int) -> None:
        if self.machine.version <= self.notified_version:
            return
        self.notified_version = self.machine.version
        self.plan_source.record_version()
        if not self.notice_due:
            # A follower that catches up applies many plans in one go.
            self.notice_due = True
            asyncio.get_running_loop().call_soon(self._notify)

    def _leads(self, _term: int) -> None:
        # Routers without a confirmed plan ask at once; their next question
        # would come up to half a second later.
        self._notify()

    def _notify(self) -> None:
        self.notice_due = False
        notice = messages.PlanNotice(self.machine.version, self.group.leading)
        publisher.broadcast(self.routers, notice)

    # -- routers -----------------------------------------------------

    def on_link(self, link: links.Link) -> None:
        """Take in a router that has just linked."""
        if link.peer.role != messages.ROUTER_ROLE:
            return
        logs.event(log, "router.linked", router=link.peer.name)
        self.routers[link] = link.peer.name
        self.publisher.add_router(link)

    def on_unlink(self, link: links.Link) -> None:
        """Forget a router whose link has ended."""
        self.plan_source.forget(link)
        if self.routers.pop(link, None) is not None:
            logs.event(log, "router.unlinked", router=link.peer.name)

    async def _on_renew(self, _link: t.Any, _message: messages.Renew):
        confirmed = False
        if self.group.leading:
            try:
                await self.group.read_barrier(ANSWER_SECONDS)
                confirmed = True
            except errors.RefusedError:
                # Deposed or cut off meanwhile: the router asks another.
                pass
        peers = self.group.peers.values()
        known = [self.group.keeper.address, *(peer.address for peer in peers)]
        return messages.Renewed(
            self.machine.version,
            confirmed,
            len(set(self.routers.values())),
            sorted(set(known)),
        )

    async def _on_fetch(self, link, message: messages.FetchPlan):
        if message.newest:
            return await self._read_here(ANSWER_SECONDS)
        return await self.plan_source.fetch(message.held, link)

    def _on_held(self, link: links.Link, message: messages.PlanTaken) -> None:
        self.plan_source.note_held(link, message.version)


def _require_keeper(link: links.Link) -> None:
    if link.peer.role != dispatch.KEEPER_ROLE:
        raise errors.ForbiddenError(
            "news of targets", given=link.peer.role, expected="a keeper"
        )
