"""Wires a router that forwards requests by a routing plan.

Part of the composition root. A platform adapter passes in its header names
and the decoder of its plan documents.
"""

import asyncio
import dataclasses
import functools
import json
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring import routing
from amaranthring.core import background
from amaranthring.core import clocks
from amaranthring.core import endpoints
from amaranthring.core import intake
from amaranthring.core import links
from amaranthring.core import listeners
from amaranthring.core import logs
from amaranthring.core import metrics as metrics_module
from amaranthring.core import overload
from amaranthring.forwarding import answer_memory
from amaranthring.forwarding import connection_limit
from amaranthring.forwarding import crash_guard
from amaranthring.forwarding import frontend as fronts
from amaranthring.forwarding import handing_over
from amaranthring.forwarding import placement
from amaranthring.forwarding import records
from amaranthring.forwarding import relay as relays
from amaranthring.forwarding import startup
from amaranthring.forwarding import stream_bindings
from amaranthring.handover import client as handover_client
from amaranthring.handover import server as handover_server
from amaranthring.policy import budgets
from amaranthring.registry import crash_messages
from amaranthring.registry import messages
from amaranthring.registry import reporting
from amaranthring.registry import sharers
from amaranthring.registry import sharing
from amaranthring.registry import spending
from amaranthring.registry import subscriber as subscribers
from amaranthring.targets import pool

log = logbook.Logger(__name__)

# Share of the key lease that this router uses; the rest covers clock drift
# and the network delay to a target.
LEASE_SHARE = 0.9
# The balancer checks every second and removes a router after two failures;
# it may open connections until then.
ROTATION_SECONDS = 2.5
# How long a starting router waits for the load and cache reports of the
# others, which arrive 50 ms after its first link to a keeper. Without them,
# prompts miss the targets' prefix caches.
MAX_REPORT_WAIT_SECONDS = 3.0
# Maximum number of idle connections to one target: a router mostly has fewer
# requests there. And the share of a target's connection limit that all routers
# together may keep idle.
MAX_IDLE_CONNECTIONS = 8
IDLE_SHARE = 0.5
# Part of the grace period reserved for closing the listener, which takes a
# fifth of it, and for the last requests.
CLOSE_SECONDS = 0.5
# Part of CLOSE_SECONDS reserved for the exit of the process on half of a core.
EXIT_SECONDS = 0.4
# Number of timers that a stop waits for, from closing the listener to the exit
# and from the end of the last wait. A late event loop delays each of them, so
# both parts begin earlier by that many delays.
CLOSE_DELAYS = 7
EXIT_DELAYS = 5
PRUNE_INTERVAL_SECONDS = 5.0
# Time for telling a keeper what was spent, which takes a few milliseconds; and
# the part of EXIT_SECONDS that it may take when no other time is left.
REPORT_SECONDS = 0.5
MIN_REPORT_SECONDS = 0.1


