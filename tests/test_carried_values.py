"""Values that are accepted at one border are carried over all others."""

import asyncio
import dataclasses
import json
import socket
import tempfile
import unittest
import urllib.error
import urllib.request
import zlib

import tornado.httputil

from amaranthring import errors
from amaranthring import plan_router
from amaranthring.core import endpoints
from amaranthring.core import links
from amaranthring.core import listeners
from amaranthring.core import validation
from amaranthring.core import wire
from amaranthring.operators import schemas
from amaranthring.platform import control
from amaranthring.platform import documents
from amaranthring.platform import headers
from amaranthring.platform import node
from amaranthring.registry import messages
from amaranthring.testing import odd_values
from amaranthring.testing import plan_keepers
from tests import platform_case

LONE_SURROGATE = "h\ud800"
HUGE = 10**400
DEEP = b"[" * 100_000
HEARTBEAT = {
    "backend": "b1",
    "address": "10.0.0.9:80",
    "zone": "a",
    "version": "v1",
    "batch_slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 1,
}
PLAN = {
    **platform_case.configuration(7),
    "routes": [
        {
            **platform_case.configuration(7)["routes"][0],
            "itl_target_ms": 400,
        }
    ],
}
PLAN["backends"][0]["engine"] = {
    "batch_slots": 64,
    "kv_capacity": 1000,
    "kv_bytes": 18432,
    "link_mbps": 740.0,
}


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class TestHeartbeats(unittest.TestCase):
    """Heartbeats with values that no message between processes can carry."""

    def check_refused(self, *changes):
        """Check that each heartbeat is refused by an error that travels."""
        accepted = []
        for change in changes:
            body = json.dumps(HEARTBEAT | change).encode()
            try:
                control.read_heartbeat(f"{control.HEARTBEAT}i-1", body)
                accepted.append(ascii(change)[:60])
            except errors.BadRequestError as error:
                wire.encode(wire.ERROR, 1, error)
            except ArithmeticError as error:
                accepted.append(f"{ascii(change)[:60]}: {error!r}")
        self.assertEqual([], accepted)

    def test_sound_heartbeat_is_accepted(self):
        body = json.dumps(HEARTBEAT).encode()
        record = control.read_heartbeat(f"{control.HEARTBEAT}i-1", body)
        wire.encode_value(record)

    def test_text_that_cannot_be_encoded_is_refused(self):
        """Guards against a record that ends the tasks that send it."""
        names = ("backend", "address", "zone", "version")
        text = f"{LONE_SURROGATE}:80"
        self.check_refused(*({name: text} for name in names))

    def test_numbers_out_of_range_are_refused(self):
        """Guards against a call that fails in the place of being refused."""
        names = ("batch_slots", "sequence", "cold_left_ms", "born")
        numbers = (HUGE, -HUGE, float("inf"), float("-inf"), float("nan"))
        self.check_refused(*({n: v} for n in names for v in numbers))

    def test_negative_room_is_refused(self):
        """Guards against a target that counts as less than empty."""
        self.check_refused({"batch_slots": -5})

    def test_address_that_no_head_can_carry_is_refused(self):
        """Guards against a target to which every connection fails."""
        addresses = ("a b:80", "a\r\nX-Y: z:80", "h\u4e00:80")
        self.check_refused(*({"address": address} for address in addresses))

    def test_text_that_no_link_can_carry_is_refused(self):
        """Guards against a record that closes the links of all routers."""
        names = ("backend", "address", "zone", "version")
        text = f"{'x' * 5_000_000}:80"
        self.check_refused(*({name: text} for name in names))

    def test_ids_that_name_no_target_are_refused(self):
        """Guards against departures of nobody that all routers are told."""
        body = json.dumps(HEARTBEAT).encode()
        for target_id in ("", "i" * 5_000):
            with self.assertRaises(errors.BadRequestError):
                control.read_heartbeat(f"{control.HEARTBEAT}{target_id}", body)
            with self.assertRaises(errors.BadRequestError):
                control.read_name(f"{control.DEREGISTER}{target_id}")

    def test_deep_documents_are_refused(self):
        """Guards against a call that fails in the place of being refused."""
        for read in (
            lambda: control.read_heartbeat(f"{control.HEARTBEAT}i-1", DEEP),
            lambda: control.read_start_time(DEEP),
        ):
            with self.assertRaises(errors.BadRequestError):
                read()


