"""Processor time of an admission owner for each request.

One cell with its usual load: the messages of each request are encoded and
decoded as on a stream, the decisions are the product's own.
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
MICROSECONDS_MOST = 400.0


class Mesh:
    """A mesh of one router that drops what is sent."""

    data_centre = "dc1"

    def live(self, _data_centre=None) -> list[str]:
        """Return the one router."""
        return ["r1"]

    def data_centre_of(self, _name: str) -> str:
        """Return the one data centre."""
        return self.data_centre

    def subscribe(self, _callback) -> None:
        """Forget the callback: the list never changes."""

    def send(self, _name: str, _message) -> bool:
        """Drop the message."""
        return True


def crossed(kind: int, message):
    """Return `message` as it arrives at the other end of a stream."""
    unpacker = wire.unpacker()
    unpacker.feed(wire.encode(kind, 1, message))
    return wire.decode(unpacker.unpack()).message


def serve(owners, cell: str, number: int, held) -> None:
    """Admit one request; release the oldest when the cell is loaded."""
    ask = messages.Admit(
        cell,
        "r2",
        number,
        f"account-{number % ACCOUNTS}",
        "interactive",
        1,
        f"chat-{number % 5000:032x}",
        30.0,
    )
    granted = owners.on_admit(None, crossed(wire.REQUEST, ask))
    held.append(crossed(wire.REPLY, granted).serial)
    if len(held) > held.maxlen - 1:
        done = messages.Release(cell, "r2", held.popleft(), "done")
        owners.on_release(None, crossed(wire.ONE_WAY, done))


def run(
    engines: int = 15, in_flight: int = 450, requests: int = 4000
) -> report.Report:
    """Measure one cell.

    Parameters
    ----------
    engines : int
        Targets of the cell.
    in_flight : int
        Requests that run at once.
    requests : int
        Requests measured.
    """
    table = fake_network.Table(
        [
            fake_network.target(f"engine-{n}", capacity=200)
            for n in range(engines)
        ]
    )
    config = fleet.FleetConfig(presets={"ordinary": fleet.Preset("ordinary")})
    owners = admission.Controller("r1", table, Mesh(), lambda: config)
    cell = next(iter(cells.group(table.targets.values())))
    held: collections.deque[int] = collections.deque(maxlen=in_flight + 1)
    for number in range(in_flight):
        serve(owners, cell, number, held)
    began = time.process_time()
    for number in range(in_flight, in_flight + requests):
        serve(owners, cell, number, held)
    spent = (time.process_time() - began) / requests * 1e6
    made = report.Report("an admission owner, one cell")
    name = f"a request, {engines} engines, {in_flight} in flight"
    made.add(name, spent, "us", most=MICROSECONDS_MOST)
    return made
