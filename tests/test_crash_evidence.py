"""Which requests crash targets, and which only ran beside them."""

import itertools
import random
import time
import unittest

from amaranthring.policy import crash_evidence
from amaranthring.policy import suspects
from amaranthring.testing import crash_timeline

# Runs of a culprit later than the third crash that the rule allows.
MAX_CRASHES = 6


class EvidenceCase(unittest.TestCase):
    """Runs on targets that crash one after the other."""

    def setUp(self):
        self.now = 1000.0
        self.numbers = itertools.count(1)
        self.evidence = crash_evidence.CrashEvidence(lambda: self.now)

    def run_on(self, target, name, seconds=0.1, age=0.0, proven=True):
        return self.evidence.add(
            crash_evidence.Run(
                name, target, seconds, age, "router-1", proven=proven
            )
        )

    def crash(self, *names, seconds=0.1):
        """Crash the next target under all `names`; return the target."""
        self.now += 1.0
        target = f"t{next(self.numbers)}"
        for name in names:
            self.run_on(target, name, seconds)
        return target

    def judge(self):
        """Return who is refused once all reports are in."""
        self.now += crash_evidence.JUDGE_SECONDS
        self.evidence.judge()
        found = map(self.evidence.verdict, self.evidence.suspects.entries)
        return {v.fingerprint for v in found if v and v.refused_seconds}

    def condemn(self, name):
        """Crash targets under `name` until it is refused for good."""
        targets = [self.crash(name) for _ in range(4)]
        self.assertEqual({name}, self.judge())
        self.assertTrue(self.evidence.get(name).condemned)
        return targets


class TestUnproven(EvidenceCase):
    """Targets that are not known to have ended."""

    def test_unproven_crashes_pause_and_condemn(self):
        """Guards against a request whose crashes nobody proves."""
        for number in range(3):
            self.now += 1.0
            self.run_on(f"t{number}", "bad", proven=False)
        self.assertEqual({"bad"}, self.judge())
        self.now += crash_evidence.PAUSE_SECONDS
        self.run_on("t3", "bad", proven=False)
        self.assertEqual({"bad"}, self.judge())
        self.assertTrue(self.evidence.get("bad").condemned)
        kept = [run.proven for run in self.evidence.runs(60.0, 10)]
        self.assertEqual([False] * 4, kept)

    def test_run_after_an_unproven_end_counts_once_it_is_proven(self):
        """Guards against a crash that an earlier broken run hides."""
        self.run_on("t1", "chat", proven=False)
        self.now += 2.0
        self.assertTrue(self.run_on("t1", "bad"))
        self.now += 2.0
        self.assertFalse(self.run_on("t1", "late"))

    def test_completion_after_a_loss_that_is_reported_late(self):
        """Guards against blaming a request that has completed since."""
        self.evidence.complete(["chat"], age=1.0)
        self.assertFalse(self.run_on("t1", "chat", age=2.0))
        self.assertTrue(self.run_on("t1", "chat", age=0.5))


