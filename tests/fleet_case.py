"""Base of tests that run a whole fleet as separate processes."""

import asyncio
import json
import pathlib
import tempfile
import unittest

from amaranthring import settings
from amaranthring.testing import load
from amaranthring.testing import local_fleet


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Three keepers, six routers, three engines, three booking replicas."""

    routers = 6
    map_addresses = None
    engine_options = ()

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name)
        local_fleet.write_settings(
            path, self.routers, through=self.map_addresses and self.reach
        )
        self.fleet = local_fleet.LocalFleet(path, path / "logs")
        self.addCleanup(self.fleet.stop_all)
        self.names = self.fleet.names("router")
        await self.blocking(self.start_processes)
        urls = [self.fleet.callers_url(name) for name in self.names]
        self.callers = load.Callers(urls, local_fleet.ACCOUNTS["vanua"])
        self.tally = self.callers.tally

    async def blocking(self, call, *arguments):
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(None, call, *arguments)

    def start_processes(self):
        for name in [*self.fleet.names("keeper"), *self.names]:
            self.fleet.start(name)
        self.fleet.wait_ready(self.names)
        data_centres = local_fleet.DATA_CENTRES
        self.targets = []
        for kind, count in (("engine", 3), ("booking", 3)):
            for number in range(count):
                self.start_target(kind, number, data_centres[number])
        self.fleet.wait_targets(6, self.names)

    def start_target(self, kind, number, data_centre):
        options = ["--data-centre", data_centre]
        if kind == "engine":
            options += ["--token-seconds", "0.01", *self.engine_options]
        name = f"{kind}-{number + 1}"
        self.fleet.start_target(kind, name, *options)
        self.targets.append(name)

    async def chat_until_stopped(self, max_tokens):
        """Run eight callers that chat until `chatting` is false."""
        self.chatting = True

        async def chat_loop():
            while self.chatting:
                await self.callers.chat(turns=2, max_tokens=max_tokens)

        await load.run_all(*[chat_loop() for _ in range(8)])

    async def quarantine(self):
        """Return the quarantined fingerprints, as operators see them."""
        path = self.fleet.folder / "operator.token"
        token = settings.read_secrets(str(path))[local_fleet.OPERATOR]
        router = self.fleet.internal_url(self.names[0])
        _, response = await self.blocking(
            local_fleet.http_get,
            f"{router}/operators/quarantine",
            {"Authorization": f"Bearer {token}"},
        )
        return list(json.loads(response)["quarantine"])

    def recorded_runs(self, kind):
        """Return the records of all runs of the stand-ins of a kind."""
        found = []
        for name, process in self.fleet.processes.items():
            if not name.startswith(kind):
                continue
            address = process.log.read_text().split()[1]
            _, body = local_fleet.http_get(f"http://{address}/control/ran")
            answer = json.loads(body)
            found += answer["runs" if kind == "booking" else "ran"]
        return found

    def assert_run_at_most_once(self, outcomes):
        """Compare the last outcomes, by key, with what the replicas ran."""
        keys = [run["key"] for run in self.recorded_runs("booking")]
        for key, outcome in outcomes.items():
            count = keys.count(key)
            self.assertLessEqual(count, 1, f"{key} ran {count} times")
            if outcome == "ran":
                self.assertEqual(count, 1, f"{key} was told ran")
            if outcome == "not-run":
                self.assertEqual(count, 0, f"{key} was told not-run")
