"""Cost of the way: processor time, added latency, rate, memory.

Every figure is taken beside a plain relay of tornado's server and client in
the same run, each in a process of its own, so that a busy machine slows
both. Timings are ratios or small sums; they stay out of CI.
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

ENGINE = "amaranthring.testing.engine"
RELAYS = "amaranthring.bench.relays"
READ_BYTES = 64 * 1024
EVENT = b"\ndata: "
END = b"data: [DONE]"
STOP_SECONDS = 5.0
ADDED_P50_SECONDS = 0.002
ADDED_P99_SECONDS = 0.008
SHARE_MOST = 0.5
RATIO_MOST = 1.1
BOUNDS = ((0.5, ADDED_P50_SECONDS), (0.99, ADDED_P99_SECONDS))


@dataclasses.dataclass
class Read:
    """One stream as the load read it.

    Attributes
    ----------
    events : int
        Events read.
    first_seconds : float
        From sending to the first event.
    whole : bool
        Whether the end mark came.
    """

    events: int = 0
    first_seconds: float = 0.0
    whole: bool = False


@dataclasses.dataclass
class Usage:
    """Processor time and memory of a relay."""

    seconds: float
    bytes: int


def usage(port: int) -> Usage:
    """Return what the relay at `port` has used."""
    with urllib.request.urlopen(f"http://127.0.0.1:{port}/usage") as answer:
        return Usage(**json.load(answer))


def request_bytes(tokens: int, number: int, batch: int, token: str) -> bytes:
    """Return a whole HTTP request of a streamed chat."""
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
) -> Read:
    """Ask for one stream and read it to its end."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    began = time.perf_counter()
    writer.write(request_bytes(tokens, number, batch, token))
    found = Read()
    tail = b""
    while data := await reader.read(READ_BYTES):
        # A mark may be cut in two by the reads.
        joined = tail + data
        count = joined.count(EVENT)
        if count and not found.events:
            found.first_seconds = time.perf_counter() - began
        found.events += count
        tail = joined[-(len(EVENT) - 1) :]
        found.whole = found.whole or END in joined[-200:]
    writer.close()
    return found


async def load(
    port: int,
    streams: int,
    tokens: int,
    batch=1,
    token=fake_dependencies.TOKEN,
) -> list[Read]:
    """Read `streams` streams at once; all must be whole."""
    asked = [
        read_stream(port, tokens, n, batch, token) for n in range(streams)
    ]
    found = await asyncio.gather(*asked)
    broken = [one for one in found if one.events != tokens + 1]
    if broken or not all(one.whole for one in found):
        raise AssertionError(f"{len(broken)} of {streams} streams not whole")
    return found


class Processes:
    """Engines and relays of one run, ended by pid."""

    def __init__(self, stack: contextlib.ExitStack):
        self.stack = stack

    def start(self, module: str, *given: str) -> str:
        """Start a module and return the last word of its first line."""
        command = [sys.executable, "-m", module, *given]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.stack.callback(self._end, process)
        return process.stdout.readline().split()[-1]

    def _end(self, process: subprocess.Popen) -> None:
        process.kill()
        process.wait(STOP_SECONDS)
        process.stdout.close()

    def engine(self, name: str, token_seconds: float) -> str:
        """Start an engine and return its address."""
        given = ("--name", name, "--capacity", "10000")
        seconds = ("--token-seconds", str(token_seconds))
        return self.start(ENGINE, *given, *seconds)

    def relay(self, kind: str, *addresses: str) -> int:
        """Start a relay and return its port."""
        return int(self.start(RELAYS, kind, *addresses))


async def cost(port: int, streams: int, tokens: int) -> float:
    """Return the relay's processor time for each event, in seconds."""
    await load(port, 4, 8)
    before = usage(port).seconds
    found = await load(port, streams, tokens)
    spent = usage(port).seconds - before
    return spent / sum(one.events for one in found)


