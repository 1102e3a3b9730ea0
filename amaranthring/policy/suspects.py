"""Requests that may have crashed a target.

When a target crashes, all requests in flight there become suspects. A suspect
is retried on a target without another suspect, and is cleared when that run
ends without a crash. It is condemned only if another target crashes during
such a run, and no other request can have caused both crashes. Requests that
merely ran beside the cause, or on hardware that failed at the same time, are
therefore not condemned.

A target that broke its connections and does not answer may have crashed, or
only be stopped or stalled. Such a crash counts as unproven: what ran there is
a suspect, but nothing is condemned for it until the crash is proven, and it is
withdrawn when the target answers and stays alive.
"""

import collections
import dataclasses

SUSPECT_SECONDS = 600.0
MAX_ENTRIES = 20000
MAX_CRASHES = 4
# Longest time that a report takes. Requests sent so soon after the first
# report may have been sent before the crash.
REPORT_DELAY_SECONDS = 0.4
# Longest time after its crash for which a target is still given requests.
CRASH_SECONDS = 10.0
MAX_RECORDED_REQUESTS = 512
MAX_CRASH_RECORDS = 1024
CORRELATED_CRASHES = 3
CORRELATION_SECONDS = 3.0


@dataclasses.dataclass
class Crash:
    """A crash of a target while a suspect ran there.

    Attributes
    ----------
    target : str
        Name of the target.
    incarnation : int
        Of the process that crashed.
    apart : bool
        Whether the request ran isolated from other suspects.
    proven : bool
        Whether the process is known to have ended.
    """

    target: str
    incarnation: int = 0
    apart: bool = False
    proven: bool = True


@dataclasses.dataclass
class Suspect:
    """A request that may have crashed a target.

    Attributes
    ----------
    key : str
        Determines the directory shard of the entry.
    crashes : list of Crash
        One for each target that crashed while it ran there.
    expires : float
        Time at which the entry expires, in seconds.
    condemned : bool
        Whether the request is refused. Never reset.
    """

    key: str
    crashes: list[Crash]
    expires: float
    condemned: bool = False

    @property
    def targets(self) -> list[str]:
        """Return the names of the targets that crashed."""
        return [crash.target for crash in self.crashes]

    @property
    def pending(self) -> bool:
        """Return whether proof of its crashes would condemn it."""
        return not self.condemned and _condemns(self.crashes)

    def find(self, target: str) -> Crash | None:
        """Return the crash of `target`, if known."""
        return next((c for c in self.crashes if c.target == target), None)

    def judge(self) -> None:
        """Condemn the request if its proven crashes suffice."""
        proven = [crash for crash in self.crashes if crash.proven]
        self.condemned = self.condemned or _condemns(proven)


def _condemns(crashes: list[Crash]) -> bool:
    """Return whether two targets crashed, one during an isolated run."""
    return len(crashes) > 1 and any(crash.apart for crash in crashes)


class SuspectTable:
    """Bounded table of suspects by request fingerprint.

    Parameters
    ----------
    max_crashes : int
        Number of crashes that are kept of each suspect, the latest ones.
    """

    def __init__(self, max_crashes: int = MAX_CRASHES):
        self.max_crashes = max_crashes
        self.entries: collections.OrderedDict[str, Suspect] = (
            collections.OrderedDict()
        )

    def record_crash(
        self, key: str, fingerprint: str, crash: Crash, now: float
    ) -> Suspect:
        """Record that a target crashed while `fingerprint` ran there."""
        suspect = self.get(fingerprint, now)
        if suspect is None:
            suspect = Suspect(key, [], 0.0)
            self.entries[fingerprint] = suspect
        known = suspect.find(crash.target)
        if known is None:
            # Only a second crash can show that the request is the cause.
            crash.apart = crash.apart and bool(suspect.crashes)
            suspect.crashes = [*suspect.crashes, crash][-self.max_crashes :]
        elif known.incarnation == crash.incarnation and not known.apart:
            # That of an isolated run is proven by its own router, which
            # looks for other causes first.
            known.proven = known.proven or crash.proven
        suspect.judge()
        suspect.expires = now + SUSPECT_SECONDS
        self.entries.move_to_end(fingerprint)
        while len(self.entries) > MAX_ENTRIES:
            self.entries.popitem(last=False)
        return suspect

    def settle_crash(
        self, fingerprint: str, crash: Crash, now: float
    ) -> Suspect | None:
        """Replace what is known of an earlier crash of the same process.

        Returns None if the request is no longer suspected of it.
        """
        suspect = self.get(fingerprint, now)
        known = suspect and suspect.find(crash.target)
        if not known or known.incarnation != crash.incarnation:
            return None
        known.apart = known.apart and crash.apart
        known.proven = crash.proven
        suspect.judge()
        return suspect

    def withdraw_crash(
        self, fingerprint: str, target: str, now: float
    ) -> None:
        """Remove an unproven crash: `target` is alive."""
        suspect = self.get(fingerprint, now)
        known = suspect and suspect.find(target)
        if not known or known.proven:
            return
        suspect.crashes.remove(known)
        if not suspect.crashes and not suspect.condemned:
            del self.entries[fingerprint]

    def get(self, fingerprint: str, now: float) -> Suspect | None:
        """Return the entry of `fingerprint`, if it is a suspect."""
        suspect = self.entries.get(fingerprint)
        if suspect is not None and suspect.expires <= now:
            del self.entries[fingerprint]
            return None
        return suspect

    def clear(self, fingerprint: str) -> None:
        """Remove `fingerprint`, as its run ended without a crash.

        A condemned entry stays: the run may be a duplicate sent earlier.
        """
        suspect = self.entries.get(fingerprint)
        if suspect is not None and not suspect.condemned:
            del self.entries[fingerprint]

    def adopt(self, fingerprint: str, suspect: Suspect) -> None:
        """Add an entry from another shard, unless there is one."""
        self.entries.setdefault(fingerprint, suspect)


