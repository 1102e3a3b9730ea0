"""What a keeper makes of its routers' reports of crashes."""

import asyncio
import unittest
from unittest import mock

from amaranthring import errors
from amaranthring.core import links
from amaranthring.core import wire
from amaranthring.keepers import dispatch
from amaranthring.policy import crash_evidence
from amaranthring.registry import crash_ledger
from amaranthring.registry import crash_messages
from amaranthring.registry import messages
from amaranthring.registry import targets


class FakeLink:
    """A link that records what is sent on it."""

    def __init__(self, name, role=messages.ROUTER_ROLE):
        self.peer = links.Identity(name, role, "here", 1)
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    def send_encoded(self, frame, tag):
        [parts] = _unpacked(frame)
        self.sent.append(wire.decode(parts).message)

    def verdicts(self):
        """Return all verdicts that were sent, the last of each request."""
        return {
            verdict.fingerprint: verdict
            for message in self.sent
            for verdict in message.verdicts
        }


def _unpacked(frame):
    unpacker = wire.unpacker()
    unpacker.feed(frame)
    return list(unpacker)


class LedgerCase(unittest.IsolatedAsyncioTestCase):
    """A ledger with a few routers."""

    def setUp(self):
        patch = mock.patch.object(crash_evidence, "JUDGE_SECONDS", 0.02)
        patch.start()
        self.addCleanup(patch.stop)
        self.now = 100.0
        self.handlers = links.Handlers()
        self.routers = [FakeLink(f"router-{n}") for n in range(30)]
        self.ledger = crash_ledger.CrashLedger(
            self.handlers, lambda: self.routers, lambda: self.now
        )
        self.addCleanup(self.ledger.stop)

    def receive(self, link, message):
        self.handlers.by_class[type(message)](link, message)

    def report(self, router, target, *names, proven=True):
        runs = [
            crash_evidence.Run(
                name, target, 0.1, 0.0, router.peer.name, proven=proven
            )
            for name in names
        ]
        self.receive(router, crash_messages.LostRuns(runs))

    async def settle(self):
        """Let the ledger judge and publish."""
        self.now += crash_evidence.JUDGE_SECONDS
        await asyncio.sleep(0.1)

    async def crash_series(self, count, name="bad"):
        for number in range(count):
            self.now += 1.0
            self.report(self.routers[number], f"{name}-t{number}", name)
            await self.settle()


class TestReports(LedgerCase):
    """Crashes that each router sees a part of."""

    async def test_crashes_at_different_routers_add_up(self):
        """Guards against routers that each know a crash too few."""
        await self.crash_series(3)
        for router in self.routers:
            verdict = router.verdicts()["bad"]
            self.assertLess(0.0, verdict.refused_seconds)
            self.assertFalse(verdict.condemned)
            seen_by = [note.router for note in verdict.crashes]
            self.assertEqual(["router-0", "router-1", "router-2"], seen_by)

    async def test_reports_of_one_crash_are_published_together(self):
        """Guards against a message to each router for each report."""
        for target in ("t1", "t2"):
            self.now += 1.0
            for number, router in enumerate(self.routers):
                self.report(router, target, f"chat{number}")
            await self.settle()
        self.assertEqual(1, len(self.routers[0].sent))
        self.assertEqual(30, len(self.routers[0].verdicts()))

    async def test_only_routers_are_heard(self):
        """Guards against other processes that have requests refused."""
        keeper = FakeLink("keeper", dispatch.KEEPER_ROLE)
        for message in (
            crash_messages.LostRuns([]),
            crash_messages.TargetLives("t1"),
            crash_messages.SuspectsCompleted([]),
            crash_messages.Verdicts([]),
        ):
            with self.assertRaises(errors.ForbiddenError):
                self.receive(keeper, message)


