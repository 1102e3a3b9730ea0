"""Suspects over the whole fleet: requests that may crash their targets.

What is held against a request lies on the shard of its chat, beside the
chat's remembered place, so that every router finds it with the lookup that
it makes anyway. Each entry has two holders in each region: a caller that
sends again through any router, after the loss of any one, is recognised.
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

REPORT_SECONDS = 0.4
CONFIRM_SECONDS = 0.5
APART_MOST = 20000
BATCH_ENTRIES = 500


class CrashTracker:
    """The shard of suspects of this router, and its way to the others.

    Parameters
    ----------
    name : str
        This router.
    mesh : object
        Links to the other routers.
    regions : Regions
        Live routers by region.
    quarantine : callable
        Awaitable; proposes a fingerprint to the keepers.
    config : callable
        Returns the revision in force.
    clock : callable
        Seconds on a monotonic clock.
    wall : callable
        Seconds of wall time, as expiries in the revision are.
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
        self.wall = wall
        self.table = suspects.SuspectTable()
        self.recent_deaths = suspects.RecentCrashes()
        self.apart: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self.tasks: set[asyncio.Task] = set()
        self.confirm_seconds = CONFIRM_SECONDS
        mesh.subscribe(self.routers_changed)

    def add_handlers(self, handlers) -> None:
        """Answer this module's messages from `handlers`."""
        handlers.add(messages.TargetCrashed, self.on_crashed)
        handlers.add(messages.SuspectCleared, self.on_cleared)
        handlers.add(messages.Suspects, self.on_suspects)

    # -- the contract with the way --

    def is_quarantined(self, body_digest: str) -> bool:
        """Return whether the request is refused everywhere."""
        expiry = self.config().quarantined.get(body_digest)
        if expiry is not None and expiry > self.wall():
            return True
        held = self.table.get(body_digest, self.clock())
        return held is not None and held.condemned

    async def report_crash(
        self, request: records.Request, target: records.Target
    ) -> None:
        """Note that `target` died while `request` ran there.

        Never raises: a lost report leaves the request unsuspected, and its
        next run tells again.
        """
        apart = self.apart.pop(request.body_digest, "") == target.name
        if apart:
            # A second death condemns. A rack that goes shows in the table
            # within this time, and then nobody is to blame.
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
        noted = await asyncio.gather(
            *(self._report(holder, message) for holder in self._all(message))
        )
        if any(noted):
            # In a task of its own: without a quorum the keepers take long,
            # and the caller's final answer must not wait for them.
            task = asyncio.ensure_future(self._condemn(message.fingerprint))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    # -- what the placer tells --

    def began(self, request: records.Request, target: str) -> None:
        """Note that `request` runs as a suspect, apart from others."""
        self.apart[request.body_digest] = target
        if len(self.apart) > APART_MOST:
            self.apart.popitem(last=False)

    def ended(self, request: records.Request) -> None:
        """Clear `request`: its run ended and its target lives."""
        self.apart.pop(request.body_digest, None)
        self.metrics.count("suspects.cleared")
        message = messages.SuspectCleared(_key(request), request.body_digest)
        for holder in self._all(message):
            self.mesh.send(holder, message)

    def target_lost(self, name: str) -> None:
        """Note the death of target `name`, as the table tells it."""
        self.recent_deaths.note(name, self.clock())

    # -- this shard --

    def of(self, fingerprint: str) -> suspects.Suspect | None:
        """Return what is held against `fingerprint`, if anything."""
        return self.table.get(fingerprint, self.clock())

    def on_crashed(
        self, _link, message: messages.TargetCrashed
    ) -> messages.CrashRecorded:
        """Note a death; answer whether it condemned the request."""
        before = self.of(message.fingerprint)
        already = before is not None and before.condemned
        suspect = self.table.record_crash(
            message.key,
            message.fingerprint,
            message.target,
            message.apart,
            self.clock(),
        )
        return messages.CrashRecorded(suspect.condemned and not already)

    def on_cleared(self, _link, message: messages.SuspectCleared) -> None:
        """Forget a suspect that ran to its end."""
        self.table.clear(message.fingerprint)

    def on_suspects(self, _link, message: messages.Suspects) -> None:
        """Take over entries of a shard that moved."""
        expires = self.clock() + suspects.SUSPECT_SECONDS
        for entry in message.entries:
            suspect = suspects.Suspect(
                entry.key, entry.deaths, entry.condemned, expires
            )
            self.table.adopt(entry.fingerprint, suspect)

    def routers_changed(self) -> None:
        """Copy entries to where the new list of routers has them."""
        shards = directory.Shards(self.regions.own)
        moved: dict[str, list[messages.SuspectEntry]] = {}
        for fingerprint, suspect in self.table.entries.items():
            entry = messages.SuspectEntry(
                suspect.key, fingerprint, suspect.deaths, suspect.condemned
            )
            for holder in shards.holders_of(suspect.key):
                if holder != self.name:
                    moved.setdefault(holder, []).append(entry)
        for holder, entries in moved.items():
            for first in range(0, len(entries), BATCH_ENTRIES):
                batch = entries[first : first + BATCH_ENTRIES]
                self.mesh.send(holder, messages.Suspects(batch))

    # -- inside --

    def _all(self, message) -> list[str]:
        found = []
        for live in [self.regions.own(), *self.regions.others()]:
            shards = directory.Shards(lambda live=live: live)
            found.extend(shards.holders_of(message.key))
        return found

    async def _report(
        self, holder: str, message: messages.TargetCrashed
    ) -> bool:
        try:
            answer = await self.mesh.call(holder, message, REPORT_SECONDS)
        except errors.AmaranthringError:
            self.metrics.count("suspects.unsent")
            return False
        return answer.condemned

    async def _condemn(self, fingerprint: str) -> None:
        logs.event(log, "request.condemned", fingerprint=fingerprint)
        self.metrics.count("suspects.condemned")
        try:
            await self.quarantine(fingerprint)
        except errors.AmaranthringError:
            # Without a quorum the shards go on refusing it until their
            # entry expires.
            self.metrics.count("suspects.not-proposed")


def _key(request: records.Request) -> str:
    return request.chat or request.body_digest
