"""A replica that sends second answers for some seconds, as `garble` does."""

import asyncio


class Garbler:
    """Spoils a share of the answers of one replica while it is switched on.

    The second answer comes late: where the answer to the next request on the
    same connection is expected.

    Parameters
    ----------
    spoil : callable
        ``async (replica, connection, call, earlier)``; sends the extra
        answer to request `earlier` and goes on with `call`.
    record : Record
        Gets a line for each.
    every : int
        One answer of so many is spoiled.
    """

    def __init__(self, spoil, record, every):
        self.spoil = spoil
        self.record = record
        self.every = every
        self.is_on = False
        self.answers = 0
        self.spoiled = 0

    async def behave(self, replica, connection, call):
        """Handle a request; return whether it was answered here."""
        if not self.is_on:
            return False
        self.answers += 1
        due = self.answers // self.every > self.spoiled
        if not due or not connection.served:
            return False
        self.spoiled += 1
        earlier = connection.served[-1]
        self.record.note(
            f"{replica.name} sends a second answer where the one to"
            f" {call.id} is expected"
        )
        await self.spoil(replica, connection, call, earlier)
        return True


async def play_windows(load, garbler, trouble, windows, seconds, calm):
    """Send requests through some windows of garbled answers."""
    for _ in range(windows):
        garbler.is_on = trouble
        await load.run(seconds)
        garbler.is_on = False
        await load.run(calm)


async def start_replicas(fleet, replicas):
    """Start replicas and wait until routers are ready and know them."""
    for replica in replicas:
        await replica.start()
    for router in fleet.routers:
        await fleet.wait_ready(router)
    await asyncio.sleep(3.0)
