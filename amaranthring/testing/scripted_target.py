"""Scripted targets, and an in-process router that forwards to them.

The header names are defined here: forwarding gets them from its dialect.
"""

import asyncio
import dataclasses
import socket
import struct
import time
import typing as t

import tornado.httputil
import tornado.netutil

from amaranthring import errors
from amaranthring import routing
from amaranthring.core import links
from amaranthring.core import metrics
from amaranthring.core import notices
from amaranthring.forwarding import frontend as fronts
from amaranthring.forwarding import placement
from amaranthring.forwarding import records
from amaranthring.forwarding import relay as relays
from amaranthring.forwarding import startup
from amaranthring.forwarding import stream_bindings
from amaranthring.policy import budgets
from amaranthring.registry import messages
from amaranthring.registry import stream_messages
from amaranthring.registry import targets
from amaranthring.targets import http_body

ID = "Test-Id"
TIMEOUT = "Test-Patience"
SIGNED = "Test-Signed"
REFUSED = "Test-Refused"
EXPECTED = "Test-Expected"
LEAVING = "Test-Leaving"
BRITTLE = "Test-Brittle"
ACCOUNT = "Test-Account"
KEY = "Test-Key"
PROMPT = "Test-Prompt"
COPY = "Test-Copy-From"
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "Test-Resumes"
NOT_FORWARDED = {
    TIMEOUT,
    EXPECTED,
    ACCOUNT,
    KEY,
    LAST_EVENT_ID,
    "Connection",
    "Content-Length",
}


def read_request(start_line, headers, arrived) -> records.Incoming:
    """Parse the head of a request."""
    forwarded = tornado.httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name not in NOT_FORWARDED and name != "Transfer-Encoding":
            forwarded.add(name, value)
    parts = filter(None, headers.get(PROMPT, "").split(","))
    return records.Incoming(
        request_id=headers.get(ID, ""),
        method=start_line.method,
        uri=start_line.path,
        path=start_line.path.partition("?")[0],
        host=headers.get("Host", ""),
        headers=forwarded,
        arrived=arrived,
        timeout=float(headers.get(TIMEOUT, "5")),
        key=headers.get(KEY, ""),
        resume_after=headers.get(LAST_EVENT_ID, ""),
        resumes=headers.get(RESUMES, ""),
        parts=tuple(
            records.PromptPart(part.split(":")[0], int(part.split(":")[1]))
            for part in parts
        ),
    )


def request_headers(incoming, attempt) -> dict[str, str]:
    """Return the request headers that a target gets."""
    headers = dict(incoming.headers.items())
    headers[TIMEOUT] = f"{attempt.seconds_left:.3f}"
    headers[EXPECTED] = attempt.target.id
    if attempt.account:
        headers[ACCOUNT] = attempt.account
    if attempt.resume_after:
        headers[LAST_EVENT_ID] = attempt.resume_after
    if attempt.copy_from:
        headers[COPY] = attempt.copy_from
    return headers


def read_response(status, headers) -> records.ResponseHead:
    """Parse the head of a response."""
    forwarded = tornado.httputil.HTTPHeaders()
    for name, value in headers.get_all():
        if name not in ("Connection", "Content-Length", "Transfer-Encoding"):
            forwarded.add(name, value)
    return records.ResponseHead(
        status,
        forwarded,
        headers.get(ID, ""),
        SIGNED in headers,
        REFUSED in headers,
        status == 421,
        notice=notices.read(status, headers, LEAVING, BRITTLE),
    )


DIALECT = records.Dialect(read_request, request_headers, read_response)


@dataclasses.dataclass
class Seen:
    """A request as a target received it.

    Attributes
    ----------
    at : float
        Monotonic seconds at which it was complete.
    """

    method: str
    uri: str
    headers: tornado.httputil.HTTPHeaders
    body: bytes
    at: float


# First byte of TCP_INFO while both ends of a connection are open.
TCP_ESTABLISHED = 1

Script = t.Callable[["Seen", asyncio.StreamWriter], t.Awaitable[None]]


