"""Sizes in the benchmark of streams, at a small scale."""

import unittest

from amaranthring.bench import streams


class TestStreams(unittest.TestCase):
    """What a keeper keeps, and what a stream takes on the wire."""

    def test_streams_are_forgotten_in_time(self):
        clock = streams.Clock()
        ledger = streams.make_ledger(clock)
        streams.fill(ledger, clock, 200, 20)
        self.assertLessEqual(len(ledger.bindings), 90 * 20)
        self.assertGreaterEqual(len(ledger.bindings), 55 * 20)

    def test_stream_takes_little_in_a_report(self):
        figures = {f.name: f.value for f in streams.run(20).figures}
        self.assertLessEqual(figures["a stream in a report"], 17)
