"""Answers whose target is late, while another one cannot take over."""

import asyncio
import time

from amaranthring.policy import budgets
from amaranthring.registry import messages
from amaranthring.testing import scripted_target
from tests import test_forwarding

# Longer than the timeout between two events, shorter than the route's.
SILENCE = 2.0
EVENTS = b"".join(map(scripted_target.event, range(1, 7)))
# A target before may go on for 0.4 s while another one runs the request.
MAX_OVERLAP = 0.4


def silent_stream(silence=SILENCE):
    """Return a script of a stream that is silent after its third event."""
    return scripted_target.stream_events(6, silent_after=3, silence=silence)


class SilenceCase(test_forwarding.RouterCase):
    """Base class: the first target begins a stream, and is silent."""

    async def begin_stream(self, *others, first=None, **options):
        """Have t0 get the request, and `others` behind it."""
        await self.begin(first or silent_stream(), *others, **options)
        self.load_others()

    def load_others(self):
        for target in self.targets[1:]:
            self.router.placer.views[target.name].running = 3

    async def assert_whole(self, asked=None):
        got = await (asked or self.ask("/c/x", "POST"))
        self.assertEqual((200, EVENTS), (got.status, got.body))
        self.assertTrue(got.complete)
        return got

    def requests(self):
        return [len(target.requests) for target in self.targets]


class TestSilentTarget(SilenceCase):
    """Streams whose target goes on after a silence."""

    async def test_no_retry_is_left(self):
        """Guards against streams that are cut as the budget is spent."""
        await self.begin_stream(
            scripted_target.stream_events(6), allowance=0.0
        )
        await self.assert_whole()
        self.assertEqual([1, 0], self.requests())

    async def test_router_has_no_share_of_the_retries_yet(self):
        """Guards against streams cut by a router that has just started."""
        await self.begin_stream(scripted_target.stream_events(6))
        self.router.relay.retries.share = lambda: budgets.Share(
            0.0, 3, "starting"
        )
        await self.assert_whole()
        self.assertEqual([1, 0], self.requests())

    async def test_other_target_refuses(self):
        """Guards against streams cut as nobody takes them up."""
        await self.begin_stream(scripted_target.respond_not_run())
        await self.assert_whole()
        self.assertEqual([1, 1], self.requests())

    async def test_other_target_asks_for_rest(self):
        """Guards against streams cut as the other target rests."""
        await self.begin_stream(
            scripted_target.respond_not_run(Retry_After="5")
        )
        await self.assert_whole()

    async def test_other_target_does_not_listen(self):
        """Guards against streams cut as the other target is unreachable."""
        await self.begin_stream(scripted_target.stream_events(6))
        self.targets[1].stop()
        await self.assert_whole()

    async def test_other_target_resets_the_connection(self):
        """Guards against streams cut as the other target breaks off."""
        await self.begin_stream(scripted_target.reset_connection())
        await self.assert_whole()

    async def test_other_target_leaves_meanwhile(self):
        """Guards against a choice that was made when the silence began."""
        await self.begin_stream(scripted_target.stream_events(6))
        asked = asyncio.ensure_future(self.ask("/c/x", "POST"))
        await self.until(lambda: self.targets[0].requests)
        await asyncio.sleep(0.5)
        leaving = self.targets[1].record(
            state=messages.State.DRAINING, sequence=2
        )
        self.router.targets.merge(leaving)
        await self.assert_whole(asked)
        self.assertEqual([1, 0], self.requests())

    async def test_other_target_is_silent_too(self):
        """Guards against streams that depend on a second silent target."""
        await self.begin_stream(silent_stream())
        await self.assert_whole()

    async def test_other_target_answers_with_a_failure(self):
        """Guards against streams cut for an answer that is no stream."""
        await self.begin_stream(scripted_target.respond(status=500))
        await self.assert_whole()

    async def test_others_wait_for_room(self):
        """Guards against streams cut as other requests wait for targets."""
        await self.begin_stream(scripted_target.stream_events(6))
        self.router.relay.queue.others_wait = lambda _context: bool(
            self.targets[0].requests
        )
        await self.assert_whole()

    async def test_keys_are_not_trusted_meanwhile(self):
        """Guards against streams cut as keepers are not heard."""
        await self.begin_stream(scripted_target.stream_events(6))
        asked = asyncio.ensure_future(
            self.ask("/f/x", "POST", Test_Key="key-1")
        )
        await self.until(lambda: self.targets[0].requests)
        self.router.fresh = False
        await self.assert_whole(asked)
        self.assertEqual([1, 0], self.requests())


