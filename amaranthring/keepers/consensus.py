"""A group of keepers that agree on one durable log of commands.

:class:`Group` holds the state of this keeper in one group and is what other
packages use; the rules of the algorithm are functions that work on it, in
:mod:`roles`, :mod:`election`, :mod:`replication`, :mod:`applying`,
:mod:`membership` and :mod:`genesis`. See ``docs/design/consensus.md``.
"""

import asyncio
import random
import typing as t

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import metrics as metrics_module
from amaranthring.core import pacing
from amaranthring.core import wire
from amaranthring.keepers import applier
from amaranthring.keepers import disk
from amaranthring.keepers import election
from amaranthring.keepers import genesis
from amaranthring.keepers import log as logfile
from amaranthring.keepers import membership
from amaranthring.keepers import messages
from amaranthring.keepers import options as options_module
from amaranthring.keepers import recovery
from amaranthring.keepers import replication
from amaranthring.keepers import roles
from amaranthring.keepers import snapshots
from amaranthring.keepers import status
from amaranthring.keepers import store

WAITING_MOST = 10_000
CANCEL_SECONDS = 0.1


async def cancel_tasks(tasks: list[asyncio.Task]) -> None:
    """Cancel `tasks` until all have ended.

    A cancellation that comes in the very step in which a reply does is
    swallowed by ``asyncio.wait_for``; a task that then goes round its loop
    would hold up the end of the process for ever.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_SECONDS)


class Group:
    """Part of this keeper in one group.

    Parameters
    ----------
    name : str
        Name of the group.
    keeper : settings.PeerAddress
        This keeper.
    peers : list of settings.PeerAddress
        Every keeper of the settings, this one included.
    folder : path
        Data folder of this group.
    machine : options.Machine
        What committed commands are applied to.
    identity, keys, handlers
        For the streams to other keepers.
    options, clocks, files, metrics : optional
        Timing, time sources, system calls, counters.
    pacer : pacing.Pacer, optional
        Of the link, for snapshots and for entries that others lack.

    Attributes
    ----------
    on_applied : list of callable
        Called with the index after each applied entry.
    on_leader : list of callable
        Called with the term once this keeper leads and has applied
        everything committed before.
    on_follower : list of callable
        Called without arguments when it leads no more.
    fault : errors.StorageError, optional
        Why it stopped taking part.
    recoverable : bool
        Whether it takes part again once its disk works again; otherwise
        only after a restart of the process.
    heard_at, campaign_at, led_at : float
        Monotonic times: a leader was heard; a campaign is due; this keeper
        became the leader.
    led_from : int
        First entry of this keeper's leadership.
    favoured : election.Favoured, optional
        Candidate that it would vote for a moment ago.
    changed_at : float
        Monotonic time at which the members last changed: who was taken in
        then has had no time to answer before.

    Raises
    ------
    errors.StorageError
        If the folder is foreign, in use or damaged.
    """

    def __init__(
        self,
        name: str,
        keeper,
        peers: list,
        folder,
        machine: options_module.StateMachine,
        identity: links.Identity,
        keys: links.Keys,
        handlers: links.Handlers,
        options: options_module.Options | None = None,
        clocks: options_module.Clocks | None = None,
        files: disk.FileOps | None = None,
        metrics: metrics_module.Metrics | None = None,
        pacer: pacing.Pacer | None = None,
    ):
        self.name = name
        self.keeper = keeper
        self.machine = machine
        self.identity = identity
        self.keys = keys
        self.handlers = handlers
        self.options = options or options_module.Options()
        self.clocks = clocks or options_module.Clocks()
        self.metrics = metrics or metrics_module.Metrics()
        self.pacer = pacer
        self.random = random.Random()
        self.folder = folder
        self.files = files or disk.FileOps()
        self.empty_state = machine.snapshot()
        self._use_store(self.open_store())
        self.leading = False
        self.leadership_announced = False
        self.leader_disk = ""
        self.leader_since = 0.0
        self.term_start_index = 0
        self.changed_at = 0.0
        self.fault: errors.StorageError | None = None
        self.recoverable = False
        self.pending_proposals: dict[int, tuple[int, asyncio.Future]] = {}
        self.commit_advanced = asyncio.Event()
        self.snapshot_due = asyncio.Event()
        self.lease_changed = asyncio.Event()
        self.applied_changed = asyncio.Event()
        self.on_applied: list[t.Callable[[int], None]] = []
        self.on_leader: list[t.Callable[[int], None]] = []
        self.on_follower: list[t.Callable[[], None]] = []
        # A promise not to vote against a heard leader is kept in memory
        # only; counting a start as hearing one keeps it over restarts.
        self.heard_at = (
            self.options.process_started_at or self.clocks.monotonic()
        )
        self.campaign_at = 0.0
        self.favoured: election.PreVoteGrant | None = None
        election.schedule_first_campaign(self)
        self.tasks: list[asyncio.Task] = []
        self.peers: dict[str, replication.Peer] = {}
        self.configured = [peer for peer in peers if peer.name != keeper.name]
        for peer in self.configured:
            self.add_peer(peer.name, peer.address, peer.data_centre)

    def open_store(self) -> store.Store:
        """Return the durable state as it is in the folder.

        Raises
        ------
        errors.StorageError
            If the folder is foreign, in use or damaged.
        """
        return store.Store(
            self.folder,
            self.name,
            self.keeper.name,
            self.files,
            on_durable=lambda: replication.advance_commit_index(self),
            on_fault=lambda error: roles.fail_disk(self, error),
            kept_entries=self.options.kept_entries,
        )

    def _use_store(self, opened: store.Store) -> None:
        self.store = opened
        self.log = opened.log
        self.writer = opened.writer
        self.disk_id = opened.hard.disk
        self.term = opened.hard.term
        self.vote = opened.hard.vote
        self.receiver = snapshots.Receiver(opened.folder, opened.files)
        self.commit_index = self.applied_index = 0
        if opened.snapshot:
            applier.restore(self, opened.snapshot)
            opened.snapshot = None

    def resume(self, opened: store.Store) -> None:
        """Take part again after the disk failed, from what it holds.

        Everything begins as at a start of the process. Entries that were
        applied before may be missing on the disk, so the machine is built
        anew as well.
        """
        self.machine.restore(self.empty_state)
        self._use_store(opened)
        self.leader_disk = ""
        self.heard_at = self.clocks.monotonic()
        election.reset_election_timer(self)
        self.recoverable = False
        self.fault = None
        self._start_tasks(self.writer.run(), genesis.join(self))
        self.members_changed()

    def start(self) -> None:
        """Start the tasks of this group."""
        self._start_tasks(
            self.writer.run(),
            applier.run(self),
            applier.take_snapshots(self),
            election.run(self),
            membership.repair(self),
            genesis.join(self),
            genesis.rejoin(self),
            recovery.run(self),
        )
        for peer in self.peers.values():
            self._start_peer(peer)
        self.members_changed()

    def _start_tasks(self, *works: t.Coroutine) -> None:
        for work in works:
            task = asyncio.ensure_future(work)
            task.add_done_callback(self._task_ended)
            self.tasks.append(task)

    async def stop(self) -> None:
        """Step down, end all tasks and close the files."""
        roles.step_down(self, "stopping")
        for peer in self.peers.values():
            peer.stop()
        await cancel_tasks(self.tasks)
        self.store.close()

    @property
    def members(self) -> messages.Members:
        """Return the newest configuration, committed or not."""
        return self.store.members

    def leader(self) -> str:
        """Return the name of the leader, or an empty string.

        A keeper that is cut off hears of no election. Naming for ever the
        leader that it last heard would send routers after it, each call for
        its whole time, where they could be refused at once.
        """
        if not self.leading and not election.hears_leader(self):
            return ""
        member = membership.find(self.members, self.leader_disk)
        return member.name if member else ""

    def has_lease(self) -> bool:
        """Return whether no other keeper can lead at this moment."""
        now = self.clocks.monotonic()
        return self.leading and now < election.lease_until(self)

    def status(self) -> messages.Status:
        """Return the state of this keeper in the group."""
        return status.describe(self)

    async def propose(self, command: t.Any, timeout: float) -> t.Any:
        """Commit `command` and return what the machine made of it.

        Parameters
        ----------
        command : object
            A registered message.
        timeout : float
            Seconds to wait for the result.

        Raises
        ------
        errors.NotLeaderError, errors.NoQuorumError
            Nothing was accepted.
        errors.TooLargeError, errors.QueueFullError
            Nothing was accepted.
        errors.CommitUnknownError
            The command may be committed now, later or never.
        errors.AmaranthringError
            The result of the command.
        """
        await self._await_lease(timeout)
        body = wire.encode_value(command)
        if len(body) > logfile.MAX_ENTRY_BYTES:
            raise errors.TooLargeError(
                "command",
                given=len(body),
                expected=f"at most {logfile.MAX_ENTRY_BYTES} bytes",
            )
        if len(self.pending_proposals) >= WAITING_MOST:
            raise errors.QueueFullError("proposals waiting", retry_after=1.0)
        entry = self.new_entry(
            wire.tag_of(type(command)), body, self.fleet_time()
        )
        future = asyncio.get_running_loop().create_future()
        self.pending_proposals[entry.index] = (entry.term, future)
        self.metrics.count("keeper.proposed")
        try:
            return await asyncio.wait_for(future, timeout)
        except TimeoutError as error:
            raise errors.CommitUnknownError(
                f"entry {entry.index} not committed in {timeout} s",
                retry_after=1.0,
            ) from error
        finally:
            self.pending_proposals.pop(entry.index, None)

    async def read_barrier(self, timeout: float = 2.0) -> None:
        """Return once the machine holds everything committed before the call.

        The lease is checked on the monotonic clock when the wait is over: a
        leader that was frozen finds it run out. What the machine holds from
        then on is at least as new as the moment of that check.

        Raises
        ------
        errors.NotLeaderError, errors.NoQuorumError
            This keeper cannot say.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        self._require_leader()
        index = max(self.commit_index, self.term_start_index)
        while self.applied_index < index:
            await self._wait(self.applied_changed, deadline - loop.time())
            self._require_leader()
        await self._await_lease(deadline - loop.time())

    def fleet_time(self) -> float:
        """Return the time in seconds that the next entry gets.

        It is the lower median of the wall clocks of the voters, so that one
        clock that jumps ahead cannot expire what the log keeps; and it is
        never below the last entry's.
        """
        now = self.clocks.monotonic()
        offsets = [self.clocks.wall() - now]
        for member in self.members.voters:
            peer = self.peers.get(member.name)
            if peer and peer.wall_offset is not None:
                offsets.append(peer.wall_offset)
        offsets.sort()
        median = offsets[(len(offsets) - 1) // 2]
        return max(self.log.last_stamp, now + median)

    def new_entry(self, tag: str, body: bytes, stamp: float) -> logfile.Entry:
        """Return a new last entry, on its way to the disks."""
        entry = logfile.make_entry(
            self.log.last_index + 1, self.term, stamp, tag, body
        )
        self.append([entry])
        for peer in self.peers.values():
            peer.wake.set()
        return entry

    def append(self, entries: list[logfile.Entry]) -> None:
        """Add entries to the log and queue them for the disk."""
        if self.store.append(entries):
            self.members_changed()

    def truncate(self, index: int) -> None:
        """Drop entry `index` and all after it."""
        if self.store.truncate(index):
            self.members_changed()

    def commit(self, index: int) -> None:
        """Note that everything up to `index` is committed."""
        if index > self.commit_index:
            self.commit_index = index
            self.commit_advanced.set()

    def add_peer(self, name, address, data_centre) -> replication.Peer:
        """Return the peer `name`, made and dialled if it is new."""
        if name in self.peers:
            return self.peers[name]
        dialler = links.Dialler(
            address, self.identity, self.keys, self.handlers
        )
        peer = replication.Peer(name, address, data_centre, dialler)
        self.peers[name] = peer
        if self.tasks:
            self._start_peer(peer)
        return peer

    def drop_strangers(self) -> None:
        """Forget peers that are neither members nor in the settings."""
        known = membership.names(self.members)
        known |= {peer.name for peer in self.configured}
        for name in set(self.peers) - known:
            self.peers.pop(name).stop()

    def members_changed(self) -> None:
        """Dial who joined, forget who left."""
        self.changed_at = self.clocks.monotonic()
        self.store.forget_members(self.applied_index)
        for member in self.members.voters + self.members.learners:
            if member.name != self.keeper.name:
                self.add_peer(member.name, member.address, member.data_centre)
        self.drop_strangers()

    def _start_peer(self, peer: replication.Peer) -> None:
        peer.dialler.start()
        peer.main = asyncio.ensure_future(replication.replicate(self, peer))
        peer.main.add_done_callback(self._task_ended)
        peer.wake.set()

    def _task_ended(self, task: asyncio.Task) -> None:
        if task.cancelled() or task.exception() is None:
            return
        # A keeper that goes on without one of its tasks would hold its
        # role and do half of the work; the others can do all of it.
        error = errors.StorageError(f"task ended: {task.exception()!r}")
        roles.fail(self, error)

    def _require_leader(self) -> None:
        if self.leading:
            return
        reason = "not the leader"
        if self.fault is not None:
            reason = "this keeper's disk failed"
        raise errors.NotLeaderError(
            reason,
            given=self.keeper.name,
            expected=self.leader(),
            retry_after=0.5,
        )

    async def _await_lease(self, timeout: float) -> None:
        loop = asyncio.get_running_loop()
        most = min(timeout, self.options.election_seconds)
        deadline = loop.time() + most
        self._require_leader()
        while not self.has_lease():
            await self._wait(self.lease_changed, deadline - loop.time())
            self._require_leader()

    async def _wait(self, event: asyncio.Event, seconds: float) -> None:
        event.clear()
        try:
            await asyncio.wait_for(event.wait(), max(0.0, seconds))
        except TimeoutError as error:
            raise errors.NoQuorumError(
                "no quorum of keepers answers", retry_after=1.0
            ) from error
