"""A stand-in booking service.

Every run is recorded, so that a test can compare what callers were told with
what ran. The body of a call, such as ``POST /NAME/bookings``, may request a
fault with ``{"stand_in": {"fault": ..., "seconds": ...}}``: ``hang-before``,
``hang-after``, ``crash-before``, ``crash-after``, ``slow``, ``truncate``,
``no-length``, ``refuse``, ``rest``, ``status`` or ``large``.
"""

import asyncio
import json
import os
import typing as t

import tornado.web

from amaranthring.core import records
from amaranthring.targets import upstream
from amaranthring.testing import standin

MAX_RUNS = 100_000
HANG_SECONDS = 3600.0


class Booking:
    """State of one replica of the service.

    Attributes
    ----------
    runs : list of dict
        Every run: its slot, key, method and path.
    honours_keys : bool
        Whether a repeated idempotency key returns the first answer.
    exit_on_crash : bool
        Whether a crash ends the process or just drops the connection.
    leaving : bool
        Whether all answers say that it leaves.
    """

    def __init__(self, name: str, honours_keys=False, exit_on_crash=False):
        self.name = name
        self.honours_keys = honours_keys
        self.exit_on_crash = exit_on_crash
        self.runs: list[dict[str, t.Any]] = []
        self.answers: dict[str, bytes] = {}
        self.running = 0
        self.received = 0
        self.leaving = False

    def leave(self) -> None:
        """Say in all answers from now on that this replica leaves."""
        self.leaving = True

    def load(self) -> tuple[int, int, float]:
        """Return requests running and waiting, and the share of KV memory."""
        return self.running, 0, 0.0

    def app(self) -> tornado.web.Application:
        """Return the HTTP application of this replica."""
        handler_args = {"booking": self}
        return tornado.web.Application(
            [
                (r"/control/ran", RunsHandler, handler_args),
                (r"/.*", CallHandler, handler_args),
            ]
        )

    def run(self, record: dict[str, t.Any]) -> bytes:
        """Run one call and return its answer."""
        if len(self.runs) < MAX_RUNS:
            self.runs.append(record)
        number = len(self.runs)
        answer = {"booked": record["slot"], "by": self.name, "number": number}
        return json.dumps(answer).encode()


class RunsHandler(tornado.web.RequestHandler):
    """``GET /control/ran``: the calls that this replica ran."""

    def initialize(self, booking):
        """Store the replica's state."""
        self.booking = booking

    def get(self):
        """Return the recorded runs."""
        self.write({"runs": self.booking.runs})


class CallHandler(tornado.web.RequestHandler):
    """Handles every call of the service."""

    def initialize(self, booking):
        """Store the replica's state."""
        self.booking = booking
        self.disconnected = asyncio.Event()

    def on_connection_close(self):
        """End the wait of a call whose caller disconnected."""
        self.disconnected.set()

    async def prepare(self):
        """Run a call of any HTTP method."""
        self.booking.running += 1
        self.booking.received += 1
        if self.booking.leaving:
            self.set_header(upstream.LEAVING_HEADER, "1")
        try:
            await self._run_call()
        finally:
            self.booking.running -= 1

    async def _run_call(self):
        body = _decode_body(self.request.body)
        options = body.get("stand_in", {})
        fault = options.get("fault", "")
        key = self.request.headers.get("Idempotency-Key", "")
        if fault == "hang-before":
            await self._wait(HANG_SECONDS)
        if fault == "slow":
            await self._wait(options.get("seconds", 1.0))
        if fault == "crash-before":
            return self._crash()
        if fault in ("refuse", "rest"):
            if fault == "rest":
                self.set_header("Retry-After", str(options["seconds"]))
            self.set_header("Amaranthring-Outcome", "not-run")
            self.set_status(503)
            self.finish(b"{}")
            return None
        repeated = self.booking.honours_keys and key in self.booking.answers
        answer = (
            self.booking.answers[key] if repeated else self._run(body, key)
        )
        if fault == "hang-after":
            await self._wait(HANG_SECONDS)
        if fault == "crash-after":
            return self._crash()
        if fault == "truncate":
            return self._truncate(answer, f"Content-Length: {len(answer)}")
        if fault == "no-length":
            return self._truncate(answer, "Content-Type: text/plain")
        if fault == "large":
            answer += b" " * options.get("bytes", 1 << 20)
        if fault == "status":
            self.set_status(options.get("status", 500))
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
            await asyncio.wait_for(self.disconnected.wait(), seconds)
        except TimeoutError:
            pass

    def _crash(self):
        if self.booking.exit_on_crash:
            os._exit(1)
        self.detach().close()

    def _truncate(self, answer, header):
        head = f"HTTP/1.1 200 OK\r\n{header}\r\n\r\n"
        stream = self.detach()
        stream.write(head.encode() + answer[: len(answer) // 2])
        stream.close()


def _decode_body(data: bytes) -> dict[str, t.Any]:
    try:
        body = json.loads(data or b"{}")
    except ValueError:
        body = {}
    return body if isinstance(body, dict) else {}


async def main() -> None:
    """Run one replica until SIGTERM or SIGINT."""
    parser = standin.arguments(records.TargetKind.SERVICE)
    parser.add_argument("--services", default="booking")
    parser.add_argument("--honours-keys", action="store_true")
    args = parser.parse_args()
    booking = Booking(args.name, args.honours_keys, exit_on_crash=True)
    _, port = standin.listen(booking.app(), args.port)
    target = standin.target(
        args,
        records.TargetKind.SERVICE,
        port,
        args.services,
        honours_keys=args.honours_keys,
    )
    await standin.serve(args, target, booking.load, on_leave=booking.leave)


if __name__ == "__main__":
    asyncio.run(main())
