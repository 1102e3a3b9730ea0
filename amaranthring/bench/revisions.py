"""Time until accepted changes are in force on every router process.

Starts keepers and routers as processes on loopback, with the expected number
of accounts and policies, and makes changes one after another through
different routers. The time of a change ends when the last router has logged
that it is in force; all clocks are this machine's. Traffic is computed from
the sizes of encoded messages.
"""

import datetime
import itertools
import json
import pathlib
import random
import re
import statistics
import tempfile
import time

from amaranthring.bench import report
from amaranthring.core import config_parts
from amaranthring.core import fleet
from amaranthring.core import wire
from amaranthring.keepers import commands
from amaranthring.keepers import state_machine as machines
from amaranthring.routers import revision_messages
from amaranthring.routers import revisions
from amaranthring.testing import local_fleet

CHANGES_A_DAY = 560
BURST_CHANGES = 60
ROUTERS_PER_DATA_CENTRE = 53
DATA_CENTRES = 7
DAY_SECONDS = 86400.0
IN_FORCE_LINE = re.compile(r"^(\S+) .*revision\.in-force revision=(\d+) ")
CONVERGENCE_SECONDS = 20.0


def initial_config(accounts: int) -> dict:
    """Return an initial configuration with `accounts` accounts."""
    names = [f"account-{number:04}" for number in range(accounts)]
    policies = {name: {"weight": 2.0, "rate_per_second": 20} for name in names}
    return {
        "in_force": "ordinary",
        "presets": {
            name: {"load_bound": bound, "accounts": policies}
            for name, bound in (
                ("ordinary", 1.25),
                ("peak", 1.15),
                ("maintenance", 1.5),
            )
        },
        "accounts": {
            name: {"token_hashes": [f"{number:064x}"]}
            for number, name in enumerate(names)
        },
    }


def encoded_sizes(accounts: int) -> dict[str, int]:
    """Return the encoded bytes of a whole configuration and of deltas.

    Returns
    -------
    dict
        ``whole`` for the configuration, and the deltas of a preset
        ``switch``, of one account's policy in one preset (``adjust``) and of
        `BURST_CHANGES` such policies together (``burst``).
    """
    machine = machines.StateMachine()
    config = initial_config(accounts)
    presets = []
    for name, given in config["presets"].items():
        preset = fleet.Preset(name, given["load_bound"])
        for account, policy in given["accounts"].items():
            preset.accounts[account] = fleet.AccountPolicy(**policy)
        presets.append(preset)
    named = [
        fleet.Account(name, given["token_hashes"])
        for name, given in config["accounts"].items()
    ]
    machine.apply(1, 1.0, commands.Bootstrap("ordinary", presets, named))

    def execute(command, content):
        revision = machine.book.parts.revision
        fields = {
            "command_id": f"command-{revision}",
            "operator": "ana",
            "if_match": revision,
        }
        machine.apply(revision + 1, 1.0, command(content, **fields))

    def delta_bytes(since):
        delta = machine.config_since(since)
        return len(wire.encode(wire.ONE_WAY, 0, delta))

    sizes = {"whole": delta_bytes(-1)}
    execute(commands.SwitchPreset, "peak")
    sizes["switch"] = delta_bytes(1)
    accounts_held = list(presets[1].accounts)
    for number in range(BURST_CHANGES):
        name = accounts_held[number % len(accounts_held)]
        presets[1].accounts[name] = fleet.AccountPolicy(3.0, 1.0 + number)
        execute(commands.PutPreset, presets[1])
        if number == 0:
            sizes["adjust"] = delta_bytes(2)
    sizes["burst"] = delta_bytes(2)
    return sizes


