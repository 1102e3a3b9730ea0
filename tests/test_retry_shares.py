"""Shares of the retry budget: all routers together, whatever is linked."""

import asyncio
import random
import unittest

from amaranthring.testing import plan_keepers
from amaranthring.testing import retry_timeline
from tests import keepers_case

SEEDS = range(12)
# Longer than any share is held without a leader.
LONG_SECONDS = 45.0


class TimelineCase(unittest.TestCase):
    """Checks that no window of a timeline exceeds the rule.

    Attributes
    ----------
    rule : retry_timeline.Rule
        Without a ratio, so that shares of the allowance alone decide.
    """

    rule = retry_timeline.Rule(ratio=0.0, allowance=500.0)
    rate = 200.0

    def timeline(self, seed=1, **parameters):
        parameters = {"rule": self.rule, "rate": self.rate, **parameters}
        timeline = retry_timeline.Timeline(random.Random(seed), **parameters)
        timeline.run(40)
        return timeline

    def check(self, timeline):
        self.assertLessEqual(timeline.worst_excess(), 0)


class TestLostLinks(TimelineCase):
    """Keepers that are gone, restart or are cut off, after calm times."""

    def test_routers_without_keepers_do_not_take_the_whole(self):
        """Routers without a link each counted themselves alone."""
        timeline = self.timeline()
        for data_centre in retry_timeline.DATA_CENTRES:
            timeline.stop_keeper(data_centre)
        timeline.run(LONG_SECONDS)
        self.check(timeline)

    def test_restarted_keepers_do_not_forget_routers_out_of_touch(self):
        """A keeper that had just started counted who had linked again."""
        for seconds in (2, 12, 25):
            with self.subTest(seconds=seconds):
                timeline = self.timeline(seconds)
                timeline.cut = {"c"}
                for data_centre in retry_timeline.DATA_CENTRES:
                    timeline.start_keeper(data_centre)
                timeline.run(seconds)
                timeline.cut = set()
                timeline.run(LONG_SECONDS)
                self.check(timeline)

    def test_both_sides_of_a_partition_share_one_allowance(self):
        """Keepers counted only the routers on their side."""
        for seconds in (5, 15, 25, 35, 70):
            with self.subTest(seconds=seconds):
                timeline = self.timeline(seconds)
                timeline.cut = {"c"}
                timeline.run(seconds)
                timeline.cut = set()
                timeline.run(LONG_SECONDS)
                self.check(timeline)

    def test_data_centre_back_after_a_long_partition_waits_for_the_others(
        self,
    ):
        """The others had spent larger shares in the same window."""
        timeline = self.timeline()
        timeline.cut = {"c"}
        timeline.run(65)
        timeline.failing = False
        timeline.run(10)
        timeline.failing = True
        timeline.run(4)
        timeline.cut = set()
        timeline.run(LONG_SECONDS)
        self.check(timeline)

    def test_leader_that_was_cut_off_admits_nobody_at_once(self):
        """Guards against shares of which the other side has not heard."""
        timeline = self.timeline()
        timeline.cut = {"b"}
        timeline.run(65)
        timeline.failing = False
        timeline.run(10)
        timeline.failing = True
        timeline.run(4)
        timeline.cut = {"c"}
        timeline.run(0.8)
        timeline.leader = "b"
        timeline.run(LONG_SECONDS)
        self.check(timeline)


class PartlyCutTimeline(retry_timeline.Timeline):
    """A timeline in which routers of two data centres reach one keeper only.

    Those of a and b reach their own one, those of c reach all, and the keepers
    reach each other.

    Attributes
    ----------
    partly_cut : bool
        Whether the links are lost.
    """

    partly_cut = False

    def reaches(self, data_centre, router):
        return not self.partly_cut or router.data_centre in (data_centre, "c")


class TestPartlyCut(TimelineCase):
    """Links between some routers and some keepers are lost for long."""

    def test_next_leader_counts_routers_that_only_the_last_one_reached(self):
        """A new leader had forgotten routers that hold their shares still."""
        timeline = PartlyCutTimeline(
            random.Random(1), rule=self.rule, rate=self.rate, router_count=9
        )
        timeline.run(40)
        while timeline.leader != "a":
            timeline.leader = "a"
            timeline.run(40)
        timeline.partly_cut = True
        timeline.run(45)
        timeline.stop_keeper("a")
        timeline.run(1.5)
        timeline.leader = "b"
        timeline.run(1)
        timeline.start_keeper("a")
        timeline.run(LONG_SECONDS)
        self.check(timeline)


