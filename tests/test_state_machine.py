"""Replicated state machine: commands, resends, conflicts, snapshots."""

import copy
import random
import unittest

from amaranthring import errors
from amaranthring.core import config_parts
from amaranthring.core import fleet
from amaranthring.keepers import commands
from amaranthring.keepers import state_machine
from amaranthring.testing import fake_state


def fields(command_id, if_match, operator="ana"):
    return {
        "command_id": command_id,
        "operator": operator,
        "if_match": if_match,
    }


class TestMachine(unittest.TestCase):
    """Operator commands."""

    def setUp(self):
        self.machine = state_machine.StateMachine()
        self.stamp = 1000.0
        self.apply(fake_state.bootstrap())

    def apply(self, command):
        self.stamp += 1
        return self.machine.apply(
            0, self.stamp, fake_state.round_trip(command)
        )

    def switch(self, name, command_id, if_match, operator="ana"):
        return self.apply(
            commands.SwitchPreset(
                name, **fields(command_id, if_match, operator)
            )
        )

    def restart(self):
        data = self.machine.snapshot()
        self.machine = state_machine.StateMachine()
        self.machine.restore(data)

    def in_force(self):
        return self.machine.book.parts.config().in_force

    def test_bootstrap_applies_to_empty_state_only(self):
        other = commands.Bootstrap("late", [fleet.Preset("late")], [])
        self.assertEqual(self.apply(other).revision, 1)
        self.assertEqual(self.in_force(), "ordinary")

    def test_concurrent_operators_conflict(self):
        # Of two commands based on the same revision, the second must fail
        # and report the current state.
        self.assertEqual(self.switch("peak", "command-1", 1).revision, 2)
        with self.assertRaises(errors.RevisionConflictError) as caught:
            self.switch("ordinary", "command-2", 1, "rui")
        self.assertIn("preset peak", caught.exception.detail)
        self.assertEqual(caught.exception.expected, 2)
        self.assertEqual(self.in_force(), "peak")

    def test_resend_gets_first_answer_after_restart(self):
        # A resend after a lost answer must neither switch again nor fail,
        # even after another switch and a restart.
        self.switch("peak", "command-1", 1)
        self.switch("ordinary", "command-2", 2)
        self.restart()
        self.assertEqual(self.switch("peak", "command-1", 1).revision, 2)
        self.assertEqual(self.in_force(), "ordinary")

    def test_resend_gets_same_rejection(self):
        self.switch("peak", "command-1", 1)
        for _ in range(2):
            with self.assertRaises(errors.RevisionConflictError) as caught:
                self.switch("ordinary", "command-2", 1)
            self.assertEqual(caught.exception.status, 412)
            self.restart()

    def test_reused_command_id_is_rejected(self):
        self.switch("peak", "command-1", 1)
        with self.assertRaises(errors.CommandReusedError):
            self.switch("ordinary", "command-1", 1)
        self.assertEqual(self.in_force(), "peak")

    def test_resend_after_answer_expired_conflicts(self):
        # The answer has expired, but the resend names its old revision and
        # therefore conflicts.
        self.switch("peak", "command-1", 1)
        self.stamp += state_machine.ANSWER_RETENTION_SECONDS
        self.switch("ordinary", "command-2", 2)
        self.assertNotIn("command-1", self.machine.answers)
        with self.assertRaises(errors.RevisionConflictError):
            self.switch("peak", "command-1", 1)

    def test_stored_answers_are_bounded(self):
        for number in range(state_machine.MAX_ANSWERS + 5):
            name = "peak" if number % 2 else "ordinary"
            self.switch(name, f"command-{number}", number + 1)
        self.assertEqual(len(self.machine.answers), state_machine.MAX_ANSWERS)

    def test_state_time_is_monotonic(self):
        self.machine.apply(0, 5.0, commands.AddQuarantine("f", 60.0))
        until = self.machine.book.parts.config().quarantined["f"]
        self.assertGreater(until, 1000.0)

    def test_restore_one_preset(self):
        for revision, bound in ((1, 1.6), (2, 1.7)):
            preset = fleet.Preset("peak", bound)
            preset.accounts["big"] = fleet.AccountPolicy(weight=bound)
            put = commands.PutPreset(
                preset, **fields(f"put-{bound}", revision)
            )
            self.apply(put)
        back = commands.RestorePresets(1, "peak", **fields("back-0001", 3))
        self.assertEqual(self.apply(back).revision, 4)
        restored = self.machine.book.parts.config().presets["peak"]
        self.assertEqual(restored, fleet.Preset("peak", 1.5))

    def test_restore_all_presets(self):
        before = self.machine.book.parts.config()
        steps = (
            commands.PutPreset(fleet.Preset("sale"), **fields("step-0001", 1)),
            commands.SwitchPreset("sale", **fields("step-0002", 2)),
            commands.PutPreset(
                fleet.Preset("peak", 3), **fields("step-03", 3)
            ),
            commands.PutAccount(
                fleet.Account("new"), **fields("step-0004", 4)
            ),
            commands.RemovePreset("ordinary", **fields("step-0005", 5)),
        )
        for command in steps:
            self.apply(command)
        self.restart()
        back = commands.RestorePresets(1, **fields("back-0001", 6))
        self.assertEqual(self.apply(back).in_force, "ordinary")
        after = self.machine.book.parts.config()
        self.assertEqual(after.presets, before.presets)
        self.assertIn("new", after.accounts)
        forth = commands.RestorePresets(4, **fields("forth-001", 7))
        self.assertEqual(self.apply(forth).in_force, "sale")

    def test_restore_uses_contents_older_than_history(self):
        for number in range(1100):
            name = "peak" if number % 2 else "ordinary"
            self.switch(name, f"command-{number}", number + 1)
        put = commands.PutPreset(
            fleet.Preset("peak", 9), **fields("p" * 8, 1101)
        )
        self.apply(put)
        back = commands.RestorePresets(1101, **fields("back-0001", 1102))
        self.apply(back)
        config = self.machine.book.parts.config()
        self.assertEqual(config.presets["peak"].load_bound, 1.5)
        early = commands.RestorePresets(1, **fields("back-0002", 1103))
        with self.assertRaises(errors.NotFoundError):
            self.apply(early)

    def test_unknown_names_are_rejected(self):
        refused = (
            commands.SwitchPreset("none", **fields("command-1", 1)),
            commands.RemovePreset("none", **fields("command-2", 1)),
            commands.RemoveAccount("none", **fields("command-3", 1)),
            commands.UndrainTarget("none", **fields("command-4", 1)),
            commands.RestorePresets(1, "none", **fields("command-5", 1)),
        )
        for command in refused:
            with self.assertRaises(errors.NotFoundError):
                self.apply(command)
        with self.assertRaises(errors.BadRequestError):
            remove = commands.RemovePreset(
                "ordinary", **fields("command-6", 1)
            )
            self.apply(remove)
        self.assertEqual(self.machine.book.parts.revision, 1)

    def test_quarantine_does_not_cause_conflicts(self):
        self.apply(commands.AddQuarantine("f" * 32, 60.0))
        self.assertEqual(self.switch("peak", "command-1", 1).revision, 3)

    def test_quarantine_expires_and_is_bounded(self):
        self.apply(commands.AddQuarantine("old", 10.0))
        self.stamp += 20
        for number in range(1005):
            self.apply(commands.AddQuarantine(f"f{number}", 5000.0 + number))
        quarantined = self.machine.book.parts.config().quarantined
        self.assertEqual(len(quarantined), 1000)
        self.assertNotIn("old", quarantined)
        self.assertIn("f1004", quarantined)

    def test_unsupported_snapshot_changes_nothing(self):
        for data in (b"", b"\xc1", b"\x80", b"\x81\xa7version\x63"):
            with self.assertRaises(errors.StorageError):
                self.machine.restore(data)
        self.assertEqual(self.in_force(), "ordinary")

    def test_revision_increases_when_history_is_full(self):
        book = self.machine.book
        for number in range(1200):
            name = "peak" if number % 2 else "ordinary"
            self.switch(name, f"command-{number}", number + 1)
        self.restart()
        self.assertEqual(len(book.history), 1000)
        self.assertEqual(self.machine.book.parts.revision, 1201)


