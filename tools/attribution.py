"""Say from routers' logs which requests were lost, and why prompts were read.

Usage: ``python tools/attribution.py LOG [SECONDS]``. A line of the log is a
JSON object, with the time in seconds and the VM's name before it if the logs
of several VMs were put together. Prints, for each span of SECONDS (2), how
requests ended, and how many tokens of shared parts an engine read or copied
although another one had read them lately, by where the others were:

- ``copied``: from one of them;
- ``being-read``: the others had been sent the part less than 0.4 s before;
- ``near``, ``elsewhere``: an engine that answered within two seconds had the
  part, in the router's data centre or in another one;
- ``quiet``: no engine that had it has answered lately: it drains, has left,
  or is behind a cut.
"""

import collections
import dataclasses
import json
import re
import sys
import typing as t

LOG_LINE = re.compile(r"^\s*(?:(-?[\d.]+) (\S+) )?(\{.*\})\s*$")
# A part that nobody asked for in so long would have yielded to others.
RECENT_USE_SECONDS = 10.0
PREFILL_SECONDS = 0.4
RECENT_ANSWER_SECONDS = 2.0


@dataclasses.dataclass
class Request:
    """A request as its router logged it.

    Attributes
    ----------
    at : float
        When it arrived, in seconds.
    seconds : float
        Until its end.
    attempts : list of tuple of str
        Target and outcome of each.
    copied_to : set of str
        Targets that were to copy the prompt.
    parts : list of tuple of str and int
        Shared parts of its prompt, with their tokens.
    """

    arrived_at: float
    seconds: float
    router: str
    route: str
    outcome: str
    attempts: list[tuple[str, str]]
    copied_to: set[str]
    parts: list[tuple[str, int]]


@dataclasses.dataclass
class Engine:
    """What an engine has read, and when it last answered."""

    data_centre: str = ""
    last_read_at: dict[str, float] = dataclasses.field(default_factory=dict)
    answered_at: float = float("-inf")


class Log:
    """Requests in order, and the engines that the log names."""

    def __init__(self, lines: t.Iterable[str]):
        self.requests: list[Request] = []
        self.engines: dict[str, Engine] = collections.defaultdict(Engine)
        for line in lines:
            self._take(line)
        self.requests.sort(key=lambda one: one.arrived_at)

    def _take(self, line: str) -> None:
        found = LOG_LINE.match(line)
        if found is None:
            return
        try:
            event = json.loads(found[3])
        except ValueError:
            # Cut off where the log was.
            return
        if event.get("event") == "target.changed":
            engine = self.engines[event["target"]]
            engine.data_centre = event.get("data_centre", "")
        if event.get("event") == "request":
            ended = float(found[1] or event["time"])
            self.requests.append(_request(ended, found[2] or "", event))


def _request(ended: float, router: str, event: dict) -> Request:
    attempts = filter(None, event.get("trail", "").split(","))
    copies = filter(None, event.get("copies", "").split(","))
    parts = filter(None, event.get("prompt", "").split(","))
    seconds = event["ms"] / 1e3
    outcome = event["outcome"]
    if outcome == "answered":
        outcome = str(event["status"])
    return Request(
        ended - seconds,
        seconds,
        router,
        event.get("route", "none"),
        outcome,
        [tuple(one.split(":", 1)) for one in attempts],
        {one.split(">")[1] for one in copies},
        # The last part is the request's own.
        [_part(one) for one in parts][:-1],
    )


def _part(text: str) -> tuple[str, int]:
    name, _, tokens = text.rpartition(":")
    return name, int(tokens)


def count_outcomes(log: Log, span: float) -> dict[float, collections.Counter]:
    """Return how many requests ended how, by the span of their arrival."""
    found = collections.defaultdict(collections.Counter)
    for one in log.requests:
        found[_span(one.arrived_at, span)][f"{one.route} {one.outcome}"] += 1
    return found


def count_reprocessed_tokens(
    log: Log, span: float
) -> dict[float, collections.Counter]:
    """Return the tokens read or copied again, by span and cause."""
    found = collections.defaultdict(collections.Counter)
    used: dict[str, float] = {}
    for one in log.requests:
        for target, outcome in one.attempts:
            if outcome.endswith("unreached"):
                continue
            engine = log.engines[target]
            lacking = _lacking(one, engine, used)
            if tokens := sum(size for _, size in lacking):
                cause = _cause(log, one, target, lacking)
                found[_span(one.arrived_at, span)][cause] += tokens
            _note(one, engine, outcome, used)
    return found


def _lacking(one, engine, used) -> list[tuple[str, int]]:
    held = [name in engine.last_read_at for name, _ in one.parts]
    begin = held.index(False) if False in held else len(held)
    return [
        (name, size)
        for name, size in one.parts[begin:]
        if one.arrived_at - used.get(name, float("-inf")) < RECENT_USE_SECONDS
    ]


def _cause(log: Log, one: Request, target: str, lacking) -> str:
    if target in one.copied_to:
        return "copied"
    names = [name for name, _ in lacking]
    holders = [
        engine
        for name, engine in log.engines.items()
        if name != target
        and any(part in engine.last_read_at for part in names)
    ]
    live = [
        h
        for h in holders
        if one.arrived_at - h.answered_at < RECENT_ANSWER_SECONDS
    ]
    if not live:
        return "quiet"
    newest = max(h.last_read_at.get(n, 0.0) for h in live for n in names)
    oldest = min(
        h.last_read_at[n] for h in live for n in names if n in h.last_read_at
    )
    if newest - oldest < PREFILL_SECONDS > one.arrived_at - oldest:
        return "being-read"
    near = any(h.data_centre and h.data_centre in one.router for h in live)
    return "near" if near else "elsewhere"


def _note(one: Request, engine: Engine, outcome: str, used) -> None:
    for name, _ in one.parts:
        engine.last_read_at[name] = used[name] = one.arrived_at
    if outcome == "200":
        engine.answered_at = one.arrived_at + one.seconds


def _span(at: float, span: float) -> float:
    return at // span * span


def main(path: str, span: float = 2.0) -> None:
    """Print both tables."""
    with open(path, encoding="utf-8", errors="replace") as lines:
        log = Log(lines)
    for title, table in (
        ("requests", count_outcomes(log, span)),
        ("tokens read again", count_reprocessed_tokens(log, span)),
    ):
        total = sum(table.values(), collections.Counter())
        print(title, *_cells(total))
        for begin in sorted(table):
            print(f"{begin:9.1f}", *_cells(table[begin]))


def _cells(counter: collections.Counter) -> list[str]:
    return [f"{name}={count}" for name, count in counter.most_common()]


if __name__ == "__main__":
    main(sys.argv[1], *map(float, sys.argv[2:3]))
