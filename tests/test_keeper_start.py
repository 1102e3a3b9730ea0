"""Load on the links of keepers, for example when all routers reconnect."""

import asyncio
import collections
import json
import os
import time
import types
import unittest
from unittest import mock

from amaranthring.core import links
from amaranthring.core import metrics
from amaranthring.core import pacing
from amaranthring.keepers import plans
from amaranthring.registry import fetching
from amaranthring.registry import hub as hubs
from amaranthring.registry import keeper as keepers
from amaranthring.registry import messages
from amaranthring.registry import plan_source
from amaranthring.registry import sharing
from amaranthring.testing import plan_keepers
from tests import keepers_case

LINK_RATE = 0.75e6  # bytes a second: 6 Mbit/s
ROUTERS = 84
KEEPERS = 6
TARGETS = 63
PROMPT_LOCATIONS = 1557
CONNECT_SECONDS = 0.4
OBSERVED_SECONDS = 2.0


class LinkModel:
    """A VM's link, modelled as a queue with a fixed rate.

    Attributes
    ----------
    max_delay : float
        Longest queueing delay in seconds.
    """

    def __init__(self, rate):
        self.rate = rate
        self.queued_bytes = 0.0
        self.updated_at = time.monotonic()
        self.max_delay = 0.0

    def enqueue(self, size):
        """Queue `size` bytes."""
        now = time.monotonic()
        sent_bytes = (now - self.updated_at) * self.rate
        self.queued_bytes = max(0.0, self.queued_bytes - sent_bytes) + size
        self.updated_at = now
        self.max_delay = max(self.max_delay, self.queued_bytes / self.rate)


class ModelStream:
    """A stream that writes to a :class:`LinkModel`."""

    def __init__(self, link_model):
        self.link_model = link_model

    def write(self, data):
        """Send `data`."""
        self.link_model.enqueue(len(data))

    def writing(self):
        """Return whether bytes are buffered in the process."""
        return False

    def close(self):
        """Do nothing."""


def sending_over(link_model, handlers):
    """Patch links with `handlers` to send over `link_model` as well."""
    write = links.Link._write

    def write_and_model(link, data, tag):
        if link.handlers is handlers:
            link_model.enqueue(len(data))
        write(link, data, tag)

    return mock.patch.object(links.Link, "_write", write_and_model)


