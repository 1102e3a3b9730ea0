"""Control traffic and processor time of a router's membership.

Starts 2, 6 and 24 router processes that run only the mesh, the target sync
and the target table, with targets that announce themselves over HTTP, and
extrapolates the results to 53 routers in each of 7 data centres. Bytes are
counted on the links and HTTP connections, in both directions.
"""

import asyncio
import dataclasses
import json
import statistics
import sys
import typing as t

from amaranthring import errors
from amaranthring.bench import report
from amaranthring.core import records
from amaranthring.routers import relays
from amaranthring.testing import announcements

KEYS = {"t": b"t" * 32}
TARGETS = 630
TARGETS_PER_ROUTER = TARGETS / 370
ROUTERS_PER_DATA_CENTRE = 53
DATA_CENTRES = 7
MAX_BYTES_PER_SECOND = 12_500
MAX_PROCESSOR_PERCENT = 1.8
CONVERGENCE_SECONDS = 30.0
READ_SECONDS = 20.0
REPEAT_SECONDS = 5.0


@dataclasses.dataclass
class Layout:
    """Number of routers, and of data centres they are spread over."""

    routers: int
    data_centres: int

    def data_centre(self, number: int) -> str:
        """Return the data centre of router `number`."""
        return f"dc{number % self.data_centres}"


@dataclasses.dataclass
class Usage:
    """Resource usage of one router.

    Attributes
    ----------
    streams, http : float
        Bytes per second on links and on HTTP connections, both
        directions together.
    processor : float
        Percent of one core.
    messages : float
        Messages sent to other routers per second.
    resident_mb : float
        Peak resident memory, in MiB.
    """

    streams: float
    http: float
    processor: float
    messages: float
    resident_mb: float

    @property
    def total(self) -> float:
        """Return all bytes per second."""
        return self.streams + self.http


