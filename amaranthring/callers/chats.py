"""Chats: one attempt of a chat completion, streamed or whole.

A stream that breaks is resumed at its engine where it stood. If that engine
is gone, the request is run again elsewhere only while the caller has seen
nothing of it; after that another engine must continue the very text that
was sent, and say so, or the stream ends with a typed error. See
``docs/design/way.md``.
"""

import asyncio
import dataclasses
import json
import time
import typing as t

from amaranthring import errors
from amaranthring.callers import execution
from amaranthring.callers import tokens
from amaranthring.core import records
from amaranthring.targets import sse
from amaranthring.targets import upstream

MAX_RESUMES = 2
RESUME_SUFFIX = "/resume"
CANCEL_TIMEOUT_SECONDS = 1.0
CONTINUED_HEADER = "Amaranthring-Continued-From"
EVENT_STREAM = "text/event-stream"
JSON = "application/json"


@dataclasses.dataclass
class Sink:
    """Where a streamed answer goes.

    Attributes
    ----------
    begin : callable
        Called once, before the first bytes.
    send : callable
        Takes bytes; returns an awaitable while the caller reads slowly,
        else None.
    """

    begin: t.Callable[[], None]
    send: t.Callable[[bytes], t.Awaitable[None] | None]


@dataclasses.dataclass
class StreamProgress:
    """How far a streamed answer has come.

    Attributes
    ----------
    events : sse.Events or None
        None until an attempt got as far as its engine.
    begun : bool
        Whether the caller has seen anything.
    opened : bool
        Whether the engine of now accepted the request under its terms, so
        that its stream may be resumed.
    started, last : float
        Monotonic time of arrival, and of the last bytes sent on.
    first_token : float
        Seconds from arrival to the first bytes sent on.
    worst_gap : float
        Longest time between two reads that brought tokens, in seconds.
    """

    sink: Sink
    started: float
    events: sse.EventRewriter | None = None
    begun: bool = False
    opened: bool = False
    first_token: float = 0.0
    last: float = 0.0
    worst_gap: float = 0.0

    def follow(self, name: str, shown: str) -> None:
        """Take the next events from stream `name`."""
        if self.events is None:
            self.events = sse.EventRewriter(name, shown)
        else:
            self.events.switch_to(name, shown)


async def stream(
    needs: execution.Dependencies, request: records.Request, sink: Sink
) -> None:
    """Stream the answer of `request` into `sink`.

    Raises
    ------
    errors.AmaranthringError
        If it could not be brought to its end.
    """
    await execution.check(needs, request)
    delivery = StreamProgress(sink, time.monotonic())

    async def once(attempt: execution.Attempt) -> None:
        await _attempt(needs, request, attempt, delivery)

    await execution.run(needs, request, once)
    _record(needs, request, delivery)


async def _attempt(needs, request, attempt, delivery) -> None:
    name = f"{request.request_id}.{attempt.number}"
    headers = execution.upstream_headers(request, attempt.grant, name)
    headers["Content-Type"] = JSON
    body = request.body
    if delivery.begun:
        body = continuation_body(request.body, delivery.events)
    call = upstream.Call("POST", request.path, headers, body)
    preset = needs.config().preset
    left = max(0.001, request.deadline - time.monotonic())
    allowed = preset.first_token_seconds
    if not delivery.begun:
        allowed = min(allowed, left)
    exchange = upstream.Exchange(attempt.target)
    try:
        with execution.AbortOnTargetLoss(needs, exchange):
            try:
                delivery.opened = False
                await exchange.send(call, allowed)
                # While the engine works.
                shown = _token(needs, request, attempt.target, name)
                delivery.follow(name, shown)
                await _open_stream(exchange, name, delivery)
                delivery.opened = True
                await _relay(exchange, delivery, preset)
                return
            finally:
                attempt.sent = attempt.sent or exchange.sent
    except errors.UpstreamError as error:
        await _after_break(needs, request, attempt, delivery, name, error)


async def _after_break(needs, request, attempt, delivery, name, error):
    """Bring a broken stream to its end at its own engine, or raise."""
    if not attempt.sent:
        raise error
    timed_out = isinstance(error, errors.UpstreamTimeoutError)
    if delivery.opened and not attempt.target_lost and not timed_out:
        for _ in range(MAX_RESUMES):
            try:
                await _resume(needs, attempt.target, name, delivery)
                needs.metrics.count("way.resumed")
                return
            except errors.NotFoundError:
                # The process that ran it is gone; another took its port.
                attempt.target_lost = True
                break
            except errors.UpstreamError as again:
                if again.outcome is errors.Outcome.NOT_RUN:
                    break
    if not attempt.target_lost:
        await execution.detect_target_loss(attempt)
    if not attempt.target_lost:
        await cancel(attempt.target, name)
    if delivery.begun:
        attempt.retryable = (
            continuation_body(request.body, delivery.events) is not None
        )
    raise error


