"""Clients outside all limits, at every listener of the fleet's processes.

No time and no share of requests is judged: each process lives, its memory
and descriptors stay under the bounds of its own settings, and an ordinary
request is answered while the crowd is there and after it has left.
"""

import asyncio
import json
import pathlib
import signal
import tempfile
import time
import unittest
import uuid

from amaranthring.platform import headers
from amaranthring.platform import node
from amaranthring.testing import crowd
from amaranthring.testing import local_fleet
from tests import platform_case

# Of the settings of each process: bounds that its crowd would pass, and that
# hold the process in calm with several bodies at the greatest size.
MEMORY_MB = 100
MAX_FDS = 500
BODY_BYTES = 1_000_000
CROWD = 120
IDLE_CROWD = 700
HOLD_SECONDS = 2.0
# Scripts that are not read to their end are given up after this time.
SEND_SECONDS = 10.0
ANSWER_SECONDS = 30.0
PIECE = b"x" * 65536
TINY = crowd.chunk(b"x") * 4096
FRAME_BYTES = 8 * 1024 * 1024


def head(path="/a/x", key="key-alba", *lines):
    """Return the head of a request, without the empty line."""
    return "\r\n".join(
        [
            f"POST {path} HTTP/1.1",
            f"Host: {platform_case.HOST}",
            f"{headers.REQUEST_ID}: {uuid.uuid4().hex[:16]}",
            f"{headers.DEADLINE}: 30000",
            f"{headers.AUTHORIZATION}: Bearer {key}",
            f"{platform_case.ROUTER}: crowd",
            f"{platform_case.SENT}: 0",
            *lines,
            "",
        ]
    ).encode()


def chunked(size, *where):
    """Return a script that sends all but the end of a chunked body."""

    async def script(writer):
        writer.write(head(*where) + b"Transfer-Encoding: chunked\r\n\r\n")
        for start in range(0, size, len(PIECE)):
            writer.write(crowd.chunk(PIECE[: size - start]))
            await writer.drain()

    return script


def lengthy(length, size, *where):
    """Return a script that sends `size` bytes of a body of known length."""

    async def script(writer):
        writer.write(head(*where) + b"Content-Length: %d\r\n\r\n" % length)
        for start in range(0, size, len(PIECE)):
            writer.write(PIECE[: size - start])
            await writer.drain()

    return script


def tiny(count, *where):
    """Return a script that sends chunks of one byte."""

    async def script(writer):
        writer.write(head(*where) + b"Transfer-Encoding: chunked\r\n\r\n")
        for _ in range(0, count, 4096):
            writer.write(TINY)
            await writer.drain()

    return script


def endless_head(size, *where):
    """Return a script that sends a head without its end."""

    async def script(writer):
        writer.write(head(*where) + b"X-A: ")
        for start in range(0, size, len(PIECE)):
            writer.write(PIECE[: size - start])
            await writer.drain()

    return script


async def silent(writer):
    """Send nothing."""


class Replica(platform_case.Replica):
    """A replica that may answer late, or at length."""

    delay = 0.0
    body = b"ok"

    async def answer(self, seen, writer):
        """Answer the way that a test has set."""
        given = seen.headers
        await asyncio.sleep(self.delay)
        is_own = given[headers.EXPECTED_TARGET] == self.name
        lines = [
            f"HTTP/1.1 {200 if is_own else 421} Status",
            f"{headers.REQUEST_ID}: {given[headers.REQUEST_ID]}",
            f"{headers.SIGNATURE}: {self.name}",
            f"Content-Length: {len(self.body)}",
            "",
            "",
        ]
        writer.write("\r\n".join(lines).encode() + self.body)


