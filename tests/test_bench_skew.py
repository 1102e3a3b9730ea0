"""Skew of a small fleet; counts are seeded and exact."""

import asyncio
import unittest

from amaranthring.bench import skew


class TestSkew(unittest.TestCase):
    """Five engines with about three requests each in three data centres."""

    def worst(self, case, seed):
        simulation = asyncio.run(case(seed, 70.0, skew.small_fleet))
        self.assertEqual(sum(simulation.refused.values()), 0)
        return max(simulation.bound_ratios)

    def test_bound_holds_while_engine_lists_differ(self):
        self.assertLessEqual(self.worst(skew.engine_lists_differ, 3), 1.0)

    def test_bound_holds_when_the_owner_leaves(self):
        # Routers learn of the departure one after another. A new owner that
        # has not learned of it yet redirects to the old one; if routers
        # followed, both owners would each count only a part of the load.
        self.assertLessEqual(self.worst(skew.owner_leaves, 3), 1.0)

    def test_bound_holds_when_the_owner_is_killed(self):
        # Routers that are redirected to a dead owner must not fall back to
        # their local estimates.
        self.assertLessEqual(self.worst(skew.owner_killed, 3), 1.0)

    def test_bound_holds_with_two_owners(self):
        # Half of the routers use the deputy for 10 s. Each of the two owners
        # bounds its own grants by its own mean, so the sum keeps the bound.
        self.assertLessEqual(self.worst(skew.two_owners, 3), 1.0)