class TestTakeover(SilenceCase):
    """Streams that another target goes on with."""

    async def test_stream_goes_on_as_soon_as_a_retry_is_granted(self):
        """Guards against waiting for a target that is silent for good."""
        await self.begin_stream(
            scripted_target.stream_events(6), first=silent_stream(60.0)
        )
        got = await self.assert_whole()
        self.assertLess(got.seconds, 1.2 + 0.5)
        self.assertEqual([1, 1], self.requests())

    async def test_retry_that_is_granted_later_is_used(self):
        """Guards against a permission that is asked for once only."""
        await self.begin_stream(
            scripted_target.stream_events(6), first=silent_stream(60.0)
        )
        self.router.relay.retries.share = lambda: budgets.Share(
            0.0, 3, "starting"
        )
        asked = asyncio.ensure_future(self.ask("/c/x", "POST"))
        await asyncio.sleep(2.0)
        self.router.relay.retries.share = lambda: budgets.Share(1.0, 3)
        got = await self.assert_whole(asked)
        self.assertLess(got.seconds, 3.0)

    async def test_target_before_stops_in_time(self):
        """Guards against two targets that work on one request."""
        late = scripted_target.respond_after(
            1.0, scripted_target.stream_events(6)
        )
        await self.begin_stream(late, first=silent_stream(60.0))
        asked = asyncio.ensure_future(self.ask("/c/x", "POST"))
        await self.until(lambda: self.targets[0].requests)
        await asyncio.sleep(0.5)
        await self.until(lambda: self.targets[1].requests)
        await self.until(lambda: self.targets[0].aborted)
        overlap = time.monotonic() - self.targets[1].requests[0].at
        self.assertLess(overlap, MAX_OVERLAP)
        await self.assert_whole(asked)


class TestLateHead(test_forwarding.RouterCase):
    """Safe requests whose target answers late, but in time."""

    async def begin_late(self, *others, **options):
        late = scripted_target.respond_after(1.0, scripted_target.respond())
        await self.begin(late, *others, **options)
        for target in self.targets[1:]:
            self.router.placer.views[target.name].running = 3

    async def assert_answered(self):
        got = await self.ask("/a/x")
        self.assertEqual((200, b"good"), (got.status, got.body))
        return got

    async def test_no_retry_is_left(self):
        """Guards against 504 before the time, as the budget is spent."""
        await self.begin_late(scripted_target.respond(), allowance=0.0)
        await self.assert_answered()

    async def test_other_target_refuses(self):
        """Guards against 504 before the time, as nobody else takes it."""
        await self.begin_late(scripted_target.respond_not_run())
        await self.assert_answered()

    async def test_other_target_does_not_listen(self):
        """Guards against 504 as the other target is unreachable."""
        await self.begin_late(scripted_target.respond())
        self.targets[1].stop()
        await self.assert_answered()

    async def test_other_target_answers_with_a_failure(self):
        """Guards against a failure in the place of a late answer."""
        await self.begin_late(scripted_target.respond(status=500))
        await self.assert_answered()

    async def test_other_target_answers_early(self):
        """Guards against waiting for the first target alone."""
        await self.begin_late(scripted_target.respond())
        got = await self.assert_answered()
        self.assertLess(got.seconds, 0.5)


