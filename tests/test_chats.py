"""Chats through a router's way: whole answers, broken streams, leaving."""

import asyncio
import json
import unittest

from amaranthring import errors
from amaranthring.core import records
from amaranthring.testing import engine
from amaranthring.testing import fake_dependencies
from amaranthring.testing import in_process_callers


class ChatCase(unittest.IsolatedAsyncioTestCase):
    """One router before engine ``e1``; tests add more of both."""

    async def asyncSetUp(self):
        self.local = in_process_callers.Harness()
        self.addAsyncCleanup(self.local.close)
        self.engine = self.local.add_engine()

    def assert_whole(self, answer, body, first=0):
        """Check that `answer` is the answer to `body` from event `first`."""
        events = in_process_callers.parse_events(answer.body)
        whole = engine.expected_text(body)
        skipped = "".join(whole.split(" ")[n] + " " for n in range(first))
        self.assertEqual(skipped + in_process_callers.join_text(events), whole)
        self.assertEqual(events[-1].data, engine.END_MARKER)
        numbers = [event.number for event in events]
        self.assertEqual(numbers, list(range(first, body["max_tokens"] + 1)))

    def assert_failed(self, answer, code, outcome):
        """Check that a stream ended with one typed error and no end mark."""
        events = in_process_callers.parse_events(answer.body)
        self.assertEqual(events[-1].kind, "error")
        error = json.loads(events[-1].data)["error"]
        self.assertEqual((error["code"], error["outcome"]), (code, outcome))
        self.assertNotIn(engine.END_MARKER, [event.data for event in events])

    def assert_idle(self, router):
        """Check that every grant was given back and nothing is counted in."""
        self.assertEqual(set(router.fakes.running.values()) - {0}, set())
        self.assertEqual(router.fakes.needs.drain.in_flight, 0)


