"""Requests that one router hands over to another, in one process."""

import asyncio
import time
import unittest
from unittest import mock

import logbook

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import listeners
from amaranthring.core import metrics
from amaranthring.forwarding import answer_memory
from amaranthring.forwarding import handing_over
from amaranthring.handover import client as handover_client
from amaranthring.handover import messages
from amaranthring.handover import server as handover_server
from amaranthring.policy import bindings
from amaranthring.policy import crash_evidence
from amaranthring.registry import crash_messages
from amaranthring.registry import helpers
from amaranthring.registry import messages as registry_messages
from amaranthring.testing import local_fleet
from amaranthring.testing import scripted_target
from tests import test_forwarding

KEYS = {"test": b"key"}
EVENTS = b"".join(scripted_target.event(n) for n in range(1, 6))


def identity(name):
    return links.Identity(name, registry_messages.ROUTER_ROLE, "here", 1)


class HandoverCase(test_forwarding.RouterCase):
    """A router that reaches no target, and a helper that reaches one."""

    async def begin_both(self, *scripts):
        await self.begin(*scripts)
        self.helper = self.router
        self.router = scripted_target.ScriptedRouter(test_forwarding.PLAN)
        self.addCleanup(self.router.stop)
        for number in range(2):
            lost = scripted_target.ScriptedTarget(
                f"lost{number}", scripted_target.respond()
            )
            await lost.start()
            lost.stop()
            await lost.server.wait_closed()
            self.router.targets.merge(lost.record())
            self.router.placer.paths.reach.record_failure("s", lost.name)
        self.refusal = None
        self.server, self.address = self.listen()
        self.client = handover_client.HandoverClient(
            identity("router"), links.Keys(KEYS)
        )
        self.addCleanup(self.client.stop)
        self.router.relay.handing_over = handing_over.HandingOver(
            self.client,
            self.router.placer,
            metrics.Metrics(),
            answer_memory.AnswerMemory(),
            self.retries_left,
        )
        self.client.update({"s": [self.address]})
        await self.until(
            lambda: self.client.helpers[self.address].dialler.link
        )

    def retries_left(self, service):
        return self.router.relay.retries.left(service)

    def listen(self):
        """Return a server of the helper, and its address."""
        server = handover_server.HandoverServer(
            identity("helper"),
            links.Keys(KEYS),
            self.helper.relay.serve,
            self.check,
        )
        address = f"127.0.0.1:{local_fleet.free_ports(1)[0]}"
        server.listen(listeners.bind_sockets(address))
        self.addCleanup(server.stop)
        return server, address

    async def add_helper(self):
        """Offer a second helper to the router."""
        _, address = self.listen()
        self.client.update({"s": [self.address, address]})
        await self.until(lambda: self.client.helpers[address].dialler.link)

    def check(self, _service, _version):
        if self.refusal is not None:
            raise self.refusal


