"""Requests of which a router lets go before a helper has them for certain."""

import asyncio
import time
import unittest
from unittest import mock

from amaranthring import errors
from amaranthring import plan_router
from amaranthring import routing
from amaranthring.core import links
from amaranthring.handover import client as handover_client
from amaranthring.handover import messages
from amaranthring.policy import budgets
from amaranthring.testing import local_fleet
from amaranthring.testing import scripted_target
from tests import test_forwarding
from tests import test_handover

# Longer than the bound on a trial of the path, shorter than the route's.
LATE_SECONDS = 0.6
# Longer than a helper is given to accept a request.
STALL_SECONDS = 0.7
# A target may go on for 0.4 s while another one runs the request.
MAX_OVERLAP = 0.4


class HelperCase(test_handover.HandoverCase):
    """Base class: a router with one target that it takes for unreached."""

    async def begin_trial(self, script, *scripts):
        """Have the next request try the path to a target with `script`."""
        await self.begin_both(*scripts)
        paths = self.router.placer.paths
        for name in ("lost0", "lost1"):
            record = self.router.targets.entries[name].record
            self.router.placer.record_failure(record, reached=False)
        self.tried = scripted_target.ScriptedTarget("tried", script)
        await self.tried.start()
        self.addCleanup(self.tried.stop)
        self.router.targets.merge(self.tried.record())
        paths.reach.record_failure("s", "tried")
        self.assertTrue(paths.is_unreached("s"))
        trials = self.router.relay.handing_over.trials
        trials.may_try = lambda _service, _idempotent: True

    async def stall_helper(self, server, seconds=STALL_SECONDS):
        """Have the helper read its messages late."""
        handlers = server.server.handlers.by_class
        for kind in (messages.HandOver, messages.Cancel):
            handlers[kind] = _late(handlers[kind], seconds)


def _late(handle, seconds):
    async def handle_late(link, message):
        await asyncio.sleep(seconds)
        return handle(link, message)

    return handle_late


def late_answer(body=b"late"):
    """Return a script that answers after the bound on a trial of the path."""
    return scripted_target.respond_after(
        LATE_SECONDS, scripted_target.respond(body)
    )


class TestLostPath(HelperCase):
    """Requests whose target is late as the path to all targets is lost."""

    async def test_helper_gets_the_request(self):
        """Guards against waiting for a target that is not reached."""
        await self.begin_trial(
            scripted_target.never_respond(), scripted_target.respond()
        )
        reach = self.router.placer.paths.reach
        reach.record_answer("s")
        asked = asyncio.ensure_future(self.ask("/a/x"))
        await self.until(lambda: self.tried.requests)
        for name in ("lost0", "lost1", "tried"):
            reach.record_failure("s", name)
        got = await asked
        self.assertEqual((200, b"good"), (got.status, got.body))


