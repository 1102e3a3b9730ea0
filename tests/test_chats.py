"""Chats through a router: complete, streamed, broken and resumed."""

import asyncio
import json
import unittest

from amaranthring import errors
from amaranthring.core import records
from amaranthring.testing import engine
from amaranthring.testing import fake_dependencies
from amaranthring.testing import in_process_callers


class ChatCase(unittest.IsolatedAsyncioTestCase):
    """One engine ``e1``; tests add routers and further engines."""

    async def asyncSetUp(self):
        self.local = in_process_callers.Harness()
        self.addAsyncCleanup(self.local.close)
        self.engine = self.local.add_engine()

    def assert_complete(self, response, body, first=0):
        """Check that `response` is complete from event `first` on."""
        events = in_process_callers.parse_events(response.body)
        whole = engine.expected_text(body)
        skipped = "".join(whole.split(" ")[n] + " " for n in range(first))
        self.assertEqual(skipped + in_process_callers.join_text(events), whole)
        self.assertEqual(events[-1].data, engine.END_MARKER)
        numbers = [event.number for event in events]
        self.assertEqual(numbers, list(range(first, body["max_tokens"] + 1)))

    def assert_failed(self, response, code, outcome):
        """Check that a stream ended with one typed error and no end marker."""
        events = in_process_callers.parse_events(response.body)
        self.assertEqual(events[-1].kind, "error")
        error = json.loads(events[-1].data)["error"]
        self.assertEqual((error["code"], error["outcome"]), (code, outcome))
        self.assertNotIn(engine.END_MARKER, [event.data for event in events])

    def assert_idle(self, router):
        """Check that every grant was released and nothing is in flight."""
        self.assertEqual(set(router.fakes.running.values()) - {0}, set())
        self.assertEqual(router.fakes.needs.drain.in_flight, 0)


