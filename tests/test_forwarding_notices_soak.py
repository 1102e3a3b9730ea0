"""Random rests, departures and restarts under callers, by seed.

``NOTICES_SOAK_SEED`` chooses the series, ``NOTICES_SOAK_SECONDS`` its length
and ``NOTICES_SOAK_SCALE`` multiplies routers, targets and callers.
"""

import asyncio
import collections
import contextlib
import os
import random
import time
import unittest

from amaranthring.registry import messages
from amaranthring.testing import compliance
from amaranthring.testing import scripted_target
from tests import test_forwarding

SEED = os.environ.get("NOTICES_SOAK_SEED", "1")
SECONDS = float(os.environ.get("NOTICES_SOAK_SECONDS", "12"))
SCALE = int(os.environ.get("NOTICES_SOAK_SCALE", "1"))
ROUTERS = 3 * SCALE
TARGETS = 4 * SCALE
CALLERS = 12 * SCALE
MALFORMED = ("", "soon", "-1", "1e9", "nan", "2, 3")
PATHS = ("/a/x", "/b/x", "/c/x", "/e/x")
ROUTER = "X-Router"
SENT = "X-Sent"


class RestlessTarget(scripted_target.ScriptedTarget):
    """A target that rests and leaves when told to, and keeps records."""

    def __init__(self, name, rng):
        super().__init__(name, self.answer, keep_alive=True)
        self.rng = rng
        self.resting_until = 0.0
        self.rest = ""
        self.leaving = False
        self.told = collections.defaultdict(compliance.Told)
        self.ran = collections.Counter()

    async def answer(self, seen, writer):
        """Answer one request as the state demands."""
        now = time.monotonic()
        told = self.told[seen.headers[ROUTER]]
        told.arrivals.append((now, float(seen.headers[SENT])))
        leaves, rests, is_reset = self.leaving, now < self.resting_until, False
        more = {}
        if leaves:
            more[scripted_target.LEAVING.replace("-", "_")] = "1"
        if rests:
            more["Retry_After"] = self.rest
            answer = scripted_target.respond_not_run(**more)
        else:
            self.ran[seen.headers[scripted_target.ID]] += 1
            await asyncio.sleep(self.rng.uniform(0.0, 0.05))
            is_reset = self.rng.random() < 0.03
            if is_reset:
                answer = scripted_target.reset_connection()
            else:
                answer = scripted_target.respond(**more)
        # A reset tells nothing, nor does an answer to a router that has let
        # go of the request, as this process was late.
        is_heard = not is_reset and scripted_target.is_open(writer)
        if is_heard and leaves:
            told.leaving_at = min(told.leaving_at, now)
        if is_heard and rests:
            told.ask_for_rest(now, self.rest)
        await answer(seen, writer)


class TestNoticesSoak(unittest.IsolatedAsyncioTestCase):
    """Rests, departures, restarts of routers and targets that overlap."""

    async def asyncSetUp(self):
        self.rng = random.Random(SEED)
        self.names = 0
        self.all_targets = []
        self.targets = []
        self.routers = [self.new_router() for _ in range(ROUTERS)]
        self.stopped = False
        self.outcomes = collections.Counter()
        self.refused = set()
        for _ in range(TARGETS):
            await self.add_target()

    async def asyncTearDown(self):
        for _, router in self.routers:
            router.stop()
        for target in self.all_targets:
            target.stop()

    def new_router(self):
        self.names += 1
        router = scripted_target.ScriptedRouter(test_forwarding.PLAN)
        for target in self.targets:
            router.targets.merge(target.record())
        return f"r{self.names}", router

    async def add_target(self):
        self.names += 1
        target = RestlessTarget(f"t{self.names}", self.rng)
        await target.start()
        self.all_targets.append(target)
        self.targets.append(target)
        for _, router in self.routers:
            router.targets.merge(target.record())

    async def test_rests_and_departures_are_observed(self):
        """Guards against requests to resting and leaving targets."""
        callers = [
            asyncio.ensure_future(self.call_until_stopped(number))
            for number in range(CALLERS)
        ]
        await self.inject_faults()
        self.stopped = True
        await asyncio.wait_for(asyncio.gather(*callers), 15.0)
        for target in self.all_targets:
            for router, told in target.told.items():
                self.assertLessEqual(
                    told.most_during_rests(),
                    compliance.MAX_DURING_REST,
                    router,
                )
                self.assertEqual(0, told.after_departure(), router)
        ran = sum((t.ran for t in self.all_targets), collections.Counter())
        self.assertEqual(set(), self.refused & set(ran))
        once = [i for i, n in ran.items() if n > 1 and i[0] in "be"]
        self.assertEqual([], once)
        conclusive = compliance.is_conclusive(self.outcomes)
        self.assertTrue(conclusive, self.outcomes)

    async def inject_faults(self):
        faults = (self.rest, self.rest, self.leave, self.restart_router)
        tasks = []
        end = time.monotonic() + SECONDS
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.uniform(0.05, 0.5) / SCALE)
            fault = self.rng.choice(faults)
            tasks.append(asyncio.ensure_future(fault()))
        await asyncio.gather(*tasks)

    async def rest(self):
        """Let some or all targets refuse requests and ask for rest."""
        count = self.rng.choice((1, 1, 2, len(self.targets)))
        for target in self.rng.sample(
            self.targets, min(count, len(self.targets))
        ):
            target.rest = self.rng.choice(
                ("0.3", "1", "1.5", "3", self.rng.choice(MALFORMED))
            )
            seconds = self.rng.uniform(0.1, 2.0)
            target.resting_until = time.monotonic() + seconds

    async def leave(self):
        """Replace a target; no keeper tells that the old one leaves."""
        leaving = [target for target in self.targets if target.leaving]
        if len(leaving) > len(self.targets) // 2:
            return
        target = self.rng.choice(self.targets)
        if target.leaving:
            return
        target.leaving = True
        await self.add_target()
        await asyncio.sleep(self.rng.uniform(3.0, 6.0))
        self.targets.remove(target)
        target.stop()
        for _, router in self.routers:
            # A late announcement, and then the notice that it has gone.
            router.targets.merge(target.record())
            router.targets.merge(target.record(state=messages.State.GONE))

    async def restart_router(self):
        number = self.rng.randrange(ROUTERS)
        _, router = self.routers[number]
        self.routers[number] = self.new_router()
        router.front.closing = True
        until = time.monotonic() + 3.0
        await router.front.drain(lambda: until)
        router.stop()

    async def call_until_stopped(self, caller):
        """Send requests on connections that stay open until they close."""
        sent = 0
        while not self.stopped:
            name, router = self.rng.choice(self.routers)
            with contextlib.suppress(ConnectionError):
                reader, writer = await asyncio.open_connection(*router.address)
                while not self.stopped:
                    sent += 1
                    response = await self.call(
                        name, reader, writer, f"{caller}-{sent}"
                    )
                    if response.headers.get("Connection") == "close":
                        break
                    if not response.status:
                        break
                writer.close()

    async def call(self, router, reader, writer, number):
        path = self.rng.choice(PATHS)
        request_id = f"{path[1]}{number}"
        account = self.rng.choice(("key-1", "key-2"))
        response = await scripted_target.send_on(
            reader,
            writer,
            path,
            "POST",
            Test_Key=account,
            Test_Id=request_id,
            X_Router=router,
            X_Sent=repr(time.monotonic()),
        )
        self.outcomes[response.status] += 1
        if response.status == 503:
            self.refused.add(request_id)
            self.assertGreater(float(response.headers["Retry-After"]), 0.0)
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))
        return response
