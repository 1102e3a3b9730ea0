"""Bounded ring of decisions, kept so that a request can be explained.

Every router keeps what it decided about its last requests. A request id
begins with the name of the router that took the request, so any router can
find the one to ask.
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
        Since the request was first noted.
    event : str
        Stable name of the step.
    fields : dict
        What it was decided on.
    """

    seconds: float
    event: str
    fields: dict[str, t.Any]


class DecisionLog:
    """The ring of one router, oldest request dropped first."""

    def __init__(self, max_requests: int = MAX_REQUESTS, clock=time.time):
        self.max_requests = max_requests
        self.clock = clock
        self.started_at: dict[str, float] = {}
        self.by_request: collections.OrderedDict[str, list[Decision]] = (
            collections.OrderedDict()
        )

    def record(self, request_id: str, event: str, **fields: t.Any) -> None:
        """Add a decision to a request.

        A request that loops through retries keeps its first decisions; the
        ring must stay bounded whatever a single request does.
        """
        decisions = self.by_request.get(request_id)
        if decisions is None:
            decisions = self.by_request[request_id] = []
            self.started_at[request_id] = self.clock()
            if len(self.by_request) > self.max_requests:
                oldest, _ = self.by_request.popitem(last=False)
                del self.started_at[oldest]
        if len(decisions) < MAX_DECISIONS_PER_REQUEST:
            passed = self.clock() - self.started_at[request_id]
            decisions.append(Decision(round(passed, 6), event, fields))

    def explain(self, request_id: str) -> dict[str, t.Any] | None:
        """Return the decisions about a request, or None if not kept."""
        decisions = self.by_request.get(request_id)
        if decisions is None:
            return None
        return {
            "request_id": request_id,
            "begun": self.started_at[request_id],
            "decisions": [vars(decision) for decision in decisions],
        }


def new_request_id(router: str) -> str:
    """Return a request id that names the router that took the request."""
    return f"{router}.{uuid.uuid4().hex[:20]}"


def router_name(request_id: str) -> str:
    """Return the name of the router in a request id, or an empty string."""
    return request_id.rpartition(".")[0]
