"""How a router fetches a plan from the keepers that have a newer one.

The leader announces a new plan first. Fetched by all routers from the leader
alone, a whole plan of 100 KB would occupy its link for seconds, so each
router waits briefly for the keeper that rendezvous hashing assigns to it. A
keeper that loses power never answers, so the next one is asked soon, in
parallel (a hedged request). A request stays open as long as its link: a keeper
that paces its plans still has it in its queue, would send the plan all the
same, and would queue a second request behind those of all other routers.
"""

import asyncio
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import background
from amaranthring.core import hashing
from amaranthring.core import links
from amaranthring.registry import messages

log = logbook.Logger(__name__)

# Followers apply a plan with the leader's next heartbeat, 0.1 s later.
STAGGER_SECONDS = 0.15
# Time in which a keeper that paces its link sends a whole plan of 20 KB to
# fifteen routers.
HEDGE_SECONDS = 0.8


class PlanFetcher:
    """Fetches plans from keepers that offer a newer one.

    Parameters
    ----------
    name : str
        This router; its hash selects the preferred keeper.
    held_version : callable
        Returns the version of the plan that this router holds.
    base_version : callable
        Returns the version to which a delta may apply; -1 for none.
    open_links : callable
        Returns the links to keepers.
    on_plan : callable
        Called with each :class:`messages.PlanBody` received.

    Attributes
    ----------
    offers : dict
        Highest version that the keeper at each link has offered.
    """

    def __init__(
        self,
        name: str,
        held_version: t.Callable[[], int],
        base_version: t.Callable[[], int],
        open_links: t.Callable[[], list[links.Link]],
        on_plan: t.Callable[[messages.PlanBody], None],
    ):
        self.name = name
        self.held_version = held_version
        self.base_version = base_version
        self.open_links = open_links
        self.on_plan = on_plan
        self.offers: dict[links.Link, int] = {}
        self._fetch_task: asyncio.Task | None = None
        self._call_tasks: set[asyncio.Task] = set()
        self._pending_links: set[links.Link] = set()

    def offer(self, link: links.Link, version: int) -> None:
        """Record that the keeper at `link` has `version`; fetch it if new."""
        self.offers[link] = max(version, self.offers.get(link, -1))
        if version <= self.held_version():
            return
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = background.start("plan-fetch", self._run())

    def stop(self) -> None:
        """Cancel all fetches."""
        for task in (self._fetch_task, *self._call_tasks):
            if task is not None:
                task.cancel()

    async def _run(self) -> None:
        if self.held_version() >= 0 and not self._preferred_keeper_has_newer():
            await asyncio.sleep(STAGGER_SECONDS)
        asked: dict[links.Link, int] = {}
        while (link := self._next(asked)) is not None:
            asked[link] = self.offers[link]
            self._pending_links.add(link)
            call = background.start("plan-fetch", self._fetch(link))
            self._call_tasks.add(call)
            call.add_done_callback(self._call_tasks.discard)
            await asyncio.wait(
                self._call_tasks,
                timeout=HEDGE_SECONDS,
                return_when=asyncio.FIRST_COMPLETED,
            )

    def _preference(self, link: links.Link) -> float:
        return hashing.weight(self.name, link.peer.name)

    def _preferred_keeper_has_newer(self) -> bool:
        preferred = max(self.open_links(), key=self._preference, default=None)
        return self.offers.get(preferred, -1) > self.held_version()

    def _next(self, asked: dict[links.Link, int]) -> links.Link | None:
        """Return the next keeper to ask, or None if none has a newer plan."""
        for link in list(self.offers):
            if link.closed:
                del self.offers[link]
        # A keeper offers its plan again with every reply. If it were asked
        # again before it has answered, it would send the plan twice.
        newer = [
            link
            for link, version in self.offers.items()
            if version > max(self.held_version(), asked.get(link, -1))
            and link not in self._pending_links
        ]
        return max(newer, key=self._preference, default=None)

    async def _fetch(self, link: links.Link) -> None:
        try:
            request = messages.FetchPlan(held=self.base_version())
            plan = await link.call(request, None)
        except errors.AmaranthringError as error:
            log.warning(
                "plan.fetch-failed keeper={} fault={}", link.peer.name, error
            )
            return
        finally:
            self._pending_links.discard(link)
        if plan.version > self.held_version():
            self.on_plan(plan)
            self._cancel_others()

    def _cancel_others(self) -> None:
        for link in self._pending_links:
            try:
                link.send(messages.PlanTaken(self.held_version()))
            except errors.LinkError:
                # A closed link delivers no plan either.
                continue
