"""Table of targets: leases, incarnations, claims of names and addresses."""

import dataclasses
import random
import unittest
import unittest.mock

from amaranthring import errors
from amaranthring.core import records
from amaranthring.targets import entries
from amaranthring.targets import table

ENGINE = records.TargetKind.ENGINE


class Clock:
    """A simulated monotonic clock."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def engine(name="e1", incarnation=1, port=9001, **fields):
    return records.Target(
        name,
        incarnation,
        ENGINE,
        f"127.0.0.1:{port}",
        "dc1",
        "north",
        ("m",),
        **fields,
    )


class TableTestCase(unittest.TestCase):
    """Base: a table on a simulated clock."""

    def setUp(self):
        self.clock = Clock()
        self.table = table.TargetTable("dc1", clock=self.clock)

    def eligible_names(self):
        return [target.name for target in self.table.eligible(ENGINE, "m")]

    def pass_time(self, seconds):
        """Advance the clock in the steps of the expiry task."""
        until = self.clock.now + seconds
        while self.clock.now < until:
            self.clock.now = min(until, self.clock.now + 0.25)
            self.table.expire()


class TestLease(TableTestCase):
    """Leases expire on the router's own clock."""

    def test_unrenewed_target_is_suspended_then_lost(self):
        self.table.announce(engine())
        self.pass_time(2.4)
        self.assertEqual(self.eligible_names(), ["e1"])
        self.pass_time(0.2)
        self.assertEqual(self.eligible_names(), [])
        self.assertEqual(self.table.state("e1"), "suspended")
        self.pass_time(0.75)
        self.assertEqual(self.table.state("e1"), "lost")

    def test_renewal_extends_the_lease(self):
        self.table.announce(engine())
        for _ in range(10):
            self.pass_time(1.0)
            self.table.renew("e1", 1)
        self.assertEqual(self.eligible_names(), ["e1"])


class TestClaims(TableTestCase):
    """A target cannot claim the name or address of a live one."""

    def test_old_incarnation_is_refused(self):
        self.table.announce(engine(incarnation=5))
        with self.assertRaises(errors.StaleIncarnationError):
            self.table.announce(engine(incarnation=4))
        with self.assertRaises(errors.StaleIncarnationError):
            self.table.leave("e1", 4)
        self.assertEqual(self.eligible_names(), ["e1"])

    def test_address_of_a_live_target_is_refused(self):
        self.table.announce(engine())
        with self.assertRaises(errors.AddressTakenError):
            self.table.announce(engine("e2"))
        self.pass_time(4)
        self.table.announce(engine("e2"))
        self.assertEqual(self.eligible_names(), ["e2"])

    def test_name_of_a_live_target_elsewhere_is_refused(self):
        self.table.announce(engine())
        with self.assertRaises(errors.NameTakenError):
            self.table.announce(engine(incarnation=2, port=9002))
        self.table.announce(engine(incarnation=2))
        self.assertEqual(self.table.get("e1").incarnation, 2)

    def test_left_incarnation_is_not_revived(self):
        self.table.announce(engine())
        self.table.leave("e1", 1)
        with self.assertRaises(errors.StaleIncarnationError):
            self.table.announce(engine())
        late = entries.Record(engine(), 1, False)
        self.table.merge_record(late, self.clock.now)
        self.assertEqual(self.eligible_names(), [])
        self.assertEqual(self.table.state("e1"), "leaving")

    def test_same_incarnation_may_change_what_it_serves(self):
        self.table.announce(engine())
        more = dataclasses.replace(engine(), serves=("m", "n"))
        self.table.announce(more)
        self.assertEqual(self.table.get("e1"), more)


class TestPausedRouter(TableTestCase):
    """The router process itself was paused."""

    def test_pause_does_not_expire_leases(self):
        """A paused router must not fail all running requests when it resumes.

        Every lease seems to have expired, but the targets renewed elsewhere.
        """
        self.table.announce(engine())
        lost = []
        self.table.subscribe(lost.append)
        self.clock.now += 10.0
        self.table.expire()
        self.assertEqual(lost, [])
        self.assertEqual(self.eligible_names(), [])
        self.table.merge_heartbeat("e1", 1, self.clock.now)
        self.assertEqual(self.eligible_names(), ["e1"])
        self.pass_time(4.0)
        self.assertEqual(self.table.state("e1"), "lost")

    def test_renewal_read_after_a_pause_is_not_fresh_evidence(self):
        """A renewal that waited in the socket during a pause may be outdated.

        The engine may have left since and must get no work.
        """
        self.table.announce(engine())
        self.clock.now += 10.0
        self.table.renew("e1", 1)
        self.assertEqual(self.eligible_names(), [])
        self.table.expire()
        self.table.renew("e1", 1)
        self.assertEqual(self.eligible_names(), [])
        self.pass_time(0.5)
        self.table.renew("e1", 1)
        self.assertEqual(self.eligible_names(), ["e1"])


