"""Lookup in routing plans, and their validation."""

import dataclasses
import unittest

from amaranthring import errors
from amaranthring import routing
from amaranthring.routing import table


def route(name="r", host="h", prefix="/a/", shares=(("s", 1),), **fields):
    weighted = tuple(routing.Share(*share) for share in shares)
    return routing.Route(
        name, host, prefix, routing.Kind.SAFE, 1.0, 0.1, 0, weighted, **fields
    )


def plan(*routes, accounts=()):
    services = (
        routing.Service("s", "/health", 10),
        routing.Service("t", "/health", 10),
    )
    return routing.Plan(1, routes, services, tuple(accounts))


class TestMatch(unittest.TestCase):
    """Route of a request."""

    def setUp(self):
        self.table = routing.RouteTable(
            plan(
                route("short", prefix="/a/"),
                route("long", prefix="/a/b/"),
                route("root", host="other", prefix="/"),
            )
        )

    def route_name(self, host, path):
        matched = self.table.match(host, path)
        return matched.name if matched else None

    def test_longest_prefix_wins(self):
        self.assertEqual("short", self.route_name("h", "/a/x"))
        self.assertEqual("long", self.route_name("h", "/a/b/x"))
        self.assertEqual("long", self.route_name("h", "/a/b/"))
        self.assertEqual("root", self.route_name("other", "/a/b/c"))

    def test_prefix_matches_whole_segments_only(self):
        self.assertIsNone(self.route_name("h", "/ab/x"))
        self.assertIsNone(self.route_name("h", "/a"))
        self.assertEqual("short", self.route_name("h", "/a/bc"))

    def test_host_with_capitals_is_found_in_any_case(self):
        """Guards against a route that only one spelling reaches."""
        spelled = routing.RouteTable(
            plan(
                route("r1", "Ficu.Example"), route("r2", "fICU.eXAMPLE", "/b/")
            )
        )
        for host in ("ficu.example", "FICU.EXAMPLE", "Ficu.Example:80"):
            self.assertEqual("r1", spelled.match(host, "/a/x").name)
            self.assertEqual("r2", spelled.match(host, "/b/x").name)

    def test_last_route_at_a_place_counts_in_stored_plans(self):
        """Guards against routes that move as a router is upgraded."""
        stored = plan(route("first", "H"), route("last", "h"))
        shadowed = routing.shadowed_routes(stored)
        self.assertEqual(["first"], [r.name for r in shadowed])
        matched = routing.RouteTable(stored).match("h", "/a/x")
        self.assertEqual("last", matched.name)

    def test_host_matches_in_any_case_and_with_a_port(self):
        self.assertEqual("short", self.route_name("H:8080", "/a/x"))
        self.assertIsNone(self.route_name("nobody", "/a/x"))


class TestShares(unittest.TestCase):
    """Distribution of the requests of one route over services."""

    def test_split_follows_the_weights(self):
        split = route(shares=(("s", 90), ("t", 10)))
        draws = [n / 1000 for n in range(1000)]
        taken = [table.draw_service(split, draw) for draw in draws]
        self.assertEqual(900, taken.count("s"))

    def test_weight_of_zero_gets_nothing(self):
        split = route(shares=(("s", 0), ("t", 10)))
        self.assertEqual("t", table.draw_service(split, 0.0))


class TestCheck(unittest.TestCase):
    """Invalid plans are rejected."""

    def check_invalid(self, invalid_plan, expected):
        with self.assertRaises(errors.InvalidPlanError) as caught:
            routing.check(invalid_plan)
        self.assertIn(expected, str(caught.exception))

    def test_valid_plan_passes(self):
        routing.check(plan(route(), route("r2", prefix="/b/")))

    def test_places_are_compared_as_requests_find_them(self):
        """Guards against a route that takes the requests of another one."""
        for host in ("H", "example", "EXAMPLE.org", "\u212a"):
            for other in (host.lower(), host.upper(), host.title()):
                self.check_invalid(
                    plan(route(host=host), route("r2", host=other)), "place"
                )
        routing.check(plan(route(host="H"), route("r2", "h", "/b/")))
        routing.check(plan(route(host="h"), route("r2", "h:80")))

    def test_prefix_that_no_request_can_find_is_rejected(self):
        """Guards against a route that is acknowledged and never found."""
        self.check_invalid(plan(route(prefix="/a")), "prefix")

    def test_invalid_fields(self):
        self.check_invalid(
            plan(route(shares=(("x", 1),))), "service of route r"
        )
        self.check_invalid(plan(route(), route("r2")), "place")
        self.check_invalid(
            plan(route(shares=(("s", 0),))), "weights of route r"
        )
        self.check_invalid(plan(route(shares=(("s", -1), ("t", 2)))), "weight")
        self.check_invalid(
            plan(dataclasses.replace(route(), timeout=0.0)), "timeout"
        )
        self.check_invalid(plan(route(prefix="a/")), "prefix")

    def test_duplicate_key_is_rejected_and_not_shown(self):
        accounts = [
            routing.Account("a", ("secret", "x")),
            routing.Account("b", ("secret",)),
        ]
        with self.assertRaises(errors.InvalidPlanError) as caught:
            routing.check(plan(route(), accounts=accounts))
        self.assertNotIn("secret", str(caught.exception))