class TestStarts(TimelineCase):
    """Routers that start, restart or are added."""

    def test_restarted_routers_do_not_spend_again(self):
        """A restarted router forgot what it had spent."""
        timeline = self.timeline()
        for _ in range(3):
            for name in list(timeline.routers):
                timeline.start_router(name)
            timeline.run(3)
        timeline.run(LONG_SECONDS)
        self.check(timeline)

    def test_restarted_routers_do_not_spend_again_by_new_requests(self):
        """Retries before a restart rest on requests before the window."""
        rule = retry_timeline.Rule(ratio=0.2, allowance=0.0)
        timeline = self.timeline(rule=rule)
        timeline.failing = False
        timeline.run(10)
        timeline.failing = True
        timeline.run(2)
        for name in list(timeline.routers):
            timeline.start_router(name)
        timeline.run(LONG_SECONDS)
        self.check(timeline)

    def test_routers_restarted_in_a_partition_count_the_other_side(self):
        """A leader counted only routers with a link."""
        timeline = self.timeline()
        timeline.cut = {"c"}
        timeline.run(1)
        for name, router in list(timeline.routers.items()):
            if router.data_centre != "c":
                timeline.start_router(name)
        timeline.run(LONG_SECONDS)
        self.check(timeline)

    def test_added_routers_wait_until_all_know_of_them(self):
        """Routers cut off before did not know of those added since."""
        rule = retry_timeline.Rule(ratio=0.0, allowance=2000.0)
        timeline = self.timeline(rule=rule, router_count=6)
        timeline.failing = False
        timeline.cut = {"c"}
        timeline.run(1)
        added = [f"r{number}" for number in range(6, 66) if number % 3 < 2]
        for name in added:
            timeline.start_router(name)
        timeline.run(10.5)
        timeline.failing = True
        timeline.run(LONG_SECONDS)
        self.check(timeline)

    def test_first_router_of_a_first_start_waits_for_the_others(self):
        """A leader tells the first router to ask that it is alone."""
        rule = retry_timeline.Rule(ratio=0.0, allowance=60.0)
        timeline = retry_timeline.Timeline(random.Random(1), rule, 1, 100.0)
        timeline.run(1.4)
        for number in range(1, 7):
            timeline.start_router(f"r{number}", first_start=True)
        timeline.run(LONG_SECONDS)
        self.check(timeline)


