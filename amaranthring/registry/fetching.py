"""How a router gets a plan that some keepers have and it has not.

The leader tells first that there is a new plan. If all routers fetched it
there, a plan of 100 KB (20 compressed) would take 84 of them 2.2 s over a
link of 6 Mbit/s; so each waits a moment for the keeper that hashing gives it.
A keeper that loses its power while it sends answers nothing for ever, so the
next one is asked soon, beside the first.
"""

import asyncio
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import hashing
from amaranthring.core import links
from amaranthring.registry import messages

log = logbook.Logger(__name__)

# Followers apply a plan with the leader's next heartbeat, 0.1 s after it.
SPREAD_SECONDS = 0.15
# A keeper that was told to spread its sending over its link brings fifteen
# routers a whole plan of 20 KB within 0.8 s; deltas come at once.
HEDGE_SECONDS = 0.8
FETCH_SECONDS = 3.0


class PlanFetcher:
    """Fetches plans from keepers that offer a newer one.

    Parameters
    ----------
    name : str
        Of this router; spreads routers over the keepers.
    held : callable
        Returns the version held.
    base : callable
        Returns the version to which a delta may apply; -1 for none.
    linked : callable
        Returns the links to keepers.
    take : callable
        Called with each :class:`messages.PlanBody` that came.

    Attributes
    ----------
    offers : dict
        Highest version that each link's keeper said it has.
    """

    def __init__(
        self,
        name: str,
        held: t.Callable[[], int],
        base: t.Callable[[], int],
        linked: t.Callable[[], list[links.Link]],
        take: t.Callable[[messages.PlanBody], None],
    ):
        self.name = name
        self.held_version = held
        self.base_version = base
        self.open_links = linked
        self.on_plan = take
        self.offers: dict[links.Link, int] = {}
        self._work: asyncio.Task | None = None
        self._calls: set[asyncio.Task] = set()
        self._asked: set[links.Link] = set()

    def offer(self, link: links.Link, version: int) -> None:
        """Note that the keeper at `link` has `version`; fetch if newer."""
        self.offers[link] = max(version, self.offers.get(link, -1))
        if version <= self.held_version():
            return
        if self._work is None or self._work.done():
            self._work = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """End all calls."""
        for task in (self._work, *self._calls):
            if task is not None:
                task.cancel()

    async def _run(self) -> None:
        if self.held_version() >= 0 and not self._first_offers():
            await asyncio.sleep(SPREAD_SECONDS)
        asked: dict[links.Link, int] = {}
        while (link := self._next(asked)) is not None:
            asked[link] = self.offers[link]
            self._asked.add(link)
            call = asyncio.ensure_future(self._fetch(link))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)
            await asyncio.wait(
                self._calls,
                timeout=HEDGE_SECONDS,
                return_when=asyncio.FIRST_COMPLETED,
            )

    def _order(self, link: links.Link) -> float:
        return hashing.weight(self.name, link.peer.name)

    def _first_offers(self) -> bool:
        first = max(self.open_links(), key=self._order, default=None)
        return self.offers.get(first, -1) > self.held_version()

    def _next(self, asked: dict[links.Link, int]) -> links.Link | None:
        """Return the keeper to ask next, None if nobody has more."""
        for link in list(self.offers):
            if link.closed:
                del self.offers[link]
        # Every answer of a keeper offers its plan anew. Asked again while it
        # has yet to answer, it would send the plan twice.
        newer = [
            link
            for link, version in self.offers.items()
            if version > max(self.held_version(), asked.get(link, -1))
            and link not in self._asked
        ]
        return max(newer, key=self._order, default=None)

    async def _fetch(self, link: links.Link) -> None:
        try:
            ask = messages.FetchPlan(held=self.base_version())
            plan = await link.call(ask, FETCH_SECONDS)
        except errors.AmaranthringError as error:
            log.warning(
                "plan.fetch-failed keeper={} fault={}", link.peer.name, error
            )
            return
        finally:
            self._asked.discard(link)
        if plan.version > self.held_version():
            self.on_plan(plan)
            self._tell_others()

    def _tell_others(self) -> None:
        for link in self._asked:
            try:
                link.send(messages.PlanTaken(self.held_version()))
            except errors.LinkError:
                # Then nothing comes from there in any case.
                continue
