"""Messages about plans and targets, for routers and keepers."""

import dataclasses
import enum
import zlib

import logbook

from amaranthring import errors
from amaranthring.core import wire
from amaranthring.policy import budgets

log = logbook.Logger(__name__)

COMPRESSION_LEVEL = 1
# Role of a router in its link identity.
ROUTER_ROLE = "router"


class State(enum.StrEnum):
    """State of a target; it only advances in this order."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


STATE_ORDER = {State.READY: 0, State.DRAINING: 1, State.GONE: 2}


@dataclasses.dataclass
class TargetRecord:
    """One incarnation of a target, as it last announced itself.

    Attributes
    ----------
    id : str
        New with every start of the target; see :func:`incarnation_id`.
    service : str
        Service of the plan that it belongs to.
    address : str
        ``host:port``.
    data_centre : str
        Where it runs.
    release : str
        Version of its software.
    slots : int
        Requests that it runs at once.
    sequence : int
        Grows with each announcement, so that a late one is recognised.
    cold_seconds : float
        How much longer it stays slow after its start.
    silent : bool
        Whether the keepers have heard nothing from it for too long.
    name : str
        Name that the target gives itself, which may outlast a restart. If it
        gives none, the id.
    born : int
        When it started, by its own clock, in milliseconds of Unix time; 0 if
        unknown.
    epoch : int
        Grows over all incarnations at one address, each time that a keeper
        gives it to another one; the highest holds it. 0 in what a target
        itself announces.
    """

    id: str
    service: str
    address: str
    data_centre: str
    release: str = ""
    slots: int = 1
    state: State = State.READY
    sequence: int = 0
    cold_seconds: float = 0.0
    silent: bool = False
    name: str = ""
    born: int = 0
    epoch: int = dataclasses.field(default=0, compare=False)

    def __post_init__(self):
        """Use the id as the name of a target without one."""
        self.name = self.name or self.id


def leaves(record: TargetRecord) -> bool:
    """Return whether the target of `record` is leaving or gone."""
    return record.state is not State.READY


def incarnation_id(name: str, born: int) -> str:
    """Return the id of one incarnation of the target `name`.

    Requests, cached prompts and connections end with a target's process. With
    an id for each start, what is known of one incarnation is never attributed
    to the next, in whatever order messages arrive.
    """
    return f"{name}.{born:x}" if born else name


@wire.message("registry-targets")
class Targets:
    """Records that are new or have changed."""

    records: list[TargetRecord]


@wire.message("registry-all-targets")
class AllTargets:
    """All records, for a router or keeper that has just linked.

    Attributes
    ----------
    packed : bytes
        A :class:`Targets`, encoded and compressed: records are alike, and
        routers that reconnect together get them from every keeper.
    """

    packed: bytes


def sendable(records: list[TargetRecord]) -> list[TargetRecord]:
    """Return those of `records` that can be encoded; log the others.

    One of them must not hold back all others.
    """
    found = []
    for record in records:
        try:
            wire.encode_value(record)
            found.append(record)
        except (ValueError, OverflowError, TypeError) as error:
            log.error("target.unsendable record={!a} fault={}", record, error)
    return found


def pack_targets(records: list[TargetRecord]) -> AllTargets:
    """Return all `records` that can be sent as one compressed message."""
    try:
        body = wire.encode_value(Targets(records))
    except (ValueError, OverflowError, TypeError):
        body = wire.encode_value(Targets(sendable(records)))
    return AllTargets(zlib.compress(body, COMPRESSION_LEVEL))


def unpack_targets(message: AllTargets) -> list[TargetRecord]:
    """Return the records in `message`.

    Raises
    ------
    errors.FrameError
        If they cannot be decompressed.
    """
    try:
        body = wire.decode_value(zlib.decompress(message.packed))
    except zlib.error as error:
        raise errors.FrameError(
            "target records cannot be decompressed",
            given=str(error),
            expected="compressed records",
        ) from error
    tag = wire.tag_of(Targets)
    return wire.decode_message(tag, body).records


@wire.message("registry-heard")
class Heard:
    """Between keepers: whom the sender has heard from.

    Attributes
    ----------
    sequences : dict of str to int
        Highest sequence received from each target, if it has advanced.
    routers : list of str
        Names of the routers linked to the sender; empty in most messages.
    """

    sequences: dict[str, int]
    routers: list[str] = dataclasses.field(default_factory=list)


@wire.message("registry-spending-fetch")
class FetchSpending:
    """A keeper asks a router that stops for what it has spent."""


@wire.message("registry-spending")
class Spending:
    """What a router process has spent when it can spend no more.

    Attributes
    ----------
    window : float
        Seconds over which it counted.
    routers : int
        As in :class:`sharers.Standing`.
    confirmed_seconds : float
        How long ago a leader last confirmed its share, if it had one.
    services : dict of str to budgets.Spending
        Of each service with requests or retries in the window.
    """

    window: float
    routers: int
    confirmed_seconds: float
    services: dict[str, budgets.Spending]


@dataclasses.dataclass
class GivenSpending:
    """A record that a keeper gives to the next process, and keeps no more.

    Attributes
    ----------
    least_seconds, most_seconds : float
        Age of the record, when it was given.
    """

    record: Spending
    least_seconds: float
    most_seconds: float


@wire.message("registry-renew")
class Renew:
    """A router asks whether its plan is still the newest.

    Attributes
    ----------
    version : int
        Of the plan that it holds.
    takes : bool
        Whether it asks for what the process before it has spent.
    ends : bool
        Whether it can spend no more and the keeper is to fetch what it has
        spent; its plan is of no interest then.
    """

    version: int
    takes: bool = False
    ends: bool = False


@wire.message("registry-renewed")
class Renewed:
    """Reply to :class:`Renew`.

    Attributes
    ----------
    version : int
        Newest version that this keeper has applied.
    confirmed : bool
        Whether no higher version was acknowledged by any keeper before the
        request arrived; only a leader with a quorum can confirm that.
    routers : int
        Routers that this keeper counts: those linked to it or to another
        keeper that it hears, and those that were until recently.
    keepers : list of str
        Addresses of all keepers that it knows.
    counted_seconds : float
        For how long it has counted the sender without a break.
    spending : GivenSpending, optional
        What the process before the sender has spent, if it asked for that and
        this keeper held it.
    """

    version: int
    confirmed: bool
    routers: int
    keepers: list[str]
    counted_seconds: float = 0.0
    spending: GivenSpending | None = None


@wire.message("registry-plan-notice")
class PlanNotice:
    """A keeper has applied a plan of this version, or leads with it.

    Attributes
    ----------
    leads : bool
        Whether the keeper leads and so can confirm the version.
    """

    version: int
    leads: bool = True


@wire.message("registry-plan-fetch")
class FetchPlan:
    """Requests the plan.

    Attributes
    ----------
    newest : bool
        Whether it must be the newest that any keeper has acknowledged; then
        only a leader with a quorum answers.
    held : int
        Version that the sender holds, for a delta from it; -1 for a whole
        plan.
    """

    newest: bool = False
    held: int = -1


@wire.message("registry-plan-held")
class PlanTaken:
    """A router holds `version` and needs it from no other keeper."""

    version: int


@wire.message("registry-plan")
class PlanBody:
    """A plan; the version is -1 and the body empty before the first.

    The body is also empty if the receiver holds the version already.

    Attributes
    ----------
    body : bytes
        The document, compressed; or a delta.
    base : int
        Version to which the delta applies; -1 if the body is whole.
    """

    version: int
    body: bytes
    base: int = -1
