"""Platform adapter: settings, documents, headers and calls."""

import json
import os
import pathlib
import re
import tempfile
import unittest

import tornado.httputil

from amaranthring import errors
from amaranthring import routing
from amaranthring.core import endpoints
from amaranthring.core import notices
from amaranthring.forwarding import records
from amaranthring.keepers import plans
from amaranthring.platform import control
from amaranthring.platform import documents
from amaranthring.platform import headers
from amaranthring.platform import node
from amaranthring.platform import router
from amaranthring.registry import messages
from amaranthring.registry import targets
from amaranthring.targets import upstream

ROOT = pathlib.Path(__file__).resolve().parent.parent

SETTINGS = {
    "node_name": "core-a-1",
    "ip": "10.0.0.3",
    "zone": "a",
    "listen": {"control": "10.0.0.3:8080"},
    "internal_ports": [7000, 7010],
    "seeds": ["10.0.0.3:8080", "10.0.1.3:8080"],
    "bootstrap": True,
    "data_dir": "/data/keeper",
    "heartbeat_ms": 1200,
    "bounds": {
        "grace_s": 8,
        "drain_ms": 2000,
        "revoke_strict": True,
        "revoke_ms": 5000,
        "retry_ratio": 0.2,
        "retry_allowance": 54,
        "retry_window_s": 10,
    },
    "a field of a later version": [1, {"x": 2}],
}

DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "hostname": "h",
            "path_prefix": "/a/",
            "route_type": "streaming",
            "timeout_ms": 12000,
            "latency_target_ms": 1200,
            "priority": 1,
            "split": [
                {"backend": "b1", "weight": 90},
                {"backend": "b2", "weight": 10},
            ],
            "max_attempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "itl_target_ms": 400,
        },
        {
            "name": "r2",
            "hostname": "h",
            "path_prefix": "/b/",
            "route_type": "unsafe",
            "timeout_ms": 600,
            "latency_target_ms": 125,
            "priority": 0,
            "backend": "b2",
        },
    ],
    "backends": [
        {
            "name": "b1",
            "health_path": "/healthz",
            "max_conns": 360,
            "engine": {
                "batch_slots": 64,
                "kv_capacity": 423882,
                "kv_bytes": 18432,
                "link_mbps": 740000.0,
            },
        },
        {"name": "b2", "health_path": "/healthz", "max_conns": 100},
    ],
    "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
    "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "priority": 1}],
}


def changed_document(**fields):
    return json.dumps(DOCUMENT | fields).encode()


class TestSettings(unittest.TestCase):
    """The settings file that the platform writes for each process."""

    def test_fields_are_decoded_and_unknown_ones_ignored(self):
        settings = node.decode(SETTINGS)
        self.assertEqual("10.0.0.3:8080", settings.control)
        self.assertEqual("", settings.callers)
        self.assertEqual(
            ["10.0.0.3:7000", "10.0.1.3:7000"], settings.keeper_addresses()
        )
        self.assertEqual(5.0, settings.key_lease)
        self.assertEqual(1.2, settings.heartbeat_seconds)
        self.assertTrue(settings.first_start)

    def test_no_key_lease_without_strict_revocation(self):
        bounds = SETTINGS["bounds"] | {"revoke_strict": False}
        settings = node.decode(SETTINGS | {"bounds": bounds})
        self.assertEqual(0.0, settings.key_lease)

    def test_invalid_files_are_rejected(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "node.json")
            with self.assertRaises(errors.SettingsError):
                node.read(path)
            for text in (
                "",
                "{",
                "[]",
                '{"ip": 3}',
                json.dumps(SETTINGS)[:90],
            ):
                pathlib.Path(path).write_text(text)
                with self.assertRaises(errors.SettingsError):
                    node.read(path)
            pathlib.Path(path).write_text(json.dumps(SETTINGS))
            self.assertEqual("core-a-1", node.read(path).name)


class TestRetryBudget(unittest.TestCase):
    """The retry budget of a router made from the settings."""

    def test_restarted_router_sends_no_retry_at_once(self):
        """The process before it may have spent the budget."""
        for first_start in (True, False):
            with self.subTest(first_start=first_start):
                settings = node.decode(SETTINGS | {"bootstrap": first_start})
                budget = router.make(settings).relay.retries.budgets["b1"]
                for _ in range(100):
                    budget.count_request()
                self.assertEqual(first_start, budget.take(0.0))


