"""Table of targets: leases, incarnations, claims of names and addresses."""

import dataclasses
import unittest

from amaranthring import errors
from amaranthring.core import records
from amaranthring.targets import table

ENGINE = records.TargetKind.ENGINE


class Clock:
    """A monotonic clock that tests move."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def engine(name="e1", incarnation=1, port=9001, **fields):
    return records.Target(
        name,
        incarnation,
        ENGINE,
        f"127.0.0.1:{port}",
        "dc1",
        "north",
        ("m",),
        **fields,
    )


class TableCase(unittest.TestCase):
    """A table under a clock of the test."""

    def setUp(self):
        self.clock = Clock()
        self.table = table.TargetTable("dc1", clock=self.clock)

    def names(self):
        return [target.name for target in self.table.eligible(ENGINE, "m")]

    def pass_time(self, seconds):
        """Let time pass in the steps of the watching task."""
        until = self.clock.now + seconds
        while self.clock.now < until:
            self.clock.now = min(until, self.clock.now + 0.25)
            self.table.expire()


class TestLease(TableCase):
    """Leases run out on the router's own clock."""

    def test_unrenewed_target_gets_no_work_and_is_then_lost(self):
        self.table.announce(engine())
        self.pass_time(2.4)
        self.assertEqual(self.names(), ["e1"])
        self.pass_time(0.2)
        self.assertEqual(self.names(), [])
        self.assertEqual(self.table.state("e1"), "suspended")
        self.pass_time(0.75)
        self.assertEqual(self.table.state("e1"), "lost")

    def test_renewal_keeps_it(self):
        self.table.announce(engine())
        for _ in range(10):
            self.pass_time(1.0)
            self.table.renew("e1", 1)
        self.assertEqual(self.names(), ["e1"])


class TestClaims(TableCase):
    """A target cannot take what a live one holds."""

    def test_old_incarnation_is_refused(self):
        self.table.announce(engine(incarnation=5))
        with self.assertRaises(errors.StaleIncarnationError):
            self.table.announce(engine(incarnation=4))
        with self.assertRaises(errors.StaleIncarnationError):
            self.table.leave("e1", 4)
        self.assertEqual(self.names(), ["e1"])

    def test_address_of_a_live_target_is_refused(self):
        self.table.announce(engine())
        with self.assertRaises(errors.AddressTakenError):
            self.table.announce(engine("e2"))
        self.pass_time(4)
        self.table.announce(engine("e2"))
        self.assertEqual(self.names(), ["e2"])

    def test_name_of_a_live_target_elsewhere_is_refused(self):
        self.table.announce(engine())
        with self.assertRaises(errors.NameTakenError):
            self.table.announce(engine(incarnation=2, port=9002))
        self.table.announce(engine(incarnation=2))
        self.assertEqual(self.table.get("e1").incarnation, 2)

    def test_left_incarnation_does_not_come_back(self):
        self.table.announce(engine())
        self.table.leave("e1", 1)
        with self.assertRaises(errors.StaleIncarnationError):
            self.table.announce(engine())
        late = table.Record(engine(), 1, False)
        self.table.adopt(late, self.clock.now)
        self.assertEqual(self.names(), [])
        self.assertEqual(self.table.state("e1"), "leaving")

    def test_same_incarnation_may_change_what_it_serves(self):
        self.table.announce(engine())
        more = dataclasses.replace(engine(), serves=("m", "n"))
        self.table.announce(more)
        self.assertEqual(self.table.get("e1"), more)
