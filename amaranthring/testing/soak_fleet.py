"""Keeper and router processes of a soak, their disks, links and power."""

import asyncio
import collections
import json
import pathlib
import random
import shutil
import signal

from amaranthring.registry import keeper as keepers
from amaranthring.testing import local_fleet
from amaranthring.testing import slow_disks
from amaranthring.testing import tcp_relay

MODULE = "amaranthring.testing.disk_keeper"
ROUTERS = "routers"
GRACE_SECONDS = 8.0


class Fleet:
    """A group of keepers and processes of routers.

    Parameters
    ----------
    folder : path
        For settings, data and logs.
    keepers_count : int
        Number of keepers, named k1, k2, ...
    router_groups : list of int
        Number of routers in each router process.
    folders : bool
        As in :class:`slow_disks.Mode`.

    Attributes
    ----------
    disks : Counter
        Number of disks that each keeper has lost.
    busy : set of str
        Keepers that a fault concerns; others leave them alone.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        keepers_count: int,
        router_groups: list[int],
        folders: bool,
    ):
        self.folder = folder
        self.logs = folder / "logs"
        self.logs.mkdir()
        self.folders = folders
        self.names = [f"k{number + 1}" for number in range(keepers_count)]
        ports = iter(local_fleet.free_ports(3 * keepers_count))
        self.ports = {
            name: [f"127.0.0.1:{next(ports)}" for _ in range(3)]
            for name in self.names
        }
        self.router_groups = {
            f"r{number}": [f"r{number}-{each}" for each in range(count)]
            for number, count in enumerate(router_groups)
        }
        self.processes: dict[str, local_fleet.Process] = {}
        self.starts: collections.Counter = collections.Counter()
        self.disks: collections.Counter = collections.Counter()
        self.busy: set[str] = set()
        self.relays: dict[tuple[str, str], tcp_relay.Relay] = {}

    @property
    def controls(self) -> list[str]:
        """Return the addresses at which operators call the keepers."""
        return [self.ports[name][1] for name in self.names]

    async def start(self) -> None:
        """Start relays, keepers and routers."""
        for source in [*self.names, ROUTERS]:
            for target in self.names:
                if source != target:
                    relay = tcp_relay.Relay(self.ports[target][0])
                    await relay.start()
                    self.relays[source, target] = relay
        for name in self.names:
            (self.folder / name / "durable").mkdir(parents=True)
        self.set_disks(self.names, slow_disks.Mode())
        for name in self.names:
            self.start_keeper(name, first=True)
        for name in self.router_groups:
            self.start_router(name)

    async def stop(self) -> None:
        """Kill all processes and stop the relays."""
        for process in self.processes.values():
            process.kill()
        for relay in self.relays.values():
            await relay.stop()

    def start_keeper(self, name: str, first: bool = False) -> None:
        """Start a keeper; its folder may hold state."""
        folder = self.folder / name
        address, control, metrics = self.ports[name]
        self._start(
            name,
            f"{name}-{self.disks[name]}",
            role="keeper",
            address=address,
            data_centre=f"dc-{name}",
            first=first,
            folder=str(folder / "data"),
            disk=str(folder / "mode"),
            durable=str(folder / "durable"),
            control=control,
            metrics=metrics,
        )

    def start_router(self, name: str) -> None:
        """Start a process of routers."""
        self._start(name, name, role="router", names=self.router_groups[name])

    def _start(self, name: str, source: str, **options) -> None:
        group = name if name in self.names else ROUTERS
        options["seeds"] = [self.ports[each][0] for each in self.names]
        options["relays"] = {
            self.ports[target][0]: relay.address
            for (origin, target), relay in self.relays.items()
            if origin == group
        }
        if name in self.processes:
            # Faults that overlap may both start it.
            self.processes[name].kill()
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(options))
        self.starts[name] += 1
        self.processes[name] = local_fleet.Process(
            name,
            [MODULE, str(path)],
            self.logs / f"{source}.{self.starts[name]:03d}.log",
        )

    # -- faults ----------------------------------------------------------

    def links_of(self, name: str) -> list[tcp_relay.Relay]:
        """Return the relays of all links of a keeper."""
        return [relay for ends, relay in self.relays.items() if name in ends]

    def links_between(self, one: str, other: str) -> list:
        """Return the two relays between two keepers."""
        return [self.relays[one, other], self.relays[other, one]]

    def set_disks(self, names: list[str], mode: slow_disks.Mode) -> None:
        """Give the disks of some keepers a mode."""
        mode.folders = self.folders
        for name in names:
            mode.write(self.folder / name / "mode")

    def kill(self, names: list[str]) -> None:
        """Kill processes at the same moment."""
        for name in names:
            self.processes[name].signal(signal.SIGKILL)
        for name in names:
            self.processes[name].kill()

    def lose_power(self, names: list[str], rng: random.Random) -> None:
        """Kill keepers and drop what their disks have not synced.

        Their connections stay open at the other ends until the links heal.
        """
        for name in names:
            for relay in self.links_of(name):
                relay.block()
        self.kill(names)
        for name in names:
            folder = self.folder / name
            data = folder / "data" / keepers.FOLDER
            if data.exists():
                slow_disks.lose_power(data, folder / "durable", rng)

    def lose_disk(self, name: str) -> None:
        """Remove the data of a keeper that does not run."""
        self.disks[name] += 1
        folder = self.folder / name
        shutil.rmtree(folder / "data", ignore_errors=True)
        shutil.rmtree(folder / "durable")
        (folder / "durable").mkdir()

    def restart_keeper(self, name: str) -> None:
        """Start a keeper that does not run, and heal its links."""
        for relay in self.links_of(name):
            relay.heal()
        self.start_keeper(name)

    async def terminate(self, name: str) -> None:
        """Send SIGTERM, and SIGKILL after the grace period."""
        await asyncio.to_thread(self.processes[name].stop, GRACE_SECONDS)

    def ended(self) -> list[str]:
        """Return the processes that are not running."""
        return [
            name
            for name, process in self.processes.items()
            if process.popen.poll() is not None
        ]

    def last_lines(self, events: tuple[str, ...], count: int) -> str:
        """Return the last lines of each process with one of the events."""
        parts = []
        for name, process in self.processes.items():
            lines = process.log.read_text(errors="replace").splitlines()
            chosen = [x for x in lines if any(each in x for each in events)]
            parts += [f"{name}:", *chosen[-count:]]
        return "\n".join(parts)
