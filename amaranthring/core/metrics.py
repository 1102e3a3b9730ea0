"""Counters, gauges and histograms of one process.

Every decision increments a counter. Durations are kept in HDR histograms by
client account and class. The number of names is bounded; updates beyond the
bound are counted under ``metrics.dropped``.
"""

import collections
import functools
import importlib
import types

MAX_NAMES = 2000
MAX_HISTOGRAMS = 8000
LOWEST_MICROSECONDS = 100
HIGHEST_MICROSECONDS = 3_600_000_000
# Significant digits: 2 (within 1%) take 20 KB per histogram, 1 (within 10%)
# takes 4 KB. With 910 accounts, two classes and four names the finer one would
# take more than half of a router's 256 MB.
FLEET_DIGITS = 2
ACCOUNT_DIGITS = 1
PERCENTILES = (50, 95, 99)


@functools.cache
def _hdr_histogram_module() -> types.ModuleType:
    # Imported at the first duration: keepers record none and start faster
    # without it.
    return importlib.import_module("hdrh.histogram")


class Metrics:
    """All metrics of one process, read by ``/metrics`` and statsd."""

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
        """Record a duration for an account and class, and for all accounts."""
        value = max(LOWEST_MICROSECONDS, int(seconds * 1e6))
        self._record((name, "", cls), value, FLEET_DIGITS)
        if account:
            self._record((name, account, cls), value, ACCOUNT_DIGITS)

    def text_lines(self) -> list[str]:
        """Return all metrics as text lines ``name{labels} value``."""
        lines = [f"{name} {n}" for name, n in sorted(self.counters.items())]
        lines += [f"{name} {n:g}" for name, n in sorted(self.gauges.items())]
        for (name, account, cls), histogram in self.histograms.items():
            labels = f'account="{account}",class="{cls}"'
            count = histogram.get_total_count()
            lines.append(f"{name}.count{{{labels}}} {count}")
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / 1e6
                lines.append(f"{name}.p{percentile}{{{labels}}} {value:g}")
        return lines

    def _record(self, key, value: int, digits: int) -> None:
        histogram = self.histograms.get(key)
        if histogram is None:
            if len(self.histograms) >= MAX_HISTOGRAMS:
                self.count("metrics.dropped")
                return
            histogram = _hdr_histogram_module().HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, digits
            )
            self.histograms[key] = histogram
        histogram.record_value(value)
