"""How late a peer's message is, without comparing wall clocks.

Each message carries its sender's monotonic clock. The difference to the
receiver's clock is smallest for the message that travelled fastest; what a
message lies above that minimum is its lateness. The minimum is taken over
the last two windows, so that drift of the clocks does not add up.

Source: V. Paxson, "On calibrating measurements of packet transit times",
SIGMETRICS 1998.
"""

WINDOW_SECONDS = 10.0


class Lateness:
    """Lateness of messages over one link."""

    def __init__(self):
        self.began = 0.0
        self.older: float | None = None
        self.newer: float | None = None

    def measure(self, sent: float, now: float) -> float:
        """Return the lateness, in seconds, of a message.

        Parameters
        ----------
        sent : float
            Sender's clock in the message, in seconds.
        now : float
            Receiver's clock, in seconds.
        """
        offset = now - sent
        if self.newer is None:
            self.began = now
            self.newer = offset
        elif now - self.began > WINDOW_SECONDS:
            self.older = self.newer
            self.newer = offset
            self.began = now
        self.newer = min(self.newer, offset)
        least = self.newer
        if self.older is not None:
            least = min(least, self.older)
        return offset - least
