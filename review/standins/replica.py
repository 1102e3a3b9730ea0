"""A replica that announces itself and runs requests."""

import asyncio
import collections
import dataclasses
import json
import secrets
import time

from standins import fleet as fleets
from standins import http

PREFIX = "Amaranthring-"
DRAIN_SECONDS = 2.0


@dataclasses.dataclass
class Call:
    """A request as it reached a replica."""

    method: str
    path: str
    headers: dict
    body: bytes
    id: str


class Connection:
    """A connection to a replica, with the ids that it has carried."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.served = []


class Replica:
    """A sound replica; `behave` may change what it does with a request.

    Parameters
    ----------
    behave : callable, optional
        ``async (replica, connection, call) -> bool``; returns whether it has
        answered, or broken off, itself.
    """

    def __init__(
        self, fleet, name, service, slots=6, work=0.02, behave=None, port=0
    ):
        self.fleet = fleet
        self.name = name
        self.id = f"i-{secrets.token_hex(4)}"
        self.service = service
        self.slots = slots
        self.work = work
        self.behave = behave
        self.port = port
        self.runs = collections.Counter()
        self.run_log = []
        self.server = None
        self.tasks = []
        self.sequence = 0
        self.turn = 0
        self.acknowledged = 0
        self.running = 0
        self.connections = set()

    async def start(self, announce=True):
        """Listen and, unless told otherwise, announce."""
        self.server = await asyncio.start_server(
            self._serve, self.fleet.ip(self.name), self.port
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        if announce:
            self.tasks.append(asyncio.ensure_future(self._announce()))

    def stop(self):
        """Stop announcing and listening."""
        for task in self.tasks:
            task.cancel()
        self.server.close()

    def crash(self):
        """End at once: nothing more is sent, all connections are reset."""
        self.stop()
        for connection in list(self.connections):
            self.break_off(connection)

    async def _announce(self):
        while True:
            await self.beat(self.heartbeat())
            await asyncio.sleep(fleets.HEARTBEAT_MS / 1e3)

    def heartbeat(self):
        """Return the next heartbeat."""
        self.sequence += 1
        return {
            "backend": self.service,
            "address": self.address,
            "zone": self.fleet.zone(self.name),
            "version": "v1",
            "batch_slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": self.sequence,
        }

    async def beat(self, heartbeat):
        """Send a heartbeat to one keeper after the other; return its status.

        The last one that took a heartbeat is asked first.
        """
        status = 0
        for _ in self.fleet.keepers:
            keeper = self.fleet.keepers[self.turn % len(self.fleet.keepers)]
            status, _ = await http.call(
                self.fleet.control(keeper),
                "POST",
                f"/Replicas.Heartbeat/{self.id}",
                json.dumps(heartbeat).encode(),
            )
            if 200 <= status < 300:
                break
            self.turn += 1
        self.acknowledged += 200 <= status < 300
        return status

    async def _serve(self, reader, writer):
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while True:
                call = await self._read(reader)
                if not await self._answer(connection, call):
                    return
                connection.served.append(call.id)
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            return
        finally:
            self.connections.discard(connection)
            writer.close()

    async def _read(self, reader):
        first, headers, body = await http.read_message(reader)
        method, path, _ = first.split(" ")
        request_id = headers.get(f"{PREFIX}Request-Id".lower(), "")
        return Call(method, path, headers, body, request_id)

    async def _answer(self, connection, call):
        if call.path == "/healthz":
            fields = {f"{PREFIX}Replica-Id": self.id}
            connection.writer.write(http.encode("HTTP/1.1 200 OK", fields))
            return True
        expected = call.headers.get(f"{PREFIX}Expect-Replica".lower())
        if expected not in (None, self.id):
            self.refuse(connection, call.id, 421)
            return True
        if not call.id:
            self.refuse(connection, "", 400)
            return True
        if self.running >= self.slots:
            self.refuse(connection, call.id, 503)
            return True
        self.begin(call)
        self.running += 1
        try:
            if self.behave and await self.behave(self, connection, call):
                return not connection.writer.is_closing()
            await asyncio.sleep(self.work)
        finally:
            self.running -= 1
        self.succeed(connection, call)
        return True

    def begin(self, call):
        """Record that a request has begun to run."""
        self.runs[call.id] += 1
        self.run_log.append((time.time(), self.name, call.id))

    def succeed(self, connection, call):
        """Answer a request with success."""
        fields = {
            f"{PREFIX}Request-Id": call.id,
            f"{PREFIX}Replica-Signature": f"{self.id}.{call.id}",
            "Content-Type": "application/json",
            "Keep-Alive": "timeout=10",
        }
        body = json.dumps({"ran": call.id, "by": self.id}).encode()
        connection.writer.write(http.encode("HTTP/1.1 200 OK", fields, body))

    def refuse(self, connection, request_id, status):
        """Say that a request was not run."""
        fields = {f"{PREFIX}Not-Executed": "1"}
        if request_id:
            fields[f"{PREFIX}Request-Id"] = request_id
        first = f"HTTP/1.1 {status} Refused"
        connection.writer.write(http.encode(first, fields))

    def break_off(self, connection):
        """Reset a connection."""
        connection.writer.transport.abort()
