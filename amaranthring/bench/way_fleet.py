"""Cost of request execution in a router of a complete fleet.

As :mod:`amaranthring.bench.way`, but the router is a process of a running
fleet: limits, directory, admission owners on other routers, membership,
metrics and the decision log take part in each request, and control traffic
counts towards the router's processor time.
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


def processor_seconds(pid: int) -> float:
    """Return the processor time that process `pid` has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    user, system = text.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_SECOND


def start_fleet(folder: pathlib.Path, routers: int) -> local_fleet.LocalFleet:
    """Start keepers, routers and engines; wait until all are known."""
    local_fleet.write_settings(folder, routers)
    fleet = local_fleet.LocalFleet(folder, folder / "logs")
    names = fleet.names("router")
    try:
        for name in [*fleet.names("keeper"), *names]:
            fleet.start(name)
        fleet.wait_ready(names)
        for number in range(ENGINES):
            data_centre = local_fleet.DATA_CENTRES[number % 3]
            options = ["--data-centre", data_centre, "--capacity", "1000"]
            options += ["--token-seconds", "0.02"]
            fleet.start_target("engine", f"engine-{number + 1}", *options)
        fleet.wait_targets(ENGINES, names)
    except BaseException:
        fleet.stop_all()
        raise
    return fleet


async def _run(results, fleet, streams, tokens, requests) -> None:
    router = fleet.names("router")[0]
    pid = fleet.processes[router].popen.pid
    port = int(fleet.callers_url(router).rpartition(":")[2])
    addresses = [
        fleet.processes[f"engine-{n + 1}"].log.read_text().split()[1]
        for n in range(ENGINES)
    ]
    with contextlib.ExitStack() as stack:
        plain = way.Processes(stack).relay("plain", *addresses)
        await way.read_streams(port, 4, 8, token=TOKEN)
        before = processor_seconds(pid)
        streams_read = await way.read_streams(
            port, streams, tokens, token=TOKEN
        )
        seconds = processor_seconds(pid) - before
        events = sum(stream.events for stream in streams_read)
        plain_cost = await way.seconds_per_event(plain, streams, tokens)
        way.add_cost(results, plain_cost, seconds / events)
        ports = [int(addresses[0].rpartition(":")[2]), port, plain]
        await way.first_token_times(ports, 10, TOKEN)
        times = await way.first_token_times(ports, requests, TOKEN)
        way.add_latency(results, *times, bounded=False)


def run(
    streams: int = 45,
    tokens: int = 300,
    requests: int = 300,
    routers: int = 6,
    seed: int = 0,
) -> report.Report:
    """Compare a router of a fleet with a plain relay.

    Parameters
    ----------
    streams, tokens : int
        Concurrent streams, and tokens in each.
    requests : int
        Sequential requests, for the time to first token.
    routers : int
        Number of routers in the fleet.
    seed : int
        Only shown in the title; nothing here is random.
    """
    results = report.Report(f"cost of the way in a fleet of {routers} routers")
    results.title += f" (seed {seed})"
    with tempfile.TemporaryDirectory() as folder:
        fleet = start_fleet(pathlib.Path(folder), routers)
        try:
            asyncio.run(_run(results, fleet, streams, tokens, requests))
        finally:
            fleet.stop_all()
    return results
