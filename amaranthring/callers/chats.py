"""Chat completions: one attempt, streamed or complete.

A stream that breaks is resumed at its engine, at the next expected event. If
the engine is lost, the request runs again at another engine only while the
caller has received nothing. After that, another engine must continue exactly
the text that was sent, and state it in a header, or the stream ends with a
typed error. See ``docs/design/way.md``.
"""

import asyncio
import contextlib
import dataclasses
import json
import time
import typing as t

from amaranthring import errors
from amaranthring.callers import execution
from amaranthring.callers import replacements
from amaranthring.callers import target_loss
from amaranthring.callers import tokens
from amaranthring.core import background
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
    """Destination of a streamed response.

    Attributes
    ----------
    begin : callable
        Called once, before the first bytes.
    send : callable
        Sends bytes; returns an awaitable while the caller reads slowly,
        else None.
    """

    begin: t.Callable[[], None]
    send: t.Callable[[bytes], t.Awaitable[None] | None]


def _discard_nothing() -> None:
    return


@dataclasses.dataclass
class StreamProgress:
    """Progress of a streamed response.

    Attributes
    ----------
    replacement : Replacement
        Prepares another attempt while an engine is silent.
    left : list of tuple
        Engines, with names of streams, that were given up and may still have
        their stream; nothing was sent since.
    discard_left : callable
        Has these streams cancelled, as another engine goes on.
    events : sse.EventRewriter or None
        None until a request was sent to an engine.
    begun : bool
        Whether the caller has received anything.
    opened : bool
        Whether the current engine accepted the request with a valid
        response head, so that its stream may be resumed.
    started, last_sent : float
        Monotonic seconds of arrival, and of the last bytes forwarded.
    first_token : float
        Seconds from arrival to the first bytes forwarded.
    worst_gap : float
        Longest time between two reads that brought tokens, in seconds.
    """

    sink: Sink
    started: float
    replacement: replacements.Replacement
    left: list[tuple[records.Target, str]] = dataclasses.field(
        default_factory=list
    )
    discard_left: t.Callable[[], None] = _discard_nothing
    events: sse.EventRewriter | None = None
    begun: bool = False
    opened: bool = False
    first_token: float = 0.0
    last_sent: float = 0.0
    worst_gap: float = 0.0

    def follow(self, name: str, token: str) -> None:
        """Expect the next events from stream `name`."""
        if self.events is None:
            self.events = sse.EventRewriter(name, token)
        else:
            self.events.switch_to(name, token)


async def stream(
    deps: execution.Dependencies, request: records.Request, sink: Sink
) -> None:
    """Stream the response to `request` into `sink`.

    Raises
    ------
    errors.AmaranthringError
        If the response could not be completed.
    """
    await execution.check(deps, request)
    progress = StreamProgress(
        sink, time.monotonic(), replacements.Replacement(deps, request)
    )

    async def run_attempt(attempt: execution.Attempt) -> None:
        await _stream_attempt(deps, request, attempt, progress)

    async def go_back() -> bool:
        return await _go_back(deps, request, progress)

    progress.discard_left = lambda: _discard_left(deps, request, progress)
    await execution.run(deps, request, run_attempt, go_back)
    _record_metrics(deps, request, progress)


async def _go_back(deps, request, progress) -> bool:
    """Resume the stream of an engine that was given up.

    No other engine goes on. The connection was closed, and the engine keeps
    the stream for a while.
    """
    progress.replacement = replacements.Replacement(deps, request)
    while progress.left:
        target, name = progress.left.pop()
        if time.monotonic() >= request.deadline:
            break
        if deps.is_quarantined(request.body_digest):
            break
        token = _resume_token(deps, request, target, name)
        result = "interrupted"
        try:
            await _resume(deps, request, target, name, progress, token)
            deps.metrics.count("way.went-back")
            result = "whole"
            return True
        except errors.CallerDisconnectedError:
            raise
        except errors.AmaranthringError as error:
            result = error.code
        finally:
            deps.record_decision(
                request.request_id,
                "went-back",
                target=target.name,
                result=result,
            )
    return False


def _discard_left(deps, request, progress) -> None:
    for target, name in progress.left:
        task = background.start("cancel", cancel(deps, request, target, name))
        deps.cancellations.add(task)
        task.add_done_callback(deps.cancellations.discard)
    progress.left.clear()


