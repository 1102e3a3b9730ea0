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
from amaranthring.core import clocks
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.core import pacing
from amaranthring.core import wire

# Requests last about a second; counts that are a few hundred milliseconds
# old are of use for bounding loads, for 8 messages a second and router.
SHARE_SECONDS = 0.25
# A router that has just started reports as soon as it has a link.
FIRST_SECONDS = 0.02
# Places are kept for routers that start or come to another keeper. A router
# that restarts without them sends prompts where they must be read again:
# with all routers restarted in turn, a third of what was read again in a
# whole day of such trouble.
KEPT_SECONDS = 45.0
PLACES_MOST = 20_000
# Places share what the link has room for. All at once, to many routers that
# start or come back after a cut together, they fill it, and the keepers'
# heartbeats come too late; a few at a time, routers send prompts where they
# are read again until they have heard of all. Compressed, a pair takes about
# as many bytes as its part's identifier.
PAIR_BYTES = 10
# Where the link's room is not known.
PLACES_A_MESSAGE = 100
# What comes in any case, 300 bytes, so that news go on during long pressure;
# there are about 40 a message.
PLACES_LEAST = 30
# A keeper that has said nothing for so long is cut off or gone.
STALE_SECONDS = 1.5
# What a router may lack although its keeper told it all: the other keepers'
# last sums may be stale, and news take two messages from one to the router.
NEWS_SECONDS = STALE_SECONDS + 2 * SHARE_SECONDS
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
    """

    counts: dict[str, int]
    places: list[list[str]]
    unreached: list[str] = dataclasses.field(default_factory=list)
    reading: dict[str, int] = dataclasses.field(default_factory=dict)
    failing: list[str] = dataclasses.field(default_factory=list)
    told_all_ago: float = -1.0


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
    """

    counts: dict[str, int]
    places: list[list[str]]
    unreached: dict[str, int] = dataclasses.field(default_factory=dict)
    reading: dict[str, int] = dataclasses.field(default_factory=dict)
    failing: dict[str, int] = dataclasses.field(default_factory=dict)
    known: list[list[str]] = dataclasses.field(default_factory=list)


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


class Backlog:
    """Pairs that one process has still to be told, the newest first.

    Parameters
    ----------
    known : list of list of str
        What was known when it came; shared by all who came together, since
        6,000 pairs copied for each of 84 routers take 40 MB.
    """

    def __init__(self, known: list[list[str]]):
        self.known = known
        self.left = len(known)
        self.news: list[list[str]] = []

    def __len__(self) -> int:
        return self.left + len(self.news)

    def add(self, pairs: list[list[str]]) -> None:
        """Add pairs that are new."""
        self.news += pairs
        del self.news[:-PLACES_MOST]

    def take(self, most: int) -> list[list[str]]:
        """Remove and return up to `most` pairs, the newest last.

        What came last is the most likely to be asked for next.
        """
        taken = self.news[-most:]
        del self.news[-most:]
        first = max(0, self.left - (most - len(taken)))
        taken = self.known[first : self.left] + taken
        self.left = first
        return taken


