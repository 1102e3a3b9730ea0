"""What an admission owner knows of the requests in flight in its cell.

Each grant has a lease that its entry router renews. Only own grants are
counted, never what reports say beyond them: while two owners grant in one
cell, each keeps *its own* part below ``ceil(c * its mean)``, and such parts
add up to less than ``c`` times the whole mean, but for the rounding. Adding
lagging reports to one side breaks this sum; measured, it was worse.
"""

import collections
import collections.abc
import dataclasses

LEASE_SECONDS = 4.0
GRACE_SECONDS = 1.5

Key = tuple[str, int]


@dataclasses.dataclass
class Lease:
    """One grant in flight.

    Attributes
    ----------
    target : str
        Where it runs.
    expires : float
        When its lease ends, on the owner's clock.
    suspect : bool
        Whether it may be what crashed a target.
    """

    target: str
    expires: float
    suspect: bool = False


class LeaseTable:
    """Requests in flight by target."""

    def __init__(self):
        self.held: dict[Key, Lease] = {}
        self.serials: dict[str, set[int]] = {}
        self.load: collections.Counter[str] = collections.Counter()
        self.suspects: dict[str, Key] = {}

    def add(self, key: Key, held: Lease) -> None:
        """Count a grant."""
        self.held[key] = held
        self.serials.setdefault(key[0], set()).add(key[1])
        self.load[held.target] += 1
        if held.suspect:
            self.suspects[held.target] = key

    def drop(self, key: Key) -> bool:
        """Count a grant no longer; return whether it was counted."""
        held = self.held.pop(key, None)
        if held is None:
            return False
        router, serial = key
        self.serials[router].discard(serial)
        if not self.serials[router]:
            del self.serials[router]
        self.load[held.target] -= 1
        if not self.load[held.target]:
            del self.load[held.target]
        if self.suspects.get(held.target) == key:
            del self.suspects[held.target]
        return True

    def renew(
        self, router: str, held: dict[int, tuple[str, bool]], now: float
    ) -> None:
        """Renew the leases of what `router` holds; take up what is new.

        Parameters
        ----------
        router : str
            Entry router.
        held : dict
            Serial to target and whether the request is a suspect.
        now : float
            On the owner's clock, in seconds.
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
        """End what `router` does not know of any more: its release is lost.

        Serials from `next_serial` on are younger than what the router told.
        """
        for serial in list(self.serials.get(router, ())):
            if serial < next_serial and serial not in known:
                self.drop((router, serial))

    def shorten(self, router: str, now: float) -> None:
        """Let the leases of a router that the mesh gave up end soon.

        The verdict may be about a link only; a router that lives says so
        within the grace and keeps its grants.
        """
        for serial in self.serials.get(router, ()):
            held = self.held[router, serial]
            held.expires = min(held.expires, now + GRACE_SECONDS)

    def expire(self, now: float) -> int:
        """End leases that ran out; return how many."""
        late = [key for key, held in self.held.items() if held.expires <= now]
        for key in late:
            self.drop(key)
        return len(late)
