"""Tables of what streams are bound to."""

import unittest

from amaranthring.policy import bindings

V1 = bindings.Binding("s", "v1")
V2 = bindings.Binding("s", "v2")


def key(number, account="alba"):
    return bindings.stream_key(account, f"r{number}")


class TestBindingTable(unittest.TestCase):
    """What is kept, and for how long."""

    def setUp(self):
        self.now = 1000.0
        self.table = bindings.BindingTable(lambda: self.now, 100)

    def test_binding_is_found(self):
        self.table.record(key(1), V1)
        self.now += 5.0
        found = self.table.find(key(1))
        self.assertEqual((V1, 5.0), (found.binding, found.age))
        self.assertIsNone(self.table.find(key(2)))

    def test_accounts_are_kept_apart(self):
        """Guards against one account that binds the streams of another."""
        self.table.record(key(1, "alba"), V1)
        self.assertIsNone(self.table.find(key(1, "bela")))
        self.table.record(key(1, "bela"), V2)
        self.assertEqual(V1, self.table.find(key(1, "alba")).binding)

    def test_two_bindings_under_one_id_fit_nothing(self):
        """Guards against ids that a caller uses for two streams."""
        for binding in (V1, V2, V1):
            self.table.record(key(1), binding)
        self.assertEqual(bindings.AMBIGUOUS, self.table.find(key(1)).binding)

    def test_age_is_bounded(self):
        """Guards against memory for streams that have long ended."""
        self.table.record(key(1), V1)
        self.now += bindings.GENERATION_SECONDS * 2
        self.assertIsNotNone(self.table.find(key(1)))
        self.now += bindings.GENERATION_SECONDS * 1.1
        self.assertIsNone(self.table.find(key(1)))
        self.assertEqual(0, len(self.table))

    def test_streams_in_use_are_kept(self):
        """Guards against long streams that are forgotten."""
        for _ in range(20):
            self.table.record(key(1), V1)
            self.now += bindings.GENERATION_SECONDS * 0.8
        self.assertEqual(V1, self.table.find(key(1)).binding)

    def test_number_is_bounded(self):
        """Guards against callers that fill the memory."""
        for number in range(1000):
            self.table.record(key(number), V1)
        self.assertLessEqual(len(self.table), 300)
        self.assertEqual(V1, self.table.find(key(999)).binding)
