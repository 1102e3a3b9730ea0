"""A whole fleet as separate processes on loopback, for demo and tests.

:func:`write_settings` makes a folder of INI files with free ports; the
folder ``examples/fleet`` is such a folder with fixed ones. A
:class:`LocalFleet` starts and stops the processes of a folder.
"""

import collections.abc
import fcntl
import json
import pathlib
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

from amaranthring import errors
from amaranthring import settings as settings_module
from amaranthring.core import hashing

START_SECONDS = 20.0
STOP_SECONDS = 20.0
POLL_SECONDS = 0.05
PORTS_FILE = "amaranthring-ports"
FIRST_PORT = 10_000
LAST_PORT = 17_999
DATA_CENTRES = ("porto", "braga", "viana")
REGION = "north"
ACCOUNTS = {"agenda": "demo-agenda", "vanua": "demo-vanua"}
OPERATOR = "operator"


# Data centre of the source; data centre and address of the destination.
AddressMapper = collections.abc.Callable[[str, str, str], str]


class StartError(errors.AmaranthringError):
    """A process of the local fleet did not become ready."""

    code = "start"


class Process:
    """A child process.

    Attributes
    ----------
    log : pathlib.Path
        File of its output.
    """

    def __init__(self, name: str, command: list[str], log: pathlib.Path):
        self.name = name
        self.command = command
        self.log = log
        with open(log, "ab") as file:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *command], stdout=file, stderr=file
            )

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process."""
        self.signal(signal.SIGKILL)
        self.popen.wait(STOP_SECONDS)

    def pause(self) -> None:
        """Suspend the process."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the suspended process."""
        self.signal(signal.SIGCONT)

    def stop(self, seconds: float = STOP_SECONDS) -> int:
        """Terminate the process and return its exit code.

        It is killed if it does not end in time, which the code shows.
        """
        self.signal(signal.SIGTERM)
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.popen.returncode


def free_ports(count: int) -> list[int]:
    """Return `count` ports that are free now.

    They lie below the ephemeral range, so that no outgoing connection takes
    one before it is bound. A locked file holds the last port given out, so
    that fleets that start concurrently do not choose the same one.
    """
    ports: list[int] = []
    path = pathlib.Path(tempfile.gettempdir()) / PORTS_FILE
    with open(path, "a+", encoding="ascii") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        file.seek(0)
        text = file.read().strip()
        port = int(text) if text.isdigit() else FIRST_PORT
        while len(ports) < count:
            port = port + 1 if FIRST_PORT <= port < LAST_PORT else FIRST_PORT
            if _is_free(port):
                ports.append(port)
        file.truncate(0)
        file.write(str(port))
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def write_secrets(folder: pathlib.Path) -> None:
    """Write keys of the fleet and of the targets, and an operator's token."""
    folder.mkdir(parents=True, exist_ok=True)
    token = secrets.token_hex(16)
    texts = {
        "fleet.keys": f"k1 {secrets.token_hex(32)}\n",
        "targets.keys": f"t1 {secrets.token_hex(32)}\n",
        "operators": f"{OPERATOR} {hashing.token_hash(token)}\n",
        "operator.token": f"{OPERATOR} {token}\n",
    }
    for name, text in texts.items():
        path = folder / name
        path.touch(mode=0o600)
        path.write_text(text)


