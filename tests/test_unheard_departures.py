"""Departures of targets that are acknowledged, and who hears of them."""

import asyncio
import json
import time
import unittest

from amaranthring import errors
from amaranthring.core import endpoints
from amaranthring.core import pacing
from amaranthring.platform import control
from amaranthring.registry import messages
from amaranthring.registry import publisher
from amaranthring.testing import plan_keepers
from tests import keepers_case
from tests import platform_case

LONE_SURROGATE = "h\ud800"
# Rule of the users: no request reaches a target later than this after its
# departure was acknowledged.
DRAIN_SECONDS = 2.0
REQUESTS = 40


def record(name, state=messages.State.READY, **fields):
    """Return the record of a target at an address of its own."""
    return messages.TargetRecord(
        name,
        "s",
        f"127.0.0.1:{9000 + sum(name.encode())}",
        "here",
        sequence=1,
        state=state,
        **fields,
    )


def fail(*_args):
    """Fail as no code foresees."""
    raise RuntimeError("a failure of the test")


class TestOneHeartbeat(platform_case.PlatformCase):
    """One heartbeat that no message can carry, and departures after it."""

    async def post(self, path, raw):
        """Return the status of a call with a body as it is."""
        url = f"http://{self.ip('keeper')}:{self.port}{path}"
        response = await self.client.fetch(
            url, method="POST", body=raw, raise_error=False
        )
        return response.code

    async def check_departure(self, **fields):
        """Check that a departure is heard after a heartbeat with `fields`."""
        model, left = self.all_replicas[:2]
        body = self.heartbeat_body(model, 1) | fields
        raw = json.dumps(body).encode()
        await self.post("/Replicas.Heartbeat/i-other", raw)
        self.heartbeats[left.name].cancel()
        path = f"/Replicas.Deregister/{left.name}"
        self.assertEqual(200, await self.post(path, b""))
        due = time.monotonic() + DRAIN_SECONDS
        await asyncio.sleep(DRAIN_SECONDS)
        for number in range(REQUESTS):
            router = self.router_names[number % len(self.router_names)]
            await self.send_once(router, f"/b/{number}")
        late = [
            at
            for told in left.told.values()
            for at, _ in told.arrivals
            if at > due
        ]
        self.assertEqual([], late, f"{len(late)} of {REQUESTS} requests")

    async def test_departures_are_heard_after_an_unencodable_zone(self):
        """Guards against one heartbeat that ends all news of targets."""
        await self.check_departure(zone=LONE_SURROGATE)

    async def test_departures_are_heard_after_an_unencodable_version(self):
        """Guards against one heartbeat that ends all news of targets."""
        await self.check_departure(version=LONE_SURROGATE)


class RecordingLink:
    """A link that counts what is written to it."""

    def __init__(self):
        self.written = 0

    def __getattr__(self, name):
        def write(*_args):
            self.written += 1
            return asyncio.get_running_loop().create_future()

        return write


class TestPublisher(unittest.IsolatedAsyncioTestCase):
    """Publication of records of which one cannot be sent."""

    async def asyncSetUp(self):
        self.link = RecordingLink()
        self.records = [record("a"), record("b")]
        self.publisher = publisher.TargetPublisher(
            lambda: [self.link],
            lambda: self.records,
            pacing.Pacer({}, time.monotonic),
        )
        self.task = asyncio.ensure_future(self.publisher.run())
        self.addCleanup(self.task.cancel)

    async def check_sent(self):
        """Check that something has been sent and the task goes on."""
        await asyncio.sleep(0.05)
        self.assertFalse(self.task.done(), self.task)
        self.assertEqual(1, self.link.written)

    async def test_changes_are_sent_beside_an_unencodable_record(self):
        """Guards against one record that holds back all others."""
        bad = record("c", release=LONE_SURROGATE)
        self.publisher.publish([*self.records, bad])
        await self.check_sent()

    async def test_table_is_sent_beside_an_unencodable_record(self):
        """Guards against routers that get no table for one record of it."""
        self.records.append(record("c", release=LONE_SURROGATE))
        self.publisher.add_router(self.link)
        await self.check_sent()