class TestLeaving(TableTestCase):
    """A target that announces its leave finishes its requests."""

    def test_silent_leaving_target_has_time_to_drain(self):
        """An engine that stops renewing when it leaves keeps its requests."""
        self.table.announce(engine())
        self.table.leave("e1", 1)
        self.pass_time(10.0)
        self.assertEqual(self.table.state("e1"), "leaving")
        self.pass_time(25.0)
        self.assertEqual(self.table.state("e1"), "lost")

    def test_renewing_leaving_target_has_the_normal_lease(self):
        self.table.announce(engine())
        self.table.leave("e1", 1)
        for _ in range(4):
            self.pass_time(0.5)
            self.table.renew("e1", 1)
        self.assertEqual(self.table.state("e1"), "leaving")
        self.pass_time(4.0)
        self.assertEqual(self.table.state("e1"), "lost")


class TestFlap(TableTestCase):
    """A target that leaves and returns repeatedly."""

    def announce_incarnation(self, incarnation):
        self.table.announce(engine(incarnation=incarnation))

    def test_flapping_target_is_held_back(self):
        self.table.announce(engine("e2", port=9002))
        for incarnation in range(1, 6):
            self.announce_incarnation(incarnation)
            self.table.renew("e2", 1)
        self.assertEqual(self.eligible_names(), ["e2"])
        self.assertEqual(self.table.state("e1"), "suspended")

    def test_last_target_is_not_held_back(self):
        for incarnation in range(1, 6):
            self.announce_incarnation(incarnation)
        self.assertEqual(self.eligible_names(), ["e1"])


class TestMerge(unittest.TestCase):
    """Records and evidence from other routers, in any order."""

    def messages(self):
        """Return what happened to two targets, with times."""
        messages = []

        def record(at, target, revision, leaving):
            messages.append((at, entries.Record(target, revision, leaving)))

        record(0, engine(incarnation=1), 1, False)
        record(1, engine(incarnation=1, capacity=8), 2, False)
        record(2, engine(incarnation=1, capacity=8), 2, True)
        record(3, engine(incarnation=2), 1, False)
        record(3.1, engine(incarnation=2, capacity=9), 2, False)
        record(3.1, engine(incarnation=2, capacity=7), 2, False)
        record(0, engine("e2", port=9002), 1, False)
        record(3.5, engine("e2", port=9002), 1, True)
        return messages

    def test_merge_is_order_independent_and_idempotent(self):
        """Late, repeated and reordered batches must lead to one table."""
        seen = set()
        for seed in range(200):
            rng = random.Random(seed)
            clock = Clock()
            merged = table.TargetTable("dc1", clock=clock)
            sent = self.messages() + rng.choices(self.messages(), k=6)
            rng.shuffle(sent)
            for at, record in sent:
                merged.merge_record(record, clock.now - 4.0 + at)
            versions = [merged.entries[n].version for n in ("e1", "e2")]
            seen.add((*versions, merged.digests["dc1"]))
            self.assertEqual(merged.state("e2"), "leaving")
        self.assertEqual(len(seen), 1)

    def test_late_evidence_does_not_revive_a_lost_target(self):
        clock = Clock()
        merged = table.TargetTable("dc1", clock=clock)
        merged.announce(engine())
        for _ in range(16):
            clock.now += 0.25
            merged.expire()
        self.assertEqual(merged.state("e1"), "lost")
        merged.merge_heartbeat("e1", 1, clock.now - 3.5)
        late = entries.Record(engine(), 1, False)
        merged.merge_record(late, clock.now - 3.5)
        self.assertEqual(merged.state("e1"), "lost")

    def test_tombstones_are_bounded(self):
        clock = Clock()
        merged = table.TargetTable("dc1", clock=clock)
        with unittest.mock.patch.object(table, "TARGETS_MOST", 32):
            for number in range(32):
                merged.announce(engine(f"e{number}", port=number))
            with self.assertRaises(errors.TableFullError):
                merged.announce(engine("more", port=60000))
        for _ in range(2600):
            clock.now += 0.25
            merged.expire()
        self.assertEqual(merged.entries, {})