@dataclasses.dataclass
class RouterConfig:
    """Configuration of a router.

    Attributes
    ----------
    callers, health, metrics : str
        ``host:port`` of its listeners.
    peers : str
        ``host:port`` of its listener for other routers; empty for none.
    keepers : list of str
        Seed addresses of keepers.
    key_lease : float
        Seconds within which a revoked key must stop working; 0 disables
        the lease.
    grace : float
        Seconds that a graceful stop may take.
    retry_ratio, retry_allowance, retry_window : float
        Parameters of :class:`budgets.WindowBudget`.
    first_start : bool
        Whether the whole fleet starts for the first time.
    memory : float
        Bytes that the process may use; 0 if not known.
    descriptors : int
        Descriptors for connections and files; 0 if not known.
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
    first_start: bool = False
    peers: str = ""
    memory: float = 0.0
    descriptors: int = 0


class PlanRouter:
    """Components of a router that forwards requests by a routing plan.

    Parameters
    ----------
    decode : callable
        Decodes a plan document that a keeper has acknowledged.
    """

    def __init__(
        self,
        config: RouterConfig,
        keys: links.Keys,
        dialect: records.Dialect,
        decode: t.Callable[[bytes], routing.Plan],
    ):
        self.config = config
        self.decode = decode
        self.metrics = metrics_module.Metrics()
        self.table: routing.RouteTable | None = None
        identity = links.Identity(
            config.name,
            messages.ROUTER_ROLE,
            config.data_centre,
            time.time_ns(),
        )
        self.sharers = sharers.Sharers(
            config.retry_window,
            config.first_start,
            subscribers.CUT_OFF_SECONDS,
            clocks.boottime,
        )
        self.subscriber = subscribers.Subscriber(
            identity, keys, self.take_plan, self.sharers
        )
        self.placer = placement.Placer(
            self.subscriber.table,
            config.data_centre,
            count_routers=lambda: self.sharers.routers,
        )
        answers = answer_memory.for_process(config.memory)
        self.intake = intake.for_process(
            config.memory, config.descriptors, self.metrics.count
        )
        self.intake.is_short = lambda: bool(answers.waiting)
        self.handing_over = handing_over.HandingOver(
            handover_client.HandoverClient(identity, keys),
            self.placer,
            self.metrics,
            answers,
            self.retries_left,
        )
        self.handover_server = handover_server.HandoverServer(
            identity,
            keys,
            self.serve_for_peer,
            self.check_handover,
            self.intake,
        )
        self.streams = stream_bindings.StreamBindings(
            self.subscriber.table, self.subscriber.open_links
        )
        self.reporter = reporting.Reporter(
            self.subscriber.handlers,
            self.subscriber.home_link,
            self.report,
            self.update_from_others,
            on_switch=self.streams.report_again,
        )
        connections = pool.Pool(self.max_idle_connections)
        self.crashes = crash_guard.CrashGuard(
            config.name,
            self.placer,
            connections,
            self.subscriber.open_links,
        )
        self.subscriber.handlers.add(
            crash_messages.Verdicts, self.crashes.on_verdicts
        )
        self.subscriber.on_linked.append(self.crashes.add_keeper)
        self.relay = relays.Relay(
            dialect,
            lambda: self.table,
            self.may_trust_keys,
            self.placer,
            functools.partial(
                budgets.WindowBudget,
                config.retry_ratio,
                config.retry_allowance,
                config.retry_window,
                clocks.boottime,
                self.sharers.usable_from,
            ),
            self.sharers.share,
            self.metrics,
            connections,
            startup.StartupGate(
                self.metrics,
                self.subscriber.first_confirmed,
                self.subscriber.is_cut_off,
            ),
            self.crashes,
            self.handing_over,
            self.streams,
            answers,
        )
        self.succession = spending.Succession(
            self.subscriber.handlers,
            self.sharers,
            self.relay.retries.budgets,
            clocks.boottime,
        )
        self.subscriber.takes_spending = self.succession.takes
        self.subscriber.on_renewed.append(self.succession.accept)
        self.loop_delay = overload.LoopDelay()
        limit = connection_limit.ConnectionLimit(self.loop_delay, self.metrics)
        self.front = fronts.Frontend(
            dialect,
            self.relay.serve,
            self.bounds,
            limit.is_full,
            self.intake,
            self.relay.check_head,
        )
        self.stopping = False
        self.started_at = time.monotonic()
        self.tasks: list[asyncio.Task] = []

    def bounds(self) -> routing.Bounds:
        """Return the limits on callers' requests."""
        return self.table.plan.bounds if self.table else routing.Bounds()

    def max_idle_connections(self) -> int:
        """Return how many idle connections to one target are kept.

        The idle connections of all routers must leave capacity for those
        in use.
        """
        services = self.table.services.values() if self.table else ()
        bounds = [service.connections_most for service in services]
        limit = min([b for b in bounds if b], default=MAX_IDLE_CONNECTIONS)
        routers = self.sharers.routers
        shared = int(limit * IDLE_SHARE / routers) if routers else 1
        return max(1, min(MAX_IDLE_CONNECTIONS, shared))

    def take_plan(self, document: bytes) -> None:
        """Activate the plan in `document`."""
        plan = self.decode(document)
        table = routing.RouteTable(plan)
        self.streams.record_plan(plan)
        # All that may fail comes before, so that no half of a plan is used.
        self.table = table
        logs.event(
            log,
            "plan.taken",
            version=plan.version,
            routes=len(plan.routes),
            services=len(plan.services),
            needs_key=table.needs_key,
            accounts=len(plan.accounts or ()),
            keys=sum(len(a.keys) for a in plan.accounts or ()),
        )
        shadowed = routing.shadowed_routes(plan)
        if shadowed:
            log.warning(
                "plan.routes-shadowed version={} routes={}",
                plan.version,
                sorted(route.name for route in shadowed),
            )

    def report(self) -> sharing.Report:
        """Return the report for the other routers."""
        report = self.placer.report()
        report.unreached_services = sorted(
            self.placer.paths.unreached_services
        )
        report.sought = self.handing_over.sought_services()
        report.streams = self.streams.take_report()
        report.moved = self.streams.routes.take_untold()
        if not self.stopping:
            report.address = self.config.peers
        return report

    def update_from_others(self, others: sharing.Others) -> None:
        """Apply the reports of the other routers."""
        self.placer.update_from_others(others)
        self.handing_over.client.update(others.helpers)

    def check_handover(self, service: str, version: int) -> None:
        """Check that this router can send requests on for others.

        Raises
        ------
        errors.RefusedError
            If it cannot.
        """
        if self.stopping:
            raise errors.ShuttingDownError("this router is being stopped")
        held = self.table.version if self.table else -1
        if held < version:
            raise errors.NoTargetError(
                "this router has an older plan", given=held, expected=version
            )
        if self.placer.paths.is_unreached(service):
            raise errors.NoTargetError(
                f"this router does not reach service {service} either"
            )

    async def serve_for_peer(
        self,
        incoming: records.Incoming,
        writer: handover_server.LinkWriter,
        terms: records.Handover,
    ) -> None:
        """Send a request on for another router."""
        self.front.count(+1)
        try:
            await self.relay.serve(incoming, writer, terms)
        finally:
            self.front.count(-1)

    def retries_left(self, service: str) -> float:
        """Return how many retries this router may still send to a service."""
        return self.relay.retries.left(service)

    def may_trust_keys(self) -> bool:
        """Return whether the plan's keys are still valid under the lease."""
        lease = self.config.key_lease
        return not lease or self.subscriber.is_fresh(lease * LEASE_SHARE)

    def not_ready_reason(self) -> str:
        """Return why the health check fails, or an empty string."""
        if self.stopping:
            return "stopping"
        if self.table is None:
            return "no plan yet"
        if not self.may_trust_keys():
            return "no keeper confirms the plan"
        waited = time.monotonic() - self.started_at
        if not self.reporter.has_heard and waited < MAX_REPORT_WAIT_SECONDS:
            return "no word of the other routers yet"
        return ""

    def start(self) -> None:
        """Open the listeners and connect to the keepers."""
        self.front.listen(listeners.bind_sockets(self.config.callers))
        for address, handler in (
            (self.config.health, self._health),
            (self.config.metrics, endpoints.metrics_handler(self.metrics)),
        ):
            endpoints.serve(
                address, handler, self.intake, endpoints.NO_BODY_BYTES
            )
        if self.config.peers:
            self.handover_server.listen(
                listeners.bind_sockets(self.config.peers)
            )
        self.subscriber.use_seeds(self.config.keepers)
        for name, run in (
            ("prune", self._prune_regularly),
            ("intake", self.intake.run),
            ("loop-delay", self.loop_delay.run),
            ("reports", self.reporter.run),
            ("connections", self.relay.connections.run),
            ("path-trials", self.handing_over.trials.run),
            ("stream-reports", self._report_streams_promptly),
        ):
            self.tasks.append(background.keep_running(name, run))

    async def _report_streams_promptly(self) -> None:
        await self.streams.report_promptly(self.subscriber.home_link)

    def use_seeds(self, addresses: list[str]) -> None:
        """Update the seed addresses of the keepers."""
        self.subscriber.use_seeds(addresses)

    async def _health(self, _call: endpoints.Request) -> endpoints.Response:
        reason = self.not_ready_reason()
        body = json.dumps({"ready": not reason, "reason": reason}).encode()
        return endpoints.Response(503 if reason else 200, body)

    async def _prune_regularly(self) -> None:
        while True:
            await asyncio.sleep(PRUNE_INTERVAL_SECONDS)
            self.placer.prune()

    def _latest_start(
        self, deadline: float, reserved: float, delays: int
    ) -> float:
        """Return when at the latest to begin a part of the shutdown.

        Parameters
        ----------
        deadline : float
            Monotonic seconds at which the process has to be gone.
        reserved : float
            Seconds that it takes from there on if the event loop is in time.
        delays : int
            How often the event loop delays it from there on.

        Returns
        -------
        float
            Monotonic seconds.
        """
        return deadline - reserved - delays * self.loop_delay.usual

    def _close_at(self, deadline: float) -> float:
        """Return when to close the listener; later requests are refused."""
        self.front.shutdown_at = self._latest_start(
            deadline, CLOSE_SECONDS, CLOSE_DELAYS
        )
        return self.front.shutdown_at

    async def stop(self, asked_at: float | None = None) -> None:
        """Shut down gracefully within the grace period.

        Requests that still arrive are served; those that could exceed the
        grace period are refused.

        Parameters
        ----------
        asked_at : float, optional
            Monotonic seconds at which the grace period began; now by default.
        """
        if asked_at is None:
            asked_at = time.monotonic()
        deadline = asked_at + self.config.grace
        self.stopping = True
        self.front.closing = True
        rotated_at = asked_at + ROTATION_SECONDS
        await asyncio.sleep(max(0.0, rotated_at - time.monotonic()))
        await self.front.drain(lambda: self._close_at(deadline))
        await self.front.listener.close()
        await self.front.drain(
            lambda: self._latest_start(deadline, EXIT_SECONDS, EXIT_DELAYS)
        )
        self.front.log_open_connections()
        if self.front.in_flight:
            logs.event(log, "router.cut-off", running=self.front.in_flight)
        await self.handover_server.end_requests()
        await self.front.end_connections()
        await self._report_spending(deadline)
        self.crashes.stop()
        self.handing_over.client.stop()
        self.handover_server.stop()
        self.subscriber.stop()

    async def _report_spending(self, deadline: float) -> None:
        """Tell a keeper what was spent, for the next process.

        Parameters
        ----------
        deadline : float
            Monotonic seconds at which the process has to be gone.
        """
        home = self.subscriber.home_link()
        latest = self._latest_start(deadline, EXIT_SECONDS, EXIT_DELAYS)
        await self.succession.report(
            sorted(
                self.subscriber.open_links(), key=lambda link: link != home
            ),
            self.subscriber.version,
            min(
                REPORT_SECONDS,
                max(MIN_REPORT_SECONDS, latest - time.monotonic()),
            ),
        )
