"""A fleet on the platform's protocol, as processes on loopback addresses."""

import asyncio
import collections
import contextlib
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
import unittest
import uuid

import tornado.httpclient

from amaranthring.platform import headers
from amaranthring.testing import compliance
from amaranthring.testing import local_fleet
from amaranthring.testing import scripted_target

START_SECONDS = 20.0
HEARTBEAT_SECONDS = 0.5
# The host that `scripted_target` asks for.
HOST = "h"
SERVICE = "booking"
ROUTES = {"safe": "/a/", "unsafe": "/b/"}
ROUTER = "X-Router"
SENT = "X-Sent"


def configuration(version):
    """Return the document of a configuration with one service."""
    return {
        "version": version,
        "routes": [
            {
                "name": kind,
                "hostname": HOST,
                "path_prefix": prefix,
                "route_type": kind,
                "timeout_ms": 3000,
                "latency_target_ms": 500,
                "priority": 0,
                "backend": SERVICE,
                "max_attempts": 2,
                "public": False,
                "sticky": False,
                "resumable": False,
            }
            for kind, prefix in ROUTES.items()
        ],
        "backends": [
            {
                "name": SERVICE,
                "health_path": "/healthz",
                "max_conns": 100,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 100000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": name, "api_keys": [f"key-{name}"], "priority": 1}
            for name in ("alba", "bela")
        ],
    }


class Replica(scripted_target.ScriptedTarget):
    """A replica that rests or leaves when a test says so.

    Attributes
    ----------
    rest : str
        ``Retry-After`` of its refusals, until `rest_until`.
    leaving : bool
        Whether all answers say that it leaves.
    told : dict
        What it told each router process, by its name.
    ran : Counter
        Runs by request id.
    """

    def __init__(self, name):
        super().__init__(name, self.answer, keep_alive=True)
        self.rest = ""
        self.rest_until = 0.0
        self.leaving = False
        self.told = collections.defaultdict(compliance.Told)
        self.ran = collections.Counter()

    async def answer(self, seen, writer):
        """Answer one request as the state demands."""
        now = time.monotonic()
        told = self.told[seen.headers[ROUTER]]
        told.arrivals.append((now, float(seen.headers[SENT])))
        lines = [f"{headers.REQUEST_ID}: {seen.headers[headers.REQUEST_ID]}"]
        leaves, rests = self.leaving, False
        if leaves:
            lines.append(f"{headers.LEAVING}: 1")
        if seen.headers[headers.EXPECTED_TARGET] != self.name:
            status, body = 421, b""
        elif now < self.rest_until:
            status, body = 503, b""
            lines += [f"{headers.NOT_RUN}: 1", f"Retry-After: {self.rest}"]
            rests = True
        else:
            status, body = 200, self.name.encode()
            lines.append(f"{headers.SIGNATURE}: {self.name}")
            self.ran[seen.headers[headers.REQUEST_ID]] += 1
            await asyncio.sleep(0.005)
        lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join([f"HTTP/1.1 {status} Status", *lines, "", ""])
        # A router that has let go of a request, as this process was late,
        # is told nothing.
        is_heard = scripted_target.is_open(writer)
        if is_heard and leaves:
            told.leaving_at = min(told.leaving_at, now)
        if is_heard and rests:
            told.ask_for_rest(now, self.rest)
        writer.write(head.encode() + body)


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    """One keeper, some routers and replicas of one service."""

    routers = 2
    replicas = 3

    async def asyncSetUp(self):
        """Start the processes and replicas, and wait until they serve."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.network = ".".join(
            str(random.SystemRandom().randrange(1, 250)) for _ in range(2)
        )
        self.fleet_port, self.port = local_fleet.free_ports(2)
        self.client = tornado.httpclient.AsyncHTTPClient(force_instance=True)
        self.addCleanup(self.client.close)
        self.processes = {}
        self.starts = collections.Counter()
        self.frozen = collections.defaultdict(list)
        self.addCleanup(self.stop_all)
        self.all_replicas = []
        self.heartbeats = {}
        self.version = 0
        self.start("keeper")
        self.router_names = [f"router-{n}" for n in range(self.routers)]
        for name in self.router_names:
            self.start(name)
        await self.configure()
        for number in range(self.replicas):
            await self.add_replica(f"t{number}")
        for name in self.router_names:
            await self.wait_ready(name)

    async def asyncTearDown(self):
        """Stop the replicas."""
        for task in self.heartbeats.values():
            task.cancel()
        for replica in self.all_replicas:
            replica.stop()

    # -- processes -------------------------------------------------------

    def ip(self, name):
        """Return the address of a process."""
        number = 1 if name == "keeper" else 10 + int(name.partition("-")[2])
        return f"127.{self.network}.{number}"

    def settings(self, name):
        """Return what a process reads when it starts."""
        ip = self.ip(name)
        role = name.partition("-")[0]
        at = f"{ip}:{self.port}"
        listen = {"control": at}
        if role == "router":
            listen = {"frontend": at, "readiness": f"{ip}:{self.port + 1}"}
        return {
            "node_name": name,
            "zone": "here",
            "ip": ip,
            "internal_ports": [self.fleet_port, self.fleet_port],
            "listen": listen,
            "seeds": [f"{self.ip('keeper')}:{self.port}"],
            "bootstrap": True,
            "data_dir": str(self.folder / name) if role == "keeper" else "",
            "heartbeat_ms": HEARTBEAT_SECONDS * 1e3,
            "bounds": {"grace_s": 4, "retry_allowance": 1000},
        }

    def start(self, name):
        """Start a process under its address."""
        role = name.partition("-")[0]
        self.starts[name] += 1
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings(name)))
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "amaranthring.platform", role],
                env=os.environ | {"AMARANTHRING_BOOT": str(path)},
                stdout=log,
                stderr=log,
            )

    def incarnation(self, name):
        """Return the name of the running process called `name`."""
        return f"{name}.{self.starts[name]}"

    def stop_all(self):
        """Kill all processes."""
        for process in self.processes.values():
            process.kill()
            process.wait()

    async def restart(self, name, how=signal.SIGTERM):
        """Stop a process and start the next one."""
        process = self.processes[name]
        process.send_signal(how)
        await asyncio.to_thread(process.wait)
        self.start(name)
        if name != "keeper":
            await self.wait_ready(name)

    async def start_keeper(self, name="keeper"):
        """Start a keeper; wait until all routers are linked to it."""
        before = [self.links_logged(r, name) for r in self.router_names]
        self.start(name)
        async with asyncio.timeout(START_SECONDS):
            for router, count in zip(self.router_names, before, strict=True):
                while self.links_logged(router, name) <= count:  # noqa: ASYNC110
                    await asyncio.sleep(0.05)

    def links_logged(self, router, keeper):
        """Return how often a router has logged a link to a keeper."""
        at = f"{self.ip(keeper)}:{self.fleet_port}"
        line = f'"event": "keeper.linked", "keeper": "{at}"'
        log = (self.folder / f"{router}.log").read_text(errors="replace")
        return log.count(line)

    async def freeze(self, name, seconds):
        """Stop a process without ending it."""
        process = self.processes[name]
        self.frozen[self.incarnation(name)].append(time.monotonic())
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send_signal(signal.SIGCONT)
        self.frozen[self.incarnation(name)].append(time.monotonic())

    async def wait_ready(self, name):
        """Wait until a router serves, and its readiness says so."""
        url = f"http://{self.ip(name)}:{self.port + 1}/readyz"
        async with asyncio.timeout(START_SECONDS):
            while await self.fetch(url) != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.1)

    # -- operator and replicas -------------------------------------------

    async def fetch(self, url, body=None):
        """Return the status of a call, or 0 without a response."""
        try:
            response = await self.client.fetch(
                url,
                method="GET" if body is None else "POST",
                body=None if body is None else json.dumps(body),
                raise_error=False,
                request_timeout=1.0,
            )
        except (OSError, tornado.httpclient.HTTPError):
            return 0
        return response.code

    async def configure(self):
        """Put the next version of the configuration in force."""
        self.version += 1
        url = f"http://{self.ip('keeper')}:{self.port}/Configuration.Replace"
        async with asyncio.timeout(START_SECONDS):
            while await self.fetch(url, self.configuration()) != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.1)

    def configuration(self):
        """Return the document of the next configuration."""
        return configuration(self.version)

    async def add_replica(self, name):
        """Start a replica that announces itself."""
        replica = self.make_replica(name)
        await replica.start()
        self.all_replicas.append(replica)
        self.heartbeats[name] = asyncio.ensure_future(self.announce(replica))
        return replica

    def make_replica(self, name):
        """Return a replica that is not started yet."""
        return Replica(name)

    async def announce(self, replica):
        """Send heartbeats; none of them says that the replica leaves."""
        sequence = 0
        while True:
            sequence += 1
            await self.heartbeat(
                replica, self.heartbeat_body(replica, sequence)
            )
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def heartbeat_body(self, replica, sequence):
        """Return what a replica says in a heartbeat."""
        return {
            "backend": SERVICE,
            "address": replica.address,
            "zone": "here",
            "version": "v1",
            "batch_slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": sequence,
        }

    async def heartbeat(self, replica, body):
        """Send one heartbeat to the keepers."""
        await self.announce_to("keeper", replica, body)

    async def announce_to(self, keeper, replica, body):
        """Send one heartbeat to a keeper."""
        at = f"http://{self.ip(keeper)}:{self.port}"
        await self.fetch(f"{at}/Replicas.Heartbeat/{replica.name}", body)

    # -- callers ---------------------------------------------------------

    async def call(self, connection, incarnation, request_id, path="/a/x"):
        """Send one request on an open connection."""
        reader, writer = connection
        return await scripted_target.send_on(
            reader,
            writer,
            path,
            "POST",
            **{
                headers.REQUEST_ID: request_id,
                headers.DEADLINE: "3000",
                headers.AUTHORIZATION: f"Bearer key-{request_id[:4]}",
                ROUTER: incarnation,
                SENT: repr(time.monotonic()),
            },
        )

    async def send_once(self, router, path):
        """Send one request on a new connection.

        Returns
        -------
        sent_at : float
            Monotonic seconds.
        status : int
            Of the answer; 0 without one.
        """
        sent_at = time.monotonic()
        try:
            connection = await asyncio.open_connection(
                self.ip(router), self.port
            )
            request_id = f"alba-{uuid.uuid4().hex[:12]}"
            response = await self.call(connection, router, request_id, path)
        except (OSError, EOFError, ValueError):
            return sent_at, 0
        connection[1].close()
        return sent_at, response.status


class FaultCase(PlatformCase):
    """Processes that are disturbed in series, and callers beside them.

    Attributes
    ----------
    rng : random.Random
        Chooses all faults.
    stopped : bool
        Whether callers send no further requests.
    statuses : Counter
        Answers by status.
    refused : set of str
        Ids of the requests that were refused.
    busy : set of str
        Processes that are being disturbed.
    keeper_faults : list of list of float
        When the keeper was disturbed, from and until.
    """

    rng = random.Random(1)

    async def asyncSetUp(self):
        """Start the fleet; nothing is disturbed."""
        self.stopped = False
        self.statuses = collections.Counter()
        self.refused = set()
        self.busy = set()
        self.keeper_faults = []
        await super().asyncSetUp()

    async def asyncTearDown(self):
        """Stop the callers and the replicas."""
        # A caller that misses its cancellation must not keep a failed test
        # from ending.
        self.stopped = True
        await super().asyncTearDown()

    async def inject(self, kinds, seconds):
        """Begin faults of random `kinds` for `seconds`; await their ends."""
        faults = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.uniform(0.1, 0.7))
            faults.append(asyncio.ensure_future(self.rng.choice(kinds)()))
        await asyncio.gather(*faults)

    async def restart_router(self):
        """Restart a router, gracefully or not."""
        async with self.undisturbed_router() as name:
            if name:
                how = self.rng.choice((signal.SIGTERM, signal.SIGKILL))
                await self.restart(name, how)

    async def freeze_router(self):
        """Stop a router for a moment."""
        async with self.undisturbed_router() as name:
            if name:
                await self.freeze(name, self.rng.uniform(0.2, 1.5))

    @contextlib.asynccontextmanager
    async def undisturbed_router(self):
        """Yield a router without a fault, unless it is the last one."""
        free = sorted(set(self.router_names) - self.busy)
        name = self.rng.choice(free) if len(free) > 1 else ""
        self.busy.add(name)
        try:
            yield name
        finally:
            self.busy.discard(name)

    async def freeze_keeper(self):
        """Cut all routers from their only keeper."""
        await self.disturb_keeper(
            lambda: self.freeze("keeper", self.rng.uniform(0.5, 3.0))
        )

    async def restart_keeper(self):
        """Kill the only keeper and start it again."""
        await self.disturb_keeper(
            lambda: self.restart("keeper", signal.SIGKILL)
        )

    async def disturb_keeper(self, fault):
        """Run a fault of the keeper, unless another one is on."""
        if "keeper" in self.busy:
            return
        self.busy.add("keeper")
        times = [time.monotonic(), float("inf")]
        self.keeper_faults.append(times)
        await fault()
        times[1] = time.monotonic()
        self.busy.discard("keeper")

    async def call_until_stopped(self, number, is_same=True):
        """Send requests on open connections until their process is gone.

        Parameters
        ----------
        is_same : bool
            Whether all requests have the same path.
        """
        sent = 0
        while not self.stopped:
            name = self.rng.choice(self.router_names)
            incarnation = self.incarnation(name)
            try:
                connection = await asyncio.wait_for(
                    asyncio.open_connection(self.ip(name), self.port), 1.0
                )
            except (OSError, TimeoutError):
                await asyncio.sleep(0.05)
                continue
            while not self.stopped and self.incarnation(name) == incarnation:
                sent += 1
                kind = self.rng.choice(tuple(ROUTES))
                account = self.rng.choice(("alba", "bela"))
                request_id = f"{account}-{kind}-{number}-{sent}"
                path = f"{ROUTES[kind]}{'x' if is_same else request_id}"
                response = await self.call_once(
                    connection, incarnation, request_id, path
                )
                if response is None or not response.status:
                    break
                if response.headers.get("Connection") == "close":
                    break
            connection[1].close()

    async def call_once(self, connection, incarnation, request_id, path):
        """Return the response, or None if the connection broke."""
        try:
            response = await asyncio.wait_for(
                self.call(connection, incarnation, request_id, path), 8.0
            )
        except (OSError, TimeoutError):
            return None
        self.statuses[response.status] += 1
        if response.status == 503:
            self.refused.add(request_id)
            self.assertIn("Retry-After", response.headers)
            # Impatient: it comes back before it is told to.
            await asyncio.sleep(0.02)
        return response