class TestStreamedChat(ChatCase):
    """Streamed chats and failures of their streams."""

    async def test_stream_is_complete_with_outcome_ran(self):
        router = self.local.add_router()
        body = in_process_callers.chat_body()
        response = await router.chat(body)
        self.assert_complete(response, body)
        self.assertEqual(response.headers["Amaranthring-Outcome"], "ran")
        self.assertTrue(response.headers["Amaranthring-Request-Id"])
        histograms = router.fakes.needs.metrics.histograms
        self.assertIn(("first-token", "acme", "interactive"), histograms)
        self.assert_idle(router)

    async def test_wrong_event_is_never_forwarded(self):
        """The caller would see a gap, repeated text or another stream's text.

        The engine leaves out, repeats or swaps events, sends one of another
        stream, or sends no event at all. The router must detect the first
        wrong event and fetch the rest from the same engine.
        """
        router = self.local.add_router()
        faults = ("gap", "twice", "reorder", "foreign", "garbage")
        for fault in (*faults, "drop", "truncate"):
            with self.subTest(fault):
                body = in_process_callers.chat_body(
                    stand_in={"fault": fault, "at": 3}
                )
                self.assert_complete(await router.chat(body), body)
        self.assertEqual(router.fakes.needs.metrics.counters["way.resumed"], 6)
        self.assert_idle(router)

    async def test_gap_within_one_read_of_many_events(self):
        """Events before a gap in the same read must not be lost."""
        router = self.local.add_router()
        fault = {"fault": "gap", "at": 30}
        body = in_process_callers.chat_body(
            tokens=60, stand_in_batch=50, stand_in=fault
        )
        self.assert_complete(await router.chat(body), body)

    async def test_engine_crash_before_the_first_token(self):
        """The caller has received nothing, so the chat is run elsewhere."""
        self.local.add_engine("e2")
        router = self.local.add_router()
        body = in_process_callers.chat_body()
        self.engine.planned_fault = {"fault": "crash", "at": 0, "times": 1}
        self.assert_complete(await router.chat(body), body)
        self.assertEqual([t for _, t in router.fakes.crash_reports], ["e1"])
        self.assert_idle(router)

    async def test_engine_crash_in_a_stream_is_continued_elsewhere(self):
        """An engine crashes after the caller received half of the response.

        A second run from the start would give other text, so the other engine
        continues the text that was sent.
        """
        other = self.local.add_engine("e2")
        router = self.local.add_router()
        body = in_process_callers.chat_body()
        self.engine.planned_fault = {"fault": "crash", "at": 3, "times": 1}
        self.assert_complete(await router.chat(body), body)
        self.assertEqual(other.runs[0]["start"], 3)

    async def test_engine_that_does_not_continue_is_rejected(self):
        """Halves of two different responses must not be joined.

        The other engine ignores the text that it should continue and starts
        anew; its event numbers alone would look like a repeated stream.
        """
        self.local.add_engine("e2", continues=False)
        router = self.local.add_router()
        self.engine.planned_fault = {"fault": "crash", "at": 3, "times": 1}
        response = await router.chat(in_process_callers.chat_body())
        self.assert_failed(response, "upstream", "unknown")
        received = in_process_callers.join_text(
            in_process_callers.parse_events(response.body)
        )
        self.assertTrue(
            engine.expected_text(in_process_callers.chat_body()).startswith(
                received
            )
        )

    async def test_no_retry_without_budget(self):
        """Failing engines must not get a storm of retries."""
        self.local.add_engine("e2")
        router = self.local.add_router()
        router.fakes.retries_left = 0
        for _ in range(3):
            self.engine.planned_fault = {
                "fault": "status",
                "at": 0,
                "times": 1,
            }
            response = await router.chat(in_process_callers.chat_body())
            self.assertEqual(response.code, 502)
            outcome = response.headers["Amaranthring-Outcome"]
            self.assertEqual(outcome, "unknown")
        self.assertEqual(self.local.engines["e2"].runs, [])

    async def test_engine_crash_is_not_charged_to_the_budget(self):
        """An engine crashes with many chats of a small account in flight.

        Charged to the budget, the first retries would exhaust it, and the
        other chats would be rejected although another engine has capacity.
        """
        self.local.add_engine("e2")
        router = self.local.add_router()
        router.fakes.retries_left = 0
        self.engine.planned_fault = {"fault": "crash", "at": 0, "times": 1}
        response = await router.chat(in_process_callers.chat_body())
        self.assertEqual(response.code, 200)
        self.assert_complete(response, in_process_callers.chat_body())

    async def test_silent_engine_is_replaced_after_the_token_timeout(self):
        self.local.add_engine("e2")
        router = self.local.add_router()
        router.fakes.preset.first_token_seconds = 1.0
        router.fakes.preset.between_tokens_seconds = 1.0
        for fault, at in (("hang", 0), ("hang", 3), ("comments", 3)):
            with self.subTest(fault, at=at):
                self.engine.planned_fault = {
                    "fault": fault,
                    "at": at,
                    "times": 1,
                }
                body = in_process_callers.chat_body(f"{fault} at {at}")
                self.assert_complete(await router.chat(body), body)
        self.assert_idle(router)

    async def test_engine_that_membership_declares_lost(self):
        """An engine's VM freezes: no connection breaks and no data arrives.

        Membership declares it lost after its lease; the caller must not
        wait for the token timeout, which is far longer.
        """
        self.local.add_engine("e2")
        router = self.local.add_router()
        router.fakes.preset.between_tokens_seconds = 600.0
        self.engine.planned_fault = {"fault": "hang", "at": 3, "times": 1}
        body = in_process_callers.chat_body()
        waiting = asyncio.ensure_future(router.chat(body))
        await in_process_callers.wait_until(lambda: self.engine.slots.running)
        router.fakes.lose("e1")
        self.assert_complete(await waiting, body)

    async def test_request_that_crashes_two_engines_is_rejected(self):
        """A chat crashes every engine that receives it."""
        for name in ("e2", "e3"):
            self.local.add_engine(name)
        router = self.local.add_router()
        body = in_process_callers.chat_body(
            stand_in={"fault": "crash", "at": 0}
        )
        first = await router.chat(body)
        self.assertEqual(first.code, 502)
        again = await router.chat(body)
        self.assertEqual(again.code, 422)
        self.assertEqual(again.headers["Amaranthring-Outcome"], "not-run")
        self.assertEqual(self.local.engines["e3"].runs, [])

    async def test_unreachable_engine_gives_not_run(self):
        router = self.local.add_router()
        await self.local.stop("e1")
        response = await router.chat(in_process_callers.chat_body())
        self.assertEqual(response.code, 502)
        self.assertEqual(response.headers["Amaranthring-Outcome"], "not-run")
        self.assertIn("Retry-After", response.headers)
        self.assertEqual(self.engine.runs, [])


