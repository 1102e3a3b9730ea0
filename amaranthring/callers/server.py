"""HTTP towards callers: bounds, handlers, and the form of every answer."""

import asyncio
import json
import math
import time
import typing as t

import logbook
import tornado.httpserver
import tornado.iostream
import tornado.netutil
import tornado.web

from amaranthring import errors
from amaranthring import settings as settings_module
from amaranthring.callers import chats
from amaranthring.callers import conventions
from amaranthring.callers import services
from amaranthring.callers import tokens
from amaranthring.callers import way

log = logbook.Logger(__name__)

Handlers = list[tuple[str, type, dict[str, t.Any]]]
REQUEST_TIMEOUT_STATUS = 408


class CallerHandler(tornado.web.RequestHandler):
    """Base: request id, account, bounded body, one form of every answer."""

    def initialize(self, needs: way.Needs, settings, accounts):
        """Take what the handler needs."""
        self.needs = needs
        self.bounds: settings_module.CallersSection = settings
        self.accounts = accounts
        self.request_id = conventions.new_request_id(needs.router)
        self.body = b""
        self.parts: list[bytes] = []
        self.size = 0
        self.work: asyncio.Task | None = None
        self.entered = False
        self.streaming = False
        self.body_timer: asyncio.TimerHandle | None = None

    def set_default_headers(self):
        """Leave out the server's name."""
        self.clear_header("Server")

    def prepare(self):
        """Refuse before the body is read whatever can be refused then."""
        try:
            if self.needs.drain.closing:
                raise errors.ShuttingDownError(
                    "this router is stopping",
                    given=self.request.method,
                    expected="a call to another router",
                    retry_after=1.0,
                )
            self.needs.drain.enter()
            self.entered = True
            self.config = self.needs.config()
            self.caller = conventions.decode_caller(
                self.request.headers, self.config, self.accounts
            )
            self._expect_body()
        except errors.AmaranthringError as error:
            self.refuse(error)

    def _expect_body(self) -> None:
        length = self.request.headers.get("Content-Length", "0")
        if length.isdigit() and int(length) > self.bounds.body_bytes_most:
            raise self._too_large(length)
        loop = asyncio.get_running_loop()
        self.body_timer = loop.call_later(
            self.bounds.body_seconds, self._body_late
        )

    def _too_large(self, given) -> errors.TooLargeError:
        return errors.TooLargeError(
            "the body is above the bound",
            given=f"{given} bytes",
            expected=f"{self.bounds.body_bytes_most} bytes at most",
        )

    def _body_late(self) -> None:
        if self._finished:
            return
        error = errors.BadRequestError(
            "the body came too slowly",
            given=f"{self.size} bytes in {self.bounds.body_seconds:g} s",
            expected="the whole body",
        )
        self.refuse(error, REQUEST_TIMEOUT_STATUS)

    def data_received(self, chunk: bytes):
        """Take a part of the body."""
        if self._finished:
            return
        self.size += len(chunk)
        if self.size > self.bounds.body_bytes_most:
            self.refuse(self._too_large(self.size))
            return
        self.parts.append(chunk)

    def refuse(self, error: errors.AmaranthringError, status: int = 0) -> None:
        """Answer `error` in the one form; the connection is not reused."""
        if self.size or self.request.headers.get("Content-Length", "0") != "0":
            # What is left of the body is not read.
            self.set_header("Connection", "close")
        self.answer_error(error, status)

    def answer_error(
        self, error: errors.AmaranthringError, status: int = 0
    ) -> None:
        """Write `error` and end the answer."""
        self.needs.metrics.count(f"callers.refused.{error.code}")
        self._honest(error)
        self.needs.note(
            self.request_id,
            "answered",
            code=error.code,
            outcome=str(error.outcome),
        )
        record = conventions.error_record(error, self.request_id)
        if self.streaming:
            data = b"event: error\ndata: %b\n\n" % json.dumps(record).encode()
            self.write(data)
            self.finish()
            return
        self.set_status(status or error.status)
        self.set_header("Content-Type", "application/json")
        after = conventions.retry_after(error)
        if after is not None:
            self.set_header("Retry-After", str(max(1, math.ceil(after))))
        self.stamp(error.outcome)
        self.finish(json.dumps(record))

    def _honest(self, error: errors.AmaranthringError) -> None:
        """Say ``not-run`` of a keyed call only if the ledger backs it."""

    def stamp(self, outcome: errors.Outcome) -> None:
        """Set the headers that every answer has."""
        self.set_header(conventions.REQUEST_ID_HEADER, self.request_id)
        self.set_header(conventions.OUTCOME_HEADER, str(outcome))

    def answer(self, answer: way.Answer) -> None:
        """Write a whole answer."""
        self.set_status(answer.status)
        self.set_header("Content-Type", answer.content_type)
        self.stamp(answer.outcome)
        self.finish(answer.body)

    def on_finish(self):
        """Count the request out."""
        if self.body_timer:
            self.body_timer.cancel()
        if self.entered:
            self.entered = False
            self.needs.drain.leave()

    def on_connection_close(self):
        """Cancel the work of a caller that left."""
        if self.work:
            self.work.cancel()
        self.on_finish()

    async def run(self, work: t.Coroutine) -> None:
        """Run the way in a task that the caller's leaving cancels."""
        self.work = asyncio.ensure_future(work)
        try:
            await self.work
        except errors.AmaranthringError as error:
            self.answer_error(error)
        except asyncio.CancelledError:
            self.needs.metrics.count("callers.left")
        except tornado.iostream.StreamClosedError:
            self.needs.metrics.count("callers.left")
        except Exception:
            log.exception("callers.fault request={}", self.request_id)
            self.answer_error(errors.InternalError("a fault of the router"))

    def take_body(self) -> bytes:
        """Return the whole body."""
        if self.body_timer:
            self.body_timer.cancel()
        self.body = b"".join(self.parts)
        self.parts.clear()
        return self.body

    def write_error(self, status_code, **_):
        """Give tornado's own refusals the one form."""
        kinds = {404: errors.NotFoundError, 405: errors.BadRequestError}
        kind = kinds.get(status_code, errors.InternalError)
        error = kind(
            "no such path or method",
            given=f"{self.request.method} {self.request.path[:128]}",
            expected="a path of docs/CALLERS.md",
        )
        self.answer_error(error, status_code)


