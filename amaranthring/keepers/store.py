"""Durable state of one group on this keeper: files, and the log over them.

Everything that must be on disk before an answer goes through the one
:class:`disk.Writer`, in order. Snapshots are written and read in a second
thread, so that a large one does not hold up the log.
"""

import asyncio
import concurrent.futures
import dataclasses
import pathlib
import typing as t

from amaranthring import errors
from amaranthring.core import wire
from amaranthring.keepers import disk
from amaranthring.keepers import log as logfile
from amaranthring.keepers import messages
from amaranthring.keepers import snapshots

MEMBERS_TAG = wire.tag_of(messages.Members)


class Store:
    """The log, its files, the hard state and the newest snapshot.

    Parameters
    ----------
    folder : path
        Data folder of the group.
    group, keeper : str
        Whose folder it must be.
    files : disk.Files
        System calls.
    on_durable : callable
        Called when `durable_index` has risen.
    on_fault : callable
        Called with the StorageError after which nothing more is written.
    kept_entries : int
        Entries kept behind a snapshot.

    Attributes
    ----------
    durable_index : int
        Highest entry of the present log that is synced.
    saved_term : int
        Term of the hard state on disk.
    member_history : list
        Configurations by the index of their entry, oldest first; the last
        is in force, earlier ones come back when the log is truncated.

    Raises
    ------
    errors.StorageError
        If the folder is foreign, in use or damaged.
    """

    def __init__(
        self,
        folder,
        group,
        keeper,
        files,
        on_durable,
        on_fault,
        kept_entries: int = 1000,
    ):
        self.folder = pathlib.Path(folder)
        self.files = files
        self.kept_entries = kept_entries
        self.on_durable = on_durable
        self.disk = disk.DataFolder(self.folder, group, keeper, files)
        self.segments = logfile.Segments(self.folder, files)
        self.log = logfile.Log()
        self.member_history: list[tuple[int, messages.Members]] = []
        self.durable_index = self.snapshot_index = 0
        self.saved_term = self.hard.term
        try:
            self.snapshot = self._recover()
        except errors.StorageError:
            self.disk.close()
            raise
        self.writer = disk.Writer(self.segments.sync, self._synced, on_fault)
        self.snapshot_thread = concurrent.futures.ThreadPoolExecutor(
            1, "snapshot"
        )

    @property
    def hard(self) -> disk.HardState:
        """Return the hard state, which may still wait for the disk."""
        return self.disk.hard

    @property
    def members(self) -> messages.Members:
        """Return the newest configuration, committed or not."""
        if not self.member_history:
            return messages.Members()
        return self.member_history[-1][1]

    def close(self) -> None:
        """End the threads and close the files."""
        self.writer.close()
        self.snapshot_thread.shutdown(wait=True)
        self.segments.close()
        self.disk.close()

    # -- recovery ----------------------------------------------------

    def _recover(self) -> snapshots.Snapshot | None:
        snapshot = snapshots.load_newest(self.folder)
        entries = self.segments.load()
        if self.hard.genesis:
            self.member_history = [(0, self.hard.genesis)]
        if snapshot:
            self._restart_from(snapshot)
            entries = self._after_snapshot(snapshot, entries)
        if entries and entries[0].index != self.log.base_index + 1:
            raise disk.damage_error(
                self.folder, "the log's first file is missing"
            )
        if not self.segments.segments:
            self._begin_log(snapshot)
        self.log.append(entries)
        self._note_members(entries)
        self.durable_index = self.log.last_index
        return snapshot

    def _begin_log(self, snapshot) -> None:
        if self.hard.begun and not snapshot:
            raise disk.damage_error(self.folder, "the log is missing")
        self.segments.start_segment(self.log.last_index + 1)
        self.hard.begun = True
        self.disk.save(self.hard)

    def _after_snapshot(self, snapshot, entries) -> list[logfile.Entry]:
        """Return entries that follow the log's base; set the base."""
        held = {entry.index: entry for entry in entries}
        at = held.get(snapshot.index)
        if at is None and snapshot.index + 1 in held:
            return entries
        if at is None or at.term != snapshot.term:
            # The snapshot came from a leader and the process ended before
            # the older log was removed.
            self.segments.reset(snapshot.index + 1)
            return []
        first = entries[0]
        self.log.reset(first.index, first.term, first.stamp)
        return entries[1:]

    def _restart_from(self, snapshot: snapshots.Snapshot) -> None:
        self.log.reset(snapshot.index, snapshot.term, snapshot.stamp)
        self.member_history = [(snapshot.index, snapshot.members)]
        self.snapshot_index = snapshot.index

    # -- term and vote -----------------------------------------------

    def save_hard(self, **changes: t.Any) -> None:
        """Queue `changes` to the hard state for the disk."""
        state = dataclasses.replace(self.hard, **changes)
        self.disk.hard = state

        def save():
            self.disk.save(state)
            self.saved_term = state.term

        self.writer.submit(save)

    # -- log ---------------------------------------------------------

    def append(self, entries: list[logfile.Entry]) -> bool:
        """Add entries; return whether the configuration changed."""
        self.log.append(entries)
        payloads = [entry.payload for entry in entries]
        mark = (entries[-1].index, entries[-1].term)
        self.writer.submit(lambda: self.segments.append(payloads), mark)
        return self._note_members(entries)

    def truncate(self, index: int) -> bool:
        """Drop entry `index` and all after it.

        Returns
        -------
        bool
            Whether an earlier configuration came back.
        """
        self.log.truncate(index)
        self.durable_index = min(self.durable_index, index - 1)
        self.writer.submit(lambda: self.segments.truncate(index))
        return self._forget_members_from(index)

    def drop_after(self, index: int) -> None:
        """Drop all entries after `index`, before the writer runs.

        Raises
        ------
        OSError
            If the disk refused it.
        errors.StorageError
            If the entries up to `index` are not there, although they were
            synced once.
        """
        if self.log.last_index < index:
            raise disk.damage_error(self.folder, "synced entries are missing")
        if self.log.last_index == index:
            return
        first = max(index, self.log.base_index) + 1
        self.log.truncate(first)
        self.segments.truncate(first)
        self.durable_index = self.log.last_index
        self._forget_members_from(first)

    def _forget_members_from(self, index: int) -> bool:
        kept = [known for known in self.member_history if known[0] < index]
        changed = len(kept) != len(self.member_history)
        self.member_history = kept
        return changed

    def forget_members(self, applied: int) -> None:
        """Drop configurations that no truncation can bring back."""
        old = [known for known in self.member_history if known[0] <= applied]
        if len(old) > 1:
            del self.member_history[: len(old) - 1]

    def _note_members(self, entries: list[logfile.Entry]) -> bool:
        changes = [entry for entry in entries if entry.tag == MEMBERS_TAG]
        for entry in changes:
            body = wire.decode_value(entry.body)
            members = wire.decode_message(entry.tag, body)
            self.member_history.append((entry.index, members))
        return bool(changes)

    def _synced(self, mark: tuple[int, int]) -> None:
        # The term tells an entry that was replaced while it was written
        # from the one that took its place.
        index, term = mark
        if index > self.durable_index and self.log.term_at(index) == term:
            self.durable_index = index
            self.on_durable()

    # -- snapshots ---------------------------------------------------

    async def save_snapshot(self, index: int, data: bytes) -> None:
        """Write the machine's state at `index`, then compact the log.

        Raises
        ------
        OSError
            If the disk refused it.
        """
        entry = self.log.get(index)
        known = [at[1] for at in self.member_history if at[0] <= index]
        snapshot = snapshots.Snapshot(
            index, entry.term, entry.stamp, known[-1], data
        )
        await asyncio.get_running_loop().run_in_executor(
            self.snapshot_thread,
            snapshots.save,
            self.folder,
            snapshot,
            self.files,
        )
        if index <= self.snapshot_index:
            return
        self.snapshot_index = index
        upto = index - self.kept_entries
        last = self.log.last_index
        self.writer.submit(lambda: self.segments.compact(upto, last))
        self.log.compact(upto)

    def install(self, snapshot: snapshots.Snapshot) -> None:
        """Let the log begin after `snapshot`, whose file is in place."""
        self._restart_from(snapshot)
        self.durable_index = snapshot.index
        first = snapshot.index + 1
        self.writer.submit(lambda: self.segments.reset(first))
