"""Data classes for requests and responses while they are forwarded."""

import dataclasses
import functools
import typing as t

import tornado.httputil

from amaranthring import errors
from amaranthring.core import hashing
from amaranthring.core import notices
from amaranthring.policy import bindings
from amaranthring.policy import rests
from amaranthring.registry import messages
from amaranthring.routing import plan as plans


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """One part of a prompt; other requests may have the same part.

    Attributes
    ----------
    tokens : int
        Length of the part.
    """

    id: str
    tokens: int


@dataclasses.dataclass
class Incoming:
    """A request as received from its caller.

    Attributes
    ----------
    request_id : str
        Set by the caller, who sets a new one for each retry.
    uri, path : str
        With and without the query.
    headers : HTTPHeaders
        Headers to forward.
    body : bytes
        Complete body.
    arrived : float
        Monotonic seconds at which its headers were read.
    timeout : float
        Seconds that the caller waits; infinite if it set no timeout.
    key : str
        Key of the client account; empty if none was sent.
    resume_after : str
        Id of the last event that the caller received; empty for none.
    resumes : str
        Id of the caller's attempt that brought the first event of the stream
        that it takes up again; empty for none.
    parts : tuple of PromptPart
        Parts of the prompt in order; the last one is not shared.
    output_tokens : int
        Maximum number of generated tokens.
    origin : str
        IP address that the caller's connection comes from.
    interruption : AmaranthringError, optional
        Why its task was cancelled.
    """

    request_id: str
    method: str
    uri: str
    path: str
    host: str
    headers: tornado.httputil.HTTPHeaders
    arrived: float
    timeout: float = float("inf")
    key: str = ""
    resume_after: str = ""
    parts: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    body: bytes = b""
    origin: str = ""
    resumes: str = ""
    interruption: errors.AmaranthringError | None = None

    @property
    def is_resumed(self) -> bool:
        """Return whether the caller takes a stream up again."""
        return bool(self.resume_after or self.resumes)


@dataclasses.dataclass
class AttemptInfo:
    """Values that one attempt adds to the forwarded request.

    Attributes
    ----------
    account : str
        Name of the client account; empty if the route is public.
    seconds_left : float
        Time until the deadline of the request.
    resume_after : str
        Id of the last event that the caller received.
    copy_from : str
        Address of the target to copy a cached prefix from; empty for none.
    """

    target: messages.TargetRecord
    account: str
    seconds_left: float
    resume_after: str = ""
    copy_from: str = ""


