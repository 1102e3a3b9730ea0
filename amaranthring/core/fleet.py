"""Versioned configuration of the fleet, changed by operators.

A :class:`FleetConfig` is one revision and is applied atomically. The keepers'
state machine builds it, and every router receives it.
"""

import dataclasses


@dataclasses.dataclass
class ClassPolicy:
    """Limits of one class of traffic.

    Attributes
    ----------
    priority : int
        Lower values are served first.
    deadline_seconds : float
        Time from arrival to the first token, or to the response of a
        service.
    queue_most : int
        Limit of requests waiting at one admission owner.
    """

    priority: int = 1
    deadline_seconds: float = 30.0
    queue_most: int = 256


@dataclasses.dataclass
class AccountPolicy:
    """Limits of one client account within a preset.

    Attributes
    ----------
    weight : float
        Weight in the fair queue.
    rate_per_second : float
        Requests per second across the fleet; 0 means no limit.
    burst : float
        Requests that may exceed the rate at once.
    """

    weight: float = 1.0
    rate_per_second: float = 0.0
    burst: float = 50.0


@dataclasses.dataclass
class ServicePolicy:
    """Settings for calls to a plain service.

    Attributes
    ----------
    idempotent_methods : list of str
        HTTP methods that may be repeated.
    timeout_seconds : float
        Time limit for a complete response.
    """

    idempotent_methods: list[str] = dataclasses.field(
        default_factory=lambda: ["GET", "HEAD", "OPTIONS"]
    )
    timeout_seconds: float = 10.0


@dataclasses.dataclass
class Preset:
    """Named set of policies; exactly one preset is in force.

    Attributes
    ----------
    load_bound : float
        No engine carries more than this multiple of the mean load.
    retry_budget : float
        Retries allowed as a share of recent successes, 0 to 1.
    first_token_seconds, between_tokens_seconds : float
        Time limits after which an engine counts as failed.
    drain_seconds : float
        Time for a leaving target or router to finish its requests.
    probe_per_second : float
        Limit of probes that a router sends.
    lease_seconds : float
        Time without renewal after which a target is lost.
    classes, accounts, services : dict
        Policies by name; names without one use the defaults.
    desired_models : dict
        Model to number of replicas that should serve it.
    desired_roles : dict
        Target to role.
    """

    name: str
    load_bound: float = 1.25
    retry_budget: float = 0.1
    first_token_seconds: float = 10.0
    between_tokens_seconds: float = 5.0
    drain_seconds: float = 30.0
    probe_per_second: float = 1.0
    lease_seconds: float = 3.0
    classes: dict[str, ClassPolicy] = dataclasses.field(default_factory=dict)
    accounts: dict[str, AccountPolicy] = dataclasses.field(
        default_factory=dict
    )
    services: dict[str, ServicePolicy] = dataclasses.field(
        default_factory=dict
    )
    desired_models: dict[str, int] = dataclasses.field(default_factory=dict)
    desired_roles: dict[str, str] = dataclasses.field(default_factory=dict)

    def class_policy(self, name: str) -> ClassPolicy:
        """Return the policy of class `name`, or the defaults."""
        return self.classes.get(name) or ClassPolicy()

    def account_policy(self, name: str) -> AccountPolicy:
        """Return the policy of account `name`, or the defaults."""
        return self.accounts.get(name) or AccountPolicy()

    def service_policy(self, name: str) -> ServicePolicy:
        """Return the policy of service `name`, or the defaults."""
        return self.services.get(name) or ServicePolicy()


@dataclasses.dataclass
class Account:
    """A client account.

    Attributes
    ----------
    token_hashes : list of str
        SHA-256 of its bearer tokens; two during a token rotation.
    default_class : str
        Class of requests that name none.
    """

    name: str
    token_hashes: list[str] = dataclasses.field(default_factory=list)
    default_class: str = "interactive"


@dataclasses.dataclass
class FleetConfig:
    """One revision of the configuration.

    Attributes
    ----------
    revision : int
        Grows with every accepted change; never reused.
    in_force : str
        Name of the one preset in force.
    drained : dict
        Target to reason, for targets drained by operators.
    quarantined : dict
        Request fingerprint to its expiry, in seconds of wall time.
    """

    revision: int = 0
    in_force: str = "ordinary"
    presets: dict[str, Preset] = dataclasses.field(default_factory=dict)
    accounts: dict[str, Account] = dataclasses.field(default_factory=dict)
    drained: dict[str, str] = dataclasses.field(default_factory=dict)
    quarantined: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def preset(self) -> Preset:
        """Return the preset in force."""
        return self.presets.get(self.in_force) or Preset(self.in_force)
