"""The whole fleet as separate processes, under failure.

What callers were told is compared with what the stand-ins really ran.
"""

import asyncio
import itertools
import json
import random
import signal

from amaranthring.testing import load
from amaranthring.testing import local_fleet
from amaranthring.testing import tcp_relay
from tests import fleet_case

SEED = 20261202


class TestRollingRestart(fleet_case.FleetCase):
    """A planned stop of every router, one after the other."""

    async def test_nothing_is_lost_or_cut(self):
        """Operators replace all routers under load.

        A learner whose chat runs through a router that stops would see its
        answer end in the middle. The health check fails first, requests in
        progress end whole, then the process ends with 0; a second SIGTERM
        changes nothing.
        """
        balancer = asyncio.ensure_future(self.callers.run_health_checks())
        chats = asyncio.ensure_future(self.chat_until_stopped(max_tokens=20))
        codes = []
        for name in self.names:
            process = self.fleet.processes.pop(name)
            process.signal(signal.SIGTERM)
            await asyncio.sleep(0.3)
            codes.append(await self.blocking(process.stop))
            await self.blocking(self.fleet.start, name)
            await self.blocking(self.fleet.wait_ready, [name])
            await asyncio.sleep(2 * load.HEALTH_SECONDS)
        self.chatting = False
        await chats
        balancer.cancel()
        self.assertEqual(codes, [0] * self.routers)
        self.assertEqual(self.tally.refused, {})
        self.assertEqual((self.tally.truncated, self.tally.mismatched), (0, 0))
        self.assertGreater(self.tally.complete, 100)


class TestBookingsUnderFailure(fleet_case.FleetCase):
    """Routers and keepers die and freeze while callers book."""

    async def test_no_booking_is_lost_or_doubled(self):
        """Callers resend through other routers while processes fail.

        A learner books; the router dies, freezes or loses the keepers'
        leader before, between or after claim, call and settlement. The
        resend goes through another router. Two learners would sit in one
        car if the frozen router woke and sent its call again.
        """
        chance = random.Random(SEED)
        balancer = asyncio.ensure_future(self.callers.run_health_checks())
        faults = asyncio.ensure_future(self.fail(chance))
        told = {}

        async def book(number):
            await asyncio.sleep(number * 0.02)
            key = f"key-{number}-of-{SEED}"
            outcome, _ = await self.callers.book_until_final("s", key)
            told[key] = outcome

        await load.run_all(*[book(number) for number in range(200)])
        await faults
        balancer.cancel()
        self.assertEqual(len(told), 200)
        await self.blocking(self.assert_run_at_most_once, told)
        outcomes = list(told.values())
        self.assertGreater(outcomes.count("ran"), 150, outcomes)
        self.assertEqual(outcomes.count("not-run"), 0)

    async def fail(self, chance):
        frozen = []
        for _ in range(6):
            await asyncio.sleep(0.5)
            name = chance.choice([*self.names, "keeper-1", "keeper-2"])
            process = self.fleet.processes[name]
            if chance.random() < 0.5:
                process.pause()
                frozen.append(process)
            else:
                await self.blocking(process.kill)
                await self.blocking(self.fleet.start, name)
            if len(frozen) > 1:
                frozen.pop(0).resume()
        for process in frozen:
            process.resume()


