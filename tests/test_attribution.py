"""Causes of reprocessed prompt tokens, derived from routers' logs."""

import json
import sys
import unittest

sys.path.insert(0, "tools")

import attribution


def request_line(
    arrived_at, router, target, prompt, copies="", outcome="answered"
):
    event = {
        "event": "request", "outcome": outcome, "status": 200, "ms": 100.0,
        "route": "r", "trail": f"{target}:200", "copies": copies,
        "prompt": prompt,
    }  # fmt: skip
    return f"  {arrived_at + 0.1:.4f} {router} {json.dumps(event)}"


def target_changed(target, data_centre):
    event = {"event": "target.changed", "target": target}
    return json.dumps(event | {"data_centre": data_centre})


class TestReprocessedTokens(unittest.TestCase):
    """One shared prompt part at two engines."""

    def causes(self, *lines):
        engines = [
            target_changed("e0", "north"),
            target_changed("e1", "south"),
        ]
        log = attribution.Log([*engines, *lines, "no line of a log"])
        table = attribution.count_reprocessed_tokens(log, 100.0)
        return dict(sum(table.values(), attribution.collections.Counter()))

    def test_causes(self):
        prompt = "a:1000,own:5"
        first = request_line(1.0, "edge-north-1", "e0", prompt)
        for second, cause in (
            (request_line(1.2, "edge-north-1", "e1", prompt), "being-read"),
            (request_line(2.0, "edge-north-1", "e1", prompt), "near"),
            (request_line(2.0, "edge-south-1", "e1", prompt), "elsewhere"),
            (request_line(5.0, "edge-south-1", "e1", prompt), "quiet"),
            (
                request_line(2.0, "edge-south-1", "e1", prompt, "e0>e1"),
                "copied",
            ),
        ):
            with self.subTest(cause=cause):
                self.assertEqual({cause: 1000}, self.causes(first, second))
        self.assertEqual({}, self.causes(first))
        late = request_line(15.0, "edge-south-1", "e1", prompt)
        self.assertEqual({}, self.causes(first, late))

    def test_outcomes(self):
        log = attribution.Log(
            [
                request_line(1.0, "edge-north-1", "e0", "a:1,own:5"),
                request_line(
                    1.1, "edge-north-1", "e0", "", outcome="no-target"
                ),
            ]
        )
        table = attribution.count_outcomes(log, 2.0)
        self.assertEqual({"r 200": 1, "r no-target": 1}, dict(table[0.0]))