class TestStreamedChat(ChatCase):
    """A streamed chat and what can become of its stream."""

    async def test_stream_is_whole_and_says_ran(self):
        router = self.local.add_router()
        body = in_process_callers.chat_body()
        answer = await router.chat(body)
        self.assert_whole(answer, body)
        self.assertEqual(answer.headers["Amaranthring-Outcome"], "ran")
        self.assertTrue(answer.headers["Amaranthring-Request-Id"])
        figures = router.fakes.needs.metrics.histograms
        self.assertIn(("first-token", "acme", "interactive"), figures)
        self.assert_idle(router)

    async def test_bad_event_is_never_passed_on(self):
        """A caller would read a hole, words twice, or another's words.

        The engine leaves out, repeats or swaps events, sends one of another
        stream, or sends no event at all. The router must notice at the
        first wrong event and fetch the rest anew from the same engine.
        """
        router = self.local.add_router()
        faults = ("gap", "twice", "reorder", "foreign", "garbage")
        for fault in (*faults, "drop", "truncate"):
            with self.subTest(fault):
                body = in_process_callers.chat_body(
                    stand_in={"fault": fault, "at": 3}
                )
                self.assert_whole(await router.chat(body), body)
        self.assertEqual(router.fakes.needs.metrics.counters["way.resumed"], 6)
        self.assert_idle(router)

    async def test_broken_off_within_one_read_of_many_events(self):
        """Events before a hole in the same read must not be lost."""
        router = self.local.add_router()
        fault = {"fault": "gap", "at": 30}
        body = in_process_callers.chat_body(
            tokens=60, stand_in_batch=50, stand_in=fault
        )
        self.assert_whole(await router.chat(body), body)

    async def test_dead_engine_before_the_first_token(self):
        """The caller has seen nothing, so the chat runs again elsewhere."""
        self.local.add_engine("e2")
        router = self.local.add_router()
        body = in_process_callers.chat_body()
        self.engine.planned_fault = {"fault": "crash", "at": 0, "times": 1}
        self.assert_whole(await router.chat(body), body)
        self.assertEqual([t for _, t in router.fakes.crash_reports], ["e1"])
        self.assert_idle(router)

    async def test_dead_engine_in_the_middle_is_continued_elsewhere(self):
        """The caller holds half an answer when the engine's VM goes.

        A second run from the start would say other words, so the other
        engine gets the text that was sent and goes on behind it.
        """
        other = self.local.add_engine("e2")
        router = self.local.add_router()
        body = in_process_callers.chat_body()
        self.engine.planned_fault = {"fault": "crash", "at": 3, "times": 1}
        self.assert_whole(await router.chat(body), body)
        self.assertEqual(other.runs[0]["start"], 3)

    async def test_engine_that_cannot_continue_is_not_believed(self):
        """Half an answer must not be joined to half of another one.

        The other engine ignores the text that it should continue and starts
        anew; its numbers alone would look like a repeated stream.
        """
        self.local.add_engine("e2", continues=False)
        router = self.local.add_router()
        self.engine.planned_fault = {"fault": "crash", "at": 3, "times": 1}
        answer = await router.chat(in_process_callers.chat_body())
        self.assert_failed(answer, "upstream", "unknown")
        seen = in_process_callers.join_text(
            in_process_callers.parse_events(answer.body)
        )
        self.assertTrue(
            engine.expected_text(in_process_callers.chat_body()).startswith(
                seen
            )
        )

    async def test_no_retry_without_budget(self):
        """Engines that live and fail are spared a storm of repeats."""
        self.local.add_engine("e2")
        router = self.local.add_router()
        router.fakes.retries_left = 0
        for _ in range(3):
            self.engine.planned_fault = {
                "fault": "status",
                "at": 0,
                "times": 1,
            }
            answer = await router.chat(in_process_callers.chat_body())
            self.assertEqual(answer.code, 502)
            outcome = answer.headers["Amaranthring-Outcome"]
            self.assertEqual(outcome, "unknown")
        self.assertEqual(self.local.engines["e2"].runs, [])

    async def test_death_of_an_engine_costs_no_budget(self):
        """An engine dies with many chats of a small account under way.

        The first two took all of the account's budget; the others were
        refused, though another engine had room and nobody had failed them
        but the one that is gone.
        """
        self.local.add_engine("e2")
        router = self.local.add_router()
        router.fakes.retries_left = 0
        self.engine.planned_fault = {"fault": "crash", "at": 0, "times": 1}
        answer = await router.chat(in_process_callers.chat_body())
        self.assertEqual(answer.code, 200)
        self.assert_whole(answer, in_process_callers.chat_body())

    async def test_silent_engine_is_left_after_the_token_timeout(self):
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
                self.assert_whole(await router.chat(body), body)
        self.assert_idle(router)

    async def test_engine_that_membership_gave_up(self):
        """An engine's VM freezes: nothing breaks, nothing comes.

        Membership knows after the lease; the caller must not wait for the
        token timeout, which is far longer.
        """
        self.local.add_engine("e2")
        router = self.local.add_router()
        router.fakes.preset.between_tokens_seconds = 600.0
        self.engine.planned_fault = {"fault": "hang", "at": 3, "times": 1}
        body = in_process_callers.chat_body()
        waiting = asyncio.ensure_future(router.chat(body))
        await in_process_callers.wait_until(lambda: self.engine.slots.running)
        router.fakes.lose("e1")
        self.assert_whole(await waiting, body)

    async def test_request_that_crashes_two_engines_is_refused(self):
        """One poisoned chat takes an engine down at each send."""
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

    async def test_no_engine_says_not_run(self):
        router = self.local.add_router()
        await self.local.stop("e1")
        answer = await router.chat(in_process_callers.chat_body())
        self.assertEqual(answer.code, 502)
        self.assertEqual(answer.headers["Amaranthring-Outcome"], "not-run")
        self.assertIn("Retry-After", answer.headers)
        self.assertEqual(self.engine.runs, [])


class TestWholeChat(ChatCase):
    """A chat answered as one JSON document."""

    async def test_whole_answer_in_json(self):
        router = self.local.add_router()
        body = in_process_callers.chat_body(stream=False)
        answer = await router.chat(body)
        choice = json.loads(answer.body)["choices"][0]
        expected = engine.expected_text(body)
        self.assertEqual(choice["message"]["content"], expected)

    async def test_bad_answer_is_replaced_by_a_whole_one(self):
        """Cut off, another request's, or an error of the engine."""
        self.local.add_engine("e2")
        router = self.local.add_router()
        for fault in ("drop", "truncate", "foreign-answer", "status"):
            with self.subTest(fault):
                self.engine.planned_fault = {"fault": fault, "times": 1}
                body = in_process_callers.chat_body(fault, stream=False)
                answer = await router.chat(body)
                choice = json.loads(answer.body)["choices"][0]
                expected = engine.expected_text(body)
                self.assertEqual(choice["message"]["content"], expected)
        self.assert_idle(router)

    async def test_second_engine_out_of_reach_is_no_not_run(self):
        """The first engine ran it and broke off; the second saw nothing."""
        self.local.add_engine("e2")
        router = self.local.add_router()
        await self.local.stop("e2")
        body = in_process_callers.chat_body(
            stream=False, stand_in={"fault": "drop"}
        )
        answer = await router.chat(body)
        self.assertEqual(answer.headers["Amaranthring-Outcome"], "unknown")
        self.assertEqual(len(self.engine.runs), 1)

    async def test_refused_by_all_engines_says_not_run(self):
        router = self.local.add_router()
        body = in_process_callers.chat_body(
            stream=False, stand_in={"fault": "refuse"}
        )
        answer = await router.chat(body)
        self.assertEqual(answer.headers["Amaranthring-Outcome"], "not-run")
        self.assertEqual(self.engine.runs, [])

    async def test_late_answer_is_given_up_at_the_deadline(self):
        router = self.local.add_router()
        body = in_process_callers.chat_body(
            stream=False, stand_in={"fault": "hang"}
        )
        answer = await router.chat(body, Amaranthring_Deadline="0.5")
        self.assertEqual(answer.code, 504)
        self.assertEqual(answer.headers["Amaranthring-Outcome"], "unknown")
        self.assertIn("Retry-After", answer.headers)


