"""Timeout for the first event before another target is tried.

The scenario is a data centre that is partitioned off: a third of the targets
accepts requests and does not respond. Other targets take 60 ms on average to
the first event, and callers have an objective of 0.4 s.
"""

import random
import unittest

from amaranthring.policy import response_times

OBJECTIVE_SECONDS = 0.4
# Usual time of a second target to its first event.
USUAL_SECONDS = 0.06


def first_event_seconds(rng):
    return 0.04 + rng.expovariate(1 / 0.02)


class TestResponseTimes(unittest.TestCase):
    """Timeouts learned from 200 response times of healthy targets."""

    def setUp(self):
        self.random = random.Random(5)
        self.times = response_times.ResponseTimes()
        for _ in range(200):
            self.times.record("s", 0, first_event_seconds(self.random))

    def timeout(self, prefill_tokens=0, left=OBJECTIVE_SECONDS):
        return self.times.timeout("s", prefill_tokens, left)

    def test_second_target_can_still_meet_the_objective(self):
        """A data centre is partitioned off, and its targets do not respond.

        If requests waited for the kernel to give up the connection, every
        caller routed to one of them would miss its objective.
        """
        self.assertLess(
            self.timeout() + USUAL_SECONDS + 0.03, OBJECTIVE_SECONDS
        )

    def test_healthy_targets_rarely_time_out(self):
        slow = sum(
            first_event_seconds(self.random) > self.timeout()
            for _ in range(5000)
        )
        self.assertLess(slow / 5000, 0.01)

    def test_timeout_adapts_if_all_targets_become_slow(self):
        """All targets take four times as long, under a burst of load.

        With the old timeout every request would be sent twice, to targets
        that are already overloaded.
        """
        expired = 0
        for number in range(400):
            seconds, timeout = (
                4 * first_event_seconds(self.random),
                self.timeout(),
            )
            if seconds > timeout:
                self.times.record_timeout("s", 0, timeout)
                expired += number >= 100
            else:
                self.times.record("s", 0, seconds)
        self.assertLess(expired / 300, 0.05)

    def test_long_prefill_has_its_own_estimate(self):
        self.assertIsNone(self.timeout(prefill_tokens=10_000))
        for _ in range(response_times.MIN_SAMPLES):
            self.times.record("s", 9_000, 0.2)
        self.assertGreater(self.timeout(prefill_tokens=10_000), 0.2)
        self.assertLess(self.timeout(), 0.3)

    def test_no_timeout_without_samples(self):
        self.assertIsNone(response_times.ResponseTimes().timeout("s", 0, 0.4))
