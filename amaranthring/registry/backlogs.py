"""Queues of locations that are still to be sent to a process."""

import typing as t

# Above this the updates of the lowest priority are dropped.
MAX_UPDATES = 20_000


class Backlog:
    """Locations that are still to be sent to one process, by priority.

    Locations of short and long prompt parts take the same bytes to send, but a
    long part costs more when a router does not know where it is cached and
    has it computed again. Few parts hold most of the tokens, so they go
    first when the link has no room for all.

    Parameters
    ----------
    priority : callable
        Returns the priority of a part; the highest goes first. There are few
        distinct values.
    initial : list of list of str
        Locations known when the process linked, the lowest priority first.
        Backlogs that begin together share it, to save memory.
    """

    def __init__(
        self, priority: t.Callable[[str], int], initial: list[list[str]]
    ):
        self.priority = priority
        self.initial = initial
        self.remaining = len(initial)
        self.updates: dict[int, list[list[str]]] = {}

    def __len__(self) -> int:
        return self.remaining + sum(map(len, self.updates.values()))

    def add(self, pairs: dict[int, list[list[str]]]) -> None:
        """Add new locations, grouped by priority."""
        for priority, locations in pairs.items():
            self.updates.setdefault(priority, []).extend(locations)
        if sum(map(len, self.updates.values())) > MAX_UPDATES:
            del self.updates[min(self.updates)]

    def take(self, limit: int) -> list[list[str]]:
        """Remove and return up to `limit` locations, the most urgent last.

        Within a priority the latest go first: they are the most likely to be
        requested next.
        """
        taken: list[list[str]] = []
        while len(taken) < limit and len(self):
            taken = self._take_top(limit - len(taken)) + taken
        return taken

    def _take_top(self, limit: int) -> list[list[str]]:
        """Remove and return up to `limit` locations of the top priority."""
        priority = max(self.updates, default=-1)
        if (
            self.remaining
            and self.priority(self.initial[self.remaining - 1][0]) > priority
        ):
            return self._take_initial(limit, priority)
        queued = self.updates[priority]
        taken = queued[-limit:]
        del queued[-limit:]
        if not queued:
            del self.updates[priority]
        return taken

    def _take_initial(self, limit: int, above: int) -> list[list[str]]:
        """Remove and return up to `limit` initial locations above `above`."""
        last = self.remaining
        first = max(0, last - limit)
        while self.remaining > first and (
            self.priority(self.initial[self.remaining - 1][0]) > above
        ):
            self.remaining -= 1
        return self.initial[self.remaining : last]


def fair_shares(wanted: dict[t.Any, int], room: int) -> dict[t.Any, int]:
    """Divide `room` evenly; what one does not need goes to the others."""
    shares = {}
    for receiver in sorted(wanted, key=wanted.get):
        shares[receiver] = min(
            wanted[receiver], room // (len(wanted) - len(shares))
        )
        room -= shares[receiver]
    return shares