class TestParts(unittest.TestCase):
    """Synchronization of configuration copies by deltas."""

    def setUp(self):
        self.machine = state_machine.StateMachine()
        self.machine.apply(1, 1.0, fake_state.bootstrap(20, True))
        self.copy = config_parts.Parts()
        self.copy.apply(fake_state.round_trip(self.machine.config_since(0)))

    def change(self, revision):
        policy = fleet.AccountPolicy(weight=float(revision))
        preset = fleet.Preset("peak", 1.5, accounts={"a": policy})
        put = commands.PutPreset(preset, **fields(f"put-{revision}", revision))
        self.machine.apply(2, 2.0, put)

    def test_applied_delta_equals_source(self):
        self.change(1)
        self.change(2)
        delta = fake_state.round_trip(self.machine.config_since(1))
        self.assertTrue(self.copy.apply(delta))
        self.assertEqual(self.copy.items, self.machine.book.parts.items)
        self.assertEqual(self.copy.config(), self.machine.book.parts.config())

    def test_advanced_config_equals_composed(self):
        # Advanced configurations share unchanged objects with their base,
        # which must not be modified in place.
        rng = random.Random(7)
        config = self.copy.config()
        for revision in range(1, 300):
            self.apply_random_change(rng, revision)
            if rng.random() < 0.4:
                continue
            before = copy.deepcopy(config)
            known = self.machine.config_since(config.revision)
            delta = fake_state.round_trip(known)
            new = config_parts.apply_changes(
                config, delta.revision, delta.changed, delta.removed
            )
            self.assertEqual(new, self.machine.book.parts.config())
            self.assertEqual(config, before)
            config = new

    def apply_random_change(self, rng, revision):
        command_fields = fields(f"any-{revision:05}", revision)
        name = rng.choice(("peak", "sale"))
        names = rng.sample("abcdef", 3)
        preset = fleet.Preset(
            name,
            rng.choice((1.2, 1.3)),
            classes={n: fleet.ClassPolicy(rng.randrange(3)) for n in names},
            desired_models={n: rng.randrange(3) for n in names},
        )
        kinds = (
            lambda: commands.PutPreset(preset, **command_fields),
            lambda: commands.SwitchPreset(name, **command_fields),
            lambda: commands.RemovePreset(name, **command_fields),
            lambda: commands.PutAccount(
                fleet.Account(names[0]), **command_fields
            ),
            lambda: commands.RemoveAccount(names[0], **command_fields),
            lambda: commands.DrainTarget(names[0], "r", **command_fields),
        )
        try:
            self.machine.apply(2, 2.0, rng.choice(kinds)())
        except errors.RefusedError:
            quarantine = commands.AddQuarantine(f"f{revision}", revision)
            self.machine.apply(2, 2.0, quarantine)

    def test_damaged_delta_changes_nothing(self):
        self.change(1)
        delta = self.machine.config_since(1)
        delta.changed["preset/peak/accounts/a"] = {"weight": 9.0}
        with self.assertRaises(errors.FrameError):
            self.copy.apply(delta)
        self.assertEqual(self.copy.revision, 1)

    def test_older_revision_is_ignored(self):
        whole = self.machine.config_since(-1)
        self.change(1)
        self.copy.apply(self.machine.config_since(1))
        self.assertFalse(self.copy.apply(whole))
        self.assertEqual(self.copy.revision, 2)

    def test_copy_older_than_change_log_gets_all_parts(self):
        for revision in range(1, config_parts.MAX_CHANGE_LOG + 2):
            self.change(revision)
        delta = self.machine.config_since(1)
        self.assertTrue(delta.whole)
        self.copy.apply(delta)
        self.assertEqual(self.copy.items, self.machine.book.parts.items)
