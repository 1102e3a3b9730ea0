"""Durable files of one group: identity, term and vote, atomic writes, sync.

All writes of a group's log go through one :class:`Writer`: one thread off
the event loop, so that heartbeats go on while the disk is busy, and one sync
for everything that waited meanwhile. System calls that may fail are passed
in as :class:`Files`, which lets tests fill the disk.
"""

import asyncio
import concurrent.futures
import dataclasses
import fcntl
import os
import pathlib
import secrets
import typing as t
import zlib

from amaranthring import errors
from amaranthring.core import fields
from amaranthring.core import wire
from amaranthring.keepers import messages

HARD_STATE_FILE = "hard-state"
LOCK_FILE = "lock"
TEMPORARY_SUFFIX = ".tmp"
DISK_ID_BYTES = 8
CHECKSUM_BYTES = 4


@dataclasses.dataclass
class FileOps:
    """System calls that write; a seam for write errors.

    Attributes
    ----------
    write : callable
        As :func:`os.write`.
    sync : callable
        As :func:`os.fdatasync`.
    replace : callable
        As :func:`os.replace`.
    """

    write: t.Callable[[int, bytes], int] = os.write
    sync: t.Callable[[int], None] = os.fdatasync
    replace: t.Callable[..., None] = os.replace


@dataclasses.dataclass
class HardState:
    """What a keeper must not forget before it answers.

    Attributes
    ----------
    group, keeper, disk : str
        Whose folder this is, and its random identity.
    term : int
        Highest term seen.
    vote : str
        Disk that got this disk's vote in `term`, or empty.
    begun : bool
        Whether a log was ever begun; one that is missing then was lost.
    genesis : Members, optional
        First configuration of the group; None until the disk joined one.
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


def sync_folder(folder: pathlib.Path) -> None:
    """Sync `folder` itself, so that renames and new files last."""
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def replace_file(path: pathlib.Path, data: bytes, files: FileOps) -> None:
    """Replace the file at `path` by `data`: whole or not at all."""
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
    """Return `data` behind its checksum."""
    return zlib.crc32(data).to_bytes(CHECKSUM_BYTES, "big") + data


def verify_checksum(data: bytes, path: pathlib.Path) -> bytes:
    """Return what :func:`with_checksum` was given.

    Raises
    ------
    errors.StorageError
        If the checksum does not fit.
    """
    body = data[CHECKSUM_BYTES:]
    if with_checksum(body) != data:
        raise damage_error(path, "checksum does not fit")
    return body


def damage_error(path: pathlib.Path, what: str) -> errors.StorageError:
    """Return the error for a damaged file, saying what to do."""
    return errors.StorageError(
        f"{path}: {what}",
        given="a damaged file",
        expected="an intact file; empty the folder and start again: the "
        "keeper then returns as a learner and is voted in",
    )


class DataFolder:
    """The data folder of one group on one keeper.

    Parameters
    ----------
    folder : path
        Made if missing; locked against a second process.
    group, keeper : str
        Whose folder it must be.
    files : Files
        System calls.

    Raises
    ------
    errors.StorageError
        If the folder belongs to another keeper or group, is in use, cannot
        be written, or is damaged.
    """

    def __init__(self, folder, group: str, keeper: str, files: FileOps):
        self.folder = pathlib.Path(folder)
        self.files = files
        self.lock = -1
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self._lock()
            self.hard = self._load(group, keeper)
        except OSError as error:
            self.close()
            raise storage_error(self.folder, error) from error
        except errors.StorageError:
            self.close()
            raise

    def _lock(self) -> None:
        # Two processes on one folder would overwrite each other's votes;
        # the lock ends with the process, however it dies.
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
            left = [p for p in self.folder.iterdir() if p.name != LOCK_FILE]
            if [p for p in left if p.suffix != TEMPORARY_SUFFIX]:
                raise damage_error(path, "missing beside other files")
            made = HardState(group, keeper, secrets.token_hex(DISK_ID_BYTES))
            self.save(made)
            return made
        data = wire.decode_value(verify_checksum(path.read_bytes(), path))
        found = fields.reader(HardState)(data)
        if (found.group, found.keeper) != (group, keeper):
            # Another keeper's disk may have voted under that name; used
            # here it could vote a second time in the same term.
            raise errors.StorageError(
                f"{self.folder}: belongs to another keeper",
                given=f"{found.keeper} of group {found.group}",
                expected=f"{keeper} of group {group}, or an empty folder",
            )
        return found

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
    """Return the typed error for a failed system call."""
    return errors.StorageError(
        f"{where}: {error.strerror or error}",
        given=f"errno {error.errno}",
        expected="a writable data folder with free space",
    )


class Writer:
    """Runs disk operations in order in one thread, with one sync for many.

    Parameters
    ----------
    sync : callable
        Called in the thread after each batch of operations.
    on_synced : callable
        Called on the loop with the last mark of a batch, if it had one.
    on_fault : callable
        Called once on the loop with the StorageError that ended the writer.
    """

    def __init__(self, sync, on_synced, on_fault):
        self.sync = sync
        self.on_synced = on_synced
        self.on_fault = on_fault
        self.fault: errors.StorageError | None = None
        self.thread = concurrent.futures.ThreadPoolExecutor(1, "disk")
        self.operations: list[t.Callable[[], None]] = []
        self.mark: t.Any = None
        self.waiters: list[asyncio.Future] = []
        self.wake = asyncio.Event()
        self.batches = 0

    def submit(self, operation: t.Callable[[], None], mark=None) -> None:
        """Queue `operation`; `mark` is handed on once it is synced."""
        self.operations.append(operation)
        if mark is not None:
            self.mark = mark
        self.wake.set()

    async def flush(self) -> None:
        """Return once everything submitted so far is synced.

        Raises
        ------
        errors.StorageError
            If the disk failed, now or earlier.
        """
        if self.fault:
            raise self.fault
        future = asyncio.get_running_loop().create_future()
        self.waiters.append(future)
        self.wake.set()
        await future

    async def run(self) -> None:
        """Perform batches until cancelled or until the disk fails."""
        loop = asyncio.get_running_loop()
        while self.fault is None:
            await self.wake.wait()
            self.wake.clear()
            operations, self.operations = self.operations, []
            waiters, self.waiters = self.waiters, []
            mark, self.mark = self.mark, None
            try:
                if operations:
                    await loop.run_in_executor(
                        self.thread, self._perform, operations
                    )
            except (OSError, errors.StorageError) as error:
                self._fail(error, waiters)
                return
            self.batches += 1
            if mark is not None:
                self.on_synced(mark)
            for future in waiters:
                if not future.done():
                    future.set_result(None)

    def _perform(self, operations) -> None:
        for operation in operations:
            operation()
        self.sync()

    def _fail(self, error: Exception, waiters) -> None:
        # After a failed write or sync nobody knows what is on the disk, so
        # nothing more may be acknowledged from it until a restart has read
        # it again.
        if isinstance(error, OSError):
            error = storage_error("data folder", error)
        self.fault = error
        for future in waiters + self.waiters:
            if not future.done():
                future.set_exception(error)
                future.exception()
        self.waiters = []
        self.on_fault(error)

    def close(self) -> None:
        """End the thread."""
        self.thread.shutdown(wait=True)
