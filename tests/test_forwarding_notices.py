"""Targets that ask for rest, or say in an answer that they leave."""

import asyncio
import time
from unittest import mock

from amaranthring.core import clocks
from amaranthring.testing import in_process_routers
from amaranthring.testing import scheduling
from amaranthring.testing import scripted_target
from tests import test_forwarding

LEAVING = {scripted_target.LEAVING.replace("-", "_"): "1"}


class NoticeCase(test_forwarding.RouterCase):
    """Base class: requests one after the other, and when they arrived."""

    async def keep_asking(self, seconds, *paths, interval=0.04, **headers):
        """Send requests for `seconds`; return the responses."""
        got = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            path = paths[len(got) % len(paths)]
            got.append(await self.ask(path, "POST", **headers))
            await asyncio.sleep(interval)
        return got

    def arrivals(self, number, since):
        """Return when requests reached a target, in seconds from `since`."""
        times = [seen.at - since for seen in self.targets[number].requests]
        return [seconds for seconds in times if seconds > 0]

    def prefer(self, number):
        """Make a target the first choice, as it has the least load."""
        for other in range(len(self.targets)):
            view = self.router.placer.views[f"t{other}"]
            view.running = 0 if other == number else 5


class TestRest(NoticeCase):
    """Targets that answer 503 with ``Retry-After``."""

    async def test_resting_target_gets_no_request(self):
        """Guards against sending on to a target that asked for rest."""
        for path in ("/a/x", "/b/x", "/c/x"):
            for keep_alive in (False, True):
                answer = scripted_target.respond()
                await self.begin(
                    scripted_target.ask_for_rest(30.0, answer), answer
                )
                for target in self.targets:
                    target.keep_alive = keep_alive
                self.prefer(0)
                first = await self.ask(path, "POST")
                asked_at = time.monotonic()
                later = await self.keep_asking(1.0, path)
                self.assertEqual(
                    {200}, {got.status for got in [first, *later]}
                )
                self.assertEqual([], self.arrivals(0, asked_at))

    async def test_callers_hear_at_once_when_all_targets_rest(self):
        """Guards against a time to come back that is too short."""
        await self.begin(
            scripted_target.respond_not_run(Retry_After="2"),
            scripted_target.respond_not_run(Retry_After="4"),
        )
        clock = in_process_routers.Clock()
        self.router.placer.rests.clock = clock
        until = clock.now + 2.0
        await self.ask("/a/x", "POST")
        async with scheduling.Watch() as watch:
            for path in ("/a/x", "/b/x", "/c/x", "/a/y", "/a/x"):
                asked_at = time.monotonic()
                got = await self.ask(path, "POST", Test_Patience="30")
                self.assertEqual(503, got.status)
                self.assertLess(got.seconds, 0.2 + watch.waited(asked_at))
                told = float(got.headers["Retry-After"])
                self.assertAlmostEqual(until - clock.now, told, delta=0.002)
                # The trials for "/b/x" begin the rests anew at that time.
                clock.now += 0.0 if path == "/a/x" else 0.13
        # The second caller tried both, which showed that their rests are not
        # on account of the first; nobody tries again.
        self.assertEqual([2, 2], [len(one.requests) for one in self.targets])

    async def test_target_is_used_again_after_its_rest(self):
        """Guards against a rest that never ends."""
        await self.begin(
            scripted_target.ask_for_rest(0.6, scripted_target.respond())
        )
        got = await self.ask("/a/x")
        self.assertEqual(503, got.status)
        await asyncio.sleep(float(got.headers["Retry-After"]))
        self.assertEqual(200, (await self.ask("/a/x")).status)

    async def test_longest_rest_counts(self):
        """Guards against a shorter rest that ends a longer one."""
        seconds = iter(("30", "0.2", "0.2"))

        async def refuse(seen, writer):
            rest = next(seconds)
            await self.until(lambda: len(self.targets[0].requests) == 3)
            if rest != "30":
                # The longest one is asked for first.
                await self.until(lambda: self.router.placer.rests.left("t0"))
            script = scripted_target.respond_not_run(Retry_After=rest)
            await script(seen, writer)

        await self.begin(refuse, scripted_target.respond())
        self.prefer(0)
        # Of this kind, as the router lets go of a safe request that is not
        # answered in time and hears no notice in its answer.
        await asyncio.gather(*(self.ask("/b/x") for _ in range(3)))
        self.assertEqual(3, len(self.targets[0].requests))
        # Nothing but its rest keeps requests away.
        self.router.placer.record_success(self.targets[0].record())
        self.prefer(0)
        asked_at = time.monotonic()
        await self.keep_asking(1.0, "/a/x")
        self.assertEqual([], self.arrivals(0, asked_at))

    async def test_target_that_asks_for_rest_during_a_connect(self):
        """Guards against sending what was placed before the rest."""
        await self.begin(scripted_target.respond(), scripted_target.respond())
        self.prefer(0)
        connect = asyncio.open_connection

        async def ask_meanwhile(*args, **more):
            self.router.placer.rests.begin("t0", 5.0, "another")
            return await connect(*args, **more)

        with mock.patch("asyncio.open_connection", ask_meanwhile):
            got = await scripted_target.send_request(
                self.router.address, "/b/x", "POST", connect=connect
            )
        self.assertEqual(200, got.status)
        self.assertEqual([0, 1], [len(one.requests) for one in self.targets])

    async def test_stream_is_not_resumed_at_a_resting_target(self):
        """Guards against resuming a stream at a resting target."""
        await self.begin(
            scripted_target.stream_events(6, breaks_after=3),
            scripted_target.stream_events(6),
            scripted_target.stream_events(6),
        )
        self.prefer(0)
        self.router.placer.rests.begin("t1", 5.0, "another")
        got = await self.ask("/c/x", "POST")
        self.assertTrue(got.complete)
        self.assertEqual(
            [1, 0, 1], [len(one.requests) for one in self.targets]
        )

    async def test_only_target_that_does_not_rest_may_be_slow(self):
        """Guards against 502 when the only other target rests."""

        async def slow(seen, writer):
            await asyncio.sleep(0.6)
            await scripted_target.respond()(seen, writer)

        async def slow_stream(seen, writer):
            more = {"Content_Type": "text/event-stream"}
            writer.write(scripted_target.response_head(seen, **more))
            for number in (1, 2):
                writer.write(scripted_target.event(number))
                await asyncio.sleep(1.5)

        for path, script in (("/a/x", slow), ("/c/x", slow_stream)):
            await self.begin(scripted_target.respond(), script)
            for _ in range(10):
                self.router.relay.deps.response_times.record("s", 0, 0.02)
            self.router.placer.rests.begin("t0", 5.0, "another")
            got = await self.ask(path, "POST")
            self.assertEqual((200, True), (got.status, got.complete))
            self.assertEqual(1, self.ran())

    async def test_next_target_at_an_address_does_not_rest(self):
        """Guards against a rest that outlives its target."""
        await self.begin(
            scripted_target.ask_for_rest(5.0, scripted_target.respond())
        )
        await self.ask("/a/x")
        record = self.targets[0].record()
        self.router.targets.mark_gone("t0")
        record.id = record.name = "t0-next"
        self.router.targets.merge(record)
        self.assertEqual(200, (await self.ask("/a/x")).status)

    async def test_rest_asked_in_answer_to_another_request(self):
        """Guards against a rest lost with a late answer."""
        answers = [
            scripted_target.respond(),
            scripted_target.respond_not_run(Retry_After="5"),
            scripted_target.respond(),
        ]

        async def script(seen, writer):
            earlier = scripted_target.Seen(
                seen.method, seen.uri, {scripted_target.ID: "r0"}, b"", 0.0
            )
            if len(self.targets[0].requests) == 2:
                await answers[1](earlier, writer)
            await answers[2](seen, writer)

        await self.begin(script)
        self.targets[0].keep_alive = True
        for _ in range(2):
            self.assertEqual(200, (await self.ask("/a/x")).status)
        got = await self.ask("/a/x")
        self.assertEqual((503, 2), (got.status, self.ran()))

    async def test_malformed_rest_keeps_no_request_away(self):
        """Guards against losing a target to a malformed header."""
        for value in ("", "soon", "-1", "nan", "1e9", "99999999", "3, 4"):
            await self.begin(
                scripted_target.respond_not_run(Retry_After=value),
            )
            for _ in range(2):
                self.assertEqual(503, (await self.ask("/a/x")).status)
            self.assertEqual(2, self.ran())


