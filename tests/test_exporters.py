"""Metrics and their export, the decision log, and log lines."""

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
    """Metrics of one process."""

    def test_number_of_names_is_bounded(self):
        """Names made up by callers must not exhaust the memory.

        Beyond the bound new names share one counter; known ones still count.
        """
        process_metrics = metrics.Metrics()
        for number in range(metrics.MAX_NAMES + 10):
            process_metrics.count(f"name-{number}")
        process_metrics.count("name-0")
        self.assertLessEqual(
            len(process_metrics.counters), metrics.MAX_NAMES + 1
        )
        self.assertEqual(process_metrics.counters["metrics.dropped"], 10)
        self.assertEqual(process_metrics.counters["name-0"], 2)

    def test_summary_gives_percentiles_by_account_and_class(self):
        process_metrics = metrics.Metrics()
        for milliseconds in range(1, 101):
            process_metrics.record(
                "first-token", milliseconds / 1e3, "vanua", "chat"
            )
        total, by_account = exporters.summarize(process_metrics)["histograms"]
        self.assertEqual((total["account"], total["class"]), ("", "chat"))
        self.assertEqual(
            (by_account["account"], by_account["class"]), ("vanua", "chat")
        )
        self.assertAlmostEqual(total["p50"], 0.050, delta=0.002)
        self.assertAlmostEqual(total["p99"], 0.099, delta=0.002)
        self.assertAlmostEqual(by_account["p50"], 0.050, delta=0.005)
        self.assertAlmostEqual(by_account["p99"], 0.099, delta=0.010)

    def test_statsd_receives_counter_increments(self):
        sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sink.close)
        sink.bind(("127.0.0.1", 0))
        sink.settimeout(2)
        section = models.StatsdSection(
            host="127.0.0.1", port=sink.getsockname()[1]
        )
        process_metrics = metrics.Metrics()
        sender = exporters.StatsdSender(process_metrics, section)
        process_metrics.count("served", 3)
        sender.send()
        self.assertIn(b"amaranthring.served:3|c", sink.recv(2000))
        process_metrics.count("served", 2)
        sender.send()
        self.assertIn(b"amaranthring.served:2|c", sink.recv(2000))


class TestDecisions(unittest.TestCase):
    """Decision log that explains requests."""

    def test_oldest_requests_and_excess_decisions_are_dropped(self):
        decision_log = decisions.DecisionLog(max_requests=2)
        for name in ("r1.a", "r1.b", "r1.c"):
            for _ in range(decisions.MAX_DECISIONS_PER_REQUEST + 5):
                decision_log.record(name, "retry", target="e1")
        self.assertIsNone(decision_log.explain("r1.a"))
        kept = decision_log.explain("r1.c")["decisions"]
        self.assertEqual(len(kept), decisions.MAX_DECISIONS_PER_REQUEST)
        self.assertEqual(len(decision_log.started_at), 2)

    def test_request_id_contains_the_router_name(self):
        request_id = decisions.new_request_id("r1.porto")
        self.assertEqual(decisions.router_name(request_id), "r1.porto")
        self.assertEqual(decisions.router_name("nonsense"), "")


class TestLogs(unittest.TestCase):
    """Log lines for changes of state."""

    def test_lines_contain_event_and_fields(self):
        with logbook.TestHandler() as handler:
            logs.event(logbook.Logger("x"), "engine.left", name="e1")
        line = json.loads(logs.json_line("r1", handler.records[0]))
        self.assertEqual(line["event"], "engine.left")
        self.assertEqual(line["name"], "e1")
        text = logs.text_line("r1", handler.records[0])
        self.assertIn("r1 x engine.left name=e1", text)
