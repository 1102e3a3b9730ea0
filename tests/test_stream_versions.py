"""Which targets go on with a stream, by the version of their software."""

import asyncio
import dataclasses
from unittest import mock

from amaranthring import routing
from amaranthring.forwarding import stream_bindings
from amaranthring.policy import bindings
from amaranthring.registry import stream_messages
from amaranthring.registry import subscriber
from amaranthring.testing import scripted_target
from tests import test_forwarding

EVENTS = b"".join(scripted_target.event(n) for n in range(1, 7))
LAST_EVENTS = b"".join(scripted_target.event(n) for n in range(4, 7))
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


class ResumeCase(VersionCase):
    """Callers that take streams up again."""

    async def begin_mixed(self):
        """Begin with one target of each of two versions."""
        await self.begin_versions(
            ("v1", scripted_target.stream_events(6)),
            ("v2", scripted_target.stream_events(6)),
        )
        [self.keeper] = self.router.keepers
        self.keeper.answer.releases = ["v1", "v2"]

    def tell(self, release, request_id="first", account="", service="s"):
        """Let the keeper know what a stream is bound to."""
        key = bindings.stream_key(account, request_id)
        self.keeper.known[key] = stream_messages.StreamFound(
            True, service, release, 1.0
        )

    async def resume(self, path="/c/x", resumes="first", **headers):
        """Take a stream up after its third event."""
        if resumes:
            headers["Test_Resumes"] = resumes
        headers["Test_Id"] = "again"
        return await self.ask(path, "POST", Last_Event_Id="3", **headers)


class TestResumed(ResumeCase):
    """Which target goes on with a stream that a caller takes up."""

    async def test_keeper_says_which_version_goes_on(self):
        """Guards against a caller's try that goes on at another version."""
        await self.begin_mixed()
        self.tell("v2")
        got = await self.resume()
        self.assertEqual((True, LAST_EVENTS), (got.complete, got.body))
        self.assertEqual([0, 1], self.asked())

    async def test_router_remembers_its_own_streams(self):
        """Guards against questions for what the router knows itself."""
        await self.begin_mixed()
        await self.ask("/c/x", "POST", Test_Id="first")
        self.router.placer.views["t0"].running = 50
        got = await self.resume()
        self.assertEqual((True, LAST_EVENTS), (got.complete, got.body))
        self.assertEqual([2, 0], self.asked())
        self.assertEqual(0, self.keeper.asked)

    async def test_later_tries_keep_the_binding_of_the_first(self):
        """Guards against a binding that ends with the second break."""
        await self.begin_mixed()
        self.tell("v2")
        self.targets[1].script = scripted_target.stream_events(
            6, breaks_after=4
        )
        got = await self.resume()
        self.assertFalse(got.complete)
        self.targets[1].script = scripted_target.stream_events(6)
        self.keeper.known.clear()
        got = await self.resume()
        self.assertEqual((True, LAST_EVENTS), (got.complete, got.body))
        self.assertEqual([0, 2], self.asked())

    async def test_unknown_stream_is_refused_at_once(self):
        """Guards against a guess where two versions serve."""
        await self.begin_mixed()
        for resumes in ("first", ""):
            got = await self.resume(resumes=resumes)
            self.assertEqual(503, got.status)
            self.assertGreater(float(got.headers["Retry-After"]), 0.0)
            self.assertLess(got.seconds, 0.3)
        self.assertEqual(0, self.ran())

    async def test_stream_of_a_version_that_is_gone_is_refused_at_once(self):
        """Guards against waiting for a version that nobody has."""
        await self.begin_mixed()
        self.tell("v0")
        got = await self.resume()
        self.assertEqual(503, got.status)
        self.assertEqual("1", got.headers["Retry-After"])
        self.assertLess(got.seconds, 0.3)
        self.assertEqual(0, self.ran())

    async def test_other_account_learns_and_binds_nothing(self):
        """Guards against an account that names the stream of another."""
        await self.begin_mixed()
        self.tell("v2", account="alba")
        got = await self.resume()
        self.assertEqual(503, got.status)

    async def test_ambiguous_id_is_refused(self):
        """Guards against an id that its caller used for two streams."""
        await self.begin_mixed()
        self.tell("", service="")
        got = await self.resume()
        self.assertEqual(503, got.status)

    async def test_retry_after_is_that_of_the_version(self):
        """Guards against a promise that another version's target keeps."""
        await self.begin_mixed()
        self.tell("v2")
        rests = self.router.placer.rests
        rests.begin("t1", 1.5, ("s", "alba"))
        rests.by_target["t1"].charged_to = None
        got = await self.resume()
        self.assertEqual(503, got.status)
        self.assertGreater(float(got.headers["Retry-After"]), 1.0)


