"""Proper requests with long bodies or many header lines.

``LONG_SEED`` chooses the series, ``LONG_SECONDS`` its length, and
``LONG_CLIENTS`` the number of its clients.
"""

import asyncio
import collections
import json
import os
import random
import unittest

import tornado.httputil

from amaranthring.core import endpoints
from amaranthring.core import listeners
from amaranthring.platform import headers
from tests import platform_case

MAX_BODY_BYTES = 4 * 1024 * 1024
LONG = 200_000
SHORT = 600
REQUESTS = 40
ANSWER_SECONDS = 10.0
SEED = os.environ.get("LONG_SEED", "1")
SECONDS = float(os.environ.get("LONG_SECONDS", "8"))
CLIENTS = int(os.environ.get("LONG_CLIENTS", "12"))
SIZES = (0, 1, SHORT, 20_000, 65_536, LONG, 1_000_000, 4_000_000)
LINES = (0, 0, 20, 200, 700)
PIECES = (0, 0, 0, 1_400, 65_536)
# Final answers, which no request of the series has earned.
DENIALS = {400, 401, 403, 404, 405, 411, 413, 414, 417, 421, 431}
MIN_SERVED = 30


def request(number, size, lines=0):
    """Return a request with a body of `size` bytes and further `lines`."""
    head = [
        "POST /a/x HTTP/1.1",
        f"Host: {platform_case.HOST}",
        f"{headers.REQUEST_ID}: r{number}",
        f"{headers.DEADLINE}: 3000",
        f"{headers.AUTHORIZATION}: Bearer key-alba",
        *(f"X-{n}: {n}" for n in range(lines)),
        f"Content-Length: {size}",
    ]
    return "\r\n".join([*head, "", ""]).encode() + b"x" * size


