"""Keepers that are cut off from each other, and streams that nobody knows."""

import time
from unittest import mock

from amaranthring import errors
from amaranthring.forwarding import stream_bindings
from amaranthring.policy import bindings
from amaranthring.policy import route_history
from amaranthring.registry import messages
from amaranthring.registry import sharing
from amaranthring.testing import plan_keepers
from tests import test_forwarding
from tests import test_silent_links

# A target asks another keeper if it has no answer by then.
ASKED_AGAIN_SECONDS = 1.0


def target(name, release):
    """Return the first announcement of a target."""
    return messages.TargetRecord(
        name, "s", f"{name}:1", "here", release, sequence=1
    )


def resumed_request():
    """Return a request that takes up a stream that nobody knows."""
    incoming = mock.Mock(is_resumed=True, resumes="first", request_id="again")
    return mock.Mock(
        binding=None,
        account="alba",
        service="s",
        route=test_forwarding.RESUMABLE,
        incoming=incoming,
    )


class TestCut(test_silent_links.RelayedKeepersCase):
    """Three keepers, each with a router whose link the cut spares."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.routers = [
            plan_keepers.make_subscriber(f"router-{n}", [relay.upstream], [])
            for n, relay in enumerate(self.relays)
        ]
        for router in self.routers:
            self.addCleanup(router.stop)
            # One link past the relays, and one to each keeper.
            await plan_keepers.wait_until(
                lambda r=router: len(r.open_links()) == 4
            )
        hubs = [self.keepers.running[a].hub for a in self.keepers.seeds]
        self.near, _, self.far = hubs
        for hub in hubs:
            hub.announce(target("t1", "v1"))
        await plan_keepers.wait_until(
            lambda: all(hub.streams._is_complete() for hub in hubs)
        )

    async def take_up(self, router):
        """Take a stream up at a router; return what it is bound to."""
        streams = stream_bindings.StreamBindings(
            router.table, router.open_links
        )
        context = resumed_request()
        await streams.bind(context)
        return context.binding

    def cut(self):
        """Cut all keepers off from each other, and from other routers."""
        for relay in self.relays:
            relay.block()
            self.addCleanup(relay.heal)
        self.cut_at = time.monotonic()

    async def check_refused(self):
        """Check that a keeper that has not noticed the cut is not enough."""
        with self.assertRaises(errors.StreamUnknownError):
            await self.take_up(self.routers[0])
        self.assertLess(time.monotonic() - self.cut_at, sharing.STALE_SECONDS)

    async def test_stream_goes_on_without_a_cut(self):
        """Guards against keepers that do not find each other's names."""
        for router in self.routers:
            self.assertEqual(
                bindings.Binding("s", "v1"), await self.take_up(router)
            )

    async def test_version_behind_the_cut_is_not_ruled_out(self):
        """Guards against a stream of a version that the cut has hidden."""
        self.cut()
        self.far.announce(target("t2", "v2"))
        await plan_keepers.wait_until(
            lambda: "t2" in self.routers[-1].table.entries
        )
        self.assertNotIn("t2", self.near.table.entries)
        await self.check_refused()

    async def test_move_behind_the_cut_is_not_ruled_out(self):
        """Guards against a stream of the service that a route leads to now."""
        self.cut()
        route = test_forwarding.RESUMABLE
        key = route_history.route_key(route.host, route.prefix)
        self.far.streams.add_moved({key: 0.0})
        await self.check_refused()

    async def check_departure_refused(self, **directions):
        """Check that a cut-off keeper acknowledges no departure.

        The routers that it still reaches are told all the same.
        """
        for relay in self.relays:
            relay.block(**directions)
            self.addCleanup(relay.heal)
        began = time.monotonic()
        self.near.leave("t1")
        with self.assertRaises(errors.NotReadyError):
            await self.near.confirm_departure("t1")
        self.assertLess(time.monotonic() - began, ASKED_AGAIN_SECONDS)
        table = self.routers[0].table
        await plan_keepers.wait_until(lambda: not list(table.active()))

    async def test_departure_is_refused_behind_a_cut(self):
        """Guards against departures that the far routers do not hear of."""
        await self.check_departure_refused()

    async def test_departure_is_refused_if_nothing_goes_out(self):
        """Guards against departures that the far routers do not hear of."""
        await self.check_departure_refused(to_client=False)

    async def test_departure_is_refused_if_nothing_comes_back(self):
        """Guards against departures that nobody is known to have heard of."""
        await self.check_departure_refused(to_target=False)
