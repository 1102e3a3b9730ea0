"""Retry budgets of several routers on a made-up timeline.

Routers, keepers, links and the clock are simulated; the counting of routers
and the budgets are those of the product. Every request may be retried, so
the routers send as many retries as their budgets allow.
"""

import dataclasses
import functools
import random
import typing as t

from amaranthring.core import links
from amaranthring.policy import budgets
from amaranthring.registry import messages
from amaranthring.registry import router_census
from amaranthring.registry import sharers
from amaranthring.registry import spending

STEP_SECONDS = 0.1
RENEW_STEPS = 5
SETTLE_SECONDS = 1.7
# Steps from the loss of a leader to the next one.
ELECTION_STEPS = 8
DATA_CENTRES = ("a", "b", "c")


@dataclasses.dataclass(frozen=True)
class Rule:
    """What the operator allows.

    Attributes
    ----------
    ratio, allowance : float
        Retries allowed in a window: per request, and in addition to these.
    window : float
        Seconds.
    """

    ratio: float = 0.2
    allowance: float = 54.0
    window: float = 10.0


class SimulatedKeeper:
    """A keeper that only counts routers, and holds what they have spent."""

    def __init__(
        self, data_centre: str, rule: Rule, clock: t.Callable[[], float]
    ):
        self.data_centre = data_centre
        self.linked: set[str] = set()
        self.census = router_census.RouterCensus(
            lambda: self.linked, rule.window, clock
        )
        self.spending = spending.SpendingRecords(rule.window, clock)

    def answer(
        self, identity: links.Identity, leads: bool, takes: bool
    ) -> messages.Renewed:
        """Return the reply to a router's renewal."""
        return messages.Renewed(
            1,
            leads,
            self.census.count(),
            [],
            self.census.counted_seconds(identity.name),
            self.spending.give(identity) if takes else None,
        )


class SimulatedRouter:
    """A router's share and its budget for one service."""

    def __init__(
        self,
        identity: links.Identity,
        data_centre: str,
        rule: Rule,
        first_start: bool,
        clock: t.Callable[[], float],
    ):
        self.identity = identity
        self.data_centre = data_centre
        self.sharers = sharers.Sharers(
            rule.window, first_start, SETTLE_SECONDS, clock
        )
        self.budget = budgets.WindowBudget(
            rule.ratio,
            rule.allowance,
            rule.window,
            clock,
            self.sharers.usable_from,
        )
        self.succession = spending.Succession(
            links.Handlers(), self.sharers, {"service": self.budget}, clock
        )

    def take(self) -> bool:
        """Take a retry; return whether the budget allowed it."""
        return self.budget.take(self.sharers.share().fraction)