@dataclasses.dataclass
class CrashRecord:
    """Requests that ran on one process when it crashed.

    Attributes
    ----------
    reported_at : float
        Time of the first report, in seconds.
    apart_reported_at : float
        Time of the first report of an isolated run, in seconds.
    fingerprints : set of str
        Of the requests, up to :data:`MAX_RECORDED_REQUESTS`.
    cause : str
        Fingerprint of the request that was condemned for the crash, if any.
    """

    reported_at: float
    apart_reported_at: float = float("inf")
    fingerprints: set[str] = dataclasses.field(default_factory=set)
    cause: str = ""


class CrashRecords:
    """Bounded table of the requests that ran on crashed processes."""

    def __init__(self):
        self.entries: collections.OrderedDict[tuple[str, int], CrashRecord] = (
            collections.OrderedDict()
        )

    def add(
        self,
        crash: Crash,
        fingerprint: str,
        seconds: float,
        now: float,
    ) -> bool:
        """Add a request; return whether it may have caused the crash.

        A request that was sent after the first report is not added. It went
        to a process that had crashed already, as the kernel accepts
        connections until the process has ended.

        Parameters
        ----------
        seconds : float
            Time since the request was sent.
        """
        sent_at = now - seconds
        known = self._entry(crash, sent_at, now)
        if known.cause not in ("", fingerprint):
            return False
        if sent_at > known.reported_at + REPORT_DELAY_SECONDS:
            return False
        if crash.apart:
            # Isolated runs follow one another, so this one was sent after
            # the connection of the other had broken.
            if sent_at > known.apart_reported_at:
                return False
            known.apart_reported_at = min(known.apart_reported_at, now)
        if len(known.fingerprints) < MAX_RECORDED_REQUESTS:
            known.fingerprints.add(fingerprint)
        return True

    def _entry(self, crash: Crash, sent_at: float, now: float) -> CrashRecord:
        """Return the entry to add a request to that was sent at `sent_at`."""
        key = crash.target, crash.incarnation
        known = self.entries.get(key)
        # A target that was still given requests later had not crashed.
        if known is None or sent_at > known.reported_at + CRASH_SECONDS:
            known = self.entries[key] = CrashRecord(now)
            self.entries.move_to_end(key)
            while len(self.entries) > MAX_CRASH_RECORDS:
                self.entries.popitem(last=False)
        return known

    def remove_request(self, crash: Crash, fingerprint: str) -> None:
        """Remove a request that has not caused the crash."""
        known = self.entries.get((crash.target, crash.incarnation))
        if known is not None:
            known.fingerprints.discard(fingerprint)

    def discard(self, target: str, incarnation: int) -> None:
        """Remove the entry of a process that has not crashed."""
        self.entries.pop((target, incarnation), None)

    def count_until(self, target: str, at: float) -> None:
        """Count requests that were sent until `at` as well."""
        known = self.entries.get((target, 0))
        if known is not None:
            known.reported_at = max(known.reported_at, at)

    def explain(self, crash: Crash, fingerprint: str) -> None:
        """Record that `fingerprint` is condemned for the crash.

        It is empty if none is.
        """
        known = self.entries.get((crash.target, crash.incarnation))
        if known is not None:
            known.cause = fingerprint

    def get(self, target: str, incarnation: int) -> CrashRecord | None:
        """Return the requests that ran there, if known."""
        return self.entries.get((target, incarnation))


class RecentCrashes:
    """Recent crashes of targets, to detect infrastructure failures."""

    def __init__(self):
        self.recent: collections.deque[tuple[float, str]] = collections.deque(
            maxlen=CORRELATED_CRASHES * 8
        )

    def note(self, target: str, now: float) -> None:
        """Record that `target` crashed."""
        self.recent.append((now, target))

    def correlated(self, now: float) -> bool:
        """Return whether several targets crashed at the same time.

        A bad request crashes one target at a time. Simultaneous crashes come
        from a rack, switch or data centre, and make no request a suspect.
        """
        since = now - CORRELATION_SECONDS
        names = {name for when, name in self.recent if when >= since}
        return len(names) >= CORRELATED_CRASHES