def write_settings(
    folder: pathlib.Path,
    routers: int = 6,
    keepers: int = 3,
    extra: str = "",
    initial: dict | None = None,
    through: AddressMapper | None = None,
    process: str = "",
) -> None:
    """Write INI files of a fleet in three data centres to `folder`.

    Parameters
    ----------
    extra : str
        Lines added to every router's and keeper's file, such as a
        ``[callers]`` section.
    initial : dict, optional
        First configuration; that of ``examples/fleet`` by default.
    through : callable, optional
        Returns the address, such as that of a relay, at which processes of
        one data centre reach a process of another, given the first data
        centre, the second and the address of the process.
    process : str
        Lines added to every ``[process]`` section.
    """
    write_secrets(folder)
    if initial is None:
        example = pathlib.Path("examples/fleet/initial.json")
        initial = json.loads(example.read_text())
    (folder / "initial.json").write_text(json.dumps(initial))
    ports = iter(free_ports(2 * keepers + 3 * routers))
    keeper_lines = [
        (f"keeper-{i + 1}", DATA_CENTRES[i % 3], f"127.0.0.1:{next(ports)}")
        for i in range(keepers)
    ]
    router_lines = [
        (
            f"router-{i + 1}",
            DATA_CENTRES[i * 3 // max(routers, 3)],
            f"127.0.0.1:{next(ports)}",
        )
        for i in range(routers)
    ]
    internal = []
    for role, lines in (("keeper", keeper_lines), ("router", router_lines)):
        for name, data_centre, address in lines:
            text = _process_section(folder, name, data_centre) + process
            text += f"[listen]\nfleet = {address}\n"
            text += f"internal = 127.0.0.1:{next(ports)}\n"
            if role == "router":
                internal.append(text.rsplit(" ", 1)[1].strip())
                text += f"callers = 127.0.0.1:{next(ports)}\n"
            mapped = [
                _map_addresses(lines, data_centre, through)
                for lines in (keeper_lines, router_lines)
            ]
            text += _fleet_section(folder, *mapped)
            if role == "keeper":
                text += f"[keeper]\ninitial_file = {folder}/initial.json\n"
            (folder / f"{name}.ini").write_text(text + extra)
    addresses = " ".join(f"http://{address}" for address in internal)
    (folder / "operator.ini").write_text(
        f"[operator]\nrouters = {addresses}\n"
        f"token_file = {folder}/operator.token\n"
    )


def _map_addresses(
    lines, data_centre: str, through: AddressMapper | None
) -> list:
    """Return `lines` with the addresses as reached from `data_centre`."""
    if through is None:
        return lines
    return [
        (
            name,
            other,
            address
            if other == data_centre
            else through(data_centre, other, address),
        )
        for name, other, address in lines
    ]


def _process_section(folder, name: str, data_centre: str) -> str:
    return (
        f"[process]\nname = {name}\ndata_centre = {data_centre}\n"
        f"region = {REGION}\ndata_folder = {folder}/{name}\n"
    )


def _fleet_section(folder, keeper_lines, router_lines) -> str:
    def listed(lines):
        return "".join("\n    " + " ".join(line) for line in lines)

    return (
        f"[fleet]\nkeepers ={listed(keeper_lines)}\n"
        f"routers ={listed(router_lines)}\n"
        f"keys_file = {folder}/fleet.keys\n"
        f"targets_key_file = {folder}/targets.keys\n"
        f"operators_file = {folder}/operators\n"
    )


class LocalFleet:
    """Processes of the INI files in a folder, and stand-ins.

    Attributes
    ----------
    settings : dict
        Settings of each router and keeper, by name.
    processes : dict
        Started processes, by name.
    """

    def __init__(self, folder: pathlib.Path, logs: pathlib.Path):
        self.folder = folder
        self.logs = logs
        self.logs.mkdir(parents=True, exist_ok=True)
        self.settings = {}
        for path in sorted(folder.glob("*-*.ini")):
            process_settings = settings_module.read(str(path))
            self.settings[process_settings.process.name] = process_settings
        self.processes: dict[str, Process] = {}

    def names(self, role: str) -> list[str]:
        """Return the names of all routers or keepers."""
        return [name for name in self.settings if name.startswith(role)]

    def start(self, name: str) -> Process:
        """Start one router or keeper."""
        role = name.split("-")[0]
        path = str(self.folder / f"{name}.ini")
        return self._start_process(
            name, ["amaranthring", role, "--settings", path]
        )

    def start_target(self, kind: str, name: str, *options: str) -> Process:
        """Start a stand-in ``engine`` or ``booking``.

        It announces itself to the routers of its own data centre.
        """
        data_centre = options[options.index("--data-centre") + 1]
        command = [f"amaranthring.testing.{kind}", "--name", name]
        for router in self.names("router"):
            if self.settings[router].process.data_centre == data_centre:
                command += ["--announce", self.internal_url(router)]
        any_settings = next(iter(self.settings.values()))
        key_file = any_settings.fleet.targets_key_file
        command += ["--key-file", key_file, "--region", REGION, *options]
        return self._start_process(name, command)

    def callers_url(self, router: str) -> str:
        """Return the base URL of a router's listener for callers."""
        return f"http://{self.settings[router].listen.callers}"

    def internal_url(self, router: str) -> str:
        """Return the base URL of a router's internal listener."""
        return f"http://{self.settings[router].listen.internal}"

    def wait_ready(self, routers: list[str], seconds=START_SECONDS) -> None:
        """Wait until `routers` pass the health check.

        Raises
        ------
        StartError
            If one does not in time; the message names its log.
        """
        for name in routers:
            process = self.processes[name]
            url = self.callers_url(name) + "/health"
            self.wait(
                lambda u=url: http_get(u)[0] == 200, name, seconds, process
            )

    def wait(self, condition, what, seconds=START_SECONDS, process=None):
        """Wait until `condition()` holds.

        Raises
        ------
        StartError
            If it does not hold in time, or `process` ends before.
        """
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if process and process.popen.poll() is not None:
                # Checked first: another process may answer on its port.
                raise StartError(f"{what} exited, see {process.log}")
            if condition():
                return
            time.sleep(POLL_SECONDS)
        log = f", see {process.log}" if process else ""
        raise StartError(
            f"timed out waiting for {what} after {seconds} s{log}"
        )

    def wait_targets(self, count: int, routers: list[str]) -> None:
        """Wait until every one of `routers` knows `count` ready targets."""
        for name in routers:
            url = self.internal_url(name) + "/metrics"

            def has_targets(url=url):
                status, body = http_get(url)
                if status != 200:
                    return False
                gauges = json.loads(body)["gauges"]
                return gauges.get("targets.ready", 0) >= count

            self.wait(has_targets, f"{count} targets at {name}")

    def stop_all(self) -> dict[str, int]:
        """Stop all processes; return their exit codes."""
        order = ("engine", "booking", "router", "keeper")
        codes = {}
        for kind in order:
            stopping = [n for n in self.processes if n.startswith(kind)]
            for name in stopping:
                self.processes[name].signal(signal.SIGCONT)
                self.processes[name].signal(signal.SIGTERM)
            for name in stopping:
                codes[name] = self.processes.pop(name).stop()
        return codes

    def _start_process(self, name: str, command: list[str]) -> Process:
        process = Process(name, command, self.logs / f"{name}.log")
        self.processes[name] = process
        return process


def http_get(url: str, headers: dict | None = None) -> tuple[int, bytes]:
    """Return status and body of a GET; status 0 without a response."""
    return http_request("GET", url, headers)


def http_request(
    method: str,
    url: str,
    headers: dict | None = None,
    body: bytes | None = None,
    seconds: float = 10.0,
) -> tuple[int, bytes]:
    """Return status and body of a request; status 0 without a response."""
    request = urllib.request.Request(
        url, data=body, headers=headers or {}, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=seconds) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except (OSError, urllib.error.URLError):
        return 0, b""
