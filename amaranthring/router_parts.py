"""Wires the components of a router; part of the composition root."""

import asyncio
import dataclasses
import os
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring import settings as settings_module
from amaranthring.callers import execution
from amaranthring.core import background
from amaranthring.core import decisions
from amaranthring.core import drain as drains
from amaranthring.core import intake as intakes
from amaranthring.core import links
from amaranthring.core import listeners
from amaranthring.core import logs
from amaranthring.core import metrics
from amaranthring.core import records
from amaranthring.keepers import client as keeper_client
from amaranthring.keepers import commands
from amaranthring.keepers import messages as keeper_messages
from amaranthring.monitoring import exporters
from amaranthring.operators import base as operators_base
from amaranthring.operators import handlers as operators
from amaranthring.policy import retries
from amaranthring.routers import admission
from amaranthring.routers import attempts
from amaranthring.routers import directory
from amaranthring.routers import explainer
from amaranthring.routers import limits
from amaranthring.routers import mesh
from amaranthring.routers import placement
from amaranthring.routers import readiness
from amaranthring.routers import regions
from amaranthring.routers import revisions
from amaranthring.routers import suspicion
from amaranthring.routers import target_reports
from amaranthring.routers import target_sync
from amaranthring.targets import announce
from amaranthring.targets import notices as target_notices
from amaranthring.targets import table

# Long enough to survive a leader election.
CLAIM_SECONDS = 2.5
# A claim outlives the caller's deadline by the time that settling may take.
CLAIM_GRACE_SECONDS = 15.0
QUARANTINE_SECONDS = 24 * 3600.0
REVISION_FILE = "revision"
EXPLAINED_CANDIDATES = 8
# Time for settling the claims of the last calls.
SETTLE_SECONDS = 1.0
# Time for callers with idle connections to notice that they are closed.
CLOSE_SECONDS = 2.0

log = logbook.Logger(__name__)


