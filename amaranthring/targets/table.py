"""Table of targets with leases: which targets this router may give work.

Every router holds one table. It learns of targets from their own announcements
(:mod:`amaranthring.targets.announce`) and from other routers
(:mod:`amaranthring.routers.target_sync`). Two kinds of data are merged, both
by rules that do not depend on the order, number or delay of messages:

* the *record* of a target has a version (incarnation, leaving, revision,
  fingerprint) and the highest version wins;
* the *evidence of life* is a point on this router's monotonic clock and the
  latest point wins. Wall clocks are never compared.

A target without evidence for :data:`STALE_SECONDS` gets no new work; one
without evidence for the lease is lost.
"""

import asyncio
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import background
from amaranthring.core import fleet
from amaranthring.core import logs
from amaranthring.core import metrics as metrics_module
from amaranthring.core import pauses
from amaranthring.core import periodic
from amaranthring.core import records
from amaranthring.policy import flap_damping
from amaranthring.targets import claims
from amaranthring.targets import entries

log = logbook.Logger(__name__)

TARGETS_MOST = 4096
TOMBSTONE_SECONDS = 600.0
STALE_SECONDS = 2.5
STALE_SHARE_OF_LEASE = 5 / 6
EXPIRY_INTERVAL_SECONDS = 0.5
MIN_PAUSE_SECONDS = 1.0
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
    by_data_centre : dict
        Entries by name, for each data centre.
    digests : dict
        Digest of the records of each data centre.
    heard_directly : set of str
        Targets that sent this router a message since its last batch.
    vouched : dict
        When each other data centre last vouched for its targets.
    change_callbacks : list of callable
        Added by :meth:`on_change`.
    renew_in : callable
        Returns after how many seconds a target should renew again; the target
        sync sets it so that a renewal arrives just before its batch.
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
        self.pauses = pauses.PauseDetector(clock, MIN_PAUSE_SECONDS)
        self.no_expiry_until = 0.0
        self.task: asyncio.Task | None = None
        self._state_callbacks: list[t.Callable[[str], None]] = []
        self.change_callbacks: list[t.Callable[[entries.Entry], None]] = []
        self._resume_callbacks: list[t.Callable[[], None]] = []
        self._move_callbacks: list[t.Callable[[str], None]] = []
        self.renew_in: t.Callable[[], float] = self._renew_in
        self._loss_futures: dict[str, asyncio.Future] = {}

    # -- queries of request handling and admission owners --------------------

    def eligible(
        self, kind: records.TargetKind, serves: str
    ) -> list[records.Target]:
        """Return targets that may be given new work, ordered by name.

        Targets held back by flap damping are returned only if there is no
        other: a slow start is better than no answer.
        """
        now = self.clock()
        drained = self.config().drained
        ready = []
        held_back = []
        for name in sorted(self.entries):
            entry = self.entries[name]
            target = entry.target
            if target.kind != kind or serves not in target.serves:
                continue
            if name in drained or not self._accepts_work(entry, now):
                continue
            (ready if entry.ready_at <= now else held_back).append(target)
        return ready or held_back

    def get(self, name: str) -> records.Target | None:
        """Return target `name` unless it is unknown or lost."""
        entry = self.entries.get(name)
        return None if entry is None or entry.lost else entry.target

    def report(self, name: str) -> records.LoadReport | None:
        """Return the last load report of target `name`, if any."""
        entry = self.entries.get(name)
        return None if entry is None or entry.lost else entry.report

    def state(self, name: str) -> records.TargetState:
        """Return the state of target `name`."""
        entry = self.entries.get(name)
        now = self.clock()
        if entry is None or entry.lost:
            return records.TargetState.LOST
        if entry.version.leaving:
            return records.TargetState.LEAVING
        if self._accepts_work(entry, now) and entry.ready_at <= now:
            return records.TargetState.READY
        return records.TargetState.SUSPENDED

    def targets(self) -> list[records.Target]:
        """Return every target that is not lost, ordered by name."""
        names = sorted(self.entries)
        found = [self.entries[name] for name in names]
        return [entry.target for entry in found if not entry.lost]

    def when_lost(self, name: str) -> asyncio.Future:
        """Return a future that resolves when `name` is lost.

        It belongs to the incarnation known now and also resolves when a newer
        one replaces it. Waiters share it: await it through ``asyncio.wait`` or
        ``asyncio.shield``.
        """
        entry = self.entries.get(name)
        future = self._loss_futures.get(name)
        if future is None or future.done():
            future = asyncio.get_running_loop().create_future()
            if entry is None or entry.lost:
                future.set_result(name)
                return future
            self._loss_futures[name] = future
        return future

    def subscribe(self, callback: t.Callable[[str], None]) -> None:
        """Call `callback(name)` when the state of a target changes."""
        self._state_callbacks.append(callback)

    def on_change(self, callback: t.Callable[[entries.Entry], None]) -> None:
        """Call `callback(entry)` when a record gets a higher version."""
        self.change_callbacks.append(callback)

    def on_move(self, callback: t.Callable[[str], None]) -> None:
        """Call `callback(name)` when a target starts to renew here."""
        self._move_callbacks.append(callback)

    def on_resume(self, callback: t.Callable[[], None]) -> None:
        """Call `callback()` after this process was paused."""
        self._resume_callbacks.append(callback)

    # -- messages from targets -----------------------------------------------

    def announce(self, target: records.Target, sequence: int = 0) -> None:
        """Process a target's announcement of itself.

        Raises
        ------
        errors.StaleIncarnationError, errors.NameTakenError,
        errors.AddressTakenError, errors.ReplayedError,
        errors.TableFullError, errors.BadRequestError
            If the announcement contradicts what is known; nothing changes.
        """
        heard_at = self.pauses.trusted_arrival()
        self._check_claims(target, sequence)
        entry = self.entries.get(target.name)
        revision = 1
        if entry and entry.target.incarnation == target.incarnation:
            same = entry.target == target and not entry.lost
            revision = entry.version.revision + (0 if same else 1)
        record = entries.Record(target, revision, False, spoken=sequence)
        self.merge_record(record, heard_at)
        self._record_message(self.entries[target.name], heard_at)

    def renew(self, name: str, incarnation: int, sequence: int = 0) -> None:
        """Renew a target's lease.

        Raises
        ------
        errors.NotFoundError
            If it is unknown or lost here and must announce itself.
        errors.StaleIncarnationError, errors.ReplayedError
            If a newer incarnation, or a later message, is known.
        """
        entry = self._known_entry(name, incarnation)
        claims.check_sequence(entry, incarnation, sequence)
        entry.last_sequence = sequence
        self._record_message(entry, self.pauses.trusted_arrival())

    def update_report(self, report: records.LoadReport) -> None:
        """Store a target's load report, which also renews its lease.

        A report that is late or repeated, by its sequence, changes nothing.

        Raises
        ------
        errors.NotFoundError, errors.StaleIncarnationError
            As :meth:`renew`.
        """
        entry = self._known_entry(report.target, report.incarnation)
        last = entry.report
        if last is not None and report.sequence <= last.sequence:
            self.metrics.count("targets.reports_late")
            return
        entry.report = report
        self._record_message(entry, self.pauses.trusted_arrival())

    def leave(self, name: str, incarnation: int, sequence: int = 0) -> None:
        """Process a target's leave: it gets no new work from now on.

        Leaving is final for the incarnation and cannot affect a later one, so
        a late or repeated leave is harmless. Its sequence is not checked, as a
        target repeats its leave when the answer was lost.

        Raises
        ------
        errors.NotFoundError, errors.StaleIncarnationError
            As :meth:`renew`.
        """
        entry = self._known_entry(name, incarnation)
        last_sequence = max(sequence, entry.last_sequence)
        revision = entry.version.revision
        record = entries.Record(
            entry.target, revision, True, spoken=last_sequence
        )
        heard_at = self.pauses.trusted_arrival()
        self.merge_record(record, heard_at)
        self._record_message(entry, heard_at)

    def mark_leaving(self, name: str, incarnation: int) -> None:
        """Process the word of a target, in an answer, that it leaves."""
        entry = self.entries.get(name)
        if entry is None or entry.target.incarnation != incarnation:
            return
        record = entries.Record(
            entry.target,
            entry.version.revision,
            True,
            spoken=entry.last_sequence,
        )
        self.merge_record(record, self.pauses.trusted_arrival())

    # -- messages from other routers -----------------------------------------

    def merge_record(self, record: entries.Record, heard_at: float) -> bool:
        """Merge `record` and its evidence of life; True if it is newer."""
        name = record.target.name
        version = record.version
        entry = self.entries.get(name)
        if entry is not None and version <= entry.version:
            if version.incarnation == entry.version.incarnation:
                entry.last_sequence = max(entry.last_sequence, record.spoken)
                self._record_evidence(entry, heard_at)
            return False
        now = self.clock()
        if now - heard_at > TOMBSTONE_SECONDS or not self._has_room(name):
            return False
        if entry is None or entry.version.incarnation < version.incarnation:
            entry = self._replace(entry, record, heard_at)
        else:
            self._toggle_digest(entry)
            entry.target = record.target
            entry.version = version
            self._toggle_digest(entry)
        if version.leaving:
            entry.left_at = heard_at
            logs.event(log, "target.leaving", name=name)
        entry.last_sequence = max(entry.last_sequence, record.spoken)
        self._record_evidence(entry, heard_at)
        for callback in self.change_callbacks:
            callback(entry)
        self._notify(name)
        return True

    def merge_heartbeat(
        self,
        name: str,
        incarnation: int,
        heard_at: float,
        spoken: int = 0,
        report: records.LoadReport | None = None,
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
        self._record_evidence(entry, heard_at)
        return True

    def vouch(
        self, data_centre: str, heard_at: float, stale: t.Collection[str]
    ) -> None:
        """Merge another data centre's evidence for all of its targets.

        Parameters
        ----------
        heard_at : float
            When its relay sent the evidence, on this router's clock.
        stale : collection of str
            Targets that the relay itself has not heard from for a while.
        """
        vouched_at = max(heard_at, self.vouched.get(data_centre, 0.0))
        self.vouched[data_centre] = vouched_at
        for entry in self.entries_in(data_centre):
            # Inlined, as it runs for every target several times a second.
            if entry.lost or entry.target.name in stale:
                continue
            entry.heard_at = max(entry.heard_at, heard_at)

    def entries_in(self, data_centre: str) -> list[entries.Entry]:
        """Return the entries of `data_centre`, tombstones included."""
        return list(self.by_data_centre.get(data_centre, {}).values())

    # -- expiry --------------------------------------------------------------

    def expire(self) -> None:
        """Mark targets with expired leases as lost; remove old tombstones."""
        now = self.clock()
        lease = self.config().preset.lease_seconds
        self._handle_pause(lease)
        oldest = now - lease
        for entry in list(self.entries.values()):
            if entry.heard_at >= oldest:
                continue
            if entry.lost:
                if now - entry.heard_at > TOMBSTONE_SECONDS:
                    self._remove(entry)
            elif now >= self.no_expiry_until and self._is_expired(entry, now):
                self._mark_lost(entry, now)

    def start(self) -> None:
        """Start the task that expires leases."""
        self.task = background.keep_running("targets", self._run)

    def stop(self) -> None:
        """Cancel the task."""
        if self.task:
            self.task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
            periodic.run_step(self.expire, "targets.ticks", self.metrics)

    # -- internals ----------------------------------------------------------

    def stale_seconds(self) -> float:
        """Return the age of evidence after which a target gets no new work."""
        lease = self.config().preset.lease_seconds
        return min(STALE_SECONDS, lease * STALE_SHARE_OF_LEASE)

    def _accepts_work(self, entry: entries.Entry, now: float) -> bool:
        if entry.lost or entry.version.leaving:
            return False
        return now - entry.heard_at <= self.stale_seconds()

    def _is_expired(self, entry: entries.Entry, now: float) -> bool:
        preset = self.config().preset
        lease = entry.lease(preset.lease_seconds, preset.drain_seconds)
        data_centre = entry.target.data_centre
        if data_centre != self.data_centre:
            # A partitioned data centre cannot vouch for its targets; they
            # become stale but are not lost.
            now = min(now, self.vouched.get(data_centre, 0.0))
        return now - entry.heard_at > lease

    def _handle_pause(self, lease: float) -> None:
        """Suspend expiry if this process itself was paused.

        After a pause every lease seems to have expired, though the targets
        kept renewing at other routers. No target is lost before it has had
        another lease to be heard from. Until then stale targets get no new
        work, as they may have left during the pause.
        """
        if not self.pauses.check():
            return
        self.no_expiry_until = self.pauses.resumed_at + lease
        self.metrics.count("targets.own_pauses")
        seconds = round(self.pauses.resumed_at - self.pauses.paused_at, 1)
        logs.event(log, "router.paused", seconds=seconds)
        for callback in self._resume_callbacks:
            callback()

    def _known_entry(self, name: str, incarnation: int) -> entries.Entry:
        entry = self.entries.get(name)
        if entry is not None and incarnation < entry.target.incarnation:
            raise errors.StaleIncarnationError(
                f"target {name} has restarted since",
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
                "target announced itself to a router of another data centre",
                given=target.data_centre,
                expected=self.data_centre,
            )
        now = self.clock()
        entry = self.entries.get(target.name)
        if entry is not None:
            alive = self._accepts_work(entry, now)
            claims.check_incarnation(entry, target, alive)
            claims.check_sequence(entry, target.incarnation, sequence)
        live = [e for e in self.entries.values() if self._accepts_work(e, now)]
        claims.check_address(target, live)
        if not self._has_room(target.name):
            raise errors.TableFullError(
                "table of targets is full",
                given=len(self.entries),
                expected=f"fewer than {TARGETS_MOST}",
            )

    def _has_room(self, name: str) -> bool:
        if name in self.entries or len(self.entries) < TARGETS_MOST:
            return True
        self.metrics.count("targets.table_full")
        return False

    def _replace(self, previous, record, heard_at) -> entries.Entry:
        now = self.clock()
        name = record.target.name
        entry = entries.Entry(record.target, record.version, heard_at)
        if previous is not None:
            self._remove(previous)
            self._toggle_digest(previous)
            if not previous.lost:
                self._record_departure(previous, now)
            entry.history = previous.history
            entry.ready_at = now + flap_damping.readmission_delay(
                entry.history, now
            )
        if record.leaving:
            entry.left_at = heard_at
        # A record with expired evidence describes a lost target that another
        # router remembers: it is kept only as a tombstone.
        entry.lost = self._is_expired(entry, now)
        self.entries[name] = entry
        self.by_data_centre.setdefault(record.target.data_centre, {})[name] = (
            entry
        )
        self.by_key[entries.target_key(record.target)] = entry
        self._toggle_digest(entry)
        incarnation = record.target.incarnation
        logs.event(log, "target.known", name=name, incarnation=incarnation)
        return entry

    def _renew_in(self) -> float:
        return self.config().preset.lease_seconds * RENEW_SHARE_OF_LEASE

    def _record_message(self, entry: entries.Entry, heard_at: float) -> None:
        """Record a message from the target itself to this router."""
        name = entry.target.name
        self._record_evidence(entry, heard_at)
        self.heard_directly.add(name)
        moved = heard_at - entry.heard_here_at > MOVED_SECONDS
        entry.heard_here_at = max(entry.heard_here_at, heard_at)
        if moved:
            for callback in self._move_callbacks:
                callback(name)

    def _remove(self, entry: entries.Entry) -> None:
        target = entry.target
        del self.entries[target.name]
        del self.by_data_centre[target.data_centre][target.name]
        del self.by_key[entries.target_key(target)]

    def _record_evidence(self, entry: entries.Entry, heard_at: float) -> None:
        now = self.clock()
        heard_at = min(heard_at, now)
        entry.heard_at = max(entry.heard_at, heard_at)
        if entry.lost and not self._is_expired(entry, now):
            entry.lost = False
            self._toggle_digest(entry)
            entry.ready_at = now + flap_damping.readmission_delay(
                entry.history, now
            )
            self.metrics.count("targets.returned")
            logs.event(log, "target.returned", name=entry.target.name)
            self._notify(entry.target.name)

    def _mark_lost(self, entry: entries.Entry, now: float) -> None:
        self._toggle_digest(entry)
        entry.lost = True
        self.metrics.count("targets.lost")
        logs.event(log, "target.lost", name=entry.target.name)
        self._record_departure(entry, now)
        self._notify(entry.target.name)

    def _record_departure(self, entry: entries.Entry, now: float) -> None:
        orderly = entry.version.leaving
        entry.history = flap_damping.record_departure(
            entry.history, now, orderly
        )
        future = self._loss_futures.pop(entry.target.name, None)
        if future is not None and not future.done():
            future.set_result(entry.target.name)

    def _toggle_digest(self, entry: entries.Entry) -> None:
        """Add the entry's part to its digest, or remove it."""
        data_centre = entry.target.data_centre
        self.digests[data_centre] = (
            self.digests.get(data_centre, 0) ^ entry.digest_part
        )

    def _notify(self, name: str) -> None:
        for callback in self._state_callbacks:
            callback(name)
