"""Merging of target announcements by keepers and routers."""

import itertools
import unittest
import zlib

from amaranthring import errors
from amaranthring.core import wire
from amaranthring.forwarding import placement
from amaranthring.forwarding import records
from amaranthring.registry import messages
from amaranthring.registry import targets

State = messages.State


def record(target_id="a", address="v:1", sequence=1, **fields):
    return messages.TargetRecord(
        target_id, "s", address, "here", sequence=sequence, **fields
    )


class TableTestCase(unittest.TestCase):
    """Base: a table on a simulated clock."""

    def setUp(self):
        self.now = 100.0
        self.table = targets.TargetTable(lambda: self.now, 2.0)

    def current_record(self, target_id="a"):
        return self.table.entries[target_id].record


class TestMerge(TableTestCase):
    """Announcements of one incarnation of a target."""

    def test_merge_is_order_independent(self):
        announcements = [
            record(sequence=1),
            record(sequence=5, state=State.DRAINING),
            record(sequence=7, state=State.READY),
        ]
        results = set()
        for order in itertools.permutations(announcements):
            table = targets.TargetTable(lambda: 0.0, 2.0)
            for announcement in order:
                table.merge(announcement)
            current_record = table.entries["a"].record
            results.add((current_record.state, current_record.sequence))
        self.assertEqual({(State.DRAINING, 7)}, results)

    def test_late_announcement_does_not_revert_gone(self):
        """Guards against requests to a target that is about to end."""
        self.table.merge(record(sequence=3))
        self.table.mark_gone("a")
        self.assertFalse(self.table.merge(record(sequence=2)))
        self.table.merge(record(sequence=4))
        self.assertEqual(State.GONE, self.current_record().state)
        self.assertEqual([], list(self.table.active()))

    def test_merge_reports_only_changes(self):
        self.assertTrue(self.table.merge(record(sequence=1)))
        self.assertFalse(self.table.merge(record(sequence=2)))
        changed = record(sequence=3, state=State.DRAINING)
        self.assertTrue(self.table.merge(changed))

    def test_announcement_ends_silence(self):
        self.table.merge(record(sequence=1))
        self.now += 5
        self.assertEqual(["a"], [r.id for r in self.table.mark_silent(4.0)])
        self.assertEqual([], self.table.mark_silent(4.0))
        self.assertTrue(self.table.merge(record(sequence=2)))
        self.assertFalse(self.current_record().silent)

    def test_heartbeat_from_another_keeper_ends_silence(self):
        self.table.merge(record(sequence=1))
        self.now += 5
        self.table.mark_silent(4.0)
        self.assertTrue(self.table.record_heartbeat("a", 4))
        self.assertFalse(self.table.record_heartbeat("a", 3))

    def test_gone_target_is_removed_after_retention(self):
        self.table.merge(record())
        self.table.mark_gone("a")
        self.now += 50
        self.table.remove_expired(60.0)
        self.assertIn("a", self.table.entries)
        self.now += 20
        self.table.remove_expired(60.0)
        self.assertNotIn("a", self.table.entries)


class TestAddresses(TableTestCase):
    """Several incarnations of targets at one address."""

    def test_new_incarnation_takes_the_address(self):
        self.table.merge(record("old", sequence=40))
        self.table.merge(record("new", sequence=1))
        self.assertEqual(["new"], [r.id for r in self.table.active()])

    def test_delayed_announcement_does_not_take_the_address(self):
        """A target crashes and restarts during a partition.

        Its last announcement before the crash arrives after the first of the
        new incarnation, which must keep the address.
        """
        self.table.merge(record("new", sequence=4))
        self.assertFalse(self.table.merge(record("old", sequence=40)))
        self.assertEqual(["new"], [r.id for r in self.table.active()])

    def test_silent_target_loses_its_address(self):
        self.table.merge(record("old", sequence=40))
        self.now += 3
        self.assertTrue(self.table.merge(record("new", sequence=9)))
        self.assertEqual(["new"], [r.id for r in self.table.active()])

    def test_gone_holder_returns_the_address(self):
        """A router receives announcements of two targets in the wrong order.

        Once the wrong holder is known to be gone, the other gets the address
        back.
        """
        table = targets.TargetTable(lambda: self.now, 0.0)
        table.merge(record("new", sequence=9))
        table.merge(record("old", sequence=40))
        self.assertEqual(["old"], [r.id for r in table.active()])
        table.mark_gone("old")
        self.assertEqual(["new"], [r.id for r in table.active()])

    def test_gone_target_takes_no_address(self):
        self.table.merge(record("new", sequence=9))
        self.table.merge(record("old", sequence=40, state=State.GONE))
        self.assertEqual(["new"], [r.id for r in self.table.active()])


