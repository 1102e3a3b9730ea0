"""The benchmark of request execution runs; timings are not checked."""

import unittest

from amaranthring.bench import way


class TestBenchWay(unittest.TestCase):
    """A tiny run."""

    def test_tiny_run_reads_complete_streams(self):
        results = way.run(streams=2, tokens=5, requests=2, long_tokens=50)
        names = {figure.name for figure in results.figures}
        self.assertIn("way to plain relay, processor time per event", names)
        self.assertEqual(len(names), len(results.figures))