async def _stream_attempt(deps, request, attempt, progress) -> None:
    name = f"{request.request_id}.{attempt.number}"
    headers = execution.upstream_headers(request, attempt.grant, name)
    headers["Content-Type"] = JSON
    body = request.body
    if progress.begun:
        body = continuation_body(request.body, progress.events)
    call = upstream.Call("POST", request.path, headers, body)
    preset = deps.config().preset
    remaining = max(0.001, request.deadline - time.monotonic())
    timeout = preset.first_token_seconds
    if not progress.begun:
        timeout = min(timeout, remaining)
    exchange = deps.notices.exchange(
        attempt.target, name, request.account, is_trial=attempt.is_trial
    )
    progress.replacement = attempt.replacement
    _watch_silence(request, exchange, progress)
    try:
        with target_loss.AbortOnTargetLoss(deps, exchange):
            try:
                progress.opened = False
                await exchange.send(call, timeout)
                # Signed after sending, while the engine works, to save time.
                token = _resume_token(deps, request, attempt.target, name)
                progress.follow(name, token)
                await _open_stream(exchange, name, progress)
                progress.opened = True
                await _relay(exchange, progress, preset)
                return
            finally:
                progress.replacement.stop()
                attempt.sent = attempt.sent or exchange.sent
    except errors.UpstreamError as error:
        await _resume_or_raise(deps, request, attempt, progress, name, error)


async def _resume_or_raise(deps, request, attempt, progress, name, error):
    """Resume a broken stream at its engine until it ends, or raise."""
    if not attempt.sent:
        raise error
    broke_off = isinstance(error, errors.TruncatedResponseError)
    await target_loss.examine_target(deps, request, attempt, broke_off)
    if _is_resumable(attempt, progress, error):
        for _ in range(MAX_RESUMES):
            try:
                await _resume(deps, request, attempt.target, name, progress)
                deps.metrics.count("way.resumed")
                return
            except errors.NotFoundError:
                # The process that ran the stream is gone.
                attempt.target_lost = True
                break
            except errors.UpstreamError as resume_error:
                if resume_error.outcome is errors.Outcome.NOT_RUN:
                    break
                if progress.replacement.granted:
                    break
    if not attempt.target_lost:
        timed_out = isinstance(error, errors.UpstreamTimeoutError)
        if progress.opened or timed_out:
            # Cancelled once another engine goes on.
            progress.left.append((attempt.target, name))
        else:
            await cancel(deps, request, attempt.target, name)
    if progress.begun:
        attempt.retryable = (
            continuation_body(request.body, progress.events) is not None
        )
    raise error


def _is_resumable(attempt, progress, error) -> bool:
    """Return whether the engine may still have the stream."""
    if not progress.opened or isinstance(error, errors.UpstreamTimeoutError):
        return False
    # A silent engine may only have stalled. No other engine surely continues
    # what the caller has received, so the stream waits for it.
    return not attempt.target_lost or (attempt.silent and progress.begun)


async def _resume(deps, request, target, name, progress, token="") -> None:
    """Resume stream `name` at `target` from the next expected event.

    `token` names the stream to the caller, if the last one does not.
    """
    events = progress.events
    events.switch_to(name, token or events.shown.decode()[4:-1])
    body = json.dumps({"offset": events.expected}).encode()
    path = f"/v1/streams/{name}{RESUME_SUFFIX}"
    headers = {
        upstream.REQUEST_ID_HEADER: name,
        "Content-Type": JSON,
    }
    call = upstream.Call("POST", path, headers, body)
    preset = deps.config().preset
    exchange = deps.notices.exchange(
        target, name, request.account, continues=True
    )
    _watch_silence(request, exchange, progress)
    with target_loss.AbortOnTargetLoss(deps, exchange):
        try:
            await exchange.send(call, preset.first_token_seconds)
            await _open_stream(exchange, name, progress)
            await _relay(exchange, progress, preset)
        finally:
            progress.replacement.stop()


def _watch_silence(request, exchange, progress) -> None:
    """Have the engine of `exchange` replaced if it is silent."""

    def may_follow() -> bool:
        if not progress.begun:
            return True
        return continuation_body(request.body, progress.events) is not None

    progress.replacement.watch(exchange, may_follow)


