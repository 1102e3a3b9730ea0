"""Links that a keeper accepted, without those whose other end is gone.

A router or keeper that loses power or whose connection falls silent closes
nothing, and the keeper would go on counting it and sending it everything.
"""

import collections

import logbook

from amaranthring.core import links
from amaranthring.core import logs

log = logbook.Logger(__name__)

# A router asks each keeper twice a second, and keepers probe the links that
# they dial, several times a second.
SILENT_SECONDS = 5.0
# The same where the other end has dialled again since. Exceeds the longest
# time between two requests of a router: its wait for a reply and its interval.
REPLACED_SECONDS = 2.0
# A sweep that comes later than this counts nothing as silent: what arrived
# meanwhile is not read yet.
PAUSE_SECONDS = 1.0


class AcceptedLinks:
    """The accepted links of a keeper, by the process at their other end.

    Parameters
    ----------
    now : float
        Monotonic seconds, as of :attr:`links.Link.received_at`.
    """

    def __init__(self, now: float):
        self.swept_at = now
        # Links of one process are in the order in which they were accepted.
        self.by_peer: collections.defaultdict[
            tuple[str, str], list[links.Link]
        ] = collections.defaultdict(list)

    def add(self, link: links.Link) -> None:
        """Add `link`; close those of earlier incarnations of its peer."""
        accepted = self.by_peer[_key(link)]
        for other in list(accepted):
            if other.peer.incarnation < link.peer.incarnation:
                _close(other, "restarted", link.received_at)
        accepted.append(link)

    def remove(self, link: links.Link) -> None:
        """Remove a closed link."""
        accepted = self.by_peer[_key(link)]
        if link in accepted:
            accepted.remove(link)
        if not accepted:
            del self.by_peer[_key(link)]

    def close_silent(self, now: float) -> None:
        """Close the links on which nothing has arrived for too long."""
        paused = now - self.swept_at > PAUSE_SECONDS
        self.swept_at = now
        if paused:
            return
        for accepted in list(self.by_peer.values()):
            for link in list(accepted):
                replaced = link is not accepted[-1]
                limit = REPLACED_SECONDS if replaced else SILENT_SECONDS
                if now - link.received_at > limit:
                    reason = "replaced" if replaced else "silent"
                    _close(link, reason, now)


def _key(link: links.Link) -> tuple[str, str]:
    return link.peer.role, link.peer.name


def _close(link: links.Link, reason: str, now: float) -> None:
    logs.event(
        log,
        "link.given-up",
        peer=link.peer.name,
        role=link.peer.role,
        reason=reason,
        seconds=round(now - link.received_at, 3),
    )
    link.close()