class TestDocuments(unittest.TestCase):
    """Configurations of the operator."""

    def test_document_becomes_a_plan(self):
        plan = documents.decode(json.dumps(DOCUMENT).encode())
        first, second = plan.routes
        self.assertEqual(7, plan.version)
        self.assertEqual(routing.Kind.STREAM, first.kind)
        self.assertTrue(first.idempotent)
        self.assertFalse(second.idempotent)
        self.assertEqual(12.0, first.timeout)
        self.assertEqual(1.2, first.objective)
        self.assertEqual(0.4, first.pause_most)
        self.assertEqual(
            (routing.Share("b1", 90), routing.Share("b2", 10)), first.shares
        )
        self.assertEqual((routing.Share("b2", 1),), second.shares)
        self.assertEqual(1, second.attempts_most)
        engine = plan.services[0].engine
        self.assertEqual(64, engine.slots)
        # 740 Gbit/s are 92.5 GB/s.
        self.assertAlmostEqual(92.5e9 / 18432, engine.copy_rate)
        self.assertIsNone(plan.services[1].engine)
        self.assertEqual(("k1", "k2"), plan.accounts[0].keys)
        self.assertEqual(15.0, plan.bounds.idle_seconds)

    def test_unknown_fields_are_ignored(self):
        self.assertEqual(
            7, documents.decode(changed_document(later={"x": 1})).version
        )

    def test_invalid_documents_are_rejected(self):
        route = DOCUMENT["routes"][1]

        def changed_route(**fields):
            return changed_document(routes=[route | fields])

        tenants = [
            {"name": "a", "api_keys": ["k"]},
            {"name": "b", "api_keys": ["k"]},
        ]
        bad = [
            b"",
            b"[]",
            b"\xff\xfe",
            json.dumps(DOCUMENT).encode()[:-20],
            changed_document(version="7"),
            changed_document(version=True),
            changed_document(routes=None),
            changed_document(routes=[route, route | {"name": "r3"}]),
            changed_document(routes=[route, route | {"hostname": "H"}]),
            changed_document(tenants=tenants),
            *(
                changed_document(tenants=[{"name": "a", "api_keys": [key]}])
                for key in (" k", "k\t", "k\n", "k\x00k")
            ),
            changed_route(backend="nobody"),
            changed_route(timeout_ms=0),
            changed_route(timeout_ms="600"),
            changed_route(route_type="odd"),
            changed_route(split=[{"backend": "b1", "weight": 0}]),
            changed_route(split=[]),
        ]
        for document in bad:
            with self.assertRaises(errors.InvalidPlanError):
                documents.decode(document)
                self.fail(document)


def request(**given):
    http_headers = tornado.httputil.HTTPHeaders({"Host": "h"})
    for name, value in given.items():
        http_headers[name.replace("_", "-")] = value
    line = tornado.httputil.RequestStartLine("POST", "/a/x?q=1", "HTTP/1.1")
    return headers.read_request(line, http_headers, 10.0)


