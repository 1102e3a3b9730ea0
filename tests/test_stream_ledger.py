"""What keepers know of streams, and say of their versions."""

import unittest
from unittest import mock

from amaranthring.core import links
from amaranthring.policy import bindings
from amaranthring.registry import hub
from amaranthring.registry import messages
from amaranthring.registry import sharing
from amaranthring.registry import stream_ledger
from amaranthring.registry import stream_messages
from amaranthring.registry import targets

V1 = bindings.Binding("s", "v1")
SETTLE_SECONDS = 1.5


def key(number):
    return bindings.stream_key("alba", f"r{number}")


def target(name, release, **fields):
    fields = {"sequence": 1} | fields
    return messages.TargetRecord(
        name, "s", f"{name}:1", "here", release, **fields
    )


class LedgerCase(unittest.TestCase):
    """One keeper's ledger."""

    def setUp(self):
        self.now = 1000.0
        self.handlers = links.Handlers()
        self.table = targets.TargetTable(lambda: self.now, 1.5)
        self.ledger = stream_ledger.StreamLedger(
            self.handlers, self.table, SETTLE_SECONDS, lambda: self.now
        )
        self.ledger.hears_all_keepers = lambda: True
        self.ledger.learn_history("first-start")
        self.now += SETTLE_SECONDS

    def find(self, number):
        """Return the answer to a question."""
        handler = self.handlers.by_class[stream_messages.FindStream]
        question = stream_messages.FindStream(key(number), "s", "route")
        return handler(None, question)


class TestStreams(LedgerCase):
    """Streams that were reported."""

    def test_reported_stream_is_found_and_told_once(self):
        groups = stream_messages.pack({V1: [key(1), key(2)]})
        self.ledger.add(groups)
        found = self.find(2)
        self.assertEqual(
            (True, "s", "v1"), (found.known, found.service, found.release)
        )
        self.assertEqual(groups, self.ledger.take_untold())
        self.assertEqual([], self.ledger.take_untold())

    def test_streams_of_other_keepers_are_not_told_again(self):
        """Guards against records that keepers send round for ever."""
        self.ledger.merge(stream_messages.pack({V1: [key(1)]}))
        self.assertTrue(self.find(1).known)
        self.assertEqual([], self.ledger.take_untold())

    def test_truncated_keys_are_ignored(self):
        self.ledger.add([stream_messages.BoundStreams("s", "v1", b"short")])
        self.assertEqual([], self.ledger.take_untold())


