"""A prompt part that ends each target that answers it, before a real fleet."""

import asyncio
import collections
import random
import signal
import time
import uuid

from amaranthring.policy import crash_evidence
from amaranthring.registry import hint_file
from tests import crash_case
from tests import platform_case

# Crashes from which on few requests with the part may reach targets.
CRASHES = 5
MAX_LATE_RUNS = 3
KNOWN_SECONDS = 3.0
# From then on sound requests are served again.
SERVED_SECONDS = 6.0
MIN_SERVED_SHARE = 0.5
CALM_SECONDS = 3.0
SERIES_SECONDS = 14.0
# Interval between two requests with the part, and between two sound ones.
BAD_SECONDS = 0.4
SOUND_SECONDS = 0.05
MIN_SOUND = 20
SEED = 1


class PartsCase(crash_case.CrashCase):
    """Requests with a crashing part, no two alike, beside sound ones.

    Sound requests have the same account and the same other parts.

    Attributes
    ----------
    bad_parts : tuple of str
        Parts of the crashing requests in turn, without their last one.
    sound_parts : tuple of str
        The same of the sound ones.
    sound_path : str
        Path of the sound requests, without its last segment.
    """

    routers = 3
    replicas = 8
    bad_parts = ("sys:800,bad:400",)
    sound_parts = tuple(f"sys:800,g{n}:400" for n in range(6))
    sound_path = "/a/"
    sound_seconds = SOUND_SECONDS
    calm_seconds = CALM_SECONDS

    async def asyncSetUp(self):
        self.rng = random.Random(SEED)
        self.sound = []
        await super().asyncSetUp()

    async def send_with(self, path, parts):
        """Send a request that no other one equals, to any router."""
        number = uuid.uuid4().hex
        return await self.send(
            f"{path}{number}",
            body=number.encode(),
            router=self.rng.choice(self.router_names),
            # A name of its own, which no crashing part begins with.
            parts=f"{parts},own-{number[:8]}:120",
        )

    async def send_bad(self, seconds):
        """Send crashing requests, one in five of them twice."""
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            parts = self.bad_parts[number % len(self.bad_parts)]
            for _ in range(2 if number % 5 == 4 else 1):
                self.begin(self.send_with("/a/", parts))
            number += 1
            await asyncio.sleep(BAD_SECONDS)

    async def send_sound(self):
        """Send sound requests until the test ends."""
        number = 0
        while True:
            parts = self.sound_parts[number % len(self.sound_parts)]
            self.begin(self._note_sound(parts))
            number += 1
            await asyncio.sleep(self.sound_seconds)

    async def _note_sound(self, parts):
        self.sound.append(await self.send_with(self.sound_path, parts))

    async def play(self, seconds=SERIES_SECONDS):
        """Send sound requests alone for a while, then both."""
        self.calm_from = time.monotonic()
        self.sender = self.begin(self.send_sound())
        await asyncio.sleep(self.calm_seconds)
        self.began_at = time.monotonic()
        await self.send_bad(seconds)

    def runs_with(self, part):
        """Return when requests with `part` reached replicas."""
        return sorted(
            seen.at
            for replica in self.all_replicas
            for seen in replica.requests
            if crash_case.crashing_part(seen) == part
        )

    def crashed_by(self, part):
        """Return when replicas ended under `part`, the earliest first."""
        return sorted(
            replica.crashed_at
            for replica in self.all_replicas
            if replica.cause == part
        )

    def check_bounds(self, parts=("bad",)):
        """Check how often crashing requests ran, and sound ones did not."""
        settled_at = self.began_at
        for part in parts:
            crashes = self.crashed_by(part)[:CRASHES]
            self.assertLess(2, len(crashes), part)
            settled_at = max(settled_at, crashes[-1])
            late = [
                at
                for at in self.runs_with(part)
                if len(crashes) == CRASHES and at > crashes[-1] + KNOWN_SECONDS
            ]
            self.assertLessEqual(len(late), MAX_LATE_RUNS, part)
        before = self.served_share(self.calm_from, self.began_at - 0.2)
        after = self.served_share(settled_at + SERVED_SECONDS)
        self.assertLessEqual(MIN_SERVED_SHARE * before, after)

    def served_share(self, since, until=float("inf")):
        """Return the share of sound requests that were served."""
        found = [a for a in self.sound if since < a.sent_at <= until]
        self.assertLessEqual(MIN_SOUND, len(found))
        return sum(answer.status == 200 for answer in found) / len(found)


class TestSecondPart(PartsCase):
    """The part stands between a shared part and the request's own."""

    async def test_few_requests_with_it_reach_targets(self):
        """Guards against a crashing part that all other requests hide."""
        await self.play()
        self.check_bounds()


class TestFirstPart(TestSecondPart):
    """The part begins the prompts, so sound ones have another first part."""

    bad_parts = ("bad:400,sys:800",)


class TestManyRouters(TestSecondPart):
    """More routers than crashes: each sees one or two."""

    routers = 7


class TestCrashWithinAnswer(TestSecondPart):
    """Targets that end after the first bytes of the answer."""

    within_body = True


class TestSlowRequests(TestSecondPart):
    """Sound requests that last, so that many of them run at each crash."""

    sound_path = "/a/slow"