class CrowdCase(platform_case.PlatformCase):
    """One keeper, one router and a replica beside a crowd."""

    routers = 1
    replicas = 1
    memory_mb = MEMORY_MB
    body_bytes = BODY_BYTES
    hold_seconds = HOLD_SECONDS

    def settings(self, name):
        """Return settings with low limits."""
        limits = {"memory_mb": self.memory_mb, "max_fds": MAX_FDS}
        return super().settings(name) | {"limits": limits}

    def configuration(self):
        """Return a plan with a low limit on bodies."""
        found = super().configuration()
        found["limits"]["max_body_bytes"] = self.body_bytes
        for route in found["routes"]:
            route["timeout_ms"] = 30000
        return found

    def make_replica(self, name):
        return Replica(name)

    async def ordinary(self, size=2):
        """Return the status of an ordinary request, which may be repeated."""
        status = 0
        until = time.monotonic() + ANSWER_SECONDS
        while status != 200 and time.monotonic() < until:
            try:
                status = await asyncio.wait_for(self._ask_once(size), 10.0)
            except (OSError, EOFError, TimeoutError):
                await asyncio.sleep(0.2)
        return status

    async def _ask_once(self, size):
        reader, writer = await asyncio.open_connection(
            self.ip("router-0"), self.port
        )
        try:
            length = f"Content-Length: {size}"
            writer.write(head("/a/y", "key-bela", length, "Connection: close"))
            writer.write(b"\r\n" + b"x" * size)
            return int((await reader.readline()).split()[1])
        except (IndexError, ValueError):
            return 0
        finally:
            writer.transport.abort()

    async def meet(self, script, at=None, count=CROWD, resets=False):
        """Let a crowd come to a process, and check what must hold.

        Parameters
        ----------
        at : tuple of str and int, optional
            Name of the process and its port; the router's for callers by
            default.
        """
        name, port = at or ("router-0", self.port)
        self.assertEqual(await self.ordinary(), 200, "in calm")
        watches = {
            each: crowd.UsageWatch(process.pid, self.ip(each))
            for each, process in self.processes.items()
        }
        clients = crowd.Crowd((self.ip(name), port), script, count, resets)
        await clients.wait_sent(SEND_SECONDS)
        await asyncio.sleep(self.hold_seconds)
        during = await self.ordinary()
        await self.configure()
        await clients.leave()
        after = await self.ordinary()
        for each, watch in watches.items():
            watch.stop()
            memory, descriptors = watch.check()
            self.assertIsNone(self.processes[each].poll(), f"{each} ended")
            self.assertLess(memory, self.memory_mb, each)
            self.assertLess(descriptors, MAX_FDS, each)
        self.assertEqual((during, after), (200, 200))
        return clients.outcomes


