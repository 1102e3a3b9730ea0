"""Cells: groups of targets whose load is counted by one admission owner.

A cell holds targets of one kind that serve exactly the same set of models or
services, so each target belongs to one cell. Up to :data:`MAX_TARGETS` such
targets in a region form one cell. Above that there is a cell per data
centre, and above that again a data centre is split into parts by rendezvous
hashing of target names.

The name of a cell determines its members. Routers that group targets
differently for a few seconds still agree on the members of a named cell.
"""

import collections.abc
import dataclasses
import functools
import urllib.parse

from amaranthring.core import hashing
from amaranthring.core import records

MAX_TARGETS = 16


@dataclasses.dataclass(frozen=True)
class Scope:
    """Parsed form of a cell's name.

    Attributes
    ----------
    kind : str
        Kind of its targets.
    serves : tuple of str
        The sorted set of models or services that each target serves.
    region : str
        Region of its targets.
    data_centre : str
        Data centre of its targets; empty for the whole region.
    part, parts : int
        Index of the part, and number of parts.
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
        """Return whether `target` belongs to the cell."""
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
    fields = [scope.kind, serves, _quote(scope.region)]
    fields.append(_quote(scope.data_centre))
    return "|".join([*fields, str(scope.part), str(scope.parts)])


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="")


def served(target: records.Target) -> tuple[str, ...]:
    """Return the sorted set of models or services of `target`."""
    return tuple(sorted(set(target.serves)))


@functools.lru_cache(maxsize=4096)
def _part(name: str, parts: int) -> int:
    if parts == 1:
        return 0
    chosen = hashing.first(name, [str(part) for part in range(parts)])
    return int(chosen or 0)


@functools.lru_cache(maxsize=1024)
def parse(name: str) -> Scope:
    """Return the scope encoded in `name`.

    Raises
    ------
    ValueError
        If `name` is not the name of a cell.
    """
    kind, serves, region, data_centre, part, parts = name.split("|")
    unquote = urllib.parse.unquote
    return Scope(
        kind,
        tuple(unquote(each) for each in serves.split(",")),
        unquote(region),
        unquote(data_centre),
        int(part),
        int(parts),
    )


def _parts_for(count: int) -> int:
    # Powers of two, so that the number of parts changes rarely. When it does,
    # each target either keeps its part or moves to a new one.
    parts = 1
    while count > parts * MAX_TARGETS:
        parts *= 2
    return parts


def group(
    targets: collections.abc.Iterable[records.Target],
) -> dict[str, list[records.Target]]:
    """Return the members of each cell, by name of the cell.

    Parameters
    ----------
    targets : iterable of Target
        All eligible targets of one kind for one model or service.
    """
    by_scope: dict[Scope, list[records.Target]] = {}
    for target in targets:
        scope = Scope(str(target.kind), served(target), target.region)
        by_scope.setdefault(scope, []).append(target)
    cells: dict[str, list[records.Target]] = {}
    for scope, members in by_scope.items():
        if len(members) <= MAX_TARGETS:
            cells[scope.name] = members
        else:
            _split(scope, members, cells)
    return cells


def _split(scope, members, cells) -> None:
    by_data_centre: dict[str, list[records.Target]] = {}
    for target in members:
        by_data_centre.setdefault(target.data_centre, []).append(target)
    for data_centre, local in by_data_centre.items():
        parts = _parts_for(len(local))
        for target in local:
            part = _part(target.name, parts)
            cell = dataclasses.replace(
                scope, data_centre=data_centre, part=part, parts=parts
            )
            cells.setdefault(cell.name, []).append(target)


def owners(
    name: str,
    targets: collections.abc.Iterable[records.Target],
    live: collections.abc.Callable[[str], list[str]],
) -> list[str]:
    """Return routers in order of precedence as owner of cell `name`.

    Only routers in data centres of its members are eligible, so that a
    network partition never separates an owner from all of its targets. The
    second router is the deputy.

    Parameters
    ----------
    name : str
        Name of the cell.
    targets : iterable of Target
        Its members.
    live : callable
        Returns the live routers of a data centre.
    """
    data_centres = {target.data_centre for target in targets}
    routers = {
        router for data_centre in data_centres for router in live(data_centre)
    }
    return hashing.order(name, routers)