class TestIncarnations(TableTestCase):
    """A target that restarts under the same name."""

    OLD, NEW = 1_700_000_000_000, 1_700_000_009_000

    def incarnation(self, born, sequence=1, **fields):
        return messages.TargetRecord(
            messages.incarnation_id("a", born), "s", "v:1", "here",
            sequence=sequence, name="a", born=born, **fields
        )  # fmt: skip

    def announcements(self):
        draining = messages.State.DRAINING
        gone = messages.State.GONE
        return [
            self.incarnation(self.OLD, 40),
            self.incarnation(self.OLD, 41, state=draining),
            self.incarnation(self.OLD, 42, state=gone),
            self.incarnation(self.NEW, 1),
            self.incarnation(self.NEW, 2),
            # From a sender that does not know when the target was born.
            self.incarnation(0, 50, state=draining),
        ]

    def test_last_born_wins_in_any_order(self):
        """A restarted target counts from its first sequence again.

        Messages of its earlier incarnation, with higher sequences, must not
        win.
        """
        for order in itertools.permutations(self.announcements()):
            table = targets.TargetTable(lambda: self.now, 2.0)
            for record in order:
                table.merge(record)
            active = list(table.active())
            self.assertEqual([self.incarnation(self.NEW, 2)], active)

    def test_state_of_an_older_incarnation_is_discarded(self):
        self.table.merge(self.incarnation(self.OLD, 40))
        placer = placement.Placer(self.table, "here", lambda: self.now)
        old = next(self.table.active())
        placer.views[old.id].running = 7
        placer.prefixes.merge([["part", old.id]])
        self.table.merge(self.incarnation(self.NEW, 1))
        new = next(self.table.active())
        self.assertEqual(0, placer.views[new.id].load(self.now))
        part = records.PromptPart("part", 10)
        self.assertEqual(10, placer.prefixes.uncached_tokens([part], new.id))

    def test_late_leave_of_an_older_incarnation_is_ignored(self):
        self.table.merge(self.incarnation(self.OLD, 40))
        self.table.merge(self.incarnation(self.NEW, 1))
        self.assertIsNone(self.table.mark_gone_by_name("a", self.OLD))
        self.assertEqual(1, len(list(self.table.active())))
        self.assertIsNotNone(self.table.mark_gone_by_name("a", self.NEW))
        self.assertEqual([], list(self.table.active()))

    def test_incarnation_is_removed_after_retention(self):
        self.table.merge(self.incarnation(self.OLD, 40))
        self.table.mark_gone_by_name("a", 0)
        self.now += 61.0
        self.table.remove_expired(60.0)
        self.assertEqual(
            ({}, {}), (self.table.entries, self.table.newest_by_name)
        )


class TestAllTargets(unittest.TestCase):
    """All records in one message, for a router that has just linked."""

    def test_packed_message_is_small(self):
        """Routers that reconnect together must not fill the keepers' links."""
        records = [
            record(
                f"i-{n * 2654435761 % 2**40:010x}",
                f"10.{n % 3 + 1}.64.{n}:8080",
                n,
                slots=64,
            )
            for n in range(50)
        ]
        message = messages.pack_targets(records)
        self.assertEqual(records, messages.unpack_targets(message))
        self.assertLess(len(message.packed), 2500)
        plain = wire.encode_value(messages.Targets(records))
        self.assertGreater(len(plain), 3 * len(message.packed))

    def test_malformed_message_is_refused(self):
        for packed in (b"", b"x" * 20, zlib.compress(b"\x01")):
            with self.assertRaises(errors.FrameError):
                messages.unpack_targets(messages.AllTargets(packed))
