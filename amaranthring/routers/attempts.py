"""Asks the router that holds a claim whether the attempt still runs.

Without this, a claim of a router that died stays in progress until it
expires and blocks the caller's retry for half a minute. The name of an
attempt begins with its router's name, so any router can ask. A negative
answer is final: the attempt sends nothing more.
"""

import typing as t

from amaranthring import errors
from amaranthring.core import decisions
from amaranthring.core import wire

ASK_TIMEOUT_SECONDS = 0.5


@wire.message("attempt-ask")
class AttemptStatusRequest:
    """Asks a router whether an attempt of its own still runs."""

    attempt: str


@wire.message("attempt-told")
class AttemptStatus:
    """Whether the attempt runs or its settlement is still pending."""

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
        Returns whether the settlement of an attempt is still unsent.

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
        """Register this module's message handlers."""
        handlers.add(AttemptStatusRequest, self.on_ask)

    def on_ask(self, _link, ask: AttemptStatusRequest) -> AttemptStatus:
        """Report whether this router runs an attempt."""
        running = ask.attempt in self.running or self.pending(ask.attempt)
        return AttemptStatus(running)

    async def may_run(self, attempt: str) -> bool:
        """Return False only if the router of `attempt` says that it ended.

        If that router cannot be reached, the claim stays in progress until
        it expires.
        """
        request_id = decisions.router_name(attempt)
        router = decisions.router_name(request_id)
        ask = AttemptStatusRequest(attempt)
        try:
            status = await self.mesh.call(router, ask, ASK_TIMEOUT_SECONDS)
        except errors.AmaranthringError:
            return True
        return status.running
