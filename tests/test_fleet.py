"""A whole fleet as separate processes, under failure.

Outcomes that callers received are compared with what the stand-ins ran.
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
    """A graceful restart of every router, one after the other."""

    async def test_no_request_fails_or_is_truncated(self):
        """Stopping a router must not truncate the answers that it streams.

        Requests in flight complete before the process exits with 0, also
        after a second SIGTERM.
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
    """Routers and keepers are killed and suspended during bookings."""

    async def test_bookings_are_not_lost_or_repeated(self):
        """A booking resent through other routers must run at most once.

        Routers and keepers are killed or suspended at any point of claim,
        call and settlement. A router that resumes must not repeat its call.
        """
        rng = random.Random(SEED)
        balancer = asyncio.ensure_future(self.callers.run_health_checks())
        faults = asyncio.ensure_future(self.inject_faults(rng))
        outcome_by_key = {}

        async def book(number):
            await asyncio.sleep(number * 0.02)
            key = f"key-{number}-of-{SEED}"
            outcome, _ = await self.callers.book_until_final("s", key)
            outcome_by_key[key] = outcome

        await load.run_all(*[book(number) for number in range(200)])
        await faults
        balancer.cancel()
        self.assertEqual(len(outcome_by_key), 200)
        await self.blocking(self.assert_run_at_most_once, outcome_by_key)
        outcomes = list(outcome_by_key.values())
        self.assertGreater(outcomes.count("ran"), 150, outcomes)
        self.assertEqual(outcomes.count("not-run"), 0)

    async def inject_faults(self, rng):
        suspended = []
        for _ in range(6):
            await asyncio.sleep(0.5)
            name = rng.choice([*self.names, "keeper-1", "keeper-2"])
            process = self.fleet.processes[name]
            if rng.random() < 0.5:
                process.pause()
                suspended.append(process)
            else:
                await self.blocking(process.kill)
                await self.blocking(self.fleet.start, name)
            if len(suspended) > 1:
                suspended.pop(0).resume()
        for process in suspended:
            process.resume()


class TestCrashingRequest(fleet_case.FleetCase):
    """A request that crashes each engine that runs it."""

    routers = 3

    async def test_it_is_quarantined_and_other_chats_complete(self):
        """Without quarantine, a resent request would crash every engine.

        After at most two crashes every router refuses the request. Chats
        that run beside it complete.
        """
        running = [self.callers.chat(3, 30) for _ in range(12)]
        chats = asyncio.ensure_future(load.run_all(*running))
        await asyncio.sleep(0.1)
        crashing = {
            "model": "m1",
            "messages": [{"role": "user", "content": "crash"}],
            "stand_in": {"fault": "crash", "at": 2},
        }
        other = load.Callers(list(self.callers.urls), self.callers.token)
        for _ in range(4):
            await other.ask(crashing)
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
            await self.assert_quarantined(url, crashing)

    async def assert_quarantined(self, url, body):
        callers = load.Callers([url], self.callers.token)
        deadline = asyncio.get_running_loop().time() + 5.0
        while "quarantined" not in callers.tally.refused:
            self.assertLess(asyncio.get_running_loop().time(), deadline)
            await callers.ask(body)


