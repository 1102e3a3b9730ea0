"""Data classes shared by several packages."""

import dataclasses
import enum

from amaranthring import errors


class TargetKind(enum.StrEnum):
    """Kind of a target."""

    ENGINE = "engine"
    SERVICE = "service"


class TargetState(enum.StrEnum):
    """State of a target as a router sees it."""

    READY = "ready"
    LEAVING = "leaving"
    SUSPENDED = "suspended"
    LOST = "lost"


@dataclasses.dataclass(frozen=True)
class Target:
    """A model engine or a replica of a plain service, as it announced itself.

    Attributes
    ----------
    name : str
        Unique name in the fleet.
    incarnation : int
        Grows with every start of the target; older ones are rejected.
    kind : TargetKind
        Engine or service.
    address : str
        ``host:port`` of its HTTP listener.
    data_centre, region : str
        Where it runs.
    serves : tuple of str
        Models of an engine; names of services of a replica.
    capacity : int
        Requests that it can run at once.
    fencing : bool
        Whether it rejects orders with an old fencing number.
    honours_keys : bool
        Whether it deduplicates by idempotency key itself.
    role : str
        Role of an engine: ``mixed``, ``prefill`` or ``decode``.
    """

    name: str
    incarnation: int
    kind: TargetKind
    address: str
    data_centre: str
    region: str
    serves: tuple[str, ...]
    capacity: int = 64
    fencing: bool = False
    honours_keys: bool = False
    role: str = "mixed"


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load of a target as last reported by it.

    Attributes
    ----------
    sequence : int
        Grows within an incarnation; older reports are dropped.
    running, waiting : int
        Requests running and waiting inside the target.
    kv_used : float
        Fraction of its KV cache memory in use, 0 to 1.
    """

    target: str
    incarnation: int
    sequence: int
    running: int
    waiting: int
    kv_used: float = 0.0


@dataclasses.dataclass
class Request:
    """A caller's decoded request.

    Attributes
    ----------
    request_id : str
        Unique; returned to the caller and used by ``explain``.
    account : str
        Authenticated client account.
    cls : str
        Class of traffic, such as ``interactive`` or ``batch``.
    priority : int
        Lower values are served first; also sent to engines.
    serves : str
        Model or service asked for.
    kind : TargetKind
        Kind of target that it needs.
    chat : str
        Digest that identifies the chat; empty for plain services.
    body : bytes
        Body as forwarded to the target.
    body_digest : str
        Digest of account and body.
    deadline : float
        Seconds on the router's monotonic clock.
    idempotent : bool
        Whether it may safely run twice.
    key : str
        Idempotency key, or empty.
    stream : bool
        Whether the caller wants server-sent events.
    may_have_run : bool
        Whether it was sent to a target, which may have begun to run it.
    """

    request_id: str
    account: str
    cls: str
    priority: int
    serves: str
    kind: TargetKind
    chat: str
    body: bytes
    body_digest: str
    deadline: float
    idempotent: bool = True
    key: str = ""
    stream: bool = False
    method: str = "POST"
    path: str = ""
    may_have_run: bool = False


@dataclasses.dataclass
class Grant:
    """Permission of an admission owner to send one request to one target.

    Attributes
    ----------
    grant_id : str
        Identifies the grant at its owner.
    owner : str
        Router that granted it; empty if granted from local estimates.
    target : Target
        Target to send the request to.
    remembered : bool
        Whether the target was remembered for the chat.
    import_from : Target, optional
        Target from which the chat's KV cache may be imported.
    queued_seconds : float
        Time in the queue of the owner.
    cell : str
        Cell of targets whose load the owner counts.
    load, in_flight, targets : int
        Inputs to the decision: requests at the target and in the cell,
        including this one, and the number of targets in the cell.
    """

    grant_id: str
    owner: str
    target: Target
    remembered: bool = False
    import_from: Target | None = None
    queued_seconds: float = 0.0
    cell: str = ""
    load: int = 0
    in_flight: int = 0
    targets: int = 0


class AttemptEnd(enum.StrEnum):
    """How an attempt at a target ended."""

    DONE = "done"
    FAILED = "failed"
    TARGET_LOST = "target-lost"
    CANCELLED = "cancelled"
    NOT_SENT = "not-sent"
    UNREACHABLE = "unreachable"


class ClaimState(enum.StrEnum):
    """State of a claim in the ledger."""

    GRANTED = "granted"
    IN_PROGRESS = "in-progress"
    SETTLED = "settled"
    UNKNOWN = "unknown"
    KEY_REUSED = "key-reused"


@dataclasses.dataclass
class StoredAnswer:
    """Response to a settled non-idempotent call.

    Attributes
    ----------
    status : int
        HTTP status of the response.
    content_type : str
        Content type of the body.
    body : bytes
        Body; empty with ``kept`` false if it exceeded the size limit.
    kept : bool
        Whether the body was stored.
    """

    status: int
    content_type: str
    body: bytes
    kept: bool = True


@dataclasses.dataclass
class Claim:
    """Result of a request for a claim in the ledger.

    Attributes
    ----------
    state : ClaimState
        ``GRANTED`` for exactly one attempt ever.
    attempt : str
        Attempt that holds the claim.
    target : str
        Target that the holder named, if any.
    outcome : Outcome, optional
        For a settled claim.
    answer : StoredAnswer, optional
        For a claim settled as run.
    """

    state: ClaimState
    attempt: str
    target: str = ""
    outcome: errors.Outcome | None = None
    answer: StoredAnswer | None = None
