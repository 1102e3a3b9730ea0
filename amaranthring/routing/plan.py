"""Data classes of a routing plan.

A plan is one document with a version number set by the operator: routes,
services, client accounts with their keys, and limits on requests. The
highest version is active. Plans are only replaced as a whole.
"""

import dataclasses
import enum
import typing as t


class Place(t.NamedTuple):
    """What the requests of a route have in common.

    Attributes
    ----------
    host : str
        As :func:`fold_host` returns it.
    prefix : str
        Of the path.
    """

    host: str
    prefix: str

    def __str__(self) -> str:
        return f"{self.host}{self.prefix}"


def fold_host(host: str) -> str:
    """Return the form of `host` that all its spellings have in common."""
    return host.lower()


def place_of(host: str, prefix: str) -> Place:
    """Return the place at `host`, in any spelling, and `prefix`."""
    return Place(fold_host(host), prefix)


class Kind(enum.StrEnum):
    """Whether requests of a route may be run more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclasses.dataclass
class Share:
    """Share of a route's requests that goes to one service.

    Attributes
    ----------
    weight : int
        Relative to the sum of the weights of the route.
    """

    service: str
    weight: int


@dataclasses.dataclass
class Route:
    """Destination of requests for a host and a path prefix.

    Attributes
    ----------
    host : str
        As the operator spells it.
    prefix : str
        Begins and ends with a slash; the longest match wins.
    kind : Kind
        Whether requests may be retried.
    timeout : float
        Seconds within which a request gets its final response.
    objective : float
        Seconds within which the response, or the first event of a stream,
        should arrive.
    priority : int
        0 is the most urgent.
    shares : tuple of Share
        Services with their weights.
    attempts_most : int
        Maximum number of targets that one request is sent to.
    public : bool
        Whether requests need no key.
    with_prompt : bool
        Whether requests list the parts of a prompt that engines cache.
    resumable : bool
        Whether a stream may be resumed at another target.
    pause_most : float
        Longest pause in seconds between two events of a healthy stream; 0
        if the route has no streams.
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
    def place(self) -> Place:
        """Return what no two routes of a plan may share."""
        return place_of(self.host, self.prefix)

    def leads_to(self, service: str) -> bool:
        """Return whether requests of the route may go to `service`."""
        return any(share.service == service for share in self.shares)

    @property
    def idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind == Kind.SAFE:
            return True
        return self.kind == Kind.STREAM and self.resumable


@dataclasses.dataclass
class Engine:
    """Capabilities of the engines of a service.

    Attributes
    ----------
    slots : int
        Requests that one engine runs concurrently.
    kv_tokens : int
        Capacity of an engine's KV cache in tokens.
    token_bytes : float
        KV cache bytes per token; 0 if unknown.
    link_rate : float
        Bytes per second between two engines; 0 if they cannot copy cached
        tokens from each other.
    """

    slots: int
    kv_tokens: int
    token_bytes: float = 0.0
    link_rate: float = 0.0

    @property
    def copy_rate(self) -> float:
        """Return the tokens per second that an engine copies from another."""
        if not self.token_bytes:
            return 0.0
        return self.link_rate / self.token_bytes


@dataclasses.dataclass
class Service:
    """A set of interchangeable targets.

    Attributes
    ----------
    health_path : str
        Path of a target's health check.
    connections_most : int
        Maximum number of connections that one target accepts.
    engine : Engine or None
        None for a service without engines.
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
        Any of them authenticates the account.
    priority : int or None
        Overrides the priority of the route.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclasses.dataclass
class Bounds:
    """Limits on the size and duration of requests and on idle connections.

    Attributes
    ----------
    header_seconds : float
        Time to receive all headers of a request.
    idle_seconds : float
        Time between two requests of a connection.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass
class Plan:
    """A complete routing plan.

    Attributes
    ----------
    version : int
        Set by the operator; the highest version is active.
    accounts : tuple of Account, optional
        None if callers need no key; if empty, no key is valid.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] | None = None
    bounds: Bounds = dataclasses.field(default_factory=Bounds)
