"""Request execution that chats and service calls share.

Checks limits and the quarantine, then runs attempts: admit, run, release
and, where allowed, retry. :mod:`amaranthring.callers.chats` and
:mod:`amaranthring.callers.services` implement a single attempt.
"""

import asyncio
import contextlib
import dataclasses
import time
import typing as t

from amaranthring import errors
from amaranthring.callers import replacements
from amaranthring.callers import settlements as settlements_module
from amaranthring.callers import target_loss
from amaranthring.core import drain as drains
from amaranthring.core import fleet
from amaranthring.core import links
from amaranthring.core import metrics as metrics_module
from amaranthring.core import records
from amaranthring.targets import liveness
from amaranthring.targets import notices as notices_module
from amaranthring.targets import upstream

MAX_ATTEMPTS = 3
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# The target was not asked, and has not failed.
UNASKED = (errors.TargetRestingError, errors.TargetLeavingError)
# Refusals of admission that say when a rest ends.
RESTING = (errors.AllTargetsRestingError, errors.CallerHeldBackError)
T = t.TypeVar("T")


async def _may_run(_attempt: str) -> bool:
    return True


@dataclasses.dataclass
class Dependencies:
    """Interfaces to other packages that request execution uses.

    ``docs/INTERNALS.md`` describes the callables that are not listed here.

    Attributes
    ----------
    router : str
        Name of this router; request ids begin with it.
    keys : links.Keys
        Fleet keys; they sign resume tokens.
    get_target : callable
        Returns a target by name, or None.
    served_names : callable
        Returns the models or services that announced targets serve, by kind.
    metrics : Metrics
        Counters and histograms of this process.
    drain : Drain
        Requests in flight, and the shutdown state.
    may_run : callable
        Whether the holder of an attempt may still run it.
    running_attempts : set of str
        Claimed attempts that run on this router.
    notices : TargetNotices
        What targets have said about themselves in their answers.
    cancellations : set of asyncio.Task
        Streams that are being cancelled at their engines.
    settlements : Settlements
        Settlements that the ledger has not confirmed yet.
    """

    router: str
    keys: links.Keys
    config: t.Callable[[], fleet.FleetConfig]
    check_limits: t.Callable[[records.Request], t.Awaitable[None]]
    admit: t.Callable[[records.Request, set[str]], t.Awaitable[records.Grant]]
    release: t.Callable[[records.Grant, records.AttemptEnd], None]
    claim: t.Callable[[records.Request, str, str], t.Awaitable[records.Claim]]
    settle: t.Callable[
        [records.Request, str, errors.Outcome, records.StoredAnswer | None],
        t.Awaitable[None],
    ]
    is_quarantined: t.Callable[[str], bool]
    report_crash: t.Callable[..., t.Awaitable[None]]
    has_retry: t.Callable[[str], bool]
    may_retry: t.Callable[[str], bool]
    record_success: t.Callable[[str], None]
    when_lost: t.Callable[[str], asyncio.Future]
    record_decision: t.Callable[..., None]
    get_target: t.Callable[[str], records.Target | None]
    watch_target: t.Callable[..., None]
    served_names: t.Callable[[records.TargetKind], t.Collection[str]]
    metrics: metrics_module.Metrics = dataclasses.field(
        default_factory=metrics_module.Metrics
    )
    drain: drains.Drain = dataclasses.field(default_factory=drains.Drain)
    may_run: t.Callable[[str], t.Awaitable[bool]] = _may_run
    running_attempts: set[str] = dataclasses.field(default_factory=set)
    notices: notices_module.TargetNotices = dataclasses.field(
        default_factory=notices_module.TargetNotices
    )
    cancellations: set[asyncio.Task] = dataclasses.field(default_factory=set)
    settlements: settlements_module.Settlements = dataclasses.field(init=False)

    def __post_init__(self):
        self.settlements = settlements_module.Settlements(
            self.settle, self.metrics
        )


