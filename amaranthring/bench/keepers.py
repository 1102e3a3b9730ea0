"""Keepers: proposals a second, waiting times, loss of the leader, recovery.

Three keeper processes on loopback with the settings' defaults and a tiny
machine; the client is this process. Times depend on the machine and its
disk; the bounds are the goals of the design.
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

PAD = "x" * 200
AT_ONCE = 64
POLL_SECONDS = 0.005
MILLISECONDS = 1000


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
        Proposals before the restart of all.
    rate, seconds : float
        Proposals a second and duration of the measurement of waiting times.
    losses : int
        Leaders killed, and leaders frozen.
    idle_seconds : float
        Duration of the measurement without load.
    seed : int
        Of pauses between losses.
    """
    made = report.Report("keepers: three processes, one client")
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(
            _run(
                made,
                pathlib.Path(folder),
                changes,
                rate,
                seconds,
                losses,
                idle_seconds,
                random.Random(seed),
            )
        )
    return made


async def _run(
    made, folder, changes, rate, seconds, losses, idle_seconds, source
):
    fleet = keeper_processes.KeeperFleet(folder, direct=True)
    try:
        await fleet.start()
        await fleet.wait_leader()
        await _throughput(made, fleet, changes)
        await _waiting(made, fleet, rate, seconds)
        await _restart(made, fleet)
        await _idle(made, fleet, idle_seconds)
        await _losses(made, fleet, losses, "kill", source)
        await _losses(made, fleet, losses, "freeze", source)
    finally:
        await fleet.stop()


async def _add(fleet, name: str) -> float:
    began = time.perf_counter()
    await fleet.client.propose(keeper.Add(name, PAD), 15)
    return time.perf_counter() - began


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


async def _throughput(made, fleet, changes: int) -> None:
    gate = asyncio.Semaphore(AT_ONCE)

    async def one(number: int) -> None:
        async with gate:
            await _add(fleet, f"t{number}")

    before = await _usage(fleet)
    began = time.perf_counter()
    await asyncio.gather(*(one(number) for number in range(changes)))
    spent = time.perf_counter() - began
    after = await _usage(fleet)
    made.add(
        f"proposals a second, {AT_ONCE} at once",
        changes / spent,
        "/s",
        least=1000,
    )
    used = [
        after[name].processor_seconds - before[name].processor_seconds
        for name in before
    ]
    made.add(
        "processor time per proposal, leader",
        max(used) / changes * 1e6,
        "us",
    )
    made.add(
        "processor time per proposal, follower",
        min(used) / changes * 1e6,
        "us",
    )


async def _waiting(made, fleet, rate: float, seconds: float) -> None:
    tasks = []
    began = time.perf_counter()
    for number in range(int(rate * seconds)):
        due = began + number / rate
        await asyncio.sleep(max(0.0, due - time.perf_counter()))
        tasks.append(asyncio.ensure_future(_add(fleet, f"w{number}")))
    waits = await asyncio.gather(*tasks)
    text = f"waiting for a proposal at {rate:g}/s"
    made.add(f"{text}, p50", _quantile(waits, 0.5) * MILLISECONDS, "ms")
    made.add(
        f"{text}, p99", _quantile(waits, 0.99) * MILLISECONDS, "ms", most=10
    )


async def _restart(made, fleet) -> None:
    entries = (await fleet.status(await fleet.wait_leader())).last_index
    for process in fleet.keepers.values():
        process.kill()
    folder = fleet.keepers["k1"].data / "keepers" / "fleet"
    files = [path for path in folder.iterdir() if path.is_file()]
    size = sum(path.stat().st_size for path in files)
    made.add(f"disk after {entries} entries", size / 1e6, "MB", most=8)
    began = time.perf_counter()
    opened = store.Store(
        folder,
        "fleet",
        "k1",
        disk.FileOps(),
        on_durable=lambda: None,
        on_fault=print,
    )
    spent = time.perf_counter() - began
    held = opened.log.last_index - opened.log.base_index
    logs = [path.stat().st_size for path in folder.glob("log-*")]
    opened.close()
    made.add(f"reading back {held} entries and a snapshot", spent, "s", most=1)
    made.add("bytes per entry on disk", sum(logs) / max(1, held), "B")
    began = time.perf_counter()
    for name in fleet.names:
        await fleet.restart(name)
    await _add(fleet, "after-restart")
    made.add(
        "first change after all were killed, with start of processes",
        time.perf_counter() - began,
        "s",
        most=5,
    )


async def _idle(made, fleet, seconds: float) -> None:
    leader = await fleet.wait_leader()
    before = await _usage(fleet)
    await asyncio.sleep(seconds)
    after = await _usage(fleet)
    for role in ("leader", "follower"):
        names = [n for n in before if (n == leader) == (role == "leader")]
        name = names[0]
        used = after[name].processor_seconds - before[name].processor_seconds
        sent = after[name].sent_bytes - before[name].sent_bytes
        made.add(
            f"processor time of an idle {role}",
            used / seconds * 100,
            "% core",
            most=3.6,
        )
        made.add(
            f"traffic sent by an idle {role}",
            sent / seconds / 1000,
            "KB/s",
            most=12.5,
        )


async def _losses(made, fleet, losses: int, kind: str, source) -> None:
    led = []
    answered = []
    for number in range(losses):
        old = await fleet.wait_leader()
        await _add(fleet, f"{kind}{number}")
        await asyncio.sleep(source.uniform(0.2, 0.4))
        lost = fleet.keepers[old]
        (lost.kill if kind == "kill" else lost.pause)()
        began = time.perf_counter()
        call = asyncio.ensure_future(_add(fleet, f"{kind}-after{number}"))
        await keeper_processes.wait_until(
            lambda old=old: fleet.leader(but=old), pause=POLL_SECONDS
        )
        led.append(time.perf_counter() - began)
        await call
        answered.append(time.perf_counter() - began)
        if kind == "kill":
            await fleet.restart(old)
        else:
            lost.resume()
        await _whole(fleet)
    made.add(f"without a leader after a {kind}, worst", max(led), "s", 1.5)
    made.add(
        f"until the next change is answered after a {kind}, worst",
        max(answered),
        "s",
        2.0,
    )


async def _whole(fleet) -> None:
    async def whole():
        name = await fleet.leader()
        status = await fleet.status(name) if name else None
        return status and status.safe_losses == 1

    await keeper_processes.wait_until(whole, what="a whole group")
