"""The router's side: links to all keepers, the plan and the targets.

A router may act on its plan only while it knows that no higher version was
acknowledged long ago. It asks every keeper a few times a second; the leader,
which has a quorum, can confirm. The age of the newest confirmed request bounds
the age of the plan, also after a partition, a freeze or a suspension, as the
clock continues while a VM is suspended.
"""

import asyncio
import functools
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import background
from amaranthring.core import clocks
from amaranthring.core import hashing
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.keepers import deltas
from amaranthring.keepers import plans
from amaranthring.registry import fetching
from amaranthring.registry import messages
from amaranthring.registry import sharers as sharers_module
from amaranthring.registry import targets

log = logbook.Logger(__name__)

# Keeps the plan's age far below the time for which a withdrawn key may still
# work, for 2 messages per second and keeper.
RENEW_SECONDS = 0.5
# A keeper from which nothing arrives for this time after a request is frozen
# or its link is dead.
REPLY_SECONDS = 1.2
# If the plan has not been confirmed for this time, two renewal intervals, the
# router asks a new leader at once.
UNCONFIRMED_SECONDS = 1.0
# If no keeper has answered for this time, the router itself is cut off;
# keepers without a quorum still answer.
CUT_OFF_SECONDS = RENEW_SECONDS + REPLY_SECONDS