class TestResume(ChatCase):
    """A caller that comes back with ``Last-Event-ID``."""

    async def half(self, router, tokens=8):
        """Read a few events, leave, and return the body and the last id."""
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

    async def test_comes_back_through_another_router(self):
        body, last = await self.half(self.local.add_router())
        other = self.local.add_router()
        answer = await other.chat({}, Last_Event_ID=last)
        self.assert_whole(answer, body, first=3)
        self.assertEqual(len(self.engine.runs), 1)

    async def test_token_of_another_account_or_forged_is_refused(self):
        router = self.local.add_router()
        _, last = await self.half(router)
        head, mac, number = last.split(".")
        bad = [f"{head}.{mac[::-1]}.{number}", f"A{head}.{mac}.{number}"]
        bad += ["x", "a.b.c", f"{head}.{mac}.-1", f"{head}.{mac}", "ü.é.1"]
        sent = [(token, fake_dependencies.TOKEN) for token in bad]
        sent += [(last, fake_dependencies.OTHER_TOKEN)]
        for token, account in sent:
            with self.subTest(token):
                answer = await router.post(
                    "/v1/chat/completions", {}, account, Last_Event_ID=token
                )
                code = json.loads(answer.body)["error"]["code"]
                self.assertEqual((answer.code, code), (409, "resume"))
        self.assertEqual(len(self.engine.runs), 1)

    async def test_engine_that_restarted_has_lost_the_stream(self):
        router = self.local.add_router()
        _, last = await self.half(router)
        self.engine.streams.clear()
        answer = await router.chat({}, Last_Event_ID=last)
        self.assertEqual(answer.code, 409)
        self.assertEqual(answer.headers["Amaranthring-Outcome"], "unknown")


class TestCaller(ChatCase):
    """Callers that leave, read slowly, or come while the router stops."""

    async def test_caller_that_leaves_frees_the_engine(self):
        """A shopkeeper's phone loses the line in the middle of an answer."""
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

    async def test_slow_reader_holds_the_engine_not_the_memory(self):
        """A caller stops reading in a long answer.

        Without backpressure the router would buffer all of it. The bound is
        far below the answer, of which the kernel's buffers hold a part.
        """
        router = self.local.add_router()
        tokens = 120_000
        body = in_process_callers.chat_body(tokens=tokens, stand_in_batch=500)
        async with router.raw(
            in_process_callers.raw_chat_request(body)
        ) as stream:
            await stream.read_until(b"data: ")
            (run,) = self.engine.streams.values()
            seen = -1
            while seen != run.sent:
                seen = run.sent
                await asyncio.sleep(0.3)
            self.assertLess(run.sent, tokens)
            (served,) = router.server._connections
            buffered = served.stream._write_buffer
            self.assertLess(len(buffered), 512 * 1024)
            rest = await stream.read_until(b"data: [DONE]\n\n")
        self.assertIn(f".{tokens - 1}\n".encode(), rest)

    async def test_reader_that_stopped_for_good_is_cut_off(self):
        """Its engine's slot must not stay taken, nor the chat run again."""
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

    async def test_stopping_router_ends_what_runs_and_takes_no_more(self):
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
        self.assert_whole(await running, body)

    async def test_limits_and_admission_are_told_with_retry_after(self):
        router = self.local.add_router()
        limited = errors.RateLimitedError("above the rate", retry_after=2.5)
        router.fakes.limit_error = limited
        answer = await router.chat(in_process_callers.chat_body())
        self.assertEqual(answer.code, 429)
        self.assertEqual(answer.headers["Retry-After"], "3")
        router.fakes.limit_error = None
        router.fakes.admit_error = errors.QueueFullError("full")
        answer = await router.chat(in_process_callers.chat_body())
        self.assertEqual((answer.code, self.engine.runs), (503, []))
