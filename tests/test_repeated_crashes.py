"""A request that ends each target that runs it, before a real fleet."""

import asyncio
import signal
import time

from amaranthring.registry import hint_file
from tests import crash_case

CRASHES = 3
# Runs that may follow after this time since the third crash.
MAX_LATE_RUNS = 3
KNOWN_SECONDS = 1.0
# Until then replicas that ended have come back.
RECOVERED_SECONDS = 3.0
SENDS = 24
# A caller that sends one request several times at once.
VOLLEYS = 4
AT_ONCE = 5
VOLLEY_SECONDS = 4.0
# Volleys at targets that are silent for some seconds before they come back.
SILENT_VOLLEYS = 3
SILENT_VOLLEY_SECONDS = 6.0


class TestCrashingRequest(crash_case.CrashCase):
    """A caller that sends a crashing request again and again."""

    path = "/b/crash"

    async def test_it_reaches_few_targets_after_three_crashes(self):
        """Guards against a crashing request that each router sends on."""
        others = self.begin(
            self.send_regularly(
                lambda number: f"/a/{number}", 0.05, 10 * SENDS, account="bela"
            )
        )
        answers = await self.send_regularly(lambda _: self.path, 0.5, SENDS)
        third = self.crashes()[CRASHES - 1]
        late = [t for t in self.runs(self.path) if t > third + KNOWN_SECONDS]
        self.assertLessEqual(len(late), MAX_LATE_RUNS)
        refused = [answer for answer in answers if answer.code == "suspected"]
        self.assertLess(SENDS / 2, len(refused))
        for answer in refused:
            self.assertEqual(503, answer.status)
            self.assertLess(0.0, float(answer.retry_after))
        # Refused for good, not only paused.
        self.assertLess(60.0, float(refused[-1].retry_after))
        unserved = [
            answer
            for answer in await others
            if answer.sent_at > third + RECOVERED_SECONDS
            and answer.status != 200
        ]
        self.assertEqual([], unserved)


class TestCrashWithinAnswer(TestCrashingRequest):
    """Targets that end after the head and a part of the body."""

    within_body = True


class TestRepeatedByRouter(TestCrashingRequest):
    """A route whose requests a router sends to a second target itself."""

    path = "/a/crash"


class TestSlowEnd(TestCrashingRequest):
    """Targets that take connections for a while after theirs have ended."""

    linger = 0.5


class TestVolleys(crash_case.CrashCase):
    """A caller that sends a crashing request several times at once."""

    routers = 7
    replicas = 9
    gap = 0.02

    async def test_it_reaches_few_targets_after_three_crashes(self):
        """Guards against crashes that count once as their runs overlap."""
        for _ in range(VOLLEYS):
            self.begin(
                self.send_regularly(lambda _: "/b/crash", self.gap, AT_ONCE)
            )
            await asyncio.sleep(VOLLEY_SECONDS)
        third = self.crashes()[CRASHES - 1]
        late = [
            at for at in self.runs("/b/crash") if at > third + KNOWN_SECONDS
        ]
        self.assertLessEqual(len(late), MAX_LATE_RUNS)
        answers = await self.send_regularly(lambda n: f"/a/{n}", 0.01, 20)
        self.assertEqual({200}, {answer.status for answer in answers})


class TestVolleysOfSameMoment(TestVolleys):
    """Sends that reach their targets at the same moment."""

    gap = 0.0


class TestSilentEnds(crash_case.CrashCase):
    """Targets that end silently, and come back at other addresses."""

    routers = 7
    replicas = 3
    linger = 2.9
    restart_seconds = 3.1
    path = "/a/crash"

    async def test_it_reaches_few_targets_after_three_crashes(self):
        """Guards against crashes that nobody counts without proof."""
        others = self.begin(
            self.send_regularly(
                lambda number: f"/a/{number}", 0.05, 320, account="bela"
            )
        )
        for _ in range(SILENT_VOLLEYS):
            self.begin(self.send_regularly(lambda _: self.path, 0.05, 6))
            await asyncio.sleep(SILENT_VOLLEY_SECONDS)
        late = self.late_runs(self.path, CRASHES, crash_case.CALM_SECONDS)
        self.assertLessEqual(len(late), MAX_LATE_RUNS)
        await others
        answers = await self.send_regularly(lambda n: f"/a/new{n}", 0.01, 20)
        self.assertEqual({200}, {answer.status for answer in answers})


class TestGivenUpRuns(crash_case.CrashCase):
    """Targets that end right after their router has given the run up."""

    run_seconds = 0.85
    path = "/a/crash"

    async def test_it_reaches_few_targets_after_three_crashes(self):
        """Guards against crashes that count only under unfinished runs."""
        others = self.begin(
            self.send_regularly(
                lambda number: f"/b/{number}", 0.02, 600, account="bela"
            )
        )
        await self.send_regularly(lambda _: self.path, 1.0, 12)
        late = self.late_runs(self.path, CRASHES, crash_case.CALM_SECONDS)
        self.assertLessEqual(len(late), MAX_LATE_RUNS)
        await others


class TestLostRack(crash_case.CrashCase):
    """Targets that end at once while all of them run the same request."""

    replicas = 8

    async def test_popular_request_is_served(self):
        """Guards against refusing a popular request for a lost rack."""
        popular = self.begin(
            self.send_regularly(lambda _: "/a/slow", 0.025, 200)
        )
        await asyncio.sleep(2.0)
        ended_at = time.monotonic()
        for replica in self.all_replicas[:5]:
            replica.end()
        late = [a for a in await popular if a.sent_at > ended_at + 1.0]
        served = [a for a in late if a.status == 200]
        self.assertLess(50, len(late))
        self.assertEqual(len(late), len(served))


class TestRestarts(crash_case.CrashCase):
    """Processes that are replaced after a request was refused."""

    path = "/b/crash"

    async def test_replaced_processes_go_on_refusing(self):
        """Guards against a restart that forgets what crashes targets."""
        await self.send_regularly(lambda _: self.path, 0.5, 16)
        self.assertEqual("suspected", (await self.send(self.path)).code)
        ran = len(self.runs(self.path))
        await self.restart("keeper", signal.SIGKILL)
        await asyncio.sleep(2.0)
        await self.restart("router-0", signal.SIGKILL)
        for router in self.router_names:
            answer = await self.send(self.path, router=router)
            self.assertEqual("suspected", answer.code)
        self.assertEqual(ran, len(self.runs(self.path)))

    async def test_all_processes_lose_power(self):
        """Guards against a cause that goes on once all have restarted."""
        await self.send_regularly(lambda _: self.path, 0.5, 14)
        await asyncio.sleep(hint_file.WRITE_SECONDS + 0.5)
        ran = len(self.runs(self.path))
        self.stop_all()
        for name in ("keeper", *self.router_names):
            self.start(name)
        for name in self.router_names:
            await self.wait_ready(name)
        for router in self.router_names * 2:
            answer = await self.send(self.path, router=router)
            self.assertEqual("suspected", answer.code)
        self.assertEqual(ran, len(self.runs(self.path)))
