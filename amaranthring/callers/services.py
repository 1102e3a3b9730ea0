"""Plain services: one attempt of a call, and calls that run at most once.

A non-idempotent call with an ``Idempotency-Key`` is claimed in the keepers'
ledger before any byte goes to a target, and its answer is stored there
before the caller hears it. A claim is granted to one attempt, ever: whoever
holds it may send, and nobody else, so a router that froze and wakes late is
still the only one that can run it.
"""

import asyncio
import time

from amaranthring import errors
from amaranthring.callers import execution
from amaranthring.core import records
from amaranthring.targets import upstream

SETTLE_TRIES = 3
CLAIM_TRIES = 2
SETTLE_SECONDS = 2.0
SETTLE_PAUSE_SECONDS = 0.2
IN_PROGRESS_SECONDS = 1.0
FORWARDED_HEADERS = ("Content-Type", "Accept", "Accept-Language")


def is_claimed(request: records.Request) -> bool:
    """Return whether the call runs under a claim."""
    return bool(request.key) and not request.idempotent


async def call(
    needs: execution.Dependencies,
    request: records.Request,
    headers: dict[str, str],
) -> execution.Response:
    """Return the answer of a plain service.

    Parameters
    ----------
    headers : dict
        Those of the caller that go on to the target.

    Raises
    ------
    errors.AmaranthringError
        Its outcome says what is known about the call.
    """
    await execution.check(needs, request)
    started = time.monotonic()
    claimed = is_claimed(request)
    asked = []

    async def once(attempt: execution.Attempt) -> execution.Response:
        if claimed:
            asked.append(attempt)
            return await _claimed(needs, request, attempt, headers)
        return await _send(needs, request, attempt, headers)

    try:
        answer = await execution.run(needs, request, once)
    except errors.NoTargetError as error:
        if not claimed or asked:
            raise
        answer = await _consult(needs, request, headers, error)
    seconds = time.monotonic() - started
    needs.metrics.record("whole", seconds, request.account, request.cls)
    needs.metrics.count("way.called")
    return answer


async def _send(
    needs, request, attempt, headers, name=""
) -> execution.Response:
    """Send the call to the attempt's target and return its whole answer."""
    name = name or f"{request.request_id}.{attempt.number}"
    told = headers | execution.upstream_headers(request, attempt.grant, name)
    if request.key:
        told["Idempotency-Key"] = request.key
    sent = upstream.Call(request.method, request.path, told, request.body)
    exchange = upstream.Exchange(attempt.target)
    left = max(0.001, request.deadline - time.monotonic())
    try:
        with execution.AbortOnTargetLoss(needs, exchange):
            try:
                await exchange.open(sent, left)
                body = await exchange.read_all(execution.MAX_RESPONSE_BYTES)
            finally:
                attempt.sent = attempt.sent or exchange.sent
    except errors.TruncatedResponseError:
        await execution.detect_target_loss(attempt)
        raise
    _check_own(exchange, name)
    if exchange.headers.get(upstream.OUTCOME_HEADER) == "not-run":
        raise errors.UpstreamError(
            "the service refused the call before running it",
            given=f"status {exchange.status}",
            expected="a service that takes calls",
            retry_after=1.0,
            outcome=errors.Outcome.NOT_RUN,
        )
    kind = exchange.headers.get("Content-Type", "application/octet-stream")
    return execution.Response(exchange.status, kind, body)


def _check_own(exchange: upstream.Exchange, name: str) -> None:
    """Refuse an answer that names another request; naming is optional."""
    given = exchange.headers.get(upstream.REQUEST_ID_HEADER, name)
    if given != name:
        raise errors.UpstreamError(
            "the answer of another request", given=given[:64], expected=name
        )


async def _claimed(needs, request, attempt, headers) -> execution.Response:
    """Claim, send, settle; or answer from an earlier claim."""
    name = f"{request.request_id}.{attempt.number}"
    attempt.retryable = False
    needs.running_attempts.add(name)
    try:
        claim = await _claim(needs, request, name, attempt.target.name)
        claim = await _checked(
            needs, request, name, attempt.target.name, claim
        )
        needs.metrics.count(f"way.claim.{claim.state}")
        if claim.state is not records.ClaimState.GRANTED:
            return await _earlier(needs, request, name, headers, claim)
        return await _run_claimed(needs, request, attempt, headers, name)
    finally:
        needs.running_attempts.discard(name)


async def _checked(needs, request, name, target, claim) -> records.Claim:
    """Return `claim`, as unknown if its holder runs the call no more.

    The ledger is asked a second time, since the holder may have settled
    between the first look and its word.
    """
    state = records.ClaimState.IN_PROGRESS
    if claim.state is not state or await needs.may_run(claim.attempt):
        return claim
    again = await _claim(needs, request, name, target)
    if again.state is state and again.attempt == claim.attempt:
        needs.metrics.count("way.claim.holder-lost")
        again.state = records.ClaimState.UNKNOWN
    return again


async def _claim(needs, request, name, target) -> records.Claim:
    """Ask the ledger, again under the same attempt if the reply was lost.

    A claim that was granted with its reply lost would bar the key for good,
    though nothing was sent. Asked again, the ledger knows the attempt. If
    no reply comes at all, nothing is sent under this attempt any more, and
    the claim, should there be one, is freed as soon as the ledger answers.
    """
    failed: errors.AmaranthringError | None = None
    for _ in range(CLAIM_TRIES):
        try:
            return await needs.claim(request, name, target)
        except (errors.CommitUnknownError, errors.LinkError) as error:
            failed = error
        except errors.AmaranthringError:
            if failed is not None:
                _release_later(needs, request, name)
            raise
        if time.monotonic() >= request.deadline:
            break
        await asyncio.sleep(SETTLE_PAUSE_SECONDS)
    _release_later(needs, request, name)
    failed.retry_after = failed.retry_after or IN_PROGRESS_SECONDS
    raise failed


