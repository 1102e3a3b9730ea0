"""The way of a request through a router, as far as all kinds share it.

Limits, quarantine, then attempts: place and admit, run, release, and perhaps
again. :mod:`amaranthring.callers.chats` and
:mod:`amaranthring.callers.services` hold what one attempt does.
"""

import asyncio
import dataclasses
import time
import typing as t

from amaranthring import errors
from amaranthring.callers import settlements as settlements_module
from amaranthring.core import drain as drains
from amaranthring.core import fleet
from amaranthring.core import links
from amaranthring.core import metrics as figures
from amaranthring.core import records
from amaranthring.targets import upstream

MAX_ATTEMPTS = 3
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
T = t.TypeVar("T")


async def _may_run(_attempt: str) -> bool:
    return True


@dataclasses.dataclass
class Dependencies:
    """What the way needs from other packages, filled by ``app.py``.

    The callables are those of ``docs/INTERNALS.md``; beside them:

    Attributes
    ----------
    router : str
        Name of this router; request ids begin with it.
    keys : links.Keys
        Fleet keys; they sign resume tokens.
    target : callable
        Target by name, or None.
    serves : callable
        Names of models or services that announced targets serve, by kind.
    metrics : Metrics
        Counters and histograms of this process.
    drain : Drain
        Requests in progress.
    may_run : callable
        Whether the holder of an attempt may still run it.
    attempts : set of str
        Claimed attempts that run here.
    settlements : Settlements
        What the ledger could not be told yet.
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
    report_crash: t.Callable[
        [records.Request, records.Target], t.Awaitable[None]
    ]
    may_retry: t.Callable[[str], bool]
    record_success: t.Callable[[str], None]
    when_lost: t.Callable[[str], asyncio.Future]
    record_decision: t.Callable[..., None]
    get_target: t.Callable[[str], records.Target | None]
    served_names: t.Callable[[records.TargetKind], t.Collection[str]]
    metrics: figures.Metrics = dataclasses.field(
        default_factory=figures.Metrics
    )
    drain: drains.Drain = dataclasses.field(default_factory=drains.Drain)
    may_run: t.Callable[[str], t.Awaitable[bool]] = _may_run
    running_attempts: set[str] = dataclasses.field(default_factory=set)
    settlements: settlements_module.Settlements = dataclasses.field(init=False)

    def __post_init__(self):
        self.settlements = settlements_module.Settlements(
            self.settle, self.metrics
        )


@dataclasses.dataclass
class Attempt:
    """One try of a request at one target.

    Attributes
    ----------
    number : int
        From 0.
    sent : bool
        Whether a byte may have left for the target.
    lost : bool
        Whether the target died, or membership gave it up, meanwhile.
    repeatable : bool
        Whether another attempt may follow.
    """

    number: int
    grant: records.Grant
    sent: bool = False
    target_lost: bool = False
    retryable: bool = True

    @property
    def target(self) -> records.Target:
        """Return the target of the attempt."""
        return self.grant.target


@dataclasses.dataclass
class Response:
    """A whole answer to a caller.

    Attributes
    ----------
    status : int
        HTTP status.
    content_type : str
        Of the body.
    outcome : Outcome
        What is known about the call.
    """

    status: int
    content_type: str
    body: bytes
    outcome: errors.Outcome = errors.Outcome.RAN


RunAttempt = t.Callable[[Attempt], t.Awaitable[T]]


async def check(needs: Dependencies, request: records.Request) -> None:
    """Refuse what is above its limits or quarantined.

    Raises
    ------
    errors.QuarantinedError, errors.RateLimitedError
        Nothing ran.
    """
    await needs.check_limits(request)
    refuse_quarantined(needs, request)


def refuse_quarantined(needs: Dependencies, request: records.Request) -> None:
    """Refuse a request that crashed two different targets."""
    if needs.is_quarantined(request.body_digest):
        raise errors.QuarantinedError(
            "this request crashed two targets; it is not run again",
            given=request.body_digest,
            expected="another request",
        )


def check_served(needs: Dependencies, request: records.Request) -> None:
    """Refuse a model or service that nothing of the fleet serves.

    Raises
    ------
    errors.NotFoundError
        If neither an announced target nor the preset names it.
    """
    preset = needs.config().preset
    if request.kind is records.TargetKind.ENGINE:
        planned = preset.desired_models
    else:
        planned = preset.services
    if request.serves in planned:
        return
    known = needs.served_names(request.kind)
    if request.serves not in known:
        raise errors.NotFoundError(
            f"unknown {request.kind} name",
            given=request.serves[:128],
            expected=", ".join(sorted(known)[:20]) or "none is announced",
        )


async def run(
    needs: Dependencies, request: records.Request, once: RunAttempt[T]
) -> T:
    """Return what `once` returns, in as many attempts as are allowed.

    A failure that no target can have seen may always go elsewhere; one that
    a target may have run goes elsewhere only if the request is idempotent.
    Every attempt after the first is paid from the retry budget.

    Raises
    ------
    errors.AmaranthringError
        Of the last attempt; its outcome is ``not-run`` only if no attempt
        can have run.
    """
    excluded: set[str] = set()
    failed: errors.AmaranthringError | None = None
    maybe_ran = False
    for number in range(MAX_ATTEMPTS):
        try:
            grant = await needs.admit(request, excluded)
        except errors.AmaranthringError as error:
            # No other place: the failure that led here says more.
            raise failed or error from error
        attempt = Attempt(number, grant)
        _note_grant(needs, request, attempt)
        try:
            made = await _released(needs, request, attempt, once)
            needs.record_success(request.account)
            return made
        except errors.CallerDisconnectedError:
            # No fault of the target, and nobody waits for another attempt.
            raise
        except errors.AmaranthringError as error:
            ran = attempt.sent and error.outcome is not errors.Outcome.NOT_RUN
            maybe_ran = maybe_ran or ran
            if maybe_ran and error.outcome is errors.Outcome.NOT_RUN:
                error.outcome = errors.Outcome.UNKNOWN
            failed = error
        excluded.add(attempt.target.name)
        needs.metrics.count(f"way.failed.{failed.code}")
        if attempt.target_lost:
            await _report_crash(needs, request, attempt)
        if not _may_repeat(needs, request, attempt, failed, maybe_ran):
            break
    raise failed


async def _report_crash(needs, request, attempt) -> None:
    """Report that the run coincided with its target's death.

    ``report_crash`` may hold a suspect until its turn, so that suspects are
    run again apart from one another, and may refuse it for good.
    """
    needs.metrics.count("way.target-lost")
    try:
        await needs.report_crash(request, attempt.target)
    except errors.AmaranthringError:
        attempt.retryable = False
    if needs.is_quarantined(request.body_digest):
        attempt.retryable = False


async def _released(needs, request, attempt, once):
    """Run one attempt and give its grant back, however it ends."""
    end = records.AttemptEnd.FAILED
    broken = needs.when_lost(attempt.target.name)

    def note_lost(_) -> None:
        attempt.target_lost = True

    broken.add_done_callback(note_lost)
    try:
        made = await once(attempt)
        end = records.AttemptEnd.DONE
        return made
    except (asyncio.CancelledError, errors.CallerDisconnectedError):
        end = records.AttemptEnd.CANCELLED
        raise
    except errors.AmaranthringError as error:
        if attempt.target_lost:
            end = records.AttemptEnd.TARGET_LOST
        elif not attempt.sent and isinstance(error, errors.UpstreamError):
            end = records.AttemptEnd.UNREACHABLE
        elif not attempt.sent:
            end = records.AttemptEnd.NOT_SENT
        raise
    finally:
        broken.remove_done_callback(note_lost)
        needs.release(attempt.grant, end)
        needs.record_decision(
            request.request_id,
            "attempt-ended",
            target=attempt.target.name,
            end=str(end),
            lost=attempt.target_lost,
        )


def _may_repeat(needs, request, attempt, failed, maybe_ran) -> bool:
    if not attempt.retryable or attempt.number + 1 >= MAX_ATTEMPTS:
        return False
    if isinstance(failed, errors.BadRequestError):
        return False
    if maybe_ran and not request.idempotent:
        return False
    if time.monotonic() >= request.deadline:
        return False
    if _costs(attempt, failed) and not needs.may_retry(request.account):
        needs.metrics.count("way.retry-refused")
        return False
    needs.metrics.count("way.retried")
    return True


def _costs(attempt: Attempt, failed: errors.AmaranthringError) -> bool:
    """Return whether another attempt is paid from the retry budget.

    The budget keeps targets that live from doing work twice. A target that
    died, or that could not be reached, does none; and since its owner closes
    it, only what was under way there comes again. Were these paid, the death
    of one of three engines would use up the budget of a small account at
    once, and innocent requests would be refused.
    """
    unreached = isinstance(failed, errors.UpstreamError) and not attempt.sent
    return not (attempt.target_lost or unreached)


def _note_grant(needs, request, attempt) -> None:
    grant = attempt.grant
    needs.metrics.record(
        "queueing", grant.queued_seconds, request.account, request.cls
    )
    needs.record_decision(
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


class AbortOnTargetLoss:
    """Breaks an exchange off when membership gives its target up.

    Without it a request at a target that froze would wait for the token
    timeout, while membership knows already that nothing will come.
    """

    def __init__(self, needs: Dependencies, exchange: upstream.Exchange):
        self.future = needs.when_lost(exchange.target.name)
        self.exchange = exchange
        self.future.add_done_callback(self._break)

    def __enter__(self) -> upstream.Exchange:
        return self.exchange

    def __exit__(self, *_) -> None:
        self.future.remove_done_callback(self._break)
        self.exchange.close()

    def _break(self, _) -> None:
        self.exchange.abort(
            errors.UpstreamError(
                "the target was lost",
                given=self.exchange.target.name,
                expected="a target that renews its lease",
                retry_after=1.0,
            )
        )


def upstream_headers(
    request: records.Request, grant: records.Grant, attempt_name: str
) -> dict[str, str]:
    """Return what every target is told about a request."""
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


async def detect_target_loss(attempt: Attempt) -> None:
    """Mark the attempt if its target can no longer be reached.

    A broken connection alone is no death: a process that crashed refuses
    the next connection, one that only dropped this one does not.
    """
    if not attempt.target_lost and not await upstream.is_reachable(
        attempt.target
    ):
        attempt.target_lost = True
