"""Which targets go on with a stream, by the version of their software."""

import asyncio

from amaranthring.policy import bindings
from amaranthring.testing import scripted_target
from tests import test_forwarding

EVENTS = b"".join(scripted_target.event(n) for n in range(1, 7))
FIRST_EVENTS = b"".join(scripted_target.event(n) for n in range(1, 4))


def silent_after(number, seconds):
    """Return a script that pauses its stream after some events."""

    async def script(seen, writer):
        more = {
            "Content_Type": "text/event-stream",
            "Transfer_Encoding": "chunked",
        }
        writer.write(scripted_target.response_head(seen, **more))
        for event in range(1, 7):
            if event == number + 1:
                await asyncio.sleep(seconds)
            data = scripted_target.event(event)
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    return script


class VersionCase(test_forwarding.RouterCase):
    """Targets of several versions; the first one has the least load."""

    async def begin_versions(self, *targets):
        """Begin with pairs of a version and a script."""
        await self.begin(*(script for _, script in targets))
        for number, (version, _) in enumerate(targets):
            target = self.targets[number]
            self.router.targets.entries[target.name].record.release = version
            self.router.placer.views[target.name].running = 5 * number

    def asked(self):
        """Return how many requests each target received."""
        return [len(target.requests) for target in self.targets]


class TestRetries(VersionCase):
    """Streams that break off within one answer."""

    async def test_stream_goes_on_at_its_version_only(self):
        """Guards against an answer with events of two versions."""
        await self.begin_versions(
            ("v1", scripted_target.stream_events(6, breaks_after=3)),
            ("v2", scripted_target.stream_events(6)),
            ("v1", scripted_target.stream_events(6)),
        )
        got = await self.ask("/c/x", "POST")
        self.assertEqual((True, EVENTS), (got.complete, got.body))
        self.assertEqual([1, 0, 1], self.asked())

    async def test_stream_ends_if_no_target_of_its_version_is_left(self):
        """Guards against another version as a last resort."""
        await self.begin_versions(
            ("v1", scripted_target.stream_events(6, breaks_after=3)),
            ("v2", scripted_target.stream_events(6)),
        )
        got = await self.ask("/c/x", "POST")
        self.assertEqual((False, FIRST_EVENTS), (got.complete, got.body))
        self.assertEqual([1, 0], self.asked())
        self.assertLess(got.seconds, 1.0)

    async def test_stream_without_events_may_change_its_version(self):
        """Guards against a binding to a target that sent no event."""
        await self.begin_versions(
            ("v1", scripted_target.stream_events(6, breaks_after=0)),
            ("v2", scripted_target.stream_events(6)),
        )
        got = await self.ask("/c/x", "POST")
        self.assertEqual((True, EVENTS), (got.complete, got.body))

    async def test_absent_versions_are_not_equal(self):
        """Guards against targets without a version that count as alike."""
        await self.begin_versions(
            ("", scripted_target.stream_events(6, breaks_after=3)),
            ("", scripted_target.stream_events(6)),
        )
        got = await self.ask("/c/x", "POST")
        self.assertEqual((False, FIRST_EVENTS), (got.complete, got.body))
        self.assertEqual([1, 0], self.asked())

    async def test_silent_target_is_kept_if_no_other_may_go_on(self):
        """Guards against a timeout that cuts what nobody can go on with."""
        await self.begin_versions(
            ("v1", silent_after(3, 1.6)),
            ("v2", scripted_target.stream_events(6)),
        )
        got = await self.ask("/c/x", "POST")
        self.assertEqual((True, EVENTS), (got.complete, got.body))

    async def test_silent_target_is_replaced_by_one_of_its_version(self):
        """Guards against streams that wait although another may go on."""
        await self.begin_versions(
            ("v1", silent_after(3, 4.0)),
            ("v2", scripted_target.stream_events(6)),
            ("v1", scripted_target.stream_events(6)),
        )
        got = await self.ask("/c/x", "POST")
        self.assertEqual((True, EVENTS), (got.complete, got.body))
        self.assertEqual([1, 0, 1], self.asked())
        self.assertLess(got.seconds, 3.0)

    async def test_only_target_that_may_run_a_request_gets_its_time(self):
        """Guards against giving a target up as another one may follow."""

        async def late(seen, writer):
            await asyncio.sleep(0.5)
            await scripted_target.respond()(seen, writer)

        await self.begin(late)
        got = await self.ask("/a/x")
        self.assertEqual(200, got.status)


class TestBinding(VersionCase):
    """What a binding fits."""

    async def test_service_and_version_must_be_the_same(self):
        await self.begin(scripted_target.respond())
        [target] = self.targets
        binding = bindings.of_target(target.record())
        self.assertTrue(binding.fits(target.record()))
        self.assertFalse(binding.fits(target.record(service="other")))
        self.assertFalse(binding.fits(target.record(release="v2")))

    async def test_absent_version_fits_nothing(self):
        await self.begin(scripted_target.respond())
        record = self.targets[0].record(release="")
        self.assertFalse(bindings.of_target(record).fits(record))
