"""Numbers in headers and announcements."""

import json
import unittest

import tornado.httputil

from amaranthring import errors
from amaranthring.core import numerals
from amaranthring.core import wire
from amaranthring.platform import control
from amaranthring.platform import headers
from amaranthring.registry import sharing
from amaranthring.targets import http_body

# str.isdigit holds for the first; int() raises on it and on the second, and
# no float holds the third.
ODD = ("\u00b2", "9" * 5000, "9" * 400)


class TestNumerals(unittest.TestCase):
    """What counts as a number, and as which."""

    def test_numbers(self):
        self.assertEqual(0, numerals.read("000"))
        self.assertEqual(1200, numerals.read("0" * 5000 + "1200"))
        self.assertEqual(7, numerals.read("8", maximum=7))
        self.assertEqual(numerals.MAX_NUMBER, numerals.read("9" * 5000))

    def test_others(self):
        for text in ("", " 1", "+1", "-1", "1_0", "1.0", "\u00b2", "\u0661"):
            self.assertIsNone(numerals.read(text), text)


class TestHeaders(unittest.TestCase):
    """Guards against odd numbers that end a request unanswered."""

    def read_request(self, **fields):
        given = {"Host": "h"} | fields
        return headers.read_request(
            tornado.httputil.RequestStartLine("GET", "/", "HTTP/1.1"),
            tornado.httputil.HTTPHeaders(given),
            0.0,
        )

    def test_requests(self):
        for name in (headers.DEADLINE, headers.PROMPT_PARTS, headers.TOKENS):
            for number in ODD:
                value = f"a:{number}" if "Hash" in name else number
                try:
                    incoming = self.read_request(**{name: value})
                except errors.BadRequestError:
                    continue
                self.assertIn(incoming.timeout, (float("inf"), 1e12))
                self.assertLessEqual(
                    sum(part.tokens for part in incoming.parts),
                    headers.MAX_COUNT,
                )

    def test_last_event(self):
        for number in ODD:
            with self.assertRaises(errors.BadRequestError):
                self.read_request(**{headers.LAST_EVENT: number})
        for text in ("", "7", "stream:7", "9" * 30):
            incoming = self.read_request(**{headers.LAST_EVENT: text})
            self.assertEqual(text, incoming.resume_after)

    def test_tokens_fit_into_a_report(self):
        """Guards against a request that ends a router's reports for good."""
        parts = ",".join(f"{n}:{'9' * 23}" for n in range(1000))
        incoming = self.read_request(**{headers.PROMPT_PARTS: parts})
        tokens = 1000 * sum(part.tokens for part in incoming.parts)
        report = sharing.Report({}, [], [], {"t0": tokens}, [])
        self.assertTrue(wire.encode(wire.REQUEST, 1, report))

    def test_load(self):
        for number in ODD:
            given = tornado.httputil.HTTPHeaders(
                {headers.LOAD: f"{number},0,1"}
            )
            load = headers.read_response(200, given).load
            if load is not None:
                self.assertLessEqual(load.running, headers.MAX_COUNT)

    def test_length_of_a_body(self):
        for number in ODD:
            given = tornado.httputil.HTTPHeaders({"Content-Length": number})
            try:
                decoder = http_body.decoder_for(given, 200, "GET")
            except errors.UpstreamError:
                continue
            self.assertEqual(numerals.MAX_NUMBER, decoder.remaining)


class TestAnnouncements(unittest.TestCase):
    """Guards against a target whose record ends the tasks of all processes."""

    def check_refused(self, **fields):
        data = {"backend": "s", "address": "h:1", "state": "ready"}
        body = json.dumps(data | {"sequence": 1} | fields).encode()
        with self.assertRaises(errors.BadRequestError, msg=fields):
            control.read_heartbeat(f"{control.HEARTBEAT}t1", body)

    def test_ports_that_cannot_be_connected_to(self):
        for port in ("99999", "\u00b2", "9" * 5000, "-1", ""):
            self.check_refused(address=f"h:{port}")

    def test_integers_that_no_message_holds(self):
        for name in ("born", "sequence", "batch_slots"):
            self.check_refused(**{name: 10**30})

    def test_times_that_are_no_times(self):
        for value in (10**400, 10**300, float("nan"), float("inf")):
            self.check_refused(cold_left_ms=value)


if __name__ == "__main__":
    unittest.main()
