"""Many routers that wait in the keepers' queues for one whole plan."""

import asyncio
import collections
import os
import time
import unittest
from unittest import mock

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import pacing
from amaranthring.keepers import deltas
from amaranthring.keepers import plans
from amaranthring.registry import fetching
from amaranthring.registry import messages
from amaranthring.registry import plan_source
from amaranthring.registry import subscriber
from amaranthring.testing import plan_keepers
from tests import keepers_case

ROUTERS = 60
PLAN_BYTES = 100_000
# Bytes a second that each keeper may send; all plans take 5 s.
PACED_RATE = 400_000.0
# For links that open, and until a router has asked every keeper.
ALLOWANCE_SECONDS = 2 * fetching.HEDGE_SECONDS


class TestQueue(keepers_case.KeepersCase):
    """Queues that last longer than a router once waited for an answer."""

    async def prepare(self):
        self.keepers.use_product_timing()
        self.keepers.auto_admit = False

    async def test_no_router_starts_again_at_the_end_of_the_queue(self):
        """A router must not give up a plan that a keeper is yet to send.

        The keeper sends it nevertheless, and the router asks again at the end
        of the queue, so that with larger plans none arrives in time.
        """
        keepers = list(self.keepers.running.values())
        document = os.urandom(PLAN_BYTES)
        await self.keepers.put(1, document, self.leader.config.address)
        await plan_keepers.wait_until(
            lambda: all(k.machine.version == 1 for k in keepers)
        )
        for keeper in keepers:
            keeper.pacer.rate = PACED_RATE
        needed = ROUTERS * len(self.leader.machine.body)
        seconds = 1.5 * needed / (len(keepers) * PACED_RATE)
        began = time.monotonic()
        held = self.subscribe()
        sent = await self.wait(keepers, held, seconds + ALLOWANCE_SECONDS)
        took = time.monotonic() - began
        seen = f"after {took:.1f} s, {sent / needed:.2f} times the bytes"
        self.assertEqual(ROUTERS, sum(map(bool, held)), seen)
        self.assertLess(sent, 1.3 * needed, seen)

    def subscribe(self):
        """Start the routers; return the list of plans that each one holds."""
        held = [[] for _ in range(ROUTERS)]
        for number, documents in enumerate(held):
            router = plan_keepers.make_subscriber(
                f"router-{number}", self.keepers.seeds, documents
            )
            self.addCleanup(router.stop)
        return held

    async def wait(self, keepers, held, seconds):
        """Wait for all plans; return the bytes sent for them."""
        try:
            await plan_keepers.wait_until(lambda: all(held), seconds)
        except TimeoutError:
            pass
        # Requests that are left in a queue would be answered now.
        await asyncio.sleep(0.5)
        return sum(k.handlers.sent["registry-plan"] for k in keepers)


class TestWaitingRequests(unittest.IsolatedAsyncioTestCase):
    """Requests in the queue of one keeper."""

    def setUp(self):
        self.machine = plans.PlanStateMachine()
        self.sent = collections.Counter()
        self.pacer = pacing.Pacer(self.sent, time.monotonic, 10_000.0)
        self.source = plan_source.PlanSource(self.machine, self.pacer)
        self.put(1)

    def put(self, version):
        document = b"plan %d" % version + bytes(range(256)) * 20
        put = plans.PutPlan(version, plans.compress(document))
        self.machine.apply(version, 0.0, put)
        self.source.record_version()
        return document

    def request(self, router, held=-1):
        """Return a request that waits for 0.2 s."""
        self.sent["others"] += 2000
        return asyncio.ensure_future(self.source.fetch(held, router))

    async def test_newest_version_is_sent_in_turn(self):
        waiting = self.request(object())
        await asyncio.sleep(0.02)
        newest = self.put(2)
        plan = await waiting
        self.assertEqual(2, plan.version)
        self.assertEqual(newest, plans.decompress(plan.body))

    async def test_delta_is_to_the_version_taken_meanwhile(self):
        """A delta to the version held before the wait would be dropped.

        The router took a plan from another keeper since, so it would ask for
        a third one.
        """
        router = object()
        self.put(2)
        waiting = self.request(router, held=1)
        await asyncio.sleep(0.02)
        base = self.source.history[2]
        self.source.note_held(router, 2)
        newest = self.put(3)
        plan = await waiting
        self.assertEqual((3, 2), (plan.version, plan.base))
        self.assertEqual(newest, deltas.apply(base, plan.body))

    async def test_request_of_a_closed_link_leaves_the_queue(self):
        """A plan for a router that is gone would delay all others."""
        handlers = links.Handlers()
        handlers.add(messages.FetchPlan, self.fetch)
        server = links.LinkServer(
            links.Identity("keeper", "keeper", "here"),
            plan_keepers.KEYS,
            handlers,
        )
        self.addCleanup(server.close_all)
        server.listen(0, "127.0.0.1")
        [sock] = server._sockets.values()
        dialler = links.Dialler(
            f"127.0.0.1:{sock.getsockname()[1]}",
            links.Identity("router", messages.ROUTER_ROLE, "here", 1),
            plan_keepers.KEYS,
            links.Handlers(),
        )
        dialler.start()
        await plan_keepers.wait_until(lambda: dialler.link)
        self.sent["others"] += 10_000
        call = asyncio.ensure_future(
            dialler.call(messages.FetchPlan(held=-1), None)
        )
        await plan_keepers.wait_until(lambda: self.pacer.waiters == 1)
        dialler.stop()
        with self.assertRaises(errors.LinkClosedError):
            await call
        await plan_keepers.wait_until(lambda: self.pacer.waiters == 0, 0.5)
        self.assertEqual(0, handlers.sent["registry-plan"])

    async def fetch(self, link, message):
        return await self.source.fetch(message.held, link)


