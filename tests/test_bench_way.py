"""The benchmark of the way runs whole; its timings are not judged here."""

import unittest

from amaranthring.bench import way


class TestBenchWay(unittest.TestCase):
    """A tiny run."""

    def test_streams_of_a_tiny_run_are_whole(self):
        made = way.run(streams=2, tokens=5, requests=2, long_tokens=50)
        names = {figure.name for figure in made.figures}
        self.assertIn("way to plain relay, processor time per event", names)
        self.assertEqual(len(names), len(made.figures))
