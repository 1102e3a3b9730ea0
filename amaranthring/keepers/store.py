"""Durable state of one group on this keeper: log, hard state and snapshots.

Everything that must be on disk before a reply is written in order by one
:class:`disk.Writer`. Snapshots use a second thread, so that a large one does
not delay the log.
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
        Expected owner of the folder.
    files : disk.FileOps
        System calls.
    on_durable : callable
        Called when `durable_index` has increased.
    on_fault : callable
        Called with the StorageError after which nothing more is written.
    kept_entries : int
        Number of entries kept behind a snapshot.

    Attributes
    ----------
    durable_index : int
        Highest index of the current log that is synced.
    saved_state : disk.HardState
        Newest hard state on disk.
    member_history : list
        Configurations with the index of their entry, oldest first. The last
        is in force; earlier ones are restored when the log is truncated.

    Raises
    ------
    errors.StorageError
        If the folder belongs to another keeper, is in use or is corrupt.
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
        self.data_folder = disk.DataFolder(self.folder, group, keeper, files)
        self.segments = logfile.Segments(self.folder, files)
        self.log = logfile.Log()
        self.member_history: list[tuple[int, messages.Members]] = []
        self.durable_index = self.snapshot_index = 0
        self.saved_state = self.hard_state
        try:
            self.snapshot = self._recover()
        except errors.StorageError:
            self.data_folder.close()
            raise
        self.writer = disk.Writer(
            self.segments.sync, self._on_synced, on_fault
        )
        self.snapshot_thread = concurrent.futures.ThreadPoolExecutor(
            1, "snapshot"
        )

    @property
    def hard_state(self) -> disk.HardState:
        """Return the hard state, which may not be on disk yet."""
        return self.data_folder.hard_state

    @property
    def hard_state_saved(self) -> bool:
        """Return whether the current hard state is on disk."""
        return self.saved_state is self.hard_state

    @property
    def saved_term(self) -> int:
        """Return the term of the hard state on disk."""
        return self.saved_state.term

    @property
    def members(self) -> messages.Members:
        """Return the latest configuration, committed or not."""
        if not self.member_history:
            return messages.Members()
        return self.member_history[-1][1]

    def close(self) -> None:
        """Stop the threads and close the files."""
        self.writer.close()
        self.snapshot_thread.shutdown(wait=True)
        self.segments.close()
        self.data_folder.close()

    # -- recovery ----------------------------------------------------

    def _recover(self) -> snapshots.Snapshot | None:
        snapshot = snapshots.load_newest(self.folder)
        entries = self.segments.load()
        if self.hard_state.genesis:
            self.member_history = [(0, self.hard_state.genesis)]
        if snapshot:
            self._rebase_on(snapshot)
            entries = self._entries_after(snapshot, entries)
        if entries and entries[0].index != self.log.base_index + 1:
            raise disk.damage_error(
                self.folder, "the log's first file is missing"
            )
        if not self.segments.segments:
            self._begin_log(snapshot)
        self.log.append(entries)
        self._record_members(entries)
        self.durable_index = self.log.last_index
        return snapshot

    def _begin_log(self, snapshot) -> None:
        if self.hard_state.begun and not snapshot:
            raise disk.damage_error(self.folder, "the log is missing")
        self.segments.start_segment(self.log.last_index + 1)
        self.hard_state.begun = True
        self.data_folder.save(self.hard_state)

    def _entries_after(self, snapshot, entries) -> list[logfile.Entry]:
        """Set the log's base; return the entries that follow it."""
        by_index = {entry.index: entry for entry in entries}
        last_covered = by_index.get(snapshot.index)
        if last_covered is None and snapshot.index + 1 in by_index:
            return entries
        if last_covered is None or last_covered.term != snapshot.term:
            # The process ended between installing a snapshot from the leader
            # and removing the older log.
            self.segments.reset(snapshot.index + 1)
            return []
        first = entries[0]
        self.log.reset(first.index, first.term, first.stamp)
        return entries[1:]

    def _rebase_on(self, snapshot: snapshots.Snapshot) -> None:
        self.log.reset(snapshot.index, snapshot.term, snapshot.stamp)
        self.member_history = [(snapshot.index, snapshot.members)]
        self.snapshot_index = snapshot.index

    # -- term and vote -----------------------------------------------

    def save_hard_state(self, **changes: t.Any) -> None:
        """Apply `changes` to the hard state and queue it for the disk."""
        state = dataclasses.replace(self.hard_state, **changes)
        self.data_folder.hard_state = state
        self.writer.submit(self._save_newest_state)

    def _save_newest_state(self) -> None:
        """Write the newest hard state, unless it is on disk; disk thread.

        A newer state than the queued one may be written ahead of log records
        queued between them: a term or vote is never wrong for being early.
        """
        state = self.hard_state
        if state is not self.saved_state:
            self.data_folder.save(state)
            self.saved_state = state

    # -- log ---------------------------------------------------------

    def append(self, entries: list[logfile.Entry]) -> bool:
        """Append entries; return whether the configuration changed."""
        self.log.append(entries)
        payloads = [entry.payload for entry in entries]
        marker = (entries[-1].index, entries[-1].term)
        self.writer.submit(lambda: self.segments.append(payloads), marker)
        return self._record_members(entries)

    def truncate(self, index: int) -> bool:
        """Drop entry `index` and all after it.

        Returns
        -------
        bool
            Whether an earlier configuration was restored.
        """
        self.log.truncate(index)
        self.durable_index = min(self.durable_index, index - 1)
        self.writer.submit(lambda: self.segments.truncate(index))
        return self._truncate_member_history(index)

    def drop_after(self, index: int) -> None:
        """Drop all entries after `index`, before the writer runs.

        Raises
        ------
        OSError
            If the write failed.
        errors.StorageError
            If entries up to `index`, which were synced, are missing.
        """
        if self.log.last_index < index:
            raise disk.damage_error(self.folder, "synced entries are missing")
        if self.log.last_index == index:
            return
        first = max(index, self.log.base_index) + 1
        self.log.truncate(first)
        self.segments.truncate(first)
        self.durable_index = self.log.last_index
        self._truncate_member_history(first)

    def _truncate_member_history(self, index: int) -> bool:
        remaining = [at for at in self.member_history if at[0] < index]
        changed = len(remaining) != len(self.member_history)
        self.member_history = remaining
        return changed

    def prune_member_history(self, applied: int) -> None:
        """Drop configurations that no truncation can restore."""
        old = [at for at in self.member_history if at[0] <= applied]
        if len(old) > 1:
            del self.member_history[: len(old) - 1]

    def _record_members(self, entries: list[logfile.Entry]) -> bool:
        changes = [entry for entry in entries if entry.tag == MEMBERS_TAG]
        for entry in changes:
            body = wire.decode_value(entry.body)
            members = wire.decode_message(entry.tag, body)
            self.member_history.append((entry.index, members))
        return bool(changes)

    def _on_synced(self, marker: tuple[int, int]) -> None:
        # The term check skips an entry that was replaced while it was being
        # written.
        index, term = marker
        if index > self.durable_index and self.log.term_at(index) == term:
            self.durable_index = index
            self.on_durable()

    # -- snapshots ---------------------------------------------------

    async def save_snapshot(self, index: int, data: bytes) -> None:
        """Write the state at `index` as a snapshot, then compact the log.

        Raises
        ------
        OSError
            If the write failed.
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

    def adopt(self, snapshot: snapshots.Snapshot) -> None:
        """Record `snapshot`, whose file is in place; the log is kept."""
        self.snapshot_index = max(self.snapshot_index, snapshot.index)

    def install(self, snapshot: snapshots.Snapshot) -> None:
        """Restart the log after `snapshot`, whose file is in place."""
        self._rebase_on(snapshot)
        self.durable_index = snapshot.index
        first = snapshot.index + 1
        self.writer.submit(lambda: self.segments.reset(first))
