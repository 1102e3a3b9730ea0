"""Disks with chosen sync times, full disks and losses of power.

A process writes through a :class:`Disk`, whose control file another process
rewrites while it runs. How much of each file has been synced, and each write
since, is kept beside the data, by inode; :func:`lose_power` drops writes after
the process was killed, each on its own, and undoes renames and removals whose
folder was not synced.
"""

import dataclasses
import errno
import json
import os
import pathlib
import random
import stat
import time
import typing as t

from amaranthring.keepers import disk

STALL_POLL_SECONDS = 0.01
REPLACED_PREFIX = "replaced-"
REMOVED_PREFIX = "removed-"
WRITES_SUFFIX = ".writes"
# Share of losses of power at which all writes since the last sync are gone.
ALL_LOST_SHARE = 0.3


@dataclasses.dataclass
class Mode:
    """Behaviour of a disk.

    Attributes
    ----------
    low, high : float
        Bounds of the time of a sync in seconds, evenly distributed.
    stalled_until : float
        Monotonic seconds before which no sync ends.
    full : bool
        Whether writes fail with ENOSPC.
    folders : bool
        Whether syncs of folders, and others that bypass
        :class:`disk.FileOps`, take as long.
    """

    low: float = 0.0
    high: float = 0.0
    stalled_until: float = 0.0
    full: bool = False
    folders: bool = False

    def write(self, path: pathlib.Path) -> None:
        """Make `path` hold this mode."""
        temporary = path.with_suffix(".tmp")
        temporary.write_text(json.dumps(dataclasses.asdict(self)))
        temporary.replace(path)


class Disk:
    """System calls of a disk whose mode is in a control file.

    Parameters
    ----------
    control : path
        Holds a :class:`Mode`.
    durable : path
        Folder for what is known of synced data.
    """

    def __init__(self, control: pathlib.Path, durable: pathlib.Path):
        self.control = control
        self.durable = durable
        self.synced = _load(durable)

    def files(self) -> disk.FileOps:
        """Return the system calls."""
        return disk.FileOps(self.write, self.sync, self.replace, self.remove)

    def mode(self) -> Mode:
        """Return the mode in force."""
        return Mode(**json.loads(self.control.read_text()))

    def write(self, fd: int, data: bytes) -> int:
        """Write as :func:`os.write`, or fail if the disk is full."""
        if self.mode().full:
            raise OSError(errno.ENOSPC, "No space left on device")
        position = _position(fd)
        self._forget_from(fd, position)
        written = os.write(fd, data)
        self._note_write(os.fstat(fd).st_ino, position, position + written)
        return written

    def sync(self, fd: int) -> None:
        """Sync a file after the time of the mode."""
        size = os.fstat(fd).st_size
        self._wait()
        self._record(fd, size)

    def fsync(self, fd: int) -> None:
        """Replace :func:`os.fsync`: sync a file or a folder."""
        if self.mode().folders:
            self._wait()
        status = os.fstat(fd)
        if not stat.S_ISDIR(status.st_mode):
            self._record(fd, status.st_size)
            return
        for prefix in (REPLACED_PREFIX, REMOVED_PREFIX):
            for path in self.durable.glob(prefix + "*"):
                path.unlink()

    def remove(self, path: pathlib.Path) -> None:
        """Remove as :func:`os.unlink`; the file is kept until a sync."""
        os.replace(path, self.durable / (REMOVED_PREFIX + path.name))

    def replace(self, source: t.Any, target: t.Any) -> None:
        """Replace as :func:`os.replace`; the old file is kept until a sync."""
        kept = self.durable / (REPLACED_PREFIX + pathlib.Path(target).name)
        if os.path.exists(target) and not kept.exists():
            os.link(target, kept)
        os.replace(source, target)

    def _wait(self) -> None:
        mode = self.mode()
        time.sleep(random.uniform(mode.low, mode.high))
        while time.monotonic() < self.mode().stalled_until:
            time.sleep(STALL_POLL_SECONDS)

    def _record(self, fd: int, size: int) -> None:
        inode = os.fstat(fd).st_ino
        self.synced[inode] = size
        (self.durable / f"{inode}{WRITES_SUFFIX}").unlink(missing_ok=True)
        path = self.durable / str(inode)
        temporary = path.with_suffix(".tmp")
        temporary.write_text(str(size))
        temporary.replace(path)

    def _forget_from(self, fd: int, position: int) -> None:
        """Count as unsynced what the next write replaces."""
        if self.synced.get(os.fstat(fd).st_ino, 0) > position:
            self._record(fd, position)

    def _note_write(self, inode: int, begin: int, end: int) -> None:
        """Note a write that no sync covers yet."""
        writes = [w for w in _writes(self.durable, inode) if w[1] <= begin]
        lines = [f"{b} {e}\n" for b, e in [*writes, (begin, end)]]
        path = self.durable / f"{inode}{WRITES_SUFFIX}"
        path.write_text("".join(lines))


def lose_power(
    folder: pathlib.Path, durable: pathlib.Path, rng: random.Random
) -> None:
    """Drop what was not synced in `folder`, whose process has been killed.

    Each write since the last sync of its file is lost, kept or torn; now and
    then all of them are lost.
    """
    synced = _load(durable)
    for kept in durable.glob(REMOVED_PREFIX + "*"):
        if rng.random() < 0.5:
            kept.replace(folder / kept.name.removeprefix(REMOVED_PREFIX))
        else:
            kept.unlink()
    for kept in durable.glob(REPLACED_PREFIX + "*"):
        kept.replace(folder / kept.name.removeprefix(REPLACED_PREFIX))
    for path in folder.iterdir():
        status = path.stat()
        durable_size = min(synced.get(status.st_ino, 0), status.st_size)
        writes = _writes(durable, status.st_ino)
        if not writes or rng.random() < ALL_LOST_SHARE:
            os.truncate(path, durable_size)
        else:
            _lose_writes(path, durable_size, writes, rng)


def _lose_writes(
    path: pathlib.Path,
    durable_size: int,
    writes: list[tuple[int, int]],
    rng: random.Random,
) -> None:
    """Lose, keep or tear each of the `writes` at the end of a file."""
    data = bytearray(path.read_bytes())
    size = durable_size
    for begin, end in writes:
        kept = rng.choice((begin, end, rng.randint(begin, end)))
        data[kept:end] = bytes(end - kept)
        # The file may have grown for a write that is torn.
        grown = kept > begin and rng.random() < 0.5
        size = max(size, end if grown else kept if kept > begin else 0)
    path.write_bytes(data[:size])


def _writes(durable: pathlib.Path, inode: int) -> list[tuple[int, int]]:
    """Return where each write since the last sync begins and ends."""
    path = durable / f"{inode}{WRITES_SUFFIX}"
    if not path.exists():
        return []
    lines = path.read_text().splitlines()
    return [(int(a), int(b)) for a, b in map(str.split, lines)]


def _position(fd: int) -> int:
    """Return where the next write to a file begins."""
    flags = pathlib.Path(f"/proc/self/fdinfo/{fd}").read_text()
    if int(flags.split("flags:")[1].split()[0], 8) & os.O_APPEND:
        return os.fstat(fd).st_size
    return os.lseek(fd, 0, os.SEEK_CUR)


def _load(durable: pathlib.Path) -> dict[int, int]:
    return {
        int(path.name): int(path.read_text())
        for path in durable.iterdir()
        if path.name.isdigit()
    }
