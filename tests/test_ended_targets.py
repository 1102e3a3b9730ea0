"""Targets on which runs are lost, as one router judges them."""

import asyncio
from unittest import mock

from amaranthring.forwarding import ended_targets
from amaranthring.registry import crash_messages
from amaranthring.testing import scripted_target
from tests import test_crash_guard

BREAKING = "/b/break"
HANGING = "/b/hang"


class EndingCase(test_crash_guard.GuardCase):
    """Targets that break runs off, or never answer them, as paths say."""

    def setUp(self):
        super().setUp()
        patch = mock.patch.object(ended_targets, "ENDING_SECONDS", 0.15)
        patch.start()
        self.addCleanup(patch.stop)

    async def begin_ending(self, count=1):
        """Start targets; what their router tells keepers is in `sent`."""
        self.writers = []
        await self.begin(*[self.obey] * count)
        self.guard = self.router.relay.crashes
        self.addCleanup(self.guard.stop)
        self.sent = []
        self.guard._send = self.sent.append

    async def obey(self, seen, writer):
        self.writers.append(writer)
        if BREAKING in seen.uri:
            scripted_target.abort_connection(writer)
        elif HANGING in seen.uri:
            await scripted_target.never_respond()(seen, writer)
        else:
            await scripted_target.respond()(seen, writer)

    async def end(self, target):
        target.stop()
        await target.server.wait_closed()

    def reported(self, proven):
        """Return the targets of which runs were reported so."""
        return [
            run.target
            for message in self.sent
            if isinstance(message, crash_messages.LostRuns)
            for run in message.runs
            if run.proven == proven
        ]

    def withdrawn(self):
        """Return the targets of which runs were withdrawn."""
        return [
            message.target
            for message in self.sent
            if isinstance(message, crash_messages.TargetLives)
        ]


class TestBrokenOffRuns(EndingCase):
    """Runs that targets break off."""

    async def test_run_counts_before_its_target_has_ended(self):
        """Guards against crashes that count only once they are proven."""
        await self.begin_ending()
        await self.ask(BREAKING, "POST")
        await self.until(lambda: self.reported(proven=False))
        self.assertEqual([], self.reported(proven=True))
        self.assertEqual({}, dict(self.guard.evidence.suspects.entries))
        await self.end(self.targets[0])
        await self.until(lambda: self.reported(proven=True))
        self.assertEqual([], self.withdrawn())

    async def test_run_on_a_target_that_answers_later_is_withdrawn(self):
        """Guards against requests that stay suspects of a living target."""
        await self.begin_ending()
        await self.ask(BREAKING, "POST")
        await self.until(lambda: self.reported(proven=False))
        await asyncio.sleep(ended_targets.ENDING_SECONDS)
        await self.ask("/b/x", "POST")
        await self.until(self.withdrawn)
        self.assertEqual({}, self.guard.ended_targets.doubts)

    async def test_answer_withdraws_no_later_run(self):
        """Guards against a crash that an answer before it disproves."""
        await self.begin_ending()
        await self.ask(BREAKING, "POST")
        await asyncio.sleep(2 * ended_targets.ENDING_SECONDS)
        await self.ask("/b/x", "POST")
        self.router.relay.connections.drop("t0")
        await self.ask(BREAKING + "2", "POST")
        await self.end(self.targets[0])
        await self.until(lambda: self.reported(proven=True))
        # The path and the request of the later run alone.
        self.assertEqual(2, len(self.reported(proven=True)))

    async def test_all_targets_refuse_connections(self):
        """Guards against a small service whose end proves nothing."""
        await self.begin_ending(2)
        asked = []
        while not all(target.requests for target in self.targets):
            asked.append(asyncio.ensure_future(self.ask(HANGING, "POST")))
            await self.until(lambda: len(self.writers) == len(asked))
        for target in self.targets:
            await self.end(target)
        for writer in self.writers:
            scripted_target.abort_connection(writer)
        await asyncio.gather(*asked)
        await self.until(lambda: len(set(self.reported(proven=False))) == 2)


class TestGivenUpRuns(EndingCase):
    """Runs that their router leaves before their targets end."""

    async def test_target_that_refuses_connections_has_ended(self):
        """Guards against a crash right after its run was given up."""
        await self.begin_ending()
        await self.ask(HANGING, "POST", Test_Patience="0.2")
        await self.end(self.targets[0])
        self.assertEqual([], self.sent)
        await self.ask("/b/x", "POST")
        await self.until(lambda: self.reported(proven=True))

    async def test_target_that_answers_later_lives(self):
        """Guards against blaming each request that takes too long."""
        await self.begin_ending()
        await self.ask(HANGING, "POST", Test_Patience="0.2")
        await asyncio.sleep(2 * ended_targets.ENDING_SECONDS)
        await self.ask("/b/x", "POST")
        await self.until(lambda: not self.guard.ended_targets.doubts)
        await self.end(self.targets[0])
        await self.ask("/b/x", "POST")
        self.assertEqual([], self.sent)

    async def test_target_is_not_asked(self):
        """Guards against a connection for each request that is too slow."""
        await self.begin_ending()
        with mock.patch.object(ended_targets, "MAX_SECONDS", 0.3):
            await self.ask(HANGING, "POST", Test_Patience="0.2")
            await self.until(lambda: not self.guard.ended_targets.doubts)
        self.assertEqual(1, self.targets[0].connections)
        self.assertEqual([], self.sent)
