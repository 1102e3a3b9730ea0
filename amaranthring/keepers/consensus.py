"""A group of keepers that agree on one durable log of commands.

:class:`Group` holds the state of this keeper in one group and is what other
packages use; the rules of the algorithm are the functions of
:mod:`election`, :mod:`replication`, :mod:`membership` and :mod:`genesis`,
which work on it. See ``docs/design/consensus.md``.
"""

import asyncio
import concurrent.futures
import dataclasses
import enum
import pathlib
import random
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.core import metrics as metrics_module
from amaranthring.core import wire
from amaranthring.keepers import disk
from amaranthring.keepers import election
from amaranthring.keepers import genesis
from amaranthring.keepers import log as logfile
from amaranthring.keepers import membership
from amaranthring.keepers import messages
from amaranthring.keepers import replication
from amaranthring.keepers import snapshots

log = logbook.Logger(__name__)

WAITING_MOST = 10_000
KEPT_ENTRIES = 1000
APPLY_AT_ONCE = 200
MEMBERS_TAG = wire.tag_of(messages.Members)


class Machine(t.Protocol):
    """Deterministic state that the log drives."""

    def apply(self, index: int, stamp: float, command: t.Any) -> t.Any:
        """Apply one command and return its result message or None."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the state by one that `snapshot` returned."""


def _monotonic() -> float:
    # Unlike CLOCK_MONOTONIC it goes on while the VM is suspended, so a
    # lease runs out then too.
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass
class Clocks:
    """Sources of time, in seconds; seams for tests."""

    wall: t.Callable[[], float] = time.time
    monotonic: t.Callable[[], float] = _monotonic


@dataclasses.dataclass
class Options:
    """Timing and bounds of a group.

    Attributes
    ----------
    heartbeat_seconds : float
        Longest silence of a leader.
    election_seconds : float
        Silence after which another leader may be elected.
    snapshot_entries : int
        Entries after which a snapshot is taken.
    """

    heartbeat_seconds: float = 0.1
    election_seconds: float = 0.6
    snapshot_entries: int = 5000

    @property
    def silent_seconds(self) -> float:
        """Return how long a peer may be silent before its link is cut."""
        return 3 * self.election_seconds