async def read_answer(reader):
    """Return the status, the headers and the body of one answer.

    Reads no byte of what may follow it.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    line, _, rest = head.partition("\r\n")
    given = tornado.httputil.HTTPHeaders.parse(rest)
    body = await reader.readexactly(int(given["Content-Length"]))
    return int(line.split()[1]), given, body


class Replica(platform_case.Replica):
    """A replica that answers at once."""

    async def answer(self, seen, writer):
        is_own = seen.headers[headers.EXPECTED_TARGET] == self.name
        lines = [
            f"HTTP/1.1 {200 if is_own else 421} Status",
            f"{headers.REQUEST_ID}: {seen.headers[headers.REQUEST_ID]}",
            f"{headers.SIGNATURE}: {self.name}",
            "Content-Length: 2",
            "",
            "ok",
        ]
        writer.write("\r\n".join(lines).encode())


class LongBodies:
    """Lets a fleet take long bodies, and answers them."""

    def configuration(self):
        """Return a plan with a high limit on bodies."""
        found = super().configuration()
        found["limits"]["max_body_bytes"] = MAX_BODY_BYTES
        return found

    def make_replica(self, name):
        """Return a replica that answers at once."""
        return Replica(name)


class TestCallers(LongBodies, platform_case.PlatformCase):
    """Requests that follow each other on kept connections."""

    routers = 1
    replicas = 2

    async def asyncSetUp(self):
        self.refusals = []
        await super().asyncSetUp()
        # A router is ready before it has heard of a replica.
        async with asyncio.timeout(ANSWER_SECONDS):
            while (await self.send_once("router-0", "/a/x"))[1] != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    async def connect(self):
        reader, writer = await asyncio.open_connection(
            self.ip("router-0"), self.port
        )
        self.addCleanup(writer.close)
        return reader, writer

    async def read_status(self, reader):
        status, _, body = await asyncio.wait_for(
            read_answer(reader), ANSWER_SECONDS
        )
        if status != 200:
            self.refusals.append(body)
        return status

    async def send_series(self, *sizes, lines=0, piece=0):
        """Return the statuses of requests on one connection, by number."""
        statuses = collections.Counter()
        reader, writer = await self.connect()
        for number in range(REQUESTS):
            data = request(number, sizes[number % len(sizes)], lines)
            step = piece or len(data)
            for start in range(0, len(data), step):
                writer.write(data[start : start + step])
                await writer.drain()
            status = await self.read_status(reader)
            statuses[status] += 1
            if status != 200:
                reader, writer = await self.connect()
        return statuses

    async def check(self, *sizes, clients=1, **ways):
        series = (self.send_series(*sizes, **ways) for _ in range(clients))
        for statuses in await asyncio.gather(*series):
            self.assertEqual(
                {200: REQUESTS}, dict(statuses), self.refusals[:3]
            )

    async def test_long_bodies(self):
        """Guards against bodies read ahead that count as a head."""
        await self.check(LONG)

    async def test_long_bodies_of_several_clients(self):
        """Guards against bodies read ahead that count as a head."""
        await self.check(LONG, clients=4)

    async def test_long_and_short_bodies(self):
        """Guards against a short request that its successor ends."""
        await self.check(LONG, SHORT)

    async def test_long_bodies_in_pieces(self):
        """Guards against bodies read ahead that count as a head."""
        await self.check(LONG, piece=1_400)

    async def test_long_bodies_behind_many_header_lines(self):
        """Guards against header lines that count for more than they are."""
        await self.check(LONG, lines=200)

    async def test_many_header_lines(self):
        """Guards against header lines that count for more than they are."""
        await self.check(0, SHORT, lines=700)

    async def test_very_long_bodies(self):
        """Guards against a buffer that cannot hold what is read ahead."""
        await self.check(1_000_000, MAX_BODY_BYTES)

    async def test_too_long_heads_are_refused(self):
        """Guards against a bound on heads that bounds nothing."""
        reader, writer = await self.connect()
        writer.write(request(0, LONG, lines=2_000))
        self.assertEqual(431, await self.read_status(reader))

    async def test_answer_arrives_before_the_next_head_is_refused(self):
        """Guards against an answer that a refusal behind it destroys."""
        for _ in range(10):
            reader, writer = await self.connect()
            endless = b"GET /a/x HTTP/1.1\r\nX: " + b"y" * 250_000
            writer.write(request(0, SHORT) + endless)
            status = await self.read_status(reader)
            self.assertEqual(200, status, self.refusals)
            self.assertEqual(431, await self.read_status(reader))


class TestSeries(LongBodies, platform_case.FaultCase):
    """Long requests while processes are stopped and plans change."""

    routers = 3

    async def change_plan(self):
        """Put the next version of the plan in force."""
        await self.configure()

    async def send_until_stopped(self, number):
        """Send requests on open connections until their process is gone."""
        while not self.stopped:
            name = self.rng.choice(self.router_names)
            try:
                connection = await asyncio.wait_for(
                    asyncio.open_connection(self.ip(name), self.port), 1.0
                )
                while not self.stopped:
                    if not await self.send_some(number, *connection):
                        break
            except (OSError, EOFError, TimeoutError):
                await asyncio.sleep(0.05)
                continue
            connection[1].close()

    async def send_some(self, number, reader, writer):
        """Send one or two requests; return whether another may follow."""
        count = self.rng.choice((1, 1, 2))
        piece = self.rng.choice(PIECES)
        for _ in range(count):
            data = request(
                number, self.rng.choice(SIZES), self.rng.choice(LINES)
            )
            step = piece or len(data)
            for start in range(0, len(data), step):
                writer.write(data[start : start + step])
                await asyncio.wait_for(writer.drain(), ANSWER_SECONDS)
        for _ in range(count):
            status, given, _ = await asyncio.wait_for(
                read_answer(reader), ANSWER_SECONDS
            )
            self.statuses[status] += 1
            if given.get("Connection") == "close":
                return False
        await asyncio.sleep(self.rng.choice((0, 0, 0.01)))
        return True

    async def test_none_is_denied(self):
        """Guards against final refusals of what a later try would serve."""
        asyncio.get_running_loop().set_debug(False)
        self.rng = random.Random(SEED)
        clients = [
            asyncio.ensure_future(self.send_until_stopped(number))
            for number in range(CLIENTS)
        ]
        faults = (
            self.restart_router,
            self.freeze_router,
            self.restart_keeper,
            self.freeze_keeper,
            self.change_plan,
        )
        await self.inject(faults, SECONDS)
        self.stopped = True
        await asyncio.gather(*clients)
        denied = DENIALS & self.statuses.keys()
        self.assertEqual(set(), denied, dict(self.statuses))
        self.assertGreater(self.statuses[200], MIN_SERVED)


class TestKeepers(unittest.IsolatedAsyncioTestCase):
    """Calls of targets and operators."""

    async def test_long_calls(self):
        """Guards against a plan that is refused for its size."""

        async def answer(call):
            body = json.dumps(len(call.body)).encode()
            return endpoints.Response(body=body)

        sockets = listeners.bind_sockets("127.0.0.1:0")
        server = endpoints.Server(answer)
        server.listen(sockets)
        self.addAsyncCleanup(server.close, 0.0)
        reader, writer = await asyncio.open_connection(
            *sockets[0].getsockname()
        )
        self.addCleanup(writer.close)
        for number in range(REQUESTS):
            writer.write(request(number, LONG, lines=200))
            status, _, body = await asyncio.wait_for(
                read_answer(reader), ANSWER_SECONDS
            )
            self.assertEqual((200, b"200000"), (status, body))
