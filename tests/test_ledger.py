"""Claims: granted once, settled by the holder only, kept and dropped."""

import random
import unittest

from amaranthring import errors
from amaranthring.core import records
from amaranthring.keepers import commands
from amaranthring.keepers import ledger
from amaranthring.keepers import state_machine
from amaranthring.testing import state

STATES = records.ClaimState
ANSWER = records.StoredAnswer(201, "application/json", b'{"id": 7}')
BODY = "ab" * 16


class TestLedger(unittest.TestCase):
    """One account's keys, through snapshots."""

    def setUp(self):
        self.machine = state_machine.StateMachine()
        self.stamp = 10_000.0

    def apply(self, command):
        return self.machine.apply(1, self.stamp, state.copied(command)).claim

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

    def test_second_attempt_is_told_the_state_through_every_step(self):
        # A router claims and books; the caller resends through another
        # router at each stage, the keepers restarting in between. No stage
        # may grant the key again.
        self.assertEqual(self.claim("a").state, STATES.GRANTED)
        self.restart()
        found = self.claim("b")
        self.assertEqual(
            (found.state, found.target), (STATES.IN_PROGRESS, "b1")
        )
        self.stamp += 31
        self.assertEqual(self.claim("b").state, STATES.UNKNOWN)
        self.restart()
        self.settle("a", "ran", ANSWER)
        self.restart()
        found = self.claim("b")
        self.assertEqual((found.state, found.answer), (STATES.SETTLED, ANSWER))
        self.assertEqual(found.outcome, errors.Outcome.RAN)

    def test_same_attempt_asking_again_is_still_the_holder(self):
        self.claim("a")
        self.assertEqual(self.claim("a").state, STATES.GRANTED)
        self.assertEqual(self.claim("b").state, STATES.IN_PROGRESS)

    def test_not_run_frees_the_key_for_another_attempt(self):
        self.claim("a")
        self.settle("a", "not-run")
        self.assertEqual(self.claim("b").state, STATES.GRANTED)
        self.assertEqual(self.claim("c").state, STATES.IN_PROGRESS)

    def test_late_copy_of_a_claim_that_was_given_back(self):
        # The router's first proposal was slow, its second was granted and
        # settled as not run. The slow copy arrives last. It must not hold
        # the key with nobody behind it.
        self.claim("a")
        self.settle("a", "not-run")
        found = self.claim("a")
        self.assertEqual(found.state, STATES.SETTLED)
        self.assertEqual(found.outcome, errors.Outcome.NOT_RUN)
        self.assertEqual(self.claim("b").state, STATES.GRANTED)

    def test_claim_that_comes_after_it_was_given_up(self):
        # The claim lies in a slow connection. The router gives it up and
        # tells the keepers before they ever saw it; then it is committed.
        # It must be refused, or it would hold the key with nobody behind.
        self.settle("a", "not-run")
        late = self.claim("a")
        self.assertEqual(late.outcome, errors.Outcome.NOT_RUN)
        self.assertEqual(self.claim("b").state, STATES.GRANTED)
        self.assertEqual(self.claim("c").state, STATES.IN_PROGRESS)

    def test_only_the_holder_settles(self):
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

    def test_matrix_of_settlements(self):
        # The first word and the second of the same holder, and what a
        # resend then learns; None is a refusal that changes nothing.
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
        for number, ((first, second), told) in enumerate(matrix.items()):
            key = f"key-{number}"
            self.claim("a", key)
            self.settle("a", first, ANSWER, key)
            if told is None:
                with self.assertRaises(errors.ForbiddenError):
                    self.settle("a", second, ANSWER, key)
                continue
            self.settle("a", second, ANSWER, key)
            found = self.claim("b", key)
            self.assertEqual(
                (found.state, found.outcome), told, (first, second)
            )

    def test_key_with_another_body_is_refused(self):
        self.claim("a")
        found = self.claim("b", body="cd" * 16)
        self.assertEqual(found.state, STATES.KEY_REUSED)
        self.assertEqual(self.claim("b").state, STATES.IN_PROGRESS)

    def test_accounts_do_not_share_keys(self):
        self.claim("a")
        other = commands.Claim("board", "k", "cd" * 16, "b", "b1", 30.0)
        self.assertEqual(self.apply(other).state, STATES.GRANTED)

    def test_large_answer_is_not_kept_but_known_to_have_run(self):
        self.claim("a")
        large = b"x" * (ledger.MAX_ANSWER_BYTES + 1)
        self.settle("a", "ran", records.StoredAnswer(200, "text/plain", large))
        found = self.claim("b")
        self.assertEqual(found.state, STATES.SETTLED)
        self.assertEqual(found.answer.status, 200)
        self.assertFalse(found.answer.kept)

    def test_resend_past_the_answers_learns_what_became_of_it(self):
        # Three days later the answer is gone. Granting the key again would
        # book twice, so what became of the call is remembered longer.
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
        told = [self.claim("b", key) for key in ("k1", "k2", "k3", "k4")]
        self.assertEqual(
            [claim.state for claim in told],
            [STATES.SETTLED, STATES.UNKNOWN, STATES.GRANTED, STATES.UNKNOWN],
        )
        self.assertFalse(told[0].answer.kept)

    def test_giving_up_an_old_key_does_not_free_it(self):
        self.claim("a")
        self.settle("a", "ran", ANSWER)
        self.stamp += ledger.RETENTION_SECONDS * 1.1
        self.claim("z", "other")
        with self.assertRaises(errors.NotFoundError):
            self.settle("b", "not-run")
        self.assertEqual(self.claim("c").state, STATES.SETTLED)

    def test_memory_of_what_ran_is_dropped_in_the_end(self):
        self.claim("a")
        self.settle("a", "ran", ANSWER)
        self.stamp += ledger.RETENTION_SECONDS * 1.1
        self.claim("z", "other")
        self.stamp += ledger.MARK_RETENTION_SECONDS + ledger.RETENTION_SECONDS
        self.claim("z", "another")
        self.assertEqual(self.claim("b").state, STATES.GRANTED)
        self.assertEqual(len(self.machine.ledger), 2)

    def test_full_ledger_refuses_and_says_when_to_come_back(self):
        self.machine.ledger.max_bytes = 1
        self.claim("a")
        with self.assertRaises(errors.QueueFullError) as caught:
            self.claim("a", "k2")
        self.assertEqual(caught.exception.outcome, errors.Outcome.NOT_RUN)
        self.settle("a", "ran", ANSWER)

    def test_no_key_is_granted_twice_at_random(self):
        # Seeded attempts, settlements, pauses and restarts over few keys.
        # A key is held by one attempt until that one says not run.
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
