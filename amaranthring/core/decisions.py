"""Bounded log of decisions, from which a request can be explained.

Every router keeps the decisions about its most recent requests. A request ID
begins with the name of the router that accepted the request, so any router
can find the one to ask.
"""

import collections
import dataclasses
import time
import typing as t
import uuid

MAX_REQUESTS = 4096
MAX_DECISIONS_PER_REQUEST = 64


@dataclasses.dataclass
class Decision:
    """One step of a request.

    Attributes
    ----------
    seconds : float
        Seconds since the first decision about the request.
    event : str
        Stable event name of the step.
    fields : dict
        Inputs to the decision.
    """

    seconds: float
    event: str
    fields: dict[str, t.Any]


class DecisionLog:
    """Decisions of one router; the oldest request is evicted first."""

    def __init__(self, max_requests: int = MAX_REQUESTS, clock=time.time):
        self.max_requests = max_requests
        self.clock = clock
        self.started_at: dict[str, float] = {}
        self.by_request: collections.OrderedDict[str, list[Decision]] = (
            collections.OrderedDict()
        )

    def record(self, request_id: str, event: str, **fields: t.Any) -> None:
        """Record a decision about a request.

        Only the first decisions of a request are kept, so that one that is
        retried endlessly cannot grow the log.
        """
        decisions = self.by_request.get(request_id)
        if decisions is None:
            decisions = self.by_request[request_id] = []
            self.started_at[request_id] = self.clock()
            if len(self.by_request) > self.max_requests:
                oldest, _ = self.by_request.popitem(last=False)
                del self.started_at[oldest]
        if len(decisions) < MAX_DECISIONS_PER_REQUEST:
            elapsed = self.clock() - self.started_at[request_id]
            decisions.append(Decision(round(elapsed, 6), event, fields))

    def explain(self, request_id: str) -> dict[str, t.Any] | None:
        """Return the decisions about a request, or None if unknown."""
        decisions = self.by_request.get(request_id)
        if decisions is None:
            return None
        return {
            "request_id": request_id,
            "begun": self.started_at[request_id],
            "decisions": [vars(decision) for decision in decisions],
        }


def new_request_id(router: str) -> str:
    """Return a request ID that starts with the name of `router`."""
    return f"{router}.{uuid.uuid4().hex[:20]}"


def router_name(request_id: str) -> str:
    """Return the name of the router in a request ID, or an empty string."""
    return request_id.rpartition(".")[0]
