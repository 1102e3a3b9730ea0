"""One cell's bound and queue, as its owner keeps them."""

import collections
import collections.abc
import dataclasses
import math

from amaranthring import errors
from amaranthring.core import hashing
from amaranthring.core import records
from amaranthring.policy import bounds
from amaranthring.policy import breakers
from amaranthring.policy import leases
from amaranthring.policy import queues

SIBLING_SECONDS = 3.0
RATE_SECONDS = 10.0
RETRY_AFTER_SECONDS = 1.0
RETRY_AFTER_MOST_SECONDS = 60.0


@dataclasses.dataclass
class SiblingLoad:
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
class Request:
    """A request as the owner sees it; see the message ``Admit``."""

    key: leases.Key
    account: str
    priority: int
    chat: str
    wait_seconds: float
    remembered: tuple[str, ...] = ()
    excluded: frozenset[str] = frozenset()
    suspect: bool = False
    at_once: bool = False
    alone: bool = False


@dataclasses.dataclass
class Grant:
    """A grant that the cell has made.

    Attributes
    ----------
    key : tuple
        Entry router and serial.
    target : str
        Where it may run.
    queued_seconds : float
        How long it waited.
    load, in_flight, targets : int
        What it was decided on: requests at the target and in the cell, this
        one included, and targets of the cell.
    """

    key: leases.Key
    target: str
    queued_seconds: float = 0.0
    load: int = 0
    in_flight: int = 0
    targets: int = 0


