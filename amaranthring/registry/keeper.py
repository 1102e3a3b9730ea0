"""A keeper process that holds the routing plan and the table of targets."""

import asyncio
import dataclasses
import pathlib
import time

from amaranthring.core import background
from amaranthring.core import intake as intakes
from amaranthring.core import links
from amaranthring.core import metrics as metrics_module
from amaranthring.core import pacing
from amaranthring.keepers import consensus
from amaranthring.keepers import disk
from amaranthring.keepers import dispatch
from amaranthring.keepers import messages as keeper_messages
from amaranthring.keepers import options as options_module
from amaranthring.keepers import plans
from amaranthring.registry import hint_file
from amaranthring.registry import hub as hubs
from amaranthring.registry import pressure
from amaranthring.registry import router_census

GROUP = "plan"
FOLDER = "keeper"
HINTS_FILE = "hints"
# In announcement intervals: a target restored from the hints file that has not
# announced itself again after this time counts as silent. One interval, plus
# three quarters for a late announcement. It may have left, and the keepers may
# have lost the notice in the power loss.
RESTORED_INTERVALS = 1.75
# A plan with hundreds of routes takes tens of kilobytes: frequent snapshots
# keep the log short, and a follower that missed a few changes still gets them
# as log entries.
SNAPSHOT_ENTRIES = 50
# A lost leader is replaced within one to two election times; until then a
# router that starts gets no plan. Four heartbeats per election time are enough
# where keepers are a millisecond apart.
HEARTBEAT_SECONDS = 0.1
ELECTION_SECONDS = 0.45
RETAINED_ENTRIES = 20


@dataclasses.dataclass
class Config:
    """Settings of a keeper.

    Attributes
    ----------
    address : str
        ``host:port`` of its links; it also names the keeper.
    seeds : list of str
        Addresses of keepers to bootstrap with or to ask for membership.
    may_bootstrap : bool
        Whether it may bootstrap a group with the seeds, as the whole fleet
        starts for the first time.
    folder : str
        For its durable state.
    announce_seconds : float
        How often targets announce themselves.
    link_rate : float
        Bytes per second that this VM's link carries; 0 if unknown.
    process_started_at : float, optional
        As in :class:`options.Options`.
    retry_window : float
        Seconds over which routers count retries.
    grace : float
        Seconds that a graceful stop may take.
    memory : float
        Bytes that the process may use; 0 if not known.
    descriptors : int
        Descriptors for connections and files; 0 if not known.
    """

    address: str
    data_centre: str
    seeds: list[str]
    may_bootstrap: bool
    folder: str
    announce_seconds: float
    link_rate: float = 0.0
    process_started_at: float | None = None
    retry_window: float = router_census.DEFAULT_WINDOW_SECONDS
    grace: float = 8.0
    memory: float = 0.0
    descriptors: int = 0


class PlanKeeper:
    """The parts of a keeper: its group, its hub and its listener.

    Parameters
    ----------
    keys : links.Keys
        For the links.
    options : options.Options, optional
        Timing of the group.
    files : disk.FileOps, optional
        System calls that write.
    """

    def __init__(
        self,
        config: Config,
        keys: links.Keys,
        metrics: metrics_module.Metrics,
        options: options_module.Options | None = None,
        files: disk.FileOps | None = None,
    ):
        self.config = config
        self.metrics = metrics
        self.intake = intakes.for_process(
            config.memory, config.descriptors, metrics.count
        )
        self.machine = plans.PlanStateMachine()
        self.handlers = links.Handlers()
        identity = links.Identity(
            config.address,
            dispatch.KEEPER_ROLE,
            config.data_centre,
            time.time_ns(),
        )
        clocks = options_module.Clocks()
        self.pacer = pacing.Pacer(
            self.handlers.sent, clocks.monotonic, config.link_rate
        )
        self.group = consensus.Group(
            GROUP,
            _member(config.address, config.data_centre),
            [_member(address) for address in self._initial_members()],
            pathlib.Path(config.folder) / FOLDER,
            self.machine,
            identity,
            keys,
            self.handlers,
            options or self.options(),
            clocks,
            files,
            metrics,
            self.pacer,
        )
        dispatch.register(self.handlers, {GROUP: self.group})
        self.hub = hubs.Hub(
            self.group,
            self.machine,
            self.handlers,
            config.announce_seconds,
            clocks.monotonic,
            self.pacer,
            config.retry_window,
        )
        remaining_intervals = hubs.SILENT_INTERVALS - RESTORED_INTERVALS
        self.hints = hint_file.HintFile(
            pathlib.Path(config.folder) / HINTS_FILE,
            self.hub.exchange,
            self.hub.table,
            self.hub.crashes,
            self.hub.streams,
            remaining_intervals * config.announce_seconds,
        )
        self.pressure_task: asyncio.Task | None = None
        self.hints_task: asyncio.Task | None = None
        self.intake_task: asyncio.Task | None = None
        self.server = links.LinkServer(
            identity,
            keys,
            self.handlers,
            self.hub.on_link,
            self.hub.on_unlink,
            self.intake,
        )

    def options(self) -> options_module.Options:
        """Return the timing of the group."""
        return options_module.Options(
            heartbeat_seconds=HEARTBEAT_SECONDS,
            election_seconds=ELECTION_SECONDS,
            snapshot_entries=SNAPSHOT_ENTRIES,
            kept_entries=RETAINED_ENTRIES,
            may_bootstrap=self._may_bootstrap(),
            auto_admit=True,
            process_started_at=self.config.process_started_at,
        )

    def _may_bootstrap(self) -> bool:
        # Only seeds bootstrap the group; other keepers join it.
        return (
            self.config.may_bootstrap
            and self.config.address in self.config.seeds
        )

    def _initial_members(self) -> list[str]:
        return sorted({*self.config.seeds, self.config.address})

    def start(self, sockets: list) -> None:
        """Accept links on the listening `sockets` and join the group."""
        self.hints.load()
        if self.config.may_bootstrap:
            self.hub.streams.learn_history("first-start")
        self.hub.streams.on_history.append(self.hints.write_soon)
        self.hub.on_departure.append(self.hints.write_soon)
        self.server.add_sockets(sockets)
        self.group.start()
        self.hub.start()
        self.hints_task = background.keep_running("hints", self.hints.run)
        self.intake_task = background.keep_running("intake", self.intake.run)
        self.pressure_task = background.keep_running(
            "pressure",
            lambda: pressure.watch(
                self.group, self.handlers, self.links, self.config.link_rate
            ),
        )

    def links(self) -> list[links.Link]:
        """Return the open links, accepted and dialled."""
        dialled = [p.dialler.link for p in self.group.peers.values()]
        return [*self.server.links, *(link for link in dialled if link)]

    def use_seeds(self, addresses: list[str]) -> None:
        """Also ask the keepers at `addresses` for membership."""
        for address in addresses:
            if address != self.config.address:
                self.group.add_peer(address, address, "")

    async def stop(self) -> None:
        """Step down and close everything."""
        self.hub.stop()
        for task in (self.hints_task, self.pressure_task, self.intake_task):
            if task is not None:
                task.cancel()
        self.hints.close()
        await self.group.stop()
        self.server.close_all()


def _member(address: str, data_centre: str = "") -> keeper_messages.Member:
    # A keeper's name is its address; nothing else about it is distributed.
    return keeper_messages.Member("", address, address, data_centre)
