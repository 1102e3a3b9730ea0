"""Simulation of engines and callers around the product's own decision code.

Routers, owners, directory and load bounds are the product's code, connected
by the fakes of :mod:`amaranthring.testing` and run on a simulated clock.
Only arrivals, answer lengths, prefix caches, delayed reports and delayed
list changes are modelled. One seed determines everything, so counts are
reproducible.
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
    """Load that callers generate.

    Attributes
    ----------
    per_second : float
        Arriving requests per second.
    answer_seconds : float
        Mean duration of an answer; durations are gamma distributed.
    chats : int
        Number of chats, which return at random.
    seed : int
        Seed of all random choices.
    """

    per_second: float = 78.0
    answer_seconds: float = 15.0
    chats: int = 6000
    seed: int = 1


@dataclasses.dataclass
class Sample:
    """Load of the engines at one moment.

    Attributes
    ----------
    highest : int
        Requests in flight at the busiest engine.
    mean : float
        Mean number of requests in flight per engine.
    """

    highest: int
    mean: float

    @property
    def skew(self) -> float:
        """Return the ratio of the highest to the mean load."""
        return self.highest / self.mean if self.mean else 1.0


class Engine:
    """Prefix cache of an engine; evicts the least recently used chat."""

    def __init__(self, max_chats: int):
        self.max_chats = max_chats
        self.cached: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def run(self, chat: str) -> bool:
        """Process a request of `chat`; return whether it hit the cache."""
        hit = chat in self.cached
        self.cached[chat] = None
        self.cached.move_to_end(chat)
        if len(self.cached) > self.max_chats:
            self.cached.popitem(last=False)
        return hit


class Simulation:
    """Callers, routers and engines on one simulated clock.

    Parameters
    ----------
    fleet : Routers
        Routers under test.
    load : Load
        Load that arrives.
    report_lag : float
        Seconds until routers receive an engine's load report.
    cache_chats : int
        Chats that fit into an engine's cache.

    Attributes
    ----------
    in_flight : Counter
        Requests in flight by engine.
    bound_ratios : list of float
        For each grant after the warm-up to an eligible engine, the load of
        the engine relative to its load bound.
    factor : float
        Multiplier of the arrival rate.
    """

    def __init__(self, fleet, load, report_lag=1.0, cache_chats=500):
        self.fleet = fleet
        self.load = load
        self.report_lag = report_lag
        self.random = random.Random(load.seed)
        self.events = []
        self.sequence = itertools.count()
        self.engines = collections.defaultdict(lambda: Engine(cache_chats))
        self.in_flight: collections.Counter[str] = collections.Counter()
        self.samples: list[Sample] = []
        self.bound_ratios: list[float] = []
        self.refused: collections.Counter[str] = collections.Counter()
        self.started = fleet.clock.now
        self.warmup_seconds = 0.0
        self.number = 0
        self.factor = 1.0
        self.on_start = _ignore_start
        fleet.network.pause = _skip_pause

    # -- event loop --

    def call_at(self, seconds: float, callback) -> None:
        """Call `callback` `seconds` after the start."""
        time = self.started + seconds
        heapq.heappush(self.events, (time, next(self.sequence), callback))

    def call_later(self, seconds: float, callback) -> None:
        """Call `callback` in `seconds`."""
        self.call_at(self.fleet.clock.now - self.started + seconds, callback)

    async def run(self, seconds: float, warmup_seconds: float) -> None:
        """Run for `seconds`; the first `warmup_seconds` are not measured."""
        self.warmup_seconds = warmup_seconds
        self.call_at(0.0, self._arrive)
        self.call_at(0.0, self._report)
        self._call_every(TICK_SECONDS, self._tick)
        self._call_every(RENEW_SECONDS, self._renew_leases)
        self._call_every(DIGEST_SECONDS, self._send_digests)
        self._call_every(SAMPLE_SECONDS, self._sample)
        end = self.started + seconds
        while self.events and self.events[0][0] <= end:
            time, _, callback = heapq.heappop(self.events)
            self.fleet.clock.now = time
            result = callback()
            if result is not None:
                await result

    def _call_every(self, interval: float, callback) -> None:
        def repeat():
            callback()
            self.call_later(interval, repeat)

        self.call_later(interval, repeat)

    @property
    def measured(self) -> bool:
        """Return whether the warm-up is over."""
        elapsed = self.fleet.clock.now - self.started
        return elapsed >= self.warmup_seconds

    # -- events --

    async def _arrive(self):
        rate = self.load.per_second * self.factor
        self.call_later(self.random.expovariate(rate), self._arrive)
        chat = self.pick_chat()
        router = self.random.choice(self.fleet.accepting())
        self.number += 1
        await self.send(router.name, f"chat-{chat}")

    def pick_chat(self) -> int:
        """Return a random chat number; low numbers are more frequent."""
        chats = self.load.chats
        return int(chats * self.random.random() ** 2)

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
        self.in_flight[name] += 1
        self._record_bound_ratio(name)
        self.on_start(grant, chat)
        seconds = self.random.gammavariate(2.0, self.load.answer_seconds / 2)
        self.call_later(seconds, lambda: self._end(grant))

    def _end(self, grant) -> None:
        if grant.grant_id in self.fleet.grants:
            self.in_flight[grant.target.name] -= 1
            self.fleet.release(grant)

    def kill(self, router: str) -> None:
        """Kill `router`; its requests end with it."""
        for grant in self.fleet.stop(router):
            self.in_flight[grant.target.name] -= 1

    def eligible(self) -> list[str]:
        """Return the names of the engines that are really ready."""
        return [
            each.name
            for each in self.fleet.targets
            if self.fleet.state_of(each.name) == records.TargetState.READY
        ]

    def _record_bound_ratio(self, name: str) -> None:
        names = self.eligible()
        if not self.measured or name not in names:
            return
        total = sum(self.in_flight[each] for each in names)
        bound = self.fleet.config.preset.load_bound
        limit = math.ceil(bound * total / len(names) - 1e-9)
        self.bound_ratios.append(self.in_flight[name] / limit)

    def _sample(self) -> None:
        names = self.eligible()
        if not self.measured or not names:
            return
        loads = [self.in_flight[each] for each in names]
        self.samples.append(Sample(max(loads), sum(loads) / len(loads)))

    def _report(self) -> None:
        counts = dict(self.in_flight)
        self.call_later(self.report_lag, lambda: self._deliver(counts))
        self.call_later(1.0, self._report)

    def _deliver(self, counts) -> None:
        sequence = int(self.fleet.clock.now * 10)
        for name, running in counts.items():
            report = records.LoadReport(name, 1, sequence, running, 0)
            for router in self.fleet.live():
                router.table.reports[name] = report

    def _tick(self) -> None:
        for router in self.fleet.live():
            if router.name not in self.fleet.network.frozen:
                router.owners.tick(self.fleet.clock.now)
                router.directory.flush()
                router.directory.move_some()

    def _renew_leases(self) -> None:
        for router in self.fleet.live():
            router.placer.held.renew()

    def _send_digests(self) -> None:
        for router in self.fleet.live():
            router.owners.tell_siblings(self.fleet.clock.now)


def _ignore_start(_grant, _chat) -> None:
    """Do nothing at the start of a request."""


async def _skip_pause(_seconds: float) -> None:
    """Return at once; simulated time does not pass."""


def quantile(values: list[float], share: float) -> float:
    """Return the `share` quantile of `values`."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def fleet(routers, engines, **fields) -> in_process_routers.Routers:
    """Return routers for a simulation; messages are not encoded."""
    return in_process_routers.Routers(routers, engines, plain=True, **fields)
