"""A fleet whose engines crash, at once or slowly, or are only stopped."""

import asyncio
import json

from amaranthring.testing import load
from amaranthring.testing import local_fleet
from tests import fleet_case
from tests import test_fleet


class TestCrash(test_fleet.TestCrashingRequest):
    """Crashed engines whose processes end at once.

    Unlike the base, it also checks who is quarantined.
    """

    async def assert_quarantined(self, url, body):
        """Check that no innocent chat is quarantined beside the culprit."""
        await super().assert_quarantined(url, body)
        fingerprints = []
        for _ in range(50):
            fingerprints = await self.quarantine()
            if fingerprints:
                break
            await asyncio.sleep(0.1)
        self.assertEqual(len(fingerprints), 1)


class TestSlowCrash(TestCrash):
    """Crashed engines whose processes end 0.3 s later.

    Until then their listeners accept connections that nothing answers, so an
    accepted connection does not show that an engine is alive.
    """

    engine_options = ("--crash-seconds", "0.3")


class TestVerySlowCrash(TestCrash):
    """Crashed engines whose processes end 1.0 s later.

    The request returns through other routers before they have ended.
    """

    engine_options = ("--crash-seconds", "1.0")


class SupervisedEngines:
    """A fleet whose crashed engines are started again at once.

    Attributes
    ----------
    engines : int
        Number of engines; the fleet starts with three.
    crashes : int
        Number of engines that were started again.
    """

    engines = 3

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.crashes = 0
        for number in range(3, self.engines):
            await self.start_engine(number)
        supervisor = asyncio.ensure_future(self.supervise())
        self.addCleanup(supervisor.cancel)

    def engine(self, number):
        return self.fleet.processes[f"engine-{number + 1}"]

    async def start_engine(self, number):
        centre = local_fleet.DATA_CENTRES[number % 3]
        await self.blocking(self.start_target, "engine", number, centre)

    async def supervise(self):
        while True:
            for number in range(self.engines):
                if self.engine(number).popen.poll() is not None:
                    self.crashes += 1
                    await self.start_engine(number)
            await asyncio.sleep(0.05)


class TestRestartedEngines(SupervisedEngines, TestCrash):
    """Crashed engines that a supervisor starts again at once.

    The restarted processes announce themselves, so that there is always an
    engine left for the request to crash.
    """

    engine_options = ("--crash-seconds", "0.3")

    async def assert_quarantined(self, url, body):
        await super().assert_quarantined(url, body)
        self.assertLessEqual(self.crashes, 2)


class TestStoppedEngines(fleet_case.FleetCase):
    """Engines that are stopped while they run the same request."""

    routers = 3

    async def test_request_is_not_condemned(self):
        """A stopped process loses its lease but has not crashed.

        Its request is refused for now, and accepted once both engines run.
        """
        body = {
            "model": "m1",
            "messages": [{"role": "user", "content": "slow"}],
            "stream": True,
            "max_tokens": 4,
            "stand_in": {"fault": "slow", "at": 2, "seconds": 4.0},
        }
        chat = asyncio.ensure_future(self.callers.ask(body))
        stopped = [await self.stop_engine([])]
        stopped.append(await self.stop_engine(stopped))
        await chat
        other = load.Callers(self.callers.urls, self.callers.token)
        await other.ask(body)
        self.assertEqual(other.tally.refused, {"suspected": 1})
        for name in stopped:
            self.fleet.processes[name].resume()
        while not other.tally.complete:
            await asyncio.sleep(1.0)
            await other.ask(body)
            self.assertLess(other.tally.refused.get("suspected", 0), 10)
        self.assertEqual(set(other.tally.refused), {"suspected"})

    async def stop_engine(self, stopped):
        """Stop the engine that runs the request; return its name."""
        names = [f"engine-{number}" for number in (1, 2, 3)]
        for _ in range(400):
            for name in set(names) - set(stopped):
                process = self.fleet.processes[name]
                address = process.log.read_text().split()[1]
                _, answer = await self.blocking(
                    local_fleet.http_get, f"http://{address}/control/ran"
                )
                if json.loads(answer)["running"]:
                    process.pause()
                    return name
            await asyncio.sleep(0.05)
        return self.fail("no engine runs the request")