class Router:
    """All components of one router.

    Attributes
    ----------
    needs : execution.Dependencies
        Dependencies of the request pipeline.
    drain : drain.Drain
        Callers' requests in progress.
    operator_drain : drain.Drain
        Operators' requests in progress.
    stopping : bool
        Whether the health check fails because of a shutdown.
    """

    def __init__(
        self, settings: settings_module.Settings, identity: links.Identity
    ):
        self.settings = settings
        self.identity = identity
        self.name = identity.name
        self.metrics = metrics.Metrics()
        self.decisions = decisions.DecisionLog()
        self.drain = drains.Drain()
        self.operator_drain = drains.Drain()
        self.stopping = False
        self.tasks: list[asyncio.Task] = []
        section = settings.fleet
        self.keys = links.Keys(settings_module.read_keys(section.keys_file))
        self.handlers = links.Handlers()
        self.intake = intakes.for_process(
            settings.process.memory_bytes,
            settings.process.descriptors_most,
            self.metrics.count,
        )
        self._make_mesh()
        self._make_admission()
        self.needs = self._make_dependencies()

    # -- wiring --

    def _make_mesh(self) -> None:
        settings = self.settings
        self.mesh = mesh.Mesh(
            self.identity,
            settings.routers(),
            self.keys,
            self.handlers,
            self.metrics,
        )
        self.server = links.LinkServer(
            self.identity,
            self.keys,
            self.handlers,
            on_link=self.mesh.accept,
            on_close=self.mesh.remove_link,
            intake=self.intake,
        )
        self.keepers = keeper_client.KeeperClient(
            settings.fleet.group, settings.keepers(), self.identity, self.keys
        )
        data_centre = settings.process.data_centre
        folder = settings.process.data_folder
        self.revisions = revisions.Revisions(
            self.name,
            data_centre,
            self.keepers.query,
            self.mesh,
            self.handlers,
            self.metrics,
            [
                peer.name
                for peer in settings.routers()
                if peer.data_centre == data_centre and peer.name != self.name
            ],
            os.path.join(folder, REVISION_FILE) if folder else "",
        )
        self.table = table.TargetTable(data_centre, self.config, self.metrics)
        self.target_sync = target_sync.TargetSync(
            self.mesh, self.table, self.metrics
        )
        self.readiness = readiness.Readiness(
            self.mesh, self.table, self.target_sync
        )
        self.table.subscribe(self._target_changed)
        self.target_reporter = target_reports.TargetReporter(
            data_centre,
            self.keepers.query,
            lambda: self.revisions.is_relay,
            self._ready_targets,
            self.metrics,
            lambda: self.keepers.leader,
        )

    def _make_admission(self) -> None:
        process = self.settings.process
        self.regions = regions.Regions(
            process.region, self.mesh, self.table.targets
        )
        self.suspicion = suspicion.CrashTracker(
            self.name,
            self.mesh,
            self.regions,
            self._quarantine,
            self.config,
            self.metrics,
            get_target=self.table.get,
        )
        self.directory = directory.Directory(
            self.name,
            self.mesh,
            self.regions.own,
            self.suspicion,
            self.metrics,
        )
        self.owners = admission.Controller(
            self.name, self.table, self.mesh, self.config, self.metrics
        )
        self.revisions.subscribe(lambda _: self.owners.config_changed())
        self.owners.ready = lambda: not self.readiness.missing()
        self.placer = placement.Placer(
            self.name,
            process.data_centre,
            process.region,
            self.table,
            self.mesh,
            self.directory,
            self.suspicion,
            self.config,
            self.metrics,
        )
        self.limits = limits.AccountLimits(
            self.name,
            self.mesh,
            self.config,
            lambda: len(self.settings.routers()),
            self.metrics,
        )
        self.retry_budget = retries.RetryBudget(
            lambda: self.config().preset.retry_budget, time.monotonic
        )
        self.explainer = explainer.Explainer(
            self.name, self.mesh, self.decisions
        )
        self.attempts = attempts.Attempts(
            self.name,
            self.mesh,
            lambda attempt: attempt in self.needs.settlements.pending,
        )
        for component in (
            self.attempts,
            self.suspicion,
            self.directory,
            self.owners,
            self.placer,
            self.limits,
            self.explainer,
        ):
            component.add_handlers(self.handlers)

    def _make_dependencies(self) -> execution.Dependencies:
        return execution.Dependencies(
            router=self.name,
            keys=self._resume_keys(),
            config=self.config,
            check_limits=self.limits.check_limits,
            admit=self._admit,
            release=self.placer.release,
            claim=self._claim,
            settle=self._settle,
            is_quarantined=self.suspicion.is_quarantined,
            report_crash=self.suspicion.report_crash,
            watch_target=self.suspicion.watch_target,
            has_retry=self.retry_budget.has_retry,
            may_retry=self.retry_budget.may_retry,
            record_success=self.retry_budget.record_success,
            when_lost=self.table.when_lost,
            record_decision=self.decisions.record,
            get_target=self.table.get,
            served_names=self._served_names,
            metrics=self.metrics,
            drain=self.drain,
            may_run=self.attempts.may_run,
            running_attempts=self.attempts.running,
            notices=target_notices.TargetNotices(
                self.metrics, self.table.mark_leaving
            ),
        )

    def _resume_keys(self) -> links.Keys:
        path = self.settings.fleet.resume_key_file
        return (
            links.Keys(settings_module.read_keys(path)) if path else self.keys
        )

    def config(self):
        """Return the active configuration revision of this router."""
        return self.revisions.current

    # -- callbacks of the components --

    async def _admit(
        self, request: records.Request, excluded: set[str]
    ) -> records.Grant:
        """Admit a request and record the inputs for ``explain``."""
        eligible = self.table.eligible(request.kind, request.serves)
        loads = {}
        for target in eligible[:EXPLAINED_CANDIDATES]:
            report = self.table.report(target.name)
            loads[target.name] = report.running if report else None
        self.decisions.record(
            request.request_id,
            "candidates",
            eligible=len(eligible),
            reported=loads,
            excluded=sorted(excluded),
            revision=self.config().revision,
        )
        return await self.placer.admit(request, excluded)

    async def _claim(
        self, request: records.Request, attempt: str, target: str
    ) -> records.Claim:
        left = max(0.0, request.deadline - time.monotonic())
        command = commands.Claim(
            request.account,
            request.key,
            request.body_digest,
            attempt,
            target,
            left + CLAIM_GRACE_SECONDS,
        )
        result = await self.keepers.propose(command, CLAIM_SECONDS, False)
        return result.claim

    async def _settle(
        self,
        request: records.Request,
        attempt: str,
        outcome: errors.Outcome,
        answer: records.StoredAnswer | None,
    ) -> None:
        command = commands.Settle(
            request.account, request.key, attempt, str(outcome), answer
        )
        await self.keepers.propose(command, CLAIM_SECONDS, False)

    async def _quarantine(self, fingerprint: str) -> None:
        command = commands.AddQuarantine(fingerprint, QUARANTINE_SECONDS)
        await self.keepers.propose(command, CLAIM_SECONDS)

    def _served_names(self, kind: records.TargetKind) -> set[str]:
        names: set[str] = set()
        for target in self.table.targets():
            if target.kind is kind:
                names.update(target.serves)
        return names

    def _ready_targets(self) -> list[records.Target]:
        return [
            target
            for target in self.table.targets()
            if self.table.state(target.name) is records.TargetState.READY
        ]

    def _target_changed(self, name: str) -> None:
        if self.table.state(name) is records.TargetState.LOST:
            self.suspicion.target_lost(name)
        self.metrics.gauge("targets.ready", len(self._ready_targets()))

    # -- HTTP --

    def internal_routes(self) -> list:
        """Return the routes of the internal listener."""
        fleet = self.settings.fleet
        routes = [
            ("/metrics", exporters.MetricsHandler, {"figures": self.metrics})
        ]
        if fleet.targets_key_file:
            keys = settings_module.read_keys(fleet.targets_key_file)
            routes += announce.routes(self.table, keys, self.metrics)
        if fleet.operators_file:
            tokens = settings_module.read_secrets(fleet.operators_file)
            routes += operators.routes(self._operators(tokens))
        return routes

    def _operators(
        self, tokens: dict[str, str]
    ) -> operators_base.Dependencies:
        return operators_base.Dependencies(
            tokens=tokens,
            propose=self.keepers.propose,
            query=self.keepers.query,
            revisions=self.revisions,
            routers={
                peer.name: peer.data_centre for peer in self.settings.routers()
            },
            targets=self._target_rows,
            explain=self.explainer.explain,
            keepers=self._keepers_status,
            change_keepers=self._change_keepers,
            drain=self.operator_drain,
        )

    def _target_rows(self) -> list[dict[str, t.Any]]:
        rows = []
        for target in self.table.targets():
            row = dataclasses.asdict(target)
            row["state"] = str(self.table.state(target.name))
            report = self.table.report(target.name)
            row["running"] = report.running if report else None
            row["waiting"] = report.waiting if report else None
            rows.append(row)
        return rows

    async def _change_keepers(self, adds: bool, keeper: t.Any) -> None:
        change = keeper_messages.Change(
            self.settings.fleet.group,
            adds,
            keeper.name,
            keeper.address,
            keeper.data_centre,
        )
        await self.keepers.change_members(change)

    async def _keepers_status(self) -> dict[str, t.Any]:
        names = [keeper.name for keeper in self.settings.keepers()]
        calls = [self.keepers.status(name) for name in names]
        answers = await asyncio.gather(*calls, return_exceptions=True)
        statuses: dict[str, t.Any] = {}
        for name, answer in zip(names, answers, strict=True):
            if isinstance(answer, errors.AmaranthringError):
                statuses[name] = {"unreachable": str(answer)}
            elif isinstance(answer, BaseException):
                raise answer
            else:
                statuses[name] = answer
        return {"keepers": statuses}

    def not_ready_reason(self) -> str:
        """Return why the health check fails, or an empty string."""
        if self.stopping:
            return "stopping"
        if not self.revisions.ready:
            return "no revision confirmed yet"
        return self.readiness.missing()

    # -- start and shutdown --

    def start(self, sockets: list) -> None:
        """Serve fleet links on `sockets` and start all tasks."""
        self.server.add_sockets(sockets)
        self.mesh.start()
        self.table.start()
        self.target_sync.start()
        self.keepers.start()
        self.revisions.start()
        runs = [
            self.owners.run,
            self.placer.run,
            self.directory.run,
            self.target_reporter.run,
        ]
        if self.settings.statsd.host:
            sender = exporters.StatsdSender(self.metrics, self.settings.statsd)
            runs.append(sender.run)
        self.tasks = [
            background.keep_running(run.__qualname__, run) for run in runs
        ]

    async def shut_down(
        self, callers: listeners.Listener, internal: listeners.Listener
    ) -> None:
        """Shut down gracefully, without cutting off requests in progress.

        The health check fails first, so that the balancer removes this
        router; requests that still arrive are served. Then cells and shards
        move to other routers and the remaining requests complete. Those that
        take too long are answered that they were interrupted, and all
        connections are closed.
        """
        self.stopping = True
        bounds = self.settings.callers
        quiet = await self.drain.wait_for_quiet_period(
            bounds.health_grace_seconds, bounds.leave_seconds
        )
        running = self.drain.in_flight
        logs.event(log, "router.leaving", quiet=quiet, running=running)
        await callers.close()
        self.drain.close()
        self.mesh.leave()
        self.owners.hand_over()
        self.directory.hand_over()
        await self.drain.wait_idle(bounds.shutdown_seconds)
        # Also for requests that have come meanwhile, which are refused.
        await callers.server.waiting.drain(
            time.monotonic() + CLOSE_SECONDS, lambda: self.drain.in_flight
        )
        await self.drain.end_requests()
        await callers.close_connections()
        await internal.close()
        await self.operator_drain.wait_idle(operators_base.COMMAND_SECONDS)
        await self.operator_drain.end_requests()
        await internal.close_connections()
        await self.needs.settlements.stop(SETTLE_SECONDS)
        await self._stop_components()

    async def _stop_components(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.target_sync.stop()
        self.table.stop()
        await self.revisions.stop()
        self.keepers.stop()
        self.mesh.stop()
        self.server.close_all()
