"""Shares of the retry budget of routers that are restarted by plan."""

import asyncio
import json
import time
import uuid

from amaranthring.platform import headers
from amaranthring.testing import scripted_target
from tests import platform_case

# Longer than a router waits for the next event of the route.
SILENT_SECONDS = 2.0
CALLERS = 12
# From this long after a start its process has served long enough to need a
# retry.
RETRYING_SECONDS = 5.0


class SilentReplica(platform_case.Replica):
    """A replica that falls silent within each stream that begins at it."""

    async def answer(self, seen, writer):
        """Begin a stream and fall silent, or end one that began elsewhere."""
        request_id = seen.headers[headers.REQUEST_ID]
        head = [
            "HTTP/1.1 200 Status",
            f"{headers.REQUEST_ID}: {request_id}",
            f"{headers.SIGNATURE}: {self.name}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join([*head, "", ""]).encode())
        if "Last-Event-Id" not in seen.headers:
            writer.write(self.event(1))
            await asyncio.sleep(SILENT_SECONDS)
        writer.write(self.event(2) + b"0\r\n\r\n")

    def event(self, number):
        """Return the chunk of one event."""
        data = f"id: {number}\ndata: x\n\n".encode()
        return b"%x\r\n%s\r\n" % (len(data), data)


class TestRoll(platform_case.PlatformCase):
    """Routers that are restarted one after the other, as processes."""

    routers = 3

    def settings(self, name):
        return super().settings(name) | {"bootstrap": self.starts[name] == 1}

    def configuration(self):
        document = super().configuration()
        document["routes"][0].update(
            route_type="streaming",
            resumable=True,
            itl_target_ms=100,
            timeout_ms=6000,
        )
        return document

    def make_replica(self, name):
        return SilentReplica(name)

    async def send_streams(self, number):
        """Send streams to the routers until cancelled."""
        while True:
            number += 1
            name = self.router_names[number % self.routers]
            await self.send_stream(name)
            await asyncio.sleep(0.05)

    async def send_stream(self, router):
        """Send a stream that needs a retry; await its end."""
        try:
            reader, writer = await asyncio.open_connection(
                self.ip(router), self.port
            )
        except OSError:
            return
        try:
            await scripted_target.send_on(
                reader,
                writer,
                "/a/x",
                "POST",
                **{
                    headers.REQUEST_ID: uuid.uuid4().hex[:12],
                    headers.DEADLINE: "6000",
                    headers.AUTHORIZATION: "Bearer key-alba",
                },
            )
        except (OSError, EOFError, ValueError):
            return
        finally:
            writer.close()

    def decided(self, name, since=0.0):
        """Return the log lines about retries of a router."""
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        events = [json.loads(line) for line in lines if line.startswith("{")]
        return [
            event
            for event in events
            if event["event"] == "retry.decided" and event["time"] >= since
        ]

    async def test_restarted_routers_may_send_retries_at_once(self):
        """Guards against a roll in which no router may send a retry."""
        callers = [
            asyncio.ensure_future(self.send_streams(number))
            for number in range(CALLERS)
        ]
        await asyncio.sleep(RETRYING_SECONDS)
        started = {}
        for name in self.router_names:
            await self.restart(name)
            started[name] = time.time()
        await asyncio.sleep(RETRYING_SECONDS)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        for name in self.router_names:
            decided = self.decided(name, started[name])
            self.assertTrue(decided, name)
            refused = {
                event["without_share"]
                for event in decided
                if not event["allowed"]
            }
            self.assertEqual(set(), refused, name)
