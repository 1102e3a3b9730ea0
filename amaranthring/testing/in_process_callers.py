"""Routers' servers for callers, and stand-ins, in one process."""

import asyncio
import contextlib
import dataclasses
import json
import typing as t

import tornado.httpclient
import tornado.iostream
import tornado.netutil
import tornado.tcpclient

from amaranthring.callers import server
from amaranthring.core import records
from amaranthring.settings import models as settings_models
from amaranthring.testing import booking
from amaranthring.testing import engine
from amaranthring.testing import fake_dependencies as fakes
from amaranthring.testing import standin

WAIT_SECONDS = 10.0
POLL_SECONDS = 0.005


@dataclasses.dataclass
class Event:
    """A server-sent event as a caller reads it."""

    id: str
    kind: str
    data: str

    @property
    def number(self) -> int:
        """Return the number at the end of its id."""
        return int(self.id.rpartition(".")[2])


def parse_events(body: bytes) -> list[Event]:
    """Return the complete events in `body`."""
    events = []
    for block in body.decode().split("\n\n")[:-1]:
        fields = dict(line.split(": ", 1) for line in block.split("\n"))
        kind = fields.get("event", "message")
        events.append(Event(fields.get("id", ""), kind, fields["data"]))
    return events


def join_text(events: list[Event]) -> str:
    """Return the text of the events of a chat."""
    parts = []
    for event in events:
        if event.kind == "message" and event.data != engine.END_MARKER:
            choice = json.loads(event.data)["choices"][0]
            parts.append(choice["delta"]["content"])
    return "".join(parts)


async def wait_until(condition: t.Callable[[], t.Any]) -> None:
    """Wait until `condition` holds, at most ``WAIT_SECONDS``.

    Raises
    ------
    AssertionError
        If it never does.
    """
    for _ in range(int(WAIT_SECONDS / POLL_SECONDS)):
        if condition():
            return
        await asyncio.sleep(POLL_SECONDS)
    raise AssertionError("condition not met in time")


class Harness:
    """Stand-ins, and as many routers as a test adds.

    Attributes
    ----------
    section : CallersSection
        Settings of all routers.
    ledger : Ledger
        Shared by all routers.
    engines, bookings : dict
        Stand-ins by name.
    """

    def __init__(self, **settings: t.Any):
        self.section = settings_models.CallersSection(**settings)
        self.ledger = fakes.Ledger()
        self.engines: dict[str, engine.Engine] = {}
        self.bookings: dict[str, booking.Booking] = {}
        self.targets: list[records.Target] = []
        self.servers: dict[str, t.Any] = {}
        self.client = tornado.httpclient.AsyncHTTPClient(force_instance=True)

    def add_engine(self, name: str = "e1", **options: t.Any) -> engine.Engine:
        """Start an engine."""
        new_engine = engine.Engine(name, ["m1"], **options)
        self.engines[name] = new_engine
        kind = records.TargetKind.ENGINE
        self._listen(name, new_engine.app(), kind, ("m1",))
        new_engine.on_crash = self.servers[name].stop
        return new_engine

    def add_booking(
        self, name: str = "b1", **options: t.Any
    ) -> booking.Booking:
        """Start a replica of the booking service."""
        replica = booking.Booking(name, **options)
        self.bookings[name] = replica
        kind = records.TargetKind.SERVICE
        fields = {"honours_keys": replica.honours_keys}
        self._listen(name, replica.app(), kind, ("booking",), **fields)
        return replica

    def _listen(self, name, app, kind, serves, **fields) -> None:
        self.servers[name], port = standin.listen(app)
        address = f"127.0.0.1:{port}"
        target = records.Target(
            name, 1, kind, address, "dc1", "r", serves, **fields
        )
        self.targets.append(target)

    def add_router(self) -> "Router":
        """Start a router that knows the stand-ins added so far."""
        return Router(self)

    async def stop(self, name: str) -> None:
        """Stop a stand-in abruptly, and close its connections."""
        self.servers[name].stop()
        await self.servers[name].close_all_connections()

    async def close(self) -> None:
        """Stop everything."""
        for running_server in self.servers.values():
            running_server.stop()
        self.client.close()
        await asyncio.sleep(0)


class Router:
    """The server for callers of one router.

    Attributes
    ----------
    fakes : Fakes
        Fakes of what it needs from other packages.
    """

    def __init__(self, harness: Harness):
        self.fakes = fakes.Fakes(*harness.targets, ledger=harness.ledger)
        self.client = harness.client
        app = server.make_app(self.fakes.needs, harness.section)
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        self.port = sockets[0].getsockname()[1]
        self.server = server.listen(app, sockets, harness.section)
        harness.servers[f"router {self.port}"] = self.server

    async def post(
        self, path: str, body: t.Any, token: str = fakes.TOKEN, **headers: str
    ) -> tornado.httpclient.HTTPResponse:
        """Post JSON or bytes; return the response, whatever its status."""
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        sent_headers = {"Authorization": f"Bearer {token}"}
        sent_headers |= {
            name.replace("_", "-"): v for name, v in headers.items()
        }
        return await self.client.fetch(
            f"http://127.0.0.1:{self.port}{path}",
            method="POST",
            body=body,
            headers=sent_headers,
            raise_error=False,
            request_timeout=WAIT_SECONDS * 3,
        )

    async def chat(self, body: t.Any, **headers: str):
        """Post a chat completion."""
        return await self.post("/v1/chat/completions", body, **headers)

    async def book(self, slot: str, key: str = "", **more: t.Any):
        """Book `slot`; `more` are options of the stand-in."""
        headers = {"Idempotency-Key": key} if key else {}
        body = {"slot": slot, "stand_in": more}
        return await self.post("/services/booking/bookings", body, **headers)

    @contextlib.asynccontextmanager
    async def raw(self, data: bytes):
        """Send raw bytes; yield the stream and close it afterwards."""
        connector = tornado.tcpclient.TCPClient()
        stream = await connector.connect("127.0.0.1", self.port)
        await stream.write(data)
        try:
            yield stream
        finally:
            stream.close()


def chat_body(text: str = "hello", tokens: int = 8, **more: t.Any) -> dict:
    """Return the body of a streamed chat of `tokens` tokens."""
    message = {"role": "user", "content": text}
    body = {"model": "m1", "messages": [message], "stream": True}
    return body | {"max_tokens": tokens} | more


def raw_chat_request(body: dict, token: str = fakes.TOKEN) -> bytes:
    """Return the bytes of an HTTP request for a chat completion."""
    data = json.dumps(body).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\n"
        f"Authorization: Bearer {token}\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    return head.encode() + data
