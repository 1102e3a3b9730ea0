"""Hedged attempts: what becomes of the first, the second and a third."""

import asyncio
import time
from unittest import mock

from amaranthring.forwarding import hedges
from amaranthring.testing import scripted_target
from tests import test_abandoned_answers
from tests import test_forwarding

silent_stream = test_abandoned_answers.silent_stream
SilenceCase = test_abandoned_answers.SilenceCase
EVENTS = test_abandoned_answers.EVENTS


def learn(router, seconds=0.02):
    """Let the router know how long targets usually take."""
    for _ in range(10):
        router.relay.deps.response_times.record("s", 0, seconds)


class TestFailureOfSecond(SilenceCase):
    """Answers of 5xx by a target that has taken over."""

    async def test_no_third_target_where_two_may_run_it(self):
        """Guards against more targets than the route's attempts."""
        failing = scripted_target.respond(b"broken", status=500)
        await self.begin_stream(
            scripted_target.respond_after(0.4, failing),
            scripted_target.respond(),
            first=scripted_target.never_respond(),
        )
        self.router.placer.views["t2"].running = 9
        got = await self.ask("/a/x")
        self.assertEqual([1, 1, 0], self.requests())
        self.assertEqual((500, b"broken"), (got.status, got.body))

    async def test_its_answer_is_kept(self):
        """Guards against the loss of a failure that is the only answer."""
        failing = scripted_target.respond(b"broken", status=500)
        await self.begin_stream(
            scripted_target.respond_after(0.4, failing),
            first=scripted_target.never_respond(),
        )
        got = await self.ask("/a/x")
        self.assertEqual((500, b"broken"), (got.status, got.body))


class TestFirstFails(SilenceCase):
    """Failures of a late target while another one runs the request."""

    async def test_late_failure_does_not_end_the_second_attempt(self):
        """Guards against a failure in the place of an answer under way."""
        failing = scripted_target.respond(b"broken", status=500)
        good = scripted_target.respond_after(0.2, scripted_target.respond())
        await self.begin_stream(
            good, first=scripted_target.respond_after(0.26, failing)
        )
        got = await self.ask("/a/x")
        self.assertEqual([1, 1], self.requests())
        self.assertEqual((200, b"good"), (got.status, got.body))


class TestSlowSecond(SilenceCase):
    """Second targets that are late themselves."""

    async def test_hung_stream_goes_to_a_target_that_is_slow(self):
        """Guards against waiting for ever as the only other one is slow."""
        slow = scripted_target.respond_after(
            0.4, scripted_target.stream_events(6)
        )
        await self.begin_stream(slow, first=silent_stream(60.0))
        learn(self.router)
        await self.assert_whole()

    async def test_hung_safe_request_goes_to_a_target_that_is_slow(self):
        """Guards against a 504 as the only other target is slow."""
        slow = scripted_target.respond_after(0.4, scripted_target.respond())
        await self.begin_stream(slow, first=scripted_target.never_respond())
        learn(self.router)
        got = await self.ask("/a/x")
        self.assertEqual((200, b"good"), (got.status, got.body))

    async def test_second_that_refuses_late(self):
        """Guards against streams cut by a target that refuses after 0.4 s."""
        late = scripted_target.respond_after(
            0.4, scripted_target.respond_not_run()
        )
        await self.begin_stream(late)
        await self.assert_whole()

    async def test_body_of_second_may_take_its_time(self):
        """Guards against a third run beside an answer that has begun."""

        async def trickle(seen, writer):
            writer.write(
                scripted_target.response_head(seen, Content_Length="14")
            )
            for _ in range(14):
                await asyncio.sleep(0.25)
                writer.write(b"x")
                await writer.drain()

        await self.begin_stream(
            trickle,
            scripted_target.respond(),
            first=scripted_target.never_respond(),
        )
        self.router.placer.views["t2"].running = 9
        learn(self.router)
        got = await self.ask("/c/x", "POST")
        self.assertEqual((200, b"x" * 14), (got.status, got.body))
        self.assertEqual([1, 1, 0], self.requests())

    async def test_second_that_connects_slowly_is_not_late_early(self):
        """Guards against the overlap's bound on a request without one."""
        broke_at = asyncio.Event()

        async def fall_silent_and_end(seen, writer):
            silent = silent_stream(60.0)
            try:
                await asyncio.wait_for(silent(seen, writer), 1.28)
            except TimeoutError:
                scripted_target.abort_connection(writer)
                broke_at.set()

        late = scripted_target.respond_after(
            0.6, scripted_target.stream_events(6)
        )
        await self.begin_stream(
            late,
            scripted_target.stream_events(6),
            first=fall_silent_and_end,
        )
        self.router.placer.views["t2"].running = 9
        await self.router.relay.connections.acquire("t1", 1.0)
        from amaranthring.targets import upstream

        connect = upstream.Exchange.connect

        async def connect_late(exchange):
            if exchange.target.id == "t1":
                await asyncio.sleep(0.14)
            await connect(exchange)

        with mock.patch.object(upstream.Exchange, "connect", connect_late):
            await self.assert_whole()
        # The time to the first event is not known, so it is not bounded.
        self.assertEqual([1, 1, 0], self.requests())

    async def test_second_that_ends_within_an_event(self):
        """Guards against streams given to a target that sends no event."""

        async def partial(seen, writer):
            writer.write(
                scripted_target.response_head(
                    seen,
                    Content_Type="text/event-stream",
                    Transfer_Encoding="chunked",
                )
                + b"5\r\nid: 4\r\n0\r\n\r\n"
            )

        await self.begin_stream(partial)
        await self.assert_whole()


