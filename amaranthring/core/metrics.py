"""Counters, gauges and histograms of one process.

Counters come first: every decision counts one. Histograms are HDR, by
client account and class. The number of names is bounded; what is above the
bound is counted under ``metrics.dropped``.
"""

import collections

import hdrh.histogram

MAX_NAMES = 2000
MAX_HISTOGRAMS = 4000
LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 2


class Metrics:
    """All figures of one process, read by ``/metrics`` and statsd."""

    def __init__(self):
        self.counters: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self.histograms: dict[tuple[str, str, str], object] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to counter `name`."""
        if name not in self.counters and len(self.counters) >= MAX_NAMES:
            name = "metrics.dropped"
        self.counters[name] += amount

    def gauge(self, name: str, value: float) -> None:
        """Set gauge `name`."""
        if name in self.gauges or len(self.gauges) < MAX_NAMES:
            self.gauges[name] = value
        else:
            self.count("metrics.dropped")

    def record(
        self, name: str, seconds: float, account: str = "", cls: str = ""
    ) -> None:
        """Record a duration for a client account and class."""
        key = (name, account, cls)
        histogram = self.histograms.get(key)
        if histogram is None:
            if len(self.histograms) >= MAX_HISTOGRAMS:
                self.count("metrics.dropped")
                return
            histogram = hdrh.histogram.HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
            self.histograms[key] = histogram
        histogram.record_value(max(1, int(seconds * 1e6)))
