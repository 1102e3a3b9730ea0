"""Which releases of each service have served within the last minutes.

Records of targets are removed soon after these have left or fallen silent,
while a stream that one of them began may still be taken up.
"""

import collections.abc
import typing as t

from amaranthring.policy import bindings

__all__ = ["ReleaseHistory"]

# Releases of all services; those seen last are kept.
MAX_RELEASES = 2000


class ReleaseHistory:
    """Releases by service, with the time when each was last seen.

    Parameters
    ----------
    clock : callable
        Seconds; continues while the VM is suspended.

    Attributes
    ----------
    seen_at : dict of tuple to float
        When a service and release were last seen, in that order.
    """

    def __init__(self, clock: t.Callable[[], float]):
        self.clock = clock
        self.seen_at: dict[tuple[str, str], float] = {}

    def record(self, service: str, release: str, age: float = 0.0) -> bool:
        """Record that a release has served; return whether it is new.

        Parameters
        ----------
        age : float
            Seconds since it was seen.
        """
        key = service, release
        known_at = self.seen_at.pop(key, float("-inf"))
        self.seen_at[key] = max(self.clock() - age, known_at)
        if len(self.seen_at) > MAX_RELEASES:
            del self.seen_at[min(self.seen_at, key=self.seen_at.__getitem__)]
        return known_at <= self._oldest()

    def merge(
        self, ages: collections.abc.Mapping[str, dict[str, float]]
    ) -> None:
        """Record what another process knows: ages by service and release."""
        for service, releases in ages.items():
            for release, age in releases.items():
                self.record(service, release, age)

    def releases(self, service: str) -> set[str]:
        """Return the releases of a service that have served of late."""
        oldest = self._oldest()
        return {
            release
            for (name, release), seen_at in self.seen_at.items()
            if name == service and seen_at > oldest
        }

    def ages(self) -> dict[str, dict[str, float]]:
        """Return the seconds since each release was seen, by service."""
        now, oldest = self.clock(), self._oldest()
        ages: dict[str, dict[str, float]] = {}
        for (service, release), seen_at in self.seen_at.items():
            if seen_at > oldest:
                ages.setdefault(service, {})[release] = now - seen_at
        return ages

    def _oldest(self) -> float:
        return self.clock() - bindings.HISTORY_SECONDS
