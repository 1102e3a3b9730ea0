"""Requests that crash targets, as seen by one router.

Runs that ended with the processes of their targets are reported to the
keepers; what the reports of all routers condemn is refused here.
"""

import asyncio
import collections
import math
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import clocks
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.forwarding import ended_targets
from amaranthring.forwarding import placement
from amaranthring.forwarding import records
from amaranthring.forwarding import suspect_trials
from amaranthring.policy import crash_evidence
from amaranthring.registry import crash_log
from amaranthring.registry import crash_messages
from amaranthring.registry import messages
from amaranthring.registry import sharing
from amaranthring.targets import pool

log = logbook.Logger(__name__)

# A suspect that has been on several crashes runs once at a time; until that
# run has ended, further sends are told to come back after this time.
TRIAL_RETRY_SECONDS = 0.5
# Bounds what a restarted keeper gets from each router.
RESENT_SECONDS = 60.0
RESENT_RUNS = 100
# Bounds the memory for verdicts of the keepers.
MAX_TOLD = 20000


class CrashGuard:
    """Reports runs that ended with their targets, and refuses the causes.

    Parameters
    ----------
    name : str
        This router.
    open_links : callable
        Returns the open links to keepers. Without any, this router judges
        by what it has seen itself.
    clock : callable
        Seconds; continues while the VM is suspended.

    Attributes
    ----------
    told : OrderedDict
        Verdict of the keepers by fingerprint, with the time at which it was
        received.
    evidence : crash_evidence.CrashEvidence
        What this router has seen itself.
    ended_targets : ended_targets.EndedTargets
        Finds out which targets have ended.
    trials : suspect_trials.SuspectTrials
        Runs of requests that have been on several crashes.
    """

    def __init__(
        self,
        name: str,
        placer: placement.Placer,
        connections: pool.Pool,
        open_links: t.Callable[[], list[links.Link]] = list,
        clock: t.Callable[[], float] = clocks.boottime,
    ):
        self.name = name
        self.ended_targets = ended_targets.EndedTargets(
            placer, connections, self._report
        )
        self.open_links = open_links
        self.clock = clock
        self.evidence = crash_evidence.CrashEvidence(clock)
        self.told: collections.OrderedDict[
            str, tuple[crash_evidence.Verdict, float]
        ] = collections.OrderedDict()
        self.trials = suspect_trials.SuspectTrials(name, open_links, clock)

    def stop(self) -> None:
        """Ask no target any more."""
        self.ended_targets.stop()

    # -- requests ----------------------------------------------------

    async def check(self, context: records.RequestContext) -> None:
        """Check that a request may be sent to a target.

        Raises
        ------
        errors.SuspectedError
            If it crashes the targets that run it, or may do so and runs
            elsewhere.
        """
        verdict = self._verdict(context)
        if verdict is None:
            return
        context.is_suspect = True
        seconds = verdict.refused_seconds
        if not seconds and verdict.count >= crash_evidence.MIN_CRASHES:
            seconds = await self._try(context)
        if not seconds:
            return
        logs.event(
            log,
            "request.suspected",
            id=context.incoming.request_id,
            fingerprint=verdict.fingerprint,
            condemned=verdict.condemned,
            seconds=round(seconds, 1),
            crashes=crash_log.describe(verdict.crashes),
        )
        raise errors.SuspectedError(
            "targets crashed while they ran this request",
            given=f"{verdict.count} crashes",
            retry_after=math.ceil(seconds * 10) / 10,
        )

    async def _try(self, context: records.RequestContext) -> float:
        """Return for how many seconds a suspect may not run; 0 if it may."""
        if context.trial:
            return TRIAL_RETRY_SECONDS if context.trial_broke_off else 0.0
        left = context.deadline - time.monotonic()
        context.trial = await self.trials.begin(context.fingerprint, left)
        if not context.trial:
            return TRIAL_RETRY_SECONDS
        # Another crash may have become known meanwhile.
        verdict = self._verdict(context)
        return verdict.refused_seconds if verdict is not None else 0.0

    def request_ended(self, context: records.RequestContext) -> None:
        """Let other sends of a request run again."""
        if context.trial:
            self.trials.end(
                context.fingerprint, context.trial, context.trial_broke_off
            )

    def completed(self, context: records.RequestContext) -> None:
        """Clear a request that a target has run without a crash."""
        if not self.told and not self.evidence.suspects.entries:
            return
        fingerprint = context.fingerprint
        told = self._told(fingerprint)
        known = self.evidence.clear(fingerprint)
        if known or (told is not None and not told.condemned):
            self.told.pop(fingerprint, None)
            self._send(crash_messages.SuspectsCompleted([fingerprint]))

    def broke_off(
        self,
        context: records.RequestContext,
        target: messages.TargetRecord,
        seconds: float,
    ) -> None:
        """Record that `target` broke off a run.

        Parameters
        ----------
        seconds : float
            Time since the request was sent.
        """
        context.trial_broke_off = bool(context.trial)
        run = ended_targets.BrokenRun(
            context.fingerprint,
            seconds,
            self.clock(),
            tuple(part.id for part in context.incoming.parts[:-1]),
        )
        self.ended_targets.broke_off(target, run)

    def _verdict(
        self, context: records.RequestContext
    ) -> crash_evidence.Verdict | None:
        if not self.told and not self.evidence.suspects.entries:
            return None
        fingerprint = context.fingerprint
        known = [
            self._told(fingerprint),
            self.evidence.verdict(fingerprint),
        ]
        return max(
            filter(None, known),
            key=lambda verdict: (
                verdict.refused_seconds,
                verdict.count,
            ),
            default=None,
        )

    def _told(self, fingerprint: str) -> crash_evidence.Verdict | None:
        """Return the verdict of the keepers as of now."""
        verdict, told_at = self.told.get(fingerprint, (None, 0.0))
        if verdict is None:
            return None
        current = verdict.later(self.clock() - told_at)
        if current.seconds <= 0:
            del self.told[fingerprint]
            return None
        return current

    # -- keepers -----------------------------------------------------

    def add_keeper(self, link: links.Link) -> None:
        """Tell a keeper on a new link what it may not know."""
        runs = self.evidence.runs(RESENT_SECONDS, RESENT_RUNS)
        if runs:
            sharing.send_if_open(link, crash_messages.LostRuns(runs))
        known = [self._told(fingerprint) for fingerprint in list(self.told)]
        condemned = [v for v in known if v is not None and v.condemned]
        if condemned:
            sharing.send_if_open(link, crash_messages.Verdicts(condemned))

    def on_verdicts(
        self, _link: links.Link, message: crash_messages.Verdicts
    ) -> None:
        """Heed the verdicts of a keeper."""
        now = self.clock()
        for verdict in message.verdicts:
            self._heed(verdict, now)
        while len(self.told) > MAX_TOLD:
            self.told.popitem(last=False)

    def _heed(self, verdict: crash_evidence.Verdict, now: float) -> None:
        known = self._told(verdict.fingerprint)
        if verdict.withdrawn:
            self.evidence.forget(verdict.fingerprint)
        elif known is not None and known.condemned:
            return
        if not verdict.count:
            if known is not None:
                del self.told[verdict.fingerprint]
                crash_log.log_verdict(verdict)
            return
        # Keepers judge the same crashes at slightly different times.
        refused_before = known.refused_seconds if known is not None else 0.0
        if refused_before > verdict.refused_seconds and not verdict.withdrawn:
            return
        self.told[verdict.fingerprint] = verdict, now
        is_new = known is None or known.count < verdict.count
        if is_new or (verdict.refused_seconds and not refused_before):
            crash_log.log_verdict(verdict)

    def _report(
        self,
        target: messages.TargetRecord,
        broken: list[ended_targets.BrokenRun],
    ) -> None:
        now = self.clock()
        runs = [
            crash_evidence.Run(
                run.fingerprint,
                target.id,
                run.seconds,
                now - run.at,
                self.name,
            )
            for run in sorted(broken, key=lambda run: -run.seconds)
        ]
        new = [run for run in runs if self.evidence.add(run)]
        logs.event(
            log,
            "target.crashed",
            target=target.id,
            service=target.service,
            requests=len(runs),
            counted=len(new),
            lost=ended_targets.describe(broken),
            age=round(max(run.age for run in runs), 3),
        )
        if new:
            self._send(crash_messages.LostRuns(new))
        loop = asyncio.get_running_loop()
        loop.call_later(crash_evidence.JUDGE_SECONDS, self._judge)

    def _judge(self) -> None:
        """Judge by what this router has seen, if no keeper does.

        It sees only some of the requests, so keepers judge better.
        """
        if self.open_links():
            self.evidence.due.clear()
            self.evidence.changed.clear()
            return
        self.evidence.judge()
        for verdict in self.evidence.take_changes():
            crash_log.log_verdict(verdict)

    def _send(self, message: t.Any) -> None:
        for link in self.open_links():
            sharing.send_if_open(link, message)
