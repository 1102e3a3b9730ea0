"""One cell: its bound, its queue and its leases."""

import unittest

from amaranthring import errors
from amaranthring.core import records
from amaranthring.policy import admission
from amaranthring.policy import leases
from amaranthring.testing import routers as fakes


class TestCell(unittest.TestCase):
    """A cell of two targets with room for two requests each."""

    def setUp(self):
        self.cell = admission.Cell("cell", 0.0)
        self.set_targets(2, capacity=2)
        self.policy = admission.Policy()
        self.serial = 0

    def set_targets(self, count, **fields):
        found = [fakes.target(f"e{i}", **fields) for i in range(count)]
        self.cell.set_targets(found)

    def ask(self, now=0.0, account="a", wait=100.0, router="r", **fields):
        self.serial += 1
        priority = fields.pop("priority", 1)
        key = (router, self.serial)
        asked = admission.Request(
            key, account, priority, str(self.serial), wait, **fields
        )
        return self.cell.admit(asked, self.policy, now)

    def fill(self, count=4):
        return [self.ask().key for _ in range(count)]

    def served(self, key, now):
        self.cell.release(key, now)
        placed = [each.key[1] for each in self.cell.granted]
        self.cell.granted.clear()
        return placed

    def test_waiting_request_gets_the_first_free_target(self):
        keys = self.fill()
        self.assertIsNone(self.ask())
        self.assertEqual(self.served(keys[2], 1.0), [5])

    def test_surging_account_does_not_delay_another(self):
        # A caller of a small account waited behind 50 requests of one that
        # surges, which had all come before it.
        keys = self.fill()
        for _ in range(50):
            self.ask(account="surge")
        self.ask(account="small")
        first = self.served(keys[0], 1.0) + self.served(keys[1], 1.0)
        self.assertIn(self.serial, first)

    def test_full_queue_gives_way_to_an_account_with_less(self):
        # An account that surges filled the queue, and every other account
        # was refused until it ebbed.
        self.policy.queue_most = 10
        self.fill()
        for _ in range(10):
            self.ask(account="surge")
        self.assertIsNone(self.ask(account="small"))
        gone = [waiter.account for waiter in self.cell.evicted]
        self.assertEqual(gone, ["surge"])
        with self.assertRaises(errors.QueueFullError) as caught:
            self.ask(account="surge")
        self.assertGreaterEqual(caught.exception.retry_after, 1.0)

    def test_weight_gives_a_share(self):
        keys = self.fill()
        for _ in range(12):
            self.ask(account="one")
            self.policy.weight = 3.0
            self.ask(account="three")
            self.policy.weight = 1.0
        served = []
        for turn in range(8):
            served += self.served(keys.pop(0), float(turn))
            keys.append(("r", served[-1]))
        three = sum(1 for serial in served if serial % 2 == 0)
        self.assertEqual(three, 6)

    def test_batch_goes_on_under_a_flood_of_interactive_work(self):
        # Batch requests waited for ever while interactive ones kept coming.
        keys = self.fill()
        self.ask(account="batch", priority=5)
        batch = self.serial
        served = []
        for turn in range(25):
            self.ask(account="chat", priority=1)
            self.ask(account="chat", priority=1)
            served += self.served(keys.pop(0), turn / 10)
            keys.append(("r", served[-1]))
        self.assertIn(batch, served)

    def test_request_that_cannot_make_its_deadline_is_refused_at_once(self):
        # Its caller was held back until the deadline, only to be refused.
        keys = self.fill()
        for turn in range(10):
            self.cell.release(keys.pop(0), float(turn))
            keys.append(self.ask(float(turn)).key)
        for _ in range(10):
            self.ask(10.0)
        with self.assertRaises(errors.DeadlineError) as caught:
            self.ask(10.0, wait=1.0)
        self.assertGreater(caught.exception.retry_after, 1.0)
        self.assertEqual(caught.exception.outcome, errors.Outcome.NOT_RUN)

    def test_deadline_that_passes_while_waiting_ends_it(self):
        self.fill()
        self.ask(wait=2.0)
        self.assertEqual(self.cell.expire(1.9), [])
        self.assertEqual(len(self.cell.expire(2.0)), 1)
        self.assertEqual(len(self.cell.queue), 0)

    def test_withdrawn_request_costs_its_account_no_turn(self):
        keys = self.fill()
        gone = []
        for _ in range(20):
            self.ask(account="leaver")
            gone.append(("r", self.serial))
        for key in gone:
            self.cell.release(key, 0.0)
        self.ask(account="other")
        self.ask(account="other")
        self.ask(account="leaver")
        leaver = self.serial
        first = self.served(keys[0], 1.0) + self.served(keys[1], 1.0)
        self.assertIn(leaver, first)

    def test_lease_of_a_dead_router_frees_its_room(self):
        # A router froze; what it held kept targets busy for ever.
        self.fill()
        self.ask(router="alive")
        self.cell.expire(leases.LEASE_SECONDS)
        self.cell.serve(leases.LEASE_SECONDS)
        self.assertEqual(len(self.cell.granted), 1)

    def test_unreachable_target_is_no_part_of_the_mean(self):
        # Of two engines one died. The other stood at its bound at once, and
        # requests waited for seconds beside an engine with free room.
        self.set_targets(2, capacity=64)
        key = self.ask(remembered=("e0",)).key
        self.cell.release(key, 0.0, records.End.UNREACHABLE)
        placed = [self.ask(0.1) for _ in range(10)]
        self.assertEqual({each.target for each in placed}, {"e1"})

    def test_suspects_run_apart(self):
        first = self.ask(suspect=True)
        second = self.ask(suspect=True)
        self.assertNotEqual(first.target, second.target)
        self.assertIsNone(self.ask(suspect=True))
        self.assertIsNotNone(self.ask())
        self.assertEqual(self.served(first.key, 1.0), [3])
