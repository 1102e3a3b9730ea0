"""Data classes of a routing plan.

A plan is one whole document under the operator's own version: routes,
services, client accounts with their keys, and bounds on what callers may
send. The highest version is in force; a plan is never changed in part.
"""

import dataclasses
import enum


class Kind(enum.StrEnum):
    """What may be done twice with the requests of a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclasses.dataclass
class Share:
    """Part of a route's requests that goes to one service.

    Attributes
    ----------
    weight : int
        Against the sum of the weights of the route.
    """

    service: str
    weight: int


@dataclasses.dataclass
class Route:
    """Where requests for a host and the paths under a prefix go.

    Attributes
    ----------
    prefix : str
        Begins and ends with a slash; the longest that fits decides.
    kind : Kind
        What may be repeated.
    timeout : float
        Seconds after which a request has its final answer.
    objective : float
        Seconds within which the answer (of a stream: its first event)
        should come.
    priority : int
        0 is the most urgent.
    shares : tuple of Share
        Services, with weights.
    attempts_most : int
        Targets to which one request may be sent.
    public : bool
        Whether no key is asked for.
    with_prompt : bool
        Whether requests name the parts of a prompt that engines cache.
    resumable : bool
        Whether a stream may go on at another target.
    pause_most : float
        Longest pause in seconds between two events of a good stream; 0 if
        the route has no streams.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    timeout: float
    objective: float
    priority: int
    shares: tuple[Share, ...]
    attempts_most: int = 1
    public: bool = False
    with_prompt: bool = False
    resumable: bool = False
    pause_most: float = 0.0

    @property
    def idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind == Kind.SAFE:
            return True
        return self.kind == Kind.STREAM and self.resumable


@dataclasses.dataclass
class Engine:
    """What the engines of a service are able to do.

    Attributes
    ----------
    slots : int
        Requests that one engine runs at once.
    kv_tokens : int
        Tokens that one engine keeps in memory.
    token_bytes : float
        Memory that one token takes; 0 if not told.
    link_rate : float
        Bytes a second between two engines; 0 if they do not copy memory
        from each other.
    """

    slots: int
    kv_tokens: int
    token_bytes: float = 0.0
    link_rate: float = 0.0

    @property
    def copy_rate(self) -> float:
        """Return how many tokens a second an engine copies from another."""
        if not self.token_bytes:
            return 0.0
        return self.link_rate / self.token_bytes


@dataclasses.dataclass
class Service:
    """A set of targets that answer the same requests.

    Attributes
    ----------
    health_path : str
        Where a target answers a health check.
    connections_most : int
        Connections that one target accepts from all callers together.
    engine : Engine or None
        None for a plain service.
    """

    name: str
    health_path: str
    connections_most: int
    engine: Engine | None = None


@dataclasses.dataclass
class Account:
    """A client account.

    Attributes
    ----------
    keys : tuple of str
        Any of them proves the account.
    priority : int or None
        Goes before the priority of the route.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclasses.dataclass
class Bounds:
    """What a caller may send, and how long it may take or stay idle.

    Attributes
    ----------
    header_seconds : float
        For all headers of a request.
    idle_seconds : float
        Between two requests of a connection.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass
class Plan:
    """One whole document.

    Attributes
    ----------
    version : int
        The operator's own number; the highest is in force.
    accounts : tuple of Account
        Empty if callers need no key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()
    bounds: Bounds = dataclasses.field(default_factory=Bounds)