class TestCrashingRequest(fleet_case.FleetCase):
    """One request crashes each engine that runs it."""

    routers = 3

    async def test_it_is_refused_and_the_innocent_are_not(self):
        """A caller sends the same request again after each crash.

        Without an end to it every engine would go, one after the other.
        Two engines die; then the request is refused for good, through every
        router. Chats that ran beside it end whole and are never refused.
        """
        running = [self.callers.chat(3, 30) for _ in range(12)]
        chats = asyncio.ensure_future(load.run_all(*running))
        await asyncio.sleep(0.1)
        bad = {
            "model": "m1",
            "messages": [{"role": "user", "content": "crash"}],
            "stand_in": {"fault": "crash", "at": 2},
        }
        other = load.Callers(list(self.callers.urls), self.callers.token)
        for _ in range(4):
            await other.ask(bad)
            if "quarantined" in other.tally.refused:
                break
        await chats
        self.assertEqual(self.tally.refused, {})
        self.assertEqual((self.tally.truncated, self.tally.mismatched), (0, 0))
        self.assertEqual(self.tally.complete, 36)
        dead = [
            name
            for name in ("engine-1", "engine-2", "engine-3")
            if self.fleet.processes[name].popen.poll() is not None
        ]
        self.assertLessEqual(len(dead), 2, dead)
        for url in list(other.urls):
            await self.assert_quarantined(url, bad)

    async def assert_quarantined(self, url, body):
        callers = load.Callers([url], self.callers.token)
        until = asyncio.get_running_loop().time() + 5.0
        while "quarantined" not in callers.tally.refused:
            self.assertLess(asyncio.get_running_loop().time(), until)
            await callers.ask(body)


class TestDataCentreCut(fleet_case.FleetCase):
    """One data centre is cut off from the other two."""

    map_addresses = True

    async def asyncSetUp(self):
        self.cuts = {}
        self.waiting = []
        await super().asyncSetUp()

    def reach(self, place, other, address):
        """Return a relay's address for one way between data centres."""
        key = (place, other, address)
        if key not in self.cuts:
            cut = tcp_relay.Relay(address)
            cut.port = local_fleet.free_ports(1)[0]
            self.cuts[key] = cut
        return self.cuts[key].address

    def start_processes(self):
        loop_calls = [self.listen(cut) for cut in self.cuts.values()]
        for call in loop_calls:
            asyncio.run_coroutine_threadsafe(call, self.loop).result(5)
        super().start_processes()

    async def listen(self, cut):
        await cut.start()
        self.addAsyncCleanup(cut.stop)

    async def blocking(self, call, *arguments):
        self.loop = asyncio.get_running_loop()
        return await super().blocking(call, *arguments)

    async def test_each_side_serves_what_it_can(self):
        """The network between viana and the others fails, then heals.

        Chats go on on both sides, each with its own engines. Bookings on
        the side without a quorum are refused as not run, with when to come
        back; the other side books on. After the healing an operator's
        change made meanwhile is in force on every router.
        """
        for (place, other, _), cut in self.cuts.items():
            if "viana" in (place, other):
                cut.block()
        await asyncio.sleep(5.0)
        inside = self.side("viana")
        outside = self.side("porto", "braga")
        for callers in (inside, outside):
            await load.run_all(*[callers.chat(2) for _ in range(5)])
            self.assertEqual(callers.tally.refused, {})
            self.assertEqual(callers.tally.complete, 10)
        await self.refused_without_quorum(inside)
        told, _ = await outside.book_until_final("s", "with-quorum")
        self.assertEqual(told, "ran")
        for cut in self.cuts.values():
            cut.heal()
        told, _ = await inside.book_until_final("s", "cut-off")
        self.assertEqual(told, "ran")
        keys = {"cut-off": "ran", "with-quorum": "ran"}
        await self.blocking(self.assert_run_at_most_once, keys)

    async def refused_without_quorum(self, callers):
        """Book until the router knows the cut; then it refuses at once."""
        loop = asyncio.get_running_loop()
        told, body = await callers.book("s", "cut-off")
        self.assertNotEqual(told, "ran")
        for number in itertools.count():
            began = loop.time()
            told, body = await callers.book("s", f"never-sent-{number}")
            code = json.loads(body)["error"]["code"]
            if code == "no-quorum":
                break
            self.assertEqual(told, "unknown")
        self.assertEqual(told, "not-run")
        self.assertLess(loop.time() - began, 3.0)
        self.assertGreater(json.loads(body)["error"]["retry_after"], 0)

    def side(self, *places):
        urls = [
            self.fleet.callers_url(name)
            for name in self.names
            if self.fleet.settings[name].process.data_centre in places
        ]
        return load.Callers(urls, local_fleet.ACCOUNTS["vanua"])
