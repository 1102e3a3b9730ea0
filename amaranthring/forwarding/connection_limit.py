"""Whether a router takes new connections of callers."""

import resource

from amaranthring.core import metrics as metrics_module
from amaranthring.core import overload

# Share of the process's files for connections of callers: those to targets
# and the links need the rest.
CALLERS_SHARE = 0.6


class ConnectionLimit:
    """Limit on new connections while this router has too much to do.

    A caller whose connection is closed before its request is read tries
    another router at once, where it would wait here.

    Parameters
    ----------
    delay : overload.LoopDelay
        Of the event loop.

    Attributes
    ----------
    most : float
        Number of connections of callers at the same time.
    """

    def __init__(
        self, delay: overload.LoopDelay, metrics: metrics_module.Metrics
    ):
        self.delay = delay
        self.metrics = metrics
        files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        has_limit = files != resource.RLIM_INFINITY
        self.most = files * CALLERS_SHARE if has_limit else float("inf")

    def is_full(self, connections: int) -> bool:
        """Return whether the next connection is closed unread.

        Parameters
        ----------
        connections : int
            Number of connections of callers.
        """
        if not self.delay.is_overloaded and connections < self.most:
            return False
        self.metrics.count("connection.shed")
        return True
