"""Keepers: throughput, latency, leader failover and recovery.

Three keeper processes on loopback with default settings and a minimal state
machine; the client is this process. Times depend on the machine and its
disk; the bounds are the design goals.
"""

import asyncio
import pathlib
import random
import tempfile
import time

from amaranthring.bench import report
from amaranthring.keepers import disk
from amaranthring.keepers import store
from amaranthring.testing import keeper
from amaranthring.testing import keeper_processes

PADDING = "x" * 200
CONCURRENCY = 64
POLL_SECONDS = 0.005
MS_PER_SECOND = 1000


def run(
    changes: int = 10_000,
    rate: float = 300.0,
    seconds: float = 5.0,
    losses: int = 5,
    idle_seconds: float = 4.0,
    seed: int = 1,
) -> report.Report:
    """Measure a group of three.

    Parameters
    ----------
    changes : int
        Proposals before all keepers are restarted.
    rate, seconds : float
        Proposals per second, and duration, of the latency measurement.
    losses : int
        Number of leaders killed, and of leaders frozen.
    idle_seconds : float
        Duration of the measurement without load.
    seed : int
        Seed of the pauses before the losses.
    """
    results = report.Report("keepers: three processes, one client")
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(
            _run(
                results,
                pathlib.Path(folder),
                changes,
                rate,
                seconds,
                losses,
                idle_seconds,
                random.Random(seed),
            )
        )
    return results


async def _run(
    results, folder, changes, rate, seconds, losses, idle_seconds, rng
):
    fleet = keeper_processes.KeeperFleet(folder, direct=True)
    try:
        await fleet.start()
        await fleet.wait_leader()
        await _throughput(results, fleet, changes)
        await _latency(results, fleet, rate, seconds)
        await _restart(results, fleet)
        await _idle(results, fleet, idle_seconds)
        await _leader_losses(results, fleet, losses, "kill", rng)
        await _leader_losses(results, fleet, losses, "freeze", rng)
    finally:
        await fleet.stop()


async def _propose(fleet, name: str) -> float:
    started = time.perf_counter()
    await fleet.client.propose(keeper.Add(name, PADDING), 15)
    return time.perf_counter() - started


def _quantile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


async def _usage_of(dialler) -> keeper.Usage:
    await keeper_processes.wait_until(lambda: dialler.link, what="link")
    return await dialler.call(keeper.UsageQuery(), 5)


async def _usage(fleet) -> dict[str, keeper.Usage]:
    return {
        name: await _usage_of(dialler)
        for name, dialler in fleet.client.diallers.items()
    }


async def _throughput(results, fleet, changes: int) -> None:
    semaphore = asyncio.Semaphore(CONCURRENCY)

    async def propose(number: int) -> None:
        async with semaphore:
            await _propose(fleet, f"t{number}")

    before = await _usage(fleet)
    started = time.perf_counter()
    await asyncio.gather(*(propose(number) for number in range(changes)))
    seconds = time.perf_counter() - started
    after = await _usage(fleet)
    results.add(
        f"proposals a second, {CONCURRENCY} at once",
        changes / seconds,
        "/s",
        least=1000,
    )
    used = [
        after[name].processor_seconds - before[name].processor_seconds
        for name in before
    ]
    results.add(
        "processor time per proposal, leader",
        max(used) / changes * 1e6,
        "us",
    )
    results.add(
        "processor time per proposal, follower",
        min(used) / changes * 1e6,
        "us",
    )


async def _latency(results, fleet, rate: float, seconds: float) -> None:
    tasks = []
    started = time.perf_counter()
    for number in range(int(rate * seconds)):
        due = started + number / rate
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        tasks.append(asyncio.ensure_future(_propose(fleet, f"w{number}")))
    waits = await asyncio.gather(*tasks)
    label = f"waiting for a proposal at {rate:g}/s"
    results.add(f"{label}, p50", _quantile(waits, 0.5) * MS_PER_SECOND, "ms")
    results.add(
        f"{label}, p99", _quantile(waits, 0.99) * MS_PER_SECOND, "ms", most=10
    )


async def _restart(results, fleet) -> None:
    entries = (await fleet.status(await fleet.wait_leader())).last_index
    for process in fleet.keepers.values():
        process.kill()
    folder = fleet.keepers["k1"].data / "keepers" / "fleet"
    files = [path for path in folder.iterdir() if path.is_file()]
    size = sum(path.stat().st_size for path in files)
    results.add(f"disk after {entries} entries", size / 1e6, "MB", most=8)
    started = time.perf_counter()
    reopened = store.Store(
        folder,
        "fleet",
        "k1",
        disk.FileOps(),
        on_durable=lambda: None,
        on_fault=print,
    )
    seconds = time.perf_counter() - started
    logged = reopened.log.last_index - reopened.log.base_index
    logs = [path.stat().st_size for path in folder.glob("log-*")]
    reopened.close()
    results.add(
        f"reading back {logged} entries and a snapshot", seconds, "s", most=1
    )
    results.add("bytes per entry on disk", sum(logs) / max(1, logged), "B")
    started = time.perf_counter()
    for name in fleet.names:
        await fleet.restart(name)
    await _propose(fleet, "after-restart")
    results.add(
        "first change after all were killed, with start of processes",
        time.perf_counter() - started,
        "s",
        most=5,
    )


async def _idle(results, fleet, seconds: float) -> None:
    leader = await fleet.wait_leader()
    before = await _usage(fleet)
    await asyncio.sleep(seconds)
    after = await _usage(fleet)
    for role in ("leader", "follower"):
        names = [n for n in before if (n == leader) == (role == "leader")]
        name = names[0]
        used = after[name].processor_seconds - before[name].processor_seconds
        sent = after[name].sent_bytes - before[name].sent_bytes
        results.add(
            f"processor time of an idle {role}",
            used / seconds * 100,
            "% core",
            most=3.6,
        )
        results.add(
            f"traffic sent by an idle {role}",
            sent / seconds / 1000,
            "KB/s",
            most=12.5,
        )


async def _leader_losses(results, fleet, losses: int, kind: str, rng) -> None:
    leaderless = []
    unanswered = []
    for number in range(losses):
        old = await fleet.wait_leader()
        await _propose(fleet, f"{kind}{number}")
        await asyncio.sleep(rng.uniform(0.2, 0.4))
        lost = fleet.keepers[old]
        (lost.kill if kind == "kill" else lost.pause)()
        started = time.perf_counter()
        call = asyncio.ensure_future(_propose(fleet, f"{kind}-after{number}"))
        await keeper_processes.wait_until(
            lambda old=old: fleet.leader(but=old), pause=POLL_SECONDS
        )
        leaderless.append(time.perf_counter() - started)
        await call
        unanswered.append(time.perf_counter() - started)
        if kind == "kill":
            await fleet.restart(old)
        else:
            lost.resume()
        await _wait_recovered(fleet)
    results.add(
        f"without a leader after a {kind}, worst", max(leaderless), "s", 1.5
    )
    results.add(
        f"until the next change is answered after a {kind}, worst",
        max(unanswered),
        "s",
        2.0,
    )


async def _wait_recovered(fleet) -> None:
    async def is_recovered():
        name = await fleet.leader()
        status = await fleet.status(name) if name else None
        return status and status.safe_losses == 1

    await keeper_processes.wait_until(is_recovered, what="a whole group")
