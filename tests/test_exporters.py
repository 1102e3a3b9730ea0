"""Figures, log lines and the ring of decisions stay bounded."""

import json
import socket
import unittest

import logbook

from amaranthring.core import decisions
from amaranthring.core import logs
from amaranthring.core import metrics
from amaranthring.monitoring import exporters
from amaranthring.settings import models


class TestMetrics(unittest.TestCase):
    """One process's figures."""

    def test_names_are_bounded(self):
        """A caller that invents names must not fill the memory.

        Each unknown name would make a counter of its own; above the bound
        they are counted together, and known names still count.
        """
        made = metrics.Metrics()
        for number in range(metrics.MAX_NAMES + 10):
            made.count(f"name-{number}")
        made.count("name-0")
        self.assertLessEqual(len(made.counters), metrics.MAX_NAMES + 1)
        self.assertEqual(made.counters["metrics.dropped"], 10)
        self.assertEqual(made.counters["name-0"], 2)

    def test_summary_gives_percentiles_by_account_and_class(self):
        made = metrics.Metrics()
        for milliseconds in range(1, 101):
            made.record("first-token", milliseconds / 1e3, "vanua", "chat")
        every, own = exporters.summarize(made)["histograms"]
        self.assertEqual((every["account"], every["class"]), ("", "chat"))
        self.assertEqual((own["account"], own["class"]), ("vanua", "chat"))
        self.assertAlmostEqual(every["p50"], 0.050, delta=0.002)
        self.assertAlmostEqual(every["p99"], 0.099, delta=0.002)
        self.assertAlmostEqual(own["p50"], 0.050, delta=0.005)
        self.assertAlmostEqual(own["p99"], 0.099, delta=0.010)

    def test_statsd_gets_differences(self):
        sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sink.close)
        sink.bind(("127.0.0.1", 0))
        sink.settimeout(2)
        section = models.StatsdSection(
            host="127.0.0.1", port=sink.getsockname()[1]
        )
        made = metrics.Metrics()
        sender = exporters.StatsdSender(made, section)
        made.count("served", 3)
        sender.send()
        self.assertIn(b"amaranthring.served:3|c", sink.recv(2000))
        made.count("served", 2)
        sender.send()
        self.assertIn(b"amaranthring.served:2|c", sink.recv(2000))


class TestDecisions(unittest.TestCase):
    """The ring that explains requests."""

    def test_oldest_request_and_endless_retries_are_dropped(self):
        ring = decisions.DecisionLog(max_requests=2)
        for name in ("r1.a", "r1.b", "r1.c"):
            for _ in range(decisions.MAX_DECISIONS_PER_REQUEST + 5):
                ring.record(name, "retry", target="e1")
        self.assertIsNone(ring.explain("r1.a"))
        kept = ring.explain("r1.c")["decisions"]
        self.assertEqual(len(kept), decisions.MAX_DECISIONS_PER_REQUEST)
        self.assertEqual(len(ring.started_at), 2)

    def test_request_id_names_its_router(self):
        request_id = decisions.new_request_id("r1.porto")
        self.assertEqual(decisions.router_name(request_id), "r1.porto")
        self.assertEqual(decisions.router_name("nonsense"), "")


class TestLogs(unittest.TestCase):
    """Lines for changes of state."""

    def test_json_line_holds_event_and_fields(self):
        with logbook.TestHandler() as handler:
            logs.event(logbook.Logger("x"), "engine.left", name="e1")
        line = json.loads(logs.json_line("r1", handler.records[0]))
        self.assertEqual(line["event"], "engine.left")
        self.assertEqual(line["name"], "e1")
        text = logs.text_line("r1", handler.records[0])
        self.assertIn("r1 x engine.left name=e1", text)
