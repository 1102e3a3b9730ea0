"""The exact part of the benchmark of claims, small."""

import unittest

from amaranthring.bench import claims_memory
from amaranthring.core import wire
from amaranthring.keepers import ledger


class TestClaims(unittest.TestCase):
    """Encoded bytes of a claim, and of what is left of it."""

    def test_bytes_of_a_claim_and_of_its_mark(self):
        book = ledger.Ledger()
        claims_memory.fill(book, 500, 1000.0)
        self.assertEqual(len(book), 500)
        self.assertLess(len(wire.encode_value(book.dump())), 500 * 165)
        book.expire(1000.0 + book.retention * 1.2)
        self.assertEqual(book.bytes, 500 * ledger.MARK_BYTES)
