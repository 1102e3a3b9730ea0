"""``make demo``: a whole fleet on loopback, under failures.

Three keepers, six routers in three data centres, five stand-in engines and
three stand-in booking replicas run as separate processes. Callers chat and
book through all routers while an engine and a router are killed, another
engine is drained and the preset is switched. Every answer is checked; the
exit code is 0 only if every check passed.
"""

import asyncio
import dataclasses
import json
import pathlib
import shutil
import sys
import time
import uuid

from amaranthring import errors
from amaranthring.core import signals
from amaranthring.testing import load
from amaranthring.testing import local_fleet

SETTINGS = pathlib.Path("examples/fleet")
FOLDER = pathlib.Path("run/demo")
ENGINES = 5
REPLICAS = 3
CHANGE_TIMEOUT_SECONDS = 3.0
POLL_SECONDS = 0.02


@dataclasses.dataclass
class Check:
    """One row of the result table."""

    title: str
    value: str
    passed: bool


class Demo:
    """The fleet, its callers and the results of the checks."""

    def __init__(self):
        shutil.rmtree(FOLDER, ignore_errors=True)
        local_fleet.write_secrets(FOLDER)
        self.fleet = local_fleet.LocalFleet(SETTINGS, FOLDER / "logs")
        self.routers = self.fleet.names("router")
        urls = [self.fleet.callers_url(name) for name in self.routers]
        token = local_fleet.ACCOUNTS["agenda"]
        self.callers = load.Callers(urls, token)
        text = (FOLDER / "operator.token").read_text()
        self.operator = text.split()[1]
        self.checks: list[Check] = []

    def check(self, title: str, value: object, passed: bool) -> None:
        """Add a row to the result table."""
        self.checks.append(Check(title, str(value), passed))

    def start(self) -> None:
        """Start every process and wait until all targets are known."""
        started_at = time.monotonic()
        for name in [*self.fleet.names("keeper"), *self.routers]:
            self.fleet.start(name)
        self.fleet.wait_ready(self.routers)
        data_centres = local_fleet.DATA_CENTRES
        for number in range(ENGINES):
            data_centre = data_centres[number % len(data_centres)]
            self._start_target(
                "engine", number, data_centre, "--token-seconds", "0.01"
            )
        for number in range(REPLICAS):
            self._start_target("booking", number, data_centres[number])
        self.fleet.wait_targets(ENGINES + REPLICAS, self.routers)
        seconds = time.monotonic() - started_at
        self.check("fleet ready", f"{seconds:.1f} s", True)

    def _start_target(self, kind, number, data_centre, *options) -> None:
        name = f"{kind}-{number + 1}"
        self.fleet.start_target(
            kind, name, "--data-centre", data_centre, *options
        )

    async def run(self) -> None:
        """Run each scenario in turn."""
        await self.steady_state()
        await self.bookings()
        await self.engine_killed()
        await self.router_killed()
        await self.engine_drained()
        await self.preset_switched()

    async def steady_state(self) -> None:
        """Chat through all routers, without failures."""
        chats = [self.callers.chat() for _ in range(30)]
        await load.run_all(*chats)
        tally = self.callers.tally
        good = tally.complete == 90 and not tally.refused
        self.check("whole answers, calm", f"{tally.complete} of 90", good)
        router_count = len(tally.routers)
        self.check("routers that served", router_count, router_count == 6)

    async def bookings(self) -> None:
        """Book under idempotency keys, then resend through other routers."""
        keys = [uuid.uuid4().hex for _ in range(20)]
        first = [self.callers.book(f"slot {key}", key) for key in keys]
        answers = await asyncio.gather(*first)
        again = [self.callers.book(f"slot {key}", key) for key in keys]
        answers += await asyncio.gather(*again)
        ran = self.booked_keys()
        once = all(ran.count(key) == 1 for key in keys)
        all_ran = all(outcome == "ran" for outcome, _ in answers)
        self.check("bookings run once", f"{len(ran)} of 20", once and all_ran)
        same = all(
            a[1] == b[1]
            for a, b in zip(answers[:20], answers[20:], strict=True)
        )
        self.check("resent bookings: same answer", same, same)

    def booked_keys(self) -> list[str]:
        """Return the key of every booking that the replicas ran."""
        keys = []
        for address in self.addresses("booking"):
            _, body = local_fleet.http_get(f"http://{address}/control/ran")
            keys += [run["key"] for run in json.loads(body)["runs"]]
        return keys

    def addresses(self, kind: str) -> list[str]:
        """Return the addresses of running stand-ins."""
        addresses = []
        for name, process in self.fleet.processes.items():
            if name.startswith(kind):
                first = process.log.read_text().splitlines()[0]
                addresses.append(first.split()[1])
        return addresses

    async def engine_killed(self) -> None:
        """Kill an engine under load."""
        await self._under_load(
            "engine killed under load",
            lambda: self.fleet.processes.pop("engine-5").kill(),
        )

    async def router_killed(self) -> None:
        """Kill a router under load; the balancer removes it."""

        def kill():
            self.callers.remove_router(self.fleet.callers_url("router-6"))
            self.fleet.processes.pop("router-6").kill()
            self.routers.remove("router-6")

        await self._under_load(
            "router killed under load", kill, connections_lost=True
        )

    async def engine_drained(self) -> None:
        """Drain an engine by command; it gets no new requests."""
        path = "/operators/targets/engine-4/drain"
        await self._changed_under_load(
            "engine drained under load", path, {"reason": "demo"}
        )
        before = self.run_count("engine-4")
        await load.run_all(*[self.callers.chat(1) for _ in range(20)])
        after = self.run_count("engine-4")
        self.check("new work after the drain", after - before, after == before)

    def run_count(self, engine: str) -> int:
        """Return how many runs `engine` recorded."""
        process = self.fleet.processes[engine]
        address = process.log.read_text().split()[1]
        _, body = local_fleet.http_get(f"http://{address}/control/ran")
        return len(json.loads(body)["ran"])

    async def preset_switched(self) -> None:
        """Switch the preset under load; every router applies it."""
        await self._changed_under_load(
            "preset switched under load",
            "/operators/switch",
            {"preset": "peak"},
        )

    async def _changed_under_load(self, title, path, body) -> None:
        durations: list[float] = []

        def change():
            started_at = time.monotonic()
            revision = self.send_change("POST", path, body)
            while time.monotonic() < started_at + CHANGE_TIMEOUT_SECONDS:
                if all(
                    self.has_applied(name, revision) for name in self.routers
                ):
                    durations.append(time.monotonic() - started_at)
                    return
                time.sleep(POLL_SECONDS)

        await self._under_load(title, change)
        value = f"{durations[0] * 1e3:.0f} ms" if durations else "not in time"
        self.check("  in force on all routers", value, bool(durations))

    def has_applied(self, router: str, revision: int) -> bool:
        """Return whether `router` has applied at least `revision`."""
        _, body = local_fleet.http_get(
            self.fleet.internal_url(router) + "/metrics"
        )
        gauges = json.loads(body or b'{"gauges": {}}')["gauges"]
        return gauges.get("revisions.revision", 0) >= revision

    def send_change(self, method: str, path: str, body: dict) -> int:
        """Send an operator's change and return the new revision."""
        headers = {"Authorization": f"Bearer {self.operator}"}
        base = self.fleet.internal_url("router-1")
        _, status = local_fleet.http_get(base + "/operators/status", headers)
        revision = json.loads(status)["revision"]
        headers["If-Match"] = f'"{revision}"'
        headers["Amaranthring-Command-Id"] = uuid.uuid4().hex
        code, answer = local_fleet.http_request(
            method, base + path, headers, json.dumps(body).encode()
        )
        if code != 200:
            raise errors.InternalError(f"{path} returned {code}: {answer!r}")
        return json.loads(answer)["revision"]

    async def _under_load(self, title, action, connections_lost=False) -> None:
        tally = self.callers.tally
        before = tally.complete
        chats = [self.callers.chat() for _ in range(20)]
        running = asyncio.ensure_future(load.run_all(*chats))
        await asyncio.sleep(0.15)
        await asyncio.get_running_loop().run_in_executor(None, action)
        await running
        complete = tally.complete - before
        incorrect = tally.mismatched + tally.truncated
        refused = dict(tally.refused)
        # Callers of a killed router lose their connections, as expected.
        if connections_lost:
            refused.pop("connection-lost", None)
        value = f"{complete} whole, {incorrect} bad, refused {refused}"
        self.check(title, value, not incorrect and not refused)
        tally.refused.clear()
        tally.mismatched = 0
        tally.truncated = 0

    def finish(self) -> None:
        """Stop every process and check the exit codes."""
        codes = self.fleet.stop_all()
        failed = {name: code for name, code in codes.items() if code}
        self.check("processes ended with 0", failed or len(codes), not failed)

    def table(self) -> str:
        """Return the result table."""
        width = max(len(check.title) for check in self.checks)
        lines = []
        for check in self.checks:
            mark = "held" if check.passed else "FAILED"
            lines.append(f"{check.title:<{width}}  {mark:<6}  {check.value}")
        return "\n".join(lines)


def serve() -> int:
    """Run the fleet until SIGTERM or SIGINT; return the exit code."""
    demo = Demo()
    try:
        demo.start()
        print("the fleet runs; end it with Ctrl-C", flush=True)
        asyncio.run(_wait_for_stop_signal())
    except errors.AmaranthringError as error:
        demo.check("fleet", error, False)
    finally:
        demo.finish()
    print(demo.table())
    return 0 if all(check.passed for check in demo.checks) else 1


async def _wait_for_stop_signal() -> None:
    await signals.stop_event().wait()


def main() -> int:
    """Run the demo and return its exit code."""
    demo = Demo()
    try:
        demo.start()
        asyncio.run(demo.run())
    except errors.AmaranthringError as error:
        demo.check("demo", error, False)
    finally:
        demo.finish()
    print(demo.table())
    return 0 if all(check.passed for check in demo.checks) else 1


if __name__ == "__main__":
    sys.exit(serve() if "--serve" in sys.argv else main())
