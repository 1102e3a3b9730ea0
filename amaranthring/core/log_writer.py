"""Log lines to standard output, bounded and never blocking.

A process whose output is not read must go on serving. Lines wait in a
bounded queue and are written by the event loop when the output takes them;
what does not fit is counted, and the count is written when there is room.
"""

import asyncio
import collections
import json
import os
import time
import typing as t

import logbook

QUEUE_LINES = 2000
# A pipe takes 64 KB; a few writes of this size fill it without a pause in
# which requests wait.
WRITE_BYTES = 16 * 1024
RETRY_SECONDS = 0.05


class LineWriter:
    """Writes lines to a file descriptor from the event loop.

    Attributes
    ----------
    dropped : int
        Lines that did not fit since the last note of it.
    """

    def __init__(self, fd: int):
        self.fd = fd
        self.lines: collections.deque[bytes] = collections.deque()
        self.dropped = 0
        self._rest = b""
        self._armed = False
        os.set_blocking(fd, False)

    def put(self, line: bytes) -> None:
        """Queue one line."""
        if len(self.lines) >= QUEUE_LINES:
            self.dropped += 1
            return
        self.lines.append(line)
        self._arm(0)

    def _arm(self, seconds: float) -> None:
        if self._armed:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._armed = True
        loop.call_later(seconds, self._due)

    def _due(self) -> None:
        self._armed = False
        if not self.flush():
            self._arm(RETRY_SECONDS)

    def flush(self) -> bool:
        """Write what the output takes; return whether all is written."""
        while self._rest or self.lines or self.dropped:
            if not self._rest:
                self._rest = self._next()
            try:
                written = os.write(self.fd, self._rest)
            except BlockingIOError:
                return False
            except OSError:
                # Nobody will read it any more.
                self._rest = b""
                self.lines.clear()
                self.dropped = 0
                return True
            self._rest = self._rest[written:]
        return True

    def _next(self) -> bytes:
        taken = []
        size = 0
        if self.dropped:
            note = {"event": "log.dropped", "lines": self.dropped}
            self.dropped = 0
            taken.append(json.dumps(note).encode() + b"\n")
        while self.lines and size < WRITE_BYTES:
            taken.append(self.lines.popleft())
            size += len(taken[-1])
        return b"".join(taken)


class LineHandler(logbook.Handler):
    """Hands log records to a :class:`LineWriter` as JSON objects."""

    def __init__(self, writer: LineWriter, process: str, level: str):
        super().__init__(level=level)
        self.writer = writer
        self.process = process

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue `record`."""
        self.writer.put(line_of(self.process, record))


def line_of(process: str, record: logbook.LogRecord) -> bytes:
    """Return `record` as one line."""
    name, _, rest = record.message.partition(" ")
    fields = record.extra["fields"] or {}
    line: dict[str, t.Any] = {
        "time": round(time.time(), 3),
        "level": record.level_name,
        "process": process,
        "event": name,
        **fields,
    }
    if not fields and rest:
        line["detail"] = rest
    if record.formatted_exception:
        line["exception"] = record.formatted_exception
    return json.dumps(line, default=str).encode() + b"\n"


def setup(process: str, level: str = "INFO", fd: int = 1) -> LineWriter:
    """Send the log lines of this process to `fd`.

    Parameters
    ----------
    process : str
        Name of the process, on every line.
    level : str
        Lowest level that is written.
    """
    writer = LineWriter(fd)
    LineHandler(writer, process, level).push_application()
    return writer
