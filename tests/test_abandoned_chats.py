"""Chats whose engine is late, while another one cannot take over.

``ABANDONED_CHATS_SEED`` chooses the series of silences.
"""

import asyncio
import os
import random
import time
import unittest

from amaranthring import errors
from amaranthring.callers import execution
from amaranthring.core import records
from amaranthring.policy import retries
from amaranthring.targets import upstream
from amaranthring.testing import fake_network
from amaranthring.testing import in_process_callers
from amaranthring.testing import in_process_routers
from tests import test_chats

BOUND = 0.3
# Longer than the bound, shorter than the deadline.
SILENCE = 1.2
# An engine may go on for 0.4 s while another one runs the request.
MAX_OVERLAP = 0.4


class SilenceCase(test_chats.ChatCase):
    """Base class: engine e1 is silent for a while; e2 would serve at once."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.other = self.local.add_engine("e2")
        self.router = self.add_router()

    def add_router(self):
        router = self.local.add_router()
        router.fakes.preset.first_token_seconds = BOUND
        router.fakes.preset.between_tokens_seconds = BOUND
        return router

    def silence(self, at, seconds=SILENCE):
        """Make e1 silent before token `at` of the next chat."""
        self.engine.planned_fault = {
            "fault": "slow",
            "at": at,
            "seconds": seconds,
            "times": 1,
        }

    def admit_others(self, wait):
        """Call `wait` before a grant that leaves out a target."""
        admit = self.router.fakes.needs.admit

        async def admit_later(request, excluded):
            if excluded:
                await wait()
            return await admit(request, excluded)

        self.router.fakes.needs.admit = admit_later

    def refuse_others(self, error):
        async def refuse():
            raise error

        self.admit_others(refuse)

    async def assert_whole(self, body=None, **headers):
        body = body or in_process_callers.chat_body()
        response = await self.router.chat(body, **headers)
        self.assertEqual(200, response.code)
        self.assert_complete(response, body)
        self.assert_idle(self.router)

    async def assert_kept(self, body=None):
        """Check that e1 goes on to the end, and no retry is spent."""
        before = self.router.fakes.retries_left
        await self.assert_whole(body)
        self.assertEqual([], self.other.runs)
        self.assertEqual(before, self.router.fakes.retries_left)

    def decisions(self, event):
        """Return the fields of the decisions named `event`."""
        logged = self.router.fakes.logged_events
        return [fields for _, name, fields in logged if name == event]


class TestSilentEngine(SilenceCase):
    """Streams whose engine goes on after a silence."""

    async def test_no_retry_is_left(self):
        """Guards against streams that are cut as the budget is spent."""
        self.router.fakes.retries_left = 0
        for at in (0, 3):
            with self.subTest(at=at):
                self.silence(at)
                await self.assert_kept()
        lacking = [d["lacking"] for d in self.decisions("replacement")]
        self.assertEqual(["retry-budget"] * 2, lacking)

    async def test_no_other_engine_may_be_asked(self):
        """Guards against streams that are cut as admission refuses."""
        refusals = (
            errors.NoTargetError("none"),
            errors.QueueFullError("full"),
            errors.DeadlineError("late"),
            errors.SuspectedError("suspected"),
        )
        admit = self.router.fakes.needs.admit
        for refusal in refusals:
            for at in (0, 3):
                with self.subTest(refusal.code, at=at):
                    self.router.fakes.needs.admit = admit
                    self.refuse_others(refusal)
                    self.silence(at)
                    await self.assert_kept()

    async def test_others_wait_for_room(self):
        """Guards against streams that are cut to wait in a queue."""
        waiting = []

        async def wait():
            waiting.append(asyncio.current_task())
            await asyncio.sleep(60)

        self.admit_others(wait)
        for at in (0, 3):
            with self.subTest(at=at):
                self.silence(at)
                await self.assert_kept()
        await in_process_callers.wait_until(
            lambda: all(task.done() for task in waiting)
        )
        self.assertEqual(2, len(waiting))

    async def test_no_attempt_is_left(self):
        """Guards against third attempts that are cut in favour of none."""
        third = self.local.add_engine("e3")
        self.router = self.add_router()
        third.planned_fault = {
            "fault": "slow",
            "at": 3,
            "seconds": SILENCE,
            "times": 1,
        }
        fault = {"fault": "status", "at": 0, "times": 1}
        self.engine.planned_fault = dict(fault)
        self.other.planned_fault = dict(fault)
        await self.assert_whole()
        self.assertEqual(1, len(third.runs))

    async def test_text_cannot_be_continued(self):
        """Guards against long streams that are cut: no engine goes on."""
        self.silence(450)
        body = in_process_callers.chat_body(tokens=500, stand_in_batch=50)
        await self.assert_kept(body)

    async def test_broken_stream_that_was_resumed(self):
        """Guards against resumed streams that are cut by a bound."""
        self.router.fakes.retries_left = 0
        self.engine.token_seconds = BOUND * 1.5
        self.engine.planned_fault = {"fault": "drop", "at": 2, "times": 1}
        await self.assert_kept(in_process_callers.chat_body(tokens=4))

    async def test_caller_that_reconnected(self):
        """Guards against reconnected callers, who have no other attempt."""
        body = in_process_callers.chat_body(
            tokens=5, stand_in={"fault": "hang", "at": 2}
        )
        async with self.router.raw(
            in_process_callers.raw_chat_request(body)
        ) as stream:
            read = await stream.read_until(b'.1\ndata: {"')
        ids = [line for line in read.split(b"\n") if line[:4] == b"id: "]
        await in_process_callers.wait_until(
            lambda: not self.engine.slots.running
        )
        self.engine.token_seconds = BOUND * 1.5
        last = ids[-1][4:].decode()
        response = await self.router.chat({}, Last_Event_ID=last)
        self.assert_complete(response, body, first=2)

    async def test_engine_stays_silent(self):
        """Guards against failures before the deadline, and waits after it."""
        self.router.fakes.retries_left = 0
        for at in (0, 3):
            with self.subTest(at=at):
                self.engine.planned_fault = {
                    "fault": "hang",
                    "at": at,
                    "times": 1,
                }
                started = time.monotonic()
                response = await self.router.chat(
                    in_process_callers.chat_body(), Amaranthring_Deadline="1"
                )
                seconds = time.monotonic() - started
                self.assertGreater(seconds, 0.95)
                self.assertLess(seconds, 2.0)
                if at:
                    self.assert_failed(response, "upstream-timeout", "unknown")
                else:
                    self.assertEqual(504, response.code)
                self.assert_idle(self.router)

    async def test_reconnected_caller_is_not_kept_past_its_deadline(self):
        """Guards against second tries of engines that were silent to it."""
        self.router.fakes.retries_left = 0
        self.engine.planned_fault = {"fault": "hang", "at": 3, "times": 1}
        body = in_process_callers.chat_body()
        cut = await self.router.chat(body, Amaranthring_Deadline="0.6")
        last = in_process_callers.parse_events(cut.body)[2].id
        self.router.fakes.preset.first_token_seconds = 1.0
        self.engine.slots.capacity = 0
        started = time.monotonic()
        response = await self.router.chat(
            {}, Last_Event_ID=last, Amaranthring_Deadline="0.5"
        )
        self.assertEqual(409, response.code)
        self.assertLess(time.monotonic() - started, 1.8)

    async def test_cut_stream_can_be_resumed(self):
        """Guards against engines that must forget what none continues."""
        self.router.fakes.retries_left = 0
        self.engine.planned_fault = {"fault": "hang", "at": 3, "times": 1}
        body = in_process_callers.chat_body()
        cut = await self.router.chat(body, Amaranthring_Deadline="0.6")
        self.assert_failed(cut, "upstream-timeout", "unknown")
        events = in_process_callers.parse_events(cut.body)
        response = await self.router.chat({}, Last_Event_ID=events[2].id)
        self.assert_complete(response, body, first=3)


class TestReplacement(SilenceCase):
    """Silent engines that another one replaces."""

    async def test_retry_that_is_granted_later_is_used(self):
        """Guards against permissions that are asked only once."""
        self.silence(3, seconds=60)
        fakes = self.router.fakes
        fakes.retries_left = 0
        loop = asyncio.get_running_loop()
        loop.call_later(1.0, setattr, fakes, "retries_left", 1)
        await self.assert_whole()
        self.assertEqual([3], [run["start"] for run in self.other.runs])
        self.assertEqual(0, fakes.retries_left)

    async def test_engine_works_until_another_one_is_granted(self):
        """Guards against engines that stop while others wait for room."""
        running = []

        async def wait():
            for _ in range(5):
                await asyncio.sleep(0.1)
                running.append(self.engine.slots.running)

        self.admit_others(wait)
        for at in (0, 3):
            with self.subTest(at=at):
                running.clear()
                self.silence(at, seconds=60)
                await self.assert_whole()
                self.assertEqual([1] * 5, running)

    async def test_two_engines_do_not_work_for_long(self):
        """Guards against requests that occupy two engines."""
        self.other.token_seconds = 0.1
        self.silence(3, seconds=60)
        asked = asyncio.ensure_future(self.assert_whole())
        both = 0.0
        while not asked.done():
            started = time.monotonic()
            working = self.engine.slots.running and self.other.slots.running
            await asyncio.sleep(0.01)
            both += working * (time.monotonic() - started)
        await asked
        self.assertLess(both, MAX_OVERLAP)

    async def test_engine_goes_on_before_the_grant(self):
        """Guards against grants and retries that are taken for nothing."""

        async def wait():
            await asyncio.sleep(0.6)

        self.admit_others(wait)
        self.engine.token_seconds = 0.1
        self.silence(3, seconds=0.5)
        await self.assert_kept()

    async def test_retry_is_refused_with_the_grant(self):
        """Guards against grants that are kept when others spent the budget."""

        async def wait():
            self.router.fakes.retries_left = 0

        self.admit_others(wait)
        self.silence(3)
        await self.assert_whole()
        self.assertEqual([], self.other.runs)
        self.assertIn(records.AttemptEnd.NOT_SENT, self.router.fakes.released)

    async def test_silent_engine_has_crashed(self):
        """Guards against suspects that run with a grant of before."""
        self.silence(3, seconds=60)
        servers, fakes = self.local.servers, self.router.fakes

        async def wait():
            servers["e1"].stop()

        self.admit_others(wait)
        await self.assert_whole()
        ends = records.AttemptEnd
        self.assertEqual(
            [ends.TARGET_LOST, ends.NOT_SENT, ends.DONE], fakes.released
        )
        self.assertEqual([], self.decisions("retry-unused"))
        self.assertEqual(99, fakes.retries_left)

    async def test_caller_leaves_while_another_one_is_asked(self):
        """Guards against grants and waits that no request holds any more."""
        waiting = []

        async def wait():
            waiting.append(asyncio.current_task())
            await asyncio.sleep(60)

        self.admit_others(wait)
        self.silence(3, seconds=60)
        body = in_process_callers.chat_body()
        async with self.router.raw(in_process_callers.raw_chat_request(body)):
            await in_process_callers.wait_until(lambda: waiting)
        await in_process_callers.wait_until(lambda: waiting[0].done())
        await in_process_callers.wait_until(lambda: self.router.fakes.released)
        self.assert_idle(self.router)

    async def test_grant_is_released_before_going_back(self):
        """Guards against grants that are held while no attempt may run."""
        fakes = self.router.fakes
        request = fake_network.request(
            serves="m1", deadline=time.monotonic() + 60
        )
        running = []

        async def run_attempt(attempt):
            exchange = upstream.Exchange(attempt.target)
            attempt.sent = True
            attempt.replacement.watch(exchange, lambda: True)
            exchange.on_timeout(0.0, 0.0)
            await in_process_callers.wait_until(lambda: exchange.abort_error)
            attempt.retryable = False
            raise exchange.abort_error

        async def go_back():
            running.append(fakes.running["e2"])
            return True

        await execution.run(fakes.needs, request, run_attempt, go_back)
        self.assertEqual([0], running)
        self.assertEqual(1, len(self.decisions("retry-unused")))

    async def test_caller_leaves_right_after_the_grant(self):
        """Guards against grants that leak, and retries lost silently."""
        fakes = self.router.fakes
        request = fake_network.request(
            serves="m1", deadline=time.monotonic() + 60
        )
        granted = asyncio.get_running_loop().create_future()

        async def run_attempt(attempt):
            exchange = upstream.Exchange(attempt.target)
            attempt.sent = True
            attempt.replacement.watch(exchange, lambda: True)
            exchange.on_timeout(0.0, 0.0)
            await in_process_callers.wait_until(lambda: exchange.abort_error)
            granted.set_result(None)
            await asyncio.sleep(60)

        run = asyncio.ensure_future(
            execution.run(fakes.needs, request, run_attempt)
        )
        await asyncio.wait([run, granted], return_when="FIRST_COMPLETED")
        self.assertEqual(1, fakes.running["e2"])
        run.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await run
        self.assert_idle(self.router)
        self.assertEqual(99, fakes.retries_left)
        self.assertEqual(1, len(self.decisions("retry-unused")))


class TestFailedReplacement(SilenceCase):
    """Engines that are asked instead, and fail before their first token."""

    async def assert_taken_up(self, at=3):
        """Check that e1 ends the stream that it began."""
        self.silence(at, seconds=60)
        await self.assert_whole()
        self.assertEqual(1, len(self.engine.runs))

    async def test_it_does_not_listen(self):
        """Guards against streams that are cut as the next engine is gone."""
        await self.local.stop("e2")
        for at in (0, 3):
            with self.subTest(at=at):
                self.engine.runs.clear()
                await self.assert_taken_up(at)

    async def test_it_fails(self):
        """Guards against streams that are cut as the next engine fails."""
        for fault in ("refuse", "status", "drop", "foreign-answer"):
            with self.subTest(fault):
                self.engine.runs.clear()
                self.other.planned_fault = {
                    "fault": fault,
                    "at": 3 if fault == "drop" else 0,
                    "times": 1,
                }
                await self.assert_taken_up()

    async def test_it_asks_for_rest(self):
        """Guards against streams that are cut as the next engine rests."""
        self.other.planned_fault = {
            "fault": "rest",
            "at": 0,
            "seconds": 1.0,
            "times": 1,
        }
        await self.assert_taken_up()

    async def test_it_does_not_continue_the_text(self):
        """Guards against streams that are cut as no engine continues them."""
        self.other.supports_continuation = False
        await self.assert_taken_up()


class TestFailedEngine(SilenceCase):
    """Engines that fail, so that nothing is left to go on."""

    async def test_refused_retry_is_recorded(self):
        """Guards against retries that are taken and lost silently."""
        self.refuse_others(errors.QueueFullError("full"))
        fault = {"fault": "status", "at": 0, "times": 1}
        self.engine.planned_fault = fault
        response = await self.router.chat(in_process_callers.chat_body())
        self.assertEqual(502, response.code)
        self.assertEqual(99, self.router.fakes.retries_left)
        self.assertEqual(1, len(self.decisions("retry-unused")))
        self.assert_idle(self.router)


class TestSeries(SilenceCase):
    """Many chats, whose engines are silent for a while or break off."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.local.add_engine("e3", continues=False)
        self.router = self.add_router()
        seed = os.environ.get("ABANDONED_CHATS_SEED", "1")
        self.rng = random.Random(seed)
        for engine in self.local.engines.values():
            engine.fault = self.choose_fault

    def choose_fault(self, body):
        """Return the same fault each time for the same run."""
        if "chosen" not in body:
            kinds = ["slow"] * 4 + ["drop", "truncate", "gap"] + ["none"] * 5
            body["chosen"] = {
                "fault": self.rng.choice(kinds),
                "at": self.rng.randrange(6),
                "seconds": self.rng.uniform(0.5, 4.0) * BOUND,
            }
            if body["chosen"]["fault"] == "none":
                body["chosen"] = {}
        return body["chosen"]

    async def admit_sometimes(self):
        if self.rng.random() < 0.3:
            raise errors.QueueFullError("full")
        await asyncio.sleep(self.rng.uniform(0.0, 3.0) * BOUND)

    async def chat(self, number):
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        body = in_process_callers.chat_body(f"chat {number}")
        self.assert_complete(await self.router.chat(body), body)

    async def test_every_chat_is_whole(self):
        """Guards against chats that are cut, and grants that leak."""
        self.admit_others(self.admit_sometimes)
        for retries_left in (0, 3, 100):
            with self.subTest(retries_left=retries_left):
                self.router.fakes.retries_left = retries_left
                await asyncio.gather(*map(self.chat, range(25)))
                self.assert_idle(self.router)


class TestRetryBudget(unittest.TestCase):
    """The budget tells whether a retry is left."""

    def test_question_takes_nothing(self):
        """Guards against budgets that are spent by asking."""
        clock = in_process_routers.Clock()
        budget = retries.RetryBudget(lambda: 0.1, clock)
        self.assertTrue(all(budget.has_retry("a") for _ in range(20)))
        self.assertTrue(budget.may_retry("a"))
        self.assertFalse(budget.has_retry("a"))
        self.assertFalse(budget.may_retry("a"))
