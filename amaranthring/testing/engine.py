"""A stand-in model engine.

It implements the engine interface of ``docs/TARGETS.md``: chat completions,
streamed or not, resuming and cancelling streams, continuing a text, a
bounded prefix cache that loses some events, KV export and import, priorities
and orders. Tokens are derived from model and messages alone, so that a test
can check that an answer belongs to its request.

A body may request one of :data:`FAULTS` with
``{"stand_in": {"fault": ..., "at": N, "seconds": S}}``.
``POST /control/fault`` with ``{"fault": ..., "at": N, "times": N}`` plans one
for the next requests.
"""

import asyncio
import collections
import dataclasses
import heapq
import itertools
import json
import os
import time
import typing as t

import tornado.httpclient
import tornado.iostream
import tornado.web

from amaranthring.core import hashing
from amaranthring.core import records
from amaranthring.targets import upstream
from amaranthring.testing import standin

FAULTS = (
    "crash",  # exits, or drops the connection, before token `at`
    "drop",  # drops the connection before token `at`; keeps the stream
    "truncate",  # ends cleanly before token `at`, with no end marker
    "gap",  # omits token `at`
    "twice",  # sends token `at` twice
    "reorder",  # swaps token `at` and the next one
    "foreign",  # sends token `at` with the id of another stream
    "foreign-answer",  # sends the answer of another request
    "slow",  # waits `seconds` before token `at`
    "hang",  # sends nothing from token `at` on
    "status",  # answers 500, or the status that is named
    "refuse",  # answers 503 and states that it did not run
    "rest",  # as "refuse", and asks for `seconds` of rest
    "comments",  # sends comments and no token from token `at` on
    "garbage",  # sends an invalid event before token `at`
)
DEFAULT_MAX_TOKENS = 16
MAX_RUNS = 200_000
MAX_STREAMS = 4096
KEEP_SECONDS = 30.0
HANG_SECONDS = 3600.0
MAX_CACHE_EVENTS = 1024
END_MARKER = "[DONE]"


@dataclasses.dataclass
class Stream:
    """An answer: its request, and how far it has been generated."""

    name: str
    body: dict[str, t.Any]
    seed: str
    start: int
    total: int
    sent: int = 0
    cancelled: bool = False
    reader: int = 0


def seed_of(body: dict[str, t.Any]) -> str:
    """Return the prefix of every token that answers `body`."""
    messages = json.dumps(body.get("messages", []), sort_keys=True)
    return hashing.digest(str(body.get("model", "")), messages)[:8]


def token(seed: str, number: int) -> str:
    """Return token `number`."""
    return f"{seed}.{number} "


def expected_text(body: dict[str, t.Any]) -> str:
    """Return the full text with which an engine answers `body`."""
    total = body.get("max_tokens", DEFAULT_MAX_TOKENS)
    return "".join(token(seed_of(body), n) for n in range(total))


