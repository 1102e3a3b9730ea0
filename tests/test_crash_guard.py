"""Requests that crash targets, at one router without keepers."""

import asyncio
from unittest import mock

import logbook

from amaranthring.forwarding import crash_features
from amaranthring.forwarding import ended_targets
from amaranthring.forwarding import suspect_trials
from amaranthring.policy import crash_evidence
from amaranthring.registry import crash_messages
from amaranthring.testing import scripted_target
from tests import test_forwarding

CRASHING = "/b/crash"


class GuardCase(test_forwarding.RouterCase):
    """Targets that end under requests whose path says so."""

    def setUp(self):
        for name, value in (("JUDGE_SECONDS", 0.02), ("PAUSE_SECONDS", 0.3)):
            patch = mock.patch.object(crash_evidence, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    async def begin_crashing(self, count):
        await self.begin(*[self.crash_or_answer] * count)
        self.guard = self.router.relay.crashes
        self.addCleanup(self.guard.stop)

    async def crash_or_answer(self, seen, writer):
        if CRASHING not in seen.uri:
            await scripted_target.respond()(seen, writer)
            return
        expected = seen.headers[scripted_target.EXPECTED]
        target = self.targets[int(expected.removeprefix("t"))]
        target.stop()
        await target.server.wait_closed()
        scripted_target.abort_connection(writer)

    async def crash(self, path=CRASHING, **headers):
        """Send a crashing request, and wait until its crash is judged."""
        got = await self.ask(path, "POST", **headers)
        await asyncio.sleep(0.15)
        return got

    def verdict(
        self,
        fingerprint="f",
        crashes=3,
        refused=0.0,
        seconds=600.0,
        withdrawn=False,
        together=(),
    ):
        notes = [
            crash_evidence.CrashNote(f"t{n}", 1.0, "router-1")
            for n in range(crashes)
        ]
        return crash_evidence.Verdict(
            fingerprint,
            refused > 60.0,
            refused,
            seconds,
            crashes,
            notes,
            withdrawn,
            list(together),
        )

    def tell(self, link=None, **parameters):
        message = crash_messages.Verdicts([self.verdict(**parameters)])
        self.guard.on_verdicts(link, message)


class TestCutOff(GuardCase):
    """A router that reaches no keeper judges by what it sees itself."""

    async def test_crashing_request_is_paused_then_refused(self):
        """Guards against a router that sends it on without its keepers."""
        await self.begin_crashing(5)
        for _ in range(3):
            self.assertEqual(502, (await self.crash()).status)
        got = await self.ask(CRASHING, "POST")
        self.assertEqual(503, got.status)
        self.assertLessEqual(float(got.headers["Retry-After"]), 0.3)
        await asyncio.sleep(float(got.headers["Retry-After"]))
        self.assertEqual(502, (await self.crash()).status)
        got = await self.ask(CRASHING, "POST")
        self.assertEqual(503, got.status)
        self.assertLess(500, float(got.headers["Retry-After"]))
        self.assertEqual(4, self.ran())

    async def test_other_requests_are_served(self):
        """Guards against refusing more than the one request."""
        await self.begin_crashing(5)
        for _ in range(4):
            await self.crash()
            await asyncio.sleep(0.3)
        for path, headers in (
            ("/b/x", {}),
            ("/a/x", {}),
            ("/e/x", {"Test_Key": "key-1"}),
        ):
            got = await self.ask(path, "POST", **headers)
            self.assertEqual(200, got.status)

    async def test_request_of_another_account_is_not_refused(self):
        """Guards against an account that has another's request refused."""
        await self.begin_crashing(5)
        for _ in range(4):
            await self.crash("/e" + CRASHING, Test_Key="key-1")
            await asyncio.sleep(0.3)
        got = await self.ask("/e" + CRASHING, "POST", Test_Key="key-1")
        self.assertEqual(503, got.status)
        got = await self.ask(CRASHING, "POST")
        self.assertEqual(502, got.status)


class TestBrokenConnections(GuardCase):
    """Connections that break while the target's process lives."""

    async def test_live_target_that_breaks_off_makes_no_suspect(self):
        """Guards against taking a broken connection for a crash."""
        await self.begin(*[scripted_target.reset_connection()] * 3)
        guard = self.router.relay.crashes
        self.addCleanup(guard.stop)
        with mock.patch.object(ended_targets, "MAX_SECONDS", 0.2):
            for _ in range(6):
                await self.ask("/b/x", "POST")
            await asyncio.sleep(0.4)
        self.assertEqual({}, guard.ended_targets.doubts)
        self.assertEqual({}, dict(guard.evidence.suspects.entries))
        self.assertEqual(502, (await self.ask("/b/x", "POST")).status)

    async def test_target_that_has_said_it_leaves_makes_no_suspect(self):
        """Guards against taking a planned end for a crash."""
        await self.begin_crashing(2)
        asked = asyncio.ensure_future(self.ask(CRASHING, "POST"))
        for target in self.targets:
            self.router.targets.mark_draining(target.name)
        await asked
        await asyncio.sleep(0.15)
        self.assertEqual({}, dict(self.guard.evidence.suspects.entries))


class TestVerdicts(GuardCase):
    """What keepers tell."""

    async def fingerprint(self, path):
        """Return the fingerprint of a request, as the router logs it."""
        seen = []
        complete = self.guard.completed

        def completed(context, status):
            seen.append(context.fingerprint)
            complete(context, status)

        self.guard.completed = completed
        await self.ask(path, "POST")
        self.guard.completed = complete
        return seen[0]

    async def test_verdict_refuses_and_expires(self):
        """Guards against a refusal that nothing ends."""
        await self.begin_crashing(1)
        name = await self.fingerprint("/b/x")
        self.tell(fingerprint=name, refused=0.2, seconds=0.4)
        got = await self.ask("/b/x", "POST")
        self.assertEqual(503, got.status)
        await asyncio.sleep(0.2)
        self.assertEqual(200, (await self.ask("/b/x", "POST")).status)
        await asyncio.sleep(0.2)
        self.assertIsNone(self.guard._told(name))

    async def test_withdrawn_crashes_free_a_condemned_request(self):
        """Guards against refusals for crashes of targets that live."""
        await self.begin_crashing(2)
        name = await self.fingerprint("/b/x")
        self.tell(fingerprint=name, refused=500.0, crashes=4)
        self.assertEqual(503, (await self.ask("/b/x", "POST")).status)
        self.tell(fingerprint=name, crashes=0)
        self.assertEqual(503, (await self.ask("/b/x", "POST")).status)
        self.tell(fingerprint=name, crashes=0, withdrawn=True)
        self.assertEqual(200, (await self.ask("/b/x", "POST")).status)

    async def test_longest_refusal_of_several_keepers_holds(self):
        """Guards against a keeper that ends what another has decided."""
        await self.begin_crashing(1)
        name = await self.fingerprint("/b/x")
        self.tell(fingerprint=name, refused=600.0)
        self.tell(fingerprint=name, refused=0.0, crashes=2)
        self.tell(fingerprint=name, refused=0.0, crashes=0)
        self.assertEqual(503, (await self.ask("/b/x", "POST")).status)

    async def test_request_runs_once_at_a_time_after_its_pause(self):
        """Guards against many sends that all run when a pause ends."""
        await self.begin(scripted_target.never_respond())
        self.guard = self.router.relay.crashes
        name = await asyncio.wait_for(self._fingerprint_of_trial(), 5.0)
        self.tell(fingerprint=name)
        asked = [
            asyncio.ensure_future(
                self.ask("/b/x", "POST", Test_Patience="0.5")
            )
            for _ in range(5)
        ]
        got = [answer.status for answer in await asyncio.gather(*asked)]
        self.assertEqual([503] * 4 + [504], sorted(got))
        got = await self.ask("/b/x", "POST", Test_Patience="0.2")
        self.assertEqual(504, got.status)

    async def _fingerprint_of_trial(self):
        seen = []
        check = self.guard.check

        async def spy(context):
            seen.append(context.fingerprint)
            await check(context)

        self.guard.check = spy
        await self.ask("/b/x", "POST", Test_Patience="0.1")
        self.guard.check = check
        return seen[0]

    async def test_completed_run_is_told(self):
        """Guards against a suspect that completes and is refused later."""
        await self.begin_crashing(1)
        sent = []
        self.guard._send = sent.append
        name = await self.fingerprint("/b/x")
        self.assertEqual([], sent)
        self.tell(fingerprint=name)
        self.assertEqual(200, (await self.ask("/b/x", "POST")).status)
        [message] = sent
        self.assertIsInstance(message, crash_messages.SuspectsCompleted)
        path, request = message.fingerprints
        self.assertTrue(path.startswith(crash_features.PATH))
        self.assertEqual(name, request)
        self.assertIsNone(self.guard._told(name))

    async def test_new_keeper_is_told_what_is_known(self):
        """Guards against a restarted keeper that begins from nothing."""
        await self.begin_crashing(3)
        await self.crash()
        self.tell(fingerprint="worse", refused=600.0)
        self.tell(fingerprint="chat")
        link = mock.Mock()
        self.guard.add_keeper(link)
        runs, verdicts = [call.args[0] for call in link.send.mock_calls]
        # The request, and its path.
        by_name = {run.fingerprint: run.beside for run in runs.runs}
        self.assertEqual(2, len(by_name))
        for name, beside in by_name.items():
            self.assertEqual([n for n in by_name if n != name], beside)
        self.assertEqual(["worse"], [v.fingerprint for v in verdicts.verdicts])

    async def test_keepers_judge_what_a_router_alone_has_condemned(self):
        """Guards against a router that refuses what keepers have cleared."""
        await self.begin_crashing(5)
        for pause in (0.0, 0.0, crash_evidence.PAUSE_SECONDS, 0.0):
            await self.crash()
            await asyncio.sleep(pause)
        links = []
        self.guard.open_links = lambda: links
        with mock.patch.object(suspect_trials, "JUDGED_SECONDS", 0.0):
            self.guard.add_keeper(mock.Mock())
            await asyncio.sleep(0.01)
            # The link has closed again.
            condemned = self.guard.evidence.condemned_within(60.0)
            self.assertEqual(2, len(condemned))
            links.append(mock.Mock())
            self.guard.add_keeper(mock.Mock())
            await asyncio.sleep(0.01)
            # Another keeper, which was told nothing, does not count.
            condemned = self.guard.evidence.condemned_within(60.0)
            self.assertEqual(2, len(condemned))
            self.guard.add_keeper(links[0])
            await asyncio.sleep(0.01)
        self.assertEqual([], self.guard.evidence.condemned_within(60.0))
        for name in condemned:
            suspect = self.guard.evidence.get(name)
            self.assertEqual(4, len(suspect.crashes))


class TestFeatures(GuardCase):
    """What requests share with others, as keepers tell it."""

    async def ask_with(self, parts, path="/a/x", **headers):
        """Send a request whose prompt has `parts` and one of its own."""
        prompt = ",".join(f"{part}:100" for part in [*parts.split(), "own"])
        return await self.ask(path, "POST", Test_Prompt=prompt, **headers)

    async def test_all_requests_with_a_refused_part_are_refused(self):
        """Guards against a crashing part in requests that are not alike."""
        await self.begin_crashing(2)
        self.tell(fingerprint="part:bad", refused=600.0, crashes=4)
        for path, parts in (("/a/x", "sys bad"), ("/b/y", "bad other")):
            got = await self.ask_with(parts, path)
            self.assertEqual(503, got.status)
            self.assertLess(60.0, float(got.headers["Retry-After"]))
        self.assertEqual(0, self.ran())
        self.assertEqual(200, (await self.ask_with("sys")).status)

    async def test_part_that_a_prompt_repeats(self):
        """Guards against an error that ends the request as unexpected."""
        await self.begin_crashing(2)
        sent = []
        self.guard._send = sent.append
        self.tell(fingerprint="part:sys")
        with logbook.TestHandler() as handler:
            got = await self.ask_with("sys sys other")
        self.assertEqual(200, got.status)
        self.assertFalse(handler.has_errors, handler.formatted_records)
        self.assertEqual(4, len(sent[0].fingerprints))

    async def test_own_part_is_no_feature(self):
        """Guards against refusing a request for its last part."""
        await self.begin_crashing(2)
        self.tell(fingerprint="part:own", refused=600.0, crashes=4)
        self.assertEqual(200, (await self.ask_with("sys")).status)

    async def test_parts_that_come_together_are_refused_together(self):
        """Guards against refusing sound requests with one of two parts."""
        await self.begin_crashing(2)
        self.tell(
            fingerprint="part:bad",
            refused=600.0,
            crashes=4,
            together=["part:rare"],
        )
        self.assertEqual(503, (await self.ask_with("rare bad")).status)
        self.assertEqual(200, (await self.ask_with("rare")).status)

    async def test_narrower_verdict_replaces_a_wider_one(self):
        """Guards against a cause that only some of its requests show."""
        await self.begin_crashing(2)
        for together in (["part:rare"], []):
            self.tell(
                fingerprint="part:bad",
                refused=600.0,
                crashes=4,
                together=together,
            )
        self.assertEqual(503, (await self.ask_with("bad")).status)

    async def test_sound_part_is_told_to_keepers_at_once(self):
        """Guards against a popular part that runs one request at a time."""
        await self.begin_crashing(2)
        self.assertEqual(200, (await self.ask_with("sys")).status)
        link = mock.Mock()
        self.tell(link, fingerprint="part:sys", crashes=3)
        [call] = link.send.mock_calls
        self.assertEqual(["part:sys"], call.args[0].fingerprints)
        asked = [asyncio.ensure_future(self.ask_with("sys")) for _ in range(5)]
        got = [answer.status for answer in await asyncio.gather(*asked)]
        self.assertEqual([200] * 5, got)

    async def test_sound_part_is_told_to_keepers_that_condemn_it(self):
        """Guards against ten minutes of refusals by a restarted keeper."""
        await self.begin_crashing(2)
        self.assertEqual(200, (await self.ask_with("sys")).status)
        await asyncio.sleep(0.05)
        link = mock.Mock()
        told = self.verdict("part:sys", refused=600.0)
        told.crashes[-1].age = 0.0
        self.guard.on_verdicts(link, crash_messages.Verdicts([told]))
        [call] = link.send.mock_calls
        self.assertEqual(["part:sys"], call.args[0].fingerprints)
        self.assertLess(0.04, call.args[0].age)
        self.assertEqual(503, (await self.ask_with("sys")).status)
        self.tell(fingerprint="part:sys", crashes=0, withdrawn=True)
        self.assertEqual(200, (await self.ask_with("sys")).status)

    async def test_completion_after_the_last_crash_frees_nothing(self):
        """Guards against a duplicate that clears what crashes targets."""
        await self.begin_crashing(2)
        self.assertEqual(200, (await self.ask_with("sys")).status)
        link = mock.Mock()
        self.tell(link, fingerprint="part:sys", refused=600.0)
        self.assertEqual([], link.send.mock_calls)

    async def test_new_keeper_is_told_what_has_completed(self):
        """Guards against a restarted keeper that refuses a popular path."""
        await self.begin_crashing(3)
        self.assertEqual(200, (await self.ask_with("sys")).status)
        await self.ask_with("sys", CRASHING)
        await asyncio.sleep(0.15)
        unproven = crash_evidence.Run("part:sys", "t9", 0.1, 0.0, "router-1")
        self.guard.unproven["t9"] = [(unproven, self.guard.clock())]
        link = mock.Mock()
        self.guard.add_keeper(link)
        [call] = link.send.mock_calls
        runs = [r for r in call.args[0].runs if r.fingerprint == "part:sys"]
        self.assertEqual(2, len(runs))
        for run in runs:
            self.assertLess(run.completed, 5.0)

    async def test_failed_answer_clears_nothing(self):
        """Guards against a suspect that an error of its target clears."""
        await self.begin(scripted_target.respond(b"no", status=500))
        self.guard = self.router.relay.crashes
        sent = []
        self.guard._send = sent.append
        self.tell(fingerprint="part:bad", crashes=2)
        await self.ask_with("bad", "/b/x")
        self.assertEqual([], sent)
        self.assertIsNotNone(self.guard._told("part:bad"))

    async def test_request_is_checked_right_before_it_is_sent(self):
        """Guards against a request that waited while its part was judged."""
        await self.begin_crashing(2)
        check = self.guard.check

        async def check_then_learn(context):
            await check(context)
            self.tell(fingerprint="part:bad", refused=600.0, crashes=4)

        self.guard.check = check_then_learn
        self.assertEqual(503, (await self.ask_with("bad")).status)
        self.assertEqual(0, self.ran())

    async def test_broken_off_request_is_not_sent_to_a_second_target(self):
        """Guards against two crashes under one request of a known part."""
        await self.begin(*[scripted_target.reset_connection()] * 2)
        self.guard = self.router.relay.crashes
        self.addCleanup(self.guard.stop)
        self.tell(fingerprint="part:bad", crashes=2)
        self.assertEqual(502, (await self.ask_with("bad")).status)
        self.assertEqual(1, self.ran())

    async def test_trial_covers_one_send(self):
        """Guards against a trial that times out and goes to a second one."""
        await self.begin(*[scripted_target.never_respond()] * 2)
        self.guard = self.router.relay.crashes
        self.tell(fingerprint="part:bad", crashes=3)
        got = await self.ask_with("bad", Test_Patience="1.0")
        self.assertIn(got.status, (502, 504))
        self.assertEqual(1, self.ran())
