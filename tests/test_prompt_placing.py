"""Placement by cached prefix, load and failures, without a network.

The simulated load has 8 engines and 23 requests per second that take 0.9 s
each. A fifth of them share one of 16 prefixes of 10,000 tokens, the rest one
of 85 prefixes of 1,000 tokens.
"""

import collections
import dataclasses
import random
import unittest
from unittest import mock

from amaranthring import routing
from amaranthring.forwarding import placement
from amaranthring.forwarding import prompts
from amaranthring.forwarding import records
from amaranthring.policy import affinity
from amaranthring.policy import budgets
from amaranthring.registry import messages
from amaranthring.registry import sharing
from amaranthring.registry import targets

ENGINES = [f"e{n}" for n in range(8)]
SECONDS = 60.0
REQUESTS_PER_SECOND = 23.0
REQUEST_SECONDS = 0.9
LONG_SHARE = 0.2
# Maximum age of the counts of other routers.
LAG_SECONDS = 0.4
# Seeds of a test of random choices, and the share in which it must hold.
SEEDS = 100
MIN_SPREAD_SHARE = 0.9


class Simulation:
    """Simulated requests, placed one after the other.

    Attributes
    ----------
    recomputed_tokens : int
        Tokens of shared parts that another engine had already prefilled.
    loads : list of tuple of int
        Requests at the chosen engine and at all engines, per placement.
    """

    def __init__(self, seed: int, popular_share: float = 0.0):
        self.random = random.Random(seed)
        self.popular_share = popular_share
        self.now = 1000.0
        self.index = prompts.PrefixIndex(lambda: self.now)
        self.running: list[tuple[float, float, str]] = []
        self.cached: dict[str, set[str]] = collections.defaultdict(set)
        self.recomputed_tokens = 0
        self.loads: list[tuple[int, int]] = []

    def run(self, choose) -> None:
        """Place requests for a minute with `choose`."""
        run_until = self.now + SECONDS
        while self.now < run_until:
            self.now += self.random.expovariate(REQUESTS_PER_SECOND)
            self.running = [r for r in self.running if r[1] > self.now]
            parts = self.next_parts()
            engine = choose(self, parts)
            self.record(parts, engine)

    def next_parts(self):
        """Return the parts of the next prompt."""
        if self.random.random() < self.popular_share:
            shared = ("long0", 10_000)
        elif self.random.random() < LONG_SHARE:
            shared = (f"long{self.random.randrange(16)}", 10_000)
        else:
            shared = (f"short{self.random.randrange(85)}", 1_000)
        own = records.PromptPart(f"own{self.random.random()}", 200)
        return (records.PromptPart(*shared), own)

    def record(self, parts, engine: str) -> None:
        """Record a request at `engine`."""
        load = sum(1 for _, _, where in self.running if where == engine)
        self.loads.append((load, len(self.running)))
        ends_at = self.now + self.random.expovariate(1 / REQUEST_SECONDS)
        self.running.append((self.now, ends_at, engine))
        for part in parts[:-1]:
            holders = self.cached[part.id]
            if holders and engine not in holders:
                self.recomputed_tokens += part.tokens
            holders.add(engine)
        self.index.record_sent(parts, engine)

    def load(self, engine: str) -> int:
        """Return the requests at `engine` as known to a router."""
        counts_at = self.now - LAG_SECONDS
        return sum(
            1
            for started_at, _, where in self.running
            if where == engine and started_at < counts_at
        )

    def overloaded(self) -> float:
        """Return the share of requests at overloaded engines."""
        over = [
            load
            for load, total in self.loads
            if load + 1 > 2 * (total + 1) / len(ENGINES) + 3
        ]
        return len(over) / len(self.loads)


def by_prompt(simulation: Simulation, parts) -> str:
    candidates = [
        affinity.Candidate(
            engine,
            simulation.load(engine),
            64,
            True,
            simulation.index.uncached_tokens(parts, engine),
        )
        for engine in ENGINES
    ]
    tokens = sum(part.tokens for part in parts)
    return affinity.choose_by_prefix(
        candidates, parts[-2].id, tokens, simulation.random.random
    ).id


