"""Keepers pass on what routers tell each other: counts and prompt places.

Each router reports to one keeper, its home, several times a second. Keepers
exchange sums, and answer a router with the counts of all others. So a router
sends and receives one message each time, however many routers there are.
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

# Requests last about a second; counts that are a few hundred milliseconds
# old are of use for bounding loads, for 8 messages a second and router.
REPORT_SECONDS = 0.25
# Places are kept for routers that start or come to another keeper. A router
# that restarts without them sends prompts where they must be read again.
RETENTION_SECONDS = 45.0
MAX_LOCATIONS = 20_000
# Places share what the link has room for. All at once, to many routers that
# start or come back after a cut together, they fill it, and the keepers'
# heartbeats come too late; a few at a time, routers send prompts where they
# are read again until they have heard of all. Compressed, a pair takes about
# as many bytes as its part's identifier.
PAIR_BYTES = 10
# Where the link's room is not known.
LOCATIONS_PER_MESSAGE = 100
# What comes in any case, so that news go on during long pressure.
MIN_LOCATIONS_PER_MESSAGE = 30
# A keeper that has said nothing for so long is cut off or gone.
STALE_SECONDS = 1.5
# What a router may lack although its keeper told it all: the other keepers'
# last sums may be stale, and news take two messages from one to the router.
PROPAGATION_SECONDS = STALE_SECONDS + 2 * REPORT_SECONDS
# Between two lines that say how far behind places are.
LOG_SECONDS = 1.0

log = logbook.Logger(__name__)


@wire.message("share-report")
class Report:
    """A router's requests by target, and prompt places that are new.

    Attributes
    ----------
    counts : dict of str to int
        Its requests at each target; those without any are left out.
    places : list of list of str
        Pairs of part and target.
    unreached : list of str
        Targets that it could not reach when it last tried.
    reading : dict of str to int
        Tokens that each target has yet to read for it.
    failing : list of str
        Targets that broke an answer off a short while ago.
    told_all_ago : float
        Seconds since it was last told all places that there were; negative
        if it never was.
    tokens : dict of str to int
        For each part in `places` the tokens of the longest beginning of a
        prompt that it is in.
    """

    counts: dict[str, int]
    places: list[list[str]]
    unreached: list[str] = dataclasses.field(default_factory=list)
    reading: dict[str, int] = dataclasses.field(default_factory=dict)
    failing: list[str] = dataclasses.field(default_factory=list)
    told_all_ago: float = -1.0
    tokens: dict[str, int] = dataclasses.field(default_factory=dict)


@wire.message("share-left")
class Left:
    """A router reports to another keeper from now on."""


@wire.message("share-sums", compressed=True)
class Sums:
    """Between keepers: the sums over the routers that report to the sender.

    Attributes
    ----------
    unreached, failing : dict of str to int
        Routers that could not reach each target, and for which it broke an
        answer off.
    known : list of list of str
        Pairs that are old news, for a keeper that may have lost them.
    tokens : dict of str to int
        As in :class:`Report`, for `places` and `known`.
    """

    counts: dict[str, int]
    places: list[list[str]]
    unreached: dict[str, int] = dataclasses.field(default_factory=dict)
    reading: dict[str, int] = dataclasses.field(default_factory=dict)
    failing: dict[str, int] = dataclasses.field(default_factory=dict)
    known: list[list[str]] = dataclasses.field(default_factory=list)
    tokens: dict[str, int] = dataclasses.field(default_factory=dict)


@wire.message("share-others", compressed=True)
class Others:
    """To a router: what all other routers said; as in :class:`Sums`.

    Compressed: the same targets stand in the counts, in what they have to
    read and in the places. Plain, the counts alone took the half of a
    keeper's link that places have to share with them, and routers heard of
    places seconds late or not at all.

    Attributes
    ----------
    all_told : bool
        Whether this router has now been told all places that there are.
    """

    counts: dict[str, int]
    places: list[list[str]]
    unreached: dict[str, int] = dataclasses.field(default_factory=dict)
    reading: dict[str, int] = dataclasses.field(default_factory=dict)
    failing: dict[str, int] = dataclasses.field(default_factory=dict)
    all_told: bool = False


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
        Tokens that each target has yet to read.
    failing : Counter
        Routers for which each target broke an answer off.
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

    def add(self, said: Report | Sums) -> None:
        """Add one report, or the sums of others."""
        self.counts.update(said.counts)
        self.unreached.update(said.unreached)
        self.reading.update(said.reading)
        self.failing.update(said.failing)

    def without(self, own: Report) -> "Totals":
        """Return the sums without one report."""
        return Totals(
            self.counts - collections.Counter(own.counts),
            self.unreached - collections.Counter(own.unreached),
            self.reading - collections.Counter(own.reading),
            self.failing - collections.Counter(own.failing),
        )

    def message(self, kind: type, places: list[list[str]]) -> t.Any:
        """Return the sums as a message of `kind`, with new places."""
        return kind(
            dict(self.counts),
            places,
            dict(self.unreached),
            dict(self.reading),
            dict(self.failing),
        )


class Exchange:
    """A keeper's part.

    Parameters
    ----------
    peers : callable
        Returns the diallers of the other keepers.
    clock : callable
        Seconds.
    pacer : pacing.Pacer, optional
        Of this keeper's link.
    """

    def __init__(
        self,
        handlers: links.Handlers,
        peers: t.Callable[[], t.Iterable[t.Any]],
        clock: t.Callable[[], float],
        pacer: pacing.Pacer | None = None,
    ):
        self.pacer = pacer
        self.peers = peers
        self.clock = clock
        self.routers: dict[links.Link, Report] = {}
        self.reported_at: dict[links.Link, float] = {}
        self.sums: dict[str, tuple[float, Sums]] = {}
        self.router_backlogs: dict[links.Link, backlogs.Backlog] = {}
        self.new_locations: list[list[str]] = []
        self.keeper_backlogs: dict[t.Any, backlogs.Backlog] = {}
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
        """Tell the other keepers, and every router that reports here."""
        totals = self._own_totals()
        places, self.new_locations = self.new_locations, []
        message = totals.message(Sums, places)
        message.tokens = self.tokens_of(places)
        room = self._room()
        allowed = self._allowed(room)
        for dialler in self.peers():
            known = self._next(self.keeper_backlogs, dialler, allowed)
            tokens = message.tokens | self.tokens_of(known)
            dialler.send(
                dataclasses.replace(message, known=known, tokens=tokens)
            )
        self._add_elsewhere(totals)
        for link, report in self.routers.items():
            self._tell(link, report, totals, allowed)
        if self.router_backlogs:
            self._log_behind(room)

    def _log_behind(self, room: int) -> None:
        """Say what routers have still to be told, and what the link took."""
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
            room=room,
        )

    def sync_keeper(self, dialler: t.Any) -> None:
        """Tell a keeper that has just been linked what it may have lost.

        One whose disk was wiped knows no place, and the routers that report
        to it would send prompts where they have to be read again.
        """
        self.keeper_backlogs[dialler] = backlogs.Backlog(
            self.priority, self._known()
        )

    def _own_totals(self) -> Totals:
        totals = Totals()
        for link, report in list(self.routers.items()):
            if link.closed or self._reports_elsewhere(link):
                self._forget(link)
            else:
                totals.add(report)
        return totals

    def _forget(self, link: links.Link) -> None:
        """Count a router no more, and tell it nothing more."""
        if self.routers.pop(link, None) is not None:
            del self.reported_at[link]
            self.router_backlogs.pop(link, None)

    def _reports_elsewhere(self, link: links.Link) -> bool:
        """Return whether the router has turned to another keeper.

        Its last report would count for ever beside those that it makes
        there, as requests that no target has.
        """
        return self.clock() - self.reported_at[link] > STALE_SECONDS

    def _add_elsewhere(self, totals: Totals) -> None:
        oldest = self.clock() - STALE_SECONDS
        for name, (heard_at, sums) in list(self.sums.items()):
            if heard_at <= oldest:
                del self.sums[name]
            else:
                totals.add(sums)

    def _tell(
        self,
        link: links.Link,
        report: Report,
        totals: Totals,
        allowed: dict[t.Any, int],
    ) -> None:
        places = self._next(self.router_backlogs, link, allowed)
        message = totals.without(report).message(Others, places)
        message.all_told = (
            link not in self.router_backlogs and self._hears_all()
        )
        send_if_open(link, message)

    def _hears_all(self) -> bool:
        """Return whether this keeper knows what every other one knows."""
        return len(self.sums) >= len(list(self.peers()))

    def _next(
        self,
        waiting: dict[t.Any, backlogs.Backlog],
        to: t.Any,
        allowed: dict[t.Any, int],
    ) -> list[list[str]]:
        """Return the pairs that `to` is told now."""
        if to not in waiting:
            return []
        taken = waiting[to].take(allowed[to])
        if not len(waiting[to]):
            del waiting[to]
        return taken

    def _room(self) -> int:
        """Return how many pairs may go now to all together."""
        if self.pacer is None:
            return LOCATIONS_PER_MESSAGE * (
                len(self.router_backlogs) + len(self.keeper_backlogs)
            )
        return int(self.pacer.room() / PAIR_BYTES)

    def _allowed(self, room: int) -> dict[t.Any, int]:
        """Return how many pairs each process may be told now.

        Shared out before any is told: what goes to the first ones takes
        room, and those who come last would be behind for good.
        """
        waiting = {**self.router_backlogs, **self.keeper_backlogs}
        sizes = {to: len(backlog) for to, backlog in waiting.items()}
        return {
            to: max(MIN_LOCATIONS_PER_MESSAGE, share)
            for to, share in backlogs.fair_shares(sizes, room).items()
        }

    def _on_report(self, link: links.Link, report: Report) -> None:
        is_new = link not in self.routers
        self.routers[link] = report
        self.reported_at[link] = self.clock()
        if is_new:
            # It takes no callers until it knows what the others do.
            known = self._unknown_to(report)
            self.router_backlogs[link] = backlogs.Backlog(self.priority, known)
            totals = self._own_totals()
            self._add_elsewhere(totals)
            self._tell(link, report, totals, self._allowed(self._room()))
        self.new_locations += report.places
        self.merge_tokens(report.tokens)
        self._pass_on(report.places, but=link)

    def _on_left(self, link: links.Link, _left: Left) -> None:
        # Until its report was stale, the router was told places here that it
        # was also told by the next keeper, and others waited for the room.
        self._forget(link)

    def _unknown_to(self, report: Report) -> list[list[str]]:
        """Return the pairs that a router may lack that reports here anew.

        Most come from another keeper, and were told all but what is new. All
        pairs again, to all routers beyond a cut at once, kept news waiting
        for seconds.
        """
        if report.told_all_ago < 0:
            return self._known()
        age = report.told_all_ago + PROPAGATION_SECONDS
        return self._by_rank(self._kept_since(self.clock() - age))

    def _on_sums(self, link: links.Link, sums: Sums) -> None:
        self.sums[link.peer.name] = (self.clock(), sums)
        self.merge_tokens(sums.tokens)
        self._pass_on(sums.places, but=link)
        lost = [
            pair for pair in sums.known if tuple(pair) not in self.stored_at
        ]
        self._pass_on(lost, but=link)

    def _pass_on(self, places: list[list[str]], but: links.Link) -> None:
        if not places:
            return
        self.store_locations(places)
        ranked = collections.defaultdict(list)
        for pair in places:
            ranked[self.priority(pair[0])].append(pair)
        for link in self.routers:
            if link is not but:
                waiting = self.router_backlogs.setdefault(
                    link, backlogs.Backlog(self.priority, [])
                )
                waiting.add(ranked)

    def store_locations(self, places: list[list[str]]) -> None:
        """Remember pairs for routers that start."""
        now = self.clock()
        self.ranked_at = float("-inf")
        for part_id, target_id in places:
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
        """Return the pairs that are not too old, the newest last."""
        return self._kept_since(self.clock() - RETENTION_SECONDS)

    def _kept_since(self, oldest: float) -> list[list[str]]:
        newest_first = reversed(self.stored_at.items())
        fresh = itertools.takewhile(lambda one: one[1] > oldest, newest_first)
        return [list(pair) for pair, _ in fresh][::-1]

    def _known(self) -> list[list[str]]:
        """Return the pairs that are kept, those of the longest parts last.

        All who come together share them: routers that start at once ask for
        the same pairs.
        """
        now = self.clock()
        if now - self.ranked_at > REPORT_SECONDS:
            self.ranked_locations = self._by_rank(self.recent_locations())
            self.ranked_at = now
        return self.ranked_locations

    def _by_rank(self, places: list[list[str]]) -> list[list[str]]:
        return sorted(places, key=lambda pair: self.priority(pair[0]))

    def priority(self, part_id: str) -> int:
        """Return how urgent a part is: its tokens by powers of two."""
        return self.tokens.get(part_id, 0).bit_length()

    def merge_tokens(self, tokens: dict[str, int]) -> None:
        """Take the tokens of beginnings that parts are in."""
        for part_id, count in tokens.items():
            self.tokens[part_id] = max(count, self.tokens.get(part_id, 0))

    def tokens_of(self, places: list[list[str]]) -> dict[str, int]:
        """Return the tokens of the parts in `places`, where known."""
        parts = {part_id for part_id, _ in places}
        return {one: self.tokens[one] for one in parts & self.tokens.keys()}


def send_if_open(link: links.Link, message: t.Any) -> None:
    """Send `message` one way, if the link stands."""
    try:
        link.send(message)
    except errors.LinkError:
        # The link's own task finds that out and dials again. Counts are sent
        # again soon; a place is told again while it is used.
        return
