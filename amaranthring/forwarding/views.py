"""State of targets and data centres as observed by one router."""

# Maximum age of a load reported by a target. An older one is ignored, and only
# the requests counted by routers are used.
REPORT_SECONDS = 0.3


class DataCentreView:
    """State of one data centre.

    Attributes
    ----------
    unreachable : set of str
        Targets that could not be reached since a target there last responded.
    partitioned_until : float
        Time until which the data centre counts as partitioned off.
    """

    def __init__(self):
        self.unreachable: set[str] = set()
        self.partitioned_until = 0.0


class TargetView:
    """State of one target.

    Attributes
    ----------
    running : int
        Requests of this router in flight at the target.
    others : int
        Requests of the other routers in flight at it, as last reported.
    prefill_tokens, others_prefill_tokens : int
        Tokens that the target has yet to prefill for this router and for the
        others.
    reported : float
        Requests of all routers there: the last load that the target
        reported, adjusted for requests that this router has sent or ended
        since.
    backoff_until : float
        Time until which it is avoided after failures.
    doubted_until : float
        Time until which it counts that other routers could not reach it.
    succeeded_at : float
        When it last completed a request of this router.
    heard_at : float
        When it last answered here, whatever it said.
    failed_at : float
        When it last failed to respond, or broke off a response, here.
    reported_failing_until : float
        Time until which reports of such failures by other routers count.
    """

    def __init__(self):
        self.running = 0
        self.others = 0
        self.prefill_tokens = 0
        self.others_prefill_tokens = 0
        self.reported = 0.0
        self.reported_at = float("-inf")
        self.failures = 0
        self.backoff_until = 0.0
        self.doubted_until = float("-inf")
        self.unreachable = False
        self.succeeded_at = float("-inf")
        self.heard_at = float("-inf")
        self.failed_at = float("-inf")
        self.reported_failing_until = float("-inf")

    def load(self, now: float) -> float:
        """Return the estimated number of requests at the target."""
        counted = self.running + self.others
        if now - self.reported_at > REPORT_SECONDS:
            return counted
        # Either figure may miss requests that have just been sent.
        return max(counted, self.reported)
