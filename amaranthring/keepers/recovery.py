"""Recovery of a keeper after a disk failure, without a process restart.

After a failed write or sync the contents of the disk are unknown, so the
keeper stops participating at once. It then tries to reopen its folder, as at
a start, until that succeeds. Without this, a second full disk would cost the
group its quorum, even long after the first disk was freed.

Entries not known to be synced before the failure are dropped: the page cache
may still return them although they were never written. They were never
acknowledged.
"""

import asyncio

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.keepers import disk
from amaranthring.keepers import store

log = logbook.Logger(__name__)

# Interval between attempts to reopen the folder; it can prolong an election
# that needs this keeper's vote. An attempt reads the whole log, a few hundred
# kilobytes.
RETRY_INTERVAL_SECONDS = 0.5


async def run(group) -> None:
    """Reopen the folder after each disk failure, until cancelled."""
    while True:
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        if group.fault is not None and group.recoverable:
            await _try_reopen(group)


async def _try_reopen(group) -> None:
    loop = asyncio.get_running_loop()
    opening = loop.run_in_executor(None, _open, group)
    try:
        opened = await asyncio.shield(opening)
    except asyncio.CancelledError:
        opening.add_done_callback(_close_unused)
        raise
    except errors.StorageError as error:
        group.metrics.count("keeper.disk-tries")
        if str(error) != str(group.fault):
            log.error("keeper.fault group={} fault={}", group.name, error)
            group.fault = error
        return
    group.resume(opened)
    logs.event(
        log,
        "keeper.resumed",
        group=group.name,
        keeper=group.keeper.name,
        term=group.term,
        last=group.log.last_index,
    )


def _close_unused(opening: asyncio.Future) -> None:
    if not opening.cancelled() and opening.exception() is None:
        opening.result().close()


def _open(group) -> store.Store:
    """Return a new store for the folder; runs in a thread."""
    durable_index = group.store.durable_index
    group.store.close()
    try:
        opened = group.open_store()
    except OSError as error:
        raise disk.storage_error(group.folder, error) from error
    try:
        opened.drop_after(durable_index)
        # Opening may write nothing, so check that the disk accepts writes.
        opened.data_folder.save(opened.hard_state)
    except OSError as error:
        opened.close()
        raise disk.storage_error(opened.folder, error) from error
    except errors.StorageError:
        opened.close()
        raise
    return opened
