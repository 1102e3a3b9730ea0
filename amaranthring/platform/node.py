"""Settings file that the platform writes for each process."""

import dataclasses
import json
import os
import pathlib

from amaranthring import errors
from amaranthring.core import text
from amaranthring.core import validation

PATH_VARIABLE = "AMARANTHRING_BOOT"
MILLISECONDS = 1e3
MEGABIT_BYTES = 1e6 / 8
MEGABYTE = 2**20
RESERVED_DESCRIPTORS = 200

# The platform provides no secret but restricts access to these ports; the key
# only distinguishes this fleet's links from other listeners.
FLEET_KEY = {"platform": b"amaranthring"}
METRICS_PORT = 9105


@dataclasses.dataclass(frozen=True)
class Node:
    """Settings of a process and of its deployment.

    Attributes
    ----------
    name : str
        Name of this VM.
    data_centre : str
        The platform calls it the zone.
    ip : str
        Address of this VM.
    fleet_port : int
        Port for links between the fleet's processes, the same on every VM.
    peers_port : int
        Port at which routers take requests of other routers.
    callers : str
        ``host:port`` for callers; empty if this role has none.
    health : str
        ``host:port`` for the balancer's health check; empty as above.
    control : str
        ``host:port`` for targets and operators; empty as above.
    seeds : tuple of str
        IP addresses of keepers at the time when the file was written.
    first_start : bool
        Whether the whole fleet starts for the first time.
    data_folder : str
        Empty if this VM has no disk.
    heartbeat_seconds : float
        Interval between two heartbeats of a target.
    grace : float
        Seconds from SIGTERM to SIGKILL.
    key_lease : float
        Seconds after which a revoked key must be rejected; 0 if the
        deployment sets no such limit.
    retry_ratio, retry_allowance, retry_window : float
        Retry budget: retries per request, retries in addition to these, and
        the seconds over which both are counted.
    link_rate : float
        Bytes per second that the link of this VM carries; 0 if unknown.
    memory : float
        Bytes that this process may use; 0 if unknown.
    descriptors : int
        Descriptors that it may open for connections and its own files; 0 if
        unknown.
    """

    name: str
    data_centre: str
    ip: str
    fleet_port: int
    peers_port: int
    callers: str
    health: str
    control: str
    seeds: tuple[str, ...]
    first_start: bool
    data_folder: str
    heartbeat_seconds: float
    grace: float
    key_lease: float
    retry_ratio: float
    retry_allowance: float
    retry_window: float
    link_rate: float = 0.0
    memory: float = 0.0
    descriptors: int = 0

    def keeper_addresses(self) -> list[str]:
        """Return the addresses of the seeds' fleet ports."""
        return [f"{ip}:{self.fleet_port}" for ip in self.seeds]


def read(path: str | None = None) -> Node:
    """Read the settings file.

    Raises
    ------
    errors.SettingsError
        If it is missing, truncated or lacks a required setting.
    """
    path = path or os.environ.get(PATH_VARIABLE, "")
    if not path:
        raise errors.SettingsError(
            "no settings file", given=f"no {PATH_VARIABLE}", expected="a path"
        )
    try:
        data = json.loads(pathlib.Path(path).read_bytes())
        _check_text(data)
        return decode(data)
    except OSError as error:
        raise errors.SettingsError(
            f"{path} cannot be read", given=error.strerror, expected="a file"
        ) from error
    except validation.DECODING_ERRORS as error:
        raise errors.SettingsError(
            f"{path} is invalid", given=repr(error), expected="valid settings"
        ) from error


def _check_text(data: dict) -> None:
    """Check the text that this process sends to others or logs."""
    for name in ("node_name", "zone", "ip"):
        if not text.is_encodable(data[name]):
            raise ValueError(f"{name} {data[name]!r} cannot be encoded")


def decode(data: dict) -> Node:
    """Return the settings in the decoded file."""
    listen = data["listen"]
    bounds = data["bounds"]
    limits = data.get("limits") or {}
    revoke_seconds = bounds.get("revoke_ms", 0) / MILLISECONDS
    return Node(
        name=data["node_name"],
        data_centre=data["zone"],
        ip=data["ip"],
        fleet_port=int(data["internal_ports"][0]),
        peers_port=int(data["internal_ports"][-1]),
        callers=listen.get("frontend", ""),
        health=listen.get("readiness", ""),
        control=listen.get("control", ""),
        seeds=tuple(seed.rpartition(":")[0] for seed in data["seeds"]),
        first_start=bool(data.get("bootstrap")),
        data_folder=data.get("data_dir") or "",
        heartbeat_seconds=data.get("heartbeat_ms", 1000) / MILLISECONDS,
        grace=float(bounds.get("grace_s", 8)),
        key_lease=revoke_seconds if bounds.get("revoke_strict") else 0.0,
        retry_ratio=float(bounds.get("retry_ratio", 0.2)),
        retry_allowance=float(bounds.get("retry_allowance", 10)),
        retry_window=float(bounds.get("retry_window_s", 10)),
        link_rate=_link_rate(limits),
        memory=float(limits.get("memory_mb") or 0) * MEGABYTE,
        descriptors=_descriptors(limits),
    )


def _descriptors(limits: dict) -> int:
    # Some are reserved for files outside of the data folder.
    most = int(limits.get("max_fds") or 0)
    return most - min(most // 2, RESERVED_DESCRIPTORS)


def _link_rate(limits: dict) -> float:
    # Megabits per second.
    return float(limits.get("link_mbps") or 0) * MEGABIT_BYTES
