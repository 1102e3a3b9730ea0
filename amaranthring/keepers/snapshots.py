"""Snapshot files: the state of the state machine at one log index.

A file holds a checksum and a msgpack array of the snapshot's fields. It is
replaced atomically: written to a temporary file, synced and renamed.
"""

import dataclasses
import os
import pathlib

from amaranthring import errors
from amaranthring.core import validation
from amaranthring.core import wire
from amaranthring.keepers import disk
from amaranthring.keepers import messages

PREFIX = "snapshot-"
INCOMING_FILE = "incoming-snapshot.tmp"
# Sent in 0.04 s on the slowest links (6 Mbit/s), so that a heartbeat queued
# behind a chunk is not late. A chunk of 256 KB takes 0.35 s; behind two of
# them a leader loses its quorum.
CHUNK_BYTES = 32 * 1024


@dataclasses.dataclass
class Snapshot:
    """State of the state machine after entry `index`.

    Attributes
    ----------
    index, term, stamp : int, int, float
        Those of the last entry that the snapshot covers.
    members : Members
        Configuration at that entry.
    data : bytes
        Result of the state machine's ``snapshot``.
    """

    index: int
    term: int
    stamp: float
    members: messages.Members
    data: bytes


def path_of(folder: pathlib.Path, index: int) -> pathlib.Path:
    """Return the path of the snapshot at `index`."""
    return folder / f"{PREFIX}{index:020d}"


def save(
    folder: pathlib.Path, snapshot: Snapshot, files: disk.FileOps
) -> None:
    """Write `snapshot` durably, then remove older ones."""
    data = disk.with_checksum(wire.encode_value(snapshot))
    path = path_of(folder, snapshot.index)
    disk.replace_file(path, data, files)
    remove_older(folder, path)


def remove_older(folder: pathlib.Path, newest: pathlib.Path) -> None:
    """Remove every snapshot below `newest`."""
    for path in folder.glob(PREFIX + "*"):
        if path.suffix != disk.TEMPORARY_SUFFIX and path.name < newest.name:
            path.unlink()


def load(path: pathlib.Path) -> Snapshot:
    """Return the snapshot in the file at `path`.

    Raises
    ------
    errors.StorageError
        If the file is corrupt.
    """
    body = disk.verify_checksum(path.read_bytes(), path)
    try:
        return validation.validator(Snapshot)(wire.decode_value(body))
    except errors.FrameError as error:
        raise disk.damage_error(path, "not a snapshot") from error


def load_newest(folder: pathlib.Path) -> Snapshot | None:
    """Return the newest snapshot in `folder`, or None.

    There is no fallback to an older one if the newest is corrupt: the log
    entries between them have been removed, so the keeper refuses to start.
    """
    for path in folder.glob(PREFIX + "*" + disk.TEMPORARY_SUFFIX):
        # Left by a process that died before the rename; incomplete.
        path.unlink()
    paths = sorted(folder.glob(PREFIX + "*"))
    return load(paths[-1]) if paths else None


class Reader:
    """An open snapshot file, read chunk by chunk.

    It stays readable after a newer snapshot has replaced it.
    """

    def __init__(self, folder: pathlib.Path, index: int):
        self.index = index
        self.fd = os.open(path_of(folder, index), os.O_RDONLY)
        self.total = os.fstat(self.fd).st_size

    def read(self, offset: int) -> bytes:
        """Return the chunk at `offset`."""
        return os.pread(self.fd, CHUNK_BYTES, offset)

    def close(self) -> None:
        """Close the file."""
        os.close(self.fd)


class Receiver:
    """A snapshot file that is being received, in order.

    Used only by the snapshot thread, which serializes writes: a chunk of an
    abandoned transfer may still be pending when a new transfer begins.
    """

    def __init__(self, folder: pathlib.Path, files: disk.FileOps):
        self.folder = folder
        self.files = files
        self.path = folder / INCOMING_FILE
        self.index = 0
        self.offset = 0
        self.fd = -1

    def write_chunk(self, index: int, offset: int, data: bytes) -> int | None:
        """Write a chunk of the snapshot at `index`.

        Returns
        -------
        int or None
            The next expected offset, or None if this chunk is out of order.
        """
        if offset == 0:
            self._begin(index)
        if self.fd < 0 or (self.index, self.offset) != (index, offset):
            return None
        disk.write_all(self.fd, data, self.files)
        self.offset += len(data)
        return self.offset

    def finish(self) -> Snapshot:
        """Verify the received file, move it into place and return it.

        Raises
        ------
        errors.StorageError
            If the received snapshot is corrupt.
        """
        self.files.sync(self.fd)
        self.close()
        snapshot = load(self.path)
        path = path_of(self.folder, snapshot.index)
        self.files.replace(self.path, path)
        disk.sync_folder(self.folder)
        remove_older(self.folder, path)
        return snapshot

    def _begin(self, index: int) -> None:
        self.close()
        flags = os.O_CREAT | os.O_TRUNC | os.O_WRONLY
        self.fd = os.open(self.path, flags, 0o600)
        self.index = index
        self.offset = 0

    def close(self) -> None:
        """Close the file."""
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1
