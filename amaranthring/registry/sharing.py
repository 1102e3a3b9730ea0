"""Shares request counts and prompt locations between routers, through keepers.

A location is a pair of prompt part and target: the target holds that part in
its prefix cache. Each router reports to one keeper, its home keeper, several
times a second. Keepers exchange sums and answer each router with the totals of
all others, so a router sends and receives one message per interval, however
many routers there are.
"""

import asyncio
import collections
import dataclasses
import itertools
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.core import pacing
from amaranthring.core import wire
from amaranthring.registry import backlogs
from amaranthring.registry import helpers as helpers_module
from amaranthring.registry import stream_ledger
from amaranthring.registry import stream_messages

# Requests last about a second, so counts a few hundred milliseconds old still
# bound the load, for 8 messages per second and router.
REPORT_SECONDS = 0.25
# Locations are kept for routers that start or move to another keeper. Without
# them, a restarted router sends prompts to targets that must compute them
# anew.
RETENTION_SECONDS = 45.0
MAX_LOCATIONS = 20_000
# Estimated size of a location: compressed, about that of its part's
# identifier. Locations share the bandwidth that the pacer grants. Sent all at
# once, to many routers that start or reconnect together, they would delay the
# keepers' heartbeats. Until a router has all of them, it sends some prompts
# where they are prefilled again.
PAIR_BYTES = 10
# Used when there is no pacer.
LOCATIONS_PER_MESSAGE = 100
# Sent regardless of the pacer, so that updates continue on a busy link.
MIN_LOCATIONS_PER_MESSAGE = 30
# A keeper that has sent nothing for this time is partitioned or gone.
STALE_SECONDS = 1.5
# Age of the locations that a router may lack although its keeper had sent all:
# the other keepers' last sums may be stale, and an update takes two messages
# from another keeper to the router.
PROPAGATION_SECONDS = STALE_SECONDS + 2 * REPORT_SECONDS
# Interval between log lines about the backlog.
LOG_SECONDS = 1.0

log = logbook.Logger(__name__)


@wire.message("share-report")
class Report:
    """A router's requests by target, and its new prompt locations.

    Attributes
    ----------
    counts : dict of str to int
        Its requests at each target; targets without any are left out.
    places : list of list of str
        Pairs of prompt part and target.
    unreached : list of str
        Targets that it could not reach when it last tried.
    reading : dict of str to int
        Prompt tokens that each target has yet to process for it.
    failing : list of str
        Targets that recently broke off an answer.
    told_all_ago : float
        Seconds since it was last sent all locations that there were; negative
        if it never was.
    tokens : dict of str to int
        For each part in `places`, the tokens of the longest prompt prefix
        that it belongs to.
    sent_at : float
        When it was sent, in seconds of the router's own clock; negative if
        unknown.
    address : str
        ``host:port`` at which it takes requests of other routers; empty if
        it takes none.
    unreached_services : list of str
        Services of which it reaches no target.
    sought : list of str
        Services for which it needs routers that send requests on.
    refused : dict of str to int
        Requests that each brittle target has turned away in the last seconds.
    brittle : dict of str to int
        By service, how many requests a second its targets may turn away.
    streams : list of BoundStreams
        Streams that it has begun to pass on, or still does.
    moved : dict of str to float
        Routes that began to lead to other services so many seconds ago, if
        this keeper was not told yet.
    """

    counts: dict[str, int]
    places: list[list[str]]
    unreached: list[str] = dataclasses.field(default_factory=list)
    reading: dict[str, int] = dataclasses.field(default_factory=dict)
    failing: list[str] = dataclasses.field(default_factory=list)
    told_all_ago: float = -1.0
    tokens: dict[str, int] = dataclasses.field(default_factory=dict)
    sent_at: float = -1.0
    address: str = ""
    unreached_services: list[str] = dataclasses.field(default_factory=list)
    sought: list[str] = dataclasses.field(default_factory=list)
    refused: dict[str, int] = dataclasses.field(default_factory=dict)
    brittle: dict[str, int] = dataclasses.field(default_factory=dict)
    streams: list[stream_messages.BoundStreams] = dataclasses.field(
        default_factory=list
    )
    moved: dict[str, float] = dataclasses.field(default_factory=dict)


@wire.message("share-left")
class Left:
    """A router reports to another keeper from now on."""