class TestPathTrial(HelperCase):
    """Requests that try the path to targets that were not reached."""

    async def assert_late(self):
        got = await self.ask("/a/x")
        self.assertEqual((200, b"late"), (got.status, got.body))
        self.assertEqual(1, len(self.tried.requests))

    async def test_no_retry_is_left(self):
        """Guards against 502 for a late answer, as the budget is spent."""
        await self.begin_trial(late_answer(), scripted_target.respond())
        self.router.relay.retries.share = lambda: budgets.Share(
            0.0, 3, "starting"
        )
        await self.assert_late()

    async def test_no_helper_is_offered(self):
        """Guards against 502 for a late answer, as nobody else is there."""
        await self.begin_trial(late_answer(), scripted_target.respond())
        self.client.update({})
        await self.assert_late()

    async def test_helper_refuses(self):
        """Guards against 502 for a late answer, as the helper refuses."""
        await self.begin_trial(late_answer(), scripted_target.respond())
        self.refusal = errors.QueueFullError("busy", retry_after=0.3)
        await self.assert_late()

    async def test_helper_leaves_meanwhile(self):
        """Guards against a choice that was made when the trial began."""
        await self.begin_trial(late_answer(), scripted_target.respond())
        asked = asyncio.ensure_future(self.assert_late())
        await self.until(lambda: self.tried.requests)
        self.server.stop()
        await asked

    async def test_targets_of_the_helper_refuse(self):
        """Guards against 502 for a late answer, as nobody else takes it."""
        await self.begin_trial(
            late_answer(), scripted_target.respond_not_run()
        )
        await self.assert_late()

    async def test_targets_of_the_helper_fail(self):
        """Guards against a failure in the place of a late answer."""
        await self.begin_trial(
            late_answer(), scripted_target.respond(status=500)
        )
        await self.assert_late()

    async def test_helper_answers_early(self):
        """Guards against waiting for a path that is lost."""
        await self.begin_trial(
            scripted_target.never_respond(), scripted_target.respond()
        )
        got = await self.ask("/a/x")
        self.assertEqual((200, b"good"), (got.status, got.body))
        self.assertLess(got.seconds, 0.8)

    async def test_target_before_stops_in_time(self):
        """Guards against two targets that work on one request."""
        slow = scripted_target.respond_after(1.0, scripted_target.respond())
        await self.begin_trial(scripted_target.never_respond(), slow)
        asked = asyncio.ensure_future(self.ask("/a/x"))
        await self.until(self.ran)
        await self.until(lambda: self.tried.aborted)
        overlap = time.monotonic() - self.targets[0].requests[0].at
        self.assertLess(overlap, MAX_OVERLAP)
        self.assertEqual(200, (await asked).status)

    async def test_single_run_is_not_given_up(self):
        """Guards against a bound on requests that may run once only."""
        await self.begin_trial(late_answer(), scripted_target.respond())
        got = await self.ask("/b/x", "POST")
        self.assertEqual((200, b"late"), (got.status, got.body))
        self.assertEqual(0, self.ran())


class TestAcceptance(HelperCase):
    """Helpers that accept a request late."""

    async def test_single_run_waits_for_its_helper(self):
        """Guards against a request that is given up though none may follow."""
        await self.begin_both(scripted_target.respond())
        await self.stall_helper(self.server)
        got = await self.ask("/b/x", "POST")
        self.assertEqual((200, 1), (got.status, self.ran()))

    async def test_only_helper_is_waited_for(self):
        """Guards against a request given up for a helper that is not there."""
        await self.begin_both(scripted_target.respond())
        await self.stall_helper(self.server)
        got = await self.ask("/a/x")
        self.assertEqual((200, 1), (got.status, self.ran()))

    async def test_no_retry_is_left(self):
        """Guards against a request given up as the budget is spent."""
        await self.begin_both(scripted_target.respond())
        await self.stall_helper(self.server)
        await self.add_helper()
        self.choose_first()
        self.router.relay.retries.share = lambda: budgets.Share(
            0.0, 3, "starting"
        )
        got = await self.ask("/a/x")
        self.assertEqual((200, 1), (got.status, self.ran()))

    async def test_other_helper_refuses(self):
        """Guards against a request given up for a helper that refuses."""
        await self.begin_both(scripted_target.respond())
        await self.stall_helper(self.server)
        await self.add_helper()
        self.choose_first()
        self.refuse_others()
        got = await self.ask("/a/x")
        self.assertEqual(200, got.status)

    async def test_other_helper_takes_over(self):
        """Guards against waiting for a helper that is silent for good."""
        await self.begin_both(scripted_target.respond())
        await self.stall_helper(self.server, 60.0)
        await self.add_helper()
        self.choose_first()
        got = await self.ask("/a/x")
        self.assertEqual((200, 1), (got.status, self.ran()))
        self.assertLess(got.seconds, 1.0)

    async def test_caller_that_leaves_is_told_to_the_helper(self):
        """Guards against a wait for acceptance that outlives its caller."""
        await self.begin_both(scripted_target.never_respond())
        await self.stall_helper(self.server)
        asked = asyncio.ensure_future(self.ask("/b/x", "POST"))
        await asyncio.sleep(0.5)
        asked.cancel()
        await asyncio.gather(asked, return_exceptions=True)
        await asyncio.sleep(STALL_SECONDS + 0.2)
        self.assertEqual(
            len(self.targets[0].requests), self.targets[0].aborted
        )
        self.assertFalse(self.client.helpers[self.address].answers)

    async def test_link_that_closes_ends_the_wait(self):
        """Guards against a wait for a helper that has ended."""
        await self.begin_both(scripted_target.respond())
        await self.stall_helper(self.server)
        asked = asyncio.ensure_future(self.ask("/b/x", "POST"))
        await asyncio.sleep(0.5)
        self.server.stop()
        got = await asked
        self.assertEqual(502, got.status)
        self.assertLess(got.seconds, 1.0)

    def choose_first(self):
        """Have the router ask the helper that stalls first."""
        choose = self.client.choose

        def choose_first(service, tried):
            others = set(self.client.helpers) - {self.address}
            first = choose(service, {*tried, *others})
            return first or choose(service, tried)

        self.client.choose = choose_first

    def refuse_others(self):
        """Have all helpers but the first refuse."""

        def check(_service, _version):
            raise errors.QueueFullError("busy", retry_after=0.3)

        for server in self.others:
            server.check = check

    async def add_helper(self):
        """Offer a second helper to the router."""
        server, address = self.listen()
        self.others = [server]
        self.client.update({"s": [self.address, address]})
        await self.until(lambda: self.client.helpers[address].dialler.link)


