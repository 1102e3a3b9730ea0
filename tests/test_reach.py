"""Whether a router counts a service as unreached."""

import unittest

from amaranthring.policy import reach

READY = ["t0", "t1", "t2", "t3", "t4"]


class TestReach(unittest.TestCase):
    """Failures and answers of the targets of one service."""

    def setUp(self):
        self.now = 100.0
        self.reach = reach.Reach(lambda: self.now)

    def fail(self, *names):
        for name in names:
            self.reach.record_failure("s", name)

    def test_one_failed_target_is_not_a_lost_path(self):
        """Guards against handing on all requests for one ended target."""
        self.fail("t0", "t0", "t0")
        self.assertFalse(self.reach.is_unreached("s", READY))

    def test_most_failed_targets_without_an_answer_are(self):
        """Guards against a router that goes on trying each target."""
        self.fail("t0", "t1")
        self.assertFalse(self.reach.is_unreached("s", READY))
        self.fail("t2")
        self.assertTrue(self.reach.is_unreached("s", READY))
        self.assertFalse(self.reach.is_unreached("other", READY))

    def test_answer_ends_it(self):
        """Guards against failures that add up over a long time."""
        self.fail("t0", "t1")
        self.reach.record_answer("s")
        self.fail("t2")
        self.assertFalse(self.reach.is_unreached("s", READY))

    def test_busy_targets_are_reached(self):
        """Guards against taking an overloaded service for a lost path."""
        self.reach.record_answer("s")
        for name in READY:
            self.reach.record_timeout("s", name)
        self.assertFalse(self.reach.is_unreached("s", READY))
        self.now += reach.RECENT_ANSWER_SECONDS + 0.1
        for name in READY:
            self.reach.record_timeout("s", name)
        self.assertTrue(self.reach.is_unreached("s", READY))

    def test_only_target(self):
        """Guards against a service with one target that is never lost."""
        self.fail("t0")
        self.assertTrue(self.reach.is_unreached("s", ["t0"]))

    def test_targets_that_are_gone_do_not_count(self):
        """Guards against failures of targets that have ended since."""
        self.fail("gone0", "gone1", "t0")
        self.assertFalse(self.reach.is_unreached("s", READY))

    def test_no_targets_are_no_lost_path(self):
        """Guards against taking absent targets for unreached ones."""
        self.fail("t0", "t1")
        self.assertFalse(self.reach.is_unreached("s", []))
