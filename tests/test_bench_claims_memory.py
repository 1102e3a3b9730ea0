"""Sizes in the benchmark of claims, at a small scale."""

import unittest

from amaranthring.bench import claims_memory
from amaranthring.core import wire
from amaranthring.keepers import ledger


class TestClaims(unittest.TestCase):
    """Encoded bytes of a claim, and of the mark that remains of it."""

    def test_bytes_of_a_claim_and_of_its_mark(self):
        claim_ledger = ledger.Ledger()
        claims_memory.fill(claim_ledger, 500, 1000.0)
        self.assertEqual(len(claim_ledger), 500)
        self.assertLess(len(wire.encode_value(claim_ledger.dump())), 500 * 165)
        claim_ledger.expire(1000.0 + claim_ledger.retention * 1.2)
        self.assertEqual(claim_ledger.bytes, 500 * ledger.MARK_BYTES)
