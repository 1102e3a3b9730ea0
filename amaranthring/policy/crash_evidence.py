"""Which requests crash targets, where nobody keeps suspects apart.

Routers that forward by a plan place requests on their own, so a request that
crashes targets runs beside others, and each crash has many suspects. What
tells them apart is how often they were there: the cause was there each time,
and another request only as often as it happened to share a target with it.

A request that ran on three crashes counts as their cause, unless another one
may be: one that ran on two or more of them, and has been on nearly as many
crashes or was missing at fewer than three. A crash for which another request
was condemned does not count. A request that completes is no longer a suspect.

Only a series of crashes, each under a run that was sent after the one before,
pauses or condemns a request: targets that end together, with a rack, would
condemn one that is sent often. All its crashes count for whether it is tried
again only once at a time, so that one that is sent several times at once ends
no more targets than that.

A series of three pauses a request, as targets that are lost one after the
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
import typing as t

from amaranthring.policy import suspects

MIN_CRASHES = 3
# A caller that waits for several seconds can still come back after it.
PAUSE_SECONDS = 2.0
# Another request that ran on one of the crashes only explains no series.
MIN_SHARED = 2
# With more crashes than this in all, a series of three condemns.
MAX_UNCERTAIN_CRASHES = 5
# Requests that run beside the cause meet it again and again where few targets
# serve much, but they end before they have been on as many crashes.
MIN_LEAD = 2
# Two causes that run beside each other at times have their own series, too.
MIN_APART = 3
# From so many crashes on, requests that cannot be told apart are paused, all
# of them, if they are few. They run again one at a time, so a further crash is
# that of one of them.
MAX_UNDECIDED_CRASHES = 5
MAX_UNDECIDED_REQUESTS = 16
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
    """A run of a request that ended with the process of its target.

    Attributes
    ----------
    fingerprint : str
        Of the request.
    target : str
        Id of the target's incarnation.
    seconds : float
        Time from sending the request to the crash.
    age : float
        Seconds since the crash.
    router : str
        Router that had sent it.
    """

    fingerprint: str
    target: str
    seconds: float
    age: float
    router: str


class Ignored(enum.StrEnum):
    """Why a run does not count."""

    NO = "no"
    OLD = "old"
    KNOWN = "known"


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
    """Return whether the `crashes` under a request condemn it."""
    length = _series(crashes)
    if length == MIN_CRASHES:
        return len(crashes) > MAX_UNCERTAIN_CRASHES
    return length > MIN_CRASHES


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
    """What is known of one request.

    Attributes
    ----------
    fingerprint : str
        Of the request.
    condemned : bool
        Whether it is refused for as long as the crashes count.
    refused_seconds : float
        Time for which it is refused; 0 if it is not.
    seconds : float
        Time for which the crashes count.
    count : int
        Number of crashes under it; 0 if it is no longer a suspect.
    crashes : list of CrashNote
        These crashes, if it is refused.
    withdrawn : bool
        Whether some crashes no longer count, as their targets live.
    """

    fingerprint: str
    condemned: bool
    refused_seconds: float
    seconds: float
    count: int
    crashes: list[CrashNote]
    withdrawn: bool = False

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
    """

    crashes: int
    until: float


