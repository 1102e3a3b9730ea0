"""The linearizability check that the failure tests use."""

import math
import unittest

from amaranthring.testing import linearizable


def call(started_at, ended_at, kind, value, expected=""):
    return linearizable.Call(started_at, ended_at, kind, value, expected)


class TestIsLinearizable(unittest.TestCase):
    """Histories with and without a linearization."""

    def test_stale_read_is_rejected(self):
        calls = [
            call(0, 1, "write", "a"),
            call(2, 3, "write", "b"),
            call(4, 5, "read", "a"),
        ]
        self.assertFalse(linearizable.is_linearizable(calls))
        calls[2].started_at = 2.5
        self.assertTrue(linearizable.is_linearizable(calls))

    def test_lost_write_is_rejected(self):
        calls = [call(0, 1, "write", "a"), call(2, 3, "read", "")]
        self.assertFalse(linearizable.is_linearizable(calls))

    def test_unknown_write_may_apply_late_or_never(self):
        unknown = call(0, math.inf, "write", "a")
        for value in ("", "a"):
            calls = [unknown, call(5, 6, "read", value)]
            self.assertTrue(linearizable.is_linearizable(calls))
        applied_then_undone = [
            unknown,
            call(5, 6, "read", "a"),
            call(7, 8, "read", ""),
        ]
        self.assertFalse(linearizable.is_linearizable(applied_then_undone))

    def test_two_swaps_cannot_both_succeed(self):
        calls = [
            call(0, 9, "swap", "a", ""),
            call(0, 9, "swap", "b", ""),
        ]
        self.assertFalse(linearizable.is_linearizable(calls))
        calls[1].expected = "a"
        self.assertTrue(linearizable.is_linearizable(calls))

    def test_failed_swap_must_see_the_held_value(self):
        calls = [call(0, 1, "write", "a"), call(2, 3, "held", "b")]
        self.assertFalse(linearizable.is_linearizable(calls))
