"""What crashes targets, where nobody keeps suspects apart.

A crash is blamed on a feature of the requests that ran there: a request
itself, or what it shares with others. Each feature has a fingerprint.

Routers that forward by a plan place requests on their own, so a request that
crashes targets runs beside others, and each crash has many suspects. What
tells them apart is how often they were there: the cause was there each time,
and another feature only as often as it happened to share a target with it.

A feature that was on three crashes counts as their cause, unless another one
may be: one that was on two or more of them, and has been on nearly as many
crashes or was missing at fewer than three. A crash for which another feature
was condemned does not count. A feature of a request that completes is no
longer a suspect, and for a while it takes many more crashes to become one.

Features that were on exactly the same lost requests cannot be told apart.
They count as one cause: requests that have all of them are refused, and those
with some of them run once at a time, which shows which of them it is.

Only a series of crashes, each under a run that was sent after the one before,
pauses or condemns a feature: targets that end together, with a rack, would
condemn one that many requests have. All its crashes count for whether it is
tried again only once at a time, so that requests that are sent at once end no
more targets than that.

A series of three pauses a feature, as targets that are lost one after the
other may meet one by chance. A further crash, under the run that the pause
allows, condemns it; the third one does if other targets have ended under it
too. Requests that return all the time and meet the cause on most of its
targets hide it; after some more crashes they are paused like it, so that they
no longer run beside it.
"""

import collections
import dataclasses
import enum
import heapq
import itertools
import math
import typing as t

from amaranthring.policy import companions
from amaranthring.policy import completions
from amaranthring.policy import suspects

MIN_CRASHES = 3
# A caller that waits for several seconds can still come back after it.
PAUSE_SECONDS = 2.0
# Each further pause is longer by this factor, so that few targets end under a
# cause that is not told apart from another feature.
PAUSE_FACTOR = 4.0
MAX_PAUSE_SECONDS = 60.0
# A feature is sound for so long after a request with it has completed.
SOUND_SECONDS = 300.0
# Series that pauses, and that condemns, a sound feature: targets that end one
# after the other for another reason are all lost under popular features.
MIN_SOUND_CRASHES = 8
MAX_SOUND_CRASHES = 16
# Another feature that was on one of the crashes only explains no series.
MIN_SHARED = 2
# With more crashes than this in all, a series of three condemns.
MAX_UNCERTAIN_CRASHES = 5
# Requests that run beside the cause meet it again and again where few targets
# serve much, but they end before they have been on as many crashes.
MIN_LEAD = 2
# Two causes that run beside each other at times have their own series, too.
MIN_APART = 3
# From so many crashes on, features that cannot be told apart are paused, all
# of them, if they are few. They run again one at a time, so a further crash is
# that of one of them.
MAX_UNDECIDED_CRASHES = 5
MAX_UNDECIDED_FEATURES = 16
# Time for reports of the other requests that ran on a crashed target.
JUDGE_SECONDS = 0.2
# The latest crashes that are kept of each request.
MAX_CRASHES = 16
# Bounds the time of a judgement where a target ran hundreds of requests; the
# cause is among those with the most crashes.
MAX_CANDIDATES = 32
# Difference between the times at which two routers see the same crash.
SLACK_SECONDS = 0.05


@dataclasses.dataclass
class Run:
    """Runs with one feature that ended with the process of their target.

    Attributes
    ----------
    fingerprint : str
        Of the feature.
    target : str
        Id of the target's incarnation.
    seconds : float
        Time from sending the first of the requests to the crash.
    age : float
        Seconds since the crash.
    router : str
        Router that had sent them.
    beside : list of str
        Fingerprints of the features that all these requests had too.
    completed : float
        Seconds since a request with the feature completed at that router;
        infinite if it knows of none.
    proven : bool
        Whether the target is known to have ended. Until then the run counts
        as if it had, and can be withdrawn.
    """

    fingerprint: str
    target: str
    seconds: float
    age: float
    router: str
    beside: list[str] = dataclasses.field(default_factory=list)
    completed: float = math.inf
    proven: bool = True

    def later(self, seconds: float) -> "Run":
        """Return the run as of some `seconds` later."""
        return dataclasses.replace(
            self, age=self.age + seconds, completed=self.completed + seconds
        )


