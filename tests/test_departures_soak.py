"""Departures while targets and operators say odd things and processes end.

``DEPARTURES_SOAK_SEED``, ``DEPARTURES_SOAK_SECONDS`` and
``DEPARTURES_SOAK_ROUTERS`` choose the seed, the length and the size.
"""

import asyncio
import collections
import json
import os
import random
import signal
import time

import tornado.httpclient

from amaranthring.testing import odd_values
from tests import platform_case

SEED = int(os.environ.get("DEPARTURES_SOAK_SEED", "1"))
SECONDS = float(os.environ.get("DEPARTURES_SOAK_SECONDS", "12"))
ROUTERS = int(os.environ.get("DEPARTURES_SOAK_ROUTERS", "2"))
KEEPERS = ("keeper", "keeper-1", "keeper-2")
# Rule of the users: no request reaches a target later than this after its
# departure was acknowledged.
DRAIN_SECONDS = 2.0
# A target serves on for this time.
SERVES_SECONDS = 5.0
# An acknowledgement that takes longer is missed; one keeper is down at most.
ACKNOWLEDGED_SECONDS = 4.0
CALL_SECONDS = 1.0
# Lines that tell of something that no code foresees.
FAULTS = (
    "task.failed",
    "step.failed",
    "loop.error",
    "call.failed",
    "link.failed",
    "link.reply-failed",
    "link.handler-failed",
    "request.failed",
    "plan.refused",
    "target.unsendable",
    "Traceback",
)


