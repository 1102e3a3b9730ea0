"""A keeper process that holds the routing plan and the table of targets."""

import asyncio
import dataclasses
import pathlib
import time

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

GROUP = "plan"
FOLDER = "keeper"
HINTS = "hints"
# A target that a keeper knows from before its start, and that has not
# announced itself again after so many beats, counts as silent: one beat, and
# three quarters of one for a late one. It may have left meanwhile, and the
# word of it may have been lost with the power.
RESTORED_INTERVALS = 1.75
# A plan with hundreds of routes takes some tens of kilobytes: snapshots
# keep the log short, and a follower that missed a few changes still gets
# them one by one.
SNAPSHOT_ENTRIES = 50
# A leader that is lost is replaced within one to two of these, and without a
# leader no router that starts gets its plan. Four heartbeats are enough where
# keepers are a millisecond apart.
HEARTBEAT_SECONDS = 0.1
ELECTION_SECONDS = 0.45
KEPT_ENTRIES = 20


@dataclasses.dataclass
class Config:
    """Where and as whom a keeper runs.

    Attributes
    ----------
    address : str
        ``host:port`` of its streams; it also names the keeper.
    seeds : list of str
        Addresses of keepers to begin with or to ask to be taken in.
    may_bootstrap : bool
        Whether it may begin a group with the seeds.
    folder : str
        For its durable state.
    beat_seconds : float
        How often targets announce themselves.
    link_rate : float
        Bytes a second that this VM's link carries; 0 if not told.
    process_started_at : float, optional
        As in :class:`options.Options`.
    """

    address: str
    data_centre: str
    seeds: list[str]
    may_bootstrap: bool
    folder: str
    announce_seconds: float
    link_rate: float = 0.0
    process_started_at: float | None = None


class PlanKeeper:
    """The parts of a keeper: its group, its hub and its listener.

    Parameters
    ----------
    keys : links.Keys
        For the streams.
    options : options.Options, optional
        Timing of the group.
    files : disk.Files, optional
        System calls that write.
    """

    def __init__(
        self,
        place: Config,
        keys: links.Keys,
        metrics: metrics_module.Metrics,
        options: options_module.Options | None = None,
        files: disk.FileOps | None = None,
    ):
        self.config = place
        self.metrics = metrics
        self.machine = plans.PlanStateMachine()
        self.handlers = links.Handlers()
        identity = links.Identity(
            place.address,
            dispatch.KEEPER_ROLE,
            place.data_centre,
            time.time_ns(),
        )
        clocks = options_module.Clocks()
        self.pacer = pacing.Pacer(
            self.handlers.sent, clocks.monotonic, place.link_rate
        )
        self.group = consensus.Group(
            GROUP,
            _member(place.address, place.data_centre),
            [_member(address) for address in self._everyone()],
            pathlib.Path(place.folder) / FOLDER,
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
            place.announce_seconds,
            clocks.monotonic,
            self.pacer,
        )
        unheard = hubs.SILENT_INTERVALS - RESTORED_INTERVALS
        self.hints = hint_file.HintFile(
            pathlib.Path(place.folder) / HINTS,
            self.hub.exchange,
            self.hub.table,
            unheard * place.announce_seconds,
        )
        self.watching: asyncio.Task | None = None
        self.writing: asyncio.Task | None = None
        self.server = links.LinkServer(
            identity,
            keys,
            self.handlers,
            self.hub.on_link,
            self.hub.on_unlink,
        )

    def options(self) -> options_module.Options:
        """Return the timing of the group."""
        return options_module.Options(
            heartbeat_seconds=HEARTBEAT_SECONDS,
            election_seconds=ELECTION_SECONDS,
            snapshot_entries=SNAPSHOT_ENTRIES,
            kept_entries=KEPT_ENTRIES,
            may_bootstrap=self._may_bootstrap(),
            auto_admit=True,
            process_started_at=self.config.process_started_at,
        )

    def _may_bootstrap(self) -> bool:
        # With more keepers than seeds, the others join what the seeds begin.
        return (
            self.config.may_bootstrap
            and self.config.address in self.config.seeds
        )

    def _everyone(self) -> list[str]:
        return sorted({*self.config.seeds, self.config.address})

    def start(self, sockets: list) -> None:
        """Serve streams on the listening `sockets`, and take part."""
        self.hints.load()
        self.server.add_sockets(sockets)
        self.group.start()
        self.hub.start()
        self.writing = asyncio.ensure_future(self.hints.run())
        self.watching = asyncio.ensure_future(
            pressure.watch(
                self.group, self.handlers, self.links, self.config.link_rate
            )
        )

    def links(self) -> list[links.Link]:
        """Return the links that stand, accepted and dialled."""
        dialled = [p.dialler.link for p in self.group.peers.values()]
        return [*self.server.links, *(link for link in dialled if link)]

    def use_seeds(self, addresses: list[str]) -> None:
        """Also ask the keepers at `addresses` to be taken in."""
        for address in addresses:
            if address != self.config.address:
                self.group.add_peer(address, address, "")

    async def stop(self) -> None:
        """Step down and close everything."""
        self.hub.stop()
        for task in (self.writing, self.watching):
            if task is not None:
                task.cancel()
        self.hints.close()
        await self.group.stop()
        self.server.close_all()


def _member(address: str, data_centre: str = "") -> keeper_messages.Member:
    # A keeper is named by its address, which is all that others are told.
    return keeper_messages.Member("", address, address, data_centre)
