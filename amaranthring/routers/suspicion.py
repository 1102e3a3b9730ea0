"""Reports requests that may crash their targets, and settles the reports.

A request whose target crashed becomes a suspect at once, so that it runs
isolated from other suspects, through whichever router it returns. What is
learned later changes that: a target that answers and stays alive has not
crashed, one that refuses connections has.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import background
from amaranthring.core import fleet
from amaranthring.core import logs
from amaranthring.core import metrics as counters
from amaranthring.core import records
from amaranthring.policy import suspects
from amaranthring.routers import suspect_client
from amaranthring.routers import suspect_shard
from amaranthring.targets import liveness

log = logbook.Logger(__name__)

CONFIRM_SECONDS = 0.5
# A process that started again answers before it has announced itself.
RESTART_SECONDS = 1.0
# Pause between reports that no holder has acknowledged, and their number.
REPEAT_SECONDS = 0.5
MAX_REPEATS = 20
# Time for which a router heeds its own reports, whatever the holders know.
OWN_REPORT_SECONDS = 10.0
MAX_OWN_REPORTS = 20000
MAX_ISOLATED_RUNS = 20000
MAX_TASKS = 2000
MAX_WATCHES = 500


@dataclasses.dataclass
class Report:
    """A crash that this router reported.

    Attributes
    ----------
    key : str
        Determines the directory shard of the suspect.
    fingerprint : str
        Of the request.
    crash : Crash
        The crash, as it was reported.
    earlier : list of Crash
        Earlier crashes of the request.
    """

    key: str
    fingerprint: str
    crash: suspects.Crash
    earlier: list[suspects.Crash] = dataclasses.field(default_factory=list)


class CrashTracker:
    """Reports crashes, and holds a shard of suspects.

    Parameters
    ----------
    name : str
        This router.
    mesh : object
        Links to the other routers.
    regions : Regions
        Live routers by region.
    quarantine : callable
        Coroutine function that proposes a fingerprint to the keepers.
    config : callable
        Returns the active configuration revision.
    clock : callable
        Monotonic clock, in seconds.
    wall : callable
        Wall clock, in seconds; expiry times in the revision use it.
    get_target : callable
        Returns a target by name, or None if it is unknown or lost.

    Attributes
    ----------
    client : SuspectClient
        Calls to the shards of all routers.
    shard : SuspectShard
        Suspects that this router holds.
    isolated_runs : OrderedDict
        Target by fingerprint of each suspect that runs isolated.
    own_reports : OrderedDict
        Targets that this router reported as crashed, by fingerprint, each
        with the time until which it heeds the report.
    tasks : set of asyncio.Task
        Reports that are not settled yet.
    """

    def __init__(
        self,
        name: str,
        mesh,
        regions,
        quarantine: collections.abc.Callable[
            [str], collections.abc.Awaitable[None]
        ],
        config: collections.abc.Callable[[], fleet.FleetConfig],
        metrics: counters.Metrics | None = None,
        clock: collections.abc.Callable[[], float] = time.monotonic,
        wall: collections.abc.Callable[[], float] = time.time,
        get_target: collections.abc.Callable[
            [str], records.Target | None
        ] = lambda _: None,
    ):
        self.quarantine = quarantine
        self.config = config
        self.metrics = metrics or counters.Metrics()
        self.clock = clock
        self.wall_clock = wall
        self.get_target = get_target
        self.client = suspect_client.SuspectClient(mesh, regions)
        self.shard = suspect_shard.SuspectShard(name, mesh, regions.own, clock)
        self.recent_deaths = suspects.RecentCrashes()
        self.isolated_runs: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self.own_reports: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )
        self.tasks: set[asyncio.Task] = set()
        self.confirm_seconds = CONFIRM_SECONDS

    def add_handlers(self, handlers) -> None:
        """Register the message handlers of the shard."""
        self.shard.add_handlers(handlers)

    # -- interface to the request pipeline --

    def is_quarantined(self, body_digest: str) -> bool:
        """Return whether the request is quarantined or condemned."""
        expiry = self.config().quarantined.get(body_digest)
        if expiry is not None and expiry > self.wall_clock():
            return True
        suspect = self.suspect_of(body_digest)
        return suspect is not None and suspect.condemned

    def suspect_of(self, fingerprint: str) -> suspects.Suspect | None:
        """Return the entry of `fingerprint` in this router's shard."""
        return self.shard.get(fingerprint)

    def reported_targets(self, fingerprint: str) -> list[str]:
        """Return targets that this router has just reported as crashed.

        Holders that did not answer do not know them.
        """
        now = self.clock()
        reported = self.own_reports.get(fingerprint, {})
        return [name for name, expires in reported.items() if expires > now]

    async def report_crash(
        self,
        request: records.Request,
        target: records.Target,
        inquiry: liveness.Inquiry | None = None,
        seconds: float = 0.0,
    ) -> None:
        """Report that `target` crashed while `request` ran there.

        Returns once the request is known as a suspect. A crash that is not
        proven yet is settled in the background. Never raises.

        Parameters
        ----------
        inquiry : Inquiry, optional
            Asks whether the target still runs. Without it, the crash counts
            as proven.
        seconds : float
            Time since the request was sent.
        """
        proven = inquiry is None or inquiry.verdict is liveness.Verdict.DEAD
        report = self._make_report(request, target, proven)
        blamed = await self._is_blamed(report, seconds)
        logs.event(
            log,
            "request.crashed",
            request=request.request_id,
            fingerprint=report.fingerprint,
            target=target.name,
            apart=report.crash.apart,
            proven=proven,
            blamed=blamed,
        )
        if not blamed:
            if inquiry is not None:
                inquiry.stop()
            return
        self.metrics.count("suspects.reported")
        self._remember(report)
        acknowledged = await self._report(report)
        if not acknowledged or not report.crash.proven:
            inquiry = None if proven else inquiry
            self._start(self._settle(report, target, inquiry, acknowledged))

    def watch_target(
        self,
        request: records.Request,
        target: records.Target,
        inquiry: liveness.Inquiry,
        seconds: float = 0.0,
    ) -> None:
        """Report a crash of `target` that shows only later.

        Parameters
        ----------
        inquiry : Inquiry
            Asks whether the target still runs.
        seconds : float
            Time since the request was sent.
        """
        if len(self.tasks) < MAX_WATCHES:
            self._start(self._watch(request, target, inquiry, seconds))

    # -- events from the placer --

    def suspect_started(
        self, request: records.Request, target: str, owner: str
    ) -> None:
        """Record that `request` runs as a suspect, apart from others.

        Only an owner keeps other suspects off the target; `owner` is empty
        if there was none.
        """
        logs.event(
            log,
            "request.isolated",
            request=request.request_id,
            fingerprint=request.body_digest,
            target=target,
            owner=owner,
        )
        if not owner:
            self.isolated_runs.pop(request.body_digest, None)
            return
        self.isolated_runs[request.body_digest] = target
        if len(self.isolated_runs) > MAX_ISOLATED_RUNS:
            self.isolated_runs.popitem(last=False)

    def suspect_finished(self, request: records.Request) -> None:
        """Clear `request`, which completed without a crash."""
        self.isolated_runs.pop(request.body_digest, None)
        self.own_reports.pop(request.body_digest, None)
        self.metrics.count("suspects.cleared")
        self.client.clear(_key(request), request.body_digest)

    def target_lost(self, name: str) -> None:
        """Record the loss of target `name`."""
        self.recent_deaths.note(name, self.clock())

    # -- reports --

    def _make_report(
        self, request: records.Request, target: records.Target, proven: bool
    ) -> Report:
        fingerprint = request.body_digest
        apart = self.isolated_runs.get(fingerprint) == target.name
        if apart:
            del self.isolated_runs[fingerprint]
        # A crash that may condemn the request is confirmed first.
        proven = proven and not apart
        crash = suspects.Crash(target.name, target.incarnation, apart, proven)
        return Report(_key(request), fingerprint, crash)

    async def _is_blamed(self, report: Report, seconds: float) -> bool:
        """Return whether the request may have caused the crash."""
        if self.recent_deaths.correlated(self.clock()):
            self.metrics.count("suspects.many-deaths")
            return False
        plausible = await self.client.add_running(
            report.crash, report.fingerprint, seconds
        )
        if not plausible:
            self.metrics.count("suspects.crashed-before")
        return plausible

    async def _report(self, report: Report) -> bool:
        """Report a crash; return whether a holder acknowledged it."""
        reply = await self.client.report(
            report.key, report.fingerprint, report.crash
        )
        if reply is None:
            self.metrics.count("suspects.unsent")
            return False
        report.earlier = [
            crash
            for crash in reply.crashes
            if crash.target != report.crash.target
        ]
        if reply.condemned:
            # In its own task: the caller's answer must not wait for keepers
            # without a quorum.
            self._start(self._propose_quarantine(report))
        return True

    async def _settle(
        self,
        report: Report,
        target: records.Target,
        inquiry: liveness.Inquiry | None,
        acknowledged: bool,
    ) -> None:
        """Repeat a lost report, and settle the crash if it is not proven."""
        for _ in range(MAX_REPEATS):
            if acknowledged:
                break
            await asyncio.sleep(REPEAT_SECONDS)
            if report.fingerprint not in self.own_reports:
                # Cleared by a completed run.
                return
            acknowledged = await self._report(report)
        if report.crash.proven:
            return
        if inquiry is None:
            await self._confirm(report)
            return
        verdict = await self._final_verdict(report, target, inquiry)
        if verdict is liveness.Verdict.ALIVE:
            self._withdraw(report)
        elif verdict is liveness.Verdict.DEAD:
            await self._confirm(report)

    async def _final_verdict(
        self,
        report: Report,
        target: records.Target,
        inquiry: liveness.Inquiry,
    ) -> liveness.Verdict:
        """Wait until `target` stays alive or has ended."""
        verdict = await inquiry.settle()
        if verdict is liveness.Verdict.ALIVE:
            # It is given requests again, which may crash it.
            self.client.discard_record(report.crash)
            await self._wait_for_loss()
            if self._was_replaced(target):
                return liveness.Verdict.DEAD
            if self.get_target(target.name) is None:
                # Lost since it answered.
                again = liveness.Inquiry(target)
                return await self._final_verdict(report, target, again)
        return verdict

    async def _wait_for_loss(self) -> None:
        """Wait until a target that has ended would be lost or replaced."""
        lease = self.config().preset.lease_seconds
        await asyncio.sleep(lease + RESTART_SECONDS)

    async def _confirm(self, report: Report) -> None:
        """Settle a crash that is proven by now.

        An isolated run counts only if no other request can be the cause.
        """
        crash = dataclasses.replace(report.crash, proven=True)
        if crash.apart:
            # The loss of a whole rack shows in the table within this time,
            # and other routers report what ran on the target.
            await asyncio.sleep(self.confirm_seconds)
            if self.recent_deaths.correlated(self.clock()):
                self.metrics.count("suspects.many-deaths")
                self._withdraw(report)
                return
            crash.apart = await self._is_only_cause(report)
        logs.event(
            log,
            "crash.settled",
            fingerprint=report.fingerprint,
            target=crash.target,
            apart=crash.apart,
        )
        if await self.client.settle(report.key, report.fingerprint, crash):
            await self._propose_quarantine(report)

    async def _is_only_cause(self, report: Report) -> bool:
        """Return whether no other request can have caused two crashes.

        A crash for which another request was condemned does not count. One
        that ran on both targets may be the cause as well, if nobody suspected
        it when the second target crashed.
        """
        itself = report.fingerprint
        last = await self.client.crash_record(report.crash)
        if last.cause not in ("", itself):
            return False
        unexplained = False
        for crash in report.earlier:
            earlier = await self.client.crash_record(crash)
            if earlier.cause not in ("", itself):
                continue
            unexplained = True
            common = set(last.fingerprints) & set(earlier.fingerprints)
            if common - {itself}:
                return False
        return unexplained

    async def _watch(self, request, target, inquiry, seconds) -> None:
        started = self.clock()
        verdict = await inquiry.wait(liveness.ANSWER_SECONDS)
        if verdict is liveness.Verdict.ALIVE:
            await self._wait_for_loss()
            if self._was_replaced(target):
                inquiry = None
            elif self.get_target(target.name) is None:
                inquiry = liveness.Inquiry(target)
            else:
                return
        elapsed = self.clock() - started
        await self.report_crash(request, target, inquiry, seconds + elapsed)

    def _was_replaced(self, target: records.Target) -> bool:
        """Return whether another process runs under the target's name."""
        known = self.get_target(target.name)
        return known is not None and known.incarnation != target.incarnation

    def _withdraw(self, report: Report) -> None:
        target = report.crash.target
        logs.event(
            log,
            "crash.withdrawn",
            fingerprint=report.fingerprint,
            target=target,
        )
        self.metrics.count("suspects.withdrawn")
        self.own_reports.get(report.fingerprint, {}).pop(target, None)
        self.client.withdraw(report.key, report.fingerprint, report.crash)

    def _remember(self, report: Report) -> None:
        reported = self.own_reports.setdefault(report.fingerprint, {})
        expires = self.clock() + OWN_REPORT_SECONDS
        reported[report.crash.target] = expires
        self.own_reports.move_to_end(report.fingerprint)
        while len(self.own_reports) > MAX_OWN_REPORTS:
            self.own_reports.popitem(last=False)

    async def _propose_quarantine(self, report: Report) -> None:
        fingerprint = report.fingerprint
        logs.event(log, "request.condemned", fingerprint=fingerprint)
        self.metrics.count("suspects.condemned")
        for crash in (report.crash, *report.earlier):
            self.client.explain(crash, fingerprint)
        try:
            await self.quarantine(fingerprint)
        except errors.AmaranthringError:
            # The shards refuse the request until their entry expires.
            self.metrics.count("suspects.not-proposed")

    def _start(self, call: t.Coroutine) -> None:
        """Run `call` in a task of its own."""
        if len(self.tasks) >= MAX_TASKS:
            self.metrics.count("suspects.not-followed")
            call.close()
            return
        task = background.start("suspects", call)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def _key(request: records.Request) -> str:
    return request.chat or request.body_digest
