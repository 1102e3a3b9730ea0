"""Handlers towards callers: account, bounds, and the form of every answer."""

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
from amaranthring.core import records
from amaranthring.settings import models as settings_models

log = logbook.Logger(__name__)

SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
MAX_DISCARDED_BYTES = 16 * 1024 * 1024


class CallerHandler(tornado.web.RequestHandler):
    """Base: request id, account, bounded body, one form of every answer."""

    def initialize(self, needs: execution.Dependencies, settings, accounts):
        """Take what the handler needs."""
        self.needs = needs
        self.limits: settings_models.CallersSection = settings
        self.accounts = accounts
        self.request_id = decisions.new_request_id(needs.router)
        self.parts: list[bytes] = []
        self.size = 0
        self.refused: errors.AmaranthringError | None = None
        self.work: asyncio.Task | None = None
        self.runs_on = False
        self.left = False
        self.entered = False
        self.streaming = False
        self.body_timer: asyncio.TimerHandle | None = None

    def set_default_headers(self):
        """Leave out the server's name."""
        self.clear_header("Server")

    def prepare(self):
        """Check all but the body before the body is read."""
        self.needs.drain.request_started()
        self.entered = True
        self.needs.metrics.count("callers.requests")
        loop = asyncio.get_running_loop()
        self.body_timer = loop.call_later(
            self.limits.body_seconds, self._body_late
        )
        try:
            self._check_head()
        except errors.AmaranthringError as error:
            self._refuse(error)

    def _check_head(self) -> None:
        if self.needs.drain.closing:
            raise errors.ShuttingDownError(
                "this router is stopping",
                given=self.request.method,
                expected="a call to another router",
                retry_after=1.0,
            )
        headers = self.request.headers
        size = sum(len(name) + len(v) + 4 for name, v in headers.get_all())
        if size > self.limits.header_bytes_most:
            raise errors.HeadersTooLargeError(
                "the headers are above the bound",
                given=f"{size} bytes",
                expected=f"{self.limits.header_bytes_most} bytes at most",
            )
        self.config = self.needs.config()
        self.caller = codec.decode_caller(headers, self.config, self.accounts)
        length = headers.get("Content-Length", "0")
        if length.isdigit() and int(length) > self.limits.body_bytes_most:
            raise self._too_large(int(length))

    def _too_large(self, given: int) -> errors.TooLargeError:
        return errors.TooLargeError(
            "the body is above the bound",
            given=f"{given} bytes",
            expected=f"{self.limits.body_bytes_most} bytes at most",
        )

    def _refuse(self, error: errors.AmaranthringError) -> None:
        """Answer `error`, if need be after a bounded rest of the body.

        A connection that is closed on unread bytes is reset, and the reset
        can destroy the answer before the caller reads it. So a body that is
        not far above the bound is read to its end and thrown away first.
        """
        length = self.request.headers.get("Content-Length", "0")
        known = length.isdigit()
        if known and 0 < int(length) - self.size <= MAX_DISCARDED_BYTES:
            self.refused = error
            self.parts.clear()
            return
        self.set_header("Connection", "close")
        self.write_error_response(error)

    def _body_late(self) -> None:
        if self._finished:
            return
        self.set_header("Connection", "close")
        late = errors.BodyTimeoutError(
            "the body came too slowly",
            given=f"{self.size} bytes in {self.limits.body_seconds:g} s",
            expected="the whole body",
        )
        self.write_error_response(self.refused or late)

    def data_received(self, chunk: bytes):
        """Take a part of the body."""
        self.size += len(chunk)
        if self._finished or self.refused:
            return
        self.parts.append(chunk)
        if self.size > self.limits.body_bytes_most:
            self._refuse(self._too_large(self.size))

    def finish_body(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        errors.AmaranthringError
            If the request was refused while its body was read.
        """
        self.body_timer.cancel()
        if self.refused:
            raise self.refused
        body = b"".join(self.parts)
        self.parts.clear()
        return body

    def write_error_response(self, error: errors.AmaranthringError) -> None:
        """Write `error` in the one form and end the answer."""
        if isinstance(error, errors.CallerDisconnectedError):
            self.needs.metrics.count(f"callers.{error.code}")
            return
        self.needs.metrics.count(f"callers.refused.{error.code}")
        outcome = self.reported_outcome(error)
        self.needs.record_decision(
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
        after = codec.retry_after(error)
        if after is not None:
            self.set_header("Retry-After", str(max(1, math.ceil(after))))
        self.set_common_headers(outcome)
        self.finish(data)

    def reported_outcome(
        self, error: errors.AmaranthringError
    ) -> errors.Outcome:
        """Return the outcome that `error` may state here."""
        return error.outcome

    def set_common_headers(self, outcome: errors.Outcome) -> None:
        """Set the headers that every answer has."""
        self.set_header(codec.REQUEST_ID_HEADER, self.request_id)
        self.set_header(codec.OUTCOME_HEADER, str(outcome))
        if self.needs.drain.leaving:
            self.set_header("Connection", "close")

    def write_response(self, answer: execution.Response) -> None:
        """Write a whole answer."""
        self.set_status(answer.status)
        self.set_header("Content-Type", answer.content_type)
        self.set_common_headers(answer.outcome)
        self.finish(answer.body)

    def on_finish(self):
        """Count the request out once its answer is sent."""
        if self.body_timer:
            self.body_timer.cancel()
        if self.entered and self.work is None:
            self.entered = False
            connection = self.request.connection
            connections.call_when_sent(
                connection, self.needs.drain.request_finished
            )

    def on_connection_close(self):
        """Cancel the work of a caller that left.

        A call that holds a claim runs on to its stored answer, so that the
        caller's resend gets that answer and not ``unknown``.
        """
        self.left = True
        if self.work and not self.runs_on:
            self.work.cancel()
        self.on_finish()

    async def run(self, work: t.Coroutine) -> None:
        """Do `work`, which the caller's leaving cancels.

        Whatever fails becomes an answer.
        """
        self.work = asyncio.current_task()
        try:
            await work
        except errors.AmaranthringError as error:
            self.write_error_response(error)
        except asyncio.CancelledError:
            # Cancelled by ``on_connection_close``: the end is as it should
            # be, and tornado's own handling of the task goes on.
            self.work.uncancel()
            self.needs.metrics.count("callers.caller-gone")
        except tornado.iostream.StreamClosedError:
            self.needs.metrics.count("callers.caller-gone")
        except Exception:
            log.exception("callers.fault request={}", self.request_id)
            self.write_error_response(
                errors.InternalError("a fault of the router")
            )
        finally:
            self.work = None
            if self.left or self._finished:
                self.on_finish()

    def write_error(self, status_code, **_):
        """Give tornado's own refusals the one form."""
        if status_code == 405:
            kind = errors.MethodError
        elif status_code == 404:
            kind = errors.NotFoundError
        elif status_code < 500:
            kind = errors.BadRequestError
        else:
            kind = errors.InternalError
        self.write_error_response(
            kind(
                "no such path or method",
                given=f"{self.request.method} {self.request.path[:128]}",
                expected="one of docs/CALLERS.md",
            )
        )


@tornado.web.stream_request_body
class ChatHandler(CallerHandler):
    """``POST /v1/chat/completions``."""

    async def post(self):
        """Run a chat, or resume one."""
        token = self.request.headers.get(codec.RESUME_HEADER)
        await self.run(self._resume(token) if token else self._chat())

    async def _chat(self) -> None:
        body = self.finish_body()
        chat = codec.decode_chat(body)
        request = codec.chat_request(self.caller, self.request_id, chat, body)
        execution.check_served(self.needs, request)
        if not request.stream:
            self.write_response(await chats.complete(self.needs, request))
            return
        await chats.stream(self.needs, request, self.sink())
        self.finish()

    async def _resume(self, token: str) -> None:
        self.finish_body()
        account = self.caller.account.name
        place, number = tokens.read(token, account, self.needs.keys)
        chat = codec.Chat.model_construct(
            model=place.serves, messages=[], stream=True, prompt_cache_key=""
        )
        request = codec.chat_request(self.caller, self.request_id, chat, b"")
        await chats.resume(self.needs, request, place, number, self.sink())
        self.finish()

    def sink(self) -> chats.Sink:
        """Return where the events of the answer go."""
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
    """``GET /v1/models``."""

    def get(self):
        """List the models that are served now."""
        found = sorted(self.needs.served_names(records.TargetKind.ENGINE))
        models = [
            {"id": name, "object": "model", "owned_by": "amaranthring"}
            for name in found
        ]
        self.set_common_headers(errors.Outcome.RAN)
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
        await self.run(self._call(service, rest))

    get = head = post = delete = patch = put = options = _any

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
        execution.check_served(self.needs, request)
        self.runs_on = services.is_claimed(request)
        headers = {
            name: self.request.headers[name]
            for name in services.FORWARDED_HEADERS
            if name in self.request.headers
        }
        self.write_response(await services.call(self.needs, request, headers))

    def reported_outcome(self, error):
        """Return ``not-run`` of a keyed call only if it speaks of the key.

        A caller that resends under a key asks about the key, not about this
        one connection: an earlier send may have run through another router.
        Whoever refuses before the ledger answered cannot know that. Told
        ``not-run`` then, the caller would book again under a new key, and
        the booking would be doubled. A caller that marks its first send
        rules the earlier send out, and the ledger's own answers are about
        the key.
        """
        headers = self.request.headers
        sure = (
            codec.KEY_HEADER not in headers
            or codec.FIRST_SEND_HEADER in headers
            or self.request.method in SAFE_METHODS
            or isinstance(error, errors.KeyReusedError)
            or getattr(error, "claimed", False)
        )
        if error.outcome is errors.Outcome.NOT_RUN and not sure:
            return errors.Outcome.UNKNOWN
        return error.outcome


class UnknownHandler(CallerHandler):
    """Any other path."""

    def prepare(self):
        """Answer that the path is unknown."""
        self.write_error(404)
