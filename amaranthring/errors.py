"""Exception tree: every failure of the product has a type of its own.

Each error knows its stable ``code``, the HTTP ``status`` it becomes towards
callers and operators, the ``outcome`` it states about the call, and when it
makes sense to come back. Errors cross the streams between our processes as
typed records (:meth:`AmaranthringError.to_record`) and are raised again on
the other side under the same type.
"""

import enum
import typing as t

_BY_CODE: dict[str, type["AmaranthringError"]] = {}


class Outcome(enum.StrEnum):
    """What is known about a call, as told to its caller.

    ``NOT_RUN`` is said only when it is certain that no target ran it.
    """

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


class AmaranthringError(Exception):
    """Base of all errors of this package.

    Parameters
    ----------
    detail : str
        One sentence about what happened.
    given : object, optional
        What was received.
    expected : object, optional
        What would have been accepted.
    retry_after : float, optional
        Seconds after which coming back makes sense.
    outcome : Outcome, optional
        Overrides the outcome of the type for this case.
    """

    code = "internal"
    status = 500
    outcome = Outcome.UNKNOWN

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
        text = self.detail or self.code
        if self.given is not None:
            text += f" (given: {self.given!r}"
            text += f", expected: {self.expected!r})"
        return text

    def to_record(self) -> dict[str, t.Any]:
        """Return the plain record that crosses a stream."""
        return {
            "code": self.code,
            "detail": self.detail,
            "given": None if self.given is None else str(self.given),
            "expected": None if self.expected is None else str(self.expected),
            "retry_after": self.retry_after,
            "outcome": str(self.outcome),
        }


def from_record(record: dict[str, t.Any]) -> AmaranthringError:
    """Return the error that `record` describes, under its own type.

    An unknown code, from a newer peer, becomes the base type.
    """
    kind = _BY_CODE.get(record.get("code", ""), AmaranthringError)
    return kind(
        record.get("detail", ""),
        given=record.get("given"),
        expected=record.get("expected"),
        retry_after=record.get("retry_after"),
        outcome=Outcome(record.get("outcome", Outcome.UNKNOWN)),
    )


class InternalError(AmaranthringError):
    """A fault of our own code; the caller learns nothing was promised."""

    code = "internal"


class SettingsError(AmaranthringError):
    """The settings file is not usable."""

    code = "settings"


class UsageError(AmaranthringError):
    """A command line that cannot be followed."""

    code = "usage"


class ListenError(AmaranthringError):
    """An address to listen on is taken or not of this VM."""

    code = "listen"
    outcome = Outcome.NOT_RUN


# -- requests refused before anything ran --------------------------------


class RefusedError(AmaranthringError):
    """A request that was given up before any target saw it."""

    code = "refused"
    status = 503
    outcome = Outcome.NOT_RUN


class BadRequestError(RefusedError):
    """The request itself is malformed; resending it does not help."""

    code = "bad-request"
    status = 400


class TooLargeError(BadRequestError):
    """Headers, body or frame above the bound."""

    code = "too-large"
    status = 413


class HeadersTooLargeError(TooLargeError):
    """Headers above the bound."""

    code = "headers-too-large"
    status = 431


class HeadersTimeoutError(BadRequestError):
    """The headers were begun and did not end in time."""

    code = "headers-late"
    status = 408


class BodyTimeoutError(BadRequestError):
    """The body did not come in time."""

    code = "body-late"
    status = 408


class MethodError(BadRequestError):
    """The path is known, but not with this method."""

    code = "method"
    status = 405


class UnauthenticatedError(RefusedError):
    """No token, or a token that names no client account or operator."""

    code = "unauthenticated"
    status = 401


class ForbiddenError(RefusedError):
    """The account or operator is known but may not do this."""

    code = "forbidden"
    status = 403


class NotFoundError(RefusedError):
    """The named model, service, preset, target or request is unknown."""

    code = "not-found"
    status = 404


class RateLimitedError(RefusedError):
    """The client account is above its rate or share."""

    code = "rate-limited"
    status = 429


class QueueFullError(RefusedError):
    """The waiting queue of the targets is at its bound."""

    code = "queue-full"


class DeadlineError(RefusedError):
    """The deadline cannot be met, or passed while still waiting."""

    code = "deadline"
    status = 504


class NoTargetError(RefusedError):
    """No eligible target is known for the model or service."""

    code = "no-target"


class QuarantinedError(RefusedError):
    """The request crashed two different targets; it is refused for good."""

    code = "quarantined"
    status = 422


class ShuttingDownError(RefusedError):
    """The router takes no new requests."""

    code = "shutting-down"


# -- announcements of targets ------------------------------------------------