class TestReleases(LedgerCase):
    """Versions that may have begun a stream which is not known."""

    def test_versions_of_targets_that_have_left_count(self):
        """Guards against one version that looks like the only one."""
        self.table.merge(target("t1", "v1"))
        self.table.merge(target("t2", "v2"))
        self.table.mark_gone("t1")
        self.assertEqual(["v1", "v2"], self.find(1).releases)

    def test_versions_count_for_as_long_as_streams_are_taken_up(self):
        """Guards against a version that is forgotten with its target."""
        self.announce(target("t1", "v1"))
        self.table.mark_gone("t1")
        self.announce(target("t2", "v2"))
        self.pass_seconds(bindings.HISTORY_SECONDS - 1.0)
        self.assertEqual(["v1", "v2"], self.find(1).releases)
        self.pass_seconds(2.0)
        self.assertEqual(["v2"], self.find(1).releases)

    def test_version_that_a_target_changes_counts(self):
        """Guards against a target that restarts as another version."""
        self.announce(target("t1", "v1"))
        self.announce(target("t1", "v2", sequence=2))
        self.assertEqual(["v1", "v2"], self.find(1).releases)

    def test_version_that_goes_on_is_not_forgotten(self):
        """Guards against a version that was announced long ago."""
        self.announce(target("t1", "v1"))
        self.pass_seconds(2 * bindings.HISTORY_SECONDS)
        self.table.mark_gone("t1")
        self.pass_seconds(bindings.HISTORY_SECONDS - 1.0)
        self.assertEqual(["v1"], self.find(1).releases)

    def announce(self, record):
        self.ledger.will_announce(record)
        self.table.merge(record)

    def pass_seconds(self, seconds):
        """Let time pass; the keeper looks after its targets meanwhile."""
        self.now += seconds
        self.ledger.refresh_releases()
        self.table.remove_expired(hub.RETENTION_SECONDS)

    def test_absent_version_is_a_version_of_its_own(self):
        """Guards against targets without a version that count as equal."""
        self.table.merge(target("t1", "v1"))
        self.table.merge(target("t2", ""))
        self.assertEqual(["", "v1"], self.find(1).releases)

    def test_keeper_that_misses_another_is_not_complete(self):
        """Guards against a version that only a cut-off keeper knows."""
        self.assertTrue(self.find(1).complete)
        self.ledger.hears_all_keepers = lambda: False
        self.assertFalse(self.find(1).complete)

    def test_keeper_that_has_just_started_is_not_complete(self):
        """Guards against targets that have not announced themselves yet.

        Also with hints, which may be older than the newest version.
        """
        self.now -= SETTLE_SECONDS / 2
        self.assertFalse(self.find(1).complete)
        self.now += SETTLE_SECONDS / 2
        self.assertTrue(self.find(1).complete)

    def test_keeper_without_history_is_not_complete(self):
        """Guards against a version that left before the keeper started."""
        self.ledger.knows_history = False
        self.assertFalse(self.find(1).complete)
        self.tell_history(is_known=False)
        self.assertFalse(self.find(1).complete)
        self.tell_history(is_known=True)
        self.assertTrue(self.find(1).complete)
        self.assertEqual(["v0"], self.find(1).releases)

    def test_keeper_learns_history_with_time(self):
        """Guards against a fleet that never trusts its keepers again."""
        self.ledger.knows_history = False
        self.now += bindings.HISTORY_SECONDS
        self.assertTrue(self.find(1).complete)

    def tell_history(self, is_known):
        """Let another keeper tell what it knows of before."""
        self.ledger.merge_history(
            "other", stream_messages.History({"s": {"v0": 90.0}}, {}, is_known)
        )

    def test_route_that_was_moved_is_told(self):
        """Guards against routers that have started after the change."""
        self.assertFalse(self.find(1).moved)
        self.ledger.routes.merge({"route": 5.0})
        self.assertTrue(self.find(1).moved)
        self.now += bindings.HISTORY_SECONDS
        self.assertFalse(self.find(1).moved)

    def test_new_version_is_noticed_once(self):
        """Guards against a new version that is lost with all power."""
        noticed = []
        self.ledger.on_history.append(lambda: noticed.append(1))
        for record in (target("t1", "v1"), target("t2", "v1")):
            self.ledger.will_announce(record)
            self.table.merge(record)
        self.ledger.will_announce(target("t2", "v1", sequence=2))
        self.assertEqual(1, len(noticed))

    def test_moved_route_is_noticed_once(self):
        """Guards against a move that is lost with all power."""
        noticed = []
        self.ledger.on_history.append(lambda: noticed.append(1))
        handler = self.handlers.by_class[stream_messages.StreamsBound]
        for age in (0.0, 0.3):
            handler(None, stream_messages.StreamsBound([], {"route": age}))
        self.assertTrue(self.find(1).moved)
        self.assertEqual(1, len(noticed))

    def test_version_that_comes_late_is_passed_on(self):
        """Guards against a version that routers never learn."""
        self.table.merge(target("t1", ""))
        self.assertFalse(self.table.merge(target("t1", "", sequence=2)))
        self.assertTrue(self.table.merge(target("t1", "v1", sequence=3)))


class TestExchange(unittest.TestCase):
    """Reports of routers, and sums of other keepers."""

    def test_reported_streams_reach_the_other_keepers(self):
        """Guards against streams that only one keeper knows."""
        exchanges = []
        for name in ("a", "b"):
            handlers = links.Handlers()
            table = targets.TargetTable(lambda: 0.0, 1.5)
            ledger = stream_ledger.StreamLedger(
                handlers, table, 0.0, lambda: 0.0
            )
            peer = mock.Mock()
            exchange = sharing.Exchange(
                handlers, lambda p=peer: [p], lambda: 0.0, None, ledger
            )
            link = mock.Mock(closed=False)
            link.peer = links.Identity(name, "router", "here", 1)
            exchanges.append((exchange, ledger, peer, link))
        (exchange, _, peer, link), (other, other_ledger, _, _) = exchanges
        report = sharing.Report({}, [])
        report.streams = stream_messages.pack({V1: [key(1)]})
        exchange._on_report(link, report)
        self.assertFalse(other_ledger.hears_all_keepers())
        exchange.step()
        other._on_sums(link, peer.send.call_args.args[0])
        # Its sums may come before what it knew already.
        self.assertFalse(other_ledger.hears_all_keepers())
        ledger = exchange.streams
        ledger.will_announce(target("t1", "v0"))
        ledger.learn_history("first-start")
        exchange.sync_keeper(peer)
        exchange.step()
        other._on_sums(link, peer.send.call_args.args[0])
        self.assertEqual(V1, other_ledger.bindings.find(key(1)).binding)
        self.assertTrue(other_ledger.hears_all_keepers())
        self.assertTrue(other_ledger.knows_history)
        self.assertEqual({"v0"}, other_ledger.releases.releases("s"))
        exchange.step()
        other._on_sums(link, peer.send.call_args.args[0])
        self.assertTrue(other_ledger.hears_all_keepers())
        new_link = mock.Mock(closed=False, peer=link.peer)
        other._on_sums(new_link, peer.send.call_args.args[0])
        self.assertFalse(other_ledger.hears_all_keepers())
