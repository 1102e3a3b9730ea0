"""Data classes of a request and its answer while they pass through."""

import dataclasses
import typing as t

import tornado.httputil

from amaranthring.registry import messages
from amaranthring.routing import plan as plans


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """One part of a prompt that other requests may share.

    Attributes
    ----------
    tokens : int
        Length of the part.
    """

    id: str
    tokens: int


@dataclasses.dataclass
class Incoming:
    """A request as its caller sent it.

    Attributes
    ----------
    request_id : str
        The caller's own, new with each of its attempts.
    uri, path : str
        With and without the query.
    headers : HTTPHeaders
        All that are passed on.
    body : bytes
        Whole.
    arrived : float
        Monotonic seconds when its headers were read.
    patience : float
        Seconds that the caller waits; infinite if it did not say.
    key : str
        What proves the account; empty if none came.
    resume_after : str
        Number of the last event that the caller has; empty for none.
    parts : tuple of Part
        Parts of the prompt in order; the last is the request's own.
    output_tokens : int
        Most tokens that it may make.
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


@dataclasses.dataclass
class AttemptInfo:
    """What one attempt adds to the request for its target.

    Attributes
    ----------
    account : str
        Name of the account; empty if the route is public.
    seconds_left : float
        Until the caller has gone.
    resume_after : str
        Number of the last event that the caller has.
    copy_from : str
        Address of a target from which this one copies what it lacks of the
        prompt; empty if it reads all of that itself.
    """

    target: messages.TargetRecord
    account: str
    seconds_left: float
    resume_after: str = ""
    copy_from: str = ""


@dataclasses.dataclass
class Load:
    """What a target said of its load in an answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass
class ResponseHead:
    """The head of a target's answer.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : HTTPHeaders
        Those that are passed on to the caller.
    request_id : str
        Which request it answers.
    signed : bool
        Whether a target made it; only then does it reach the caller.
    refused : bool
        Whether it states that the request did not run there.
    other_target : bool
        Whether another target has the address now.
    encoded : bool
        Whether the body is not as the target made it.
    load : Load or None
        If the target told it.
    """

    status: int
    headers: tornado.httputil.HTTPHeaders
    request_id: str
    signed: bool
    refused: bool
    other_target: bool = False
    encoded: bool = False
    load: Load | None = None


@dataclasses.dataclass
class Dialect:
    """How requests and answers are written on the wire, as functions.

    Attributes
    ----------
    read_request : callable
        ``(start line, headers, arrived) -> Incoming``; raises
        ``errors.BadRequestError``.
    request_headers : callable
        ``(Incoming, Sending) -> headers`` for the target.
    read_answer : callable
        ``(status, headers) -> Answer``.
    """

    read_request: t.Callable[..., Incoming]
    request_headers: t.Callable[[Incoming, AttemptInfo], t.Mapping[str, str]]
    read_response: t.Callable[
        [int, tornado.httputil.HTTPHeaders], ResponseHead
    ]


@dataclasses.dataclass
class RequestContext:
    """What the router knows of one request on its way.

    Attributes
    ----------
    deadline : float
        Monotonic seconds at which it has its final answer.
    sent : int
        Targets that may have begun to work on it.
    tried : set of str
        Ids of targets that will not be asked again.
    refused_by : list of TargetRecord
        Targets that refused it, as long as none has taken it.
    engine : Engine or None
        What the targets of the service can do; None for a plain service.
    reading : int
        Tokens that the target asked now has to read first.
    silent_in : set of str
        Data centres whose targets left it without an answer.
    trail : list of str
        ``target:outcome`` of each attempt so far.
    copies : list of str
        ``source>target`` of each attempt whose target was to copy the
        prompt from another.
    """

    incoming: Incoming
    route: plans.Route
    account: str
    service: str
    version: int
    deadline: float
    engine: plans.Engine | None = None
    sent: int = 0
    prefill_tokens: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    refused_by: list[messages.TargetRecord] = dataclasses.field(
        default_factory=list
    )
    silent_data_centres: set[str] = dataclasses.field(default_factory=set)
    trail: list[str] = dataclasses.field(default_factory=list)
    copies: list[str] = dataclasses.field(default_factory=list)
