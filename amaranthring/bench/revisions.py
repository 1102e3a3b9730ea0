"""Accepted changes until they are in force on every router process.

Starts keepers and routers as processes on loopback, with the accounts and
policies of the expected size, and makes changes one after another through
different routers. The time of a change ends when the last router has logged
that it is in force; all clocks are this machine's. Bytes are counted from
the encoded messages.
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
BURST = 60
NEIGHBOURS_AT_FULL_SIZE = 53
DATA_CENTRES = 7
DAY = 86400.0
IN_FORCE = re.compile(r"^(\S+) .*revision\.in-force revision=(\d+) ")
SETTLE_SECONDS = 20.0


def initial(accounts: int) -> dict:
    """Return a first configuration with so many accounts, as JSON."""
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


def sizes(accounts: int) -> dict[str, int]:
    """Return encoded bytes of a whole map and of deltas; exact.

    Returns
    -------
    dict
        ``whole``, and ``switch``, ``adjust`` (one figure of one account in
        one preset) and ``burst`` (so many adjusted accounts at once).
    """
    machine = machines.StateMachine()
    made = initial(accounts)
    presets = []
    for name, given in made["presets"].items():
        preset = fleet.Preset(name, given["load_bound"])
        for account, policy in given["accounts"].items():
            preset.accounts[account] = fleet.AccountPolicy(**policy)
        presets.append(preset)
    named = [
        fleet.Account(name, given["token_hashes"])
        for name, given in made["accounts"].items()
    ]
    machine.apply(1, 1.0, commands.Bootstrap("ordinary", presets, named))

    def operate(kind, content):
        revision = machine.book.parts.revision
        given = {
            "command_id": f"command-{revision}",
            "operator": "ana",
            "if_match": revision,
        }
        machine.apply(revision + 1, 1.0, kind(content, **given))

    def size(since):
        delta = machine.config_since(since)
        return len(wire.encode(wire.ONE_WAY, 0, delta))

    found = {"whole": size(-1)}
    operate(commands.SwitchPreset, "peak")
    found["switch"] = size(1)
    accounts_held = list(presets[1].accounts)
    for number in range(BURST):
        name = accounts_held[number % len(accounts_held)]
        presets[1].accounts[name] = fleet.AccountPolicy(3.0, 1.0 + number)
        operate(commands.PutPreset, presets[1])
        if number == 0:
            found["adjust"] = size(2)
    found["burst"] = size(2)
    return found


def control(neighbours: int = NEIGHBOURS_AT_FULL_SIZE) -> dict[str, float]:
    """Return bytes a second of standing traffic at full size; exact.

    Returns
    -------
    dict
        Sent by a ``router``, by a ``relay``, and by the ``leader``.
    """
    digest = "0" * 32
    name = "router-0000"
    number = revision_messages.RunningRevision(name, 100_000)
    ask = commands.ConfigSince(100_000, revisions.WATCH_SECONDS)
    told = config_parts.Delta(100_000, 100_000, {}, [], digest)
    routers = {f"{name}-{n}": 100_000 for n in range(neighbours)}
    ages = dict.fromkeys(routers, 0.7)
    confirmed = commands.RouterRevisions("data-centre", routers, ages)

    def size(message) -> int:
        return len(wire.encode(wire.REQUEST, 100_000, message))

    compare = size(number) / revisions.COMPARE_SECONDS
    relays = revisions.RELAYS
    watch = size(ask) / revisions.WATCH_SECONDS
    report_rate = size(confirmed) / revisions.REPORT_SECONDS
    return {
        "router": compare,
        "relay": compare * (neighbours / relays) + watch + report_rate,
        "leader": DATA_CENTRES * relays * size(told) / revisions.WATCH_SECONDS,
    }


def in_force_times(folder: pathlib.Path, routers: list[str]) -> dict:
    """Return the time at which each router logged each revision."""
    found: dict[int, dict[str, float]] = {}
    for name in routers:
        for line in (folder / f"{name}.log").read_text().splitlines():
            match = IN_FORCE.match(line)
            if match:
                when = datetime.datetime.fromisoformat(match[1])
                stamp = when.replace(tzinfo=datetime.UTC).timestamp()
                found.setdefault(int(match[2]), {})[name] = stamp
    return found


class Run:
    """A running fleet to which changes are made."""

    def __init__(self, folder: pathlib.Path, routers: int, accounts: int):
        local_fleet.write_settings(
            folder, routers=routers, initial=initial(accounts)
        )
        self.logs = folder / "logs"
        self.fleet = local_fleet.LocalFleet(folder, self.logs)
        self.routers = self.fleet.names("router")
        token = (folder / "operator.token").read_text().split()[1]
        self.headers = {"Authorization": f"Bearer {token}"}
        self.ids = itertools.count(1)
        self.sent: dict[int, float] = {}
        self.accepted: dict[int, float] = {}

    def start(self) -> None:
        """Start every process and wait until the routers are ready."""
        for name in [*self.fleet.names("keeper"), *self.routers]:
            self.fleet.start(name)
        self.fleet.wait_ready(self.routers, 60.0)

    def change(self, router: str, method: str, path: str, body: dict) -> None:
        """Make one change and note when it was accepted."""
        url = self.fleet.internal_url(router) + "/operators/"
        revision = max(self.accepted, default=1)
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
            raise RuntimeError(f"{status} {answer.decode()}")
        revision = json.loads(answer)["revision"]
        self.accepted[revision] = time.time()
        self.sent[revision] = sent

    def wait_all(self) -> dict[int, dict[str, float]]:
        """Wait until every router has the last change; return all times."""
        last = max(self.accepted)
        ends = time.monotonic() + SETTLE_SECONDS
        while time.monotonic() < ends:
            found = in_force_times(self.logs, self.routers)
            if len(found.get(last, {})) == len(self.routers):
                return found
            time.sleep(0.2)
        return in_force_times(self.logs, self.routers)


def run(
    routers: int = 24, changes: int = 200, accounts: int = 910, seed: int = 3
) -> report.Report:
    """Measure the spread of changes.

    Parameters
    ----------
    routers : int
        Router processes, over three data centres.
    changes : int
        Changes made, a short pause between them.
    accounts : int
        Client accounts, each with a policy in three presets.
    seed : int
        For the choice of changes and routers.
    """
    made = report.Report(
        f"revisions: {routers} routers, {accounts} accounts, "
        f"{changes} changes, seed {seed}"
    )
    _add_sizes(made, accounts)
    _add_control(made)
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        running = Run(pathlib.Path(folder), routers, accounts)
        try:
            running.start()
            for number in range(changes):
                _make_change(running, rng, number)
                time.sleep(rng.uniform(0.0, 0.1))
            found = running.wait_all()
        finally:
            running.fleet.stop_all()
    _add_times(made, running, found)
    return made


def _make_change(running: Run, rng: random.Random, number: int) -> None:
    router = rng.choice(running.routers)
    if number % 2:
        body = {"preset": ("ordinary", "peak")[number // 2 % 2]}
        running.change(router, "POST", "switch", body)
        return
    name = f"extra-{rng.randrange(20)}"
    body = {"token_hashes": [f"{number:064x}"]}
    running.change(router, "PUT", f"accounts/{name}", body)


def _add_sizes(made: report.Report, accounts: int) -> None:
    found = sizes(accounts)
    made.add("whole configuration", found["whole"], "bytes")
    made.add("delta of a switch", found["switch"], "bytes", most=300)
    made.add("delta of one adjusted account", found["adjust"], "bytes", 400)
    made.add(f"delta of {BURST} adjusted accounts", found["burst"], "bytes")
    # At full size a relay sends each change to its data centre.
    sent = found["adjust"] * (NEIGHBOURS_AT_FULL_SIZE - 1) * CHANGES_A_DAY
    made.add(
        "relay's traffic for a day's changes, whole fleet",
        sent / DAY,
        "bytes/s",
        most=1000,
    )


def _add_control(made: report.Report) -> None:
    for role, rate in control().items():
        name = f"standing traffic sent by a {role}, whole fleet"
        made.add(name, rate, "bytes/s", most=5000)


def _add_times(made: report.Report, running: Run, found) -> None:
    last = {}
    missing = 0
    for revision in running.accepted:
        times = [
            min(stamps)
            for name in running.routers
            if (stamps := _stamps(found, name, revision))
        ]
        missing += len(running.routers) - len(times)
        last[revision] = max(times, default=0.0)
    made.add("changes accepted", len(last))
    made.add("routers that missed a change", missing, most=0)
    for name, began in (
        ("sent", running.sent),
        ("accepted", running.accepted),
    ):
        waits = sorted(max(0.0, at - began[r]) for r, at in last.items())
        p99 = waits[int(len(waits) * 0.99) - 1]
        what = f"{name} to in force on all"
        median = statistics.median(waits)
        made.add(f"{what}, median", median * 1000, "ms", most=500)
        made.add(f"{what}, p99", p99 * 1000, "ms")
        made.add(f"{what}, worst", waits[-1] * 1000, "ms", most=500)
    reverted = 0
    for name in running.routers:
        stamps = sorted(
            (times[name], at) for at, times in found.items() if name in times
        )
        order = [at for _, at in stamps]
        reverted += order != sorted(order)
    made.add("routers that ever went back", reverted, most=0)


def _stamps(found, name: str, revision: int) -> list[float]:
    """Return when `name` logged `revision` or any that came after it."""
    return [
        times[name]
        for at, times in found.items()
        if at >= revision and name in times
    ]