class TestPlans(unittest.TestCase):
    """Plans with values that not every router can apply."""

    def check_refused(self, *changes):
        """Check that each plan is refused by an error that travels."""
        accepted = []
        for path, value in changes:
            changed = json.dumps(
                odd_values.replace(PLAN, path, value)
            ).encode()
            try:
                documents.decode(changed)
                accepted.append((path, ascii(value)[:20]))
            except errors.InvalidPlanError as error:
                wire.encode(wire.ERROR, 1, error)
            except ArithmeticError as error:
                accepted.append((path, repr(error)))
        self.assertEqual([], accepted)

    def test_sound_plan_is_accepted(self):
        plan = documents.decode(json.dumps(PLAN).encode())
        wire.encode_value(plan)

    def test_text_that_cannot_be_encoded_is_refused(self):
        """Guards against an acknowledged plan that no router can apply."""
        texts = [
            p for p, value in odd_values.leaves(PLAN) if isinstance(value, str)
        ]
        # The protocol's name of what targets speak is not read.
        texts.remove(("backends", 0, "protocol"))
        self.assertGreater(len(texts), 8)
        self.check_refused(*((path, "/x\ud800/") for path in texts))
        long = f"/{'x' * 100_000}/"
        self.check_refused(*((path, long) for path in texts))

    def test_numbers_out_of_range_are_refused(self):
        """Guards against an acknowledged plan that no router can apply."""
        numbers = [
            path
            for path, value in odd_values.leaves(PLAN)
            if isinstance(value, int | float) and not isinstance(value, bool)
        ]
        self.assertGreater(len(numbers), 12)
        values = (HUGE, -HUGE, float("inf"), float("nan"))
        self.check_refused(*((p, value) for p in numbers for value in values))

    def test_deep_documents_are_refused(self):
        """Guards against a call that fails in the place of being refused."""
        with self.assertRaises(errors.InvalidPlanError):
            documents.decode(DEEP)

    def test_account_that_no_head_can_carry_is_refused(self):
        """Guards against an account of which every request is refused."""
        names = ("a\r\nX-Y: z", "a\nb", "a\x00")
        path = ("tenants", 0, "name")
        self.check_refused(*((path, name) for name in names))


class TestHeads(unittest.TestCase):
    """Names in heads of requests."""

    def test_long_parts_of_prompts_are_told_by_short_names(self):
        """Guards against one caller that fills the links between routers."""
        one, other = (letter * 10_000 for letter in "ab")
        parts = headers.read_parts(f"{one}:5,{other}:6,{one}:7,short:8")
        self.assertEqual([5, 6, 7, 8], [part.tokens for part in parts])
        first, second, third, fourth = (part.id for part in parts)
        self.assertEqual(first, third)
        self.assertNotEqual(first, second)
        self.assertLess(len(first), 65)
        self.assertEqual("short", fourth)

    def test_any_letters_reach_the_target(self):
        """Guards against requests that run for another account."""

        @dataclasses.dataclass
        class Target:
            name: str

        incoming = caller_request()
        attempt = headers.records.AttemptInfo(Target("t"), "\u4e00\u00e9", 1.0)
        sent = headers.request_headers(incoming, attempt)
        self.assertEqual(
            "\u4e00\u00e9".encode(), sent[headers.ACCOUNT].encode("latin1")
        )


def caller_request():
    """Return a request of a caller."""
    fields = tornado.httputil.HTTPHeaders({"Host": "h"})
    line = tornado.httputil.RequestStartLine("POST", "/a/x", "HTTP/1.1")
    return headers.read_request(line, fields, 10.0)


class TestValidation(unittest.TestCase):
    """Values from outside against what messages can carry."""

    def test_values_that_no_message_carries_are_invalid(self):
        """Guards against records that are accepted and cannot be sent."""
        for hint, value in (
            (str, LONE_SURROGATE),
            (dict[str, int], {LONE_SURROGATE: 1}),
            (int, 2**64),
            (int, -(2**63) - 1),
            (float, HUGE),
        ):
            with self.assertRaises(errors.FrameError) as caught:
                validation.validator(hint)(value)
            wire.encode(wire.ERROR, 1, caught.exception)

    def test_values_that_messages_carry_are_valid(self):
        for hint, value in (
            (str, "\U0001f600 \u4e00"),
            (int, 2**64 - 1),
            (int, -(2**63)),
            (float, 2**63),
        ):
            valid = validation.validator(hint)(value)
            wire.decode_value(wire.encode_value(valid))


