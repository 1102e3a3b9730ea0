"""Admission control of one cell: bound, queue and leases."""

import unittest

from amaranthring import errors
from amaranthring.core import records
from amaranthring.policy import admission
from amaranthring.policy import breakers
from amaranthring.policy import leases
from amaranthring.testing import fake_network as fakes


class TestCell(unittest.TestCase):
    """A cell of two targets with room for two requests each."""

    def setUp(self):
        self.cell = admission.Cell("cell", 0.0)
        self.set_targets(2, capacity=2)
        self.policy = admission.Policy()
        self.serial = 0

    def set_targets(self, count, **fields):
        targets = [fakes.target(f"e{i}", **fields) for i in range(count)]
        self.cell.set_targets(targets)

    def admit(self, now=0.0, account="a", wait=100.0, router="r", **fields):
        self.serial += 1
        priority = fields.pop("priority", 1)
        key = (router, self.serial)
        request = admission.Request(
            key, account, priority, str(self.serial), wait, **fields
        )
        return self.cell.admit(request, self.policy, now)

    def fill(self, count=4):
        return [self.admit().key for _ in range(count)]

    def release(self, key, now):
        self.cell.release(key, now)
        served = [grant.key[1] for grant in self.cell.granted]
        self.cell.granted.clear()
        return served

    def test_waiting_request_gets_the_first_free_target(self):
        keys = self.fill()
        self.assertIsNone(self.admit())
        self.assertEqual(self.release(keys[2], 1.0), [5])

    def test_surging_account_does_not_delay_another(self):
        # A request must not wait behind 50 earlier ones of a surging account.
        keys = self.fill()
        for _ in range(50):
            self.admit(account="surge")
        self.admit(account="small")
        first = self.release(keys[0], 1.0) + self.release(keys[1], 1.0)
        self.assertIn(self.serial, first)

    def test_full_queue_evicts_requests_of_the_surging_account(self):
        # A surging account that fills the queue must not cause refusals of
        # other accounts.
        self.policy.queue_most = 10
        self.fill()
        for _ in range(10):
            self.admit(account="surge")
        self.assertIsNone(self.admit(account="small"))
        evicted = [waiter.account for waiter in self.cell.evicted]
        self.assertEqual(evicted, ["surge"])
        with self.assertRaises(errors.QueueFullError) as caught:
            self.admit(account="surge")
        self.assertGreaterEqual(caught.exception.retry_after, 1.0)

    def test_turns_are_proportional_to_weight(self):
        keys = self.fill()
        for _ in range(12):
            self.admit(account="one")
            self.policy.weight = 3.0
            self.admit(account="three")
            self.policy.weight = 1.0
        served = []
        for turn in range(8):
            served += self.release(keys.pop(0), float(turn))
            keys.append(("r", served[-1]))
        three = sum(1 for serial in served if serial % 2 == 0)
        self.assertEqual(three, 6)

    def test_low_priority_is_not_starved(self):
        # Batch requests must be served while interactive ones keep coming.
        keys = self.fill()
        self.admit(account="batch", priority=5)
        batch = self.serial
        served = []
        for turn in range(25):
            self.admit(account="chat", priority=1)
            self.admit(account="chat", priority=1)
            served += self.release(keys.pop(0), turn / 10)
            keys.append(("r", served[-1]))
        self.assertIn(batch, served)

    def test_request_that_cannot_meet_its_deadline_is_refused_at_once(self):
        # It must not be queued until the deadline only to be refused then.
        keys = self.fill()
        for turn in range(10):
            self.cell.release(keys.pop(0), float(turn))
            keys.append(self.admit(float(turn)).key)
        for _ in range(10):
            self.admit(10.0)
        with self.assertRaises(errors.DeadlineError) as caught:
            self.admit(10.0, wait=1.0)
        self.assertGreater(caught.exception.retry_after, 1.0)
        self.assertEqual(caught.exception.outcome, errors.Outcome.NOT_RUN)

    def test_queued_request_expires_at_its_deadline(self):
        self.fill()
        self.admit(wait=2.0)
        self.assertEqual(self.cell.expire(1.9), [])
        self.assertEqual(len(self.cell.expire(2.0)), 1)
        self.assertEqual(len(self.cell.queue), 0)

    def test_withdrawn_request_does_not_cost_its_account_a_turn(self):
        keys = self.fill()
        withdrawn = []
        for _ in range(20):
            self.admit(account="leaver")
            withdrawn.append(("r", self.serial))
        for key in withdrawn:
            self.cell.release(key, 0.0)
        self.admit(account="other")
        self.admit(account="other")
        self.admit(account="leaver")
        serial = self.serial
        first = self.release(keys[0], 1.0) + self.release(keys[1], 1.0)
        self.assertIn(serial, first)

    def test_expired_lease_frees_its_room(self):
        # Grants of a frozen router must not occupy targets for ever.
        self.fill()
        self.admit(router="alive")
        self.cell.expire(leases.LEASE_SECONDS)
        self.cell.serve(leases.LEASE_SECONDS)
        self.assertEqual(len(self.cell.granted), 1)

    def test_unreachable_target_does_not_count_in_the_mean(self):
        # With one of two engines down, the other must be used to capacity
        # and not only up to a bound computed from both.
        self.set_targets(2, capacity=64)
        key = self.admit(remembered=("e0",)).key
        self.cell.release(key, 0.0, records.AttemptEnd.UNREACHABLE)
        grants = [self.admit(0.1) for _ in range(10)]
        self.assertEqual({grant.target for grant in grants}, {"e1"})

    def test_suspects_do_not_share_a_target(self):
        first = self.admit(suspect=True)
        second = self.admit(suspect=True)
        self.assertNotEqual(first.target, second.target)
        self.assertIsNone(self.admit(suspect=True))
        self.assertIsNotNone(self.admit())
        self.assertEqual(self.release(first.key, 1.0), [3])

    def test_suspects_avoid_a_target_that_may_have_crashed(self):
        """It accepts requests until its process has ended.

        A suspect sent there would be suspected of a second crash.
        """
        key = self.admit(remembered=("e0",)).key
        self.cell.release(key, 0.0, records.AttemptEnd.TARGET_LOST)
        later = breakers.INITIAL_OPEN_SECONDS + 0.1
        self.assertEqual(self.admit(later, suspect=True).target, "e1")
        self.assertIsNone(self.admit(later, suspect=True))
        trial = self.admit(later, remembered=("e0",))
        self.assertEqual(trial.target, "e0")

    def test_suspect_may_be_the_trial_after_a_time(self):
        """Without other requests nothing would show that it is alive."""
        key = self.admit(remembered=("e0",)).key
        self.cell.release(key, 0.0, records.AttemptEnd.TARGET_LOST)
        self.admit(suspect=True)
        later = breakers.INITIAL_OPEN_SECONDS + breakers.DOUBT_SECONDS
        self.assertEqual(self.admit(later, suspect=True).target, "e0")
