"""Targets that fall over when they turn many requests away, as processes."""

import asyncio
import collections
import time
import uuid

from amaranthring.platform import headers
from amaranthring.testing import scripted_target
from tests import platform_case

# Places of a target, as it announces.
SLOTS = 8
RUN_SECONDS = 0.4
# How many may wait, before and after a target lets fewer wait.
WAITING = 8
WAITING_BRITTLE = 1
# From this long after the targets say so they let fewer wait.
NOTICE_SECONDS = 3.0
FALLEN_SECONDS = 3.0
BEGIN_SECONDS = 2.0
BRITTLE_SECONDS = 9.0
MOST_REFUSED = 5
BRITTLE = "Server-Brittle"
POPULAR_SHARE = 10


class Replica(platform_case.Replica):
    """A replica with places, which may be brittle.

    Attributes
    ----------
    case : BrittleCase
        Says since when replicas say that they are brittle.
    held : int
        Requests that run or wait.
    refused_at : deque of float
        Monotonic seconds of its refusals in the last second.
    """

    def __init__(self, name, case):
        super().__init__(name)
        self.case = case
        self.held = 0
        self.places = asyncio.Semaphore(SLOTS)
        self.refused_at = collections.deque()
        self.writers = set()
        self.fallen = False

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def answer(self, seen, writer):
        """Run a request if there is room, else turn it away or fall over."""
        lines = [f"{headers.REQUEST_ID}: {seen.headers[headers.REQUEST_ID]}"]
        status, body = 503, b""
        since = time.monotonic() - self.case.brittle_at
        if since >= 0:
            lines.append(f"{BRITTLE}: {MOST_REFUSED}")
        fragile = since >= NOTICE_SECONDS
        if self.held < SLOTS + (WAITING_BRITTLE if fragile else WAITING):
            await self.run()
            status, body = 200, b"entry"
            lines.append(f"{headers.SIGNATURE}: {self.name}")
        else:
            lines.append(f"{headers.NOT_RUN}: 1")
            if self.refuse() > MOST_REFUSED and fragile:
                self.fall()
                return
        if self.fallen:
            return
        lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join([f"HTTP/1.1 {status} Status", *lines, "", ""])
        writer.write(head.encode() + body)

    async def run(self):
        self.held += 1
        try:
            async with self.places:
                await asyncio.sleep(RUN_SECONDS)
        finally:
            self.held -= 1

    def refuse(self):
        """Note a refusal; return how many there were in the last second."""
        now = time.monotonic()
        self.refused_at.append(now)
        while self.refused_at[0] < now - 1.0:
            self.refused_at.popleft()
        return len(self.refused_at)

    def fall(self):
        """End all connections and the listener."""
        if self.fallen:
            return
        self.fallen = True
        self.server.close()
        for writer in list(self.writers):
            scripted_target.abort_connection(writer)
        self.case.fell(self)


class BrittleCase(platform_case.PlatformCase):
    """Callers that ask for more or less than brittle targets can serve.

    Attributes
    ----------
    load : float
        Traffic, as a multiple of what all targets can serve.
    brittle_at : float
        Monotonic seconds since which the targets say that they are brittle.
    """

    routers = 3
    replicas = 4
    load = 1.5

    async def asyncSetUp(self):
        self.brittle_at = float("inf")
        self.falls = []
        self.answers = collections.defaultdict(list)
        self.tasks = []
        await super().asyncSetUp()

    def make_replica(self, name):
        return Replica(name, self)

    def fell(self, replica):
        self.falls.append(time.monotonic())
        self.heartbeats.pop(replica.name).cancel()
        self.tasks.append(asyncio.ensure_future(self.replace(replica.name)))

    async def replace(self, name):
        await asyncio.sleep(FALLEN_SECONDS)
        suffix = uuid.uuid4().hex[:4]
        await self.add_replica(f"{name.partition('.')[0]}.{suffix}")

    async def note_answer(self, number):
        """Send one request; some have the same path."""
        kind = "popular" if number % POPULAR_SHARE == 0 else "other"
        path = "/a/x" if kind == "popular" else f"/a/{uuid.uuid4().hex}"
        router = self.router_names[number % self.routers]
        self.answers[kind].append(await self.send_once(router, path))

    async def play(self):
        began = time.monotonic()
        self.brittle_at = began + BEGIN_SECONDS
        pause = RUN_SECONDS / (SLOTS * self.replicas * self.load)
        seconds = BEGIN_SECONDS + NOTICE_SECONDS + BRITTLE_SECONDS
        number = 0
        calls = []
        while time.monotonic() < began + seconds:
            calls.append(asyncio.ensure_future(self.note_answer(number)))
            number += 1
            due = began + number * pause
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        await asyncio.gather(*calls)

    def served(self, kind):
        """Return the share of requests that were served while brittle."""
        since = self.brittle_at + NOTICE_SECONDS
        late = [status for at, status in self.answers[kind] if at >= since]
        return late.count(200) / len(late)

    def check_falls(self):
        self.assertLessEqual(len(self.falls), 2 + self.replicas // 10)


class TestOverload(BrittleCase):
    """Traffic above what the targets can serve."""

    async def test_few_targets_fall_over(self):
        """Guards against routers that fill targets until they fall."""
        await self.play()
        self.check_falls()
        self.assertLess(0.5 / self.load, self.served("other"))


class TestAlmostFull(BrittleCase):
    """Traffic a little below what the targets can serve."""

    replicas = 6
    load = 0.8

    async def test_few_targets_fall_over(self):
        """Guards against one fall that moves its load to the rest."""
        await self.play()
        self.check_falls()
        self.assertLess(0.8, self.served("other"))
        self.assertLess(2 / 3 * self.served("other"), self.served("popular"))


class TestManyRouters(BrittleCase):
    """More routers, each with a small part of each target's places."""

    routers = 6
    replicas = 6
    load = 2.0

    async def test_few_targets_fall_over(self):
        """Guards against shares that add up to more than the places."""
        await self.play()
        self.check_falls()
        self.assertLess(0.5 / self.load, self.served("other"))
