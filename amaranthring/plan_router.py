"""Wiring of a router that forwards by a routing plan.

Part of the composition root. A caller such as the adapter to a platform
hands in what is particular to it: names on the wire and the form of plans.
"""

import asyncio
import dataclasses
import functools
import json
import time
import typing as t

import logbook

from amaranthring import routing
from amaranthring.core import endpoints
from amaranthring.core import links
from amaranthring.core import listeners
from amaranthring.core import logs
from amaranthring.core import metrics as metrics_module
from amaranthring.forwarding import frontend as fronts
from amaranthring.forwarding import placement
from amaranthring.forwarding import records
from amaranthring.forwarding import relay as relays
from amaranthring.forwarding import startup
from amaranthring.policy import budgets
from amaranthring.registry import messages
from amaranthring.registry import reporting
from amaranthring.registry import subscriber as subscribers
from amaranthring.targets import pool

log = logbook.Logger(__name__)

# What a withdrawn key may still work is counted from an acknowledgement;
# the lease ends earlier by this share, for clocks that run at different
# rates and for the way to a target.
LEASE_SHARE = 0.9
# The balancer asks every second and takes a router out after two misses; it
# may open connections until then.
ROTATION_SECONDS = 2.5
# How long a router that starts waits for what the others do and know. It is
# there 50 ms after the first link to a keeper; without, prompts would go
# where they have to be read again.
HEAR_SECONDS = 3.0
# Idle connections to one target: more than a router has requests there at
# most times, and with all routers' together half of what a target accepts.
KEPT_MOST = 8
KEPT_SHARE = 0.5
# Kept of the time before the process is killed, to end in good order; the
# listener's end takes a fifth of it.
END_SECONDS = 0.5
# Kept of that for the end of the process itself, on half of a core.
LAST_SECONDS = 0.4
FORGET_EVERY_SECONDS = 5.0


@dataclasses.dataclass
class RouterConfig:
    """Where and how a router runs.

    Attributes
    ----------
    callers, health, metrics : str
        ``host:port`` of its listeners.
    keepers : list of str
        Addresses of keepers to begin with.
    key_lease : float
        Seconds within which a withdrawn key must stop to work; 0 if that
        is not asked for.
    grace : float
        Seconds that a planned stop may take.
    """

    name: str
    data_centre: str
    callers: str
    health: str
    metrics: str
    keepers: list[str]
    key_lease: float
    grace: float
    retry_ratio: float
    retry_allowance: float
    retry_window: float


class PlanRouter:
    """The parts of a router that forwards by a plan.

    Parameters
    ----------
    decode : callable
        Returns the plan in a document.
    """

    def __init__(
        self,
        place: RouterConfig,
        keys: links.Keys,
        dialect: records.Dialect,
        decode: t.Callable[[bytes], routing.Plan],
    ):
        self.config = place
        self.decode = decode
        self.metrics = metrics_module.Metrics()
        self.table: routing.RouteTable | None = None
        identity = links.Identity(
            place.name,
            messages.ROUTER_ROLE,
            place.data_centre,
            time.time_ns(),
        )
        self.subscriber = subscribers.Subscriber(
            identity, keys, self.take_plan
        )
        self.placer = placement.Placer(
            self.subscriber.table, place.data_centre
        )
        self.reporter = reporting.Reporter(
            self.subscriber.handlers,
            self.subscriber.home_link,
            self.placer.report,
            self.placer.update_from_others,
        )
        self.relay = relays.Relay(
            dialect,
            lambda: self.table,
            self.may_admit,
            self.placer,
            functools.partial(
                budgets.WindowBudget,
                place.retry_ratio,
                place.retry_allowance,
                place.retry_window,
                time.monotonic,
            ),
            lambda: self.subscriber.routers,
            self.metrics,
            pool.Pool(self.kept_most),
            startup.StartupGate(
                self.metrics,
                self.subscriber.first_confirmed,
                self.subscriber.is_cut_off,
            ),
        )
        self.front = fronts.Frontend(dialect, self.relay.serve, self.bounds)
        self.stopping = False
        self.started_at = time.monotonic()
        self.tasks: list[asyncio.Task] = []

    def bounds(self) -> routing.Bounds:
        """Return the bounds on what callers may send."""
        return self.table.plan.bounds if self.table else routing.Bounds()

    def kept_most(self) -> int:
        """Return how many connections to one target may idle.

        All routers' together must leave room for those in use.
        """
        services = self.table.services.values() if self.table else ()
        bounds = [one.connections_most for one in services]
        most = min([b for b in bounds if b], default=KEPT_MOST)
        shared = int(most * KEPT_SHARE / self.subscriber.routers)
        return max(1, min(KEPT_MOST, shared))

    def take_plan(self, document: bytes) -> None:
        """Put the plan in `document` in force."""
        self.table = routing.RouteTable(self.decode(document))

    def may_admit(self) -> bool:
        """Return whether the keys of the plan may be trusted."""
        lease = self.config.key_lease
        return not lease or self.subscriber.is_fresh(lease * LEASE_SHARE)

    def not_ready_reason(self) -> str:
        """Return why the balancer should not send callers, or nothing."""
        if self.stopping:
            return "stopping"
        if self.table is None:
            return "no plan yet"
        if not self.may_admit():
            return "no keeper confirms the plan"
        waited = time.monotonic() - self.started_at
        if not self.reporter.has_heard and waited < HEAR_SECONDS:
            return "no word of the other routers yet"
        return ""

    def start(self) -> None:
        """Listen and link to the keepers."""
        self.front.listen(listeners.listening(self.config.callers))
        endpoints.serve(self.config.health, self._health)
        endpoints.serve(self.config.metrics, endpoints.figures(self.metrics))
        self.subscriber.use_seeds(self.config.keepers)
        for work in (
            self._forget(),
            self.reporter.run(),
            self.relay.connections.run(),
        ):
            self.tasks.append(asyncio.ensure_future(work))

    def use_seeds(self, addresses: list[str]) -> None:
        """Take the keepers that the settings name now."""
        self.subscriber.use_seeds(addresses)

    async def _health(self, _call: endpoints.Call) -> endpoints.Result:
        reason = self.not_ready_reason()
        body = json.dumps({"ready": not reason, "reason": reason}).encode()
        return endpoints.Result(503 if reason else 200, body)

    async def _forget(self) -> None:
        while True:
            await asyncio.sleep(FORGET_EVERY_SECONDS)
            self.placer.prune()

    async def stop(self) -> None:
        """End in good order: no new callers, then all requests ended.

        Callers whom the balancer still sends are served until the end, or
        refused once they may take longer.
        """
        killed_at = time.monotonic() + self.config.grace
        self.stopping = True
        self.front.closing = True
        await asyncio.sleep(ROTATION_SECONDS)
        self.front.shutdown_at = killed_at - END_SECONDS
        await self.front.drain(killed_at - END_SECONDS)
        await self.front.listener.close()
        await self.front.drain(killed_at - LAST_SECONDS)
        if self.front.in_flight:
            logs.event(log, "router.cut-off", running=self.front.in_flight)
        self.subscriber.stop()
