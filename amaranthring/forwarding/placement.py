"""Choice of the target for each attempt, from state this router observes."""

import collections
import math
import time
import typing as t

from amaranthring.forwarding import eligibility
from amaranthring.forwarding import paths as paths_module
from amaranthring.forwarding import prompts
from amaranthring.forwarding import records
from amaranthring.forwarding import target_room
from amaranthring.forwarding import views
from amaranthring.policy import affinity
from amaranthring.policy import bindings
from amaranthring.policy import brittleness
from amaranthring.policy import copies
from amaranthring.policy import rests as rests_module
from amaranthring.policy import unseen
from amaranthring.registry import messages
from amaranthring.registry import sharing
from amaranthring.registry import targets as tables

# Exponential backoff for a target that failed. It starts below the interval
# of announcements, as most failures are brief. The maximum limits how long
# callers are still refused after a network partition ends.
BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 2.0
# A target that responded here within this time is alive, even if the keepers
# miss its announcements.
RECENT_SUCCESS_SECONDS = 2.0
# A target that this share of the routers could not reach is avoided here too,
# unless it responded here within TRUSTED_SECONDS, and provided that half of
# the targets remain. On a lossy network a few of many routers fail to reach
# each target at any time; a single one may itself be isolated. A report counts
# slightly longer than the interval between reports.
MIN_DOUBTING_SHARE = 0.2
MIN_DOUBTING_ROUTERS = 2
TRUSTED_SECONDS = 0.5
PEER_REPORT_SECONDS = 0.6
# A target that broke off a response this recently, at any router, gets no
# requests that may run only once, provided that half of the targets remain.
# Without reports from others, each router would lose requests of its own.
FAILING_SECONDS = 1.0
MAX_EXCLUDED_SHARE = 0.5
# Number of unreachable targets after which their data centre counts as
# partitioned off, unless another target there has responded since. Otherwise
# each request would run into one connect timeout per target. Two targets can
# also be down independently, which delays one request each.
PARTITION_TARGETS = 2
# Time for which targets of a partitioned data centre are a last resort. Then
# the next request probes the data centre again.
PARTITION_SECONDS = 1.0
# Time for which others may copy from a target that left without draining: it
# serves for at least two seconds more. A copy from a stopped target only
# delays the prefill.
LINGER_SECONDS = 1.5
# Other routers' tokens count as yet to be prefilled up to this age of the
# report: a prompt takes a quarter of a second, and few wait before it.
MAX_PENDING_AGE_SECONDS = 1.0


