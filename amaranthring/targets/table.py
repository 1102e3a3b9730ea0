"""Table of targets with leases: who may be given work, as this router knows.

Every router holds one table. It learns of targets from their own
announcements (:mod:`amaranthring.targets.announce`) and from other routers
(:mod:`amaranthring.routers.spread`). Two kinds of knowledge are merged, both
by rules that do not depend on order, number or lateness of messages:

* the *record* of a target has a version (incarnation, leaving, revision,
  fingerprint) and the highest version wins;
* the *evidence of life* is a point on this router's monotonic clock and the
  latest point wins. No wall clock is compared with another.

A target without evidence for :data:`STALE_SECONDS` gets no new work; one
without evidence for the lease is lost.
"""

import asyncio
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import fleet
from amaranthring.core import logs
from amaranthring.core import metrics as metrics_module
from amaranthring.core import pauses
from amaranthring.core import records
from amaranthring.core import repeating
from amaranthring.policy import flap_damping
from amaranthring.targets import claims
from amaranthring.targets import entries

log = logbook.Logger(__name__)

TARGETS_MOST = 4096
TOMBSTONE_SECONDS = 600.0
STALE_SECONDS = 2.5
STALE_SHARE_OF_LEASE = 5 / 6
EXPIRE_EVERY_SECONDS = 0.5
PAUSE_SECONDS = 1.0
MOVED_SECONDS = 2.5
RENEW_SHARE_OF_LEASE = 1 / 6


