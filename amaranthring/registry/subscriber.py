"""The router's side: a link to every keeper, the plan and the targets.

A router may act on its plan only while it knows that no higher version was
acknowledged long ago. It asks every keeper a few times a second; the leader,
which has a quorum, can confirm. The age of the newest confirmed question
bounds how old the plan can be, also if the router was cut off, frozen or
suspended meanwhile: the clock goes on while a VM is suspended.
"""

import asyncio
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import clocks
from amaranthring.core import hashing
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.keepers import deltas
from amaranthring.keepers import plans
from amaranthring.registry import fetching
from amaranthring.registry import messages
from amaranthring.registry import targets

log = logbook.Logger(__name__)

# Twice a second keeps the plan's age far below the seconds that a withdrawn
# key may still work, for 2 messages a second and keeper.
RENEW_SECONDS = 0.5
# A keeper that does not answer by then is frozen or its link went silent.
REPLY_SECONDS = 1.2
# A router whose plan nobody has confirmed for so long, two questions' time,
# asks a keeper that begins to lead at once.
UNCONFIRMED_SECONDS = 1.0
# A router that no keeper has answered for so long, one question's time and
# its answer's, is itself cut off; keepers that lost their quorum answer.
CUT_OFF_SECONDS = RENEW_SECONDS + REPLY_SECONDS