async def _open_stream(exchange, name, progress) -> None:
    await exchange.read_head()
    path = exchange.call.path
    if exchange.status == 404 and path.endswith(RESUME_SUFFIX):
        raise errors.NotFoundError(
            "the engine does not know the stream", given=name
        )
    if progress.begun and not path.endswith(RESUME_SUFFIX):
        # Checked first: an engine that rejects the field ``continue_from``
        # says nothing about the caller's own request.
        _check_continued(exchange, progress.events.expected)
    check_response_head(exchange, name)
    content_type = exchange.headers.get("Content-Type", "")
    if not content_type.startswith(EVENT_STREAM):
        raise errors.UpstreamError(
            "the response is not an event stream",
            given=content_type,
            expected=EVENT_STREAM,
        )


def check_response_head(exchange: upstream.Exchange, name: str) -> None:
    """Reject a response that is an error or belongs to another request.

    Raises
    ------
    errors.UpstreamError, errors.BadRequestError
        With outcome ``not-run`` only if the engine states it.
    """
    reported = exchange.headers.get(upstream.OUTCOME_HEADER, "")
    not_run = reported == errors.Outcome.NOT_RUN
    outcome = errors.Outcome.NOT_RUN if not_run else errors.Outcome.UNKNOWN
    if exchange.status in (400, 413, 422):
        raise errors.BadRequestError(
            "the engine rejected the request",
            given=f"status {exchange.status}",
            expected="a request that the model accepts",
            outcome=outcome,
        )
    if exchange.status != 200:
        raise errors.UpstreamError(
            "the engine returned an error",
            given=f"status {exchange.status}",
            expected="status 200",
            retry_after=1.0,
            outcome=outcome,
        )
    given = exchange.headers.get(upstream.REQUEST_ID_HEADER, "")
    if given != name:
        raise errors.UpstreamError(
            "the response belongs to another request",
            given=given[:64],
            expected=name,
        )


def _check_continued(exchange, expected: int) -> None:
    """Reject an engine that started anew instead of continuing.

    It would send different text under the expected event numbers, so the
    numbers alone would not reveal it.
    """
    given = exchange.headers.get(CONTINUED_HEADER, "")
    if given != str(expected):
        raise errors.UpstreamError(
            "the engine did not continue the text",
            given=given[:64],
            expected=f"{CONTINUED_HEADER}: {expected}",
        )


async def _relay(exchange, progress: StreamProgress, preset) -> None:
    """Forward events until the end marker, with one write per read."""
    events = progress.events
    send = progress.sink.send
    first = True
    while True:
        data = await exchange.read()
        if not data:
            raise errors.TruncatedResponseError(
                "the stream ended without its end marker",
                given=f"{events.expected} events",
                expected="data: [DONE]",
            )
        ready = events.take(data)
        if ready:
            if first:
                first = False
                progress.discard_left()
                exchange.set_timeout(preset.between_tokens_seconds)
            _record_timing(progress)
            exchange.note_progress(progress.last_sent)
            if progress.replacement.asking is not None:
                progress.replacement.stop()
            pending = send(ready)
            if pending is not None:
                exchange.paused = True
                await pending
                exchange.paused = False
                progress.last_sent = time.monotonic()
                exchange.note_progress(progress.last_sent)
        if events.ended:
            return
        if events.error:
            raise events.error


def _record_timing(progress: StreamProgress) -> None:
    now = time.monotonic()
    if not progress.begun:
        progress.begun = True
        progress.sink.begin()
        progress.first_token = now - progress.started
    elif now - progress.last_sent > progress.worst_gap:
        progress.worst_gap = now - progress.last_sent
    progress.last_sent = now


def _record_metrics(deps, request, progress: StreamProgress) -> None:
    record = deps.metrics.record
    account, cls = request.account, request.cls
    record("first-token", progress.first_token, account, cls)
    record("between-tokens-worst", progress.worst_gap, account, cls)
    record("whole", time.monotonic() - progress.started, account, cls)
    deps.metrics.count("way.streamed")
    if progress.events.duplicates:
        deps.metrics.count("way.repeated-events", progress.events.duplicates)


def _resume_token(deps, request, target: records.Target, name: str) -> str:
    reference = tokens.StreamReference(
        request.account,
        target.name,
        target.incarnation,
        name,
        request.serves,
        time.time() + tokens.LIFETIME_SECONDS,
    )
    return tokens.sign(reference, deps.keys)


def continuation_body(body: bytes, events: sse.EventRewriter) -> bytes | None:
    """Return the body that asks to continue the sent text, or None."""
    text = events.text()
    if text is None:
        return None
    fields = json.loads(body)
    fields["continue_from"] = {"text": text, "tokens": events.expected}
    return json.dumps(fields).encode()