class Workers:
    """Router processes and targets of one layout."""

    def __init__(self, layout: Layout):
        self.layout = layout
        self.processes: list[asyncio.subprocess.Process] = []
        self.urls: list[str] = []
        self.announcers: list[announcements.Announcer] = []

    async def start(self) -> None:
        """Start the processes and the targets."""
        for _ in range(self.layout.routers):
            self.processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "amaranthring.bench.control_worker",
                    stdin=asyncio.subprocess.PIPE,
                    stdout=asyncio.subprocess.PIPE,
                    stderr=asyncio.subprocess.DEVNULL,
                )
            )
        ports = [json.loads(await _read_line(one)) for one in self.processes]
        peers = [
            {
                "name": f"router-{number:03}",
                "data_centre": self.layout.data_centre(number),
                "address": f"127.0.0.1:{fleet_port}",
            }
            for number, (fleet_port, _) in enumerate(ports)
        ]
        self.urls = [f"http://127.0.0.1:{http}" for _, http in ports]
        for process, peer in zip(self.processes, peers, strict=True):
            config = {"name": peer["name"], "peers": peers}
            process.stdin.write(json.dumps(config).encode() + b"\n")
        self._announce()

    def _announce(self) -> None:
        count = round(self.layout.routers * TARGETS_PER_ROUTER)
        for number in range(count):
            router = number % self.layout.routers
            target = records.Target(
                f"engine-{number:04}",
                1_760_000_000_000,
                records.TargetKind.ENGINE,
                f"10.0.0.1:{number + 1}",
                self.layout.data_centre(router),
                "default",
                ("m",),
            )
            announcer = announcements.Announcer(
                target,
                [self.urls[router]],
                "t",
                KEYS["t"],
                lambda: (12, 3, 0.5),
            )
            announcer.start()
            self.announcers.append(announcer)

    async def figures(self) -> list[dict[str, t.Any]]:
        """Return the current figures of every process."""
        for process in self.processes:
            process.stdin.write(b"figures\n")
        return [json.loads(await _read_line(one)) for one in self.processes]

    async def wait_converged(self) -> None:
        """Wait until every router knows all routers and targets.

        Raises
        ------
        errors.InternalError
            If they do not within `CONVERGENCE_SECONDS`.
        """
        routers = self.layout.routers
        remote = (DATA_CENTRES - 1) * (TARGETS // DATA_CENTRES)
        targets = len(self.announcers) + remote
        for _ in range(int(CONVERGENCE_SECONDS)):
            figures = await self.figures()
            if all(
                figure["live"] == routers and figure["eligible"] == targets
                for figure in figures
            ):
                return
            await asyncio.sleep(1.0)
        raise errors.InternalError(
            "routers did not discover all routers and targets in time"
        )

    async def stop(self) -> None:
        """Stop the targets and the processes."""
        for announcer in self.announcers:
            announcer.task.cancel()
            announcer.client.close()
        for process in self.processes:
            process.stdin.close()
        for process in self.processes:
            await process.wait()


async def _read_line(process: asyncio.subprocess.Process) -> bytes:
    return await asyncio.wait_for(process.stdout.readline(), READ_SECONDS)


def usage_between(before: dict[str, t.Any], after: dict[str, t.Any]) -> Usage:
    """Return the usage between two readings of a process's figures."""
    seconds = after["at"] - before["at"]

    def rate(*names):
        return sum(after[name] - before[name] for name in names) / seconds

    return Usage(
        rate("sent", "received"),
        rate("http"),
        100 * rate("processor_seconds"),
        rate("messages"),
        after["resident_kb"] / 1024,
    )


async def measure(layout: Layout, seconds: float) -> list[Usage]:
    """Return the steady-state usage of each router of `layout`."""
    workers = Workers(layout)
    try:
        await workers.start()
        await workers.wait_converged()
        # The first changes are still repeated in batches for some time.
        await asyncio.sleep(REPEAT_SECONDS)
        before = await workers.figures()
        await asyncio.sleep(seconds)
        after = await workers.figures()
    finally:
        await workers.stop()
    return [usage_between(*pair) for pair in zip(before, after, strict=True)]


def extrapolate(sizes: list[int], values: list[float], size: int) -> float:
    """Return the value at `size` on the least-squares line."""
    slope, base = statistics.linear_regression(sizes, values)
    return base + slope * size


def _add_layout(
    results: report.Report, layout: Layout, usages: list[Usage]
) -> Usage:
    label = f"{layout.routers} routers, {layout.data_centres} data centres"
    median = Usage(
        statistics.median(usage.streams for usage in usages),
        statistics.median(usage.http for usage in usages),
        statistics.median(usage.processor for usage in usages),
        max(usage.messages for usage in usages),
        max(usage.resident_mb for usage in usages),
    )
    worst = max(usage.total for usage in usages)
    results.add(f"streams, median of {label}", median.streams, "B/s")
    results.add(f"HTTP, median of {label}", median.http, "B/s")
    results.add(f"all bytes, worst of {label}", worst, "B/s")
    results.add(f"messages sent, worst of {label}", median.messages, "/s")
    results.add(f"processor, median of {label}", median.processor, "%")
    results.add(f"memory, most of {label}", median.resident_mb, "MB", most=128)
    return median


def run(
    sizes: tuple[int, ...] = (2, 6, 24),
    data_centres: int = 3,
    seconds: float = 6.0,
) -> report.Report:
    """Measure bytes and processor time per router, and extrapolate them.

    Parameters
    ----------
    sizes : tuple of int
        Numbers of routers, each measured in one data centre.
    data_centres : int
        Data centres over which the largest size is measured again, for
        the cost of the relays.
    seconds : float
        Duration of each measurement.
    """
    results = report.Report("control traffic of membership")
    medians = []
    for size in sizes:
        layout = Layout(size, 1)
        usages = asyncio.run(measure(layout, seconds))
        medians.append(_add_layout(results, layout, usages))
    split_layout = Layout(sizes[-1], data_centres)
    split_usages = asyncio.run(measure(split_layout, seconds))
    _add_layout(results, split_layout, split_usages)
    _add_full_size(results, list(sizes), medians, split_layout, split_usages)
    return results


def digests_per_second(routers: float, data_centres: int) -> float:
    """Return the digests per second of one router for other data centres.

    For each other data centre, the first relay forwards one digest per second
    to all routers of its own, inside its batch, and the relays of the two
    data centres exchange theirs. Sent and received digests are counted, as a
    mean over the routers of a data centre.
    """
    others = data_centres - 1
    passed_on = others * (routers - 1) / routers
    exchanged = others * relays.RELAYS**2 / routers
    return 2 * (passed_on + exchanged)


def _add_full_size(
    results, sizes, medians, split_layout, split_usages
) -> None:
    """Add the figures extrapolated to full size.

    The cost within a data centre of n routers is taken from the line through
    the measured sizes. The cost of one digest is the mean of the split layout
    above that line, divided by its number of digests;
    :func:`digests_per_second` gives their number at full size. The first
    relay of a pair of data centres also adds a digest to its batch to each
    neighbour.
    """
    size = ROUTERS_PER_DATA_CENTRE
    split_size = split_layout.routers / split_layout.data_centres
    measured_rate = digests_per_second(split_size, split_layout.data_centres)
    full_rate = digests_per_second(size, DATA_CENTRES)
    for name, unit, most, value in (
        ("all bytes", "B/s", MAX_BYTES_PER_SECOND, lambda usage: usage.total),
        (
            "processor",
            "%",
            MAX_PROCESSOR_PERCENT,
            lambda usage: usage.processor,
        ),
    ):
        values = [value(usage) for usage in medians]
        base = extrapolate(sizes, values, size)
        mean = statistics.fmean(value(usage) for usage in split_usages)
        per_digest = (
            max(0.0, mean - extrapolate(sizes, values, split_size))
            / measured_rate
        )
        results.add(f"{name} at {size} routers, one data centre", base, unit)
        results.add(f"{name} of one digest", per_digest, unit)
        total = base + full_rate * per_digest
        results.add(f"{name} at 370, mean", total, unit, most=most)
        if unit == "B/s":
            relay = total + (size - 1) * per_digest
            results.add(f"{name} at 370, first relay of a pair", relay, unit)