class TestRequests(unittest.TestCase):
    """Heads of callers' requests, and headers sent to targets."""

    def test_head_is_decoded(self):
        incoming = request(
            Amaranthring_Request_Id="r1",
            Amaranthring_Deadline_Ms="1500",
            Amaranthring_Prefix_Hash="a1:800,b2:410,c3:5",
            Amaranthring_Token_Usage="1215,80",
            Authorization="Bearer key",
            Last_Event_Id="12",
        )
        self.assertEqual(("r1", 1.5, "key"), (
            incoming.request_id, incoming.timeout, incoming.key))  # fmt: skip
        self.assertEqual(records.PromptPart("b2", 410), incoming.parts[1])
        self.assertEqual(
            ("12", 80), (incoming.resume_after, incoming.output_tokens)
        )
        self.assertEqual("/a/x", incoming.path)
        self.assertEqual("/a/x?q=1", incoming.uri)

    def test_key_is_read_as_the_plan_has_it(self):
        """Guards against a key that is in force and matches no request."""
        for key in ("k1", "cl\u00e9", "\u043a\u043b\u044e\u0447", "a b"):
            sent = key.encode().decode("latin1")
            for value in (f"Bearer {sent}", f"bearer  {sent} "):
                self.assertEqual(key, request(Authorization=value).key)
        self.assertEqual("\xff", request(Authorization="Bearer \xff").key)

    def test_malformed_heads_are_rejected(self):
        for bad in (
            {"Amaranthring_Deadline_Ms": "-5"},
            {"Amaranthring_Deadline_Ms": "soon"},
            {"Amaranthring_Prefix_Hash": "a1"},
        ):
            with self.assertRaises(errors.BadRequestError):
                request(**bad)

    def test_target_gets_the_callers_headers_but_no_forged_ones(self):
        incoming = request(
            Amaranthring_Request_Id="r1",
            Amaranthring_Tenant="forged",
            Amaranthring_Expect_Replica="forged",
            Kv_Fetch="forged:1",
            Amaranthring_Prefix_Hash="a1:800",
            Authorization="Bearer key",
            Connection="keep-alive, X-Hop",
            X_Hop="1",
            X_Other="2",
            Transfer_Encoding="chunked",
        )
        target = messages.TargetRecord("i-1", "s", "v:1", "here")
        sent = headers.request_headers(
            incoming, records.AttemptInfo(target, "t1", 0.9994, "3")
        )
        self.assertEqual("i-1", sent["Amaranthring-Expect-Replica"])
        self.assertEqual("t1", sent["Amaranthring-Tenant"])
        self.assertEqual("999", sent["Amaranthring-Deadline-Ms"])
        self.assertEqual("3", sent["Last-Event-Id"])
        self.assertEqual("a1:800", sent["Amaranthring-Prefix-Hash"])
        self.assertEqual("2", sent["X-Other"])
        self.assertEqual("h", sent["Host"])
        for name in (
            "Authorization",
            "X-Hop",
            "Transfer-Encoding",
            "Kv-Fetch",
        ):
            self.assertNotIn(name, sent)

    def test_header_values_are_sent_as_they_are(self):
        """Guards against refusing legal values, and against forged lines."""
        for value in ("a\tb", "it\u2019s".encode().decode("latin1"), "\xa0"):
            call = upstream.Call("GET", "/", {"X-Other": value})
            sent = upstream.encode_head(call, "h:1")
            self.assertIn(f"X-Other: {value}\r\n".encode("latin1"), sent)
        for value in ("a\nb", "a\rb", "a\0b", "a\x7fb"):
            call = upstream.Call("GET", "/", {"X-Other": value})
            with self.assertRaises(errors.BadRequestError):
                upstream.encode_head(call, "h:1")
        for path in ("/a\tb", "/a\r\nb", "/\x80"):
            with self.assertRaises(errors.BadRequestError):
                upstream.encode_head(upstream.Call("GET", path, {}), "h:1")

    def test_reserved_headers_of_callers_are_removed(self):
        """Headers that only the fleet may set are removed.

        Every engine rejects a request with an unknown reservation; other
        headers would let a caller take the memory of others or raise its
        priority.
        """
        target = messages.TargetRecord("i-1", "s", "v:1", "here")
        for name in (
            "Amaranthring-Kv-Retain",
            "Amaranthring-Kv-Pin-Ms",
            "Amaranthring-Kv-Backup",
            "Kv-From",
            "Kv-Fetch",
            "Amaranthring-Request-Priority",
            "Amaranthring-Expect-Version",
            "Amaranthring-Expect-Replica",
            "Amaranthring-Tenant",
            "Amaranthring-Deadline-Ms",
        ):
            with self.subTest(name=name):
                incoming = request(**{name.lower().replace("-", "_"): "9"})
                attempt = records.AttemptInfo(target, "", float("inf"))
                sent = headers.request_headers(incoming, attempt)
                self.assertNotIn("9", sent.values())

    def test_target_gets_the_source_of_the_prompt_copy(self):
        target = messages.TargetRecord("i-1", "s", "v:1", "here")
        attempt = records.AttemptInfo(target, "t1", 1.0, copy_from="v:2")
        sent = headers.request_headers(request(), attempt)
        self.assertEqual("v:2", sent["Kv-Fetch"])

    def test_account_is_not_forged_on_a_public_route(self):
        incoming = request(Amaranthring_Tenant="forged")
        target = messages.TargetRecord("i-1", "s", "v:1", "here")
        sent = headers.request_headers(
            incoming, records.AttemptInfo(target, "", 1.0)
        )
        self.assertNotIn("Amaranthring-Tenant", sent)