@wire.message("share-sums", compressed=True)
class Sums:
    """Between keepers: sums over the routers that report to the sender.

    Attributes
    ----------
    unreached, failing : dict of str to int
        By target, the number of routers that could not reach it, and of those
        for which it broke off an answer.
    known : list of list of str
        Older locations, for a keeper that may have lost them.
    tokens : dict of str to int
        As in :class:`Report`, for `places` and `known`.
    routers : int
        Number of routers that report to the sender.
    age : float
        Mean age of these routers' counts at the sender, in seconds.
    helpers : list of Helper
        Some of these routers that take requests of others.
    streams : list of BoundStreams
        What these routers have reported since the last sums.
    history : History, optional
        What the sender knows, in the first sums after its targets on each
        link.
    """

    counts: dict[str, int]
    places: list[list[str]]
    unreached: dict[str, int] = dataclasses.field(default_factory=dict)
    reading: dict[str, int] = dataclasses.field(default_factory=dict)
    failing: dict[str, int] = dataclasses.field(default_factory=dict)
    known: list[list[str]] = dataclasses.field(default_factory=list)
    tokens: dict[str, int] = dataclasses.field(default_factory=dict)
    routers: int = 0
    age: float = 0.0
    helpers: list[helpers_module.Helper] = dataclasses.field(
        default_factory=list
    )
    refused: dict[str, int] = dataclasses.field(default_factory=dict)
    brittle: dict[str, int] = dataclasses.field(default_factory=dict)
    streams: list[stream_messages.BoundStreams] = dataclasses.field(
        default_factory=list
    )
    history: stream_messages.History | None = None


@wire.message("share-others", compressed=True)
class Others:
    """To a router: totals of all other routers; fields as in :class:`Sums`.

    Compressed, as the same target names occur in all of its fields.
    Uncompressed, the counts alone take up the bandwidth that locations need.

    Attributes
    ----------
    all_told : bool
        Whether this router has now been sent all locations that there are.
    routers : int
        Number of all routers that report, with this one; 0 if unknown.
    age : float
        Mean age of the other routers' counts at the keepers, in seconds.
    report_sent_at : float
        `sent_at` of the newest report of this router.
    report_held : float
        Seconds for which the keeper has had that report.
    helpers : dict of str to list of str
        Addresses of routers that take requests, by service that the receiver
        does not reach.
    """

    counts: dict[str, int]
    places: list[list[str]]
    unreached: dict[str, int] = dataclasses.field(default_factory=dict)
    reading: dict[str, int] = dataclasses.field(default_factory=dict)
    failing: dict[str, int] = dataclasses.field(default_factory=dict)
    all_told: bool = False
    routers: int = 0
    age: float = 0.0
    report_sent_at: float = -1.0
    report_held: float = 0.0
    helpers: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    refused: dict[str, int] = dataclasses.field(default_factory=dict)
    brittle: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Totals:
    """Sums of what routers report.

    Attributes
    ----------
    counts : Counter
        Requests at each target.
    unreached : Counter
        Routers that could not reach each target.
    reading : Counter
        Prompt tokens that each target has yet to process.
    failing : Counter
        Routers for which each target broke off an answer.
    routers : int
        Routers that reported.
    router_seconds : float
        Ages of their counts, added up.
    refused : Counter
        Requests that each brittle target has turned away.
    brittle : dict of str to int
        By service, how many requests a second its targets may turn away.
    """

    counts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    unreached: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    reading: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    failing: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    routers: int = 0
    router_seconds: float = 0.0
    refused: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    brittle: dict[str, int] = dataclasses.field(default_factory=dict)

    def add(self, report: Report | Sums, age: float) -> None:
        """Add one report, or the sums of another keeper, `age` seconds old."""
        routers = report.routers if isinstance(report, Sums) else 1
        self.routers += routers
        self.router_seconds += routers * age
        self.counts.update(report.counts)
        self.unreached.update(report.unreached)
        self.reading.update(report.reading)
        self.failing.update(report.failing)
        self.refused.update(report.refused)
        for service, number in report.brittle.items():
            known = self.brittle.get(service, number)
            self.brittle[service] = min(known, number)

    def without(self, own: Report, age: float) -> "Totals":
        """Return the totals minus one report, `age` seconds old."""
        return Totals(
            self.counts - collections.Counter(own.counts),
            self.unreached - collections.Counter(own.unreached),
            self.reading - collections.Counter(own.reading),
            self.failing - collections.Counter(own.failing),
            self.routers - 1,
            self.router_seconds - age,
            self.refused - collections.Counter(own.refused),
            self.brittle,
        )

    def message(self, kind: type, locations: list[list[str]]) -> t.Any:
        """Return the totals as a message of class `kind`."""
        age = self.router_seconds / self.routers if self.routers else 0.0
        return kind(
            dict(self.counts),
            locations,
            dict(self.unreached),
            dict(self.reading),
            dict(self.failing),
            routers=self.routers,
            age=age,
            refused=dict(self.refused),
            brittle=self.brittle,
        )


