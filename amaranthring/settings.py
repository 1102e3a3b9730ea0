"""Settings of one process: INI files, validated whole at the border.

Every fault of a file is reported at once, each with file, section, key, what
was given and what was expected. Secrets come from files only.
"""

import configparser
import difflib
import os
import pathlib
import stat
import typing as t

import pydantic

from amaranthring import errors

Seconds = t.Annotated[float, pydantic.Field(gt=0, le=86400)]
Address = t.Annotated[
    str, pydantic.Field(pattern=r"^[0-9a-zA-Z_.\-\[\]:]+:\d+$")
]


class Section(pydantic.BaseModel):
    """Base of all sections: unknown keys are faults."""

    model_config = pydantic.ConfigDict(extra="forbid")


class ProcessSection(Section):
    """``[process]``: who and where this process is."""

    name: str = pydantic.Field(min_length=1, max_length=64)
    data_centre: str = pydantic.Field(min_length=1)
    region: str = "default"
    data_folder: str = ""
    log_level: t.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    log_format: t.Literal["text", "json"] = "text"


class ListenSection(Section):
    """``[listen]``: addresses of this process.

    `callers` serves chats, plain services and the balancer's health check;
    `internal` serves targets and operators; `fleet` serves our own streams.
    """

    callers: Address = "127.0.0.1:8080"
    internal: Address = "127.0.0.1:8081"
    fleet: Address = "127.0.0.1:8082"
    certificate_file: str = ""
    certificate_key_file: str = ""
    internal_certificate_file: str = ""
    internal_certificate_key_file: str = ""


class FleetSection(Section):
    """``[fleet]``: the other processes.

    `routers` and `keepers` hold one ``name data_centre host:port`` a line.
    `keys_file` and `targets_key_file` hold one ``id hex`` key a line, the
    first signs; `operators_file` one ``name sha256`` a line.
    """

    routers: str = ""
    keepers: str = ""
    group: str = "fleet"
    keys_file: str
    targets_key_file: str = ""
    operators_file: str = ""


class CallersSection(Section):
    """``[callers]``: bounds towards callers."""

    header_bytes_most: int = 16 * 1024
    body_bytes_most: int = 4 * 1024 * 1024
    header_seconds: Seconds = 5.0
    body_seconds: Seconds = 20.0
    idle_seconds: Seconds = 60.0
    write_buffer_bytes: int = 256 * 1024
    shutdown_seconds: Seconds = 30.0
    health_grace_seconds: float = pydantic.Field(1.0, ge=0, le=60)


class StatsdSection(Section):
    """``[statsd]``: where counters go; empty host sends nothing."""

    host: str = ""
    port: int = 8125
    prefix: str = "amaranthring"
    every_seconds: Seconds = 10.0


class KeeperSection(Section):
    """``[keeper]``: timing and bounds of the durable log."""

    initial_file: str = ""
    heartbeat_seconds: Seconds = 0.1
    election_seconds: Seconds = 0.6
    snapshot_entries: int = 5000
    answer_bytes_most: int = 16 * 1024
    claim_hours: float = 72.0


class PeerAddress(pydantic.BaseModel):
    """One configured process of the fleet."""

    name: str
    data_centre: str
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
        """Return every configured router, this one included."""
        return peers(self.fleet.routers)

    def keepers(self) -> list[PeerAddress]:
        """Return every configured keeper."""
        return peers(self.fleet.keepers)


def peers(text: str) -> list[PeerAddress]:
    """Return the processes named in `text`, one a line.

    Raises
    ------
    errors.SettingsError
        If a line is not ``name data_centre host:port``.
    """
    found = []
    for line in text.strip().splitlines():
        parts = line.split()
        if len(parts) != 3:
            raise errors.SettingsError(
                "a process of the fleet",
                given=line,
                expected="name data_centre host:port",
            )
        found.append(
            PeerAddress(name=parts[0], data_centre=parts[1], address=parts[2])
        )
    return found


def read(path: str) -> Settings:
    """Return the validated settings in the INI file at `path`.

    Raises
    ------
    errors.SettingsError
        With every fault of the file, one a line.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except OSError as error:
        raise errors.SettingsError(
            f"{path}: cannot be read",
            given=error.strerror,
            expected="a readable INI file",
        ) from error
    except configparser.Error as error:
        raise errors.SettingsError(
            f"{path}: not an INI file", given=str(error), expected="INI"
        ) from error
    raw = {name: dict(parser[name]) for name in parser.sections()}
    try:
        made = Settings.model_validate(raw)
    except pydantic.ValidationError as error:
        faults = [_fault(path, fault) for fault in error.errors()]
        raise errors.SettingsError("\n".join(faults)) from error
    made.routers()
    made.keepers()
    return made


def _fault(path: str, fault: t.Any) -> str:
    where = [str(part) for part in fault["loc"]]
    text = f"{path}: [{where[0]}]"
    if len(where) > 1:
        text += f" {where[1]}"
    given = "" if fault["type"] == "missing" else f" given {fault['input']!r},"
    text += f":{given} expected: {fault['msg']}"
    if fault["type"] == "extra_forbidden":
        near = difflib.get_close_matches(where[-1], _known(where), n=1)
        text += f"; nearest known: {near[0]}" if near else ""
    return text


def _known(where: list[str]) -> list[str]:
    sections = Settings.model_fields
    if len(where) == 1:
        return list(sections)
    return list(sections[where[0]].annotation.model_fields)


def secret_lines(path: str) -> dict[str, str]:
    """Return ``name value`` lines of the secret file at `path`.

    Raises
    ------
    errors.SettingsError
        If the file is missing, empty, malformed, or readable by others.
    """
    try:
        mode = os.stat(path).st_mode
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise errors.SettingsError(
            f"{path}: secret file cannot be read",
            given=error.strerror,
            expected="a file that only its owner reads",
        ) from error
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise errors.SettingsError(
            f"{path}: secret file is open to others",
            given=oct(mode & 0o777),
            expected="0o600",
        )
    found = {}
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = line.split()
        if len(parts) != 2:
            raise errors.SettingsError(
                f"{path}: malformed line",
                given="a line of other form",
                expected="name value",
            )
        found[parts[0]] = parts[1]
    if not found:
        raise errors.SettingsError(
            f"{path}: holds no secret", given="nothing", expected="name value"
        )
    return found


def keys(path: str) -> dict[str, bytes]:
    """Return keys by id from the file at `path`, in its order.

    Raises
    ------
    errors.SettingsError
        As :func:`secret_lines`, or if a key is not 32 hex digits or more.
    """
    found = {}
    for key_id, text in secret_lines(path).items():
        try:
            found[key_id] = bytes.fromhex(text)
        except ValueError:
            found[key_id] = b""
        if len(found[key_id]) < 16:
            raise errors.SettingsError(
                f"{path}: key {key_id} is too short or not hex",
                given=f"{len(text)} characters",
                expected="32 hex digits or more",
            )
    return found
