"""Requests whose run coincided with the death of a target.

The death of a target makes everything that ran there suspect, for it is not
known what caused it. A suspect runs on, apart from other suspects, and is
cleared when that run ends. Only a second death, of another target, during
such a run condemns it: what merely ran beside the culprit, or twice on
failing hardware at the same moment, is never condemned by that.
"""

import collections
import dataclasses

SUSPECT_SECONDS = 600.0
ENTRIES_MOST = 20000
DEATHS_MOST = 4
MANY_DEATHS = 3
TOGETHER_SECONDS = 3.0


@dataclasses.dataclass
class Suspect:
    """What is held against one request.

    Attributes
    ----------
    key : str
        Places the entry on its shard.
    deaths : list of str
        Targets that died while it ran there.
    condemned : bool
        Whether it is refused from now on.
    expires : float
        When it is forgotten, in seconds.
    """

    key: str
    deaths: list[str]
    condemned: bool
    expires: float


class SuspectTable:
    """Bounded table of suspects by fingerprint."""

    def __init__(self):
        self.entries: collections.OrderedDict[str, Suspect] = (
            collections.OrderedDict()
        )

    def record_crash(
        self, key: str, fingerprint: str, target: str, apart: bool, now: float
    ) -> Suspect:
        """Note that `target` died while `fingerprint` ran there.

        Parameters
        ----------
        apart : bool
            Whether it ran as a suspect, apart from others.
        """
        suspect = self.get(fingerprint, now)
        if suspect is None:
            suspect = Suspect(key, [], False, 0.0)
            self.entries[fingerprint] = suspect
        other = bool(suspect.deaths) and target not in suspect.deaths
        if apart and other:
            suspect.condemned = True
        if target not in suspect.deaths:
            suspect.deaths = [*suspect.deaths, target][-DEATHS_MOST:]
        suspect.expires = now + SUSPECT_SECONDS
        self.entries.move_to_end(fingerprint)
        while len(self.entries) > ENTRIES_MOST:
            self.entries.popitem(last=False)
        return suspect

    def get(self, fingerprint: str, now: float) -> Suspect | None:
        """Return what is held against `fingerprint`, if anything."""
        suspect = self.entries.get(fingerprint)
        if suspect is not None and suspect.expires <= now:
            del self.entries[fingerprint]
            return None
        return suspect

    def clear(self, fingerprint: str) -> None:
        """Forget `fingerprint`: its target outlived the run.

        A condemned one stays, as its caller may have sent it twice.
        """
        suspect = self.entries.get(fingerprint)
        if suspect is not None and not suspect.condemned:
            del self.entries[fingerprint]

    def adopt(self, fingerprint: str, suspect: Suspect) -> None:
        """Take an entry over from another shard."""
        self.entries.setdefault(fingerprint, suspect)


class RecentCrashes:
    """Recent deaths of targets, to tell a broken rack from a bad request."""

    def __init__(self):
        self.recent: collections.deque[tuple[float, str]] = collections.deque(
            maxlen=MANY_DEATHS * 8
        )

    def note(self, target: str, now: float) -> None:
        """Note that `target` died."""
        self.recent.append((now, target))

    def correlated(self, now: float) -> bool:
        """Return whether many targets died just now.

        A request brings down one target at a time; a rack, a switch or a
        data centre takes many. Their requests are no suspects.
        """
        since = now - TOGETHER_SECONDS
        names = {name for when, name in self.recent if when >= since}
        return len(names) >= MANY_DEATHS
