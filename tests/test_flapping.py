"""Damping of targets that come and go, and lateness of messages."""

import random
import unittest

from amaranthring.policy import flap_damping
from amaranthring.routers import lateness


class TestFlapping(unittest.TestCase):
    """Waits grow with each return and decay with time."""

    def test_each_return_waits_longer_up_to_the_bound(self):
        history = flap_damping.History()
        waits = []
        for number in range(12):
            history = flap_damping.record_departure(
                history, float(number), False
            )
            waits.append(
                flap_damping.readmission_delay(history, float(number))
            )
        self.assertEqual(waits[0], 0.0)
        self.assertGreater(waits[1], 0.0)
        self.assertEqual(waits, sorted(waits))
        self.assertEqual(waits[-1], flap_damping.MAX_DELAY_SECONDS)

    def test_a_quiet_time_clears_it(self):
        history = flap_damping.History()
        for number in range(5):
            history = flap_damping.record_departure(
                history, float(number), False
            )
        later = 5.0 + 4 * flap_damping.HALF_LIFE_SECONDS
        self.assertEqual(flap_damping.readmission_delay(history, later), 0.0)

    def test_orderly_departures_count_half(self):
        history = flap_damping.record_departure(
            flap_damping.History(), 0.0, True
        )
        history = flap_damping.record_departure(history, 0.0, True)
        self.assertEqual(flap_damping.readmission_delay(history, 0.0), 0.0)


class TestLateness(unittest.TestCase):
    """Clocks of two processes have nothing in common but their pace."""

    def test_late_message_is_noticed_and_drift_forgiven(self):
        rng = random.Random(3)
        known = lateness.Lateness()
        for second in range(100):
            delay = rng.uniform(0.001, 0.005)
            sent = 1e6 + second * 1.0001
            late = known.measure(sent, second + delay)
            self.assertLess(late, 0.01)
        self.assertAlmostEqual(
            known.measure(1e6 + 99.0, 107.0), 8.0, delta=0.1
        )
