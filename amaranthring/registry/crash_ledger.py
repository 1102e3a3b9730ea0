"""The keeper's side of finding what crashes targets.

Requests that share the cause come to any router, so no router sees enough of
its crashes. Each router reports to every keeper that it reaches; each keeper
judges by itself and tells its routers. What one keeper lost with its process
comes back from the routers, and the other way round.
"""

import asyncio
import collections
import dataclasses
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import logs
from amaranthring.policy import crash_evidence
from amaranthring.policy import trials
from amaranthring.registry import crash_log
from amaranthring.registry import crash_messages
from amaranthring.registry import messages
from amaranthring.registry import publisher
from amaranthring.registry import sharing
from amaranthring.registry import targets

log = logbook.Logger(__name__)

# Bounds what is kept over a loss of power: the newest runs, of crashes that
# still count (`suspects.SUSPECT_SECONDS`).
KEPT_SECONDS = 600.0
KEPT_RUNS = 200
# Many routers report the same crash, and all are told of what follows at once.
PUBLISH_SECONDS = 0.05


# A target lives that has announced itself so often, over so many of its
# intervals, since its crash was reported. Announcements of a process that has
# ended may arrive late, but not so many of them.
ALIVE_ANNOUNCEMENTS = 4
ALIVE_INTERVALS = 3.0
# Runs that are lost within this time are lost by the same crash.
LOSS_SECONDS = 1.0
# Targets whose crashes are watched at once.
MAX_WATCHED = 1000


@dataclasses.dataclass
class Watch:
    """A target that was reported as ended, or as one that may have ended.

    Attributes
    ----------
    sequence : int
        Of its last announcement by then; -1 if that is not known yet.
    since : float
        When runs on it were lost, in seconds.
    """

    sequence: int
    since: float


