"""The keeper's side of fetching plans: whole ones, deltas, and their pace."""

import asyncio
import collections
import typing as t

from amaranthring.keepers import plans
from amaranthring.registry import deltas
from amaranthring.registry import messages

# Routers that are so many versions behind get a whole plan. A storm of
# changes puts two to five a second in force.
PAST_MOST = 8
# Half of a keeper's link of 6 Mbit/s. Plans that are sent faster queue before
# heartbeats, and a group whose heartbeats come 0.45 s late loses its leader:
# after a cut had healed, 84 routers fetching at once cost it 15 s.
BYTES_PER_SECOND = 375_000.0


class Bodies:
    """Plans as they are sent to routers.

    Parameters
    ----------
    machine : plans.PlanMachine
        Holds the newest plan.
    clock : callable
        Seconds.
    """

    def __init__(self, machine: plans.PlanMachine, clock: t.Callable):
        self.machine = machine
        self.clock = clock
        self.past: collections.OrderedDict[int, bytes] = (
            collections.OrderedDict()
        )
        self.made: dict[tuple[int, int], bytes] = {}
        self.free_at = 0.0
        self.note()

    def note(self) -> None:
        """Keep the document in force, for deltas from it."""
        version = self.machine.version
        if version < 0 or version in self.past:
            return
        self.past[version] = plans.unpacked(self.machine.body)
        self.made.clear()
        while len(self.past) > PAST_MOST:
            self.past.popitem(last=False)

    def body_for(self, held: int) -> messages.PlanBody:
        """Return the newest plan for a router that holds version `held`."""
        version = self.machine.version
        old, new = self.past.get(held), self.past.get(version)
        if old is None or new is None or held >= version:
            return messages.PlanBody(version, self.machine.body)
        if (held, version) not in self.made:
            self.made[held, version] = deltas.make(old, new)
        return messages.PlanBody(version, self.made[held, version], held)

    async def send(self, held: int) -> messages.PlanBody:
        """Return a plan once the link has time for it."""
        size = len(self.body_for(held).body)
        now = self.clock()
        start = max(now, self.free_at)
        self.free_at = start + size / BYTES_PER_SECOND
        if start > now:
            await asyncio.sleep(start - now)
        # A newer one may have come meanwhile.
        return self.body_for(held)
