"""Estimates the delay of a peer's messages without synchronised clocks.

Each message carries its sender's monotonic clock. The offset to the
receiver's clock is smallest for the fastest message; the excess over that
minimum is the lateness. The minimum covers the last two windows, so that
clock drift does not accumulate.

Source: V. Paxson, "On calibrating measurements of packet transit times",
SIGMETRICS 1998.
"""

WINDOW_SECONDS = 10.0


class Lateness:
    """Lateness of messages over one link."""

    def __init__(self):
        self.window_start = 0.0
        self.previous_minimum: float | None = None
        self.current_minimum: float | None = None

    def measure(self, sent: float, now: float) -> float:
        """Return the lateness, in seconds, of a message.

        Parameters
        ----------
        sent : float
            Sender's clock when it sent the message, in seconds.
        now : float
            Receiver's clock, in seconds.
        """
        offset = now - sent
        if self.current_minimum is None:
            self.window_start = now
            self.current_minimum = offset
        elif now - self.window_start > WINDOW_SECONDS:
            self.previous_minimum = self.current_minimum
            self.current_minimum = offset
            self.window_start = now
        self.current_minimum = min(self.current_minimum, offset)
        minimum = self.current_minimum
        if self.previous_minimum is not None:
            minimum = min(minimum, self.previous_minimum)
        return offset - minimum
