"""A stand-in of a model engine.

It speaks what ``docs/TARGETS.md`` asks of an engine: chat completions,
streamed and not, resume and cancel of streams, continuation of a text,
a limited prefix cache with late and gappy events, KV export and import,
priorities and orders. Tokens follow from the messages alone, so a test can
check that an answer belongs to its request.

A body may carry ``{"stand_in": {"fault": ..., "at": N, "seconds": S}}``;
faults are those of :data:`FAULTS`. ``POST /control/fault`` with
``{"fault": ..., "at": N, "times": N}`` applies one to the next requests.
"""

import asyncio
import collections
import dataclasses
import heapq
import itertools
import json
import os
import typing as t

import tornado.httpclient
import tornado.iostream
import tornado.web

from amaranthring.core import hashing
from amaranthring.core import records
from amaranthring.testing import standin

FAULTS = (
    "crash",  # the process exits, or the connection drops, before token `at`
    "drop",  # the connection drops before token `at`, the stream is kept
    "truncate",  # ends in good form before token `at`, with no end mark
    "gap",  # token `at` is left out
    "twice",  # token `at` is sent twice
    "reorder",  # token `at` and the one after it change places
    "foreign",  # token `at` carries another stream's id
    "foreign-answer",  # the whole answer is another request's
    "slow",  # waits `seconds` before token `at`
    "hang",  # sends nothing from token `at` on
    "status",  # answers 500
    "refuse",  # answers 503 and that it did not run
    "comments",  # sends comments and no token from token `at` on
    "garbage",  # sends what is no event before token `at`
)
DEFAULT_MAX_TOKENS = 16
RAN_MOST = 200_000
STREAMS_MOST = 4096
KEEP_SECONDS = 30.0
HANG_SECONDS = 3600.0
EVENTS_MOST = 1024
END_MARKER = "[DONE]"


@dataclasses.dataclass
class Stream:
    """One answer: what was asked, and how much of it was generated."""

    name: str
    body: dict[str, t.Any]
    seed: str
    start: int
    total: int
    sent: int = 0
    cancelled: bool = False
    reader: int = 0


def seed_of(body: dict[str, t.Any]) -> str:
    """Return the word from which the tokens of `body` are made."""
    messages = json.dumps(body.get("messages", []), sort_keys=True)
    return hashing.digest(str(body.get("model", "")), messages)[:8]


def token(seed: str, number: int) -> str:
    """Return one token."""
    return f"{seed}.{number} "


def expected_text(body: dict[str, t.Any]) -> str:
    """Return the whole text that an engine answers to `body`."""
    total = body.get("max_tokens", DEFAULT_MAX_TOKENS)
    return "".join(token(seed_of(body), n) for n in range(total))