class TestAnswers(HandoverCase):
    """What callers of the router get."""

    async def test_request_and_answer_are_unchanged(self):
        """Guards against a request that is changed on its way."""
        await self.begin_both(scripted_target.respond(b"entry", status=201))
        got = await self.ask("/b/x?y=1", "POST", b"text", X_Other="1")
        self.assertEqual((201, b"entry"), (got.status, got.body))
        [seen] = self.targets[0].requests
        self.assertEqual(
            ("POST", "/b/x?y=1", b"text"), (seen.method, seen.uri, seen.body)
        )
        self.assertEqual("1", seen.headers["X-Other"])
        self.assertLess(float(seen.headers[scripted_target.TIMEOUT]), 2.0)

    async def test_failure_of_the_target_is_passed_on(self):
        """Guards against a target's failure that looks like the router's."""
        await self.begin_both(scripted_target.respond(b"no", status=500))
        got = await self.ask("/b/x", "POST")
        self.assertEqual((500, b"no"), (got.status, got.body))
        self.assertIn(scripted_target.SIGNED, got.headers)

    async def test_key_is_checked_by_the_helper_too(self):
        """Guards against a key that was withdrawn and still works."""
        await self.begin_both(scripted_target.respond())
        got = await self.ask("/e/x", "POST", Test_Key="key-1")
        self.assertEqual(200, got.status)
        [seen] = self.targets[0].requests
        self.assertEqual("alba", seen.headers[scripted_target.ACCOUNT])
        self.helper.fresh = False
        got = await self.ask("/e/x", "POST", Test_Key="key-1")
        self.assertEqual(503, got.status)
        self.assertEqual(1, self.ran())

    async def test_helper_refuses_what_crashes_targets(self):
        """Guards against a crashing part that goes on by way of helpers."""
        await self.begin_both(scripted_target.respond())
        verdict = crash_evidence.Verdict("part:bad", True, 600.0, 600.0, 4, [])
        self.helper.relay.crashes.on_verdicts(
            None, crash_messages.Verdicts([verdict])
        )
        got = await self.ask("/a/x", "POST", Test_Prompt="bad:100,own:100")
        self.assertEqual(503, got.status)
        self.assertEqual(0, self.ran())
        got = await self.ask("/a/x", "POST", Test_Prompt="sys:100,own:100")
        self.assertEqual(200, got.status)

    async def test_broken_off_suspect_is_not_handed_over(self):
        """Guards against a second crash by way of a helper."""
        await self.begin_both(scripted_target.respond())
        breaking = scripted_target.ScriptedTarget(
            "breaking", scripted_target.reset_connection()
        )
        await breaking.start()
        self.addCleanup(breaking.stop)
        self.router.targets.merge(breaking.record())
        self.router.targets.mark_gone("lost1")
        paths = self.router.placer.paths
        paths.record_answer(breaking.record())
        paths.reach.record_failure("s", "lost0")
        verdict = crash_evidence.Verdict("part:bad", False, 0.0, 600.0, 2, [])
        self.router.relay.crashes.on_verdicts(
            None, crash_messages.Verdicts([verdict])
        )
        got = await self.ask("/a/x", "POST", Test_Prompt="bad:100,own:100")
        self.assertEqual(502, got.status)
        self.assertEqual(1, len(breaking.requests))
        self.assertEqual(0, self.ran())

    async def test_suspect_that_a_helper_lost_is_not_sent_again(self):
        """Guards against a helper that tells nobody of a broken run."""
        await self.begin_both(scripted_target.reset_connection())
        await self.add_helper()
        verdict = crash_evidence.Verdict("part:bad", False, 0.0, 600.0, 2, [])
        self.router.relay.crashes.on_verdicts(
            None, crash_messages.Verdicts([verdict])
        )
        got = await self.ask("/a/x", "POST", Test_Prompt="bad:100,own:100")
        self.assertEqual(502, got.status)
        self.assertEqual(1, self.ran())

    async def test_large_answer_is_whole(self):
        """Guards against an answer that exceeds what a link holds."""
        body = b"x" * (9 * 1024 * 1024)
        await self.begin_both(scripted_target.respond(body))
        got = await self.ask("/a/x")
        self.assertEqual((200, len(body)), (got.status, len(got.body)))

    async def test_stream_that_breaks_is_resumed(self):
        """Guards against events that are missing, doubled or joined."""
        await self.begin_both(
            scripted_target.stream_events(5, breaks_after=2),
            scripted_target.stream_events(5),
        )
        got = await self.ask("/c/x", "POST")
        self.assertEqual((200, EVENTS), (got.status, got.body))

    async def test_caller_that_leaves_ends_the_run(self):
        """Guards against targets that work for callers who have left."""
        await self.begin_both(scripted_target.never_respond())
        asked = asyncio.ensure_future(self.ask("/b/x", "POST"))
        await self.until(self.ran)
        asked.cancel()
        await asyncio.gather(asked, return_exceptions=True)
        await self.until(lambda: self.targets[0].aborted)


