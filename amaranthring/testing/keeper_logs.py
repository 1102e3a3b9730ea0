"""Reads the log lines of keepers and routers in a soak."""

import dataclasses
import datetime
import pathlib


@dataclasses.dataclass
class Line:
    """One log line.

    Attributes
    ----------
    at : float
        Unix time in seconds.
    source : str
        Name of the log file without its number of starts: one disk of one
        keeper, or one router process.
    fields : dict
        Fields without spaces in their values.
    """

    at: float
    source: str
    event: str
    fields: dict[str, str]


def read(folder: pathlib.Path) -> list[Line]:
    """Return all lines of the logs ``SOURCE.NUMBER.log``, by time."""
    lines = []
    for path in folder.glob("*.log"):
        source = path.name.partition(".")[0]
        for text in path.read_text(errors="replace").splitlines():
            parts = text.split(" ")
            # A killed process leaves its last line incomplete.
            if len(parts) >= 5 and text[:2] == "20":
                lines.append(_parse(source, parts))
    return sorted(lines, key=lambda line: line.at)


def _parse(source: str, parts: list[str]) -> Line:
    at = datetime.datetime.fromisoformat(parts[0])
    pairs = (part.partition("=") for part in parts[5:] if "=" in part)
    return Line(
        at.replace(tzinfo=datetime.UTC).timestamp(),
        source,
        parts[4],
        {key: value for key, _, value in pairs},
    )


def double_leaders(lines: list[Line]) -> dict[str, set[str]]:
    """Return the terms with more than one leader, and the leaders."""
    leaders: dict[str, set[str]] = {}
    for line in lines:
        if line.event == "keeper.leads":
            leaders.setdefault(line.fields["term"], set()).add(line.source)
    return {term: names for term, names in leaders.items() if len(names) > 1}


def double_votes(lines: list[Line]) -> dict[tuple[str, str], set[str]]:
    """Return disks and terms with votes for more than one candidate."""
    votes: dict[tuple[str, str], set[str]] = {}
    for line in lines:
        if line.event == "keeper.voted":
            key = line.source, line.fields["term"]
            votes.setdefault(key, set()).add(line.fields["candidate"])
    return {key: names for key, names in votes.items() if len(names) > 1}


def leaderships(lines: list[Line], since: float) -> list[str]:
    """Describe when keepers began and ceased to lead after `since`."""
    kinds = ("keeper.leads", "keeper.steps-down")
    return [
        f"{line.at - since:.2f} s {line.source} {line.event} "
        f"term={line.fields['term']} {line.fields.get('reason', '')}".strip()
        for line in lines
        if line.event in kinds and line.at >= since
    ]


def worst_delay(lines: list[Line], since: float) -> float:
    """Return how late any keeper's loop was at worst, in seconds.

    A machine without free processors stops keepers too, and their leader is
    replaced as if it were frozen.
    """
    delays = [
        float(line.fields["late"])
        for line in lines
        if line.event == "keeper.pressed" and line.at >= since
    ]
    return max(delays, default=0.0)


def tails(folder: pathlib.Path, count: int) -> str:
    """Return the last `count` lines of each keeper's newest logs."""
    parts = []
    for path in sorted(folder.glob("k*.log")):
        last = path.read_text(errors="replace").splitlines()[-count:]
        parts.append("\n".join([f"--- {path.name}", *last]))
    return "\n".join(parts)
