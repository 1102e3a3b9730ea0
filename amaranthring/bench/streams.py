"""What it costs to know which version began each stream.

Memory is measured as growth of the resident set while a keeper records streams
at the peak rate, until the first of them are forgotten. Message sizes are
exact.
"""

import gc
import time

from amaranthring.bench import claims_memory
from amaranthring.bench import report
from amaranthring.core import links
from amaranthring.core import wire
from amaranthring.policy import bindings
from amaranthring.policy import route_history
from amaranthring.registry import messages
from amaranthring.registry import stream_ledger
from amaranthring.registry import stream_messages
from amaranthring.registry import targets

PEAK_STREAMS_PER_SECOND = 3300
ROUTERS = 370
KEEPERS = 7
TARGETS = 900
SERVICES = 6
REPORTS_PER_SECOND = 4
BINDING = bindings.Binding("model-service-1", "v1.1")


class Clock:
    """A clock that the benchmark sets."""

    def __init__(self):
        self.now = 0.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


def make_ledger(clock: Clock) -> stream_ledger.StreamLedger:
    """Return the ledger of a keeper that knows all targets."""
    table = targets.TargetTable(clock, 1.5)
    for number in range(TARGETS):
        table.merge(
            messages.TargetRecord(
                f"t{number}",
                f"model-service-{number % SERVICES}",
                f"v{number}:1",
                "here",
                f"v{number % 2}",
                sequence=1,
            )
        )
    return stream_ledger.StreamLedger(links.Handlers(), table, 0.0, clock)


def fill(
    ledger: stream_ledger.StreamLedger, clock: Clock, seconds: int, rate: int
) -> float:
    """Record `rate` streams a second; return the seconds for one stream."""
    spent = 0.0
    batch = rate // REPORTS_PER_SECOND
    for number in range(seconds * REPORTS_PER_SECOND):
        clock.now += 1 / REPORTS_PER_SECOND
        keys = [
            bindings.stream_key("account", f"{number}-{n}")
            for n in range(batch)
        ]
        groups = stream_messages.pack({BINDING: keys})
        started = time.perf_counter()
        ledger.merge(groups)
        spent += time.perf_counter() - started
    return spent / (seconds * REPORTS_PER_SECOND * batch)


def _size(message, kind=wire.ONE_WAY) -> int:
    return len(wire.encode(kind, 1, message))


def run(rate: int = PEAK_STREAMS_PER_SECOND) -> report.Report:
    """Measure a keeper that records `rate` streams a second."""
    results = report.Report(f"streams: {rate} streams a second")
    clock = Clock()
    ledger = make_ledger(clock)
    gc.collect()
    before = claims_memory.resident_bytes()
    seconds = int(bindings.MAX_GENERATIONS * bindings.GENERATION_SECONDS) - 1
    spent = fill(ledger, clock, seconds, rate)
    gc.collect()
    kept = len(ledger.bindings)
    memory = claims_memory.resident_bytes() - before
    results.add("streams that are kept", kept, "", most=rate * 90)
    results.add("memory of a stream", memory / kept, "bytes", most=200)
    results.add("memory of all", memory / 2**20, "MB", most=64)
    results.add("recording a stream", spent * 1e6, "us")
    results.add("share of a core for it", spent * rate)
    _add_messages(results, rate)
    return results


def _add_messages(results: report.Report, rate: int) -> None:
    key = bindings.stream_key("account", "stream")
    one = stream_messages.pack({BINDING: [key]})
    two = stream_messages.pack({BINDING: [key, key]})
    each = len(wire.encode_value(two)) - len(wire.encode_value(one))
    results.add("a stream in a report", each, "bytes", most=17)
    of_router = rate / ROUTERS
    results.add(
        "a router's streams a second, in reports", each * of_router, "bytes"
    )
    prompt = _size(stream_messages.StreamsBound(one))
    results.add(
        "the same while several versions serve", prompt * of_router, "bytes"
    )
    told = each * rate
    results.add("a keeper hears a second", told, "bytes")
    results.add(
        "a keeper tells a second", told / KEEPERS * (KEEPERS - 1), "bytes"
    )
    question = stream_messages.FindStream(
        key, BINDING.service, route_history.route_key("host", "/prefix/")
    )
    answer = stream_messages.StreamFound(
        True, BINDING.service, BINDING.release, 1.0
    )
    results.add(
        "asking all keepers for a stream",
        KEEPERS * (_size(question, wire.REQUEST) + _size(answer, wire.REPLY)),
        "bytes",
    )