@dataclasses.dataclass
class Attempt:
    """One attempt to run a request on one target.

    Attributes
    ----------
    number : int
        Counted from 0.
    sent : bool
        Whether any byte may have been sent to the target.
    target_lost : bool
        Whether the target crashed or was declared lost meanwhile.
    retryable : bool
        Whether another attempt may follow.
    inquiry : Inquiry or None
        Asks whether the target still runs, after the connection broke.
    silent : bool
        Whether the target broke off and did not answer the inquiry in time.
    reported : bool
        Whether the loss of the target was reported.
    is_trial : bool
        Whether all targets rest and this one is tried all the same.
    replacement : Replacement or None
        Prepares the attempt that may follow.
    started : float
        Monotonic time of its start, in seconds.
    """

    number: int
    grant: records.Grant
    sent: bool = False
    target_lost: bool = False
    retryable: bool = True
    inquiry: liveness.Inquiry | None = None
    silent: bool = False
    reported: bool = False
    is_trial: bool = False
    replacement: replacements.Replacement | None = None
    started: float = dataclasses.field(default_factory=time.monotonic)

    @property
    def target(self) -> records.Target:
        """Return the target of the attempt."""
        return self.grant.target


@dataclasses.dataclass
class Response:
    """A complete response to a caller.

    Attributes
    ----------
    status : int
        HTTP status.
    content_type : str
        Content type of the body.
    outcome : Outcome
        What is known about the call.
    """

    status: int
    content_type: str
    body: bytes
    outcome: errors.Outcome = errors.Outcome.RAN


RunAttempt = t.Callable[[Attempt], t.Awaitable[T]]
GoBack = t.Callable[[], t.Awaitable[bool]]


async def check(deps: Dependencies, request: records.Request) -> None:
    """Check the limits of the account and the quarantine.

    Raises
    ------
    errors.QuarantinedError, errors.RateLimitedError
        If one of them rejects the request; nothing ran.
    """
    await deps.check_limits(request)
    reject_quarantined(deps, request)


def reject_quarantined(deps: Dependencies, request: records.Request) -> None:
    """Reject a request that crashed two different targets."""
    if deps.is_quarantined(request.body_digest):
        raise errors.QuarantinedError(
            "this request crashed two targets; it is not run again",
            given=request.body_digest,
            expected="another request",
        )


def check_served(deps: Dependencies, request: records.Request) -> None:
    """Reject a model or service that the fleet does not serve.

    Raises
    ------
    errors.NotFoundError
        If neither an announced target nor the preset names it.
    """
    preset = deps.config().preset
    if request.kind is records.TargetKind.ENGINE:
        planned = preset.desired_models
    else:
        planned = preset.services
    if request.serves in planned:
        return
    known = deps.served_names(request.kind)
    if request.serves not in known:
        raise errors.NotFoundError(
            f"unknown {request.kind} name",
            given=request.serves[:128],
            expected=", ".join(sorted(known)[:20]) or "none is announced",
        )


async def _go_nowhere() -> bool:
    return False


async def run(
    deps: Dependencies,
    request: records.Request,
    run_attempt: RunAttempt[T],
    go_back: GoBack = _go_nowhere,
) -> T | None:
    """Run a request in as many attempts as are allowed.

    A request that no target can have run may be retried at another target;
    one that may have run, only if it is idempotent. A retry is charged to
    the retry budget unless the target was lost or unreachable.

    Parameters
    ----------
    go_back : callable
        Called when no other attempt may follow. Returns whether a target that
        was given up has completed the request after all; then there is no
        result.

    Raises
    ------
    errors.AmaranthringError
        The error of the last attempt, or of admission if there was none. Its
        outcome is ``not-run`` only if no attempt can have run.
    """
    replacement = replacements.Replacement(deps, request)
    with contextlib.closing(replacement):
        return await _run_attempts(
            deps, request, run_attempt, go_back, replacement
        )


