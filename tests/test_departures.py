"""Targets that have left when all processes are killed."""

import asyncio
import signal
import time

from tests import platform_case

# Beyond the start of all processes, so that what is restored is not silent.
HEARTBEAT_MS = 4000.0
# The hints are written within this time.
WRITTEN_SECONDS = 2.5
# The acknowledgement and the write.
KILLED_AFTER_SECONDS = 0.4
REQUESTS = 30


class TestDeparture(platform_case.PlatformCase):
    """All processes are killed right after a departure."""

    def settings(self, name):
        return super().settings(name) | {"heartbeat_ms": HEARTBEAT_MS}

    async def kill_all(self):
        """Kill all processes at the same moment; bring them back."""
        names = ["keeper", *self.router_names]
        for name in names:
            self.processes[name].send_signal(signal.SIGKILL)
        for name in names:
            await asyncio.to_thread(self.processes[name].wait)
        for name in names:
            self.start(name)
        for name in self.router_names:
            await self.wait_ready(name)
        return time.monotonic()

    async def check_not_used(self, replica, since):
        """Check that all requests are served, by others."""
        statuses = [
            (await self.send_once(router, "/a/x"))[1]
            for _ in range(REQUESTS)
            for router in self.router_names
        ]
        self.assertEqual({200}, set(statuses))
        late = [
            at
            for told in replica.told.values()
            for at, _ in told.arrivals
            if at > since
        ]
        self.assertEqual([], late, f"{len(late)} of {len(statuses)}")

    async def test_departure_is_not_forgotten(self):
        """Guards against requests to a target that has left and serves on."""
        await asyncio.sleep(WRITTEN_SECONDS)
        left = self.all_replicas[0]
        self.heartbeats[left.name].cancel()
        at = f"http://{self.ip('keeper')}:{self.port}"
        status = await self.fetch(f"{at}/Replicas.Deregister/{left.name}", {})
        self.assertEqual(200, status)
        await asyncio.sleep(KILLED_AFTER_SECONDS)
        await self.check_not_used(left, await self.kill_all())

    async def test_draining_is_not_forgotten(self):
        """Guards against requests to a target whose next word is late."""
        await asyncio.sleep(WRITTEN_SECONDS)
        draining = self.all_replicas[0]
        self.heartbeats[draining.name].cancel()
        body = self.heartbeat_body(draining, 1000) | {"state": "draining"}
        await self.heartbeat(draining, body)
        await asyncio.sleep(KILLED_AFTER_SECONDS)
        await self.check_not_used(draining, await self.kill_all())
