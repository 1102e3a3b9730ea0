"""Synchronises target records between routers.

Inside a data centre each router broadcasts a batch every second: the targets
that renewed at it, their reports and changed records. A change is also sent
at once and repeated in the next batches; comparing digests (anti-entropy)
repairs what was lost. Between data centres the relays exchange digests and
changed records and forward them to their own data centre.

Lost, late, duplicate or reordered messages are harmless: records merge by
version, heartbeats by age (see :mod:`amaranthring.targets.table`).
"""

import asyncio
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import background
from amaranthring.core import hashing
from amaranthring.core import metrics as metrics_module
from amaranthring.core import periodic
from amaranthring.core import records
from amaranthring.routers import lateness
from amaranthring.routers import mesh as mesh_module
from amaranthring.routers import peers
from amaranthring.routers import target_sync_messages as messages
from amaranthring.targets import entries
from amaranthring.targets import table as table_module

log = logbook.Logger(__name__)

BATCH_SECONDS = 1.0
SLACK_SECONDS = 0.1
RENEWAL_LEAD_SECONDS = 0.15
FLUSH_SECONDS = 0.01
TIMER_TOLERANCE_SECONDS = 0.002
MIN_BATCH_SECONDS = 0.5
GATHER_SECONDS = 0.05
REPEATS = 3
PULL_AFTER_SECONDS = 0.3
PULL_EVERY_SECONDS = 0.5
PULL_TIMEOUT_SECONDS = 1.0
STALE_SECONDS = 1.5
RELAY_SILENT_SECONDS = 1.3
CUT_OFF_SECONDS = 3.0


def digest_of(names: t.Iterable[str]) -> int:
    """Return the digest of a list of routers."""
    return int(hashing.digest(*sorted(names))[:16], 16)


