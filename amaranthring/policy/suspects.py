"""Requests that may have crashed a target.

When a target crashes, all requests in flight there become suspects. A suspect
is retried on a target without another suspect, and is cleared when that run
ends without a crash. It is condemned only if another target crashes during
such a run. Requests that merely ran beside the cause, or on hardware that
failed at the same time, are therefore not condemned.
"""

import collections
import dataclasses

SUSPECT_SECONDS = 600.0
MAX_ENTRIES = 20000
MAX_DEATHS = 4
CORRELATED_CRASHES = 3
CORRELATION_SECONDS = 3.0


@dataclasses.dataclass
class Suspect:
    """A request that may have crashed a target.

    Attributes
    ----------
    key : str
        Determines the directory shard of the entry.
    deaths : list of str
        Targets that crashed while it ran there.
    condemned : bool
        Whether the request is refused.
    expires : float
        Time at which the entry expires, in seconds.
    """

    key: str
    deaths: list[str]
    condemned: bool
    expires: float


class SuspectTable:
    """Bounded table of suspects by request fingerprint."""

    def __init__(self):
        self.entries: collections.OrderedDict[str, Suspect] = (
            collections.OrderedDict()
        )

    def record_crash(
        self, key: str, fingerprint: str, target: str, apart: bool, now: float
    ) -> Suspect:
        """Record that `target` crashed while `fingerprint` ran there.

        Parameters
        ----------
        apart : bool
            Whether it already ran as a suspect, isolated from others.
        """
        suspect = self.get(fingerprint, now)
        if suspect is None:
            suspect = Suspect(key, [], False, 0.0)
            self.entries[fingerprint] = suspect
        is_other = bool(suspect.deaths) and target not in suspect.deaths
        if apart and is_other:
            suspect.condemned = True
        if target not in suspect.deaths:
            suspect.deaths = [*suspect.deaths, target][-MAX_DEATHS:]
        suspect.expires = now + SUSPECT_SECONDS
        self.entries.move_to_end(fingerprint)
        while len(self.entries) > MAX_ENTRIES:
            self.entries.popitem(last=False)
        return suspect

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