class TestErrors(unittest.IsolatedAsyncioTestCase):
    """Errors that show what was given."""

    def test_errors_travel_whatever_was_given(self):
        """Guards against a refusal that fails as it is sent."""
        error = errors.BadRequestError(
            f"name {LONE_SURROGATE}", given=LONE_SURROGATE, expected="text"
        )
        self.assertIsInstance(
            wire.decode(
                list(wire.decode_value(wire.encode(wire.ERROR, 1, error)))
            ).message,
            errors.BadRequestError,
        )

    async def test_calls_are_answered_whatever_was_given(self):
        """Guards against a call that gets no answer, as its refusal fails."""

        async def refuse(_request):
            raise errors.BadRequestError(f"name {LONE_SURROGATE}")

        address = free_address()
        server = endpoints.serve(address, refuse)
        self.addAsyncCleanup(server.close, 0.1)
        with self.assertRaises(urllib.error.HTTPError) as caught:
            await asyncio.to_thread(
                urllib.request.urlopen, f"http://{address}/", timeout=2.0
            )
        self.assertEqual(400, caught.exception.code)
        caught.exception.close()


class TestOperators(unittest.TestCase):
    """Bodies of operators' calls."""

    def test_text_that_cannot_be_encoded_is_refused(self):
        """Guards against commands that fail in the place of being refused."""
        body = json.dumps({"reason": LONE_SURROGATE}).encode()
        with self.assertRaises(errors.BadRequestError):
            schemas.validate(schemas.DrainModel, schemas.parse_json_body(body))


class TestSettings(unittest.TestCase):
    """Settings files that a process cannot use."""

    def test_unusable_files_are_refused(self):
        """Guards against a process that stops reading its settings."""
        for content in (DEEP, b'{"node_name": "\\ud800"}'):
            with tempfile.NamedTemporaryFile() as file:
                file.write(content)
                file.flush()
                with self.assertRaises(errors.SettingsError):
                    node.read(file.name)


class TestHalfAppliedPlan(unittest.IsolatedAsyncioTestCase):
    """A plan on which a router fails halfway."""

    def make_router(self):
        config = plan_router.RouterConfig(
            "r", "here", "", "", "", [], 5.0, 8.0, 0.2, 10, 10.0
        )
        return plan_router.PlanRouter(
            config,
            plan_keepers.KEYS,
            headers.dialect(),
            documents.decode,
        )

    async def test_plan_takes_effect_wholly_or_not_at_all(self):
        """Guards against the routes of one plan with the keys of another."""
        router = self.make_router()
        router.take_plan(json.dumps(PLAN).encode())
        before = router.table
        plan = documents.decode(json.dumps(PLAN | {"version": 8}).encode())
        plan.routes[0].prefix = "/x\ud800/"
        router.decode = lambda _document: plan
        with self.assertRaises(ValueError):
            router.take_plan(b"")
        self.assertIs(before, router.table)

    async def test_failure_on_a_plan_is_logged_and_the_next_one_taken(self):
        """Guards against a router that fails on a plan in silence."""
        router = self.make_router()
        subscriber = router.subscriber
        self.addCleanup(subscriber.stop)

        def fail(_document):
            raise ZeroDivisionError

        decode, router.decode = router.decode, fail
        compress = plan_body(PLAN)
        subscriber._apply(compress)
        self.assertEqual(-1, subscriber.version)
        router.decode = decode
        subscriber._apply(compress)
        self.assertEqual(7, subscriber.version)


def plan_body(document):
    """Return a plan as a keeper sends it."""
    raw = json.dumps(document).encode()
    return messages.PlanBody(document["version"], zlib.compress(raw))


class TestLinks(unittest.IsolatedAsyncioTestCase):
    """Links on which something fails that no handler foresees."""

    async def test_link_comes_back_after_a_failing_callback(self):
        """Guards against a process that never dials a peer again."""
        handlers = links.Handlers()
        address = free_address()
        identity = links.Identity("s", "router", "here", 1)
        server = links.LinkServer(identity, plan_keepers.KEYS, handlers)
        server.add_sockets(listeners.bind_sockets(address))
        self.addCleanup(server.close_all)
        linked = []

        def on_link(link):
            linked.append(link)
            if len(linked) == 1:
                raise RuntimeError("a failure of the test")

        dialler = links.Dialler(
            address, identity, plan_keepers.KEYS, links.Handlers(), on_link
        )
        dialler.start()
        self.addCleanup(dialler.stop)
        await plan_keepers.wait_until(lambda: len(linked) > 1, 3.0)
