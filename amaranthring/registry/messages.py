"""Messages between routers and keepers, and between keepers, about targets."""

import dataclasses
import enum
import zlib

from amaranthring import errors
from amaranthring.core import wire

COMPRESSION_LEVEL = 1
# What a router calls itself on its links.
ROUTER_ROLE = "router"


class State(enum.StrEnum):
    """What a target says of itself; it only goes forward in this order."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


STATE_ORDER = {State.READY: 0, State.DRAINING: 1, State.GONE: 2}


@dataclasses.dataclass
class TargetRecord:
    """One start of one target, as it last announced itself.

    Attributes
    ----------
    id : str
        New with every start of the target; see :func:`start_id`.
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
        Grows with each announcement, so that a late one is told apart.
    cold_seconds : float
        How much longer it will be slow after its start.
    silent : bool
        Whether the keepers have heard nothing of it for too long.
    name : str
        What the target calls itself. It may keep that over a start; where
        nothing else is given it is the id.
    born : int
        When it started, by its own clock, in milliseconds of the Unix time;
        0 if it does not say.
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

    def __post_init__(self):
        """Name a target that has no other name by its id."""
        self.name = self.name or self.id


def incarnation_id(name: str, born: int) -> str:
    """Return the id of one start of the target `name`.

    What is known of a target (its requests, the prompts that it keeps, its
    connections) ends with its process. With an id for each start nothing
    that was believed of one is ever taken for the next, in whatever order
    word of them comes.
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
        all routers that come back at once get them from every keeper.
    """

    packed: bytes


def pack_targets(records: list[TargetRecord]) -> AllTargets:
    """Return all `records` as one compressed message."""
    body = wire.encode_value(Targets(records))
    return AllTargets(zlib.compress(body, COMPRESSION_LEVEL))


def unpack_targets(message: AllTargets) -> list[TargetRecord]:
    """Return the records in `message`.

    Raises
    ------
    errors.FrameError
        If there are none.
    """
    try:
        body = wire.decode_value(zlib.decompress(message.packed))
    except zlib.error as error:
        raise errors.FrameError(
            "all targets", given=str(error), expected="compressed records"
        ) from error
    tag = wire.tag_of(Targets)
    return wire.decode_message(tag, body).records


@wire.message("registry-heard")
class Heard:
    """Between keepers: the newest sequence heard from each target."""

    sequences: dict[str, int]


@wire.message("registry-renew")
class Renew:
    """A router asks whether its plan is still the newest.

    Attributes
    ----------
    version : int
        Of the plan that it holds.
    """

    version: int


@wire.message("registry-renewed")
class Renewed:
    """Reply to :class:`Renew`.

    Attributes
    ----------
    version : int
        Newest version that this keeper has applied.
    confirmed : bool
        Whether no higher version was acknowledged anywhere before the
        question came; only a leader with a quorum can say so.
    routers : int
        Routers that are linked to this keeper.
    keepers : list of str
        Addresses of all keepers that it knows.
    """

    version: int
    confirmed: bool
    routers: int
    keepers: list[str]


@wire.message("registry-plan-notice")
class PlanNotice:
    """A keeper has applied a plan of this version, or leads with it.

    Attributes
    ----------
    leads : bool
        Whether the keeper leads, so that it can confirm the version.
    """

    version: int
    leads: bool = True


@wire.message("registry-plan-fetch")
class FetchPlan:
    """Asks for the plan.

    Attributes
    ----------
    newest : bool
        Whether it must be the newest that was acknowledged anywhere; then
        only a leader with a quorum answers.
    held : int
        Version that the asker holds, for a delta from it; -1 for a whole
        plan.
    """

    newest: bool = False
    held: int = -1


@wire.message("registry-plan-held")
class PlanTaken:
    """A router holds `version` now and wants it from no other keeper."""

    version: int


@wire.message("registry-plan")
class PlanBody:
    """A plan; the version is -1 and the body empty before the first.

    The body is also empty if the asker holds the version already.

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
