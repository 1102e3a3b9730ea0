"""Replication of the leader's log: entries and snapshots for each peer.

Each peer has a task that sends entries and heartbeats, with bounded
pipelining, and one that sends snapshots. Heartbeats go on while a snapshot is
sent: what the leader knows of a peer's life follows from the link, and not
from the snapshot's size, the pacer or the peer's disk.

Sources as in :mod:`amaranthring.keepers.election`. Pipelining and writing to
the leader's disk in parallel: Ongaro 2014, section 10.2.
"""

import asyncio
import dataclasses

import logbook

from amaranthring import errors
from amaranthring.core import background
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.core import silence
from amaranthring.keepers import applier
from amaranthring.keepers import log as logfile
from amaranthring.keepers import membership
from amaranthring.keepers import messages
from amaranthring.keepers import roles
from amaranthring.keepers import snapshots

log = logbook.Logger(__name__)

BATCH_BYTES = 256 * 1024
MAX_IN_FLIGHT_BATCHES = 8
MAX_IN_FLIGHT_BYTES = 2 * 1024 * 1024
REPLY_TIMEOUT_SECONDS = 30.0
GREET_TIMEOUT_SECONDS = 0.25
# Replies that take longer than this many heartbeat intervals are logged; at
# four and a half a leader has lost its quorum.
SLOW_HEARTBEATS = 2
# Wait before a snapshot is sent again to a peer that refused it, for example
# because its disk is full. Immediate retries would saturate a slow link and
# delay heartbeats until the leader loses its quorum. A disk that works again
# is seconds behind anyway.
SNAPSHOT_RETRY_SECONDS = 1.5


class Peer:
    """State of another keeper and, on the leader, its replication progress.

    Attributes
    ----------
    disk : str
        Disk last seen or expected at the peer; empty if unknown.
    next_index : int
        Index of the next entry to send.
    match_index : int
        Highest index known to be on the peer's disk.
    in_flight, in_flight_bytes : int
        Messages sent and not yet answered, and their bytes of entries.
    batches_in_flight : int
        Those of the messages in flight that carry entries; bounded like
        `in_flight_bytes`, so that a slow peer fills neither memory nor the
        link. Heartbeats do not count: with a long round trip one of them is
        always in flight.
    epoch : int
        Incremented whenever `next_index` is reset; older replies are
        dropped.
    acked_at : float
        Monotonic send time of the last message that the peer answered.
    replied_at : float
        Monotonic time of the last reply.
    synced_at : float
        Monotonic time of the last reply that shows that the peer's disk took
        something, or has everything that was sent.
    in_flight_since : float
        Monotonic time at which `in_flight` last rose from zero.
    refuses : bool
        Whether the last answer was an error, as of a keeper whose disk has
        failed; it gets no entries until it answers a heartbeat.
    snapshot_due : asyncio.Event
        Set while the peer lacks entries that only a snapshot has.
    snapshot_retry_at : float
        Monotonic time before which no snapshot is sent.
    slow_logged_at : float
        Monotonic time at which a slow reply was last logged.
    wall_offset : float
        The peer's wall clock minus this keeper's monotonic clock, in
        seconds.
    """

    def __init__(self, name, address, data_centre, dialler):
        self.name = name
        self.address = address
        self.data_centre = data_centre
        self.dialler: links.Dialler = dialler
        self.disk = ""
        self.wake = asyncio.Event()
        self.snapshot_due = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()
        self.main_task: asyncio.Task | None = None
        self.epoch = 0
        self.snapshot_retry_at = 0.0
        self.slow_logged_at = float("-inf")
        self.wall_offset: float | None = None
        self.reset(1, 0.0)

    def reset(self, next_index: int, now: float) -> None:
        """Reset the replication progress, as for a new leader."""
        self.match_index = 0
        self.acked_at = 0.0
        self.replied_at = now
        self.synced_at = now
        self.sent_at = 0.0
        self.in_flight_since = 0.0
        self.refuses = False
        self.rewind(next_index)

    def rewind(self, next_index: int) -> None:
        """Send from `next_index` on; disregard messages in flight."""
        self.epoch += 1
        self.next_index = max(1, next_index)
        self.in_flight = 0
        self.batches_in_flight = 0
        self.in_flight_bytes = 0
        self.probing = True

    def stop(self) -> None:
        """Cancel the tasks and close the link."""
        for task in [self.main_task, *self.tasks]:
            if task:
                task.cancel()
        self.dialler.stop()