class TargetSync:
    """Broadcasts changes of the target table and merges those of others.

    Parameters
    ----------
    mesh : mesh.Mesh
        Links; this class registers its message handlers there.
    table : table.TargetTable
        Table to synchronise.

    Attributes
    ----------
    peer_digests : dict
        Router to the digest in its last batch.
    last_digest_at : dict
        Data centre to when its last digest was sent, on this router's
        clock.
    """

    def __init__(
        self,
        mesh: mesh_module.Mesh,
        table: table_module.TargetTable,
        metrics: metrics_module.Metrics | None = None,
        clock: t.Callable[[], float] = time.monotonic,
    ):
        self.mesh = mesh
        self.table = table
        self.metrics = metrics or metrics_module.Metrics()
        self.clock = clock
        self.peer_digests: dict[str, int] = {}
        self.last_digest_at: dict[str, float] = {}
        self.task: asyncio.Task | None = None
        self.next_batch_at = clock() + BATCH_SECONDS
        self._renewed_here: set[str] = set()
        self._unsent_local: set[str] = set()
        self._unsent_remote: set[str] = set()
        self._repeats_left: dict[str, int] = {}
        self._source = ""
        self._flushing = False
        self._lateness: dict[str, lateness.Lateness] = {}
        self._remote_seen: dict[str, float] = {}
        self.last_batch_at = 0.0
        self._digests_to_relay: dict[str, tuple] = {}
        self._relayed_at: dict[str, float] = {}
        self._pulled_at: dict[str, float] = {}
        self._pulls: dict[str, asyncio.Task] = {}
        handlers = mesh.handlers
        handlers.add(messages.Batch, self._on_batch)
        handlers.add(messages.Digest, self._on_digest)
        handlers.add(messages.Pull, self._on_pull)
        table.on_change(self._on_change)
        table.on_resume(self._on_resume)
        table.on_move(self._on_move)
        table.renew_in = self.renew_in
        mesh.on_link(self._on_link)

    def start(self) -> None:
        """Start the task that sends batches."""
        self.task = background.keep_running("target-sync", self._run)

    def stop(self) -> None:
        """Stop all tasks."""
        for task in [self.task, *self._pulls.values()]:
            if task:
                task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(max(0.0, self.next_batch_at - self.clock()))
            if self.clock() < self.next_batch_at - TIMER_TOLERANCE_SECONDS:
                # An early batch went out meanwhile.
                continue
            # A late tick delays the next ones; missed ticks are skipped.
            self.next_batch_at = max(
                self.next_batch_at, self.clock() - SLACK_SECONDS
            )
            self.next_batch_at += BATCH_SECONDS
            periodic.run_step(self.tick, "spread.ticks", self.metrics)

    def renew_in(self) -> float:
        """Return the seconds until a target that just renewed should renew.

        The renewal falls just before a batch, so that the heartbeat is
        fresh when it reaches the other routers.
        """
        left = self.next_batch_at - self.clock()
        return (
            max(0.0, left) % BATCH_SECONDS
            + BATCH_SECONDS
            - RENEWAL_LEAD_SECONDS
        )

    def tick(self) -> None:
        """Send the periodic batch and, from a relay, the digests."""
        now = self.clock()
        self.last_batch_at = now
        self.mesh.broadcast(self._batch(now))
        for data_centre in self.mesh.data_centres():
            if data_centre == self.mesh.data_centre:
                continue
            self._send_digest(data_centre, now)
            if (
                now - self.last_digest_at.get(data_centre, now)
                > CUT_OFF_SECONDS
            ):
                self.mesh.set_remote_routers(data_centre, [])

    # -- sending --

    def _batch(self, now: float) -> messages.Batch:
        heartbeats = [
            self._heartbeat(name, now)
            for name in sorted(self.table.heard_directly)
        ]
        self.table.heard_directly.clear()
        changed = self._records(self._repeats_left, now)
        self._repeats_left = {
            n: left - 1 for n, left in self._repeats_left.items() if left
        }
        relayed = [
            messages.RelayedDigest(
                data_centre, int((now - heard_at) * 1000), *content
            )
            for data_centre, (
                heard_at,
                *content,
            ) in self._digests_to_relay.items()
        ]
        self._digests_to_relay.clear()
        return self._message(
            now, [b for b in heartbeats if b], changed, relayed
        )

    def _message(self, now, heartbeats, changed, relayed=()) -> messages.Batch:
        mark = self.table.digests.get(self.mesh.data_centre, 0)
        return messages.Batch(
            int(now * 1000), mark, heartbeats, changed, list(relayed)
        )

    def _records(self, names: t.Iterable[str], now: float):
        known = self.table.entries
        return [known[n].record(now) for n in names if n in known]

    def _heartbeat(
        self, name: str, now: float
    ) -> messages.TargetHeartbeat | None:
        entry = self.table.entries.get(name)
        if entry is None:
            return None
        age_ms = max(0, int((now - entry.heard_at) * 1000))
        key = entries.target_key(entry.target)
        report = entry.report
        if report is None:
            return messages.TargetHeartbeat(key, age_ms, entry.last_sequence)
        return messages.TargetHeartbeat(
            key,
            age_ms,
            entry.last_sequence,
            report.sequence,
            report.running,
            report.waiting,
            int(report.kv_used * 100),
        )

    def _on_change(self, entry: entries.Entry) -> None:
        """Schedule a changed record for the routers that lack it."""
        name = entry.target.name
        is_local = entry.target.data_centre == self.mesh.data_centre
        source_data_centre = self._source and self.mesh.data_centre_of(
            self._source
        )
        if not source_data_centre:
            self._repeats_left[name] = REPEATS
        if source_data_centre != self.mesh.data_centre:
            self._unsent_local.add(name)
        if is_local:
            self._unsent_remote.add(name)
        self._flush_soon()

    def _on_move(self, name: str) -> None:
        """Announce at once that a target now renews at this router.

        Its former router may have died with unsent renewals; waiting for
        the next batch could make the target stale elsewhere.
        """
        self._renewed_here.add(name)
        self._flush_soon()

    def _flush_soon(self) -> None:
        if not self._flushing:
            self._flushing = True
            loop = asyncio.get_running_loop()
            loop.call_later(FLUSH_SECONDS, self._flush)

    def _flush(self) -> None:
        self._flushing = False
        now = self.clock()
        local = self._records(self._unsent_local, now)
        remote = self._records(self._unsent_remote, now)
        # A record carries its own age; it needs no heartbeat.
        heartbeats = [
            self._heartbeat(n, now)
            for n in self._renewed_here - self._unsent_local
        ]
        self._unsent_local.clear()
        self._unsent_remote.clear()
        self._renewed_here.clear()
        if local or heartbeats:
            current = [heartbeat for heartbeat in heartbeats if heartbeat]
            self.mesh.broadcast(self._message(now, current, local))
        if remote:
            for name in self.remote_links():
                self.mesh.send(name, self._message(now, [], remote))

    def _remote_relays(self) -> set[str]:
        """Return remote relays that this router exchanges digests with."""
        relays = set()
        for data_centre in self.mesh.data_centres():
            if data_centre != self.mesh.data_centre and self.mesh.is_relay_to(
                data_centre
            ):
                relays.update(self.mesh.relays(data_centre))
        return relays

    def remote_links(self) -> list[str]:
        """Return linked remote relays, chosen here or by their own list."""
        now = self.clock()
        known = self.mesh.peers
        names = self._remote_relays()
        names.update(
            name
            for name, at in self._remote_seen.items()
            if now - at < CUT_OFF_SECONDS
        )
        return sorted(n for n in names if n in known and known[n].link)

    def _send_digest(self, data_centre: str, now: float) -> None:
        known = self.mesh.peers
        names = [
            n
            for n in self.remote_links()
            if known[n].data_centre == data_centre
        ]
        if not names:
            return
        here = self.mesh.data_centre
        stale = [
            entry.target.name
            for entry in self.table.entries_in(here)
            if not entry.lost and now - entry.heard_at > STALE_SECONDS
        ]
        chosen = self._remote_relays()
        digest = messages.Digest(
            here,
            int(now * 1000),
            self.table.digests.get(here, 0),
            digest_of(self.mesh.live(here)),
            stale,
            False,
        )
        for name in names:
            digest.chosen = name in chosen
            self.mesh.send(name, digest)

    def _on_link(self, peer: peers.Peer) -> None:
        """Send digests on a new link, to detect differences at once."""
        self._lateness.pop(peer.name, None)
        now = self.clock()
        if peer.data_centre == self.mesh.data_centre:
            self.mesh.send(peer.name, self._message(now, [], []))
        else:
            self._send_digest(peer.data_centre, now)

    # -- merging --

    def _local_send_time(self, name: str, clock_ms: int, now: float) -> float:
        """Return when `name` sent a message, by this router's clock."""
        known = self._lateness.setdefault(name, lateness.Lateness())
        return now - known.measure(clock_ms / 1000, now)

    def _merge(self, source: str, sent: float, heartbeats, changed) -> None:
        self._source = source
        try:
            for record in changed:
                self.table.merge_record(record, sent - record.age)
        finally:
            self._source = ""
        for heartbeat in heartbeats:
            entry = self.table.by_key.get(heartbeat.key)
            if entry is not None:
                heard_at = sent - heartbeat.age_ms / 1000
                target = entry.target
                self.table.merge_heartbeat(
                    target.name,
                    target.incarnation,
                    heard_at,
                    heartbeat.spoken,
                    _report(target, heartbeat),
                )

    def _on_batch(self, link, batch: messages.Batch) -> None:
        now = self.clock()
        name = link.peer.name
        sent = self._local_send_time(name, batch.clock_ms, now)
        self._merge(name, sent, batch.beats, batch.records)
        here = self.mesh.data_centre
        if link.peer.data_centre != here:
            return
        self.peer_digests[name] = batch.mark
        if batch.mark != self.table.digests.get(here, 0):
            self._schedule_pull(here, name)
        for digest in batch.passed:
            if digest.data_centre != here:
                self._relayed_at[digest.data_centre] = now
                self._merge_digest(digest, sent - digest.age_ms / 1000, name)

    def _on_digest(self, link, digest: messages.Digest) -> None:
        now = self.clock()
        name = link.peer.name
        data_centre = link.peer.data_centre
        if (
            digest.data_centre != data_centre
            or data_centre == self.mesh.data_centre
        ):
            return
        heard_at = self._local_send_time(name, digest.clock_ms, now)
        self._merge_digest(digest, heard_at, name)
        if digest.chosen:
            self._remote_seen[name] = now
        self._relay_digest(digest, heard_at, now)

    def _merge_digest(self, digest, heard_at: float, name: str) -> None:
        """Merge a digest of time `heard_at` that came through `name`."""
        data_centre = digest.data_centre
        self.last_digest_at[data_centre] = max(
            heard_at, self.last_digest_at.get(data_centre, heard_at)
        )
        if digest.mark == self.table.digests.get(data_centre, 0):
            self.table.vouch(data_centre, heard_at, digest.stale)
        else:
            self._schedule_pull(data_centre, name)
        routers = self.mesh.remote_routers.get(data_centre, [])
        if digest_of(routers) != digest.routers_mark:
            self._schedule_pull(data_centre, name)

    def _relay_digest(self, digest, heard_at: float, now: float) -> None:
        """Put a digest of another data centre into the next batch.

        The first relay does so; the others only if it has been silent,
        which covers a relay that lost its remote links. The batch is sent
        early, after a short wait that collects the digests of all relays.
        """
        data_centre = digest.data_centre
        ours = self.mesh.ordered_relays(data_centre)
        relayed_at = self._relayed_at.get(data_centre, 0.0)
        first = ours and ours[0] == self.mesh.identity.name
        if not first and now - relayed_at < RELAY_SILENT_SECONDS:
            return
        content = (digest.mark, digest.routers_mark, digest.stale)
        self._digests_to_relay[data_centre] = (heard_at, *content)
        due = min(self.next_batch_at, self.last_batch_at + MIN_BATCH_SECONDS)
        send_at = max(due, now + GATHER_SECONDS)
        if send_at < self.next_batch_at:
            self.next_batch_at = send_at
            loop = asyncio.get_running_loop()
            loop.call_later(send_at - now, self._tick_early, send_at)

    def _tick_early(self, due: float) -> None:
        if self.next_batch_at == due:
            self.next_batch_at = self.clock() + BATCH_SECONDS
            self.tick()

    # -- repair --

    def _schedule_pull(
        self, data_centre: str, name: str, force: bool = False
    ) -> None:
        """Schedule a pull from router `name`.

        Unless `force`, the pull is skipped if the digests agree by then:
        most differences are changes in flight.
        """
        if data_centre in self._pulls:
            return
        task = background.start("pull", self._pull(data_centre, name, force))
        self._pulls[data_centre] = task
        task.add_done_callback(lambda _: self._pulls.pop(data_centre, None))

    def _on_resume(self) -> None:
        here = self.mesh.data_centre
        for name in self.mesh.live(here):
            if name != self.mesh.identity.name:
                self._schedule_pull(here, name, force=True)

    async def _pull(self, data_centre: str, name: str, force: bool) -> None:
        since = self.clock() - self._pulled_at.get(data_centre, 0.0)
        delay = 0.0 if force else PULL_AFTER_SECONDS
        wait = max(delay, PULL_EVERY_SECONDS - since)
        await asyncio.sleep(wait)
        if not force and self._in_sync(data_centre, name):
            return
        self._pulled_at[data_centre] = self.clock()
        self.metrics.count("spread.pulls")
        known = [
            messages.KnownVersion(entry.target.name, *entry.version)
            for entry in self.table.entries_in(data_centre)
        ]
        try:
            answer = await self.mesh.call(
                name, messages.Pull(data_centre, known), PULL_TIMEOUT_SECONDS
            )
        except errors.AmaranthringError:
            self.metrics.count("spread.pulls_failed")
            return
        now = self.clock()
        sent = self._local_send_time(name, answer.clock_ms, now)
        self._merge(name, sent, answer.beats, answer.records)
        if data_centre != self.mesh.data_centre:
            self.mesh.set_remote_routers(data_centre, answer.routers)
            self.table.vouched[data_centre] = sent - answer.age_ms / 1000

    def _in_sync(self, data_centre: str, name: str) -> bool:
        """Return whether the digests of `name` and this router agree now."""
        if data_centre != self.mesh.data_centre:
            return False
        return self.peer_digests.get(name) == self.table.digests.get(
            data_centre, 0
        )

    def _on_pull(self, link, pull: messages.Pull) -> messages.PullReply:
        now = self.clock()
        data_centre = pull.data_centre
        known = {item.name: entries.Version(*item[1:]) for item in pull.known}
        newer = []
        heartbeats = []
        for entry in self.table.entries_in(data_centre):
            name = entry.target.name
            if name not in known or known[name] < entry.version:
                newer.append(entry.record(now))
            heartbeats.append(self._heartbeat(name, now))
        age = 0.0
        if data_centre != self.mesh.data_centre:
            age = now - self.table.vouched.get(data_centre, 0.0)
        if self._is_behind(known):
            # The requester has records that never reached this router.
            self._schedule_pull(data_centre, link.peer.name, force=True)
        return messages.PullReply(
            int(now * 1000),
            int(age * 1000),
            newer,
            heartbeats,
            self.mesh.live(data_centre),
        )

    def _is_behind(self, known: dict[str, entries.Version]) -> bool:
        """Return whether `known` has a version newer than this table's."""
        for name, version in known.items():
            entry = self.table.entries.get(name)
            if entry is None or entry.version < version:
                return True
        return False


def _report(
    target: records.Target, heartbeat: messages.TargetHeartbeat
) -> records.LoadReport | None:
    if not heartbeat.sequence:
        return None
    return records.LoadReport(
        target.name,
        target.incarnation,
        heartbeat.sequence,
        heartbeat.running,
        heartbeat.waiting,
        heartbeat.kv_percent / 100,
    )
