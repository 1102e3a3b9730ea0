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
from amaranthring.policy import trials

RESTART_SECONDS = 2.0
# Delay of a report after the crash, at most.
REPORT_SECONDS = 0.1
# A run with a suspect keeps others out for so long at most, and for so long
# after its target has broken it off.
TRIAL_SECONDS = 5.0
HOLD_SECONDS = 1.0
TRIAL_RETRY_SECONDS = 0.5
# Share of the ordinary requests that have the companion.
COMPANION_SHARE = 0.1


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
        Requests that crash their targets, or features that do.
    shared : int
        Number of features of which each ordinary request has one; 0 if
        requests share nothing. Then a culprit is a feature as well: each of
        its requests has it, one of these, and nothing else that another has.
    companion : str
        A feature that each request of a culprit has, too, and one in ten of
        the ordinary ones; empty for none.
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
    shared: int = 0
    companion: str = ""
    pause: float = 1.0
    losses: tuple[float, ...] = ()
    lost_targets: int = 1


@dataclasses.dataclass
class Running:
    """A run in progress."""

    fingerprint: str
    sent_at: float
    sends_left: int
    features: tuple[str, ...] = ()
    holder: str = ""


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
        self.trials = trials.TrialTable(lambda: self.now)
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
        return sorted(n for n in names if not n.startswith("culprit"))

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
        features = self._features(fingerprint)
        found = [self.evidence.verdict(name) for name in features]
        verdicts = [verdict for verdict in found if verdict is not None]
        refusing = self._refusing(features, verdicts)
        if refusing is not None:
            if refusing.condemned:
                self.turned_away[fingerprint] += 1
            elif fingerprint.startswith("chat"):
                self._send_later(
                    refusing.refused_seconds, fingerprint, sends_left
                )
            return
        holder = f"run{next(self.numbers)}"
        if self.setting.shared and not self._may_try(verdicts, holder):
            if fingerprint.startswith("chat"):
                self._send_later(TRIAL_RETRY_SECONDS, fingerprint, sends_left)
            return
        names = sorted(self.running)
        self.rng.shuffle(names)
        target = names[0]
        if verdicts:
            target = min(names, key=lambda name: len(self.running[name]))
        run = Running(fingerprint, self.now, sends_left - 1, features, holder)
        self.running[target].append(run)
        if fingerprint.startswith("culprit"):
            self._after(0.1, lambda: self._crash(target, fingerprint))
            return
        seconds = self.rng.uniform(0.1, self.setting.seconds)
        self._after(seconds, lambda: self._complete(target, run))

    def _send_later(
        self, seconds: float, fingerprint: str, sends_left: int
    ) -> None:
        self._after(seconds, lambda: self._send(fingerprint, sends_left))

    def _may_try(
        self, verdicts: list[crash_evidence.Verdict], holder: str
    ) -> bool:
        """Return whether a request with suspects may run now."""
        for verdict in verdicts:
            if verdict.count < crash_evidence.MIN_CRASHES:
                continue
            if not self.trials.begin(
                verdict.fingerprint, holder, TRIAL_SECONDS
            ):
                return False
        return True

    def _features(self, fingerprint: str) -> tuple[str, ...]:
        """Return the features of the next request called `fingerprint`."""
        if not self.setting.shared:
            return (fingerprint,)
        common = f"shared{self.rng.randrange(self.setting.shared)}"
        features = [common, fingerprint]
        if fingerprint.startswith("culprit"):
            features.append(f"request{next(self.numbers)}")
        is_beside = len(features) > 2 or self.rng.random() < COMPANION_SHARE
        if self.setting.companion and is_beside:
            features.append(self.setting.companion)
        return tuple(features)

    def _refusing(
        self,
        features: tuple[str, ...],
        verdicts: list[crash_evidence.Verdict],
    ) -> crash_evidence.Verdict | None:
        """Return the verdict that refuses a request, or None."""
        for verdict in verdicts:
            is_whole = set(verdict.together) <= set(features)
            if verdict.refused_seconds and is_whole:
                return verdict
        return None

    def _complete(self, target: str, run: Running) -> None:
        if run in self.running.get(target, []):
            self.running[target].remove(run)
            self.evidence.complete(run.features)
            for feature in run.features:
                self.trials.clear(feature)

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
            for feature in run.features:
                self.trials.end(feature, run.holder, HOLD_SECONDS)
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
        for feature in run.features:
            self.evidence.add(
                crash_evidence.Run(
                    feature,
                    target,
                    at - run.sent_at,
                    self.now - at,
                    "router",
                    [name for name in run.features if name != feature],
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