@dataclasses.dataclass
class Transfer:
    """A snapshot on its way to a peer.

    Attributes
    ----------
    term, epoch : int
        Term of the leader and epoch of the peer at the start; the transfer
        ends when one of them changes.
    offset : int
        Bytes that the peer has accepted.
    paced : float
        Seconds spent waiting for the pacer.
    """

    reader: snapshots.Reader
    term: int
    epoch: int
    offset: int = 0
    paced: float = 0.0


async def replicate(group, peer: Peer) -> None:
    """Replicate the log to `peer` whenever this keeper is the leader."""
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(_send_log(group, peer))
        tasks.create_task(_send_snapshots(group, peer))
        tasks.create_task(_watch_link(group, peer))


async def _watch_link(group, peer: Peer) -> None:
    """Replace a silent link, whatever this keeper's role.

    A leader steps down before its heartbeats have gone unanswered for long,
    and a candidate needs the links too.
    """
    probe = messages.Ping(group.name)
    await silence.watch(peer.dialler, probe, group.options.election_seconds)


async def _send_log(group, peer: Peer) -> None:
    heartbeat = group.options.heartbeat_seconds
    while True:
        peer.wake.clear()
        if not group.leading:
            await peer.wake.wait()
            continue
        if peer.dialler.link is not None:
            await _send_due(group, peer)
        try:
            # wait_for would swallow a cancellation in the step of a wake-up.
            async with asyncio.timeout(heartbeat):
                await peer.wake.wait()
        except TimeoutError:
            pass


async def _send_due(group, peer: Peer) -> None:
    now = group.clocks.monotonic()
    heard_at = max(peer.replied_at, peer.in_flight_since)
    if peer.in_flight and now - heard_at > group.options.peer_timeout_seconds:
        # Packets are dropped but the connection is still open; TCP would
        # need minutes to recover after the partition has healed.
        peer.dialler.link.close()
        peer.rewind(peer.match_index + 1)
        return
    if membership.find(group.members, peer.disk) is None:
        await _greet(group, peer)
        return
    if _lacks_snapshot(group, peer):
        if now >= peer.snapshot_retry_at:
            peer.snapshot_due.set()
        _send_heartbeat(group, peer)
        return
    while _may_send(group, peer) and (max_bytes := _batch_bytes(group, peer)):
        _send(group, peer, max_bytes)
    _send_heartbeat(group, peer)


def _lacks_snapshot(group, peer: Peer) -> bool:
    """Return whether entries that `peer` needs are no longer in the log."""
    return group.log.term_at(peer.next_index - 1) is None


def _send_heartbeat(group, peer: Peer) -> None:
    """Send an empty append, unless a message was sent a moment ago."""
    since = group.clocks.monotonic() - peer.sent_at
    if since >= group.options.heartbeat_seconds * 0.9:
        _send(group, peer, 0)


def _may_send(group, peer: Peer) -> bool:
    one_by_one = peer.probing or _is_catching_up(group, peer)
    window = 1 if one_by_one else MAX_IN_FLIGHT_BATCHES
    return (
        not peer.refuses
        and peer.next_index <= group.log.last_index
        and peer.batches_in_flight < window
        and peer.in_flight_bytes < MAX_IN_FLIGHT_BYTES
    )


def _is_catching_up(group, peer: Peer) -> bool:
    """Return whether `peer` lacks committed entries, which are paced."""
    return group.pacer is not None and peer.next_index <= group.commit_index


def _batch_bytes(group, peer: Peer) -> int:
    """Return how many bytes of entries may be sent to `peer` now.

    Committed entries are not urgent, so they are paced: sent unpaced to
    lagging peers, they would delay the heartbeats to the voters until the
    leader loses its quorum.
    """
    if not _is_catching_up(group, peer):
        return BATCH_BYTES
    batch = group.log.batch(peer.next_index, snapshots.CHUNK_BYTES)
    granted = group.pacer.reserve(sum(map(len, batch)))
    return min(snapshots.CHUNK_BYTES, int(granted))