class TestResponses(unittest.TestCase):
    """Heads of targets' responses."""

    def read(self, status=200, **given):
        http_headers = tornado.httputil.HTTPHeaders()
        for name, value in given.items():
            http_headers[name.replace("_", "-")] = value
        return headers.read_response(status, http_headers)

    def test_response_head_is_decoded(self):
        good = self.read(
            Amaranthring_Request_Id="r1",
            Amaranthring_Replica_Signature="x",
            Amaranthring_Replica_Load="3,1,64",
            Connection="close",
        )
        self.assertTrue(good.signed)
        self.assertFalse(good.refused)
        self.assertEqual(records.Load(3, 1, 64), good.load)
        self.assertNotIn("Connection", good.headers)
        self.assertTrue(self.read(503, Amaranthring_Not_Executed="1").refused)
        self.assertTrue(self.read(421).other_target)
        self.assertTrue(self.read(Content_Encoding="gzip").encoded)

    def test_what_a_target_says_about_itself(self):
        refused = self.read(503, Retry_After="1.5", Server_Leaving="1")
        self.assertEqual(notices.Notice(1.5, True), refused.notice)
        self.assertTrue(self.read(200, Server_Leaving="1").notice.leaving)
        self.assertIs(notices.NOTHING, self.read(200).notice)

    def test_malformed_load_is_ignored(self):
        for value in ("", "1,2", "a,b,c", "-1,0,1"):
            head = self.read(Amaranthring_Replica_Load=value)
            self.assertIsNone(head.load)


class FakeHub:
    """Records what the calls pass to the hub."""

    def __init__(self):
        self.announced = []
        self.left = []
        self.refused = []
        self.held = messages.PlanBody(-1, b"")
        self.table = targets.TargetTable(lambda: 0.0, 1.0)

    @property
    def machine(self):
        return self.held

    def refuse(self, fault):
        self.refused.append(fault)

    def announce(self, record):
        self.announced.append(record)

    def leave(self, name, born=0):
        self.left.append((name, born) if born else name)

    async def confirm_departure(self, target_id):
        """Confirm at once."""

    async def put(self, version, document):
        if version > self.held.version:
            packed = plans.compress(document)
            self.held = messages.PlanBody(version, packed)
        return self.held.version

    async def read(self):
        return self.held


