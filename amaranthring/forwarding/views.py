"""What one router itself has seen of targets and of data centres."""

# What a target said of its load is worth this long; then only this router's
# own requests count.
REPORT_SECONDS = 0.3


class DataCentreView:
    """What this router itself has seen of one data centre.

    Attributes
    ----------
    unreached : set of str
        Targets that could not be reached since one was.
    """

    def __init__(self):
        self.unreachable: set[str] = set()
        self.cut_until = 0.0


class TargetView:
    """What this router itself has seen of one target.

    Attributes
    ----------
    running : int
        Requests of this router there.
    others : int
        Requests of the other routers there, as they last said.
    reading, others_reading : int
        Tokens that it has yet to read for this router and for the others.
    failed_at : float
        When it last broke an answer off here, or gave none.
    doubted_until : float
        Until when other routers' word of that counts.
    reported : float
        Requests of all routers there, as it last said, and those that this
        router has sent since.
    """

    def __init__(self):
        self.running = 0
        self.others = 0
        self.reading = 0
        self.others_reading = 0
        self.reported = 0.0
        self.reported_at = float("-inf")
        self.failures = 0
        self.avoid_until = 0.0
        self.unreachable = False
        self.succeeded_at = float("-inf")
        self.failed_at = float("-inf")
        self.doubted_until = float("-inf")

    @property
    def waiting(self) -> int:
        """Return the tokens that it has yet to read."""
        return self.reading + self.others_reading

    def load(self, now: float) -> float:
        """Return the number of requests there, as far as is known."""
        counted = self.running + self.others
        if now - self.reported_at > REPORT_SECONDS:
            return counted
        # Either may lag behind by what was begun meanwhile.
        return max(counted, self.reported)
