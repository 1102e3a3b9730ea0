"""Leases of the requests in flight in one cell, as its owner counts them.

Each grant has a lease that its entry router renews. Only the owner's own
grants are counted, not the targets' load reports. While two owners grant in
one cell, each keeps its part of a target's load within ``ceil(c * m)``, where
``c`` is the load bound and ``m`` the mean of its own parts. Both parts add up
to less than ``c`` times the overall mean, apart from rounding. Adding lagging
reports to either part would break this bound.
"""

import collections
import collections.abc
import dataclasses

LEASE_SECONDS = 4.0
GRACE_SECONDS = 1.5

Key = tuple[str, int]


@dataclasses.dataclass
class Lease:
    """Lease of one request in flight.

    Attributes
    ----------
    target : str
        Name of the target.
    expires : float
        Expiry time on the owner's clock.
    suspect : bool
        Whether the request may have crashed a target.
    """

    target: str
    expires: float
    suspect: bool = False


class LeaseTable:
    """Leases by key, with the load of each target.

    Attributes
    ----------
    held : dict of Key to Lease
        All leases.
    serials : dict of str to set of int
        Serial numbers of the leases of each entry router.
    suspects : dict of str to Key
        By target, the lease of the suspect that runs there.
    """

    def __init__(self):
        self.held: dict[Key, Lease] = {}
        self.serials: dict[str, set[int]] = {}
        self.load: collections.Counter[str] = collections.Counter()
        self.suspects: dict[str, Key] = {}

    def add(self, key: Key, lease: Lease) -> None:
        """Add a lease and count its request."""
        self.held[key] = lease
        self.serials.setdefault(key[0], set()).add(key[1])
        self.load[lease.target] += 1
        if lease.suspect:
            self.suspects[lease.target] = key

    def drop(self, key: Key) -> bool:
        """Remove a lease; return whether there was one."""
        lease = self.held.pop(key, None)
        if lease is None:
            return False
        router, serial = key
        self.serials[router].discard(serial)
        if not self.serials[router]:
            del self.serials[router]
        self.load[lease.target] -= 1
        if not self.load[lease.target]:
            del self.load[lease.target]
        if self.suspects.get(lease.target) == key:
            del self.suspects[lease.target]
        return True

    def renew(
        self, router: str, held: dict[int, tuple[str, bool]], now: float
    ) -> None:
        """Renew the leases that `router` reports, and add missing ones.

        Parameters
        ----------
        router : str
            Entry router.
        held : dict
            Target and suspect flag by serial number.
        now : float
            Time on the owner's clock, in seconds.
        """
        for serial, (target, suspect) in held.items():
            key = (router, serial)
            known = self.held.get(key)
            if known is not None and known.target == target:
                known.expires = now + LEASE_SECONDS
                continue
            self.drop(key)
            self.add(key, Lease(target, now + LEASE_SECONDS, suspect))

    def keep_only(
        self, router: str, next_serial: int, known: collections.abc.Container
    ) -> None:
        """Drop leases of `router` not in `known`: their release was lost.

        Serials from `next_serial` on are newer than the report and stay.
        """
        for serial in list(self.serials.get(router, ())):
            if serial < next_serial and serial not in known:
                self.drop((router, serial))

    def shorten(self, router: str, now: float) -> None:
        """Shorten the leases of a router that was reported lost.

        Possibly only a link failed: a live router renews its leases within
        the grace period and keeps them.
        """
        for serial in self.serials.get(router, ()):
            lease = self.held[router, serial]
            lease.expires = min(lease.expires, now + GRACE_SECONDS)

    def expire(self, now: float) -> int:
        """Drop expired leases; return how many."""
        expired = [
            key for key, lease in self.held.items() if lease.expires <= now
        ]
        for key in expired:
            self.drop(key)
        return len(expired)
