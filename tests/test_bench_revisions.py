"""Message sizes in the benchmark of revisions, at a small scale."""

import unittest

from amaranthring.bench import revisions


class TestSizes(unittest.TestCase):
    """Encoded bytes: a change is sent as a delta."""

    def test_deltas_do_not_grow_with_the_accounts(self):
        few = revisions.encoded_sizes(60)
        many = revisions.encoded_sizes(240)
        self.assertGreater(many["whole"], 3 * few["whole"])
        for name in ("switch", "adjust", "burst"):
            self.assertLess(many[name], few[name] + 20)
        self.assertLess(many["adjust"], 400)

    def test_standing_traffic_grows_with_the_data_centre_only(self):
        small = revisions.control_traffic(6)
        large = revisions.control_traffic(53)
        self.assertEqual(small["router"], large["router"])
        self.assertLess(large["relay"], 5000)
        self.assertEqual(small["leader"], large["leader"])
