"""Consensus of a group of keepers on a durable log of commands.

:class:`Group` holds the state of this keeper in one group and is what other
packages use; the algorithm is implemented as functions on it, in
:mod:`roles`, :mod:`election`, :mod:`replication`, :mod:`applier`,
:mod:`membership` and :mod:`genesis`. See ``docs/design/consensus.md``.
"""

import asyncio
import functools
import random
import typing as t

from amaranthring import errors
from amaranthring.core import background
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

MAX_PENDING_PROPOSALS = 10_000
CANCEL_RETRY_SECONDS = 0.1
# Pause before a task that has failed starts again.
TASK_PAUSE_SECONDS = 0.5


async def cancel_tasks(tasks: list[asyncio.Task]) -> None:
    """Cancel `tasks` until all have ended.

    ``asyncio.wait_for`` swallows a cancellation that arrives in the same
    step as the result, so a task in a loop may need to be cancelled again.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_RETRY_SECONDS)


class Group:
    """Participation of this keeper in one consensus group.

    Parameters
    ----------
    name : str
        Name of the group.
    keeper : settings.PeerAddress
        This keeper.
    peers : list of settings.PeerAddress
        All keepers in the settings, including this one.
    folder : path
        Data folder of this group.
    machine : options.StateMachine
        State machine that committed commands are applied to.
    identity, keys, handlers
        For the links to other keepers.
    options, clocks, files, metrics : optional
        Timing, time sources, system calls, counters.
    pacer : pacing.Pacer, optional
        Paces snapshots and catch-up entries on the link.

    Attributes
    ----------
    on_applied : list of callable
        Called with the index after each applied entry.
    on_leader : list of callable
        Called with the term once this keeper is the leader and has applied
        all entries committed in earlier terms.
    on_follower : list of callable
        Called without arguments when this keeper stops being the leader.
    fault : errors.StorageError, optional
        Why this keeper stopped participating.
    recoverable : bool
        Whether it resumes once the disk works again; otherwise only after a
        restart of the process.
    heard_at, election_deadline, leader_since : float
        Monotonic times: the last message from a leader; the next campaign;
        the start of this keeper's leadership.
    term_start_index : int
        Index of the first entry of this keeper's leadership.
    pre_vote_grant : election.PreVoteGrant, optional
        Candidate that holds this keeper's pre-vote.
    ballot : asyncio.Task, optional
        Requests votes for this keeper in its current term.
    votes_being_written : int
        Votes that wait for the disk.
    members_changed_at : float
        Monotonic time of the last membership change; silence before it does
        not count against a new member.

    Raises
    ------
    errors.StorageError
        If the folder belongs to another keeper, is in use or is corrupt.
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
        self.initial_state = machine.snapshot()
        self._load_store(self.open_store())
        self.leading = False
        self.leadership_announced = False
        self.leader_disk = ""
        self.leader_since = 0.0
        self.term_start_index = 0
        self.members_changed_at = 0.0
        self.fault: errors.StorageError | None = None
        self.recoverable = False
        self.stopped = False
        self.pending_proposals: dict[int, tuple[int, asyncio.Future]] = {}
        self.commit_advanced = asyncio.Event()
        self.snapshot_due = asyncio.Event()
        self.lease_changed = asyncio.Event()
        self.applied_changed = asyncio.Event()
        self.on_applied: list[t.Callable[[int], None]] = []
        self.on_leader: list[t.Callable[[int], None]] = []
        self.on_follower: list[t.Callable[[], None]] = []
        # The promise not to vote against a live leader is not persisted, so
        # a restarted keeper acts as if it had just heard from one.
        self.heard_at = (
            self.options.process_started_at or self.clocks.monotonic()
        )
        self.election_deadline = 0.0
        self.pre_vote_grant: election.PreVoteGrant | None = None
        self.ballot: asyncio.Task | None = None
        self.votes_being_written = 0
        election.schedule_first_campaign(self)
        self.tasks: list[asyncio.Task] = []
        self.writer_task: asyncio.Task | None = None
        self.peers: dict[str, replication.Peer] = {}
        self.configured_peers = [
            peer for peer in peers if peer.name != keeper.name
        ]
        for peer in self.configured_peers:
            self.add_peer(peer.name, peer.address, peer.data_centre)

    def open_store(self) -> store.Store:
        """Open the durable state in the folder.

        Raises
        ------
        errors.StorageError
            If the folder belongs to another keeper, is in use or is corrupt.
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

    def _load_store(self, opened: store.Store) -> None:
        self.store = opened
        self.log = opened.log
        self.writer = opened.writer
        self.disk_id = opened.hard_state.disk
        self.term = opened.hard_state.term
        self.vote = opened.hard_state.vote
        self.receiver = snapshots.Receiver(opened.folder, opened.files)
        self.commit_index = self.applied_index = 0
        if opened.snapshot:
            applier.restore(self, opened.snapshot)
            opened.snapshot = None

    def resume(self, opened: store.Store) -> None:
        """Participate again after a disk failure, from the reopened store.

        Applied entries may be missing on the disk, so the state machine is
        reset too, as after a restart of the process.
        """
        self.machine.restore(self.initial_state)
        self._load_store(opened)
        self.leader_disk = ""
        self.heard_at = self.clocks.monotonic()
        election.reset_election_timer(self)
        self.recoverable = False
        self.fault = None
        self._start_writer()
        self._start_task("join", functools.partial(genesis.join, self))
        self.members_changed()

    def start(self) -> None:
        """Start the tasks of this group."""
        self._start_writer()
        for name, run in (
            ("applier", applier.run),
            ("snapshots", applier.take_snapshots),
            ("election", election.run),
            ("membership", membership.repair),
            ("join", genesis.join),
            ("rejoin", genesis.rejoin),
            ("recovery", recovery.run),
        ):
            self._start_task(name, functools.partial(run, self))
        for peer in self.peers.values():
            self._start_peer(peer)
        self.members_changed()

    def _start_writer(self) -> None:
        self.writer_task = background.start(
            f"{self.name} writer", self.writer.run()
        )
        self.writer_task.add_done_callback(
            functools.partial(self._task_ended, None)
        )
        self.tasks.append(self.writer_task)

    def _start_task(
        self, name: str, run: t.Callable[[], t.Coroutine[t.Any, t.Any, None]]
    ) -> None:
        if self.stopped:
            return
        task = background.start(f"{self.name} {name}", run())
        start_again = functools.partial(self._start_task, name, run)
        task.add_done_callback(
            functools.partial(self._task_ended, start_again)
        )
        self.tasks.append(task)

    async def stop(self) -> None:
        """Step down, cancel all tasks and close the files."""
        self.stopped = True
        roles.step_down(self, "stopping")
        for peer in self.peers.values():
            peer.stop()
        await cancel_tasks(self.tasks)
        self.store.close()

    @property
    def members(self) -> messages.Members:
        """Return the latest configuration, committed or not."""
        return self.store.members

    def leader(self) -> str:
        """Return the name of the leader, or an empty string.

        A partitioned keeper must not keep naming its last leader: routers
        would call it until their timeout instead of being refused at once.
        """
        if not self.leading and not election.hears_leader(self):
            return ""
        member = membership.find(self.members, self.leader_disk)
        return member.name if member else ""

    def has_lease(self) -> bool:
        """Return whether this keeper leads and no other keeper can."""
        now = self.clocks.monotonic()
        return self.leading and now < election.lease_until(self)

    def status(self) -> messages.Status:
        """Return the state of this keeper in the group."""
        return status.describe(self)

    async def propose(self, command: t.Any, timeout: float) -> t.Any:
        """Commit `command` and return its result from the state machine.

        Parameters
        ----------
        command : object
            A message registered with ``wire.message``.
        timeout : float
            Seconds to wait for the result.

        Raises
        ------
        errors.NotLeaderError, errors.NoQuorumError
            If the command was not accepted.
        errors.TooLargeError, errors.QueueFullError
            If the command is too large, or too many are pending; it was not
            accepted.
        errors.CommitUnknownError
            If the command may or may not be committed, now or later.
        errors.AmaranthringError
            If the state machine refused the command.
        """
        await self._await_lease(timeout)
        body = wire.encode_value(command)
        if len(body) > logfile.MAX_ENTRY_BYTES:
            raise errors.TooLargeError(
                "command",
                given=len(body),
                expected=f"at most {logfile.MAX_ENTRY_BYTES} bytes",
            )
        if len(self.pending_proposals) >= MAX_PENDING_PROPOSALS:
            raise errors.QueueFullError(
                "too many pending proposals", retry_after=1.0
            )
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
                f"entry {entry.index} not committed within {timeout} s",
                retry_after=1.0,
            ) from error
        finally:
            self.pending_proposals.pop(entry.index, None)

    async def read_barrier(self, timeout: float = 2.0) -> None:
        """Wait until all entries committed before the call are applied.

        The lease is checked after the wait, so that a leader that was
        paused meanwhile does not serve stale reads.

        Raises
        ------
        errors.NotLeaderError, errors.NoQuorumError
            If this keeper cannot confirm that it is the leader.
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
        """Return the timestamp in seconds for the next entry.

        It is the lower median of the voters' wall clocks, so that a single
        fast clock cannot expire entries, and never decreases.
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
        """Append a new entry and start replicating it."""
        entry = logfile.make_entry(
            self.log.last_index + 1, self.term, stamp, tag, body
        )
        self.append([entry])
        for peer in self.peers.values():
            peer.wake.set()
        return entry

    def append(self, entries: list[logfile.Entry]) -> None:
        """Append entries to the log and queue them for the disk."""
        if self.store.append(entries):
            self.members_changed()

    def truncate(self, index: int) -> None:
        """Drop entry `index` and all after it."""
        if self.store.truncate(index):
            self.members_changed()

    def commit(self, index: int) -> None:
        """Raise the commit index to `index`."""
        if index > self.commit_index:
            self.commit_index = index
            self.commit_advanced.set()

    def add_peer(self, name, address, data_centre) -> replication.Peer:
        """Return the peer `name`; create and dial it if it is new."""
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

    def drop_unknown_peers(self) -> None:
        """Remove peers that are neither members nor in the settings."""
        known = membership.names(self.members)
        known |= {peer.name for peer in self.configured_peers}
        for name in set(self.peers) - known:
            self.peers.pop(name).stop()

    def members_changed(self) -> None:
        """Add peers for new members and remove those of former ones."""
        self.members_changed_at = self.clocks.monotonic()
        if not self.leading:
            # The votes that it has would not be a quorum of the new voters.
            election.end_ballot(self)
        self.store.prune_member_history(self.applied_index)
        for member in self.members.voters + self.members.learners:
            if member.name != self.keeper.name:
                self.add_peer(member.name, member.address, member.data_centre)
        self.drop_unknown_peers()

    def _start_peer(self, peer: replication.Peer) -> None:
        peer.dialler.start()
        self._replicate(peer)

    def _replicate(self, peer: replication.Peer) -> None:
        if self.stopped or self.peers.get(peer.name) is not peer:
            return
        peer.main_task = background.start(
            f"{self.name} replication", replication.replicate(self, peer)
        )
        start_again = functools.partial(self._replicate, peer)
        peer.main_task.add_done_callback(
            functools.partial(self._task_ended, start_again)
        )
        peer.wake.set()

    def _task_ended(
        self, start_again: t.Callable[[], None] | None, task: asyncio.Task
    ) -> None:
        """Give up all roles after an error, and take part again.

        A leader could otherwise keep its role although, for example, it no
        longer applies entries. The state is read from the disk anew, as after
        a disk failure.

        Parameters
        ----------
        start_again : callable, optional
            Starts the task; None for the writer, which starts when the state
            has been read.
        """
        if task in self.tasks:
            self.tasks.remove(task)
        if task.cancelled() or task.exception() is None:
            return
        error = errors.StorageError(f"task failed: {task.exception()!r}")
        roles.fail_disk(self, error)
        # Tells those that wait for it; the next one writes to files that are
        # opened anew.
        self.writer_task.cancel()
        if start_again is not None:
            asyncio.get_running_loop().call_later(
                TASK_PAUSE_SECONDS, start_again
            )

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
        wait = min(timeout, self.options.election_seconds)
        deadline = loop.time() + wait
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
