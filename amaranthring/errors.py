"""Exception hierarchy of the package.

Each error has a stable ``code``, the HTTP ``status`` returned to callers and
operators, the ``outcome`` of the call as far as it is known, and optionally
a retry delay. Errors travel between processes as plain records
(:meth:`AmaranthringError.to_record`) and are raised on the other side as the
same type.
"""

import enum
import typing as t

from amaranthring.core import text

_BY_CODE: dict[str, type["AmaranthringError"]] = {}


class Outcome(enum.StrEnum):
    """Outcome of a call as reported to its caller.

    ``NOT_RUN`` is reported only if it is certain that no target ran the call.
    """

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class AmaranthringError(Exception):
    """Base class of all errors of this package.

    Parameters
    ----------
    detail : str
        One sentence about what happened.
    given : object, optional
        Value that was received.
    expected : object, optional
        What would have been accepted.
    retry_after : float, optional
        Seconds to wait before a retry.
    outcome : Outcome, optional
        Overrides the default outcome of the class.

    Attributes
    ----------
    claimed : bool
        Whether the request held the claim of its idempotency key, so that the
        outcome holds for the key and not only for this request.
    """

    code = "internal"
    status = 500
    outcome = Outcome.UNKNOWN
    claimed = False

    def __init__(
        self,
        detail: str = "",
        *,
        given: t.Any = None,
        expected: t.Any = None,
        retry_after: float | None = None,
        outcome: Outcome | None = None,
    ):
        super().__init__(detail)
        self.detail = detail
        self.given = given
        self.expected = expected
        self.retry_after = retry_after
        if outcome is not None:
            self.outcome = outcome

    def __init_subclass__(cls, **kwargs):
        super().__init_subclass__(**kwargs)
        if "code" in cls.__dict__:
            _BY_CODE[cls.code] = cls

    def __str__(self):
        shown = self.detail or self.code
        if self.given is not None:
            shown += f" (given: {self.given!r}"
            shown += f", expected: {self.expected!r})"
        return text.escape(shown)

    def to_record(self) -> dict[str, t.Any]:
        """Return a plain record for transmission to another process."""
        return {
            "code": self.code,
            "detail": text.escape(self.detail),
            "given": _shown(self.given),
            "expected": _shown(self.expected),
            "retry_after": self.retry_after,
            "outcome": str(self.outcome),
        }


def _shown(value: t.Any) -> str | None:
    return None if value is None else text.escape(str(value))


def from_record(record: dict[str, t.Any]) -> AmaranthringError:
    """Return the error that `record` describes, as its own type.

    An unknown code, sent by a newer peer, yields the base type.
    """
    error_class = _BY_CODE.get(record.get("code", ""), AmaranthringError)
    return error_class(
        record.get("detail", ""),
        given=record.get("given"),
        expected=record.get("expected"),
        retry_after=record.get("retry_after"),
        outcome=Outcome(record.get("outcome", Outcome.UNKNOWN)),
    )


class InternalError(AmaranthringError):
    """Unexpected failure inside this package."""

    code = "internal"


class SettingsError(AmaranthringError):
    """The settings are missing or invalid."""

    code = "settings"


class UsageError(AmaranthringError):
    """The command line, or a file that it names, is invalid."""

    code = "usage"


class ListenError(AmaranthringError):
    """An address to listen on is in use or not an address of this VM."""

    code = "listen"
    outcome = Outcome.NOT_RUN


# -- requests rejected before execution ------------------------------------


class RefusedError(AmaranthringError):
    """A request was rejected before any target received it."""

    code = "refused"
    status = 503
    outcome = Outcome.NOT_RUN


class BadRequestError(RefusedError):
    """The request is malformed; a retry cannot succeed."""

    code = "bad-request"
    status = 400


class TooLargeError(BadRequestError):
    """Headers, body or frame exceed the size limit."""

    code = "too-large"
    status = 413


class HeadersTooLargeError(TooLargeError):
    """Headers exceed the size limit."""

    code = "headers-too-large"
    status = 431


class HeadersTimeoutError(BadRequestError):
    """The request headers were started but not completed in time."""

    code = "headers-late"
    status = 408