class TestCalls(unittest.IsolatedAsyncioTestCase):
    """Calls of targets and operators."""

    def setUp(self):
        self.hub = FakeHub()
        self.answer = control.make_handler(self.hub)

    async def call(self, method, path, body=b""):
        return await self.answer(endpoints.Request(method, path, body))

    async def test_document_is_read_back_as_it_was_sent(self):
        document = json.dumps(DOCUMENT, indent=1).encode()
        replaced = await self.call("POST", "/Configuration.Replace", document)
        self.assertEqual(200, replaced.status)
        fetched = await self.call("GET", "/Configuration.Fetch")
        self.assertEqual(document, fetched.body)

    async def test_invalid_document_changes_nothing(self):
        with self.assertRaises(errors.InvalidPlanError) as caught:
            await self.call("POST", "/Configuration.Replace", b"{}")
        self.assertEqual(400, caught.exception.status)
        self.assertEqual(-1, self.hub.held.version)

    async def test_two_routes_at_one_place_are_not_acknowledged(self):
        """Guards against a plan whose later route takes the first one's."""
        first, second = DOCUMENT["routes"]
        place = {"hostname": "H", "path_prefix": first["path_prefix"]}
        document = changed_document(routes=[first, second | place])
        with self.assertRaises(errors.InvalidPlanError) as caught:
            await self.call("POST", "/Configuration.Replace", document)
        self.assertEqual(400, caught.exception.status)
        self.assertEqual(-1, self.hub.held.version)
        # An earlier release may have acknowledged it.
        stored = documents.decode_acknowledged(document)
        self.assertEqual(1, len(control.read_routes(document).services))
        self.assertIs(
            stored.routes[1], routing.RouteTable(stored).match("h", "/a/x")
        )

    async def test_heartbeat(self):
        body = {
            "backend": "b1",
            "address": "10.0.0.9:80",
            "zone": "a",
            "version": "v1",
            "batch_slots": 64,
            "state": "draining",
            "cold_left_ms": 1500,
            "sequence": 4,
            "later": {},
        }
        path = "/Replicas.Heartbeat/i-1"
        await self.call("POST", path, json.dumps(body).encode())
        record = self.hub.announced[0]
        self.assertEqual(("i-1", "b1", 64), (
            record.id, record.service, record.slots))  # fmt: skip
        self.assertEqual(messages.State.DRAINING, record.state)
        self.assertEqual((1.5, 4), (record.cold_seconds, record.sequence))
        for bad in (b"", b"[]", b"{}", json.dumps(body | {"state": 3})):
            with self.assertRaises(errors.BadRequestError):
                await self.call("POST", path, bad)
        await self.call("POST", "/Replicas.Deregister/i-1")
        self.assertEqual(["i-1"], self.hub.left)

    def heartbeat(self, **fields):
        body = {
            "backend": "b1",
            "address": "10.0.0.9:80",
            "zone": "a",
            "state": "ready",
            "sequence": 1,
        }
        return json.dumps(body | fields).encode()

    async def test_restart_under_the_same_id_is_a_new_target(self):
        path = "/Replicas.Heartbeat/i-1"
        for born in (1_700_000_000_000, 1_700_000_009_000):
            await self.call("POST", path, self.heartbeat(born=born))
        first, second = self.hub.announced
        self.assertNotEqual(first.id, second.id)
        self.assertEqual(("i-1", "i-1"), (first.name, second.name))
        attempt = records.AttemptInfo(second, "", 1.0)
        sent = headers.request_headers(request(), attempt)
        self.assertEqual("i-1", sent["Amaranthring-Expect-Replica"])
        await self.call(
            "POST", "/Replicas.Deregister/i-1", b'{"born": 1700000009000}'
        )
        self.assertEqual([("i-1", 1_700_000_009_000)], self.hub.left)

    async def test_malformed_calls_are_rejected(self):
        """Malformed calls must not announce or remove a target.

        Accepted as a new target, one would get requests that nobody answers;
        accepted as a known target, it would take a healthy one out.
        """
        path = "/Replicas.Heartbeat/i-1"
        for invalid in (
            {"state": "resting"},
            {"state": ["ready"]},
            {"state": None},
            {"backend": 5},
            {"address": "nowhere"},
            {"address": 80},
            {"sequence": "7"},
            {"sequence": None},
            {"born": "1700000009000"},
            {"born": 1.5},
            {"born": True},
            {"batch_slots": "many"},
            {"zone": 3},
        ):
            with (
                self.subTest(invalid),
                self.assertRaises(errors.BadRequestError),
            ):
                await self.call("POST", path, self.heartbeat(**invalid))
        for invalid in (b"\xff\x00", b"[" * 9, b'"text"', b"17"):
            for call_path in (path, "/Replicas.Deregister/i-1"):
                with self.assertRaises(errors.BadRequestError):
                    await self.call("POST", call_path, invalid)
        self.assertEqual(([], []), (self.hub.announced, self.hub.left))
        self.assertEqual(21, len(self.hub.refused))

    async def test_heartbeat_of_an_unknown_service(self):
        document = json.dumps(DOCUMENT).encode()
        await self.call("POST", "/Configuration.Replace", document)
        path = "/Replicas.Heartbeat/i-1"
        unknown = self.heartbeat(backend="b9")
        response = await self.call("POST", path, unknown)
        self.assertEqual(200, response.status)
        self.assertEqual([], self.hub.announced)
        self.assertEqual(1, len(self.hub.refused))
        await self.call("POST", path, self.heartbeat())
        self.assertEqual(1, len(self.hub.announced))

    async def test_known_target_is_not_moved_to_an_unknown_service(self):
        """Guards against a target that one wrong heartbeat takes away."""
        document = json.dumps(DOCUMENT).encode()
        await self.call("POST", "/Configuration.Replace", document)
        path = "/Replicas.Heartbeat/i-1"
        await self.call("POST", path, self.heartbeat())
        self.hub.table.adopt(self.hub.announced[0])
        wrong = self.heartbeat(backend="b9", sequence=2)
        await self.call("POST", path, wrong)
        self.assertEqual(1, len(self.hub.announced))
        self.assertEqual(1, len(self.hub.refused))

    async def test_unknown_calls_are_not_found(self):
        for method, path in (("GET", "/"), ("GET", "/Configuration.Replace")):
            with self.assertRaises(errors.NotFoundError):
                await self.call(method, path)


class TestBoundary(unittest.TestCase):
    """No other package uses the platform's names."""

    def test_names_stay_in_the_adapter(self):
        names = re.compile(
            r"Replica-Signature|Not-Executed|Prefix-Hash|Token-Usage"
            r"|Expect-Replica|Replicas\.|Configuration\.(Replace|Fetch)"
            r"|AMARANTHRING_BOOT|path_prefix|route_type|itl_target_ms"
            r"|heartbeat_ms|revoke_ms|api_keys|batch_slots|node_name"
            r"|Kv-Fetch|kv_bytes|link_mbps"
        )
        package = ROOT / "amaranthring"
        for path in package.rglob("*.py"):
            if path.is_relative_to(package / "platform"):
                continue
            self.assertIsNone(names.search(path.read_text()), path)
