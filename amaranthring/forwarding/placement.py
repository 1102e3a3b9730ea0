"""Which target gets an attempt, from what this router knows of targets."""

import collections
import time
import typing as t

from amaranthring.forwarding import prefixes
from amaranthring.forwarding import records
from amaranthring.forwarding import views
from amaranthring.policy import affinity
from amaranthring.policy import copies
from amaranthring.registry import messages
from amaranthring.registry import sharing
from amaranthring.registry import targets as tables

# A target that failed is passed over for this long, doubled with each
# further failure in a row up to the most. The first is shorter than an
# announcement's beat: most failures are over at once. The most bounds how
# long after the end of a cut callers are still refused.
BACKOFF_SECONDS = 0.5
AVOID_SECONDS_MOST = 2.0
# A target that answered here within this time lives, whatever keepers heard.
ANSWERED_SECONDS = 2.0
# A target that so many other routers could not reach is avoided here too,
# unless it did well here within the trusted time; the doubt lasts a little
# longer than the pause between two reports.
DOUBTING_ROUTERS = 2
TRUSTED_SECONDS = 0.5
PEER_REPORT_SECONDS = 0.6
# A target that broke an answer off so lately, at any router, gets what may
# run only once if half of the targets are left. So one that often breaks off
# is known to all after a few losses; each router by itself would have to lose
# some of its own requests before it turned away.
FAILING_SECONDS = 1.0
DOUBTED_MOST = 0.5
# Targets of one data centre that could not be reached, without one that was
# reached since, after which all of them count as cut off. Two can be down by
# themselves, and are then one request's delay each; a cut would cost every
# request one connection's timeout for each target of the data centre.
CUT_TARGETS = 2
# How long they then get requests only if there is no other target. The cut
# is looked for again by one request each time.
PARTITION_SECONDS = 1.0
# A target that leaves without having drained goes on for two seconds or more,
# and others can copy from it meanwhile. Whoever is to copy from one that has
# ended waits for it in vain, and reads all the same.
LINGER_SECONDS = 1.5


