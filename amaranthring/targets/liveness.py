"""Whether a target still runs after it broke off a request.

A target is alive if it answers a small request, and dead if its address
refuses connections. Neither a connection that is accepted nor one that is
reset decides: the kernel accepts connections for a process that is ending,
stopped or stalled.
"""

import asyncio
import enum
import typing as t

import logbook

from amaranthring.core import background
from amaranthring.core import logs
from amaranthring.core import timeouts

log = logbook.Logger(__name__)

# Limits the delay of a retry after a broken connection.
ANSWER_SECONDS = 0.15
CONNECT_SECONDS = 1.0
# Time for which a silent target is asked.
MAX_SECONDS = 600.0
# Pauses between inquiries whose connections were closed without an answer.
FIRST_PAUSE_SECONDS = 0.01
MAX_PAUSE_SECONDS = 1.0


class Verdict(enum.StrEnum):
    """What is known about a target."""

    ALIVE = "alive"
    DEAD = "dead"
    SILENT = "silent"


class Addressed(t.Protocol):
    """A target as an inquiry needs it: its name and ``host:port``."""

    name: str
    address: str


Ask = t.Callable[[Addressed], t.Awaitable[Verdict]]


class Inquiry:
    """Asks one target whether it runs, until it answers or is dead.

    Parameters
    ----------
    target : Addressed
        Target to ask.
    ask : callable, optional
        Asks once; by default with a small request.
    first_pause : float
        Seconds between the first two times.
    max_seconds : float
        Time for which a silent target is asked.

    Attributes
    ----------
    verdict : Verdict
        ``SILENT`` until the target has answered or is dead.
    """

    def __init__(
        self,
        target: Addressed,
        ask: Ask | None = None,
        first_pause: float = FIRST_PAUSE_SECONDS,
        max_seconds: float = MAX_SECONDS,
    ):
        self.target = target
        self.ask = ask or request_options
        self.first_pause = first_pause
        self.max_seconds = max_seconds
        self.verdict = Verdict.SILENT
        self.task = background.start("liveness", self._run())

    async def wait(self, seconds: float) -> Verdict:
        """Return the verdict, or ``SILENT`` if there is none in time.

        Parameters
        ----------
        seconds : float
            Maximum wait, not counting stalls of this process.
        """
        try:
            async with timeouts.timeout(seconds):
                await asyncio.shield(self.task)
        except TimeoutError:
            self._log()
        return self.verdict

    async def settle(self) -> Verdict:
        """Return the last verdict: ``SILENT`` if the target is given up."""
        await asyncio.wait({self.task})
        return self.verdict

    def stop(self) -> None:
        """Stop asking."""
        self.task.cancel()

    async def _run(self) -> None:
        try:
            async with asyncio.timeout(self.max_seconds):
                await self._ask_until_decided()
        except TimeoutError:
            pass
        self._log()

    async def _ask_until_decided(self) -> None:
        pause = self.first_pause
        while True:
            self.verdict = await self.ask(self.target)
            if self.verdict is not Verdict.SILENT:
                return
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_PAUSE_SECONDS)

    def _log(self) -> None:
        logs.event(
            log,
            "target.asked",
            target=self.target.name,
            incarnation=getattr(self.target, "incarnation", ""),
            verdict=str(self.verdict),
        )


async def request_options(target: Addressed) -> Verdict:
    """Ask once; wait for the answer as long as the connection lasts."""
    writer: asyncio.StreamWriter | None = None
    try:
        reader, writer = await _connect(target)
        writer.write(_request(target.address))
        answered = await reader.read(1)
    except ConnectionRefusedError:
        return Verdict.DEAD
    except (OSError, ValueError, TimeoutError):
        return Verdict.SILENT
    finally:
        if writer is not None:
            writer.transport.abort()
    return Verdict.ALIVE if answered else Verdict.SILENT


async def try_connection(target: Addressed) -> Verdict:
    """Ask by a connection alone, which shows only that a target is dead."""
    try:
        _, writer = await _connect(target)
    except ConnectionRefusedError:
        return Verdict.DEAD
    except (OSError, ValueError, TimeoutError):
        return Verdict.SILENT
    writer.transport.abort()
    return Verdict.SILENT


async def can_connect(target: Addressed) -> bool:
    """Return whether a connection to the target can be made."""
    try:
        _, writer = await _connect(target)
    except (OSError, ValueError, TimeoutError):
        return False
    writer.transport.abort()
    return True


async def _connect(target: Addressed):
    host, _, port = target.address.rpartition(":")
    async with timeouts.timeout(CONNECT_SECONDS):
        return await asyncio.open_connection(host.strip("[]"), int(port))


def _request(address: str) -> bytes:
    """Return ``OPTIONS *``, which every HTTP server answers somehow."""
    lines = (
        "OPTIONS * HTTP/1.1",
        f"Host: {address}",
        "Connection: close",
        "Content-Length: 0",
    )
    return "\r\n".join([*lines, "", ""]).encode("latin1")