class TestReconnectOfAllRouters(unittest.IsolatedAsyncioTestCase):
    """After a power loss, all routers connect to a keeper without a leader.

    Its replies to the routers must not saturate the link: votes and
    heartbeats that are queued behind them come too late.
    """

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.link_model = LinkModel(LINK_RATE)
        self.handlers = links.Handlers()
        self.machine = plans.PlanStateMachine()
        self.group = types.SimpleNamespace(
            name="plan",
            keeper=types.SimpleNamespace(address="k0:1"),
            peers={},
            on_applied=[],
            on_leader=[],
            leading=False,
            leader=lambda: "",
            metrics=metrics.Metrics(),
        )
        for number in range(1, KEEPERS):
            self.add_keeper(f"k{number}:1")
        self.hub = hubs.Hub(
            self.group,
            self.machine,
            self.handlers,
            1.0,
            time.monotonic,
            pacing.Pacer(self.handlers.sent, time.monotonic, LINK_RATE),
        )
        self.addCleanup(self.hub.stop)

    def link(self, name, role):
        identity = links.Identity(name, role, "here")
        return links.Link(
            ModelStream(self.link_model), identity, self.handlers
        )

    def add_keeper(self, address):
        identity = links.Identity("k0:1", "keeper", "here")
        keys = links.Keys({"test": b"key"})
        dialler = links.Dialler(address, identity, keys, self.handlers)
        dialler.link = self.link(address, "keeper")
        self.group.peers[address] = types.SimpleNamespace(
            dialler=dialler, address=address
        )

    async def reconnect_routers(self, count=ROUTERS):
        """Connect and report like routers that have just started."""
        report = self.handlers.by_class[sharing.Report]
        for number in range(count):
            link = self.link(f"router-{number}", messages.ROUTER_ROLE)
            self.hub.on_link(link)
            report(link, sharing.Report({}, []))
            await asyncio.sleep(CONNECT_SECONDS / count)

    def record(self, number):
        return messages.TargetRecord(
            f"i-{number:010x}",
            "model",
            f"10.1.64.{number}:8526",
            "here",
            "v1",
            slots=64,
            sequence=1,
        )

    def assert_votes_in_time(self):
        # A message and its reply each queue on such a link; both must arrive
        # within an election timeout.
        self.assertLess(
            self.link_model.max_delay, keepers.ELECTION_SECONDS / 2
        )

    async def test_known_locations_leave_room_for_votes(self):
        """The keeper has stored prompt locations and targets."""
        pairs = [
            [f"p{n:014x}", f"i-{n % 60:010x}"] for n in range(PROMPT_LOCATIONS)
        ]
        self.hub.exchange.store_locations(pairs)
        for number in range(TARGETS):
            self.hub.table.merge(self.record(number))
        self.hub.start()
        await self.reconnect_routers()
        await asyncio.sleep(OBSERVED_SECONDS)
        self.assert_votes_in_time()

    async def test_many_locations_leave_room_for_votes(self):
        """The keeper has stored four times as many prompt locations."""
        pairs = [
            [f"p{n:014x}", f"i-{n % 60:010x}"]
            for n in range(4 * PROMPT_LOCATIONS)
        ]
        self.hub.exchange.store_locations(pairs)
        self.hub.start()
        await self.reconnect_routers()
        await asyncio.sleep(OBSERVED_SECONDS)
        self.assert_votes_in_time()

    async def test_table_of_a_full_fleet_leaves_room_for_votes(self):
        """370 routers reconnect, and 630 targets are stored."""
        for number in range(630):
            self.hub.table.merge(self.record(number))
        self.hub.start()
        await self.reconnect_routers(370)
        await asyncio.sleep(OBSERVED_SECONDS)
        self.assert_votes_in_time()

    async def test_single_announcements_leave_room_for_votes(self):
        """The keeper's disk was lost, so each announcement is new."""
        self.hub.start()
        await self.reconnect_routers()
        for number in range(TARGETS):
            self.hub.announce(self.record(number))
            await asyncio.sleep(0.5 / TARGETS)
        await asyncio.sleep(OBSERVED_SECONDS)
        self.assert_votes_in_time()
        records = self.hub.table.records()
        self.assertEqual(TARGETS, len(records))

    async def test_plans_from_the_log_are_announced_once(self):
        """A follower applies a dozen plans from its log at once."""
        self.hub.start()
        await self.reconnect_routers()
        await asyncio.sleep(OBSERVED_SECONDS)
        before = self.handlers.sent.copy()
        for version in range(12):
            put = plans.PutPlan(version, plans.compress(b"plan"))
            self.machine.apply(version + 1, 0.0, put)
            for callback in self.group.on_applied:
                callback(version + 1)
        await asyncio.sleep(0.1)
        sent = self.handlers.sent - before
        tag = "registry-plan-notice"
        self.assertLess(sent[tag], 2 * ROUTERS * 50)
        self.assertGreater(sent[tag], 0)


class TestLaggingKeeper(keepers_case.KeepersCase):
    """A keeper that returns and lacks several large plans.

    Sent at once, they would delay the leader's heartbeats to the voters for
    longer than an election timeout, and it would lose its quorum.
    """

    snapshot_entries = 100

    async def test_catch_up_does_not_delay_heartbeats(self):
        lost = next(a for a in self.keepers.seeds if a != self.address())
        await self.keepers.stop(lost)
        for version in range(1, 13):
            await self.keepers.put(version, os.urandom(40_000), self.address())
        await asyncio.sleep(0.5)
        link_model = LinkModel(LINK_RATE)
        with sending_over(link_model, self.leader.handlers):
            restarted = self.keepers.start(lost)
            await plan_keepers.wait_until(
                lambda: restarted.machine.version == 12
            )
        self.assertLess(link_model.max_delay, keepers.ELECTION_SECONDS / 2)

    def address(self):
        return self.leader.config.address


