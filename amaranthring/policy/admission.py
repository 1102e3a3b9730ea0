"""One cell's counts, bound and queue, as its owner keeps them.

The owner counts requests in flight by grants, each with a lease that its
entry router renews. Why two owners for some seconds do little harm: each
holds *its own* grants below ``ceil(c * its mean)``, and sums of such parts
stay below ``c`` times the sum of the means, but for the rounding. What does
not add up that way is a target's capacity; there the reports speak.
"""

import collections
import collections.abc
import dataclasses
import math

from amaranthring import errors
from amaranthring.core import hashing
from amaranthring.core import records
from amaranthring.policy import bounds
from amaranthring.policy import outages
from amaranthring.policy import queues

LEASE_SECONDS = 6.0
GRACE_SECONDS = 1.0
REBUILD_SECONDS = 1.0
SIBLING_SECONDS = 3.0
RATE_SECONDS = 10.0
RETRY_AFTER_SECONDS = 1.0
RETRY_AFTER_MOST_SECONDS = 60.0

Key = tuple[str, int]


@dataclasses.dataclass
class Held:
    """One grant in flight.

    Attributes
    ----------
    target : str
        Where it runs.
    expires : float
        When its lease ends, on the owner's clock.
    suspect : bool
        Whether it may be what crashed a target.
    own : bool
        Granted here, and not taken up from an earlier owner.
    """

    target: str
    expires: float
    suspect: bool = False
    own: bool = False


@dataclasses.dataclass
class Sibling:
    """Last digest of another cell that serves the same."""

    in_flight: int
    targets: int
    room: int
    waiting: int
    heard: float


@dataclasses.dataclass
class Policy:
    """What the preset in force says about one request.

    Attributes
    ----------
    bound : float
        Multiple of the mean.
    weight : float
        Share of the account.
    queue_most : int
        Requests of its class that may wait.
    """

    bound: float = 1.25
    weight: float = 1.0
    queue_most: int = 256


@dataclasses.dataclass
class Ask:
    """A request as the owner sees it; see the message ``Admit``."""

    key: Key
    account: str
    priority: int
    chat: str
    wait_seconds: float
    remembered: str = ""
    excluded: frozenset[str] = frozenset()
    suspect: bool = False
    at_once: bool = False


@dataclasses.dataclass
class Placed:
    """A grant that the cell has made.

    Attributes
    ----------
    key : tuple
        Entry router and serial.
    target : str
        Where it may run.
    queued_seconds : float
        How long it waited.
    """

    key: Key
    target: str
    queued_seconds: float = 0.0


def come_back(seconds: float) -> float:
    """Return `seconds` within the range that callers are told."""
    return min(max(seconds, RETRY_AFTER_SECONDS), RETRY_AFTER_MOST_SECONDS)


