"""Calls to plain services, and calls that run at most once.

A non-idempotent call with an ``Idempotency-Key`` is claimed in the keepers'
ledger before any byte goes to a target, and its response is stored there
before the caller receives it. A claim is granted to exactly one attempt. Only
that attempt may send the call, even if its router freezes and resumes late.
"""

import asyncio
import time

from amaranthring import errors
from amaranthring.callers import execution
from amaranthring.callers import target_loss
from amaranthring.core import records
from amaranthring.targets import upstream

SETTLE_TRIES = 3
CLAIM_TRIES = 2
SETTLE_TIMEOUT_SECONDS = 2.0
RETRY_PAUSE_SECONDS = 0.2
RETRY_AFTER_SECONDS = 1.0
FORWARDED_HEADERS = ("Content-Type", "Accept", "Accept-Language")


def is_claimed(request: records.Request) -> bool:
    """Return whether the call needs a claim."""
    return bool(request.key) and not request.idempotent


async def call(
    deps: execution.Dependencies,
    request: records.Request,
    headers: dict[str, str],
) -> execution.Response:
    """Return the response of a plain service.

    Parameters
    ----------
    headers : dict
        Headers of the caller that are forwarded to the target.

    Raises
    ------
    errors.AmaranthringError
        Its outcome states what is known about the call.
    """
    await execution.check(deps, request)
    started = time.monotonic()
    claimed = is_claimed(request)
    attempted = []

    async def run_attempt(attempt: execution.Attempt) -> execution.Response:
        if claimed:
            attempted.append(attempt)
            return await _call_claimed(deps, request, attempt, headers)
        return await _send(deps, request, attempt, headers)

    try:
        response = await execution.run(deps, request, run_attempt)
    except errors.NoTargetError as error:
        if not claimed or attempted:
            raise
        response = await _ask_ledger(deps, request, headers, error)
    seconds = time.monotonic() - started
    deps.metrics.record("whole", seconds, request.account, request.cls)
    deps.metrics.count("way.called")
    return response


async def _send(
    deps, request, attempt, headers, name=""
) -> execution.Response:
    """Send the call to the attempt's target and return the response."""
    name = name or f"{request.request_id}.{attempt.number}"
    call_headers = headers | execution.upstream_headers(
        request, attempt.grant, name
    )
    if request.key:
        call_headers["Idempotency-Key"] = request.key
    upstream_call = upstream.Call(
        request.method, request.path, call_headers, request.body
    )
    exchange = deps.notices.exchange(
        attempt.target, name, request.account, is_trial=attempt.is_trial
    )
    remaining = max(0.001, request.deadline - time.monotonic())
    try:
        with target_loss.AbortOnTargetLoss(deps, exchange):
            try:
                await exchange.open(upstream_call, remaining)
                body = await exchange.read_all(execution.MAX_RESPONSE_BYTES)
            finally:
                attempt.sent = attempt.sent or exchange.sent
    except errors.TruncatedResponseError:
        await target_loss.examine_target(deps, request, attempt)
        raise
    _check_request_id(exchange, name)
    if exchange.headers.get(upstream.OUTCOME_HEADER) == "not-run":
        raise errors.UpstreamError(
            "the service rejected the call before running it",
            given=f"status {exchange.status}",
            expected="a service that accepts calls",
            retry_after=1.0,
            outcome=errors.Outcome.NOT_RUN,
        )
    content_type = exchange.headers.get(
        "Content-Type", "application/octet-stream"
    )
    return execution.Response(exchange.status, content_type, body)


def _check_request_id(exchange: upstream.Exchange, name: str) -> None:
    """Reject a response that names another request; the id is optional."""
    given = exchange.headers.get(upstream.REQUEST_ID_HEADER, name)
    if given != name:
        raise errors.UpstreamError(
            "the response belongs to another request",
            given=given[:64],
            expected=name,
        )


