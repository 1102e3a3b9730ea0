"""Durable files of one group: hard state, atomic replacement, disk writer.

All writes to a group's log go through one :class:`Writer`: a thread outside
the event loop, so that heartbeats continue while the disk is busy, with one
sync per batch. System calls that may fail are passed in as :class:`FileOps`,
so that tests can inject write errors.
"""

import asyncio
import concurrent.futures
import dataclasses
import fcntl
import os
import pathlib
import secrets
import time
import typing as t
import zlib

import logbook

from amaranthring import errors
from amaranthring.core import logs
from amaranthring.core import validation
from amaranthring.core import wire
from amaranthring.keepers import messages

log = logbook.Logger(__name__)

HARD_STATE_FILE = "hard-state"
LOCK_FILE = "lock"
TEMPORARY_SUFFIX = ".tmp"
DISK_ID_BYTES = 8
CHECKSUM_BYTES = 4
# Batches that take as long as a heartbeat interval are logged.
SLOW_BATCH_SECONDS = 0.1


def sync_folder(folder: pathlib.Path) -> None:
    """Sync `folder` itself, so that renames and new files are durable."""
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


@dataclasses.dataclass
class FileOps:
    """System calls that write; tests replace them to inject errors.

    Attributes
    ----------
    write : callable
        Like :func:`os.write`.
    sync : callable
        Like :func:`os.fdatasync`.
    replace : callable
        Like :func:`os.replace`.
    remove : callable
        Like :func:`os.unlink`.
    truncate : callable
        Like :func:`os.ftruncate`.
    sync_folder : callable
        Like :func:`sync_folder`.
    """

    write: t.Callable[[int, bytes], int] = os.write
    sync: t.Callable[[int], None] = os.fdatasync
    replace: t.Callable[..., None] = os.replace
    remove: t.Callable[[pathlib.Path], None] = os.unlink
    truncate: t.Callable[[int, int], None] = os.ftruncate
    sync_folder: t.Callable[[pathlib.Path], None] = sync_folder


@dataclasses.dataclass
class HardState:
    """State that a keeper must persist before it replies to a message.

    Attributes
    ----------
    group, keeper, disk : str
        Owner of the folder, and its random disk identity.
    term : int
        Highest term seen.
    vote : str
        Disk that received this disk's vote in `term`, or empty.
    begun : bool
        Whether a log was created; if so, a missing log is data loss.
    genesis : Members, optional
        First configuration of the group; None until the disk has joined one.
    """

    group: str
    keeper: str
    disk: str
    term: int = 0
    vote: str = ""
    begun: bool = False
    genesis: messages.Members | None = None


def write_all(fd: int, data: bytes, files: FileOps) -> None:
    """Write all of `data` to `fd`."""
    view = memoryview(data)
    while view:
        view = view[files.write(fd, view) :]


def replace_file(path: pathlib.Path, data: bytes, files: FileOps) -> None:
    """Atomically replace the contents of the file at `path` by `data`."""
    temporary = path.with_suffix(TEMPORARY_SUFFIX)
    fd = os.open(temporary, os.O_CREAT | os.O_TRUNC | os.O_WRONLY, 0o600)
    try:
        write_all(fd, data, files)
        files.sync(fd)
    finally:
        os.close(fd)
    files.replace(temporary, path)
    sync_folder(path.parent)


def with_checksum(data: bytes) -> bytes:
    """Return `data` prefixed with its checksum."""
    return zlib.crc32(data).to_bytes(CHECKSUM_BYTES, "big") + data


def verify_checksum(data: bytes, path: pathlib.Path) -> bytes:
    """Return `data` without its checksum, after verifying it.

    Raises
    ------
    errors.StorageError
        If the checksum does not match.
    """
    body = data[CHECKSUM_BYTES:]
    if with_checksum(body) != data:
        raise damage_error(path, "checksum does not fit")
    return body