def _release_later(needs, request, name) -> None:
    """See that a claim which may yet be granted bars the key from nobody."""
    outcome = errors.Outcome.NOT_RUN
    needs.settlements.add(request, name, outcome)


async def _run_claimed(needs, request, attempt, headers, name):
    """Run a call whose claim this attempt holds."""
    try:
        _check_awake(request)
        answer = await _send(needs, request, attempt, headers, name)
    except errors.AmaranthringError as error:
        never_ran = not attempt.sent or error.outcome is errors.Outcome.NOT_RUN
        outcome = errors.Outcome.NOT_RUN if never_ran else error.outcome
        settled = await _settle(needs, request, name, outcome, None)
        # Another target needs a claim of its own, because a claim names the
        # one target that may be asked again; so this one must be closed.
        attempt.retryable = never_ran and settled
        # The ledger granted the claim to this attempt, so what is said here
        # holds for the key and not for this call alone.
        error.claimed = never_ran
        raise
    stored = records.StoredAnswer(
        answer.status, answer.content_type, answer.body
    )
    await _settle(needs, request, name, errors.Outcome.RAN, stored)
    return answer


def _check_awake(request: records.Request) -> None:
    """Refuse to send a call whose time has passed.

    A router that froze between claim and dispatch wakes with a claim that
    nobody else can hold, so sending would still be safe. But its caller has
    given up long ago and may have been told to book elsewhere.
    """
    late = time.monotonic() - request.deadline
    if late >= 0:
        raise errors.DeadlineError(
            "the deadline passed before anything was sent",
            given=f"{late:.1f} s late",
            expected="a claim in time",
            retry_after=IN_PROGRESS_SECONDS,
        )


async def _settle(needs, request, name, outcome, stored) -> bool:
    """Commit how a claim ended; return whether that is certain.

    A claim that cannot be settled stays held, and every resend is told
    ``unknown``: nothing runs twice. The caller of this call still hears
    what is known here, and the ledger is told as soon as it can be.
    """
    for _ in range(SETTLE_TRIES):
        try:
            await asyncio.wait_for(
                needs.settle(request, name, outcome, stored), SETTLE_SECONDS
            )
            return True
        except (errors.AmaranthringError, TimeoutError):
            await asyncio.sleep(SETTLE_PAUSE_SECONDS)
    needs.metrics.count("way.unsettled")
    needs.settlements.add(request, name, outcome, stored)
    return False


async def _consult(needs, request, headers, error) -> execution.Response:
    """Ask the ledger about a key that has no target to run at.

    A resend gets its stored answer also while every replica is out of
    reach. And only if the ledger never heard of the key is it certain that
    nothing ran under it, so that the refusal may say so.
    """
    name = f"{request.request_id}.none"
    needs.running_attempts.add(name)
    try:
        claim = await _claim(needs, request, name, "")
        claim = await _checked(needs, request, name, "", claim)
        if claim.state is not records.ClaimState.GRANTED:
            return await _earlier(needs, request, name, headers, claim)
        await _settle(needs, request, name, errors.Outcome.NOT_RUN, None)
    finally:
        needs.running_attempts.discard(name)
    error.claimed = True
    raise error


async def _earlier(needs, request, name, headers, claim) -> execution.Response:
    """Answer a resend from what the ledger knows of its key."""
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
            expected="its end",
            retry_after=IN_PROGRESS_SECONDS,
        )
    if state is records.ClaimState.SETTLED:
        return _stored(request, claim)
    return await _ask_again(needs, request, name, headers, claim)


def _stored(
    request: records.Request, claim: records.Claim
) -> execution.Response:
    """Return the answer that the ledger kept."""
    if claim.outcome is not errors.Outcome.RAN or claim.answer is None:
        raise _unknown(request)
    if not claim.answer.kept:
        raise errors.ResponseNotStoredError(
            "the call ran; its answer was too large to be kept",
            given=request.key,
            expected="a look at the service itself",
        )
    kept = claim.answer
    return execution.Response(kept.status, kept.content_type, kept.body)


async def _ask_again(
    needs, request, name, headers, claim
) -> execution.Response:
    """Ask the holder's target again if it deduplicates keys itself.

    Any other target, or one that restarted under another incarnation and
    may have forgotten the key, could run the call a second time.
    """
    target = needs.get_target(claim.target) if claim.target else None
    if target is None or not target.honours_keys:
        raise _unknown(request)
    again = execution.Attempt(
        0, records.Grant("", "", target), retryable=False
    )
    try:
        answer = await _send(needs, request, again, headers, name)
    except errors.AmaranthringError as error:
        # The first call under the key may have run: never "not-run" here.
        raise _unknown(request) from error
    stored = records.StoredAnswer(
        answer.status, answer.content_type, answer.body
    )
    await _settle(needs, request, claim.attempt, errors.Outcome.RAN, stored)
    return answer


def _unknown(request: records.Request) -> errors.ClaimUnknownError:
    return errors.ClaimUnknownError(
        "a call under this key was begun and its end is not known; "
        "it is not run again",
        given=request.key,
        expected="a look at the service itself",
    )
