"""Looks up a request's decisions, at the router that accepted the request."""

import json
import typing as t

from amaranthring import errors
from amaranthring.core import decisions
from amaranthring.core import wire

ASK_TIMEOUT_SECONDS = 1.0


@wire.message("explain-ask")
class DecisionsRequest:
    """Asks the router that accepted a request for its decisions."""

    request_id: str


@wire.message("explain-told")
class DecisionsReply:
    """The decisions as JSON, or empty if none are recorded."""

    text: str


class Explainer:
    """Finds the decisions about a request on any router.

    Parameters
    ----------
    name : str
        This router.
    mesh : object
        Links to the other routers.
    decision_log : decisions.DecisionLog
        Decisions recorded by this router.
    """

    def __init__(self, name: str, mesh, decision_log: decisions.DecisionLog):
        self.name = name
        self.mesh = mesh
        self.decisions = decision_log

    def add_handlers(self, handlers) -> None:
        """Register this module's message handlers."""
        handlers.add(DecisionsRequest, self.on_ask)

    def on_ask(self, _link, ask: DecisionsRequest) -> DecisionsReply:
        """Return this router's decisions about a request."""
        explanation = self.decisions.explain(ask.request_id)
        text = json.dumps(explanation, default=str) if explanation else ""
        return DecisionsReply(text)

    async def explain(self, request_id: str) -> dict[str, t.Any]:
        """Return the decisions about a request.

        Raises
        ------
        errors.NotFoundError
            If the id names no router, or the router has no decisions.
        errors.LinkError
            If that router cannot be reached.
        """
        router = decisions.router_name(request_id)
        if router == self.name:
            reply = self.on_ask(None, DecisionsRequest(request_id))
        else:
            ask = DecisionsRequest(request_id)
            reply = await self.mesh.call(router, ask, ASK_TIMEOUT_SECONDS)
        if not reply.text:
            raise errors.NotFoundError(
                "no decisions are recorded for this request",
                given=request_id,
                expected=f"one of the last requests of {router}",
            )
        return json.loads(reply.text)