class BodyTimeoutError(BadRequestError):
    """The request body did not arrive in time."""

    code = "body-late"
    status = 408


class MethodError(BadRequestError):
    """The path does not support this method."""

    code = "method"
    status = 405


class UnauthenticatedError(RefusedError):
    """The token is missing or belongs to no client account or operator."""

    code = "unauthenticated"
    status = 401


class ForbiddenError(RefusedError):
    """The client account or operator lacks permission."""

    code = "forbidden"
    status = 403


class NotFoundError(RefusedError):
    """The named model, service, preset, target or request is unknown."""

    code = "not-found"
    status = 404


class RateLimitedError(RefusedError):
    """The client account exceeds its rate limit or share."""

    code = "rate-limited"
    status = 429


class QueueFullError(RefusedError):
    """A bounded queue or store is full."""

    code = "queue-full"


class IntakeFullError(RefusedError):
    """The process holds as much of all requests as it may."""

    code = "intake-full"


class DeadlineError(RefusedError):
    """The deadline cannot be met, or expired while the request waited."""

    code = "deadline"
    status = 504


class NoTargetError(RefusedError):
    """No eligible target is known for the model or service."""

    code = "no-target"


class AllTargetsRestingError(NoTargetError):
    """All targets of the service have asked this router for rest."""

    code = "targets-resting"


class NoRoomError(NoTargetError):
    """The targets of the service have no room for another request."""

    code = "no-room"


class StreamUnknownError(NoTargetError):
    """Nobody knows which version of the service began a stream."""

    code = "stream-unknown"


class CallerHeldBackError(NoTargetError):
    """A target rests on account of the caller, which is suspected."""

    code = "caller-held-back"


class QuarantinedError(RefusedError):
    """The request crashed two different targets and is quarantined."""

    code = "quarantined"
    status = 422


class SuspectedError(RefusedError):
    """Targets crashed, or may have crashed, while the request ran there."""

    code = "suspected"


class ShuttingDownError(RefusedError):
    """The router accepts no new requests."""

    code = "shutting-down"


class HalfClosedError(RefusedError):
    """The caller closed its sending side, so it counts as disconnected."""

    code = "half-closed"


# -- target announcements ----------------------------------------------------


class StaleIncarnationError(RefusedError):
    """A newer incarnation of the target is known, or this one has left."""

    code = "stale-incarnation"
    status = 409


class NameTakenError(RefusedError):
    """A live target at another address already uses the name."""

    code = "name-taken"
    status = 409


class AddressTakenError(RefusedError):
    """A live target with another name already uses the address."""

    code = "address-taken"
    status = 409


class ReplayedError(RefusedError):
    """A numbered message of a target is a duplicate or out of order."""

    code = "replayed"
    status = 409


class TableFullError(RefusedError):
    """The target table is full."""

    code = "table-full"


# -- requests that reached a target ---------------------------------------


class UpstreamError(AmaranthringError):
    """A target failed after the request was sent to it."""

    code = "upstream"
    status = 502


class TargetUnreachableError(UpstreamError):
    """There is no connection to the target; nothing was sent.

    Callers see the code of the parent class, as for other target failures.
    """

    outcome = Outcome.NOT_RUN


class NotListeningError(TargetUnreachableError):
    """The target's address refuses connections: its process has ended."""


class TargetRefusedError(UpstreamError):
    """The target reports that it did not run the request."""

    code = "target-refused"
    outcome = Outcome.NOT_RUN


class WrongTargetError(TargetRefusedError):
    """Another target now uses the address; it did not run the request."""

    code = "other-target"


class TargetRestingError(UpstreamError):
    """The target asked this router for rest meanwhile; nothing was sent."""

    code = "target-resting"
    status = 503
    outcome = Outcome.NOT_RUN


class TargetLeavingError(UpstreamError):
    """The target has said that it leaves; nothing was sent."""

    code = "target-leaving"
    status = 503
    outcome = Outcome.NOT_RUN


class HelperRefusedError(UpstreamError):
    """Another router did not take a request that was handed over to it."""

    code = "helper-refused"
    status = 503
    outcome = Outcome.NOT_RUN


class TargetFailedError(UpstreamError):
    """The target ran a repeatable request and failed."""

    code = "target-failed"
    outcome = Outcome.RAN


