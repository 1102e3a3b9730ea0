"""Non-blocking log output with a bounded queue.

A process must keep serving while its output is not read. Lines wait in a
bounded queue and the event loop writes them when the output accepts them.
Excess lines are dropped, and their number is logged once there is room.
"""

import asyncio
import collections
import json
import os
import time
import typing as t

import logbook

QUEUE_LINES = 2000
# A pipe holds 64 KB. Small writes keep the event loop responsive.
WRITE_BYTES = 16 * 1024
RETRY_SECONDS = 0.05


class LineWriter:
    """Writes lines to a file descriptor from the event loop.

    Attributes
    ----------
    dropped : int
        Lines dropped since the last ``log.dropped`` line.
    """

    def __init__(self, fd: int):
        self.fd = fd
        self.lines: collections.deque[bytes] = collections.deque()
        self.dropped = 0
        self._unsent = b""
        self._flush_scheduled = False
        os.set_blocking(fd, False)

    def put(self, line: bytes) -> None:
        """Queue one line."""
        if len(self.lines) >= QUEUE_LINES:
            self.dropped += 1
            return
        self.lines.append(line)
        self._schedule_flush(0)

    def _schedule_flush(self, delay: float) -> None:
        if self._flush_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._flush_scheduled = True
        loop.call_later(delay, self._scheduled_flush)

    def _scheduled_flush(self) -> None:
        self._flush_scheduled = False
        if not self.flush():
            self._schedule_flush(RETRY_SECONDS)

    def flush(self) -> bool:
        """Write what the output accepts; return whether nothing is left."""
        while self._unsent or self.lines or self.dropped:
            if not self._unsent:
                self._unsent = self._next_batch()
            try:
                written = os.write(self.fd, self._unsent)
            except BlockingIOError:
                return False
            except OSError:
                # The output is closed or permanently broken.
                self._unsent = b""
                self.lines.clear()
                self.dropped = 0
                return True
            self._unsent = self._unsent[written:]
        return True

    def _next_batch(self) -> bytes:
        batch = []
        size = 0
        if self.dropped:
            notice = {"event": "log.dropped", "lines": self.dropped}
            self.dropped = 0
            batch.append(json.dumps(notice).encode() + b"\n")
        while self.lines and size < WRITE_BYTES:
            batch.append(self.lines.popleft())
            size += len(batch[-1])
        return b"".join(batch)


class LineHandler(logbook.Handler):
    """Writes log records to a :class:`LineWriter` as JSON objects."""

    def __init__(self, writer: LineWriter, process: str, level: str):
        super().__init__(level=level)
        self.writer = writer
        self.process = process

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue `record`."""
        self.writer.put(json_line(self.process, record))


def json_line(process: str, record: logbook.LogRecord) -> bytes:
    """Return `record` as one JSON line."""
    event, _, rest = record.message.partition(" ")
    fields = record.extra["fields"] or {}
    line: dict[str, t.Any] = {
        "time": round(time.time(), 3),
        "level": record.level_name,
        "process": process,
        "event": event,
        **fields,
    }
    if not fields and rest:
        line["detail"] = rest
    if record.formatted_exception:
        line["exception"] = record.formatted_exception
    return json.dumps(line, default=str).encode() + b"\n"


def setup(process: str, level: str = "INFO", fd: int = 1) -> LineWriter:
    """Send the log lines of this process to file descriptor `fd`.

    Parameters
    ----------
    process : str
        Name of the process, included in every line.
    level : str
        Lowest level to write.
    """
    writer = LineWriter(fd)
    LineHandler(writer, process, level).push_application()
    return writer
