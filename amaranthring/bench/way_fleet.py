"""Cost of the way through a router of a whole fleet, all of it switched on.

As :mod:`amaranthring.bench.way`, but the router is a process of a running
fleet: limits, directory, admission owners on other routers, membership,
metrics and decisions all work for each request, and its control traffic
counts in its processor time.
"""

import asyncio
import contextlib
import os
import pathlib
import tempfile

from amaranthring.bench import report
from amaranthring.bench import way
from amaranthring.testing import local_fleet

ENGINES = 3
TOKEN = local_fleet.ACCOUNTS["vanua"]
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def seconds_of(pid: int) -> float:
    """Return the processor time that process `pid` has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    user, system = text.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_SECOND


def start(folder: pathlib.Path, routers: int) -> local_fleet.LocalFleet:
    """Start keepers, routers and engines, and wait until all are known."""
    local_fleet.write_settings(folder, routers)
    fleet = local_fleet.LocalFleet(folder, folder / "logs")
    names = fleet.names("router")
    try:
        for name in [*fleet.names("keeper"), *names]:
            fleet.start(name)
        fleet.wait_ready(names)
        for number in range(ENGINES):
            place = local_fleet.DATA_CENTRES[number % 3]
            options = ["--data-centre", place, "--capacity", "1000"]
            options += ["--token-seconds", "0.02"]
            fleet.start_target("engine", f"engine-{number + 1}", *options)
        fleet.wait_targets(ENGINES, names)
    except BaseException:
        fleet.stop_all()
        raise
    return fleet


async def _run(made, fleet, streams, tokens, requests) -> None:
    router = fleet.names("router")[0]
    pid = fleet.processes[router].popen.pid
    port = int(fleet.callers_url(router).rpartition(":")[2])
    addresses = [
        fleet.processes[f"engine-{n + 1}"].log.read_text().split()[1]
        for n in range(ENGINES)
    ]
    with contextlib.ExitStack() as stack:
        plain = way.Processes(stack).relay("plain", *addresses)
        await way.load(port, 4, 8, token=TOKEN)
        before = seconds_of(pid)
        found = await way.load(port, streams, tokens, token=TOKEN)
        spent = seconds_of(pid) - before
        events = sum(one.events for one in found)
        plain_cost = await way.cost(plain, streams, tokens)
        way.add_cost(made, plain_cost, spent / events)
        ports = [int(addresses[0].rpartition(":")[2]), port, plain]
        await way.first_tokens(ports, 10, TOKEN)
        times = await way.first_tokens(ports, requests, TOKEN)
        way.add_latency(made, *times, bounded=False)


def run(
    streams: int = 45,
    tokens: int = 300,
    requests: int = 300,
    routers: int = 6,
    seed: int = 0,
) -> report.Report:
    """Measure a fleet's router beside a plain relay.

    Parameters
    ----------
    streams, tokens : int
        Streams at once, and tokens in each.
    requests : int
        Requests one after another, for the first token.
    routers : int
        Routers of the fleet.
    seed : int
        Taken for the common form; nothing here is drawn at random.
    """
    made = report.Report(f"cost of the way in a fleet of {routers} routers")
    made.title += f" (seed {seed})"
    with tempfile.TemporaryDirectory() as folder:
        fleet = start(pathlib.Path(folder), routers)
        try:
            asyncio.run(_run(made, fleet, streams, tokens, requests))
        finally:
            fleet.stop_all()
    return made
