"""Messages to the keepers: commands of the log, queries and results.

A command changes the state and goes through the log. Commands of operators
carry an id, under which a resend gets the first answer, and the revision
that the operator saw. A command whose repeat is harmless says so with the
class variable ``repeatable``; the router's client then repeats it by itself.
"""

import dataclasses
import enum
import typing as t

from amaranthring.core import fleet
from amaranthring.core import records
from amaranthring.core import wire


@dataclasses.dataclass(kw_only=True)
class OperatorCommand:
    """What every command of an operator carries.

    Attributes
    ----------
    command_id : str
        A resend under the same id gets the first answer.
    operator : str
        Who sent it.
    if_match : int
        Revision that the operator saw.
    """

    repeatable: t.ClassVar[bool] = True

    command_id: str
    operator: str
    if_match: int


@wire.message("bootstrap")
class Bootstrap:
    """First configuration; applied only to an empty state."""

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
    """Put the preset `name` in force."""

    name: str


@wire.message("preset-remove")
class RemovePreset(OperatorCommand):
    """Remove a preset that is not in force."""

    name: str


@wire.message("preset-restore")
class RestorePresets(OperatorCommand):
    """Take what the presets held at `revision` again, as a new revision.

    With `name` only that preset, else all of them and which is in force.
    Accounts and drains stay: a changed token must not come back.
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
    """Give `target` no new work."""

    target: str
    reason: str = ""


@wire.message("target-undrain")
class UndrainTarget(OperatorCommand):
    """Give `target` work again."""

    target: str


@wire.message("quarantine-add")
class AddQuarantine:
    """Refuse the request with `fingerprint` for `seconds`."""

    repeatable: t.ClassVar[bool] = True

    fingerprint: str
    seconds: float


@wire.message("quarantine-lift")
class LiftQuarantine(OperatorCommand):
    """Take `fingerprint` off the quarantine list."""

    fingerprint: str


@wire.message("accepted")
class Accepted:
    """Answer to a change of the configuration."""

    revision: int
    in_force: str


@wire.message("claim")
class Claim:
    """Claim the right to run a non-idempotent call once.

    Attributes
    ----------
    account, key : str
        Client account and its idempotency key.
    body_digest : str
        32 hex digits; a resend must have the same.
    attempt : str
        Names this attempt among all, ever.
    target : str
        Where the attempt will send the call.
    hold_seconds : float
        After this time without a settlement the call counts as unknown.
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
    """State what became of a claim; only its holder may.

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
    """What the ledger says of a claim after the command."""

    claim: records.Claim


# -- queries: they change nothing ------------------------------------------


@wire.message("config-since")
class ConfigSince:
    """Ask for the parts that changed after `revision`.

    The answer waits up to `wait_seconds` for a higher revision.
    """

    revision: int
    wait_seconds: float = 0.0


@wire.message("confirmed")
class RouterRevisions:
    """Revisions of the routers of one data centre.

    Attributes
    ----------
    data_centre : str
        Their data centre.
    routers : dict
        Router to its revision.
    ages : dict
        Router to the seconds since it was heard.
    """

    data_centre: str
    routers: dict[str, int]
    ages: dict[str, float]


@wire.message("state-query")
class StateQuery:
    """Ask for one view of the state: ``what`` names it.

    Views are ``status``, ``config``, ``history``, ``quarantine`` and
    ``orders``; `name` narrows it where that makes sense.
    """

    what: str
    name: str = ""


@wire.message("state-view")
class StateView:
    """Plain data that answers a :class:`StateQuery`."""

    view: t.Any


# -- orders to targets -------------------------------------------------------


class OrderKind(enum.StrEnum):
    """What a target is ordered to do."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class OrderState(enum.StrEnum):
    """How far an order is."""

    OPEN = "open"
    DONE = "done"
    FAILED = "failed"
    SUPERSEDED = "superseded"


@wire.message("order-begin")
class BeginOrder:
    """Take an order down before it is sent.

    Attributes
    ----------
    target, incarnation : str, int
        Whom the order is for.
    kind : OrderKind
        What it is to do.
    wanted : str
        ``MODEL[@VERSION][+ADAPTER]``, or the role.
    supersedes : int
        Number of the order that is still open for this target, or 0.
    loads_at_once, loads_per_minute : int
        Limits of the weight store.
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
    """The order may be sent under this fencing number."""

    fencing: int


@wire.message("order-end")
class EndOrder:
    """Take down how an order ended.

    Attributes
    ----------
    fencing : int
        Number of the order.
    done : bool
        Whether the target did it.
    detail : str
        What the target or the connection said.
    quiet_seconds : float
        Time for which the target may still be at it; 0 if it surely ended.
    seen : int
        Higher fencing number that the target named, or 0.
    """

    fencing: int
    done: bool
    detail: str = ""
    quiet_seconds: float = 0.0
    seen: int = 0


@wire.message("order-ended")
class OrderEnded:
    """Answer to :class:`EndOrder`."""

    state: OrderState


@wire.message("targets-seen")
class ReadyTargets:
    """All ready targets of one data centre, as a router of it sees them."""

    data_centre: str
    targets: list[records.Target]