class Slots:
    """Runs at most `capacity` requests, lower priority numbers first."""

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
        """Give a slot back and wake the next."""
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
    ran : list of dict
        Every run: request id, account's chat, first token and tokens sent.
    streams : dict
        Streams that can be resumed.
    cache : OrderedDict
        Chats whose prefix is cached, least recently used first.
    exits : bool
        Whether a crash ends the process; else it drops the connection.
    continues : bool
        Whether it can continue a given text.
    on_crash : callable
        Called by a crash that does not end the process.
    """

    def __init__(
        self,
        name: str,
        models: list[str],
        capacity: int = 64,
        token_seconds: float = 0.0,
        cache_chats: int = 500,
        fencing: bool = False,
        exits: bool = False,
        continues: bool = True,
    ):
        self.name = name
        self.models = models
        self.slots = Slots(capacity)
        self.token_seconds = token_seconds
        self.cache_chats = cache_chats
        self.fencing = fencing
        self.exits = exits
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
            collections.deque(maxlen=EVENTS_MOST)
        )
        self.cache_sequence = 0
        self.planned_fault: dict[str, t.Any] = {}
        self.fencing_number = 0
        self.orders: list[dict[str, t.Any]] = []
        self.role = "mixed"
        self.hits = 0
        self.cancelled = 0

    def load(self) -> tuple[int, int, float]:
        """Return running, waiting and share of KV memory in use."""
        used = len(self.cache) / max(1, self.cache_chats)
        return self.slots.running, len(self.slots.waiting), used

    def app(self) -> tornado.web.Application:
        """Return the HTTP application of this engine."""
        given = {"engine": self}
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
            [(path, handler, given) for path, handler in routes]
        )

    def fault(self, body: dict[str, t.Any]) -> dict[str, t.Any]:
        """Return the fault for a request: its own, or the planned one."""
        if "stand_in" in body:
            return body["stand_in"]
        if self.planned_fault.get("times", 0) > 0:
            self.planned_fault["times"] -= 1
            return self.planned_fault
        return {}

    def retain(self, stream: Stream) -> None:
        """Remember `stream` for a resume."""
        self.streams[stream.name] = stream
        while len(self.streams) > STREAMS_MOST:
            self.streams.popitem(last=False)

    def cache_prefix(self, chat: str, tokens: int) -> None:
        """Cache the prefix of `chat`; every seventh event is lost."""
        self.cache[chat] = tokens
        self.cache.move_to_end(chat)
        self._event("stored", chat)
        while len(self.cache) > self.cache_chats:
            gone, _ = self.cache.popitem(last=False)
            self._event("evicted", gone)

    def _event(self, kind: str, chat: str) -> None:
        self.cache_sequence += 1
        if self.cache_sequence % 7:
            record = {"sequence": self.cache_sequence, "kind": kind}
            self.cache_events.append(record | {"chat": chat})

    def start_stream(self, body: dict, headers, name: str) -> Stream:
        """Note a run and return its stream."""
        follows = (
            body.get("continue_from", {}) if self.supports_continuation else {}
        )
        stream = Stream(
            name=name,
            body=body,
            seed=seed_of(body),
            start=int(follows.get("tokens", 0)),
            total=int(body.get("max_tokens", DEFAULT_MAX_TOKENS)),
        )
        stream.sent = stream.start
        if len(self.runs) < RAN_MOST:
            chat = headers.get("Amaranthring-Chat", "")
            record = {"request_id": name, "chat": chat, "seed": stream.seed}
            self.runs.append(record | {"start": stream.start})
        return stream


class Handler(tornado.web.RequestHandler):
    """Base of the handlers: state, body, disconnect."""

    def initialize(self, engine: Engine):
        """Take the engine's state."""
        self.engine = engine
        self.gone = asyncio.Event()

    def on_connection_close(self):
        """Note that the caller left."""
        self.gone.set()

    def body(self) -> dict[str, t.Any]:
        """Return the decoded JSON body."""
        try:
            return json.loads(self.request.body or b"{}")
        except ValueError as error:
            raise tornado.web.HTTPError(400) from error

    def crash(self) -> None:
        """Die as a process, or drop the connection."""
        if self.engine.exits:
            os._exit(1)
        self.engine.on_crash()
        self.detach().close()

    async def wait(self, seconds: float) -> None:
        """Wait, or until the caller left."""
        try:
            await asyncio.wait_for(self.gone.wait(), seconds)
        except TimeoutError:
            pass

    async def answer(self, stream: Stream, fault: dict) -> None:
        """Run `stream` from where it stands, in a slot."""
        priority = int(self.request.headers.get("Amaranthring-Priority", 1))
        await self.engine.slots.acquire(priority)
        try:
            if stream.body.get("stream"):
                await self._events(stream, fault)
            else:
                await self._whole(stream, fault)
        except tornado.iostream.StreamClosedError:
            pass
        finally:
            self.engine.slots.release()
        if self.gone.is_set():
            self.engine.cancelled += 1

    async def _whole(self, stream: Stream, fault: dict) -> None:
        kind = fault.get("fault", "")
        if kind == "crash":
            self.engine.streams.pop(stream.name, None)
            return self.crash()
        if kind == "drop":
            return self.detach().close()
        if kind in ("slow", "hang"):
            await self.wait(fault.get("seconds", HANG_SECONDS))
        await self.wait(self.engine.token_seconds * stream.total or 0.0001)
        if self.gone.is_set():
            return None
        foreign = kind == "foreign-answer"
        seed = "another" if foreign else stream.seed
        text = "".join(token(seed, n) for n in range(stream.total))
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        whole = {
            "id": f"chatcmpl-{stream.name}",
            "object": "chat.completion",
            "created": 0,
            "model": stream.body.get("model", ""),
            "choices": [choice],
            "usage": {"completion_tokens": stream.total},
        }
        data = json.dumps(whole).encode()
        if kind == "truncate":
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n\r\n"
            raw = self.detach()
            raw.write(head.encode() + data[: len(data) // 2])
            return raw.close()
        name = "another" if foreign else stream.name
        self.set_header("Amaranthring-Request-Id", name)
        self.set_header("Content-Type", "application/json")
        return self.finish(data)

    async def _events(self, stream: Stream, fault: dict) -> None:
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
            if stopped or self.gone.is_set():
                return None
            number = stream.sent
            kind = fault.get("fault") if number == fault.get("at", 0) else ""
            if kind:
                fault = {} if kind != "hang" else fault
                done = await self._fault(stream, kind, number)
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

    async def _fault(self, stream: Stream, kind: str, number: int) -> bool:
        """Do fault `kind` at token `number`; return whether all ends."""
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
            while not self.gone.is_set():
                self.write(": still here\n\n")
                await self.flush()
                await self.wait(0.05)
            return True
        if kind in ("slow", "hang"):
            given = self.engine.fault(stream.body) or self.engine.planned_fault
            await self.wait(given.get("seconds", HANG_SECONDS))
            return kind == "hang"
        shown = {
            "gap": "",
            "twice": event(stream.name, stream, number) * 2,
            "reorder": event(stream.name, stream, number + 1)
            + event(stream.name, stream, number),
            "foreign": event("another", stream, number),
            "garbage": "what is no event\n\n",
        }[kind]
        self.write(shown)
        stream.sent = number + (2 if kind == "reorder" else 1)
        if kind == "garbage":
            stream.sent = number
        return False


def event(name: str, stream: Stream, number: int) -> str:
    """Return event `number` of `stream` under the id `name`."""
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
            raise tornado.web.HTTPError(500)
        if fault.get("fault") == "refuse":
            self.set_header("Amaranthring-Outcome", "not-run")
            self.set_status(503)
            return
        chat = headers.get("Amaranthring-Chat", "")
        await self._import(chat, headers.get("Amaranthring-Import-From", ""))
        hit = chat in engine.cache
        engine.hits += hit
        self.set_header("Amaranthring-Cache", "hit" if hit else "miss")
        stream = engine.start_stream(body, headers, name)
        if chat:
            engine.cache_prefix(chat, stream.total)
        engine.retain(stream)
        await self.answer(stream, fault)

    async def _import(self, chat: str, origin: str) -> None:
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
        """Go on with a kept stream from event `offset`."""
        stream = self.engine.streams.get(name)
        if stream is None:
            raise tornado.web.HTTPError(404)
        offset = int(self.body().get("offset", 0))
        if not stream.start <= offset <= stream.total:
            raise tornado.web.HTTPError(416)
        # The engine may not have seen yet that the old reader left.
        stream.reader += 1
        stream.sent = offset
        stream.cancelled = False
        await self.answer(stream, {})


class CancelHandler(Handler):
    """``POST /v1/streams/ID/cancel``."""

    def post(self, name):
        """Stop generating; the stream is forgotten."""
        stream = self.engine.streams.pop(name, None)
        if stream is None:
            raise tornado.web.HTTPError(404)
        stream.cancelled = True
        self.write({})


class CacheHandler(Handler):
    """KV export and import of one chat."""

    def get(self, chat):
        """Export."""
        if chat not in self.engine.cache:
            raise tornado.web.HTTPError(404)
        self.write({"chat": chat, "tokens": self.engine.cache[chat]})

    def put(self, chat):
        """Import."""
        self.engine.cache_prefix(chat, int(self.body().get("tokens", 0)))
        self.write({})


class CacheEventsHandler(Handler):
    """``GET /v1/cache/events?after=SEQUENCE``: late, with gaps."""

    def get(self):
        """Answer the events after a sequence number."""
        after = int(self.get_query_argument("after", "0"))
        found = [e for e in self.engine.cache_events if e["sequence"] > after]
        self.write({"events": found})


class OrdersHandler(Handler):
    """``POST /v1/orders``: load or unload a model, change the role."""

    def post(self):
        """Follow an order, unless its fencing number is old."""
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
    """What tests read and set."""

    def get(self, _):
        """Answer what really ran."""
        engine = self.engine
        self.write(
            {
                "ran": engine.runs,
                "hits": engine.hits,
                "orders": engine.orders,
                "cancelled": engine.cancelled,
                "running": engine.slots.running,
            }
        )

    def post(self, _):
        """Plan a fault for the next requests."""
        self.engine.planned_fault = self.body()
        self.write({})


async def main() -> None:
    """Run one engine until it is told to stop."""
    parser = standin.arguments(records.TargetKind.ENGINE)
    parser.add_argument("--models", default="m1")
    parser.add_argument("--token-seconds", type=float, default=0.0)
    parser.add_argument("--cache-chats", type=int, default=500)
    parser.add_argument("--fencing", action="store_true")
    given = parser.parse_args()
    engine = Engine(
        given.name,
        given.models.split(","),
        given.capacity,
        given.token_seconds,
        given.cache_chats,
        given.fencing,
        exits=True,
    )
    _, port = standin.listen(engine.app(), given.port)
    announced = standin.target(
        given,
        records.TargetKind.ENGINE,
        port,
        given.models,
        fencing=given.fencing,
    )
    await standin.serve(given, announced, engine.load, lambda: engine.models)


if __name__ == "__main__":
    asyncio.run(main())
