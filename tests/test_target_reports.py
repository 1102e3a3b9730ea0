"""Reports of ready targets to the keepers."""

import unittest

from amaranthring.core import metrics
from amaranthring.core import records
from amaranthring.routers import target_reports


def engine(name, data_centre):
    kind = records.TargetKind.ENGINE
    return records.Target(
        name, 1, kind, "127.0.0.1:1", data_centre, "r", ("m",)
    )


class TestTargetReports(unittest.IsolatedAsyncioTestCase):
    """One relay with a fake clock."""

    async def test_reports_on_change_and_periodically(self):
        sent = []
        now = [100.0]
        known = [engine("e1", "a"), engine("e2", "b")]
        relay = [True]
        leader = ["k1"]

        async def query(message, timeout):
            sent.append([target.name for target in message.targets])

        reports = target_reports.TargetReporter(
            "a",
            query,
            lambda: relay[0],
            lambda: known,
            metrics.Metrics(),
            lambda: leader[0],
            lambda: now[0],
        )
        await reports.report()
        await reports.report()
        self.assertEqual(sent, [["e1"]])
        known.append(engine("e0", "a"))
        await reports.report()
        now[0] += target_reports.REPORT_SECONDS
        await reports.report()
        self.assertEqual(sent[1:], [["e0", "e1"]] * 2)
        leader[0] = "k2"
        await reports.report()
        await reports.report()
        self.assertEqual(len(sent), 4)
        relay[0] = False
        now[0] += target_reports.REPORT_SECONDS
        await reports.report()
        self.assertEqual(len(sent), 4)