def control_traffic(
    routers: int = ROUTERS_PER_DATA_CENTRE,
) -> dict[str, float]:
    """Return the bytes per second of standing traffic at full size.

    Returns
    -------
    dict
        Sent by a ``router``, by a ``relay``, and by the ``leader``.
    """
    digest = "0" * 32
    name = "router-0000"
    running = revision_messages.RunningRevision(name, 100_000)
    query = commands.ConfigSince(100_000, revisions.WATCH_SECONDS)
    answer = config_parts.Delta(100_000, 100_000, {}, [], digest)
    revisions_by_router = {f"{name}-{n}": 100_000 for n in range(routers)}
    ages = dict.fromkeys(revisions_by_router, 0.7)
    confirmed = commands.RouterRevisions(
        "data-centre", revisions_by_router, ages
    )

    def encoded_bytes(message) -> int:
        return len(wire.encode(wire.REQUEST, 100_000, message))

    compare_rate = encoded_bytes(running) / revisions.COMPARE_SECONDS
    relays = revisions.RELAYS
    watch_rate = encoded_bytes(query) / revisions.WATCH_SECONDS
    report_rate = encoded_bytes(confirmed) / revisions.REPORT_SECONDS
    return {
        "router": compare_rate,
        "relay": compare_rate * (routers / relays) + watch_rate + report_rate,
        "leader": DATA_CENTRES
        * relays
        * encoded_bytes(answer)
        / revisions.WATCH_SECONDS,
    }


def in_force_times(folder: pathlib.Path, routers: list[str]) -> dict:
    """Return when each router logged each revision, by revision."""
    found: dict[int, dict[str, float]] = {}
    for name in routers:
        for line in (folder / f"{name}.log").read_text().splitlines():
            match = IN_FORCE_LINE.match(line)
            if match:
                when = datetime.datetime.fromisoformat(match[1])
                timestamp = when.replace(tzinfo=datetime.UTC).timestamp()
                found.setdefault(int(match[2]), {})[name] = timestamp
    return found


class FleetRun:
    """A running fleet, and when changes to it were sent and accepted."""

    def __init__(self, folder: pathlib.Path, routers: int, accounts: int):
        local_fleet.write_settings(
            folder, routers=routers, initial=initial_config(accounts)
        )
        self.logs = folder / "logs"
        self.fleet = local_fleet.LocalFleet(folder, self.logs)
        self.routers = self.fleet.names("router")
        token = (folder / "operator.token").read_text().split()[1]
        self.headers = {"Authorization": f"Bearer {token}"}
        self.ids = itertools.count(1)
        self.sent_at: dict[int, float] = {}
        self.accepted_at: dict[int, float] = {}

    def start(self) -> None:
        """Start every process and wait until the routers are ready."""
        for name in [*self.fleet.names("keeper"), *self.routers]:
            self.fleet.start(name)
        self.fleet.wait_ready(self.routers, 60.0)

    def make_change(
        self, router: str, method: str, path: str, body: dict
    ) -> None:
        """Make one change; record when it was sent and accepted."""
        url = self.fleet.internal_url(router) + "/operators/"
        revision = max(self.accepted_at, default=1)
        headers = self.headers | {
            "If-Match": str(revision),
            "Amaranthring-Command-Id": f"bench-{next(self.ids):06}",
        }
        data = json.dumps(body).encode()
        sent = time.time()
        status, answer = local_fleet.http_request(
            method, url + path, headers, data, 20.0
        )
        if status != 200:
            raise RuntimeError(
                f"change failed with status {status}: {answer.decode()}"
            )
        revision = json.loads(answer)["revision"]
        self.accepted_at[revision] = time.time()
        self.sent_at[revision] = sent

    def wait_in_force(self) -> dict[int, dict[str, float]]:
        """Wait for the last change on every router; return all times."""
        last = max(self.accepted_at)
        deadline = time.monotonic() + CONVERGENCE_SECONDS
        while time.monotonic() < deadline:
            found = in_force_times(self.logs, self.routers)
            if len(found.get(last, {})) == len(self.routers):
                return found
            time.sleep(0.2)
        return in_force_times(self.logs, self.routers)


