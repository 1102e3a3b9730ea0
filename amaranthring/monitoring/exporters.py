"""Figures of one process: as JSON to read, and to statsd.

Counters go to statsd as differences since the last sending, gauges as they
are, histograms as their percentiles; names are bounded by
:class:`amaranthring.core.metrics.Metrics`.
"""

import asyncio
import re

import statsd
import tornado.web

from amaranthring.core import metrics

PERCENTILES = (50, 95, 99)
MICROSECONDS = 1e6
MILLISECONDS = 1e3
UNSAFE_CHARACTERS = re.compile(r"[^a-zA-Z0-9_\-]")
MAX_DATAGRAM_BYTES = 1400


def summarize(figures: metrics.Metrics) -> dict:
    """Return counters, gauges and histogram summaries, durations in s."""
    histograms = []
    for (name, account, cls), histogram in figures.histograms.items():
        row = {
            "name": name,
            "account": account,
            "class": cls,
            "count": histogram.get_total_count(),
            "max": histogram.get_max_value() / MICROSECONDS,
        }
        for percentile in PERCENTILES:
            value = histogram.get_value_at_percentile(percentile)
            row[f"p{percentile}"] = value / MICROSECONDS
        histograms.append(row)
    return {
        "counters": dict(sorted(figures.counters.items())),
        "gauges": dict(sorted(figures.gauges.items())),
        "histograms": histograms,
    }


class MetricsHandler(tornado.web.RequestHandler):
    """``GET /metrics``: the figures of this process as JSON."""

    def initialize(self, figures: metrics.Metrics):
        """Take the figures that are served."""
        self.metrics = figures

    def get(self):
        """Answer with all figures."""
        self.write(summarize(self.metrics))


class StatsdSender:
    """Sends the figures of one process to statsd at a fixed pace.

    Datagrams that are lost leave a gap in the graph and nothing else: the
    next sending holds the next differences.
    """

    def __init__(self, figures: metrics.Metrics, settings):
        self.metrics = figures
        self.interval_seconds = settings.every_seconds
        self.last_sent: dict[str, int] = {}
        self.client = statsd.StatsClient(
            settings.host,
            settings.port,
            prefix=settings.prefix,
            maxudpsize=MAX_DATAGRAM_BYTES,
        )

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            await asyncio.sleep(self.interval_seconds)
            self.send()

    def send(self) -> None:
        """Send what changed since the last sending."""
        with self.client.pipeline() as pipe:
            for name, value in self.metrics.counters.items():
                grown = value - self.last_sent.get(name, 0)
                if grown:
                    pipe.incr(name, grown)
                self.last_sent[name] = value
            for name, value in self.metrics.gauges.items():
                pipe.gauge(name, value)
            for row in summarize(self.metrics)["histograms"]:
                self._send_histogram(pipe, row)

    def _send_histogram(self, pipe, row) -> None:
        parts = [row["name"], row["account"], row["class"]]
        clean = [UNSAFE_CHARACTERS.sub("_", part) for part in parts if part]
        for percentile in PERCENTILES:
            value = row[f"p{percentile}"] * MILLISECONDS
            pipe.gauge(".".join([*clean, f"p{percentile}"]), value)
