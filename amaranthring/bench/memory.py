"""Bytes of a router's state, for each thing that it holds one of.

What a router keeps in memory is bounded by counts; these are the bytes
behind each count, for the page on capacity.
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

CHAT_BYTES_MOST = 400
TARGET_BYTES_MOST = 4000
ACCOUNT_BYTES_MOST = 60_000
REQUEST_BYTES_MOST = 4000


class Alone:
    """A mesh of one router, as far as the parts measured here ask."""

    data_centre = "dc1"

    def live(self, _data_centre=None) -> list[str]:
        """Return the one router."""
        return ["r1"]

    def subscribe(self, _callback) -> None:
        """Forget the callback: the list never changes."""


def grown(make: t.Callable[[], t.Any], count: int) -> float:
    """Return bytes for each of `count` things that `make` keeps."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = make()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return (after - before) / count


def chats(count: int) -> directory.Directory:
    """Return a directory shard that remembers `count` chats."""
    mesh = Alone()
    shard = directory.Directory("r1", mesh, mesh.live)
    for number in range(count):
        shard.remember(
            hashing.digest(f"chat-{number}"), f"engine-{number % 90}"
        )
    return shard


def targets(count: int) -> table.TargetTable:
    """Return a table of `count` targets of one data centre."""
    made = table.TargetTable("dc1")
    for number in range(count):
        made.announce(
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
    return made


def accounts(count: int) -> tuple[fleet.FleetConfig, metrics.Metrics]:
    """Return `count` accounts, configured and measured in two classes."""
    made = metrics.Metrics()
    config = fleet.FleetConfig()
    for number in range(count):
        name = f"account-{number}"
        digest = hashing.token_hash(name)
        config.accounts[name] = fleet.Account(name, [digest])
        for figure in ("queueing", "first-token", "between", "whole"):
            made.record(figure, 0.1, name, "interactive")
            made.record(figure, 0.1, name, "batch")
    return config, made


def explained(count: int) -> decisions.DecisionLog:
    """Return a ring that explains `count` requests."""
    ring = decisions.DecisionLog()
    for number in range(count):
        name = f"router-1.{number:020x}"
        loads = {f"engine-{n}": n for n in range(8)}
        ring.record(name, "candidates", eligible=15, reported=loads)
        ring.record(name, "granted", target="engine-1", owner="router-2")
        ring.record(name, "attempt-ended", target="engine-1", end="done")
    return ring


def run(count: int = 4000) -> report.Report:
    """Measure `count` of each."""
    made = report.Report("bytes of a router's state")
    for name, make, most in (
        ("a remembered chat", chats, CHAT_BYTES_MOST),
        ("a target in the table", targets, TARGET_BYTES_MOST),
        ("an account with its histograms", accounts, ACCOUNT_BYTES_MOST),
        ("a request that can be explained", explained, REQUEST_BYTES_MOST),
    ):
        number = min(count, 900) if make is accounts else count
        value = grown(lambda m=make, n=number: m(n), number)
        made.add(name, value, "bytes", most=most)
    return made
