"""Announcements over HTTP: keys, bodies and refusals that change nothing."""

import json

import tornado.testing
import tornado.web

from amaranthring.core import metrics
from amaranthring.targets import announce
from amaranthring.targets import protocol
from amaranthring.targets import table

KEYS = {"old": b"o" * 32, "new": b"n" * 32}
TARGET = {
    "name": "e1",
    "incarnation": 7,
    "kind": "engine",
    "address": "127.0.0.1:9001",
    "data_centre": "dc1",
    "region": "north",
    "serves": ["m"],
}


class TestAnnounce(tornado.testing.AsyncHTTPTestCase):
    """The four messages of a target, good and bad."""

    def get_app(self):
        self.table = table.TargetTable("dc1")
        self.metrics = metrics.Metrics()
        routes = announce.routes(self.table, KEYS, self.metrics)
        return tornado.web.Application(routes, log_function=lambda _: None)

    def post(self, path, record, key_id="new", key=None, header=None):
        body = record
        if not isinstance(record, bytes):
            body = json.dumps(record).encode()
        if header is None:
            signing = key or KEYS[key_id]
            header = protocol.sign(key_id, signing, body)
        return self.fetch(
            f"/targets/{path}",
            method="POST",
            body=body,
            headers={protocol.KEY_HEADER: header},
        )

    def assert_refused(self, answer, status, code):
        self.assertEqual(answer.code, status)
        record = json.loads(answer.body)["error"]
        self.assertEqual(record["code"], code)
        self.assertEqual(record["outcome"], "not-run")
        return record

    def named(self, **fields):
        return {"name": "e1", "incarnation": 7} | fields

    def test_life_of_a_target(self):
        answer = self.post("announce", TARGET)
        self.assertEqual(answer.code, 200)
        self.assertEqual(json.loads(answer.body)["renew_seconds"], 0.5)
        self.assertEqual(self.post("renew", self.named()).code, 200)
        report = {"target": "e1", "incarnation": 7, "sequence": 1}
        report |= {"running": 3, "waiting": 1, "kv_used": 0.5}
        self.assertEqual(self.post("report", report).code, 200)
        self.assertEqual(self.table.report("e1").running, 3)
        self.assertEqual(self.post("leave", self.named()).code, 200)
        self.assertEqual(self.table.state("e1"), "leaving")

    def test_both_keys_are_accepted_while_they_rotate(self):
        self.assertEqual(self.post("announce", TARGET, "old").code, 200)
        self.assertEqual(self.post("renew", self.named(), "new").code, 200)

    def test_wrong_unknown_and_missing_keys(self):
        for header in ("", "new", "new 00", "other 00", "new \xff"):
            answer = self.post("announce", TARGET, header=header)
            self.assert_refused(answer, 401, "unauthenticated")
        answer = self.post("announce", TARGET, key=b"x" * 32)
        self.assert_refused(answer, 401, "unauthenticated")
        self.assertEqual(self.table.entries, {})

    def test_mac_of_another_body_is_refused(self):
        header = protocol.sign("new", KEYS["new"], b"{}")
        answer = self.post("announce", TARGET, header=header)
        self.assert_refused(answer, 401, "unauthenticated")

    def test_bodies_that_do_not_fit(self):
        bad = [
            b"",
            b"{",
            b"[]",
            b"\xff\xfe",
            TARGET | {"capacity": 0},
            TARGET | {"incarnation": -1},
            TARGET | {"incarnation": 2**70},
            TARGET | {"name": "a b"},
            TARGET | {"name": "x" * 65},
            TARGET | {"address": "nowhere"},
            TARGET | {"serves": []},
            TARGET | {"kind": "oven"},
            TARGET | {"surprise": 1},
        ]
        for body in bad:
            answer = self.post("announce", body)
            record = self.assert_refused(answer, 400, "bad-request")
            self.assertTrue(record["expected"])
        self.assertEqual(self.table.entries, {})

    def test_oversize_body(self):
        body = b" " * (protocol.MAX_BODY_BYTES + 1)
        self.assert_refused(self.post("announce", body), 413, "too-large")

    def test_renewal_of_an_unknown_target_asks_for_an_announcement(self):
        answer = self.post("renew", self.named())
        self.assert_refused(answer, 404, "not-found")

    def test_old_incarnation_and_foreign_claims(self):
        self.post("announce", TARGET)
        answer = self.post("announce", TARGET | {"incarnation": 6})
        self.assert_refused(answer, 409, "stale-incarnation")
        answer = self.post("announce", TARGET | {"name": "e2"})
        self.assert_refused(answer, 409, "address-taken")
        moved = TARGET | {"incarnation": 8, "address": "127.0.0.1:9002"}
        answer = self.post("announce", moved)
        self.assert_refused(answer, 409, "name-taken")
        self.assertEqual(answer.headers["Retry-After"], "1")
        answer = self.post("announce", TARGET | {"data_centre": "dc2"})
        self.assert_refused(answer, 400, "bad-request")

    def test_replayed_renewal_does_not_keep_a_dead_target(self):
        """Requests go on to an engine that is long dead.

        Its last renewal was recorded on the way and is sent again and
        again; the MAC is right, as the body is the same.
        """
        self.post("announce", TARGET | {"sequence": 1})
        recorded = self.named(sequence=2)
        self.assertEqual(self.post("renew", recorded).code, 200)
        heard = self.table.entries["e1"].heard_at
        self.assert_refused(self.post("renew", recorded), 409, "replayed")
        self.assert_refused(self.post("renew", self.named()), 409, "replayed")
        answer = self.post("announce", TARGET | {"sequence": 1})
        self.assert_refused(answer, 409, "replayed")
        self.assertEqual(self.table.entries["e1"].heard_at, heard)

    def test_replayed_leave_does_not_touch_the_successor(self):
        """An engine that was just restarted gets no work.

        The leave of its predecessor comes again, late or replayed.
        """
        self.post("announce", TARGET)
        self.post("leave", self.named())
        self.assertEqual(self.post("leave", self.named()).code, 200)
        self.post("announce", TARGET | {"incarnation": 8})
        answer = self.post("leave", self.named())
        self.assert_refused(answer, 409, "stale-incarnation")
        self.assertEqual(self.table.state("e1"), "ready")
