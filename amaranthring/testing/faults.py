"""Seeded faults on a fleet of keeper processes under a seeded load.

Replies to clients are recorded and compared with the final keeper states.
"""

import asyncio
import collections
import dataclasses
import math
import random
import time

from amaranthring import errors
from amaranthring.testing import keeper
from amaranthring.testing import keeper_processes
from amaranthring.testing import linearizable

REGISTERS = ("a", "b", "c")
CALL_SECONDS = 4.0
PAUSE_SECONDS = 0.03


@dataclasses.dataclass
class ClientHistory:
    """Replies that clients received.

    Attributes
    ----------
    calls : dict
        Calls by register.
    added : dict
        Number in the reply to each add, by command id.
    not_run : set
        Values of writes whose outcome was "not run".
    """

    calls: dict[str, list[linearizable.Call]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    added: dict[str, int] = dataclasses.field(default_factory=dict)
    not_run: set[str] = dataclasses.field(default_factory=set)

    def check(self, dumps: list[keeper.Dump]) -> list[str]:
        """Return all contradictions with the final keeper states."""
        problems = []
        if any(dump != dumps[0] for dump in dumps):
            problems.append("keepers hold different states")
        for command_id, number in self.added.items():
            stored = dumps[0].seen.get(command_id)
            if stored != number:
                problems.append(f"{command_id}: told {number}, held {stored}")
        for register, calls in self.calls.items():
            if not linearizable.is_linearizable(calls):
                problems.append(f"register {register}: no order explains it")
            written = {call.value for call in calls}
            applied = written & self.not_run
            if applied:
                problems.append(f"not-run writes were seen: {applied}")
        return problems


class Load:
    """Clients that write, compare-and-set, read and add until stopped."""

    def __init__(self, fleet, seed: int, clients: int = 4):
        self.fleet = fleet
        self.history = ClientHistory()
        self.stopping = False
        self.random = random.Random(seed)
        self.clients = clients
        self.number = 0

    async def run(self) -> None:
        """Run clients until `stopping` is set and their last calls ended."""
        await asyncio.gather(*(self._client() for _ in range(self.clients)))

    async def _client(self) -> None:
        client = self.fleet.new_client()
        last_read = ""
        while not self.stopping:
            await asyncio.sleep(self.random.uniform(0, PAUSE_SECONDS))
            self.number += 1
            number = self.number
            register = self.random.choice(REGISTERS)
            kind = self.random.choice(("add", "write", "swap", "read"))
            if kind == "add":
                await self._add(client, f"add-{number}")
            elif kind == "read":
                last_read = await self._read(client, register) or last_read
            else:
                expected = last_read if kind == "swap" else None
                await self._write(client, register, f"v{number}", expected)

    async def _add(self, client, command_id: str) -> None:
        command = keeper.Add(command_id)
        try:
            reply = await client.propose(command, CALL_SECONDS)
        except errors.AmaranthringError:
            return
        self.history.added[command_id] = int(reply.value)

    async def _read(self, client, register: str) -> str | None:
        started_at = time.monotonic()
        try:
            reply = await client.query(keeper.Get(register), CALL_SECONDS)
        except errors.AmaranthringError:
            return None
        self._record(register, started_at, "read", reply.value)
        return reply.value

    async def _write(self, client, register, value, expected) -> None:
        kind = "write" if expected is None else "swap"
        command = keeper.Set(register, value, expected)
        started_at = time.monotonic()
        try:
            await client.propose(command, CALL_SECONDS)
        except errors.RevisionConflictError as error:
            self._record(register, started_at, "held", error.expected or "")
        except errors.AmaranthringError as error:
            if error.outcome == errors.Outcome.NOT_RUN:
                self.history.not_run.add(value)
                return
            call = linearizable.Call(
                started_at, math.inf, kind, value, expected or ""
            )
            self.history.calls[register].append(call)
        else:
            self._record(register, started_at, kind, value, expected or "")

    def _record(self, register, started_at, kind, value, expected="") -> None:
        call = linearizable.Call(
            started_at, time.monotonic(), kind, value, expected
        )
        self.history.calls[register].append(call)


async def kill_and_restart(fleet, rng: random.Random) -> None:
    """Kill a random keeper and restart it shortly after."""
    name = rng.choice(fleet.names)
    fleet.keepers[name].kill()
    await asyncio.sleep(rng.uniform(0.0, 0.5))
    await fleet.restart(name)


async def pause_and_resume(fleet, rng: random.Random) -> None:
    """Pause a random keeper and resume it shortly after."""
    name = rng.choice(fleet.names)
    fleet.keepers[name].pause()
    await asyncio.sleep(rng.uniform(0.2, 1.2))
    fleet.keepers[name].resume()


async def isolate_and_heal(fleet, rng: random.Random) -> None:
    """Isolate a random keeper in one or both directions, then heal."""
    name = rng.choice(fleet.names)
    inwards, outwards = rng.choice(((1, 0), (0, 1), (1, 1)))
    fleet.isolate(name, bool(inwards), bool(outwards))
    await asyncio.sleep(rng.uniform(0.2, 1.2))
    fleet.heal()


async def run(fleet, seed: int, count: int, faults: list) -> list[str]:
    """Run load and faults; return all contradictions found.

    Parameters
    ----------
    fleet : keeper_processes.KeeperFleet
        Started fleet.
    seed : int
        Seed of faults and load.
    count : int
        Number of faults.
    faults : list of callable
        Functions such as :func:`kill_and_restart`, drawn at random and run
        one at a time.
    """
    rng = random.Random(seed)
    await fleet.wait_leader()
    load = Load(fleet, seed)
    running = asyncio.ensure_future(load.run())
    for _ in range(count):
        await asyncio.sleep(rng.uniform(0.05, 0.4))
        await rng.choice(faults)(fleet, rng)
    load.stopping = True
    await running
    fleet.heal()
    dumps = await wait_converged(fleet)
    problems = load.history.check(dumps)
    if len(load.history.added) < count:
        problems.append("too little was tested")
    return problems


async def wait_converged(fleet) -> list[keeper.Dump]:
    """Return every keeper's state once all have applied the same entries."""

    async def converged():
        statuses = [await fleet.status(name) for name in fleet.names]
        if None in statuses:
            return False
        applied = {status.applied_index for status in statuses}
        last = {status.last_index for status in statuses}
        return len(applied) == 1 and applied == last

    await keeper_processes.wait_until(converged, 30, "equal keepers")
    return [
        await fleet.client.diallers[name].call(keeper.LocalDumpQuery(), 5)
        for name in fleet.names
    ]