@tornado.web.stream_request_body
class ChatHandler(CallerHandler):
    """``POST /v1/chat/completions``."""

    async def post(self):
        """Run a chat, or resume one."""
        body = self.take_body()
        token = self.request.headers.get(conventions.RESUME_HEADER)
        work = self._resume(token) if token else self._chat(body)
        await self.run(work)

    async def _chat(self, body: bytes) -> None:
        chat = conventions.decode_chat(body)
        request = conventions.chat_request(
            self.caller, self.request_id, chat, body
        )
        way.check_known(self.needs, request)
        if not request.stream:
            self.answer(await chats.whole(self.needs, request))
            return
        await chats.stream(self.needs, request, self.sink())
        self.finish()

    async def _resume(self, token: str) -> None:
        account = self.caller.account.name
        place, number = tokens.read(token, account, self.needs.keys)
        chat = conventions.Chat.model_construct(
            model=place.serves, messages=[], stream=True, prompt_cache_key=""
        )
        request = conventions.chat_request(
            self.caller, self.request_id, chat, b""
        )
        await chats.resume(self.needs, request, place, number, self.sink())
        self.finish()

    def sink(self) -> chats.Sink:
        """Return where the events of the answer go."""
        return chats.Sink(self._begin, self._send)

    def _begin(self) -> None:
        self.streaming = True
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-cache")
        self.stamp(errors.Outcome.RAN)
        self.request.connection.stream.set_nodelay(True)
        self.flush()

    def _send(self, data: bytes):
        pending = self.request.connection.write(data)
        return None if pending.done() else self._slow(pending)

    async def _slow(self, pending) -> None:
        """Wait for a slow reader, at most ``idle_seconds``."""
        try:
            await asyncio.wait_for(pending, self.bounds.idle_seconds)
        except TimeoutError:
            self.needs.metrics.count("callers.too-slow")
            self.request.connection.stream.close()
            raise asyncio.CancelledError from None