def _send(group, peer: Peer, max_bytes: int) -> None:
    previous = peer.next_index - 1
    if _lacks_snapshot(group, peer):
        # Every log agrees before its first entry, so a follower accepts this
        # and claims to match nothing.
        previous = 0
    entries = []
    if max_bytes:
        entries = group.log.batch(peer.next_index, max_bytes)
    message = messages.Append(
        group.name,
        group.term,
        group.disk_id,
        peer.disk,
        previous,
        group.log.term_at(previous) or 0,
        group.commit_index,
        entries,
    )
    size = sum(map(len, entries))
    if not peer.in_flight:
        # Silence counts only from the first unanswered message on.
        peer.in_flight_since = group.clocks.monotonic()
    peer.next_index += len(entries)
    peer.in_flight += 1
    peer.batches_in_flight += bool(entries)
    peer.in_flight_bytes += size
    peer.sent_at = group.clocks.monotonic()
    task = background.start(
        "append", _exchange(group, peer, message, size, peer.epoch)
    )
    peer.tasks.add(task)
    task.add_done_callback(peer.tasks.discard)


async def _exchange(group, peer, message, size: int, epoch: int) -> None:
    sent_at = group.clocks.monotonic()
    try:
        reply = await peer.dialler.call(message, REPLY_TIMEOUT_SECONDS)
    except errors.AmaranthringError as error:
        if epoch == peer.epoch:
            _record_refusal(peer, error)
            peer.rewind(peer.match_index + 1)
        return
    peer.refuses = False
    now = group.clocks.monotonic()
    peer.replied_at = now
    _log_slow_reply(group, peer, sent_at, reply, size)
    if reply.term > group.term:
        roles.set_term(group, reply.term)
    if epoch != peer.epoch or message.term != group.term:
        return
    peer.in_flight -= 1
    peer.batches_in_flight -= bool(message.entries)
    peer.in_flight_bytes -= size
    if reply.disk != peer.disk:
        _disk_changed(group, peer, reply.disk)
        return
    peer.acked_at = max(peer.acked_at, sent_at)
    peer.wall_offset = reply.wall - now
    if reply.ok:
        peer.probing = False
        sent_index = message.prev_index + len(message.entries)
        if reply.match > peer.match_index or 0 < sent_index <= reply.match:
            peer.synced_at = now
        peer.match_index = max(peer.match_index, reply.match)
        advance_commit_index(group)
    else:
        _handle_rejection(peer, reply)
    if peer.next_index <= group.log.last_index:
        peer.wake.set()
    group.lease_changed.set()


def _record_refusal(peer: Peer, error: errors.AmaranthringError) -> None:
    """Send no entries to `peer` for now if it answered with an error.

    Entries that it refuses would use up the link, ahead of routers' plans.
    """
    if peer.refuses or isinstance(error, errors.LinkError):
        return
    peer.refuses = True
    logs.event(log, "keeper.refuses", peer=peer.name, fault=str(error))


def _log_slow_reply(group, peer, sent_at: float, reply, size: int) -> None:
    """Log a slow reply, with the part of it spent at the follower."""
    now = group.clocks.monotonic()
    options = group.options
    slow = now - sent_at > SLOW_HEARTBEATS * options.heartbeat_seconds
    if not slow or now - peer.slow_logged_at < options.election_seconds:
        return
    peer.slow_logged_at = now
    logs.event(
        log,
        "keeper.slow-answer",
        peer=peer.name,
        seconds=round(now - sent_at, 3),
        held=round(reply.held, 3),
        entries_bytes=size,
    )


def _handle_rejection(peer: Peer, reply: messages.Appended) -> None:
    if reply.hint <= peer.match_index:
        # The peer lost entries that it had synced: an old copy of its disk.
        log.warning("keeper.rolled-back peer={}", peer.name)
        peer.match_index = 0
    peer.rewind(max(reply.hint, peer.match_index + 1))


def _disk_changed(group, peer: Peer, disk: str) -> None:
    logs.event(log, "keeper.other-disk", peer=peer.name, disk=disk)
    peer.reset(group.log.last_index + 1, group.clocks.monotonic())
    peer.disk = disk


