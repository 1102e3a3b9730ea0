"""Table of targets, merged from announcements in any order.

Keepers and routers hold one each. Merging does not depend on the order or
the number of messages: of the starts of a target the one that was born last
wins and ends those before it; of one start the highest sequence wins, and
its state only goes forward.
"""

import dataclasses
import typing as t

import logbook

from amaranthring.core import logs
from amaranthring.registry import messages

# An announcement of a start that is not known yet takes the address of a
# start that is still heard only if it is one of its first. A later one was
# held up by a cut and speaks of a process that is long gone.
FIRST_SEQUENCES = 3


log = logbook.Logger(__name__)


def log_change(record: messages.TargetRecord) -> None:
    """Log that what is believed of a target has changed."""
    logs.event(
        log,
        "target.changed",
        target=record.id,
        service=record.service,
        address=record.address,
        data_centre=record.data_centre,
        state=record.state,
        silent=record.silent,
        sequence=record.sequence,
    )


@dataclasses.dataclass
class Entry:
    """What is known of one start of a target.

    Attributes
    ----------
    record : TargetRecord
        Merged.
    heard_at : float
        When the newest sequence came, in seconds of the table's clock.
    gone_at : float
        When it was found to be gone; 0 while it is not.
    goes_on : bool
        Whether it said that it is gone without having drained before: such a
        target still serves for a while, one that has drained ends at once.
    """

    record: messages.TargetRecord
    heard_at: float
    gone_at: float = 0.0
    still_serving: bool = False


class TargetTable:
    """All targets by id.

    Parameters
    ----------
    clock : callable
        Seconds that go on while the VM is suspended.
    fresh_seconds : float
        How long after its last announcement a target surely holds its
        address. 0 where records come from keepers, which judged that.

    Attributes
    ----------
    entries : dict
        Entry by id; one whose address another start has taken is kept, in
        case the other turns out to be the older one.
    by_address : dict
        Id of the start that holds each address now.
    newest : dict
        Id of the start that was born last, by the target's name.
    """

    def __init__(self, clock: t.Callable[[], float], fresh_seconds: float):
        self.clock = clock
        self.fresh_seconds = fresh_seconds
        self.entries: dict[str, Entry] = {}
        self.by_address: dict[str, str] = {}
        self.newest_by_name: dict[str, str] = {}

    def merge(self, record: messages.TargetRecord) -> bool:
        """Take `record` in; return whether others should hear of it."""
        entry = self.entries.get(record.id)
        if entry is not None:
            return self._update(entry, record)
        before = self.entries.get(self.newest_by_name.get(record.name, ""))
        if before is not None and before.record.born > record.born:
            # Held up on its way, of a process that is no more; or of
            # another writer, which does not say when the target was born.
            return False
        now = self.clock()
        gone = record.state == messages.State.GONE
        if not gone and not self._may_take_address(record):
            return False
        if before is not None:
            self._end(before)
        self.newest_by_name[record.name] = record.id
        self.entries[record.id] = Entry(record, now, now if gone else 0.0)
        if not gone:
            self.by_address[record.address] = record.id
        return True

    def restore(
        self, records: t.Iterable[messages.TargetRecord], age: float
    ) -> None:
        """Take in what was known before a start.

        Parameters
        ----------
        age : float
            Seconds for which they count as not heard already.
        """
        heard_at = self.clock() - age
        for record in records:
            if record.id not in self.entries and self.merge(record):
                self.entries[record.id].heard_at = heard_at

    def mark_gone(self, target_id: str) -> messages.TargetRecord | None:
        """Note that a target is gone; return its record if it was known."""
        entry = self.entries.get(target_id)
        if entry is None:
            return None
        if not entry.gone_at:
            entry.still_serving = entry.record.state == messages.State.READY
        self._end(entry)
        return entry.record

    def mark_gone_by_name(
        self, name: str, born: int
    ) -> messages.TargetRecord | None:
        """Note that the target `name` is gone; as :meth:`leave`.

        Parameters
        ----------
        born : int
            When the start was born that says so; 0 if it does not say.
        """
        entry = self.entries.get(self.newest_by_name.get(name, ""))
        if entry is None or 0 < born < entry.record.born:
            return None
        return self.mark_gone(entry.record.id)

    def record_heartbeat(self, target_id: str, sequence: int) -> bool:
        """Note a sign of life; return whether the target was silent."""
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
        """Mark and return targets not heard for `seconds`."""
        now = self.clock()
        marked = []
        for entry in self.entries.values():
            if entry.gone_at or entry.record.silent:
                continue
            if now - entry.heard_at > seconds:
                entry.record = dataclasses.replace(entry.record, silent=True)
                marked.append(entry.record)
        return marked

    def remove_expired(self, seconds: float) -> None:
        """Drop targets that went, or fell silent, `seconds` ago."""
        now = self.clock()
        for target_id, entry in list(self.entries.items()):
            since = entry.gone_at or entry.heard_at
            ended = entry.gone_at or entry.record.silent
            if ended and now - since > seconds:
                del self.entries[target_id]
                if self.newest_by_name.get(entry.record.name) == target_id:
                    del self.newest_by_name[entry.record.name]
                if self.holds_address(entry.record):
                    del self.by_address[entry.record.address]

    def records(self) -> list[messages.TargetRecord]:
        """Return the records of all that hold an address or are gone."""
        return [
            entry.record
            for entry in self.entries.values()
            if entry.gone_at or self.holds_address(entry.record)
        ]

    def active(self) -> t.Iterator[messages.TargetRecord]:
        """Return the records of all that hold an address."""
        for target_id in self.by_address.values():
            yield self.entries[target_id].record

    def holds_address(self, record: messages.TargetRecord) -> bool:
        """Return whether `record` is of the start at its address now."""
        return self.by_address.get(record.address) == record.id

    def _update(self, entry: Entry, record: messages.TargetRecord) -> bool:
        held = entry.record
        rank = messages.STATE_ORDER
        state = max(held.state, record.state, key=rank.__getitem__)
        if record.sequence > held.sequence:
            entry.heard_at = self.clock()
            entry.record = dataclasses.replace(record, state=state)
        elif record.sequence == held.sequence:
            silent = held.silent or record.silent
            entry.record = dataclasses.replace(
                held, state=state, silent=silent
            )
        else:
            entry.record = dataclasses.replace(held, state=state)
        if state == messages.State.GONE and not entry.gone_at:
            entry.still_serving = held.state == messages.State.READY
            self._end(entry)
        new = entry.record
        return (new.state, new.silent, new.address, new.service) != (
            held.state,
            held.silent,
            held.address,
            held.service,
        )

    def _may_take_address(self, record: messages.TargetRecord) -> bool:
        holder = self.by_address.get(record.address, "")
        occupant = self.entries.get(holder)
        if occupant is None or record.sequence <= FIRST_SEQUENCES:
            return True
        if occupant.record.name == record.name:
            # The same target, started again.
            return True
        age = self.clock() - occupant.heard_at
        return age >= self.fresh_seconds

    def _end(self, entry: Entry) -> None:
        entry.gone_at = entry.gone_at or self.clock()
        entry.record = dataclasses.replace(
            entry.record, state=messages.State.GONE
        )
        address = entry.record.address
        if self.by_address.get(address) != entry.record.id:
            return
        del self.by_address[address]
        for other in self.entries.values():
            if other.record.address == address and not other.gone_at:
                self.by_address[address] = other.record.id