class TestChargedRests(NoticeCase):
    """Callers whose requests make targets rest."""

    def odd_targets(self, number, seconds="2"):
        """Return targets that ask for rest instead of running odd requests."""

        async def script(seen, writer):
            if "odd" in seen.uri:
                answer = scripted_target.respond_not_run(Retry_After=seconds)
            else:
                answer = scripted_target.respond()
            await answer(seen, writer)

        return [script] * number

    async def test_repeated_request_leaves_targets_for_others(self):
        """Guards against one request that makes all targets rest."""
        await self.begin(*self.odd_targets(3))
        # On a slow machine the requests would come after the time in which
        # others may try any number of times.
        started_at = clocks.boottime()
        self.router.placer.rests.clock = lambda: started_at
        for _ in range(3):
            self.assertEqual(503, (await self.ask("/a/odd")).status)
            self.assertEqual(200, (await self.ask("/a/x")).status)
            self.assertEqual(200, (await self.ask("/b/x", "POST")).status)

    async def test_suspect_makes_one_target_rest_at_a_time(self):
        """Guards against one account that makes all targets rest."""
        await self.begin(*self.odd_targets(2, seconds="0.4"))
        got = await self.ask("/e/odd", Test_Key="key-1")
        self.assertEqual(503, got.status)
        await asyncio.sleep(0.45)
        end = time.monotonic() + 1.5
        while time.monotonic() < end:
            got = await self.ask(f"/e/odd-{end}", Test_Key="key-1")
            self.assertEqual(503, got.status)
            self.assertLessEqual(float(got.headers["Retry-After"]), 0.4)
            self.assertEqual(200, (await self.ask("/a/x")).status)
            await asyncio.sleep(0.02)

    async def test_trials_keep_the_bound_of_a_rest(self):
        """Guards against too many trials of a resting target."""
        await self.begin(*self.odd_targets(3, seconds="2"))
        await self.ask("/e/odd", Test_Key="key-1")
        asked_at = time.monotonic()
        got = await self.keep_asking(1.8, "/a/x")
        self.assertIn(200, {one.status for one in got})
        for number in range(3):
            arrivals = self.arrivals(number, asked_at)
            late = [at for at in arrivals if 0.5 < at <= 2.0]
            self.assertLessEqual(len(late), 1)

    async def test_one_of_many_targets_is_left(self):
        """Guards against refusing what the last target would run."""
        rest = scripted_target.respond_not_run(Retry_After="5")
        await self.begin(rest, rest, rest, scripted_target.respond())
        self.router.placer.views["t3"].running = 5
        for number in range(5):
            got = await self.ask(f"/b/{number}", "POST")
            self.assertEqual(200, got.status)
        ran = [len(target.requests) for target in self.targets]
        self.assertEqual([1, 1, 1, 5], ran)

    async def test_caller_is_cleared_as_soon_as_a_target_accepts(self):
        """Guards against holding a caller back during its answer."""

        async def stream(seen, writer):
            more = {"Content_Type": "text/event-stream"}
            writer.write(scripted_target.response_head(seen, **more))
            await asyncio.sleep(0.5)
            writer.write(scripted_target.event(1))

        rest = scripted_target.respond_not_run(Retry_After="5")
        await self.begin(rest, rest, stream)
        self.router.placer.views["t2"].running = 5
        streaming = asyncio.ensure_future(
            self.ask("/e/x", "POST", Test_Key="key-1")
        )
        await self.until(lambda: self.targets[2].requests)
        await asyncio.sleep(0.1)
        got = await self.ask("/e/x", "POST", Test_Key="key-1")
        self.assertEqual([200, 200], [got.status, (await streaming).status])

    async def test_caller_is_cleared_when_another_target_accepts(self):
        """Guards against charging callers with rests of targets."""
        good = scripted_target.respond()
        resting = scripted_target.ask_for_rest(5.0, good)
        await self.begin(
            scripted_target.ask_for_rest(5.0, good),
            scripted_target.ask_for_rest(5.0, good),
            lambda *call: (
                resting if len(self.targets[2].requests) > 1 else good
            )(*call),
            good,
            good,
        )
        for number in range(5):
            self.router.placer.views[f"t{number}"].running = number
        for _ in range(4):
            got = await self.ask("/e/x", Test_Key="key-1")
            self.assertEqual(200, got.status)
        ran = [len(target.requests) for target in self.targets]
        self.assertEqual([1, 1, 2, 3, 0], ran)