def damage_error(path: pathlib.Path, problem: str) -> errors.StorageError:
    """Return the error for a corrupt file, with instructions to recover."""
    return errors.StorageError(
        f"{path}: {problem}",
        given="a damaged file",
        expected="an intact file; empty the folder and start again: the "
        "keeper then rejoins as a learner and is promoted to voter",
    )


class DataFolder:
    """The data folder of one group on one keeper.

    Parameters
    ----------
    folder : path
        Created if missing; locked against other processes.
    group, keeper : str
        Expected owner of the folder.
    files : FileOps
        System calls.

    Raises
    ------
    errors.StorageError
        If the folder belongs to another keeper or group, is in use, cannot
        be written, or is corrupt.
    """

    def __init__(self, folder, group: str, keeper: str, files: FileOps):
        self.folder = pathlib.Path(folder)
        self.files = files
        self.lock = -1
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self._lock()
            self.hard_state = self._load(group, keeper)
        except OSError as error:
            self.close()
            raise storage_error(self.folder, error) from error
        except errors.StorageError:
            self.close()
            raise

    def _lock(self) -> None:
        # Two processes on one folder would overwrite each other's votes. The
        # kernel releases the lock however the process ends.
        self.lock = os.open(
            self.folder / LOCK_FILE, os.O_CREAT | os.O_RDWR, 0o600
        )
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise errors.StorageError(
                f"{self.folder}: in use by another process",
                given="a locked folder",
                expected="one keeper process for each folder",
            ) from error

    def _load(self, group: str, keeper: str) -> HardState:
        path = self.folder / HARD_STATE_FILE
        if not path.exists():
            others = [p for p in self.folder.iterdir() if p.name != LOCK_FILE]
            if [p for p in others if p.suffix != TEMPORARY_SUFFIX]:
                raise damage_error(path, "missing beside other files")
            state = HardState(group, keeper, secrets.token_hex(DISK_ID_BYTES))
            self.save(state)
            return state
        data = wire.decode_value(verify_checksum(path.read_bytes(), path))
        stored = validation.validator(HardState)(data)
        if (stored.group, stored.keeper) != (group, keeper):
            # That disk may have voted under the other name and could vote a
            # second time in the same term here.
            raise errors.StorageError(
                f"{self.folder}: belongs to another keeper",
                given=f"{stored.keeper} of group {stored.group}",
                expected=f"{keeper} of group {group}, or an empty folder",
            )
        return stored

    def save(self, state: HardState) -> None:
        """Write `state` durably."""
        data = with_checksum(wire.encode_value(state))
        replace_file(self.folder / HARD_STATE_FILE, data, self.files)

    def close(self) -> None:
        """Unlock the folder."""
        if self.lock >= 0:
            os.close(self.lock)
            self.lock = -1


def storage_error(where, error: OSError) -> errors.StorageError:
    """Return the StorageError for a failed system call."""
    return errors.StorageError(
        f"{where}: {error.strerror or error}",
        given=f"errno {error.errno}",
        expected="a writable data folder with free space",
    )


def stopped_error() -> errors.StorageError:
    """Return the error for a write that the end of the writer cut short."""
    return errors.StorageError(
        "data folder: the writer has stopped",
        given="a write that may not be on disk",
        expected="a running keeper",
    )


