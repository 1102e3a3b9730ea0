"""Messages to the keepers: log commands, queries and their results.

Commands change the replicated state and go through the log. Operator
commands carry a command id, which makes resends idempotent, and the revision
that the operator last saw. The class variable ``repeatable`` marks commands
that are idempotent, so that the router's client may retry them.
"""

import dataclasses
import enum
import typing as t

from amaranthring.core import fleet
from amaranthring.core import records
from amaranthring.core import wire


@dataclasses.dataclass(kw_only=True)
class OperatorCommand:
    """Common fields of all operator commands.

    Attributes
    ----------
    command_id : str
        Idempotency key; a resend with the same id gets the first answer.
    operator : str
        Name of the operator.
    if_match : int
        Configuration revision that the operator last saw.
    """

    repeatable: t.ClassVar[bool] = True

    command_id: str
    operator: str
    if_match: int


@wire.message("bootstrap")
class Bootstrap:
    """Set the initial configuration; ignored unless the state is empty."""

    repeatable: t.ClassVar[bool] = True

    in_force: str
    presets: list[fleet.Preset]
    accounts: list[fleet.Account]


@wire.message("preset-put")
class PutPreset(OperatorCommand):
    """Create a preset or replace its content."""

    preset: fleet.Preset


@wire.message("preset-switch")
class SwitchPreset(OperatorCommand):
    """Make `name` the preset in force."""

    name: str


@wire.message("preset-remove")
class RemovePreset(OperatorCommand):
    """Remove a preset that is not in force."""

    name: str


@wire.message("preset-restore")
class RestorePresets(OperatorCommand):
    """Restore presets to their content at `revision`, as a new revision.

    Restores only the preset `name` if given, else all presets and the choice
    of the one in force. Accounts and drains are not restored, so that a
    replaced token does not become valid again.
    """

    revision: int
    name: str = ""


@wire.message("account-put")
class PutAccount(OperatorCommand):
    """Create a client account or replace its content."""

    account: fleet.Account


@wire.message("account-remove")
class RemoveAccount(OperatorCommand):
    """Remove a client account."""

    name: str


@wire.message("target-drain")
class DrainTarget(OperatorCommand):
    """Stop sending new requests to `target`."""

    target: str
    reason: str = ""


@wire.message("target-undrain")
class UndrainTarget(OperatorCommand):
    """Resume sending requests to `target`."""

    target: str


@wire.message("quarantine-add")
class AddQuarantine:
    """Reject requests with `fingerprint` for `seconds`."""

    repeatable: t.ClassVar[bool] = True

    fingerprint: str
    seconds: float


@wire.message("quarantine-lift")
class LiftQuarantine(OperatorCommand):
    """Remove `fingerprint` from the quarantine list."""

    fingerprint: str


@wire.message("accepted")
class Accepted:
    """Result of an accepted configuration change."""

    revision: int
    in_force: str


@wire.message("claim")
class Claim:
    """Claim the right to run a non-idempotent call once.

    Attributes
    ----------
    account, key : str
        Client account and idempotency key of the call.
    body_digest : str
        Digest of the request body, 32 hex digits; must match on a resend.
    attempt : str
        Globally unique id of this attempt.
    target : str
        Target to which the attempt will send the call.
    hold_seconds : float
        Time after which an unsettled claim counts as unknown.
    """

    repeatable: t.ClassVar[bool] = True

    account: str
    key: str
    body_digest: str
    attempt: str
    target: str
    hold_seconds: float


@wire.message("settle")
class Settle:
    """Record the outcome of a claim; only its holder may do so.

    `outcome` is ``not-run``, ``ran`` or ``unknown``.
    """

    repeatable: t.ClassVar[bool] = True

    account: str
    key: str
    attempt: str
    outcome: str
    answer: records.StoredAnswer | None = None


@wire.message("claim-result")
class ClaimResult:
    """State of a claim after the command was applied."""

    claim: records.Claim


# -- queries (read-only) -----------------------------------------------------


@wire.message("config-since")
class ConfigSince:
    """Request the configuration parts that changed after `revision`.

    Long poll: the reply is held back for up to `wait_seconds` until there is
    a higher revision.
    """

    revision: int
    wait_seconds: float = 0.0


@wire.message("confirmed")
class RouterRevisions:
    """Configuration revisions of the routers in one data centre.

    Attributes
    ----------
    data_centre : str
        Data centre of the routers.
    routers : dict
        Revision of each router.
    ages : dict
        Seconds since each router last reported.
    """

    data_centre: str
    routers: dict[str, int]
    ages: dict[str, float]


@wire.message("state-query")
class StateQuery:
    """Request the view of the state named by `what`.

    Views are ``status``, ``config``, ``history``, ``quarantine`` and
    ``orders``; `name` filters the views that support it.
    """

    what: str
    name: str = ""


@wire.message("state-view")
class StateView:
    """Reply to a :class:`StateQuery`, as plain data."""

    view: t.Any


# -- orders to targets -------------------------------------------------------


class OrderKind(enum.StrEnum):
    """Kind of an order to a target."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class OrderState(enum.StrEnum):
    """State of an order."""

    OPEN = "open"
    DONE = "done"
    FAILED = "failed"
    SUPERSEDED = "superseded"


@wire.message("order-begin")
class BeginOrder:
    """Record an order in the log before it is sent.

    Attributes
    ----------
    target, incarnation : str, int
        Target that receives the order.
    kind : OrderKind
        Kind of the order.
    wanted : str
        ``MODEL[@VERSION][+ADAPTER]``, or the role.
    supersedes : int
        Fencing number of the target's open order, or 0 if there is none.
    loads_at_once, loads_per_minute : int
        Concurrency and rate limit of loads from the weight store.
    """

    target: str
    incarnation: int
    kind: OrderKind
    wanted: str
    supersedes: int = 0
    loads_at_once: int = 4
    loads_per_minute: int = 30


@wire.message("order-begun")
class OrderBegun:
    """Fencing number with which the order may now be sent."""

    fencing: int


@wire.message("order-end")
class EndOrder:
    """Record the result of an order.

    Attributes
    ----------
    fencing : int
        Fencing number of the order.
    done : bool
        Whether the target completed the order.
    detail : str
        Message of the target, or the connection error.
    quiet_seconds : float
        Time for which the target gets no orders, as it may still be
        executing this one, or has asked for rest; 0 for none.
    seen : int
        Higher fencing number that the target reported, or 0.
    """

    fencing: int
    done: bool
    detail: str = ""
    quiet_seconds: float = 0.0
    seen: int = 0


@wire.message("order-ended")
class OrderEnded:
    """Result of :class:`EndOrder`."""

    state: OrderState


@wire.message("targets-seen")
class ReadyTargets:
    """All ready targets of one data centre, as reported by a router there."""

    data_centre: str
    targets: list[records.Target]