def clamp_retry_after(seconds: float) -> float:
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
    """

    def __init__(self, name: str, now: float):
        self.name = name
        self.refreshed_at = now
        self.targets: dict[str, records.Target] = {}
        self.counts = leases.LeaseTable()
        self.siblings: dict[str, SiblingLoad] = {}
        self.queue = queues.FairQueue()
        self.breakers = breakers.CircuitBreakers()
        self.bound = 1.25
        self.released = 0.0
        self.released_at = now
        self.granted: list[Grant] = []
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
                self.breakers.forget(name)

    def loads(self) -> dict[str, int]:
        """Return the load of each target that may be granted."""
        return {name: self.counts.load[name] for name in self.targets}

    def digest(self, now: float) -> SiblingLoad:
        """Return what siblings should know about this cell."""
        loads = self.loads()
        rooms = self._rooms(loads, now, alone=False)
        room = sum(max(0, rooms[name] - loads[name]) for name in loads)
        return SiblingLoad(
            sum(loads.values()), len(loads), room, len(self.queue), now
        )

    def update_sibling(self, name: str, sibling: SiblingLoad) -> None:
        """Note the digest of sibling cell `name`."""
        self.siblings[name] = sibling

    def cells_with_room(self, ask: Request, now: float) -> list[str]:
        """Return cells that `ask` should try, the roomiest first.

        A suspect waits for a target without a suspect, which says nothing
        about load: any cell may have one.
        """
        roomy = [
            (-sibling.room / max(sibling.targets, 1), name)
            for name, sibling in self._fresh(now).items()
            if sibling.room > 0 or ask.suspect
        ]
        return [name for _, name in sorted(roomy)]

    # -- decisions --

    def admit(self, ask: Request, policy: Policy, now: float) -> Grant | None:
        """Grant at once, or return None.

        It is queued then, unless `elsewhere` names cells to be asked first.
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
        target = None if others else self.choose_target(ask, now)
        if target is not None:
            self._grant(ask, target, now)
            return self._placed(ask.key, target)
        if ask.at_once:
            raise self.queue_full_error()
        if not ask.alone and self.cells_with_room(ask, now):
            return None
        self._queue(ask, policy, now)
        if others:
            # Those in front may wait for a certain target only.
            self.serve(now)
            return self._taken(ask.key)
        return None

    def choose_target(self, ask: Request, now: float) -> str | None:
        """Return the best target with room for `ask`, or None."""
        loads = self.loads()
        # A cell that stands alone has no room elsewhere to point at, and
        # then nobody may wait here beside free targets.
        alone = ask.alone or not self.cells_with_room(ask, now)
        barred = set(ask.excluded)
        if ask.suspect:
            barred.update(self.counts.suspects)
        rooms = self._rooms(loads, now, alone and not ask.at_once, barred)

        def room(name: str) -> int:
            return 0 if name in barred else rooms[name]

        order = hashing.order(ask.chat or str(ask.key), self.targets)
        known = [name for name in ask.remembered if name in self.targets]
        order = known + order
        return bounds.first_with_room(order, loads.__getitem__, room)

    def has_room(self, now: float) -> bool:
        """Return whether any target may run one request more."""
        loads = self.loads()
        rooms = self._rooms(loads, now, alone=True)
        return any(loads[name] < room for name, room in rooms.items())

    def release(
        self,
        key: leases.Key,
        now: float,
        end: records.End = records.End.DONE,
    ) -> None:
        """End the grant or the waiting of `key` and serve who waits."""
        if self.queue.remove(key) is not None:
            return
        held = self.counts.held.get(key)
        if held is not None:
            self._judge(held.target, key[0], now, end)
        if self.counts.drop(key):
            self._count_release(now)
            self.serve(now)

    def serve(self, now: float) -> None:
        """Grant waiting requests for which there is room, into `placed`."""
        while len(self.queue) and self.has_room(now):
            found = self.queue.pop(
                lambda w: self.choose_target(w.ask, now), now
            )
            if found is None:
                break
            waiter, target = found
            self._grant(waiter.ask, target, now)
            waited = now - waiter.since
            self.granted.append(self._placed(waiter.key, target, waited))

    def _placed(
        self, key: leases.Key, target: str, queued_seconds: float = 0.0
    ) -> Grant:
        load = self.counts.load
        total = sum(load[name] for name in self.targets)
        return Grant(
            key, target, queued_seconds, load[target], total, len(self.targets)
        )

    # -- waiting --

    def queue_full_error(self) -> errors.QueueFullError:
        """Return the error for a request that may not wait here."""
        wait = len(self.queue) * RATE_SECONDS / max(self.released, 1.0)
        return errors.QueueFullError(
            "no room, and too many wait", retry_after=clamp_retry_after(wait)
        )

    def expected_wait(self, ask: Request, now: float) -> float:
        """Return seconds until a new request would be served.

        Without a known rate this is 0: nobody is refused on a guess.
        """
        released = self.released * self._fade(now)
        if released < 1:
            return 0.0
        ahead = self.queue.requests_ahead(ask.account, ask.priority)
        by_rate = (ahead + 1) * RATE_SECONDS / released
        by_turn = self.queue.virtual_wait(ask.account, ask.priority, now)
        return max(by_rate, by_turn)

    # -- leases --

    def release_unknown(
        self, router: str, next_serial: int, known: collections.abc.Container
    ) -> None:
        """End and withdraw what `router` does not know of any more."""
        self.counts.keep_only(router, next_serial, known)
        for key in [k for k in self.queue.waiters if k[0] == router]:
            if key[1] < next_serial and key[1] not in known:
                self.queue.remove(key)

    def router_lost(self, router: str, now: float) -> None:
        """Let go soon of what a router holds that the mesh gave up."""
        self.counts.shorten(router, now)
        for key in [k for k in self.queue.waiters if k[0] == router]:
            self.queue.remove(key)

    def expire(self, now: float) -> list[queues.Waiter]:
        """End leases that ran out; return waiters past their deadline."""
        self.counts.expire(now)
        return self.queue.expired(now)

    # -- inside --

    def _judge(self, target, router, now, end: records.End) -> None:
        if end is records.End.DONE:
            self.breakers.record_success(target, router)
        if end is records.End.FAILED:
            self.breakers.record_error(target, self.targets, now)
        if end in (records.End.UNREACHABLE, records.End.TARGET_LOST):
            self.breakers.record_unreachable(target, router, self.targets, now)

    def _rooms(
        self,
        loads: dict[str, int],
        now: float,
        alone: bool,
        barred: collections.abc.Set[str] = frozenset(),
    ) -> dict[str, int]:
        most = self._most(loads, now, alone, barred)
        return {
            name: self.breakers.limit(name, now, min(most, target.capacity))
            for name, target in self.targets.items()
        }

    def _most(self, loads, now: float, alone: bool, barred) -> int:
        # A target that cannot be reached, or is barred for this request,
        # carries no share of the load; were it part of the mean, the others
        # would stand at the bound, and requests would wait beside free
        # targets.
        out = barred | self.breakers.by_target.keys()
        well = [name for name in loads if name not in out]
        well = well or list(loads)
        total = sum(loads[name] for name in well)
        count = len(well)
        for sibling in self._fresh(now).values():
            if not alone:
                total += sibling.in_flight
                count += sibling.targets
        return bounds.max_load(self.bound, total + 1, count)

    def _fresh(self, now: float) -> dict[str, SiblingLoad]:
        return {
            name: sibling
            for name, sibling in self.siblings.items()
            if now - sibling.heard < SIBLING_SECONDS
        }

    def _taken(self, key: leases.Key) -> Grant | None:
        for placed in self.granted:
            if placed.key == key:
                self.granted.remove(placed)
                return placed
        return None

    def _others_first(self, ask: Request) -> bool:
        level = self.queue.levels.get(ask.priority)
        return level is not None and level.length > 0

    def _queue(self, ask: Request, policy: Policy, now: float) -> None:
        wait = self.expected_wait(ask, now)
        if wait > ask.wait_seconds:
            raise errors.DeadlineError(
                "the deadline would pass while waiting",
                given=f"{ask.wait_seconds:.2f} s",
                expected=f"{wait:.2f} s or more",
                retry_after=clamp_retry_after(wait - ask.wait_seconds),
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
            raise self.queue_full_error()
        if gone is not None:
            self.evicted.append(gone)

    def _count_release(self, now: float) -> None:
        self.released = self.released * self._fade(now) + 1
        self.released_at = now

    def _fade(self, now: float) -> float:
        return math.exp(-(now - self.released_at) / RATE_SECONDS)

    def _grant(self, ask: Request, target: str, now: float) -> None:
        expires = now + leases.LEASE_SECONDS
        held = leases.Lease(target, expires, ask.suspect)
        self.counts.add(ask.key, held)
