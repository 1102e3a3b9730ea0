"""Finds links that carry nothing any more but stay open.

TCP gives up on such a connection after minutes. A peer that answers anything
is not silent, so a link on which nothing arrives is first asked with a probe,
a request that the peer answers without waiting for its disk. That also gives
this process time to read what arrived while it was paused.
"""

import asyncio
import dataclasses
import time
import typing as t

import logbook

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import logs

log = logbook.Logger(__name__)

# Shares of the time after which a link counts as silent: how often it is
# checked, and after how long without a byte it is probed.
CHECK_SHARE = 0.125
PROBE_SHARE = 0.5


@dataclasses.dataclass
class Silence:
    """How long nothing has arrived on a link.

    Attributes
    ----------
    quiet, asked, probed : float
        Seconds since bytes last arrived, since the first request after that
        was sent, and since the probe was sent.
    is_probed : bool
        Whether a probe was sent.
    """

    link: links.Link | None = None
    received_at: float = 0.0
    quiet: float = 0.0
    asked: float = 0.0
    probed: float = 0.0
    is_probed: bool = False

    def add(self, seconds: float) -> None:
        """Count `seconds` more, if still nothing has arrived."""
        if self.link.received_at != self.received_at:
            self.restart(self.link)
            return
        self.quiet += seconds
        if self.link.asked:
            self.asked += seconds
        if self.is_probed:
            self.probed += seconds

    def restart(self, link: links.Link | None) -> None:
        """Count from now on, on `link`."""
        self.link = link
        self.received_at = link.received_at if link else 0.0
        self.quiet = self.asked = self.probed = 0.0
        self.is_probed = False


async def watch(
    dialler: links.Dialler, probe: t.Any, seconds: float
) -> t.NoReturn:
    """Replace the dialler's link whenever it has fallen silent.

    Parameters
    ----------
    probe : object
        A registered message that the peer answers at once.
    seconds : float
        How long a request may be unanswered, with nothing else arriving.
    """
    step = seconds * CHECK_SHARE
    silence = Silence()
    while True:
        before = time.monotonic()
        await asyncio.sleep(step)
        elapsed = time.monotonic() - before
        if dialler.link is not silence.link:
            silence.restart(dialler.link)
        if silence.link is None:
            continue
        silence.add(elapsed)
        if silence.quiet >= seconds * PROBE_SHARE and not silence.is_probed:
            _probe(silence, probe)
        elif (
            silence.asked >= seconds
            and silence.probed >= seconds * PROBE_SHARE
        ):
            await _replace(dialler, silence)


def _probe(silence: Silence, probe: t.Any) -> None:
    silence.is_probed = True
    try:
        silence.link.ask(probe)
    except errors.LinkError:
        # The link is closed, or its buffer is full of requests that wait for a
        # reply as the probe would.
        pass


async def _replace(dialler: links.Dialler, silence: Silence) -> None:
    replaced = await dialler.replace(silence.link)
    logs.event(
        log,
        "link.silent",
        peer=silence.link.peer.name,
        seconds=round(silence.asked, 3),
        replaced=replaced,
    )
    silence.restart(dialler.link)
