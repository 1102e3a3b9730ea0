"""A keeper process, built from its settings and a state machine."""

import pathlib
import time

from amaranthring import errors
from amaranthring import settings as settings_module
from amaranthring.core import intake as intakes
from amaranthring.core import links
from amaranthring.core import metrics as metrics_module
from amaranthring.keepers import consensus
from amaranthring.keepers import disk
from amaranthring.keepers import dispatch
from amaranthring.keepers import options

GROUPS_FOLDER = "keepers"


class Keeper:
    """One keeper process: its listener and its groups.

    Parameters
    ----------
    settings : settings.Settings
        Settings of this process.
    machine : options.StateMachine
        State machine of the group named in the settings.
    clocks, files, metrics : optional
        Time sources, system calls and counters.

    Attributes
    ----------
    handlers : links.Handlers
        Message handlers, shared by all groups; more can be added before
        :meth:`start`.
    group : consensus.Group
        The group named in the settings.

    Raises
    ------
    errors.SettingsError
        If this process is not among the keepers in the settings.
    errors.StorageError
        If the data folder is not usable.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        machine: options.StateMachine,
        clocks: options.Clocks | None = None,
        files: disk.FileOps | None = None,
        metrics: metrics_module.Metrics | None = None,
    ):
        self.settings = settings
        self.metrics = metrics or metrics_module.Metrics()
        process = settings.process
        self.identity = links.Identity(
            process.name,
            dispatch.KEEPER_ROLE,
            process.data_centre,
            time.time_ns(),
        )
        self.keys = links.Keys(
            settings_module.read_keys(settings.fleet.keys_file)
        )
        self.handlers = links.Handlers()
        self.groups: dict[str, consensus.Group] = {}
        dispatch.register(self.handlers, self.groups)
        self.intake = intakes.for_process(
            process.memory_bytes,
            process.descriptors_most,
            self.metrics.count,
        )
        self.server = links.LinkServer(
            self.identity, self.keys, self.handlers, intake=self.intake
        )
        self.clocks = clocks
        self.files = files
        self.group = self.add_group(settings.fleet.group, machine)

    def add_group(self, name: str, machine) -> consensus.Group:
        """Add and return the group `name`, with its own data folder."""
        settings = self.settings
        peers = settings.keepers()
        own_peers = [p for p in peers if p.name == settings.process.name]
        if not own_peers:
            raise errors.SettingsError(
                "[fleet] keepers",
                given=", ".join(peer.name for peer in peers) or "none",
                expected=f"a list that includes {settings.process.name}",
            )
        keeper = settings.keeper
        group = consensus.Group(
            name,
            own_peers[0],
            peers,
            pathlib.Path(settings.process.data_folder) / GROUPS_FOLDER / name,
            machine,
            self.identity,
            self.keys,
            self.handlers,
            options.Options(
                keeper.heartbeat_seconds,
                keeper.election_seconds,
                keeper.snapshot_entries,
            ),
            self.clocks,
            self.files,
            self.metrics,
        )
        self.groups[name] = group
        return group

    def start(self, sockets: list) -> None:
        """Serve the listening `sockets` and start all groups."""
        self.server.add_sockets(sockets)
        for group in self.groups.values():
            group.start()

    async def stop(self) -> None:
        """Stop all groups and close all connections."""
        for group in self.groups.values():
            await group.stop()
        self.server.close_all()