class TestOnce(HandoverCase):
    """Requests that may run once only."""

    async def test_answer_that_is_lost_is_not_asked_for_again(self):
        """Guards against a second run after the link to the helper broke."""
        await self.begin_both(scripted_target.never_respond())
        asked = asyncio.ensure_future(self.ask("/b/x", "POST"))
        await self.until(self.ran)
        self.server.stop()
        got = await asked
        self.assertEqual(502, got.status)
        self.assertEqual(1, self.ran())

    async def test_refusal_promises_that_it_has_not_run(self):
        """Guards against a 503 for a request that a helper's target ran."""
        await self.begin_both(scripted_target.reset_connection())
        got = await self.ask("/b/x", "POST")
        self.assertEqual(502, got.status)
        self.assertEqual(1, self.ran())

    async def test_deadline_promises_nothing(self):
        """Guards against a 503 for a request that a target still runs."""
        await self.begin_both(scripted_target.never_respond())
        got = await self.ask("/b/x", "POST", Test_Patience="0.3")
        self.assertEqual(504, got.status)
        self.assertEqual(1, self.ran())

    async def test_attempts_of_both_routers_count(self):
        """Guards against more targets than the route allows."""
        await self.begin_both(*[scripted_target.reset_connection()] * 5)
        await self.ask("/a/x")
        self.assertEqual(test_forwarding.SAFE.attempts_most, self.ran())


class TestHelperStops(HandoverCase):
    """Helpers that end while they send requests on."""

    async def begin_waiting(self, *scripts):
        """Begin with a helper where requests wait before they are sent."""
        await self.begin_both(*scripts)
        self.arrived = asyncio.Event()
        self.helper.relay.crashes.check = self.wait

    async def wait(self, _context):
        self.arrived.set()
        self.helper.relay.crashes.check = mock.AsyncMock()
        await asyncio.sleep(60.0)

    async def stop_helper(self):
        await self.server.end_requests()
        self.server.stop()

    async def test_request_that_was_not_sent_goes_to_another_helper(self):
        """Guards against failures that leave open whether a request ran."""
        await self.begin_waiting(scripted_target.respond())
        asked = asyncio.ensure_future(self.ask("/b/x", "POST"))
        await self.arrived.wait()
        await self.add_helper()
        await self.stop_helper()
        self.assertEqual((200, 1), ((await asked).status, self.ran()))

    async def test_request_that_no_other_helper_takes_is_not_run(self):
        """Guards against failures that leave open whether a request ran."""
        await self.begin_waiting(scripted_target.respond())
        asked = asyncio.ensure_future(self.ask("/b/x", "POST"))
        await self.arrived.wait()
        await self.stop_helper()
        got = await asked
        self.assertEqual((503, 0), (got.status, self.ran()))
        self.assertIn("Retry-After", got.headers)

    async def test_request_that_was_sent_may_have_run(self):
        """Guards against a promise that does not hold, and a second run."""
        await self.begin_both(scripted_target.never_respond())
        asked = asyncio.ensure_future(self.ask("/b/x", "POST"))
        await self.until(self.ran)
        await self.add_helper()
        await self.stop_helper()
        self.assertEqual((502, 1), ((await asked).status, self.ran()))

    async def test_idempotent_request_is_sent_on_by_another_helper(self):
        """Guards against failures of requests that may run again."""
        again = scripted_target.respond(b"again")

        async def script(seen, writer):
            if self.ran() == 1:
                await asyncio.sleep(60.0)
            await again(seen, writer)

        await self.begin_both(script, script)
        asked = asyncio.ensure_future(self.ask("/a/x"))
        await self.until(self.ran)
        await self.add_helper()
        await self.stop_helper()
        got = await asked
        self.assertEqual((200, b"again"), (got.status, got.body))

    async def test_request_that_just_arrives_is_not_run(self):
        """Guards against requests whose task is cancelled unbegun."""
        await self.begin_both(scripted_target.respond())
        take = self.server._on_request
        ended = []

        def take_and_end(link, message):
            accepted = take(link, message)
            ended.append(asyncio.ensure_future(self.stop_helper()))
            return accepted

        self.server.server.handlers.by_class[messages.HandOver] = take_and_end
        got = await self.ask("/b/x", "POST")
        self.assertEqual((503, 0), (got.status, self.ran()))
        await asyncio.gather(*ended)

    async def test_stream_that_has_begun_breaks_off(self):
        """Guards against a stream that looks complete, or goes on twice."""

        async def script(seen, writer):
            head = {"Content_Type": "text/event-stream"}
            writer.write(scripted_target.response_head(seen, **head))
            writer.write(scripted_target.event(1))
            await asyncio.sleep(60.0)

        await self.begin_both(script)
        asked = asyncio.ensure_future(self.ask("/d/x", "POST"))
        await self.until(self.ran)
        await asyncio.sleep(0.05)
        await self.add_helper()
        await self.stop_helper()
        got = await asyncio.wait_for(asked, 1.0)
        self.assertEqual((200, False), (got.status, got.complete))
        self.assertEqual(1, self.ran())

    async def test_end_is_bounded(self):
        """Guards against a stop that waits for a router that reads nothing."""
        await self.begin_both(scripted_target.never_respond())
        asked = asyncio.ensure_future(self.ask("/b/x", "POST"))
        await self.until(self.ran)
        for link in self.server.server.links:
            link.has_unsent_bytes = lambda: True
        with logbook.TestHandler() as handler:
            async with asyncio.timeout(1.0):
                await self.stop_helper()
        names = [record.message.split()[0] for record in handler.records]
        self.assertIn("handover.cut-off", names)
        self.assertEqual(502, (await asked).status)