class TestSeries(platform_case.PlatformCase):
    """Targets that leave one after the other."""

    routers = ROUTERS
    replicas = 5
    rng = random.Random(SEED)

    def ip(self, name):
        if name.startswith("keeper-"):
            number = 200 + int(name.partition("-")[2])
            return f"127.{self.network}.{number}"
        return super().ip(name)

    def settings(self, name):
        found = super().settings(name)
        found["seeds"] = [f"{self.ip(k)}:{self.port}" for k in KEEPERS]
        if name.startswith("keeper"):
            found["data_dir"] = str(self.folder / f"{name}-data")
        return found

    def start(self, name):
        super().start(name)
        if name == "keeper" and self.starts[name] == 1:
            for other in KEEPERS[1:]:
                self.start(other)

    async def post(self, keeper, path, raw):
        """Return the status of a call at a keeper, or 0 without one."""
        url = f"http://{self.ip(keeper)}:{self.port}{path}"
        try:
            response = await self.client.fetch(
                url,
                method="POST",
                body=raw,
                raise_error=False,
                request_timeout=CALL_SECONDS,
            )
        except (OSError, tornado.httpclient.HTTPError):
            return 0
        return response.code

    async def tell(self, path, raw):
        """Make a call at the keepers in turn; return whether one took it."""
        for keeper in self.rng.sample(KEEPERS, len(KEEPERS)):
            if 200 <= await self.post(keeper, path, raw) < 300:
                return True
        return False

    async def heartbeat(self, replica, body):
        raw = json.dumps(body).encode()
        await self.tell(f"/Replicas.Heartbeat/{replica.name}", raw)

    # -- what goes on ------------------------------------------------

    async def leave(self, replica):
        """Let a target say that it leaves, then serve on for a while."""
        self.heartbeats[replica.name].cancel()
        path, raw = f"/Replicas.Deregister/{replica.name}", b""
        if self.rng.random() < 0.5:
            body = self.heartbeat_body(replica, 10**6) | {"state": "draining"}
            path = f"/Replicas.Heartbeat/{replica.name}"
            raw = json.dumps(body).encode()
        asked = time.monotonic()
        while not await self.tell(path, raw):
            if time.monotonic() - asked > ACKNOWLEDGED_SECONDS:
                self.missed.append(replica.name)
                return
            await asyncio.sleep(0.1)
        self.acknowledged[replica.name] = time.monotonic()
        await asyncio.sleep(SERVES_SECONDS)

    async def leave_in_turn(self):
        """Replace one target after the other."""
        leaving, number = [], self.replicas
        while time.monotonic() < self.until - SERVES_SECONDS:
            await self.add_replica(f"t{number}")
            number += 1
            await asyncio.sleep(self.rng.uniform(0.3, 0.9))
            left = self.rng.choice(
                [r for r in self.all_replicas if r.name not in self.asked]
            )
            self.asked.add(left.name)
            leaving.append(asyncio.ensure_future(self.leave(left)))
        await asyncio.gather(*leaving)

    async def say_odd_things(self):
        """Send heartbeats that are changed at one place."""
        # At its address, no other target gets its requests.
        model = self.make_replica("odd")
        await model.start()
        self.addCleanup(model.stop)
        while time.monotonic() < self.until:
            body = odd_values.change(self.heartbeat_body(model, 1), self.rng)
            name = f"odd{self.rng.randrange(5)}"
            raw = odd_values.encode(body)
            await self.tell(f"/Replicas.Heartbeat/{name}", raw)
            await asyncio.sleep(0.05)

    async def send_odd_plans(self):
        """Send plans that are changed at one place, and sound ones."""
        while time.monotonic() < self.until:
            self.version += 1
            sound = platform_case.configuration(self.version)
            plan = odd_values.change(sound, self.rng, keep=("version",))
            raw = odd_values.encode(plan)
            await self.tell("/Configuration.Replace", raw)
            await asyncio.sleep(self.rng.uniform(0.2, 0.6))
            await self.configure()

    async def configure(self):
        """Put a sound plan in force."""
        self.version += 1
        raw = json.dumps(platform_case.configuration(self.version)).encode()
        async with asyncio.timeout(platform_case.START_SECONDS):
            while not await self.tell("/Configuration.Replace", raw):  # noqa: ASYNC110
                await asyncio.sleep(0.1)

    async def end_processes(self):
        """Restart a process at a time, gracefully or not."""
        while time.monotonic() < self.until - SERVES_SECONDS:
            await asyncio.sleep(self.rng.uniform(0.5, 1.5))
            name = self.rng.choice([*KEEPERS, *self.router_names])
            how = self.rng.choice((signal.SIGTERM, signal.SIGKILL))
            process = self.processes[name]
            process.send_signal(how)
            await asyncio.to_thread(process.wait)
            self.start(name)
            await asyncio.sleep(1.0)

    async def send(self):
        """Send requests one after the other."""
        while time.monotonic() < self.until:
            router = self.rng.choice(self.router_names)
            _, status = await self.send_once(router, "/b/x")
            self.statuses[status] += 1
            await asyncio.sleep(0.02)

    # -- checks ------------------------------------------------------

    def check_departures(self):
        """Check that all were acknowledged in time, and heard."""
        self.assertEqual([], self.missed)
        self.assertTrue(self.acknowledged)
        late = []
        for replica in self.all_replicas:
            if replica.name not in self.acknowledged:
                continue
            due = self.acknowledged[replica.name] + DRAIN_SECONDS
            late += [
                (replica.name, round(at - due, 2))
                for told in replica.told.values()
                for at, _ in told.arrivals
                if at > due
            ]
        self.assertEqual([], late, f"seed {SEED}: {len(late)} requests")

    def check_logs(self):
        """Check that nothing failed in a way that no code foresees."""
        found = [
            (path.name, line[:300])
            for path in sorted(self.folder.glob("*.log"))
            for line in path.read_text(errors="replace").splitlines()
            if any(fault in line for fault in FAULTS)
        ]
        self.assertEqual([], found[:3], f"seed {SEED}: {len(found)} lines")

    async def check_served(self):
        """Check that all routers serve by the sound plan."""
        for name in self.router_names:
            await self.wait_ready(name)
        await self.configure()
        await asyncio.sleep(DRAIN_SECONDS)
        statuses = [
            (await self.send_once(name, "/b/x"))[1]
            for name in self.router_names
            for _ in range(10)
        ]
        self.assertEqual({200}, set(statuses), f"seed {SEED}")

    async def test_departures_are_heard(self):
        """Guards against any value or end that keeps departures unheard."""
        self.asked, self.missed, self.acknowledged = set(), [], {}
        self.statuses = collections.Counter()
        self.until = time.monotonic() + SECONDS
        await asyncio.gather(
            self.leave_in_turn(),
            self.say_odd_things(),
            self.send_odd_plans(),
            self.end_processes(),
            *(self.send() for _ in range(4)),
        )
        self.check_departures()
        self.check_logs()
        await self.check_served()