async def _resume(needs, target, name, delivery) -> None:
    """Go on with stream `name` at `target` at the event expected next."""
    events = delivery.events
    events.switch_to(name, events.shown.decode()[4:-1])
    body = json.dumps({"offset": events.expected}).encode()
    path = f"/v1/streams/{name}{RESUME_SUFFIX}"
    headers = {
        upstream.REQUEST_ID_HEADER: name,
        "Content-Type": JSON,
    }
    call = upstream.Call("POST", path, headers, body)
    preset = needs.config().preset
    exchange = upstream.Exchange(target)
    with execution.AbortOnTargetLoss(needs, exchange):
        await exchange.send(call, preset.first_token_seconds)
        await _open_stream(exchange, name, delivery)
        await _relay(exchange, delivery, preset)


async def _open_stream(exchange, name, delivery) -> None:
    await exchange.read_head()
    path = exchange.call.path
    if exchange.status == 404 and path.endswith(RESUME_SUFFIX):
        raise errors.NotFoundError(
            "the engine does not know the stream", given=name
        )
    if delivery.begun and not path.endswith(RESUME_SUFFIX):
        # First of all: an engine that refuses the unknown field says nothing
        # about the caller's own request.
        _check_continued(exchange, delivery.events.expected)
    check_response_head(exchange, name)
    kind = exchange.headers.get("Content-Type", "")
    if not kind.startswith(EVENT_STREAM):
        raise errors.UpstreamError(
            "the answer is no event stream", given=kind, expected=EVENT_STREAM
        )


def check_response_head(exchange: upstream.Exchange, name: str) -> None:
    """Refuse an answer that is an error or another request's.

    Raises
    ------
    errors.UpstreamError, errors.BadRequestError
        With outcome ``not-run`` only if the engine says so.
    """
    told = exchange.headers.get(upstream.OUTCOME_HEADER, "")
    not_run = told == errors.Outcome.NOT_RUN
    outcome = errors.Outcome.NOT_RUN if not_run else errors.Outcome.UNKNOWN
    if exchange.status in (400, 413, 422):
        raise errors.BadRequestError(
            "the engine refused the request",
            given=f"status {exchange.status}",
            expected="a request that the model takes",
            outcome=outcome,
        )
    if exchange.status != 200:
        raise errors.UpstreamError(
            "the engine answered an error",
            given=f"status {exchange.status}",
            expected="status 200",
            retry_after=1.0,
            outcome=outcome,
        )
    given = exchange.headers.get(upstream.REQUEST_ID_HEADER, "")
    if given != name:
        raise errors.UpstreamError(
            "the answer of another request", given=given[:64], expected=name
        )


def _check_continued(exchange, expected: int) -> None:
    """Refuse an engine that started anew instead of continuing.

    It would send other words under numbers that the caller has not seen;
    the numbers alone would not show it.
    """
    given = exchange.headers.get(CONTINUED_HEADER, "")
    if given != str(expected):
        raise errors.UpstreamError(
            "the engine does not continue a text",
            given=given[:64],
            expected=f"{CONTINUED_HEADER}: {expected}",
        )


async def _relay(exchange, delivery: StreamProgress, preset) -> None:
    """Pass events on until the end mark; one write for each read."""
    events = delivery.events
    send = delivery.sink.send
    first = True
    while True:
        data = await exchange.read()
        if not data:
            raise errors.TruncatedResponseError(
                "the stream ended without its end mark",
                given=f"{events.expected} events",
                expected="data: [DONE]",
            )
        ready = events.take(data)
        if ready:
            if first:
                first = False
                exchange.set_timeout(preset.between_tokens_seconds)
            _note_time(delivery)
            exchange.note_progress(delivery.last)
            waits = send(ready)
            if waits is not None:
                exchange.paused = True
                await waits
                exchange.paused = False
                delivery.last = time.monotonic()
                exchange.note_progress(delivery.last)
        if events.ended:
            return
        if events.error:
            raise events.error


def _note_time(delivery: StreamProgress) -> None:
    now = time.monotonic()
    if not delivery.begun:
        delivery.begun = True
        delivery.sink.begin()
        delivery.first_token = now - delivery.started
    elif now - delivery.last > delivery.worst_gap:
        delivery.worst_gap = now - delivery.last
    delivery.last = now