class Placer:
    """Chooses targets and tracks their load and failures.

    Parameters
    ----------
    table : registry.targets.TargetTable
        Targets as known to the keepers.
    data_centre : str
        Data centre of this router.
    clock : callable
        Returns monotonic seconds.
    count_routers : callable
        Returns the number of routers that may be at work, with this one; 0
        if it is not known yet.

    Attributes
    ----------
    eligibility : eligibility.Eligibility
        Which targets may take a request.
    counted_at : float
        When the other routers had counted the requests that they told of
        last, on average.
    routers : int
        Number of routers that told, with this one; 0 before any.
    paths : paths.Paths
        Which services this router reaches.
    room : target_room.TargetRoom
        What it may still send to brittle targets.
    """

    def __init__(
        self,
        table: tables.TargetTable,
        data_centre: str,
        clock: t.Callable[[], float] = time.monotonic,
        count_routers: t.Callable[[], int] = lambda: 1,
    ):
        self.table = table
        self.eligibility = eligibility.Eligibility(table)
        self.data_centre = data_centre
        self.count_routers = count_routers
        self.clock = clock
        self.data_centres: dict[str, views.DataCentreView] = (
            collections.defaultdict(views.DataCentreView)
        )
        self.prefixes = prompts.PrefixIndex(clock)
        self.views: dict[str, views.TargetView] = collections.defaultdict(
            views.TargetView
        )
        self.rests = rests_module.Rests()
        self.paths = paths_module.Paths(self.announced, clock)
        self.room = target_room.TargetRoom(
            self.eligibility.ready, self._counts, clock
        )
        self.counted_at = float("-inf")
        self.routers = 0
        self.unseen_requests = unseen.UnseenRequests(clock)

    def choose(
        self, context: records.RequestContext
    ) -> messages.TargetRecord | None:
        """Return the target for the next attempt, or None."""
        now = self.clock()
        if self.held_back(context):
            return None
        usable, left_out = self._usable(context, now)
        by_id = {record.id: record for record in usable}
        candidates = [
            affinity.Candidate(
                record.id,
                self.views[record.id].load(now),
                record.slots,
                record.data_centre == self.data_centre,
            )
            for record in usable
        ]
        choice = self._choose_from(context, candidates, by_id, now)
        if choice is None:
            return None
        context.placements.append(
            records.Placement(
                choice.load,
                sum(c.load for c in candidates) / len(candidates),
                now - self.counted_at,
                self.routers,
                self.count_routers(),
                len(candidates),
                left_out,
            )
        )
        return by_id[choice.id]

    def _choose_from(
        self,
        context: records.RequestContext,
        candidates: list[affinity.Candidate],
        by_id: dict[str, messages.TargetRecord],
        now: float,
    ) -> affinity.Candidate | None:
        """Return the best of `candidates`, whose records are in `by_id`."""
        parts = context.incoming.parts
        if context.is_suspect:
            # If it crashes its target, few requests are lost with it.
            return affinity.least_loaded(candidates)
        unseen_count = self._unseen_count(context, now)
        if not (context.route.with_prompt and parts):
            # Routers of other data centres prefer other targets.
            data_centres = {record.data_centre for record in by_id.values()}
            return affinity.least_loaded(
                candidates, unseen=unseen_count / max(1, len(data_centres))
            )
        holders = self._holders(context)
        for candidate in candidates:
            candidate.uncached_tokens = self.prefixes.uncached_tokens(
                parts, candidate.id
            )
            copy = self._copy(context, by_id[candidate.id], holders)
            candidate.copied_tokens = copy.tokens if copy else 0
            candidate.pending_tokens = self._pending_tokens(candidate.id, now)
        return affinity.choose_by_prefix(
            candidates,
            _placement_key(context),
            sum(part.tokens for part in parts),
            unseen=unseen_count,
        )

    def _pending_tokens(self, target_id: str, now: float) -> int:
        """Return the tokens that the target has yet to prefill for all."""
        view = self.views[target_id]
        if now - self.counted_at > MAX_PENDING_AGE_SECONDS:
            return view.prefill_tokens
        return view.prefill_tokens + view.others_prefill_tokens

    def _unseen_count(
        self, context: records.RequestContext, now: float
    ) -> float:
        """Return how many like requests the counts of others may not show."""
        routers = self.count_routers()
        if not routers:
            return math.inf
        return self.unseen_requests.expected(
            _placement_key(context),
            _kind(context),
            max(self.routers, routers),
            now - self.counted_at,
            self.routers,
        )

    def _usable(
        self, context: records.RequestContext, now: float
    ) -> tuple[list[messages.TargetRecord], dict[str, int]]:
        """Return the targets to choose from.

        Returns
        -------
        usable : list of TargetRecord
        left_out : dict of str to int
            Number of the service's other targets, by reason.
        """
        ready = self.eligibility.of_request(context)
        eligible = self._eligible(context, ready)
        reachable = [
            r
            for r in eligible
            if not self._may_be_partitioned(context, r, now)
        ]
        healthy = [
            r
            for r in reachable or eligible
            if self.views[r.id].backoff_until <= now
        ]
        healthy = self._most_without(
            healthy, lambda r: self.views[r.id].doubted_until > now
        )
        alive = [r for r in healthy if self._is_alive(r, now)]
        # A failing or silent target is better than none. An unreachable one
        # is not: the caller is refused at once, and the first request after
        # the backoff tries again.
        usable = (
            alive
            or healthy
            or [r for r in eligible if not self._is_unreachable(r)]
        )
        if not context.route.idempotent:
            usable = self._most_without(
                usable, lambda r: self._is_failing(r, now)
            )
        used = {record.id for record in usable}
        left_out = collections.Counter(
            self._reason_left_out(context, record, now)
            for record in ready
            if record.id not in used
        )
        if other_release := len(self.eligibility.left_out(context)):
            left_out["other-release"] = other_release
        return usable, dict(left_out)

    def _reason_left_out(
        self,
        context: records.RequestContext,
        record: messages.TargetRecord,
        now: float,
    ) -> str:
        """Return why `record` is no candidate, for the log."""
        view = self.views[record.id]
        if record.id in context.tried:
            return "tried"
        if self.rests.left(record.id):
            return "resting"
        if not self.room.has_room(record, context.binding):
            return "full"
        if self._may_be_partitioned(context, record, now):
            return "partitioned"
        if view.doubted_until > now:
            return "doubted"
        if view.backoff_until > now:
            return "backoff"
        return "failing" if self._is_alive(record, now) else "silent"

    def _most_without(
        self,
        records: list[messages.TargetRecord],
        is_excluded: t.Callable[[messages.TargetRecord], bool],
    ) -> list[messages.TargetRecord]:
        """Leave out the excluded targets, if enough remain.

        Otherwise the few that remain would be sent the requests of all.
        """
        remaining = [r for r in records if not is_excluded(r)]
        enough = len(remaining) >= (1 - MAX_EXCLUDED_SHARE) * len(records)
        return remaining if enough else records

    def _is_failing(self, record: messages.TargetRecord, now: float) -> bool:
        view = self.views[record.id]
        if now < view.reported_failing_until:
            return True
        return now - view.failed_at < FAILING_SECONDS

    def _may_be_partitioned(
        self,
        context: records.RequestContext,
        record: messages.TargetRecord,
        now: float,
    ) -> bool:
        """Return whether the target's data centre may be unreachable.

        If one target of another data centre did not respond to a request,
        the next one there would most likely not respond either.
        """
        if record.data_centre == self.data_centre:
            return False
        if record.data_centre in context.silent_data_centres:
            return True
        return self._is_partitioned(record, now)

    def copy_for(
        self, context: records.RequestContext, target: messages.TargetRecord
    ) -> copies.Copy | None:
        """Return the copy of a cached prefix that `target` should make.

        Returns None if it has the prefix, or if prefill is as fast.
        """
        return self._copy(context, target, self._holders(context))

    def source_address(self, copy: copies.Copy | None) -> str:
        """Return the address of the source of `copy`; empty for None."""
        return self.table.entries[copy.source].record.address if copy else ""

    def _copy(
        self,
        context: records.RequestContext,
        target: messages.TargetRecord,
        holders: list[copies.Holder],
    ) -> copies.Copy | None:
        # What another software version has in its memory may not fit.
        binding = bindings.of_target(target)
        holders = [
            holder
            for holder in holders
            if binding.fits(self.table.entries[holder.id].record)
        ]
        if not holders:
            return None
        parts = context.incoming.parts
        total = sum(part.tokens for part in parts)
        receiver = copies.Holder(
            target.id,
            target.data_centre,
            total - self.prefixes.uncached_tokens(parts, target.id),
        )
        return copies.choose(holders, receiver, context.engine.copy_rate)

    def _holders(self, context: records.RequestContext) -> list[copies.Holder]:
        """Return the targets from which a cached prefix can be copied."""
        if context.engine is None or not context.route.with_prompt:
            return []
        now = self.clock()
        holders = []
        late = _late_sources(context)
        for entry in self.table.entries.values():
            record = entry.record
            if record.service != context.service or record.id in late:
                continue
            tokens = self.prefixes.copyable_tokens(
                context.incoming.parts, record.id
            )
            if not tokens or not self._may_copy_from(entry, now):
                continue
            stays = record.state == messages.State.READY
            holders.append(
                copies.Holder(record.id, record.data_centre, tokens, stays)
            )
        return holders

    def _may_copy_from(self, entry: tables.Entry, now: float) -> bool:
        record = entry.record
        if self._is_unreachable(record) or self._is_partitioned(record, now):
            return False
        if entry.gone_at:
            return entry.still_serving and now - entry.gone_at < LINGER_SECONDS
        return self.table.holds_address(record) and self._is_alive(record, now)

    def _is_alive(self, record: messages.TargetRecord, now: float) -> bool:
        # Partitioned keepers miss announcements of targets that respond here.
        if not record.silent:
            return True
        return (
            now - self.views[record.id].succeeded_at < RECENT_SUCCESS_SECONDS
        )

    def reaches_none(self, context: records.RequestContext) -> bool:
        """Return whether this router reaches no target of a request.

        Only targets that announce themselves count, of which there are some.
        """
        announced = [
            record
            for record in self.eligibility.of_request(context)
            if not record.silent
        ]
        return bool(announced) and all(map(self._is_unreachable, announced))

    def _is_unreachable(self, record: messages.TargetRecord) -> bool:
        return self.views[record.id].unreachable

    def _eligible(
        self,
        context: records.RequestContext,
        ready: list[messages.TargetRecord],
    ) -> list[messages.TargetRecord]:
        resting = {r.id for r in ready if self.rests.left(r.id)}
        context.is_trial = bool(resting) and len(resting) == len(ready)
        if resting:
            context.resting |= resting
        excluded = context.tried | resting
        if context.is_trial:
            excluded -= {
                name
                for name in resting - context.tried
                if self.rests.may_try(name, context.caller)
            }
        eligible = [record for record in ready if record.id not in excluded]
        with_room = [
            r for r in eligible if self.room.has_room(r, context.binding)
        ]
        context.lacks_room = len(with_room) < len(eligible)
        return with_room

    def _counts(self, record: messages.TargetRecord) -> brittleness.Counts:
        view = self.views[record.id]
        return brittleness.Counts(
            record.slots,
            view.running,
            view.others,
            max(self.count_routers(), self.routers),
            self.routers,
            self.clock() - self.counted_at,
        )

    def held_back(self, context: records.RequestContext) -> float:
        """Return for how many seconds the caller is held back, or 0."""
        if not self.rests.suspects:
            return 0.0
        return self.rests.held_back(context.caller)

    def rest_left(self, context: records.RequestContext) -> float:
        """Return for how many seconds all targets of the request rest, or 0.

        The rest of the first target that may be asked again counts.
        """
        ready = self.eligibility.of_request(context)
        return min((self.rests.left(r.id) for r in ready), default=0.0)

    def may_follow(
        self, context: records.RequestContext, target: messages.TargetRecord
    ) -> bool:
        """Return whether another target than `target` may take a request."""
        return any(
            not self.rests.left(record.id)
            and self.room.has_room(record, context.binding)
            for record in self.eligibility.after(context, target)
        )

    def begin(
        self,
        target: messages.TargetRecord,
        context: records.RequestContext,
        copy: copies.Copy | None = None,
    ) -> records.Run:
        """Count a request that is sent to `target`.

        Parameters
        ----------
        copy : Copy, optional
            Cached prefix that the target copies instead of prefilling it.
        """
        parts = context.incoming.parts
        tokens = self.prefixes.uncached_tokens(parts, target.id)
        tokens -= copy.tokens if copy else 0
        self.prefixes.record_sent(parts, target.id)
        self.unseen_requests.record_sent(_placement_key(context))
        view = self.views[target.id]
        view.prefill_tokens += tokens
        view.running += 1
        view.reported += 1
        return records.Run(target, self.clock(), prefill_tokens=tokens)

    def prefill_done(
        self, run: records.Run, context: records.RequestContext
    ) -> None:
        """Record that the target responds, so has prefilled the prompt."""
        run.is_accepted = True
        self.prefixes.mark_cached(context.incoming.parts, run.target.id)
        self._clear_prefill(run)

    def _clear_prefill(self, run: records.Run) -> None:
        self.views[run.target.id].prefill_tokens -= run.prefill_tokens
        run.prefill_tokens = 0

    def end(self, run: records.Run, context: records.RequestContext) -> None:
        """Count a run as ended."""
        seconds = self.clock() - run.begun_at
        if run.is_accepted:
            self.unseen_requests.record_duration(_kind(context), seconds)
        self._clear_prefill(run)
        view = self.views[run.target.id]
        view.running -= 1
        view.reported = max(0.0, view.reported - 1)
        self.room.request_ended(
            run.target, seconds if run.is_accepted else None
        )

    def update_load(
        self, target: messages.TargetRecord, load: records.Load
    ) -> None:
        """Store the load that `target` reported."""
        view = self.views[target.id]
        view.reported = load.running + load.waiting
        view.reported_at = self.clock()

    def record_success(self, target: messages.TargetRecord) -> None:
        """Record a response of the target."""
        view = self.views[target.id]
        view.failures = 0
        view.backoff_until = 0.0
        view.doubted_until = 0.0
        view.unreachable = False
        view.succeeded_at = self.clock()
        self.record_contact(target)

    def record_replaced(self, target: messages.TargetRecord) -> None:
        """Record that another target has answered for `target`."""
        self.table.mark_replaced(target.id)
        self.views[target.id].unreachable = True

    def failed_recently(self, target: messages.TargetRecord) -> bool:
        """Return whether the last attempt failed, here or at other routers."""
        view = self.views[target.id]
        avoided_until = max(view.backoff_until, view.doubted_until)
        return view.failures > 0 or avoided_until > self.clock()

    def unreachable_targets(self) -> list[str]:
        """Return the targets that this router recently failed to reach."""
        now = self.clock()
        return [
            name
            for name, view in self.views.items()
            if view.unreachable
            and view.backoff_until > now
            and not self._lost_path_to(name)
        ]

    def announced(self, service: str) -> list[messages.TargetRecord]:
        """Return the targets of the service that announce themselves."""
        return [r for r in self.eligibility.ready(service) if not r.silent]

    def _lost_path_to(self, target_id: str) -> bool:
        """Return whether the target's failures may be this router's own."""
        entry = self.table.entries.get(target_id)
        return entry is not None and self.paths.is_lost(entry.record.service)

    def record_contact(self, target: messages.TargetRecord) -> None:
        """Record that `target` sent data, so its data centre is reachable."""
        self.views[target.id].heard_at = self.clock()
        self.paths.record_answer(target)
        if target.data_centre in self.data_centres:
            del self.data_centres[target.data_centre]

    def _count_unreachable(self, target: messages.TargetRecord) -> None:
        if target.data_centre == self.data_centre:
            return
        view = self.data_centres[target.data_centre]
        view.unreachable.add(target.id)
        if len(view.unreachable) >= PARTITION_TARGETS:
            view.partitioned_until = self.clock() + PARTITION_SECONDS

    def _is_partitioned(
        self, target: messages.TargetRecord, now: float
    ) -> bool:
        view = self.data_centres.get(target.data_centre)
        return view is not None and view.partitioned_until > now

    def record_failure(
        self, target: messages.TargetRecord, reached: bool
    ) -> None:
        """Record an attempt that the target did not complete.

        Parameters
        ----------
        reached : bool
            Whether a connection was made. The target is then avoided only
            from the second consecutive failure on, as avoiding it moves long
            prompts to targets that have not cached them.
        """
        view = self.views[target.id]
        view.failures += 1
        view.unreachable = not reached
        if reached:
            view.failed_at = self.clock()
        else:
            self._count_unreachable(target)
        failures = view.failures - (1 if reached else 0)
        if failures < 1:
            return
        seconds = BACKOFF_SECONDS * 2 ** (failures - 1)
        view.backoff_until = self.clock() + min(seconds, MAX_BACKOFF_SECONDS)

    def in_flight(self) -> dict[str, int]:
        """Return this router's requests in flight by target."""
        views = self.views.items()
        return {name: view.running for name, view in views if view.running}

    def pending_tokens(self) -> dict[str, int]:
        """Return the tokens yet to be prefilled for this router, by target."""
        views = self.views.items()
        return {
            name: view.prefill_tokens
            for name, view in views
            if view.prefill_tokens
        }

    def update_from_others(self, others: sharing.Others) -> None:
        """Apply the reports of the other routers."""
        self.counted_at = self.clock() - others.age
        self.routers = others.routers
        self._apply_unreachable(others.unreached)
        until = self.clock() + PEER_REPORT_SECONDS
        for name in set(others.failing) & set(self.table.entries):
            self.views[name].reported_failing_until = until
        reported = set(others.counts) | set(others.reading)
        for target_id in set(self.views) | reported & set(self.table.entries):
            view = self.views[target_id]
            view.others = others.counts.get(target_id, 0)
            view.others_prefill_tokens = others.reading.get(target_id, 0)
        self.prefixes.merge(others.places)
        self.room.limits.record_told(others.brittle)
        self.room.limits.refused_others = others.refused
        self.room.renew()

    def report(self) -> sharing.Report:
        """Return the report for the other routers."""
        tokens = self.prefixes.prefix_tokens
        return sharing.Report(
            self.in_flight(),
            [list(pair) for pair in self.prefixes.take_updates()],
            self.unreachable_targets(),
            self.pending_tokens(),
            self.failing_targets(),
            tokens=tokens,
            refused=self.room.limits.refused_here(),
            brittle=self.room.limits.seen_here(),
        )

    def failing_targets(self) -> list[str]:
        """Return the targets that recently broke off a response here."""
        oldest = self.clock() - FAILING_SECONDS
        views = self.views.items()
        return [
            name
            for name, view in views
            if view.failed_at > oldest and not self._lost_path_to(name)
        ]

    def _apply_unreachable(self, unreached: dict[str, int]) -> None:
        # Otherwise each router would lose requests to a target that lost
        # power.
        now = self.clock()
        enough = max(MIN_DOUBTING_ROUTERS, MIN_DOUBTING_SHARE * self.routers)
        for name, routers in unreached.items():
            if routers < enough or name not in self.table.entries:
                continue
            view = self.views[name]
            if now - view.succeeded_at > TRUSTED_SECONDS:
                view.doubted_until = now + PEER_REPORT_SECONDS

    def prune(self) -> None:
        """Drop state of targets that are gone, and expired cache locations."""
        self.prefixes.prune(self.table.entries)
        self.rests.prune()
        self.room.limits.prune(self.table.entries)
        self.paths.update()
        for target_id in set(self.views) - set(self.table.entries):
            if not self.views[target_id].running:
                del self.views[target_id]


def _late_sources(context: records.RequestContext) -> set[str]:
    """Return the targets that may have made an attempt late or fail.

    They are those of the attempts, and the ones that these copied from.
    Refusals say nothing of a copy.
    """
    late = context.tried - {record.id for record in context.refused_by}
    copied = [copy.split(">") for copy in context.copies]
    return late | {source for source, target in copied if target in late}


def _placement_key(context: records.RequestContext) -> str:
    """Return what requests have in common that prefer the same targets."""
    parts = context.incoming.parts
    if not (context.route.with_prompt and parts):
        return context.service
    return (parts[-2] if len(parts) > 1 else parts[-1]).id


def _kind(context: records.RequestContext) -> str:
    """Return what requests have in common that take similarly long."""
    if context.route.with_prompt:
        return f"{context.service} {context.route.name}"
    return context.service