def by_load(simulation: Simulation, parts) -> str:
    del parts
    candidates = [
        affinity.Candidate(engine, simulation.load(engine), 64)
        for engine in ENGINES
    ]
    return affinity.least_loaded(candidates, simulation.random.random).id


class TestPrefixAffinity(unittest.TestCase):
    """Reuse of cached prefixes, and the load of engines."""

    def simulate(self, choose, **options):
        runs = []
        for seed in (1, 2, 3):
            run = Simulation(seed, **options)
            run.run(choose)
            runs.append(run)
        recomputed = sum(run.recomputed_tokens for run in runs) / len(runs)
        overloaded = max(run.overloaded() for run in runs)
        return recomputed, overloaded

    def test_affinity_avoids_nine_tenths_of_recomputation(self):
        by_load_only, _ = self.simulate(by_load)
        recomputed, overloaded = self.simulate(by_prompt)
        self.assertLess(recomputed, by_load_only / 10)
        self.assertLess(overloaded, 0.03)

    def test_popular_prefix_does_not_overload_engines(self):
        """A third of all requests have the same long prefix.

        They must not all go to the one engine that has cached it.
        """
        _, overloaded = self.simulate(by_prompt, popular_share=0.33)
        self.assertLess(overloaded, 0.03)


class TestPendingPrefill(unittest.TestCase):
    """Engines that have yet to prefill prompts of other requests."""

    def choose(self, uncached, pending):
        candidates = [
            affinity.Candidate("e0", 1, 64, True, uncached[0], pending[0]),
            affinity.Candidate("e1", 1, 64, True, uncached[1], pending[1]),
        ]
        return affinity.choose_by_prefix(candidates, "key", 10_000).id

    def test_uncached_prompts_are_spread(self):
        """No engine has cached any of the prefixes.

        Hashing alone may send several long prompts to one engine, where each
        waits until those before it are prefilled.
        """
        cold = (10_000, 10_000)
        first = self.choose(cold, (0, 0))
        pending = (10_000, 0) if first == "e0" else (0, 10_000)
        self.assertNotEqual(first, self.choose(cold, pending))

    def test_cached_prefix_is_left_only_for_long_queues(self):
        # Repeated, as the choice may be random.
        for _ in range(20):
            self.assertEqual("e0", self.choose((0, 2_000), (10_000, 0)))
            self.assertEqual("e1", self.choose((0, 2_000), (60_000, 0)))
            self.assertEqual("e0", self.choose((0, 10_000), (60_000, 0)))


class TestPrefixIndex(unittest.TestCase):
    """Locations of cached prefixes, as recorded by routers."""

    def setUp(self):
        self.now = 1000.0
        self.index = prompts.PrefixIndex(lambda: self.now)
        self.parts = (
            records.PromptPart("a", 100),
            records.PromptPart("b", 1000),
            records.PromptPart("own", 10),
        )

    def test_part_counts_only_after_all_parts_before_it(self):
        self.index.merge([("b", "e0")])
        self.assertEqual(1110, self.index.uncached_tokens(self.parts, "e0"))
        self.index.merge([("a", "e0")])
        self.assertEqual(10, self.index.uncached_tokens(self.parts, "e0"))
        self.assertEqual(1110, self.index.uncached_tokens(self.parts, "e1"))

    def test_locations_are_reported_at_intervals(self):
        self.index.record_sent(self.parts, "e0")
        self.index.record_sent(self.parts, "e0")
        reported = [("a", "e0"), ("b", "e0")]
        self.assertEqual(reported, self.index.take_updates())
        self.now += prompts.REPEAT_SECONDS + 1
        self.index.record_sent(self.parts, "e0")
        self.assertEqual(reported, self.index.take_updates())

    def test_part_has_the_length_of_its_longest_prefix(self):
        """Locations are reported in order of this length.

        A short part that begins many prompts must not come last: the parts
        after it are of no use without it.
        """
        self.index.record_sent(self.parts, "e0")
        self.index.record_sent([self.parts[0], self.parts[2]], "e0")
        self.assertEqual({"a": 1100, "b": 1100}, self.index.prefix_tokens)
        self.index.take_updates()
        self.assertEqual({}, self.index.prefix_tokens)

    def test_unused_locations_expire(self):
        self.index.record_sent(self.parts, "e0")
        self.now += prompts.RETENTION_SECONDS + 1
        self.assertEqual(1110, self.index.uncached_tokens(self.parts, "e0"))
        self.index.prune({"e0"})
        self.assertEqual({}, dict(self.index._locations))

    def test_number_of_parts_is_limited(self):
        for number in range(prompts.MAX_PARTS + 10):
            self.index.merge([(str(number), "e0")])
        self.assertEqual(prompts.MAX_PARTS, len(self.index._locations))