class TestCompleteChat(ChatCase):
    """Chats with a single JSON document as response."""

    async def test_complete_response_in_json(self):
        router = self.local.add_router()
        body = in_process_callers.chat_body(stream=False)
        response = await router.chat(body)
        choice = json.loads(response.body)["choices"][0]
        expected = engine.expected_text(body)
        self.assertEqual(choice["message"]["content"], expected)

    async def test_bad_response_is_retried_elsewhere(self):
        """It is truncated, another request's, or an error of the engine."""
        self.local.add_engine("e2")
        router = self.local.add_router()
        for fault in ("drop", "truncate", "foreign-answer", "status"):
            with self.subTest(fault):
                self.engine.planned_fault = {"fault": fault, "times": 1}
                body = in_process_callers.chat_body(fault, stream=False)
                response = await router.chat(body)
                choice = json.loads(response.body)["choices"][0]
                expected = engine.expected_text(body)
                self.assertEqual(choice["message"]["content"], expected)
        self.assert_idle(router)

    async def test_outcome_stays_unknown_if_the_retry_is_not_sent(self):
        """The first engine ran it and disconnected; the second got nothing."""
        self.local.add_engine("e2")
        router = self.local.add_router()
        await self.local.stop("e2")
        body = in_process_callers.chat_body(
            stream=False, stand_in={"fault": "drop"}
        )
        response = await router.chat(body)
        self.assertEqual(response.headers["Amaranthring-Outcome"], "unknown")
        self.assertEqual(len(self.engine.runs), 1)

    async def test_rejection_by_all_engines_gives_not_run(self):
        router = self.local.add_router()
        body = in_process_callers.chat_body(
            stream=False, stand_in={"fault": "refuse"}
        )
        response = await router.chat(body)
        self.assertEqual(response.headers["Amaranthring-Outcome"], "not-run")
        self.assertEqual(self.engine.runs, [])

    async def test_late_response_times_out_at_the_deadline(self):
        router = self.local.add_router()
        body = in_process_callers.chat_body(
            stream=False, stand_in={"fault": "hang"}
        )
        response = await router.chat(body, Amaranthring_Deadline="0.5")
        self.assertEqual(response.code, 504)
        self.assertEqual(response.headers["Amaranthring-Outcome"], "unknown")
        self.assertIn("Retry-After", response.headers)


class TestResume(ChatCase):
    """Callers that reconnect with ``Last-Event-ID``."""

    async def read_half(self, router, tokens=8):
        """Read a few events, disconnect, and return the body and last id."""
        body = in_process_callers.chat_body(
            tokens=tokens, stand_in={"fault": "hang", "at": 3}
        )
        async with router.raw(
            in_process_callers.raw_chat_request(body)
        ) as stream:
            read = await stream.read_until(b'.2\ndata: {"')
        ids = [line for line in read.split(b"\n") if line[:4] == b"id: "]
        await in_process_callers.wait_until(
            lambda: not self.engine.slots.running
        )
        return body, ids[-1][4:].decode()

    async def test_resume_through_another_router(self):
        body, last = await self.read_half(self.local.add_router())
        other = self.local.add_router()
        response = await other.chat({}, Last_Event_ID=last)
        self.assert_complete(response, body, first=3)
        self.assertEqual(len(self.engine.runs), 1)

    async def test_forged_or_foreign_tokens_are_rejected(self):
        router = self.local.add_router()
        _, last = await self.read_half(router)
        head, mac, number = last.split(".")
        bad = [f"{head}.{mac[::-1]}.{number}", f"A{head}.{mac}.{number}"]
        bad += ["x", "a.b.c", f"{head}.{mac}.-1", f"{head}.{mac}", "ü.é.1"]
        sent = [(token, fake_dependencies.TOKEN) for token in bad]
        sent += [(last, fake_dependencies.OTHER_TOKEN)]
        for token, account in sent:
            with self.subTest(token):
                response = await router.post(
                    "/v1/chat/completions", {}, account, Last_Event_ID=token
                )
                code = json.loads(response.body)["error"]["code"]
                self.assertEqual((response.code, code), (409, "resume"))
        self.assertEqual(len(self.engine.runs), 1)

    async def test_restarted_engine_has_lost_the_stream(self):
        router = self.local.add_router()
        _, last = await self.read_half(router)
        self.engine.streams.clear()
        response = await router.chat({}, Last_Event_ID=last)
        self.assertEqual(response.code, 409)
        self.assertEqual(response.headers["Amaranthring-Outcome"], "unknown")


