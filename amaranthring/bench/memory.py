"""Memory of a router per chat, target, account and request that it holds.

Routers limit their memory by the counts of these; this measures the bytes
behind each count.
"""

import gc
import tracemalloc
import typing as t

from amaranthring.bench import report
from amaranthring.core import decisions
from amaranthring.core import fleet
from amaranthring.core import hashing
from amaranthring.core import metrics
from amaranthring.core import records
from amaranthring.routers import directory
from amaranthring.targets import table

MAX_CHAT_BYTES = 400
MAX_TARGET_BYTES = 4000
MAX_ACCOUNT_BYTES = 60_000
MAX_REQUEST_BYTES = 4000


class SingleRouterMesh:
    """A fake mesh of one router."""

    data_centre = "dc1"

    def live(self, _data_centre=None) -> list[str]:
        """Return the one router."""
        return ["r1"]

    def subscribe(self, _callback) -> None:
        """Ignore the callback: the list never changes."""


def bytes_each(build: t.Callable[[], t.Any], count: int) -> float:
    """Return bytes per item for the `count` items that `build` returns."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return (after - before) / count


def chats(count: int) -> directory.Directory:
    """Return a directory shard that remembers `count` chats."""
    mesh = SingleRouterMesh()
    shard = directory.Directory("r1", mesh, mesh.live)
    for number in range(count):
        shard.remember(
            hashing.digest(f"chat-{number}"), f"engine-{number % 90}"
        )
    return shard


def targets(count: int) -> table.TargetTable:
    """Return a table of `count` targets of one data centre."""
    target_table = table.TargetTable("dc1")
    for number in range(count):
        target_table.announce(
            records.Target(
                f"engine-{number}",
                1,
                records.TargetKind.ENGINE,
                f"10.0.{number // 250}.{number % 250}:8000",
                "dc1",
                "r1",
                (f"m{number % 6}",),
            )
        )
    return target_table


def accounts(count: int) -> tuple[fleet.FleetConfig, metrics.Metrics]:
    """Return `count` configured accounts with metrics in two classes."""
    recorded = metrics.Metrics()
    config = fleet.FleetConfig()
    for number in range(count):
        name = f"account-{number}"
        digest = hashing.token_hash(name)
        config.accounts[name] = fleet.Account(name, [digest])
        for figure in ("queueing", "first-token", "between", "whole"):
            recorded.record(figure, 0.1, name, "interactive")
            recorded.record(figure, 0.1, name, "batch")
    return config, recorded


def decision_log(count: int) -> decisions.DecisionLog:
    """Return a decision log of `count` requests."""
    log = decisions.DecisionLog()
    for number in range(count):
        request_id = f"router-1.{number:020x}"
        loads = {f"engine-{n}": n for n in range(8)}
        log.record(request_id, "candidates", eligible=15, reported=loads)
        log.record(request_id, "granted", target="engine-1", owner="router-2")
        log.record(request_id, "attempt-ended", target="engine-1", end="done")
    return log


def run(count: int = 4000) -> report.Report:
    """Measure `count` items of each kind, but at most 900 accounts."""
    results = report.Report("bytes of a router's state")
    for name, build, most in (
        ("a remembered chat", chats, MAX_CHAT_BYTES),
        ("a target in the table", targets, MAX_TARGET_BYTES),
        ("an account with its histograms", accounts, MAX_ACCOUNT_BYTES),
        ("a request that can be explained", decision_log, MAX_REQUEST_BYTES),
    ):
        number = min(count, 900) if build is accounts else count
        size = bytes_each(lambda m=build, n=number: m(n), number)
        results.add(name, size, "bytes", most=most)
    return results