class TestPlainRequests(unittest.TestCase):
    """Requests without a prompt."""

    def test_local_target_is_preferred_unless_more_loaded(self):
        local = affinity.Candidate("near", 1, 6, True)
        remote = affinity.Candidate("far", 0, 6, False)
        self.assertEqual(local, affinity.least_loaded([local, remote]))
        local.load = 3
        self.assertEqual(remote, affinity.least_loaded([local, remote]))

    def test_no_candidates(self):
        self.assertIsNone(affinity.least_loaded([]))
        self.assertIsNone(affinity.choose_by_prefix([], "a", 1))


class TestRetryBudget(unittest.TestCase):
    """Retries of all routers together in any window."""

    def test_routers_together_stay_within_the_budget(self):
        """All targets fail, and callers are distributed unevenly.

        In 10 s, 7 routers together may retry a fifth of the requests plus 54,
        whichever of them receives the requests.
        """
        now = [0.0]
        budget_of = [
            budgets.WindowBudget(0.2, 54, 10.0, lambda: now[0])
            for _ in range(7)
        ]
        rng = random.Random(4)
        retries = []
        requests = []
        while now[0] < 40:
            now[0] += rng.expovariate(60)
            router = min(6, int(rng.expovariate(0.7)))
            budget_of[router].count_request()
            requests.append(now[0])
            if budget_of[router].take(1 / 7):
                retries.append(now[0])
        self.assertGreater(len(retries), 0.1 * len(requests))
        for end in range(10, 41):
            retried = sum(end - 10 < at <= end for at in retries)
            requested = sum(end - 10 < at <= end for at in requests)
            self.assertLessEqual(retried, 0.2 * requested + 54)


