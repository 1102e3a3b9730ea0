"""Circuit breakers of targets that cannot be reached."""

import unittest

from amaranthring.core import records
from amaranthring.policy import admission
from amaranthring.policy import breakers

UNREACHABLE = records.AttemptEnd.UNREACHABLE
DONE = records.AttemptEnd.DONE


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


def request(serial, remembered="", router="r1"):
    return admission.Request(
        (router, serial), "a", 1, "chat", 10.0, remembered=(remembered,)
    )


class TestBreakers(unittest.TestCase):
    """One cell of three engines, with a simulated clock."""

    def setUp(self):
        self.cell = admission.Cell("cell", -10.0)
        self.cell.set_targets([target("e1"), target("e2"), target("e3")])
        self.serial = 0

    def grant(self, now, remembered="e1", router="r1"):
        self.serial += 1
        wanted = request(self.serial, remembered, router)
        grant = self.cell.admit(wanted, admission.Policy(bound=3.0), now)
        return grant.key, grant.target

    def test_crashed_engine_costs_few_retries(self):
        """An engine crashes, and its lease ends three seconds later.

        Meanwhile requests of chats that ran there must not all be granted to
        it again and use up the retry budget.
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

    def test_first_success_closes_the_breaker(self):
        key, _ = self.grant(0.0)
        self.cell.release(key, 0.0, UNREACHABLE)
        self.assertNotEqual(self.grant(0.1)[1], "e1")
        key, name = self.grant(0.5)
        self.assertEqual(name, "e1")
        self.assertNotEqual(self.grant(0.5)[1], "e1")
        self.cell.release(key, 0.6, DONE)
        self.assertEqual(self.grant(0.6)[1], "e1")

    def test_restart_closes_the_breaker(self):
        key, _ = self.grant(0.0)
        self.cell.release(key, 0.0, UNREACHABLE)
        self.cell.set_targets([target("e1", 2), target("e2")])
        self.assertEqual(self.grant(0.1)[1], "e1")

    def test_one_isolated_router_does_not_open_all_breakers(self):
        """One router cannot reach any engine, while the others can.

        Its reports must not make the cell refuse all other callers.
        """
        circuit_breakers = breakers.CircuitBreakers()
        names = ("e1", "e2", "e3")
        opened = [
            circuit_breakers.record_unreachable(n, "broken", names, 0.0)
            for n in names
        ]
        self.assertEqual(opened.count(True), 1)
        self.assertTrue(
            circuit_breakers.record_unreachable("e2", "other", names, 0.1)
        )
