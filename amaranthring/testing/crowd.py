"""Clients that send what no well-behaved client sends, and a process's use.

Each client of a crowd holds one connection. It follows a script that writes
to the connection, and then keeps it open until the crowd is told to leave.
"""

import asyncio
import collections
import os
import pathlib
import socket
import struct
import typing as t

__all__ = ["Crowd", "Usage", "UsageWatch", "chunk", "usage"]

CONNECT_SECONDS = 10.0
# A script that takes longer is reset in its midst.
RESET_SECONDS = 0.5
POLL_SECONDS = 0.05
MEGABYTE = 2**20
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
ESTABLISHED = "01"
# Small, so that a client notices soon that nothing more is read.
SEND_BUFFER_BYTES = 64 * 1024

Script = t.Callable[[asyncio.StreamWriter], t.Awaitable[None]]


def chunk(data: bytes) -> bytes:
    """Return `data` as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class Crowd:
    """Clients that each run `script` on a connection to one address.

    Parameters
    ----------
    address : tuple of str and int
        Host and port.
    count : int
        Number of clients.
    resets : bool
        Whether each resets its connection after the script, or in the midst
        of it, and begins again.

    Attributes
    ----------
    outcomes : Counter
        Status lines, or how connections ended.
    """

    def __init__(
        self,
        address: tuple[str, int],
        script: Script,
        count: int,
        resets: bool = False,
    ):
        self.address = address
        self.script = script
        self.resets = resets
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.gone = asyncio.Event()
        self.sent = [asyncio.Event() for _ in range(count)]
        self.tasks = [
            asyncio.ensure_future(self._client(sent)) for sent in self.sent
        ]

    async def wait_sent(self, seconds: float) -> None:
        """Wait until all scripts have ended, or `seconds` have passed."""
        waits = [asyncio.ensure_future(event.wait()) for event in self.sent]
        _, pending = await asyncio.wait(waits, timeout=seconds)
        for wait in pending:
            wait.cancel()

    async def leave(self) -> None:
        """Close all connections."""
        self.gone.set()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _client(self, sent: asyncio.Event) -> None:
        while not self.gone.is_set():
            await self._connection(sent)
            if not self.resets:
                await self.gone.wait()

    async def _connection(self, sent: asyncio.Event) -> None:
        writer = None
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                reader, writer = await asyncio.open_connection(*self.address)
            writer.transport.set_write_buffer_limits(high=SEND_BUFFER_BYTES)
            if self.resets:
                await self._send_and_reset(writer, sent)
                return
            await self._send_and_hold(reader, writer, sent)
        except (OSError, TimeoutError) as error:
            self.outcomes[type(error).__name__] += 1
        finally:
            sent.set()
            if writer is not None:
                writer.transport.abort()

    async def _send_and_reset(self, writer, sent: asyncio.Event) -> None:
        try:
            async with asyncio.timeout(RESET_SECONDS):
                await self.script(writer)
        except TimeoutError:
            pass
        sock = writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sent.set()
        self.outcomes["reset by itself"] += 1

    async def _send_and_hold(self, reader, writer, sent) -> None:
        heard = asyncio.ensure_future(reader.readline())
        script = asyncio.ensure_future(self.script(writer))
        try:
            await asyncio.wait(
                {script, heard}, return_when=asyncio.FIRST_COMPLETED
            )
            if script.done():
                script.result()
            sent.set()
            line = await heard
            self.outcomes[line.decode("latin1").strip() or "closed"] += 1
            await self.gone.wait()
        finally:
            script.cancel()
            heard.cancel()
            await asyncio.gather(script, heard, return_exceptions=True)


class Usage(t.NamedTuple):
    """What a process uses.

    Attributes
    ----------
    memory : float
        Resident megabytes, with what has arrived at its sockets unread.
    descriptors : int
        Open ones.
    """

    memory: float = 0.0
    descriptors: int = 0


def usage(pid: int, ip: str = "") -> Usage:
    """Return what process `pid` uses.

    Parameters
    ----------
    ip : str
        Address that no other process has; without one, unread bytes are not
        counted.
    """
    process = pathlib.Path("/proc") / str(pid)
    try:
        resident = int((process / "statm").read_text().split()[1])
        descriptors = len(os.listdir(process / "fd"))
    except OSError:
        return Usage()
    memory = resident * PAGE_BYTES + (unread_bytes(ip) if ip else 0)
    return Usage(memory / MEGABYTE, descriptors)


def unread_bytes(ip: str) -> int:
    """Return the bytes that have arrived unread at connections of `ip`."""
    own = struct.unpack("=I", socket.inet_aton(ip))[0]
    unread = 0
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    for line in lines:
        fields = line.split()
        address = int(fields[1].partition(":")[0], 16)
        if fields[3] == ESTABLISHED and address == own:
            unread += int(fields[4].partition(":")[2], 16)
    return unread


class UsageWatch:
    """Greatest use of a process while it is watched.

    Attributes
    ----------
    peak : Usage
        The greatest memory, and the greatest number of descriptors.
    """

    def __init__(self, pid: int, ip: str = ""):
        self.pid = pid
        self.ip = ip
        self.peak = Usage()
        self.task = asyncio.ensure_future(self._run())

    def check(self) -> Usage:
        """Measure now, and return the peak."""
        now = usage(self.pid, self.ip)
        self.peak = Usage(*map(max, self.peak, now))
        return self.peak

    async def _run(self) -> None:
        while True:
            self.check()
            await asyncio.sleep(POLL_SECONDS)

    def stop(self) -> None:
        """Stop watching."""
        self.task.cancel()
