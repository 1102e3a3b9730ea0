"""Resume tokens: who may follow one, and until when."""

import random
import unittest

from amaranthring import errors
from amaranthring.callers import tokens
from amaranthring.core import links

OLD = b"o" * 32
NEW = b"n" * 32
PLACE = tokens.StreamReference("vanua", "engine-1", 7, "r1.ab.0", "m1", 1000.0)


class TestTokens(unittest.TestCase):
    """Tokens of one stream, under the keys of a fleet."""

    def setUp(self):
        self.keys = links.Keys({"old": OLD})
        self.token = tokens.sign(PLACE, self.keys) + ".4"

    def assert_refused(self, text, given, keys=None, account="vanua", now=999):
        with self.assertRaises(errors.ResumeError) as caught:
            tokens.read(text, account, keys or self.keys, now)
        self.assertIn(given, caught.exception.given)
        self.assertEqual(caught.exception.outcome, errors.Outcome.NOT_RUN)

    def test_good_token_names_the_next_event(self):
        found = tokens.read(self.token, "vanua", self.keys, 999)
        self.assertEqual(found, (PLACE, 5))

    def test_expired(self):
        self.assert_refused(self.token, "expired", now=1001)

    def test_another_account(self):
        self.assert_refused(self.token, "another account", account="agenda")

    def test_second_key_is_accepted_while_keys_change(self):
        """A caller comes back with a token that the old key signed."""
        both = links.Keys({"new": NEW, "old": OLD})
        self.assertEqual(
            tokens.read(self.token, "vanua", both, 999), (PLACE, 5)
        )
        gone = links.Keys({"new": NEW})
        self.assert_refused(self.token, "key that is gone", gone)

    def test_key_of_the_same_name_with_other_bytes(self):
        other = links.Keys({"old": NEW})
        self.assert_refused(self.token, "forged", other)

    def test_any_changed_character_is_refused(self):
        """Seeded: every place of the token, another character."""
        chance = random.Random(4)
        signed = self.token.rpartition(".")[0]
        for at in range(len(signed)):
            other = chance.choice("abcdefgh.")
            if other == signed[at]:
                other = "Z"
            changed = signed[:at] + other + signed[at + 1 :] + ".4"
            try:
                found = tokens.read(changed, "vanua", self.keys, 999)
            except errors.ResumeError:
                continue
            # The last character of a part holds bits that mean nothing.
            self.assertEqual(found, (PLACE, 5), changed)

    def test_malformed(self):
        for text in ("", "a.b", "..", "gA.AA.1", "é.AA.1", "x" * 2000):
            self.assert_refused(text, "malformed")
        for number in ("-2", "x", str(1 << 40), ""):
            signed = self.token.rpartition(".")[0]
            self.assert_refused(f"{signed}.{number}", "malformed")
