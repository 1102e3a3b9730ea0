"""What one process has still to be told of prompt places."""

import typing as t

# News beyond so many are dropped, the least urgent first.
MAX_UPDATES = 20_000


class Backlog:
    """Pairs that one process has still to be told, the most urgent first.

    A part of a long beginning takes as many bytes to tell of as one of a
    short one, and costs more where a router doesn't know its place and has
    it read again. Few parts hold most of the tokens, so where the link has
    no room for all, a router knows in a moment what is worth most.

    Parameters
    ----------
    rank : callable
        Of a part; those with the highest go first. There are few ranks.
    known : list of list of str
        What was known when it came, the lowest rank first; shared by all
        who came together, as a copy for each router would fill the memory.
    """

    def __init__(self, rank: t.Callable[[str], int], known: list[list[str]]):
        self.priority = rank
        self.initial = known
        self.remaining = len(known)
        self.updates: dict[int, list[list[str]]] = {}

    def __len__(self) -> int:
        return self.remaining + sum(map(len, self.updates.values()))

    def add(self, pairs: dict[int, list[list[str]]]) -> None:
        """Add pairs that are new, by rank."""
        for rank, ranked in pairs.items():
            self.updates.setdefault(rank, []).extend(ranked)
        if sum(map(len, self.updates.values())) > MAX_UPDATES:
            del self.updates[min(self.updates)]

    def take(self, most: int) -> list[list[str]]:
        """Remove and return up to `most` pairs, the most urgent last.

        Among those of a rank, what came last is the most likely to be asked
        for next.
        """
        taken: list[list[str]] = []
        while len(taken) < most and len(self):
            taken = self._take_rank(most - len(taken)) + taken
        return taken

    def _take_rank(self, most: int) -> list[list[str]]:
        """Remove and return up to `most` pairs of the highest rank."""
        rank = max(self.updates, default=-1)
        if (
            self.remaining
            and self.priority(self.initial[self.remaining - 1][0]) > rank
        ):
            return self._take_known(most, rank)
        held = self.updates[rank]
        taken = held[-most:]
        del held[-most:]
        if not held:
            del self.updates[rank]
        return taken

    def _take_known(self, most: int, above: int) -> list[list[str]]:
        """Remove and return up to `most` known pairs above a rank."""
        last = self.remaining
        first = max(0, last - most)
        while self.remaining > first and (
            self.priority(self.initial[self.remaining - 1][0]) > above
        ):
            self.remaining -= 1
        return self.initial[self.remaining : last]


def fair_shares(wanted: dict[t.Any, int], room: int) -> dict[t.Any, int]:
    """Share `room` alike; what one does not want goes to the others."""
    shares = {}
    for to in sorted(wanted, key=wanted.get):
        shares[to] = min(wanted[to], room // (len(wanted) - len(shares)))
        room -= shares[to]
    return shares