class Exchange:
    """Collects reports on a keeper and distributes the totals.

    Parameters
    ----------
    peers : callable
        Returns the diallers of the other keepers.
    clock : callable
        Seconds.
    pacer : pacing.Pacer, optional
        Of this keeper's link.
    streams : StreamLedger, optional
        What streams are bound to.
    """

    def __init__(
        self,
        handlers: links.Handlers,
        peers: t.Callable[[], t.Iterable[t.Any]],
        clock: t.Callable[[], float],
        pacer: pacing.Pacer | None = None,
        streams: stream_ledger.StreamLedger | None = None,
    ):
        self.pacer = pacer
        self.streams = streams
        if streams is not None:
            streams.hears_all_keepers = self._knows_all_keepers
        self.peers = peers
        self.clock = clock
        self.routers: dict[links.Link, Report] = {}
        self.reported_at: dict[links.Link, float] = {}
        self.sums: dict[str, tuple[float, Sums]] = {}
        self.router_backlogs: dict[links.Link, backlogs.Backlog] = {}
        self.new_locations: list[list[str]] = []
        self.keeper_backlogs: dict[t.Any, backlogs.Backlog] = {}
        self.untold_links: dict[t.Any, links.Link] = {}
        self.sums_links: dict[str, links.Link] = {}
        self.history_links: dict[str, links.Link] = {}
        self.stored_at: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )
        self.tokens: dict[str, int] = {}
        self.ranked_locations: list[list[str]] = []
        self.ranked_at = float("-inf")
        self.logged_at = float("-inf")
        handlers.add(Report, self._on_report)
        handlers.add(Left, self._on_left)
        handlers.add(Sums, self._on_sums)

    async def run(self) -> None:
        """Exchange sums until cancelled."""
        while True:
            await asyncio.sleep(REPORT_SECONDS)
            self.step()

    def step(self) -> None:
        """Send the sums to the other keepers and the totals to the routers."""
        totals = self._own_totals()
        locations, self.new_locations = self.new_locations, []
        message = totals.message(Sums, locations)
        message.helpers = self._own_helpers()
        message.tokens = self.tokens_of(locations)
        if self.streams is not None:
            message.streams = self.streams.take_untold()
        free = self._free_locations()
        allowances = self._allowances(free)
        for dialler in self.peers():
            initial = self._take_locations(
                self.keeper_backlogs, dialler, allowances
            )
            tokens = message.tokens | self.tokens_of(initial)
            dialler.send(
                dataclasses.replace(
                    message,
                    known=initial,
                    tokens=tokens,
                    history=self._take_history(dialler),
                )
            )
        self._add_peer_sums(totals)
        for link, report in self.routers.items():
            self._send_others(link, report, totals, allowances)
        if self.router_backlogs:
            self._log_backlog(free)

    def _log_backlog(self, free: int) -> None:
        """Log how many locations are still to be sent to routers."""
        now = self.clock()
        if now - self.logged_at < LOG_SECONDS:
            return
        self.logged_at = now
        waiting = [len(backlog) for backlog in self.router_backlogs.values()]
        logs.event(
            log,
            "places.behind",
            routers=len(self.routers),
            waiting=len(waiting),
            pairs=sum(waiting),
            most=max(waiting),
            room=free,
        )

    def sync_keeper(self, dialler: t.Any) -> None:
        """Send a newly linked keeper all locations, in case it has lost them.

        A keeper whose disk was wiped knows no locations; the routers that
        report to it would send prompts to targets that must compute them anew.
        The caller sends it all targets in the same step; the history follows
        with the next sums.
        """
        self.untold_links[dialler] = dialler.link
        self.keeper_backlogs[dialler] = backlogs.Backlog(
            self.priority, self._ranked_recent_locations()
        )

    def _take_history(self, dialler: t.Any) -> stream_messages.History | None:
        """Return the history, once on each link that has got the targets."""
        link = self.untold_links.pop(dialler, None)
        if self.streams is None or link is None or link is not dialler.link:
            return None
        return self.streams.history()

    def _own_totals(self) -> Totals:
        totals = Totals()
        for link, report in list(self.routers.items()):
            if link.closed or self._reports_elsewhere(link):
                self._forget(link)
            else:
                totals.add(report, self.clock() - self.reported_at[link])
        return totals

    def _forget(self, link: links.Link) -> None:
        """Stop counting a router's report and sending to it."""
        if self.routers.pop(link, None) is not None:
            del self.reported_at[link]
            self.router_backlogs.pop(link, None)

    def _reports_elsewhere(self, link: links.Link) -> bool:
        """Return whether the router has moved to another keeper.

        Its last report would otherwise be counted here forever, beside those
        that it sends to the other keeper.
        """
        return self.clock() - self.reported_at[link] > STALE_SECONDS

    def _add_peer_sums(self, totals: Totals) -> None:
        oldest = self.clock() - STALE_SECONDS
        for name, (heard_at, sums) in list(self.sums.items()):
            if heard_at <= oldest:
                del self.sums[name]
                logs.event(
                    log,
                    "sums.missing",
                    keeper=name,
                    seconds=round(self.clock() - heard_at, 3),
                    routers=sums.routers,
                )
            else:
                totals.add(sums, self.clock() - heard_at + sums.age)

    def _send_others(
        self,
        link: links.Link,
        report: Report,
        totals: Totals,
        allowances: dict[t.Any, int],
    ) -> None:
        locations = self._take_locations(
            self.router_backlogs, link, allowances
        )
        report_age = self.clock() - self.reported_at[link]
        message = totals.without(report, report_age).message(Others, locations)
        message.routers = totals.routers
        message.all_told = (
            link not in self.router_backlogs and self._hears_all_keepers()
        )
        message.report_sent_at = report.sent_at
        message.report_held = report_age
        message.helpers = helpers_module.offers(
            report.address, report.sought, self._helpers()
        )
        send_if_open(link, message)

    def _own_helpers(self) -> list[helpers_module.Helper]:
        """Return some routers that report here and take requests."""
        return helpers_module.to_tell(
            [
                helpers_module.Helper(
                    report.address, report.unreached_services
                )
                for report in self.routers.values()
                if report.address
            ]
        )

    def _helpers(self) -> list[helpers_module.Helper]:
        """Return the routers that take requests, as far as known."""
        found = self._own_helpers()
        for _, sums in self.sums.values():
            found += sums.helpers
        return found

    def _hears_all_keepers(self) -> bool:
        """Return whether the sums of every other keeper are current."""
        return len(self.sums) >= len(list(self.peers()))

    def _knows_all_keepers(self) -> bool:
        """Return whether all that the other keepers know was told here."""
        return self._hears_all_keepers() and all(
            self.history_links.get(name) is self.sums_links[name]
            for name in self.sums
        )

    def _take_locations(
        self,
        backlogs_by_receiver: dict[t.Any, backlogs.Backlog],
        receiver: t.Any,
        allowances: dict[t.Any, int],
    ) -> list[list[str]]:
        """Remove and return the locations to send to `receiver` now."""
        if receiver not in backlogs_by_receiver:
            return []
        taken = backlogs_by_receiver[receiver].take(allowances[receiver])
        if not len(backlogs_by_receiver[receiver]):
            del backlogs_by_receiver[receiver]
        return taken

    def _free_locations(self) -> int:
        """Return how many locations may be sent now, to all processes."""
        if self.pacer is None:
            return LOCATIONS_PER_MESSAGE * (
                len(self.router_backlogs) + len(self.keeper_backlogs)
            )
        return int(self.pacer.available() / PAIR_BYTES)

    def _allowances(self, free: int) -> dict[t.Any, int]:
        """Return how many locations each process may be sent now.

        Computed before any are sent: sending uses up room, and the last
        receivers would lag behind permanently.
        """
        waiting = {**self.router_backlogs, **self.keeper_backlogs}
        sizes = {
            receiver: len(backlog) for receiver, backlog in waiting.items()
        }
        return {
            receiver: max(MIN_LOCATIONS_PER_MESSAGE, share)
            for receiver, share in backlogs.fair_shares(sizes, free).items()
        }

    def _on_report(self, link: links.Link, report: Report) -> None:
        is_new = link not in self.routers
        self.routers[link] = report
        self.reported_at[link] = self.clock()
        if self.streams is not None:
            self.streams.add(report.streams)
            self.streams.add_moved(report.moved)
        if is_new:
            # A new router accepts no callers until it knows the others'
            # totals.
            missing = self._missing_locations(report)
            self.router_backlogs[link] = backlogs.Backlog(
                self.priority, missing
            )
            totals = self._own_totals()
            self._add_peer_sums(totals)
            self._send_others(
                link, report, totals, self._allowances(self._free_locations())
            )
        self.new_locations += report.places
        self.merge_tokens(report.tokens)
        self._forward(report.places, sender=link)

    def _on_left(self, link: links.Link, _left: Left) -> None:
        # If the router were kept until its report is stale, two keepers would
        # send it locations, which delays those for other routers.
        self._forget(link)

    def _missing_locations(self, report: Report) -> list[list[str]]:
        """Return the locations that a router new to this keeper may lack.

        Most such routers come from another keeper and lack only recent
        locations. If every router behind a partition were sent all locations
        again at once, new ones would reach it seconds late.
        """
        if report.told_all_ago < 0:
            return self._ranked_recent_locations()
        age = report.told_all_ago + PROPAGATION_SECONDS
        return self._by_priority(self._locations_since(self.clock() - age))

    def _on_sums(self, link: links.Link, sums: Sums) -> None:
        name = link.peer.name
        if name not in self.sums:
            logs.event(log, "sums.heard", keeper=name, routers=sums.routers)
        self.sums[name] = (self.clock(), sums)
        self.sums_links[name] = link
        if self.streams is not None:
            self.streams.merge(sums.streams)
            if sums.history is not None:
                self.history_links[name] = link
                self.streams.merge_history(name, sums.history)
        self.merge_tokens(sums.tokens)
        self._forward(sums.places, sender=link)
        unknown = [
            pair for pair in sums.known if tuple(pair) not in self.stored_at
        ]
        self._forward(unknown, sender=link)

    def _forward(self, locations: list[list[str]], sender: links.Link) -> None:
        if not locations:
            return
        self.store_locations(locations)
        by_priority = collections.defaultdict(list)
        for pair in locations:
            by_priority[self.priority(pair[0])].append(pair)
        for link in self.routers:
            if link is not sender:
                backlog = self.router_backlogs.setdefault(
                    link, backlogs.Backlog(self.priority, [])
                )
                backlog.add(by_priority)

    def store_locations(self, locations: list[list[str]]) -> None:
        """Store locations for routers that start."""
        now = self.clock()
        self.ranked_at = float("-inf")
        for part_id, target_id in locations:
            self.stored_at[part_id, target_id] = now
            self.stored_at.move_to_end((part_id, target_id))
        while self.stored_at:
            pair, since = next(iter(self.stored_at.items()))
            if (
                len(self.stored_at) <= MAX_LOCATIONS
                and now - since < RETENTION_SECONDS
            ):
                break
            del self.stored_at[pair]
        if len(self.tokens) > MAX_LOCATIONS:
            self.tokens = self.tokens_of(self.recent_locations())

    def recent_locations(self) -> list[list[str]]:
        """Return the locations within the retention time, the newest last."""
        return self._locations_since(self.clock() - RETENTION_SECONDS)

    def _locations_since(self, oldest: float) -> list[list[str]]:
        newest_first = reversed(self.stored_at.items())
        fresh = itertools.takewhile(
            lambda item: item[1] > oldest, newest_first
        )
        return [list(pair) for pair, _ in fresh][::-1]

    def _ranked_recent_locations(self) -> list[list[str]]:
        """Return the recent locations, those of the longest parts last.

        Cached and shared, as routers that start together need the same ones.
        """
        now = self.clock()
        if now - self.ranked_at > REPORT_SECONDS:
            self.ranked_locations = self._by_priority(self.recent_locations())
            self.ranked_at = now
        return self.ranked_locations

    def _by_priority(self, locations: list[list[str]]) -> list[list[str]]:
        return sorted(locations, key=lambda pair: self.priority(pair[0]))

    def priority(self, part_id: str) -> int:
        """Return how urgent a part is: the bit length of its token count."""
        return self.tokens.get(part_id, 0).bit_length()

    def merge_tokens(self, tokens: dict[str, int]) -> None:
        """Merge token counts of prompt prefixes, by part."""
        for part_id, count in tokens.items():
            self.tokens[part_id] = max(count, self.tokens.get(part_id, 0))

    def tokens_of(self, locations: list[list[str]]) -> dict[str, int]:
        """Return the known token counts of the parts in `locations`."""
        parts = {part_id for part_id, _ in locations}
        return {
            part_id: self.tokens[part_id]
            for part_id in parts & self.tokens.keys()
        }


def send_if_open(link: links.Link, message: t.Any) -> None:
    """Send `message` without a reply, if the link is open."""
    try:
        link.send(message)
    except errors.LinkError:
        # The dialler reconnects. Counts are sent again soon, and a location is
        # reported again while it is in use.
        return
