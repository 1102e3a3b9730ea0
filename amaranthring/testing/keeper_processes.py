"""Keeper processes on loopback, with a relay for each link."""

import asyncio
import contextlib
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time

from amaranthring import errors
from amaranthring import settings
from amaranthring.core import links
from amaranthring.keepers import client
from amaranthring.testing import keeper as keeper_process
from amaranthring.testing import local_fleet
from amaranthring.testing import tcp_relay

KEY_TEXT = "a " + "6b" * 32
KEYS = links.Keys({"a": b"k" * 32})
STDERR_CHARS = 2000
MODULE = "amaranthring.testing.keeper"
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


async def wait_until(
    condition,
    seconds: float = 20.0,
    what: str = "condition",
    pause: float = 0.02,
):
    """Return the first true value of `condition`, awaited if need be.

    Raises
    ------
    AssertionError
        If it stays false for `seconds`.
    """
    end = time.monotonic() + seconds
    while True:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError(
                f"timed out waiting for {what} after {seconds} s"
            )
        await asyncio.sleep(pause)


class KeeperProcess:
    """One keeper process, controlled by signals and files."""

    def __init__(self, name: str, folder: pathlib.Path):
        self.name = name
        self.folder = folder
        self.control = folder / "control"
        self.data = folder / "data"
        self.control.mkdir(parents=True, exist_ok=True)
        self.process: subprocess.Popen | None = None

    @property
    def settings_file(self) -> pathlib.Path:
        """Return the path of its settings."""
        return self.folder / "keeper.ini"

    @property
    def errors(self) -> str:
        """Return its standard error."""
        return (self.folder / "stderr").read_text()

    def start(self) -> None:
        """Start the process."""
        (self.control / "port").unlink(missing_ok=True)
        with open(self.folder / "stderr", "ab") as out:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    MODULE,
                    str(self.settings_file),
                    str(self.control),
                ],
                stderr=out,
                cwd=ROOT,
            )

    def port(self) -> int:
        """Return the port that it listens on, or 0 if not known yet."""
        with contextlib.suppress(OSError):
            return int((self.control / "port").read_text())
        return 0

    def send(self, number: int) -> None:
        """Send a signal if the process runs."""
        if self.process and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def pause(self) -> None:
        """Suspend the process."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process."""
        self.send(signal.SIGCONT)

    def remove_data(self) -> None:
        """Delete its data folder."""
        shutil.rmtree(self.data)