class TestAcknowledgement(keepers_case.KeepersCase):
    """What must be true before a departure is acknowledged."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.router = plan_keepers.make_subscriber(
            "router", self.keepers.seeds, []
        )
        self.addCleanup(self.router.stop)
        await self.until(lambda: all(hub.routers for hub in self.hubs()))
        self.hubs()[0].announce(record("a"))
        await self.until(lambda: "a" in self.router.table.entries)
        await self.until(
            lambda: all("a" in hub.table.entries for hub in self.hubs())
        )

    def hubs(self):
        return [keeper.hub for keeper in self.keepers.running.values()]

    async def until(self, condition):
        await plan_keepers.wait_until(condition)

    async def leave(self, hub, how):
        """Let target `a` say at one keeper that it leaves."""
        handler = control.make_handler(hub)
        body = b""
        path = f"{control.DEREGISTER}a"
        if how == "draining":
            path = f"{control.HEARTBEAT}a"
            body = json.dumps(
                {
                    "backend": "s",
                    "address": record("a").address,
                    "zone": "here",
                    "state": "draining",
                    "sequence": 2,
                }
            ).encode()
        return await handler(endpoints.Request("POST", path, body))

    async def check_refused(self, hub):
        """Check that no departure is acknowledged, in time to ask another."""
        for how in ("draining", "deregister"):
            began = time.monotonic()
            with self.assertRaises(errors.NotReadyError):
                await self.leave(hub, how)
            # A target asks the next keeper after a second.
            self.assertLess(time.monotonic() - began, 1.0)

    async def test_departure_is_known_to_a_quorum_once_acknowledged(self):
        """Guards against departures that are lost with one keeper."""
        for how in ("draining", "deregister"):
            answer = await self.leave(self.hubs()[0], how)
            self.assertEqual(200, answer.status)
            states = [
                hub.table.entries["a"].record.state for hub in self.hubs()
            ]
            expected = "gone" if how == "deregister" else "draining"
            self.assertGreaterEqual(states.count(expected), 2, states)

    async def test_keeper_with_one_link_left_acknowledges_nothing(self):
        """Guards against departures that only one keeper's routers hear of."""
        first, *others = list(self.keepers.running)
        for address in others:
            await self.keepers.stop(address)
        hub = self.keepers.running[first].hub
        self.assertTrue(hub.routers)
        await self.check_refused(hub)

    async def test_keeper_that_publishes_nothing_acknowledges_nothing(self):
        """Guards against departures that are acknowledged and not sent."""
        for hub in self.hubs():
            hub.publisher.routers = fail
        await self.check_refused(self.hubs()[0])

    async def test_full_link_does_not_delay_a_departure(self):
        """Guards against departures that wait behind plans and tables."""

        async def never():
            await asyncio.Event().wait()

        for hub in self.hubs():
            hub.publisher.pacer.acquire = never
            # The task that waits for a change may have asked already.
            hub.publisher.publish([record("b")])
        await asyncio.sleep(0.05)
        answer = await self.leave(self.hubs()[0], "deregister")
        self.assertEqual(200, answer.status)
        await self.until(lambda: not list(self.router.table.active()))

    async def test_next_keeper_acknowledges(self):
        """Guards against departures that no keeper acknowledges any more."""
        stuck, other, _ = self.hubs()
        stuck.publisher.routers = fail
        await self.check_refused(stuck)
        answer = await self.leave(other, "deregister")
        self.assertEqual(200, answer.status)


class TestMissedChange(keepers_case.KeepersCase):
    """A router that fails on a change, with its links open."""

    async def test_router_gets_a_change_that_it_failed_on(self):
        """Guards against routers that never learn of a change they missed."""
        router = plan_keepers.make_subscriber("router", self.keepers.seeds, [])
        self.addCleanup(router.stop)
        hubs = [keeper.hub for keeper in self.keepers.running.values()]
        await plan_keepers.wait_until(lambda: all(h.routers for h in hubs))
        hubs[0].announce(record("a"))
        await plan_keepers.wait_until(lambda: "a" in router.table.entries)
        adopt = router.table.adopt
        failures = []

        def note_and_fail(changed):
            failures.append(changed)
            fail()

        router.table.adopt = note_and_fail
        linked = router.open_links()
        hubs[0].leave("a")
        await plan_keepers.wait_until(lambda: len(failures) >= len(hubs))
        router.table.adopt = adopt
        await plan_keepers.wait_until(lambda: not list(router.table.active()))
        self.assertEqual(linked, router.open_links())


class TestEndedDuties(keepers_case.KeepersCase):
    """Duties of a keeper that fail once."""

    async def check_goes_on(self, hub, owner, name, seconds):
        """Check that `owner.name` is called again after it has failed."""
        original = getattr(owner, name)
        calls = []

        def fail_once(*args, **kwargs):
            calls.append(name)
            if len(calls) == 1:
                raise RuntimeError("a failure of the test")
            return original(*args, **kwargs)

        setattr(owner, name, fail_once)
        await plan_keepers.wait_until(lambda: len(calls) > 1, seconds)

    async def test_silent_targets_are_noticed_after_a_failure(self):
        """Guards against a keeper that notices no silent target any more."""
        hub = self.leader.hub
        await self.check_goes_on(hub, hub.table, "remove_expired", 3.0)

    async def test_sums_are_exchanged_after_a_failure(self):
        """Guards against a keeper that tells no other of its routers."""
        hub = self.leader.hub
        await self.check_goes_on(hub, hub.exchange, "step", 3.0)

    async def test_other_steps_go_on_beside_one_that_fails(self):
        """Guards against one step that keeps all after it from being done."""
        hub = self.leader.hub
        hub.table.mark_silent = fail
        hub.announce(record("a"))
        hub.leave("a")
        hub.departures.known["b"] = messages.State.GONE
        await plan_keepers.wait_until(
            lambda: "b" not in hub.departures.known, 3.0
        )

    async def test_hints_are_written_after_a_failure(self):
        """Guards against a keeper that writes no hints any more."""
        hints = self.leader.hints
        await self.check_goes_on(self.leader.hub, hints, "_hints", 8.0)
