"""Claims of idempotency keys: grant, settlement and expiry."""

import random
import unittest

from amaranthring import errors
from amaranthring.core import records
from amaranthring.keepers import commands
from amaranthring.keepers import ledger
from amaranthring.keepers import state_machine
from amaranthring.testing import fake_state

STATES = records.ClaimState
ANSWER = records.StoredAnswer(201, "application/json", b'{"id": 7}')
BODY = "ab" * 16


class TestLedger(unittest.TestCase):
    """Claims on the keys of one account, across snapshots."""

    def setUp(self):
        self.machine = state_machine.StateMachine()
        self.stamp = 10_000.0

    def apply(self, command):
        return self.machine.apply(
            1, self.stamp, fake_state.round_trip(command)
        ).claim

    def claim(self, attempt, key="k", body=BODY, hold=30.0):
        return self.apply(
            commands.Claim("shop", key, body, attempt, "b1", hold)
        )

    def settle(self, attempt, outcome, answer=None, key="k"):
        return self.apply(
            commands.Settle("shop", key, attempt, outcome, answer)
        )

    def restart(self):
        data = self.machine.snapshot()
        self.machine = state_machine.StateMachine()
        self.machine.restore(data)

    def test_second_attempt_gets_state_of_first(self):
        # A resend must not be granted the key at any stage of the first
        # attempt, nor after a restart of the keepers.
        self.assertEqual(self.claim("a").state, STATES.GRANTED)
        self.restart()
        claim = self.claim("b")
        self.assertEqual(
            (claim.state, claim.target), (STATES.IN_PROGRESS, "b1")
        )
        self.stamp += 31
        self.assertEqual(self.claim("b").state, STATES.UNKNOWN)
        self.restart()
        self.settle("a", "ran", ANSWER)
        self.restart()
        claim = self.claim("b")
        self.assertEqual((claim.state, claim.answer), (STATES.SETTLED, ANSWER))
        self.assertEqual(claim.outcome, errors.Outcome.RAN)

    def test_repeated_claim_of_holder_is_granted(self):
        self.claim("a")
        self.assertEqual(self.claim("a").state, STATES.GRANTED)
        self.assertEqual(self.claim("b").state, STATES.IN_PROGRESS)

    def test_not_run_releases_key(self):
        self.claim("a")
        self.settle("a", "not-run")
        self.assertEqual(self.claim("b").state, STATES.GRANTED)
        self.assertEqual(self.claim("c").state, STATES.IN_PROGRESS)

    def test_delayed_duplicate_of_released_claim(self):
        # A duplicate that arrives after the release must not lock the key.
        self.claim("a")
        self.settle("a", "not-run")
        claim = self.claim("a")
        self.assertEqual(claim.state, STATES.SETTLED)
        self.assertEqual(claim.outcome, errors.Outcome.NOT_RUN)
        self.assertEqual(self.claim("b").state, STATES.GRANTED)

    def test_claim_arriving_after_its_release(self):
        # A claim that is committed after its release must be rejected, or
        # it would lock the key.
        self.settle("a", "not-run")
        late = self.claim("a")
        self.assertEqual(late.outcome, errors.Outcome.NOT_RUN)
        self.assertEqual(self.claim("b").state, STATES.GRANTED)
        self.assertEqual(self.claim("c").state, STATES.IN_PROGRESS)

    def test_only_holder_can_settle(self):
        self.claim("a")
        for outcome in ("ran", "not-run", "unknown"):
            with self.assertRaises(errors.ForbiddenError):
                self.settle("b", outcome)
        self.settle("a", "not-run")
        self.claim("b")
        with self.assertRaises(errors.ForbiddenError):
            self.settle("a", "ran", ANSWER)
        with self.assertRaises(errors.NotFoundError):
            self.settle("a", "ran", ANSWER, key="other")

    def test_settlement_transitions(self):
        # First and second outcome reported by the holder, and the state and
        # outcome that a resend gets; None if the second is rejected.
        ran, not_run, unknown = "ran", "not-run", "unknown"
        matrix = {
            (ran, ran): (STATES.SETTLED, "ran"),
            (ran, not_run): None,
            (ran, unknown): (STATES.SETTLED, "ran"),
            (not_run, not_run): (STATES.GRANTED, None),
            (not_run, ran): None,
            (not_run, unknown): None,
            (unknown, unknown): (STATES.UNKNOWN, None),
            (unknown, ran): (STATES.SETTLED, "ran"),
            (unknown, not_run): (STATES.GRANTED, None),
        }
        for number, ((first, second), expected) in enumerate(matrix.items()):
            key = f"key-{number}"
            self.claim("a", key)
            self.settle("a", first, ANSWER, key)
            if expected is None:
                with self.assertRaises(errors.ForbiddenError):
                    self.settle("a", second, ANSWER, key)
                continue
            self.settle("a", second, ANSWER, key)
            claim = self.claim("b", key)
            self.assertEqual(
                (claim.state, claim.outcome), expected, (first, second)
            )

    def test_key_reuse_with_different_body_is_rejected(self):
        self.claim("a")
        claim = self.claim("b", body="cd" * 16)
        self.assertEqual(claim.state, STATES.KEY_REUSED)
        self.assertEqual(self.claim("b").state, STATES.IN_PROGRESS)

    def test_accounts_do_not_share_keys(self):
        self.claim("a")
        other = commands.Claim("board", "k", "cd" * 16, "b", "b1", 30.0)
        self.assertEqual(self.apply(other).state, STATES.GRANTED)

    def test_large_answer_is_not_stored(self):
        self.claim("a")
        large = b"x" * (ledger.MAX_ANSWER_BYTES + 1)
        self.settle("a", "ran", records.StoredAnswer(200, "text/plain", large))
        claim = self.claim("b")
        self.assertEqual(claim.state, STATES.SETTLED)
        self.assertEqual(claim.answer.status, 200)
        self.assertFalse(claim.answer.kept)

    def test_resend_after_retention_gets_outcome(self):
        # Granting the key again after the answer has expired would run the
        # call twice, so its outcome is kept longer.
        for key, outcome in (
            ("k1", "ran"),
            ("k2", "unknown"),
            ("k3", "not-run"),
        ):
            self.claim("a", key)
            self.settle("a", outcome, ANSWER, key)
        self.claim("a", "k4")
        self.stamp += ledger.RETENTION_SECONDS * 1.1
        self.claim("z", "other")
        self.restart()
        claims = [self.claim("b", key) for key in ("k1", "k2", "k3", "k4")]
        self.assertEqual(
            [claim.state for claim in claims],
            [STATES.SETTLED, STATES.UNKNOWN, STATES.GRANTED, STATES.UNKNOWN],
        )
        self.assertFalse(claims[0].answer.kept)

    def test_release_of_expired_key_does_not_free_it(self):
        self.claim("a")
        self.settle("a", "ran", ANSWER)
        self.stamp += ledger.RETENTION_SECONDS * 1.1
        self.claim("z", "other")
        with self.assertRaises(errors.NotFoundError):
            self.settle("b", "not-run")
        self.assertEqual(self.claim("c").state, STATES.SETTLED)

    def test_marks_expire(self):
        self.claim("a")
        self.settle("a", "ran", ANSWER)
        self.stamp += ledger.RETENTION_SECONDS * 1.1
        self.claim("z", "other")
        self.stamp += ledger.MARK_RETENTION_SECONDS + ledger.RETENTION_SECONDS
        self.claim("z", "another")
        self.assertEqual(self.claim("b").state, STATES.GRANTED)
        self.assertEqual(len(self.machine.ledger), 2)

    def test_full_ledger_rejects_new_claims(self):
        self.machine.ledger.max_bytes = 1
        self.claim("a")
        with self.assertRaises(errors.QueueFullError) as caught:
            self.claim("a", "k2")
        self.assertEqual(caught.exception.outcome, errors.Outcome.NOT_RUN)
        self.settle("a", "ran", ANSWER)

    def test_random_operations_never_grant_key_twice(self):
        # A key must stay with one attempt until that settles it as not run.
        rng = random.Random(5)
        holders = {}
        for number in range(4000):
            key = f"k{rng.randrange(8)}"
            action = rng.random()
            self.stamp += rng.choice((0.1, 1, 40))
            if action < 0.5:
                attempt = f"a{number}"
                if self.claim(attempt, key).state == STATES.GRANTED:
                    self.assertNotIn(key, holders)
                    holders[key] = attempt
            elif action < 0.9 and key in holders:
                outcome = rng.choice(("unknown", "not-run"))
                self.settle(holders[key], outcome, None, key)
                if outcome == "not-run":
                    del holders[key]
            elif action > 0.98:
                self.restart()
