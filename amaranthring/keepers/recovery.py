"""A keeper whose disk failed for a while takes part again.

After a failed write or sync nobody knows what the disk holds, so the group
stops taking part at once. A full disk is freed within seconds, though, and a
keeper that stayed away until its process was restarted would cost the group
its quorum as soon as the disk of a second one fills up. So the folder is
opened again, as at a start, until that works.

What was not known to be synced before the failure is dropped: a page that
could not be written may still be read back from memory, and be lost later.
Nobody was told that it is there.
"""

import asyncio

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.keepers import disk
from amaranthring.keepers import store

log = logbook.Logger(__name__)

# How often the folder of a failed disk is tried. Opening it reads the log, a
# few hundred kilobytes; a group that waits for this keeper's vote is without
# a leader for so much longer.
RETRY_SECONDS = 0.5


async def run(group) -> None:
    """Open the folder again after each failure of the disk, for ever."""
    while True:
        await asyncio.sleep(RETRY_SECONDS)
        if group.fault is not None and group.recoverable:
            await _try(group)


async def _try(group) -> None:
    loop = asyncio.get_running_loop()
    opening = loop.run_in_executor(None, _open, group)
    try:
        made = await asyncio.shield(opening)
    except asyncio.CancelledError:
        opening.add_done_callback(_close_unused)
        raise
    except errors.StorageError as error:
        group.metrics.count("keeper.disk-tries")
        if str(error) != str(group.fault):
            log.error("keeper.fault group={} fault={}", group.name, error)
            group.fault = error
        return
    group.resume(made)
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
    """Return a new store over the folder; runs in a thread."""
    known = group.store.durable_index
    group.store.close()
    try:
        made = group.open_store()
    except OSError as error:
        raise disk.storage_error(group.folder, error) from error
    try:
        made.drop_after(known)
        # Opening writes little or nothing: this shows that the disk takes
        # writes again.
        made.disk.save(made.hard)
    except OSError as error:
        made.close()
        raise disk.storage_error(made.folder, error) from error
    except errors.StorageError:
        made.close()
        raise
    return made
