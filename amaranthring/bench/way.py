"""Cost of request execution: processor time, added latency, rate, memory.

Request execution, called "way" in the report, is compared with a plain relay
of tornado's server and client in the same run. Each runs in a process of its
own, so that a busy machine slows both. Timings are not checked in CI.
"""

import asyncio
import contextlib
import dataclasses
import json
import subprocess
import sys
import time
import urllib.request

from amaranthring.bench import report
from amaranthring.testing import fake_dependencies

ENGINE_MODULE = "amaranthring.testing.engine"
RELAY_MODULE = "amaranthring.bench.relays"
READ_BYTES = 64 * 1024
EVENT_PREFIX = b"\ndata: "
END_EVENT = b"data: [DONE]"
STOP_SECONDS = 5.0
MAX_ADDED_P50_SECONDS = 0.002
MAX_ADDED_P99_SECONDS = 0.008
MAX_PROCESSOR_RATIO = 0.5
MAX_LATENCY_RATIO = 1.1
ADDED_LATENCY_BOUNDS = (
    (0.5, MAX_ADDED_P50_SECONDS),
    (0.99, MAX_ADDED_P99_SECONDS),
)


@dataclasses.dataclass
class StreamResult:
    """Result of reading one stream.

    Attributes
    ----------
    events : int
        Events read.
    first_seconds : float
        From sending to the first event.
    complete : bool
        Whether the end event arrived.
    """

    events: int = 0
    first_seconds: float = 0.0
    complete: bool = False


@dataclasses.dataclass
class Usage:
    """Processor time and memory of a relay."""

    seconds: float
    bytes: int


def usage(port: int) -> Usage:
    """Return the usage of the relay at `port`."""
    with urllib.request.urlopen(f"http://127.0.0.1:{port}/usage") as answer:
        return Usage(**json.load(answer))