class TestRefused(HandoverCase):
    """Helpers that do not take a request."""

    async def test_callers_hear_at_once_when_to_come_back(self):
        """Guards against requests that wait for helpers that are busy."""
        await self.begin_both(scripted_target.respond())
        self.refusal = errors.QueueFullError("busy", retry_after=0.3)
        started = time.monotonic()
        got = await self.ask("/b/x", "POST")
        self.assertEqual(503, got.status)
        self.assertLess(0.0, float(got.headers["Retry-After"]))
        self.assertLess(time.monotonic() - started, 0.3)

    async def test_helper_does_not_hand_over_itself(self):
        """Guards against requests that go round between cut-off routers."""
        await self.begin_both()
        self.helper.relay.handing_over = self.router.relay.handing_over
        got = await self.ask("/b/x", "POST")
        self.assertEqual(503, got.status)

    async def test_helper_bounds_what_it_takes(self):
        """Guards against a helper that is overrun by others' requests."""
        await self.begin_both(scripted_target.never_respond())
        asked = [
            asyncio.ensure_future(
                self.ask("/b/x", "POST", Test_Patience="2.0")
            )
            for _ in range(handover_server.MAX_HELPED_REQUESTS + 5)
        ]
        got = [answer.status for answer in await asyncio.gather(*asked)]
        self.assertLessEqual(self.ran(), handover_server.MAX_HELPED_REQUESTS)
        self.assertEqual(5, got.count(503))

    async def test_only_routers_hand_over(self):
        """Guards against other processes that send requests on."""
        await self.begin_both(scripted_target.respond())
        dialler = links.Dialler(
            self.address,
            links.Identity("keeper", "keeper", "here", 1),
            links.Keys(KEYS),
            links.Handlers(),
        )
        dialler.start()
        self.addCleanup(dialler.stop)
        await self.until(lambda: dialler.link)
        request = messages.HandOver(
            1, "id", "GET", "/a/x", "h", [], b"", 1.0, "", "", [], 0, "", 1,
            "s", 0,
        )  # fmt: skip
        with self.assertRaises(errors.ForbiddenError):
            await dialler.call(request, 1.0)


class TestOffers(unittest.TestCase):
    """Which routers keepers offer as helpers."""

    def test_routers_that_do_not_reach_the_service_are_left_out(self):
        """Guards against cut-off routers that are offered to one another."""
        known = [
            helpers.Helper("a", []),
            helpers.Helper("b", ["s"]),
            helpers.Helper("c", ["other"]),
        ]
        offered = helpers.offers("a", ["s"], known)
        self.assertEqual({"s": ["c"]}, offered)
        self.assertEqual({}, helpers.offers("a", [], known))

    def test_load_is_shared(self):
        """Guards against all cut-off routers that choose the same helpers."""
        known = [helpers.Helper(f"h{n}", []) for n in range(8)]
        first = {
            helpers.offers(f"router-{n}", ["s"], known)["s"][0]
            for n in range(40)
        }
        self.assertEqual(8, len(first))

    def test_few_are_told(self):
        """Guards against messages that grow with the number of routers."""
        known = [helpers.Helper(f"h{n}", ["s"] * (n % 2)) for n in range(99)]
        told = helpers.to_tell(known)
        self.assertEqual(helpers.MAX_TOLD, len(told))
        self.assertEqual(
            [[]] * len(told), [h.unreached_services for h in told]
        )


