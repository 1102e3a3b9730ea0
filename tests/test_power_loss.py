"""Logs of a keeper after a loss of power at any moment.

``POWER_SEED`` chooses the first random log, ``POWER_COUNT`` their number.
"""

import collections
import os
import pathlib
import random
import tempfile
import unittest
from unittest import mock

from amaranthring import errors
from amaranthring.keepers import disk
from amaranthring.keepers import log
from amaranthring.testing import power_model

SEED = int(os.environ.get("POWER_SEED", "1"))
COUNT = int(os.environ.get("POWER_COUNT", "20"))
STEPS = 14


class Play:
    """A log that is written while power may fail after each system call.

    Attributes
    ----------
    must : dict of int to bytes
        What was acknowledged: the payload of each index that has to be there.
    may : dict of int to set of bytes
        Payloads that may be there.
    """

    def __init__(self, seed, case):
        self.rng = random.Random(seed)
        self.case = case
        self.what = f"seed {seed}"
        self.must = {}
        self.may = collections.defaultdict(set)
        self.states = 0
        self.last = 0
        self.term = 1
        self.folder = case.new_folder()
        self.model = power_model.PowerModel(self.folder, self.rng)
        self.segments = log.Segments(self.folder, self.model.files())
        self.segments.load()
        patch = mock.patch.object(os, "fsync", self.model.sync)
        patch.start()
        case.addCleanup(patch.stop)
        self.model.on_call = self.lose_power
        self.segments.start_segment(1)
        case.addCleanup(self.segments.close)

    def play(self, steps):
        """Make random changes, as a keeper's writer does."""
        weights = {
            self.append: 6, self.truncate: 1, self.compact: 1, self.reset: 1,
        }  # fmt: skip
        for _ in range(steps):
            [change] = self.rng.choices(list(weights), weights.values())
            change()

    def append(self):
        """Make several appends before one sync."""
        for _ in range(self.rng.randrange(1, 4)):
            payloads = []
            for _ in range(self.rng.randrange(1, 3)):
                self.last += 1
                body = bytes(
                    self.rng.choices(b"\0ab", k=self.rng.choice(SIZES))
                )
                entry = log.make_entry(self.last, self.term, 0.0, "x", body)
                self.may[self.last].add(entry.payload)
                payloads.append(entry.payload)
            self.segments.append(payloads)
        self.segments.sync()
        first = self.segments.segments[0].first
        for index in range(first, self.last + 1):
            self.must.setdefault(index, self.newest(index))

    def newest(self, index):
        [payload] = self.may[index]
        return payload

    def truncate(self):
        first = self.segments.segments[0].first
        if self.last < first:
            return
        index = self.rng.randrange(first, self.last + 1)
        for gone in range(index, self.last + 1):
            self.must.pop(gone, None)
        self.segments.truncate(index)
        for gone in range(index, self.last + 1):
            del self.may[gone]
        self.last = index - 1
        self.term += 1

    def compact(self):
        upto = self.last - self.rng.randrange(4)
        self.must = {i: p for i, p in self.must.items() if i > upto}
        self.segments.compact(upto, self.last)
        first = self.segments.segments[0].first
        self.must = {i: p for i, p in self.must.items() if i >= first}

    def reset(self):
        self.must.clear()
        first = self.last + self.rng.randrange(1, 5)
        self.segments.reset(first)
        self.may.clear()
        self.last = first - 1

    def lose_power(self):
        """Open what is left, in each way that a loss of power may leave."""
        for files in self.model.states():
            self.states += 1
            folder = self.case.new_folder()
            for name, data in files.items():
                (folder / name).write_bytes(data)
            loaded = self.case.load(folder, self.what)
            for entry in loaded:
                self.case.assertIn(
                    entry.payload, self.may[entry.index], self.what
                )
            indexes = {entry.index for entry in loaded}
            missing = self.must.keys() - indexes
            self.case.assertEqual(set(), missing, self.what)


SIZES = (0, 3, 40, 700)


class TestLog(unittest.TestCase):
    """Logs of a few entries, in every state that may be left."""

    def new_folder(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return pathlib.Path(folder.name)

    def load(self, folder, what):
        """Return the entries of a log; it must not refuse to open."""
        segments = log.Segments(folder, disk.FileOps())
        try:
            with mock.patch.object(os, "fsync"):
                return segments.load()
        except errors.StorageError as error:
            self.fail(f"{what}: {error}")
        finally:
            segments.close()

    def test_log_opens_and_keeps_what_was_acknowledged(self):
        """Guards against a keeper that refuses to start without damage."""
        states = 0
        for seed in range(SEED, SEED + COUNT):
            play = Play(seed, self)
            play.play(STEPS)
            states += play.states
        self.assertLess(20 * COUNT, states)
