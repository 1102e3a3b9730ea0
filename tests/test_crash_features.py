"""Which feature of the requests on crashed targets is the cause."""

import random
import unittest

from amaranthring.policy import crash_evidence
from amaranthring.testing import crash_timeline
from tests import test_crash_evidence

SERIES = 4


class FeatureCase(test_crash_evidence.EvidenceCase):
    """Targets that crash one after the other under several requests."""

    def lose(self, *requests):
        """Crash the next target under requests, given by their features."""
        self.now += 1.0
        target = f"t{next(self.numbers)}"
        for features in map(str.split, requests):
            for feature in features:
                beside = [name for name in features if name != feature]
                self.evidence.add(
                    crash_evidence.Run(
                        feature, target, 0.1, 0.0, "router-1", beside
                    )
                )
        self.judge()
        return target

    def refuses(self, request):
        """Return whether a request with these features is refused."""
        features = set(request.split())
        found = map(self.evidence.verdict, features)
        return any(
            v and v.refused_seconds and features.issuperset(v.together)
            for v in found
        )

    def condemned(self):
        """Return the features that are refused for good."""
        return {
            name
            for name, suspect in self.evidence.suspects.entries.items()
            if suspect.condemned
        }


class TestTogether(FeatureCase):
    """Two features that are on exactly the same lost requests."""

    def setUp(self):
        super().setUp()
        for number in range(SERIES):
            self.lose(f"bad rare r{number}", f"other{number}")

    def test_they_are_refused_together_only(self):
        """Guards against refusing sound requests that share one of them."""
        self.assertTrue(self.refuses("bad rare r9"))
        self.assertFalse(self.refuses("rare r9"))
        self.assertFalse(self.refuses("bad r9"))

    def test_request_with_one_of_them_runs_alone(self):
        """Guards against many requests that show which one crashes."""
        for name in ("bad", "rare"):
            verdict = self.evidence.verdict(name)
            self.assertLessEqual(crash_evidence.MIN_CRASHES, verdict.count)

    def test_completed_request_with_one_of_them_clears_it(self):
        """Guards against a sound feature that stays under suspicion."""
        self.evidence.complete(["rare", "r9"])
        self.judge()
        self.assertTrue(self.refuses("bad r10"))
        self.assertFalse(self.refuses("rare r10"))
        self.assertIsNone(self.evidence.verdict("rare"))

    def test_crash_under_one_of_them_clears_the_other(self):
        """Guards against a cause that is refused only with a neighbour."""
        self.lose("bad r9")
        self.assertTrue(self.refuses("bad r10"))
        self.assertFalse(self.refuses("rare r10"))

    def test_late_duplicate_clears_neither(self):
        """Guards against a request sent earlier that frees the cause."""
        self.evidence.complete(["bad", "rare", "r9"])
        self.judge()
        self.assertTrue(self.refuses("bad rare r10"))

    def test_they_stay_together_over_a_restart(self):
        """Guards against a new process that refuses them one by one."""
        other = crash_evidence.CrashEvidence(lambda: self.now)
        for verdict in self.evidence.take_changes():
            other.adopt(verdict)
        self.evidence = other
        self.assertTrue(self.refuses("bad rare r10"))
        self.assertFalse(self.refuses("rare r10"))
        other.complete(["rare"])
        self.assertTrue(self.refuses("bad r10"))


class TestSoundFeatures(FeatureCase):
    """Features of requests that have completed of late."""

    def test_they_do_not_hide_the_cause(self):
        """Guards against a cause whose neighbour is on all its crashes."""
        self.evidence.complete(["shared"])
        for number in range(SERIES):
            self.lose(f"shared bad r{number}", f"shared chat{number}")
        self.assertEqual({"bad"}, self.condemned())
        self.assertFalse(self.refuses("shared r9"))

    def test_series_of_losses_refuses_nothing(self):
        """Guards against refusing what all lost requests shared."""
        self.evidence.complete(["shared"])
        for number in range(crash_evidence.MIN_SOUND_CRASHES - 1):
            self.lose(f"shared r{number}")
            self.assertFalse(self.refuses("shared r9"))
        self.assertIsNone(self.evidence.verdict("shared"))

    def test_one_that_goes_on_crashing_is_paused_then_refused(self):
        """Guards against a feature that completed once and then crashes."""
        self.evidence.complete(["turned"])
        for number in range(crash_evidence.MIN_SOUND_CRASHES):
            self.lose(f"turned r{number}")
        self.assertTrue(self.refuses("turned r99"))
        self.assertEqual(set(), self.condemned())
        for number in range(crash_evidence.MIN_SOUND_CRASHES):
            self.lose(f"turned s{number}")
        self.assertEqual({"turned"}, self.condemned())

    def test_completion_before_the_crashes_leaves_them(self):
        """Guards against an old completion that clears later crashes."""
        for number in range(SERIES):
            self.lose(f"bad r{number}")
        self.assertEqual({"bad"}, self.condemned())
        self.evidence.complete(["bad"], age=60.0)
        self.assertEqual(SERIES, len(self.evidence.get("bad").crashes))

    def test_reports_say_when_it_completed(self):
        """Guards against keepers that hear of no completion."""
        for number in range(SERIES):
            self.now += 1.0
            self.evidence.add(
                crash_evidence.Run(
                    "shared", f"t{number}", 0.1, 0.0, "r", [], 0.3
                )
            )
        self.assertEqual(set(), self.judge())
        self.assertEqual([], self.evidence.take_changes())


class TestTimeline(unittest.TestCase):
    """Crashing features beside sound ones, on played timelines."""

    seeds = range(20)
    GRACE_SECONDS = 3.0
    FEW_CRASHES = 5
    MAX_LATE = 3

    def check(self, seconds=25.0, **parameters):
        """Check that causes end few targets, and nothing else is refused."""
        for seed in self.seeds:
            with self.subTest(seed=seed, **parameters):
                setting = crash_timeline.Setting(**parameters)
                timeline = crash_timeline.CrashTimeline(
                    random.Random(seed), setting
                )
                timeline.run(seconds)
                self.assertEqual([], timeline.innocent(timeline.turned_away))
                for times in timeline.crashed_at.values():
                    self.assertLessEqual(self.late(times), self.MAX_LATE)

    def late(self, times):
        if len(times) < self.FEW_CRASHES:
            return 0
        known_at = times[self.FEW_CRASHES - 1] + self.GRACE_SECONDS
        return sum(at > known_at for at in times)

    def test_one_feature_beside_popular_ones(self):
        """Guards against a cause that no two requests show."""
        self.check(shared=3, rate=5.0)
        self.check(shared=3, rate=60.0)

    def test_two_features_at_once(self):
        """Guards against two causes that explain each other's crashes."""
        self.check(shared=3, culprits=2, pause=0.5)

    def test_companion_that_is_rare_elsewhere(self):
        """Guards against refusing what always comes with the cause."""
        self.check(shared=3, companion="rare", rate=10.0)
        self.check(shared=3, companion="rare", rate=60.0, pause=0.4)

    def test_losses_without_a_cause(self):
        """Guards against refusing a popular feature for lost targets."""
        self.check(culprits=0, shared=1, losses=(3, 4, 5, 6, 7, 8, 9))
        self.check(culprits=0, shared=2, losses=(3, 6, 9, 12), lost_targets=4)
