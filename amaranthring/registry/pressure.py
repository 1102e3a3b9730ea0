"""Logs when a keeper's processor or link delays its consensus messages.

A leader is replaced when its messages are late by an election time. The log
line shows whether the event loop was late, the processor was busy, bytes were
queued on the link, the disk was slow, or links to other keepers were silent.
"""

import asyncio
import collections
import time
import typing as t

import logbook

from amaranthring.core import links
from amaranthring.core import logs

log = logbook.Logger(__name__)

# Short enough to catch a loop that is late by a heartbeat (0.1 s).
SAMPLE_SECONDS = 0.1
# At most one line is logged per window.
WINDOW_SECONDS = 0.5
# A loop that is late by a heartbeat delays the group's messages.
LATE_SECONDS = 0.1
# Above this share of the link in one window, messages may queue.
LINK_SHARE = 0.5
MAX_KINDS = 6


async def watch(
    group: t.Any,
    handlers: links.Handlers,
    own_links: t.Callable[[], t.Iterable[links.Link]],
    link_rate: float,
) -> None:
    """Log a line for each window under pressure, until cancelled.

    Parameters
    ----------
    group : consensus.Group
        Named in the log; having no leader counts as pressure.
    handlers : links.Handlers
        Of all its links.
    own_links : callable
        Returns the open links.
    link_rate : float
        Bytes per second that the VM's link carries; 0 if unknown.
    """
    while True:
        sent_before = handlers.sent.copy()
        received_before, bytes_before = (
            handlers.received.copy(),
            handlers.received_bytes,
        )
        cpu_before = time.process_time()
        started_at = time.monotonic()
        group.writer.take_longest_batch()
        delay = await _worst_delay(WINDOW_SECONDS)
        seconds = time.monotonic() - started_at
        sent = handlers.sent - sent_before
        share = sent.total() / (link_rate * seconds) if link_rate else 0.0
        if delay < LATE_SECONDS and share < LINK_SHARE and group.leader():
            continue
        open_links = list(own_links())
        logs.event(
            log,
            "keeper.pressed",
            leader=group.leader(),
            seconds=round(seconds, 3),
            late=round(delay, 3),
            processor=round(time.process_time() - cpu_before, 3),
            link_share=round(share, 2),
            disk=round(group.writer.take_longest_batch(), 3),
            silent=_silent_seconds(group),
            links=len(open_links),
            writing=sum(link.has_unsent_bytes() for link in open_links),
            sent=_most_common(sent),
            received_bytes=handlers.received_bytes - bytes_before,
            received=_most_common(handlers.received - received_before),
        )


async def _worst_delay(seconds: float) -> float:
    """Return the longest delay of the loop within the next `seconds`."""
    delay = 0.0
    for _ in range(int(seconds / SAMPLE_SECONDS)):
        due = time.monotonic() + SAMPLE_SECONDS
        await asyncio.sleep(SAMPLE_SECONDS)
        delay = max(delay, time.monotonic() - due)
    return delay


def _silent_seconds(group: t.Any) -> dict[str, float]:
    """Return the seconds since bytes arrived on the link to each keeper.

    Keyed by the keeper's name; -1 for a keeper without a link.
    """
    now = time.monotonic()
    return {
        name: round(now - peer.dialler.link.received_at, 1)
        if peer.dialler.link
        else -1
        for name, peer in group.peers.items()
    }


def _most_common(counts: collections.Counter) -> dict[str, int]:
    return dict(counts.most_common(MAX_KINDS))
