"""Trials of the path to targets that this router does not reach."""

import asyncio
import dataclasses
import time
import typing as t

import logbook

from amaranthring.core import logs
from amaranthring.forwarding import placement
from amaranthring.targets import liveness

log = logbook.Logger(__name__)

CONNECT_INTERVAL_SECONDS = 0.5
# Pause between two requests that try the path, doubled after each failure. A
# request that is tried in vain is late, or lost if it may run once only.
FIRST_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 2.0
# A request that may run once only tries the path this much later than others.
SINGLE_RUN_SECONDS = 2.0


@dataclasses.dataclass
class PathTrial:
    """Trials of the path to one service.

    Attributes
    ----------
    connected_at : float
        Monotonic seconds at which a connection was last made.
    due_at : float
        Time from which the next request may try the path.
    pause : float
        Pause after the next trial, in seconds.
    turn : int
        Number of connections tried, to take the targets in turn.
    """

    connected_at: float = float("-inf")
    due_at: float = 0.0
    pause: float = FIRST_PAUSE_SECONDS
    turn: int = 0


class PathTrials:
    """Tries the paths to the services that this router does not reach.

    Attributes
    ----------
    by_service : dict of str to PathTrial
        Of the services that are not reached now.
    """

    def __init__(
        self,
        placer: placement.Placer,
        clock: t.Callable[[], float] = time.monotonic,
    ):
        self.placer = placer
        self.clock = clock
        self.by_service: dict[str, PathTrial] = {}

    def may_try(self, service: str, idempotent: bool) -> bool:
        """Return whether a request may try the path now, and count it."""
        now = self.clock()
        trial = self.by_service.get(service)
        if trial is None:
            trial = PathTrial(due_at=now + FIRST_PAUSE_SECONDS)
            self.by_service[service] = trial
        due_at = trial.due_at + (0.0 if idempotent else SINGLE_RUN_SECONDS)
        connected = now - trial.connected_at < 2 * CONNECT_INTERVAL_SECONDS
        if now < due_at or not connected:
            return False
        trial.due_at = now + trial.pause
        trial.pause = min(2 * trial.pause, MAX_PAUSE_SECONDS)
        return True

    async def run(self) -> None:
        """Connect to unreached targets until cancelled."""
        while True:
            await asyncio.sleep(CONNECT_INTERVAL_SECONDS)
            unreached = set(self.placer.paths.unreached_services)
            for service in set(self.by_service) - unreached:
                del self.by_service[service]
            await asyncio.gather(*map(self._connect, sorted(unreached)))

    async def _connect(self, service: str) -> None:
        targets = self.placer.announced(service)
        if not targets:
            return
        trial = self.by_service.setdefault(
            service, PathTrial(due_at=self.clock())
        )
        target = targets[trial.turn % len(targets)]
        trial.turn += 1
        if await liveness.can_connect(target):
            trial.connected_at = self.clock()
            logs.event(log, "path.connected", target=target.id)
