"""A small model of engines and callers, around the product's own decisions.

Routers, owners, directory and bounds are the product's code, joined by the
fakes of :mod:`amaranthring.testing` under a clock of their own. Modelled are
only arrivals, lengths of answers, prompt caches, lagging reports and the
time that list changes take. Everything is drawn from one seed, so counts
are exact.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random

from amaranthring import errors
from amaranthring.core import records
from amaranthring.testing import in_process_routers

TICK_SECONDS = 0.1
RENEW_SECONDS = 1.0
SAMPLE_SECONDS = 0.25
DIGEST_SECONDS = 0.5


@dataclasses.dataclass
class Load:
    """What callers ask for.

    Attributes
    ----------
    per_second : float
        Requests that arrive in a second.
    answer_seconds : float
        Mean length of an answer; lengths are gamma distributed.
    chats : int
        Chats that return.
    seed : int
        Seeds everything.
    """

    per_second: float = 78.0
    answer_seconds: float = 15.0
    chats: int = 6000
    seed: int = 1


@dataclasses.dataclass
class Sample:
    """Load at one moment.

    Attributes
    ----------
    highest : int
        Requests at the busiest engine.
    mean : float
        Requests per engine.
    """

    highest: int
    mean: float

    @property
    def skew(self) -> float:
        """Return highest over mean."""
        return self.highest / self.mean if self.mean else 1.0


class Engine:
    """An engine's prompt cache: the chats whose prefix it holds."""

    def __init__(self, chats_most: int):
        self.chats_most = chats_most
        self.cached: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def run(self, chat: str) -> bool:
        """Compute `chat`; return whether its prefix was cached."""
        hit = chat in self.cached
        self.cached[chat] = None
        self.cached.move_to_end(chat)
        if len(self.cached) > self.chats_most:
            self.cached.popitem(last=False)
        return hit


class Simulation:
    """Callers, routers and engines under one clock.

    Parameters
    ----------
    fleet : Routers
        Routers that decide.
    load : Load
        What arrives.
    report_lag : float
        Seconds from an engine's state to its report at the routers.
    cache_chats : int
        Chats that fit into an engine's cache.
    """

    def __init__(self, fleet, load, report_lag=1.0, cache_chats=500):
        self.fleet = fleet
        self.load = load
        self.report_lag = report_lag
        self.random = random.Random(load.seed)
        self.events = []
        self.order = itertools.count()
        self.engines = collections.defaultdict(lambda: Engine(cache_chats))
        self.truth: collections.Counter[str] = collections.Counter()
        self.samples: list[Sample] = []
        self.over: list[float] = []
        self.refused: collections.Counter[str] = collections.Counter()
        self.started = fleet.clock.now
        self.warm_seconds = 0.0
        self.number = 0
        self.factor = 1.0
        self.on_start = _nothing
        fleet.network.pause = _at_once

    # -- running --

    def at(self, seconds: float, act) -> None:
        """Call `act()` at `seconds` from the start."""
        when = self.started + seconds
        heapq.heappush(self.events, (when, next(self.order), act))

    def after(self, seconds: float, act) -> None:
        """Call `act()` in `seconds`."""
        self.at(self.fleet.clock.now - self.started + seconds, act)

    async def run(self, seconds: float, warm_seconds: float) -> None:
        """Run for `seconds`; nothing of the first part is measured."""
        self.warm_seconds = warm_seconds
        self.at(0.0, self._arrive)
        self.at(0.0, self._report)
        self._repeat(TICK_SECONDS, self._tick)
        self._repeat(RENEW_SECONDS, self._renew)
        self._repeat(DIGEST_SECONDS, self._digest)
        self._repeat(SAMPLE_SECONDS, self._sample)
        end = self.started + seconds
        while self.events and self.events[0][0] <= end:
            when, _, act = heapq.heappop(self.events)
            self.fleet.clock.now = when
            result = act()
            if result is not None:
                await result

    def _repeat(self, every: float, act) -> None:
        def again():
            act()
            self.after(every, again)

        self.after(every, again)

    @property
    def measured(self) -> bool:
        """Return whether the warm part is over."""
        passed = self.fleet.clock.now - self.started
        return passed >= self.warm_seconds

    # -- what happens --

    async def _arrive(self):
        rate = self.load.per_second * self.factor
        self.after(self.random.expovariate(rate), self._arrive)
        chat = self.pick_chat()
        router = self.random.choice(self.fleet.accepting())
        self.number += 1
        await self.send(router.name, f"chat-{chat}")

    def pick_chat(self) -> int:
        """Return which chat comes: some return far more often."""
        most = self.load.chats
        return int(most * self.random.random() ** 2)

    async def send(self, router: str, chat: str):
        """Send one request through `router`."""
        try:
            grant = await self.fleet.admit(
                self.number, router, chat=chat, body_digest=str(self.number)
            )
        except errors.RefusedError as error:
            self.refused[error.code] += 1
            return
        name = grant.target.name
        self.truth[name] += 1
        self._check(name)
        self.on_start(grant, chat)
        length = self.random.gammavariate(2.0, self.load.answer_seconds / 2)
        self.after(length, lambda: self._end(grant))

    def _end(self, grant) -> None:
        if grant.grant_id in self.fleet.grants:
            self.truth[grant.target.name] -= 1
            self.fleet.release(grant)

    def kill(self, router: str) -> None:
        """Kill `router`; what it ran ends with it."""
        for grant in self.fleet.stop(router):
            self.truth[grant.target.name] -= 1

    def eligible(self) -> list[str]:
        """Return engines that are ready in truth."""
        return [
            each.name
            for each in self.fleet.targets
            if self.fleet.state_of(each.name) == records.TargetState.READY
        ]

    def _check(self, name: str) -> None:
        names = self.eligible()
        if not self.measured or name not in names:
            return
        total = sum(self.truth[each] for each in names)
        bound = self.fleet.config.preset.load_bound
        allowed = math.ceil(bound * total / len(names) - 1e-9)
        self.over.append(self.truth[name] / allowed)

    def _sample(self) -> None:
        names = self.eligible()
        if not self.measured or not names:
            return
        loads = [self.truth[each] for each in names]
        self.samples.append(Sample(max(loads), sum(loads) / len(loads)))

    def _report(self) -> None:
        state = dict(self.truth)
        self.after(self.report_lag, lambda: self._deliver(state))
        self.after(1.0, self._report)

    def _deliver(self, state) -> None:
        sequence = int(self.fleet.clock.now * 10)
        for name, running in state.items():
            report = records.LoadReport(name, 1, sequence, running, 0)
            for router in self.fleet.live():
                router.table.reports[name] = report

    def _tick(self) -> None:
        for router in self.fleet.live():
            if router.name not in self.fleet.network.frozen:
                router.owners.tick(self.fleet.clock.now)
                router.directory.flush()
                router.directory.move_some()

    def _renew(self) -> None:
        for router in self.fleet.live():
            router.placer.held.renew()

    def _digest(self) -> None:
        for router in self.fleet.live():
            router.owners.tell_siblings(self.fleet.clock.now)


def _nothing(_grant, _chat) -> None:
    """Note nothing."""


async def _at_once(_seconds: float) -> None:
    """Pass no time."""


def quantile(values: list[float], share: float) -> float:
    """Return the value below which `share` of `values` lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def fleet(routers, engines, **fields) -> in_process_routers.Routers:
    """Return routers for a simulation; messages pass undecoded."""
    return in_process_routers.Routers(routers, engines, plain=True, **fields)