class TestVersions(HandoverCase):
    """Streams that go on at one version of the targets' software."""

    async def begin_versions(self, *targets):
        """Begin with pairs of a version and a script at the helper."""
        await self.begin_both(*(script for _, script in targets))
        for number, (version, _) in enumerate(targets):
            entry = self.helper.targets.entries[f"t{number}"]
            entry.record.release = version
            self.helper.placer.views[f"t{number}"].running = 5 * number

    async def test_helper_keeps_the_version_that_began_the_stream(self):
        """Guards against a helper's retry at another version."""
        await self.begin_versions(
            ("v1", scripted_target.stream_events(5, breaks_after=2)),
            ("v2", scripted_target.stream_events(5)),
            ("v1", scripted_target.stream_events(5)),
        )
        got = await self.ask("/c/x", "POST")
        self.assertEqual((200, EVENTS), (got.status, got.body))
        self.assertEqual(0, len(self.targets[1].requests))

    async def test_stream_that_was_handed_over_is_bound_here_too(self):
        """Guards against a version that only the helper knows."""
        await self.begin_versions(
            ("v1", scripted_target.stream_events(5)),
            ("v2", scripted_target.stream_events(5)),
        )
        await self.ask("/c/x", "POST", Test_Id="first")
        self.helper.placer.views["t0"].running = 50
        got = await self.ask(
            "/c/x",
            "POST",
            Test_Id="again",
            Test_Resumes="first",
            Last_Event_Id="2",
        )
        self.assertEqual(200, got.status)
        self.assertEqual(2, len(self.targets[0].requests))
        [report] = self.router.relay.streams.take_report()
        self.assertEqual(("s", "v1"), (report.service, report.release))

    async def test_stream_whose_version_is_not_reached_is_handed_over(self):
        """Guards against refusals while other targets are reached."""
        await self.begin_versions(("v1", scripted_target.stream_events(5)))
        reached = scripted_target.ScriptedTarget(
            "reached", scripted_target.stream_events(5)
        )
        await reached.start()
        self.addCleanup(reached.stop)
        self.router.targets.merge(reached.record(release="v2"))
        self.router.placer.paths.record_answer(reached.record())
        self.router.relay.streams.known.record(
            bindings.stream_key("", "first"), bindings.Binding("s", "v1")
        )
        for name in ("lost0", "lost1"):
            record = self.router.targets.entries[name].record
            self.router.placer.record_failure(record, reached=False)
        got = await self.ask(
            "/c/x", "POST", Test_Resumes="first", Last_Event_Id="2"
        )
        self.assertEqual(200, got.status)
        self.assertEqual(1, len(self.targets[0].requests))
        self.assertEqual(0, len(reached.requests))

    async def test_helper_without_the_version_refuses(self):
        """Guards against a helper that takes any version it reaches."""
        await self.begin_versions(("v2", scripted_target.stream_events(5)))
        self.router.relay.streams.known.record(
            bindings.stream_key("", "first"), bindings.Binding("s", "v1")
        )
        got = await self.ask(
            "/c/x", "POST", Test_Resumes="first", Last_Event_Id="2"
        )
        self.assertEqual(503, got.status)
        self.assertEqual(0, self.ran())

    async def test_helper_that_ignores_the_version_is_left(self):
        """Guards against routers of a build that knows no versions."""
        await self.begin_versions(("v2", scripted_target.stream_events(5)))
        self.router.relay.streams.known.record(
            bindings.stream_key("", "first"), bindings.Binding("s", "v1")
        )
        take = self.server._on_request

        def take_without_version(link, message):
            message.release = message.bound_service = ""
            return take(link, message)

        self.server.server.handlers.by_class[messages.HandOver] = (
            take_without_version
        )
        got = await self.ask(
            "/c/x", "POST", Test_Resumes="first", Last_Event_Id="2"
        )
        self.assertEqual(502, got.status)
        self.assertNotIn(b"piece", got.body)
