"""Admission control of one cell: its load bound, leases and queue."""

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

SIBLING_MAX_AGE_SECONDS = 3.0
RATE_WINDOW_SECONDS = 10.0
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0


@dataclasses.dataclass
class SiblingLoad:
    """Last reported load of another cell that serves the same models.

    Attributes
    ----------
    room : int
        Number of further requests that its targets may run.
    waiting : int
        Number of queued requests.
    """

    in_flight: int
    targets: int
    room: int
    waiting: int
    reported_at: float


@dataclasses.dataclass
class Policy:
    """Settings of the active preset that apply to one request.

    Attributes
    ----------
    bound : float
        Maximum load of a target, as a multiple of the mean.
    weight : float
        Weight of the client account in the fair queue.
    queue_most : int
        Maximum number of queued requests of this priority.
    """

    bound: float = 1.25
    weight: float = 1.0
    queue_most: int = 256


@dataclasses.dataclass
class Request:
    """A request for admission; the fields are those of message ``Admit``."""

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
    """Permission to run one request at a target.

    Attributes
    ----------
    key : tuple
        Entry router and serial number.
    target : str
        Name of the target.
    queued_seconds : float
        Time spent in the queue.
    load, in_flight, targets : int
        Requests at the target and in the cell, this one included, and number
        of targets in the cell.
    """

    key: leases.Key
    target: str
    queued_seconds: float = 0.0
    load: int = 0
    in_flight: int = 0
    targets: int = 0