class ModelsHandler(CallerHandler):
    """``GET /v1/models``."""

    def get(self):
        """List the models that are served now."""
        found = sorted(self.needs.serves(way.records.TargetKind.ENGINE))
        models = [
            {"id": name, "object": "model", "owned_by": "amaranthring"}
            for name in found
        ]
        self.stamp(errors.Outcome.RAN)
        self.write({"object": "list", "data": models})


@tornado.web.stream_request_body
class ServiceHandler(CallerHandler):
    """``/services/NAME/...`` with any method."""

    SUPPORTED_METHODS = (
        "GET",
        "HEAD",
        "POST",
        "DELETE",
        "PATCH",
        "PUT",
        "OPTIONS",
    )

    async def _any(self, service: str, rest: str) -> None:
        body = self.take_body()
        await self.run(self._call(service, rest, body))

    get = head = post = delete = patch = put = options = _any

    async def _call(self, service: str, rest: str, body: bytes) -> None:
        query = self.request.query
        path = f"/{rest}?{query}" if query else f"/{rest}"
        request = conventions.service_request(
            self.caller,
            self.request_id,
            service,
            self.request.method,
            path,
            conventions.decode_key(self.request.headers),
            body,
            self.config.preset.service_policy(service),
        )
        way.check_known(self.needs, request)
        headers = {
            name: self.request.headers[name]
            for name in services.PASSED_HEADERS
            if name in self.request.headers
        }
        self.answer(await services.call(self.needs, request, headers))


class UnknownHandler(CallerHandler):
    """Any other path."""

    def prepare(self):
        """Answer that the path is unknown."""
        self.set_status(404)
        self.write_error(404)


def handlers(
    needs: way.Needs, settings: settings_module.CallersSection
) -> Handlers:
    """Return the routes towards callers."""
    given = {
        "needs": needs,
        "settings": settings,
        "accounts": conventions.Accounts(),
    }
    return [
        (r"/v1/chat/completions", ChatHandler, given),
        (r"/v1/models", ModelsHandler, given),
        (r"/services/([A-Za-z0-9._-]{1,64})/?(.*)", ServiceHandler, given),
    ]


def make_app(
    needs: way.Needs,
    settings: settings_module.CallersSection,
    others: Handlers | None = None,
) -> tornado.web.Application:
    """Return the HTTP application towards callers.

    Parameters
    ----------
    others : list
        Further routes on the same listener, such as the health check.
    """
    routes = [*(others or []), *handlers(needs, settings)]
    given = {
        "needs": needs,
        "settings": settings,
        "accounts": conventions.Accounts(),
    }
    return tornado.web.Application(
        routes,
        default_handler_class=UnknownHandler,
        default_handler_args=given,
        log_function=lambda _: None,
    )


class Server(tornado.httpserver.HTTPServer):
    """An HTTP server whose headers must come in time.

    tornado has one timeout for an idle connection and for slow headers; a
    connection may idle for a minute, so a caller that sends a byte now and
    then would hold it as long. The sweep closes a connection whose headers
    were begun but not ended in time.
    """


def listen(
    app: tornado.web.Application,
    address: str,
    settings: settings_module.CallersSection,
    ssl_options=None,
) -> tuple[Server, int]:
    """Serve `app` at ``host:port`` within the bounds of ``[callers]``.

    Returns
    -------
    Server, int
        The server and the port that it listens on.
    """
    host, _, port = address.rpartition(":")
    sockets = tornado.netutil.bind_sockets(int(port), host.strip("[]"))
    server = Server(
        app,
        ssl_options=ssl_options,
        idle_connection_timeout=settings.idle_seconds,
        max_header_size=settings.header_bytes_most,
        max_body_size=settings.body_bytes_most,
        max_buffer_size=settings.body_bytes_most + settings.header_bytes_most,
    )
    server.add_sockets(sockets)
    return server, sockets[0].getsockname()[1]


def now() -> float:
    """Return the clock of deadlines."""
    return time.monotonic()
