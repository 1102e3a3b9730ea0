"""Links that carry nothing any more but stay open."""

import asyncio
import unittest
from unittest import mock

import tornado.testing

from amaranthring.core import links
from amaranthring.registry import accepted
from amaranthring.registry import hub
from amaranthring.registry import messages
from amaranthring.testing import plan_keepers
from amaranthring.testing import tcp_relay
from tests import keepers_case


class RelayedKeepersCase(keepers_case.KeepersCase):
    """Three keepers; each is reached through a relay."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await plan_keepers.wait_until(self.are_linked)

    async def prepare(self):
        self.relays = []
        for address in self.keepers.seeds:
            await self.relay(address)

    async def relay(self, address):
        """Put a relay in front of the keeper at `address`."""
        for sock in self.keepers.sockets.pop(address):
            sock.close()
        hidden, port = tornado.testing.bind_unused_port()
        self.keepers.sockets[address] = [hidden]
        relay = tcp_relay.Relay(f"127.0.0.1:{port}")
        relay.port = int(address.rpartition(":")[2])
        await relay.start()
        self.addAsyncCleanup(relay.stop)
        self.relays.append(relay)

    def dialled(self):
        """Return the dialled links between keepers."""
        return [
            peer.dialler.link
            for keeper in self.keepers.running.values()
            for peer in keeper.group.peers.values()
        ]

    def are_linked(self):
        return all(self.dialled())


class TestKeepers(RelayedKeepersCase):
    """Links between keepers."""

    async def test_leader_is_found_after_all_links_fall_silent(self):
        """Keepers whose links are silent must find a leader again.

        A leader steps down before it closes a silent link, and a candidate
        asks over such links for ever.
        """
        silenced = [relay.silence() for relay in self.relays]
        self.assertEqual([2, 2, 2], silenced)
        await plan_keepers.wait_until(lambda: not self.keepers.leader())
        await plan_keepers.wait_until(self.keepers.leader, 5.0)

    async def test_followers_find_the_silence_between_them(self):
        """A link between two followers must be dialled again too.

        It carries almost nothing until they need each other's vote.
        """
        before = {id(link): link for link in self.dialled()}
        for relay in self.relays:
            relay.silence()
        timeout = self.leader.group.options.election_seconds
        await asyncio.sleep(2 * timeout)
        await plan_keepers.wait_until(
            lambda: (
                self.are_linked()
                and not set(before) & {id(link) for link in self.dialled()}
            ),
            2.0,
        )

    async def test_target_announced_during_the_silence_becomes_known(self):
        """What was sent on a silent link must be sent again on the next.

        Otherwise the other keepers never learn of the target.
        """
        for keeper in self.keepers.running.values():
            # Keepers tell each other of a target that falls silent.
            keeper.hub.announce_seconds = 60.0
        # Lets each keeper see its links before they are replaced.
        await asyncio.sleep(2 * hub.GOSSIP_SECONDS)
        for relay in self.relays:
            relay.silence()
        record = messages.TargetRecord("a", "s", "v:1", "here", sequence=1)
        self.leader.hub.announce(record)
        for keeper in self.keepers.running.values():
            table = keeper.hub.table
            await plan_keepers.wait_until(lambda t=table: "a" in t.entries)


class TestAcceptedLinks(RelayedKeepersCase):
    """Links that keepers accepted, from routers and other keepers."""

    def make_router(self, incarnation=1):
        router = plan_keepers.make_subscriber(
            "router-1", self.keepers.seeds, []
        )
        router.identity.incarnation = incarnation
        self.addCleanup(router.stop)
        return router

    def accepted(self):
        """Return the numbers of accepted links, and of routers' links."""
        running = self.keepers.running.values()
        return [(len(k.server.links), len(k.hub.routers)) for k in running]

    async def test_router_that_links_again_is_linked_once(self):
        """A keeper must give up the links that a router has replaced.

        Otherwise it sends everything on each of them, for ever.
        """
        router = self.make_router()
        await plan_keepers.wait_until(lambda: len(router.open_links()) == 3)
        silent = {id(link): link for link in router.open_links()}
        for relay in self.relays:
            relay.silence()
        await plan_keepers.wait_until(
            lambda: (
                len(router.open_links()) == 3
                and not set(silent) & set(map(id, router.open_links()))
            )
        )
        once = [(3, 1)] * 3
        await plan_keepers.wait_until(
            lambda: self.accepted() == once, accepted.SILENT_SECONDS
        )
        await asyncio.sleep(1.0)
        self.assertEqual(once, self.accepted())
        self.assertEqual(3, len(router.open_links()))

    async def test_router_that_is_gone_is_not_linked(self):
        """A keeper must give up the links of a router without power."""
        router = self.make_router()
        await plan_keepers.wait_until(lambda: self.accepted() == [(3, 1)] * 3)
        for relay in self.relays:
            relay.silence()
        router.stop()
        await plan_keepers.wait_until(
            lambda: self.accepted() == [(2, 0)] * 3,
            2 * accepted.SILENT_SECONDS,
        )

    async def test_restarted_router_is_linked_once(self):
        """A newer incarnation of a router must replace the older at once."""
        router = self.make_router()
        await plan_keepers.wait_until(lambda: len(router.open_links()) == 3)
        for relay in self.relays:
            relay.silence()
        router.stop()
        router = self.make_router(incarnation=2)
        await plan_keepers.wait_until(lambda: len(router.open_links()) == 3)
        await asyncio.sleep(0.1)
        routers = [count for _, count in self.accepted()]
        self.assertEqual([1, 1, 1], routers)

    async def test_idle_links_stay(self):
        """Links of routers and keepers that live must not be given up."""
        router = self.make_router()
        await plan_keepers.wait_until(lambda: self.accepted() == [(3, 1)] * 3)
        before = [set(k.server.links) for k in self.keepers.running.values()]
        with mock.patch.object(accepted, "SILENT_SECONDS", 1.0):
            await asyncio.sleep(3.0)
        after = [set(k.server.links) for k in self.keepers.running.values()]
        self.assertEqual(before, after)
        self.assertEqual(3, len(router.open_links()))


class TestOrder(unittest.TestCase):
    """Accepted links of one process."""

    def link(self, incarnation, received_at):
        peer = links.Identity("r", messages.ROUTER_ROLE, "here", incarnation)
        link = mock.Mock(peer=peer, received_at=received_at)
        return link

    def test_late_link_of_an_earlier_incarnation_closes_none(self):
        """A delayed handshake must not close the links of the new process."""
        kept = accepted.AcceptedLinks(100.0)
        new, old = self.link(2, 100.0), self.link(1, 100.1)
        kept.add(new)
        kept.add(old)
        new.close.assert_not_called()

    def test_pause_of_the_keeper_closes_none(self):
        """A keeper that stood still must read before it gives links up."""
        kept = accepted.AcceptedLinks(100.0)
        link = self.link(1, 100.0)
        kept.add(link)
        kept.close_silent(130.0)
        link.close.assert_not_called()
        link.received_at = 130.1
        kept.close_silent(130.4)
        link.close.assert_not_called()
