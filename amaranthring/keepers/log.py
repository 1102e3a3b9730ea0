"""The replicated log: entries in memory and segment files on disk.

A record is a header of three big-endian 4-byte integers (length of the
payload, its checksum, checksum of these two) and the payload. All records of a
batch are written at once, and synced before the next ones are written; the
first of them is marked in the highest bit of its length.

So a loss of power can leave only the records of the last write of the last
file short or with zeros in their place. They were never acknowledged and are
truncated. Any other invalid record, and one with a later write behind it, is
corruption of data that may have been acknowledged, and the keeper refuses to
start. Files are removed one after the other, each removal synced, so that a
loss of power leaves no gap between them.
"""

import bisect
import dataclasses
import os
import pathlib
import struct
import zlib

import msgpack

from amaranthring import errors
from amaranthring.keepers import disk

HEADER = struct.Struct(">III")
PREFIX = "log-"
SECTOR_BYTES = 512
MAX_ENTRY_BYTES = 1024 * 1024
# Mark of the first record of a write, in the length of its payload.
FIRST_OF_WRITE = 1 << 31
FIRST_OF_WRITE_BYTE = b"\x80"


@dataclasses.dataclass(slots=True)
class Entry:
    """One entry of the log.

    Attributes
    ----------
    index, term : int
        Position in the log and term of the leader that created it.
    stamp : float
        Fleet time in seconds; never decreases from entry to entry.
    tag : str
        Message tag of the command.
    body : bytes
        Encoded fields of the command.
    payload : bytes
        The encoded entry, as stored and sent.
    """

    index: int
    term: int
    stamp: float
    tag: str
    body: bytes
    payload: bytes = b""


def make_entry(
    index: int, term: int, stamp: float, tag: str, body: bytes
) -> Entry:
    """Return a new entry, with its payload encoded."""
    payload = msgpack.packb((index, term, stamp, tag, body))
    return Entry(index, term, stamp, tag, body, payload)


def parse_entry(payload: bytes) -> Entry:
    """Decode the entry in `payload`.

    Raises
    ------
    errors.FrameError
        If `payload` is not a valid entry.
    """
    try:
        index, term, stamp, tag, body = msgpack.unpackb(payload)
    except Exception as error:
        raise errors.FrameError("malformed log entry") from error
    types = (int, int, float, str, bytes)
    fields = (index, term, stamp, tag, body)
    if not all(map(isinstance, fields, types)):
        raise errors.FrameError("malformed log entry")
    return Entry(index, term, stamp, tag, body, payload)


class Log:
    """Entries in memory that follow a base entry covered by a snapshot."""

    def __init__(self, base_index=0, base_term=0, base_stamp=0.0):
        self.reset(base_index, base_term, base_stamp)

    def reset(self, index: int, term: int, stamp: float) -> None:
        """Drop all entries; the next one has index `index` + 1."""
        self.base_index = index
        self.base_term = term
        self.base_stamp = stamp
        self.entries: list[Entry] = []

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def last_stamp(self) -> float:
        """Return the timestamp of the last entry."""
        return self.entries[-1].stamp if self.entries else self.base_stamp

    def term_at(self, index: int) -> int | None:
        """Return the term of entry `index`, or None if it isn't in memory."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.get(index).term
        return None

    def get(self, index: int) -> Entry:
        """Return entry `index`, which must be in memory."""
        return self.entries[index - self.base_index - 1]

    def batch(self, index: int, max_bytes: int) -> list[bytes]:
        """Return payloads from `index` on, up to `max_bytes`.

        A first payload above `max_bytes` is returned alone.
        """
        payloads = []
        size = 0
        for position in range(index - self.base_index - 1, len(self.entries)):
            payload = self.entries[position].payload
            size += len(payload)
            if payloads and size > max_bytes:
                break
            payloads.append(payload)
        return payloads

    def append(self, entries: list[Entry]) -> None:
        """Append `entries`, which must follow the last one."""
        self.entries.extend(entries)

    def truncate(self, index: int) -> None:
        """Drop entry `index` and all after it."""
        del self.entries[index - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Drop entries up to `index`, which becomes the base entry."""
        if not self.base_index < index <= self.last_index:
            return
        entry = self.get(index)
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = entry.term
        self.base_stamp = entry.stamp


@dataclasses.dataclass
class Segment:
    """A file of consecutive records.

    Attributes
    ----------
    first : int
        Index of the first record.
    offsets : list of int
        Byte offset of each record.
    size : int
        Size of the file in bytes.
    """

    path: pathlib.Path
    first: int
    offsets: list[int] = dataclasses.field(default_factory=list)
    size: int = 0

    @property
    def last(self) -> int:
        """Return the index of the last record."""
        return self.first + len(self.offsets) - 1


