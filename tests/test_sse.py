"""Events and chunked bodies, at any read sizes."""

import unittest

from amaranthring import errors
from amaranthring.targets import http_body
from amaranthring.targets import sse


def event(number, data="x", stream="s"):
    return f"id: {stream}:{number}\ndata: {data}\n\n".encode()


STREAM = event(0) + b": a comment\n\n" + event(1) + event(2, "[DONE]")
REWRITTEN = STREAM.replace(b"s:", b"T.").replace(b": a comment\n\n", b"")


class TestEvents(unittest.TestCase):
    """Numbers, the end of the stream, and what is kept."""

    def test_events_do_not_depend_on_read_sizes(self):
        for size in range(1, len(STREAM) + 1):
            events = sse.EventRewriter("s", "T")
            parts = range(0, len(STREAM), size)
            taken = [events.take(STREAM[at : at + size]) for at in parts]
            self.assertEqual(b"".join(taken), REWRITTEN)
            self.assertTrue(events.ended)

    def test_nothing_is_taken_after_the_end_or_an_error(self):
        events = sse.EventRewriter("s", "T")
        events.take(STREAM)
        self.assertEqual(events.take(event(3)), b"")
        events = sse.EventRewriter("s", "T")
        self.assertEqual(
            events.take(event(0) + event(2)), b"id: T.0\ndata: x\n\n"
        )
        self.assertIsInstance(events.error, errors.TruncatedResponseError)
        self.assertEqual(events.take(event(1)), b"")

    def test_oversize_event_is_an_error(self):
        events = sse.EventRewriter("s", "T")
        events.take(b"id: s:0\ndata: " + b"x" * sse.MAX_EVENT_BYTES)
        self.assertIsInstance(events.error, errors.UpstreamError)

    def test_text_is_known_only_for_plain_text(self):
        plain = '{"choices": [{"delta": {"content": "a b"}}]}'
        tool = '{"choices": [{"delta": {"tool_calls": []}}]}'
        events = sse.EventRewriter("s", "T")
        events.take(event(0, plain) + event(1, plain))
        self.assertEqual(events.text(), "a ba b")
        events.take(event(2, tool))
        self.assertIsNone(events.text())

    def test_long_answer_is_not_kept(self):
        events = sse.EventRewriter("s", "T")
        for number in range(100):
            events.take(event(number, "x" * 1000))
        self.assertIsNone(events.kept)


class TestChunks(unittest.TestCase):
    """Chunked bodies."""

    def test_body_does_not_depend_on_read_sizes(self):
        whole = b"5\r\nhello\r\n1;ext=1\r\n \r\nA\r\nworld12345\r\n0\r\n\r\n"
        for size in range(1, len(whole) + 1):
            body = http_body.Chunked()
            parts = range(0, len(whole), size)
            taken = [body.take(whole[at : at + size]) for at in parts]
            self.assertEqual(b"".join(taken), b"hello world12345")
            self.assertTrue(body.ended)

    def test_malformed_framing(self):
        bad = (
            b"x\r\n",
            b"-1\r\n",
            b"0x5\r\n",
            b"1_0\r\n",
            b"\r\n",
            b"fffffffff\r\n",
            b"ffffffff\r\n",
            b"1\r\nabc",
            b"1" * 99,
        )
        for data in bad:
            with self.subTest(data), self.assertRaises(errors.UpstreamError):
                http_body.Chunked().take(data)

    def test_ambiguous_length(self):
        bad = (
            {"Content-Length": "5,5"},
            {"Content-Length": "-5"},
            {"Content-Length": "5", "Transfer-Encoding": "chunked"},
            {"Transfer-Encoding": "gzip, chunked"},
        )
        for headers in bad:
            with (
                self.subTest(headers),
                self.assertRaises(errors.UpstreamError),
            ):
                http_body.decoder_for(headers, 200, "GET")