class TargetTable:
    """All targets that this router knows.

    Parameters
    ----------
    data_centre : str
        Data centre of this router; targets elsewhere announce themselves
        to routers there.
    config : callable
        Returns the ``fleet.FleetConfig`` in force.
    metrics : Metrics, optional
        Counters.
    clock : callable, optional
        Monotonic seconds.

    Attributes
    ----------
    entries : dict
        Entry by target name, tombstones included.
    by_key : dict
        Entry by its key.
    places : dict
        Entries by name of each data centre.
    digests : dict
        Data centre to the digest of its records.
    beats : set of str
        Targets heard directly since the last batch took them.
    changes : list of callable
        What :meth:`on_change` added.
    renew_in : callable
        Returns after how many seconds a target should renew again; the
        spread sets it so that a renewal comes just before its batch.
    """

    def __init__(
        self,
        data_centre: str,
        config: t.Callable[[], fleet.FleetConfig] = fleet.FleetConfig,
        metrics: metrics_module.Metrics | None = None,
        clock: t.Callable[[], float] = time.monotonic,
    ):
        self.data_centre = data_centre
        self.config = config
        self.metrics = metrics or metrics_module.Metrics()
        self.clock = clock
        self.entries: dict[str, entries.Entry] = {}
        self.by_key: dict[int, entries.Entry] = {}
        self.by_data_centre: dict[str, dict[str, entries.Entry]] = {}
        self.digests: dict[str, int] = {}
        self.heard_directly: set[str] = set()
        self.vouched: dict[str, float] = {}
        self.pauses = pauses.Pauses(clock, PAUSE_SECONDS)
        self.no_expiry_until = 0.0
        self.task: asyncio.Task | None = None
        self._callbacks: list[t.Callable[[str], None]] = []
        self.change_callbacks: list[t.Callable[[entries.Entry], None]] = []
        self._wakes: list[t.Callable[[], None]] = []
        self._moves: list[t.Callable[[str], None]] = []
        self.renew_in: t.Callable[[], float] = self._renew_in
        self._lost: dict[str, asyncio.Future] = {}

    # -- what the request's way and the admission owners ask ----------------

    def eligible(
        self, kind: records.TargetKind, serves: str
    ) -> list[records.Target]:
        """Return targets that may be given new work, in order of name.

        Targets held back by flap damping are returned only if there is no
        other: a slow start is better than no answer.
        """
        now = self.clock()
        drained = self.config().drained
        ready = []
        damped = []
        for name in sorted(self.entries):
            entry = self.entries[name]
            target = entry.target
            if target.kind != kind or serves not in target.serves:
                continue
            if name in drained or not self._may_work(entry, now):
                continue
            (ready if entry.ready_at <= now else damped).append(target)
        return ready or damped

    def get(self, name: str) -> records.Target | None:
        """Return target `name` unless it is unknown or lost."""
        entry = self.entries.get(name)
        return None if entry is None or entry.lost else entry.target

    def report(self, name: str) -> records.Report | None:
        """Return the last report of target `name`, if any."""
        entry = self.entries.get(name)
        return None if entry is None or entry.lost else entry.report

    def state(self, name: str) -> records.TargetState:
        """Return what may be done with target `name`."""
        entry = self.entries.get(name)
        now = self.clock()
        if entry is None or entry.lost:
            return records.TargetState.LOST
        if entry.version.leaving:
            return records.TargetState.LEAVING
        if self._may_work(entry, now) and entry.ready_at <= now:
            return records.TargetState.READY
        return records.TargetState.SUSPENDED

    def targets(self) -> list[records.Target]:
        """Return every target that is not lost, in order of name."""
        names = sorted(self.entries)
        found = [self.entries[name] for name in names]
        return [entry.target for entry in found if not entry.lost]

    def when_lost(self, name: str) -> asyncio.Future:
        """Return a future that resolves when `name` is given up.

        It belongs to the incarnation known now and resolves also when a
        newer one takes its place. Shared by its waiters: await it through
        ``asyncio.wait`` or ``asyncio.shield``.
        """
        entry = self.entries.get(name)
        future = self._lost.get(name)
        if future is None or future.done():
            future = asyncio.get_running_loop().create_future()
            if entry is None or entry.lost:
                future.set_result(name)
                return future
            self._lost[name] = future
        return future

    def subscribe(self, callback: t.Callable[[str], None]) -> None:
        """Call `callback(name)` when the state of a target changes."""
        self._callbacks.append(callback)

    def on_change(self, callback: t.Callable[[entries.Entry], None]) -> None:
        """Call `callback(entry)` when a record gets a higher version."""
        self.change_callbacks.append(callback)

    def on_move(self, callback: t.Callable[[str], None]) -> None:
        """Call `callback(name)` when a target begins to renew here."""
        self._moves.append(callback)

    def on_resume(self, callback: t.Callable[[], None]) -> None:
        """Call `callback()` after this process itself stood still."""
        self._wakes.append(callback)

    # -- what targets say ----------------------------------------------------

    def announce(self, target: records.Target, sequence: int = 0) -> None:
        """Take a target's announcement of itself.

        Raises
        ------
        errors.StaleIncarnationError, errors.NameTakenError,
        errors.AddressTakenError, errors.ReplayedError,
        errors.TableFullError, errors.BadRequestError
            If the announcement contradicts what is known; nothing changes.
        """
        heard = self.pauses.arrived()
        self._check_claims(target, sequence)
        entry = self.entries.get(target.name)
        revision = 1
        if entry and entry.target.incarnation == target.incarnation:
            same = entry.target == target and not entry.lost
            revision = entry.version.revision + (0 if same else 1)
        made = entries.Record(target, revision, False, spoken=sequence)
        self.merge_record(made, heard)
        self._spoke(self.entries[target.name], heard)

    def renew(self, name: str, incarnation: int, sequence: int = 0) -> None:
        """Take a target's word that it lives.

        Raises
        ------
        errors.NotFoundError
            If it is unknown or lost here and must announce itself.
        errors.StaleIncarnationError, errors.ReplayedError
            If a newer incarnation, or a later message, is known.
        """
        entry = self._known(name, incarnation)
        claims.check_sequence(entry, incarnation, sequence)
        entry.last_sequence = sequence
        self._spoke(entry, self.pauses.arrived())

    def update_report(self, report: records.Report) -> None:
        """Take a target's report of its load, which also renews its lease.

        A report that came late or again, by its sequence, changes nothing.

        Raises
        ------
        errors.NotFoundError, errors.StaleIncarnationError
            As :meth:`renew`.
        """
        entry = self._known(report.target, report.incarnation)
        last = entry.report
        if last is not None and report.sequence <= last.sequence:
            self.metrics.count("targets.reports_late")
            return
        entry.report = report
        self._spoke(entry, self.pauses.arrived())

    def leave(self, name: str, incarnation: int, sequence: int = 0) -> None:
        """Take a target's word that it goes: no new work from now on.

        Leaving is final for the incarnation, so a leave that comes again
        or late harms nothing: it cannot touch a later incarnation. For
        that reason its sequence is not checked; a lost answer may be
        followed by the same leave again.

        Raises
        ------
        errors.NotFoundError, errors.StaleIncarnationError
            As :meth:`renew`.
        """
        entry = self._known(name, incarnation)
        spoken = max(sequence, entry.last_sequence)
        revision = entry.version.revision
        made = entries.Record(entry.target, revision, True, spoken=spoken)
        heard = self.pauses.arrived()
        self.merge_record(made, heard)
        self._spoke(entry, heard)

    # -- what other routers say ----------------------------------------------

    def merge_record(self, record: entries.Record, heard: float) -> bool:
        """Merge `record` with evidence of life at `heard`; True if newer."""
        name = record.target.name
        version = record.version
        entry = self.entries.get(name)
        if entry is not None and version <= entry.version:
            if version.incarnation == entry.version.incarnation:
                entry.last_sequence = max(entry.last_sequence, record.spoken)
                self._evidence(entry, heard)
            return False
        now = self.clock()
        if now - heard > TOMBSTONE_SECONDS or not self._room(name):
            return False
        if entry is None or entry.version.incarnation < version.incarnation:
            entry = self._replace(entry, record, heard)
        else:
            self._toggle(entry)
            entry.target = record.target
            entry.version = version
            self._toggle(entry)
        if version.leaving:
            entry.left_at = heard
            logs.event(log, "target.leaving", name=name)
        entry.last_sequence = max(entry.last_sequence, record.spoken)
        self._evidence(entry, heard)
        for callback in self.change_callbacks:
            callback(entry)
        self._tell(name)
        return True

    def merge_heartbeat(
        self,
        name: str,
        incarnation: int,
        heard: float,
        spoken: int = 0,
        report: records.Report | None = None,
    ) -> bool:
        """Merge evidence of life; False if the target is not known."""
        entry = self.entries.get(name)
        if entry is None or entry.target.incarnation < incarnation:
            return False
        if entry.target.incarnation > incarnation:
            return True
        entry.last_sequence = max(entry.last_sequence, spoken)
        last = entry.report
        if report and (last is None or report.sequence > last.sequence):
            entry.report = report
        self._evidence(entry, heard)
        return True

    def vouch(
        self, data_centre: str, heard: float, stale: t.Collection[str]
    ) -> None:
        """Take another data centre's word for all of its targets.

        Parameters
        ----------
        heard : float
            When its relay said so, on this router's clock.
        stale : collection of str
            Targets that the relay itself has not heard for a while.
        """
        at = max(heard, self.vouched.get(data_centre, 0.0))
        self.vouched[data_centre] = at
        for entry in self.entries_in(data_centre):
            # Written out: it is done for every target, several times a
            # second.
            if entry.lost or entry.target.name in stale:
                continue
            entry.heard_at = max(entry.heard_at, heard)

    def entries_in(self, data_centre: str) -> list[entries.Entry]:
        """Return entries of `data_centre`, tombstones included."""
        return list(self.by_data_centre.get(data_centre, {}).values())

    # -- passing of time ---------------------------------------------------

    def expire(self) -> None:
        """Give up targets whose lease ran out, and old tombstones."""
        now = self.clock()
        lease = self.config().preset.lease_seconds
        self._notice_pause(lease)
        silent = now - lease
        for entry in list(self.entries.values()):
            if entry.heard_at >= silent:
                continue
            if entry.lost:
                if now - entry.heard_at > TOMBSTONE_SECONDS:
                    self._drop(entry)
            elif now >= self.no_expiry_until and self._ran_out(entry, now):
                self._lose(entry, now)

    def start(self) -> None:
        """Start the task that watches the leases."""
        self.task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """End the task."""
        if self.task:
            self.task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_EVERY_SECONDS)
            repeating.guarded(self.expire, "targets.ticks", self.metrics)

    # -- inside -------------------------------------------------------------

    def stale_seconds(self) -> float:
        """Return the age of evidence from which on no new work is given."""
        lease = self.config().preset.lease_seconds
        return min(STALE_SECONDS, lease * STALE_SHARE_OF_LEASE)

    def _may_work(self, entry: entries.Entry, now: float) -> bool:
        if entry.lost or entry.version.leaving:
            return False
        return now - entry.heard_at <= self.stale_seconds()

    def _ran_out(self, entry: entries.Entry, now: float) -> bool:
        preset = self.config().preset
        lease = entry.lease(preset.lease_seconds, preset.drain_seconds)
        place = entry.target.data_centre
        if place != self.data_centre:
            # A data centre that is cut off from here cannot vouch for its
            # targets; they are stale, but they are not given up.
            now = min(now, self.vouched.get(place, 0.0))
        return now - entry.heard_at > lease

    def _notice_pause(self, lease: float) -> None:
        """Keep the table if this very process stood still.

        After a freeze every lease seems to have run out, though the
        targets went on renewing at other routers: without this guard the
        router would give up all of them on waking. No target is lost before
        it had one more lease to be heard. Meanwhile stale ones get no new
        work, for they may have left during the freeze.
        """
        if not self.pauses.notice():
            return
        self.no_expiry_until = self.pauses.woke_at + lease
        self.metrics.count("targets.own_pauses")
        seconds = round(self.pauses.woke_at - self.pauses.began_at, 1)
        logs.event(log, "router.paused", seconds=seconds)
        for callback in self._wakes:
            callback()

    def _known(self, name: str, incarnation: int) -> entries.Entry:
        entry = self.entries.get(name)
        if entry is not None and incarnation < entry.target.incarnation:
            raise errors.StaleIncarnationError(
                f"target {name} has started again since",
                given=incarnation,
                expected=entry.target.incarnation,
            )
        newer = entry is None or incarnation > entry.target.incarnation
        if newer or (entry.lost and not entry.version.leaving):
            raise errors.NotFoundError(
                "target is not known here",
                given=f"{name} incarnation {incarnation}",
                expected="an announcement first",
            )
        return entry

    def _check_claims(self, target: records.Target, sequence: int) -> None:
        if target.data_centre != self.data_centre:
            raise errors.BadRequestError(
                "target announced to another data centre's router",
                given=target.data_centre,
                expected=self.data_centre,
            )
        now = self.clock()
        entry = self.entries.get(target.name)
        if entry is not None:
            lives = self._may_work(entry, now)
            claims.check_incarnation(entry, target, lives)
            claims.check_sequence(entry, target.incarnation, sequence)
        live = [e for e in self.entries.values() if self._may_work(e, now)]
        claims.check_address(target, live)
        if not self._room(target.name):
            raise errors.TableFullError(
                "table of targets is full",
                given=len(self.entries),
                expected=f"fewer than {TARGETS_MOST}",
            )

    def _room(self, name: str) -> bool:
        if name in self.entries or len(self.entries) < TARGETS_MOST:
            return True
        self.metrics.count("targets.table_full")
        return False

    def _replace(self, old, record, heard) -> entries.Entry:
        now = self.clock()
        name = record.target.name
        entry = entries.Entry(record.target, record.version, heard)
        if old is not None:
            self._drop(old)
            self._toggle(old)
            if not old.lost:
                self._departed(old, now)
            entry.history = old.history
            entry.ready_at = now + flap_damping.readmission_delay(
                entry.history, now
            )
        if record.leaving:
            entry.left_at = heard
        # A record whose evidence is already old comes from another router's
        # memory of a lost target: it is kept as a tombstone only.
        entry.lost = self._ran_out(entry, now)
        self.entries[name] = entry
        self.by_data_centre.setdefault(record.target.data_centre, {})[name] = (
            entry
        )
        self.by_key[entries.target_key(record.target)] = entry
        self._toggle(entry)
        incarnation = record.target.incarnation
        logs.event(log, "target.known", name=name, incarnation=incarnation)
        return entry

    def _renew_in(self) -> float:
        return self.config().preset.lease_seconds * RENEW_SHARE_OF_LEASE

    def _spoke(self, entry: entries.Entry, heard: float) -> None:
        """Note that a target itself spoke to this router."""
        name = entry.target.name
        self._evidence(entry, heard)
        self.heard_directly.add(name)
        moved = heard - entry.heard_here_at > MOVED_SECONDS
        entry.heard_here_at = max(entry.heard_here_at, heard)
        if moved:
            for callback in self._moves:
                callback(name)

    def _drop(self, entry: entries.Entry) -> None:
        target = entry.target
        del self.entries[target.name]
        del self.by_data_centre[target.data_centre][target.name]
        del self.by_key[entries.target_key(target)]

    def _evidence(self, entry: entries.Entry, heard: float) -> None:
        now = self.clock()
        heard = min(heard, now)
        entry.heard_at = max(entry.heard_at, heard)
        if entry.lost and not self._ran_out(entry, now):
            entry.lost = False
            self._toggle(entry)
            entry.ready_at = now + flap_damping.readmission_delay(
                entry.history, now
            )
            self.metrics.count("targets.returned")
            logs.event(log, "target.returned", name=entry.target.name)
            self._tell(entry.target.name)

    def _lose(self, entry: entries.Entry, now: float) -> None:
        self._toggle(entry)
        entry.lost = True
        self.metrics.count("targets.lost")
        logs.event(log, "target.lost", name=entry.target.name)
        self._departed(entry, now)
        self._tell(entry.target.name)

    def _departed(self, entry: entries.Entry, now: float) -> None:
        orderly = entry.version.leaving
        entry.history = flap_damping.record_departure(
            entry.history, now, orderly
        )
        future = self._lost.pop(entry.target.name, None)
        if future is not None and not future.done():
            future.set_result(entry.target.name)

    def _toggle(self, entry: entries.Entry) -> None:
        """Take the entry's mark into its digest, or out of it."""
        place = entry.target.data_centre
        self.digests[place] = self.digests.get(place, 0) ^ entry.digest_part

    def _tell(self, name: str) -> None:
        for callback in self._callbacks:
            callback(name)