class InvalidStatusError(UpstreamError):
    """A target answered with a status that HTTP does not have.

    Callers see the code of the parent class, as for other target failures.
    """


class TruncatedResponseError(UpstreamError):
    """The target's response lacks its end marker or has a gap."""

    code = "truncated-answer"


class ForeignResponseError(UpstreamError):
    """What the target sent is not the response to this request."""

    code = "foreign-answer"


class TargetUnresponsiveError(TruncatedResponseError):
    """The target no longer acknowledges data sent to it."""

    code = "target-silent"


class UpstreamTimeoutError(UpstreamError):
    """The target sent nothing within the time limit."""

    code = "upstream-timeout"
    status = 504


class SupersededError(UpstreamTimeoutError):
    """The target was late, and another one goes on with the request."""

    code = "superseded"


class HedgeDroppedError(UpstreamTimeoutError):
    """The second target was late, too; the first one keeps the request."""

    code = "hedge-dropped"


class InvalidHeaderError(AmaranthringError):
    """A header of a target's response is malformed; it is ignored."""

    code = "invalid-header"


class CallerDisconnectedError(AmaranthringError):
    """The caller disconnected before its response was complete."""

    code = "caller-gone"
    status = 408


class CallerTooSlowError(CallerDisconnectedError):
    """The caller did not read its response in time and was disconnected."""

    code = "caller-too-slow"
    status = 408


class ResumeError(AmaranthringError):
    """The resume token is invalid or expired, or its stream is lost."""

    code = "resume"
    status = 409


# -- claims of non-idempotent calls ----------------------------------------


class ClaimInProgressError(AmaranthringError):
    """Another attempt with the same idempotency key is in progress."""

    code = "claim-in-progress"
    status = 409


class ClaimUnknownError(AmaranthringError):
    """How the call under the key ended is unknown; it is not run again."""

    code = "claim-unknown"
    status = 409


class KeyReusedError(RefusedError):
    """An idempotency key was reused with a different body."""

    code = "key-reused"
    status = 422


class ResponseNotStoredError(AmaranthringError):
    """The call ran, but its response was too large to store."""

    code = "answer-not-kept"
    status = 409
    outcome = Outcome.RAN


# -- keepers -----------------------------------------------------------------


class NoQuorumError(RefusedError):
    """The keepers have no leader with a quorum; nothing was accepted."""

    code = "no-quorum"


class NotLeaderError(RefusedError):
    """The keeper is not the leader; ``expected`` names the leader."""

    code = "not-leader"


class CommitUnknownError(AmaranthringError):
    """The proposal may or may not have been committed; resend it."""

    code = "commit-unknown"
    status = 503


class RevisionConflictError(RefusedError):
    """``If-Match`` names a revision that is no longer in force."""

    code = "revision-conflict"
    status = 412


class InvalidPlanError(BadRequestError):
    """The routing plan is invalid; nothing was changed."""

    code = "invalid-plan"


class PreconditionMissingError(RefusedError):
    """The operator's command has no revision in ``If-Match``."""

    code = "precondition-missing"
    status = 428


class CommandReusedError(RefusedError):
    """A command ID was reused with different content."""

    code = "command-reused"
    status = 422


class StorageError(AmaranthringError):
    """The data folder is damaged, in use, another keeper's or not writable."""

    code = "storage"


# -- streams between processes ------------------------------------------------


class LinkError(AmaranthringError):
    """A stream to a peer failed."""

    code = "link"
    status = 503


class LinkClosedError(LinkError):
    """The stream closed before the reply arrived."""

    code = "link-closed"


class LinkTimeoutError(LinkError):
    """The peer did not reply in time."""

    code = "link-timeout"


class LinkOverloadedError(LinkError):
    """The send buffer of the stream is full."""

    code = "link-overloaded"
    outcome = Outcome.NOT_RUN


class NotReadyError(LinkError):
    """The peer cannot decide yet, such as shortly after its start."""

    code = "not-ready"
    outcome = Outcome.NOT_RUN


class HandshakeError(LinkError):
    """The handshake with the peer failed."""

    code = "handshake"


class FrameError(LinkError):
    """A frame is too large, malformed, or of unknown type or version."""

    code = "frame"
