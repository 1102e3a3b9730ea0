"""Count request outcomes and reprocessed prompt tokens in routers' logs.

Usage: ``python tools/attribution.py LOG [SECONDS]``. Each line of the log is a
JSON object; in a merged log of several VMs, the time in seconds and the name
of the VM precede it. Prints, for each interval of SECONDS (default 2), the
outcomes of requests and the tokens of shared prompt parts that an engine had
to process or copy although they had been requested in the last 10 s, by cause:

- ``copied``: the engine was told to copy the prompt from another engine;
- ``being-read``: the other engines had received it less than 0.4 s before;
- ``near``, ``elsewhere``: an engine that had answered in the last 2 s held
  the part, in the router's data centre or only in others;
- ``quiet``: no engine that held the part had answered in the last 2 s, for
  example because it was draining, stopped or unreachable.
"""

import collections
import dataclasses
import json
import re
import sys
import typing as t

LOG_LINE = re.compile(r"^\s*(?:(-?[\d.]+) (\S+) )?(\{.*\})\s*$")
# A part that was not requested for longer counts as evicted everywhere.
RECENT_USE_SECONDS = 10.0
PREFILL_SECONDS = 0.4
RECENT_ANSWER_SECONDS = 2.0


@dataclasses.dataclass
class Request:
    """A request from the log of its router.

    Attributes
    ----------
    arrived_at : float
        Time of arrival in seconds.
    seconds : float
        Duration.
    attempts : list of tuple of str
        Target and outcome of each attempt.
    copied_to : set of str
        Targets that were told to copy the prompt from another engine.
    parts : list of tuple of str and int
        Shared parts of the prompt with their token counts.
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
    """When an engine last received each part, and when it last answered."""

    data_centre: str = ""
    last_read_at: dict[str, float] = dataclasses.field(default_factory=dict)
    answered_at: float = float("-inf")


class Log:
    """Requests in order of arrival, and the engines that the log names."""

    def __init__(self, lines: t.Iterable[str]):
        self.requests: list[Request] = []
        self.engines: dict[str, Engine] = collections.defaultdict(Engine)
        for line in lines:
            self._add_line(line)
        self.requests.sort(key=lambda request: request.arrived_at)

    def _add_line(self, line: str) -> None:
        match = LOG_LINE.match(line)
        if match is None:
            return
        try:
            event = json.loads(match[3])
        except ValueError:
            # A line may be truncated where its log ends.
            return
        if event.get("event") == "target.changed":
            engine = self.engines[event["target"]]
            engine.data_centre = event.get("data_centre", "")
        # The router that handed a request over logs it, too.
        is_own = not event.get("handed_over_by")
        if event.get("event") == "request" and is_own:
            ended_at = float(match[1] or event["time"])
            self.requests.append(
                _parse_request(ended_at, match[2] or "", event)
            )


def _parse_request(ended_at: float, router: str, event: dict) -> Request:
    attempts = filter(None, event.get("trail", "").split(","))
    copies = filter(None, event.get("copies", "").split(","))
    parts = filter(None, event.get("prompt", "").split(","))
    seconds = event["ms"] / 1e3
    outcome = event["outcome"]
    if outcome == "answered":
        outcome = str(event["status"])
    return Request(
        ended_at - seconds,
        seconds,
        router,
        event.get("route", "none"),
        outcome,
        [tuple(attempt.split(":", 1)) for attempt in attempts],
        {copy.split(">")[1] for copy in copies},
        # The last part is not shared.
        [_parse_part(part) for part in parts][:-1],
    )


def _parse_part(text: str) -> tuple[str, int]:
    name, _, tokens = text.rpartition(":")
    return name, int(tokens)


def count_outcomes(
    log: Log, interval: float
) -> dict[float, collections.Counter]:
    """Return counts of routes and outcomes, by interval of arrival."""
    counts = collections.defaultdict(collections.Counter)
    for request in log.requests:
        counts[_interval_start(request.arrived_at, interval)][
            f"{request.route} {request.outcome}"
        ] += 1
    return counts


def count_reprocessed_tokens(
    log: Log, interval: float
) -> dict[float, collections.Counter]:
    """Return reprocessed or copied tokens, by interval and cause."""
    counts = collections.defaultdict(collections.Counter)
    last_requested_at: dict[str, float] = {}
    for request in log.requests:
        for target, outcome in request.attempts:
            if outcome.endswith("unreached"):
                continue
            engine = log.engines[target]
            missing = _missing_parts(request, engine, last_requested_at)
            if tokens := sum(size for _, size in missing):
                cause = _cause(log, request, target, missing)
                counts[_interval_start(request.arrived_at, interval)][
                    cause
                ] += tokens
            _record_attempt(request, engine, outcome, last_requested_at)
    return counts


def _missing_parts(
    request, engine, last_requested_at
) -> list[tuple[str, int]]:
    received = [name in engine.last_read_at for name, _ in request.parts]
    first_missing = (
        received.index(False) if False in received else len(received)
    )
    return [
        (name, size)
        for name, size in request.parts[first_missing:]
        if request.arrived_at - last_requested_at.get(name, float("-inf"))
        < RECENT_USE_SECONDS
    ]


def _cause(log: Log, request: Request, target: str, missing) -> str:
    if target in request.copied_to:
        return "copied"
    names = [name for name, _ in missing]
    holders = [
        engine
        for name, engine in log.engines.items()
        if name != target
        and any(part in engine.last_read_at for part in names)
    ]
    responsive = [
        h
        for h in holders
        if request.arrived_at - h.answered_at < RECENT_ANSWER_SECONDS
    ]
    if not responsive:
        return "quiet"
    newest = max(h.last_read_at.get(n, 0.0) for h in responsive for n in names)
    oldest = min(
        h.last_read_at[n]
        for h in responsive
        for n in names
        if n in h.last_read_at
    )
    if newest - oldest < PREFILL_SECONDS > request.arrived_at - oldest:
        return "being-read"
    near = any(
        h.data_centre and h.data_centre in request.router for h in responsive
    )
    return "near" if near else "elsewhere"


def _record_attempt(
    request: Request, engine: Engine, outcome: str, last_requested_at
) -> None:
    for name, _ in request.parts:
        engine.last_read_at[name] = last_requested_at[name] = (
            request.arrived_at
        )
    if outcome == "200":
        engine.answered_at = request.arrived_at + request.seconds


def _interval_start(time: float, interval: float) -> float:
    return time // interval * interval


def main(path: str, interval: float = 2.0) -> None:
    """Print the totals and the counts of each interval."""
    with open(path, encoding="utf-8", errors="replace") as lines:
        log = Log(lines)
    for title, table in (
        ("requests", count_outcomes(log, interval)),
        ("tokens read again", count_reprocessed_tokens(log, interval)),
    ):
        total = sum(table.values(), collections.Counter())
        print(title, *_format_counts(total))
        for start in sorted(table):
            print(f"{start:9.1f}", *_format_counts(table[start]))


def _format_counts(counter: collections.Counter) -> list[str]:
    return [f"{name}={count}" for name, count in counter.most_common()]


if __name__ == "__main__":
    main(sys.argv[1], *map(float, sys.argv[2:3]))
