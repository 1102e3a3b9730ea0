"""Control traffic and processor time of a router's membership.

Starts 2, 6 and 24 processes that hold mesh, spread and table, with targets
that announce themselves to them over HTTP as the stand-ins do, and carries
the slope to the size of letter 1: 53 routers in each of 7 data centres.
Bytes are payload of the streams and of HTTP, both directions.
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
TARGETS_A_ROUTER = TARGETS / 370
ROUTERS_A_DATA_CENTRE = 53
DATA_CENTRES = 7
BYTES_MOST = 12_500
PROCESSOR_PERCENT_MOST = 1.8
SETTLE_SECONDS = 30.0
LINE_SECONDS = 20.0
REPEATED_SECONDS = 5.0


@dataclasses.dataclass
class Layout:
    """How many routers stand in how many data centres."""

    routers: int
    data_centres: int

    def place(self, number: int) -> str:
        """Return the data centre of router `number`."""
        return f"dc{number % self.data_centres}"


@dataclasses.dataclass
class Use:
    """What one router used, a second.

    Attributes
    ----------
    streams, http : float
        Bytes a second, both directions together.
    processor : float
        Percent of one core.
    messages : float
        Messages sent to other routers a second.
    resident_mb : float
        Highest resident memory.
    """

    streams: float
    http: float
    processor: float
    messages: float
    resident_mb: float

    @property
    def total(self) -> float:
        """Return all bytes a second."""
        return self.streams + self.http


class Workers:
    """The processes of one layout."""

    def __init__(self, layout: Layout):
        self.layout = layout
        self.processes: list[asyncio.subprocess.Process] = []
        self.http: list[str] = []
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
        ports = [json.loads(await _line(one)) for one in self.processes]
        peers = [
            {
                "name": f"router-{number:03}",
                "data_centre": self.layout.place(number),
                "address": f"127.0.0.1:{fleet}",
            }
            for number, (fleet, _) in enumerate(ports)
        ]
        self.http = [f"http://127.0.0.1:{http}" for _, http in ports]
        for process, peer in zip(self.processes, peers, strict=True):
            given = {"name": peer["name"], "peers": peers}
            process.stdin.write(json.dumps(given).encode() + b"\n")
        self._announce()

    def _announce(self) -> None:
        count = round(self.layout.routers * TARGETS_A_ROUTER)
        for number in range(count):
            router = number % self.layout.routers
            target = records.Target(
                f"engine-{number:04}",
                1_760_000_000_000,
                records.TargetKind.ENGINE,
                f"10.0.0.1:{number + 1}",
                self.layout.place(router),
                "default",
                ("m",),
            )
            announcer = announcements.Announcer(
                target,
                [self.http[router]],
                "t",
                KEYS["t"],
                lambda: (12, 3, 0.5),
            )
            announcer.start()
            self.announcers.append(announcer)

    async def figures(self) -> list[dict[str, t.Any]]:
        """Return the figures of every process."""
        for process in self.processes:
            process.stdin.write(b"figures\n")
        return [json.loads(await _line(one)) for one in self.processes]

    async def settle(self) -> None:
        """Wait until every router knows every other and every target.

        Raises
        ------
        errors.InternalError
            If that takes too long.
        """
        routers = self.layout.routers
        far = (DATA_CENTRES - 1) * (TARGETS // DATA_CENTRES)
        targets = len(self.announcers) + far
        for _ in range(int(SETTLE_SECONDS)):
            found = await self.figures()
            if all(
                one["live"] == routers and one["eligible"] == targets
                for one in found
            ):
                return
            await asyncio.sleep(1.0)
        raise errors.InternalError("the routers did not find each other")

    async def stop(self) -> None:
        """End what was started."""
        for announcer in self.announcers:
            announcer.task.cancel()
            announcer.client.close()
        for process in self.processes:
            process.stdin.close()
        for process in self.processes:
            await process.wait()


async def _line(process: asyncio.subprocess.Process) -> bytes:
    return await asyncio.wait_for(process.stdout.readline(), LINE_SECONDS)


def used(before: dict[str, t.Any], after: dict[str, t.Any]) -> Use:
    """Return the use between two figures of one process."""
    seconds = after["at"] - before["at"]

    def rate(*names):
        return sum(after[name] - before[name] for name in names) / seconds

    return Use(
        rate("sent", "received"),
        rate("http"),
        100 * rate("processor_seconds"),
        rate("messages"),
        after["resident_kb"] / 1024,
    )


async def measure(layout: Layout, seconds: float) -> list[Use]:
    """Return the steady use of each router of `layout`."""
    workers = Workers(layout)
    try:
        await workers.start()
        await workers.settle()
        # The first news is repeated for some seconds; it is not steady use.
        await asyncio.sleep(REPEATED_SECONDS)
        before = await workers.figures()
        await asyncio.sleep(seconds)
        after = await workers.figures()
    finally:
        await workers.stop()
    return [used(*pair) for pair in zip(before, after, strict=True)]


def carried(sizes: list[int], values: list[float], size: int) -> float:
    """Return the value at `size` on the least-squares line."""
    slope, base = statistics.linear_regression(sizes, values)
    return base + slope * size


def _add(made: report.Report, layout: Layout, uses: list[Use]) -> Use:
    where = f"{layout.routers} routers, {layout.data_centres} data centres"
    median = Use(
        statistics.median(use.streams for use in uses),
        statistics.median(use.http for use in uses),
        statistics.median(use.processor for use in uses),
        max(use.messages for use in uses),
        max(use.resident_mb for use in uses),
    )
    worst = max(use.total for use in uses)
    made.add(f"streams, median of {where}", median.streams, "B/s")
    made.add(f"HTTP, median of {where}", median.http, "B/s")
    made.add(f"all bytes, worst of {where}", worst, "B/s")
    made.add(f"messages sent, worst of {where}", median.messages, "/s")
    made.add(f"processor, median of {where}", median.processor, "%")
    made.add(f"memory, most of {where}", median.resident_mb, "MB", most=128)
    return median


def run(
    sizes: tuple[int, ...] = (2, 6, 24),
    data_centres: int = 3,
    seconds: float = 6.0,
) -> report.Report:
    """Return control bytes and processor time a router, and the slope.

    Parameters
    ----------
    sizes : tuple of int
        Routers of one data centre, each measured.
    data_centres : int
        In how many data centres the largest size is measured once more,
        for what the relays add.
    seconds : float
        Length of each measurement.
    """
    made = report.Report("control traffic of membership")
    medians = []
    for size in sizes:
        layout = Layout(size, 1)
        uses = asyncio.run(measure(layout, seconds))
        medians.append(_add(made, layout, uses))
    split = Layout(sizes[-1], data_centres)
    across = asyncio.run(measure(split, seconds))
    _add(made, split, across)
    _carry(made, list(sizes), medians, split, across)
    return made


def digests(routers: float, data_centres: int) -> float:
    """Return digests a second that one router has for other data centres.

    For each other data centre the first relay passes one digest a second on
    to all routers, inside its batch, and two relays on either side exchange
    theirs. Sent and received are counted, as a mean over the routers of a
    data centre.
    """
    others = data_centres - 1
    passed_on = others * (routers - 1) / routers
    exchanged = others * relays.RELAYS**2 / routers
    return 2 * (passed_on + exchanged)


def _carry(made, sizes, medians, split, across) -> None:
    """Add the figures at full size.

    A data centre of n routers costs the line through the measured sizes at
    n. The split layout's mean above that line, a digest, is what one digest
    costs; :func:`digests` gives their number at full size. The first relay
    of a pair of data centres adds a digest to its batch to each neighbour.
    """
    size = ROUTERS_A_DATA_CENTRE
    inside = split.routers / split.data_centres
    measured = digests(inside, split.data_centres)
    full = digests(size, DATA_CENTRES)
    for name, unit, most, value in (
        ("all bytes", "B/s", BYTES_MOST, lambda use: use.total),
        ("processor", "%", PROCESSOR_PERCENT_MOST, lambda use: use.processor),
    ):
        values = [value(use) for use in medians]
        base = carried(sizes, values, size)
        mean = statistics.fmean(value(use) for use in across)
        each = max(0.0, mean - carried(sizes, values, inside)) / measured
        made.add(f"{name} at {size} routers, one data centre", base, unit)
        made.add(f"{name} of one digest", each, unit)
        whole = base + full * each
        made.add(f"{name} at 370, mean", whole, unit, most=most)
        if unit == "B/s":
            relay = whole + (size - 1) * each
            made.add(f"{name} at 370, first relay of a pair", relay, unit)