@dataclasses.dataclass
class Load:
    """Load that a target reported in a response."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass
class ResponseHead:
    """Status and headers of a target's response.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : HTTPHeaders
        Headers to forward to the caller.
    request_id : str
        Id of the request that it belongs to.
    signed : bool
        Whether a target signed it. Others are not forwarded.
    refused : bool
        Whether it states that the request was not run.
    other_target : bool
        Whether another target has taken over the address.
    encoded : bool
        Whether the body has a content coding; it is then not forwarded.
    load : Load or None
        Load of the target, if reported.
    notice : Notice
        What the target says about itself.
    """

    status: int
    headers: tornado.httputil.HTTPHeaders
    request_id: str
    signed: bool
    refused: bool
    other_target: bool = False
    encoded: bool = False
    load: Load | None = None
    notice: notices.Notice = notices.NOTHING


@dataclasses.dataclass
class Dialect:
    """Functions that read and write requests and responses on the wire.

    Attributes
    ----------
    read_request : callable
        ``(start line, headers, arrived) -> Incoming``; raises
        ``errors.BadRequestError``.
    request_headers : callable
        ``(Incoming, AttemptInfo) -> headers`` for the target.
    read_response : callable
        ``(status, headers) -> ResponseHead``.
    """

    read_request: t.Callable[..., Incoming]
    request_headers: t.Callable[[Incoming, AttemptInfo], t.Mapping[str, str]]
    read_response: t.Callable[
        [int, tornado.httputil.HTTPHeaders], ResponseHead
    ]


@dataclasses.dataclass
class Placement:
    """What the placement of one attempt was based on.

    Attributes
    ----------
    load : float
        Requests at the chosen target, as believed.
    mean : float
        Mean of the candidates' loads, as believed.
    counts_age : float
        Mean age of the other routers' counts, in seconds; infinite if none
        were received.
    told : int
        Number of routers that the counts are of, with this one.
    routers : int
        Number of routers that may be at work; 0 if unknown.
    candidates : int
        Number of targets that it was chosen from.
    left_out : dict of str to int
        Number of the service's other targets, by the reason for which they
        were left out.
    """

    load: float
    mean: float
    counts_age: float
    told: int
    routers: int
    candidates: int
    left_out: dict[str, int]


@dataclasses.dataclass
class Run:
    """One run of a request, as it is counted at its target.

    Attributes
    ----------
    begun_at : float
        Monotonic seconds.
    is_accepted : bool
        Whether the target runs the request and responds.
    prefill_tokens : int
        Tokens that the target has yet to prefill.
    """

    target: messages.TargetRecord
    begun_at: float = 0.0
    is_accepted: bool = False
    prefill_tokens: int = 0


@dataclasses.dataclass
class KeptAnswer:
    """A failure of a target, for a caller that gets no better answer.

    Attributes
    ----------
    release : callable
        Gives back the memory that the answer takes.
    """

    status: int
    headers: tornado.httputil.HTTPHeaders
    body: bytes
    release: t.Callable[[], None]


@dataclasses.dataclass
class Handover:
    """Terms on which another router handed a request over.

    Attributes
    ----------
    router : str
        Name of that router.
    service : str
        Service that it drew.
    attempts_sent : int
        Number of targets that may have started to run it there.
    attempts_after : int
        The same with the attempts of this router.
    binding : Binding or None
        What the stream is bound to, once it is.
    """

    router: str
    service: str
    attempts_sent: int
    attempts_after: int = 0
    binding: bindings.Binding | None = None


@dataclasses.dataclass
class RequestContext:
    """State of one request while it is forwarded.

    Attributes
    ----------
    deadline : float
        Monotonic seconds by which it gets its final response.
    attempts_sent : int
        Number of targets that may have started to run it.
    binding : Binding or None
        What its stream is bound to, once an event of it was passed on, now or
        at an earlier attempt of the caller.
    bound_at : float
        When the binding was last recorded, in seconds.
    handover : Handover or None
        Set if another router handed it over.
    is_path_trial : bool
        Whether it tries the path to targets that were not reached.
    helpers_tried : set of str
        Addresses of the helpers that have refused it.
    tried : set of str
        Ids of targets that are not tried again.
    superseded : set of str
        Ids of those of them that were late when another target took over.
    refused_by : list of TargetRecord
        Targets that refused it, while none has accepted it.
    asked_for_rest : set of str
        Ids of those of them that asked for rest.
    resting : set of str
        Ids of targets that rested when an attempt was placed.
    lacks_room : bool
        Whether targets were left out as they are brittle and have no room.
    waited_since : float or None
        Monotonic seconds since which it waits for room, if it ever did.
    is_trial : bool
        Whether all targets rest and the current one is tried all the same.
    is_suspect : bool
        Whether targets have crashed while they ran requests like it.
    engine : Engine or None
        Capabilities of the service's engines; None if it has none.
    kept_answer : KeptAnswer or None
        Answer of a target that failed, while another one is tried.
    trials : dict of str to str
        Its trials by suspected feature, see :mod:`suspect_trials`.
    trial_sends : int
        Number of sends before its first trial.
    broke_off : bool
        Whether a target broke off its last run, here or at a helper.
    silent_data_centres : set of str
        Data centres in which a target did not respond.
    attempt_outcomes : list of str
        ``target:outcome`` of each attempt.
    releases : list of str
        Software version of the target of each attempt, as announced.
    sent_after : list of float
        Seconds from the arrival of the request to each attempt that was sent.
    copies : list of str
        ``source>target`` of each attempt with a copy of a cached prefix.
    placements : list of Placement
        One for each attempt.
    """

    incoming: Incoming
    route: plans.Route
    account: str
    service: str
    version: int
    deadline: float
    engine: plans.Engine | None = None
    attempts_sent: int = 0
    binding: bindings.Binding | None = None
    bound_at: float = float("-inf")
    handover: Handover | None = None
    is_path_trial: bool = False
    helpers_tried: set[str] = dataclasses.field(default_factory=set)
    tried: set[str] = dataclasses.field(default_factory=set)
    superseded: set[str] = dataclasses.field(default_factory=set)
    refused_by: list[messages.TargetRecord] = dataclasses.field(
        default_factory=list
    )
    asked_for_rest: set[str] = dataclasses.field(default_factory=set)
    resting: set[str] = dataclasses.field(default_factory=set)
    lacks_room: bool = False
    waited_since: float | None = None
    is_trial: bool = False
    is_suspect: bool = False
    kept_answer: KeptAnswer | None = None
    trials: dict[str, str] = dataclasses.field(default_factory=dict)
    trial_sends: int = 0
    broke_off: bool = False
    silent_data_centres: set[str] = dataclasses.field(default_factory=set)
    attempt_outcomes: list[str] = dataclasses.field(default_factory=list)
    releases: list[str] = dataclasses.field(default_factory=list)
    sent_after: list[float] = dataclasses.field(default_factory=list)
    copies: list[str] = dataclasses.field(default_factory=list)
    placements: list[Placement] = dataclasses.field(default_factory=list)

    @functools.cached_property
    def fingerprint(self) -> str:
        """Return what all sends of one request by one account have in common.

        The caller sets a new id for each send. Contains the account, so that
        no caller can have the requests of another one refused.
        """
        incoming = self.incoming
        return hashing.digest(
            self.account,
            incoming.method,
            incoming.host,
            incoming.uri,
            incoming.body,
        )

    @property
    def may_have_run(self) -> bool:
        """Return whether a target may have started it for this router."""
        before = self.handover.attempts_sent if self.handover else 0
        return self.attempts_sent > before

    @property
    def caller(self) -> rests.Caller:
        """Return who is charged with the rests that this request causes.

        On public routes callers cannot be told apart, as several may share an
        address: there, the repetitions of one request count as one caller.
        """
        if self.account:
            return self.service, self.account
        incoming = self.incoming
        content = hash((incoming.uri, incoming.body, incoming.parts))
        return self.service, incoming.origin, content
