"""The shard of suspects and crash records that one router holds.

A suspect is stored in the directory shard of its chat, so that the directory
lookup of any router returns it. The requests that ran on a crashed process
are stored in the shard of its target. Each entry has two holders, so that it
survives the loss of a router.
"""

import collections.abc
import dataclasses

from amaranthring.policy import suspects
from amaranthring.routers import admission_messages as messages
from amaranthring.routers import directory

BATCH_ENTRIES = 500


class SuspectShard:
    """Suspects and crash records that this router holds.

    Parameters
    ----------
    name : str
        This router.
    mesh : object
        Links to the other routers.
    live : callable
        Returns the routers of this region that hold shards.
    clock : callable
        Monotonic clock, in seconds.
    """

    def __init__(
        self,
        name: str,
        mesh,
        live: collections.abc.Callable[[], list[str]],
        clock: collections.abc.Callable[[], float],
    ):
        self.name = name
        self.mesh = mesh
        self.live = live
        self.clock = clock
        self.suspects = suspects.SuspectTable()
        self.crash_records = suspects.CrashRecords()
        mesh.subscribe(self.routers_changed)

    def add_handlers(self, handlers) -> None:
        """Register this module's message handlers."""
        handlers.add(messages.SuspectCrashed, self.on_crashed)
        handlers.add(messages.CrashSettled, self.on_settled)
        handlers.add(messages.CrashWithdrawn, self.on_withdrawn)
        handlers.add(messages.SuspectCleared, self.on_cleared)
        handlers.add(messages.Suspects, self.on_suspects)
        handlers.add(messages.RunningAtCrash, self.on_running)
        handlers.add(messages.CrashRecordRequest, self.on_record_request)
        handlers.add(messages.CrashExplained, self.on_crash_explained)
        handlers.add(messages.CrashRecordWithdrawn, self.on_record_withdrawn)

    def get(self, fingerprint: str) -> suspects.Suspect | None:
        """Return the entry of `fingerprint`, or None if not a suspect."""
        return self.suspects.get(fingerprint, self.clock())

    def on_crashed(
        self, _link, message: messages.SuspectCrashed
    ) -> messages.SuspectUpdated:
        """Record a crash; reply whether it condemned the request."""
        was_condemned = self._is_condemned(message.fingerprint)
        suspect = self.suspects.record_crash(
            message.key,
            message.fingerprint,
            dataclasses.replace(message.crash),
            self.clock(),
        )
        return messages.SuspectUpdated(
            suspect.condemned and not was_condemned, suspect.crashes
        )

    def on_settled(
        self, _link, message: messages.CrashSettled
    ) -> messages.SuspectUpdated:
        """Update a crash; reply whether it condemned the request."""
        was_condemned = self._is_condemned(message.fingerprint)
        suspect = self.suspects.settle_crash(
            message.fingerprint, message.crash, self.clock()
        )
        if suspect is None:
            return messages.SuspectUpdated()
        return messages.SuspectUpdated(
            suspect.condemned and not was_condemned, suspect.crashes
        )

    def on_withdrawn(self, _link, message: messages.CrashWithdrawn) -> None:
        """Remove a crash that did not happen."""
        self.suspects.withdraw_crash(
            message.fingerprint, message.target, self.clock()
        )

    def on_cleared(self, _link, message: messages.SuspectCleared) -> None:
        """Remove a suspect that completed."""
        self.suspects.clear(message.fingerprint)

    def on_suspects(self, _link, message: messages.Suspects) -> None:
        """Adopt entries of a shard that moved here."""
        expires = self.clock() + suspects.SUSPECT_SECONDS
        for entry in message.entries:
            suspect = suspects.Suspect(
                entry.key, entry.crashes, expires, entry.condemned
            )
            self.suspects.adopt(entry.fingerprint, suspect)

    def on_running(
        self, _link, message: messages.RunningAtCrash
    ) -> messages.RunningRecorded:
        """Record a request that ran on a process when it crashed."""
        plausible = self.crash_records.add(
            message.crash,
            message.fingerprint,
            message.seconds,
            self.clock(),
        )
        return messages.RunningRecorded(plausible)

    def on_record_request(
        self, _link, message: messages.CrashRecordRequest
    ) -> messages.CrashRecordFound:
        """Return the requests that ran on a process when it crashed."""
        found = self.crash_records.get(message.target, message.incarnation)
        if found is None:
            return messages.CrashRecordFound()
        return messages.CrashRecordFound(
            sorted(found.fingerprints), found.cause
        )

    def on_crash_explained(
        self, _link, message: messages.CrashExplained
    ) -> None:
        """Record which request was condemned for a crash."""
        self.crash_records.explain(message.crash, message.fingerprint)

    def on_record_withdrawn(
        self, _link, message: messages.CrashRecordWithdrawn
    ) -> None:
        """Remove the requests that ran on a process that is alive."""
        self.crash_records.discard(message.target, message.incarnation)

    def routers_changed(self) -> None:
        """Copy suspects to their holders by the new list of routers."""
        shards = directory.Shards(self.live)
        entries_by_holder: dict[str, list[messages.SuspectEntry]] = {}
        for fingerprint, suspect in self.suspects.entries.items():
            entry = messages.SuspectEntry(
                suspect.key, fingerprint, suspect.crashes, suspect.condemned
            )
            for holder in shards.holders_of(suspect.key):
                if holder != self.name:
                    entries_by_holder.setdefault(holder, []).append(entry)
        for holder, entries in entries_by_holder.items():
            for first in range(0, len(entries), BATCH_ENTRIES):
                batch = entries[first : first + BATCH_ENTRIES]
                self.mesh.send(holder, messages.Suspects(batch))

    def _is_condemned(self, fingerprint: str) -> bool:
        suspect = self.get(fingerprint)
        return suspect is not None and suspect.condemned
