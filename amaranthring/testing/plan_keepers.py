"""Plan keepers and their subscribers, in one process."""

import asyncio
import errno
import functools
import itertools
import os
import pathlib
import shutil
import socket
import threading
import typing as t

import tornado.netutil

from amaranthring import errors
from amaranthring.core import clocks
from amaranthring.core import links
from amaranthring.core import metrics
from amaranthring.keepers import disk
from amaranthring.keepers import options
from amaranthring.registry import keeper as keepers
from amaranthring.registry import messages
from amaranthring.registry import sharers
from amaranthring.registry import subscriber

KEYS = links.Keys({"test": b"key"})
POLL_SECONDS = 0.02
HEARTBEAT_SECONDS = 0.3
RETRY_WINDOW_SECONDS = 10.0


class PlanKeepers:
    """A few keepers, each with a folder below `folder`.

    Attributes
    ----------
    running : dict of str to PlanKeeper
        Running keepers by address.
    full_disks : set of str
        Addresses of keepers whose writes fail with ENOSPC.
    crashed : dict of str to threading.Event
        Set once the last process at an address may write no more.
    sync_seconds : callable
        Returns how long a sync of the keeper at an address takes beyond what
        the machine needs; called in the disk threads.
    heartbeat_seconds, election_seconds : float
    snapshot_entries, kept_entries : int
    auto_admit : bool
        As in :class:`options.Options`, for keepers that start.
    retry_window : float
        Seconds over which routers count retries, for keepers that start.
    """

    def __init__(self, folder: str, count: int = 3):
        self.folder = pathlib.Path(folder)
        self.numbers = itertools.count()
        self.sockets: dict[str, list] = {}
        self.seeds = [self.new_address() for _ in range(count)]
        self.running: dict[str, keepers.PlanKeeper] = {}
        self.full_disks: set[str] = set()
        self.crashed: dict[str, threading.Event] = {}
        self.sync_seconds: t.Callable[[str], float] = lambda _: 0.0
        self.heartbeat_seconds = 0.03
        self.election_seconds = 0.2
        self.snapshot_entries = 5
        self.kept_entries = 2
        self.retry_window = RETRY_WINDOW_SECONDS
        self.auto_admit = True

    def new_address(self) -> str:
        """Bind a free port; return its address."""
        sockets = tornado.netutil.bind_sockets(
            0, "127.0.0.1", family=socket.AF_INET
        )
        host, port = sockets[0].getsockname()
        address = f"{host}:{port}"
        self.sockets[address] = sockets
        return address

    def start(self, address: str, first: bool = False) -> keepers.PlanKeeper:
        """Start the keeper at `address`; its folder may hold state."""
        config = keepers.Config(
            address,
            "here",
            list(self.seeds),
            first,
            str(self.folder / address.replace(":", "-")),
            HEARTBEAT_SECONDS,
            retry_window=self.retry_window,
        )
        timing = options.Options(
            heartbeat_seconds=self.heartbeat_seconds,
            election_seconds=self.election_seconds,
            snapshot_entries=self.snapshot_entries,
            kept_entries=self.kept_entries,
            may_bootstrap=first and address in self.seeds,
            auto_admit=self.auto_admit,
            replace_seconds=0.5,
        )
        crashed = self.crashed[address] = threading.Event()
        files = disk.FileOps(
            write=functools.partial(self._write, address, crashed),
            sync=functools.partial(self._sync, address, crashed),
            replace=functools.partial(_replace, crashed),
        )
        keeper = keepers.PlanKeeper(
            config, KEYS, metrics.Metrics(), timing, files
        )
        keeper.start(self.sockets.pop(address, None) or _bind(address))
        self.running[address] = keeper
        return keeper

    def _write(self, address: str, crashed, fd: int, data: bytes) -> int:
        _require_running(crashed)
        if address in self.full_disks:
            raise OSError(errno.ENOSPC, "No space left on device")
        return os.write(fd, data)

    def _sync(self, address: str, crashed, fd: int) -> None:
        crashed.wait(self.sync_seconds(address))
        _require_running(crashed)
        os.fdatasync(fd)

    def use_product_timing(self) -> None:
        """Give keepers that start the product's own timing."""
        self.heartbeat_seconds = keepers.HEARTBEAT_SECONDS
        self.election_seconds = keepers.ELECTION_SECONDS

    def start_all(self) -> None:
        """Start all seeds for the first time."""
        for address in self.seeds:
            self.start(address, first=True)

    async def stop(self, address: str) -> None:
        """Stop the keeper at `address`."""
        await self.running.pop(address).stop()

    async def crash(self, address: str) -> None:
        """Stop the keeper at `address` in the middle of what it writes."""
        self.crashed[address].set()
        await self.stop(address)

    async def stop_all(self) -> None:
        """Stop every keeper that runs."""
        for address in list(self.running):
            await self.stop(address)

    def wipe(self, address: str) -> None:
        """Delete the folder of a stopped keeper."""
        shutil.rmtree(self.folder / address.replace(":", "-"))

    def leader(self) -> keepers.PlanKeeper | None:
        """Return the leader, if there is one."""
        for keeper in self.running.values():
            if keeper.group.has_lease() and keeper.group.leadership_announced:
                return keeper
        return None

    def voters(self) -> set[str]:
        """Return the addresses of the voters as the leader knows them."""
        leader = self.leader()
        members = leader.group.members.voters if leader else []
        return {member.name for member in members}

    async def put(self, version: int, document: bytes, at: str = "") -> int:
        """Put a plan in force, with retries."""
        return await retry(lambda: self._keeper(at).hub.put(version, document))

    async def read(self, at: str = "") -> t.Any:
        """Read the newest plan, with retries."""
        return await retry(lambda: self._keeper(at).hub.read())

    def _keeper(self, at: str) -> keepers.PlanKeeper:
        return self.running[at] if at else next(iter(self.running.values()))


