"""Request handlers for callers: authentication, limits and responses."""

import asyncio
import json
import math
import typing as t

import logbook
import tornado.iostream
import tornado.web

from amaranthring import errors
from amaranthring.callers import chats
from amaranthring.callers import codec
from amaranthring.callers import execution
from amaranthring.callers import output
from amaranthring.callers import services
from amaranthring.callers import tokens
from amaranthring.core import connections
from amaranthring.core import decisions
from amaranthring.core import numerals
from amaranthring.core import records
from amaranthring.settings import models as settings_models

log = logbook.Logger(__name__)

SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
MAX_DISCARDED_BYTES = 16 * 1024 * 1024


class CallerHandler(tornado.web.RequestHandler):
    """Base class: request id, authentication, body limit and errors."""

    def initialize(self, needs: execution.Dependencies, settings, accounts):
        """Set the dependencies of the handler."""
        self.deps = needs
        self.limits: settings_models.CallersSection = settings
        self.accounts = accounts
        self.request_id = decisions.new_request_id(needs.router)
        self.chunks: list[bytes] = []
        self.size = 0
        self.rejection: errors.AmaranthringError | None = None
        self.work: asyncio.Task | None = None
        self.runs_to_end = False
        self.disconnected = False
        self.counted = False
        self.streaming = False
        self.interrupted = False
        self.routed: records.Request | None = None
        self.body_timer: asyncio.TimerHandle | None = None

    def set_default_headers(self):
        """Omit the ``Server`` header."""
        self.clear_header("Server")

    def prepare(self):
        """Check everything but the body before the body is read."""
        self.deps.drain.request_started(self.interrupt)
        self.counted = True
        self.deps.metrics.count("callers.requests")
        loop = asyncio.get_running_loop()
        self.body_timer = loop.call_later(
            self.limits.body_seconds, self._on_body_timeout
        )
        try:
            self._check_head()
        except errors.AmaranthringError as error:
            self._reject(error)

    def _check_head(self) -> None:
        if self.deps.drain.closing:
            raise errors.ShuttingDownError(
                "this router is stopping",
                given=self.request.method,
                expected="a request to another router",
                retry_after=1.0,
            )
        headers = self.request.headers
        size = sum(len(name) + len(v) + 4 for name, v in headers.get_all())
        if size > self.limits.header_bytes_most:
            raise errors.HeadersTooLargeError(
                "the headers are too large",
                given=f"{size} bytes",
                expected=f"{self.limits.header_bytes_most} bytes at most",
            )
        self.config = self.deps.config()
        self.caller = codec.decode_caller(headers, self.config, self.accounts)
        length = numerals.read(headers.get("Content-Length", ""))
        if length is not None and length > self.limits.body_bytes_most:
            raise self._too_large(length)

    def _too_large(self, given: int) -> errors.TooLargeError:
        return errors.TooLargeError(
            "the body is too large",
            given=f"{given} bytes",
            expected=f"{self.limits.body_bytes_most} bytes at most",
        )

    def _reject(self, error: errors.AmaranthringError) -> None:
        """Respond with `error`, if possible after discarding the body.

        Closing a connection with unread bytes resets it, and the reset can
        destroy the response before the caller reads it. So if at most
        ``MAX_DISCARDED_BYTES`` of the body remain, they are read and
        discarded first.
        """
        length = numerals.read(self.request.headers.get("Content-Length", ""))
        left = (length or 0) - self.size
        if 0 < left <= MAX_DISCARDED_BYTES:
            self.rejection = error
            self.chunks.clear()
            return
        self.set_header("Connection", "close")
        self.write_error_response(error)

    def _on_body_timeout(self) -> None:
        if self._finished:
            return
        self.set_header("Connection", "close")
        error = errors.BodyTimeoutError(
            "the body arrived too slowly",
            given=f"{self.size} bytes in {self.limits.body_seconds:g} s",
            expected="the whole body",
        )
        self.write_error_response(self.rejection or error)

    def data_received(self, chunk: bytes):
        """Add a chunk of the body."""
        self.size += len(chunk)
        if self._finished or self.rejection:
            return
        self.chunks.append(chunk)
        if self.size > self.limits.body_bytes_most:
            self._reject(self._too_large(self.size))

    def finish_body(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        errors.AmaranthringError
            If the request was rejected while its body was read.
        """
        self.body_timer.cancel()
        if self.rejection:
            raise self.rejection
        body = b"".join(self.chunks)
        self.chunks.clear()
        return body

    def write_error_response(self, error: errors.AmaranthringError) -> None:
        """Write `error` as JSON, unless the caller has disconnected."""
        if isinstance(error, errors.CallerDisconnectedError):
            self.deps.metrics.count(f"callers.{error.code}")
            return
        self.deps.metrics.count(f"callers.refused.{error.code}")
        outcome = self.reported_outcome(error)
        self.deps.record_decision(
            self.request_id,
            "answered",
            code=error.code,
            outcome=str(outcome),
        )
        record = codec.error_record(error, outcome, self.request_id)
        data = json.dumps(record).encode()
        if self.streaming:
            self.finish(b"event: error\ndata: %b\n\n" % data)
            return
        self.set_status(error.status)
        self.set_header("Content-Type", "application/json")
        seconds = codec.retry_after(error)
        if seconds is not None:
            self.set_header("Retry-After", str(max(1, math.ceil(seconds))))
        self.set_common_headers(outcome)
        self.finish(data)

    def reported_outcome(
        self, error: errors.AmaranthringError
    ) -> errors.Outcome:
        """Return the outcome that the response to `error` states."""
        return error.outcome

    def set_common_headers(self, outcome: errors.Outcome) -> None:
        """Set the headers that every response has."""
        self.set_header(codec.REQUEST_ID_HEADER, self.request_id)
        self.set_header(codec.OUTCOME_HEADER, str(outcome))
        if self.deps.drain.leaving:
            self.set_header("Connection", "close")

    def write_response(self, response: execution.Response) -> None:
        """Write a complete response."""
        self.set_status(response.status)
        self.set_header("Content-Type", response.content_type)
        self.set_common_headers(response.outcome)
        self.finish(response.body)

    def on_finish(self):
        """Count the request as finished once its response is sent."""
        if self.body_timer:
            self.body_timer.cancel()
        if self.counted and self.work is None:
            self.counted = False
            finished = self.deps.drain.request_finished
            connections.call_when_sent(
                self.request.connection, lambda: finished(self.interrupt)
            )

    def on_connection_close(self):
        """Cancel the work of a caller that disconnected.

        A call that holds a claim runs until its response is stored, so that
        the caller's resend gets that response and not ``unknown``.
        """
        self.disconnected = True
        self.chunks.clear()
        if self.work and not self.runs_to_end:
            self.work.cancel()
        self.on_finish()

    def interrupt(self) -> None:
        """Answer the request at once, as the process is about to exit."""
        if self._finished or self.disconnected:
            return
        self.interrupted = True
        if self.work is not None:
            self.work.cancel()
            return
        self.set_header("Connection", "close")
        self.write_error_response(self.rejection or self._interruption())

    def _interruption(self) -> errors.AmaranthringError:
        """Return the error of a request that was interrupted."""
        never_ran = self.work is None or (
            self.routed is not None and not self.routed.may_have_run
        )
        return errors.ShuttingDownError(
            "this router has stopped before the answer was whole",
            expected="a request to another router",
            retry_after=1.0,
            outcome=None if never_ran else errors.Outcome.UNKNOWN,
        )

    async def run(self, work: t.Coroutine) -> None:
        """Run `work`, which is cancelled if the caller disconnects.

        Errors become error responses.
        """
        self.work = asyncio.current_task()
        try:
            await work
        except errors.AmaranthringError as error:
            self.write_error_response(error)
        except asyncio.CancelledError:
            # Cancelled here; tornado still uses the task, so it must not
            # stay cancelled.
            self.work.uncancel()
            if self.interrupted and not self.disconnected:
                self.set_header("Connection", "close")
                self.write_error_response(self._interruption())
            else:
                self.deps.metrics.count("callers.caller-gone")
        except tornado.iostream.StreamClosedError:
            self.deps.metrics.count("callers.caller-gone")
        except Exception:
            log.exception("callers.fault request={}", self.request_id)
            self.write_error_response(
                errors.InternalError("internal error in the router")
            )
        finally:
            self.work = None
            if self.disconnected or self._finished:
                self.on_finish()

    def write_error(self, status_code, **_):
        """Write tornado's own errors in the JSON form of all errors."""
        if status_code == 405:
            error_type = errors.MethodError
        elif status_code == 404:
            error_type = errors.NotFoundError
        elif status_code < 500:
            error_type = errors.BadRequestError
        else:
            error_type = errors.InternalError
        self.write_error_response(
            error_type(
                "no such path or method",
                given=f"{self.request.method} {self.request.path[:128]}",
                expected="one of docs/CALLERS.md",
            )
        )


@tornado.web.stream_request_body
class ChatHandler(CallerHandler):
    """Handles ``POST /v1/chat/completions``."""

    async def post(self):
        """Run a chat or resume its stream."""
        token = self.request.headers.get(codec.RESUME_HEADER)
        await self.run(self._resume(token) if token else self._chat())

    async def _chat(self) -> None:
        body = self.finish_body()
        chat = codec.decode_chat(body)
        request = codec.chat_request(self.caller, self.request_id, chat, body)
        self.routed = request
        execution.check_served(self.deps, request)
        if not request.stream:
            self.write_response(await chats.complete(self.deps, request))
            return
        await chats.stream(self.deps, request, self.sink())
        self.finish()

    async def _resume(self, token: str) -> None:
        self.finish_body()
        account = self.caller.account.name
        reference, number = tokens.read(token, account, self.deps.keys)
        chat = codec.Chat.model_construct(
            model=reference.serves,
            messages=[],
            stream=True,
            prompt_cache_key="",
        )
        request = codec.chat_request(self.caller, self.request_id, chat, b"")
        await chats.resume(self.deps, request, reference, number, self.sink())
        self.finish()

    def sink(self) -> chats.Sink:
        """Return the sink for the events of the response."""
        return chats.Sink(self._begin, self._send)

    def _begin(self) -> None:
        self.streaming = True
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("Cache-Control", "no-cache")
        self.set_common_headers(errors.Outcome.RAN)
        self.flush()
        self.output = output.BodyWriter(self, self.limits.idle_seconds)

    def _send(self, data: bytes):
        return self.output.send(data)


class ModelsHandler(CallerHandler):
    """Handles ``GET /v1/models``."""

    def get(self):
        """List the models that are served now."""
        names = sorted(self.deps.served_names(records.TargetKind.ENGINE))
        models = [
            {"id": name, "object": "model", "owned_by": "amaranthring"}
            for name in names
        ]
        self.set_common_headers(errors.Outcome.RAN)
        self.write({"object": "list", "data": models})


@tornado.web.stream_request_body
class ServiceHandler(CallerHandler):
    """Handles ``/services/NAME/...`` with any method."""

    SUPPORTED_METHODS = (
        "GET",
        "HEAD",
        "POST",
        "DELETE",
        "PATCH",
        "PUT",
        "OPTIONS",
    )

    async def _handle(self, service: str, rest: str) -> None:
        await self.run(self._call(service, rest))

    get = head = post = delete = patch = put = options = _handle

    async def _call(self, service: str, rest: str) -> None:
        body = self.finish_body()
        query = self.request.query
        path = f"/{rest}?{query}" if query else f"/{rest}"
        request = codec.service_request(
            self.caller,
            self.request_id,
            service,
            self.request.method,
            path,
            codec.decode_idempotency_key(self.request.headers),
            body,
            self.config.preset.service_policy(service),
        )
        self.routed = request
        execution.check_served(self.deps, request)
        self.runs_to_end = services.is_claimed(request)
        headers = {
            name: self.request.headers[name]
            for name in services.FORWARDED_HEADERS
            if name in self.request.headers
        }
        self.write_response(await services.call(self.deps, request, headers))

    def reported_outcome(self, error):
        """Return ``not-run`` for a keyed call only if it holds for the key.

        A resend under a key asks about all sends under that key, and an
        earlier one may have run through another router. Without a reply from
        the ledger a router cannot know. If it stated ``not-run``, the caller
        would book again under a new key, and the booking would be doubled.
        If the caller marks its first send, no earlier one exists; the
        ledger's own replies hold for the key.
        """
        headers = self.request.headers
        certain = (
            codec.KEY_HEADER not in headers
            or codec.FIRST_SEND_HEADER in headers
            or self.request.method in SAFE_METHODS
            or isinstance(error, errors.KeyReusedError)
            or getattr(error, "claimed", False)
        )
        if error.outcome is errors.Outcome.NOT_RUN and not certain:
            return errors.Outcome.UNKNOWN
        return error.outcome


class UnknownHandler(CallerHandler):
    """Handles every other path."""

    def prepare(self):
        """Respond that the path is unknown."""
        self.write_error(404)