class TestLeaving(NoticeCase):
    """Targets that say in an answer that they leave."""

    async def test_target_that_says_it_leaves_gets_no_request(self):
        """Guards against departures that only announcements tell."""
        await self.begin(
            scripted_target.respond(**LEAVING), scripted_target.respond()
        )
        self.prefer(0)
        self.assertEqual(200, (await self.ask("/a/x")).status)
        told_at = time.monotonic()
        later = await self.keep_asking(1.0, "/a/x", "/b/x", "/c/x")
        self.assertEqual({200}, {got.status for got in later})
        self.assertEqual([], self.arrivals(0, told_at))

    async def test_any_answer_tells(self):
        """Guards against departures lost with a failed answer."""

        def foreign(seen):
            seen.headers[scripted_target.ID] = "another"
            return scripted_target.response_head(
                seen, Content_Length="0", **LEAVING
            )

        for answer in (
            scripted_target.respond_not_run(**LEAVING),
            scripted_target.respond(status=500, **LEAVING),
            scripted_target.respond(signed=False, **LEAVING),
            scripted_target.raw(foreign),
        ):
            await self.begin(answer, scripted_target.respond())
            self.prefer(0)
            await self.ask("/a/x")
            told_at = time.monotonic()
            await self.keep_asking(0.3, "/a/x")
            self.assertEqual([], self.arrivals(0, told_at))

    async def test_stream_in_progress_ends_whole(self):
        """Guards against cutting off streams of a leaving target."""

        async def stream(seen, writer):
            more = {"Content_Type": "text/event-stream"} | LEAVING
            writer.write(scripted_target.response_head(seen, **more))
            for number in range(1, 4):
                writer.write(scripted_target.event(number))
                await asyncio.sleep(0.1)

        await self.begin(stream, scripted_target.stream_events(3))
        self.prefer(0)
        streaming = asyncio.ensure_future(self.ask("/d/x", "POST"))
        await asyncio.sleep(0.1)
        await self.ask("/d/x", "POST")
        got = await streaming
        self.assertEqual(
            b"".join(map(scripted_target.event, range(1, 4))), got.body
        )
        self.assertEqual([1, 1], [len(one.requests) for one in self.targets])

    async def test_late_announcement_does_not_bring_it_back(self):
        """Guards against late announcements of a leaving target."""
        await self.begin(scripted_target.respond(**LEAVING))
        self.assertEqual(200, (await self.ask("/a/x")).status)
        for sequence in (1, 2):
            record = self.targets[0].record()
            record.sequence = sequence
            self.router.targets.merge(record)
            got = await self.ask("/a/x")
            self.assertEqual(503, got.status)
            self.assertIn("Retry-After", got.headers)
        self.assertEqual(1, self.ran())

    async def test_next_target_at_its_address_gets_requests(self):
        """Guards against a departure that outlives its target."""
        await self.begin(scripted_target.respond(**LEAVING))
        self.assertEqual(200, (await self.ask("/a/x")).status)
        record = self.targets[0].record()
        record.id = record.name = "t0-next"
        self.router.targets.merge(record)
        self.assertEqual(200, (await self.ask("/a/x")).status)

    async def test_malformed_value_keeps_no_request_away(self):
        """Guards against losing a target to a malformed header."""
        for value in ("", "0", "yes", "1, 1"):
            header = dict.fromkeys(LEAVING, value)
            await self.begin(scripted_target.respond(**header))
            for _ in range(2):
                self.assertEqual(200, (await self.ask("/a/x")).status)

    async def test_answer_of_the_next_target_at_its_address(self):
        """Guards against a notice ascribed to another target."""
        await self.begin(
            scripted_target.respond_not_run(421, Retry_After="5", **LEAVING)
        )
        await self.ask("/a/x")
        self.assertEqual({}, self.router.placer.rests.by_target)
        self.assertNotIn(
            "target.says-leaving", self.router.relay.metrics.counters
        )