class TestFailedTargets(unittest.TestCase):
    """Placement after failures of targets."""

    def setUp(self):
        self.now = 100.0
        table = targets.TargetTable(lambda: self.now, 0.0)
        for name in ("e0", "e1"):
            table.merge(messages.TargetRecord(name, "s", f"{name}:1", "here"))
        self.placer = placement.Placer(table, "here", lambda: self.now)
        self.parts = (
            records.PromptPart("a", 10_000),
            records.PromptPart("own", 10),
        )
        self.first = self.chosen()

    def chosen(self, idempotent=True, is_suspect=False):
        return self.placer.choose(self.context(idempotent, is_suspect))

    def context(self, idempotent=True, is_suspect=False):
        incoming = records.Incoming(
            "r", "POST", "/", "/", "h", None, self.now, parts=self.parts
        )
        route = routing.Route(
            "r", "h", "/", routing.Kind.STREAM, 5.0, 0.5, 0, (),
            with_prompt=True, resumable=idempotent,
        )  # fmt: skip
        context = records.RequestContext(incoming, route, "", "s", 1, 200.0)
        context.is_suspect = is_suspect
        return context

    def report_unreachable(self, unreached):
        self.placer.update_from_others(sharing.Others({}, [], unreached))

    def test_one_broken_response_moves_no_prompt(self):
        """Engines break off a few responses in a hundred.

        If every failure moved requests, long prompts would be prefilled at
        one engine after the other.
        """
        self.placer.record_failure(self.first, reached=True)
        self.assertEqual(self.first, self.chosen())
        self.placer.record_failure(self.first, reached=True)
        self.assertNotEqual(self.first, self.chosen())

    def test_suspect_runs_beside_few_requests(self):
        """Guards against a suspect that goes where its prompt is cached.

        If it crashes its target, all requests there are lost.
        """
        self.placer.prefixes.mark_cached(self.parts, self.first.id)
        self.placer.views[self.first.id].running = 1
        self.assertEqual(self.first, self.chosen())
        self.assertNotEqual(self.first, self.chosen(is_suspect=True))

    def test_one_broken_response_moves_requests_that_may_run_once(self):
        """An engine breaks off many responses while its health check passes.

        Requests that may run only once are lost with each of them.
        """
        other = self.chosen(idempotent=False)
        self.assertEqual(self.first, other)
        self.placer.record_failure(self.first, reached=True)
        self.assertNotEqual(self.first, self.chosen(idempotent=False))
        self.now += placement.FAILING_SECONDS
        self.assertEqual(self.first, self.chosen(idempotent=False))
        self.placer.update_from_others(
            sharing.Others({}, [], failing={self.first.id: 1})
        )
        self.assertNotEqual(self.first, self.chosen(idempotent=False))
        self.assertEqual(self.first, self.chosen())

    def test_failing_engines_are_used_if_all_fail(self):
        failing = dict.fromkeys(self.placer.table.entries, 1)
        self.placer.update_from_others(sharing.Others({}, [], failing=failing))
        self.assertEqual(self.first, self.chosen(idempotent=False))

    def test_unreachable_target_is_avoided_at_once(self):
        self.placer.record_failure(self.first, reached=False)
        self.assertNotEqual(self.first, self.chosen())
        self.now += placement.BACKOFF_SECONDS
        self.assertEqual(self.first, self.chosen())

    def test_tokens_that_others_waited_for_long_ago_do_not_count(self):
        """Guards against a target that is avoided until a keeper is back."""
        self.placer.prefixes.mark_cached(self.parts, self.first.id)
        reading = {self.first.id: 1_000_000}
        self.placer.update_from_others(sharing.Others({}, [], reading=reading))
        self.assertNotEqual(self.first, self.chosen())
        self.now += placement.MAX_PENDING_AGE_SECONDS + 0.1
        self.assertEqual(self.first, self.chosen())

    def test_placement_records_how_many_routers_the_counts_are_of(self):
        self.placer.count_routers = lambda: 9
        self.placer.update_from_others(sharing.Others({}, [], routers=4))
        context = self.context()
        self.placer.choose(context)
        self.assertEqual(
            (4, 9), (context.placements[0].told, context.placements[0].routers)
        )

    def spread(self, told, routers):
        """Return how many targets share twenty requests without a prompt."""
        table = targets.TargetTable(lambda: self.now, 0.0)
        for number in range(8):
            name = f"e{number}"
            table.merge(messages.TargetRecord(name, "s", f"{name}:1", "here"))
        placer = placement.Placer(
            table, "here", lambda: self.now, lambda: routers
        )
        loads = {f"e{number}": number for number in range(8)}
        placer.update_from_others(sharing.Others(loads, [], routers=told))
        context = self.context()
        context.route.with_prompt = False
        return len({placer.choose(context).id for _ in range(20)})

    def test_missing_counts_spread_requests(self):
        """Guards against missing counts that are taken for no requests."""
        many = 0
        for seed in range(SEEDS):
            random.seed(seed)
            self.assertEqual(1, self.spread(told=80, routers=80))
            many += self.spread(told=10, routers=80) > 3
        self.assertLessEqual(MIN_SPREAD_SHARE * SEEDS, many)

    def test_unknown_number_of_routers_spreads_requests(self):
        """Guards against a router that starts and takes itself for alone."""
        self.assertLess(3, self.spread(told=1, routers=0))

    def test_each_kind_of_request_has_its_duration(self):
        """Guards against long requests that are taken for short ones."""
        for seconds, name in ((10.0, "long"), (0.1, "short")):
            context = self.context()
            context.route.name = name
            run = self.placer.begin(self.first, context)
            self.placer.prefill_done(run, context)
            self.now += seconds
            self.placer.end(run, context)
        durations = self.placer.unseen_requests.durations
        self.assertAlmostEqual(10.0, durations["s long"])
        self.assertAlmostEqual(0.1, durations["s short"])

    def test_failed_attempts_do_not_shorten_the_duration_of_requests(self):
        """Guards against old counts that are trusted while targets fail."""
        durations = self.placer.unseen_requests.durations
        incoming = records.Incoming("r", "GET", "/", "/", "h", None, self.now)
        context = records.RequestContext(incoming, None, "", "s", 1, 200.0)
        context.route = mock.Mock(with_prompt=False)
        for responds in (False, True):
            run = self.placer.begin(self.first, context)
            self.now += 0.3
            if responds:
                self.placer.prefill_done(run, context)
            self.placer.end(run, context)
            self.assertEqual(responds, "s" in durations)

    def test_response_resets_failures(self):
        self.placer.record_failure(self.first, reached=True)
        self.placer.record_success(self.first)
        self.placer.record_failure(self.first, reached=True)
        self.assertEqual(self.first, self.chosen())

    def test_target_that_other_routers_cannot_reach_is_avoided(self):
        """An engine's VM loses power.

        Without reports from others, every router would lose requests to it.
        """
        self.report_unreachable({self.first.id: 1})
        self.assertEqual(self.first, self.chosen())
        self.report_unreachable({self.first.id: 2})
        self.assertNotEqual(self.first, self.chosen())
        self.assertTrue(self.placer.failed_recently(self.first))
        self.now += placement.PEER_REPORT_SECONDS
        self.assertEqual(self.first, self.chosen())

    def test_own_success_overrides_reports_of_others(self):
        self.placer.record_success(self.first)
        self.report_unreachable({self.first.id: 5})
        self.assertEqual(self.first, self.chosen())

    def test_one_target_is_tried_if_all_fail(self):
        for record in list(self.placer.table.active()):
            self.placer.record_failure(record, reached=True)
            self.placer.record_failure(record, reached=True)
        self.assertIsNotNone(self.chosen())

    def test_no_target_if_none_can_be_reached(self):
        """The router's data centre is isolated from all targets.

        Otherwise each request would wait for one connect timeout after the
        other, and be refused too late to go elsewhere.
        """
        for record in list(self.placer.table.active()):
            self.placer.record_failure(record, reached=False)
        self.assertIsNone(self.chosen())
        self.now += placement.BACKOFF_SECONDS
        self.assertIsNotNone(self.chosen())

    def test_silent_target_that_responds_keeps_its_prompts(self):
        """Keepers are partitioned and miss announcements of live targets.

        Targets that still respond here must not lose their prompts.
        """
        record = dataclasses.replace(self.first, silent=True)
        self.placer.record_success(self.first)
        self.placer.table.merge(record)
        self.assertEqual(self.first.id, self.chosen().id)
        self.now += placement.RECENT_SUCCESS_SECONDS
        self.assertNotEqual(self.first.id, self.chosen().id)


