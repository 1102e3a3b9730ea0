"""Tracks suspects across the fleet: requests that may crash their targets.

The entry of a suspect is stored in the directory shard of its chat, so that
the directory lookup of any router returns it. Each entry has two holders in
each region: it survives the loss of a router, and a retry through any router
is recognised.
"""

import asyncio
import collections
import collections.abc
import time

import logbook

from amaranthring import errors
from amaranthring.core import fleet
from amaranthring.core import logs
from amaranthring.core import metrics as counters
from amaranthring.core import records
from amaranthring.policy import suspects
from amaranthring.routers import admission_messages as messages
from amaranthring.routers import directory

log = logbook.Logger(__name__)

REPORT_TIMEOUT_SECONDS = 0.4
CONFIRM_SECONDS = 0.5
MAX_ISOLATED_RUNS = 20000
BATCH_ENTRIES = 500


class CrashTracker:
    """Shard of suspects of this router, and a client of the other shards.

    Parameters
    ----------
    name : str
        This router.
    mesh : object
        Links to the other routers.
    regions : Regions
        Live routers by region.
    quarantine : callable
        Coroutine function that proposes a fingerprint to the keepers.
    config : callable
        Returns the active configuration revision.
    clock : callable
        Monotonic clock, in seconds.
    wall : callable
        Wall clock, in seconds; expiry times in the revision use it.
    """

    def __init__(
        self,
        name: str,
        mesh,
        regions,
        quarantine: collections.abc.Callable[
            [str], collections.abc.Awaitable[None]
        ],
        config: collections.abc.Callable[[], fleet.FleetConfig],
        metrics: counters.Metrics | None = None,
        clock: collections.abc.Callable[[], float] = time.monotonic,
        wall: collections.abc.Callable[[], float] = time.time,
    ):
        self.name = name
        self.mesh = mesh
        self.regions = regions
        self.quarantine = quarantine
        self.config = config
        self.metrics = metrics or counters.Metrics()
        self.clock = clock
        self.wall_clock = wall
        self.table = suspects.SuspectTable()
        self.recent_deaths = suspects.RecentCrashes()
        self.isolated_runs: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self.tasks: set[asyncio.Task] = set()
        self.confirm_seconds = CONFIRM_SECONDS
        mesh.subscribe(self.routers_changed)

    def add_handlers(self, handlers) -> None:
        """Register this module's message handlers."""
        handlers.add(messages.TargetCrashed, self.on_crashed)
        handlers.add(messages.SuspectCleared, self.on_cleared)
        handlers.add(messages.Suspects, self.on_suspects)

    # -- interface to the request pipeline --

    def is_quarantined(self, body_digest: str) -> bool:
        """Return whether the request is quarantined or condemned."""
        expiry = self.config().quarantined.get(body_digest)
        if expiry is not None and expiry > self.wall_clock():
            return True
        suspect = self.table.get(body_digest, self.clock())
        return suspect is not None and suspect.condemned

    async def report_crash(
        self, request: records.Request, target: records.Target
    ) -> None:
        """Report that `target` died while `request` ran there.

        Never raises: after a lost report the request is not a suspect until
        its next crash.
        """
        apart = self.isolated_runs.pop(request.body_digest, "") == target.name
        if apart:
            # A second crash condemns the request. The loss of a whole rack
            # shows in the table within this time and clears the request.
            await asyncio.sleep(self.confirm_seconds)
        blamed = not self.recent_deaths.correlated(self.clock())
        logs.event(
            log,
            "request.crashed",
            request=request.request_id,
            fingerprint=request.body_digest,
            target=target.name,
            apart=apart,
            blamed=blamed,
        )
        if not blamed:
            self.metrics.count("suspects.many-deaths")
            return
        self.metrics.count("suspects.reported")
        message = messages.TargetCrashed(
            _key(request), request.body_digest, target.name, apart
        )
        condemned = await asyncio.gather(
            *(
                self._report(holder, message)
                for holder in self._holders(message)
            )
        )
        if any(condemned):
            # In its own task: the caller's answer must not wait for keepers
            # without a quorum.
            task = asyncio.ensure_future(
                self._propose_quarantine(message.fingerprint)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    # -- events from the placer --

    def suspect_started(self, request: records.Request, target: str) -> None:
        """Record that `request` runs as a suspect, apart from others."""
        self.isolated_runs[request.body_digest] = target
        if len(self.isolated_runs) > MAX_ISOLATED_RUNS:
            self.isolated_runs.popitem(last=False)

    def suspect_finished(self, request: records.Request) -> None:
        """Clear `request`, which completed without a crash."""
        self.isolated_runs.pop(request.body_digest, None)
        self.metrics.count("suspects.cleared")
        message = messages.SuspectCleared(_key(request), request.body_digest)
        for holder in self._holders(message):
            self.mesh.send(holder, message)

    def target_lost(self, name: str) -> None:
        """Record the loss of target `name`."""
        self.recent_deaths.note(name, self.clock())

    # -- this shard --

    def suspect_of(self, fingerprint: str) -> suspects.Suspect | None:
        """Return the entry of `fingerprint`, or None if not a suspect."""
        return self.table.get(fingerprint, self.clock())

    def on_crashed(
        self, _link, message: messages.TargetCrashed
    ) -> messages.CrashRecorded:
        """Record a crash; reply whether it condemned the request."""
        before = self.suspect_of(message.fingerprint)
        was_condemned = before is not None and before.condemned
        suspect = self.table.record_crash(
            message.key,
            message.fingerprint,
            message.target,
            message.apart,
            self.clock(),
        )
        return messages.CrashRecorded(suspect.condemned and not was_condemned)

    def on_cleared(self, _link, message: messages.SuspectCleared) -> None:
        """Remove a suspect that completed."""
        self.table.clear(message.fingerprint)

    def on_suspects(self, _link, message: messages.Suspects) -> None:
        """Adopt entries of a shard that moved here."""
        expires = self.clock() + suspects.SUSPECT_SECONDS
        for entry in message.entries:
            suspect = suspects.Suspect(
                entry.key, entry.deaths, entry.condemned, expires
            )
            self.table.adopt(entry.fingerprint, suspect)

    def routers_changed(self) -> None:
        """Copy entries to their holders by the new list of routers."""
        shards = directory.Shards(self.regions.own)
        entries_by_holder: dict[str, list[messages.SuspectEntry]] = {}
        for fingerprint, suspect in self.table.entries.items():
            entry = messages.SuspectEntry(
                suspect.key, fingerprint, suspect.deaths, suspect.condemned
            )
            for holder in shards.holders_of(suspect.key):
                if holder != self.name:
                    entries_by_holder.setdefault(holder, []).append(entry)
        for holder, entries in entries_by_holder.items():
            for first in range(0, len(entries), BATCH_ENTRIES):
                batch = entries[first : first + BATCH_ENTRIES]
                self.mesh.send(holder, messages.Suspects(batch))

    # -- internals --

    def _holders(self, message) -> list[str]:
        holders = []
        for live in [self.regions.own(), *self.regions.others()]:
            shards = directory.Shards(lambda live=live: live)
            holders.extend(shards.holders_of(message.key))
        return holders

    async def _report(
        self, holder: str, message: messages.TargetCrashed
    ) -> bool:
        try:
            answer = await self.mesh.call(
                holder, message, REPORT_TIMEOUT_SECONDS
            )
        except errors.AmaranthringError:
            self.metrics.count("suspects.unsent")
            return False
        return answer.condemned

    async def _propose_quarantine(self, fingerprint: str) -> None:
        logs.event(log, "request.condemned", fingerprint=fingerprint)
        self.metrics.count("suspects.condemned")
        try:
            await self.quarantine(fingerprint)
        except errors.AmaranthringError:
            # The shards refuse the request until their entry expires.
            self.metrics.count("suspects.not-proposed")


def _key(request: records.Request) -> str:
    return request.chat or request.body_digest