async def _call_claimed(deps, request, attempt, headers) -> execution.Response:
    """Claim, send and settle, or respond from an earlier claim."""
    name = f"{request.request_id}.{attempt.number}"
    attempt.retryable = False
    deps.running_attempts.add(name)
    claim = None
    try:
        claim = await _request_claim(deps, request, name, attempt.target.name)
        claim = await _recheck_claim(
            deps, request, name, attempt.target.name, claim
        )
        deps.metrics.count(f"way.claim.{claim.state}")
        if claim.state is not records.ClaimState.GRANTED:
            return await _respond_from_claim(
                deps, request, name, headers, claim
            )
        return await _run_claimed(deps, request, attempt, headers, name)
    except asyncio.CancelledError:
        # The router stops. What was not sent must not block its key.
        state = claim.state if claim else records.ClaimState.GRANTED
        if state is records.ClaimState.GRANTED and not attempt.sent:
            _release_later(deps, request, name)
        raise
    finally:
        deps.running_attempts.discard(name)


async def _recheck_claim(deps, request, name, target, claim) -> records.Claim:
    """Return `claim`, as unknown if its holder no longer runs the call.

    The ledger is asked a second time, since the holder may have settled
    after the ledger's first reply.
    """
    state = records.ClaimState.IN_PROGRESS
    if claim.state is not state or await deps.may_run(claim.attempt):
        return claim
    latest = await _request_claim(deps, request, name, target)
    if latest.state is state and latest.attempt == claim.attempt:
        deps.metrics.count("way.claim.holder-lost")
        latest.state = records.ClaimState.UNKNOWN
    return latest


async def _request_claim(deps, request, name, target) -> records.Claim:
    """Request a claim, again under the same attempt if a reply is lost.

    If a claim is granted but the reply is lost, the key would stay blocked
    although nothing was sent. The ledger recognises the attempt when asked
    again. If no reply comes at all, this attempt sends nothing, and a claim
    that was granted is released as soon as the ledger can be reached.
    """
    last_error: errors.AmaranthringError | None = None
    for _ in range(CLAIM_TRIES):
        try:
            return await deps.claim(request, name, target)
        except (errors.CommitUnknownError, errors.LinkError) as error:
            last_error = error
        except errors.AmaranthringError:
            if last_error is not None:
                _release_later(deps, request, name)
            raise
        if time.monotonic() >= request.deadline:
            break
        await asyncio.sleep(RETRY_PAUSE_SECONDS)
    _release_later(deps, request, name)
    last_error.retry_after = last_error.retry_after or RETRY_AFTER_SECONDS
    raise last_error


def _release_later(deps, request, name) -> None:
    """Release a claim that may yet be granted, to unblock its key."""
    outcome = errors.Outcome.NOT_RUN
    deps.settlements.add(request, name, outcome)


async def _run_claimed(deps, request, attempt, headers, name):
    """Run a call whose claim this attempt holds."""
    try:
        _check_deadline(request)
        response = await _send(deps, request, attempt, headers, name)
    except errors.AmaranthringError as error:
        never_ran = not attempt.sent or error.outcome is errors.Outcome.NOT_RUN
        outcome = errors.Outcome.NOT_RUN if never_ran else error.outcome
        settled = await _settle(deps, request, name, outcome, None)
        # A claim names the only target that may be asked again, so another
        # target needs a new claim and this one must be settled first.
        attempt.retryable = never_ran and settled
        # This attempt holds the claim, so the outcome holds for the key and
        # not only for this call.
        error.claimed = never_ran
        raise
    stored = records.StoredAnswer(
        response.status, response.content_type, response.body
    )
    await _settle(deps, request, name, errors.Outcome.RAN, stored)
    return response


def _check_deadline(request: records.Request) -> None:
    """Refuse to send a call whose deadline has passed.

    A router that froze between claim and dispatch still holds the claim
    exclusively, so sending would be safe. But its caller has given up and
    may have been told to book elsewhere.
    """
    overdue = time.monotonic() - request.deadline
    if overdue >= 0:
        raise errors.DeadlineError(
            "the deadline passed before anything was sent",
            given=f"{overdue:.1f} s late",
            expected="a claim before the deadline",
            retry_after=RETRY_AFTER_SECONDS,
        )