class TestLossyNetwork(unittest.TestCase):
    """Ninety routers on a lossy network.

    At any time two or three of them fail to connect to each engine. Their
    reports must not make all other routers use the same few engines.
    """

    def test_few_of_many_routers_leave_no_engine_out(self):
        """Guards against a doubt of two routers that all ninety heed."""
        placer, context = self.router(engines=30)
        unreached = {f"e{number}": 3 for number in range(14)}
        others = sharing.Others({}, [], unreached, routers=90)
        placer.update_from_others(others)
        self.assertEqual(30, self.candidates(placer, context))
        unreached = {f"e{number}": 30 for number in range(14)}
        others = sharing.Others({}, [], unreached, routers=90)
        placer.update_from_others(others)
        self.assertEqual(16, self.candidates(placer, context))

    def router(self, engines):
        """Return the placer of a router, and a request."""
        now = 100.0
        table = targets.TargetTable(lambda: now, 0.0)
        for number in range(engines):
            name = f"e{number}"
            table.merge(messages.TargetRecord(name, "s", f"{name}:1", "here"))
        incoming = records.Incoming("r", "GET", "/", "/", "h", None, now)
        route = routing.Route(
            "r", "h", "/", routing.Kind.SAFE, 5.0, 0.5, 0, ()
        )  # fmt: skip
        return (
            placement.Placer(table, "here", lambda: now),
            records.RequestContext(incoming, route, "", "s", 1, 200.0),
        )

    def candidates(self, placer, context):
        """Return from how many targets a request's target is chosen."""
        placer.choose(context)
        return context.placements[-1].candidates

    def test_engines_that_a_few_could_not_reach_share_the_load(self):
        now = 100.0
        table = targets.TargetTable(lambda: now, 0.0)
        for number in range(30):
            name = f"e{number}"
            table.merge(messages.TargetRecord(name, "s", f"{name}:1", "here"))
        placer = placement.Placer(table, "here", lambda: now)
        placer.record_success(table.entries["e0"].record)
        unreached = dict.fromkeys(table.entries, 3)
        placer.update_from_others(sharing.Others({}, [], unreached))
        incoming = records.Incoming("r", "GET", "/", "/", "h", None, now)
        route = routing.Route(
            "r", "h", "/", routing.Kind.SAFE, 5.0, 0.5, 0, ()
        )  # fmt: skip
        context = records.RequestContext(incoming, route, "", "s", 1, 200.0)
        sent = collections.Counter()
        for _ in range(60):
            target = placer.choose(context)
            placer.begin(target, context, None)
            sent[target.id] += 1
        self.assertLessEqual(max(sent.values()), 2 * 60 / 30)