class TestOnlyVersion(ResumeCase):
    """Streams that nobody knows while one version serves."""

    async def begin_alike(self):
        await self.begin_mixed()
        self.router.targets.entries["t1"].record.release = "v1"
        self.keeper.answer.releases = ["v1"]

    async def test_stream_goes_on_if_one_version_alone_has_served(self):
        """Guards against refusals where nothing can be mixed."""
        await self.begin_alike()
        for resumes in ("first", ""):
            got = await self.resume(resumes=resumes)
            self.assertEqual((True, LAST_EVENTS), (got.complete, got.body))

    async def test_stream_may_be_of_a_longer_route_that_is_gone(self):
        """Guards against a shorter prefix that gets another one's streams."""
        await self.begin_alike()
        streams = self.router.relay.streams
        longer = dataclasses.replace(
            test_forwarding.RESUMABLE,
            name="longer",
            prefix="/c/d/",
            shares=(routing.Share("other", 1),),
        )
        plan = self.router.table.plan
        streams.record_plan(
            dataclasses.replace(plan, routes=(*plan.routes, longer))
        )
        streams.record_plan(plan)
        self.assertEqual(503, (await self.resume()).status)

    async def test_router_that_hears_no_keeper_does_not_guess(self):
        """Guards against a version that a cut-off router has not heard of."""
        await self.begin_alike()
        self.keeper.is_silent = True
        self.assertEqual(503, (await self.resume()).status)
        self.router.keepers = []
        got = await self.resume()
        self.assertEqual(503, got.status)
        self.assertLess(got.seconds, 1.0)

    async def test_keeper_that_may_know_too_little_does_not_count(self):
        """Guards against a version that only another keeper knows."""
        await self.begin_alike()
        self.keeper.answer.complete = False
        self.assertEqual(503, (await self.resume()).status)

    async def test_keeper_does_not_answer_for_another(self):
        """Guards against a keeper that has not noticed a cut yet."""
        await self.begin_alike()
        self.keeper.answer.keepers = ["keeper", "other"]
        self.assertEqual(503, (await self.resume()).status)

    async def test_keepers_may_answer_one_after_the_other(self):
        """Guards against refusals as the answers do not come together."""
        await self.begin_alike()
        other = scripted_target.ScriptedKeeper()
        other.peer = dataclasses.replace(other.peer, name="other")
        self.router.keepers.append(other)
        self.keeper.answer.keepers = ["keeper", "other"]
        other.is_silent = True
        asked = asyncio.ensure_future(self.resume())
        await self.until(lambda: other.asked)
        self.keeper.is_silent = True
        other.is_silent = False
        self.assertEqual(200, (await asked).status)

    async def test_keeper_of_an_older_build_does_not_count(self):
        """Guards against answers that do not name the other keepers."""
        await self.begin_alike()
        self.keeper.answer.keepers = []
        self.assertEqual(503, (await self.resume()).status)

    async def test_version_that_only_this_router_knows_counts(self):
        """Guards against keepers that have lost what a router still knows."""
        await self.begin_alike()
        record = dataclasses.replace(
            self.targets[0].record(),
            id="gone",
            name="gone",
            address="v:1",
            release="v0",
        )
        self.router.targets.merge(record)
        self.router.targets.mark_gone("gone")
        self.assertEqual(503, (await self.resume()).status)

    async def test_absent_version_is_not_the_only_one(self):
        """Guards against targets without a version that count as alike."""
        await self.begin_alike()
        for name in ("t0", "t1"):
            self.router.targets.entries[name].record.release = ""
        self.keeper.answer.releases = [""]
        self.assertEqual(503, (await self.resume()).status)

    async def test_keepers_are_asked_until_they_know_all_targets(self):
        """Guards against refusals by keepers that wait for announcements."""
        await self.begin_alike()
        self.keeper.answer.complete = False
        self.keeper.answer.settles_in = 0.8
        asked = asyncio.ensure_future(self.resume())
        await asyncio.sleep(0.8)
        self.keeper.answer.settles_in = 0.0
        self.keeper.answer.complete = True
        self.assertEqual(200, (await asked).status)

    async def test_keepers_are_not_asked_for_ever(self):
        """Guards against callers that wait until they give a stream up."""
        await self.begin_alike()
        self.keeper.answer.complete = False
        self.keeper.answer.settles_in = 60.0
        got = await self.resume()
        self.assertEqual(503, got.status)
        self.assertLess(got.seconds, 2.0)

    async def test_keepers_are_asked_again_after_their_start(self):
        """Guards against refusals right after a loss of power."""
        await self.begin_alike()
        self.keeper.answer.complete = False
        asked = asyncio.ensure_future(self.resume())
        await self.until(lambda: self.keeper.asked)
        self.keeper.answer.complete = True
        self.assertEqual(200, (await asked).status)