def run(
    routers: int = 24, changes: int = 200, accounts: int = 910, seed: int = 3
) -> report.Report:
    """Measure the distribution of changes.

    Parameters
    ----------
    routers : int
        Router processes, spread over three data centres.
    changes : int
        Number of changes, with short pauses between them.
    accounts : int
        Client accounts, each with a policy in three presets.
    seed : int
        Seed of the choice of changes and routers.
    """
    results = report.Report(
        f"revisions: {routers} routers, {accounts} accounts, "
        f"{changes} changes, seed {seed}"
    )
    _add_sizes(results, accounts)
    _add_control_traffic(results)
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        running = FleetRun(pathlib.Path(folder), routers, accounts)
        try:
            running.start()
            for number in range(changes):
                _make_change(running, rng, number)
                time.sleep(rng.uniform(0.0, 0.1))
            found = running.wait_in_force()
        finally:
            running.fleet.stop_all()
    _add_times(results, running, found)
    return results


def _make_change(running: FleetRun, rng: random.Random, number: int) -> None:
    router = rng.choice(running.routers)
    if number % 2:
        body = {"preset": ("ordinary", "peak")[number // 2 % 2]}
        running.make_change(router, "POST", "switch", body)
        return
    name = f"extra-{rng.randrange(20)}"
    body = {"token_hashes": [f"{number:064x}"]}
    running.make_change(router, "PUT", f"accounts/{name}", body)


def _add_sizes(results: report.Report, accounts: int) -> None:
    sizes = encoded_sizes(accounts)
    results.add("whole configuration", sizes["whole"], "bytes")
    results.add("delta of a switch", sizes["switch"], "bytes", most=300)
    results.add("delta of one adjusted account", sizes["adjust"], "bytes", 400)
    results.add(
        f"delta of {BURST_CHANGES} adjusted accounts", sizes["burst"], "bytes"
    )
    # At full size a relay sends each change to its data centre.
    sent = sizes["adjust"] * (ROUTERS_PER_DATA_CENTRE - 1) * CHANGES_A_DAY
    results.add(
        "relay's traffic for a day's changes, whole fleet",
        sent / DAY_SECONDS,
        "bytes/s",
        most=1000,
    )


def _add_control_traffic(results: report.Report) -> None:
    for role, rate in control_traffic().items():
        name = f"standing traffic sent by a {role}, whole fleet"
        results.add(name, rate, "bytes/s", most=5000)


def _add_times(results: report.Report, running: FleetRun, found) -> None:
    in_force_at = {}
    missing = 0
    for revision in running.accepted_at:
        times = [
            min(timestamps)
            for name in running.routers
            if (timestamps := _times_in_force(found, name, revision))
        ]
        missing += len(running.routers) - len(times)
        in_force_at[revision] = max(times, default=0.0)
    results.add("changes accepted", len(in_force_at))
    results.add("routers that missed a change", missing, most=0)
    for name, started_at in (
        ("sent", running.sent_at),
        ("accepted", running.accepted_at),
    ):
        waits = sorted(
            max(0.0, at - started_at[r]) for r, at in in_force_at.items()
        )
        p99 = waits[int(len(waits) * 0.99) - 1]
        label = f"{name} to in force on all"
        median = statistics.median(waits)
        results.add(f"{label}, median", median * 1000, "ms", most=500)
        results.add(f"{label}, p99", p99 * 1000, "ms")
        results.add(f"{label}, worst", waits[-1] * 1000, "ms", most=500)
    reverted = 0
    for name in running.routers:
        timestamps = sorted(
            (times[name], at) for at, times in found.items() if name in times
        )
        order = [at for _, at in timestamps]
        reverted += order != sorted(order)
    results.add("routers that ever went back", reverted, most=0)


def _times_in_force(found, name: str, revision: int) -> list[float]:
    """Return when `name` logged `revision` and each later one."""
    return [
        times[name]
        for at, times in found.items()
        if at >= revision and name in times
    ]