async def first_tokens(
    ports: list[int], requests: int, token=fake_dependencies.TOKEN
) -> list[list[float]]:
    """Return times to the first token by port, taken in turns."""
    found: list[list[float]] = [[] for _ in ports]
    for number in range(requests):
        for times, port in zip(found, ports, strict=True):
            one = await read_stream(port, 2, number, token=token)
            times.append(one.first_seconds)
    return found


def add_latency(
    made: report.Report, direct, through, beside, bounded=True
) -> None:
    """Add the times to the first token, directly and through both relays."""
    made.add("first token, direct, p50", quantile(direct, 0.5) * 1e3, "ms")
    made.add("first token, direct, p99", quantile(direct, 0.99) * 1e3, "ms")
    for name, times in (("way", through), ("plain relay", beside)):
        for share, most in BOUNDS:
            added = quantile(times, share) - quantile(direct, share)
            made.add(
                f"first token, added by the {name}, p{share * 100:.0f}",
                added * 1e3,
                "ms",
                most=most * 1e3 if name == "way" else None,
            )

    made.add(
        "way to plain relay, first token added, p50",
        (quantile(through, 0.5) - quantile(direct, 0.5))
        / (quantile(beside, 0.5) - quantile(direct, 0.5)),
        most=RATIO_MOST if bounded else None,
    )


def add_cost(made: report.Report, plain: float, way: float) -> None:
    """Add processor time for each event, in seconds, of both relays."""
    made.add("plain relay, per event", plain * 1e6, "us")
    made.add("way, per event", way * 1e6, "us")
    made.add(
        "way to plain relay, processor time per event",
        way / plain,
        most=SHARE_MOST,
    )


def quantile(values: list[float], share: float) -> float:
    """Return the value below which `share` of `values` lie."""
    return sorted(values)[int(share * (len(values) - 1))]


async def _run(made, streams, tokens, requests, long_tokens) -> None:
    with contextlib.ExitStack() as stack:
        processes = Processes(stack)
        paced = processes.engine("paced", 0.02)
        plain = processes.relay("plain", paced)
        way = processes.relay("way", paced)
        plain_cost = await cost(plain, streams, tokens)
        way_cost = await cost(way, streams, tokens)
        add_cost(made, plain_cost, way_cost)
        await _latency(made, processes, requests)
        await _rate(made, processes, streams, tokens)
        await _memory(made, processes, long_tokens)


async def _latency(made, processes, requests) -> None:
    quick = processes.engine("quick", 0.0)
    way = processes.relay("way", quick)
    plain = processes.relay("plain", quick)
    ports = [int(quick.rpartition(":")[2]), way, plain]
    await first_tokens(ports, 10)
    add_latency(made, *await first_tokens(ports, requests))


async def _rate(made, processes, streams, tokens) -> None:
    engines = [processes.engine(f"rate{n}", 0.0) for n in range(4)]
    for kind in ("plain", "way"):
        port = processes.relay(kind, *engines)
        await load(port, 4, 8)
        began = time.perf_counter()
        found = await load(port, streams, tokens)
        seconds = time.perf_counter() - began
        events = sum(one.events for one in found)
        made.add(f"{kind}, tokens a second, one process", events / seconds)


async def _memory(made, processes, tokens) -> None:
    engine = processes.engine("long", 0.0)
    port = processes.relay("way", engine)
    await load(port, 4, max(1, tokens // 20))
    before = usage(port).bytes
    await load(port, 4, tokens, batch=50)
    grown = (usage(port).bytes - before) / 2**20
    made.add(
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
    """Measure the way beside a plain relay.

    Parameters
    ----------
    streams, tokens : int
        Streams at once, and tokens in each.
    requests : int
        Requests one after another, for the first token.
    long_tokens : int
        Tokens of the long answers, for memory.
    seed : int
        Taken for the common form; nothing here is drawn at random.
    """
    made = report.Report(f"cost of the way (seed {seed})")
    asyncio.run(_run(made, streams, tokens, requests, long_tokens))
    return made
