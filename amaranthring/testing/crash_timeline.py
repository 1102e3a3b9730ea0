"""Requests and crashes of targets on a timeline, judged by their evidence.

Plays many returning requests, some of which crash each target that runs them,
on targets that may also end for other reasons. Nothing here takes real time.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import typing as t

from amaranthring.policy import crash_evidence

RESTART_SECONDS = 2.0
# Delay of a report after the crash, at most.
REPORT_SECONDS = 0.1


@dataclasses.dataclass
class Setting:
    """What is played.

    Attributes
    ----------
    targets : int
        Number of targets of the service.
    rate : float
        Ordinary requests a second.
    seconds : float
        Longest run of an ordinary request.
    returning : int
        Number of different ordinary requests; 0 if each is sent by one caller
        only.
    sends : int
        How often an ordinary request is sent at most, repeats included.
    culprits : int
        Requests that crash their targets.
    pause : float
        Seconds between two sends of a culprit.
    losses : tuple of float
        Times at which targets end without a culprit.
    lost_targets : int
        How many end at each of these times.
    """

    targets: int = 5
    rate: float = 30.0
    seconds: float = 4.0
    returning: int = 0
    sends: int = 4
    culprits: int = 1
    pause: float = 1.0
    losses: tuple[float, ...] = ()
    lost_targets: int = 1


@dataclasses.dataclass
class Running:
    """A run in progress."""

    fingerprint: str
    sent_at: float
    sends_left: int


class CrashTimeline:
    """Plays one setting.

    Attributes
    ----------
    crashes : Counter
        Crashes that each culprit has caused.
    crashed_at : dict of str to list of float
        Times of these crashes.
    condemned : set of str
        Requests that are condemned.
    paused : set of str
        Requests that were paused.
    turned_away : Counter
        Sends that were refused, by request.
    """

    def __init__(self, rng: random.Random, setting: Setting):
        self.rng = rng
        self.setting = setting
        self.now = 0.0
        self.evidence = crash_evidence.CrashEvidence(lambda: self.now)
        self.events: list[tuple[float, int, t.Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.running: dict[str, list[Running]] = {}
        self.crashes: collections.Counter[str] = collections.Counter()
        self.crashed_at: dict[str, list[float]] = collections.defaultdict(list)
        self.condemned: set[str] = set()
        self.paused: set[str] = set()
        self.turned_away: collections.Counter[str] = collections.Counter()

    def run(self, seconds: float) -> None:
        """Play for `seconds`."""
        for _ in range(self.setting.targets):
            self._start_target()
        for number in range(self.setting.culprits):
            self._after(number * 0.7, lambda n=number: self._culprit(n))
        for at in self.setting.losses:
            self._after(at, self._lose_targets)
        self._after(0.0, self._arrive)
        while self.events and self.events[0][0] <= seconds:
            self.now, _, action = heapq.heappop(self.events)
            action()

    def innocent(self, names: t.Iterable[str]) -> list[str]:
        """Return those of the requests that crash nothing."""
        return sorted(name for name in names if name.startswith("chat"))

    def _after(self, seconds: float, action: t.Callable[[], None]) -> None:
        event = self.now + seconds, next(self.numbers), action
        heapq.heappush(self.events, event)

    def _start_target(self) -> None:
        self.running[f"t{next(self.numbers)}"] = []

    def _arrive(self) -> None:
        number = next(self.numbers)
        if self.setting.returning:
            number %= self.setting.returning
        self._send(f"chat{number}", self.setting.sends)
        self._after(self.rng.expovariate(self.setting.rate), self._arrive)

    def _send(self, fingerprint: str, sends_left: int) -> None:
        if not self.running:
            return
        verdict = self.evidence.verdict(fingerprint)
        if verdict is not None and verdict.refused_seconds:
            if verdict.condemned:
                self.turned_away[fingerprint] += 1
            elif fingerprint.startswith("chat"):
                self._after(
                    verdict.refused_seconds,
                    lambda: self._send(fingerprint, sends_left),
                )
            return
        names = sorted(self.running)
        self.rng.shuffle(names)
        target = names[0]
        if verdict is not None:
            target = min(names, key=lambda name: len(self.running[name]))
        run = Running(fingerprint, self.now, sends_left - 1)
        self.running[target].append(run)
        if fingerprint.startswith("culprit"):
            self._after(0.1, lambda: self._crash(target, fingerprint))
            return
        seconds = self.rng.uniform(0.1, self.setting.seconds)
        self._after(seconds, lambda: self._complete(target, run))

    def _complete(self, target: str, run: Running) -> None:
        if run in self.running.get(target, []):
            self.running[target].remove(run)
            self.evidence.clear(run.fingerprint)

    def _culprit(self, number: int) -> None:
        name = f"culprit{number}"
        if name not in self.condemned:
            self._send(name, 1)
            pause = self.setting.pause * self.rng.uniform(0.5, 1.5)
            self._after(pause, lambda: self._culprit(number))

    def _crash(self, target: str, culprit: str = "") -> None:
        lost = self.running.pop(target, None)
        if lost is None:
            return
        if culprit:
            self.crashes[culprit] += 1
            self.crashed_at[culprit].append(self.now)
        at = self.now
        for run in lost:
            delay = self.rng.uniform(0.0, REPORT_SECONDS)
            self._after(delay, lambda run=run: self._report(run, target, at))
            if run.sends_left and run.fingerprint.startswith("chat"):
                pause = self.rng.choice((0.001, 0.3))
                self._after(
                    pause,
                    lambda run=run: self._send(
                        run.fingerprint, run.sends_left
                    ),
                )
        self._after(RESTART_SECONDS, self._start_target)

    def _lose_targets(self) -> None:
        names = sorted(self.running)
        for target in names[: self.setting.lost_targets]:
            self._crash(target)

    def _report(self, run: Running, target: str, at: float) -> None:
        self.evidence.add(
            crash_evidence.Run(
                run.fingerprint,
                target,
                at - run.sent_at,
                self.now - at,
                "router",
            )
        )
        self._after(crash_evidence.JUDGE_SECONDS + 0.001, self._judge)

    def _judge(self) -> None:
        self.evidence.judge()
        for verdict in self.evidence.take_changes():
            if verdict.condemned:
                self.condemned.add(verdict.fingerprint)
            elif verdict.refused_seconds:
                self.paused.add(verdict.fingerprint)
