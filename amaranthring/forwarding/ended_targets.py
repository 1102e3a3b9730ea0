"""Which targets have ended, of those that broke off runs.

A target may break off a connection and live on, and a process that ends may
keep its listener for a while. Whether one has ended is asked apart from the
requests that ran there, whose callers get their answers at once.
"""

import asyncio
import collections
import dataclasses
import time
import typing as t

import logbook

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
# Time in which the next incarnation may announce itself at the address. A
# target that is silent for longer has lost its VM or its network, which no
# request causes.
MAX_SECONDS = 10.0
# Time in which routers hear of requests that a target turned away elsewhere.
REPORTED_REFUSALS_SECONDS = 0.6
# Ended targets that are remembered, for breaks that show late.
MAX_ENDED = 1000
# Bounds the memory for one target while it is asked.
MAX_BROKEN_RUNS = 512
# Bounds the log line of one crash.
MAX_LOGGED_RUNS = 20


@dataclasses.dataclass
class BrokenRun:
    """A run whose connection the target broke off.

    Attributes
    ----------
    features : tuple of str
        Fingerprints of what the request may share with others, and its own.
    seconds : float
        From sending the request.
    at : float
        When the connection broke, in seconds.
    """

    features: tuple[str, ...]
    seconds: float
    at: float


def describe(runs: list[BrokenRun]) -> str:
    """Return ``feature+feature`` of each run, for the log."""
    return ",".join("+".join(run.features) for run in runs[:MAX_LOGGED_RUNS])


Report = t.Callable[[messages.TargetRecord, list[BrokenRun]], None]


class EndedTargets:
    """Asks targets that broke off runs whether they have ended.

    Parameters
    ----------
    report : callable
        Called with a target that has ended and the runs that it broke off.

    Attributes
    ----------
    broken : dict
        Runs by the target that is being asked.
    ended : OrderedDict
        Ids of the targets that have ended.
    """

    def __init__(
        self,
        placer: placement.Placer,
        connections: pool.Pool,
        report: Report,
    ):
        self.placer = placer
        self.connections = connections
        self.report = report
        self.broken: dict[str, list[BrokenRun]] = {}
        self.ended: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.tasks: set[asyncio.Task] = set()

    def stop(self) -> None:
        """Ask no target any more."""
        for task in self.tasks:
            task.cancel()

    def broke_off(self, target: messages.TargetRecord, run: BrokenRun) -> None:
        """Record that `target` broke off a run."""
        if target.id in self.ended:
            self.report(target, [run])
        elif target.id in self.broken:
            if len(self.broken[target.id]) < MAX_BROKEN_RUNS:
                self.broken[target.id].append(run)
        elif not self._has_left(target):
            self.broken[target.id] = [run]
            task = asyncio.ensure_future(self._ask(target))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _ask(self, target: messages.TargetRecord) -> None:
        broke_at = time.monotonic()
        logs.event(
            log,
            "target.doubted",
            target=target.id,
            service=target.service,
            lost=describe(self.broken[target.id]),
            unreached=self.placer.paths.is_lost(target.service),
        )
        inquiry = None
        try:
            await asyncio.sleep(SETTLE_SECONDS)
            inquiry = liveness.Inquiry(
                target,
                lambda _: self._ask_once(target, broke_at),
                FIRST_PAUSE_SECONDS,
                MAX_SECONDS,
            )
            verdict = await inquiry.settle()
        finally:
            runs = self.broken.pop(target.id)
            if inquiry is not None:
                inquiry.stop()
        if verdict is liveness.Verdict.DEAD:
            if await self._fell_over(target):
                return
            self.ended[target.id] = None
            while len(self.ended) > MAX_ENDED:
                self.ended.popitem(last=False)
            self.report(target, runs)
        elif verdict is liveness.Verdict.SILENT:
            logs.event(
                log,
                "target.undecided",
                target=target.id,
                service=target.service,
                seconds=round(time.monotonic() - broke_at, 3),
                lost=describe(runs),
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

    async def _ask_once(
        self, target: messages.TargetRecord, broke_at: float
    ) -> liveness.Verdict:
        if self._has_left(target):
            return liveness.Verdict.ALIVE
        if not self.placer.table.holds_address(target):
            return liveness.Verdict.DEAD
        if self.placer.paths.is_lost(target.service):
            # Refused connections do not show that the target has ended.
            return liveness.Verdict.SILENT
        seconds = time.monotonic() - broke_at
        connected = self.connections.is_connected(target.id)
        answered_at = self.placer.views[target.id].succeeded_at
        if seconds < ENDING_SECONDS:
            if connected or answered_at > broke_at + SETTLE_SECONDS:
                return liveness.Verdict.SILENT
        elif connected or answered_at > broke_at + ENDING_SECONDS:
            return liveness.Verdict.ALIVE
        if seconds > LAST_TRY_SECONDS:
            return liveness.Verdict.SILENT
        return await liveness.try_connection(target)

    def _has_left(self, target: messages.TargetRecord) -> bool:
        """Return whether the target has said that it ends."""
        entry = self.placer.table.entries.get(target.id)
        return entry is None or entry.record.state != messages.State.READY