class TestCondemned(EvidenceCase):
    """Requests that crash each target that runs them."""

    def test_three_crashes_pause_and_a_fourth_condemns(self):
        """Guards against a request that is sent on after three crashes."""
        self.crash("bad", "a")
        self.crash("bad", "b")
        self.assertEqual(set(), self.judge())
        self.crash("bad", "c")
        self.assertEqual({"bad"}, self.judge())
        self.now += crash_evidence.PAUSE_SECONDS
        self.assertEqual(set(), self.judge())
        self.crash("bad", "d")
        self.assertEqual({"bad"}, self.judge())
        self.now += suspects.SUSPECT_SECONDS / 2
        self.assertEqual({"bad"}, self.judge())

    def test_pause_is_not_begun_anew_without_a_crash(self):
        """Guards against a pause that other requests prolong."""
        for _ in range(2):
            self.crash("bad", "chat")
        self.crash("bad", "other")
        self.crash("chat")
        self.judge()
        self.evidence.clear("chat")
        self.assertEqual({"bad"}, self.judge())
        self.now += crash_evidence.PAUSE_SECONDS
        self.evidence.clear("other")
        self.assertEqual(set(), self.judge())

    def test_reports_in_any_order_condemn(self):
        """Guards against a crash that is lost as its report comes late."""
        self.run_on("t3", "bad", age=0.1)
        self.run_on("t1", "bad", age=4.0)
        self.run_on("t2", "bad", age=2.0)
        self.assertEqual({"bad"}, self.judge())

    def test_two_causes_that_met_are_both_condemned(self):
        """Guards against two causes that shield each other for ever."""
        self.crash("bad", "worse")
        self.crash("bad", "worse")
        for _ in range(3):
            self.crash("bad")
            self.crash("worse")
        self.assertEqual({"bad", "worse"}, self.judge())

    def test_condemned_request_stays_condemned(self):
        """Guards against a duplicate that ends later and clears it."""
        self.condemn("bad")
        self.assertFalse(self.evidence.clear("bad"))
        self.assertEqual({"bad"}, self.judge())

    def test_completion_that_is_told_late_frees_a_sound_feature(self):
        """Guards against ten minutes of refusals by a restarted keeper."""
        targets = [self.crash("path", "a"), self.crash("path", "b")]
        completed_at = self.now
        targets += [self.crash("path") for _ in range(4)]
        self.assertEqual({"path"}, self.judge())
        self.assertTrue(self.evidence.get("path").condemned)
        self.evidence.take_changes()
        age = self.now - completed_at
        self.assertEqual(["path"], self.evidence.complete(["path"], age))
        self.assertEqual(set(), self.judge())
        left = [crash.target for crash in self.evidence.get("path").crashes]
        self.assertEqual(targets[2:], left)
        [told] = self.evidence.take_changes()
        self.assertEqual((0, True), (told.count, told.withdrawn))
        # Its crashes count for others again.
        for target in targets[2:]:
            self.assertTrue(self.run_on(target, "bad", age=0.3, seconds=5.0))

    def test_sound_feature_with_a_long_series_stays_condemned(self):
        """Guards against a cause that an earlier completion frees."""
        completed_at = self.now
        for _ in range(crash_evidence.MAX_SOUND_CRASHES):
            self.crash("bad")
        self.assertEqual({"bad"}, self.judge())
        self.evidence.complete(["bad"], self.now - completed_at)
        self.assertEqual({"bad"}, self.judge())
        self.assertTrue(self.evidence.get("bad").condemned)

    def test_verdict_names_crashes_and_expires(self):
        """Guards against a refusal without its reasons or its end."""
        targets = self.condemn("bad")
        verdict = self.evidence.verdict("bad")
        self.assertTrue(verdict.condemned)
        notes = [(note.target, note.router) for note in verdict.crashes]
        self.assertEqual([(t, "router-1") for t in targets], notes)
        self.assertAlmostEqual(
            crash_evidence.JUDGE_SECONDS, verdict.crashes[-1].age
        )
        self.now += verdict.seconds
        self.assertIsNone(self.evidence.verdict("bad"))


class TestSentAtOnce(EvidenceCase):
    """A request that is sent several times at once."""

    def volley(self, gap):
        """Crash five targets under runs of one request."""
        for _ in range(5):
            self.now += gap
            self.run_on(f"t{next(self.numbers)}", "bad", seconds=0.3)

    def test_all_crashes_count_for_trying_it_once_at_a_time(self):
        """Guards against crashes that are forgotten as runs overlap."""
        for gap in (0.0, 0.02, 0.2):
            with self.subTest(gap=gap):
                self.setUp()
                self.volley(gap)
                self.judge()
                self.assertEqual(5, self.evidence.verdict("bad").count)

    def test_two_crashes_in_series_condemn_it_afterwards(self):
        """Guards against a request that takes three more to be refused."""
        self.volley(0.0)
        self.assertEqual(set(), self.judge())
        self.crash("bad")
        self.crash("bad")
        self.assertEqual({"bad"}, self.judge())
        self.assertTrue(self.evidence.get("bad").condemned)


