"""Disks with chosen sync times, full disks and losses of power.

A process writes through a :class:`Disk`, whose control file another process
rewrites while it runs. How much of each file has been synced is kept beside
the data, by inode; :func:`lose_power` drops the rest after the process was
killed, and undoes renames whose folder was not synced.
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
        return disk.FileOps(self.write, self.sync, self.replace)

    def mode(self) -> Mode:
        """Return the mode in force."""
        return Mode(**json.loads(self.control.read_text()))

    def write(self, fd: int, data: bytes) -> int:
        """Write as :func:`os.write`, or fail if the disk is full."""
        if self.mode().full:
            raise OSError(errno.ENOSPC, "No space left on device")
        self._forget_from(fd)
        return os.write(fd, data)

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
        for path in self.durable.glob(REPLACED_PREFIX + "*"):
            path.unlink()

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
        path = self.durable / str(inode)
        temporary = path.with_suffix(".tmp")
        temporary.write_text(str(size))
        temporary.replace(path)

    def _forget_from(self, fd: int) -> None:
        """Count as unsynced what the next write replaces."""
        status = os.fstat(fd)
        flags = pathlib.Path(f"/proc/self/fdinfo/{fd}").read_text()
        position = status.st_size
        if not int(flags.split("flags:")[1].split()[0], 8) & os.O_APPEND:
            position = os.lseek(fd, 0, os.SEEK_CUR)
        if self.synced.get(status.st_ino, 0) > position:
            self._record(fd, position)


def lose_power(
    folder: pathlib.Path, durable: pathlib.Path, rng: random.Random
) -> None:
    """Drop what was not synced in `folder`, whose process has been killed.

    The unsynced end of a file is lost or, now and then, torn.
    """
    synced = _load(durable)
    for kept in durable.glob(REPLACED_PREFIX + "*"):
        kept.replace(folder / kept.name.removeprefix(REPLACED_PREFIX))
    for path in folder.iterdir():
        status = path.stat()
        durable_size = min(synced.get(status.st_ino, 0), status.st_size)
        torn = rng.random() < 0.5
        os.truncate(
            path,
            rng.randint(durable_size, status.st_size)
            if torn
            else durable_size,
        )


def _load(durable: pathlib.Path) -> dict[int, int]:
    return {
        int(path.name): int(path.read_text())
        for path in durable.iterdir()
        if path.name.isdigit()
    }