class TestSeries(TimelineCase):
    """Random series of events that overlap."""

    RATES = (5.0, 21.0, 80.0)
    rule = retry_timeline.Rule()

    def test_no_window_exceeds_the_rule(self):
        """Links, keepers, routers and data centres come and go."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                timeline = self.timeline(
                    seed,
                    router_count=3 + seed % 6,
                    rate=self.RATES[seed % len(self.RATES)],
                )
                for _ in range(40):
                    self.one_event(timeline)
                    timeline.run(timeline.rng.uniform(0.2, 12))
                self.check(timeline)

    def one_event(self, timeline):
        rng = timeline.rng
        data_centre = rng.choice(retry_timeline.DATA_CENTRES)
        name = rng.choice(sorted(timeline.routers))
        event = rng.choice(
            [
                lambda: timeline.stop_keeper(data_centre),
                lambda: self.start_keepers(timeline, [data_centre]),
                lambda: self.start_keepers(
                    timeline, retry_timeline.DATA_CENTRES
                ),
                lambda: timeline.start_router(name),
                lambda: self.restart_routers(timeline),
                lambda: self.add_router(timeline),
                lambda: self.remove_router(timeline, name),
                lambda: setattr(timeline, "cut", {data_centre}),
                lambda: setattr(timeline, "cut", set()),
                lambda: setattr(timeline, "failing", not timeline.failing),
            ]
        )
        event()

    def start_keepers(self, timeline, data_centres):
        for data_centre in data_centres:
            timeline.start_keeper(data_centre)

    def restart_routers(self, timeline):
        for name in list(timeline.routers):
            timeline.start_router(name)

    def add_router(self, timeline):
        numbers = [int(name[1:]) for name in timeline.routers]
        timeline.start_router(f"r{max(numbers) + 1}")

    def remove_router(self, timeline, name):
        if len(timeline.routers) > 2:
            timeline.stop_router(name)


class LostLinksTimeline(retry_timeline.Timeline):
    """A timeline in which single links are lost.

    Attributes
    ----------
    lost : set of tuple
        Data centre of the keeper, and router, of each lost link.
    """

    def __init__(self, *args, **parameters):
        self.lost = set()
        super().__init__(*args, **parameters)

    def reaches(self, data_centre, router):
        if (data_centre, router) in self.lost:
            return False
        return super().reaches(data_centre, router)


class TestSeriesOfLostLinks(TestSeries):
    """Random series in which single links between processes are lost, too."""

    def timeline(self, seed=1, **parameters):
        parameters = {"rule": self.rule, "rate": self.rate, **parameters}
        timeline = LostLinksTimeline(random.Random(seed), **parameters)
        timeline.run(40)
        return timeline

    def one_event(self, timeline):
        if timeline.rng.random() < 0.5:
            super().one_event(timeline)
            return
        share = timeline.rng.choice((0.0, 0.3, 0.6))
        timeline.lost = {
            (data_centre, router)
            for data_centre in retry_timeline.DATA_CENTRES
            for router in timeline.routers.values()
            if timeline.rng.random() < share
        }


class TestUse(TimelineCase):
    """In calm times the budget is there to be used."""

    rule = retry_timeline.Rule()
    rate = 21.0
    # Of what the rule allows; the budget itself leaves a part unused.
    USED = 0.75

    def allowed(self, timeline):
        rule = timeline.rule
        requests = timeline.rate * len(timeline.routers) * rule.window
        return rule.ratio * requests + rule.allowance

    def assert_used(self, timeline, seconds=30):
        since = timeline.now()
        timeline.run(seconds)
        used = timeline.most_since(since)
        self.assertGreater(used, self.USED * self.allowed(timeline))

    def test_settled_fleet(self):
        """Most of the allowance can be spent."""
        self.assert_used(self.timeline())

    def test_soon_after_the_first_start(self):
        """A fleet that starts for the first time need not wait."""
        timeline = retry_timeline.Timeline(random.Random(1))
        timeline.run(3)
        self.assert_used(timeline)

    def test_keepers_without_a_leader_for_a_window(self):
        """Routers keep their shares while no leader answers."""
        timeline = self.timeline()
        for data_centre in retry_timeline.DATA_CENTRES:
            timeline.stop_keeper(data_centre)
        self.assert_used(timeline, 15)

    def test_after_restarts_and_departures(self):
        """Shares grow again once fewer routers are left."""
        timeline = self.timeline()
        for number in range(3):
            timeline.stop_router(f"r{number}")
        for name in list(timeline.routers):
            timeline.start_router(name)
        timeline.run(80)
        self.assert_used(timeline)


class TestLinks(keepers_case.KeepersCase):
    """Routers and keepers on real links."""

    retry_window = 1.0

    async def start_routers(self, count):
        routers = [
            self.start_router(f"router-{number}") for number in range(count)
        ]
        await plan_keepers.wait_until(
            lambda: all(router.sharers.routers == count for router in routers)
        )
        return routers

    def start_router(self, name, first_start=True):
        router = plan_keepers.make_subscriber(
            name, self.keepers.seeds, [], self.retry_window, first_start
        )
        self.addCleanup(router.stop)
        return router

    async def test_number_of_routers_outlives_all_keepers(self):
        """With the keepers gone, or started anew, each router counted one."""
        self.retry_window = plan_keepers.RETRY_WINDOW_SECONDS
        routers = await self.start_routers(3)
        self.lowest = 3
        await self.keepers.stop_all()
        await self.watch(routers, 2.0)
        for address in self.keepers.seeds:
            self.keepers.start(address)
        await plan_keepers.wait_until(self.keepers.leader)
        await self.watch(routers, 2.0)
        self.assertEqual(3, self.lowest)

    async def watch(self, routers, seconds):
        for _ in range(round(seconds / plan_keepers.POLL_SECONDS)):
            await asyncio.sleep(plan_keepers.POLL_SECONDS)
            counted = [router.sharers.routers for router in routers]
            self.lowest = min(self.lowest, *counted)

    async def test_routers_that_reach_only_other_keepers_are_counted(self):
        """Keepers counted only the routers that had links to them."""
        address, other, *_ = self.keepers.seeds
        for keeper, name in ((address, "router-0"), (other, "router-1")):
            router = plan_keepers.make_subscriber(
                name, [keeper], [], self.retry_window, True
            )
            # It links to none of the other keepers that it is told of.
            router.add_keepers = lambda addresses: None
            self.addCleanup(router.stop)
        await plan_keepers.wait_until(
            lambda: all(
                keeper.hub.census.count() == 2
                for keeper in self.keepers.running.values()
            )
        )

    async def test_router_added_later_gets_its_share_after_a_while(self):
        """Until all count the new router, it has none of the allowance."""
        routers = await self.start_routers(2)
        added = self.start_router("router-2", first_start=False)
        await plan_keepers.wait_until(lambda: added.sharers.routers == 3)
        self.assertEqual(0.0, added.sharers.share().fraction)
        routers.append(added)
        await plan_keepers.wait_until(
            lambda: all(
                router.sharers.share().fraction == 1 / 3 for router in routers
            )
        )

    async def test_restarted_router_is_known_to_the_keepers(self):
        """A router that comes back under its name waits for one window."""
        (router,) = await self.start_routers(1)
        await asyncio.sleep(3 * self.retry_window)
        router.stop()
        started = asyncio.get_running_loop().time()
        router = self.start_router("router-0", first_start=False)
        await plan_keepers.wait_until(
            lambda: router.sharers.share().fraction == 1.0
        )
        waited = asyncio.get_running_loop().time() - started
        self.assertGreaterEqual(waited, self.retry_window)
        self.assertEqual(1, router.sharers.routers)