class TestDataCentreCut(fleet_case.FleetCase):
    """A network partition isolates one data centre from the others."""

    map_addresses = True

    async def asyncSetUp(self):
        self.relays = {}
        self.waiting = []
        await super().asyncSetUp()

    def reach(self, data_centre, other, address):
        """Return the address of a relay to `address`."""
        key = (data_centre, other, address)
        if key not in self.relays:
            relay = tcp_relay.Relay(address)
            relay.port = local_fleet.free_ports(1)[0]
            self.relays[key] = relay
        return self.relays[key].address

    def start_processes(self):
        starts = [self.listen(relay) for relay in self.relays.values()]
        for call in starts:
            asyncio.run_coroutine_threadsafe(call, self.loop).result(5)
        super().start_processes()

    async def listen(self, relay):
        await relay.start()
        self.addAsyncCleanup(relay.stop)

    async def blocking(self, call, *arguments):
        self.loop = asyncio.get_running_loop()
        return await super().blocking(call, *arguments)

    async def test_side_without_quorum_refuses_bookings(self):
        """Both sides of a partition serve chats with their own engines.

        The side without a quorum refuses bookings as not run, with a retry
        delay; the other side accepts them. After the partition heals, it
        accepts them too, and no booking has run twice.
        """
        for (data_centre, other, _), relay in self.relays.items():
            if "viana" in (data_centre, other):
                relay.block()
        await asyncio.sleep(5.0)
        inside = self.callers_in("viana")
        outside = self.callers_in("porto", "braga")
        for callers in (inside, outside):
            await load.run_all(*[callers.chat(2) for _ in range(5)])
            self.assertEqual(callers.tally.refused, {})
            self.assertEqual(callers.tally.complete, 10)
        await self.assert_refused_without_quorum(inside)
        outcome, _ = await outside.book_until_final("s", "with-quorum")
        self.assertEqual(outcome, "ran")
        for relay in self.relays.values():
            relay.heal()
        outcome, _ = await inside.book_until_final("s", "cut-off")
        self.assertEqual(outcome, "ran")
        keys = {"cut-off": "ran", "with-quorum": "ran"}
        await self.blocking(self.assert_run_at_most_once, keys)

    async def assert_refused_without_quorum(self, callers):
        """Book until the router refuses at once for lack of a quorum."""
        loop = asyncio.get_running_loop()
        outcome, body = await callers.book("s", "cut-off")
        self.assertNotEqual(outcome, "ran")
        for number in itertools.count():
            started_at = loop.time()
            outcome, body = await callers.book("s", f"never-sent-{number}")
            code = json.loads(body)["error"]["code"]
            if code == "no-quorum":
                break
            self.assertEqual(outcome, "unknown")
        self.assertEqual(outcome, "not-run")
        self.assertLess(loop.time() - started_at, 3.0)
        self.assertGreater(json.loads(body)["error"]["retry_after"], 0)

    def callers_in(self, *data_centres):
        urls = [
            self.fleet.callers_url(name)
            for name in self.names
            if self.fleet.settings[name].process.data_centre in data_centres
        ]
        return load.Callers(urls, local_fleet.ACCOUNTS["vanua"])


class TestRest(fleet_case.FleetCase):
    """An engine that asks for rest, under chats through all routers."""

    routers = 3
    rest_seconds = 4.0

    async def test_router_that_was_asked_sends_nothing(self):
        """Guards against grants of a target that rests for this router."""
        chats = asyncio.ensure_future(self.chat_until_stopped(max_tokens=5))
        fault = {"fault": "rest", "seconds": self.rest_seconds, "times": 1}
        await self.blocking(self.control, fault)
        async with asyncio.timeout(10.0):
            while not (rests := (await self.state())["rests"]):  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        router = rests[0].partition(".")[0]
        await asyncio.sleep(0.5)
        before = await self.runs_of(router)
        await asyncio.sleep(self.rest_seconds - 1.0)
        during = await self.runs_of(router)
        others = len((await self.state())["ran"])
        await asyncio.sleep(2.0)
        after = await self.runs_of(router)
        self.chatting = False
        await chats
        self.assertEqual(before, during)
        self.assertGreater(others, during)
        self.assertGreater(after, during)
        self.assertEqual(self.tally.refused, {})

    async def state(self):
        return await self.blocking(self.control)

    async def runs_of(self, router):
        """Return how many requests of `router` the engine ran."""
        ran = (await self.state())["ran"]
        return sum(
            run["request_id"].partition(".")[0] == router for run in ran
        )

    def control(self, fault=None):
        """Plan a fault of the first engine, or return its state."""
        process = self.fleet.processes["engine-1"]
        address = process.log.read_text().split()[1]
        base = f"http://{address}/control"
        if fault is None:
            _, body = local_fleet.http_get(f"{base}/ran")
        else:
            data = json.dumps(fault).encode()
            _, body = local_fleet.http_request(
                "POST", f"{base}/fault", body=data
            )
        return json.loads(body)
