"""The balancer's health check.

The check fails before anything else happens at a shutdown, so that the
balancer sends new connections elsewhere while this router still serves.
"""

import collections.abc

import tornado.web


class HealthHandler(tornado.web.RequestHandler):
    """``GET /health``: 200 while this router takes new requests."""

    def initialize(self, ready: collections.abc.Callable[[], str]):
        """Take the function that says why the router is not ready."""
        self.not_ready_reason = ready

    def get(self):
        """Answer ready or say why not."""
        reason = self.not_ready_reason()
        self.set_status(503 if reason else 200)
        self.set_header("Cache-Control", "no-store")
        self.write({"ready": not reason, "reason": reason})