class Placer:
    """Chooses targets and remembers how they did.

    Parameters
    ----------
    table : registry.targets.TargetTable
        Targets as the keepers know them.
    data_centre : str
        Of this router.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        table: tables.TargetTable,
        data_centre: str,
        clock: t.Callable[[], float] = time.monotonic,
    ):
        self.table = table
        self.data_centre = data_centre
        self.clock = clock
        self.data_centres: dict[str, views.DataCentreView] = (
            collections.defaultdict(views.DataCentreView)
        )
        self.prefixes = prefixes.PrefixIndex(clock)
        self.views: dict[str, views.TargetView] = collections.defaultdict(
            views.TargetView
        )

    def choose(
        self, passage: records.RequestContext
    ) -> messages.TargetRecord | None:
        """Return the target for the next attempt, or None."""
        now = self.clock()
        able = self._able(passage)
        near = [r for r in able if not self._may_be_cut_off(passage, r, now)]
        sound = [
            r for r in near or able if self.views[r.id].avoid_until <= now
        ]
        heard = [r for r in sound if self._is_heard(r, now)]
        # A target that fails, or is not heard, is still better than none;
        # one that surely cannot be reached is not: the caller is told at
        # once, and the next request after the avoided time looks again.
        chosen = heard or sound or [r for r in able if not self._is_out(r)]
        if not passage.route.idempotent:
            chosen = self._without_failing(chosen, now)
        by_id = {record.id: record for record in chosen}
        candidates = [
            affinity.Candidate(
                record.id,
                self.views[record.id].load(now),
                record.slots,
                record.data_centre == self.data_centre,
            )
            for record in chosen
        ]
        parts = passage.incoming.parts
        if passage.route.with_prompt and parts:
            holders = self._holders(passage)
            for one in candidates:
                one.uncached_tokens = self.prefixes.uncached_tokens(
                    parts, one.id
                )
                copy = self._copy(passage, by_id[one.id], holders)
                one.copied_tokens = copy.tokens if copy else 0
                one.pending_tokens = self.views[one.id].waiting
            shared = parts[-2] if len(parts) > 1 else parts[-1]
            tokens = sum(part.tokens for part in parts)
            found = affinity.choose_by_prefix(candidates, shared.id, tokens)
        else:
            found = affinity.least_loaded(candidates)
        return by_id[found.id] if found else None

    def _without_failing(
        self, records: list[messages.TargetRecord], now: float
    ) -> list[messages.TargetRecord]:
        """Return those that broke off no answer lately, if enough are left."""
        left = [r for r in records if not self._is_failing(r, now)]
        enough = len(left) >= (1 - DOUBTED_MOST) * len(records)
        return left if enough else records

    def _is_failing(self, record: messages.TargetRecord, now: float) -> bool:
        view = self.views[record.id]
        if now < view.doubted_until:
            return True
        return now - view.failed_at < FAILING_SECONDS

    def _may_be_cut_off(
        self,
        passage: records.RequestContext,
        record: messages.TargetRecord,
        now: float,
    ) -> bool:
        """Return whether the target's data centre is better left out.

        A request that one target of another data centre has left without an
        answer would mostly wait in vain for the next one there, too.
        """
        if record.data_centre == self.data_centre:
            return False
        if record.data_centre in passage.silent_data_centres:
            return True
        return self._is_cut_off(record, now)

    def copy_for(
        self, passage: records.RequestContext, target: messages.TargetRecord
    ) -> copies.Copy | None:
        """Return what `target` should copy of the prompt, and from where.

        None if it keeps the prompt itself, or reads it as fast.
        """
        return self._copy(passage, target, self._holders(passage))

    def source_address(self, copy: copies.Copy | None) -> str:
        """Return the address that `copy` comes from; empty without one."""
        return self.table.entries[copy.source].record.address if copy else ""

    def _copy(
        self,
        passage: records.RequestContext,
        target: messages.TargetRecord,
        holders: list[copies.Holder],
    ) -> copies.Copy | None:
        if not holders:
            return None
        parts = passage.incoming.parts
        whole = sum(part.tokens for part in parts)
        asked = copies.Holder(
            target.id,
            target.data_centre,
            whole - self.prefixes.uncached_tokens(parts, target.id),
        )
        return copies.choose(holders, asked, passage.engine.copy_rate)

    def _holders(self, passage: records.RequestContext) -> list[copies.Holder]:
        """Return the targets from which the prompt can be copied."""
        if passage.engine is None or not passage.route.with_prompt:
            return []
        now = self.clock()
        found = []
        for entry in self.table.entries.values():
            record = entry.record
            if record.service != passage.service:
                continue
            kept = self.prefixes.copyable_tokens(
                passage.incoming.parts, record.id
            )
            if not kept or not self._may_copy_from(entry, now):
                continue
            stays = record.state == messages.State.READY
            found.append(
                copies.Holder(record.id, record.data_centre, kept, stays)
            )
        return found

    def _may_copy_from(self, entry: tables.Entry, now: float) -> bool:
        record = entry.record
        if self._is_out(record) or self._is_cut_off(record, now):
            return False
        if entry.gone_at:
            return entry.still_serving and now - entry.gone_at < LINGER_SECONDS
        return self.table.holds_address(record) and self._is_heard(record, now)

    def _is_heard(self, record: messages.TargetRecord, now: float) -> bool:
        # Keepers that are cut off from each other miss announcements of
        # targets that answer here all the while.
        if not record.silent:
            return True
        return now - self.views[record.id].succeeded_at < ANSWERED_SECONDS

    def _is_out(self, record: messages.TargetRecord) -> bool:
        return self.views[record.id].unreachable

    def _able(self, passage: records.RequestContext) -> list:
        return [
            record
            for record in self.table.active()
            if record.service == passage.service
            and record.state == messages.State.READY
            and record.id not in passage.tried
        ]

    def begin(
        self,
        target: messages.TargetRecord,
        passage: records.RequestContext,
        copy: copies.Copy | None = None,
    ) -> None:
        """Count a request of this router at `target`.

        Parameters
        ----------
        copy : Copy, optional
            What the target copies of the prompt instead of reading it.
        """
        parts = passage.incoming.parts
        passage.prefill_tokens = self.prefixes.uncached_tokens(
            parts, target.id
        )
        passage.prefill_tokens -= copy.tokens if copy else 0
        self.prefixes.record_sent(parts, target.id)
        view = self.views[target.id]
        view.reading += passage.prefill_tokens
        view.running += 1
        view.reported += 1

    def prefill_done(
        self, target: messages.TargetRecord, passage: records.RequestContext
    ) -> None:
        """Note that the target has begun to answer."""
        self.prefixes.mark_cached(passage.incoming.parts, target.id)
        self._count_read(target, passage)

    def _count_read(
        self, target: messages.TargetRecord, passage: records.RequestContext
    ) -> None:
        self.views[target.id].reading -= passage.prefill_tokens
        passage.prefill_tokens = 0

    def end(
        self, target: messages.TargetRecord, passage: records.RequestContext
    ) -> None:
        """Count it off again."""
        self._count_read(target, passage)
        view = self.views[target.id]
        view.running -= 1
        view.reported = max(0.0, view.reported - 1)

    def update_load(
        self, target: messages.TargetRecord, load: records.Load
    ) -> None:
        """Take what `target` said of its load."""
        view = self.views[target.id]
        view.reported = load.running + load.waiting
        view.reported_at = self.clock()

    def record_success(self, target: messages.TargetRecord) -> None:
        """Note an answer that the target made."""
        view = self.views[target.id]
        view.failures = 0
        view.avoid_until = 0.0
        view.unreachable = False
        view.succeeded_at = self.clock()
        self.record_contact(target)

    def record_replaced(self, target: messages.TargetRecord) -> None:
        """Note that another target has the address of `target`."""
        self.table.mark_gone(target.id)
        self.views[target.id].unreachable = True

    def failed_recently(self, target: messages.TargetRecord) -> bool:
        """Return whether the target failed last, here or at others."""
        view = self.views[target.id]
        return view.failures > 0 or view.avoid_until > self.clock()

    def unreachable_targets(self) -> list[str]:
        """Return the targets that this router could not reach last."""
        now = self.clock()
        return [
            name
            for name, view in self.views.items()
            if view.unreachable and view.avoid_until > now
        ]

    def record_contact(self, target: messages.TargetRecord) -> None:
        """Note that `target` said anything."""
        if target.data_centre in self.data_centres:
            del self.data_centres[target.data_centre]

    def _count_unreached(self, target: messages.TargetRecord) -> None:
        if target.data_centre == self.data_centre:
            return
        view = self.data_centres[target.data_centre]
        view.unreachable.add(target.id)
        if len(view.unreachable) >= CUT_TARGETS:
            view.cut_until = self.clock() + PARTITION_SECONDS

    def _is_cut_off(self, target: messages.TargetRecord, now: float) -> bool:
        view = self.data_centres.get(target.data_centre)
        return view is not None and view.cut_until > now

    def record_failure(
        self, target: messages.TargetRecord, reached: bool
    ) -> None:
        """Note an attempt that the target did not answer.

        Parameters
        ----------
        reached : bool
            Whether there was a connection. A target that breaks one answer
            off may do well with all others, and whoever leaves it for that
            has long prompts read again elsewhere; two in a row are a sign.
        """
        view = self.views[target.id]
        view.failures += 1
        view.unreachable = not reached
        if reached:
            view.failed_at = self.clock()
        else:
            self._count_unreached(target)
        counted = view.failures - (1 if reached else 0)
        if counted < 1:
            return
        seconds = BACKOFF_SECONDS * 2 ** (counted - 1)
        view.avoid_until = self.clock() + min(seconds, AVOID_SECONDS_MOST)

    def in_flight(self) -> dict[str, int]:
        """Return this router's requests by target."""
        views = self.views.items()
        return {name: view.running for name, view in views if view.running}

    def pending_tokens(self) -> dict[str, int]:
        """Return the tokens yet to be read for this router, by target."""
        views = self.views.items()
        return {name: view.reading for name, view in views if view.reading}

    def update_from_others(self, others: sharing.Others) -> None:
        """Take what the other routers do and have found."""
        self._doubt_with_others(others.unreached)
        until = self.clock() + PEER_REPORT_SECONDS
        for name in set(others.failing) & set(self.table.entries):
            self.views[name].doubted_until = until
        named = set(others.counts) | set(others.reading)
        for target_id in set(self.views) | named & set(self.table.entries):
            view = self.views[target_id]
            view.others = others.counts.get(target_id, 0)
            view.others_reading = others.reading.get(target_id, 0)
        self.prefixes.merge(others.places)

    def report(self) -> sharing.Report:
        """Return what the other routers should know."""
        tokens = self.prefixes.prefix_tokens
        return sharing.Report(
            self.in_flight(),
            [list(pair) for pair in self.prefixes.take_updates()],
            self.unreachable_targets(),
            self.pending_tokens(),
            self.failing_targets(),
            tokens=tokens,
        )

    def failing_targets(self) -> list[str]:
        """Return the targets that broke an answer off here lately."""
        oldest = self.clock() - FAILING_SECONDS
        views = self.views.items()
        return [name for name, view in views if view.failed_at > oldest]

    def _doubt_with_others(self, unreached: dict[str, int]) -> None:
        # Each router would lose requests of its own to a target that lost
        # its power. One router that cannot reach it may itself be cut off.
        now = self.clock()
        for name, routers in unreached.items():
            if routers < DOUBTING_ROUTERS or name not in self.table.entries:
                continue
            view = self.views[name]
            if now - view.succeeded_at > TRUSTED_SECONDS:
                view.avoid_until = max(
                    view.avoid_until, now + PEER_REPORT_SECONDS
                )

    def prune(self) -> None:
        """Drop what was seen of targets that are gone, and what is old."""
        self.prefixes.prune(self.table.entries)
        for target_id in set(self.views) - set(self.table.entries):
            if not self.views[target_id].running:
                del self.views[target_id]