async def _settle(deps, request, name, outcome, stored) -> bool:
    """Commit how a claim ended; return whether that is confirmed.

    A claim that cannot be settled stays held, and every resend gets
    ``unknown``, so nothing runs twice. The caller of this call still gets
    the known outcome, and the settlement is retried in the background.
    """
    for _ in range(SETTLE_TRIES):
        try:
            await asyncio.wait_for(
                deps.settle(request, name, outcome, stored),
                SETTLE_TIMEOUT_SECONDS,
            )
            return True
        except asyncio.CancelledError:
            # The router stops, and settles what is left at its end.
            deps.settlements.add(request, name, outcome, stored)
            raise
        except (errors.AmaranthringError, TimeoutError):
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
    deps.metrics.count("way.unsettled")
    deps.settlements.add(request, name, outcome, stored)
    return False


async def _ask_ledger(deps, request, headers, error) -> execution.Response:
    """Ask the ledger about a key when no target is available.

    A resend gets its stored response even while no replica is reachable.
    ``not-run`` is certain only if the ledger does not know the key.
    """
    name = f"{request.request_id}.none"
    deps.running_attempts.add(name)
    try:
        claim = await _request_claim(deps, request, name, "")
        claim = await _recheck_claim(deps, request, name, "", claim)
        if claim.state is not records.ClaimState.GRANTED:
            return await _respond_from_claim(
                deps, request, name, headers, claim
            )
        await _settle(deps, request, name, errors.Outcome.NOT_RUN, None)
    except asyncio.CancelledError:
        _release_later(deps, request, name)
        raise
    finally:
        deps.running_attempts.discard(name)
    error.claimed = True
    raise error


async def _respond_from_claim(
    deps, request, name, headers, claim
) -> execution.Response:
    """Respond to a resend from the earlier claim of its key."""
    state = claim.state
    if state is records.ClaimState.KEY_REUSED:
        raise errors.KeyReusedError(
            "this idempotency key was used with another request",
            given=request.key,
            expected="a new key, or the first request again",
        )
    if state is records.ClaimState.IN_PROGRESS:
        raise errors.ClaimInProgressError(
            "the first call under this key is still running",
            given=request.key,
            expected="a resend after it has ended",
            retry_after=RETRY_AFTER_SECONDS,
        )
    if state is records.ClaimState.SETTLED:
        return _stored_response(request, claim)
    return await _resend_to_target(deps, request, name, headers, claim)


def _stored_response(
    request: records.Request, claim: records.Claim
) -> execution.Response:
    """Return the response that the ledger stored."""
    if claim.outcome is not errors.Outcome.RAN or claim.answer is None:
        raise _claim_unknown(request)
    if not claim.answer.kept:
        raise errors.ResponseNotStoredError(
            "the call ran; its response was too large to store",
            given=request.key,
            expected="a check with the service itself",
        )
    answer = claim.answer
    return execution.Response(answer.status, answer.content_type, answer.body)


async def _resend_to_target(
    deps, request, name, headers, claim
) -> execution.Response:
    """Send the call to the claim's target again if it deduplicates keys.

    Any other target could run the call a second time. The target must
    remember its keys across restarts: its incarnation is not compared.
    """
    target = deps.get_target(claim.target) if claim.target else None
    if target is None or not target.honours_keys:
        raise _claim_unknown(request)
    request.may_have_run = True
    attempt = execution.Attempt(
        0, records.Grant("", "", target), retryable=False
    )
    try:
        response = await _send(deps, request, attempt, headers, name)
    except errors.AmaranthringError as error:
        # The first call under the key may have run, so never "not-run".
        unknown = _claim_unknown(request)
        if isinstance(error, errors.TargetRestingError):
            unknown.retry_after = error.retry_after
        raise unknown from error
    stored = records.StoredAnswer(
        response.status, response.content_type, response.body
    )
    await _settle(deps, request, claim.attempt, errors.Outcome.RAN, stored)
    return response


def _claim_unknown(request: records.Request) -> errors.ClaimUnknownError:
    return errors.ClaimUnknownError(
        "a call under this key was started and its outcome is unknown; "
        "it is not run again",
        given=request.key,
        expected="a check with the service itself",
    )