class Ignored(enum.StrEnum):
    """Why a run does not count."""

    NO = "no"
    OLD = "old"
    KNOWN = "known"
    CLEARED = "cleared"


@dataclasses.dataclass
class SeenCrash(suspects.Crash):
    """A crash, and the run that a router lost by it.

    Attributes
    ----------
    sent_at, at : float
        Times of sending and of the crash, in seconds.
    router : str
        Router that saw it.
    """

    sent_at: float = 0.0
    at: float = 0.0
    router: str = ""


def _seen_crash(run: Run, now: float) -> SeenCrash:
    at = now - run.age
    return SeenCrash(
        run.target, sent_at=at - run.seconds, at=at, router=run.router
    )


def _series(crashes: list[SeenCrash]) -> int:
    """Return the length of the longest series of runs after one another."""
    length = 0
    last_at = float("-inf")
    for crash in sorted(crashes, key=lambda crash: crash.at):
        if crash.sent_at > last_at - SLACK_SECONDS:
            length += 1
            last_at = crash.at
    return length


def _is_certain(crashes: list[SeenCrash]) -> bool:
    """Return whether the `crashes` under a feature condemn it."""
    length = _series(crashes)
    if length == MIN_CRASHES:
        return len(crashes) > MAX_UNCERTAIN_CRASHES
    return length > MIN_CRASHES


def _acquits(suspect: suspects.Suspect, at: float) -> bool:
    """Return whether a completion before the last crash shows a sound feature.

    Parameters
    ----------
    at : float
        Time of the completion, in seconds.
    """
    later = [c for c in suspect.crashes if c.at > at + SLACK_SECONDS]
    return 0 < len(later) < MAX_SOUND_CRASHES


@dataclasses.dataclass
class CrashNote:
    """A crash as processes tell each other of it.

    Attributes
    ----------
    target : str
        Id of the target's incarnation.
    age : float
        Seconds since the crash.
    router : str
        Router that saw it.
    """

    target: str
    age: float
    router: str


@dataclasses.dataclass
class Verdict:
    """What is known of one feature.

    Attributes
    ----------
    fingerprint : str
        Of the feature.
    condemned : bool
        Whether it is refused for as long as the crashes count.
    refused_seconds : float
        Time for which requests with it are refused; 0 if they are not.
    seconds : float
        Time for which the crashes count.
    count : int
        Number of crashes under it; 0 if it is no longer a suspect.
    crashes : list of CrashNote
        These crashes, if it is refused.
    withdrawn : bool
        Whether some crashes no longer count, as their targets live or a
        request with the feature had completed in between.
    together : list of str
        Fingerprints of the features from which nothing tells it apart. Only
        requests that have all of them too are refused.
    """

    fingerprint: str
    condemned: bool
    refused_seconds: float
    seconds: float
    count: int
    crashes: list[CrashNote]
    withdrawn: bool = False
    together: list[str] = dataclasses.field(default_factory=list)

    def later(self, seconds: float) -> "Verdict":
        """Return what the verdict says some `seconds` later."""
        return Verdict(
            self.fingerprint,
            self.condemned,
            max(0.0, self.refused_seconds - seconds),
            self.seconds - seconds,
            self.count,
            [
                dataclasses.replace(note, age=note.age + seconds)
                for note in self.crashes
            ],
            together=self.together,
        )


@dataclasses.dataclass
class Pause:
    """A pause of a suspect.

    Attributes
    ----------
    crashes : int
        Length of the series of crashes for which it is paused.
    until : float
        Its end, in seconds.
    number : int
        Number of pauses before it.
    """

    crashes: int
    until: float
    number: int = 0


