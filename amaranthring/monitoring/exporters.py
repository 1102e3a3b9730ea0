"""Export of a process's metrics: as JSON over HTTP and to statsd.

Counters are sent to statsd as increments since the last send, gauges as they
are, histograms as percentiles. :class:`amaranthring.core.metrics.Metrics`
bounds the number of names.
"""

import asyncio
import re

import statsd
import tornado.web

from amaranthring.core import metrics

PERCENTILES = (50, 95, 99)
MICROSECONDS_PER_SECOND = 1e6
MILLISECONDS_PER_SECOND = 1e3
UNSAFE_CHARACTERS = re.compile(r"[^a-zA-Z0-9_\-]")
MAX_DATAGRAM_BYTES = 1400


def summarize(source: metrics.Metrics) -> dict:
    """Return counters, gauges and histogram summaries, times in seconds."""
    histograms = []
    for (name, account, cls), histogram in source.histograms.items():
        row = {
            "name": name,
            "account": account,
            "class": cls,
            "count": histogram.get_total_count(),
            "max": histogram.get_max_value() / MICROSECONDS_PER_SECOND,
        }
        for percentile in PERCENTILES:
            value = histogram.get_value_at_percentile(percentile)
            row[f"p{percentile}"] = value / MICROSECONDS_PER_SECOND
        histograms.append(row)
    return {
        "counters": dict(sorted(source.counters.items())),
        "gauges": dict(sorted(source.gauges.items())),
        "histograms": histograms,
    }


class MetricsHandler(tornado.web.RequestHandler):
    """``GET /metrics``: the metrics of this process as JSON."""

    def initialize(self, figures: metrics.Metrics):
        """Store the metrics to serve."""
        self.metrics = figures

    def get(self):
        """Respond with all metrics."""
        self.write(summarize(self.metrics))


class StatsdSender:
    """Sends the metrics of one process to statsd at a fixed interval.

    The increments in a lost datagram are not sent again.
    """

    def __init__(self, source: metrics.Metrics, settings):
        self.metrics = source
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
        """Send counter increments, and all gauges and percentiles."""
        with self.client.pipeline() as pipe:
            for name, value in self.metrics.counters.items():
                increment = value - self.last_sent.get(name, 0)
                if increment:
                    pipe.incr(name, increment)
                self.last_sent[name] = value
            for name, value in self.metrics.gauges.items():
                pipe.gauge(name, value)
            for row in summarize(self.metrics)["histograms"]:
                self._send_histogram(pipe, row)

    def _send_histogram(self, pipe, row) -> None:
        labels = [row["name"], row["account"], row["class"]]
        clean = [
            UNSAFE_CHARACTERS.sub("_", label) for label in labels if label
        ]
        for percentile in PERCENTILES:
            value = row[f"p{percentile}"] * MILLISECONDS_PER_SECOND
            pipe.gauge(".".join([*clean, f"p{percentile}"]), value)
