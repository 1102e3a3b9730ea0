"""Targets as keepers and routers merge what they hear of them."""

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


class TableCase(unittest.TestCase):
    """Base: a table on a clock of the test."""

    def setUp(self):
        self.now = 100.0
        self.table = targets.TargetTable(lambda: self.now, 2.0)

    def held(self, target_id="a"):
        return self.table.entries[target_id].record


class TestMerge(TableCase):
    """Announcements of one start of a target."""

    def test_order_does_not_matter(self):
        news = [
            record(sequence=1),
            record(sequence=5, state=State.DRAINING),
            record(sequence=7, state=State.READY),
        ]
        found = set()
        for order in itertools.permutations(news):
            table = targets.TargetTable(lambda: 0.0, 2.0)
            for one in order:
                table.merge(one)
            held = table.entries["a"].record
            found.add((held.state, held.sequence))
        self.assertEqual({(State.DRAINING, 7)}, found)

    def test_late_announcement_does_not_undo_a_leave(self):
        """A target says that it leaves; an older word comes after it.

        Taken as the newest it would bring requests to a target that is
        about to end.
        """
        self.table.merge(record(sequence=3))
        self.table.mark_gone("a")
        self.assertFalse(self.table.merge(record(sequence=2)))
        self.table.merge(record(sequence=4))
        self.assertEqual(State.GONE, self.held().state)
        self.assertEqual([], list(self.table.active()))

    def test_only_changes_are_news(self):
        self.assertTrue(self.table.merge(record(sequence=1)))
        self.assertFalse(self.table.merge(record(sequence=2)))
        changed = record(sequence=3, state=State.DRAINING)
        self.assertTrue(self.table.merge(changed))

    def test_silence_ends_with_the_next_word(self):
        self.table.merge(record(sequence=1))
        self.now += 5
        self.assertEqual(["a"], [r.id for r in self.table.mark_silent(4.0)])
        self.assertEqual([], self.table.mark_silent(4.0))
        self.assertTrue(self.table.merge(record(sequence=2)))
        self.assertFalse(self.held().silent)

    def test_word_of_another_keeper_ends_silence(self):
        self.table.merge(record(sequence=1))
        self.now += 5
        self.table.mark_silent(4.0)
        self.assertTrue(self.table.record_heartbeat("a", 4))
        self.assertFalse(self.table.record_heartbeat("a", 3))

    def test_what_went_is_forgotten_later(self):
        self.table.merge(record())
        self.table.mark_gone("a")
        self.now += 50
        self.table.remove_expired(60.0)
        self.assertIn("a", self.table.entries)
        self.now += 20
        self.table.remove_expired(60.0)
        self.assertNotIn("a", self.table.entries)


class TestAddresses(TableCase):
    """Several starts of targets at one address."""

    def test_new_start_takes_the_address(self):
        self.table.merge(record("old", sequence=40))
        self.table.merge(record("new", sequence=1))
        self.assertEqual(["new"], [r.id for r in self.table.active()])

    def test_word_of_a_dead_start_held_up_by_a_cut(self):
        """A target behind a cut crashes and starts again.

        Its last announcement of before the crash arrives after the first
        of the new start. Requests sent to the dead start's id would all be
        refused.
        """
        self.table.merge(record("new", sequence=4))
        self.assertFalse(self.table.merge(record("old", sequence=40)))
        self.assertEqual(["new"], [r.id for r in self.table.active()])

    def test_address_of_a_silent_start_is_free(self):
        self.table.merge(record("old", sequence=40))
        self.now += 3
        self.assertTrue(self.table.merge(record("new", sequence=9)))
        self.assertEqual(["new"], [r.id for r in self.table.active()])

    def test_refusal_brings_the_other_start_back(self):
        """A router hears of two starts in the wrong order.

        The address answers that another target is there; then the one that
        was displaced is it.
        """
        table = targets.TargetTable(lambda: self.now, 0.0)
        table.merge(record("new", sequence=9))
        table.merge(record("old", sequence=40))
        self.assertEqual(["old"], [r.id for r in table.active()])
        table.mark_gone("old")
        self.assertEqual(["new"], [r.id for r in table.active()])

    def test_gone_start_takes_no_address(self):
        self.table.merge(record("new", sequence=9))
        self.table.merge(record("old", sequence=40, state=State.GONE))
        self.assertEqual(["new"], [r.id for r in self.table.active()])


class TestStarts(TableCase):
    """A target that starts again under the name that it had."""

    OLD, NEW = 1_700_000_000_000, 1_700_000_009_000

    def start(self, born, sequence=1, **fields):
        return messages.TargetRecord(
            messages.incarnation_id("a", born), "s", "v:1", "here",
            sequence=sequence, name="a", born=born, **fields
        )  # fmt: skip

    def words(self):
        drains = messages.State.DRAINING
        gone = messages.State.GONE
        return [
            self.start(self.OLD, 40),
            self.start(self.OLD, 41, state=drains),
            self.start(self.OLD, 42, state=gone),
            self.start(self.NEW, 1),
            self.start(self.NEW, 2),
            # Another writer's: it does not say when the target was born.
            self.start(0, 50, state=drains),
        ]

    def test_last_born_wins_in_any_order(self):
        """An engine crashes and is back under its id; words overtake.

        What it said before was taken for newer, since its numbers began
        anew: it stayed out, or got requests for prompts that it had lost.
        """
        for order in itertools.permutations(self.words()):
            table = targets.TargetTable(lambda: self.now, 2.0)
            for record in order:
                table.merge(record)
            held = list(table.active())
            self.assertEqual([self.start(self.NEW, 2)], held)

    def test_requests_of_the_start_before_are_not_counted(self):
        self.table.merge(self.start(self.OLD, 40))
        placer = placement.Placer(self.table, "here", lambda: self.now)
        old = next(self.table.active())
        placer.views[old.id].running = 7
        placer.prefixes.merge([["part", old.id]])
        self.table.merge(self.start(self.NEW, 1))
        new = next(self.table.active())
        self.assertEqual(0, placer.views[new.id].load(self.now))
        part = records.PromptPart("part", 10)
        self.assertEqual(10, placer.prefixes.uncached_tokens([part], new.id))

    def test_leave_of_the_start_before_comes_late(self):
        self.table.merge(self.start(self.OLD, 40))
        self.table.merge(self.start(self.NEW, 1))
        self.assertIsNone(self.table.mark_gone_by_name("a", self.OLD))
        self.assertEqual(1, len(list(self.table.active())))
        self.assertIsNotNone(self.table.mark_gone_by_name("a", self.NEW))
        self.assertEqual([], list(self.table.active()))

    def test_start_is_forgotten_after_a_while(self):
        self.table.merge(self.start(self.OLD, 40))
        self.table.mark_gone_by_name("a", 0)
        self.now += 61.0
        self.table.remove_expired(60.0)
        self.assertEqual(
            ({}, {}), (self.table.entries, self.table.newest_by_name)
        )


class TestAllTargets(unittest.TestCase):
    """All records in one message, for a router that has just linked."""

    def test_large_fleet_takes_a_kilobyte_or_two(self):
        """A cut heals, and 84 routers link to every keeper at once.

        Each got all records plainly, 9 KB from each of 6 keepers: a second of
        every keeper's link, in front of the heartbeats.
        """
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

    def test_broken_message_is_refused(self):
        for packed in (b"", b"x" * 20, zlib.compress(b"\x01")):
            with self.assertRaises(errors.FrameError):
                messages.unpack_targets(messages.AllTargets(packed))