class Slots:
    """Semaphore of `capacity` slots; lower priority numbers go first."""

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.running = 0
        self.waiting: list[tuple[int, int, asyncio.Future]] = []
        self._order = itertools.count()

    async def acquire(self, priority: int) -> None:
        """Wait for a slot."""
        if self.running < self.capacity:
            self.running += 1
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (priority, next(self._order), future))
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Release a slot and wake the next waiter."""
        self.running -= 1
        while self.waiting:
            _, _, future = heapq.heappop(self.waiting)
            if not future.done():
                self.running += 1
                future.set_result(None)
                return


class Engine:
    """State of one engine.

    Attributes
    ----------
    runs : list of dict
        Every run: request id, chat, seed and first token.
    streams : dict
        Streams that can be resumed, by request id.
    cache : OrderedDict
        Chats whose prefix is cached, least recently used first.
    exit_on_crash : bool
        Whether a crash ends the process or just drops the connection.
    crash_seconds : float
        Time from a crash, which closes all connections, to the end of the
        process. Until then the kernel accepts connections for it.
    supports_continuation : bool
        Whether it can continue a given text.
    on_crash : callable
        Called on a crash that does not end the process.
    leaving : bool
        Whether all answers say that it leaves.
    received : int
        Requests received, except those for tests.
    rests : list of str
        Ids of the requests that it answered by asking for rest.
    """

    def __init__(
        self,
        name: str,
        models: list[str],
        capacity: int = 64,
        token_seconds: float = 0.0,
        cache_chats: int = 500,
        fencing: bool = False,
        exit_on_crash: bool = False,
        continues: bool = True,
        crash_seconds: float = 0.0,
    ):
        self.name = name
        self.models = models
        self.slots = Slots(capacity)
        self.token_seconds = token_seconds
        self.cache_chats = cache_chats
        self.fencing = fencing
        self.exit_on_crash = exit_on_crash
        self.crash_seconds = crash_seconds
        self.supports_continuation = continues
        self.on_crash: t.Callable[[], None] = lambda: None
        self.runs: list[dict[str, t.Any]] = []
        self.streams: collections.OrderedDict[str, Stream] = (
            collections.OrderedDict()
        )
        self.cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.cache_events: collections.deque[dict[str, t.Any]] = (
            collections.deque(maxlen=MAX_CACHE_EVENTS)
        )
        self.cache_sequence = 0
        self.planned_fault: dict[str, t.Any] = {}
        self.fencing_number = 0
        self.orders: list[dict[str, t.Any]] = []
        self.role = "mixed"
        self.hits = 0
        self.cancelled = 0
        self.leaving = False
        self.received = 0
        self.rests: list[str] = []

    def leave(self) -> None:
        """Say in all answers from now on that this engine leaves."""
        self.leaving = True

    def load(self) -> tuple[int, int, float]:
        """Return requests running and waiting, and the share of KV memory."""
        used = len(self.cache) / max(1, self.cache_chats)
        return self.slots.running, len(self.slots.waiting), used

    def app(self) -> tornado.web.Application:
        """Return the HTTP application of this engine."""
        handler_args = {"engine": self}
        routes = [
            (r"/v1/chat/completions", CompletionsHandler),
            (r"/v1/streams/([^/]+)/resume", ResumeHandler),
            (r"/v1/streams/([^/]+)/cancel", CancelHandler),
            (r"/v1/cache/events", CacheEventsHandler),
            (r"/v1/cache/([^/]+)", CacheHandler),
            (r"/v1/orders", OrdersHandler),
            (r"/control/(ran|fault)", ControlHandler),
        ]
        return tornado.web.Application(
            [(path, handler, handler_args) for path, handler in routes]
        )

    def fault(self, body: dict[str, t.Any]) -> dict[str, t.Any]:
        """Return the fault that `body` requests, or the planned one."""
        if "stand_in" in body:
            return body["stand_in"]
        if self.planned_fault.get("times", 0) > 0:
            self.planned_fault["times"] -= 1
            return self.planned_fault
        return {}

    def retain(self, stream: Stream) -> None:
        """Keep `stream` for resumption, within a limit of streams."""
        self.streams[stream.name] = stream
        while len(self.streams) > MAX_STREAMS:
            self.streams.popitem(last=False)

    def cache_prefix(self, chat: str, tokens: int) -> None:
        """Cache the prefix of `chat`; every seventh cache event is lost."""
        self.cache[chat] = tokens
        self.cache.move_to_end(chat)
        self._record_event("stored", chat)
        while len(self.cache) > self.cache_chats:
            evicted, _ = self.cache.popitem(last=False)
            self._record_event("evicted", evicted)

    def _record_event(self, kind: str, chat: str) -> None:
        self.cache_sequence += 1
        if self.cache_sequence % 7:
            record = {"sequence": self.cache_sequence, "kind": kind}
            self.cache_events.append(record | {"chat": chat})

    def start_stream(self, body: dict, headers, name: str) -> Stream:
        """Record a run and return its stream."""
        continuation = (
            body.get("continue_from", {}) if self.supports_continuation else {}
        )
        stream = Stream(
            name=name,
            body=body,
            seed=seed_of(body),
            start=int(continuation.get("tokens", 0)),
            total=int(body.get("max_tokens", DEFAULT_MAX_TOKENS)),
        )
        stream.sent = stream.start
        if len(self.runs) < MAX_RUNS:
            chat = headers.get("Amaranthring-Chat", "")
            record = {"request_id": name, "chat": chat, "seed": stream.seed}
            self.runs.append(record | {"start": stream.start})
        return stream


class Handler(tornado.web.RequestHandler):
    """Base of the handlers: engine state, JSON body, disconnects."""

    def initialize(self, engine: Engine):
        """Store the engine's state."""
        self.engine = engine
        self.disconnected = asyncio.Event()
        # Tornado calls it before the engine is known.
        self.set_default_headers()

    def set_default_headers(self):
        """Say so if the engine leaves."""
        engine = getattr(self, "engine", None)
        if engine is not None and engine.leaving:
            self.set_header(upstream.LEAVING_HEADER, "1")

    def prepare(self):
        """Count the request."""
        if not self.request.path.startswith("/control/"):
            self.engine.received += 1

    def on_connection_close(self):
        """Record that the caller disconnected."""
        self.disconnected.set()

    def body(self) -> dict[str, t.Any]:
        """Return the decoded JSON body."""
        try:
            return json.loads(self.request.body or b"{}")
        except ValueError as error:
            raise tornado.web.HTTPError(400) from error

    def crash(self) -> None:
        """End the process, or drop the connection."""
        if self.engine.exit_on_crash:
            print(f"crash {seed_of(self.body())}", flush=True)
            if self.engine.crash_seconds:
                standin.shut_down_connections()
                # Blocks the event loop: nothing is answered any more.
                time.sleep(self.engine.crash_seconds)
            os._exit(1)
        self.engine.on_crash()
        self.detach().close()

    async def wait(self, seconds: float) -> None:
        """Wait for `seconds`, or until the caller disconnects."""
        try:
            await asyncio.wait_for(self.disconnected.wait(), seconds)
        except TimeoutError:
            pass

    async def answer(self, stream: Stream, fault: dict) -> None:
        """Generate `stream` from its current position, in a slot."""
        priority = int(self.request.headers.get("Amaranthring-Priority", 1))
        await self.engine.slots.acquire(priority)
        try:
            if stream.body.get("stream"):
                await self._stream_events(stream, fault)
            else:
                await self._send_completion(stream, fault)
        except tornado.iostream.StreamClosedError:
            pass
        finally:
            self.engine.slots.release()
        if self.disconnected.is_set():
            self.engine.cancelled += 1

    async def _send_completion(self, stream: Stream, fault: dict) -> None:
        kind = fault.get("fault", "")
        if kind == "crash":
            self.engine.streams.pop(stream.name, None)
            return self.crash()
        if kind == "drop":
            return self.detach().close()
        if kind in ("slow", "hang"):
            await self.wait(fault.get("seconds", HANG_SECONDS))
        await self.wait(self.engine.token_seconds * stream.total or 0.0001)
        if self.disconnected.is_set():
            return None
        foreign = kind == "foreign-answer"
        seed = "another" if foreign else stream.seed
        text = "".join(token(seed, n) for n in range(stream.total))
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        completion = {
            "id": f"chatcmpl-{stream.name}",
            "object": "chat.completion",
            "created": 0,
            "model": stream.body.get("model", ""),
            "choices": [choice],
            "usage": {"completion_tokens": stream.total},
        }
        data = json.dumps(completion).encode()
        if kind == "truncate":
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n\r\n"
            raw = self.detach()
            raw.write(head.encode() + data[: len(data) // 2])
            return raw.close()
        name = "another" if foreign else stream.name
        self.set_header("Amaranthring-Request-Id", name)
        self.set_header("Content-Type", "application/json")
        return self.finish(data)

    async def _stream_events(self, stream: Stream, fault: dict) -> None:
        self.set_header("Content-Type", "text/event-stream")
        name = stream.name
        if fault.get("fault") == "foreign-answer":
            name = "another"
        self.set_header("Amaranthring-Request-Id", name)
        if stream.start:
            self.set_header("Amaranthring-Continued-From", str(stream.start))
        delay = self.engine.token_seconds
        batch = int(stream.body.get("stand_in_batch", 1))
        reader = stream.reader
        while stream.sent <= stream.total:
            stopped = stream.cancelled or stream.reader != reader
            if stopped or self.disconnected.is_set():
                return None
            number = stream.sent
            kind = fault.get("fault") if number == fault.get("at", 0) else ""
            if kind:
                fault = {} if kind != "hang" else fault
                done = await self._apply_fault(stream, kind, number)
                if done:
                    return None
                continue
            last = min(number + batch, stream.total + 1)
            if number < fault.get("at", -1) < last:
                last = fault["at"]
            for n in range(number, last):
                self.write(event(name, stream, n))
            stream.sent = last
            await self.flush()
            if delay:
                await asyncio.sleep(delay)
        return self.finish()

    async def _apply_fault(
        self, stream: Stream, kind: str, number: int
    ) -> bool:
        """Apply fault `kind` at token `number`; return whether it is final."""
        if kind == "crash":
            self.engine.streams.pop(stream.name, None)
            self.crash()
            return True
        if kind == "drop":
            await self.flush()
            self.detach().close()
            return True
        if kind == "truncate":
            self.finish()
            return True
        if kind == "comments":
            while not self.disconnected.is_set():
                self.write(": still here\n\n")
                await self.flush()
                await self.wait(0.05)
            return True
        if kind in ("slow", "hang"):
            planned = (
                self.engine.fault(stream.body) or self.engine.planned_fault
            )
            await self.wait(planned.get("seconds", HANG_SECONDS))
            return kind == "hang"
        data = {
            "gap": "",
            "twice": event(stream.name, stream, number) * 2,
            "reorder": event(stream.name, stream, number + 1)
            + event(stream.name, stream, number),
            "foreign": event("another", stream, number),
            "garbage": "what is no event\n\n",
        }[kind]
        self.write(data)
        stream.sent = number + (2 if kind == "reorder" else 1)
        if kind == "garbage":
            stream.sent = number
        return False


def event(name: str, stream: Stream, number: int) -> str:
    """Return event `number` of `stream`, with `name` as its stream id."""
    head = f"id: {name}:{number}\ndata: "
    if number >= stream.total:
        return f"{head}{END_MARKER}\n\n"
    text = token(stream.seed, number)
    finish = '"stop"' if number == stream.total - 1 else "null"
    model = json.dumps(stream.body.get("model", ""))
    return (
        f'{head}{{"id":"chatcmpl-{name}","object":"chat.completion.chunk",'
        f'"created":0,"model":{model},"choices":[{{"index":0,"delta":'
        f'{{"content":"{text}"}},"finish_reason":{finish}}}]}}\n\n'
    )


class CompletionsHandler(Handler):
    """``POST /v1/chat/completions``."""

    async def post(self):
        """Run a request."""
        body = self.body()
        engine = self.engine
        fault = engine.fault(body)
        headers = self.request.headers
        name = (
            headers.get("Amaranthring-Request-Id", "") or os.urandom(8).hex()
        )
        if body.get("model") not in engine.models:
            raise tornado.web.HTTPError(404)
        if fault.get("fault") == "status":
            raise tornado.web.HTTPError(fault.get("status", 500))
        if fault.get("fault") in ("refuse", "rest"):
            self.set_header("Amaranthring-Outcome", "not-run")
            self.set_status(503)
            if fault["fault"] == "rest":
                self.set_header("Retry-After", str(fault["seconds"]))
                engine.rests.append(name)
            return
        chat = headers.get("Amaranthring-Chat", "")
        await self._import_prefix(
            chat, headers.get("Amaranthring-Import-From", "")
        )
        hit = chat in engine.cache
        engine.hits += hit
        self.set_header("Amaranthring-Cache", "hit" if hit else "miss")
        stream = engine.start_stream(body, headers, name)
        if chat:
            engine.cache_prefix(chat, stream.total)
        engine.retain(stream)
        await self.answer(stream, fault)

    async def _import_prefix(self, chat: str, origin: str) -> None:
        if not origin or chat in self.engine.cache:
            return
        client = tornado.httpclient.AsyncHTTPClient()
        try:
            answer = await client.fetch(
                f"http://{origin}/v1/cache/{chat}", request_timeout=1.0
            )
        except (OSError, tornado.httpclient.HTTPError):
            return
        self.engine.cache_prefix(chat, json.loads(answer.body)["tokens"])


class ResumeHandler(Handler):
    """``POST /v1/streams/ID/resume`` with ``{"offset": N}``."""

    async def post(self, name):
        """Resume a kept stream from event `offset`."""
        stream = self.engine.streams.get(name)
        if stream is None:
            raise tornado.web.HTTPError(404)
        offset = int(self.body().get("offset", 0))
        if not stream.start <= offset <= stream.total:
            raise tornado.web.HTTPError(416)
        # Ends the previous reader, whose disconnect may not be known yet.
        stream.reader += 1
        stream.sent = offset
        stream.cancelled = False
        await self.answer(stream, {})


class CancelHandler(Handler):
    """``POST /v1/streams/ID/cancel``."""

    def post(self, name):
        """Stop generating and discard the stream."""
        stream = self.engine.streams.pop(name, None)
        if stream is None:
            raise tornado.web.HTTPError(404)
        stream.cancelled = True
        self.write({})


class CacheHandler(Handler):
    """KV export and import of one chat."""

    def get(self, chat):
        """Export the cached prefix."""
        if chat not in self.engine.cache:
            raise tornado.web.HTTPError(404)
        self.write({"chat": chat, "tokens": self.engine.cache[chat]})

    def put(self, chat):
        """Import a cached prefix."""
        self.engine.cache_prefix(chat, int(self.body().get("tokens", 0)))
        self.write({})


class CacheEventsHandler(Handler):
    """``GET /v1/cache/events?after=SEQUENCE``; events have gaps."""

    def get(self):
        """Return the events after a sequence number."""
        after = int(self.get_query_argument("after", "0"))
        newer = [e for e in self.engine.cache_events if e["sequence"] > after]
        self.write({"events": newer})


class OrdersHandler(Handler):
    """``POST /v1/orders``: load or unload a model, change the role."""

    def post(self):
        """Execute an order, unless its fencing number is stale."""
        order = self.body()
        engine = self.engine
        number = int(order.get("fencing", 0))
        if engine.fencing and number < engine.fencing_number:
            self.set_status(409)
            self.write({"fencing": engine.fencing_number})
            return
        engine.fencing_number = max(engine.fencing_number, number)
        engine.orders.append(order)
        kind, model = order.get("kind", ""), order.get("model", "")
        if kind == "load" and model not in engine.models:
            engine.models.append(model)
        elif kind == "unload" and model in engine.models:
            engine.models.remove(model)
        elif kind == "role":
            engine.role = order.get("role", engine.role)
        self.write({"models": engine.models, "role": engine.role})


class ControlHandler(Handler):
    """Recorded runs, counters and fault injection, for tests."""

    def get(self, _):
        """Return the recorded runs and counters."""
        engine = self.engine
        self.write(
            {
                "ran": engine.runs,
                "hits": engine.hits,
                "orders": engine.orders,
                "cancelled": engine.cancelled,
                "rests": engine.rests,
                "running": engine.slots.running,
            }
        )

    def post(self, _):
        """Plan a fault for the next requests."""
        self.engine.planned_fault = self.body()
        self.write({})


async def main() -> None:
    """Run one engine until SIGTERM or SIGINT."""
    parser = standin.arguments(records.TargetKind.ENGINE)
    parser.add_argument("--models", default="m1")
    parser.add_argument("--token-seconds", type=float, default=0.0)
    parser.add_argument("--cache-chats", type=int, default=500)
    parser.add_argument("--fencing", action="store_true")
    parser.add_argument("--crash-seconds", type=float, default=0.0)
    args = parser.parse_args()
    engine = Engine(
        args.name,
        args.models.split(","),
        args.capacity,
        args.token_seconds,
        args.cache_chats,
        args.fencing,
        exit_on_crash=True,
        crash_seconds=args.crash_seconds,
    )
    _, port = standin.listen(engine.app(), args.port)
    target = standin.target(
        args,
        records.TargetKind.ENGINE,
        port,
        args.models,
        fencing=args.fencing,
    )
    await standin.serve(
        args, target, engine.load, lambda: engine.models, engine.leave
    )


if __name__ == "__main__":
    asyncio.run(main())