def request_bytes(tokens: int, number: int, batch: int, token: str) -> bytes:
    """Return an HTTP request for a streamed answer."""
    message = {"role": "user", "content": f"question {number}"}
    body = json.dumps(
        {
            "model": "m1",
            "messages": [message],
            "stream": True,
            "max_tokens": tokens,
            "stand_in_batch": batch,
        }
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
        f"Authorization: Bearer {token}\r\n"
        f"Amaranthring-Request-Id: bench-{number}\r\n"
        f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def read_stream(
    port: int, tokens: int, number=0, batch=1, token=fake_dependencies.TOKEN
) -> StreamResult:
    """Request one stream and read it to its end."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    started = time.perf_counter()
    writer.write(request_bytes(tokens, number, batch, token))
    result = StreamResult()
    tail = b""
    while data := await reader.read(READ_BYTES):
        # An event prefix may be split between two reads.
        joined = tail + data
        count = joined.count(EVENT_PREFIX)
        if count and not result.events:
            result.first_seconds = time.perf_counter() - started
        result.events += count
        tail = joined[-(len(EVENT_PREFIX) - 1) :]
        result.complete = result.complete or END_EVENT in joined[-200:]
    writer.close()
    return result


async def read_streams(
    port: int,
    streams: int,
    tokens: int,
    batch=1,
    token=fake_dependencies.TOKEN,
) -> list[StreamResult]:
    """Read `streams` streams concurrently; all must be complete."""
    reads = [
        read_stream(port, tokens, n, batch, token) for n in range(streams)
    ]
    results = await asyncio.gather(*reads)
    incomplete = [result for result in results if result.events != tokens + 1]
    if incomplete or not all(result.complete for result in results):
        raise AssertionError(
            f"{len(incomplete)} of {streams} streams incomplete"
        )
    return results


class Processes:
    """Engine and relay processes of one run, killed at its end."""

    def __init__(self, stack: contextlib.ExitStack):
        self.stack = stack

    def start(self, module: str, *arguments: str) -> str:
        """Start a module and return the last word of its first line."""
        command = [sys.executable, "-m", module, *arguments]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.stack.callback(self._end, process)
        return process.stdout.readline().split()[-1]

    def _end(self, process: subprocess.Popen) -> None:
        process.kill()
        process.wait(STOP_SECONDS)
        process.stdout.close()

    def engine(self, name: str, token_seconds: float) -> str:
        """Start an engine and return its address."""
        arguments = ("--name", name, "--capacity", "10000")
        pace = ("--token-seconds", str(token_seconds))
        return self.start(ENGINE_MODULE, *arguments, *pace)

    def relay(self, kind: str, *addresses: str) -> int:
        """Start a relay and return its port."""
        return int(self.start(RELAY_MODULE, kind, *addresses))


async def seconds_per_event(port: int, streams: int, tokens: int) -> float:
    """Return the relay's processor time per event, in seconds."""
    await read_streams(port, 4, 8)
    before = usage(port).seconds
    results = await read_streams(port, streams, tokens)
    seconds = usage(port).seconds - before
    return seconds / sum(result.events for result in results)


async def first_token_times(
    ports: list[int], requests: int, token=fake_dependencies.TOKEN
) -> list[list[float]]:
    """Return times to first token by port, measured in turn."""
    found: list[list[float]] = [[] for _ in ports]
    for number in range(requests):
        for times, port in zip(found, ports, strict=True):
            result = await read_stream(port, 2, number, token=token)
            times.append(result.first_seconds)
    return found


def add_latency(
    results: report.Report, direct, product, baseline, bounded=True
) -> None:
    """Add the times to first token, direct and through both relays."""
    results.add("first token, direct, p50", quantile(direct, 0.5) * 1e3, "ms")
    results.add("first token, direct, p99", quantile(direct, 0.99) * 1e3, "ms")
    for name, times in (("way", product), ("plain relay", baseline)):
        for share, most in ADDED_LATENCY_BOUNDS:
            added = quantile(times, share) - quantile(direct, share)
            results.add(
                f"first token, added by the {name}, p{share * 100:.0f}",
                added * 1e3,
                "ms",
                most=most * 1e3 if name == "way" else None,
            )

    results.add(
        "way to plain relay, first token added, p50",
        (quantile(product, 0.5) - quantile(direct, 0.5))
        / (quantile(baseline, 0.5) - quantile(direct, 0.5)),
        most=MAX_LATENCY_RATIO if bounded else None,
    )


def add_cost(results: report.Report, plain: float, product: float) -> None:
    """Add the processor seconds per event of both relays."""
    results.add("plain relay, per event", plain * 1e6, "us")
    results.add("way, per event", product * 1e6, "us")
    results.add(
        "way to plain relay, processor time per event",
        product / plain,
        most=MAX_PROCESSOR_RATIO,
    )


def quantile(values: list[float], share: float) -> float:
    """Return the `share` quantile of `values`."""
    return sorted(values)[int(share * (len(values) - 1))]


async def _run(results, streams, tokens, requests, long_tokens) -> None:
    with contextlib.ExitStack() as stack:
        processes = Processes(stack)
        paced = processes.engine("paced", 0.02)
        plain = processes.relay("plain", paced)
        product = processes.relay("way", paced)
        plain_cost = await seconds_per_event(plain, streams, tokens)
        product_cost = await seconds_per_event(product, streams, tokens)
        add_cost(results, plain_cost, product_cost)
        await _latency(results, processes, requests)
        await _throughput(results, processes, streams, tokens)
        await _memory(results, processes, long_tokens)


async def _latency(results, processes, requests) -> None:
    engine = processes.engine("quick", 0.0)
    product = processes.relay("way", engine)
    plain = processes.relay("plain", engine)
    ports = [int(engine.rpartition(":")[2]), product, plain]
    await first_token_times(ports, 10)
    add_latency(results, *await first_token_times(ports, requests))


async def _throughput(results, processes, streams, tokens) -> None:
    engines = [processes.engine(f"rate{n}", 0.0) for n in range(4)]
    for kind in ("plain", "way"):
        port = processes.relay(kind, *engines)
        await read_streams(port, 4, 8)
        started = time.perf_counter()
        streams_read = await read_streams(port, streams, tokens)
        seconds = time.perf_counter() - started
        events = sum(stream.events for stream in streams_read)
        results.add(f"{kind}, tokens a second, one process", events / seconds)


async def _memory(results, processes, tokens) -> None:
    engine = processes.engine("long", 0.0)
    port = processes.relay("way", engine)
    await read_streams(port, 4, max(1, tokens // 20))
    before = usage(port).bytes
    await read_streams(port, 4, tokens, batch=50)
    grown = (usage(port).bytes - before) / 2**20
    results.add(
        f"way, memory grown by 4 answers of {tokens} tokens",
        grown,
        "MiB",
        most=8.0,
    )


def run(
    streams: int = 40,
    tokens: int = 300,
    requests: int = 300,
    long_tokens: int = 20_000,
    seed: int = 0,
) -> report.Report:
    """Compare request execution with a plain relay.

    Parameters
    ----------
    streams, tokens : int
        Concurrent streams, and tokens in each.
    requests : int
        Sequential requests, for the time to first token.
    long_tokens : int
        Tokens in each long answer, for memory.
    seed : int
        Only shown in the title; nothing here is random.
    """
    results = report.Report(f"cost of the way (seed {seed})")
    asyncio.run(_run(results, streams, tokens, requests, long_tokens))
    return results