class TestInnocent(EvidenceCase):
    """Requests that ran where targets crashed."""

    def test_request_beside_the_cause_is_not_condemned(self):
        """Guards against refusing who ran beside the cause three times."""
        self.crash("bad")
        for _ in range(3):
            self.crash("bad", "chat")
        self.assertEqual(set(), self.judge())
        self.crash("bad")
        self.assertEqual({"bad"}, self.judge())

    def test_request_beside_two_causes_is_not_condemned(self):
        """Guards against refusing who ran beside two causes in turn."""
        self.crash("bad", "chat")
        self.crash("worse", "chat")
        self.crash("bad", "chat")
        self.assertEqual(set(), self.judge())
        for _ in range(3):
            self.crash("bad")
            self.crash("worse")
        self.assertEqual({"bad", "worse"}, self.judge())

    def test_completed_request_is_no_suspect(self):
        """Guards against crashes that add up over completed runs."""
        for _ in range(4):
            self.crash("chat")
            self.evidence.clear("chat")
        self.assertEqual(set(), self.judge())
        self.assertIsNone(self.evidence.get("chat"))

    def test_targets_that_end_together_condemn_nobody(self):
        """Guards against refusing a request that many callers send.

        A rack fails while three of its targets run the same request.
        """
        for target in ("t1", "t2", "t3"):
            self.run_on(target, "popular", seconds=0.5)
        self.assertEqual(set(), self.judge())

    def test_targets_that_end_within_a_second_condemn_nobody(self):
        """Guards against refusing whom all targets run as a rack goes."""
        for number in range(6):
            self.now += 0.1
            target = f"t{number}"
            self.run_on(target, "popular", seconds=0.02)
            self.run_on(target, "popular", seconds=0.9)
        self.assertEqual(set(), self.judge())

    def test_request_sent_after_the_crash_is_not_blamed(self):
        """Guards against blaming who met a listener that still accepted."""
        for target in ("t1", "t2", "t3"):
            self.run_on(target, "bad", age=2.0)
            self.assertFalse(self.run_on(target, "chat", 0.1, age=0.5))
            self.now += 3.0
        self.assertEqual({"bad"}, self.judge())

    def test_one_target_counts_once(self):
        """Guards against a request that was sent twice to one target."""
        self.crash("chat")
        target = self.crash("chat")
        self.now += 0.01
        self.assertFalse(self.run_on(target, "chat"))
        self.assertEqual(set(), self.judge())


class TestBusyTargets(EvidenceCase):
    """Targets that run hundreds of requests."""

    def test_judging_takes_little_time(self):
        """Guards against a keeper that misses heartbeats over a crash."""
        names = [f"r{n}" for n in range(suspects.MAX_RECORDED_REQUESTS)]
        for _ in range(crash_evidence.MAX_CRASHES):
            self.crash(*names)
        started = time.process_time()
        self.assertEqual(set(), self.judge())
        self.assertLess(time.process_time() - started, 0.5)

    def test_cause_is_found_among_hundreds(self):
        """Guards against a cause that many other requests hide."""
        for number in range(5):
            others = [f"r{number}-{n}" for n in range(300)]
            self.crash("bad", *others)
        self.assertEqual({"bad"}, self.judge())


class TestShared(EvidenceCase):
    """What processes tell each other."""

    def test_changes_are_told_once(self):
        self.crash("bad", "chat")
        self.assertEqual([], self.evidence.take_changes())
        self.crash("bad", "chat")
        changes = self.evidence.take_changes()
        self.assertEqual(
            [("bad", False), ("chat", False)],
            [(v.fingerprint, v.condemned) for v in changes],
        )
        self.evidence.clear("chat")
        [gone] = self.evidence.take_changes()
        self.assertEqual(("chat", 0), (gone.fingerprint, gone.count))
        self.assertEqual([], self.evidence.take_changes())

    def test_verdict_outlives_the_process_that_gave_it(self):
        """Guards against a restarted keeper that begins from nothing."""
        self.condemn("bad")
        other = crash_evidence.CrashEvidence(lambda: self.now)
        for verdict in self.evidence.take_changes():
            other.adopt(verdict)
        self.assertTrue(other.get("bad").condemned)
        [told] = other.take_changes()
        self.assertEqual(4, told.count)
        self.assertEqual(4, len(told.crashes))

    def test_runs_told_again_condemn_alike(self):
        """Guards against reports that a restarted keeper has lost."""
        self.crash("bad", "chat")
        self.crash("bad")
        other = crash_evidence.CrashEvidence(lambda: self.now)
        for run in self.evidence.runs(60.0, 100):
            self.assertTrue(other.add(run))
        self.evidence = other
        self.crash("bad")
        self.assertEqual({"bad"}, self.judge())

    def test_completions_are_told_again_with_runs(self):
        """Guards against a restarted keeper that refuses a popular path."""
        self.evidence.complete(["path"])
        for _ in range(6):
            self.crash("path")
        self.assertEqual(set(), self.judge())
        runs = self.evidence.runs(60.0, 100)
        self.evidence = crash_evidence.CrashEvidence(lambda: self.now)
        for run in runs:
            self.assertTrue(self.evidence.add(run.later(1.0)))
        self.now += 1.0
        self.assertEqual(set(), self.judge())

    def test_memory_is_bounded(self):
        """Guards against a caller that fills the tables."""
        most = suspects.MAX_ENTRIES
        for number in range(most + 10):
            self.run_on(f"t{number // 20}", f"r{number}")
            self.now += 0.001
        self.assertEqual(most, len(self.evidence.suspects.entries))
        self.assertLessEqual(
            len(self.evidence.records.entries), suspects.MAX_CRASH_RECORDS
        )


