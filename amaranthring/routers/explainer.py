"""Explaining a request through any router: the one that took it is asked."""

import json
import typing as t

from amaranthring import errors
from amaranthring.core import decisions
from amaranthring.core import wire

ASK_SECONDS = 1.0


@wire.message("explain-ask")
class AskDecisions:
    """Asks the router that took a request for its decisions."""

    request_id: str


@wire.message("explain-told")
class ToldDecisions:
    """The decisions as JSON; empty if none are kept."""

    text: str


class Explainer:
    """Finds the decisions about a request wherever they are kept.

    Parameters
    ----------
    name : str
        This router.
    mesh : object
        Links to the other routers.
    ring : decisions.Decisions
        The decisions kept here.
    """

    def __init__(self, name: str, mesh, ring: decisions.Decisions):
        self.name = name
        self.mesh = mesh
        self.decisions = ring

    def add_handlers(self, handlers) -> None:
        """Answer this module's messages from `handlers`."""
        handlers.add(AskDecisions, self.on_ask)

    def on_ask(self, _link, ask: AskDecisions) -> ToldDecisions:
        """Tell what this router decided."""
        found = self.decisions.explain(ask.request_id)
        text = json.dumps(found, default=str) if found else ""
        return ToldDecisions(text)

    async def explain(self, request_id: str) -> dict[str, t.Any]:
        """Return the decisions about a request.

        Raises
        ------
        errors.NotFoundError
            If the id names no router, or the router keeps none.
        errors.LinkError
            If that router cannot be reached.
        """
        router = decisions.router_of(request_id)
        if router == self.name:
            told = self.on_ask(None, AskDecisions(request_id))
        else:
            ask = AskDecisions(request_id)
            told = await self.mesh.call(router, ask, ASK_SECONDS)
        if not told.text:
            raise errors.NotFoundError(
                "no decisions about this request are kept",
                given=request_id,
                expected=f"one of the last requests of {router}",
            )
        return json.loads(told.text)