def fair_shares(wanted: dict[t.Any, int], room: int) -> dict[t.Any, int]:
    """Share `room` alike; what one does not want goes to the others."""
    shares = {}
    for to in sorted(wanted, key=wanted.get):
        shares[to] = min(wanted[to], room // (len(wanted) - len(shares)))
        room -= shares[to]
    return shares


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
        self.places: dict[links.Link, Backlog] = {}
        self.for_keepers: list[list[str]] = []
        self.greetings: dict[t.Any, Backlog] = {}
        self.kept: collections.OrderedDict[tuple[str, str], float] = (
            collections.OrderedDict()
        )
        self.known: list[list[str]] | None = None
        self.known_at = 0.0
        self.logged_at = float("-inf")
        handlers.add(Report, self._on_report)
        handlers.add(Left, self._on_left)
        handlers.add(Sums, self._on_sums)

    async def run(self) -> None:
        """Exchange sums until cancelled."""
        while True:
            await asyncio.sleep(SHARE_SECONDS)
            self.step()

    def step(self) -> None:
        """Tell the other keepers, and every router that reports here."""
        totals = self._own_totals()
        places, self.for_keepers = self.for_keepers, []
        message = totals.message(Sums, places)
        room = self._room()
        allowed = self._allowed(room)
        for dialler in self.peers():
            known = self._next(self.greetings, dialler, allowed)
            dialler.send(dataclasses.replace(message, known=known))
        self._add_elsewhere(totals)
        for link, report in self.routers.items():
            self._tell(link, report, totals, allowed)
        if self.places:
            self._log_behind(room)

    def _log_behind(self, room: int) -> None:
        """Say what routers have still to be told, and what the link took."""
        now = self.clock()
        if now - self.logged_at < LOG_SECONDS:
            return
        self.logged_at = now
        waiting = [len(backlog) for backlog in self.places.values()]
        logs.event(
            log,
            "places.behind",
            routers=len(self.routers),
            waiting=len(waiting),
            pairs=sum(waiting),
            most=max(waiting),
            room=room,
        )

    def greet(self, dialler: t.Any) -> None:
        """Tell a keeper that has just been linked what it may have lost.

        One whose disk was wiped knew no place, and the routers that report
        to it sent prompts where they had to be read again: in 12 s after a
        loss of power with one disk wiped, 100,000 tokens.
        """
        self.greetings[dialler] = Backlog(self.all_kept())

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
            self.places.pop(link, None)

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
        places = self._next(self.places, link, allowed)
        message = totals.without(report).message(Others, places)
        message.all_told = link not in self.places and self._hears_all()
        _send(link, message)

    def _hears_all(self) -> bool:
        """Return whether this keeper knows what every other one knows."""
        return len(self.sums) >= len(list(self.peers()))

    def _next(
        self,
        waiting: dict[t.Any, Backlog],
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
            return PLACES_A_MESSAGE * (len(self.places) + len(self.greetings))
        return int(self.pacer.room() / PAIR_BYTES)

    def _allowed(self, room: int) -> dict[t.Any, int]:
        """Return how many pairs each process may be told now.

        Shared out before any is told: what goes to the first ones takes
        room, and those who come last would be behind for good.
        """
        waiting = {**self.places, **self.greetings}
        sizes = {to: len(backlog) for to, backlog in waiting.items()}
        return {
            to: max(PLACES_LEAST, share)
            for to, share in fair_shares(sizes, room).items()
        }

    def _on_report(self, link: links.Link, report: Report) -> None:
        is_new = link not in self.routers
        self.routers[link] = report
        self.reported_at[link] = self.clock()
        if is_new:
            # It takes no callers until it knows what the others do.
            self.places[link] = Backlog(self._unknown_to(report))
            totals = self._own_totals()
            self._add_elsewhere(totals)
            self._tell(link, report, totals, self._allowed(self._room()))
        self.for_keepers += report.places
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
            return self.all_kept()
        oldest = self.clock() - report.told_all_ago - NEWS_SECONDS
        newest_first = reversed(self.kept.items())
        fresh = itertools.takewhile(
            lambda item: item[1] > oldest, newest_first
        )
        return [list(pair) for pair, _ in fresh][::-1]

    def _on_sums(self, link: links.Link, sums: Sums) -> None:
        self.sums[link.peer.name] = (self.clock(), sums)
        self._pass_on(sums.places, but=link)
        lost = [pair for pair in sums.known if tuple(pair) not in self.kept]
        self._pass_on(lost, but=link)

    def _pass_on(self, places: list[list[str]], but: links.Link) -> None:
        if not places:
            return
        self.keep(places)
        for link in self.routers:
            if link is not but:
                self.places.setdefault(link, Backlog([])).add(places)

    def keep(self, places: list[list[str]]) -> None:
        """Remember pairs for routers that start."""
        now = self.clock()
        self.known = None
        for part_id, target_id in places:
            self.kept[part_id, target_id] = now
            self.kept.move_to_end((part_id, target_id))
        while self.kept:
            pair, since = next(iter(self.kept.items()))
            if len(self.kept) <= PLACES_MOST and now - since < KEPT_SECONDS:
                return
            del self.kept[pair]

    def all_kept(self) -> list[list[str]]:
        """Return the pairs that are not too old, the newest last."""
        now = self.clock()
        if self.known is None or now - self.known_at > SHARE_SECONDS:
            # 84 routers that start together ask for the same pairs.
            oldest = now - KEPT_SECONDS
            self.known = [
                list(p) for p, at in self.kept.items() if at > oldest
            ]
            self.known_at = now
        return self.known


class Member:
    """A router's part.

    Parameters
    ----------
    home : callable
        Returns the link to the keeper that it reports to, or None.
    report : callable
        Returns what the others should know, each thing that is new once.
    on_others : callable
        Called with what the other routers said.
    clock : callable
        Seconds that go on while the VM is suspended.

    Attributes
    ----------
    heard : bool
        Whether a keeper has said what the other routers do.
    """

    def __init__(
        self,
        handlers: links.Handlers,
        home: t.Callable[[], links.Link | None],
        report: t.Callable[[], Report],
        on_others: t.Callable[[Others], None],
        clock: t.Callable[[], float] = clocks.boottime,
    ):
        self.home = home
        self.clock = clock
        self.reported_to: links.Link | None = None
        self.told_all_at: float | None = None
        self.reported_at: collections.deque[float] = collections.deque(
            maxlen=2
        )
        self.make_report = report
        self.on_others = on_others
        self.heard = False
        handlers.add(Others, self._on_others)

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            self.report()
            pause = SHARE_SECONDS if self.heard else FIRST_SECONDS
            await asyncio.sleep(pause)

    def report(self) -> None:
        """Tell the home keeper what this router does."""
        link = self.home()
        if link is None:
            return
        self._leave_for(link)
        report = self.make_report()
        now = self.clock()
        if self.told_all_at is not None:
            report.told_all_ago = now - self.told_all_at
        self.reported_at.append(now)
        _send(link, report)

    def _leave_for(self, link: links.Link) -> None:
        """Tell the keeper reported to before that it is `link`'s turn."""
        before, self.reported_to = self.reported_to, link
        if before not in (None, link):
            _send(before, Left())

    def _on_others(self, link: links.Link, others: Others) -> None:
        self.heard = True
        if others.all_told and link is self.reported_to:
            # A process that was frozen reads late what was sent to it
            # before, perhaps after its next report; it knew no more then
            # than when it made the one before that.
            self.told_all_at = self.reported_at[0]
        self.on_others(others)


def _send(link: links.Link, message: t.Any) -> None:
    try:
        link.send(message)
    except errors.LinkError:
        # The link's own task finds that out and dials again. Counts are sent
        # again soon; a place is told again while it is used.
        return