class TestPartition(unittest.TestCase):
    """A network partition between this data centre and another."""

    def setUp(self):
        self.now = 100.0
        table = targets.TargetTable(lambda: self.now, 0.0)
        for number in range(6):
            data_centre = "there" if number < 4 else "here"
            table.merge(
                messages.TargetRecord(
                    f"e{number}", "s", f"e{number}:1", data_centre
                )
            )
        self.placer = placement.Placer(table, "here", lambda: self.now)
        self.records = {r.id: r for r in table.active()}

    def chosen_data_centres(self):
        route = routing.Route(
            "r", "h", "/", routing.Kind.STREAM, 5.0, 0.5, 0, (),
            with_prompt=True,
        )  # fmt: skip
        chosen = set()
        for number in range(40):
            incoming = records.Incoming(
                "r", "POST", "/", "/", "h", None, self.now,
                parts=(records.PromptPart(f"p{number}", 10),),
            )  # fmt: skip
            context = records.RequestContext(
                incoming, route, "", "s", 1, 200.0
            )
            chosen.add(self.placer.choose(context).data_centre)
        return chosen

    def test_data_centre_is_avoided_after_two_unreachable_targets(self):
        """All packets to a data centre with four engines are dropped.

        Requests must not wait for a connect timeout of each engine.
        """
        self.placer.record_failure(self.records["e0"], reached=False)
        self.assertEqual({"here", "there"}, self.chosen_data_centres())
        self.placer.record_failure(self.records["e1"], reached=False)
        self.assertEqual({"here"}, self.chosen_data_centres())
        self.now += placement.PARTITION_SECONDS
        self.assertEqual({"here", "there"}, self.chosen_data_centres())

    def test_contact_with_one_target_ends_the_partition(self):
        self.placer.record_failure(self.records["e0"], reached=False)
        self.placer.record_failure(self.records["e1"], reached=False)
        self.placer.record_contact(self.records["e2"])
        self.assertEqual({"here", "there"}, self.chosen_data_centres())

    def test_own_data_centre_is_never_avoided(self):
        self.placer.record_failure(self.records["e4"], reached=False)
        self.placer.record_failure(self.records["e5"], reached=False)
        self.now += placement.BACKOFF_SECONDS
        self.assertEqual({"here", "there"}, self.chosen_data_centres())