class Timeline:
    """Routers and keepers in three data centres over simulated time.

    Parameters
    ----------
    rng : random.Random
        Draws the requests and the delays of retries.
    router_count : int
        Routers at the start.
    rate : float
        Requests per second of all routers together, at the start.

    Attributes
    ----------
    requests, arrivals : list of int
        Requests, and arrivals of retries at the service, in each step.
    failing : bool
        Whether the targets fail, so that each request is to be retried.
    cut : set of str
        Data centres that are partitioned off from the others.
    delay_steps : callable
        Returns how late a message about what was spent arrives.
    """

    def __init__(
        self,
        rng: random.Random,
        rule: Rule | None = None,
        router_count: int = 7,
        rate: float = 21.0,
    ):
        self.rng = rng
        self.rule = rule or Rule()
        self.step = 0
        self.rate = rate / router_count
        self.failing = True
        self.cut: set[str] = set()
        self.delay_steps: t.Callable[[], int] = lambda: 0
        self.delayed: list[tuple[int, t.Callable[[], None]]] = []
        self.incarnations = 0
        self.requests: list[int] = []
        self.arrivals: list[int] = []
        self.keepers: dict[str, SimulatedKeeper] = {}
        self.routers: dict[str, SimulatedRouter] = {}
        self.leader = ""
        self.leaderless_steps = 0
        for data_centre in DATA_CENTRES:
            self.start_keeper(data_centre)
        for number in range(router_count):
            self.start_router(f"r{number}", first_start=True)

    def now(self) -> float:
        """Return the simulated time in seconds."""
        return self.step * STEP_SECONDS

    # -- events ------------------------------------------------------

    def start_keeper(self, data_centre: str) -> None:
        """Start, or restart, the keeper of `data_centre`."""
        self.keepers[data_centre] = SimulatedKeeper(
            data_centre, self.rule, self.now
        )

    def stop_keeper(self, data_centre: str) -> None:
        """Stop the keeper of `data_centre`."""
        self.keepers.pop(data_centre, None)

    def start_router(self, name: str, first_start: bool = False) -> None:
        """Start, restart or add the router `name`."""
        data_centre = DATA_CENTRES[int(name[1:]) % len(DATA_CENTRES)]
        self.incarnations += 1
        self.routers[name] = SimulatedRouter(
            links.Identity(name, "router", data_centre, self.incarnations),
            data_centre,
            self.rule,
            first_start,
            self.now,
        )

    def stop_router(self, name: str) -> None:
        """Stop the router `name`."""
        self.routers.pop(name, None)

    def end_router(self, name: str) -> None:
        """Stop the router `name` by plan."""
        router = self.routers.pop(name)
        if router.succession.end():
            return
        reached = [
            keeper
            for data_centre, keeper in self.keepers.items()
            if self.reaches(data_centre, router)
        ]
        if reached:
            keeper = self.rng.choice(reached)
            now, record = self.now(), router.succession.give()
            self._send(
                lambda: keeper.spending.keep(router.identity, now, record)
            )

    def _send(self, deliver: t.Callable[[], None]) -> None:
        delay = self.delay_steps()
        if delay:
            self.delayed.append((self.step + delay, deliver))
        else:
            deliver()

    def _deliver_delayed(self) -> None:
        due = [each for each in self.delayed if each[0] <= self.step]
        self.delayed = [each for each in self.delayed if each[0] > self.step]
        for _, deliver in due:
            deliver()

    # -- time --------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step += 1
            self._elect()
            self._deliver_delayed()
            for number, (name, router) in enumerate(self.routers.items()):
                if (self.step + number) % RENEW_STEPS == 0:
                    self._renew(name, router)
            self._update_links()
            self._tell_keepers()
            self._serve()

    def _elect(self) -> None:
        if self._has_quorum(self.leader):
            self.leaderless_steps = 0
            return
        self.leader = ""
        self.leaderless_steps += 1
        candidates = [
            data_centre
            for data_centre in self.keepers
            if self._has_quorum(data_centre)
        ]
        if candidates and self.leaderless_steps > ELECTION_STEPS:
            self.leader = self.rng.choice(candidates)

    def _has_quorum(self, data_centre: str) -> bool:
        if data_centre not in self.keepers:
            return False
        reached = [
            other for other in self.keepers if self._reach(data_centre, other)
        ]
        return 2 * len(reached) > len(DATA_CENTRES)

    def _reach(self, data_centre: str, other: str) -> bool:
        return (data_centre in self.cut) == (other in self.cut)

    def reaches(self, data_centre: str, router: SimulatedRouter) -> bool:
        """Return whether a keeper and `router` have a link."""
        return self._reach(data_centre, router.data_centre)

    def _renew(self, name: str, router: SimulatedRouter) -> None:
        for data_centre, keeper in self.keepers.items():
            if not self.reaches(data_centre, router):
                continue
            if name not in keeper.linked:
                keeper.linked.add(name)
                keeper.census.update()
            now, leads = self.now(), data_centre == self.leader
            takes = router.succession.takes()
            told = keeper.answer(router.identity, leads, takes)
            router.sharers.record(data_centre, told, now)
            if told.spending:
                self._send(
                    functools.partial(
                        router.succession.accept, data_centre, told, now
                    )
                )

    def _update_links(self) -> None:
        for data_centre, keeper in self.keepers.items():
            gone = {
                name
                for name in keeper.linked
                if name not in self.routers
                or not self.reaches(data_centre, self.routers[name])
            }
            if gone:
                keeper.linked -= gone
                keeper.census.update()

    def _tell_keepers(self) -> None:
        seconds = router_census.TELL_WINDOWS * self.rule.window
        if self.step % round(seconds / STEP_SECONDS):
            return
        for data_centre, keeper in self.keepers.items():
            for other, told in self.keepers.items():
                if other != data_centre and self._reach(data_centre, other):
                    told.census.record_told(keeper.linked)

    def _serve(self) -> None:
        self.requests += [0] * (self.step + 1 - len(self.requests))
        self.arrivals += [0] * (self.step + 6 - len(self.arrivals))
        for router in self.routers.values():
            mean = self.rate * STEP_SECONDS
            for _ in range(_poisson(self.rng, mean)):
                router.budget.count_request()
                self.requests[self.step] += 1
                if self.failing and router.take():
                    delay = self.rng.randrange(3)
                    self.arrivals[self.step + delay] += 1

    # -- the rule ----------------------------------------------------

    def worst_excess(self) -> float:
        """Return by how much the retries exceed the rule at most.

        In any window, the arrivals of retries may be the ratio of the
        requests and the allowance. Requests count in that window, the one
        before it or the one half a window before it, whichever has most.
        """
        width = round(self.rule.window / STEP_SECONDS)
        return max(
            sum(self.arrivals[start : start + width])
            - self.rule.allowance
            - self.rule.ratio
            * max(
                self._requests_in(start - shift, width)
                for shift in (0, width // 2, width)
            )
            for start in range(len(self.arrivals))
        )

    def _requests_in(self, start: int, width: int) -> int:
        return sum(self.requests[max(0, start) : max(0, start + width)])

    def most_since(self, seconds: float) -> int:
        """Return the most retries in one window since time `seconds`."""
        first = round(seconds / STEP_SECONDS)
        width = round(self.rule.window / STEP_SECONDS)
        return max(
            sum(self.arrivals[start : start + width])
            for start in range(first, len(self.arrivals))
        )


def _poisson(rng: random.Random, mean: float) -> int:
    """Return a random count with the given mean, which is below 1 or so."""
    count = 0
    left = rng.expovariate(1.0)
    while left < mean:
        count += 1
        left += rng.expovariate(1.0)
    return count
