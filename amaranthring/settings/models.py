"""Models of the settings: names, bounds and defaults.

The example files and ``docs/CONFIGURATION.md`` are generated from them.
"""

import typing as t

import pydantic

Seconds = t.Annotated[float, pydantic.Field(gt=0, le=86400)]
Bytes = t.Annotated[int, pydantic.Field(ge=1, le=1 << 30)]
# Names are used in headers, file names and log lines.
NAME_PATTERN = r"^[0-9A-Za-z][0-9A-Za-z_.\-]{0,63}$"
Name = t.Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
ADDRESS_PATTERN = r"^([0-9a-zA-Z_.\-]+|\[[0-9a-fA-F:]+\]):\d{1,5}$"
Address = t.Annotated[str, pydantic.Field(pattern=ADDRESS_PATTERN)]


def documented_field(default: t.Any, text: str, **bounds: t.Any) -> t.Any:
    """Return a field with its default and its line of documentation."""
    return pydantic.Field(default, description=text, **bounds)


class Section(pydantic.BaseModel):
    """Base of all sections; rejects unknown keys."""

    model_config = pydantic.ConfigDict(extra="forbid")


class ProcessSection(Section):
    """Who and where this process is."""

    name: Name = documented_field(..., "Unique name in the fleet.")
    data_centre: Name = documented_field(..., "Data centre of this VM.")
    region: str = documented_field("default", "Region of the data centre.")
    data_folder: str = documented_field(
        "",
        "Folder for durable state; required for a keeper. A router keeps "
        "its last revision there.",
    )
    memory_bytes: int = documented_field(
        192 * 1024 * 1024,
        "Memory that this process may use; a sixth of it is for requests "
        "that are being received or answered.",
        ge=32 * 1024 * 1024,
    )
    descriptors_most: int = documented_field(
        4096,
        "Descriptors that this process may open; three in five are for "
        "connections from outside. The system's own limit holds as well.",
        ge=64,
    )
    log_level: t.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = (
        documented_field("INFO", "Lowest level of log lines.")
    )
    log_format: t.Literal["text", "json"] = documented_field(
        "text", "Form of log lines."
    )


class ListenSection(Section):
    """Addresses of this process, and TLS for them."""

    callers: Address = documented_field(
        "127.0.0.1:8080", "Chats, plain services and the health check."
    )
    internal: Address = documented_field(
        "127.0.0.1:8081", "Targets, operators and figures."
    )
    fleet: Address = documented_field(
        "127.0.0.1:8082", "Streams of our own processes."
    )
    certificate_file: str = documented_field(
        "", "Certificate chain for callers; empty serves plain HTTP."
    )
    certificate_key_file: str = documented_field(
        "", "Private key of that certificate; readable by its owner only."
    )
    internal_certificate_file: str = documented_field(
        "", "Certificate chain for targets and operators."
    )
    internal_certificate_key_file: str = documented_field(
        "", "Private key of that certificate; readable by its owner only."
    )


class FleetSection(Section):
    """The other processes, and the keys shared with them."""

    routers: str = documented_field(
        "", "All routers, one 'name data_centre host:port' a line."
    )
    keepers: str = documented_field(
        "", "All keepers, one 'name data_centre host:port' a line."
    )
    group: str = documented_field("fleet", "Name of the keepers' group.")
    keys_file: str = documented_field(
        ...,
        "Keys of the fleet, one 'id hex' a line; the first signs, all are "
        "accepted.",
    )
    targets_key_file: str = documented_field(
        "", "Keys shared with targets, in the same form."
    )
    operators_file: str = documented_field(
        "", "Operators, one 'name sha256-of-token' a line."
    )
    resume_key_file: str = documented_field(
        "",
        "Keys that sign resume tokens, in the same form; empty uses those "
        "of the fleet.",
    )

    @pydantic.field_validator("routers", "keepers")
    @classmethod
    def _lines_are_well_formed(cls, text: str) -> str:
        parse_peers(text)
        return text


class CallersSection(Section):
    """Bounds towards callers."""

    header_bytes_most: Bytes = documented_field(
        16 * 1024, "Bytes of all headers."
    )
    body_bytes_most: Bytes = documented_field(
        4 * 1024 * 1024, "Bytes of a request body."
    )
    header_seconds: Seconds = documented_field(5.0, "Time for all headers.")
    body_seconds: Seconds = documented_field(20.0, "Time for the whole body.")
    idle_seconds: Seconds = documented_field(
        60.0, "Time a kept connection may be idle."
    )
    write_buffer_bytes: Bytes = documented_field(
        256 * 1024, "Bytes held for a slow reader before its target waits."
    )
    shutdown_seconds: Seconds = documented_field(
        30.0, "Time that requests in progress have at a shutdown."
    )
    health_grace_seconds: float = documented_field(
        1.0,
        "Time without a new request, after the health check has begun to "
        "fail, until the listener closes.",
        ge=0,
        le=60,
    )
    leave_seconds: Seconds = documented_field(
        10.0,
        "Time at most in which a stopping router still serves callers who "
        "come although its health check fails.",
    )