class Cell:
    """Counts, bound and queue of one cell.

    Parameters
    ----------
    name : str
        Name of the cell.
    now : float
        When this router became its owner.
    load_of : callable
        Last reported load of a target, or 0.
    """

    def __init__(self, name: str, now: float, load_of=None):
        self.name = name
        self.began = now
        self.refreshed = now
        self.load_of = load_of or (lambda _: 0)
        self.targets: dict[str, records.Target] = {}
        self.held: dict[Key, Held] = {}
        self.load: collections.Counter[str] = collections.Counter()
        self.suspects: dict[str, Key] = {}
        self.siblings: dict[str, Sibling] = {}
        self.queue = queues.FairQueue()
        self.outages = outages.Outages()
        self.bound = 1.25
        self.released = 0.0
        self.released_at = now
        self.own: collections.Counter[str] = collections.Counter()
        self.placed: list[Placed] = []
        self.evicted: list[queues.Waiter] = []

    # -- what is known --

    def set_targets(
        self, targets: collections.abc.Iterable[records.Target]
    ) -> None:
        """Take `targets` as those that may be granted from now on."""
        before = self.targets
        self.targets = {target.name: target for target in targets}
        for name, old in before.items():
            new = self.targets.get(name)
            if new is None or new.incarnation != old.incarnation:
                self.outages.forget(name)

    def in_flight(self, now: float) -> int:
        """Return requests running at targets that may be granted."""
        return sum(self.loaded(name, now) for name in self.targets)

    def room_at(self, name: str, now: float) -> int:
        """Return how many requests target `name` may run just now."""
        total, count = self._population(now)
        most = bounds.most(self.bound, total + 1, count)
        return min(most, self.targets[name].capacity)

    def loaded(self, name: str, now: float) -> int:
        """Return the load of `name` as far as it is known.

        A new owner does not know yet what its predecessor granted: for
        :data:`REBUILD_SECONDS` the lagging report plus own grants is the
        floor, until entry routers have told what they hold.
        """
        own = self.load[name]
        if now - self.began < REBUILD_SECONDS:
            return max(own, self.load_of(name) + self.own[name])
        return own

    def digest(self, now: float) -> Sibling:
        """Return what siblings should know about this cell."""
        total = self.in_flight(now)
        room = sum(
            max(0, self.room_at(name, now) - self.load[name])
            for name in self.targets
        )
        return Sibling(total, len(self.targets), room, len(self.queue), now)

    def heard(self, name: str, sibling: Sibling) -> None:
        """Note the digest of sibling cell `name`."""
        self.siblings[name] = sibling

    # -- decisions --

    def ask(self, ask: Ask, policy: Policy, now: float) -> Placed | None:
        """Grant at once, or queue and return None.

        Whom else this served or pushed out is in `placed` and `evicted`.

        Raises
        ------
        errors.NoTargetError
            If the cell has no target left for it.
        errors.QueueFullError, errors.DeadlineError
            If it may not or cannot wait long enough.
        """
        self.bound = policy.bound
        if not any(name not in ask.excluded for name in self.targets):
            raise errors.NoTargetError(
                f"no target in cell {self.name}",
                retry_after=RETRY_AFTER_SECONDS,
            )
        others = self._others_first(ask)
        target = None if others else self.place(ask, now)
        if target is not None:
            self._grant(ask, target, now)
            return Placed(ask.key, target)
        if ask.at_once:
            raise self.full()
        self._queue(ask, policy, now)
        if others:
            # Those in front may wait for a certain target only.
            self.serve(now)
        return None

    def place(self, ask: Ask, now: float) -> str | None:
        """Return the best target with room for `ask`, or None."""
        total, count = self._population(now)
        most = bounds.most(self.bound, total + 1, count)

        def room(name: str) -> int:
            if name in ask.excluded or name not in self.targets:
                return 0
            if ask.suspect and name in self.suspects:
                return 0
            capacity = min(most, self.targets[name].capacity)
            return self.outages.room(name, now, capacity)

        def load(name: str) -> int:
            return self.loaded(name, now)

        if ask.remembered and load(ask.remembered) < room(ask.remembered):
            return ask.remembered
        order = hashing.order(ask.chat or str(ask.key), self.targets)
        return bounds.first_with_room(order, load, room)

    def release(
        self, key: Key, now: float, end: records.End = records.End.DONE
    ) -> None:
        """End the grant or the waiting of `key` and serve who waits."""
        if self.queue.remove(key) is not None:
            return
        held = self.held.get(key)
        if held is not None:
            self._judge(held.target, key[0], now, end)
        if self._drop(key):
            self._count_release(now)
            self.serve(now)

    def serve(self, now: float) -> None:
        """Grant waiting requests for which there is room, into `placed`."""
        while len(self.queue):
            found = self.queue.pop(lambda w: self.place(w.ask, now))
            if found is None:
                break
            waiter, target = found
            self._grant(waiter.ask, target, now)
            waited = now - waiter.since
            self.placed.append(Placed(waiter.key, target, waited))

    # -- waiting --

    def full(self) -> errors.QueueFullError:
        """Return the error for a request that may not wait here."""
        wait = len(self.queue) * RATE_SECONDS / max(self.released, 1.0)
        return errors.QueueFullError(
            "no room, and too many wait", retry_after=come_back(wait)
        )

    def expected_wait(self, ask: Ask, now: float) -> float:
        """Return seconds until a new request would be served.

        Without a known rate this is 0: nobody is refused on a guess.
        """
        released = self.released * self._fade(now)
        if released < 1:
            return 0.0
        ahead = self.queue.ahead(ask.account, ask.priority)
        return (ahead + 1) * RATE_SECONDS / released

    # -- leases --

    def hold(
        self,
        router: str,
        held: dict[int, tuple[str, bool]],
        now: float,
    ) -> None:
        """Renew the leases of what `router` holds; take up what is new.

        Parameters
        ----------
        router : str
            Entry router.
        held : dict
            Serial to target and whether the request is a suspect.
        now : float
            On the owner's clock, in seconds.
        """
        for serial, (target, suspect) in held.items():
            key = (router, serial)
            known = self.held.get(key)
            if known is not None and known.target == target:
                known.expires = now + LEASE_SECONDS
                continue
            self.queue.remove(key)
            self._drop(key)
            self._add(key, Held(target, now + LEASE_SECONDS, suspect))

    def forget_others(
        self, router: str, next_serial: int, known: collections.abc.Container
    ) -> None:
        """End what `router` does not know of any more.

        This heals a lost release. Serials from `next_serial` on are younger
        than what the router told and stay.
        """
        for key in [k for k in self.held if k[0] == router]:
            if key[1] < next_serial and key[1] not in known:
                self._drop(key)
        for key in [k for k in self.queue.waiters if k[0] == router]:
            if key[1] < next_serial and key[1] not in known:
                self.queue.remove(key)

    def lost_router(self, router: str, now: float) -> None:
        """Shorten the leases of a router that the mesh gave up.

        The verdict may be about a link only; a router that lives says so
        within the grace and keeps its grants.
        """
        for key, held in self.held.items():
            if key[0] == router:
                held.expires = min(held.expires, now + GRACE_SECONDS)
        for key in [k for k in self.queue.waiters if k[0] == router]:
            self.queue.remove(key)

    def expire(self, now: float) -> list[queues.Waiter]:
        """End leases that ran out; return waiters past their deadline."""
        for key in [k for k, h in self.held.items() if h.expires <= now]:
            self._drop(key)
        return self.queue.expired(now)

    # -- inside --

    def _judge(self, target, router, now, end: records.End) -> None:
        if end is records.End.DONE:
            self.outages.succeeded(target, router)
        if end in (records.End.UNREACHABLE, records.End.TARGET_LOST):
            self.outages.failed(target, router, self.targets, now)

    def _population(self, now: float) -> tuple[int, int]:
        total = self.in_flight(now)
        count = len(self.targets)
        for sibling in self.siblings.values():
            if now - sibling.heard < SIBLING_SECONDS:
                total += sibling.in_flight
                count += sibling.targets
        return total, count

    def _others_first(self, ask: Ask) -> bool:
        level = self.queue.levels.get(ask.priority)
        return level is not None and level.length > 0

    def _queue(self, ask: Ask, policy: Policy, now: float) -> None:
        wait = self.expected_wait(ask, now)
        if wait > ask.wait_seconds:
            raise errors.DeadlineError(
                "the deadline would pass while waiting",
                given=f"{ask.wait_seconds:.2f} s",
                expected=f"{wait:.2f} s or more",
                retry_after=come_back(wait - ask.wait_seconds),
            )
        waiter = queues.Waiter(
            ask.key,
            ask,
            ask.account,
            policy.weight,
            ask.priority,
            now,
            now + ask.wait_seconds,
        )
        gone = self.queue.push(waiter, policy.queue_most)
        if gone is waiter:
            raise self.full()
        if gone is not None:
            self.evicted.append(gone)

    def _count_release(self, now: float) -> None:
        self.released = self.released * self._fade(now) + 1
        self.released_at = now

    def _fade(self, now: float) -> float:
        return math.exp(-(now - self.released_at) / RATE_SECONDS)

    def _grant(self, ask: Ask, target: str, now: float) -> None:
        held = Held(target, now + LEASE_SECONDS, ask.suspect, own=True)
        self._add(ask.key, held)

    def _add(self, key: Key, held: Held) -> None:
        self.held[key] = held
        self.load[held.target] += 1
        self.own[held.target] += held.own
        if held.suspect:
            self.suspects[held.target] = key

    def _drop(self, key: Key) -> bool:
        held = self.held.pop(key, None)
        if held is None:
            return False
        self.load[held.target] -= 1
        self.own[held.target] -= held.own
        if not self.load[held.target]:
            del self.load[held.target]
            del self.own[held.target]
        if self.suspects.get(held.target) == key:
            del self.suspects[held.target]
        return True