async def _run_attempts(deps, request, run_attempt, go_back, replacement):
    excluded: set[str] = set()
    failed_at: list[records.Target] = []
    last_error: errors.AmaranthringError | None = None
    maybe_ran = False
    for number in range(MAX_ATTEMPTS):
        try:
            granted = replacement.take()
            grant, is_trial = granted or await _admit(deps, request, excluded)
        except errors.AmaranthringError as error:
            last_error = _latest_error(last_error, error, maybe_ran)
            break
        attempt = Attempt(
            number, grant, is_trial=is_trial, replacement=replacement
        )
        _record_grant(deps, request, attempt)
        _prepare_replacement(deps, request, attempt, excluded)
        try:
            result = await _run_and_release(
                deps, request, attempt, run_attempt
            )
            deps.record_success(request.account)
            deps.notices.request_accepted(request, failed_at)
            return result
        except errors.CallerDisconnectedError:
            # Not a failure of the target; no caller waits for a retry.
            raise
        except errors.AmaranthringError as error:
            ran = attempt.sent and error.outcome is not errors.Outcome.NOT_RUN
            maybe_ran = maybe_ran or ran
            if maybe_ran and error.outcome is errors.Outcome.NOT_RUN:
                error.outcome = errors.Outcome.UNKNOWN
            last_error = error
        excluded.add(attempt.target.name)
        failed_at.append(attempt.target)
        deps.metrics.count(f"way.failed.{last_error.code}")
        if attempt.target_lost and attempt.sent:
            await target_loss.report_crash(deps, request, attempt)
        if attempt.target_lost:
            # Granted before the request was known as a suspect, which must
            # run isolated.
            replacement.release()
        if not _may_retry(deps, request, attempt, last_error, maybe_ran):
            break
    replacement.close()
    if await go_back():
        deps.record_success(request.account)
        deps.notices.request_accepted(request, failed_at)
        return None
    deps.notices.request_failed(request, failed_at)
    rest = deps.notices.shortest_rest(failed_at)
    if rest and not maybe_ran:
        last_error.retry_after = max(last_error.retry_after or 0.0, rest)
    raise last_error


def _latest_error(
    last_error: errors.AmaranthringError | None,
    refusal: errors.AmaranthringError,
    maybe_ran: bool,
) -> errors.AmaranthringError:
    """Return the error to report after admission refused an attempt.

    The error of the previous attempt says more, unless nothing ran and the
    refusal says when to come back.
    """
    if last_error is None:
        return refusal
    if maybe_ran or not isinstance(refusal, RESTING):
        return last_error
    refusal.claimed = last_error.claimed
    return refusal


async def _admit(
    deps, request, excluded: set[str]
) -> tuple[records.Grant, bool]:
    """Return a grant for a target that neither failed nor rests.

    If all that are left rest, one that does so on account of another caller
    may be tried; the second value is then true.

    Raises
    ------
    errors.AllTargetsRestingError
        If all that are left rest; the first may be asked again then.
    """
    resting = deps.notices.resting_targets(request, deps.get_target)
    try:
        grant = await deps.admit(request, excluded | set(resting))
        return grant, False
    except errors.NoTargetError as error:
        if not resting:
            raise
        resting_error = errors.AllTargetsRestingError(
            "all targets that could serve this request rest",
            given=request.serves,
            expected="a target that has not asked for rest",
            retry_after=min(resting.values()),
        )
        resting_error.__cause__ = error
    trials = deps.notices.trials(request, resting.keys() - excluded)
    if not trials:
        raise resting_error
    grant = await deps.admit(request, excluded | set(resting) - trials)
    return grant, True


