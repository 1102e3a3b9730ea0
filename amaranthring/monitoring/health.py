"""Health check for load balancers.

At shutdown the check fails first, so that the load balancer sends new
connections elsewhere while this router still serves requests.
"""

import collections.abc

import tornado.web


class HealthHandler(tornado.web.RequestHandler):
    """``GET /health``: 200 while this router is ready, else 503."""

    def initialize(self, ready: collections.abc.Callable[[], str]):
        """Store the function that returns why the router is not ready."""
        self.not_ready_reason = ready

    def get(self):
        """Respond whether the router is ready, and if not, why."""
        reason = self.not_ready_reason()
        self.set_status(503 if reason else 200)
        self.set_header("Cache-Control", "no-store")
        self.write({"ready": not reason, "reason": reason})