async def _greet(group, peer: Peer) -> None:
    keeper = group.keeper
    message = messages.Greet(
        group.name, group.disk_id, keeper.address, keeper.data_centre
    )
    try:
        reply = await peer.dialler.call(message, GREET_TIMEOUT_SECONDS)
    except errors.AmaranthringError:
        return
    peer.replied_at = group.clocks.monotonic()
    peer.disk = reply.disk
    await asyncio.sleep(group.options.heartbeat_seconds)


def advance_commit_index(group) -> None:
    """Raise the commit index to what a quorum of voters has synced."""
    if not group.leading:
        return
    matches = [
        match_index_of(group, member) for member in group.members.voters
    ]
    matches.sort(reverse=True)
    index = matches[membership.quorum(group.members) - 1]
    # An entry of an earlier term can be on a quorum and still be overwritten
    # by another leader; it commits with the first entry of this term.
    if index > group.commit_index and group.log.term_at(index) == group.term:
        group.commit(index)


def match_index_of(group, member: messages.Member) -> int:
    """Return the highest index known to be synced on `member`'s disk."""
    if member.disk == group.disk_id:
        return group.store.durable_index
    peer = group.peers.get(member.name)
    return peer.match_index if peer and peer.disk == member.disk else 0


async def on_append(group, message: messages.Append) -> messages.Appended:
    """Append entries from the leader; reply once they are synced.

    A heartbeat is answered at once, also while the leader's term is being
    written, as the answer shows only that this keeper is live. The lease
    rests on the time of the message, which a restarted keeper makes up for
    by its own start. `match` is 0 until the term is on disk, because before
    that a restart could let an earlier leader replace entries.
    """
    if group.fault is not None:
        roles.record_leader(group, message.term, message.disk)
        raise group.fault
    if message.to_disk != group.disk_id or message.term < group.term:
        return _appended(group, False)
    received_at = group.clocks.monotonic()
    roles.follow(group, message.term, message.disk)
    prev_term = group.log.term_at(message.prev_index)
    if (
        prev_term != message.prev_term
        and message.prev_index > group.commit_index
    ):
        return _appended(group, False, hint=_conflict_hint(group, message))
    entries = [logfile.parse_entry(payload) for payload in message.entries]
    last = message.prev_index + len(entries)
    _merge(group, message.prev_index, entries)
    group.commit(min(message.commit, last))
    if entries:
        await group.writer.flush()
    match = 0
    if group.store.saved_term >= message.term:
        match = min(last, group.store.durable_index)
    if group.term != message.term:
        return _appended(group, False, hint=group.store.durable_index + 1)
    reply = _appended(group, True, match=match)
    reply.held = group.clocks.monotonic() - received_at
    return reply


def _appended(group, ok: bool, match: int = 0, hint: int = 0):
    return messages.Appended(
        group.term, ok, group.disk_id, match, hint, group.clocks.wall()
    )


def _conflict_hint(group, message: messages.Append) -> int:
    """Return where the leader should resume: the conflicting term's start."""
    index = min(message.prev_index, group.log.last_index + 1)
    term = group.log.term_at(index)
    while (
        term is not None
        and index > group.log.base_index + 1
        and group.log.term_at(index - 1) == term
    ):
        index -= 1
    return max(index, group.commit_index + 1)


def _merge(group, previous: int, entries: list[logfile.Entry]) -> None:
    """Append `entries` after `previous`, replacing conflicting ones."""
    for position, entry in enumerate(entries):
        if entry.index != previous + position + 1:
            raise errors.FrameError(
                "entry index in append",
                given=entry.index,
                expected=previous + position + 1,
            )
    new = [e for e in entries if e.index > group.commit_index]
    for position, entry in enumerate(new):
        term = group.log.term_at(entry.index)
        if term == entry.term:
            continue
        if term is not None:
            group.truncate(entry.index)
        group.append(new[position:])
        return


async def _send_snapshots(group, peer: Peer) -> None:
    while True:
        await peer.snapshot_due.wait()
        await _send_snapshot(group, peer)
        # It was set again by each heartbeat of this transfer.
        peer.snapshot_due.clear()