class TestSilentKeeper(keepers_case.KeepersCase):
    """A keeper that does not answer a request for its plan."""

    async def test_next_keeper_is_asked(self):
        """A keeper that never sends its plan must not stop a router.

        Its link may stay open for as long as other bytes arrive on it.
        """
        await self.keepers.put(1, b"one")
        keepers = list(self.keepers.running.values())
        for mute in keepers:
            with self.subTest(mute=mute.config.address):
                await self.check_with(mute, keepers)

    async def check_with(self, mute, keepers):
        handlers = mute.handlers.by_class
        with mock.patch.dict(handlers, {messages.FetchPlan: never}):
            held = []
            router = plan_keepers.make_subscriber(
                mute.config.address, self.keepers.seeds, held
            )
            self.addCleanup(router.stop)
            limit = 2 * fetching.HEDGE_SECONDS
            await plan_keepers.wait_until(lambda: held, limit)


async def never(_link, _message):
    """Handle a request without an answer."""
    await asyncio.Event().wait()


class TestRenewals(keepers_case.KeepersCase):
    """Renewals that the keepers answer late or not at all."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for name, seconds in (("REPLY", 0.3), ("RENEW", 0.1)):
            patch = mock.patch.object(subscriber, f"{name}_SECONDS", seconds)
            patch.start()
            self.addCleanup(patch.stop)

    async def subscribe(self, answer):
        """Return a router, linked to keepers that handle renewals so."""
        for keeper in self.keepers.running.values():
            keeper.handlers.by_class[messages.Renew] = answer
        router = plan_keepers.make_subscriber("router", self.keepers.seeds, [])
        self.addCleanup(router.stop)
        await plan_keepers.wait_until(lambda: len(router.open_links()) == 3)
        return router

    async def test_late_reply_counts_if_bytes_arrive(self):
        """A renewal may wait behind a plan that is still on its way.

        A link that is closed meanwhile loses the plan, and a renewal that is
        given up is asked again at the end of the queue.
        """

        async def late(link, message):
            await asyncio.sleep(3 * subscriber.REPLY_SECONDS)
            return await self.leader.hub._on_renew(link, message)

        router = await self.subscribe(late)
        before = router.open_links()
        for number in range(25):
            await asyncio.sleep(0.05)
            record = messages.TargetRecord(
                "a", "s", "v:1", "here", sequence=number
            )
            for keeper in self.keepers.running.values():
                for link in keeper.hub.routers:
                    link.send(messages.Targets([record]))
        self.assertEqual(before, router.open_links())
        self.assertGreater(router.answered_at, 0)

    async def test_silent_link_is_closed(self):
        """A keeper without power must not keep a router from another."""
        router = await self.subscribe(never)
        before = router.open_links()
        await plan_keepers.wait_until(
            lambda: all(link.closed for link in before),
            4 * subscriber.REPLY_SECONDS,
        )