async def _run_and_release(deps, request, attempt, run_attempt):
    """Run one attempt and release its grant, however it ends."""
    end = records.AttemptEnd.FAILED
    lost_future = deps.when_lost(attempt.target.name)

    def mark_lost(_) -> None:
        attempt.target_lost = True

    lost_future.add_done_callback(mark_lost)
    try:
        result = await run_attempt(attempt)
        end = records.AttemptEnd.DONE
        return result
    except (asyncio.CancelledError, errors.CallerDisconnectedError):
        end = records.AttemptEnd.CANCELLED
        raise
    except errors.AmaranthringError as error:
        if attempt.target_lost:
            end = records.AttemptEnd.TARGET_LOST
        elif isinstance(error, UNASKED):
            end = records.AttemptEnd.NOT_SENT
        elif not attempt.sent and isinstance(error, errors.UpstreamError):
            end = records.AttemptEnd.UNREACHABLE
        elif not attempt.sent:
            end = records.AttemptEnd.NOT_SENT
        raise
    finally:
        request.may_have_run = request.may_have_run or attempt.sent
        lost_future.remove_done_callback(mark_lost)
        deps.release(attempt.grant, end)
        deps.record_decision(
            request.request_id,
            "attempt-ended",
            target=attempt.target.name,
            end=str(end),
            lost=attempt.target_lost,
        )


def _prepare_replacement(deps, request, attempt, excluded) -> None:
    """Prepare the attempt after `attempt`, which begins now."""
    failed = excluded | {attempt.target.name}

    async def admit() -> replacements.Granted:
        return await _admit(deps, request, failed)

    def find_lacking() -> str:
        return _find_lacking(request, attempt, maybe_ran=True)

    attempt.replacement.prepare(admit, find_lacking)


def _find_lacking(
    request: records.Request, attempt: Attempt, maybe_ran: bool
) -> str:
    """Return what another attempt lacks besides a retry and a target."""
    if not attempt.retryable:
        return "permission"
    if attempt.number + 1 >= MAX_ATTEMPTS:
        return "attempts"
    if maybe_ran and not request.idempotent:
        return "idempotence"
    if time.monotonic() >= request.deadline:
        return "time"
    return ""


def _may_retry(deps, request, attempt, last_error, maybe_ran) -> bool:
    if isinstance(last_error, errors.BadRequestError):
        return False
    if _find_lacking(request, attempt, maybe_ran):
        return False
    replacement = attempt.replacement
    if not replacement.paid and _uses_budget(attempt, last_error):
        if not deps.may_retry(request.account):
            deps.metrics.count("way.retry-refused")
            return False
        replacement.paid = True
    deps.metrics.count("way.retried")
    return True


def _uses_budget(
    attempt: Attempt, last_error: errors.AmaranthringError
) -> bool:
    """Return whether a retry is charged to the retry budget.

    The budget limits repeated work on live targets. A target that crashed
    or could not be reached does no work, and its owner stops admitting to
    it, so only the requests in flight there are retried. Charged to the
    budget, they would exhaust that of a small account.
    """
    unreachable = (
        isinstance(last_error, errors.UpstreamError) and not attempt.sent
    )
    return not (attempt.target_lost or unreachable)


def _record_grant(deps, request, attempt) -> None:
    grant = attempt.grant
    deps.metrics.record(
        "queueing", grant.queued_seconds, request.account, request.cls
    )
    deps.record_decision(
        request.request_id,
        "granted",
        target=grant.target.name,
        owner=grant.owner,
        remembered=grant.remembered,
        queued=round(grant.queued_seconds, 4),
        cell=grant.cell,
        load=grant.load,
        in_flight=grant.in_flight,
        targets=grant.targets,
    )


def upstream_headers(
    request: records.Request, grant: records.Grant, attempt_name: str
) -> dict[str, str]:
    """Return the headers that every target receives."""
    headers = {
        upstream.REQUEST_ID_HEADER: attempt_name,
        "Amaranthring-Account": request.account,
        "Amaranthring-Class": request.cls,
        "Amaranthring-Priority": str(request.priority),
    }
    if request.chat:
        headers["Amaranthring-Chat"] = request.chat
    if grant.import_from:
        headers["Amaranthring-Import-From"] = grant.import_from.address
    return headers
