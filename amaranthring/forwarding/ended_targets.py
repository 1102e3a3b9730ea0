"""Which targets have ended, of those that runs were lost on.

A target may break off a connection and live on, a process that ends may keep
its listener for a while, and a run may have been given up right before its
target ended. Whether a target has ended is asked apart from the requests that
ran there, whose callers get their answers at once. Until it is known, runs
that a target broke off count as if it had ended.
"""

import asyncio
import collections
import dataclasses
import math
import time
import typing as t

import logbook

from amaranthring.core import background
from amaranthring.core import logs
from amaranthring.forwarding import placement
from amaranthring.registry import messages
from amaranthring.targets import liveness
from amaranthring.targets import pool

log = logbook.Logger(__name__)

# The connections of a process that ended break within this time.
SETTLE_SECONDS = 0.02
# A process that ends may keep some connections for a while, so a target counts
# as alive only if it shows so later than this.
ENDING_SECONDS = 1.0
# Pause between the first two attempts to connect; each later one is twice as
# long.
FIRST_PAUSE_SECONDS = 0.05
# After this time no more connections are tried.
LAST_TRY_SECONDS = 3.0
# Time after the last lost run in which a target is watched. Later, only its
# announcements can show that it lives, which keepers watch.
MAX_SECONDS = 10.0
# Time in which routers hear of requests that a target turned away elsewhere.
REPORTED_REFUSALS_SECONDS = 0.6
# Ended targets that are remembered, for runs that are lost late.
MAX_ENDED = 1000
# Bounds the memory for one target while it is doubted.
MAX_LOST_RUNS = 512
# Bounds the log line of one crash.
MAX_LOGGED_RUNS = 20


@dataclasses.dataclass
class LostRun:
    """A run without a whole answer.

    Attributes
    ----------
    features : tuple of str
        Fingerprints of what the request may share with others, and its own.
    seconds : float
        From sending the request.
    at : float
        When the connection was closed, in monotonic seconds.
    given_up : bool
        Whether this router closed it, rather than the target.
    reported : bool
        Whether it was reported without proof.
    """

    features: tuple[str, ...]
    seconds: float
    at: float
    given_up: bool = False
    reported: bool = False


def describe(runs: list[LostRun]) -> str:
    """Return ``feature+feature`` of each run, for the log."""
    return ",".join("+".join(run.features) for run in runs[:MAX_LOGGED_RUNS])


@dataclasses.dataclass
class Doubt:
    """A target that may have ended.

    Attributes
    ----------
    runs : list of LostRun
        Runs that it may have ended under.
    refused : bool
        Whether it has refused a connection since.
    replaced : bool
        Whether another target has answered at its address since.
    changed : asyncio.Event
        Set when there is something new to judge by.
    """

    target: messages.TargetRecord
    runs: list[LostRun] = dataclasses.field(default_factory=list)
    refused: bool = False
    replaced: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def add(self, run: LostRun) -> None:
        """Add a run; one that was given up makes room for it if need be."""
        if len(self.runs) >= MAX_LOST_RUNS:
            given_up = (r for r in self.runs if r.given_up)
            oldest = next(given_up, None)
            if oldest is None:
                return
            self.runs.remove(oldest)
        self.runs.append(run)
        if not run.given_up:
            self.changed.set()

    @property
    def broke_off_at(self) -> float:
        """Return when the target last broke off a run."""
        times = (run.at for run in self.runs if not run.given_up)
        return max(times, default=float("-inf"))


# Called with a target, runs that it may have ended under, and whether it is
# known to have ended.
Report = t.Callable[[messages.TargetRecord, list[LostRun], bool], None]


