"""Log lines that are bounded and never block."""

import json
import os
import unittest

import logbook

from amaranthring.core import log_writer
from amaranthring.core import logs


class TestLineWriter(unittest.IsolatedAsyncioTestCase):
    """Lines into a pipe that is read, or not."""

    def setUp(self):
        self.read_end, self.write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, self.write_end)
        os.set_blocking(self.read_end, False)
        self.writer = log_writer.LineWriter(self.write_end)

    def read(self):
        data = b""
        try:
            while more := os.read(self.read_end, 65536):
                data += more
        except BlockingIOError:
            pass
        return data

    async def test_nobody_reads(self):
        """The log collector hangs while callers go on asking.

        A write that waits for it would hold up every request; lines without
        bound would take the process's memory.
        """
        line = b"x" * 199 + b"\n"
        most = log_writer.QUEUE_LINES
        for _ in range(3 * most):
            self.writer.put(line)
            self.writer.flush()
        self.assertLessEqual(len(self.writer.lines), most)
        self.assertGreater(self.writer.dropped, 0)
        got = b""
        while not self.writer.flush():
            got += self.read()
        got += self.read()
        notes = [n for n in got.split(b"\n") if b"log.dropped" in n]
        told = sum(json.loads(note)["lines"] for note in notes)
        self.assertEqual(3 * most, told + got.count(line))

    async def test_lines_are_objects_with_their_fields(self):
        handler = log_writer.LineHandler(self.writer, "router", "INFO")
        log = logbook.Logger("x")
        with handler.applicationbound():
            logs.event(log, "request", id="r1", ms=3.5)
        self.writer.flush()
        found = json.loads(self.read())
        self.assertEqual("request", found["event"])
        self.assertEqual(("r1", 3.5), (found["id"], found["ms"]))
