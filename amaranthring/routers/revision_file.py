"""Stores the last configuration revision on the router's disk, if it has one.

The file is written atomically (temporary file, fsync, rename) and carries a
checksum. A damaged file is ignored: the keepers and the other routers have
its content.
"""

import asyncio
import hashlib
import os
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import background
from amaranthring.core import config_parts
from amaranthring.core import logs
from amaranthring.core import wire

log = logbook.Logger(__name__)

MAGIC = b"amaranthring-revision-1\n"
DIGEST_BYTES = 16


def _checksum(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def write(path: str, data: bytes) -> None:
    """Replace the file at `path` atomically and durably.

    Raises
    ------
    OSError
        If writing fails.
    """
    temporary = f"{path}.new"
    with open(temporary, "wb") as file:
        file.write(MAGIC + _checksum(data) + data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    folder = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


class RevisionFile:
    """Saves and loads the parts of a revision; disabled if `path` is empty.

    Saving runs in a thread, since fsync may take long. Of several changes
    made meanwhile only the last is written.
    """

    def __init__(self, path: str, metrics: t.Any):
        self.path = path
        self.metrics = metrics
        self.pending: dict[str, t.Any] | None = None
        self.task: asyncio.Task | None = None

    def load(self) -> config_parts.Parts | None:
        """Return the stored parts, or None if absent or damaged."""
        if not self.path or not os.path.exists(self.path):
            return None
        try:
            with open(self.path, "rb") as file:
                return self._parse(file.read())
        except (OSError, errors.AmaranthringError) as error:
            self.metrics.count("revisions.file-damaged")
            logs.event(
                log, "revision-file.ignored", path=self.path, fault=error
            )
            return None

    def save(self, parts: config_parts.Parts) -> None:
        """Schedule writing `parts`."""
        if not self.path:
            return
        self.pending = parts.dump()
        if self.task is None or self.task.done():
            self.task = background.start("revision-file", self._write())

    async def flush(self) -> None:
        """Wait until the scheduled write is on disk."""
        if self.task is not None:
            await self.task

    def _parse(self, data: bytes) -> config_parts.Parts:
        start = len(MAGIC) + DIGEST_BYTES
        body = data[start:]
        if data[:start] != MAGIC + _checksum(body):
            raise errors.StorageError(
                "checksum mismatch in the revision file",
                given="a different checksum",
                expected="the checksum of its content",
            )
        return config_parts.Parts.load(wire.decode_value(body))

    async def _write(self) -> None:
        loop = asyncio.get_running_loop()
        while self.pending is not None:
            data = wire.encode_value(self.pending)
            self.pending = None
            try:
                await loop.run_in_executor(None, write, self.path, data)
            except OSError as error:
                self.metrics.count("revisions.file-failed")
                logs.event(
                    log, "revision-file.failed", path=self.path, fault=error
                )
