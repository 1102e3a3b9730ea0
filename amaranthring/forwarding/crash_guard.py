"""Requests that crash targets, as seen by one router.

Runs that ended with the processes of their targets are reported to the
keepers by the features of their requests; requests with features that the
reports of all routers condemn are refused here.
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
from amaranthring.forwarding import crash_features
from amaranthring.forwarding import ended_targets
from amaranthring.forwarding import lost_runs
from amaranthring.forwarding import placement
from amaranthring.forwarding import records
from amaranthring.forwarding import suspect_trials
from amaranthring.policy import completions
from amaranthring.policy import crash_evidence
from amaranthring.registry import crash_log
from amaranthring.registry import crash_messages
from amaranthring.registry import messages
from amaranthring.registry import sharing
from amaranthring.targets import pool

log = logbook.Logger(__name__)

# Requests with a feature that has been on several crashes run one at a time;
# until that run has ended, others are told to come back after this time.
TRIAL_RETRY_SECONDS = 0.5
# Bounds what a restarted keeper gets from each router.
RESENT_SECONDS = 60.0
RESENT_RUNS = 100
# Bounds the memory for verdicts of the keepers.
MAX_TOLD = 20000
# Bounds the memory for targets that may have ended.
MAX_UNPROVEN = 1000
# From this status on an answer does not show that the request was run.
MIN_FAILED_STATUS = 500


def _runs_alone(verdict: crash_evidence.Verdict) -> bool:
    """Return whether requests with the feature run one at a time."""
    return verdict.count >= crash_evidence.MIN_CRASHES


def _is_cleared(verdict: crash_evidence.Verdict, age: float) -> bool:
    """Return whether a completion counts against the verdict.

    A feature that is condemned may complete later in a duplicate that was
    sent earlier.

    Parameters
    ----------
    age : float
        Seconds since the completion.
    """
    if not verdict.condemned:
        return bool(verdict.count)
    return any(note.age < age for note in verdict.crashes)


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
        Verdict of the keepers by fingerprint of the feature, with the time at
        which it was received.
    completions : completions.Completions
        When requests with a shared feature last completed here.
    evidence : crash_evidence.CrashEvidence
        What this router has seen itself, of targets that have ended.
    unproven : OrderedDict
        Runs on others that it has reported, with the time of the report, by
        the id of the target. Only keepers judge by them, as they hear whether
        a target goes on announcing itself.
    ended_targets : ended_targets.EndedTargets
        Finds out which targets have ended.
    trials : suspect_trials.SuspectTrials
        Runs with features that have been on several crashes.
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
            placer, connections, self._report, self._withdraw
        )
        self.unproven: collections.OrderedDict[
            str, list[tuple[crash_evidence.Run, float]]
        ] = collections.OrderedDict()
        self.open_links = open_links
        self.clock = clock
        self.evidence = crash_evidence.CrashEvidence(clock)
        self.completions = completions.Completions(clock)
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
            If it has what crashes the targets that run it, or what may do so
            and runs elsewhere.
        """
        suspected = self._suspected(context)
        if not suspected:
            return
        context.is_suspect = True
        self._check_refused(context, suspected)
        for verdict in filter(_runs_alone, suspected):
            if not await self._try(context, verdict.fingerprint):
                self._refuse(context, verdict, TRIAL_RETRY_SECONDS)
        # Another crash may have become known meanwhile.
        self.check_send(context)

    def check_repeat(self, context: records.RequestContext) -> None:
        """Check that a request may run again if a target broke it off.

        Raises
        ------
        errors.SuspectedError
            If a second target may end under it as well.
        """
        suspected = self._suspected(context) if context.broke_off else []
        if suspected:
            self._refuse(context, suspected[0], TRIAL_RETRY_SECONDS)

    def check_send(self, context: records.RequestContext) -> None:
        """Check once more right before a request is sent.

        Raises
        ------
        errors.SuspectedError
            As :meth:`check`.
        """
        suspected = self._suspected(context)
        self._check_refused(context, suspected)
        for verdict in filter(_runs_alone, suspected):
            if verdict.fingerprint not in context.trials:
                self._refuse(context, verdict, TRIAL_RETRY_SECONDS)

    def may_run_twice(self, context: records.RequestContext) -> bool:
        """Return whether a second target may run a request beside the first.

        Requests that run alone may not, nor those that are refused, nor
        suspects that a target has broken off.
        """
        return not any(
            verdict.refused_seconds
            or _runs_alone(verdict)
            or context.broke_off
            for verdict in self._suspected(context)
        )

    def _check_refused(
        self,
        context: records.RequestContext,
        suspected: list[crash_evidence.Verdict],
    ) -> None:
        """Refuse a request that has all of what is refused together."""
        features = set(crash_features.of_request(context))
        for verdict in suspected:
            if verdict.refused_seconds and features.issuperset(
                verdict.together
            ):
                self._refuse(context, verdict, verdict.refused_seconds)

    def _refuse(
        self,
        context: records.RequestContext,
        verdict: crash_evidence.Verdict,
        seconds: float,
    ) -> t.NoReturn:
        logs.event(
            log,
            "request.suspected",
            id=context.incoming.request_id,
            feature=verdict.fingerprint,
            together=verdict.together,
            condemned=verdict.condemned,
            seconds=round(seconds, 1),
            count=verdict.count,
            crashes=crash_log.describe(verdict.crashes),
        )
        raise errors.SuspectedError(
            "targets crashed while they ran requests like this one",
            given=f"{verdict.count} crashes",
            retry_after=math.ceil(seconds * 10) / 10,
        )

    async def _try(
        self, context: records.RequestContext, fingerprint: str
    ) -> bool:
        """Return whether a request may run as the only one with a suspect."""
        sends = len(context.sent_after)
        if fingerprint in context.trials:
            return sends == context.trial_sends
        left = context.deadline - time.monotonic()
        holder = await self.trials.begin(fingerprint, left)
        if holder:
            context.trials[fingerprint] = holder
            context.trial_sends = sends
        return bool(holder)

    def request_ended(self, context: records.RequestContext) -> None:
        """Let other requests with the same suspects run again."""
        for fingerprint, holder in context.trials.items():
            self.trials.end(fingerprint, holder, context.broke_off)

    def completed(self, context: records.RequestContext, status: int) -> None:
        """Clear the features of a request that a target has run.

        Parameters
        ----------
        status : int
            Of the target's answer.
        """
        if status >= MIN_FAILED_STATUS:
            return
        self.completions.note(crash_features.shared(context))
        if not self.told and not self.evidence.suspects.entries:
            return
        features = crash_features.of_request(context)
        told = [name for name in features if self._told(name) is not None]
        if not self.evidence.complete(features) and not told:
            return
        for fingerprint in told:
            if not self.told[fingerprint][0].condemned:
                del self.told[fingerprint]
        self._send(crash_messages.SuspectsCompleted(list(features)))

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
        context.broke_off = True
        self._doubt(context, target, seconds, given_up=False)

    def gave_up(
        self,
        context: records.RequestContext,
        target: messages.TargetRecord,
        seconds: float,
    ) -> None:
        """Record that this router waits no longer for a run on `target`.

        Parameters
        ----------
        seconds : float
            Time since the request was sent.
        """
        logs.event(
            log,
            "run.given-up",
            id=context.incoming.request_id,
            target=target.id,
            seconds=round(seconds, 3),
        )
        self._doubt(context, target, seconds, given_up=True)

    def _doubt(
        self,
        context: records.RequestContext,
        target: messages.TargetRecord,
        seconds: float,
        given_up: bool,
    ) -> None:
        """Find out whether `target` has ended under a run that was lost."""
        features = crash_features.of_request(context)
        run = ended_targets.LostRun(
            features, seconds, time.monotonic(), given_up
        )
        self.ended_targets.add(target, run)

    def note_refused(self, target: messages.TargetRecord) -> None:
        """Record that `target` refused a connection."""
        self.ended_targets.note_refused(target)

    def note_replaced(self, target: messages.TargetRecord) -> None:
        """Record that another target answered at the address of `target`."""
        self.ended_targets.note_replaced(target)

    def _suspected(
        self, context: records.RequestContext
    ) -> list[crash_evidence.Verdict]:
        """Return the verdicts on features of a request."""
        if not self.told and not self.evidence.suspects.entries:
            return []
        found = map(self._verdict, crash_features.of_request(context))
        return [verdict for verdict in found if verdict is not None]

    def _verdict(self, fingerprint: str) -> crash_evidence.Verdict | None:
        known = [
            self._told(fingerprint),
            self.evidence.verdict(fingerprint),
        ]
        verdict = max(
            filter(None, known),
            key=lambda verdict: (
                verdict.refused_seconds,
                verdict.count,
            ),
            default=None,
        )
        if verdict is None or verdict.condemned:
            return verdict
        # Keepers may not know yet that it is sound; on_verdicts tells them.
        is_sound = self._completed_age(fingerprint) is not None
        if is_sound and verdict.count < crash_evidence.MIN_SOUND_CRASHES:
            return None
        return verdict

    def _completed_age(self, fingerprint: str) -> float | None:
        """Return when a feature completed here, if that makes it sound."""
        age = self.completions.age(fingerprint)
        return age if age < crash_evidence.SOUND_SECONDS else None

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
        runs += self._unproven_runs()[: RESENT_RUNS - len(runs)]
        for run in runs:
            completed = self.completions.age(run.fingerprint)
            run.completed = min(run.completed, completed)
        if runs:
            sharing.send_if_open(link, crash_messages.LostRuns(runs))
            asyncio.get_running_loop().call_later(
                suspect_trials.JUDGED_SECONDS,
                self._leave_to_keepers,
                link,
                {run.fingerprint for run in runs},
            )
        known = [self._told(fingerprint) for fingerprint in list(self.told)]
        condemned = [v for v in known if v is not None and v.condemned]
        if condemned:
            sharing.send_if_open(link, crash_messages.Verdicts(condemned))

    def _leave_to_keepers(self, link: links.Link, told: set[str]) -> None:
        """Condemn no longer what a keeper was told of and has judged.

        Parameters
        ----------
        link : links.Link
            To that keeper; once it has closed, the verdicts stay.
        told : set of str
            Fingerprints of the features.
        """
        if link not in self.open_links():
            return
        recent = self.evidence.condemned_within(
            RESENT_SECONDS + suspect_trials.JUDGED_SECONDS
        )
        for fingerprint in told.intersection(recent):
            self.evidence.acquit(fingerprint)
            logs.event(log, "suspect.left-to-keepers", fingerprint=fingerprint)

    def on_verdicts(
        self, link: links.Link, message: crash_messages.Verdicts
    ) -> None:
        """Heed the verdicts of a keeper."""
        now = self.clock()
        for verdict in message.verdicts:
            self._heed(verdict, now)
            age = self._completed_age(verdict.fingerprint)
            if age is not None and _is_cleared(verdict, age):
                sharing.send_if_open(
                    link,
                    crash_messages.SuspectsCompleted(
                        [verdict.fingerprint], age
                    ),
                )
        while len(self.told) > MAX_TOLD:
            self.told.popitem(last=False)

    def _heed(self, verdict: crash_evidence.Verdict, now: float) -> None:
        known = self._told(verdict.fingerprint)
        if verdict.withdrawn:
            self.evidence.forget(verdict.fingerprint)
        elif known is not None and known.condemned:
            self._narrow_condemned(verdict, known, now)
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

    def _narrow_condemned(
        self,
        verdict: crash_evidence.Verdict,
        known: crash_evidence.Verdict,
        now: float,
    ) -> None:
        """Heed what tells a condemned feature from those it was with."""
        if not known.together:
            # Another keeper may have lost what condemned it.
            return
        if verdict.condemned and set(verdict.together) < set(known.together):
            self.told[verdict.fingerprint] = verdict, now
        elif not verdict.count:
            del self.told[verdict.fingerprint]
        else:
            return
        crash_log.log_verdict(verdict)

    def _report(
        self,
        target: messages.TargetRecord,
        lost: list[ended_targets.LostRun],
        proven: bool,
    ) -> None:
        runs = lost_runs.by_feature(
            lost, target.id, self.name, proven, self.completions
        )
        if not proven:
            self._report_unproven(target, lost, runs)
            return
        self.unproven.pop(target.id, None)
        new = [run for run in runs if self.evidence.add(run)]
        logs.event(
            log,
            "target.crashed",
            target=target.id,
            service=target.service,
            requests=len(lost),
            features=len(runs),
            counted=len(new),
            lost=ended_targets.describe(lost),
            age=round(max(run.age for run in runs), 3),
        )
        if new:
            self._send(crash_messages.LostRuns(runs))
        loop = asyncio.get_running_loop()
        loop.call_later(crash_evidence.JUDGE_SECONDS, self._judge)

    def _report_unproven(
        self,
        target: messages.TargetRecord,
        lost: list[ended_targets.LostRun],
        runs: list[crash_evidence.Run],
    ) -> None:
        """Report what `target` may have ended under."""
        logs.event(
            log,
            "target.suspected",
            target=target.id,
            service=target.service,
            requests=len(lost),
            features=len(runs),
            lost=ended_targets.describe(lost),
        )
        now = self.clock()
        known = self.unproven.setdefault(target.id, [])
        known += [(run, now) for run in runs]
        while len(self.unproven) > MAX_UNPROVEN:
            self.unproven.popitem(last=False)
        self._send(crash_messages.LostRuns(runs))

    def _withdraw(self, target: messages.TargetRecord) -> None:
        """Withdraw what was reported of a target that lives."""
        self.unproven.pop(target.id, None)
        logs.event(
            log, "target.lives", target=target.id, service=target.service
        )
        self._send(crash_messages.TargetLives(target.id))

    def _unproven_runs(self) -> list[crash_evidence.Run]:
        """Return the runs of the last time that are not proven, as of now."""
        now = self.clock()
        return [
            run.later(now - reported_at)
            for known in self.unproven.values()
            for run, reported_at in known
            if run.age + now - reported_at <= RESENT_SECONDS
        ]

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
