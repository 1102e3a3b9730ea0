"""Proper requests with long bodies or many header lines."""

import asyncio
import collections
import json
import unittest

from amaranthring.core import endpoints
from amaranthring.core import listeners
from amaranthring.platform import headers
from amaranthring.testing import scripted_target
from tests import platform_case

MAX_BODY_BYTES = 4 * 1024 * 1024
LONG = 200_000
SHORT = 600
REQUESTS = 40
ANSWER_SECONDS = 10.0


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


class TestCallers(platform_case.PlatformCase):
    """Requests that follow each other on kept connections."""

    routers = 1
    replicas = 2

    def configuration(self):
        found = super().configuration()
        found["limits"]["max_body_bytes"] = MAX_BODY_BYTES
        return found

    def make_replica(self, name):
        return Replica(name)

    async def connect(self):
        reader, writer = await asyncio.open_connection(
            self.ip("router-0"), self.port
        )
        self.addCleanup(writer.close)
        return reader, writer

    async def read_status(self, reader):
        response = await asyncio.wait_for(
            scripted_target.receive_response(reader, "POST", 0.0),
            ANSWER_SECONDS,
        )
        return response.status

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
            self.assertEqual({200: REQUESTS}, dict(statuses))

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
            self.assertEqual(200, await self.read_status(reader))
            self.assertEqual(431, await self.read_status(reader))


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
            response = await asyncio.wait_for(
                scripted_target.receive_response(reader, "POST", 0.0),
                ANSWER_SECONDS,
            )
            self.assertEqual(
                (200, b"200000"), (response.status, response.body)
            )