class TestCaller(ChatCase):
    """Callers that disconnect, read slowly, or come while a router stops."""

    async def test_disconnect_frees_the_engine(self):
        """A caller disconnects in the middle of a response."""
        router = self.local.add_router()
        for stream in (True, False):
            with self.subTest(stream=stream):
                fault = {"fault": "hang", "at": 0}
                body = in_process_callers.chat_body(
                    stream=stream, stand_in=fault
                )
                async with router.raw(
                    in_process_callers.raw_chat_request(body)
                ):
                    await in_process_callers.wait_until(
                        lambda: self.engine.slots.running
                    )
                await in_process_callers.wait_until(
                    lambda: not self.engine.slots.running
                )
                await in_process_callers.wait_until(
                    lambda: not router.fakes.needs.drain.in_flight
                )
                self.assert_idle(router)

    async def test_slow_reader_applies_backpressure(self):
        """A caller stops reading in a long response.

        Without backpressure the router would buffer all of it. The limit is
        far below the response, of which the kernel buffers a part.
        """
        router = self.local.add_router()
        tokens = 120_000
        body = in_process_callers.chat_body(tokens=tokens, stand_in_batch=500)
        async with router.raw(
            in_process_callers.raw_chat_request(body)
        ) as stream:
            await stream.read_until(b"data: ")
            (run,) = self.engine.streams.values()
            previous = -1
            while previous != run.sent:
                previous = run.sent
                await asyncio.sleep(0.3)
            self.assertLess(run.sent, tokens)
            (served,) = router.server._connections
            buffered = served.stream._write_buffer
            self.assertLess(len(buffered), 512 * 1024)
            rest = await stream.read_until(b"data: [DONE]\n\n")
        self.assertIn(f".{tokens - 1}\n".encode(), rest)

    async def test_stalled_reader_is_disconnected(self):
        """Its engine's slot must be freed, and the chat must not run again."""
        self.local.section.idle_seconds = 0.5
        self.local.add_engine("e2")
        router = self.local.add_router()
        body = in_process_callers.chat_body(tokens=120_000, stand_in_batch=500)
        async with router.raw(in_process_callers.raw_chat_request(body)):
            await in_process_callers.wait_until(lambda: router.fakes.released)
        self.assertEqual(router.fakes.released, [records.AttemptEnd.CANCELLED])
        self.assertEqual(self.local.engines["e2"].runs, [])
        counters = router.fakes.needs.metrics.counters
        self.assertEqual(counters["callers.caller-too-slow"], 1)
        await in_process_callers.wait_until(
            lambda: not self.engine.slots.running
        )
        self.assert_idle(router)

    async def test_stopping_router_finishes_running_requests_only(self):
        router = self.local.add_router()
        body = in_process_callers.chat_body(tokens=40)
        self.engine.token_seconds = 0.01
        running = asyncio.ensure_future(router.chat(body))
        await in_process_callers.wait_until(lambda: self.engine.slots.running)
        drain = router.fakes.needs.drain
        drain.close()
        refused = await router.chat(in_process_callers.chat_body())
        self.assertEqual(refused.code, 503)
        self.assertEqual(refused.headers["Amaranthring-Outcome"], "not-run")
        self.assertIn("Retry-After", refused.headers)
        self.assertTrue(await drain.wait_idle(10))
        self.assert_complete(await running, body)

    async def test_rate_limit_and_full_queue_are_reported(self):
        router = self.local.add_router()
        limited = errors.RateLimitedError("above the rate", retry_after=2.5)
        router.fakes.limit_error = limited
        response = await router.chat(in_process_callers.chat_body())
        self.assertEqual(response.code, 429)
        self.assertEqual(response.headers["Retry-After"], "3")
        router.fakes.limit_error = None
        router.fakes.admit_error = errors.QueueFullError("full")
        response = await router.chat(in_process_callers.chat_body())
        self.assertEqual((response.code, self.engine.runs), (503, []))
