"""Routes that were moved by plans of a keeper."""

import json
import unittest

from amaranthring.platform import control
from amaranthring.policy import bindings
from amaranthring.policy import route_history
from amaranthring.registry import plan_moves


def document(**services):
    """Return a plan whose routes lead to `services`, by their names."""
    return json.dumps(services).encode()


def read(data):
    return route_history.PlanRoutes(
        {
            key: frozenset([service])
            for key, service in json.loads(data).items()
        }
    )


class TestPlanMoves(unittest.TestCase):
    """What a keeper knows without a router."""

    def setUp(self):
        self.now = 100.0
        self.moves = plan_moves.PlanMoves(lambda: self.now)
        self.moves.read_routes = read

    def test_move_is_found_once(self):
        """Guards against streams that a plan leads to another service."""
        self.moves.add(document(r1="a", r2="b"))
        self.assertEqual({}, self.moves.take())
        self.moves.add(document(r1="a", r2="a"))
        self.now += 3.0
        self.assertEqual({"r2": 3.0}, self.moves.take())
        self.assertEqual({}, self.moves.take())
        self.moves.add(document(r1="b", r2="a"))
        self.assertEqual({"r1": 0.0}, self.moves.take())

    def test_plans_cannot_be_compared_without_a_reader(self):
        """Guards against a keeper that is sure before it can read plans."""
        self.moves.read_routes = None
        self.moves.add(document(r1="a"))
        self.assertFalse(self.moves.is_behind())
        self.moves.add(document(r1="b"))
        self.assertEqual({}, self.moves.take())
        self.assertTrue(self.moves.is_behind())
        self.moves.read_routes = read
        self.assertEqual({"r1": 0.0}, self.moves.take())
        self.assertFalse(self.moves.is_behind())

    def test_large_plans_are_read_one_by_one(self):
        """Guards against a leader that falls silent while it reads plans."""

        def read_slowly(data):
            self.now += 0.1
            return read(data)

        self.moves.read_routes = read_slowly
        for service in ("a", "b", "c"):
            self.moves.add(document(r1=service, r2=service))
        self.assertEqual({"r1", "r2"}, set(self.moves.take()))
        self.assertTrue(self.moves.is_behind())
        self.assertEqual({"r1", "r2"}, set(self.moves.take()))
        self.assertFalse(self.moves.is_behind())

    def test_moves_of_long_ago_do_not_count(self):
        """Guards against streams that are refused for an old change."""
        self.moves.add(document(r1="a"))
        self.moves.add(document(r1="b"))
        self.now += bindings.HISTORY_SECONDS + 1.0
        self.moves.add(document(r1="b", r2="b"))
        self.assertEqual({"r2": 0.0}, self.moves.take())

    def test_number_of_plans_is_bounded(self):
        """Guards against memory that grows with each plan."""
        for number in range(10 * plan_moves.MAX_PLANS):
            self.moves.add(document(r1=f"s{number}", r2="a"))
        self.assertEqual(plan_moves.MAX_PLANS, len(self.moves.plans))
        self.assertEqual({"r1"}, set(self.moves.take()))

    def test_routes_of_a_document(self):
        """Guards against routes that routers know by another key."""
        data = {
            "version": 1,
            "routes": [
                {
                    "name": "r",
                    "hostname": "H.example",
                    "path_prefix": "/a/",
                    "route_type": "streaming",
                    "timeout_ms": 1000,
                    "split": [
                        {"backend": "s", "weight": 9},
                        {"backend": "t", "weight": 1},
                    ],
                }
            ],
            "backends": [{"name": "s"}, {"name": "t"}],
        }
        key = route_history.route_key("h.example", "/a/")
        routes = control.read_routes(json.dumps(data).encode())
        self.assertEqual({key: {"s", "t"}}, routes.services)


if __name__ == "__main__":
    unittest.main()
