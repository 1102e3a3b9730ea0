"""Kept connections to targets, each of proven good order.

A new connection costs a target a millisecond and a slot for that time. A
kept one saves that, but may be stale: closed by the target at the very
moment, silent since a cut, or with bytes on it that belong to no request.
Every kept connection is watched while it idles, and one that ends or says
anything meanwhile is closed. The caller decides how long an idle time it
trusts.
"""

import asyncio
import collections
import dataclasses
import socket
import time
import typing as t

# A target states for how long it keeps an idle connection; a request that
# leaves in the last part of that time may cross the close.
USED_SHARE = 0.6
# What a target keeps that states nothing, in seconds.
UNSTATED_SECONDS = 2.0
EXPIRE_SECONDS = 1.0
# Bytes that stay without acknowledgement for so long lead nowhere: the
# connection went silent, or the target's VM lost its power. Two lost packets
# in a row are sent again within that time (0.2 and 0.4 s).
UNACKED_MILLISECONDS = 700


@dataclasses.dataclass
class IdleConnection:
    """An idle connection.

    Attributes
    ----------
    since : float
        Monotonic seconds at which it became idle.
    until : float
        Monotonic seconds after which it must not be used.
    watch : asyncio.Task
        Ends when the target closes or says anything.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    since: float
    until: float
    watch: asyncio.Task


class Pool:
    """Idle connections by target.

    Parameters
    ----------
    most : callable
        Returns how many connections to one target may idle.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        most: t.Callable[[], int] = lambda: 8,
        clock: t.Callable[[], float] = time.monotonic,
    ):
        self.max_idle = most
        self.clock = clock
        self.idle: dict[str, list[IdleConnection]] = collections.defaultdict(
            list
        )

    async def acquire(self, name: str, idle_most: float):
        """Return a kept connection to target `name`, or None.

        Parameters
        ----------
        idle_most : float
            Longest time in seconds for which it may have idled.
        """
        now = self.clock()
        held = self.idle.get(name, [])
        while held:
            # The one used last is the freshest.
            kept = held.pop()
            sound = not kept.watch.done() and now < kept.until
            if not sound or now - kept.since > idle_most:
                _close(kept)
                continue
            kept.watch.cancel()
            await asyncio.wait({kept.watch})
            if kept.watch.cancelled() and not kept.reader.at_eof():
                return kept.reader, kept.writer
            _close(kept)
        return None

    def release(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        stated: float | None,
    ) -> None:
        """Keep a connection whose last answer ended in good order.

        Parameters
        ----------
        stated : float, optional
            Seconds for which the target said that it keeps it.
        """
        held = self.idle[name]
        seconds = UNSTATED_SECONDS if stated is None else stated
        if len(held) >= self.max_idle() or seconds <= 0:
            writer.transport.abort()
            return
        now = self.clock()
        watch = asyncio.ensure_future(_until_spoiled(reader))
        until = now + USED_SHARE * seconds
        held.append(IdleConnection(reader, writer, now, until, watch))

    def drop(self, name: str) -> None:
        """Close all idle connections to target `name`."""
        for kept in self.idle.pop(name, []):
            _close(kept)

    def expire(self) -> None:
        """Close what is spoiled or has idled for too long."""
        now = self.clock()
        for name, held in list(self.idle.items()):
            sound = []
            for kept in held:
                if kept.watch.done() or now >= kept.until:
                    _close(kept)
                else:
                    sound.append(kept)
            if sound:
                self.idle[name] = sound
            else:
                del self.idle[name]

    async def run(self) -> None:
        """Expire connections until cancelled."""
        while True:
            await asyncio.sleep(EXPIRE_SECONDS)
            self.expire()


async def _until_spoiled(reader: asyncio.StreamReader) -> None:
    try:
        await reader.read(1)
    except OSError:
        # Reset: spoiled like any other end.
        return


def _close(kept: IdleConnection) -> None:
    kept.watch.cancel()
    kept.writer.transport.abort()


def set_ack_timeout(writer: asyncio.StreamWriter) -> None:
    """Let a connection fail when what is sent on it is not acknowledged."""
    held = writer.get_extra_info("socket")
    if held is not None and hasattr(socket, "TCP_USER_TIMEOUT"):
        held.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MILLISECONDS
        )
