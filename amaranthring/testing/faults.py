"""Seeded faults on a fleet of keeper processes under a seeded load.

What every client was told is kept, so that it can be compared with what the
keepers hold afterwards.
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
    """What clients were told.

    Attributes
    ----------
    calls : dict
        Calls by register.
    added : dict
        Command id to the number that its answer gave.
    not_run : set
        Command ids of writes that were refused as certainly not run.
    """

    calls: dict[str, list[linearizable.Call]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    added: dict[str, int] = dataclasses.field(default_factory=dict)
    not_run: set[str] = dataclasses.field(default_factory=set)

    def check(self, dumps: list[keeper.Dump]) -> list[str]:
        """Return every contradiction with the keepers' final states."""
        found = []
        if any(dump != dumps[0] for dump in dumps):
            found.append("keepers hold different states")
        for command_id, number in self.added.items():
            held = dumps[0].seen.get(command_id)
            if held != number:
                found.append(f"{command_id}: told {number}, held {held}")
        for register, calls in self.calls.items():
            if not linearizable.is_linearizable(calls):
                found.append(f"register {register}: no order explains it")
            written = {call.value for call in calls}
            doubled = written & self.not_run
            if doubled:
                found.append(f"not-run writes were seen: {doubled}")
        return found


class Load:
    """Clients that write, swap, read and add until told to end."""

    def __init__(self, fleet, seed: int, clients: int = 4):
        self.fleet = fleet
        self.history = ClientHistory()
        self.stopping = False
        self.random = random.Random(seed)
        self.clients = clients
        self.number = 0

    async def run(self) -> None:
        """Return after `ended` was set and the last calls were answered."""
        await asyncio.gather(*(self._client() for _ in range(self.clients)))

    async def _client(self) -> None:
        client = self.fleet.new_client()
        held = ""
        while not self.stopping:
            await asyncio.sleep(self.random.uniform(0, PAUSE_SECONDS))
            self.number += 1
            number = self.number
            register = self.random.choice(REGISTERS)
            kind = self.random.choice(("add", "write", "swap", "read"))
            if kind == "add":
                await self._add(client, f"add-{number}")
            elif kind == "read":
                held = await self._read(client, register) or held
            else:
                expected = held if kind == "swap" else None
                await self._write(client, register, f"v{number}", expected)

    async def _add(self, client, command_id: str) -> None:
        command = keeper.Add(command_id)
        try:
            reply = await client.propose(command, CALL_SECONDS)
        except errors.AmaranthringError:
            return
        self.history.added[command_id] = int(reply.value)

    async def _read(self, client, register: str) -> str | None:
        began = time.monotonic()
        try:
            reply = await client.query(keeper.Get(register), CALL_SECONDS)
        except errors.AmaranthringError:
            return None
        self._note(register, began, "read", reply.value)
        return reply.value

    async def _write(self, client, register, value, expected) -> None:
        kind = "write" if expected is None else "swap"
        command = keeper.Set(register, value, expected)
        began = time.monotonic()
        try:
            await client.propose(command, CALL_SECONDS)
        except errors.RevisionConflictError as error:
            self._note(register, began, "held", error.expected or "")
        except errors.AmaranthringError as error:
            if error.outcome == errors.Outcome.NOT_RUN:
                self.history.not_run.add(value)
                return
            call = linearizable.Call(
                began, math.inf, kind, value, expected or ""
            )
            self.history.calls[register].append(call)
        else:
            self._note(register, began, kind, value, expected or "")

    def _note(self, register, began, kind, value, expected="") -> None:
        call = linearizable.Call(
            began, time.monotonic(), kind, value, expected
        )
        self.history.calls[register].append(call)


async def kill_and_restart(fleet, source: random.Random) -> None:
    """Kill a keeper at once and start it again a little later."""
    name = source.choice(fleet.names)
    fleet.keepers[name].kill()
    await asyncio.sleep(source.uniform(0.0, 0.5))
    await fleet.restart(name)


async def pause_and_resume(fleet, source: random.Random) -> None:
    """Freeze a keeper and wake it a little later."""
    name = source.choice(fleet.names)
    fleet.keepers[name].pause()
    await asyncio.sleep(source.uniform(0.2, 1.2))
    fleet.keepers[name].resume()


async def isolate_and_heal(fleet, source: random.Random) -> None:
    """Cut a keeper off the others in one or both directions."""
    name = source.choice(fleet.names)
    inwards, outwards = source.choice(((1, 0), (0, 1), (1, 1)))
    fleet.isolate(name, bool(inwards), bool(outwards))
    await asyncio.sleep(source.uniform(0.2, 1.2))
    fleet.heal()


async def run(fleet, seed: int, count: int, faults: list) -> list[str]:
    """Run load and faults; return every contradiction afterwards.

    Parameters
    ----------
    fleet : processes.KeeperFleet
        Started.
    seed : int
        Of faults and load.
    count : int
        Faults to cause, under a steady load.
    faults : list of callable
        Such as :func:`kill_one`; one at a time, drawn at random.
    """
    source = random.Random(seed)
    await fleet.wait_leader()
    load = Load(fleet, seed)
    running = asyncio.ensure_future(load.run())
    for _ in range(count):
        await asyncio.sleep(source.uniform(0.05, 0.4))
        await source.choice(faults)(fleet, source)
    load.stopping = True
    await running
    fleet.heal()
    dumps = await wait_converged(fleet)
    found = load.history.check(dumps)
    if len(load.history.added) < count:
        found.append("too little was tested")
    return found


async def wait_converged(fleet) -> list[keeper.Dump]:
    """Return every keeper's state once all have applied the same entries."""

    async def equal():
        statuses = [await fleet.status(name) for name in fleet.names]
        if None in statuses:
            return False
        applied = {status.applied_index for status in statuses}
        last = {status.last_index for status in statuses}
        return len(applied) == 1 and applied == last

    await keeper_processes.wait_until(equal, 30, "equal keepers")
    return [
        await fleet.client.diallers[name].call(keeper.LocalDumpQuery(), 5)
        for name in fleet.names
    ]
