"""Event streams cut at whole events."""

import random
import unittest

from amaranthring import errors
from amaranthring.forwarding import events


def stream(first, last):
    return b"".join(
        b"id: %d\ndata: p%d\n\n" % (n, n) for n in range(first, last)
    )


class TestEventCutter(unittest.TestCase):
    """Bytes in any pieces, from one target or two."""

    def test_bytes_are_not_changed_however_they_are_cut(self):
        whole = stream(1, 30)
        draw = random.Random(1)
        for _ in range(20):
            cutter = events.EventSplitter()
            got = b""
            at = 0
            while at < len(whole):
                size = draw.randrange(1, 40)
                got += cutter.feed(whole[at : at + size])
                at += size
            self.assertEqual(whole, got)
            self.assertEqual(29, cutter.last_id)

    def test_begun_event_is_dropped_when_another_target_goes_on(self):
        cutter = events.EventSplitter()
        self.assertEqual(stream(1, 3), cutter.feed(stream(1, 3) + b"id: 3\nd"))
        cutter.discard_partial()
        self.assertEqual(stream(3, 5), cutter.feed(stream(3, 5)))

    def test_events_that_the_caller_has_are_dropped(self):
        cutter = events.EventSplitter(3)
        self.assertEqual(stream(4, 6), cutter.feed(stream(2, 6)))

    def test_gap_is_a_fault(self):
        cutter = events.EventSplitter(3)
        with self.assertRaises(errors.TruncatedAnswerError):
            cutter.feed(stream(5, 6))

    def test_first_lines_before_the_number_pass(self):
        cutter = events.EventSplitter()
        data = b"version: 3\nid: 7\ndata: x\n\n"
        self.assertEqual(data, cutter.feed(data))
        self.assertEqual(7, cutter.last_id)

    def test_event_without_end_is_bounded(self):
        cutter = events.EventSplitter()
        with self.assertRaises(errors.UpstreamError):
            cutter.feed(b"x" * (events.MAX_EVENT_BYTES + 1))