class CrashEvidence:
    """Runs that ended with their targets, and the features they condemn.

    Parameters
    ----------
    clock : callable
        Seconds; continues while the VM is suspended.

    Attributes
    ----------
    due : dict of str to float
        Time at which the crash of each target is judged.
    pauses : dict of str to Pause
        Last pause by fingerprint.
    changed : set of str
        Fingerprints of the features of which something new is known.
    published : set of str
        Fingerprints in the verdicts that were taken last.
    withdrawn : set of str
        Fingerprints of the features of which crashes were withdrawn since
        then, or which are no longer condemned.
    companions : companions.Companions
        Features that were on all lost requests of another one.
    completions : completions.Completions
        When requests with a feature last completed.
    unproven : OrderedDict
        Ids of the targets that are not known to have ended, of those on which
        runs count.
    """

    def __init__(self, clock: t.Callable[[], float]):
        self.clock = clock
        self.suspects = suspects.SuspectTable(MAX_CRASHES)
        self.records = suspects.CrashRecords()
        self.due: dict[str, float] = {}
        self.pauses: dict[str, Pause] = {}
        self.changed: set[str] = set()
        self.published: set[str] = set()
        self.withdrawn: set[str] = set()
        self.companions = companions.Companions()
        self.completions = completions.Completions(clock)
        self.unproven: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def add(self, run: Run) -> bool:
        """Add a run; return whether it counts, see :meth:`check`.

        Of several runs on one target, the one that was sent first stands for
        the crash: targets that end together end it everywhere at once.
        """
        if run.completed < SOUND_SECONDS:
            self.complete([run.fingerprint], run.completed)
        now = self.clock()
        self._note_proof(run)
        reason = self.check(run)
        if reason is Ignored.KNOWN:
            known = self.get(run.fingerprint).find(run.target)
            sent_at = now - run.age - run.seconds
            known.sent_at = min(known.sent_at, sent_at)
            self._add_companions(run)
        if reason is not Ignored.NO:
            return False
        crash = _seen_crash(run, now)
        if not self.records.add(crash, run.fingerprint, run.seconds, crash.at):
            return False
        self.suspects.record_crash("", run.fingerprint, crash, now)
        self._add_companions(run)
        self.due[run.target] = now + JUDGE_SECONDS
        self.changed.add(run.fingerprint)
        return True

    def _note_proof(self, run: Run) -> None:
        """Note whether the target of a new run is known to have ended."""
        if run.proven and run.target in self.unproven:
            del self.unproven[run.target]
            # It may have lived on after the runs that are known.
            self.records.count_until(run.target, self.clock() - run.age)
        elif not run.proven and self.records.get(run.target, 0) is None:
            self.unproven[run.target] = None
            while len(self.unproven) > suspects.MAX_CRASH_RECORDS:
                self.unproven.popitem(last=False)

    def _add_companions(self, run: Run) -> None:
        if self.companions.add(run.fingerprint, run.beside):
            self.changed.add(run.fingerprint)

    def check(self, run: Run) -> Ignored:
        """Return why a run does not count, or that it may.

        A run that was sent after the crash does not count either, which
        :meth:`add` finds out.
        """
        if run.age >= suspects.SUSPECT_SECONDS:
            return Ignored.OLD
        now = self.clock()
        known = self.suspects.get(run.fingerprint, now)
        if known is not None and known.find(run.target):
            return Ignored.KNOWN
        if self.completions.age(run.fingerprint) < run.age:
            return Ignored.CLEARED
        return Ignored.NO

    def complete(
        self, fingerprints: t.Collection[str], age: float = 0.0
    ) -> list[str]:
        """Clear features of a request that completed.

        One that is refused stays so if the request should have been refused:
        it is a duplicate that was sent earlier. It does not if the request
        completed before the last crash: whoever condemned the feature did not
        know that it is sound.

        Parameters
        ----------
        age : float
            Seconds since it completed; later crashes still count.

        Returns
        -------
        list of str
            Fingerprints of those that were suspects.
        """
        self.completions.note(fingerprints, age)
        for fingerprint in fingerprints:
            self._tell_apart(fingerprint)
        names = set(fingerprints)
        cleared = []
        for fingerprint in fingerprints:
            suspect = self.get(fingerprint)
            if suspect is None:
                continue
            at = self.clock() - age
            if suspect.condemned and _acquits(suspect, at):
                self.acquit(fingerprint)
            elif suspect.condemned and self.together(fingerprint) <= names:
                continue
            self._drop_crashes(fingerprint, suspect, at)
            cleared.append(fingerprint)
        return cleared

    def acquit(self, fingerprint: str) -> None:
        """Condemn a feature no longer; its crashes may have other causes."""
        suspect = self.get(fingerprint)
        if suspect is None or not suspect.condemned:
            return
        suspect.condemned = False
        for crash in suspect.crashes:
            self.records.explain(crash, "")
        self.withdrawn.add(fingerprint)

    def _drop_crashes(
        self, fingerprint: str, suspect: suspects.Suspect, until: float
    ) -> None:
        """Drop the crashes of a feature up to the time `until`."""
        for crash in [c for c in suspect.crashes if c.at <= until]:
            suspect.crashes.remove(crash)
            self.records.remove_request(crash, fingerprint)
            # One that was not told apart from this feature may be now.
            self.due[crash.target] = self.clock()
        self._reconsider(fingerprint, suspect)
        if not suspect.crashes:
            self.companions.clear(fingerprint)
        self.changed.add(fingerprint)

    def _tell_apart(self, fingerprint: str) -> None:
        """Drop a feature that completed from what others are seen with."""
        for other in self.published:
            if fingerprint in self.companions.of(other):
                self.companions.discard(other, fingerprint)
                self.changed.add(other)

    def _reconsider(self, fingerprint: str, suspect: suspects.Suspect) -> None:
        """Refuse a feature no longer for crashes that do not count."""
        if len(suspect.crashes) < MIN_CRASHES:
            suspect.condemned = False
            self.pauses.pop(fingerprint, None)
        if not suspect.crashes:
            self.suspects.clear(fingerprint)

    def clear(self, fingerprint: str) -> bool:
        """Clear a feature; return whether it was a suspect."""
        return bool(self.complete([fingerprint]))

    def is_sound(self, fingerprint: str) -> bool:
        """Return whether a request with the feature completed of late."""
        return self.completions.age(fingerprint) < SOUND_SECONDS

    def together(self, fingerprint: str) -> set[str]:
        """Return the features that nothing tells apart from this one."""
        return {
            name
            for name in self.companions.of(fingerprint)
            if not self.is_sound(name)
        }

    def withdraw(self, target: str) -> list[str]:
        """Withdraw the crash of a target that lives.

        Returns
        -------
        list of str
            Fingerprints of the features that it counted for.
        """
        self.unproven.pop(target, None)
        self.due.pop(target, None)
        self.records.discard(target, 0)
        found = []
        for fingerprint, suspect in list(self.suspects.entries.items()):
            crash = suspect.find(target)
            if crash is None:
                continue
            found.append(fingerprint)
            suspect.crashes.remove(crash)
            self._reconsider(fingerprint, suspect)
        self.changed.update(found)
        self.withdrawn.update(found)
        return found

    def forget(self, fingerprint: str) -> None:
        """Forget a feature of which other processes know better."""
        suspect = self.get(fingerprint)
        if suspect is not None:
            suspect.condemned = False
            self._drop_crashes(fingerprint, suspect, self.clock())

    def adopt(self, verdict: Verdict) -> None:
        """Take over what another process knows of a condemned feature."""
        now = self.clock()
        known = self.suspects.get(verdict.fingerprint, now)
        if not verdict.condemned or (known is not None and known.condemned):
            return
        crashes: list[suspects.Crash] = [
            SeenCrash(note.target, at=now - note.age, router=note.router)
            for note in verdict.crashes
        ]
        suspect = suspects.Suspect("", crashes, now + verdict.seconds, True)
        self.suspects.entries[verdict.fingerprint] = suspect
        self.companions.add(verdict.fingerprint, verdict.together)
        self.changed.add(verdict.fingerprint)

    def condemned_within(self, seconds: float) -> list[str]:
        """Return the condemned features all of whose crashes are so recent."""
        oldest = self.clock() - seconds
        return [
            fingerprint
            for fingerprint, suspect in self.suspects.entries.items()
            if suspect.condemned
            and all(crash.at >= oldest for crash in suspect.crashes)
        ]

    def get(self, fingerprint: str) -> suspects.Suspect | None:
        """Return what is known of a feature, or None."""
        return self.suspects.get(fingerprint, self.clock())

    def judge(self) -> None:
        """Judge the crashes that are due."""
        now = self.clock()
        due = [target for target, at in self.due.items() if at <= now]
        candidates: set[str] = set()
        for target in due:
            del self.due[target]
            record = self.records.get(target, 0)
            candidates |= record.fingerprints if record else set()
        most = heapq.nlargest(
            MAX_CANDIDATES,
            sorted(filter(self._may_be_cause, candidates)),
            key=lambda name: len(self._unexplained(name)),
        )
        for fingerprint in filter(self._is_cause, most):
            if self._is_certain(fingerprint):
                self._condemn(fingerprint)
            else:
                self._pause(fingerprint)
        undecided = [
            fingerprint
            for fingerprint in most
            if _series(self._unexplained(fingerprint)) >= MAX_UNDECIDED_CRASHES
            and not self.get(fingerprint).condemned
        ]
        if len(undecided) <= MAX_UNDECIDED_FEATURES:
            for fingerprint in undecided:
                self._pause(fingerprint)

    def _may_be_cause(self, fingerprint: str) -> bool:
        """Return whether enough crashes count for a feature."""
        suspect = self.get(fingerprint)
        if suspect is None or suspect.condemned:
            return False
        least = MIN_CRASHES
        if self.is_sound(fingerprint):
            least = MIN_SOUND_CRASHES
        return _series(self._unexplained(fingerprint)) >= least

    def _is_certain(self, fingerprint: str) -> bool:
        """Return whether its crashes condemn a feature that is a cause."""
        crashes = self._unexplained(fingerprint)
        if self.is_sound(fingerprint):
            return _series(crashes) >= MAX_SOUND_CRASHES
        return _is_certain(crashes) and not all(
            self._has_other_cause(crash, fingerprint) for crash in crashes
        )

    def _has_other_cause(
        self, crash: suspects.Crash, fingerprint: str
    ) -> bool:
        """Return whether a feature that was there may be a cause as well."""
        record = self.records.get(crash.target, 0)
        companions = self.companions.of(fingerprint)
        return any(
            other != fingerprint
            and other not in companions
            and not self.is_sound(other)
            and len(self._unexplained(other)) >= MIN_SHARED
            for other in (record.fingerprints if record else ())
        )

    def _condemn(self, fingerprint: str) -> None:
        suspect = self.get(fingerprint)
        suspect.condemned = True
        for crash in suspect.crashes:
            self.records.explain(crash, fingerprint)
        self.pauses.pop(fingerprint, None)
        self.changed.add(fingerprint)

    def _pause(self, fingerprint: str) -> None:
        crashes = _series(self._unexplained(fingerprint))
        paused = self.pauses.get(fingerprint)
        if paused is not None and paused.crashes >= crashes:
            return
        if len(self.pauses) >= suspects.MAX_CRASH_RECORDS:
            self.pauses.pop(next(iter(self.pauses)))
        number = paused.number + 1 if paused is not None else 0
        seconds = min(PAUSE_SECONDS * PAUSE_FACTOR**number, MAX_PAUSE_SECONDS)
        until = self.clock() + seconds
        self.pauses[fingerprint] = Pause(crashes, until, number)
        self.changed.add(fingerprint)

    def _is_cause(self, fingerprint: str) -> bool:
        """Return whether no other feature is as likely to be the cause."""
        own = self._unexplained(fingerprint)
        # An earlier one of the same judgement may have explained them.
        if _series(own) < MIN_CRASHES:
            return False
        shared: collections.Counter[str] = collections.Counter()
        for crash in own:
            record = self.records.get(crash.target, 0)
            shared.update(record.fingerprints if record else ())
        del shared[fingerprint]
        # Requests are refused for these only together.
        for companion in self.companions.of(fingerprint):
            shared.pop(companion, None)
        is_sound = self.is_sound(fingerprint)
        return not any(
            count >= MIN_SHARED
            and len(own) - count < MIN_APART
            and (is_sound or not self.is_sound(other))
            and len(self._unexplained(other)) > len(own) - MIN_LEAD
            for other, count in shared.items()
        )

    def _unexplained(self, fingerprint: str) -> list[suspects.Crash]:
        """Return the crashes for which no other feature is condemned."""
        suspect = self.get(fingerprint)
        crashes = []
        for crash in suspect.crashes if suspect else ():
            record = self.records.get(crash.target, 0)
            cause = record.cause if record else ""
            if cause in ("", fingerprint) or (
                fingerprint in self.together(cause)
            ):
                crashes.append(crash)
        return crashes

    # -- verdicts ----------------------------------------------------

    def take_changes(self) -> list[Verdict]:
        """Return the verdicts that have changed since the last call.

        Features with a single crash are left out, and sound ones: nobody has
        to know them.
        """
        changed, self.changed = self.changed, set()
        verdicts = []
        for fingerprint in sorted(changed):
            verdict = self.verdict(fingerprint)
            if verdict is not None:
                self.published.add(fingerprint)
            elif fingerprint in self.published:
                self.published.discard(fingerprint)
                verdict = Verdict(fingerprint, False, 0.0, 0.0, 0, [])
            if verdict is not None:
                verdict.withdrawn = fingerprint in self.withdrawn
                verdicts.append(verdict)
        self.withdrawn.clear()
        return verdicts

    def verdicts(self) -> list[Verdict]:
        """Return the verdicts that were taken and still hold."""
        found = {name: self.verdict(name) for name in self.published}
        self.published = {name for name, verdict in found.items() if verdict}
        return [verdict for verdict in found.values() if verdict]

    def verdict(self, fingerprint: str) -> Verdict | None:
        """Return the verdict on a feature, or None if there is none."""
        suspect = self.get(fingerprint)
        if suspect is None:
            return None
        count = len(suspect.crashes)
        if not suspect.condemned:
            count = len(self._unexplained(fingerprint))
            is_sound = self.is_sound(fingerprint)
            if count < (MIN_SOUND_CRASHES if is_sound else MIN_SHARED):
                return None
        now = self.clock()
        seconds = suspect.expires - now
        refused_seconds = seconds if suspect.condemned else 0.0
        if fingerprint in self.pauses:
            paused_seconds = self.pauses[fingerprint].until - now
            refused_seconds = max(refused_seconds, paused_seconds)
        # Many features are on two crashes while one of them is the cause, and
        # every keeper tells every router of them.
        notes = [
            CrashNote(crash.target, now - crash.at, crash.router)
            for crash in suspect.crashes
            if refused_seconds
        ]
        return Verdict(
            fingerprint,
            suspect.condemned,
            refused_seconds,
            seconds,
            count,
            notes,
            together=sorted(self.together(fingerprint)),
        )

    def runs(self, max_age: float, most: int) -> list[Run]:
        """Return the newest runs, at most `most` and `max_age` seconds old.

        Those of features that were on several crashes come first.
        """
        entries = list(reversed(self.suspects.entries.items()))
        several = [item for item in entries if len(item[1].crashes) > 1]
        single = [item for item in entries if len(item[1].crashes) == 1]
        found: list[Run] = []
        for fingerprint, suspect in itertools.chain(several, single):
            if len(found) >= most:
                break
            found += self._runs_of(fingerprint, suspect, max_age)
        return found[:most]

    def _runs_of(
        self, fingerprint: str, suspect: suspects.Suspect, max_age: float
    ) -> list[Run]:
        now = self.clock()
        beside = sorted(self.companions.of(fingerprint))
        return [
            Run(
                fingerprint,
                crash.target,
                crash.at - crash.sent_at,
                now - crash.at,
                crash.router,
                beside,
                self.completions.age(fingerprint),
                proven=crash.target not in self.unproven,
            )
            for crash in suspect.crashes
            if now - crash.at <= max_age
        ]