class KeeperFleet:
    """A group of keeper processes and one client.

    Parameters
    ----------
    folder : path
        Folder for settings and data.
    count : int
        Number of keepers, named k1, k2, ...
    options : dict, optional
        Keys of the ``[keeper]`` section.
    direct : bool
        Connect without relays, for benchmarks; links cannot be blocked.
    """

    def __init__(
        self,
        folder,
        count: int = 3,
        options: dict | None = None,
        direct: bool = False,
    ):
        self.folder = pathlib.Path(folder)
        self.options = options or {}
        self.direct = direct
        self.ports: dict[str, int] = {}
        self.names = [f"k{number + 1}" for number in range(count)]
        self.keepers: dict[str, KeeperProcess] = {}
        self.relays: dict[tuple[str, str], tcp_relay.Relay] = {}
        self.clients: list[client.KeeperClient] = []

    async def start(self) -> None:
        """Start relays, processes and the client."""
        self.folder.mkdir(parents=True, exist_ok=True)
        keys = self.folder / "keys"
        keys.write_text(KEY_TEXT + "\n")
        keys.chmod(0o600)
        for name in self.names:
            self.keepers[name] = KeeperProcess(name, self.folder / name)
        if self.direct:
            ports = local_fleet.free_ports(len(self.names))
            self.ports = dict(zip(self.names, ports, strict=True))
        for name in ["client", *self.names]:
            for other in self.names:
                if name != other and not self.direct:
                    relay = self.relays[name, other] = tcp_relay.Relay()
                    await relay.start()
        for name in self.names:
            self.write_settings(name)
            self.keepers[name].start()
        for name in self.names:
            await self.wait_listening(name)
        self.client = self.new_client()

    def address(self, name: str, other: str) -> str:
        """Return the address at which `name` reaches keeper `other`."""
        if self.direct:
            return f"127.0.0.1:{self.ports[other]}"
        if name == other:
            return "127.0.0.1:1"
        return self.relays[name, other].address

    def write_settings(self, name: str, names: list[str] | None = None):
        """Write the settings of keeper `name`."""
        keeper = self.keepers[name]
        lines = []
        for other in names or self.names:
            address = self.address(name, other)
            lines.append(f"    {other} dc-{other} {address}")
        options = "\n".join(f"{k} = {v}" for k, v in self.options.items())
        text = (
            f"[process]\nname = {name}\ndata_centre = dc-{name}\n"
            f"data_folder = {keeper.data}\n"
            f"[listen]\nfleet = 127.0.0.1:{self.ports.get(name, 0)}\n"
            f"[fleet]\nkeys_file = {self.folder / 'keys'}\n"
            "keepers =\n" + "\n".join(lines) + f"\n[keeper]\n{options}\n"
        )
        keeper.settings_file.write_text(text)

    async def wait_listening(self, name: str) -> None:
        """Wait until keeper `name` listens; direct its relays to it."""
        keeper = self.keepers[name]
        try:
            port = await wait_until(keeper.port, what=f"port of {name}")
        except AssertionError as error:
            code = keeper.process and keeper.process.poll()
            raise AssertionError(
                f"{error}; exit code {code}: {keeper.errors[-STDERR_CHARS:]}"
            ) from error
        for (_, other), relay in self.relays.items():
            if other == name:
                relay.upstream = f"127.0.0.1:{port}"

    async def restart(self, name: str) -> None:
        """Start keeper `name` again and wait until it listens."""
        self.keepers[name].start()
        await self.wait_listening(name)

    async def join(self, name: str) -> str:
        """Start keeper `name` as a non-member; return its address."""
        self.keepers[name] = KeeperProcess(name, self.folder / name)
        for other in self.names:
            relay = self.relays[name, other] = tcp_relay.Relay()
            relay.upstream = self.relays["client", other].upstream
            await relay.start()
        self.write_settings(name, [*self.names, name])
        await self.restart(name)
        return f"127.0.0.1:{self.keepers[name].port()}"

    def new_client(self) -> client.KeeperClient:
        """Return a started client of the group."""
        peers = [
            settings.PeerAddress(
                name=name,
                data_centre=f"dc-{name}",
                address=self.address("client", name),
            )
            for name in self.names
        ]
        identity = links.Identity("r1", "router", "dc1")
        new_client = client.KeeperClient("fleet", peers, identity, KEYS)
        new_client.start()
        self.clients.append(new_client)
        return new_client

    def isolate(self, name: str, inwards=True, outwards=True) -> None:
        """Block the links of keeper `name` with the other keepers."""
        for (source, destination), relay in self.relays.items():
            if source == "client":
                continue
            if destination == name:
                relay.block(to_target=inwards, to_client=outwards)
            if source == name:
                relay.block(to_target=outwards, to_client=inwards)

    def heal(self) -> None:
        """Unblock every relay."""
        for relay in self.relays.values():
            relay.heal()

    async def status(self, name: str):
        """Return the status of keeper `name`, or None."""
        try:
            return await self.client.status(name)
        except errors.AmaranthringError:
            return None

    async def leader(self, but: str = "") -> str:
        """Return the leader of the highest term, or an empty string."""
        leaders = []
        for name in self.names:
            status = await self.status(name) if name != but else None
            if status and status.role == "leader":
                leaders.append((status.term, name))
        return max(leaders)[1] if leaders else ""

    async def wait_leader(self, but: str = "") -> str:
        """Return the leader once there is one other than `but`."""
        return await wait_until(lambda: self.leader(but), what="leader")

    async def dump(self) -> keeper_process.Dump:
        """Return the whole state, read from the leader."""
        return await self.client.query(keeper_process.Get(), 15)

    async def stop(self) -> None:
        """Kill every process and stop the relays."""
        for each in self.clients:
            each.stop()
        for keeper in self.keepers.values():
            keeper.resume()
            keeper.kill()
        for relay in self.relays.values():
            await relay.stop()