class TestChangesInQuickSuccession(keepers_case.KeepersCase):
    """An operator changes one route of 1,400 after the other.

    Replicated as whole plans, the changes would saturate the leader's link
    and delay its heartbeats until it loses its quorum.
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.routes = [[os.urandom(6).hex(), 500] for _ in range(1400)]

    def document(self, version):
        self.routes[version][1] = 900
        return json.dumps(
            {
                "version": version,
                "routes": [{"name": n, "timeout": s} for n, s in self.routes],
            }
        ).encode()

    async def test_changes_do_not_delay_heartbeats(self):
        address = self.leader.config.address
        follower = next(a for a in self.keepers.running if a != address)
        await self.keepers.put(1, self.document(1), address)
        await asyncio.sleep(0.5)
        link_model = LinkModel(LINK_RATE)
        with sending_over(link_model, self.leader.handlers):
            for version in range(2, 14):
                at = address if version % 2 else follower
                newest = self.document(version)
                await self.keepers.put(version, newest, at)
        self.assertLess(link_model.max_delay, keepers.ELECTION_SECONDS / 2)
        for keeper in self.keepers.running.values():
            await plan_keepers.wait_until(
                lambda k=keeper: k.machine.version == 13
            )
            document = plans.decompress(keeper.machine.body)
            self.assertEqual(newest, document)


class TestPlansInTurn(unittest.IsolatedAsyncioTestCase):
    """Routers that lost their plan ask one keeper after the other.

    A plan that a router has received from one keeper must not be sent to it
    by the others: the duplicates delay routers that are still waiting.
    """

    async def test_plan_that_came_from_another_keeper_is_not_sent(self):
        machine = plans.PlanStateMachine()
        machine.apply(1, 0.0, plans.PutPlan(7, plans.compress(b"plan")))
        sent = collections.Counter()
        pacer = pacing.Pacer(sent, time.monotonic, LINK_RATE)
        source = plan_source.PlanSource(machine, pacer)
        router, other = object(), object()
        sent["others"] += int(LINK_RATE * 0.15)
        fetches = [
            asyncio.ensure_future(source.fetch(-1, r)) for r in (router, other)
        ]
        await asyncio.sleep(0.02)
        source.note_held(router, 7)
        first, second = await asyncio.gather(*fetches)
        self.assertEqual((7, b""), (first.version, first.body))
        self.assertEqual(b"plan", plans.decompress(second.body))

    async def test_keeper_is_asked_once_while_it_has_not_answered(self):
        """Repeated offers of a plan must not start new requests for it."""
        fake_keepers = [FakeKeeper(f"k{n}") for n in range(3)]
        fetcher = fetching.PlanFetcher(
            "router",
            lambda: -1,
            lambda: -1,
            lambda: fake_keepers,
            lambda plan: None,
        )
        with mock.patch.object(fetching, "HEDGE_SECONDS", 0.01):
            for _ in range(4):
                for link in fake_keepers:
                    fetcher.offer(link, 7)
                await asyncio.sleep(0.1)
        fetcher.stop()
        self.assertEqual([1, 1, 1], [link.calls for link in fake_keepers])

    async def test_router_reports_its_plan_to_all_keepers_asked(self):
        versions = []
        fake_keepers = [FakeKeeper(f"k{n}") for n in range(3)]
        fetcher = fetching.PlanFetcher(
            "router",
            lambda: versions[-1] if versions else -1,
            lambda: -1,
            lambda: fake_keepers,
            lambda plan: versions.append(plan.version),
        )
        with mock.patch.object(fetching, "HEDGE_SECONDS", 0.02):
            for link in fake_keepers:
                fetcher.offer(link, 7)
            await asyncio.sleep(0.2)
            fake_keepers[1].answer.set_result(messages.PlanBody(7, b"plan"))
            await asyncio.sleep(0.02)
        fetcher.stop()
        self.assertEqual([7], versions)
        reported = [messages.PlanTaken(7)]
        self.assertEqual(
            [reported, [], reported], [link.sent for link in fake_keepers]
        )


class FakeKeeper:
    """A link to a keeper that replies once `answer` is set."""

    def __init__(self, name):
        self.peer = links.Identity(name, "keeper", "here")
        self.closed = False
        self.sent = []
        self.calls = 0
        self.answer = asyncio.get_running_loop().create_future()

    async def call(self, _message, _timeout):
        """Return the answer once it is set."""
        self.calls += 1
        return await asyncio.shield(self.answer)

    def send(self, message):
        """Record `message`."""
        self.sent.append(message)