class TestServices(ResumeCase):
    """Streams on routes that lead to several services, or were moved."""

    async def begin_split(self):
        """Begin with targets of services `s` and `other`, of one version."""
        await self.begin_mixed()
        for name, service in (("t0", "s"), ("t1", "other")):
            record = self.router.targets.entries[name].record
            record.service, record.release = service, "v1"
        self.keeper.answer.releases = ["v1"]

    def use_shares(self, **weights):
        """Put a plan in force whose route leads to these services."""
        shares = tuple(
            routing.Share(service, weight)
            for service, weight in weights.items()
        )
        plan = dataclasses.replace(
            test_forwarding.PLAN,
            version=self.router.table.version + 1,
            routes=(
                dataclasses.replace(test_forwarding.RESUMABLE, shares=shares),
            ),
            services=tuple(
                routing.Service(name, "/health", 10) for name in ("s", "other")
            ),
        )
        self.router.table = routing.RouteTable(plan)
        self.router.relay.streams.record_plan(plan)

    async def test_stream_goes_on_at_its_service(self):
        """Guards against a service that is drawn anew for each try."""
        await self.begin_split()
        self.use_shares(s=99, other=1)
        self.tell("v1", service="other")
        got = await self.resume()
        self.assertEqual((True, LAST_EVENTS), (got.complete, got.body))
        self.assertEqual([0, 1], self.asked())

    async def test_unknown_stream_of_a_split_route_is_refused(self):
        """Guards against one version that stands for two services."""
        await self.begin_split()
        self.use_shares(s=1, other=1)
        self.assertEqual(503, (await self.resume()).status)

    async def test_stream_does_not_follow_a_route_that_was_moved(self):
        """Guards against a stream that goes on at another service."""
        await self.begin_split()
        self.use_shares(other=1)
        self.tell("v1", service="s")
        self.assertEqual(503, (await self.resume()).status)
        self.assertEqual(0, self.ran())

    async def test_router_that_started_after_the_change_does_not_guess(self):
        """Guards against a router that knows the newest plan only."""
        await self.begin_split()
        self.use_shares(other=1)
        self.keeper.answer.moved = True
        self.assertEqual(503, (await self.resume()).status)
        self.assertEqual(0, self.ran())

    async def test_unknown_stream_of_a_moved_route_is_refused(self):
        """Guards against the one version of a service that did not begin."""
        await self.begin_split()
        self.use_shares(s=1)
        self.use_shares(other=1)
        self.assertEqual(503, (await self.resume()).status)
        self.assertEqual(0, self.ran())


class TestReports(ResumeCase):
    """What this router tells its home keeper."""

    async def begin_stream(self):
        """Pass a stream on, and return what was sent ahead of reports."""
        link = mock.Mock()
        streams = self.router.relay.streams
        reporting = asyncio.ensure_future(
            streams.report_promptly(lambda: link)
        )
        self.addCleanup(reporting.cancel)
        await self.ask("/c/x", "POST", Test_Id="first")
        await asyncio.sleep(2 * stream_bindings.PROMPT_SECONDS)
        return [call.args[0] for call in link.send.call_args_list]

    async def test_streams_are_reported_at_once_beside_other_versions(self):
        """Guards against short streams that only a dead router knew."""
        await self.begin_mixed()
        [message] = await self.begin_stream()
        [group] = message.streams
        key = bindings.stream_key("", "first")
        self.assertEqual(("v1", key), (group.release, group.keys))

    async def test_streams_of_the_only_version_wait_for_the_report(self):
        """Guards against messages that are of no use."""
        await self.begin_mixed()
        self.router.targets.entries["t1"].record.release = "v1"
        self.assertEqual([], await self.begin_stream())
        self.assertEqual(1, len(self.router.relay.streams.take_report()))

    async def test_last_streams_are_reported_to_the_next_keeper_again(self):
        """Guards against streams that were lost with the home keeper."""
        await self.begin_mixed()
        await self.ask("/c/x", "POST", Test_Id="first")
        streams = self.router.relay.streams
        [before] = streams.take_report()
        self.assertEqual([], streams.take_report())
        streams.report_again()
        self.assertEqual([before], streams.take_report())

    async def test_silent_keeper_may_not_have_passed_streams_on(self):
        """Guards against streams lost while a silence goes unnoticed."""
        await self.begin_mixed()
        await self.ask("/c/x", "POST", Test_Id="first")
        await self.check_told_again(subscriber.CUT_OFF_SECONDS)

    async def test_next_keeper_may_come_late(self):
        """Guards against streams lost while this router has no keeper."""
        await self.begin_mixed()
        await self.ask("/c/x", "POST", Test_Id="first")
        await self.check_told_again(subscriber.CUT_OFF_SECONDS + 5.0)

    async def check_told_again(self, seconds):
        """Check that a stream is reported again `seconds` later."""
        streams = self.router.relay.streams
        [before] = streams.take_report()
        linked_at = streams.clock() + seconds
        streams.clock = lambda: linked_at
        streams.report_again()
        self.assertEqual([before], streams.take_report())
