"""Spread of target changes between routers.

Inside a data centre each router sends one batch a second to every other:
which targets renewed at it, with their reports, and what changed. A change
goes at once as well, is repeated in the next batches, and is repaired by
comparing digests of the records. Between data centres the relays exchange
digests and changed records, and pass them on to their own data centre.

A message that is lost, late, doubled or out of order does no harm: records
merge by version, evidence of life by its age (see
:mod:`amaranthring.targets.table`).
"""

import asyncio
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import hashing
from amaranthring.core import metrics as metrics_module
from amaranthring.core import records
from amaranthring.core import repeating
from amaranthring.routers import lateness
from amaranthring.routers import mesh as mesh_module
from amaranthring.routers import peers
from amaranthring.routers import target_sync_messages as messages
from amaranthring.targets import entries
from amaranthring.targets import table as table_module

log = logbook.Logger(__name__)

BATCH_SECONDS = 1.0
SLACK_SECONDS = 0.1
AHEAD_SECONDS = 0.15
FLUSH_SECONDS = 0.01
TIMER_SECONDS = 0.002
EARLY_SECONDS = 0.5
GATHER_SECONDS = 0.05
REPEATS = 3
PULL_AFTER_SECONDS = 0.3
PULL_EVERY_SECONDS = 0.5
PULL_TIMEOUT_SECONDS = 1.0
DIGEST_STALE_SECONDS = 1.5
NEWS_MISSED_SECONDS = 1.3
CUT_OFF_SECONDS = 3.0


def mark_of(names: t.Iterable[str]) -> int:
    """Return the digest of a list of routers."""
    return int(hashing.digest(*sorted(names))[:16], 16)


