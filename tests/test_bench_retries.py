"""Retries and fairness: counts seeded and exact."""

import unittest

from amaranthring.bench import fairness
from amaranthring.bench import retries
from amaranthring.policy import breakers


class TestRetries(unittest.TestCase):
    """Half of the targets fail for a while."""

    def figures(self):
        return {each.name: each.value for each in retries.run(3).figures}

    def test_fast_failing_targets_do_not_draw_the_requests(self):
        # Half of the engines answered every request with an error, and 19
        # of 20 callers got one: an engine that fails at once always has
        # room, so nearly every request went to a failing one.
        found = self.figures()
        self.assertGreater(found["failing: succeeded meanwhile"], 0.9)
        self.assertLess(found["failing: attempts a request"], 1.25)
        self.assertEqual(found["failing: succeeded afterwards"], 1.0)

    def test_bad_requests_close_at_most_half_of_the_cell(self):
        # One account's malformed requests fail on every engine; believing
        # it of every engine would refuse all other accounts.
        names = [f"e{number}" for number in range(4)]
        seen = breakers.CircuitBreakers()
        for turn in range(20):
            for name in names:
                seen.record_error(name, names, turn / 10)
        self.assertLessEqual(len(seen.by_target), 2)

    def test_surge_of_two_accounts_leaves_the_others_their_time(self):
        found = fairness.run(3)
        self.assertTrue(found.ok, found.table())
