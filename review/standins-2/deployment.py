"""A small deployment on loopback addresses, for the scripts of review 2.

Starts the programs of the deploy file as separate processes, with settings as
the platform writes them, and stands in for the platform, the operator, the
replicas and the clients. Needs nothing but the standard library.
"""

import asyncio
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import time
import tomllib
import uuid

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
ZONES = ("suva-hall", "nausori-hall", "lautoka-hall")
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "revert_slack_ms": 250,
    "outer_ms": 5000,
    "revoke_strict": True,
    "revoke_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_allowance": 52,
    "recover_s": 12,
    "iteration_ms": 120,
    "retry_after_s": 10,
    "cap_factor": 2,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
HEARTBEAT_SECONDS = 1.2
CALL_SECONDS = 1.0
START_SECONDS = 25.0
READ_BYTES = 65536
BROKEN = 1
HELD = 0
NOT_RUN = 2


class NotRunError(Exception):
    """The case could not be run."""


# -- HTTP --------------------------------------------------------------------


class Answer:
    """Answer to one request.

    Attributes
    ----------
    status : int
        0 before the head has arrived.
    whole : bool
        Whether the body is complete.
    """

    def __init__(self):
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.whole = False


async def read_head(reader):
    """Return the first line and the headers, with names in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {n.strip().lower(): v.strip() for n, _, v in pairs}


async def read_body(reader, answer) -> None:
    """Read the body of `answer`."""
    if "transfer-encoding" in answer.headers:
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            answer.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    elif "content-length" in answer.headers:
        size = int(answer.headers["content-length"])
        answer.body = await reader.readexactly(size)
    else:
        while data := await reader.read(READ_BYTES):
            answer.body += data
    answer.whole = True


async def exchange(connection, method, path, headers=None, body=b""):
    """Send a request on an open connection; return the whole answer."""
    reader, writer = connection
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join([*lines, "", ""]).encode()
    writer.write(head + body)
    answer = Answer()
    first, answer.headers = await read_head(reader)
    answer.status = int(first.split()[1])
    await read_body(reader, answer)
    return answer


async def call(ip, port, method, path, headers=None, body=b""):
    """Send a request on a connection of its own."""
    connection = await asyncio.open_connection(ip, port)
    try:
        return await exchange(connection, method, path, headers, body)
    finally:
        connection[1].transport.abort()


async def try_call(ip, port, method, path, body=b""):
    """Return the answer to a call to a keeper or router, or None."""
    headers = {"Content-Type": "application/json"}
    try:
        return await asyncio.wait_for(
            call(ip, port, method, path, headers, body), CALL_SECONDS
        )
    except (OSError, EOFError, TimeoutError):
        return None


# -- configuration -----------------------------------------------------------


def route(name, kind, backend, timeout_ms=1000, aim_ms=125, **fields):
    """Return a route of the configuration."""
    known = {
        "name": name,
        "hostname": HOST,
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": timeout_ms,
        "latency_target_ms": aim_ms,
        "priority": 1,
        "backend": backend,
        "max_attempts": 1 if kind == "unsafe" else 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        "itl_target_ms": 0,
    }
    return known | fields


def configuration(version, routes, backends):
    """Return a configuration with two tenants."""
    return {
        "version": version,
        "routes": routes,
        "backends": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_conns": 96,
                "protocol": "h1",
                "tls": False,
            }
            for name in backends
        ],
        "limits": LIMITS,
        "tenants": [
            {"name": name, "api_keys": [f"key-{name}"], "priority": 1}
            for name in ("hule930", "pomi212")
        ],
    }


def caller_headers(request_id, deadline_ms, tenant="hule930"):
    """Return the headers that a client sends."""
    return {
        "Amaranthring-Request-Id": request_id,
        "Amaranthring-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer key-{tenant}",
    }


# -- processes ---------------------------------------------------------------


def _free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = sorted(sock.getsockname()[1] for sock in sockets)
    for sock in sockets:
        sock.close()
    return ports


class Deployment:
    """Keepers and routers, each with a loopback address of its own.

    Parameters
    ----------
    folder : path
        For settings, disks and logs.
    """

    def __init__(self, folder, keepers=3, routers=2):
        self.folder = pathlib.Path(folder)
        chosen = random.SystemRandom()
        self.network = f"127.{chosen.randrange(10, 250)}"
        self.network += f".{chosen.randrange(1, 250)}"
        ports = _free_ports(4)
        self.fleet_port, self.peers_port, self.port, self.ready_port = ports
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        self.roles = tomllib.loads(deploy)["roles"]
        self.keepers = [f"keeper-{n}" for n in range(keepers)]
        self.routers = [f"router-{n}" for n in range(routers)]
        self.processes: dict[str, subprocess.Popen] = {}
        # In a session of its own, so that a signal to the script's group does
        # not end it first.
        self.guard = subprocess.Popen(
            [
                sys.executable,
                str(pathlib.Path(__file__).with_name("guard.py")),
            ],
            stdin=subprocess.PIPE,
            text=True,
            start_new_session=True,
        )
        self.is_first_start = True
        self.replicas = 0

    def ip(self, name) -> str:
        """Return the address of a process."""
        role, _, number = name.partition("-")
        first = 1 if role == "keeper" else 50
        return f"{self.network}.{first + int(number)}"

    def replica_ip(self) -> str:
        """Return the address of the next replica."""
        self.replicas += 1
        return f"{self.network}.{99 + self.replicas}"

    def settings(self, name):
        """Return what the platform writes for a process."""
        role, _, number = name.partition("-")
        ip = self.ip(name)
        at = f"{ip}:{self.port}"
        listen = {"control": at}
        if role == "router":
            ready = f"{ip}:{self.ready_port}"
            listen = {"frontend": at, "readiness": ready}
        disk = str(self.folder / name) if role == "keeper" else None
        return {
            "node_name": name,
            "role": role,
            "machine_class": self.roles[role]["on"],
            "serves": self.roles[role]["serves"],
            "ip": ip,
            "zone": ZONES[int(number) % len(ZONES)],
            "region": "viti-levu",
            "zones": dict.fromkeys(ZONES, "viti-levu"),
            "listen": listen,
            "internal_ports": [self.fleet_port, self.peers_port],
            "seeds": [f"{self.ip(k)}:{self.port}" for k in self.keepers[:3]],
            "bootstrap": self.is_first_start,
            "failure_counted": role == "keeper",
            "limits": {
                "cpu_share": 1.0,
                "cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 128 if disk else 0,
            },
            "data_dir": disk,
            "discovery": "registration",
            "entry": "vip",
            "heartbeat_ms": int(HEARTBEAT_SECONDS * 1000),
            "contracts": ["base", "drain", "config", "retry", "tenants"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
        }

    def write_settings(self, name) -> pathlib.Path:
        """Write the settings file of a process; return its path."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings(name)))
        return path

    def start(self, name) -> None:
        """Start a process with the command of the deploy file."""
        role = name.partition("-")[0]
        path = self.write_settings(name)
        if role == "keeper":
            (self.folder / name).mkdir(exist_ok=True)
        kept = ("PATH", "HOME", "LANG")
        environment = {n: os.environ[n] for n in kept if n in os.environ}
        environment["AMARANTHRING_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                shlex.split(self.roles[role]["run"]),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._tell_guard("+", self.processes[name])

    def _tell_guard(self, change, process) -> None:
        self.guard.stdin.write(f"{change}{process.pid}\n")
        self.guard.stdin.flush()

    def kill(self, name) -> None:
        """Kill a process."""
        process = self.processes.pop(name)
        if process.poll() is None:
            process.kill()
        process.wait()
        self._tell_guard("-", process)

    def check_running(self) -> None:
        """Check that no process has ended by itself.

        Raises
        ------
        NotRunError
            If one has.
        """
        ended = {
            name: process.poll()
            for name, process in self.processes.items()
            if process.poll() is not None
        }
        if ended:
            raise NotRunError(f"processes have ended: {ended}")

    async def start_all(self, document) -> None:
        """Start everything; return once the routers serve `document`."""
        for name in [*self.keepers, *self.routers]:
            self.start(name)
        if await self.put(document) is None:
            raise NotRunError("no keeper acknowledged the configuration")
        await self.wait_ready()
        self.is_first_start = False

    async def put(self, document, seconds=START_SECONDS):
        """Have a configuration acknowledged; return by whom, or None."""
        body = json.dumps(document).encode()
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for name in self.keepers:
                answer = await try_call(
                    self.ip(name),
                    self.port,
                    "POST",
                    "/Configuration.Replace",
                    body,
                )
                if answer is not None and answer.status == 200:
                    return name
                await asyncio.sleep(0.1)
        return None

    async def is_ready(self, name) -> bool:
        """Return whether a router says that it is ready."""
        answer = await try_call(
            self.ip(name), self.ready_port, "GET", "/readyz"
        )
        return answer is not None and answer.status == 200

    async def wait_ready(self, names=None) -> None:
        """Wait until routers are ready."""
        deadline = time.monotonic() + START_SECONDS
        for name in names or self.routers:
            while not await self.is_ready(name):
                if time.monotonic() > deadline:
                    raise NotRunError(f"{name} does not become ready")
                await asyncio.sleep(0.1)

    def stop_all(self) -> None:
        """End all processes."""
        for name in list(self.processes):
            self.kill(name)
        self.guard.stdin.close()
        self.guard.wait()


# -- replicas ----------------------------------------------------------------


class Replica:
    """A sound replica that announces itself.

    Parameters
    ----------
    work : float
        Seconds that a request takes.

    Attributes
    ----------
    runs : list of str
        Ids of the requests that it has run.
    """

    def __init__(self, deployment, backend, work=0.005):
        self.deployment = deployment
        self.backend = backend
        self.work = work
        self.id = f"i-{uuid.uuid4().hex[:8]}"
        self.ip = deployment.replica_ip()
        self.port = 0
        self.sequence = 0
        self.state = "ready"
        self.runs: list[str] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.server = None
        self.beating = None

    async def start(self) -> None:
        """Listen, and announce it."""
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, limit=8 * 1024 * 1024
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.beating = asyncio.ensure_future(self.beat())

    def stop(self) -> None:
        """End at once, as by a crash."""
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def heartbeat(self) -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        record = {
            "backend": self.backend,
            "address": f"{self.ip}:{self.port}",
            "zone": ZONES[self.deployment.replicas % len(ZONES)],
            "version": "v1",
            "batch_slots": 64,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
        }
        return json.dumps(record).encode()

    async def beat(self) -> None:
        """Send heartbeats, each to the first keeper that takes it."""
        keepers = self.deployment.keepers
        first = random.randrange(len(keepers))
        while True:
            body = self.heartbeat()
            for number in range(len(keepers)):
                name = keepers[(first + number) % len(keepers)]
                answer = await try_call(
                    self.deployment.ip(name),
                    self.deployment.port,
                    "POST",
                    f"/Replicas.Heartbeat/{self.id}",
                    body,
                )
                if answer is not None and answer.status == 200:
                    break
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def serve(self, reader, writer) -> None:
        """Answer the requests of one connection."""
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size)
                await self.answer(first.split()[1], headers, body, writer)
        except (EOFError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, path, headers, body, writer) -> None:
        """Answer one request, which has arrived whole."""
        del path, body
        request_id = headers.get("amaranthring-request-id", "")
        if headers.get("amaranthring-expect-replica", self.id) != self.id:
            writer.write(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
            return
        self.runs.append(request_id)
        await asyncio.sleep(self.work)
        await self.send(writer, request_id, f"done {request_id}".encode())

    async def send(self, writer, request_id, body) -> None:
        """Send a signed answer."""
        lines = [
            "HTTP/1.1 200 OK",
            f"Amaranthring-Request-Id: {request_id}",
            f"Amaranthring-Replica-Signature: {self.id}",
            f"Content-Length: {len(body)}",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()


# -- scripts -----------------------------------------------------------------


class Record:
    """What was sent, answered and run, for ``record.txt``."""

    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.path.write_text("")
        self.began = time.monotonic()
        self.lines: list[str] = []

    def write(self, text) -> None:
        """Add one line."""
        seconds = time.monotonic() - self.began
        self.lines.append(f"{seconds:8.3f} {text}\n")

    def save(self) -> None:
        """Write the file."""
        self.path.write_text("".join(self.lines))


def has_trouble() -> bool:
    """Return whether the script is to disturb the deployment."""
    return os.environ.get("TROUBLE", "1") != "0"


async def _run(case, record, seconds) -> bool:
    """Run `case`; a signal that ends the script cancels it."""
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(case(record), seconds)


def main(case, folder, seconds=110.0) -> None:
    """Run `case`, a coroutine function that takes the record, and exit.

    It returns whether the rule was broken. The record is written to `folder`.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    record.write(f"trouble: {has_trouble()}")
    try:
        broken = asyncio.run(_run(case, record, seconds))
        record.write("broken" if broken else "held")
        code = BROKEN if broken else HELD
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"not run: {error!r}")
        code = NOT_RUN
    finally:
        record.save()
    sys.exit(code)