class CrashEvidence:
    """Runs that ended with their targets, and the requests they condemn.

    Parameters
    ----------
    clock : callable
        Seconds; continues while the VM is suspended.

    Attributes
    ----------
    due : dict of str to float
        Time at which the crash of each target is judged.
    pauses : dict of str to Pause
        Last pause by fingerprint of the request.
    changed : set of str
        Fingerprints of the requests of which something new is known.
    published : set of str
        Fingerprints in the verdicts that were taken last.
    withdrawn : set of str
        Fingerprints of the requests of which crashes were withdrawn since
        then.
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

    def add(self, run: Run) -> bool:
        """Add a run; return whether it counts, see :meth:`check`.

        Of several runs on one target, the one that was sent first stands for
        the crash: targets that end together end it everywhere at once.
        """
        now = self.clock()
        reason = self.check(run)
        if reason is Ignored.KNOWN:
            known = self.get(run.fingerprint).find(run.target)
            sent_at = now - run.age - run.seconds
            known.sent_at = min(known.sent_at, sent_at)
        if reason is not Ignored.NO:
            return False
        crash = _seen_crash(run, now)
        if not self.records.add(crash, run.fingerprint, run.seconds, crash.at):
            return False
        self.suspects.record_crash("", run.fingerprint, crash, now)
        self.due[run.target] = now + JUDGE_SECONDS
        self.changed.add(run.fingerprint)
        return True

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
        return Ignored.NO

    def clear(self, fingerprint: str) -> bool:
        """Clear a request that completed; return whether it was a suspect."""
        suspect = self.get(fingerprint)
        if suspect is None or suspect.condemned:
            return False
        for crash in suspect.crashes:
            self.records.remove_request(crash, fingerprint)
            # One that was not told apart from this request may be now.
            self.due[crash.target] = self.clock()
        self.suspects.clear(fingerprint)
        self.pauses.pop(fingerprint, None)
        self.changed.add(fingerprint)
        return True

    def withdraw(self, target: str) -> list[str]:
        """Withdraw the crash of a target that lives.

        Returns
        -------
        list of str
            Fingerprints of the requests that it counted for.
        """
        self.due.pop(target, None)
        self.records.discard(target, 0)
        found = []
        for fingerprint, suspect in list(self.suspects.entries.items()):
            crash = suspect.find(target)
            if crash is None:
                continue
            found.append(fingerprint)
            suspect.crashes.remove(crash)
            if len(suspect.crashes) < MIN_CRASHES:
                suspect.condemned = False
                self.pauses.pop(fingerprint, None)
            if not suspect.crashes:
                self.suspects.clear(fingerprint)
        self.changed.update(found)
        self.withdrawn.update(found)
        return found

    def forget(self, fingerprint: str) -> None:
        """Forget a request of which other processes know better."""
        suspect = self.get(fingerprint)
        if suspect is not None:
            suspect.condemned = False
            self.clear(fingerprint)

    def adopt(self, verdict: Verdict) -> None:
        """Take over what another process knows of a condemned request."""
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
        self.changed.add(verdict.fingerprint)

    def get(self, fingerprint: str) -> suspects.Suspect | None:
        """Return what is known of a request, or None."""
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
            sorted(candidates),
            key=lambda name: len(self._unexplained(name)),
        )
        for fingerprint in filter(self._is_cause, most):
            if _is_certain(self._unexplained(fingerprint)):
                self._condemn(fingerprint)
            else:
                self._pause(fingerprint)
        undecided = [
            fingerprint
            for fingerprint in most
            if _series(self._unexplained(fingerprint)) >= MAX_UNDECIDED_CRASHES
            and not self.get(fingerprint).condemned
        ]
        if len(undecided) <= MAX_UNDECIDED_REQUESTS:
            for fingerprint in undecided:
                self._pause(fingerprint)

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
        until = self.clock() + PAUSE_SECONDS
        self.pauses[fingerprint] = Pause(crashes, until)
        self.changed.add(fingerprint)

    def _is_cause(self, fingerprint: str) -> bool:
        suspect = self.get(fingerprint)
        if suspect is None or suspect.condemned:
            return False
        own = self._unexplained(fingerprint)
        if _series(own) < MIN_CRASHES:
            return False
        shared: collections.Counter[str] = collections.Counter()
        for crash in own:
            record = self.records.get(crash.target, 0)
            shared.update(record.fingerprints if record else ())
        del shared[fingerprint]
        return not any(
            count >= MIN_SHARED
            and len(own) - count < MIN_APART
            and len(self._unexplained(other)) > len(own) - MIN_LEAD
            for other, count in shared.items()
        )

    def _unexplained(self, fingerprint: str) -> list[suspects.Crash]:
        """Return the crashes for which no other request is condemned."""
        suspect = self.get(fingerprint)
        crashes = []
        for crash in suspect.crashes if suspect else ():
            record = self.records.get(crash.target, 0)
            if record is None or record.cause in ("", fingerprint):
                crashes.append(crash)
        return crashes

    # -- verdicts ----------------------------------------------------

    def take_changes(self) -> list[Verdict]:
        """Return the verdicts that have changed since the last call.

        Requests with a single crash are left out: nobody has to know them.
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
        """Return the verdict on a request, or None if there is none."""
        suspect = self.get(fingerprint)
        if suspect is None:
            return None
        if not suspect.condemned and len(suspect.crashes) < MIN_SHARED:
            return None
        now = self.clock()
        seconds = suspect.expires - now
        refused_seconds = seconds if suspect.condemned else 0.0
        if fingerprint in self.pauses:
            paused_seconds = self.pauses[fingerprint].until - now
            refused_seconds = max(refused_seconds, paused_seconds)
        # Many requests are on two crashes while one of them is the cause, and
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
            len(suspect.crashes),
            notes,
        )

    def runs(self, max_age: float, most: int) -> list[Run]:
        """Return the newest runs, at most `most` and `max_age` seconds old."""
        now = self.clock()
        found = []
        for fingerprint, suspect in reversed(self.suspects.entries.items()):
            for crash in suspect.crashes:
                if now - crash.at > max_age or len(found) >= most:
                    continue
                seconds = crash.at - crash.sent_at
                age = now - crash.at
                found.append(
                    Run(fingerprint, crash.target, seconds, age, crash.router)
                )
            if len(found) >= most:
                break
        return found