class CrashLedger:
    """Collects reports of crashes and publishes verdicts to the routers.

    Parameters
    ----------
    handlers : links.Handlers
        Of the keeper's listener.
    routers : callable
        Returns the links to the routers.
    clock : callable
        Seconds; continues while the VM is suspended.

    Attributes
    ----------
    watched : OrderedDict of str to Watch
        Targets that were reported as ended and may prove to live.
    """

    def __init__(
        self,
        handlers: links.Handlers,
        routers: t.Callable[[], t.Iterable[links.Link]],
        clock: t.Callable[[], float],
    ):
        self.routers = routers
        self.evidence = crash_evidence.CrashEvidence(clock)
        self.trials = trials.TrialTable(clock)
        self.clock = clock
        self.watched: collections.OrderedDict[str, Watch] = (
            collections.OrderedDict()
        )
        self.judge_handle: asyncio.TimerHandle | None = None
        self.publish_handle: asyncio.TimerHandle | None = None
        handlers.add(crash_messages.LostRuns, self._on_runs)
        handlers.add(crash_messages.TargetLives, self._on_target_lives)
        handlers.add(crash_messages.SuspectsCompleted, self._on_completed)
        handlers.add(crash_messages.Verdicts, self._on_verdicts)
        handlers.add(crash_messages.BeginTrial, self._on_trial)
        handlers.add(crash_messages.EndTrial, self._on_trial_ended)

    def add_router(self, link: links.Link) -> None:
        """Tell a router that has just linked what is known."""
        verdicts = self.evidence.verdicts()
        if verdicts:
            sharing.send_if_open(link, crash_messages.Verdicts(verdicts))

    def condemned(self) -> list[crash_evidence.Verdict]:
        """Return the verdicts to keep over a loss of power."""
        return [v for v in self.evidence.verdicts() if v.condemned]

    def runs(self) -> list[crash_evidence.Run]:
        """Return the runs to keep over a loss of power."""
        return self.evidence.runs(KEPT_SECONDS, KEPT_RUNS)

    def restore(
        self,
        condemned: list[crash_evidence.Verdict],
        runs: list[crash_evidence.Run],
        age: float,
    ) -> None:
        """Take over what was kept `age` seconds ago."""
        for verdict in condemned:
            if verdict.seconds > age:
                self.evidence.adopt(verdict.later(age))
        for run in runs:
            self.evidence.add(run.later(age))
            # Its target may prove to live, as before the restart.
            self._watch(run.target, self.clock() - run.age - age)
        self._follow_up()

    def stop(self) -> None:
        """Judge no more."""
        for handle in (self.judge_handle, self.publish_handle):
            if handle is not None:
                handle.cancel()

    def _on_runs(
        self, link: links.Link, message: crash_messages.LostRuns
    ) -> None:
        _require_router(link)
        crash_log.log_ignored(self.evidence, message.runs)
        new = [run for run in message.runs if self.evidence.add(run)]
        if not new:
            return
        for run in new:
            self._watch(run.target, self.clock() - run.age)
        while len(self.watched) > MAX_WATCHED:
            self.watched.popitem(last=False)
        logs.event(
            log,
            "crash.reported",
            router=link.peer.name,
            targets=sorted({run.target for run in new}),
            features=len(new),
            age=round(max(run.age for run in new), 3),
            proven=all(run.proven for run in new),
        )
        self._follow_up()

    def _watch(self, target_id: str, lost_at: float) -> None:
        """Watch a target that has lost runs at `lost_at`.

        What it announced before the last of them does not show that it lives.
        """
        known = self.watched.get(target_id)
        if known is None or lost_at > known.since + LOSS_SECONDS:
            self.watched[target_id] = Watch(-1, lost_at)

    def withdraw_living(
        self, table: targets.TargetTable, announce_seconds: float
    ) -> None:
        """Withdraw the crashes of targets that go on announcing themselves.

        A router that loses its paths may take live targets for ended ones.
        """
        for target_id, watch in list(self.watched.items()):
            entry = table.entries.get(target_id)
            if entry is None or entry.gone_at:
                del self.watched[target_id]
            elif entry.record.silent:
                self.watched[target_id] = Watch(-1, self.clock())
            elif watch.sequence < 0:
                watch.sequence = entry.record.sequence
            elif (
                entry.record.sequence >= watch.sequence + ALIVE_ANNOUNCEMENTS
                and self.clock() - watch.since
                >= ALIVE_INTERVALS * announce_seconds
            ):
                self._withdraw(target_id)

    def _on_target_lives(
        self, link: links.Link, message: crash_messages.TargetLives
    ) -> None:
        _require_router(link)
        if message.target in self.evidence.unproven:
            self._withdraw(message.target)

    def _withdraw(self, target_id: str) -> None:
        self.watched.pop(target_id, None)
        fingerprints = self.evidence.withdraw(target_id)
        logs.event(
            log,
            "crash.withdrawn",
            target=target_id,
            features=len(fingerprints),
        )
        if fingerprints:
            self._follow_up()

    def _on_completed(
        self, link: links.Link, message: crash_messages.SuspectsCompleted
    ) -> None:
        _require_router(link)
        for fingerprint in message.fingerprints:
            self.trials.clear(fingerprint)
        cleared = self.evidence.complete(message.fingerprints, message.age)
        for fingerprint in cleared:
            logs.event(
                log,
                "suspect.cleared",
                fingerprint=fingerprint,
                router=link.peer.name,
                age=round(message.age, 3),
            )
        self._follow_up()

    def _on_verdicts(
        self, link: links.Link, message: crash_messages.Verdicts
    ) -> None:
        _require_router(link)
        for verdict in message.verdicts:
            self.evidence.adopt(verdict)
        self._follow_up()

    def _on_trial(
        self, link: links.Link, message: crash_messages.BeginTrial
    ) -> crash_messages.TrialBegun:
        _require_router(link)
        begins = self.trials.begin(
            message.fingerprint, message.holder, message.seconds
        )
        return crash_messages.TrialBegun(begins)

    def _on_trial_ended(
        self, link: links.Link, message: crash_messages.EndTrial
    ) -> None:
        _require_router(link)
        self.trials.end(
            message.fingerprint, message.holder, message.hold_seconds
        )

    def _follow_up(self) -> None:
        """Judge and publish a little later what was reported."""
        loop = asyncio.get_running_loop()
        if self.publish_handle is None:
            self.publish_handle = loop.call_later(
                PUBLISH_SECONDS, self._publish
            )
        if self.evidence.due and self.judge_handle is None:
            self._judge_later()

    def _judge_later(self) -> None:
        self.judge_handle = asyncio.get_running_loop().call_later(
            crash_evidence.JUDGE_SECONDS, self._judge
        )

    def _judge(self) -> None:
        self.judge_handle = None
        self.evidence.judge()
        self._publish()
        if self.evidence.due:
            self._judge_later()

    def _publish(self) -> None:
        if self.publish_handle is not None:
            self.publish_handle.cancel()
            self.publish_handle = None
        verdicts = self.evidence.take_changes()
        if not verdicts:
            return
        for verdict in verdicts:
            crash_log.log_verdict(verdict)
        message = crash_messages.Verdicts(verdicts)
        publisher.broadcast(self.routers(), message)


def _require_router(link: links.Link) -> None:
    if link.peer.role != messages.ROUTER_ROLE:
        raise errors.ForbiddenError(
            "only routers may report crashes",
            given=link.peer.role,
            expected="a router",
        )
