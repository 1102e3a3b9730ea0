"""Table of targets, merged from announcements in any order.

Keepers and routers hold one each. The result does not depend on the order or
number of messages: of the incarnations of a target the last born wins and ends
the earlier ones; of one incarnation the highest sequence wins, and its state
only advances; of the incarnations at one address that are not gone, the one
with the highest epoch holds it.

Only keepers raise epochs, by what targets announce to them: an address goes to
an incarnation that is new, and to a known one that goes on announcing itself
while the holder does not. So a late announcement of a process that has ended
may take an address, and loses it again to the one that lives.
"""

import dataclasses
import time
import typing as t

import logbook

from amaranthring.core import logs
from amaranthring.registry import messages

# While the holder of an address is still heard from, an unknown incarnation
# may take the address only with one of its first announcements. A later one
# was delayed by a partition and comes from a process that has ended.
FIRST_SEQUENCES = 3
# Time after which keepers have heard an announcement of whoever holds an
# address.
REPLACED_SECONDS = 5.0
# Fields of a record whose changes others have to know.
FORWARDED_FIELDS = (
    "state",
    "silent",
    "address",
    "service",
    "release",
    "epoch",
)
MILLISECONDS = 1e3

log = logbook.Logger(__name__)


def log_change(record: messages.TargetRecord) -> None:
    """Log a change of a target's record."""
    logs.event(
        log,
        "target.changed",
        target=record.id,
        service=record.service,
        address=record.address,
        data_centre=record.data_centre,
        release=record.release,
        state=record.state,
        silent=record.silent,
        sequence=record.sequence,
    )


@dataclasses.dataclass
class Entry:
    """One incarnation of a target.

    Attributes
    ----------
    record : TargetRecord
        The merged record.
    heard_at : float
        When the highest sequence arrived, in seconds of the table's clock.
    gone_at : float
        When it was found to be gone; 0 before.
    still_serving : bool
        Whether it went without draining first: such a target serves for a
        while, one that has drained ends at once.
    replaced_until : float
        Until when it counts that another target has answered at its address.
    """

    record: messages.TargetRecord
    heard_at: float
    gone_at: float = 0.0
    still_serving: bool = False
    replaced_until: float = float("-inf")


