"""Cells: the groups of targets whose load one admission owner counts.

A cell holds targets of one kind that serve exactly the same set of models or
services, so that each target is in one cell and is counted once. As long as
a region has few such targets they form one cell, whose mean is then exact;
above :data:`TARGETS_MOST` there is a cell for each data centre, and above
that again several parts by rendezvous of the target's name.

The name of a cell states its members completely. Two routers that group
differently for a few seconds therefore still agree on what a named cell is.
"""

import collections.abc
import dataclasses
import functools
import urllib.parse

from amaranthring.core import hashing
from amaranthring.core import records

TARGETS_MOST = 16


@dataclasses.dataclass(frozen=True)
class Scope:
    """What the name of a cell says.

    Attributes
    ----------
    kind : str
        Kind of its targets.
    serves : tuple of str
        The exact set that each of its targets serves, sorted.
    region : str
        Region of its targets.
    data_centre : str
        Data centre of its targets; empty for the whole region.
    part, parts : int
        Which of how many parts of that.
    """

    kind: str
    serves: tuple[str, ...]
    region: str
    data_centre: str = ""
    part: int = 0
    parts: int = 1

    @property
    def name(self) -> str:
        """Return the cell's name."""
        return _name(self)

    def holds(self, target: records.Target) -> bool:
        """Return whether `target` is a member."""
        return (
            target.kind == self.kind
            and target.region == self.region
            and self.data_centre in ("", target.data_centre)
            and served(target) == self.serves
            and _part(target.name, self.parts) == self.part
        )


@functools.lru_cache(maxsize=4096)
def _name(scope: Scope) -> str:
    serves = ",".join(_quote(each) for each in scope.serves)
    texts = [scope.kind, serves, _quote(scope.region)]
    texts.append(_quote(scope.data_centre))
    return "|".join([*texts, str(scope.part), str(scope.parts)])


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="")


def served(target: records.Target) -> tuple[str, ...]:
    """Return the sorted set of what `target` serves."""
    return tuple(sorted(set(target.serves)))


@functools.lru_cache(maxsize=4096)
def _part(name: str, parts: int) -> int:
    if parts == 1:
        return 0
    found = hashing.first(name, [str(part) for part in range(parts)])
    return int(found or 0)


@functools.lru_cache(maxsize=1024)
def parse(name: str) -> Scope:
    """Return the scope that `name` states.

    Raises
    ------
    ValueError
        If `name` was not made by :attr:`Scope.name`.
    """
    kind, serves, region, data_centre, part, parts = name.split("|")
    plain = urllib.parse.unquote
    return Scope(
        kind,
        tuple(plain(each) for each in serves.split(",")),
        plain(region),
        plain(data_centre),
        int(part),
        int(parts),
    )


def _parts_for(count: int) -> int:
    # Powers of two: the number of parts changes rarely, and when it does
    # each target either stays or moves to a new part.
    parts = 1
    while count > parts * TARGETS_MOST:
        parts *= 2
    return parts


def group(
    targets: collections.abc.Iterable[records.Target],
) -> dict[str, list[records.Target]]:
    """Return the members of each cell by the cell's name.

    Parameters
    ----------
    targets : iterable of Target
        All eligible targets for one kind and one model or service.
    """
    alike: dict[Scope, list[records.Target]] = {}
    for target in targets:
        scope = Scope(str(target.kind), served(target), target.region)
        alike.setdefault(scope, []).append(target)
    found: dict[str, list[records.Target]] = {}
    for scope, members in alike.items():
        if len(members) <= TARGETS_MOST:
            found[scope.name] = members
        else:
            _split(scope, members, found)
    return found


def _split(scope, members, found) -> None:
    local: dict[str, list[records.Target]] = {}
    for target in members:
        local.setdefault(target.data_centre, []).append(target)
    for data_centre, near in local.items():
        parts = _parts_for(len(near))
        for target in near:
            part = _part(target.name, parts)
            cell = dataclasses.replace(
                scope, data_centre=data_centre, part=part, parts=parts
            )
            found.setdefault(cell.name, []).append(target)


def owners(
    name: str,
    targets: collections.abc.Iterable[records.Target],
    live: collections.abc.Callable[[str], list[str]],
) -> list[str]:
    """Return routers in the order in which they own cell `name`.

    Only routers of data centres that hold members are taken, so that an
    owner is never cut off from all of its targets. The second is the deputy.

    Parameters
    ----------
    name : str
        The cell.
    targets : iterable of Target
        Its members.
    live : callable
        Live routers of a data centre.
    """
    near = {target.data_centre for target in targets}
    routers = {router for centre in near for router in live(centre)}
    return hashing.order(name, routers)