def _require_running(crashed: threading.Event) -> None:
    if crashed.is_set():
        raise OSError(errno.EIO, "The process has ended")


def _replace(crashed: threading.Event, source, target) -> None:
    _require_running(crashed)
    os.replace(source, target)


def _bind(address: str) -> list:
    host, port = address.rsplit(":", 1)
    return tornado.netutil.bind_sockets(int(port), host)


def make_subscriber(
    name: str,
    seeds: list[str],
    plans: list[bytes],
    retry_window: float = RETRY_WINDOW_SECONDS,
    first_start: bool = True,
) -> subscriber.Subscriber:
    """Return a router's subscriber that adds each plan to `plans`."""
    identity = links.Identity(name, messages.ROUTER_ROLE, "here", 1)
    shared = make_sharers(retry_window, first_start)
    new_subscriber = subscriber.Subscriber(
        identity, KEYS, plans.append, shared
    )
    new_subscriber.use_seeds(seeds)
    return new_subscriber


def make_sharers(
    retry_window: float = RETRY_WINDOW_SECONDS, first_start: bool = True
) -> sharers.Sharers:
    """Return what a router knows of the number of routers: nothing yet."""
    return sharers.Sharers(
        retry_window,
        first_start,
        subscriber.CUT_OFF_SECONDS,
        clocks.boottime,
    )


async def retry(call: t.Callable, seconds: float = 10.0) -> t.Any:
    """Return what `call` returns, retried on transient errors."""
    async with asyncio.timeout(seconds):
        while True:
            try:
                return await call()
            except (errors.RefusedError, errors.LinkError):
                await asyncio.sleep(POLL_SECONDS)
            except errors.CommitUnknownError:
                await asyncio.sleep(POLL_SECONDS)


async def wait_until(condition: t.Callable[[], t.Any], seconds: float = 10.0):
    """Return what `condition` returns once that is true."""
    async with asyncio.timeout(seconds):
        while not (result := condition()):  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)
        return result
