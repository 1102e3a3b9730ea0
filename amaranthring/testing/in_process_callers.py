"""Routers' ways and stand-ins in one process, for tests of the way."""

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
LOOK_SECONDS = 0.005


@dataclasses.dataclass
class Event:
    """One event as a caller reads it."""

    id: str
    kind: str
    data: str

    @property
    def number(self) -> int:
        """Return the number at the end of its id."""
        return int(self.id.rpartition(".")[2])


def parse_events(body: bytes) -> list[Event]:
    """Return the whole events in `body`."""
    found = []
    for block in body.decode().split("\n\n")[:-1]:
        fields = dict(line.split(": ", 1) for line in block.split("\n"))
        kind = fields.get("event", "message")
        found.append(Event(fields.get("id", ""), kind, fields["data"]))
    return found


def join_text(events: list[Event]) -> str:
    """Return the text that the events of a chat carry."""
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
    for _ in range(int(WAIT_SECONDS / LOOK_SECONDS)):
        if condition():
            return
        await asyncio.sleep(LOOK_SECONDS)
    raise AssertionError("the condition never held")


class Harness:
    """Stand-ins with as many routers' ways as a test asks for.

    Attributes
    ----------
    ledger : Ledger
        Shared by all routers.
    engines, bookings : dict
        Stand-ins by name.
    """

    def __init__(self, **bounds: t.Any):
        self.section = settings_models.CallersSection(**bounds)
        self.ledger = fakes.Ledger()
        self.engines: dict[str, engine.Engine] = {}
        self.bookings: dict[str, booking.Booking] = {}
        self.targets: list[records.Target] = []
        self.servers: dict[str, t.Any] = {}
        self.client = tornado.httpclient.AsyncHTTPClient(force_instance=True)

    def add_engine(self, name: str = "e1", **given: t.Any) -> engine.Engine:
        """Start an engine."""
        made = engine.Engine(name, ["m1"], **given)
        self.engines[name] = made
        kind = records.TargetKind.ENGINE
        self._listen(name, made.app(), kind, ("m1",))
        made.on_crash = self.servers[name].stop
        return made

    def add_booking(self, name: str = "b1", **given: t.Any) -> booking.Booking:
        """Start a replica of the booking service."""
        made = booking.Booking(name, **given)
        self.bookings[name] = made
        kind = records.TargetKind.SERVICE
        fields = {"honours_keys": made.honours_keys}
        self._listen(name, made.app(), kind, ("booking",), **fields)
        return made

    def _listen(self, name, app, kind, serves, **fields) -> None:
        self.servers[name], port = standin.listen(app)
        address = f"127.0.0.1:{port}"
        made = records.Target(
            name, 1, kind, address, "dc1", "r", serves, **fields
        )
        self.targets.append(made)

    def add_router(self) -> "Router":
        """Start a router's way before the stand-ins of now."""
        return Router(self)

    async def stop(self, name: str) -> None:
        """Let a stand-in vanish: its port refuses, its connections break."""
        self.servers[name].stop()
        await self.servers[name].close_all_connections()

    async def close(self) -> None:
        """Stop everything."""
        for one in self.servers.values():
            one.stop()
        self.client.close()
        await asyncio.sleep(0)


class Router:
    """One router's way, over HTTP.

    Attributes
    ----------
    fakes : Fakes
        What it needs from other packages.
    """

    def __init__(self, local: Harness):
        self.fakes = fakes.Fakes(*local.targets, ledger=local.ledger)
        self.client = local.client
        app = server.make_app(self.fakes.needs, local.section)
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        self.port = sockets[0].getsockname()[1]
        self.server = server.listen(app, sockets, local.section)
        local.servers[f"router {self.port}"] = self.server

    async def post(
        self, path: str, body: t.Any, token: str = fakes.TOKEN, **headers: str
    ) -> tornado.httpclient.HTTPResponse:
        """Post JSON (or bytes) and return the answer, errors too."""
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        told = {"Authorization": f"Bearer {token}"}
        told |= {name.replace("_", "-"): v for name, v in headers.items()}
        return await self.client.fetch(
            f"http://127.0.0.1:{self.port}{path}",
            method="POST",
            body=body,
            headers=told,
            raise_error=False,
            request_timeout=WAIT_SECONDS * 3,
        )

    async def chat(self, body: t.Any, **headers: str):
        """Post a chat completion."""
        return await self.post("/v1/chat/completions", body, **headers)

    async def book(self, slot: str, key: str = "", **more: t.Any):
        """Book `slot`; `more` is for the stand-in."""
        headers = {"Idempotency-Key": key} if key else {}
        body = {"slot": slot, "stand_in": more}
        return await self.post("/services/booking/bookings", body, **headers)

    @contextlib.asynccontextmanager
    async def raw(self, data: bytes):
        """Send raw bytes; give the stream to read and to close."""
        dial = tornado.tcpclient.TCPClient()
        stream = await dial.connect("127.0.0.1", self.port)
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
    """Return the bytes of a whole HTTP request of a chat."""
    data = json.dumps(body).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\n"
        f"Authorization: Bearer {token}\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    return head.encode() + data
