"""Files of a keeper: torn tails, corruption, identity, write errors."""

import asyncio
import errno
import os
import pathlib
import tempfile
import threading
import unittest

from amaranthring import errors
from amaranthring.core import wire
from amaranthring.keepers import disk
from amaranthring.keepers import log
from amaranthring.keepers import messages
from amaranthring.keepers import snapshots
from amaranthring.keepers import store

MEMBERS = messages.Members([messages.Member("d", "k", "h:1", "dc")])


def entries(begin, end, term=1):
    return [
        log.make_entry(i, term, 0.0, "x", b"body") for i in range(begin, end)
    ]


class FolderCase(unittest.TestCase):
    """Base class: a temporary folder for one keeper's files."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, count, first=1):
        segments = log.Segments(self.folder, disk.FileOps())
        segments.load()
        segments.start_segment(first)
        records = entries(first, first + count)
        segments.append([entry.payload for entry in records])
        segments.sync()
        segments.close()
        return segments.segments[-1].path

    def read(self):
        segments = log.Segments(self.folder, disk.FileOps())
        loaded = segments.load()
        segments.close()
        return [entry.index for entry in loaded]


class TestTornTail(FolderCase):
    """A crash in the middle of a write.

    The torn record was never acknowledged; the keeper must start with all
    records before it.
    """

    def test_every_short_last_record_is_truncated(self):
        path = self.write(3)
        whole = path.read_bytes()
        size = len(whole) // 3
        for cut in range(1, size):
            path.write_bytes(whole[:-cut])
            self.assertEqual(self.read(), [1, 2], cut)
            self.assertEqual(path.stat().st_size, 2 * size)

    def test_zero_filled_sectors_are_truncated(self):
        path = self.write(3)
        whole = path.read_bytes()
        path.write_bytes(whole + bytes(2000))
        self.assertEqual(self.read(), [1, 2, 3])
        big = log.frame(log.make_entry(4, 1, 0.0, "x", b"b" * 2000).payload)
        path.write_bytes(whole + big[:900] + bytes(len(big) - 900))
        self.assertEqual(self.read(), [1, 2, 3])

    def test_append_after_truncation(self):
        path = self.write(3)
        path.write_bytes(path.read_bytes()[:-1])
        segments = log.Segments(self.folder, disk.FileOps())
        segments.load()
        segments.append([entry.payload for entry in entries(3, 5)])
        segments.sync()
        segments.close()
        self.assertEqual(self.read(), [1, 2, 3, 4])


class TestCorruption(FolderCase):
    """Corrupt or missing records; no entry may be dropped silently."""

    def test_every_flipped_byte_refuses_to_start(self):
        path = self.write(3)
        whole = path.read_bytes()
        for at in range(len(whole)):
            data = bytearray(whole)
            data[at] ^= 16
            path.write_bytes(data)
            with self.assertRaises(errors.StorageError, msg=at) as caught:
                self.read()
            self.assertIn("empty the folder", str(caught.exception))
            self.assertEqual(path.read_bytes(), data)

    def test_zeros_before_a_later_write_refuse(self):
        """Guards against dropping what a later write shows to be synced."""
        segments = log.Segments(self.folder, disk.FileOps())
        segments.load()
        segments.start_segment(1)
        for first in (1, 3):
            records = entries(first, first + 2)
            segments.append([entry.payload for entry in records])
            segments.sync()
        segments.close()
        path = segments.segments[0].path
        whole = path.read_bytes()
        for begin in (0, len(whole) // 4, len(whole) // 4 + 20):
            data = bytearray(whole)
            data[begin : len(whole) // 2] = bytes(len(whole) // 2 - begin)
            path.write_bytes(data)
            with self.assertRaises(errors.StorageError):
                self.read()

    def test_torn_record_before_the_last_file_refuses(self):
        path = self.write(3)
        self.write(2, first=4)
        self.assertEqual(self.read(), [1, 2, 3, 4, 5])
        path.write_bytes(path.read_bytes()[:-1])
        with self.assertRaises(errors.StorageError):
            self.read()

    def test_missing_file_refuses(self):
        self.write(3)
        self.write(2, first=4).unlink()
        self.write(2, first=6)
        with self.assertRaises(errors.StorageError):
            self.read()


class TestSegments(FolderCase):
    """Truncation and compaction across several files."""

    def open(self):
        self.write(3)
        self.write(3, first=4)
        segments = log.Segments(self.folder, disk.FileOps())
        segments.load()
        self.addCleanup(segments.close)
        return segments

    def test_truncate_spans_files(self):
        segments = self.open()
        segments.truncate(3)
        records = entries(3, 5, term=2)
        segments.append([entry.payload for entry in records])
        segments.sync()
        self.assertEqual(self.read(), [1, 2, 3, 4])

    def test_compact_removes_whole_files_only(self):
        segments = self.open()
        segments.compact(4, 6)
        self.assertEqual(self.read(), [4, 5, 6])
        segments.append([entry.payload for entry in entries(7, 8)])
        segments.sync()
        self.assertEqual(self.read(), [4, 5, 6, 7])


class TestStore(FolderCase):
    """State of the folder when a keeper starts."""

    def open(self, keeper="k", group="g", files=None):
        opened = store.Store(
            self.folder,
            group,
            keeper,
            files or disk.FileOps(),
            on_durable=lambda: None,
            on_fault=lambda error: None,
        )
        self.addCleanup(opened.close)
        return opened

    def run_writer(self, opened, work):
        async def run():
            task = asyncio.ensure_future(opened.writer.run())
            try:
                await work()
                await opened.writer.flush()
            finally:
                task.cancel()

        asyncio.run(run())

    def test_queued_hard_states_cost_one_write(self):
        """Hard states that wait for the disk must not be written in turn.

        Otherwise a vote in a new term waits for two syncs or more.
        """
        syncs = []
        opened = self.open(files=disk.FileOps(sync=syncs.append))
        syncs.clear()

        async def work():
            opened.save_hard_state(term=4)
            opened.save_hard_state(term=4, vote="d")
            opened.save_hard_state(term=5, vote="e")
            self.assertFalse(opened.hard_state_saved)
            await opened.writer.flush()
            self.assertTrue(opened.hard_state_saved)
            self.assertEqual(5, opened.saved_term)

        self.run_writer(opened, work)
        self.assertEqual(1, len(syncs))
        opened.close()
        state = self.open().hard_state
        self.assertEqual((5, "e"), (state.term, state.vote))

    def test_hard_state_queued_during_a_write_is_written(self):
        """A flush must cover a hard state that came during the last write."""
        opened = self.open()
        began = threading.Event()
        go_on = threading.Event()
        original = opened.data_folder.save

        def save(state):
            began.set()
            go_on.wait(5)
            original(state)

        async def work():
            opened.data_folder.save = save
            opened.save_hard_state(term=4, vote="d")
            await asyncio.to_thread(began.wait, 5)
            opened.save_hard_state(term=5, vote="e")
            go_on.set()
            await opened.writer.flush()
            self.assertTrue(opened.hard_state_saved)

        self.run_writer(opened, work)
        opened.close()
        state = self.open().hard_state
        self.assertEqual((5, "e"), (state.term, state.vote))

    def test_term_vote_and_entries_survive(self):
        opened = self.open()

        async def work():
            opened.save_hard_state(term=4, vote="d")
            opened.append(entries(1, 4))

        self.run_writer(opened, work)
        self.assertEqual(opened.durable_index, 3)
        opened.close()
        again = self.open()
        self.assertEqual(
            (again.hard_state.term, again.hard_state.vote), (4, "d")
        )
        self.assertEqual(again.log.last_index, 3)

    def test_folder_of_another_keeper_group_or_process_refuses(self):
        opened = self.open()
        with self.assertRaises(errors.StorageError):
            self.open()
        opened.close()
        for names in ({"keeper": "other"}, {"group": "other"}):
            with self.assertRaises(errors.StorageError) as caught:
                self.open(**names)
            self.assertIn("belongs to another", str(caught.exception))

    def test_missing_and_corrupt_files_refuse(self):
        self.open().close()
        hard = self.folder / disk.HARD_STATE_FILE
        saved = hard.read_bytes()
        (path,) = self.folder.glob("log-*")
        path.unlink()
        with self.assertRaises(errors.StorageError):
            self.open()
        path.touch()
        hard.write_bytes(saved[:-1] + b"?")
        with self.assertRaises(errors.StorageError):
            self.open()
        hard.unlink()
        with self.assertRaises(errors.StorageError):
            self.open()

    def test_snapshot_that_arrived_before_the_log_was_reset(self):
        # After a crash between the rename of a received snapshot and the
        # removal of the older log, that log must not be taken for the entries
        # that follow the snapshot.
        opened = self.open()

        async def work():
            opened.append(entries(1, 4))

        self.run_writer(opened, work)
        opened.close()
        snapshot = snapshots.Snapshot(9, 2, 5.0, MEMBERS, b"state")
        snapshots.save(self.folder, snapshot, disk.FileOps())
        again = self.open()
        self.assertEqual(again.log.last_index, 9)
        self.assertEqual(again.log.last_term, 2)
        self.assertEqual(again.snapshot.data, b"state")
        self.assertEqual(again.members, MEMBERS)

    def test_partial_snapshot_is_ignored(self):
        """A partly written snapshot must not be taken for the newest one."""
        self.open().close()
        good = snapshots.Snapshot(9, 2, 5.0, MEMBERS, b"state")
        snapshots.save(self.folder, good, disk.FileOps())
        path = snapshots.path_of(self.folder, 12)
        data = snapshots.path_of(self.folder, 9).read_bytes()
        path.with_suffix(".tmp").write_bytes(data[:-4])
        again = self.open()
        self.assertEqual(again.snapshot.data, b"state")
        self.assertEqual([], list(self.folder.glob("snapshot-*.tmp")))

    def test_corrupt_snapshot_refuses(self):
        self.open().close()
        snapshot = snapshots.Snapshot(9, 2, 5.0, MEMBERS, b"state")
        snapshots.save(self.folder, snapshot, disk.FileOps())
        path = snapshots.path_of(self.folder, 9)
        data = bytearray(path.read_bytes())
        data[-1] ^= 1
        path.write_bytes(data)
        with self.assertRaises(errors.StorageError):
            self.open()

    def test_truncation_restores_members(self):
        opened = self.open()
        tag = wire.tag_of(messages.Members)
        body = wire.encode_value(MEMBERS)

        async def work():
            opened.append([log.make_entry(1, 1, 0.0, tag, body)])
            other = wire.encode_value(messages.Members())
            opened.append([log.make_entry(2, 1, 0.0, tag, other)])
            self.assertEqual(opened.members, messages.Members())
            self.assertTrue(opened.truncate(2))
            self.assertEqual(opened.members, MEMBERS)

        self.run_writer(opened, work)

    def test_nothing_is_acknowledged_after_a_failed_write(self):
        # After a failed write, a later one that succeeds leaves a gap in the
        # log and must not be acknowledged either.
        full = []

        def write(fd, data):
            if full:
                full.clear()
                raise OSError(errno.ENOSPC, "No space left on device")
            return os.write(fd, data)

        opened = self.open(files=disk.FileOps(write=write))

        async def run():
            task = asyncio.ensure_future(opened.writer.run())
            opened.append(entries(1, 2))
            await opened.writer.flush()
            full.append(True)
            opened.append(entries(2, 3))
            with self.assertRaises(errors.StorageError):
                await opened.writer.flush()
            opened.append(entries(3, 4))
            with self.assertRaises(errors.StorageError):
                await opened.writer.flush()
            await task

        asyncio.run(run())
        self.assertEqual(opened.durable_index, 1)

    def test_unsynced_entries_are_dropped_after_a_disk_failure(self):
        """Entries read from the page cache after a failed sync are dropped.

        If they were kept, entry 2 would count as synced and be lost with the
        next power failure.
        """
        failing = []

        def sync(fd):
            if failing:
                raise OSError(errno.EIO, "Input/output error")
            os.fdatasync(fd)

        opened = self.open(files=disk.FileOps(sync=sync))

        async def run():
            task = asyncio.ensure_future(opened.writer.run())
            opened.append(entries(1, 2))
            await opened.writer.flush()
            failing.append(True)
            opened.append(entries(2, 3))
            with self.assertRaises(errors.StorageError):
                await opened.writer.flush()
            await task

        asyncio.run(run())
        opened.close()
        again = self.open()
        self.assertEqual(2, again.log.last_index)
        again.drop_after(opened.durable_index)
        self.assertEqual((1, 1), (again.log.last_index, again.durable_index))
        with self.assertRaises(errors.StorageError):
            again.drop_after(5)