class Subscriber:
    """Keeps a router's plan and targets as new as the keepers have them.

    Parameters
    ----------
    identity, keys
        Identity of this router and fleet keys, for the links.
    apply_plan : callable
        Called with the document of each newer plan, before its version
        counts as held. It raises an ``AmaranthringError`` if the plan cannot
        be used.
    sharers : sharers.Sharers
        Told what keepers say about the number of routers.

    Attributes
    ----------
    version : int
        Version of the plan held; -1 before the first.
    confirmed_at : float
        When the newest request was sent that a leader answered with the
        version held, in seconds of :func:`clocks.boottime`.
    answered_at : float
        When any keeper last answered, on the same clock.
    on_linked : list of callable
        Called with each new link to a keeper.
    takes_spending : callable
        Returns whether to ask for what the process before has spent.
    on_renewed : list of callable
        Called with a keeper's address, its reply, and when it was asked.
    first_confirmed : asyncio.Event
        Set once a plan is held that a leader has confirmed.
    """

    def __init__(
        self,
        identity: links.Identity,
        keys: links.Keys,
        apply_plan: t.Callable[[bytes], None],
        sharers: sharers_module.Sharers,
    ):
        self.identity = identity
        self.keys = keys
        self.apply_plan = apply_plan
        self.sharers = sharers
        self.handlers = links.Handlers()
        self.handlers.add(messages.Targets, self._on_targets)
        self.handlers.add(messages.AllTargets, self._on_all_targets)
        self.handlers.add(messages.PlanNotice, self._on_notice)
        self.table = targets.TargetTable(clocks.boottime, fresh_seconds=0.0)
        self.diallers: dict[str, links.Dialler] = {}
        self.renewal_tasks: dict[str, asyncio.Task] = {}
        self.notice_tasks: dict[links.Link, asyncio.Task] = {}
        self.noticed: set[links.Link] = set()
        self.version = -1
        self.confirmed_at = float("-inf")
        self.answered_at = float("-inf")
        self.on_linked: list[t.Callable[[links.Link], None]] = []
        self.takes_spending: t.Callable[[], bool] = lambda: False
        self.on_renewed: list[
            t.Callable[[str, messages.Renewed, float], None]
        ] = []
        self.first_confirmed = asyncio.Event()
        self.seeds: list[str] = []
        # Base of deltas; None before the first plan, or after one failed to
        # apply.
        self._delta_document: bytes | None = None
        # Version that a leader last confirmed, and when it was asked. It also
        # confirms a plan that is fetched after the answer.
        self._newest_confirmed = (-1, float("-inf"))
        self.fetcher = fetching.PlanFetcher(
            identity.name,
            lambda: self.version,
            self._delta_base,
            self.open_links,
            self._apply,
        )

    def home_link(self) -> links.Link | None:
        """Return the link to the keeper that this router reports to.

        A keeper in the router's own data centre is preferred, so that the
        routers there still hear of each other when it is partitioned. Among
        several, rendezvous hashing spreads the routers evenly, and only those
        of a lost keeper have to choose again.
        """
        by_address = self._links_by_address()
        own_data_centre = self.identity.data_centre
        local = [
            address
            for address, link in by_address.items()
            if link.peer.data_centre == own_data_centre
        ]
        chosen = hashing.first(self.identity.name, local or by_address)
        return by_address[chosen] if chosen else None

    def open_links(self) -> list[links.Link]:
        """Return the open links to keepers."""
        return list(self._links_by_address().values())

    def _links_by_address(self) -> dict[str, links.Link]:
        """Return the open links to keepers, by address."""
        return {
            address: dialler.link
            for address, dialler in self.diallers.items()
            if dialler.link is not None
        }

    def is_fresh(self, seconds: float) -> bool:
        """Return whether the plan was the newest less than `seconds` ago."""
        return clocks.boottime() - self.confirmed_at < seconds

    def is_cut_off(self) -> bool:
        """Return whether no keeper answers this router."""
        return clocks.boottime() - self.answered_at > CUT_OFF_SECONDS

    def add_keepers(self, addresses: list[str]) -> None:
        """Link to those keepers at `addresses` that are not known yet."""
        for address in addresses:
            if address in self.diallers:
                continue
            opened = asyncio.Event()
            dialler = links.Dialler(
                address,
                self.identity,
                self.keys,
                self.handlers,
                functools.partial(self._keeper_linked, opened),
            )
            self.diallers[address] = dialler
            dialler.start()
            task = background.keep_running(
                f"poll {address}",
                functools.partial(self._poll, address, dialler, opened),
            )
            self.renewal_tasks[address] = task

    def _keeper_linked(self, opened: asyncio.Event, link: links.Link) -> None:
        opened.set()
        for callback in self.on_linked:
            callback(link)

    def use_seeds(self, addresses: list[str]) -> None:
        """Use the keepers that the settings name now."""
        self.seeds = addresses
        self.add_keepers(addresses)

    def remove_keeper(self, address: str) -> None:
        """Close the link to a keeper that is no longer a member."""
        self.diallers.pop(address).stop()
        self.renewal_tasks.pop(address).cancel()

    def stop(self) -> None:
        """Close all links."""
        self.fetcher.stop()
        for task in list(self.notice_tasks.values()):
            task.cancel()
        for address in list(self.diallers):
            self.remove_keeper(address)

    # -- messages from keepers ---------------------------------------

    async def _poll(
        self, address: str, dialler: links.Dialler, opened: asyncio.Event
    ) -> None:
        """Ask a keeper in each interval, and when a link has opened."""
        linked = False
        while True:
            opened.clear()
            link = dialler.link
            if (link is not None) != linked:
                linked = link is not None
                name = "keeper.linked" if linked else "keeper.unlinked"
                logs.event(log, name, keeper=address)
            if link is not None:
                await self._renew(address, link)
            interval = RENEW_SECONDS if link else RENEW_SECONDS / 10
            try:
                # A keeper that leads already gives no notice of it.
                async with asyncio.timeout(interval):
                    await opened.wait()
            except TimeoutError:
                pass

    async def _renew(self, address: str, link: links.Link) -> None:
        sent_at = clocks.boottime()
        watch = asyncio.ensure_future(_close_once_silent(link))
        try:
            request = messages.Renew(self.version, self.takes_spending())
            reply = await link.call(request, None)
        except errors.AmaranthringError:
            return
        finally:
            watch.cancel()
        self.sharers.record(address, reply, sent_at)
        self.answered_at = clocks.boottime()
        self._update_keepers(reply)
        self.fetcher.offer(link, reply.version)
        if reply.confirmed:
            self._confirm(reply.version, sent_at)
        for callback in self.on_renewed:
            callback(address, reply, sent_at)

    def _update_keepers(self, reply: messages.Renewed) -> None:
        self.add_keepers(reply.keepers)
        if not reply.confirmed:
            return
        for address in set(self.diallers) - set(reply.keepers):
            if address not in self.seeds:
                self.remove_keeper(address)

    def _on_notice(self, link: links.Link, notice: messages.PlanNotice):
        self.fetcher.offer(link, notice.version)
        # Only a leader can confirm, and one request at a time is enough:
        # answers to every router for every notice would delay a new leader's
        # first append.
        if not notice.leads or self.is_fresh(UNCONFIRMED_SECONDS):
            return
        address = self._address_of(link)
        if address is None:
            return
        self.noticed.add(link)
        if link in self.notice_tasks:
            return
        task = background.start(
            "renewal", self._renew_after_notice(address, link)
        )
        self.notice_tasks[link] = task
        task.add_done_callback(lambda _: self.notice_tasks.pop(link, None))

    async def _renew_after_notice(
        self, address: str, link: links.Link
    ) -> None:
        # A renewal in progress may have been answered before this notice.
        while link in self.noticed:
            self.noticed.discard(link)
            await self._renew(address, link)

    def _address_of(self, link: links.Link) -> str | None:
        addresses = {
            linked: address
            for address, linked in self._links_by_address().items()
        }
        return addresses.get(link)

    def _apply(self, plan: messages.PlanBody) -> None:
        if plan.base >= 0 and plan.base != self._delta_base():
            # Another keeper's plan came first; this one will be offered again.
            logs.event(log, "plan.delta-late", version=plan.version)
            return
        try:
            document = self._document(plan)
            self.apply_plan(document)
        except errors.AmaranthringError as error:
            log.error("plan.refused version={} fault={}", plan.version, error)
            # Whatever the error, the next request is for a whole plan.
            self._delta_document = None
            return
        except Exception:
            # The plan before stays in force; this one is offered again.
            log.exception("plan.refused version={}", plan.version)
            self._delta_document = None
            return
        self._delta_document = document
        logs.event(
            log, "plan.in-force", version=plan.version, before=self.version
        )
        self.version = plan.version
        self._confirm(*self._newest_confirmed)

    def _document(self, plan: messages.PlanBody) -> bytes:
        if plan.base < 0:
            return plans.decompress(plan.body)
        return deltas.apply(self._delta_document, plan.body)

    def _delta_base(self) -> int:
        return -1 if self._delta_document is None else self.version

    def _confirm(self, version: int, asked_at: float) -> None:
        """Record that `version` was the newest when a leader was asked."""
        if version >= self._newest_confirmed[0]:
            self._newest_confirmed = (version, asked_at)
        if self.version >= version >= 0:
            self.confirmed_at = max(self.confirmed_at, asked_at)
            self.first_confirmed.set()

    def _on_all_targets(
        self, _link: links.Link, message: messages.AllTargets
    ) -> None:
        self._merge(messages.unpack_targets(message))

    def _on_targets(
        self, _link: links.Link, message: messages.Targets
    ) -> None:
        self._merge(message.records)

    def _merge(self, records: list[messages.TargetRecord]) -> None:
        for record in records:
            if self.table.adopt(record):
                targets.log_change(record)


async def _close_once_silent(link: links.Link) -> None:
    """Close `link` once nothing has arrived for too long after a request.

    While bytes arrive, the reply may wait behind a plan that is on its way.
    """
    asked_at = time.monotonic()
    remaining = REPLY_SECONDS
    while remaining > 0:
        await asyncio.sleep(remaining)
        active_at = max(asked_at, link.received_at)
        remaining = active_at + REPLY_SECONDS - time.monotonic()
    link.close()