class StaleIncarnationError(RefusedError):
    """A newer incarnation of the target is known, or this one has left."""

    code = "stale-incarnation"
    status = 409


class NameTakenError(RefusedError):
    """A live target elsewhere holds the name."""

    code = "name-taken"
    status = 409


class AddressTakenError(RefusedError):
    """A live target of another name holds the address."""

    code = "address-taken"
    status = 409


class ReplayedError(RefusedError):
    """A numbered message of a target came again or late."""

    code = "replayed"
    status = 409


class TableFullError(RefusedError):
    """The table of targets is at its bound."""

    code = "table-full"


# -- requests that reached a target ---------------------------------------


class UpstreamError(AmaranthringError):
    """A target failed after it was sent the request."""

    code = "upstream"
    status = 502


class TargetUnreachableError(UpstreamError):
    """There is no connection to the target; no byte was sent.

    Callers are told the code of its parent: for them it is one failure of
    the target like others.
    """

    outcome = Outcome.NOT_RUN


class TargetRefusedError(UpstreamError):
    """A target states that it did not run the request."""

    code = "target-refused"
    outcome = Outcome.NOT_RUN


class WrongTargetError(TargetRefusedError):
    """Another target has the address now; it did not run the request."""

    code = "other-target"


class TargetFailedError(UpstreamError):
    """A target ran a request that may be repeated, and failed."""

    code = "target-failed"
    outcome = Outcome.RAN


class TruncatedResponseError(UpstreamError):
    """The target's answer ended without its end mark or with a gap."""

    code = "truncated-answer"


class TargetUnresponsiveError(TruncatedResponseError):
    """Nothing that was sent to the target is acknowledged any more."""

    code = "target-silent"


class UpstreamTimeoutError(UpstreamError):
    """The target sent nothing within the time allowed."""

    code = "upstream-timeout"
    status = 504


class CallerDisconnectedError(AmaranthringError):
    """The caller left before its answer was whole; nobody hears this."""

    code = "caller-gone"
    status = 408


class CallerTooSlowError(CallerDisconnectedError):
    """The caller took nothing of its answer in time and was cut off."""

    code = "caller-too-slow"
    status = 408


class ResumeError(AmaranthringError):
    """A resume token is forged, foreign, expired or names a lost stream."""

    code = "resume"
    status = 409


# -- claims of non-idempotent calls ----------------------------------------


class ClaimInProgressError(AmaranthringError):
    """Another attempt under the same key is still running."""

    code = "claim-in-progress"
    status = 409


class ClaimUnknownError(AmaranthringError):
    """The holder of the claim was lost after it; never run again."""

    code = "claim-unknown"
    status = 409


class KeyReusedError(RefusedError):
    """An idempotency key came back with another body."""

    code = "key-reused"
    status = 422


class ResponseNotStoredError(AmaranthringError):
    """The call ran but its answer was too large to be kept."""

    code = "answer-not-kept"
    status = 409
    outcome = Outcome.RAN


# -- keepers -----------------------------------------------------------------


class NoQuorumError(RefusedError):
    """The keepers have no leader with a quorum; nothing was accepted."""

    code = "no-quorum"


class NotLeaderError(RefusedError):
    """Asked a keeper that does not lead; ``expected`` names the leader."""

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
    """A routing plan that cannot be put in force; it changed nothing."""

    code = "invalid-plan"


class PreconditionMissingError(RefusedError):
    """An operator's command names no revision in ``If-Match``."""

    code = "precondition-missing"
    status = 428


class CommandReusedError(RefusedError):
    """A command id came back with another content."""

    code = "command-reused"
    status = 422


class StorageError(AmaranthringError):
    """The data folder is damaged, foreign or not writable."""

    code = "storage"


# -- streams between our processes -------------------------------------------


class LinkError(AmaranthringError):
    """A stream to a peer failed."""

    code = "link"
    status = 503


class LinkClosedError(LinkError):
    """The stream closed before the reply came."""

    code = "link-closed"


class LinkTimeoutError(LinkError):
    """The peer did not reply in time."""

    code = "link-timeout"


class LinkOverloadedError(LinkError):
    """The bounded send buffer of the stream is full."""

    code = "link-overloaded"
    outcome = Outcome.NOT_RUN


class NotReadyError(LinkError):
    """The peer started lately and does not know enough to decide."""

    code = "not-ready"
    outcome = Outcome.NOT_RUN


class HandshakeError(LinkError):
    """The peer could not prove that it belongs to the fleet."""

    code = "handshake"


class FrameError(LinkError):
    """A frame is oversized, malformed, of unknown type or version."""

    code = "frame"
