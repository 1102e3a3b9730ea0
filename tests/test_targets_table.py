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
    """A monotonic clock that tests move."""

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


class TableCase(unittest.TestCase):
    """A table under a clock of the test."""

    def setUp(self):
        self.clock = Clock()
        self.table = table.TargetTable("dc1", clock=self.clock)

    def names(self):
        return [target.name for target in self.table.eligible(ENGINE, "m")]

    def pass_time(self, seconds):
        """Let time pass in the steps of the watching task."""
        until = self.clock.now + seconds
        while self.clock.now < until:
            self.clock.now = min(until, self.clock.now + 0.25)
            self.table.expire()


class TestLease(TableCase):
    """Leases run out on the router's own clock."""

    def test_unrenewed_target_gets_no_work_and_is_then_lost(self):
        self.table.announce(engine())
        self.pass_time(2.4)
        self.assertEqual(self.names(), ["e1"])
        self.pass_time(0.2)
        self.assertEqual(self.names(), [])
        self.assertEqual(self.table.state("e1"), "suspended")
        self.pass_time(0.75)
        self.assertEqual(self.table.state("e1"), "lost")

    def test_renewal_keeps_it(self):
        self.table.announce(engine())
        for _ in range(10):
            self.pass_time(1.0)
            self.table.renew("e1", 1)
        self.assertEqual(self.names(), ["e1"])


class TestClaims(TableCase):
    """A target cannot take what a live one holds."""

    def test_old_incarnation_is_refused(self):
        self.table.announce(engine(incarnation=5))
        with self.assertRaises(errors.StaleIncarnationError):
            self.table.announce(engine(incarnation=4))
        with self.assertRaises(errors.StaleIncarnationError):
            self.table.leave("e1", 4)
        self.assertEqual(self.names(), ["e1"])

    def test_address_of_a_live_target_is_refused(self):
        self.table.announce(engine())
        with self.assertRaises(errors.AddressTakenError):
            self.table.announce(engine("e2"))
        self.pass_time(4)
        self.table.announce(engine("e2"))
        self.assertEqual(self.names(), ["e2"])

    def test_name_of_a_live_target_elsewhere_is_refused(self):
        self.table.announce(engine())
        with self.assertRaises(errors.NameTakenError):
            self.table.announce(engine(incarnation=2, port=9002))
        self.table.announce(engine(incarnation=2))
        self.assertEqual(self.table.get("e1").incarnation, 2)

    def test_left_incarnation_does_not_come_back(self):
        self.table.announce(engine())
        self.table.leave("e1", 1)
        with self.assertRaises(errors.StaleIncarnationError):
            self.table.announce(engine())
        late = entries.Record(engine(), 1, False)
        self.table.merge_record(late, self.clock.now)
        self.assertEqual(self.names(), [])
        self.assertEqual(self.table.state("e1"), "leaving")

    def test_same_incarnation_may_change_what_it_serves(self):
        self.table.announce(engine())
        more = dataclasses.replace(engine(), serves=("m", "n"))
        self.table.announce(more)
        self.assertEqual(self.table.get("e1"), more)


class TestFrozenRouter(TableCase):
    """The router itself stood still."""

    def test_waking_router_gives_up_no_target(self):
        """All running requests of a router fail at once.

        It was frozen for ten seconds; on waking every lease seems to have
        run out, though the targets renew at other routers.
        """
        self.table.announce(engine())
        lost = []
        self.table.subscribe(lost.append)
        self.clock.now += 10.0
        self.table.expire()
        self.assertEqual(lost, [])
        self.assertEqual(self.names(), [])
        self.table.merge_heartbeat("e1", 1, self.clock.now)
        self.assertEqual(self.names(), ["e1"])
        self.pass_time(4.0)
        self.assertEqual(self.table.state("e1"), "lost")

    def test_renewal_read_on_waking_is_as_old_as_the_freeze(self):
        """A waking router gives work to an engine that left meanwhile.

        The engine's last renewal waited in the socket during the freeze.
        """
        self.table.announce(engine())
        self.clock.now += 10.0
        self.table.renew("e1", 1)
        self.assertEqual(self.names(), [])
        self.table.expire()
        self.table.renew("e1", 1)
        self.assertEqual(self.names(), [])
        self.pass_time(0.5)
        self.table.renew("e1", 1)
        self.assertEqual(self.names(), ["e1"])


class TestLeaving(TableCase):
    """A target that leaves ends what it runs."""

    def test_silent_leaver_is_not_given_up_while_it_drains(self):
        """Requests are cut off though their engine was ending them.

        The engine said that it leaves and stopped renewing.
        """
        self.table.announce(engine())
        self.table.leave("e1", 1)
        self.pass_time(10.0)
        self.assertEqual(self.table.state("e1"), "leaving")
        self.pass_time(25.0)
        self.assertEqual(self.table.state("e1"), "lost")

    def test_leaver_that_renews_has_the_ordinary_lease(self):
        self.table.announce(engine())
        self.table.leave("e1", 1)
        for _ in range(4):
            self.pass_time(0.5)
            self.table.renew("e1", 1)
        self.assertEqual(self.table.state("e1"), "leaving")
        self.pass_time(4.0)
        self.assertEqual(self.table.state("e1"), "lost")


class TestFlap(TableCase):
    """A target that comes and goes."""

    def restart(self, incarnation):
        self.table.announce(engine(incarnation=incarnation))

    def test_flapping_target_waits_while_another_serves(self):
        self.table.announce(engine("e2", port=9002))
        for incarnation in range(1, 6):
            self.restart(incarnation)
            self.table.renew("e2", 1)
        self.assertEqual(self.names(), ["e2"])
        self.assertEqual(self.table.state("e1"), "suspended")

    def test_damping_never_takes_the_last_one(self):
        for incarnation in range(1, 6):
            self.restart(incarnation)
        self.assertEqual(self.names(), ["e1"])


class TestMerge(unittest.TestCase):
    """Records and evidence from other routers, in any order."""

    def messages(self):
        """Return what happened to two targets, each with its moment."""
        made = []

        def record(at, target, revision, leaving):
            made.append((at, entries.Record(target, revision, leaving)))

        record(0, engine(incarnation=1), 1, False)
        record(1, engine(incarnation=1, capacity=8), 2, False)
        record(2, engine(incarnation=1, capacity=8), 2, True)
        record(3, engine(incarnation=2), 1, False)
        record(3.1, engine(incarnation=2, capacity=9), 2, False)
        record(3.1, engine(incarnation=2, capacity=7), 2, False)
        record(0, engine("e2", port=9002), 1, False)
        record(3.5, engine("e2", port=9002), 1, True)
        return made

    def test_any_order_and_any_number_give_the_same_table(self):
        """Routers disagree for ever, or an engine that left comes back.

        Batches come late, twice and out of order through two relays.
        """
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

    def test_late_evidence_does_not_bring_a_lost_target_back(self):
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
