"""Which routes led to other services a short while ago."""

import unittest
from unittest import mock

from amaranthring.policy import bindings
from amaranthring.policy import route_history

SERVICES = {"r1": frozenset({"a"}), "r2": frozenset({"a", "b"})}


class TestRouteHistory(unittest.TestCase):
    """Changes of plans, as one process knows them."""

    def setUp(self):
        self.now = 1000.0
        self.history = route_history.RouteHistory(lambda: self.now)
        self.record(SERVICES)

    def record(self, services):
        self.history.record(route_history.PlanRoutes(services))

    def moved(self):
        return {key for key in SERVICES if self.history.has_moved(key)}

    def test_first_plan_moves_nothing(self):
        self.assertEqual(set(), self.moved())

    def test_only_changed_services_count(self):
        self.record(SERVICES | {"r2": frozenset({"b"})})
        self.assertEqual({"r2"}, self.moved())
        self.now += bindings.HISTORY_SECONDS
        self.assertEqual(set(), self.moved())

    def test_new_route_may_have_been_part_of_another(self):
        """Guards against a longer prefix that takes requests of a route."""
        self.record(SERVICES | {"r3": frozenset({"b"})})
        self.assertTrue(self.history.has_moved("r3"))

    def test_route_that_is_gone_leaves_its_requests_to_another(self):
        """Guards against streams of a longer prefix that is removed."""
        prefixes = {"/": "a", "/c/": "a", "/c/d/": "b", "/c/d/e/f/": "c"}
        routes = [
            mock.Mock(
                host="h", prefix=prefix, shares=[mock.Mock(service=name)]
            )
            for prefix, name in prefixes.items()
        ]
        keys = [route_history.route_key("h", prefix) for prefix in prefixes]
        plans = [route_history.PlanRoutes.of(routes[:n]) for n in (4, 3, 2)]
        for plan in plans:
            self.history = route_history.RouteHistory(lambda: self.now)
            self.history.record(plans[0])
            self.history.record(plan)
            moved = [key for key in keys if self.history.has_moved(key)]
            gone = 4 - len(plan.services)
            self.assertEqual([[], [keys[2]], [keys[1]]][gone], moved)

    def test_changes_are_told_once_and_to_the_next_keeper_again(self):
        """Guards against a keeper that has lost what routers told."""
        self.record(SERVICES | {"r2": frozenset({"b"})})
        self.now += 1.0
        self.assertEqual({"r2": 1.0}, self.history.take_untold())
        self.assertEqual({}, self.history.take_untold())
        self.history.tell_again()
        self.now += 1.0
        self.assertEqual({"r2": 2.0}, self.history.take_untold())

    def test_told_changes_keep_their_age(self):
        self.history.merge({"r1": bindings.HISTORY_SECONDS - 10.0})
        self.assertEqual({"r1"}, self.moved())
        self.assertEqual({}, self.history.take_untold())
        self.now += 11.0
        self.assertEqual(set(), self.moved())

    def test_number_is_bounded(self):
        """Guards against plans that move thousands of routes."""
        self.history.merge({f"k{number}": 0.0 for number in range(5000)})
        self.assertEqual(route_history.MAX_MOVED, len(self.history.ages()))
