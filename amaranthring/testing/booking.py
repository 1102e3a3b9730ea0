"""A stand-in of a plain booking service.

``POST /NAME/bookings`` books; every run is recorded, so that a test can
compare what a caller was told with what ran. A body may carry
``{"stand_in": {"fault": ..., "seconds": ...}}`` with one of the faults
``hang-before``, ``hang-after``, ``crash-before``, ``crash-after``, ``slow``,
``truncate``, ``no-length``, ``refuse``, ``status`` and ``large``.
"""

import asyncio
import json
import os
import typing as t

import tornado.web

from amaranthring.core import records
from amaranthring.testing import standin

RUNS_MOST = 100_000
HANG_SECONDS = 3600.0


class Booking:
    """State of one replica.

    Attributes
    ----------
    runs : list of dict
        Every run: its slot, key, method and path.
    honours_keys : bool
        Whether a repeated idempotency key returns the first answer.
    exits : bool
        Whether a crash ends the process; else it drops the connection.
    """

    def __init__(self, name: str, honours_keys=False, exits=False):
        self.name = name
        self.honours_keys = honours_keys
        self.exits = exits
        self.runs: list[dict[str, t.Any]] = []
        self.answers: dict[str, bytes] = {}
        self.running = 0
        self.received = 0

    def load(self) -> tuple[int, int, float]:
        """Return running, waiting and share of memory in use."""
        return self.running, 0, 0.0

    def app(self) -> tornado.web.Application:
        """Return the HTTP application of this replica."""
        given = {"booking": self}
        return tornado.web.Application(
            [
                (r"/control/ran", RanHandler, given),
                (r"/.*", CallHandler, given),
            ]
        )

    def run(self, record: dict[str, t.Any]) -> bytes:
        """Run one call and return its answer."""
        if len(self.runs) < RUNS_MOST:
            self.runs.append(record)
        number = len(self.runs)
        answer = {"booked": record["slot"], "by": self.name, "number": number}
        return json.dumps(answer).encode()


class RanHandler(tornado.web.RequestHandler):
    """``GET /control/ran``: what this replica really ran."""

    def initialize(self, booking):
        """Take the replica's state."""
        self.booking = booking

    def get(self):
        """Answer the runs."""
        self.write({"runs": self.booking.runs})


class CallHandler(tornado.web.RequestHandler):
    """Every call of the service."""

    def initialize(self, booking):
        """Take the replica's state."""
        self.booking = booking
        self.gone = asyncio.Event()

    def on_connection_close(self):
        """Wake a call that hangs for a caller who left."""
        self.gone.set()

    async def prepare(self):
        """Run the call of any method."""
        self.booking.running += 1
        self.booking.received += 1
        try:
            await self._call()
        finally:
            self.booking.running -= 1

    async def _call(self):
        body = _decoded(self.request.body)
        asked = body.get("stand_in", {})
        fault = asked.get("fault", "")
        key = self.request.headers.get("Idempotency-Key", "")
        if fault == "hang-before":
            await self._wait(HANG_SECONDS)
        if fault == "slow":
            await self._wait(asked.get("seconds", 1.0))
        if fault == "crash-before":
            return self._crash()
        if fault == "refuse":
            self.set_header("Amaranthring-Outcome", "not-run")
            self.set_status(503)
            self.finish(b"{}")
            return None
        known = self.booking.honours_keys and key in self.booking.answers
        answer = self.booking.answers[key] if known else self._run(body, key)
        if fault == "hang-after":
            await self._wait(HANG_SECONDS)
        if fault == "crash-after":
            return self._crash()
        if fault == "truncate":
            return self._truncate(answer, f"Content-Length: {len(answer)}")
        if fault == "no-length":
            return self._truncate(answer, "Content-Type: text/plain")
        if fault == "large":
            answer += b" " * asked.get("bytes", 1 << 20)
        if fault == "status":
            self.set_status(asked.get("status", 500))
        self.set_header("Content-Type", "application/json")
        self.finish(answer)
        return None

    def _run(self, body, key):
        answer = self.booking.run(
            {
                "slot": body.get("slot", ""),
                "key": key,
                "method": self.request.method,
                "path": self.request.path,
                "request_id": self.request.headers.get(
                    "Amaranthring-Request-Id", ""
                ),
            }
        )
        if key:
            self.booking.answers[key] = answer
        return answer

    async def _wait(self, seconds):
        try:
            await asyncio.wait_for(self.gone.wait(), seconds)
        except TimeoutError:
            pass

    def _crash(self):
        if self.booking.exits:
            os._exit(1)
        self.detach().close()

    def _truncate(self, answer, header):
        head = f"HTTP/1.1 200 OK\r\n{header}\r\n\r\n"
        stream = self.detach()
        stream.write(head.encode() + answer[: len(answer) // 2])
        stream.close()


def _decoded(data: bytes) -> dict[str, t.Any]:
    try:
        body = json.loads(data or b"{}")
    except ValueError:
        body = {}
    return body if isinstance(body, dict) else {}


async def main() -> None:
    """Run one replica until it is told to stop."""
    parser = standin.arguments(records.TargetKind.SERVICE)
    parser.add_argument("--services", default="booking")
    parser.add_argument("--honours-keys", action="store_true")
    given = parser.parse_args()
    booking = Booking(given.name, given.honours_keys, exits=True)
    _, port = standin.listen(booking.app(), given.port)
    announced = standin.target(
        given,
        records.TargetKind.SERVICE,
        port,
        given.services,
        honours_keys=given.honours_keys,
    )
    await standin.serve(given, announced, booking.load)


if __name__ == "__main__":
    asyncio.run(main())
