"""Data classes that several packages share."""

import dataclasses
import enum

from amaranthring import errors


class TargetKind(enum.StrEnum):
    """What kind of work a target does."""

    ENGINE = "engine"
    SERVICE = "service"


class TargetState(enum.StrEnum):
    """What a router may do with a target."""

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
        Grows with every start of the target; an older one is refused.
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
        Whether it refuses an order with an old fencing number.
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
    """A target's lagging report of its load.

    Attributes
    ----------
    sequence : int
        Grows within an incarnation; an older report is dropped.
    running, waiting : int
        Requests running and waiting inside the target.
    kv_used : float
        Share of its KV memory in use, 0 to 1.
    """

    target: str
    incarnation: int
    sequence: int
    running: int
    waiting: int
    kv_used: float = 0.0


@dataclasses.dataclass
class Request:
    """A caller's request after decoding, on its way through the router.

    Attributes
    ----------
    request_id : str
        Unique; returned to the caller and used by ``explain``.
    account : str
        Client account, authenticated.
    cls : str
        Class of traffic, such as ``interactive`` or ``batch``.
    priority : int
        Lower is served earlier; also sent to engines.
    serves : str
        Model or service asked for.
    kind : TargetKind
        Which kind of target it needs.
    chat : str
        Digest that names the chat; empty for plain services.
    body : bytes
        Body as it is sent on.
    body_digest : str
        Digest of account and body.
    deadline : float
        On the router's monotonic clock, in seconds.
    idempotent : bool
        Whether running it twice is harmless.
    key : str
        Idempotency key, or empty.
    stream : bool
        Whether the caller wants server-sent events.
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


@dataclasses.dataclass
class Grant:
    """Leave of an admission owner to send one request to one target.

    Attributes
    ----------
    grant_id : str
        Names the grant at its owner.
    owner : str
        Router that granted; empty for a grant from local estimates.
    target : Target
        Where to send.
    remembered : bool
        Whether the target was the chat's remembered place.
    import_from : Target, optional
        Where the chat's KV cache may be imported from.
    queued_seconds : float
        Time spent waiting at the owner.
    cell : str
        Cell of targets that the owner counts.
    load, in_flight, targets : int
        What the owner decided on: requests at the target and in the cell,
        this one included, and targets of the cell.
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
    """What the ledger says of a claim."""

    GRANTED = "granted"
    IN_PROGRESS = "in-progress"
    SETTLED = "settled"
    UNKNOWN = "unknown"
    KEY_REUSED = "key-reused"


@dataclasses.dataclass
class StoredAnswer:
    """The answer of a settled non-idempotent call.

    Attributes
    ----------
    status : int
        HTTP status the target answered.
    content_type : str
        Its content type.
    body : bytes
        Its body; empty with ``kept`` false when it was above the bound.
    kept : bool
        Whether the body was kept.
    """

    status: int
    content_type: str
    body: bytes
    kept: bool = True


@dataclasses.dataclass
class Claim:
    """Result of asking the ledger for a claim.

    Attributes
    ----------
    state : ClaimState
        ``GRANTED`` to exactly one attempt, ever.
    attempt : str
        The attempt that holds the claim.
    target : str
        Target the holder named, if any.
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