class Writer:
    """Runs disk operations in order in one thread, with one sync per batch.

    Parameters
    ----------
    sync : callable
        Called in the thread after each batch of operations.
    on_synced : callable
        Called on the event loop with the last marker of a batch, if any.
    on_fault : callable
        Called once on the event loop with the StorageError that stopped the
        writer.

    Attributes
    ----------
    batch_started_at : float or None
        Monotonic time at which the batch in progress was started.
    longest_batch : float
        Seconds that the longest batch took since the last call of
        `take_longest_batch`.
    """

    def __init__(self, sync, on_synced, on_fault):
        self.sync = sync
        self.on_synced = on_synced
        self.on_fault = on_fault
        self.fault: errors.StorageError | None = None
        self.thread = concurrent.futures.ThreadPoolExecutor(1, "disk")
        self.operations: list[t.Callable[[], None]] = []
        self.marker: t.Any = None
        self.waiters: list[asyncio.Future] = []
        self.batch_waiters: list[asyncio.Future] = []
        self.wake = asyncio.Event()
        self.batches = 0
        self.batch_started_at: float | None = None
        self.longest_batch = 0.0

    def batch_age(self) -> float:
        """Return the seconds since the batch in progress was started, or 0."""
        if self.batch_started_at is None:
            return 0.0
        return time.monotonic() - self.batch_started_at

    def take_longest_batch(self) -> float:
        """Return the longest time of a batch since the last call, in seconds.

        The batch in progress counts with its age.
        """
        longest = max(self.longest_batch, self.batch_age())
        self.longest_batch = 0.0
        return longest

    def submit(self, operation: t.Callable[[], None], marker=None) -> None:
        """Queue `operation`; `marker` goes to `on_synced` after the sync."""
        self.operations.append(operation)
        if marker is not None:
            self.marker = marker
        self.wake.set()

    async def flush(self) -> None:
        """Wait until everything submitted so far is synced.

        Raises
        ------
        errors.StorageError
            If the disk fails or has failed before, or the writer stops.
        """
        if self.fault:
            raise self.fault
        future = asyncio.get_running_loop().create_future()
        self.waiters.append(future)
        self.wake.set()
        await future

    async def run(self) -> None:
        """Run batches until cancelled or until the disk fails.

        However it ends, those that wait for a batch are told.
        """
        try:
            await self._run_batches()
        finally:
            if self.fault is None:
                self._refuse_waiters(stopped_error())

    async def _run_batches(self) -> None:
        loop = asyncio.get_running_loop()
        while self.fault is None:
            await self.wake.wait()
            self.wake.clear()
            operations, self.operations = self.operations, []
            self.batch_waiters, self.waiters = self.waiters, []
            marker, self.marker = self.marker, None
            try:
                if operations:
                    await self._time_batch(
                        loop.run_in_executor(
                            self.thread, self._run_batch, operations
                        ),
                        len(operations),
                    )
            except (OSError, errors.StorageError) as error:
                self._fail(error)
                return
            self.batches += 1
            if marker is not None:
                self.on_synced(marker)
            for future in self.batch_waiters:
                if not future.done():
                    future.set_result(None)

    async def _time_batch(self, batch: t.Awaitable, operations: int) -> None:
        self.batch_started_at = time.monotonic()
        try:
            await batch
        finally:
            seconds = self.batch_age()
            self.batch_started_at = None
            self.longest_batch = max(self.longest_batch, seconds)
            if seconds >= SLOW_BATCH_SECONDS:
                logs.event(
                    log,
                    "keeper.slow-disk",
                    seconds=round(seconds, 3),
                    operations=operations,
                    queued=len(self.operations),
                )

    def _run_batch(self, operations) -> None:
        for operation in operations:
            operation()
        self.sync()

    def _fail(self, error: Exception) -> None:
        # After a failed write or sync the contents of the disk are unknown:
        # nothing more may be acknowledged until it has been read again.
        if isinstance(error, OSError):
            error = storage_error("data folder", error)
        self._refuse_waiters(error)
        self.on_fault(error)

    def _refuse_waiters(self, error: errors.StorageError) -> None:
        """Fail all waits, now and later, with `error`."""
        self.fault = error
        for future in self.batch_waiters + self.waiters:
            if not future.done():
                future.set_exception(error)
                # Marks it as retrieved, as the waiter may have ended.
                future.exception()
        self.batch_waiters, self.waiters = [], []

    def close(self) -> None:
        """Stop the thread."""
        self.thread.shutdown(wait=True)
