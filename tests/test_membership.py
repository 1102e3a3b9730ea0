"""Routers that spread targets and each other, under cuts and losses."""

import asyncio
import unittest

from amaranthring import errors
from amaranthring.routers import peers
from amaranthring.routers import target_sync_messages
from amaranthring.targets import table
from amaranthring.testing import members


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Members over loopback; the data centres are set by the class."""

    places = ["dc1", "dc1", "dc1"]

    async def asyncSetUp(self):
        self.fleet = members.Fleet(self.places)
        await self.fleet.start()
        count = len(self.places)
        await members.until(
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
        return await members.until(
            lambda: all(m.eligible() == names for m in chosen)
        )


class TestSpread(FleetCase):
    """Inside one data centre."""

    async def test_targets_reach_every_router_with_their_reports(self):
        self.fleet.renew(members.target("e1", "dc1"), [0])
        self.fleet.renew(members.target("e2", "dc1"), [2])
        await self.until_eligible(["e1", "e2"])
        await members.until(
            lambda: all(m.table.report("e2") is not None for m in self.all)
        )

    async def test_leave_is_known_everywhere_at_once(self):
        self.fleet.renew(members.target("e1", "dc1"), [0])
        await self.until_eligible(["e1"])
        self.fleet.silence("e1")
        self.all[0].table.leave("e1", 1)
        took = await self.until_eligible([])
        self.assertLess(took, 1.0)
        self.assertEqual(self.all[2].table.state("e1"), "leaving")

    async def test_router_that_no_message_reaches_stops_within_the_bound(self):
        """A caller's request goes to an engine that left 3 s ago.

        The engine tells r0 that it leaves; r2 is cut off from every router
        and hears neither that nor any renewal. Its list must age.
        """
        self.fleet.renew(members.target("e1", "dc1"), [0])
        await self.until_eligible(["e1"])
        self.fleet.near[2].cut()
        self.fleet.silence("e1")
        self.all[0].table.leave("e1", 1)
        await asyncio.sleep(3.0)
        self.assertEqual(self.all[2].eligible(), [])

    async def test_leave_lost_on_one_link_comes_round_another(self):
        """r1 gives work to an engine that left, as r0's word never came.

        The link r0 to r1 loses everything; r2 hears of the leave, and its
        digest shows r1 that a record differs.
        """
        self.fleet.renew(members.target("e1", "dc1"), [0])
        await self.until_eligible(["e1"])
        self.fleet.near[1].cut()
        self.all[0].table.leave("e1", 1)
        await members.until(
            lambda: self.all[1].table.state("e1") == "leaving", 3.0
        )

    async def test_lost_batches_are_repaired_by_digests(self):
        """Every message that names the leave is lost, repeats included."""
        self.fleet.renew(members.target("e1", "dc1"), [0])
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
        await members.until(
            lambda: all(m.table.state("e1") == "leaving" for m in self.all),
            3.0,
        )

    async def test_lists_that_differ_converge(self):
        """A cut that ends must not leave routers with different engines.

        Every router is alone. r2 gives e1 up, which goes on renewing at
        r0, while r1 alone learns of e2.
        """
        self.fleet.renew(members.target("e1", "dc1"), [0])
        await self.until_eligible(["e1"])
        lost = self.all[2].table.when_lost("e1")
        self.fleet.near[1].cut()
        self.fleet.near[2].cut()
        self.fleet.renew(members.target("e2", "dc1"), [1])
        await asyncio.wait_for(asyncio.shield(lost), 20)
        await members.until(
            lambda: all(len(m.mesh.live()) == 1 for m in self.all)
        )
        self.assertEqual(self.all[0].eligible(), ["e1"])
        self.assertEqual(self.all[1].eligible(), ["e2"])
        self.fleet.heal()
        await self.until_eligible(["e1", "e2"])
        await members.until(
            lambda: len({m.table.digests["dc1"] for m in self.all}) == 1
        )

    async def test_target_that_moves_is_told_of_at_once(self):
        """An engine gets no work for a second though it never stopped.

        Its router died; it renewed at the next one, whose batch is sent
        only once a second.
        """
        self.fleet.renew(members.target("e1", "dc1"), [0])
        await self.until_eligible(["e1"])
        self.fleet.silence("e1")
        for member in self.all:
            member.target_sync.task.cancel()
        await asyncio.sleep(table.MOVED_SECONDS + 0.1)
        self.all[2].table.renew("e1", 1)
        await self.until_eligible(["e1"], [0, 1])

    async def test_fault_of_a_subscriber_does_not_end_the_leases(self):
        """A dead engine is never given up, and its requests hang.

        Some subscriber failed once, and with it the task that watches.
        """

        def fail(name):
            raise ValueError(name)

        member = self.all[0]
        self.fleet.renew(members.target("e1", "dc1"), [0])
        await self.until_eligible(["e1"])
        member.table.subscribe(fail)
        lost = member.table.when_lost("e1")
        self.fleet.silence("e1")
        await asyncio.wait_for(asyncio.shield(lost), 20)
        await members.until(
            lambda: member.metrics.counters["targets.ticks_failed"] == 1
        )
        self.assertFalse(member.table.task.done())


class TestMesh(FleetCase):
    """Live list, calls, leaving and frozen peers."""

    async def test_router_that_leaves_is_gone_before_it_ends(self):
        changes = []
        self.all[1].mesh.subscribe(lambda: changes.append(1))
        self.all[0].mesh.leave()
        await members.until(
            lambda: all(m.mesh.live() == ["r1", "r2"] for m in self.all)
        )
        self.assertTrue(changes)
        self.assertIsNotNone(self.all[1].mesh.peers["r0"].link)

    async def test_restarted_router_comes_back_under_its_name(self):
        self.all[1].mesh.leave()
        await members.until(lambda: "r1" not in self.all[0].mesh.live())
        self.fleet.restart(1)
        await members.until(
            lambda: all(len(m.mesh.live()) == 3 for m in self.all)
        )

    async def test_killed_router_is_gone_at_once(self):
        self.all[1].stop()
        others = [self.all[0], self.all[2]]
        took = await members.until(
            lambda: all(m.mesh.live() == ["r0", "r2"] for m in others)
        )
        self.assertLess(took, 2.0)

    async def test_frozen_router_is_given_up_and_holds_up_nobody(self):
        """A frozen peer keeps its connections open but reads nothing.

        What is sent to it must not pile up, and the others get theirs.
        """
        self.fleet.near[1].cut()
        await members.until(
            lambda: self.all[0].mesh.live() == ["r0", "r2"], 20
        )
        self.assertIsNone(self.all[0].mesh.peers["r1"].link)
        self.fleet.renew(members.target("e1", "dc1"), [0])
        await self.until_eligible(["e1"], [0, 2])
        self.fleet.heal()
        await members.until(lambda: len(self.all[0].mesh.live()) == 3)
        await self.until_eligible(["e1"])

    async def test_one_way_cut_is_noticed_by_both(self):
        self.fleet.near[1].cut(to_target=True, to_client=False)
        await members.until(lambda: "r0" not in self.all[1].mesh.live())
        await members.until(lambda: "r1" not in self.all[0].mesh.live())

    async def test_calls_to_itself_and_to_strangers(self):
        pull = target_sync_messages.Pull("dc1", [])
        answer = await self.all[0].mesh.call("r0", pull, 1)
        self.assertEqual(answer.routers, ["r0", "r1", "r2"])
        with self.assertRaises(errors.NotFoundError):
            await self.all[0].mesh.call("nobody", pull, 1)


class TestDataCentres(FleetCase):
    """Two data centres of three routers, through relays."""

    places = ["dc1", "dc1", "dc1", "dc2", "dc2", "dc2"]

    async def test_targets_cross_and_leave_within_the_bound(self):
        self.fleet.renew(members.target("e1", "dc1"), [0])
        self.fleet.renew(members.target("e2", "dc2"), [4])
        await self.until_eligible(["e1", "e2"])
        self.fleet.silence("e1")
        self.all[0].table.leave("e1", 1)
        await self.until_eligible(["e2"])
        self.assertEqual(self.all[5].table.state("e1"), "leaving")

    async def test_cut_off_data_centre_serves_its_own(self):
        """The data centres lose each other for a while, and differ after.

        Each goes on with its own engines and does not use the other's;
        those are stale, not lost. During the cut e1 leaves and e3 comes.
        """
        self.fleet.renew(members.target("e1", "dc1"), [0])
        self.fleet.renew(members.target("e2", "dc2"), [4])
        await self.until_eligible(["e1", "e2"])
        self.fleet.cut_off("dc2")
        await self.until_eligible(["e1"], [0, 1, 2])
        await self.until_eligible(["e2"], [3, 4, 5])
        await members.until(
            lambda: self.all[0].mesh.live() == ["r0", "r1", "r2"]
        )
        await asyncio.sleep(1.5)
        self.assertEqual(self.all[0].table.state("e2"), "suspended")
        self.fleet.silence("e1")
        self.all[0].table.leave("e1", 1)
        self.fleet.renew(members.target("e3", "dc1"), [0])
        self.fleet.heal()
        await self.until_eligible(["e2", "e3"])
        await members.until(
            lambda: all(len(m.mesh.live()) == 6 for m in self.all)
        )

    async def test_dead_relay_is_replaced(self):
        """The relay that passes digests on is killed."""
        self.fleet.renew(members.target("e2", "dc2"), [4])
        await self.until_eligible(["e2"])
        first = self.all[0].mesh.ordered_relays("dc2")[0]
        dead = int(first[1:])
        self.all[dead].stop()
        rest = [n for n in (0, 1, 2) if n != dead]
        self.fleet.renew(members.target("e4", "dc2"), [4])
        await self.until_eligible(["e2", "e4"], rest)
        await members.until(lambda: first not in self.all[5].mesh.live("dc1"))

    async def test_second_relay_speaks_when_the_first_is_cut(self):
        """dc1 holds every engine of dc2 for stale though dc2 is well.

        The relay whose part it is to pass digests on lives, but its own
        links across are gone; the second relay still hears dc2.
        """
        self.fleet.renew(members.target("e2", "dc2"), [4])
        await self.until_eligible(["e2"])
        first = self.all[int(self.all[0].mesh.ordered_relays("dc2")[0][1:])]
        handlers = first.mesh.handlers.by_class
        handlers[target_sync_messages.Digest] = lambda link, digest: None
        await asyncio.sleep(3.0)
        await self.until_eligible(["e2"])

    async def test_call_across_dials_where_no_link_is(self):
        pull = target_sync_messages.Pull("dc2", [])
        for name in ("r3", "r4", "r5"):
            answer = await self.all[0].mesh.call(name, pull, 5)
            self.assertEqual(answer.routers, ["r3", "r4", "r5"])

    async def test_routers_that_are_relays_no_more_fall_silent(self):
        """Control traffic stays high for ever after a relay came back.

        Its stand-ins answer each other's digests, each taking the other's
        for a sign that it is a relay.
        """
        here = self.all[0].mesh.ordered_relays("dc2")
        there = self.all[3].mesh.ordered_relays("dc1")
        one = next(m for m in self.all[:3] if m.name not in here)
        other = next(m for m in self.all[3:] if m.name not in there)
        answer = target_sync_messages.Digest("dc1", 0, 0, 0, [], False)
        await members.until(lambda: one.mesh.send(other.name, answer))
        await members.until(lambda: other.mesh.peers[one.name].link)
        await asyncio.sleep(0.2)
        self.assertNotIn(one.name, other.target_sync.remote_links())

    async def test_routers_that_dial_each_other_keep_one_link(self):
        """Links across flap for ever and calls over them fail at random.

        Two routers of different data centres call each other at the same
        moment; each then has a link that it dialled and one that it took.
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

        await members.until(linked)
        await asyncio.sleep(1.0)
        before = linked()
        await asyncio.sleep(1.0)
        self.assertIsNotNone(before)
        self.assertEqual(linked(), before)