class Segments:
    """Segment files of the log; after `load`, used only by the disk thread."""

    def __init__(self, folder: pathlib.Path, files: disk.FileOps):
        self.folder = folder
        self.files = files
        self.segments: list[Segment] = []
        self.fd = -1
        self.unwritten: list[bytes] = []

    def load(self) -> list[Entry]:
        """Return all entries on disk, after truncating a torn tail.

        Raises
        ------
        errors.StorageError
            If a record is invalid and is not a torn tail.
        """
        entries: list[Entry] = []
        paths = sorted(self.folder.glob(PREFIX + "*"))
        for path in paths:
            segment, added = _read_segment(
                path, torn_allowed=path == paths[-1]
            )
            if entries and added and added[0].index != entries[-1].index + 1:
                raise disk.damage_error(
                    path, "does not follow the file before it"
                )
            entries.extend(added)
            self.segments.append(segment)
        if self.segments:
            self._open(self.segments[-1])
            self.files.truncate(self.fd, self.segments[-1].size)
            os.fsync(self.fd)
        return entries

    def start_segment(self, first: int) -> None:
        """Create a segment whose first record has index `first`."""
        if self.segments and self.segments[-1].first == first:
            return
        segment = Segment(self.folder / f"{PREFIX}{first:020d}", first)
        self._open(segment)
        self.files.truncate(self.fd, 0)
        self.segments.append(segment)
        self.files.sync_folder(self.folder)

    def append(self, payloads: list[bytes]) -> None:
        """Append records; :meth:`sync` writes them."""
        segment = self.segments[-1]
        for payload in payloads:
            segment.offsets.append(segment.size)
            record = frame(payload, not self.unwritten)
            segment.size += len(record)
            self.unwritten.append(record)

    def sync(self) -> None:
        """Write all that was appended at once, and sync it to disk."""
        if self.unwritten:
            data = b"".join(self.unwritten)
            self.unwritten.clear()
            disk.write_all(self.fd, data, self.files)
            self.files.sync(self.fd)

    def truncate(self, index: int) -> None:
        """Drop record `index` and all after it, durably."""
        self.sync()
        while self.segments[-1].first > index and len(self.segments) > 1:
            self._remove(self.segments.pop())
            self._open(self.segments[-1])
        segment = self.segments[-1]
        keep = index - segment.first
        if keep < len(segment.offsets):
            segment.size = segment.offsets[keep]
            del segment.offsets[keep:]
            self.files.truncate(self.fd, segment.size)
        os.fsync(self.fd)

    def compact(self, upto: int, last_index: int) -> None:
        """Start a new segment; remove those without records above `upto`."""
        self.sync()
        self.start_segment(last_index + 1)
        ends = [segment.last for segment in self.segments]
        obsolete = min(bisect.bisect_right(ends, upto), len(ends) - 1)
        for segment in self.segments[:obsolete]:
            self._remove(segment)
        del self.segments[:obsolete]

    def reset(self, first: int) -> None:
        """Remove all records; the next one has index `first`."""
        self.sync()
        while self.segments:
            self._remove(self.segments.pop())
        self.start_segment(first)

    def bytes(self) -> int:
        """Return the total size of all segments in bytes."""
        return sum(segment.size for segment in self.segments)

    def close(self) -> None:
        """Close the current segment file."""
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1

    def _remove(self, segment: Segment) -> None:
        self.files.remove(segment.path)
        self.files.sync_folder(self.folder)

    def _open(self, segment: Segment) -> None:
        self.sync()
        self.close()
        flags = os.O_CREAT | os.O_WRONLY | os.O_APPEND
        self.fd = os.open(segment.path, flags, 0o600)


def frame(payload: bytes, first_of_write: bool = False) -> bytes:
    """Return the record that holds `payload`."""
    length = len(payload) | (FIRST_OF_WRITE if first_of_write else 0)
    checksum = zlib.crc32(payload)
    header_checksum = zlib.crc32(struct.pack(">II", length, checksum))
    return HEADER.pack(length, checksum, header_checksum) + payload


def _read_segment(path, torn_allowed: bool) -> tuple[Segment, list[Entry]]:
    data = path.read_bytes()
    segment = Segment(path, int(path.name.removeprefix(PREFIX)))
    entries: list[Entry] = []
    offset = 0
    while offset < len(data):
        payload = _read_payload(data, offset)
        if payload is None:
            if not torn_allowed or not _is_torn(data, offset):
                raise disk.damage_error(path, f"bad record at byte {offset}")
            break
        entry = parse_entry(payload)
        if entry.index != segment.first + len(entries):
            raise disk.damage_error(
                path, f"entry out of order at byte {offset}"
            )
        segment.offsets.append(offset)
        entries.append(entry)
        offset += HEADER.size + len(payload)
    segment.size = offset
    return segment, entries


def _read_header(data: bytes, offset: int) -> tuple[int, int] | None:
    """Return the length and the checksum of the payload, if it is valid."""
    length, checksum, header_checksum = HEADER.unpack_from(data, offset)
    length &= ~FIRST_OF_WRITE
    if (
        zlib.crc32(data[offset : offset + 8]) != header_checksum
        or length > MAX_ENTRY_BYTES * 2
    ):
        return None
    return length, checksum


def _read_payload(data: bytes, offset: int) -> bytes | None:
    begin = offset + HEADER.size
    if begin > len(data):
        return None
    header = _read_header(data, offset)
    if header is None:
        return None
    payload = data[begin : begin + header[0]]
    if len(payload) < header[0] or zlib.crc32(payload) != header[1]:
        return None
    return payload


def _is_torn(data: bytes, offset: int) -> bool:
    """Return whether a loss of power explains the bad record at `offset`.

    It does in the last write, if the file ends inside the record, or if its
    end or a sector of it was never written and reads as zeros. A complete
    record that is invalid was corrupted after it was written.
    """
    if _has_later_write(data, offset):
        return False
    end = offset + HEADER.size
    header = _read_header(data, offset) if end <= len(data) else None
    if header is not None:
        end += header[0]
    if end > len(data.rstrip(b"\0")):
        return True
    return any(
        not any(data[max(start, offset) : start + SECTOR_BYTES])
        for start in range(
            offset // SECTOR_BYTES * SECTOR_BYTES, end, SECTOR_BYTES
        )
    )


def _has_later_write(data: bytes, offset: int) -> bool:
    """Return whether the first record of a write follows after `offset`."""
    begin = data.find(FIRST_OF_WRITE_BYTE, offset + 1)
    while begin >= 0:
        if _read_payload(data, begin) is not None:
            return True
        begin = data.find(FIRST_OF_WRITE_BYTE, begin + 1)
    return False
