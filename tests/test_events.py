"""Splitting of event streams into events."""

import random
import unittest

from amaranthring import errors
from amaranthring.forwarding import events


def stream(first, last):
    return b"".join(
        b"id: %d\ndata: p%d\n\n" % (n, n) for n in range(first, last)
    )


class TestEventSplitter(unittest.TestCase):
    """Bytes in chunks of any size, from one target or two."""

    def test_bytes_are_unchanged_for_any_chunk_sizes(self):
        whole = stream(1, 30)
        rng = random.Random(1)
        for _ in range(20):
            splitter = events.EventSplitter()
            got = b""
            at = 0
            while at < len(whole):
                size = rng.randrange(1, 40)
                got += splitter.feed(whole[at : at + size])
                at += size
            self.assertEqual(whole, got)
            self.assertEqual(29, splitter.last_id)

    def test_partial_event_is_dropped_when_another_target_resumes(self):
        splitter = events.EventSplitter()
        self.assertEqual(
            stream(1, 3), splitter.feed(stream(1, 3) + b"id: 3\nd")
        )
        splitter.discard_partial()
        self.assertEqual(stream(3, 5), splitter.feed(stream(3, 5)))

    def test_events_that_the_caller_received_are_dropped(self):
        splitter = events.EventSplitter(3)
        self.assertEqual(stream(4, 6), splitter.feed(stream(2, 6)))

    def test_missing_event_is_an_error(self):
        splitter = events.EventSplitter(3)
        with self.assertRaises(errors.TruncatedResponseError):
            splitter.feed(stream(5, 6))

    def test_id_need_not_be_the_first_line(self):
        splitter = events.EventSplitter()
        data = b"version: 3\nid: 7\ndata: x\n\n"
        self.assertEqual(data, splitter.feed(data))
        self.assertEqual(7, splitter.last_id)

    def test_size_of_an_event_is_limited(self):
        splitter = events.EventSplitter()
        with self.assertRaises(errors.UpstreamError):
            splitter.feed(b"x" * (events.MAX_EVENT_BYTES + 1))