class EndedTargets:
    """Finds out whether targets on which runs were lost have ended.

    Parameters
    ----------
    report : callable
        Called with runs that count, see :data:`Report`.
    withdraw : callable
        Called with a target that lives although runs on it were reported.

    Attributes
    ----------
    doubts : dict
        What is not known yet, by the id of the target.
    ended : OrderedDict
        Ids of the targets that have ended.
    """

    def __init__(
        self,
        placer: placement.Placer,
        connections: pool.Pool,
        report: Report,
        withdraw: t.Callable[[messages.TargetRecord], None],
    ):
        self.placer = placer
        self.connections = connections
        self.report = report
        self.withdraw = withdraw
        self.doubts: dict[str, Doubt] = {}
        self.ended: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.tasks: set[asyncio.Task] = set()

    def stop(self) -> None:
        """Judge no target any more."""
        for task in self.tasks:
            task.cancel()

    def add(self, target: messages.TargetRecord, run: LostRun) -> None:
        """Add a run that was lost on `target`."""
        if target.id in self.ended:
            self.report(target, [run], True)
        elif target.id in self.doubts:
            self.doubts[target.id].add(run)
        elif target.id in self.placer.table.entries and not self._has_left(
            target
        ):
            doubt = self.doubts[target.id] = Doubt(target)
            doubt.add(run)
            task = background.start("doubt", self._settle(doubt))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def note_refused(self, target: messages.TargetRecord) -> None:
        """Record that `target` refused a connection."""
        doubt = self.doubts.get(target.id)
        if doubt is not None:
            doubt.refused = True
            doubt.changed.set()

    def note_replaced(self, target: messages.TargetRecord) -> None:
        """Record that another target answered at the address of `target`."""
        doubt = self.doubts.get(target.id)
        if doubt is not None:
            doubt.replaced = True
            doubt.changed.set()

    async def _settle(self, doubt: Doubt) -> None:
        target = doubt.target
        logs.event(
            log,
            "target.doubted",
            target=target.id,
            service=target.service,
            lost=describe(doubt.runs),
            given_up=doubt.runs[0].given_up,
            unreached=self.placer.paths.is_lost(target.service),
        )
        try:
            verdict = await self._judge(doubt)
        finally:
            del self.doubts[target.id]
        if verdict is liveness.Verdict.DEAD:
            if await self._fell_over(target):
                self._withdraw(doubt)
                return
            self.ended[target.id] = None
            while len(self.ended) > MAX_ENDED:
                self.ended.popitem(last=False)
            self.report(target, doubt.runs, True)
        elif verdict is liveness.Verdict.ALIVE:
            self._withdraw(doubt)

    async def _judge(self, doubt: Doubt) -> liveness.Verdict:
        """Return whether the target has ended; ``SILENT`` without proof."""
        pause = FIRST_PAUSE_SECONDS
        await asyncio.sleep(SETTLE_SECONDS)
        while True:
            doubt.changed.clear()
            verdict = await self._ask_once(doubt)
            if verdict is liveness.Verdict.SILENT:
                self._suspect(doubt)
            newest = max((run.at for run in doubt.runs), default=0.0)
            is_late = time.monotonic() - newest > MAX_SECONDS
            if verdict is not liveness.Verdict.SILENT or is_late:
                break
            if await _is_set_within(doubt.changed, pause):
                pause = FIRST_PAUSE_SECONDS
            else:
                pause = min(2 * pause, liveness.MAX_PAUSE_SECONDS)
        logs.event(
            log,
            "target.asked",
            target=doubt.target.id,
            service=doubt.target.service,
            verdict=str(verdict),
            runs=len(doubt.runs),
            reported=sum(run.reported for run in doubt.runs),
        )
        return verdict

    async def _ask_once(self, doubt: Doubt) -> liveness.Verdict:
        target = doubt.target
        if doubt.replaced:
            return liveness.Verdict.DEAD
        if self._has_left(target):
            return liveness.Verdict.ALIVE
        if not self.placer.table.holds_address(target):
            return liveness.Verdict.DEAD
        self._drop_disproved(doubt)
        if not doubt.runs:
            return liveness.Verdict.ALIVE
        if self.placer.paths.is_lost(target.service):
            # Refused connections do not show that the target has ended.
            return liveness.Verdict.SILENT
        if doubt.refused:
            return liveness.Verdict.DEAD
        seconds = time.monotonic() - doubt.broke_off_at
        if seconds > LAST_TRY_SECONDS or self._may_live(doubt):
            return liveness.Verdict.SILENT
        return await liveness.try_connection(target)

    def _drop_disproved(self, doubt: Doubt) -> None:
        """Drop the runs after which the target has shown that it lives."""
        lived_at = self._lived_at(doubt.target)
        latest = lived_at - ENDING_SECONDS
        if any(run.reported and run.at <= latest for run in doubt.runs):
            self._withdraw(doubt)
        doubt.runs = [run for run in doubt.runs if run.at > latest]

    def _lived_at(self, target: messages.TargetRecord) -> float:
        """Return when the target last showed here that it lives."""
        if self.connections.is_connected(target.id):
            return time.monotonic()
        return self.placer.views[target.id].heard_at

    def _may_live(self, doubt: Doubt) -> bool:
        """Return whether it shows some life, which may be what is left."""
        newest = max(run.at for run in doubt.runs)
        return self._lived_at(doubt.target) > newest + SETTLE_SECONDS

    def _suspect(self, doubt: Doubt) -> None:
        """Report what the target may have ended under, without proof."""
        target = doubt.target
        broke_off_at = doubt.broke_off_at
        if not (doubt.refused or math.isfinite(broke_off_at)):
            return
        if self._may_live(doubt) or self._may_have_fallen(
            target, broke_off_at
        ):
            return
        runs = [run for run in doubt.runs if not run.reported]
        for run in runs:
            run.reported = True
        if runs:
            self.report(target, runs, False)

    def _withdraw(self, doubt: Doubt) -> None:
        """Withdraw what was reported of a target that lives."""
        if any(run.reported for run in doubt.runs):
            self.withdraw(doubt.target)
        for run in doubt.runs:
            run.reported = False

    def _may_have_fallen(
        self, target: messages.TargetRecord, broke_off_at: float
    ) -> bool:
        """Return whether a target may have ended for what it refused."""
        room = self.placer.room
        is_recent = time.monotonic() - broke_off_at < REPORTED_REFUSALS_SECONDS
        return room.is_brittle(target.service) and (
            is_recent or room.fell_over(target)
        )

    async def _fell_over(self, target: messages.TargetRecord) -> bool:
        """Return whether a brittle target ended for the requests it refused.

        The runs on it have not caused that.
        """
        if not self.placer.room.is_brittle(target.service):
            return False
        if not self.placer.room.fell_over(target):
            await asyncio.sleep(REPORTED_REFUSALS_SECONDS)
        if not self.placer.room.fell_over(target):
            return False
        logs.event(
            log, "target.fell", target=target.id, service=target.service
        )
        return True

    def _has_left(self, target: messages.TargetRecord) -> bool:
        """Return whether the target has said that it ends."""
        entry = self.placer.table.entries.get(target.id)
        return entry is not None and entry.record.state != messages.State.READY


async def _is_set_within(event: asyncio.Event, seconds: float) -> bool:
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True