class TestLivingTargets(LedgerCase):
    """Targets that a router without paths has reported as ended."""

    def setUp(self):
        super().setUp()
        self.table = targets.TargetTable(lambda: self.now, 1.5)

    def announce(self, sequence, names):
        """Let targets announce themselves, and the ledger take note."""
        for name in names:
            self.table.merge(
                messages.TargetRecord(
                    name, "s", f"{name}:1", "here", sequence=sequence
                )
            )
        self.now += 1.0
        self.ledger.withdraw_living(self.table, 1.0)

    async def crash_and_announce(self, count, announcements):
        """Report a series of crashes; some targets announce themselves on."""
        names = [f"bad-t{number}" for number in range(count)]
        for name in names:
            self.table.merge(
                messages.TargetRecord(
                    name, "s", f"{name}:1", "here", sequence=1
                )
            )
        await self.crash_series(count)
        for number in range(announcements + 1):
            self.announce(1 + number, names)
        await self.settle()
        return self.routers[0].verdicts()["bad"]

    async def test_crashes_of_targets_that_live_do_not_count(self):
        """Guards against routers without paths that blame requests."""
        verdict = await self.crash_and_announce(
            3, crash_ledger.ALIVE_ANNOUNCEMENTS
        )
        self.assertEqual((0, True), (verdict.count, verdict.withdrawn))
        self.assertIsNone(self.ledger.evidence.get("bad"))

    async def test_condemned_request_is_free_again(self):
        """Guards against ten minutes of refusals for a router's own fault."""
        verdict = await self.crash_and_announce(4, 1)
        self.assertTrue(verdict.condemned)
        names = [f"bad-t{number}" for number in range(4)]
        for number in range(crash_ledger.ALIVE_ANNOUNCEMENTS):
            self.announce(3 + number, names)
        await self.settle()
        verdict = self.routers[0].verdicts()["bad"]
        self.assertEqual((0, False), (verdict.count, verdict.condemned))

    async def test_crashes_that_outlive_a_keeper_are_withdrawn(self):
        """Guards against a restarted keeper that blames for live targets."""
        names = [f"bad-t{number}" for number in range(4)]
        self.announce(1, names)
        await self.crash_series(4)
        kept = self.ledger.condemned(), self.ledger.runs()
        self.setUp()
        self.announce(2, names)
        self.ledger.restore(*kept, 1.0)
        self.assertTrue(self.ledger.evidence.get("bad").condemned)
        for number in range(crash_ledger.ALIVE_ANNOUNCEMENTS + 1):
            self.announce(2 + number, names)
        self.assertIsNone(self.ledger.evidence.get("bad"))

    async def test_late_announcements_withdraw_nothing(self):
        """Guards against crashes that count no more, as messages are late."""
        verdict = await self.crash_and_announce(
            4, crash_ledger.ALIVE_ANNOUNCEMENTS - 1
        )
        self.assertTrue(verdict.condemned)

    async def test_target_that_was_silent_for_a_while_lives(self):
        """Guards against suspects of targets that were only cut off."""
        self.announce(1, ["bad-t0"])
        await self.crash_series(1)
        self.now += 2.0
        self.table.mark_silent(1.0)
        self.ledger.withdraw_living(self.table, 1.0)
        for number in range(crash_ledger.ALIVE_ANNOUNCEMENTS + 2):
            self.table.record_heartbeat("bad-t0", 2 + number)
            self.now += 1.0
            self.ledger.withdraw_living(self.table, 1.0)
        self.assertIsNone(self.ledger.evidence.get("bad"))

    async def test_announcements_before_a_later_crash_show_nothing(self):
        """Guards against a crash that the life before it withdraws."""
        self.announce(1, ["t0"])
        self.report(self.routers[0], "t0", "chat", proven=False)
        for number in range(crash_ledger.ALIVE_ANNOUNCEMENTS):
            self.announce(1 + number, ["t0"])
        self.report(self.routers[0], "t0", "later")
        for number in range(crash_ledger.ALIVE_ANNOUNCEMENTS):
            self.announce(5 + number, ["t0"])
        self.assertIsNotNone(self.ledger.evidence.get("later"))

    async def test_router_withdraws_what_is_not_proven(self):
        """Guards against suspects of a target that its router has heard."""
        self.report(self.routers[0], "t1", "chat", proven=False)
        self.report(self.routers[0], "t2", "chat", proven=False)
        self.report(self.routers[1], "t2", "chat")
        for target in ("t1", "t2"):
            self.receive(self.routers[0], crash_messages.TargetLives(target))
        crashes = self.ledger.evidence.get("chat").crashes
        self.assertEqual(["t2"], [crash.target for crash in crashes])

    async def test_targets_that_have_left_are_not_watched(self):
        """Guards against memory for targets that never come back."""
        await self.crash_series(3)
        self.ledger.withdraw_living(self.table, 1.0)
        self.assertEqual(0, len(self.ledger.watched))


class TestRestoring(LedgerCase):
    """Processes that link anew."""

    async def test_new_router_is_told_what_is_known(self):
        """Guards against a router that begins from nothing."""
        await self.crash_series(4)
        link = FakeLink("router-99")
        self.ledger.add_router(link)
        self.assertTrue(link.verdicts()["bad"].condemned)

    async def test_cleared_request_is_forgotten_everywhere(self):
        """Guards against a suspect that stays one after its answer."""
        await self.crash_series(2, "chat")
        self.assertEqual(2, self.routers[0].verdicts()["chat"].count)
        completed = crash_messages.SuspectsCompleted(["chat"])
        self.receive(self.routers[3], completed)
        await self.settle()
        self.assertEqual(0, self.routers[0].verdicts()["chat"].count)
        link = FakeLink("router-99")
        self.ledger.add_router(link)
        self.assertEqual([], link.sent)

    async def test_sound_feature_that_was_condemned_is_free_again(self):
        """Guards against a restarted keeper that refuses a popular path."""
        await self.crash_series(4, "path")
        self.assertTrue(self.routers[0].verdicts()["path"].condemned)
        completed = crash_messages.SuspectsCompleted(["path"], 2.5)
        self.receive(self.routers[3], completed)
        await self.settle()
        told = self.routers[0].verdicts()["path"]
        self.assertEqual(
            (0, False, True), (told.count, told.condemned, told.withdrawn)
        )

    async def test_completions_are_kept_with_the_runs(self):
        """Guards against a loss of power after which a path is refused."""
        completed = crash_messages.SuspectsCompleted(["path"])
        self.receive(self.routers[3], completed)
        await self.crash_series(4, "path")
        self.assertEqual([], self.routers[0].sent)
        kept = self.ledger.condemned(), self.ledger.runs()
        self.setUp()
        self.ledger.restore(*kept, 3.0)
        await self.settle()
        self.assertEqual([], self.routers[0].sent)

    async def test_routers_bring_back_what_a_keeper_lost(self):
        """Guards against a restarted keeper that begins from nothing."""
        note = crash_evidence.CrashNote("t1", 9.0, "router-1")
        verdict = crash_evidence.Verdict("bad", True, 500.0, 500.0, 1, [note])
        self.receive(self.routers[0], crash_messages.Verdicts([verdict]))
        await self.settle()
        told = self.routers[5].verdicts()["bad"]
        self.assertTrue(told.condemned)
        self.assertAlmostEqual(500.0, told.refused_seconds, delta=1.0)