class Role(enum.StrEnum):
    """What a keeper is in a group."""

    LEADER = "leader"
    CANDIDATE = "candidate"
    FOLLOWER = "follower"
    LEARNER = "learner"
    EMPTY = "empty"


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
    machine : Machine
        What committed commands are applied to.
    identity, keys, handlers
        For the streams to other keepers.
    options, clocks, files, metrics : optional
        Timing, time sources, system calls, counters.

    Attributes
    ----------
    on_applied : list of callable
        Called with the index after each applied command.
    on_leader : list of callable
        Called with the term once this keeper leads and has applied
        everything committed before.
    on_follower : list of callable
        Called without arguments when it leads no more.
    """

    def __init__(
        self,
        name: str,
        keeper,
        peers: list,
        folder,
        machine: Machine,
        identity: links.Identity,
        keys: links.Keys,
        handlers: links.Handlers,
        options: Options | None = None,
        clocks: Clocks | None = None,
        files: disk.Files | None = None,
        metrics: metrics_module.Metrics | None = None,
    ):
        self.name = name
        self.keeper = keeper
        self.machine = machine
        self.identity = identity
        self.keys = keys
        self.handlers = handlers
        self.options = options or Options()
        self.clocks = clocks or Clocks()
        self.files = files or disk.Files()
        self.metrics = metrics or metrics_module.Metrics()
        self.random = random.Random()
        self.folder = pathlib.Path(folder)
        self.disk = disk.Disk(self.folder, name, keeper.name, self.files)
        self.disk_id = self.disk.hard.disk
        self.term = self.saved_term = self.disk.hard.term
        self.vote = self.disk.hard.vote
        self.segments = logfile.Segments(self.folder, self.files)
        self.log = logfile.Log()
        self.member_history: list[tuple[int, messages.Members]] = []
        self.snapshot_index = 0
        self.commit_index = self.applied_index = self.durable_index = 0
        self._recover()
        self.leading = False
        self.announced = False
        self.leader_disk = ""
        self.led_at = 0.0
        self.led_from = 0
        self.fault: errors.StorageError | None = None
        self.waiting: dict[int, tuple[int, asyncio.Future]] = {}
        self.incoming: snapshots.Incoming | None = None
        self.taking_snapshot = False
        self.writer = disk.Writer(self.segments.sync, self._synced, self.fail)
        self.snapshot_thread = concurrent.futures.ThreadPoolExecutor(
            1, "snapshot"
        )
        self.committed = asyncio.Event()
        self.lease_changed = asyncio.Event()
        self.applied_changed = asyncio.Event()
        self.on_applied: list[t.Callable[[int], None]] = []
        self.on_leader: list[t.Callable[[int], None]] = []
        self.on_follower: list[t.Callable[[], None]] = []
        # A promise not to vote against a heard leader is kept in memory
        # only; counting a start as hearing one keeps it over restarts.
        self.heard_at = self.clocks.monotonic()
        self.campaign_at = 0.0
        election.delay_campaign(self)
        self.tasks: list[asyncio.Task] = []
        self.peers: dict[str, replication.Peer] = {}
        self.configured = [peer for peer in peers if peer.name != keeper.name]
        for peer in self.configured:
            self.add_peer(peer.name, peer.address, peer.data_centre)

    # -- start and stop ------------------------------------------------------

    def start(self) -> None:
        """Start the tasks of this group."""
        for work in (
            self.writer.run(),
            self._apply_committed(),
            election.watch(self),
            membership.repair(self),
            genesis.join(self),
        ):
            self.tasks.append(asyncio.ensure_future(work))
        for peer in self.peers.values():
            self._start_peer(peer)
        self._members_changed()

    async def stop(self) -> None:
        """Step down, end all tasks and close the files."""
        self.step_down("stopping")
        for peer in self.peers.values():
            peer.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.writer.close()
        self.snapshot_thread.shutdown(wait=True)
        self.segments.close()
        self.disk.close()

    def _recover(self) -> None:
        snapshot = snapshots.newest(self.folder)
        entries = self.segments.load()
        if self.disk.hard.genesis:
            self.member_history = [(0, self.disk.hard.genesis)]
        if snapshot:
            self._restore(snapshot)
            entries = self._after_snapshot(snapshot, entries)
        if entries and entries[0].index != self.log.base_index + 1:
            raise disk.damaged(self.folder, "the log's first file is missing")
        if not self.segments.segments:
            if self.disk.hard.begun and not snapshot:
                raise disk.damaged(self.folder, "the log is missing")
            self.segments.begin(self.log.last_index + 1)
            self.disk.hard.begun = True
            self.disk.save(self.disk.hard)
        self.log.append(entries)
        self._note_members(entries)
        self.durable_index = self.log.last_index

    def _after_snapshot(self, snapshot, entries) -> list[logfile.Entry]:
        """Return entries that follow the log's base; set the base."""
        held = {entry.index: entry for entry in entries}
        at = held.get(snapshot.index)
        if at is None and snapshot.index + 1 in held:
            return entries
        if at is None or at.term != snapshot.term:
            # The snapshot came from a leader and the process ended before
            # the older log was removed.
            self.segments.reset(snapshot.index + 1)
            return []
        first = entries[0]
        self.log.reset(first.index, first.term, first.stamp)
        return entries[1:]

    def _restore(self, snapshot: snapshots.Snapshot) -> None:
        self.machine.restore(snapshot.data)
        self.log.reset(snapshot.index, snapshot.term, snapshot.stamp)
        self.member_history = [(snapshot.index, snapshot.members)]
        self.snapshot_index = snapshot.index
        self.commit_index = self.applied_index = snapshot.index

    # -- what other packages use ---------------------------------------------

    @property
    def members(self) -> messages.Members:
        """Return the newest configuration, committed or not."""
        if not self.member_history:
            return messages.Members()
        return self.member_history[-1][1]

    @property
    def role(self) -> Role:
        """Return what this keeper is now."""
        if self.leading:
            return Role.LEADER
        if membership.is_voter(self.members, self.disk_id):
            own = self.vote == self.disk_id and not self.leader_disk
            return Role.CANDIDATE if own else Role.FOLLOWER
        return Role.LEARNER if self.members.voters else Role.EMPTY

    def leader(self) -> str:
        """Return the name of the leader, or an empty string."""
        member = membership.find(self.members, self.leader_disk)
        return member.name if member else ""

    def has_lease(self) -> bool:
        """Return whether no other keeper can lead at this moment."""
        now = self.clocks.monotonic()
        return self.leading and now < election.lease_until(self)

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
        if len(self.waiting) >= WAITING_MOST:
            raise errors.QueueFullError("proposals waiting", retry_after=1.0)
        entry = self._lead_entry(
            wire.tag_of(type(command)), body, self.fleet_time()
        )
        future = asyncio.get_running_loop().create_future()
        self.waiting[entry.index] = (entry.term, future)
        self.metrics.count("keeper.proposed")
        try:
            return await asyncio.wait_for(future, timeout)
        except TimeoutError as error:
            raise errors.CommitUnknownError(
                f"entry {entry.index} not committed in {timeout} s",
                retry_after=1.0,
            ) from error
        finally:
            self.waiting.pop(entry.index, None)

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
        index = max(self.commit_index, self.led_from)
        while self.applied_index < index:
            await self._wait(self.applied_changed, deadline - loop.time())
            self._require_leader()
        await self._await_lease(deadline - loop.time())

    def status(self) -> messages.Status:
        """Return the state of this keeper in the group."""
        losses = membership.NOT_KNOWN
        if self.leading:
            losses = membership.safe_losses(self)
        return messages.Status(
            group=self.name,
            keeper=self.keeper.name,
            disk=self.disk_id,
            role=str(self.role),
            term=self.term,
            leader=self.leader(),
            first_index=self.log.base_index + 1,
            last_index=self.log.last_index,
            commit_index=self.commit_index,
            applied_index=self.applied_index,
            snapshot_index=self.snapshot_index,
            safe_losses=losses,
            fault=str(self.fault or ""),
            stamp=self.log.last_stamp,
            members=[self._member_status(m) for m in self._all_members()],
        )

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

    # -- terms and roles -----------------------------------------------------

    def set_term(self, term: int, vote: str = "") -> None:
        """Enter `term`, with a vote for disk `vote` if one is given."""
        if term < self.term or (term == self.term and not vote):
            return
        if term > self.term:
            self.step_down("saw a higher term")
            self.leader_disk = ""
        self.term = term
        self.vote = vote
        self._save_hard()

    def lead(self) -> None:
        """Become the leader of the present term."""
        now = self.clocks.monotonic()
        self.leading = True
        self.leader_disk = self.disk_id
        self.led_at = now
        for peer in self.peers.values():
            peer.reset(self.log.last_index + 1, now)
            peer.disk = peer.disk or membership.disk_of(
                self.members, peer.name
            )
        logs.event(
            log,
            "keeper.leads",
            group=self.name,
            keeper=self.keeper.name,
            term=self.term,
        )
        self.metrics.count("keeper.elected")
        # Entries of earlier terms commit only with one of this term, and
        # reads must wait for it.
        entry = self._lead_entry(
            MEMBERS_TAG,
            wire.encode_value(self.members),
            self.log.last_stamp,
        )
        self.led_from = entry.index

    def follow(self, term: int, leader_disk: str) -> None:
        """Take the sender of a valid message of `term` as the leader."""
        self.set_term(term)
        if self.leader_disk != leader_disk:
            self.leader_disk = leader_disk
            logs.event(
                log, "keeper.follows", group=self.name, leader=self.leader()
            )
        replication.keep_election_off(self)

    def step_down(self, reason: str) -> None:
        """Stop leading; proposals in flight wait on for their fate."""
        if not self.leading:
            return
        self.leading = False
        self.leader_disk = ""
        logs.event(
            log,
            "keeper.steps-down",
            group=self.name,
            keeper=self.keeper.name,
            term=self.term,
            reason=reason.replace(" ", "-"),
        )
        election.delay_campaign(self)
        self.lease_changed.set()
        self.applied_changed.set()
        if self.announced:
            self.announced = False
            for callback in self.on_follower:
                callback()

    def fail(self, error: Exception) -> None:
        """Stop taking part: the disk can no longer be trusted to keep."""
        if self.fault is not None:
            return
        if isinstance(error, OSError):
            error = disk.storage_error(self.folder, error)
        self.fault = error
        log.error("keeper.fault group={} fault={}", self.name, error)
        self.metrics.count("keeper.faults")
        self.step_down("disk fault")
        for _, future in self.waiting.values():
            if not future.done():
                future.set_exception(
                    errors.CommitUnknownError(str(error), retry_after=1.0)
                )

    def acked_at(self, member: messages.Member) -> float:
        """Return when the last message left that `member` has answered."""
        if member.disk == self.disk_id:
            return self.clocks.monotonic()
        peer = self.peers.get(member.name)
        return peer.acked_at if peer and peer.disk == member.disk else 0.0

    def is_live(self, member: messages.Member) -> bool:
        """Return whether `member` answered within two election times."""
        since = self.clocks.monotonic() - self.acked_at(member)
        return since < 2 * self.options.election_seconds

    def may_change_members(self) -> bool:
        """Return whether the next change of members may be proposed."""
        committed = max(self.member_history[-1][0], self.led_from)
        return self.has_lease() and self.commit_index >= committed

    # -- the log -------------------------------------------------------------

    def append(self, entries: list[logfile.Entry]) -> None:
        """Add entries to the log and queue them for the disk."""
        self.log.append(entries)
        self._note_members(entries)
        payloads = [entry.payload for entry in entries]
        mark = (entries[-1].index, entries[-1].term)
        self.writer.submit(lambda: self.segments.append(payloads), mark)

    def truncate(self, index: int) -> None:
        """Drop entry `index` and all after it, in memory and on disk."""
        self.log.truncate(index)
        self.durable_index = min(self.durable_index, index - 1)
        kept = [at for at in self.member_history if at[0] < index]
        if len(kept) != len(self.member_history):
            self.member_history = kept
            self._members_changed()
        self.writer.submit(lambda: self.segments.truncate(index))

    def commit(self, index: int) -> None:
        """Note that everything up to `index` is committed."""
        if index > self.commit_index:
            self.commit_index = index
            self.committed.set()

    async def install(self, incoming: snapshots.Incoming) -> None:
        """Replace machine and log by a snapshot that arrived whole."""
        loop = asyncio.get_running_loop()
        snapshot = await loop.run_in_executor(
            self.snapshot_thread, incoming.finish
        )
        if snapshot.index <= self.commit_index:
            return
        self._restore(snapshot)
        self.durable_index = snapshot.index
        self._members_changed()
        first = snapshot.index + 1
        self.writer.submit(lambda: self.segments.reset(first))
        await self.writer.flush()
        self._lose_waiting(snapshot.index)
        logs.event(
            log, "keeper.snapshot-installed", group=self.name, index=first - 1
        )

    def _lead_entry(self, tag: str, body: bytes, stamp: float):
        entry = logfile.make(
            self.log.last_index + 1, self.term, stamp, tag, body
        )
        self.append([entry])
        for peer in self.peers.values():
            peer.wake.set()
        return entry

    def _save_hard(self) -> None:
        state = dataclasses.replace(
            self.disk.hard, term=self.term, vote=self.vote
        )
        self.disk.hard = state

        def save():
            self.disk.save(state)
            self.saved_term = state.term

        self.writer.submit(save)

    async def save_genesis(self, members: messages.Members) -> None:
        """Make `members` the first configuration of this disk, durably."""
        self.disk.hard = dataclasses.replace(self.disk.hard, genesis=members)
        self._save_hard()
        await self.writer.flush()
        if not self.member_history:
            self.member_history = [(0, members)]
            self._members_changed()

    @property
    def hard_dirty(self) -> bool:
        """Return whether the present term is not yet on disk."""
        return self.saved_term < self.term

    def _synced(self, mark: tuple[int, int]) -> None:
        index, term = mark
        if index > self.durable_index and self.log.term_at(index) == term:
            self.durable_index = index
            replication.advance(self)

    # -- applying ------------------------------------------------------------

    async def _apply_committed(self) -> None:
        while True:
            await self.committed.wait()
            self.committed.clear()
            done = 0
            while self.applied_index < self.commit_index and not self.fault:
                self._apply(self.log.get(self.applied_index + 1))
                done += 1
                if done % APPLY_AT_ONCE == 0:
                    await asyncio.sleep(0)
            self.applied_changed.set()
            self._after_apply()

    def _apply(self, entry: logfile.Entry) -> None:
        result = self._result(entry)
        if self.fault:
            return
        self.applied_index = entry.index
        term, future = self.waiting.get(entry.index, (0, None))
        if future is not None and not future.done():
            if term != entry.term:
                # Another leader's entry was committed in its place, so this
                # command can never be.
                result = errors.NotLeaderError(
                    "replaced by another leader",
                    given=self.keeper.name,
                    expected=self.leader(),
                )
            if isinstance(result, errors.AmaranthringError):
                future.set_exception(result)
            else:
                future.set_result(result)
        for callback in self.on_applied:
            callback(entry.index)

    def _result(self, entry: logfile.Entry) -> t.Any:
        if entry.tag == MEMBERS_TAG:
            return None
        try:
            command = wire.decode_message(
                entry.tag, wire.decode_value(entry.body)
            )
        except errors.FrameError as error:
            # Skipping it would make this keeper's state differ from the
            # others' without anybody noticing.
            self.fail(
                errors.StorageError(
                    f"entry {entry.index} is not known to this version",
                    given=str(error),
                    expected="a keeper as new as the others",
                )
            )
            return None
        try:
            return self.machine.apply(entry.index, entry.stamp, command)
        except errors.AmaranthringError as error:
            return error
        except Exception:
            log.exception("keeper.apply-failed index={}", entry.index)
            return errors.InternalError(f"command {entry.tag} failed")

    def _after_apply(self) -> None:
        if self.leading and self.applied_index >= self.led_from:
            if not self.announced:
                self.announced = True
                for callback in self.on_leader:
                    callback(self.term)
            if not membership.is_voter(self.members, self.disk_id):
                self.step_down("removed from the group")
        behind = self.applied_index - self.snapshot_index
        due = behind >= self.options.snapshot_entries
        if due and not self.taking_snapshot and not self.fault:
            self.taking_snapshot = True
            self.tasks.append(asyncio.ensure_future(self._take_snapshot()))

    async def _take_snapshot(self) -> None:
        index = self.applied_index
        entry = self.log.get(index)
        known = [at[1] for at in self.member_history if at[0] <= index]
        snapshot = snapshots.Snapshot(
            index, entry.term, entry.stamp, known[-1], self.machine.snapshot()
        )
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(
                self.snapshot_thread,
                snapshots.save,
                self.folder,
                snapshot,
                self.files,
            )
        except OSError as error:
            self.fail(error)
            return
        finally:
            self.taking_snapshot = False
            self.tasks.remove(asyncio.current_task())
        if index <= self.snapshot_index:
            return
        self.snapshot_index = index
        upto = index - min(KEPT_ENTRIES, self.options.snapshot_entries)
        last = self.log.last_index
        self.writer.submit(lambda: self.segments.compact(upto, last))
        self.log.compact(upto)
        self.metrics.count("keeper.snapshots")

    # -- members and peers ---------------------------------------------------

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

    def _start_peer(self, peer: replication.Peer) -> None:
        peer.dialler.start()
        peer.main = asyncio.ensure_future(replication.feed(self, peer))
        peer.wake.set()

    def _note_members(self, entries: list[logfile.Entry]) -> None:
        changed = False
        for entry in entries:
            if entry.tag == MEMBERS_TAG:
                members = wire.decode_message(
                    entry.tag, wire.decode_value(entry.body)
                )
                self.member_history.append((entry.index, members))
                changed = True
        if changed and hasattr(self, "peers"):
            self._members_changed()

    def _members_changed(self) -> None:
        old = [at for at in self.member_history if at[0] <= self.applied_index]
        if len(old) > 1:
            self.member_history = self.member_history[len(old) - 1 :]
        for member in self._all_members():
            if member.name != self.keeper.name:
                self.add_peer(member.name, member.address, member.data_centre)
        self.drop_strangers()

    def _all_members(self) -> list[messages.Member]:
        return self.members.voters + self.members.learners

    def _member_status(self, member) -> messages.MemberStatus:
        live = lag = 0
        silent = 0.0
        if self.leading and member.disk != self.disk_id:
            peer = self.peers.get(member.name)
            match = replication.match_of(self, member)
            lag = self.log.last_index - match
            silent = self.clocks.monotonic() - peer.replied_at
        if self.leading:
            live = self.is_live(member)
        return messages.MemberStatus(
            name=member.name,
            disk=member.disk,
            data_centre=member.data_centre,
            voter=membership.is_voter(self.members, member.disk),
            live=bool(live),
            lag=lag,
            silent_seconds=round(silent, 3),
        )

    # -- waiting -------------------------------------------------------------

    def _require_leader(self) -> None:
        if self.fault is not None:
            raise errors.NotLeaderError(
                "this keeper's disk failed",
                given=self.keeper.name,
                expected=self.leader(),
                retry_after=1.0,
            )
        if not self.leading:
            raise errors.NotLeaderError(
                "not the leader",
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

    def _lose_waiting(self, index: int) -> None:
        for at, (_, future) in list(self.waiting.items()):
            if at <= index and not future.done():
                future.set_exception(
                    errors.CommitUnknownError(
                        "overtaken by a snapshot", retry_after=1.0
                    )
                )
