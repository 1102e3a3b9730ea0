"""Applies committed entries to the state machine and takes snapshots."""

import asyncio
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.core import wire
from amaranthring.keepers import log as logfile
from amaranthring.keepers import membership
from amaranthring.keepers import roles
from amaranthring.keepers import snapshots
from amaranthring.keepers import store

log = logbook.Logger(__name__)

APPLY_BATCH = 200


async def run(group) -> None:
    """Apply committed entries in order until cancelled."""
    while True:
        await group.commit_advanced.wait()
        group.commit_advanced.clear()
        applied = 0
        while group.applied_index < group.commit_index and not group.fault:
            _apply(group, group.log.get(group.applied_index + 1))
            applied += 1
            if applied % APPLY_BATCH == 0:
                # Yield so that heartbeats are not delayed while thousands
                # of entries are applied after a restart.
                await asyncio.sleep(0)
        group.applied_changed.set()
        _after_batch(group)


def _apply(group, entry: logfile.Entry) -> None:
    result = _execute(group, entry)
    if group.fault:
        return
    group.applied_index = entry.index
    term, future = group.pending_proposals.get(entry.index, (0, None))
    if future is not None and not future.done():
        if term != entry.term:
            # Another leader's entry was committed at this index, so this
            # command will never be committed.
            result = errors.NotLeaderError(
                "replaced by another leader",
                given=group.keeper.name,
                expected=group.leader(),
            )
        if isinstance(result, errors.AmaranthringError):
            future.set_exception(result)
        else:
            future.set_result(result)
    for callback in group.on_applied:
        callback(entry.index)


def _execute(group, entry: logfile.Entry) -> t.Any:
    if entry.tag == store.MEMBERS_TAG:
        return None
    try:
        body = wire.decode_value(entry.body)
        command = wire.decode_message(entry.tag, body)
    except errors.FrameError as error:
        # Skipping the entry would silently make this keeper's state
        # diverge from the others.
        unknown = errors.StorageError(
            f"log entry {entry.index} is not supported by this version",
            given=str(error),
            expected="a keeper at least as new as the others",
        )
        roles.fail(group, unknown)
        return None
    try:
        return group.machine.apply(entry.index, entry.stamp, command)
    except errors.AmaranthringError as error:
        return error
    except Exception:
        log.exception("keeper.apply-failed index={}", entry.index)
        return errors.InternalError(f"command {entry.tag} failed")


def _after_batch(group) -> None:
    if group.leading and group.applied_index >= group.term_start_index:
        if not group.leadership_announced:
            group.leadership_announced = True
            for callback in group.on_leader:
                callback(group.term)
        if not membership.is_voter(group.members, group.disk_id):
            roles.step_down(group, "removed from the group")
    behind = group.applied_index - group.store.snapshot_index
    if behind >= group.options.snapshot_entries and not group.fault:
        group.snapshot_due.set()


async def take_snapshots(group) -> None:
    """Take a snapshot whenever enough entries have been applied."""
    while True:
        await group.snapshot_due.wait()
        group.snapshot_due.clear()
        index = group.applied_index
        if index <= group.store.snapshot_index or group.fault:
            continue
        try:
            data = group.machine.snapshot()
            await group.store.save_snapshot(index, data)
        except OSError as error:
            roles.fail_disk(group, error)
            continue
        group.metrics.count("keeper.snapshots")


def restore(group, snapshot: snapshots.Snapshot) -> None:
    """Restore the state machine from `snapshot`."""
    group.machine.restore(snapshot.data)
    group.commit_index = group.applied_index = snapshot.index


async def install(group) -> None:
    """Install a snapshot that was received from the leader."""
    snapshot = await asyncio.get_running_loop().run_in_executor(
        group.store.snapshot_thread, group.receiver.finish
    )
    if group.log.term_at(snapshot.index) == snapshot.term:
        # The log has caught up while the disk was busy. The entries after the
        # snapshot may have been acknowledged, so the log is kept.
        group.store.adopt(snapshot)
        group.commit(snapshot.index)
        return
    if snapshot.index <= group.commit_index:
        return
    group.store.install(snapshot)
    restore(group, snapshot)
    group.members_changed()
    for index, (_, future) in group.pending_proposals.items():
        if index <= snapshot.index and not future.done():
            future.set_exception(
                errors.CommitUnknownError(
                    "superseded by a snapshot", retry_after=1.0
                )
            )
    await group.writer.flush()
    logs.event(
        log,
        "keeper.snapshot-installed",
        group=group.name,
        index=snapshot.index,
    )
