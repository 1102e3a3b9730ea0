"""The keeper's side of fetching plans: whole ones, deltas, and their pace."""

import collections

from amaranthring.core import links
from amaranthring.core import pacing
from amaranthring.keepers import deltas
from amaranthring.keepers import plans
from amaranthring.registry import messages

# Routers that are so many versions behind get a whole plan. A storm of
# changes puts two to five a second in force.
MAX_HISTORY = 8


class PlanSource:
    """Plans as they are sent to routers.

    Parameters
    ----------
    machine : plans.PlanMachine
        Holds the newest plan.
    pacer : pacing.Pacer
        Of the link that plans share with heartbeats: all routers that
        fetch at once after a cut would cost the group its leader.
    """

    def __init__(self, machine: plans.PlanStateMachine, pacer: pacing.Pacer):
        self.machine = machine
        self.pacer = pacer
        self.history: collections.OrderedDict[int, bytes] = (
            collections.OrderedDict()
        )
        self.made: dict[tuple[int, int], bytes] = {}
        self.held_versions: dict[links.Link, int] = {}
        self.record_version()

    def record_version(self) -> None:
        """Keep the document in force, for deltas from it."""
        version = self.machine.version
        if version < 0 or version in self.history:
            return
        self.history[version] = self.machine.document
        self.made.clear()
        while len(self.history) > MAX_HISTORY:
            self.history.popitem(last=False)

    def body_for(self, held: int) -> messages.PlanBody:
        """Return the newest plan for a router that holds version `held`."""
        version = self.machine.version
        old, new = self.history.get(held), self.history.get(version)
        if old is None or new is None or held >= version:
            return messages.PlanBody(version, self.machine.body)
        if (held, version) not in self.made:
            self.made[held, version] = deltas.diff(old, new)
        return messages.PlanBody(version, self.made[held, version], held)

    async def fetch(
        self, held: int, router: links.Link | None = None
    ) -> messages.PlanBody:
        """Return a plan once the link has time for it.

        Parameters
        ----------
        held : int
            As in :class:`messages.FetchPlan`.
        router : links.Link, optional
            Who asks. Nothing is sent if it says before its turn comes that
            it holds the plan: routers that have lost theirs ask several
            keepers, and all would send it.
        """
        await self.pacer.turn()
        # A newer one may have come meanwhile.
        version = self.machine.version
        if self.held_versions.get(router, -1) >= version:
            return messages.PlanBody(version, b"")
        return self.body_for(held)

    def note_held(self, router: links.Link, version: int) -> None:
        """Note that `router` holds `version`."""
        self.held_versions[router] = version

    def forget(self, router: links.Link) -> None:
        """Forget a router whose link has ended."""
        self.held_versions.pop(router, None)