class TestFailure(test_forwarding.RouterCase):
    """Answers of 5xx that another target may better."""

    async def assert_failure(self, *others):
        failing = scripted_target.respond(b"broken", status=500)
        await self.begin(failing, *others)
        for target in self.targets[1:]:
            self.router.placer.views[target.name].running = 3
        got = await self.ask("/a/x")
        self.assertEqual((500, b"broken"), (got.status, got.body))

    async def test_other_target_refuses(self):
        """Guards against the loss of an answer for a retry in vain."""
        await self.assert_failure(scripted_target.respond_not_run())

    async def test_no_other_target_is_there(self):
        """Guards against the loss of an answer without a retry."""
        await self.assert_failure()

    async def test_other_target_breaks_off(self):
        """Guards against the loss of an answer for one that is broken."""
        await self.assert_failure(scripted_target.reset_connection())

    async def test_other_target_never_answers(self):
        """Guards against the loss of an answer for one that never comes."""
        await self.assert_failure(scripted_target.never_respond())


class TestOverlap(SilenceCase):
    """Two targets of which either may answer first."""

    def budget(self):
        return self.router.relay.retries.budgets["s"]

    async def test_first_target_goes_on_before_the_second_answers(self):
        """Guards against a second run beside an answer that goes on."""
        never = scripted_target.never_respond()
        await self.begin_stream(never, first=silent_stream(1.35))
        await self.assert_whole()
        await self.until(lambda: self.targets[1].aborted)
        self.assertEqual([1, 1], self.requests())
        self.assertEqual(1, len(self.budget().retries))

    async def test_first_target_breaks_off_while_the_second_is_asked(self):
        """Guards against a second retry where one is under way."""
        late = scripted_target.respond_after(
            0.15, scripted_target.stream_events(6)
        )

        async def fall_silent_and_end(seen, writer):
            silent = silent_stream(60.0)
            try:
                await asyncio.wait_for(silent(seen, writer), 1.28)
            except TimeoutError:
                scripted_target.abort_connection(writer)

        await self.begin_stream(late, first=fall_silent_and_end)
        await self.assert_whole()
        self.assertEqual([1, 1], self.requests())
        self.assertEqual(1, len(self.budget().retries))

    async def test_second_target_that_is_unusually_late_is_dropped(self):
        """Guards against a stream that goes to a target that hangs."""
        never = scripted_target.never_respond()
        await self.begin_stream(never)
        for _ in range(10):
            self.router.relay.deps.response_times.record("s", 0, 0.02)
        await self.assert_whole()
        self.assertEqual([1, 1], self.requests())
        self.assertEqual(1, self.targets[1].aborted)

    async def test_retry_that_was_not_sent_is_given_back(self):
        """Guards against a budget that is spent on unreachable targets."""
        await self.begin_stream(scripted_target.stream_events(6))
        self.targets[1].stop()
        await self.assert_whole()
        self.assertEqual(0, len(self.budget().retries))

    async def test_third_target_takes_over_from_two(self):
        """Guards against a hedge that only the first attempt may have."""
        await self.begin_stream(
            silent_stream(60.0),
            scripted_target.stream_events(6),
            first=scripted_target.stream_events(
                6, silent_after=2, silence=60.0
            ),
        )
        self.router.placer.views["t2"].running = 9
        await self.assert_whole()
        self.assertEqual([1, 1, 1], self.requests())

    async def test_stream_that_has_not_begun(self):
        """Guards against failures before the first event of a stream."""
        late = scripted_target.respond_after(
            1.0, scripted_target.stream_events(6)
        )
        await self.begin_stream(
            scripted_target.respond_not_run(), first=late, allowance=0.0
        )
        for _ in range(10):
            self.router.relay.deps.response_times.record("s", 0, 0.02)
        await self.assert_whole()
        self.assertEqual([1, 0], self.requests())

    async def test_no_target_is_at_work_after_the_caller_has_left(self):
        """Guards against runs that go on for a caller that is gone."""
        never = scripted_target.never_respond()
        await self.begin_stream(never, first=silent_stream(60.0))
        asked = asyncio.ensure_future(self.ask("/c/x", "POST"))
        await asyncio.sleep(1.0)
        await self.until(lambda: self.targets[1].requests)
        asked.cancel()
        await self.until(lambda: self.targets[0].aborted)
        await self.until(lambda: self.targets[1].aborted)
        running = self.router.placer.in_flight()
        self.assertEqual({}, {k: v for k, v in running.items() if v != 3})