def clamp_retry_after(seconds: float) -> float:
    """Return `seconds` limited to the range allowed for ``Retry-After``."""
    return min(max(seconds, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)


class Cell:
    """Leases, load bound and queue of one cell.

    Parameters
    ----------
    name : str
        Name of the cell.
    now : float
        Time at which this router became the owner.

    Attributes
    ----------
    counts : leases.LeaseTable
        Leases of the granted requests, with the load of each target.
    recent_releases : float
        Number of released leases, decayed exponentially to `released_at`.
    granted, evicted : list
        Results of calls that concern other requests; the caller clears them.
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
        self.recent_releases = 0.0
        self.released_at = now
        self.granted: list[Grant] = []
        self.evicted: list[queues.Waiter] = []

    # -- state --

    def set_targets(
        self, targets: collections.abc.Iterable[records.Target]
    ) -> None:
        """Replace the targets that requests may be granted to."""
        before = self.targets
        self.targets = {target.name: target for target in targets}
        for name, old in before.items():
            new = self.targets.get(name)
            if new is None or new.incarnation != old.incarnation:
                self.breakers.forget(name)

    def loads(self) -> dict[str, int]:
        """Return the number of requests in flight at each target."""
        return {name: self.counts.load[name] for name in self.targets}

    def digest(self, now: float) -> SiblingLoad:
        """Return the load of this cell as reported to its siblings."""
        loads = self.loads()
        limits = self._limits(loads, now, own_mean=False)
        room = sum(max(0, limits[name] - loads[name]) for name in loads)
        return SiblingLoad(
            sum(loads.values()), len(loads), room, len(self.queue), now
        )

    def update_sibling(self, name: str, sibling: SiblingLoad) -> None:
        """Store the reported load of sibling cell `name`."""
        self.siblings[name] = sibling

    def cells_with_room(self, request: Request, now: float) -> list[str]:
        """Return sibling cells to try for `request`, most room first.

        A suspect request waits for a target that runs no other suspect. Load
        does not show which cells have one, so all siblings are returned.
        """
        ranked = [
            (-sibling.room / max(sibling.targets, 1), name)
            for name, sibling in self._fresh_siblings(now).items()
            if sibling.room > 0 or request.suspect
        ]
        return [name for _, name in sorted(ranked)]

    # -- decisions --

    def admit(
        self, request: Request, policy: Policy, now: float
    ) -> Grant | None:
        """Grant `request` now, queue it, or refuse it.

        Returns None if the request was queued, or if `cells_with_room` names
        cells to ask first. Grants to other requests and evictions that
        result from the call are added to `granted` and `evicted`.

        Raises
        ------
        errors.NoTargetError
            If every target of the cell is excluded.
        errors.QueueFullError, errors.DeadlineError
            If it cannot be queued, or the wait would exceed the deadline.
        """
        self.bound = policy.bound
        if not any(name not in request.excluded for name in self.targets):
            raise errors.NoTargetError(
                f"no target in cell {self.name}",
                retry_after=MIN_RETRY_AFTER_SECONDS,
            )
        others_waiting = self._has_waiters(request)
        target = None if others_waiting else self.choose_target(request, now)
        if target is not None:
            self._add_lease(request, target, now)
            return self._make_grant(request.key, target)
        if request.at_once:
            raise self.queue_full_error()
        if not request.alone and self.cells_with_room(request, now):
            return None
        self._enqueue(request, policy, now)
        if others_waiting:
            # Requests ahead may be waiting for one particular target only.
            self.serve(now)
            return self._take_granted(request.key)
        return None

    def choose_target(self, request: Request, now: float) -> str | None:
        """Return the preferred target with room for `request`, or None."""
        loads = self.loads()
        # Without a sibling that has room, only this cell's own mean counts:
        # requests must not queue here while a target is free.
        own_mean = request.alone or not self.cells_with_room(request, now)
        barred = set(request.excluded)
        if request.suspect:
            barred.update(self.counts.suspects)
            # A target that has crashed may accept the request before it
            # ends; the request would be suspected of that crash as well.
            barred.update(
                name
                for name in self.targets
                if self.breakers.is_doubtful(name, now)
            )
        limits = self._limits(
            loads, now, own_mean and not request.at_once, barred
        )

        def limit(name: str) -> int:
            return 0 if name in barred else limits[name]

        order = hashing.order(request.chat or str(request.key), self.targets)
        known = [name for name in request.remembered if name in self.targets]
        order = known + order
        return bounds.first_with_room(order, loads.__getitem__, limit)

    def has_room(self, now: float) -> bool:
        """Return whether any target may run one more request."""
        loads = self.loads()
        limits = self._limits(loads, now, own_mean=True)
        return any(loads[name] < limit for name, limit in limits.items())

    def release(
        self,
        key: leases.Key,
        now: float,
        end: records.AttemptEnd = records.AttemptEnd.DONE,
    ) -> None:
        """Release the lease of `key`, or remove it from the queue."""
        if self.queue.remove(key) is not None:
            return
        lease = self.counts.held.get(key)
        if lease is not None:
            self._record_end(lease.target, key[0], now, end)
        if self.counts.drop(key):
            self._count_release(now)
            self.serve(now)

    def serve(self, now: float) -> None:
        """Grant queued requests while there is room; see `granted`."""
        while len(self.queue) and self.has_room(now):
            popped = self.queue.pop(
                lambda w: self.choose_target(w.request, now), now
            )
            if popped is None:
                break
            waiter, target = popped
            self._add_lease(waiter.request, target, now)
            waited = now - waiter.since
            self.granted.append(self._make_grant(waiter.key, target, waited))

    def _make_grant(
        self, key: leases.Key, target: str, queued_seconds: float = 0.0
    ) -> Grant:
        load = self.counts.load
        total = sum(load[name] for name in self.targets)
        return Grant(
            key, target, queued_seconds, load[target], total, len(self.targets)
        )

    # -- queueing --

    def queue_full_error(self) -> errors.QueueFullError:
        """Return the error for a request that cannot be queued."""
        wait = (
            len(self.queue)
            * RATE_WINDOW_SECONDS
            / max(self.recent_releases, 1.0)
        )
        return errors.QueueFullError(
            "no target has room and the queue is full",
            retry_after=clamp_retry_after(wait),
        )

    def expected_wait(self, request: Request, now: float) -> float:
        """Return the expected queueing time of a new request in seconds.

        Returns 0 while the release rate is unknown, so that no request is
        refused without evidence.
        """
        released = self.recent_releases * self._decay(now)
        if released < 1:
            return 0.0
        ahead = self.queue.requests_ahead(request.account, request.priority)
        by_rate = (ahead + 1) * RATE_WINDOW_SECONDS / released
        by_turn = self.queue.virtual_wait(
            request.account, request.priority, now
        )
        return max(by_rate, by_turn)

    # -- leases --

    def release_unknown(
        self, router: str, next_serial: int, known: collections.abc.Container
    ) -> None:
        """Drop leases and queued requests that `router` no longer lists."""
        self.counts.keep_only(router, next_serial, known)
        for key in [k for k in self.queue.waiters if k[0] == router]:
            if key[1] < next_serial and key[1] not in known:
                self.queue.remove(key)

    def router_lost(self, router: str, now: float) -> None:
        """Shorten the leases of a lost router and drop its queued requests."""
        self.counts.shorten(router, now)
        for key in [k for k in self.queue.waiters if k[0] == router]:
            self.queue.remove(key)

    def expire(self, now: float) -> list[queues.Waiter]:
        """Drop expired leases; return requests past their deadline."""
        self.counts.expire(now)
        return self.queue.expired(now)

    # -- internals --

    def _record_end(
        self, target, router, now, end: records.AttemptEnd
    ) -> None:
        if end is records.AttemptEnd.DONE:
            self.breakers.record_success(target, router)
        if end is records.AttemptEnd.FAILED:
            self.breakers.record_error(target, self.targets, now)
        if end in (
            records.AttemptEnd.UNREACHABLE,
            records.AttemptEnd.TARGET_LOST,
        ):
            self.breakers.record_unreachable(target, router, self.targets, now)

    def _limits(
        self,
        loads: dict[str, int],
        now: float,
        own_mean: bool,
        barred: collections.abc.Set[str] = frozenset(),
    ) -> dict[str, int]:
        limit = self._max_load(loads, now, own_mean, barred)
        return {
            name: self.breakers.limit(name, now, min(limit, target.capacity))
            for name, target in self.targets.items()
        }

    def _max_load(self, loads, now: float, own_mean: bool, barred) -> int:
        # Targets that are unreachable, or barred for this request, are left
        # out of the mean. Otherwise it would be too low, and requests would
        # queue while the other targets have room.
        ignored = barred | self.breakers.by_target.keys()
        usable = [name for name in loads if name not in ignored]
        usable = usable or list(loads)
        total = sum(loads[name] for name in usable)
        count = len(usable)
        for sibling in self._fresh_siblings(now).values():
            if not own_mean:
                total += sibling.in_flight
                count += sibling.targets
        return bounds.max_load(self.bound, total + 1, count)

    def _fresh_siblings(self, now: float) -> dict[str, SiblingLoad]:
        return {
            name: sibling
            for name, sibling in self.siblings.items()
            if now - sibling.reported_at < SIBLING_MAX_AGE_SECONDS
        }

    def _take_granted(self, key: leases.Key) -> Grant | None:
        for grant in self.granted:
            if grant.key == key:
                self.granted.remove(grant)
                return grant
        return None

    def _has_waiters(self, request: Request) -> bool:
        level = self.queue.levels.get(request.priority)
        return level is not None and level.length > 0

    def _enqueue(self, request: Request, policy: Policy, now: float) -> None:
        wait = self.expected_wait(request, now)
        if wait > request.wait_seconds:
            raise errors.DeadlineError(
                "the deadline would pass while waiting",
                given=f"{request.wait_seconds:.2f} s",
                expected=f"{wait:.2f} s or more",
                retry_after=clamp_retry_after(wait - request.wait_seconds),
            )
        waiter = queues.Waiter(
            request.key,
            request,
            request.account,
            policy.weight,
            request.priority,
            now,
            now + request.wait_seconds,
        )
        evicted = self.queue.push(waiter, policy.queue_most)
        if evicted is waiter:
            raise self.queue_full_error()
        if evicted is not None:
            self.evicted.append(evicted)

    def _count_release(self, now: float) -> None:
        self.recent_releases = self.recent_releases * self._decay(now) + 1
        self.released_at = now

    def _decay(self, now: float) -> float:
        return math.exp(-(now - self.released_at) / RATE_WINDOW_SECONDS)

    def _add_lease(self, request: Request, target: str, now: float) -> None:
        expires = now + leases.LEASE_SECONDS
        lease = leases.Lease(target, expires, request.suspect)
        self.counts.add(request.key, lease)