class StatsdSection(Section):
    """Where figures go."""

    host: str = documented_field("", "Host of statsd; empty sends nothing.")
    port: int = documented_field(8125, "UDP port of statsd.", ge=1, le=65535)
    prefix: str = documented_field("amaranthring", "First part of every name.")
    every_seconds: Seconds = documented_field(10.0, "Time between sendings.")


class KeeperSection(Section):
    """Timing and bounds of the durable log."""

    initial_file: str = documented_field(
        "",
        "Fleet configuration taken when the group starts with no state.",
    )
    heartbeat_seconds: Seconds = documented_field(
        0.1, "Time between a leader's heartbeats."
    )
    election_seconds: Seconds = documented_field(
        0.6, "Least time without a leader before an election."
    )
    snapshot_entries: int = documented_field(
        5000, "Entries of the log between snapshots.", ge=10, le=1_000_000
    )
    answer_bytes_most: Bytes = documented_field(
        16 * 1024, "Bytes of a stored answer of a non-idempotent call."
    )
    claim_hours: float = documented_field(
        72.0, "Hours that a settled claim is kept.", gt=0, le=24 * 365
    )
    order_seconds: Seconds = documented_field(
        60.0, "Longest time of one order to a target."
    )
    order_patience_seconds: float = documented_field(
        10.0,
        "Time for which an order must be wanted before it is given.",
        ge=0,
        le=3600,
    )
    order_listen_seconds: float = documented_field(
        35.0,
        "Time in which a new leader hears of all targets, above the 30 s of "
        "their reports.",
        ge=0,
        le=3600,
    )
    loads_at_once: int = documented_field(
        4, "Loads from the weight store at the same time.", ge=1, le=1000
    )
    loads_per_minute: int = documented_field(
        30, "Loads from the weight store in a minute.", ge=1, le=100_000
    )


class PeerAddress(pydantic.BaseModel):
    """One configured process of the fleet."""

    name: Name
    data_centre: Name
    address: Address


class Settings(pydantic.BaseModel):
    """All settings of a router or keeper."""

    model_config = pydantic.ConfigDict(extra="forbid")

    process: ProcessSection
    listen: ListenSection = ListenSection()
    fleet: FleetSection
    callers: CallersSection = CallersSection()
    statsd: StatsdSection = StatsdSection()
    keeper: KeeperSection = KeeperSection()

    def routers(self) -> list[PeerAddress]:
        """Return all configured routers, including this process."""
        return parse_peers(self.fleet.routers)

    def keepers(self) -> list[PeerAddress]:
        """Return all configured keepers."""
        return parse_peers(self.fleet.keepers)


class OperatorSection(Section):
    """How the command line reaches the fleet."""

    routers: str = documented_field(
        "http://127.0.0.1:8081",
        "Internal addresses of routers, separated by blanks; the next is "
        "tried when one does not answer.",
        min_length=1,
    )
    token_file: str = documented_field(
        ..., "File with one line 'name token', readable by its owner only."
    )
    certificate_file: str = documented_field(
        "", "Certificate authority that signs the routers' certificates."
    )
    timeout_seconds: Seconds = documented_field(10.0, "Time for one answer.")


class OperatorSettings(pydantic.BaseModel):
    """Settings of the command line."""

    model_config = pydantic.ConfigDict(extra="forbid")

    operator: OperatorSection


ROLES: dict[str, type[pydantic.BaseModel]] = {
    "router": Settings,
    "keeper": Settings,
    "operator": OperatorSettings,
}


def parse_peers(text: str) -> list[PeerAddress]:
    """Return the processes that `text` lists, one per line.

    Raises
    ------
    ValueError
        If a line is malformed or a name is listed twice.
    """
    listed: dict[str, PeerAddress] = {}
    for line in text.strip().splitlines():
        parts = line.split()
        if len(parts) != 3:
            raise ValueError(f"{line!r} is not 'name data_centre host:port'")
        name, data_centre, address = parts
        if name in listed:
            raise ValueError(f"{name!r} stands twice")
        listed[name] = PeerAddress(
            name=name, data_centre=data_centre, address=address
        )
    return list(listed.values())
