"""Reading of what targets say about themselves."""

import random
import time
import unittest

import tornado.httputil

from amaranthring import errors
from amaranthring.core import notices

LEAVING = "Test-Leaving"
SEED = 7
VALUES = (
    "3", "1.5", "", "Wed, 21 Oct 2015 07:28:00 GMT",
    "Sunday, 06-Nov-94 08:49:37 GMT", "Sun Nov  6 08:49:37 1994",
    "31 Dec 9999 23:59:59 +9999", "1 Jan 0001 00:00:00 -0000",
)  # fmt: skip
CHARACTERS = "0123456789:,-+. GMTWedOctJan\x00\x7f\xe9"


def read(status=503, **values):
    headers = tornado.httputil.HTTPHeaders()
    for name, given in values.items():
        for value in [given] if isinstance(given, str) else given:
            headers.add(name.replace("_", "-"), value)
    return notices.read(status, headers, LEAVING)


class TestRest(unittest.TestCase):
    """``Retry-After`` of a 503."""

    def test_seconds(self):
        for value, seconds in (("3", 3.0), ("0.25", 0.25), ("0", 0.0)):
            notice = read(Retry_After=value)
            self.assertEqual(
                (seconds, ()), (notice.rest_seconds, notice.faults)
            )

    def test_other_statuses_ask_for_no_rest(self):
        for status in (200, 429, 500, 301):
            self.assertIs(notices.NOTHING, read(status, Retry_After="3"))

    def test_date_counts_from_the_clock_of_the_target(self):
        """Guards against rests that depend on clocks that differ."""
        date = "Wed, 21 Oct 2015 07:28:00 GMT"
        until = "Wed, 21 Oct 2015 07:28:07 GMT"
        self.assertEqual(7.0, read(Retry_After=until, Date=date).rest_seconds)

    def test_date_without_a_date_of_the_response(self):
        until = tornado.httputil.format_timestamp(time.time() + 10)
        self.assertAlmostEqual(
            10.0, read(Retry_After=until).rest_seconds, delta=1.5
        )

    def test_malformed_values_are_ignored_and_told(self):
        """Guards against losing a target to a malformed header."""
        for value in (
            "", "soon", "-3", "nan", "inf", "1e3", "0x10", "1_0", "3601",
            "9" * 400, "3, 5", "Wed, 21 Oct 2015 07:28:00 GMT",
            "Wed, 99 Oct 2015 07:28:00 GMT", "3 s",
        ):  # fmt: skip
            notice = read(Retry_After=value)
            self.assertEqual(
                (0.0, 1), (notice.rest_seconds, len(notice.faults))
            )
            self.assertLess(len(str(notice.faults[0])), 300)

    def test_mutated_values_raise_nothing_else(self):
        """Guards against errors other than that of a malformed header."""
        rng = random.Random(SEED)
        for _ in range(3000):
            value = list(rng.choice(VALUES))
            for _ in range(rng.randrange(4)):
                at = rng.randrange(len(value) + 1)
                value[at : at + rng.randrange(2)] = rng.choice(CHARACTERS)
            try:
                seconds = notices.parse_retry_after("".join(value), 1.7e9)
            except errors.InvalidHeaderError:
                continue
            self.assertLessEqual(0.0, seconds)
            self.assertLessEqual(seconds, notices.MAX_REST_SECONDS)

    def test_longest_of_several_values(self):
        notice = read(Retry_After=["2", "x", "5"])
        self.assertEqual((5.0, 1), (notice.rest_seconds, len(notice.faults)))


class TestLeaving(unittest.TestCase):
    """The header of a target that leaves."""

    def test_any_status(self):
        for status in (200, 421, 429, 500, 503):
            self.assertTrue(read(status, Test_Leaving="1").leaving)

    def test_with_rest(self):
        notice = read(Test_Leaving="1", Retry_After="2")
        self.assertEqual((True, 2.0), (notice.leaving, notice.rest_seconds))

    def test_other_values_are_ignored_and_told(self):
        for value in ("", "0", "true", "2", "1, 1"):
            notice = read(Test_Leaving=value)
            self.assertEqual((False, 1), (notice.leaving, len(notice.faults)))

    def test_repeated_header(self):
        self.assertTrue(read(Test_Leaving=["1", "1"]).leaving)


class TestBrittle(unittest.TestCase):
    """How many requests a target may turn away before it falls over."""

    def read(self, *values, status=200):
        headers = tornado.httputil.HTTPHeaders()
        for value in values:
            headers.add("Test-Brittle", value)
        return notices.read(status, headers, "Test-Leaving", "Test-Brittle")

    def test_any_status(self):
        """Guards against a limit that only refusals are read for."""
        for status in (200, 503):
            self.assertEqual(5, self.read("5", status=status).max_refused)
        self.assertEqual(0, self.read("0").max_refused)
        self.assertIsNone(self.read().max_refused)

    def test_malformed_values_are_ignored_and_told(self):
        """Guards against a limit of another kind that stops a service."""
        for value in ("", "-1", "1.5", "many", "9" * 20):
            notice = self.read(value)
            self.assertIsNone(notice.max_refused)
            self.assertEqual(1, len(notice.faults))

    def test_lowest_of_several_values(self):
        """Guards against a looser limit that is read last."""
        self.assertEqual(2, self.read("7", "2", "x").max_refused)
