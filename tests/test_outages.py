"""Targets that cannot be reached, as an admission owner treats them."""

import unittest

from amaranthring.core import records
from amaranthring.policy import admission
from amaranthring.policy import breakers

UNREACHABLE = records.End.UNREACHABLE
DONE = records.End.DONE


def target(name, incarnation=1):
    return records.Target(
        name,
        incarnation,
        records.TargetKind.ENGINE,
        "127.0.0.1:1",
        "dc1",
        "r1",
        ("m1",),
    )


def ask(serial, remembered="", router="r1"):
    return admission.Request(
        (router, serial), "a", 1, "chat", 10.0, remembered=(remembered,)
    )


class TestOutages(unittest.TestCase):
    """One cell of three engines, the clock in hand."""

    def setUp(self):
        self.cell = admission.Cell("cell", -10.0)
        self.cell.set_targets([target("e1"), target("e2"), target("e3")])
        self.serial = 0

    def grant(self, now, remembered="e1", router="r1"):
        self.serial += 1
        wanted = ask(self.serial, remembered, router)
        placed = self.cell.admit(wanted, admission.Policy(bound=3.0), now)
        return placed.key, placed.target

    def test_dead_engine_costs_few_retries(self):
        """An engine dies; its lease runs for three seconds more.

        Users saw refusals all that time: every chat remembered there was
        granted to it, failed, and spent a retry until the budget was gone.
        The owner was never told how its grants ended.
        """
        failed = 0
        for step in range(300):
            now = step * 0.01
            key, name = self.grant(now)
            if name == "e1":
                failed += 1
                self.cell.release(key, now, UNREACHABLE)
            else:
                self.cell.release(key, now, DONE)
        self.assertLessEqual(failed, 4)

    def test_first_success_opens_the_engine(self):
        key, _ = self.grant(0.0)
        self.cell.release(key, 0.0, UNREACHABLE)
        self.assertNotEqual(self.grant(0.1)[1], "e1")
        key, name = self.grant(0.5)
        self.assertEqual(name, "e1")
        self.assertNotEqual(self.grant(0.5)[1], "e1")
        self.cell.release(key, 0.6, DONE)
        self.assertEqual(self.grant(0.6)[1], "e1")

    def test_restarted_engine_is_open_at_once(self):
        key, _ = self.grant(0.0)
        self.cell.release(key, 0.0, UNREACHABLE)
        self.cell.set_targets([target("e1", 2), target("e2")])
        self.assertEqual(self.grant(0.1)[1], "e1")

    def test_one_broken_router_closes_no_cell(self):
        """One entry VM loses its way to all engines; the others have none.

        Its callers fail everywhere. Believing its word about every engine
        would refuse all other callers of the cell with it.
        """
        cell = breakers.CircuitBreakers()
        names = ("e1", "e2", "e3")
        closed = [
            cell.record_unreachable(n, "broken", names, 0.0) for n in names
        ]
        self.assertEqual(closed.count(True), 1)
        self.assertTrue(cell.record_unreachable("e2", "other", names, 0.1))
