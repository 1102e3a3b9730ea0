"""Whether a router takes new connections of callers."""

from amaranthring.core import metrics as metrics_module
from amaranthring.core import overload


class ConnectionLimit:
    """Limit on new connections while this router has too much to do.

    A caller whose connection is closed before its request is read tries
    another router at once, where it would wait here.

    Parameters
    ----------
    delay : overload.LoopDelay
        Of the event loop.
    """

    def __init__(
        self, delay: overload.LoopDelay, metrics: metrics_module.Metrics
    ):
        self.delay = delay
        self.metrics = metrics

    def is_full(self) -> bool:
        """Return whether the next connection is closed unread."""
        if not self.delay.is_overloaded:
            return False
        self.metrics.count("connection.shed")
        return True
