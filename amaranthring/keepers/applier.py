"""Applies committed entries to the machine and takes its snapshots."""

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

APPLY_AT_ONCE = 200


async def run(group) -> None:
    """Apply what is committed, in order, until cancelled."""
    while True:
        await group.commit_advanced.wait()
        group.commit_advanced.clear()
        done = 0
        while group.applied_index < group.commit_index and not group.fault:
            _apply(group, group.log.get(group.applied_index + 1))
            done += 1
            if done % APPLY_AT_ONCE == 0:
                # After a restart thousands of entries are applied; the
                # heartbeats between them must not wait.
                await asyncio.sleep(0)
        group.applied_changed.set()
        _after(group)


def _apply(group, entry: logfile.Entry) -> None:
    result = _result(group, entry)
    if group.fault:
        return
    group.applied_index = entry.index
    term, future = group.pending_proposals.get(entry.index, (0, None))
    if future is not None and not future.done():
        if term != entry.term:
            # Another leader's entry was committed in its place, so this
            # command can never be.
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


def _result(group, entry: logfile.Entry) -> t.Any:
    if entry.tag == store.MEMBERS_TAG:
        return None
    try:
        body = wire.decode_value(entry.body)
        command = wire.decode_message(entry.tag, body)
    except errors.FrameError as error:
        # Skipping it would make this keeper's state differ from the
        # others' without anybody noticing.
        unknown = errors.StorageError(
            f"entry {entry.index} is not known to this version",
            given=str(error),
            expected="a keeper as new as the others",
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


def _after(group) -> None:
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
    """Take a snapshot whenever enough entries were applied."""
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
    """Put the machine into the state of `snapshot`."""
    group.machine.restore(snapshot.data)
    group.commit_index = group.applied_index = snapshot.index


async def install(group) -> None:
    """Take over a snapshot that arrived whole from the leader."""
    snapshot = await asyncio.get_running_loop().run_in_executor(
        group.store.snapshot_thread, group.receiver.finish
    )
    if snapshot.index <= group.commit_index:
        return
    group.store.install(snapshot)
    restore(group, snapshot)
    group.members_changed()
    for index, (_, future) in group.pending_proposals.items():
        if index <= snapshot.index and not future.done():
            future.set_exception(
                errors.CommitUnknownError(
                    "overtaken by a snapshot", retry_after=1.0
                )
            )
    await group.writer.flush()
    logs.event(
        log,
        "keeper.snapshot-installed",
        group=group.name,
        index=snapshot.index,
    )
