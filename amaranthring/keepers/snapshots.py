"""Snapshot files: the machine's state up to one index, whole or not at all.

A file is a checksum, then one msgpack array of what the snapshot covers and
the machine's bytes. It is written beside its place, synced and renamed.
"""

import dataclasses
import os
import pathlib

from amaranthring import errors
from amaranthring.core import fields
from amaranthring.core import wire
from amaranthring.keepers import disk
from amaranthring.keepers import messages

PREFIX = "snapshot-"
INCOMING_FILE = "incoming-snapshot.tmp"
# 0.04 s over the thinnest links (6 Mbit/s): a heartbeat that waits behind a
# piece is not late. One of 256 KB took 0.35 s, and with the next one a leader
# lost its quorum while it brought an emptied disk back.
CHUNK_BYTES = 32 * 1024


@dataclasses.dataclass
class Snapshot:
    """State of the machine after entry `index`.

    Attributes
    ----------
    index, term, stamp : int, int, float
        Of the last entry that it covers.
    members : Members
        Configuration at that entry.
    data : bytes
        What the machine's ``snapshot`` returned.
    """

    index: int
    term: int
    stamp: float
    members: messages.Members
    data: bytes


def path_of(folder: pathlib.Path, index: int) -> pathlib.Path:
    """Return the place of the snapshot at `index`."""
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
        If it is damaged.
    """
    body = disk.verify_checksum(path.read_bytes(), path)
    try:
        return fields.reader(Snapshot)(wire.decode_value(body))
    except errors.FrameError as error:
        raise disk.damage_error(path, "not a snapshot") from error


def load_newest(folder: pathlib.Path) -> Snapshot | None:
    """Return the newest snapshot in `folder`, or None.

    An older one is no substitute for a damaged newest: the log before it is
    gone, so the keeper refuses to start.
    """
    for path in folder.glob(PREFIX + "*" + disk.TEMPORARY_SUFFIX):
        # Left by a process that ended while it wrote: never renamed, so
        # never the newest, though its name says so.
        path.unlink()
    paths = sorted(folder.glob(PREFIX + "*"))
    return load(paths[-1]) if paths else None


class Reader:
    """An open snapshot file, sent piece by piece.

    It stays readable when a newer snapshot replaces it meanwhile.
    """

    def __init__(self, folder: pathlib.Path, index: int):
        self.index = index
        self.fd = os.open(path_of(folder, index), os.O_RDONLY)
        self.total = os.fstat(self.fd).st_size

    def read(self, offset: int) -> bytes:
        """Return the piece at `offset`."""
        return os.pread(self.fd, CHUNK_BYTES, offset)

    def close(self) -> None:
        """Close the file."""
        os.close(self.fd)


class Receiver:
    """A snapshot file that is being received, in order.

    Used in the snapshot thread only: a piece whose sender gave up may still
    be on its way to the disk when the next sender begins anew.
    """

    def __init__(self, folder: pathlib.Path, files: disk.FileOps):
        self.folder = folder
        self.files = files
        self.path = folder / INCOMING_FILE
        self.index = 0
        self.offset = 0
        self.fd = -1

    def take(self, index: int, offset: int, data: bytes) -> int | None:
        """Write one piece of the snapshot at `index`.

        Returns
        -------
        int or None
            The next offset wanted, or None if this piece is not the next.
        """
        if offset == 0:
            self._begin(index)
        if self.fd < 0 or (self.index, self.offset) != (index, offset):
            return None
        disk.write_all(self.fd, data, self.files)
        self.offset += len(data)
        return self.offset

    def finish(self) -> Snapshot:
        """Check the whole file, put it in its place and return it.

        Raises
        ------
        errors.StorageError
            If what arrived is not an intact snapshot.
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