class TargetSync:
    """Sends what this router's table learns and merges what others send.

    Parameters
    ----------
    mesh : mesh.Mesh
        Links; its handlers get those of this class.
    table : table.TargetTable
        What is spread.

    Attributes
    ----------
    marks : dict
        Router to the digest that its last batch held.
    heard_of : dict
        Data centre to when its digest last came, on this router's clock.
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
        self.marks: dict[str, int] = {}
        self.heard_of: dict[str, float] = {}
        self.task: asyncio.Task | None = None
        self.next_at = clock() + BATCH_SECONDS
        self._moved_here: set[str] = set()
        self._near: set[str] = set()
        self._beyond: set[str] = set()
        self._repeat: dict[str, int] = {}
        self._source = ""
        self._flushing = False
        self._lateness: dict[str, lateness.Lateness] = {}
        self._far: dict[str, float] = {}
        self.batched_at = 0.0
        self._passing: dict[str, tuple] = {}
        self._near_news: dict[str, float] = {}
        self._pulled_at: dict[str, float] = {}
        self._pulls: dict[str, asyncio.Task] = {}
        handlers = mesh.handlers
        handlers.add(messages.Batch, self._take_batch)
        handlers.add(messages.Digest, self._take_digest)
        handlers.add(messages.Pull, self._answer_pull)
        table.on_change(self._changed)
        table.on_resume(self._wake)
        table.on_move(self._moved)
        table.renew_in = self.renew_in
        mesh.on_link(self._greet)

    def start(self) -> None:
        """Start the task that sends the batches."""
        self.task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """End every task."""
        for task in [self.task, *self._pulls.values()]:
            if task:
                task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(max(0.0, self.next_at - self.clock()))
            if self.clock() < self.next_at - TIMER_SECONDS:
                # An early batch went out meanwhile.
                continue
            # A late tick shifts the next ones: none is made up for.
            self.next_at = max(self.next_at, self.clock() - SLACK_SECONDS)
            self.next_at += BATCH_SECONDS
            repeating.guarded(self.tick, "spread.ticks", self.metrics)

    def renew_in(self) -> float:
        """Return when a target that just renewed should do so again.

        Just before the batch after the next one, once a second: its
        evidence then is fresh when it reaches the other routers.
        """
        left = self.next_at - self.clock()
        return max(0.0, left) % BATCH_SECONDS + BATCH_SECONDS - AHEAD_SECONDS

    def tick(self) -> None:
        """Send this second's batch and, from a relay, the digests."""
        now = self.clock()
        self.batched_at = now
        self.mesh.broadcast(self._batch(now))
        for place in self.mesh.data_centres():
            if place == self.mesh.data_centre:
                continue
            self._send_digest(place, now)
            if now - self.heard_of.get(place, now) > CUT_OFF_SECONDS:
                self.mesh.set_remote_routers(place, [])

    # -- sending --

    def _batch(self, now: float) -> messages.Batch:
        beats = [
            self._beat(name, now) for name in sorted(self.table.heard_directly)
        ]
        self.table.heard_directly.clear()
        records_ = self._records(self._repeat, now)
        self._repeat = {
            n: left - 1 for n, left in self._repeat.items() if left
        }
        passed = [
            messages.RelayedDigest(place, int((now - heard) * 1000), *word)
            for place, (heard, *word) in self._passing.items()
        ]
        self._passing.clear()
        return self._message(now, [b for b in beats if b], records_, passed)

    def _message(self, now, beats, changed, passed=()) -> messages.Batch:
        mark = self.table.digests.get(self.mesh.data_centre, 0)
        return messages.Batch(
            int(now * 1000), mark, beats, changed, list(passed)
        )

    def _records(self, names: t.Iterable[str], now: float):
        known = self.table.entries
        return [known[n].record(now) for n in names if n in known]

    def _beat(self, name: str, now: float) -> messages.TargetHeartbeat | None:
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

    def _changed(self, entry: entries.Entry) -> None:
        """Send a changed record at once to those who need it from here."""
        name = entry.target.name
        here = entry.target.data_centre == self.mesh.data_centre
        source = self._source and self.mesh.data_centre_of(self._source)
        if not source:
            self._repeat[name] = REPEATS
        if source != self.mesh.data_centre:
            self._near.add(name)
        if here:
            self._beyond.add(name)
        self._flush_soon()

    def _moved(self, name: str) -> None:
        """Tell at once that a target renews here now.

        Its former router may have died with its last renewals; waiting for
        the batch as well would make the target stale elsewhere.
        """
        self._moved_here.add(name)
        self._flush_soon()

    def _flush_soon(self) -> None:
        if not self._flushing:
            self._flushing = True
            loop = asyncio.get_running_loop()
            loop.call_later(FLUSH_SECONDS, self._flush)

    def _flush(self) -> None:
        self._flushing = False
        now = self.clock()
        near = self._records(self._near, now)
        beyond = self._records(self._beyond, now)
        # A record tells its age itself.
        beats = [self._beat(n, now) for n in self._moved_here - self._near]
        self._near.clear()
        self._beyond.clear()
        self._moved_here.clear()
        if near or beats:
            found = [beat for beat in beats if beat]
            self.mesh.broadcast(self._message(now, found, near))
        if beyond:
            for name in self.remote_links():
                self.mesh.send(name, self._message(now, [], beyond))

    def _chosen_links(self) -> set[str]:
        """Return routers elsewhere that this relay exchanges with."""
        found = set()
        for place in self.mesh.data_centres():
            if place != self.mesh.data_centre and self.mesh.is_relay_to(place):
                found.update(self.mesh.relays(place))
        return found

    def remote_links(self) -> list[str]:
        """Return linked routers elsewhere, chosen or that chose this one."""
        now = self.clock()
        known = self.mesh.peers
        found = self._chosen_links()
        found.update(
            name
            for name, at in self._far.items()
            if now - at < CUT_OFF_SECONDS
        )
        return sorted(n for n in found if n in known and known[n].link)

    def _send_digest(self, place: str, now: float) -> None:
        known = self.mesh.peers
        names = [
            n for n in self.remote_links() if known[n].data_centre == place
        ]
        if not names:
            return
        here = self.mesh.data_centre
        stale = [
            entry.target.name
            for entry in self.table.entries_in(here)
            if not entry.lost and now - entry.heard_at > DIGEST_STALE_SECONDS
        ]
        chosen = self._chosen_links()
        digest = messages.Digest(
            here,
            int(now * 1000),
            self.table.digests.get(here, 0),
            mark_of(self.mesh.live(here)),
            stale,
            False,
        )
        for name in names:
            digest.chosen = name in chosen
            self.mesh.send(name, digest)

    def _greet(self, peer: peers.Peer) -> None:
        """Let a new link show at once where the records differ."""
        self._lateness.pop(peer.name, None)
        now = self.clock()
        if peer.data_centre == self.mesh.data_centre:
            self.mesh.send(peer.name, self._message(now, [], []))
        else:
            self._send_digest(peer.data_centre, now)

    # -- merging --

    def _sent_at(self, name: str, clock_ms: int, now: float) -> float:
        """Return when `name` sent a message, on this router's clock."""
        known = self._lateness.setdefault(name, lateness.Lateness())
        return now - known.measure(clock_ms / 1000, now)

    def _merge(self, source: str, sent: float, beats, changed) -> None:
        self._source = source
        try:
            for record in changed:
                self.table.merge_record(record, sent - record.age)
        finally:
            self._source = ""
        for beat in beats:
            entry = self.table.by_key.get(beat.key)
            if entry is not None:
                heard = sent - beat.age_ms / 1000
                target = entry.target
                self.table.merge_heartbeat(
                    target.name,
                    target.incarnation,
                    heard,
                    beat.spoken,
                    _report(target, beat),
                )

    def _take_batch(self, link, batch: messages.Batch) -> None:
        now = self.clock()
        name = link.peer.name
        sent = self._sent_at(name, batch.clock_ms, now)
        self._merge(name, sent, batch.beats, batch.records)
        here = self.mesh.data_centre
        if link.peer.data_centre != here:
            return
        self.marks[name] = batch.mark
        if batch.mark != self.table.digests.get(here, 0):
            self._later(here, name)
        for word in batch.passed:
            if word.data_centre != here:
                self._near_news[word.data_centre] = now
                self._take_word(word, sent - word.age_ms / 1000, name)

    def _take_digest(self, link, digest: messages.Digest) -> None:
        now = self.clock()
        name = link.peer.name
        place = link.peer.data_centre
        if digest.data_centre != place or place == self.mesh.data_centre:
            return
        heard = self._sent_at(name, digest.clock_ms, now)
        self._take_word(digest, heard, name)
        if digest.chosen:
            self._far[name] = now
        self._pass_on(digest, heard, now)

    def _take_word(self, word, heard: float, name: str) -> None:
        """Take a data centre's word of `heard`, which came through `name`."""
        place = word.data_centre
        self.heard_of[place] = max(heard, self.heard_of.get(place, heard))
        if word.mark == self.table.digests.get(place, 0):
            self.table.vouch(place, heard, word.stale)
        else:
            self._later(place, name)
        routers = self.mesh.remote_routers.get(place, [])
        if mark_of(routers) != word.routers_mark:
            self._later(place, name)

    def _pass_on(self, digest, heard: float, now: float) -> None:
        """Put a digest from elsewhere into the next batch.

        The first relay does; another one only if the first has been
        silent, so that a relay which lost its link holds nobody up. The
        batch is sent early, once, and then follows the digests: they wait
        for it no longer than it takes to gather those of all relays.
        """
        place = digest.data_centre
        ours = self.mesh.ordered_relays(place)
        news_at = self._near_news.get(place, 0.0)
        first = ours and ours[0] == self.mesh.identity.name
        if not first and now - news_at < NEWS_MISSED_SECONDS:
            return
        word = (digest.mark, digest.routers_mark, digest.stale)
        self._passing[place] = (heard, *word)
        due = min(self.next_at, self.batched_at + EARLY_SECONDS)
        soon = max(due, now + GATHER_SECONDS)
        if soon < self.next_at:
            self.next_at = soon
            loop = asyncio.get_running_loop()
            loop.call_later(soon - now, self._tick_early, soon)

    def _tick_early(self, due: float) -> None:
        if self.next_at == due:
            self.next_at = self.clock() + BATCH_SECONDS
            self.tick()

    # -- repair --

    def _later(self, place: str, name: str, sure: bool = False) -> None:
        """Pull from router `name` soon.

        Unless it is `sure` that it knows more, nothing is pulled if the
        digests agree by then: most differences are changes under way.
        """
        if place in self._pulls:
            return
        task = asyncio.ensure_future(self._pull(place, name, sure))
        self._pulls[place] = task
        task.add_done_callback(lambda _: self._pulls.pop(place, None))

    def _wake(self) -> None:
        here = self.mesh.data_centre
        for name in self.mesh.live(here):
            if name != self.mesh.identity.name:
                self._later(here, name, sure=True)

    async def _pull(self, place: str, name: str, sure: bool) -> None:
        since = self.clock() - self._pulled_at.get(place, 0.0)
        first = 0.0 if sure else PULL_AFTER_SECONDS
        wait = max(first, PULL_EVERY_SECONDS - since)
        await asyncio.sleep(wait)
        if not sure and self._ended(place, name):
            return
        self._pulled_at[place] = self.clock()
        self.metrics.count("spread.pulls")
        known = [
            messages.KnownVersion(entry.target.name, *entry.version)
            for entry in self.table.entries_in(place)
        ]
        try:
            answer = await self.mesh.call(
                name, messages.Pull(place, known), PULL_TIMEOUT_SECONDS
            )
        except errors.AmaranthringError:
            self.metrics.count("spread.pulls_failed")
            return
        now = self.clock()
        sent = self._sent_at(name, answer.clock_ms, now)
        self._merge(name, sent, answer.beats, answer.records)
        if place != self.mesh.data_centre:
            self.mesh.set_remote_routers(place, answer.routers)
            self.table.vouched[place] = sent - answer.age_ms / 1000

    def _ended(self, place: str, name: str) -> bool:
        """Return whether the difference to `name` is gone by now."""
        if place != self.mesh.data_centre:
            return False
        return self.marks.get(name) == self.table.digests.get(place, 0)

    def _answer_pull(self, link, pull: messages.Pull) -> messages.PullReply:
        now = self.clock()
        place = pull.data_centre
        known = {one.name: entries.Version(*one[1:]) for one in pull.known}
        newer = []
        beats = []
        for entry in self.table.entries_in(place):
            name = entry.target.name
            if name not in known or known[name] < entry.version:
                newer.append(entry.record(now))
            beats.append(self._beat(name, now))
        age = 0.0
        if place != self.mesh.data_centre:
            age = now - self.table.vouched.get(place, 0.0)
        if self._behind(known):
            # The asker knows what every message to this router lost.
            self._later(place, link.peer.name, sure=True)
        return messages.PullReply(
            int(now * 1000),
            int(age * 1000),
            newer,
            beats,
            self.mesh.live(place),
        )

    def _behind(self, known: dict[str, entries.Version]) -> bool:
        """Return whether another router has a record that is newer."""
        for name, version in known.items():
            entry = self.table.entries.get(name)
            if entry is None or entry.version < version:
                return True
        return False


def _report(
    target: records.Target, beat: messages.TargetHeartbeat
) -> records.Report | None:
    if not beat.sequence:
        return None
    return records.Report(
        target.name,
        target.incarnation,
        beat.sequence,
        beat.running,
        beat.waiting,
        beat.kv_percent / 100,
    )
