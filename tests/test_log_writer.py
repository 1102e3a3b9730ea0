"""Non-blocking log writer with a bounded queue."""

import json
import os
import unittest

import logbook

from amaranthring.core import log_writer
from amaranthring.core import logs


class TestLineWriter(unittest.IsolatedAsyncioTestCase):
    """Lines written to a pipe."""

    def setUp(self):
        self.read_end, self.write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, self.write_end)
        os.set_blocking(self.read_end, False)
        self.writer = log_writer.LineWriter(self.write_end)

    def read(self):
        data = b""
        try:
            while chunk := os.read(self.read_end, 65536):
                data += chunk
        except BlockingIOError:
            pass
        return data

    async def test_unread_lines_are_dropped_and_counted(self):
        """A log collector that hangs must neither block nor fill memory.

        Lines beyond the bound of the queue are dropped and their number is
        logged later.
        """
        line = b"x" * 199 + b"\n"
        queue_lines = log_writer.QUEUE_LINES
        for _ in range(3 * queue_lines):
            self.writer.put(line)
            self.writer.flush()
        self.assertLessEqual(len(self.writer.lines), queue_lines)
        self.assertGreater(self.writer.dropped, 0)
        output = b""
        while not self.writer.flush():
            output += self.read()
        output += self.read()
        notices = [
            entry for entry in output.split(b"\n") if b"log.dropped" in entry
        ]
        reported = sum(json.loads(notice)["lines"] for notice in notices)
        self.assertEqual(3 * queue_lines, reported + output.count(line))

    async def test_lines_are_json_objects_with_fields(self):
        handler = log_writer.LineHandler(self.writer, "router", "INFO")
        log = logbook.Logger("x")
        with handler.applicationbound():
            logs.event(log, "request", id="r1", ms=3.5)
        self.writer.flush()
        line = json.loads(self.read())
        self.assertEqual("request", line["event"])
        self.assertEqual(("r1", 3.5), (line["id"], line["ms"]))