class TestTwoReleases(SilenceCase):
    """Two targets of different releases."""

    async def test_events_that_arrive_while_the_second_takes_over(self):
        """Guards against a stream of the events of two releases.

        The first target's events arrive in the iteration of the loop in
        which the second one takes over.
        """
        from amaranthring.forwarding import hedges

        other = b"".join(
            b"id: %d\ndata: other %d\n\n" % (n, n) for n in range(1, 7)
        )

        async def v2(seen, writer):
            writer.write(
                scripted_target.response_head(
                    seen,
                    Content_Type="text/event-stream",
                    Transfer_Encoding="chunked",
                )
                + b"%x\r\n%b\r\n0\r\n\r\n" % (len(other), other)
            )
            await writer.drain()

        await self.begin_stream(v2, first=scripted_target.never_respond())
        record = self.targets[1].record(release="v2", sequence=2)
        self.router.targets.merge(record)
        learn(self.router)
        take_over = hedges.Hedge._take_over

        def take_over_late(hedge, second):
            seen = self.targets[0].requests[0]
            head = scripted_target.response_head(
                seen,
                Content_Type="text/event-stream",
                Transfer_Encoding="chunked",
            )
            piece = scripted_target.event(1) + scripted_target.event(2)
            data = head + b"%x\r\n%b\r\n" % (len(piece), piece)
            hedge.first.exchange.reader.feed_data(data)
            take_over(hedge, second)

        with mock.patch.object(hedges.Hedge, "_take_over", take_over_late):
            got = await self.ask("/c/x", "POST")
        self.assertIn(got.body, (EVENTS, other), got)
        self.assertTrue(got.complete)


class TestRests(SilenceCase):
    """Targets that ask for rest when they are to take over."""

    async def test_caller_whose_stream_is_whole_is_not_held_back(self):
        """Guards against a caller that is charged with a request served."""
        rest = scripted_target.respond_not_run(Retry_After="5")
        await self.begin_stream(rest, rest)
        await self.assert_whole()
        self.assertEqual([1, 1, 1], self.requests())
        self.assertEqual({}, self.router.placer.rests.suspects)


class TestHungTarget(test_forwarding.RouterCase):
    """Targets that hang, while no retry is left."""

    async def test_target_that_hangs_is_avoided_without_a_retry(self):
        """Guards against requests for a target that is known to hang."""
        await self.begin(
            scripted_target.never_respond(),
            scripted_target.respond_after(0.05, scripted_target.respond()),
            allowance=0.0,
        )
        asked = []
        for _ in range(40):
            asked.append(asyncio.ensure_future(self.ask("/a/x")))
            await asyncio.sleep(0.05)
        answers = [got.status for got in await asyncio.gather(*asked)]
        hung = len(self.targets[0].requests)
        print("hung target got", hung, "of 40;", answers.count(200), "of 200")
        self.assertGreaterEqual(answers.count(200), 32)

    async def test_hung_target_with_prompts(self):
        """The same one request after the other, as a caller sends them."""
        await self.begin(
            scripted_target.never_respond(),
            scripted_target.respond(),
            allowance=0.0,
        )
        self.router.placer.views["t1"].running = 1
        served = 0
        for _ in range(6):
            got = await self.ask("/a/x", Test_Patience="0.6")
            served += got.status == 200
        hung = len(self.targets[0].requests)
        print("one by one: hung target got", hung, "of 6; served", served)
        self.assertGreaterEqual(served, 3)