class TestFewSoundRequests(TestSecondPart):
    """Sound requests whose parts are rare and come only beside the cause."""

    bad_parts = ("rare:800,bad:400",)
    sound_parts = ("rare:800,own:400",)
    sound_seconds = 0.3
    calm_seconds = 7.0


class TestTwoParts(PartsCase):
    """Two crashing parts at once, in different requests."""

    bad_parts = ("sys:800,bad1:400", "sys:800,bad2:400")

    async def test_few_requests_with_each_reach_targets(self):
        """Guards against crashing parts that hide one another."""
        await self.play(SERIES_SECONDS + 4.0)
        self.check_bounds(("bad1", "bad2"))


class TestPause(PartsCase):
    """Requests with the part that come again after many seconds."""

    async def test_it_is_still_refused(self):
        """Guards against a crashing part that is forgotten in a pause."""
        await self.play(8.0)
        await asyncio.sleep(8.0)
        await self.send_bad(5.0)
        self.check_bounds()


class TestFaults(PartsCase):
    """Processes that are lost while the requests come."""

    async def test_lost_keeper(self):
        """Guards against a new keeper that knows of no crashing part."""
        await self.play(7.0)
        await self.restart("keeper", signal.SIGKILL)
        await self.send_bad(7.0)
        self.check_bounds()

    async def test_lost_router(self):
        """Guards against a new router that sends a crashing part on."""
        await self.play(7.0)
        await self.restart("router-0", signal.SIGKILL)
        await self.send_bad(7.0)
        self.check_bounds()

    async def test_all_processes_lose_power(self):
        """Guards against a crashing part that a power loss makes unknown."""
        await self.play(7.0)
        await asyncio.sleep(hint_file.WRITE_SECONDS + 0.5)
        self.stop_all()
        for name in ("keeper", *self.router_names):
            self.start(name)
        for name in self.router_names:
            await self.wait_ready(name)
        await self.send_bad(8.0)
        self.check_bounds()


class TestNoCause(PartsCase):
    """Replicas that end one after the other, and no part is the cause."""

    sound_parts = ("sys:800", *(f"sys:800,g{n}:400" for n in range(6)))

    async def test_requests_are_served(self):
        """Guards against refusing a popular part for lost replicas."""
        sender = self.begin(self.send_sound())
        await asyncio.sleep(CALM_SECONDS)
        for _ in range(9):
            alive = [r for r in self.all_replicas if not r.crashed_at]
            self.rng.choice(alive).end()
            await asyncio.sleep(0.6)
        await asyncio.sleep(2.0)
        sender.cancel()
        self.assertLess(100, len(self.sound))
        refused = [answer for answer in self.sound if answer.status != 200]
        self.assertEqual([], refused)


class TestRestartedKeeper(crash_case.CrashCase):
    """Replicas that end under the requests of one router.

    Requests with the same path complete at the other routers.
    """

    routers = 3
    replicas = 8
    path = f"/b/{crash_case.SLOW}"

    async def send_to(self, router):
        """Send a request that no other one equals."""
        body = uuid.uuid4().hex.encode()
        return await self.send(self.path, body=body, router=router)

    async def end_under(self, router):
        """End a replica under a request of a router."""
        status = 0
        async with asyncio.timeout(platform_case.START_SECONDS):
            while status != 502:
                caller = self.begin(self.send_to(router))
                while not caller.done():
                    for replica in self.running(router):
                        replica.end()
                    await asyncio.sleep(0.01)
                status = caller.result().status
        await asyncio.sleep(crash_evidence.JUDGE_SECONDS)

    def running(self, router):
        """Return the replicas that have got a request of a router."""
        return [
            replica
            for replica in self.all_replicas
            if not replica.crashed_at
            and any(
                seen.headers[platform_case.ROUTER].startswith(router)
                for seen in replica.requests
            )
        ]

    async def serve(self, routers):
        """Send requests to `routers` for a second; return the statuses."""
        sends = []
        for number in range(int(1.0 / SOUND_SECONDS)):
            router = routers[number % len(routers)]
            sends.append(self.begin(self.send_to(router)))
            await asyncio.sleep(SOUND_SECONDS)
        return collections.Counter([(await send).status for send in sends])

    async def test_path_that_completes_elsewhere_is_served(self):
        """Guards against refusing for ten minutes what was cleared before."""
        *others, lonely = self.router_names
        await self.serve(others)
        for _ in range(4):
            await self.end_under(lonely)
        await self.serve(others)
        # The router that has lost runs links to the new keeper first.
        frozen = [self.begin(self.freeze(name, 2.0)) for name in others]
        await self.restart("keeper", signal.SIGKILL)
        await asyncio.gather(*frozen)
        await asyncio.sleep(1.5)
        for routers in (others, [lonely]):
            statuses = await self.serve(routers)
            self.assertIn(200, statuses)
        self.assertEqual({200}, set(await self.serve(others)))

    async def test_router_without_keepers_serves_it_again(self):
        """Guards against a router that refuses what keepers have cleared."""
        *others, lonely = self.router_names
        await self.serve(others)
        self.processes["keeper"].kill()
        await asyncio.sleep(1.0)
        for _ in range(4):
            await self.end_under(lonely)
        self.assertEqual({503}, set(await self.serve([lonely])))
        # A busy machine may start the process late.
        await self.start_keeper()
        await asyncio.sleep(CALM_SECONDS)
        self.assertIn(200, await self.serve([lonely]))
