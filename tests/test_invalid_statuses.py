"""Answers whose status HTTP does not have, or that no call asks for."""

import asyncio

from amaranthring import errors
from amaranthring.handover import client as handover_client
from amaranthring.handover import messages
from amaranthring.testing import in_process_callers
from amaranthring.testing import scripted_target
from tests import test_forwarding
from tests import test_handover
from tests import test_services

STATUSES = (0, 1, 99, 101, 600, 999)
# Well below the time that callers wait.
SECONDS = 1.0
PATHS = ("/a/x", "/b/x", "/c/x", "/d/x")


def answer(status, length=True):
    """Return a script that answers with `status`, and goes on listening."""
    more = {"Content_Length": "5"} if length else {}

    async def script(seen, writer):
        head = scripted_target.response_head(seen, f"{status:03}", **more)
        writer.write(head + b"whole")
        await asyncio.sleep(2 * SECONDS)

    return script


class TestTargets(test_forwarding.RouterCase):
    """Targets that this router reaches."""

    async def test_callers_learn_of_the_failure_at_once(self):
        """Guards against passing such an answer on, or waiting for another."""
        for status in STATUSES:
            for length in (True, False):
                await self.begin(answer(status, length))
                for path in PATHS:
                    with self.subTest(status, length=length, path=path):
                        got = await self.ask(path, "POST")
                        self.assertEqual(502, got.status)
                        self.assertNotIn(scripted_target.SIGNED, got.headers)
                        self.assertLess(got.seconds, SECONDS)

    async def test_idempotent_requests_are_sent_elsewhere(self):
        """Guards against a failure that another target would mend."""
        for status in STATUSES:
            await self.begin(answer(status), scripted_target.respond())
            self.router.placer.views["t1"].running = 1
            with self.subTest(status):
                got = await self.ask("/a/x", "POST")
                self.assertEqual((200, b"good"), (got.status, got.body))

    async def test_final_statuses_are_passed_on(self):
        """Guards against refusing what is unusual but proper."""
        for status in (200, 299, 418, 499, 599):
            await self.begin(scripted_target.respond(status=status))
            with self.subTest(status):
                self.assertEqual(status, (await self.ask("/b/x")).status)


class TestHelpers(test_handover.HandoverCase):
    """Targets that only another router reaches."""

    async def test_callers_learn_of_the_failure_at_once(self):
        """Guards against a helper that passes such an answer on."""
        for status in STATUSES:
            with self.subTest(status):
                await self.begin_both(answer(status))
                got = await self.ask("/b/x", "POST")
                self.assertEqual(502, got.status)
                self.assertLess(got.seconds, SECONDS)

    async def test_helper_of_an_earlier_release_is_not_believed(self):
        """Guards against such an answer while releases are mixed."""
        for status in STATUSES:
            received = handover_client.Answer(None, 1)
            received.received.put_nowait(messages.Head(1, status, []))
            with self.assertRaises(errors.InvalidStatusError):
                await received.read_head()


class TestServices(test_services.ServiceCase):
    """Replicas and engines behind the own interface."""

    async def test_call_ends_with_an_unknown_outcome(self):
        """Guards against such an answer as the outcome of a booking."""
        for status in (600, 999):
            response = await self.one.book(
                "a", f"k{status}", fault="status", status=status
            )
            self.assert_response(response, 502, test_services.UNKNOWN)

    async def test_chat_is_sent_elsewhere(self):
        """Guards against such an answer as the text of a chat."""
        self.local.add_engine("e1").planned_fault = {
            "fault": "status",
            "status": 999,
            "times": 1,
        }
        self.local.add_engine("e2")
        router = self.local.add_router()
        body = in_process_callers.chat_body("x", stream=False)
        self.assertEqual(200, (await router.chat(body)).code)
