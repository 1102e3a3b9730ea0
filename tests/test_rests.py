"""Rests of targets, and the callers that are charged with them."""

import unittest

from amaranthring.policy import rests


class RestsCase(unittest.TestCase):
    """Base class: rests on a clock that the test sets."""

    def setUp(self):
        self.now = 100.0
        self.rests = rests.Rests(lambda: self.now)


class TestLength(RestsCase):
    """How long a target rests."""

    def test_rest_ends(self):
        self.rests.begin("t", 2.0, "a")
        self.now += 1.5
        self.assertAlmostEqual(0.5, self.rests.left("t"))
        self.now += 0.5
        self.assertEqual(0.0, self.rests.left("t"))
        self.assertEqual(0.0, self.rests.left("unknown"))

    def test_longest_of_overlapping_rests(self):
        self.rests.begin("t", 5.0, "a")
        self.now += 1.0
        self.rests.begin("t", 1.0, "a")
        self.assertAlmostEqual(4.0, self.rests.left("t"))
        self.rests.begin("t", 9.0, "a")
        self.assertAlmostEqual(9.0, self.rests.left("t"))

    def test_ended_rests_and_suspicions_are_dropped(self):
        for target in ("t", "u"):
            self.rests.begin(target, 1.0, "a")
        self.rests.request_failed("a")
        self.now += rests.SUSPECT_SECONDS + 1.0
        self.rests.prune()
        self.assertEqual(({}, {}), (self.rests.by_target, self.rests.suspects))


class TestSuspects(RestsCase):
    """Callers whose requests made several targets rest."""

    def test_one_rest_holds_nobody_back(self):
        self.rests.begin("t", 2.0, "a")
        self.rests.request_failed("a")
        self.assertEqual(0.0, self.rests.held_back("a"))

    def test_suspect_waits_for_its_first_rest_to_end(self):
        self.rests.begin("t", 2.0, "a")
        self.rests.begin("u", 3.0, "a")
        self.rests.request_failed("a")
        self.assertAlmostEqual(2.0, self.rests.held_back("a"))
        self.assertEqual(0.0, self.rests.held_back("b"))
        self.now += 3.0
        self.assertEqual(0.0, self.rests.held_back("a"))
        self.rests.begin("t", 2.0, "a")
        self.assertAlmostEqual(2.0, self.rests.held_back("a"))

    def test_suspicion_ends(self):
        for target in ("t", "u"):
            self.rests.begin(target, 100.0, "a")
        self.rests.request_failed("a")
        self.now += rests.SUSPECT_SECONDS
        self.assertEqual(0.0, self.rests.held_back("a"))

    def test_accepted_request_clears_its_caller(self):
        for target in ("t", "u"):
            self.rests.begin(target, 5.0, "a")
        self.rests.request_failed("a")
        self.rests.request_accepted("a", ["t", "u"])
        self.assertEqual(0.0, self.rests.held_back("a"))
        self.assertAlmostEqual(5.0, self.rests.left("t"))

    def test_rests_that_two_callers_met_are_charged_to_none(self):
        for target in ("t", "u"):
            for caller in ("a", "b"):
                self.rests.begin(target, 5.0, caller)
        self.rests.request_failed("a")
        self.assertEqual(0.0, self.rests.held_back("a"))


class TestTrials(RestsCase):
    """Requests to targets that rest on account of another caller."""

    def test_only_other_callers_may_try(self):
        self.rests.begin("t", 5.0, "a")
        self.assertFalse(self.rests.may_try("t", "a"))
        self.assertTrue(self.rests.may_try("t", "b"))
        self.assertFalse(self.rests.may_try("unknown", "b"))

    def test_early_trials_and_one_late_trial(self):
        """Guards against more requests than a rest allows."""
        self.rests.begin("t", 5.0, "a")
        for _ in range(5):
            self.assertTrue(self.rests.may_try("t", "b"))
            self.rests.count_trial("t")
        self.now += rests.TRIAL_SECONDS + 0.01
        for _ in range(rests.MAX_LATE_TRIALS):
            self.assertTrue(self.rests.may_try("t", "b"))
            self.rests.count_trial("t")
        self.assertFalse(self.rests.may_try("t", "b"))

    def test_refused_trial_shows_the_targets_own_need(self):
        self.rests.begin("t", 5.0, "a")
        self.rests.begin("t", 5.0, "b")
        self.assertFalse(self.rests.may_try("t", "c"))
