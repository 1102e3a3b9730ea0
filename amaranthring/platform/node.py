"""The settings file that the platform writes for each process."""

import dataclasses
import json
import os
import pathlib

from amaranthring import errors

PATH_VARIABLE = "AMARANTHRING_BOOT"
MILLISECONDS = 1e3
MEGABIT_BYTES = 1e6 / 8

# The platform hands out no secret and keeps others off these ports; the key
# only tells this fleet's streams from anything else that listens there.
FLEET_KEY = {"platform": b"amaranthring"}
METRICS_PORT = 9105


@dataclasses.dataclass(frozen=True)
class Node:
    """What a process is told of itself and of the deployment.

    Attributes
    ----------
    name : str
        Of this VM.
    data_centre : str
        The platform calls it the zone.
    ip : str
        Address of this VM.
    fleet_port : int
        For streams between our processes, the same on every VM.
    callers : str
        ``host:port`` for callers; empty if this role has none.
    health : str
        ``host:port`` of the balancer's check; empty as above.
    control : str
        ``host:port`` for targets and operators; empty as above.
    seeds : tuple of str
        IP addresses of keepers, as they were when the file was written.
    first_start : bool
        Whether the whole fleet starts for the first time.
    data_folder : str
        Empty if this VM has no disk.
    beat : float
        Seconds between two announcements of a target.
    grace : float
        Seconds from SIGTERM to SIGKILL.
    key_lease : float
        Seconds after which a withdrawn key must have stopped to work; 0 if
        that is not asked for.
    retry_ratio, retry_allowance, retry_window : float
        The budget of repeats: for each request, beside those, and the
        seconds over which both are counted.
    link_rate : float
        Bytes a second that the link of this VM carries; 0 if not told.
    """

    name: str
    data_centre: str
    ip: str
    fleet_port: int
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

    def keeper_addresses(self) -> list[str]:
        """Return the addresses of the seeds' streams."""
        return [f"{ip}:{self.fleet_port}" for ip in self.seeds]


def read(path: str | None = None) -> Node:
    """Read the settings file.

    Raises
    ------
    errors.SettingsError
        If it is missing, cut short, or lacks what a process needs.
    """
    path = path or os.environ.get(PATH_VARIABLE, "")
    if not path:
        raise errors.SettingsError(
            "no settings file", given=f"no {PATH_VARIABLE}", expected="a path"
        )
    try:
        found = json.loads(pathlib.Path(path).read_bytes())
        return decode(found)
    except OSError as error:
        raise errors.SettingsError(
            f"{path} cannot be read", given=error.strerror, expected="a file"
        ) from error
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        raise errors.SettingsError(
            f"{path} is not usable", given=repr(error), expected="settings"
        ) from error


def decode(found: dict) -> Node:
    """Return the node that the decoded file describes."""
    listen = found["listen"]
    bounds = found["bounds"]
    revoke = bounds.get("revoke_ms", 0) / MILLISECONDS
    return Node(
        name=found["node_name"],
        data_centre=found["zone"],
        ip=found["ip"],
        fleet_port=int(found["internal_ports"][0]),
        callers=listen.get("frontend", ""),
        health=listen.get("readiness", ""),
        control=listen.get("control", ""),
        seeds=tuple(seed.rpartition(":")[0] for seed in found["seeds"]),
        first_start=bool(found.get("bootstrap")),
        data_folder=found.get("data_dir") or "",
        heartbeat_seconds=found.get("heartbeat_ms", 1000) / MILLISECONDS,
        grace=float(bounds.get("grace_s", 8)),
        key_lease=revoke if bounds.get("revoke_strict") else 0.0,
        retry_ratio=float(bounds.get("retry_ratio", 0.2)),
        retry_allowance=float(bounds.get("retry_allowance", 10)),
        retry_window=float(bounds.get("retry_window_s", 10)),
        link_rate=_link_rate(found.get("limits") or {}),
    )


def _link_rate(limits: dict) -> float:
    # In megabits a second.
    return float(limits.get("link_mbps") or 0) * MEGABIT_BYTES