async def _send_snapshot(group, peer: Peer) -> None:
    """Send the latest snapshot file; then entries follow."""
    if group.store.snapshot_index == 0:
        return
    try:
        reader = snapshots.Reader(
            group.store.folder, group.store.snapshot_index
        )
    except FileNotFoundError:
        # Replaced by a newer snapshot; retried with its index.
        return
    logs.event(log, "keeper.snapshot-sent", peer=peer.name, index=reader.index)
    transfer = Transfer(reader, group.term, peer.epoch)
    began_at = group.clocks.monotonic()
    try:
        await _send_chunks(group, peer, transfer)
    finally:
        reader.close()
        logs.event(
            log,
            "keeper.snapshot-ended",
            peer=peer.name,
            index=reader.index,
            offset=transfer.offset,
            total=reader.total,
            seconds=round(group.clocks.monotonic() - began_at, 3),
            paced=round(transfer.paced, 3),
        )
    if transfer.offset < reader.total:
        return
    peer.match_index = reader.index
    peer.rewind(reader.index + 1)
    advance_commit_index(group)
    peer.wake.set()


async def _send_chunks(group, peer: Peer, transfer: Transfer) -> None:
    """Send one chunk after the other, until the last or until refused."""
    loop = asyncio.get_running_loop()
    reader = transfer.reader
    while transfer.offset < reader.total:
        data = await loop.run_in_executor(
            group.store.snapshot_thread, reader.read, transfer.offset
        )
        if group.pacer is not None:
            waiting_since = group.clocks.monotonic()
            await _await_turn(group, peer, len(data))
            transfer.paced += group.clocks.monotonic() - waiting_since
        if not _continues(group, peer, transfer):
            return
        accepted = await _send_chunk(group, peer, transfer, data)
        if accepted is None or not _continues(group, peer, transfer):
            return
        transfer.offset = accepted


async def _await_turn(group, peer: Peer, size: int) -> None:
    """Wait for the pacer; only what the quorum may need goes ahead."""
    if membership.is_voter(group.members, peer.disk):
        await group.pacer.acquire_urgent(size)
    else:
        await group.pacer.acquire()


def _continues(group, peer: Peer, transfer: Transfer) -> bool:
    """Return whether neither leadership nor the peer's state has changed."""
    same = (group.term, peer.epoch) == (transfer.term, transfer.epoch)
    return group.leading and same


async def _send_chunk(group, peer, transfer, data) -> int | None:
    message = messages.Chunk(
        group.name,
        group.term,
        group.disk_id,
        peer.disk,
        transfer.reader.index,
        transfer.offset,
        transfer.reader.total,
        data,
    )
    sent_at = group.clocks.monotonic()
    try:
        reply = await peer.dialler.call(message, REPLY_TIMEOUT_SECONDS)
    except errors.LinkClosedError:
        return None
    except errors.AmaranthringError:
        peer.snapshot_retry_at = (
            group.clocks.monotonic() + SNAPSHOT_RETRY_SECONDS
        )
        return None
    peer.replied_at = group.clocks.monotonic()
    if reply.term > group.term:
        roles.set_term(group, reply.term)
    if reply.disk != peer.disk:
        _disk_changed(group, peer, reply.disk)
        return None
    if not reply.ok or message.term != group.term:
        return None
    peer.acked_at = max(peer.acked_at, sent_at)
    peer.synced_at = group.clocks.monotonic()
    return reply.offset


async def on_chunk(group, message: messages.Chunk) -> messages.Chunked:
    """Store one chunk of a snapshot; install it after the last chunk."""
    if group.fault is not None:
        raise group.fault
    refusal = messages.Chunked(group.term, False, group.disk_id)
    if message.to_disk != group.disk_id or message.term < group.term:
        return refusal
    roles.follow(group, message.term, message.disk)
    accepted = messages.Chunked(group.term, True, group.disk_id, message.total)
    if message.index <= group.commit_index:
        return accepted
    try:
        offset = await asyncio.get_running_loop().run_in_executor(
            group.store.snapshot_thread,
            group.receiver.write_chunk,
            message.index,
            message.offset,
            message.data,
        )
        if offset == message.total:
            await applier.install(group)
    except (OSError, errors.StorageError) as error:
        roles.fail_disk(group, error)
        raise group.fault from error
    if offset is None or group.term != message.term:
        return refusal
    accepted.offset = offset
    return accepted