class TestStoppedHelper(unittest.IsolatedAsyncioTestCase):
    """Requests at a helper that stops with time left."""

    @mock.patch.object(plan_router, "ROTATION_SECONDS", 0.0)
    async def test_request_runs_to_its_end(self):
        """Guards against a stop that ends what would end in time."""
        target = scripted_target.ScriptedTarget(
            "t0",
            scripted_target.respond_after(1.0, scripted_target.respond()),
        )
        await target.start()
        self.addCleanup(target.stop)
        *callers, peers = (
            f"127.0.0.1:{port}" for port in local_fleet.free_ports(4)
        )
        keys = links.Keys(test_handover.KEYS)
        router = plan_router.PlanRouter(
            plan_router.RouterConfig(
                "helper", "here", *callers, [], 0.0, 4.0, 0.2, 10.0, 10.0,
                peers=peers,
            ),
            keys,
            scripted_target.DIALECT,
            lambda document: None,
        )  # fmt: skip
        router.table = routing.RouteTable(test_forwarding.PLAN)
        router.subscriber.first_confirmed.set()
        router.subscriber.table.merge(target.record())
        router.start()
        self.addCleanup(self.end, router)
        client = handover_client.HandoverClient(
            test_handover.identity("router"), keys
        )
        self.addCleanup(client.stop)
        client.update({"s": [peers]})
        helper = client.helpers[peers]
        while helper.dialler.link is None:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        answer = handover_client.Answer(helper, 1)
        helper.answers[1] = answer
        request = messages.HandOver(
            1, "id", "POST", "/b/x", "h", [["Test-Id", "id"]], b"", 2.0, "",
            "", [], 0, "", 1, "s", 0,
        )  # fmt: skip
        await helper.dialler.call(request, 1.0)
        await asyncio.sleep(0.1)
        self.assertEqual(1, len(target.requests))
        stopping = asyncio.ensure_future(router.stop())
        head = await answer.read_head()
        self.assertEqual(200, head.status)
        self.assertEqual(b"good", await answer.read_all(lambda _: None))
        await stopping

    def end(self, router):
        for task in router.tasks:
            task.cancel()
