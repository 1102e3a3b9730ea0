"""Processor time of an admission owner per request.

One cell runs under its usual load. The messages of each request are encoded
and decoded as on a link; the decisions are made by the product's code.
"""

import collections
import time

from amaranthring.bench import report
from amaranthring.core import fleet
from amaranthring.core import wire
from amaranthring.policy import cells
from amaranthring.routers import admission
from amaranthring.routers import admission_messages as messages
from amaranthring.testing import fake_network

ACCOUNTS = 130
MAX_MICROSECONDS = 400.0


class SingleRouterMesh:
    """A fake mesh of one router that drops all messages."""

    data_centre = "dc1"

    def live(self, _data_centre=None) -> list[str]:
        """Return the one router."""
        return ["r1"]

    def data_centre_of(self, _name: str) -> str:
        """Return the one data centre."""
        return self.data_centre

    def subscribe(self, _callback) -> None:
        """Ignore the callback: the list never changes."""

    def send(self, _name: str, _message) -> bool:
        """Drop the message."""
        return True


def round_trip(kind: int, message):
    """Return `message` as it arrives at the other end of a link."""
    unpacker = wire.unpacker()
    unpacker.feed(wire.encode(kind, 1, message))
    return wire.decode(unpacker.unpack()).message


def serve_request(controller, cell: str, number: int, serials) -> None:
    """Admit one request; release the oldest once the cell is loaded."""
    admit = messages.Admit(
        cell,
        "r2",
        number,
        f"account-{number % ACCOUNTS}",
        "interactive",
        1,
        f"chat-{number % 5000:032x}",
        30.0,
    )
    granted = controller.on_admit(None, round_trip(wire.REQUEST, admit))
    serials.append(round_trip(wire.REPLY, granted).serial)
    if len(serials) > serials.maxlen - 1:
        release = messages.Release(cell, "r2", serials.popleft(), "done")
        controller.on_release(None, round_trip(wire.ONE_WAY, release))


def run(
    engines: int = 15, in_flight: int = 450, requests: int = 4000
) -> report.Report:
    """Measure one cell.

    Parameters
    ----------
    engines : int
        Targets of the cell.
    in_flight : int
        Requests in flight.
    requests : int
        Number of requests measured.
    """
    table = fake_network.Table(
        [
            fake_network.target(f"engine-{n}", capacity=200)
            for n in range(engines)
        ]
    )
    config = fleet.FleetConfig(presets={"ordinary": fleet.Preset("ordinary")})
    controller = admission.Controller(
        "r1", table, SingleRouterMesh(), lambda: config
    )
    cell = next(iter(cells.group(table.targets.values())))
    serials: collections.deque[int] = collections.deque(maxlen=in_flight + 1)
    for number in range(in_flight):
        serve_request(controller, cell, number, serials)
    started = time.process_time()
    for number in range(in_flight, in_flight + requests):
        serve_request(controller, cell, number, serials)
    microseconds = (time.process_time() - started) / requests * 1e6
    results = report.Report("an admission owner, one cell")
    name = f"a request, {engines} engines, {in_flight} in flight"
    results.add(name, microseconds, "us", most=MAX_MICROSECONDS)
    return results