class ScriptedTarget:
    """A target that answers requests by a script.

    Attributes
    ----------
    requests : list of Seen
        Requests that it received completely.
    aborted : int
        Number of connections that the router closed while the script ran.
    keep_alive : bool
        Whether a connection serves one request after another.
    connections : int
        Number of connections that it accepted.
    """

    def __init__(self, name: str, script: Script, keep_alive: bool = False):
        self.name = name
        self.keep_alive = keep_alive
        self.connections = 0
        self.script = script
        self.requests: list[Seen] = []
        self.aborted = 0
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on loopback."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, family=socket.AF_INET
        )
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Stop listening."""
        self.server.close()

    def record(self, service: str = "s", **fields) -> messages.TargetRecord:
        """Return the record that a router would hold of it."""
        fields = {"release": "v1", "sequence": 1} | fields
        return messages.TargetRecord(
            self.name, service, self.address, "here", **fields
        )

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        try:
            while await self._serve_one(reader, writer):
                pass
        except asyncio.CancelledError:
            # The test has ended.
            return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        """Answer one request; return whether another may follow."""
        seen = await _read_request(reader)
        self.requests.append(seen)
        running = asyncio.ensure_future(self.script(seen, writer))
        if self.keep_alive:
            await running
            return not writer.is_closing()
        closed = asyncio.ensure_future(reader.read(1))
        await asyncio.wait(
            {running, closed}, return_when=asyncio.FIRST_COMPLETED
        )
        if not running.done():
            self.aborted += 1
            running.cancel()
        closed.cancel()
        return False


async def _read_request(reader) -> Seen:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    line, _, rest = head.partition("\r\n")
    start = tornado.httputil.parse_request_start_line(line)
    headers = tornado.httputil.HTTPHeaders.parse(rest)
    length = int(headers.get("Content-Length", "0"))
    body = await reader.readexactly(length)
    return Seen(start.method, start.path, headers, body, time.monotonic())


def response_head(
    seen: Seen, status: int = 200, signed: bool = True, **more: str
) -> bytes:
    """Return the head of a response to `seen`."""
    lines = [f"HTTP/1.1 {status} Status", f"{ID}: {seen.headers[ID]}"]
    if signed:
        lines.append(f"{SIGNED}: yes")
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in more.items()]
    return "\r\n".join([*lines, "", ""]).encode()


def respond(
    body: bytes = b"good",
    status: int = 200,
    signed: bool = True,
    **headers: str,
) -> Script:
    """Return a script that sends a complete response."""

    async def script(seen, writer):
        more = {"Content_Length": str(len(body))} | headers
        writer.write(response_head(seen, status, signed, **more) + body)
        await writer.drain()

    return script


def respond_not_run(status: int = 503, **headers: str) -> Script:
    """Return a script that answers that the request did not run."""

    async def script(seen, writer):
        more = {"Content_Length": "0", REFUSED: "1"} | headers
        writer.write(response_head(seen, status, False, **more))

    return script


def ask_for_rest(seconds: float, then: Script) -> Script:
    """Return a script that asks for rest once and then answers by `then`."""
    asked = False

    async def script(seen, writer):
        nonlocal asked
        if asked:
            await then(seen, writer)
            return
        asked = True
        refuse = respond_not_run(Retry_After=f"{seconds:g}")
        await refuse(seen, writer)

    return script


def respond_after(seconds: float, then: Script) -> Script:
    """Return a script that answers by `then`, some seconds later."""

    async def script(seen, writer):
        await asyncio.sleep(seconds)
        await then(seen, writer)

    return script


def raw(data: t.Callable[[Seen], bytes]) -> Script:
    """Return a script that writes raw bytes."""

    async def script(seen, writer):
        writer.write(data(seen))
        await writer.drain()

    return script


def reset_connection() -> Script:
    """Return a script that resets the connection."""

    async def script(_seen, writer):
        abort_connection(writer)

    return script


def abort_connection(writer: asyncio.StreamWriter) -> None:
    """Reset the connection instead of closing it gracefully."""
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def is_open(writer: asyncio.StreamWriter) -> bool:
    """Return whether the router has not closed its end of the connection.

    If it has, it hears nothing of an answer that is written now.
    """
    sock = writer.get_extra_info("socket")
    if writer.is_closing():
        return False
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return info[0] == TCP_ESTABLISHED


def never_respond() -> Script:
    """Return a script that never answers."""

    async def script(_seen, _writer):
        await asyncio.sleep(60)

    return script


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def stream_events(
    last: int,
    breaks_after: int | None = None,
    silent_after: int | None = None,
    silence: float = 0.0,
) -> Script:
    """Return a script that streams the events after the caller's last.

    Parameters
    ----------
    breaks_after : int, optional
        Number of the event after which the connection is reset, in the
        middle of the next event.
    silent_after : int, optional
        Number of the event after which the target is silent for a while.
    silence : float
        Length of that while in seconds.
    """

    async def script(seen, writer):
        more = {
            "Content_Type": "text/event-stream",
            "Transfer_Encoding": "chunked",
        }
        writer.write(response_head(seen, **more))
        first = int(seen.headers.get(LAST_EVENT_ID, "0")) + 1
        for number in range(first, last + 1):
            data = event(number)
            if breaks_after is not None and number > breaks_after:
                writer.write(b"%x\r\n%b\r\n" % (5, data[:5]))
                await writer.drain()
                await asyncio.sleep(0.05)
                abort_connection(writer)
                return
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            if number == silent_after:
                await asyncio.sleep(silence)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return script


class ScriptedKeeper:
    """A router's link to a keeper that knows what a test says.

    Attributes
    ----------
    answer : StreamFound
        What it says of all streams that it does not know.
    known : dict of bytes to StreamFound
        By key of the stream.
    is_silent : bool
        Whether it gives no answer.
    asked : int
        Number of questions.
    """

    def __init__(self, releases: t.Iterable[str] = ("v1",)):
        self.peer = links.Identity("keeper", "keeper", "here", 1)
        self.answer = stream_messages.StreamFound(
            False,
            releases=list(releases),
            complete=True,
            keepers=[self.peer.name],
        )
        self.known: dict[bytes, stream_messages.StreamFound] = {}
        self.is_silent = False
        self.asked = 0

    async def call(
        self, message: stream_messages.FindStream, _timeout: float
    ) -> stream_messages.StreamFound:
        """Answer a question."""
        self.asked += 1
        if self.is_silent:
            raise errors.LinkTimeoutError("no reply")
        return self.known.get(message.key, self.answer)


class ScriptedRouter:
    """A router that forwards to scripted targets by a fixed plan.

    Attributes
    ----------
    fresh : bool
        Whether the keepers confirm the plan.
    cut_off : bool
        Whether no keeper answers this router.
    first_plan : asyncio.Event
        Set once a plan is confirmed; here from the start.
    address : tuple
        Host and port of its listener.
    keepers : list of ScriptedKeeper
        Whom it asks for streams that it does not know.
    """

    def __init__(self, plan: routing.Plan, allowance: float = 10.0):
        self.fresh = True
        self.cut_off = False
        self.first_plan = asyncio.Event()
        self.first_plan.set()
        self.table: routing.RouteTable | None = routing.RouteTable(plan)
        self.targets = targets.TargetTable(time.monotonic, 0.0)
        self.placer = placement.Placer(self.targets, "here")
        self.keepers = [ScriptedKeeper()]
        counters = metrics.Metrics()
        start = startup.StartupGate(
            counters, self.first_plan, lambda: self.cut_off
        )
        self.relay = relays.Relay(
            DIALECT,
            lambda: self.table,
            lambda: self.fresh,
            self.placer,
            lambda: budgets.WindowBudget(0.2, allowance, 10.0, time.monotonic),
            lambda: budgets.Share(1.0, 1),
            counters,
            start=start,
            streams=stream_bindings.StreamBindings(
                self.targets, lambda: self.keepers
            ),
        )
        self.front = fronts.Frontend(
            DIALECT, self.relay.serve, lambda: plan.bounds
        )
        sockets = tornado.netutil.bind_sockets(
            0, "127.0.0.1", family=socket.AF_INET
        )
        self.address = sockets[0].getsockname()
        self.front.listen(sockets)

    def stop(self) -> None:
        """Stop listening."""
        self.front.server.stop()


@dataclasses.dataclass
class Response:
    """A response as a caller received it.

    Attributes
    ----------
    status : int
        0 if the connection closed before the head.
    complete : bool
        Whether the whole body arrived.
    """

    status: int
    headers: tornado.httputil.HTTPHeaders
    body: bytes
    complete: bool
    seconds: float


async def send_request(
    address,
    path: str = "/a/x",
    method: str = "GET",
    body: bytes = b"",
    connect: t.Callable[..., t.Awaitable] | None = None,
    **headers: str,
) -> Response:
    """Send one request on a connection of its own.

    Parameters
    ----------
    connect : callable, optional
        Opens the connection; defaults to ``asyncio.open_connection``.
    """
    connect = connect or asyncio.open_connection
    reader, writer = await connect(*address)
    try:
        return await send_on(reader, writer, path, method, body, **headers)
    finally:
        writer.close()


async def send_on(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    path: str,
    method: str,
    body: bytes = b"",
    **headers: str,
) -> Response:
    """Send one request on an open connection, which stays open."""
    started_at = time.monotonic()
    lines = [f"{method} {path} HTTP/1.1", "Host: h"]
    sent_headers = {ID: "r1", "Content-Length": str(len(body))}
    sent_headers |= {k.replace("_", "-"): v for k, v in headers.items()}
    lines += [f"{name}: {value}" for name, value in sent_headers.items()]
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)
    return await receive_response(reader, method, started_at)


async def receive_response(reader, method: str, started_at: float) -> Response:
    """Receive the response to a request that was sent at `started_at`."""
    no_headers = tornado.httputil.HTTPHeaders()
    try:
        data = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Response(
            0, no_headers, b"", False, time.monotonic() - started_at
        )
    line, _, rest = data.partition("\r\n")
    status = tornado.httputil.parse_response_start_line(line).code
    headers = tornado.httputil.HTTPHeaders.parse(rest)
    decoder = http_body.decoder_for(headers, status, method)
    parts = []
    try:
        while not decoder.ended and (more := await reader.read(65536)):
            parts.append(decoder.take(more))
    except (ConnectionError, errors.UpstreamError):
        pass
    seconds = time.monotonic() - started_at
    return Response(status, headers, b"".join(parts), decoder.ended, seconds)
