"""The keeper's side of fetching plans: whole ones, deltas, and their pace."""

import collections

from amaranthring.core import links
from amaranthring.core import pacing
from amaranthring.keepers import deltas
from amaranthring.keepers import plans
from amaranthring.registry import messages

# A router further behind gets a whole plan. Bursts of changes commit two to
# five versions a second.
MAX_HISTORY = 8


class PlanSource:
    """Builds the plans that are sent to routers.

    Parameters
    ----------
    machine : plans.PlanStateMachine
        Holds the newest plan.
    pacer : pacing.Pacer
        Of the link that plans share with heartbeats. Unpaced, all routers
        that fetch after a partition would delay the heartbeats until the
        group loses its leader.
    """

    def __init__(self, machine: plans.PlanStateMachine, pacer: pacing.Pacer):
        self.machine = machine
        self.pacer = pacer
        self.history: collections.OrderedDict[int, bytes] = (
            collections.OrderedDict()
        )
        self.delta_cache: dict[tuple[int, int], bytes] = {}
        self.held_versions: dict[links.Link, int] = {}
        self.record_version()

    def record_version(self) -> None:
        """Keep the current document as a base for deltas."""
        version = self.machine.version
        if version < 0 or version in self.history:
            return
        self.history[version] = self.machine.document
        self.delta_cache.clear()
        while len(self.history) > MAX_HISTORY:
            self.history.popitem(last=False)

    def body_for(self, held_version: int) -> messages.PlanBody:
        """Return the newest plan for a router that holds `held_version`."""
        version = self.machine.version
        old, new = self.history.get(held_version), self.history.get(version)
        if old is None or new is None or held_version >= version:
            return messages.PlanBody(version, self.machine.body)
        if (held_version, version) not in self.delta_cache:
            self.delta_cache[held_version, version] = deltas.diff(old, new)
        return messages.PlanBody(
            version, self.delta_cache[held_version, version], held_version
        )

    async def fetch(
        self, held_version: int, router: links.Link | None = None
    ) -> messages.PlanBody:
        """Return the newest plan once the pacer has room for it.

        Parameters
        ----------
        held_version : int
            As ``held`` of :class:`messages.FetchPlan`.
        router : links.Link, optional
            The router that asks. It gets an empty body if it reports in the
            meantime that it holds the plan: a router without a plan asks
            several keepers, and all of them would send it.
        """
        noted_version = self.held_versions.get(router, -1)
        await self.pacer.acquire()
        # A newer one may have come meanwhile, here and to the router.
        version = self.machine.version
        taken_version = self.held_versions.get(router, -1)
        if taken_version >= version:
            return messages.PlanBody(version, b"")
        if taken_version > noted_version:
            # A delta to the version that it held before applies no more.
            held_version = taken_version
        return self.body_for(held_version)

    def note_held(self, router: links.Link, version: int) -> None:
        """Record that `router` holds `version`."""
        self.held_versions[router] = version

    def forget(self, router: links.Link) -> None:
        """Remove a router whose link has closed."""
        self.held_versions.pop(router, None)
