"""Asking the holder of a claim whether it still runs the call.

A claim in progress whose router died would be told as in progress until its
time is over, half a minute in which a caller waits for nothing. The name of
an attempt begins with that of its router, so any router can ask it. The word
of a process that does not run the attempt is certain: whatever it may have
sent was sent before.
"""

import typing as t

from amaranthring import errors
from amaranthring.core import decisions
from amaranthring.core import wire

ASK_SECONDS = 0.5


@wire.message("attempt-ask")
class AskAttempt:
    """Asks a router whether it runs one of its attempts."""

    attempt: str


@wire.message("attempt-told")
class ToldAttempt:
    """Whether the attempt runs, or its settlement is still to be told."""

    running: bool


class Attempts:
    """Claimed attempts that this router runs.

    Parameters
    ----------
    name : str
        This router.
    mesh : object
        Links to the other routers.
    pending : callable
        Returns whether a settlement of an attempt is still to be told.

    Attributes
    ----------
    running : set of str
        Attempts between their claim and their settlement.
    """

    def __init__(self, name: str, mesh, pending: t.Callable[[str], bool]):
        self.name = name
        self.mesh = mesh
        self.pending = pending
        self.running: set[str] = set()

    def add_handlers(self, handlers) -> None:
        """Answer this module's messages from `handlers`."""
        handlers.add(AskAttempt, self.on_ask)

    def on_ask(self, _link, ask: AskAttempt) -> ToldAttempt:
        """Tell whether this router runs an attempt."""
        held = ask.attempt in self.running or self.pending(ask.attempt)
        return ToldAttempt(held)

    async def may_run(self, attempt: str) -> bool:
        """Return False only if the router of `attempt` says it runs no more.

        A router that is down, frozen or cut off says nothing; then the
        claim stays in progress until its time is over.
        """
        request_id = decisions.router_of(attempt)
        router = decisions.router_of(request_id)
        ask = AskAttempt(attempt)
        try:
            told = await self.mesh.call(router, ask, ASK_SECONDS)
        except errors.AmaranthringError:
            return True
        return told.running