class TargetTable:
    """All targets by id.

    Parameters
    ----------
    clock : callable
        Seconds; continues while the VM is suspended.
    fresh_seconds : float
        How long after its last announcement a target certainly holds its
        address.
    time_of_day : callable
        Seconds of Unix time. Epochs grow with it, so that those of keepers
        that have forgotten an address are higher than what routers remember.

    Attributes
    ----------
    entries : dict
        Entry by id. An entry whose address another incarnation has taken is
        kept, as the other may prove to be the older one.
    by_address : dict
        Id of the incarnation that holds each address now.
    newest_by_name : dict
        Id of the incarnation that was born last, by the target's name.
    """

    def __init__(
        self,
        clock: t.Callable[[], float],
        fresh_seconds: float,
        time_of_day: t.Callable[[], float] = time.time,
    ):
        self.clock = clock
        self.fresh_seconds = fresh_seconds
        self.time_of_day = time_of_day
        self.entries: dict[str, Entry] = {}
        self.by_address: dict[str, str] = {}
        self.newest_by_name: dict[str, str] = {}

    def merge(self, record: messages.TargetRecord) -> bool:
        """Merge what a target announces; return whether to forward it."""
        entry = self.entries.get(record.id)
        if entry is None:
            may_take = self._may_take_address(record)
            gone = record.state == messages.State.GONE
            if not (gone or may_take) or not self._add(record):
                return False
            entry = self.entries[record.id]
            changed = True
        else:
            is_new = record.sequence > entry.record.sequence
            may_take = is_new and self._may_take_address(record)
            changed = self._merge_known(entry, record)
        if may_take and not entry.gone_at:
            changed = self._take_address(entry) or changed
        return changed

    def adopt(self, record: messages.TargetRecord) -> bool:
        """Merge what a keeper tells; return whether to forward it."""
        entry = self.entries.get(record.id)
        if entry is None:
            return self._add(record)
        return self._merge_known(entry, record)

    def _add(self, record: messages.TargetRecord) -> bool:
        """Add an incarnation; return False if a later one is known."""
        previous = self.entries.get(self.newest_by_name.get(record.name, ""))
        if previous is not None and previous.record.born > record.born:
            # Delayed, from a process that has ended; or from another sender,
            # which does not say when the target was born.
            return False
        if previous is not None:
            self._mark_ended(previous)
        now = self.clock()
        gone = record.state == messages.State.GONE
        self.newest_by_name[record.name] = record.id
        self.entries[record.id] = Entry(record, now, now if gone else 0.0)
        self._settle_address(record.address)
        return True

    def _take_address(self, entry: Entry) -> bool:
        """Give an incarnation its address; return whether another had it."""
        holder = self.entries.get(self.by_address.get(entry.record.address))
        if holder is entry and entry.record.epoch:
            return False
        epochs = [
            other.record.epoch
            for other in self.entries.values()
            if other.record.address == entry.record.address
        ]
        now = int(self.time_of_day() * MILLISECONDS)
        entry.record = dataclasses.replace(
            entry.record, epoch=max(now, *epochs, 0) + 1
        )
        self._settle_address(entry.record.address)
        return holder is not entry

    def _settle_address(self, address: str) -> None:
        """Let the incarnation with the highest epoch hold an address."""
        candidates = [
            entry.record
            for entry in reversed(self.entries.values())
            if entry.record.address == address and not entry.gone_at
        ]
        self.by_address.pop(address, None)
        if candidates:
            # Keepers of an earlier build tell no epochs; the last one counts.
            holder = max(candidates, key=lambda r: (r.epoch, r.epoch and r.id))
            self.by_address[address] = holder.id

    def restore(
        self, records: t.Iterable[messages.TargetRecord], age: float
    ) -> None:
        """Merge records that were known before a restart.

        Parameters
        ----------
        age : float
            Seconds for which the targets count as not heard from already.
        """
        heard_at = self.clock() - age
        for record in records:
            if record.id not in self.entries and self.adopt(record):
                self.entries[record.id].heard_at = heard_at

    def mark_draining(self, target_id: str) -> bool:
        """Mark a target as draining; return whether it was ready before."""
        entry = self.entries.get(target_id)
        if entry is None or entry.record.state != messages.State.READY:
            return False
        entry.record = dataclasses.replace(
            entry.record, state=messages.State.DRAINING
        )
        return True

    def mark_replaced(self, target_id: str) -> None:
        """Record that another target has answered at the address.

        It is left out for :data:`REPLACED_SECONDS`. By then the keepers know
        from announcements who holds the address.
        """
        entry = self.entries.get(target_id)
        if entry is not None:
            entry.replaced_until = self.clock() + REPLACED_SECONDS

    def is_replaced(self, target_id: str) -> bool:
        """Return whether another target has answered at the address."""
        entry = self.entries.get(target_id)
        return entry is not None and self.clock() < entry.replaced_until

    def mark_gone(self, target_id: str) -> messages.TargetRecord | None:
        """Mark a target as gone; return its record if it was known."""
        entry = self.entries.get(target_id)
        if entry is None:
            return None
        if not entry.gone_at:
            entry.still_serving = entry.record.state == messages.State.READY
        self._mark_ended(entry)
        return entry.record

    def mark_gone_by_name(
        self, name: str, born: int
    ) -> messages.TargetRecord | None:
        """Mark the target `name` as gone, also if it is not known yet.

        Returns None if a later incarnation is known.

        Parameters
        ----------
        born : int
            Birth time of the incarnation that reports it; 0 if unknown.
        """
        entry = self.entries.get(self.newest_by_name.get(name, ""))
        if entry is None or 0 < entry.record.born < born:
            return self._add_gone(name, born)
        if 0 < born < entry.record.born:
            return None
        return self.mark_gone(entry.record.id)

    def _add_gone(self, name: str, born: int) -> messages.TargetRecord:
        """Add an incarnation that leaves before its first announcement.

        An announcement that arrives later does not bring it back.
        """
        record = messages.TargetRecord(
            messages.incarnation_id(name, born),
            service="",
            address="",
            data_centre="",
            state=messages.State.GONE,
            name=name,
            born=born,
        )
        self._add(record)
        return record

    def record_heartbeat(self, target_id: str, sequence: int) -> bool:
        """Record that a target is alive; return whether it was silent."""
        entry = self.entries.get(target_id)
        if entry is None or sequence <= entry.record.sequence:
            return False
        entry.heard_at = self.clock()
        was_silent = entry.record.silent
        entry.record = dataclasses.replace(
            entry.record, sequence=sequence, silent=False
        )
        return was_silent

    def mark_silent(self, seconds: float) -> list[messages.TargetRecord]:
        """Mark and return the targets not heard from for `seconds`."""
        now = self.clock()
        silent = []
        for entry in self.entries.values():
            if entry.gone_at or entry.record.silent:
                continue
            if now - entry.heard_at > seconds:
                entry.record = dataclasses.replace(entry.record, silent=True)
                silent.append(entry.record)
        return silent

    def remove_expired(self, seconds: float) -> None:
        """Remove targets that went or fell silent more than `seconds` ago."""
        now = self.clock()
        for target_id, entry in list(self.entries.items()):
            since = entry.gone_at or entry.heard_at
            ended = entry.gone_at or entry.record.silent
            if ended and now - since > seconds:
                del self.entries[target_id]
                if self.newest_by_name.get(entry.record.name) == target_id:
                    del self.newest_by_name[entry.record.name]
                self._settle_address(entry.record.address)

    def records(self) -> list[messages.TargetRecord]:
        """Return the records of targets that hold an address or are gone."""
        return [
            entry.record
            for entry in self.entries.values()
            if entry.gone_at or self.holds_address(entry.record)
        ]

    def active(self) -> t.Iterator[messages.TargetRecord]:
        """Yield the records of all targets that hold an address."""
        for target_id in self.by_address.values():
            yield self.entries[target_id].record

    def holds_address(self, record: messages.TargetRecord) -> bool:
        """Return whether the incarnation of `record` holds its address now."""
        return self.by_address.get(record.address) == record.id

    def _merge_known(
        self, entry: Entry, record: messages.TargetRecord
    ) -> bool:
        previous = entry.record
        order = messages.STATE_ORDER
        state = max(previous.state, record.state, key=order.__getitem__)
        epoch = max(previous.epoch, record.epoch)
        newest = previous
        if record.sequence > previous.sequence:
            entry.heard_at = self.clock()
            newest = record
        elif record.sequence == previous.sequence:
            silent = previous.silent or record.silent
            newest = dataclasses.replace(previous, silent=silent)
        merged = dataclasses.replace(newest, state=state, epoch=epoch)
        entry.record = merged
        if state == messages.State.GONE and not entry.gone_at:
            entry.still_serving = previous.state == messages.State.READY
            self._mark_ended(entry)
        changes = {
            name
            for name in FORWARDED_FIELDS
            if getattr(merged, name) != getattr(previous, name)
        }
        if changes & {"address", "epoch"}:
            for address in {previous.address, merged.address}:
                self._settle_address(address)
        return bool(changes)

    def _may_take_address(self, record: messages.TargetRecord) -> bool:
        holder_id = self.by_address.get(record.address, "")
        holder = self.entries.get(holder_id)
        if holder is None or record.sequence <= FIRST_SEQUENCES:
            return True
        if holder.record.name == record.name:
            # The same target has restarted.
            return True
        age = self.clock() - holder.heard_at
        return age >= self.fresh_seconds

    def _mark_ended(self, entry: Entry) -> None:
        entry.gone_at = entry.gone_at or self.clock()
        entry.record = dataclasses.replace(
            entry.record, state=messages.State.GONE
        )
        self._settle_address(entry.record.address)