class TestBodies(CrowdCase):
    """Bodies that callers send to a router."""

    async def test_chunked_bodies_without_end(self):
        """Guards against the sum of all unfinished bodies being unbounded."""
        await self.meet(chunked(BODY_BYTES - 1))

    async def test_chunked_bodies_with_an_unknown_key(self):
        """Guards against holding what is refused for its head anyway."""
        await self.meet(chunked(BODY_BYTES - 1, "/a/x", "nobody"))

    async def test_chunked_bodies_for_an_unknown_route(self):
        """Guards against holding what is refused for its head anyway."""
        await self.meet(chunked(BODY_BYTES - 1, "/nowhere/x"))

    async def test_bodies_of_known_length_without_end(self):
        """Guards against the sum of all unfinished bodies being unbounded."""
        await self.meet(lengthy(BODY_BYTES, BODY_BYTES - 1))

    async def test_chunked_bodies_over_the_limit(self):
        """Guards against reading on what is known to be too large."""
        outcomes = await self.meet(chunked(4 * BODY_BYTES))
        self.assertIn("HTTP/1.1 413 Request Entity Too Large", outcomes)

    async def test_announced_bodies_over_the_limit(self):
        """Guards against a wrong status, or none, for an announced length."""
        outcomes = await self.meet(lengthy(2**30, 4 * BODY_BYTES))
        self.assertEqual(
            dict(outcomes), {"HTTP/1.1 413 Request Entity Too Large": CROWD}
        )

    async def test_bodies_that_are_reset(self):
        """Guards against memory that outlives its connection."""
        await self.meet(chunked(BODY_BYTES - 1), resets=True)

    async def test_bodies_after_a_whole_request(self):
        """Guards against memory of a connection's second request."""

        async def script(writer):
            writer.write(head() + b"Content-Length: 2\r\n\r\n{}")
            await writer.drain()
            await asyncio.sleep(0.5)
            await chunked(BODY_BYTES - 1)(writer)

        await self.meet(script)

    async def test_whole_bodies_that_wait_for_a_target(self):
        """Guards against the sum of all running requests being unbounded."""
        replica = self.all_replicas[0]

        async def script(writer):
            replica.delay = 3.0
            await lengthy(BODY_BYTES, BODY_BYTES)(writer)

        await self.meet(script)

    async def test_one_large_body_is_served(self):
        """Guards against a limit that a single sound request meets."""
        self.assertEqual(await self.ordinary(BODY_BYTES), 200)

    async def test_one_body_in_small_chunks_is_served(self):
        """Guards against refusing a request for the size of its chunks."""
        reader, writer = await asyncio.open_connection(
            self.ip("router-0"), self.port
        )
        await tiny(40960)(writer)
        writer.write(b"0\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), ANSWER_SECONDS)
        writer.close()
        self.assertIn(b" 200 ", line)


class TestLargeBodies(CrowdCase):
    """Bodies of the size and VMs of the memory that are usual."""

    memory_mb = 200
    body_bytes = 4 * 1024 * 1024
    hold_seconds = 8.0

    async def test_large_bodies_that_are_reset(self):
        """Guards against parts of bodies that outlive their connection."""
        await self.meet(chunked(self.body_bytes - 1), resets=True)

    async def test_large_bodies_without_end(self):
        """Guards against the sum of all unfinished bodies being unbounded."""
        await self.meet(chunked(self.body_bytes - 1))


class TestPieces(CrowdCase):
    """What arrives in the smallest pieces."""

    async def test_chunks_of_one_byte(self):
        """Guards against turns of the event loop that pieces prolong."""
        await self.meet(tiny(200_000))

    async def test_heads_of_one_byte_a_packet(self):
        """Guards against turns of the event loop that pieces prolong."""

        async def script(writer):
            writer.write(head() + b"X-A: ")
            for _ in range(1000):
                writer.write(b"y")
                await writer.drain()
                await asyncio.sleep(0)

        await self.meet(script)

    async def test_chunk_lines_without_end(self):
        """Guards against a chunk's length that never ends."""

        async def script(writer):
            writer.write(head() + b"Transfer-Encoding: chunked\r\n\r\n")
            for _ in range(16):
                writer.write(b"0" * 65536)
                await writer.drain()

        await self.meet(script)


class TestConnections(CrowdCase):
    """Connections and heads."""

    async def test_heads_without_end(self):
        """Guards against the sum of all unfinished heads being unbounded."""
        await self.meet(endless_head(250_000), count=400)

    async def test_heads_of_many_lines(self):
        """Guards against what a head takes once it is parsed."""

        async def script(writer):
            lines = b"".join(b"%x:\r\n" % n for n in range(2500))
            writer.write(head() + lines)
            writer.write(b"Transfer-Encoding: chunked\r\n\r\n1\r\n")
            await writer.drain()

        await self.meet(script, count=250)

    async def test_silent_connections(self):
        """Guards against silent connections that shut callers out."""
        await self.meet(silent, count=IDLE_CROWD)

    async def test_silent_connections_to_the_readiness_address(self):
        """Guards against a listener whose connections are not limited."""
        await self.meet(silent, ("router-0", self.port + 1), count=IDLE_CROWD)

    async def test_silent_connections_to_a_keeper(self):
        """Guards against a listener whose connections are not limited."""
        await self.meet(silent, ("keeper", self.port), count=IDLE_CROWD)

    async def test_silent_links(self):
        """Guards against links of which nobody proves who it is."""
        at = "router-0", self.fleet_port
        await self.meet(silent, at, count=IDLE_CROWD)

    async def test_pipelined_requests(self):
        """Guards against what is read before it is its turn."""

        async def script(writer):
            self.all_replicas[0].delay = 1.0
            body = head() + b"Content-Length: 65536\r\n\r\n" + PIECE
            for _ in range(16):
                writer.write(body)
                await writer.drain()

        await self.meet(script)

    async def test_answers_that_are_not_read(self):
        """Guards against answers that wait for callers who don't read."""
        self.all_replicas[0].body = PIECE * 16

        async def script(writer):
            writer.transport.pause_reading()
            for _ in range(8):
                writer.write(head() + b"Content-Length: 2\r\n\r\n{}")
            await writer.drain()

        await self.meet(script)


class TestOtherListeners(CrowdCase):
    """Listeners that are not for callers."""

    async def test_bodies_sent_to_a_keeper(self):
        """Guards against unfinished calls to a keeper that fill it."""
        script = chunked(BODY_BYTES - 1, "/Configuration.Replace")
        await self.meet(script, ("keeper", self.port))

    async def test_heads_sent_to_a_keeper(self):
        """Guards against unfinished heads of calls to a keeper."""
        script = endless_head(250_000, "/Configuration.Replace")
        await self.meet(script, ("keeper", self.port), count=400)

    async def test_chunks_of_one_byte_sent_to_a_keeper(self):
        """Guards against pieces that keep a keeper from its work."""
        script = tiny(200_000, "/Configuration.Replace")
        await self.meet(script, ("keeper", self.port))

    async def test_bodies_sent_to_the_readiness_address(self):
        """Guards against bodies where none is expected."""
        script = chunked(BODY_BYTES - 1, "/readyz")
        await self.meet(script, ("router-0", self.port + 1))

    async def test_bodies_sent_to_the_metrics_address(self):
        """Guards against bodies where none is expected."""
        script = chunked(BODY_BYTES - 1, "/metrics")
        await self.meet(script, ("router-0", node.METRICS_PORT))

    async def test_frames_without_end_to_a_keeper(self):
        """Guards against frames of a peer that has not proved who it is."""
        await self.meet(endless_frame, ("keeper", self.fleet_port))

    async def test_frames_without_end_to_a_router(self):
        """Guards against frames of a peer that has not proved who it is."""
        await self.meet(endless_frame, ("router-0", self.fleet_port))

    async def test_a_router_stops_beside_a_crowd(self):
        """Guards against a crowd that keeps a router from its end."""
        clients = crowd.Crowd(
            (self.ip("router-0"), self.port), chunked(BODY_BYTES - 1), CROWD
        )
        await clients.wait_sent(SEND_SECONDS)
        process = self.processes["router-0"]
        process.send_signal(signal.SIGTERM)
        code = await asyncio.wait_for(
            asyncio.to_thread(process.wait), ANSWER_SECONDS
        )
        await clients.leave()
        self.assertEqual(code, 0)


async def endless_frame(writer):
    """Send a msgpack string of which the end never comes."""
    writer.write(b"\xc6" + FRAME_BYTES.to_bytes(4, "big"))
    for _ in range(0, BODY_BYTES, len(PIECE)):
        writer.write(PIECE)
        await writer.drain()


class TestOwnInterface(unittest.IsolatedAsyncioTestCase):
    """The product's own interface, of a router and of a keeper."""

    # With the modules that only this interface needs.
    memory_mb = 120

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name)
        local_fleet.write_settings(
            path,
            1,
            1,
            f"[callers]\nbody_bytes_most = {BODY_BYTES}\n",
            process=f"memory_bytes = {self.memory_mb * crowd.MEGABYTE}\n"
            f"descriptors_most = {MAX_FDS}\n",
        )
        self.fleet = local_fleet.LocalFleet(path, path / "logs")
        self.addCleanup(self.fleet.stop_all)
        for name in ("keeper-1", "router-1"):
            self.fleet.start(name)
        await asyncio.to_thread(self.fleet.wait_ready, ["router-1"])
        here = local_fleet.DATA_CENTRES[0]
        self.fleet.start_target("engine", "engine-1", "--data-centre", here)
        await asyncio.to_thread(self.fleet.wait_targets, 1, ["router-1"])

    def ordinary(self):
        """Return the status of an ordinary chat, which may be repeated."""
        status = 0
        until = time.monotonic() + ANSWER_SECONDS
        message = {"role": "user", "content": "hello"}
        body = json.dumps({"model": "m1", "messages": [message]})
        key = local_fleet.ACCOUNTS["vanua"]
        while status != 200 and time.monotonic() < until:
            status, _ = local_fleet.http_request(
                "POST",
                self.fleet.callers_url("router-1") + "/v1/chat/completions",
                {"Authorization": f"Bearer {key}"},
                body.encode(),
            )
        return status

    async def meet(self, script, url, name, count=CROWD):
        """Let a crowd come to a process, and check what must hold."""
        self.assertEqual(await asyncio.to_thread(self.ordinary), 200)
        pid = self.fleet.processes[name].popen.pid
        watch = crowd.UsageWatch(pid)
        host, port = url.removeprefix("http://").split(":")
        clients = crowd.Crowd((host, int(port)), script, count)
        await clients.wait_sent(SEND_SECONDS)
        await asyncio.sleep(HOLD_SECONDS)
        during = await asyncio.to_thread(self.ordinary)
        await clients.leave()
        after = await asyncio.to_thread(self.ordinary)
        watch.stop()
        memory, descriptors = watch.check()
        self.assertIsNone(self.fleet.processes[name].popen.poll())
        self.assertLess(memory, self.memory_mb)
        self.assertLess(descriptors, MAX_FDS)
        self.assertEqual((during, after), (200, 200))

    async def test_chunked_bodies_of_callers(self):
        """Guards against the sum of all unfinished bodies being unbounded."""
        key = local_fleet.ACCOUNTS["vanua"]
        script = chunked(BODY_BYTES - 1, "/v1/chat/completions", key)
        url = self.fleet.callers_url("router-1")
        await self.meet(script, url, "router-1")

    async def test_chunks_of_one_byte_of_callers(self):
        """Guards against turns of the event loop that pieces prolong."""
        key = local_fleet.ACCOUNTS["vanua"]
        script = tiny(200_000, "/v1/chat/completions", key)
        url = self.fleet.callers_url("router-1")
        await self.meet(script, url, "router-1")

    async def test_bodies_sent_to_the_internal_address(self):
        """Guards against unsigned bodies where nobody has to sign."""
        script = chunked(BODY_BYTES - 1, "/targets/announce")
        url = self.fleet.internal_url("router-1")
        await self.meet(script, url, "router-1")

    async def test_bodies_sent_to_the_internal_address_of_a_keeper(self):
        """Guards against unsigned bodies where nobody has to sign."""
        script = chunked(BODY_BYTES - 1, "/targets/announce")
        url = self.fleet.internal_url("keeper-1")
        await self.meet(script, url, "keeper-1")

    async def test_heads_without_end(self):
        """Guards against the sum of all unfinished heads being unbounded."""
        script = endless_head(30_000, "/v1/chat/completions")
        url = self.fleet.callers_url("router-1")
        await self.meet(script, url, "router-1", count=2000)