class TimelineCase(unittest.TestCase):
    """Many requests, a few of which crash their targets."""

    seeds = range(8)

    def play(self, seed, seconds=25.0, **parameters):
        setting = crash_timeline.Setting(**parameters)
        return self.play_setting(seed, setting, seconds)

    def play_setting(self, seed, setting, seconds=25.0):
        timeline = crash_timeline.CrashTimeline(random.Random(seed), setting)
        timeline.run(seconds)
        return timeline

    def check(self, seconds=25.0, most=MAX_CRASHES, **parameters):
        for seed in self.seeds:
            with self.subTest(seed=seed, **parameters):
                timeline = self.play(seed, seconds, **parameters)
                self.assertEqual([], timeline.innocent(timeline.turned_away))
                names = {n for n, c in timeline.crashes.items() if c >= most}
                self.assertLessEqual(names, set(timeline.condemned))
                worst = max(timeline.crashes.values(), default=0)
                self.assertLessEqual(worst, most)


class TestTimeline(TimelineCase):
    """Causes, and losses of whole racks."""

    def test_one_cause(self):
        """Guards against refusing others, or a cause found too late."""
        self.check(rate=5.0)
        self.check(rate=30.0)

    def test_one_cause_on_targets_that_serve_much(self):
        """Guards against a cause that hides among many requests."""
        self.check(rate=150.0, seconds=20.0)

    def test_one_cause_in_a_large_fleet(self):
        """Guards against a rule that holds only for a few targets."""
        self.check(targets=30, rate=300.0, seconds=15.0)

    def test_racks_that_fail(self):
        """Guards against refusing whom the loss of a rack has met."""
        self.check(culprits=0, losses=(3, 6, 9, 12), lost_targets=4)

    def test_short_requests_beside_several_causes(self):
        """Guards against causes that hide one another."""
        self.check(culprits=3, sends=2, most=8)


class TestReturningRequests(TimelineCase):
    """A cause beside requests that are sent again all the time."""

    seeds = range(60)
    # Runs of a cause later than this after its third crash that are allowed.
    GRACE_SECONDS = 3.0
    MAX_LATE = 3

    def late(self, times):
        return sum(at > times[2] + self.GRACE_SECONDS for at in times[3:])

    def test_cause_is_refused_although_others_share_its_crashes(self):
        """Guards against requests that hide the cause by always being there.

        Three targets run eight returning requests, each of them on most of
        the targets at any time.
        """
        for seconds in (0.6, 3.0):
            for seed in self.seeds:
                with self.subTest(seed=seed, seconds=seconds):
                    setting = crash_timeline.Setting(
                        targets=3, rate=20.0, seconds=seconds,
                        returning=8, sends=2, pause=0.5,
                    )  # fmt: skip
                    timeline = self.play_setting(seed, setting)
                    self.assertEqual(
                        [], timeline.innocent(timeline.turned_away)
                    )
                    times = timeline.crashed_at["culprit0"]
                    self.assertLessEqual(self.late(times), self.MAX_LATE)


class TestSeriesOfLosses(TimelineCase):
    """Targets that end one a second, and no request is the cause."""

    seeds = range(60)

    def play_all(self):
        """Return a timeline for each seed and rate of requests."""
        losses = tuple(range(3, 8))
        return [
            self.play(seed, culprits=0, rate=rate, losses=losses)
            for seed in self.seeds
            for rate in (5.0, 30.0)
        ]

    def test_requests_are_not_turned_away(self):
        """Guards against condemning whom independent losses have met."""
        for timeline in self.play_all():
            self.assertEqual([], timeline.innocent(timeline.turned_away))

    def test_requests_are_not_paused(self):
        """Guards against pausing whom independent losses have met."""
        plays = self.play_all()
        paused = [timeline.innocent(timeline.paused) for timeline in plays]
        self.assertEqual([[]] * len(plays), paused)
