"""Says when a keeper's processor or link is what decides the group waits for.

A leader is lost when messages come late by an election time. Whether the
event loop was late, the processor's share used up, or bytes queued before
the link shows only here.
"""

import asyncio
import collections
import time
import typing as t

import logbook

from amaranthring.core import links
from amaranthring.core import logs

log = logbook.Logger(__name__)

# Often enough to catch a loop that is late by a heartbeat (0.1 s).
LOOK_SECONDS = 0.1
# One line in so long at most.
SPAN_SECONDS = 0.5
# A loop that is later than a heartbeat makes the group's messages late.
LATE_SECONDS = 0.1
# Above this share of the link, in one span, messages may queue.
LINK_SHARE = 0.5
KINDS_MOST = 6


async def watch(
    group: t.Any,
    handlers: links.Handlers,
    own_links: t.Callable[[], t.Iterable[links.Link]],
    link_rate: float,
) -> None:
    """Log until cancelled how pressed a keeper is, whenever it is.

    Parameters
    ----------
    group : consensus.Group
        Its part in the log; without a leader it counts as pressed.
    handlers : links.Handlers
        Of all its links.
    own_links : callable
        Returns the links that stand.
    link_rate : float
        Bytes a second that the VM's link carries; 0 if not told.
    """
    while True:
        before = handlers.sent.copy()
        came, came_bytes = handlers.received.copy(), handlers.received_bytes
        busy = time.process_time()
        began = time.monotonic()
        late = await _lateness(SPAN_SECONDS)
        seconds = time.monotonic() - began
        sent = handlers.sent - before
        share = sent.total() / (link_rate * seconds) if link_rate else 0.0
        if late < LATE_SECONDS and share < LINK_SHARE and group.leader():
            continue
        standing = list(own_links())
        logs.event(
            log,
            "keeper.pressed",
            leader=group.leader(),
            seconds=round(seconds, 3),
            late=round(late, 3),
            processor=round(time.process_time() - busy, 3),
            link_share=round(share, 2),
            links=len(standing),
            writing=sum(link.is_writing() for link in standing),
            sent=_most(sent),
            received_bytes=handlers.received_bytes - came_bytes,
            received=_most(handlers.received - came),
        )


async def _lateness(seconds: float) -> float:
    """Return by how much the loop was late at most in the next `seconds`."""
    worst = 0.0
    for _ in range(int(seconds / LOOK_SECONDS)):
        due = time.monotonic() + LOOK_SECONDS
        await asyncio.sleep(LOOK_SECONDS)
        worst = max(worst, time.monotonic() - due)
    return worst


def _most(sent: collections.Counter) -> dict[str, int]:
    return dict(sent.most_common(KINDS_MOST))