async def cancel(
    deps: execution.Dependencies,
    request: records.Request,
    target: records.Target,
    name: str,
) -> None:
    """Ask an engine to stop a stream; failures are ignored.

    A resting engine is not asked: its connection is closed, and it stops by
    itself.
    """
    headers = {upstream.REQUEST_ID_HEADER: name}
    call = upstream.Call("POST", f"/v1/streams/{name}/cancel", headers)
    try:
        exchange = deps.notices.exchange(
            target, name, request.account, continues=True
        )
        with contextlib.closing(exchange):
            await exchange.open(call, CANCEL_TIMEOUT_SECONDS)
    except errors.AmaranthringError:
        pass


async def resume(
    deps: execution.Dependencies,
    request: records.Request,
    reference: tokens.StreamReference,
    number: int,
    sink: Sink,
) -> None:
    """Stream the events that a reconnected caller has not received.

    Parameters
    ----------
    reference : tokens.StreamReference
        From the verified token.
    number : int
        First event to send.

    Raises
    ------
    errors.ResumeError
        If the engine that held the stream is gone or has lost the stream.
    """
    await deps.check_limits(request)
    target = deps.get_target(reference.target)
    if target is None or target.incarnation != reference.incarnation:
        raise _stream_gone_error(reference, "an engine that is gone")
    try:
        deps.notices.check(target)
    except errors.TargetLeavingError as error:
        raise _stream_gone_error(reference, str(error)) from error
    token = _resume_token(deps, request, target, reference.stream)
    # No other attempt may follow: the engine may be silent to the deadline.
    progress = StreamProgress(
        sink, time.monotonic(), replacements.Replacement(deps, request)
    )
    progress.events = sse.EventRewriter(reference.stream, token, number)
    last_error = None
    for _ in range(MAX_RESUMES):
        received = progress.events.expected
        try:
            await _resume(deps, request, target, reference.stream, progress)
            last_error = None
            break
        except errors.NotFoundError as error:
            raise _stream_gone_error(reference, str(error)) from error
        except errors.UpstreamError as error:
            last_error = error
        timed_out = isinstance(last_error, errors.UpstreamTimeoutError)
        if timed_out and progress.events.expected == received:
            # It was silent to the deadline.
            break
    if last_error is not None:
        if progress.begun or isinstance(last_error, errors.TargetRestingError):
            raise last_error
        raise _stream_gone_error(reference, str(last_error)) from last_error
    deps.metrics.count("way.came-back")
    _record_metrics(deps, request, progress)


def _stream_gone_error(
    reference: tokens.StreamReference, given: str
) -> errors.ResumeError:
    return errors.ResumeError(
        "the stream is gone; send the whole request again",
        given=given,
        expected=f"stream {reference.stream} at {reference.target}",
        outcome=errors.Outcome.UNKNOWN,
    )


async def complete(
    deps: execution.Dependencies, request: records.Request
) -> execution.Response:
    """Return the response to a chat that is not streamed.

    Raises
    ------
    errors.AmaranthringError
        If no attempt succeeded.
    """
    await execution.check(deps, request)
    started = time.monotonic()

    async def run_attempt(attempt: execution.Attempt) -> execution.Response:
        return await _complete_attempt(deps, request, attempt)

    response = await execution.run(deps, request, run_attempt)
    seconds = time.monotonic() - started
    deps.metrics.record("whole", seconds, request.account, request.cls)
    deps.metrics.count("way.answered")
    return response


async def _complete_attempt(deps, request, attempt) -> execution.Response:
    name = f"{request.request_id}.{attempt.number}"
    headers = execution.upstream_headers(request, attempt.grant, name)
    headers["Content-Type"] = JSON
    call = upstream.Call("POST", request.path, headers, request.body)
    exchange = deps.notices.exchange(
        attempt.target, name, request.account, is_trial=attempt.is_trial
    )
    remaining = max(0.001, request.deadline - time.monotonic())
    try:
        with target_loss.AbortOnTargetLoss(deps, exchange):
            try:
                await exchange.open(call, remaining)
                check_response_head(exchange, name)
                body = await exchange.read_all(execution.MAX_RESPONSE_BYTES)
            finally:
                attempt.sent = exchange.sent
    except errors.TruncatedResponseError:
        await target_loss.examine_target(deps, request, attempt)
        raise
    except asyncio.CancelledError:
        exchange.close()
        raise
    content_type = exchange.headers.get("Content-Type", JSON)
    return execution.Response(200, content_type, body)