class Subscriber:
    """Keeps a router's plan and targets as new as the keepers have them.

    Parameters
    ----------
    identity, keys
        For the links.
    take_plan : callable
        Called with the document of each newer plan, before its version
        counts as held. It raises an ``AmaranthringError`` if it cannot be
        used.

    Attributes
    ----------
    version : int
        Version of the plan held; -1 before the first.
    confirmed_at : float
        When the newest question was sent that a leader answered with the
        version held, in seconds of :func:`clocks.boottime`.
    answered_at : float
        When any keeper last answered, on the same clock.
    first_confirmed : asyncio.Event
        Set once a plan is held that a leader has confirmed.
    routers : int
        Highest number of routers that a linked keeper counts.
    """

    def __init__(
        self,
        identity: links.Identity,
        keys: links.Keys,
        take_plan: t.Callable[[bytes], None],
    ):
        self.identity = identity
        self.keys = keys
        self.apply_plan = take_plan
        self.handlers = links.Handlers()
        self.handlers.add(messages.Targets, self._on_targets)
        self.handlers.add(messages.AllTargets, self._on_all_targets)
        self.handlers.add(messages.PlanNotice, self._on_notice)
        self.table = targets.TargetTable(clocks.boottime, fresh_seconds=0.0)
        self.diallers: dict[str, links.Dialler] = {}
        self.renewal_tasks: dict[str, asyncio.Task] = {}
        self.router_counts: dict[str, int] = {}
        self.notice_tasks: dict[links.Link, asyncio.Task] = {}
        self.noticed: set[links.Link] = set()
        self.version = -1
        self.confirmed_at = float("-inf")
        self.answered_at = float("-inf")
        self.first_confirmed = asyncio.Event()
        self.seeds: list[str] = []
        # What deltas apply to; None before the first plan, or if one failed.
        self._document_held: bytes | None = None
        # Version that a leader last confirmed, and when it was asked; a plan
        # that is fetched after the answer is confirmed by it as well.
        self._newest_confirmed = (-1, float("-inf"))
        self.fetcher = fetching.PlanFetcher(
            identity.name,
            lambda: self.version,
            self._base,
            self.open_links,
            self._take,
        )

    @property
    def routers(self) -> int:
        """Return how many routers there are, as far as is known."""
        return max([1, *self.router_counts.values()])

    def home_link(self) -> links.Link | None:
        """Return the link to the keeper that this router reports to.

        One in its own data centre, if there is one: when that is cut off,
        its routers go on hearing of each other. With a keeper beyond the cut
        they sent what they knew nowhere for 1.7 s, and read each prompt on
        each engine that was left. Among several, routers choose by hashing,
        so keepers share the work evenly and only the routers of one that is
        lost have to choose again.
        """
        linked = self._linked()
        here = self.identity.data_centre
        near = [a for a, k in linked.items() if k.peer.data_centre == here]
        chosen = hashing.first(self.identity.name, near or linked)
        return linked[chosen] if chosen else None

    def open_links(self) -> list[links.Link]:
        """Return the links to keepers that stand."""
        return list(self._linked().values())

    def _linked(self) -> dict[str, links.Link]:
        """Return the links to keepers that stand, by address."""
        return {
            address: dialler.link
            for address, dialler in self.diallers.items()
            if dialler.link is not None
        }

    def is_fresh(self, seconds: float) -> bool:
        """Return whether the plan was the newest `seconds` ago or later."""
        return clocks.boottime() - self.confirmed_at < seconds

    def is_cut_off(self) -> bool:
        """Return whether no keeper answers this router."""
        return clocks.boottime() - self.answered_at > CUT_OFF_SECONDS

    def add_keepers(self, addresses: list[str]) -> None:
        """Link to the keepers at `addresses`, beside those already known."""
        for address in addresses:
            if address in self.diallers:
                continue
            dialler = links.Dialler(
                address, self.identity, self.keys, self.handlers
            )
            self.diallers[address] = dialler
            dialler.start()
            task = asyncio.ensure_future(self._ask(address, dialler))
            self.renewal_tasks[address] = task

    def use_seeds(self, addresses: list[str]) -> None:
        """Take the keepers that the settings name now."""
        self.seeds = addresses
        self.add_keepers(addresses)

    def remove_keeper(self, address: str) -> None:
        """Give up on a keeper that is no longer one."""
        self.diallers.pop(address).stop()
        self.renewal_tasks.pop(address).cancel()
        self.router_counts.pop(address, None)

    def stop(self) -> None:
        """Close all links."""
        self.fetcher.stop()
        for task in list(self.notice_tasks.values()):
            task.cancel()
        for address in list(self.diallers):
            self.remove_keeper(address)

    # -- what keepers say --------------------------------------------

    async def _ask(self, address: str, dialler: links.Dialler) -> None:
        linked = False
        while True:
            link = dialler.link
            if (link is not None) != linked:
                linked = link is not None
                name = "keeper.linked" if linked else "keeper.unlinked"
                logs.event(log, name, keeper=address)
                if not linked:
                    self.router_counts.pop(address, None)
            if link is not None:
                await self._renew(address, link)
            await asyncio.sleep(RENEW_SECONDS if link else RENEW_SECONDS / 10)

    async def _renew(self, address: str, link: links.Link) -> None:
        sent_at = clocks.boottime()
        try:
            reply = await link.call(
                messages.Renew(self.version), REPLY_SECONDS
            )
        except errors.LinkTimeoutError:
            # Frozen, cut off, or a connection that went silent for good.
            link.close()
            return
        except errors.AmaranthringError:
            return
        self.router_counts[address] = reply.routers
        self.answered_at = clocks.boottime()
        self._learn(reply)
        self.fetcher.offer(link, reply.version)
        if reply.confirmed:
            self._confirm(reply.version, sent_at)

    def _learn(self, reply: messages.Renewed) -> None:
        self.add_keepers(reply.keepers)
        if not reply.confirmed:
            return
        for address in set(self.diallers) - set(reply.keepers):
            if address not in self.seeds:
                self.remove_keeper(address)

    def _on_notice(self, link: links.Link, notice: messages.PlanNotice):
        self.fetcher.offer(link, notice.version)
        # Who does not lead confirms nothing, and one question at a time is
        # enough: the answers to all routers that ask all keepers for each
        # notice would delay a new leader's first append.
        if not notice.leads or self.is_fresh(UNCONFIRMED_SECONDS):
            return
        address = self._address_of(link)
        if address is None:
            return
        self.noticed.add(link)
        if link in self.notice_tasks:
            return
        task = asyncio.ensure_future(self._renew_noticed(address, link))
        self.notice_tasks[link] = task
        task.add_done_callback(lambda _: self.notice_tasks.pop(link, None))

    async def _renew_noticed(self, address: str, link: links.Link) -> None:
        # A notice that comes while a question is under way may be what that
        # question came too early for.
        while link in self.noticed:
            self.noticed.discard(link)
            await self._renew(address, link)

    def _address_of(self, link: links.Link) -> str | None:
        known = {one: address for address, one in self._linked().items()}
        return known.get(link)

    def _take(self, plan: messages.PlanBody) -> None:
        if plan.base >= 0 and plan.base != self._base():
            # Another keeper's plan came first; this one is offered again.
            logs.event(log, "plan.delta-late", version=plan.version)
            return
        try:
            document = self._document(plan)
            self.apply_plan(document)
        except errors.AmaranthringError as error:
            log.error("plan.refused version={} fault={}", plan.version, error)
            # Whatever is wrong with it, it is not asked for as a delta again.
            self._document_held = None
            return
        self._document_held = document
        logs.event(
            log, "plan.in-force", version=plan.version, before=self.version
        )
        self.version = plan.version
        self._confirm(*self._newest_confirmed)

    def _document(self, plan: messages.PlanBody) -> bytes:
        if plan.base < 0:
            return plans.decompress(plan.body)
        return deltas.apply(self._document_held, plan.body)

    def _base(self) -> int:
        return -1 if self._document_held is None else self.version

    def _confirm(self, version: int, asked_at: float) -> None:
        """Note that `version` was the newest when a leader was asked."""
        if version >= self._newest_confirmed[0]:
            self._newest_confirmed = (version, asked_at)
        if self.version >= version >= 0:
            self.confirmed_at = max(self.confirmed_at, asked_at)
            self.first_confirmed.set()

    def _on_all_targets(
        self, _link: links.Link, message: messages.AllTargets
    ) -> None:
        self._merge(messages.unpack_targets(message))

    def _on_targets(self, _link: links.Link, news: messages.Targets) -> None:
        self._merge(news.records)

    def _merge(self, records: list[messages.TargetRecord]) -> None:
        for record in records:
            if self.table.merge(record):
                targets.log_change(record)
