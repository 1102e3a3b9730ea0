"""Resume tokens: signature, account and expiry."""

import random
import unittest

from amaranthring import errors
from amaranthring.callers import tokens
from amaranthring.core import links

OLD_KEY = b"o" * 32
NEW_KEY = b"n" * 32
REFERENCE = tokens.StreamReference(
    "vanua", "engine-1", 7, "r1.ab.0", "m1", 1000.0
)


class TestTokens(unittest.TestCase):
    """Tokens of one stream under the keys of a fleet."""

    def setUp(self):
        self.keys = links.Keys({"old": OLD_KEY})
        self.token = tokens.sign(REFERENCE, self.keys) + ".4"

    def assert_rejected(
        self, text, given, keys=None, account="vanua", now=999
    ):
        with self.assertRaises(errors.ResumeError) as caught:
            tokens.read(text, account, keys or self.keys, now)
        self.assertIn(given, caught.exception.given)
        self.assertEqual(caught.exception.outcome, errors.Outcome.NOT_RUN)

    def test_valid_token_gives_the_next_event(self):
        result = tokens.read(self.token, "vanua", self.keys, 999)
        self.assertEqual(result, (REFERENCE, 5))

    def test_expired_token_is_rejected(self):
        self.assert_rejected(self.token, "expired", now=1001)

    def test_token_of_another_account_is_rejected(self):
        self.assert_rejected(self.token, "another account", account="agenda")

    def test_previous_key_is_accepted_during_rotation(self):
        """A caller resumes with a token that the previous key signed."""
        both = links.Keys({"new": NEW_KEY, "old": OLD_KEY})
        self.assertEqual(
            tokens.read(self.token, "vanua", both, 999), (REFERENCE, 5)
        )
        gone = links.Keys({"new": NEW_KEY})
        self.assert_rejected(self.token, "key that is gone", gone)

    def test_key_with_the_same_id_but_other_bytes(self):
        other = links.Keys({"old": NEW_KEY})
        self.assert_rejected(self.token, "forged", other)

    def test_changed_characters_are_rejected(self):
        """Seeded: each character of the token is replaced by another."""
        rng = random.Random(4)
        signed = self.token.rpartition(".")[0]
        for index in range(len(signed)):
            other = rng.choice("abcdefgh.")
            if other == signed[index]:
                other = "Z"
            changed = signed[:index] + other + signed[index + 1 :] + ".4"
            try:
                result = tokens.read(changed, "vanua", self.keys, 999)
            except errors.ResumeError:
                continue
            # The last character of a part has unused bits.
            self.assertEqual(result, (REFERENCE, 5), changed)

    def test_malformed_tokens_are_rejected(self):
        for text in ("", "a.b", "..", "gA.AA.1", "é.AA.1", "x" * 2000):
            self.assert_rejected(text, "malformed")
        for number in ("-2", "x", str(1 << 40), ""):
            signed = self.token.rpartition(".")[0]
            self.assert_rejected(f"{signed}.{number}", "malformed")
