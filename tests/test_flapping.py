"""Flap damping of targets, and detection of late messages."""

import random
import unittest

from amaranthring.policy import flap_damping
from amaranthring.routers import lateness


class TestFlapDamping(unittest.TestCase):
    """Delays grow with each return and decay with time."""

    def test_delay_grows_up_to_the_maximum(self):
        history = flap_damping.History()
        delays = []
        for number in range(12):
            history = flap_damping.record_departure(
                history, float(number), False
            )
            delays.append(
                flap_damping.readmission_delay(history, float(number))
            )
        self.assertEqual(delays[0], 0.0)
        self.assertGreater(delays[1], 0.0)
        self.assertEqual(delays, sorted(delays))
        self.assertEqual(delays[-1], flap_damping.MAX_DELAY_SECONDS)

    def test_penalty_decays(self):
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
    """Messages between processes whose clocks differ and drift."""

    def test_late_message_is_detected_despite_clock_drift(self):
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