def _record(needs, request, delivery: StreamProgress) -> None:
    record = needs.metrics.record
    account, cls = request.account, request.cls
    record("first-token", delivery.first_token, account, cls)
    record("between-tokens-worst", delivery.worst_gap, account, cls)
    record("whole", time.monotonic() - delivery.started, account, cls)
    needs.metrics.count("way.streamed")
    if delivery.events.duplicates:
        needs.metrics.count("way.repeated-events", delivery.events.duplicates)


def _token(needs, request, target: records.Target, name: str) -> str:
    place = tokens.StreamReference(
        request.account,
        target.name,
        target.incarnation,
        name,
        request.serves,
        time.time() + tokens.LIFETIME_SECONDS,
    )
    return tokens.sign(place, needs.keys)


def continuation_body(body: bytes, events: sse.EventRewriter) -> bytes | None:
    """Return the body that asks to continue what was sent, or None."""
    text = events.text()
    if text is None:
        return None
    asked = json.loads(body)
    asked["continue_from"] = {"text": text, "tokens": events.expected}
    return json.dumps(asked).encode()


async def cancel(target: records.Target, name: str) -> None:
    """Tell an engine to stop a stream; best effort, the end is the same."""
    headers = {upstream.REQUEST_ID_HEADER: name}
    call = upstream.Call("POST", f"/v1/streams/{name}/cancel", headers)
    exchange = upstream.Exchange(target)
    try:
        await exchange.open(call, CANCEL_TIMEOUT_SECONDS)
    except errors.AmaranthringError:
        pass
    finally:
        exchange.close()


async def resume(
    needs: execution.Dependencies,
    request: records.Request,
    place: tokens.StreamReference,
    number: int,
    sink: Sink,
) -> None:
    """Stream what a caller that came back has not seen yet.

    Parameters
    ----------
    place : tokens.Place
        From the checked token.
    number : int
        Event to begin with.

    Raises
    ------
    errors.ResumeError
        If the engine that held the stream is gone or has forgotten it.
    """
    await needs.check_limits(request)
    target = needs.get_target(place.target)
    if target is None or target.incarnation != place.incarnation:
        raise _stream_gone(place, "an engine that is gone")
    shown = _token(needs, request, target, place.stream)
    delivery = StreamProgress(sink, time.monotonic())
    delivery.events = sse.EventRewriter(place.stream, shown, number)
    failed = None
    for _ in range(MAX_RESUMES):
        try:
            await _resume(needs, target, place.stream, delivery)
            break
        except errors.NotFoundError as error:
            raise _stream_gone(place, str(error)) from error
        except errors.UpstreamError as error:
            failed = error
    else:
        if delivery.begun:
            raise failed
        raise _stream_gone(place, str(failed)) from failed
    needs.metrics.count("way.came-back")
    _record(needs, request, delivery)


def _stream_gone(
    place: tokens.StreamReference, given: str
) -> errors.ResumeError:
    return errors.ResumeError(
        "the stream is gone; send the whole request again",
        given=given,
        expected=f"stream {place.stream} at {place.target}",
        outcome=errors.Outcome.UNKNOWN,
    )


async def complete(
    needs: execution.Dependencies, request: records.Request
) -> execution.Response:
    """Return the whole answer of a chat that is not streamed.

    Raises
    ------
    errors.AmaranthringError
        If no attempt brought one.
    """
    await execution.check(needs, request)
    started = time.monotonic()

    async def once(attempt: execution.Attempt) -> execution.Response:
        return await _whole_attempt(needs, request, attempt)

    answer = await execution.run(needs, request, once)
    seconds = time.monotonic() - started
    needs.metrics.record("whole", seconds, request.account, request.cls)
    needs.metrics.count("way.answered")
    return answer


async def _whole_attempt(needs, request, attempt) -> execution.Response:
    name = f"{request.request_id}.{attempt.number}"
    headers = execution.upstream_headers(request, attempt.grant, name)
    headers["Content-Type"] = JSON
    call = upstream.Call("POST", request.path, headers, request.body)
    exchange = upstream.Exchange(attempt.target)
    left = max(0.001, request.deadline - time.monotonic())
    try:
        with execution.AbortOnTargetLoss(needs, exchange):
            try:
                await exchange.open(call, left)
                check_response_head(exchange, name)
                body = await exchange.read_all(execution.MAX_RESPONSE_BYTES)
            finally:
                attempt.sent = exchange.sent
    except errors.TruncatedResponseError:
        await execution.detect_target_loss(attempt)
        raise
    except asyncio.CancelledError:
        exchange.close()
        raise
    kind = exchange.headers.get("Content-Type", JSON)
    return execution.Response(200, kind, body)