class TestPathTrial(SilenceCase):
    """Requests that try a path that was lost."""

    async def test_stream_that_has_begun_does_not_give_way(self):
        """Guards against a stream let go for a helper that gets none."""
        await self.begin_stream(scripted_target.respond_not_run())
        relay = self.router.relay
        resolve = relay.resolve

        def resolve_as_trial(*args):
            context = resolve(*args)
            context.is_path_trial = True
            return context

        relay.resolve = resolve_as_trial
        if hasattr(relay, "deps"):
            relay.deps.has_helper = lambda _context: True
        await self.assert_whole()


class TestSuspects(SilenceCase):
    """Requests that may crash targets."""

    async def test_request_that_a_second_target_broke_off(self):
        """Guards against a third target that ends under a suspect."""
        await self.begin_stream(
            scripted_target.reset_connection(),
            scripted_target.stream_events(6),
        )
        self.router.placer.views["t2"].running = 9
        verdict = mock.Mock(
            refused_seconds=0.0, count=1, fingerprint="f", together=(),
            condemned=False, crashes=(),
        )  # fmt: skip
        self.router.relay.crashes._suspected = lambda context: (
            [verdict] if context.broke_off else []
        )
        await self.assert_whole()
        self.assertEqual([1, 1, 0], self.requests())


class TestLargeFailure(SilenceCase):
    """Large answers of 5xx."""

    async def test_large_failure_is_bettered(self):
        """Guards against a failure where another target answers."""
        failing = scripted_target.respond(b"x" * 70000, status=500)
        await self.begin_stream(scripted_target.respond(), first=failing)
        got = await self.ask("/a/x")
        self.assertEqual((200, b"good"), (got.status, got.body))


class TestKeptFailure(SilenceCase):
    """Failures of a second target, while the first is late."""

    async def test_failure_of_the_second_is_kept(self):
        """Guards against 502 where a target has answered with 500."""

        async def break_late(_seen, writer):
            await asyncio.sleep(0.6)
            scripted_target.abort_connection(writer)

        failing = scripted_target.respond(b"broken", status=500)
        await self.begin_stream(failing, first=break_late)
        got = await self.ask("/a/x")
        self.assertEqual((500, b"broken"), (got.status, got.body))


class TestHangingSeconds(SilenceCase):
    """Second targets that hang, while the first one goes on later."""

    async def test_two_that_hang(self):
        """Guards against a usual time that targets which hang make long."""
        never = scripted_target.never_respond()
        await self.begin_stream(never, never, first=silent_stream(2.3))
        learn(self.router)
        await self.assert_whole()
        self.assertEqual([1, 1, 1], self.requests())


class TestState(SilenceCase):
    """What hedges leave behind."""

    async def run_many(self, second, first, leave=None):
        await self.begin_stream(second, first=first)
        learn(self.router, 0.05)
        asked = [
            asyncio.ensure_future(self.ask("/c/x", "POST")) for _ in range(12)
        ]
        if leave:
            await asyncio.sleep(leave)
            for task in asked:
                task.cancel()
        await asyncio.gather(*asked, return_exceptions=True)
        await asyncio.sleep(0.3)
        views = self.router.placer.views
        self.assertEqual([0, 3], [views[n].running for n in ("t0", "t1")])
        self.assertEqual([0, 0], [views[n].prefill_tokens for n in views])
        self.assertEqual(0, self.router.relay.answers.used)

    async def test_second_target_is_late(self):
        """Guards against counts that stay as the first target goes on."""
        late = scripted_target.respond_after(
            0.1, scripted_target.stream_events(6)
        )
        await self.run_many(late, silent_stream(1.3))

    async def test_caller_leaves(self):
        """Guards against counts that stay as a caller leaves."""
        late = scripted_target.respond_after(
            0.1, scripted_target.stream_events(6)
        )
        for leave in (1.25, 1.3, 1.5):
            await self.run_many(late, silent_stream(60.0), leave)

    async def test_error_in_the_hedge(self):
        """Guards against a hedge that ends for good, unseen."""
        await self.begin_stream(
            scripted_target.stream_events(6), first=silent_stream(60.0)
        )
        try_target = hedges.Hedge._try
        calls = []

        async def fail_once(hedge, target):
            calls.append(target)
            if len(calls) == 1:
                raise RuntimeError("a fault")
            return await try_target(hedge, target)

        with mock.patch.object(hedges.Hedge, "_try", fail_once):
            await self.assert_whole()

    async def test_waiting_requests_are_not_overtaken(self):
        """Guards against a hedge of a request that has waited before."""
        await self.begin_stream(scripted_target.stream_events(6))
        relay = self.router.relay
        resolve = relay.resolve

        def resolve_waited(*args):
            context = resolve(*args)
            context.waited_since = time.monotonic()
            return context

        relay.resolve = resolve_waited
        relay.queue._rivals = lambda _context: len(self.targets[0].requests)
        await self.assert_whole()
        self.assertEqual([1, 0], self.requests())
