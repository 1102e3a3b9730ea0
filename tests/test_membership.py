"""Membership and target sync between routers, with cuts and lost messages."""

import asyncio
import unittest

from amaranthring import errors
from amaranthring.routers import peers
from amaranthring.routers import target_sync_messages
from amaranthring.targets import table
from amaranthring.testing import mesh_members


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Members over loopback; a subclass sets the data centres."""

    data_centres = ["dc1", "dc1", "dc1"]

    async def asyncSetUp(self):
        self.fleet = mesh_members.Fleet(self.data_centres)
        await self.fleet.start()
        count = len(self.data_centres)
        await mesh_members.wait_until(
            lambda: all(len(m.mesh.live()) == count for m in self.all)
        )

    async def asyncTearDown(self):
        await self.fleet.stop()

    @property
    def all(self):
        return self.fleet.members

    async def until_eligible(self, names, numbers=None):
        chosen = (
            self.all if numbers is None else [self.all[n] for n in numbers]
        )
        return await mesh_members.wait_until(
            lambda: all(m.eligible() == names for m in chosen)
        )


class TestTargetSync(FleetCase):
    """Target sync inside one data centre."""

    async def test_targets_reach_every_router_with_their_reports(self):
        self.fleet.renew(mesh_members.target("e1", "dc1"), [0])
        self.fleet.renew(mesh_members.target("e2", "dc1"), [2])
        await self.until_eligible(["e1", "e2"])
        await mesh_members.wait_until(
            lambda: all(m.table.report("e2") is not None for m in self.all)
        )

    async def test_leave_is_known_everywhere_at_once(self):
        self.fleet.renew(mesh_members.target("e1", "dc1"), [0])
        await self.until_eligible(["e1"])
        self.fleet.stop_renewing("e1")
        self.all[0].table.leave("e1", 1)
        seconds = await self.until_eligible([])
        self.assertLess(seconds, 1.0)
        self.assertEqual(self.all[2].table.state("e1"), "leaving")

    async def test_isolated_router_drops_a_leaving_engine_in_time(self):
        """A router that is cut off must not use an engine that left 3 s ago.

        r0 learns of the leave; r2 receives neither it nor any heartbeat, so
        its entry must expire.
        """
        self.fleet.renew(mesh_members.target("e1", "dc1"), [0])
        await self.until_eligible(["e1"])
        self.fleet.local_relays[2].block()
        self.fleet.stop_renewing("e1")
        self.all[0].table.leave("e1", 1)
        await asyncio.sleep(3.0)
        self.assertEqual(self.all[2].eligible(), [])

    async def test_leave_lost_on_one_link_arrives_through_another(self):
        """A leave lost from r0 to r1 must reach r1 through r2.

        r2's digest shows r1 that a record differs.
        """
        self.fleet.renew(mesh_members.target("e1", "dc1"), [0])
        await self.until_eligible(["e1"])
        self.fleet.local_relays[1].block()
        self.all[0].table.leave("e1", 1)
        await mesh_members.wait_until(
            lambda: self.all[1].table.state("e1") == "leaving", 3.0
        )

    async def test_lost_batches_are_repaired_by_digests(self):
        """Every batch with the leave is lost, including the repeats."""
        self.fleet.renew(mesh_members.target("e1", "dc1"), [0])
        await self.until_eligible(["e1"])
        mesh = self.all[0].mesh
        broadcast = mesh.broadcast

        def lossy(message):
            if (
                isinstance(message, target_sync_messages.Batch)
                and message.records
            ):
                return 0
            return broadcast(message)

        mesh.broadcast = lossy
        self.all[0].table.leave("e1", 1)
        await mesh_members.wait_until(
            lambda: all(m.table.state("e1") == "leaving" for m in self.all),
            3.0,
        )

    async def test_tables_converge_after_a_partition(self):
        """Routers must agree on the engines after a partition heals.

        Every router is isolated. r2 loses e1, which still renews at r0, and
        only r1 learns of e2.
        """
        self.fleet.renew(mesh_members.target("e1", "dc1"), [0])
        await self.until_eligible(["e1"])
        lost = self.all[2].table.when_lost("e1")
        self.fleet.local_relays[1].block()
        self.fleet.local_relays[2].block()
        self.fleet.renew(mesh_members.target("e2", "dc1"), [1])
        await asyncio.wait_for(asyncio.shield(lost), 20)
        await mesh_members.wait_until(
            lambda: all(len(m.mesh.live()) == 1 for m in self.all)
        )
        self.assertEqual(self.all[0].eligible(), ["e1"])
        self.assertEqual(self.all[1].eligible(), ["e2"])
        self.fleet.heal()
        await self.until_eligible(["e1", "e2"])
        await mesh_members.wait_until(
            lambda: len({m.table.digests["dc1"] for m in self.all}) == 1
        )

    async def test_moved_target_is_announced_at_once(self):
        """An engine that renews at another router must stay eligible.

        Waiting for that router's next batch would make it stale elsewhere.
        """
        self.fleet.renew(mesh_members.target("e1", "dc1"), [0])
        await self.until_eligible(["e1"])
        self.fleet.stop_renewing("e1")
        for member in self.all:
            member.target_sync.task.cancel()
        await asyncio.sleep(table.MOVED_SECONDS + 0.1)
        self.all[2].table.renew("e1", 1)
        await self.until_eligible(["e1"], [0, 1])

    async def test_subscriber_exception_does_not_end_expiry(self):
        """An exception in a subscriber must not end the expiry task.

        Otherwise a dead engine is never detected and its requests hang.
        """

        def fail(name):
            raise ValueError(name)

        member = self.all[0]
        self.fleet.renew(mesh_members.target("e1", "dc1"), [0])
        await self.until_eligible(["e1"])
        member.table.subscribe(fail)
        lost = member.table.when_lost("e1")
        self.fleet.stop_renewing("e1")
        await asyncio.wait_for(asyncio.shield(lost), 20)
        await mesh_members.wait_until(
            lambda: member.metrics.counters["targets.ticks_failed"] == 1
        )
        self.assertFalse(member.table.task.done())


class TestMesh(FleetCase):
    """Live list, calls, leaving routers and frozen peers."""

    async def test_leaving_router_is_removed_before_it_stops(self):
        changes = []
        self.all[1].mesh.subscribe(lambda: changes.append(1))
        self.all[0].mesh.leave()
        await mesh_members.wait_until(
            lambda: all(m.mesh.live() == ["r1", "r2"] for m in self.all)
        )
        self.assertTrue(changes)
        self.assertIsNotNone(self.all[1].mesh.peers["r0"].link)

    async def test_restarted_router_rejoins(self):
        self.all[1].mesh.leave()
        await mesh_members.wait_until(
            lambda: "r1" not in self.all[0].mesh.live()
        )
        self.fleet.restart(1)
        await mesh_members.wait_until(
            lambda: all(len(m.mesh.live()) == 3 for m in self.all)
        )

    async def test_killed_router_is_removed_at_once(self):
        self.all[1].stop()
        others = [self.all[0], self.all[2]]
        seconds = await mesh_members.wait_until(
            lambda: all(m.mesh.live() == ["r0", "r2"] for m in others)
        )
        self.assertLess(seconds, 2.0)

    async def test_frozen_router_is_dropped_without_delaying_others(self):
        """A frozen peer keeps its connections open but reads nothing.

        It must be dropped without delaying messages to the others.
        """
        self.fleet.local_relays[1].block()
        await mesh_members.wait_until(
            lambda: self.all[0].mesh.live() == ["r0", "r2"], 20
        )
        self.assertIsNone(self.all[0].mesh.peers["r1"].link)
        self.fleet.renew(mesh_members.target("e1", "dc1"), [0])
        await self.until_eligible(["e1"], [0, 2])
        self.fleet.heal()
        await mesh_members.wait_until(
            lambda: len(self.all[0].mesh.live()) == 3
        )
        await self.until_eligible(["e1"])

    async def test_one_way_cut_is_detected_on_both_sides(self):
        self.fleet.local_relays[1].block(to_target=True, to_client=False)
        await mesh_members.wait_until(
            lambda: "r0" not in self.all[1].mesh.live()
        )
        await mesh_members.wait_until(
            lambda: "r1" not in self.all[0].mesh.live()
        )

    async def test_calls_to_itself_and_to_unknown_routers(self):
        pull = target_sync_messages.Pull("dc1", [])
        answer = await self.all[0].mesh.call("r0", pull, 1)
        self.assertEqual(answer.routers, ["r0", "r1", "r2"])
        with self.assertRaises(errors.NotFoundError):
            await self.all[0].mesh.call("nobody", pull, 1)


class TestDataCentres(FleetCase):
    """Two data centres of three routers, linked by relays."""

    data_centres = ["dc1", "dc1", "dc1", "dc2", "dc2", "dc2"]

    async def test_targets_reach_both_data_centres_and_leave_in_time(self):
        self.fleet.renew(mesh_members.target("e1", "dc1"), [0])
        self.fleet.renew(mesh_members.target("e2", "dc2"), [4])
        await self.until_eligible(["e1", "e2"])
        self.fleet.stop_renewing("e1")
        self.all[0].table.leave("e1", 1)
        await self.until_eligible(["e2"])
        self.assertEqual(self.all[5].table.state("e1"), "leaving")

    async def test_partitioned_data_centre_serves_from_its_engines(self):
        """Two partitioned data centres serve from their own engines only.

        The engines of the other are suspended, not lost. During the cut e1
        leaves and e3 joins; the tables must converge afterwards.
        """
        self.fleet.renew(mesh_members.target("e1", "dc1"), [0])
        self.fleet.renew(mesh_members.target("e2", "dc2"), [4])
        await self.until_eligible(["e1", "e2"])
        self.fleet.isolate("dc2")
        await self.until_eligible(["e1"], [0, 1, 2])
        await self.until_eligible(["e2"], [3, 4, 5])
        await mesh_members.wait_until(
            lambda: self.all[0].mesh.live() == ["r0", "r1", "r2"]
        )
        await asyncio.sleep(1.5)
        self.assertEqual(self.all[0].table.state("e2"), "suspended")
        self.fleet.stop_renewing("e1")
        self.all[0].table.leave("e1", 1)
        self.fleet.renew(mesh_members.target("e3", "dc1"), [0])
        self.fleet.heal()
        await self.until_eligible(["e2", "e3"])
        await mesh_members.wait_until(
            lambda: all(len(m.mesh.live()) == 6 for m in self.all)
        )

    async def test_dead_relay_is_replaced(self):
        """The relay that forwards digests is killed."""
        self.fleet.renew(mesh_members.target("e2", "dc2"), [4])
        await self.until_eligible(["e2"])
        first = self.all[0].mesh.ordered_relays("dc2")[0]
        dead = int(first[1:])
        self.all[dead].stop()
        rest = [n for n in (0, 1, 2) if n != dead]
        self.fleet.renew(mesh_members.target("e4", "dc2"), [4])
        await self.until_eligible(["e2", "e4"], rest)
        await mesh_members.wait_until(
            lambda: first not in self.all[5].mesh.live("dc1")
        )

    async def test_second_relay_forwards_when_the_first_is_cut(self):
        """The first relay is alive but receives no remote digests.

        The second relay must forward them, or dc1 takes all engines of dc2
        for stale.
        """
        self.fleet.renew(mesh_members.target("e2", "dc2"), [4])
        await self.until_eligible(["e2"])
        first = self.all[int(self.all[0].mesh.ordered_relays("dc2")[0][1:])]
        handlers = first.mesh.handlers.by_class
        handlers[target_sync_messages.Digest] = lambda link, digest: None
        await asyncio.sleep(3.0)
        await self.until_eligible(["e2"])

    async def test_call_to_another_data_centre_dials_on_demand(self):
        pull = target_sync_messages.Pull("dc2", [])
        for name in ("r3", "r4", "r5"):
            answer = await self.all[0].mesh.call(name, pull, 5)
            self.assertEqual(answer.routers, ["r3", "r4", "r5"])

    async def test_former_relays_stop_exchanging_digests(self):
        """Former relays must not keep answering each other's digests.

        Otherwise control traffic stays high after a relay has come back.
        """
        here = self.all[0].mesh.ordered_relays("dc2")
        there = self.all[3].mesh.ordered_relays("dc1")
        one = next(m for m in self.all[:3] if m.name not in here)
        other = next(m for m in self.all[3:] if m.name not in there)
        answer = target_sync_messages.Digest("dc1", 0, 0, 0, [], False)
        await mesh_members.wait_until(
            lambda: one.mesh.send(other.name, answer)
        )
        await mesh_members.wait_until(lambda: other.mesh.peers[one.name].link)
        await asyncio.sleep(0.2)
        self.assertNotIn(one.name, other.target_sync.remote_links())

    async def test_simultaneous_dials_keep_one_link(self):
        """Routers that dial each other at once must agree on one link.

        Otherwise they keep closing each other's link, and calls fail.
        """
        pairs = [(a, b) for a in (0, 1, 2) for b in (3, 4, 5)]
        for low, high in pairs:
            self.all[low].mesh.send(f"r{high}", peers.Heartbeat())
            self.all[high].mesh.send(f"r{low}", peers.Heartbeat())

        def linked():
            links = []
            for low, high in pairs:
                one = self.all[low].mesh.peers[f"r{high}"].link
                other = self.all[high].mesh.peers[f"r{low}"].link
                if one is None or other is None or one.closed:
                    return None
                links += [one, other]
            return links

        await mesh_members.wait_until(linked)
        await asyncio.sleep(1.0)
        before = linked()
        await asyncio.sleep(1.0)
        self.assertIsNotNone(before)
        self.assertEqual(linked(), before)
