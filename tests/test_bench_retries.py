"""Retries and fairness; counts are seeded and exact."""

import unittest

from amaranthring.bench import fairness
from amaranthring.bench import retries
from amaranthring.policy import breakers


class TestRetries(unittest.TestCase):
    """Half of the targets failing, malformed requests, and a surge."""

    def figures(self):
        return {each.name: each.value for each in retries.run(3).figures}

    def test_fast_failing_targets_do_not_attract_requests(self):
        # A target that fails fast always has capacity left, so that nearly
        # all requests would be placed on failing targets.
        found = self.figures()
        self.assertGreater(found["failing: succeeded meanwhile"], 0.9)
        self.assertLess(found["failing: attempts a request"], 1.25)
        self.assertEqual(found["failing: succeeded afterwards"], 1.0)

    def test_bad_requests_open_at_most_half_of_the_breakers(self):
        # Malformed requests of one account fail on every engine; opening
        # every breaker would refuse all other accounts.
        names = [f"e{number}" for number in range(4)]
        circuit_breakers = breakers.CircuitBreakers()
        for step in range(20):
            for name in names:
                circuit_breakers.record_error(name, names, step / 10)
        self.assertLessEqual(len(circuit_breakers.by_target), 2)

    def test_surge_of_two_accounts_does_not_delay_others(self):
        found = fairness.run(3)
        self.assertTrue(found.ok, found.table())
