"""Announcements over HTTP: keys, bodies, and refusals that change nothing."""

import json

import tornado.testing
import tornado.web

from amaranthring.core import metrics
from amaranthring.targets import announce
from amaranthring.targets import protocol
from amaranthring.targets import table

KEYS = {"old": b"o" * 32, "new": b"n" * 32}
ANNOUNCEMENT = {
    "name": "e1",
    "incarnation": 7,
    "kind": "engine",
    "address": "127.0.0.1:9001",
    "data_centre": "dc1",
    "region": "north",
    "serves": ["m"],
}


class TestAnnounce(tornado.testing.AsyncHTTPTestCase):
    """The four messages of a target, valid and invalid."""

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

    def message(self, **fields):
        return {"name": "e1", "incarnation": 7} | fields

    def test_target_lifecycle(self):
        answer = self.post("announce", ANNOUNCEMENT)
        self.assertEqual(answer.code, 200)
        self.assertEqual(json.loads(answer.body)["renew_seconds"], 0.5)
        self.assertEqual(self.post("renew", self.message()).code, 200)
        report = {"target": "e1", "incarnation": 7, "sequence": 1}
        report |= {"running": 3, "waiting": 1, "kv_used": 0.5}
        self.assertEqual(self.post("report", report).code, 200)
        self.assertEqual(self.table.report("e1").running, 3)
        self.assertEqual(self.post("leave", self.message()).code, 200)
        self.assertEqual(self.table.state("e1"), "leaving")

    def test_both_keys_are_accepted_during_rotation(self):
        self.assertEqual(self.post("announce", ANNOUNCEMENT, "old").code, 200)
        self.assertEqual(self.post("renew", self.message(), "new").code, 200)

    def test_wrong_unknown_and_missing_keys(self):
        for header in ("", "new", "new 00", "other 00", "new \xff"):
            answer = self.post("announce", ANNOUNCEMENT, header=header)
            self.assert_refused(answer, 401, "unauthenticated")
        answer = self.post("announce", ANNOUNCEMENT, key=b"x" * 32)
        self.assert_refused(answer, 401, "unauthenticated")
        self.assertEqual(self.table.entries, {})

    def test_mac_of_another_body_is_refused(self):
        header = protocol.sign("new", KEYS["new"], b"{}")
        answer = self.post("announce", ANNOUNCEMENT, header=header)
        self.assert_refused(answer, 401, "unauthenticated")

    def test_invalid_bodies(self):
        bad = [
            b"",
            b"{",
            b"[]",
            b"\xff\xfe",
            ANNOUNCEMENT | {"capacity": 0},
            ANNOUNCEMENT | {"incarnation": -1},
            ANNOUNCEMENT | {"incarnation": 2**70},
            ANNOUNCEMENT | {"name": "a b"},
            ANNOUNCEMENT | {"name": "x" * 65},
            ANNOUNCEMENT | {"address": "nowhere"},
            ANNOUNCEMENT | {"serves": []},
            ANNOUNCEMENT | {"kind": "oven"},
            ANNOUNCEMENT | {"surprise": 1},
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
        answer = self.post("renew", self.message())
        self.assert_refused(answer, 404, "not-found")

    def test_conflicting_claims(self):
        self.post("announce", ANNOUNCEMENT)
        answer = self.post("announce", ANNOUNCEMENT | {"incarnation": 6})
        self.assert_refused(answer, 409, "stale-incarnation")
        answer = self.post("announce", ANNOUNCEMENT | {"name": "e2"})
        self.assert_refused(answer, 409, "address-taken")
        moved = ANNOUNCEMENT | {"incarnation": 8, "address": "127.0.0.1:9002"}
        answer = self.post("announce", moved)
        self.assert_refused(answer, 409, "name-taken")
        self.assertEqual(answer.headers["Retry-After"], "1")
        answer = self.post("announce", ANNOUNCEMENT | {"data_centre": "dc2"})
        self.assert_refused(answer, 400, "bad-request")

    def test_replayed_renewal_does_not_keep_a_dead_target(self):
        """A recorded renewal has a valid MAC, but must not renew the lease."""
        self.post("announce", ANNOUNCEMENT | {"sequence": 1})
        recorded = self.message(sequence=2)
        self.assertEqual(self.post("renew", recorded).code, 200)
        heard = self.table.entries["e1"].heard_at
        self.assert_refused(self.post("renew", recorded), 409, "replayed")
        self.assert_refused(
            self.post("renew", self.message()), 409, "replayed"
        )
        answer = self.post("announce", ANNOUNCEMENT | {"sequence": 1})
        self.assert_refused(answer, 409, "replayed")
        self.assertEqual(self.table.entries["e1"].heard_at, heard)

    def test_replayed_leave_does_not_affect_the_next_incarnation(self):
        """A late or replayed leave must not suspend a restarted engine."""
        self.post("announce", ANNOUNCEMENT)
        self.post("leave", self.message())
        self.assertEqual(self.post("leave", self.message()).code, 200)
        self.post("announce", ANNOUNCEMENT | {"incarnation": 8})
        answer = self.post("leave", self.message())
        self.assert_refused(answer, 409, "stale-incarnation")
        self.assertEqual(self.table.state("e1"), "ready")
